"""The services: their instances, what is believed of them, and budgets."""

from __future__ import annotations

import typing

import structlog

from dotterelpath.domain import bounds as bounds_domain
from dotterelpath.domain import configuration
from dotterelpath.domain import health_reports
from dotterelpath.domain import load_balancer
from dotterelpath.domain import registry
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import randomness
from dotterelpath.tasks import _forward
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox

# What is assumed of a route without answers: a part of its target.
FIRST_WORK_PART = 0.3
# Callers that were refused come back after the work that is ahead of them,
# but not sooner than this, in seconds.
LEAST_RETRY_S = 0.2

_log = structlog.get_logger()


class Services:
    """A part of the gateway's state: what it knows of each service."""

    __slots__ = (
        "_bounds",
        "_by_service",
        "_carriers",
        "_clock",
        "_data_centre",
        "_is_carrier",
        "_neighbours",
        "_random",
        "_services",
    )

    def __init__(
        self,
        data_centre: str,
        bounds: bounds_domain.Bounds,
        clock: clock_port.Clock,
        random: randomness.RandomSource,
        neighbours: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates a state without services.

        Args:
            data_centre: Where this daemon stands.
            bounds: What must hold.
            clock: Tells the time.
            random: Breaks ties.
            neighbours: Tells other daemons what was seen of instances.
        """
        self._data_centre = data_centre
        self._bounds = bounds
        self._clock = clock
        self._random = random
        self._neighbours = neighbours
        self._services: dict[str, _forward.ServiceState] = {}
        self._by_service: dict[str, list[registry.Listed]] = {}
        self._carriers = 1
        self._is_carrier = False

    @property
    def states(self) -> dict[str, _forward.ServiceState]:
        """The services by name."""
        return self._services

    def set_services(self, services: dict[str, configuration.Service]) -> None:
        """Takes in the services of a newer configuration.

        Args:
            services: The services by name.
        """
        for name in services:
            if name not in self._services:
                self._services[name] = _forward.ServiceState(
                    name, self._data_centre
                )
                self._set_listed(self._services[name])

    def on_registry_changed(
        self, message: fleet_events.RegistryChanged
    ) -> None:
        """Takes in the listed instances.

        Args:
            message: The instances of each service.
        """
        self._by_service = message.by_service
        for state in self._services.values():
            self._set_listed(state)

    def on_bounds_changed(self, message: fleet_events.BoundsChanged) -> None:
        """Takes in changed settings.

        Args:
            message: The bounds.
        """
        self._bounds = message.bounds

    def on_sharers_changed(self, message: fleet_events.SharersChanged) -> None:
        """Takes in which daemons share the services' slots and retries.

        Args:
            message: Their number, and whether this is one of them.
        """
        self._carriers = max(1, message.carriers)
        self._is_carrier = message.is_carrier

    def on_evidence_heard(self, message: fleet_events.EvidenceHeard) -> None:
        """Takes in what another daemon saw of an instance.

        Args:
            message: The observation.
        """
        heard = message.evidence
        state = self._services.get(heard.service)
        _log.info(
            "evidence heard",
            sender=message.daemon_id,
            service=heard.service,
            instance=heard.instance_id,
            symptom=heard.symptom.value,
            is_known=state is not None,
        )
        if state is None:
            return
        if heard.symptom is health_reports.Symptom.SERVICE_DEGRADED:
            state.degradation.record_peer_report(self._clock.now_s())
            return
        instance = state.balancer.instances.get(heard.instance_id)
        if instance is None or instance.entry.started_ms != heard.started_ms:
            return
        now_s = self._clock.now_s()
        if heard.symptom is health_reports.Symptom.UNREACHABLE:
            self.drop(state, instance)
        elif heard.symptom is health_reports.Symptom.RECOVERED:
            state.balancer.record_peer_success(heard.instance_id, now_s)
        else:
            _observe(state.balancer, heard.instance_id, heard.symptom, now_s)

    def begin(self, work: _forward.Forward, service: str) -> None:
        """Gives a new request to a service.

        Args:
            work: The request.
            service: The service that is to run it.
        """
        state = self._services[service]
        work.service = state
        state.retries.record_request(
            self._bounds.retry_window_s, self._clock.now_s()
        )

    def pick(
        self, work: _forward.Forward, wants_sick: bool = False
    ) -> load_balancer.Selection:
        """Chooses an instance for a request.

        Args:
            work: The request.
            wants_sick: Whether a sick instance is wanted.

        Returns:
            The instance, or whether waiting for one makes sense.
        """
        assert work.service is not None
        can_retry = self.can_try_again(work)
        now_s = self._clock.now_s()
        return work.service.balancer.choose(
            self._random,
            now_s,
            can_retry,
            work.tried,
            work.service.degradation.is_degraded(now_s),
            wants_sick,
        )

    def slots(self, state: _forward.ServiceState) -> int:
        """This daemon's part of the slots of the service's good instances."""
        slots = state.balancer.healthy_slots(self._clock.now_s())
        return max(1, slots // self._carriers)

    def usual_s(self, work: _forward.Forward) -> float:
        """How long an instance usually works on a request, in seconds."""
        assert work.service is not None and work.route is not None
        return work.service.balancer.usual_s(
            work.route.name, work.route.target_s * FIRST_WORK_PART
        )

    def spend(self, work: _forward.Forward) -> bool:
        """Takes a further try of a request out of the budgets."""
        assert work.service is not None
        if work.attempts_left < 1:
            return False
        if not work.sent_to:
            return True
        return work.service.retries.spend(
            self._bounds.retry_ratio,
            self._slack,
            self._bounds.retry_window_s,
            self._clock.now_s(),
        )

    def can_try_again(self, work: _forward.Forward) -> bool:
        """Whether a failure of the next try would leave another one."""
        assert work.service is not None
        if not work.is_idempotent or work.attempts_left < 2:
            return False
        return work.service.retries.can_spend(
            self._bounds.retry_ratio,
            self._slack,
            self._bounds.retry_window_s,
            self._clock.now_s(),
        )

    @property
    def _slack(self) -> float:
        """This daemon's part of the retries that need no requests."""
        if not self._is_carrier:
            return 0.0
        return self._bounds.retry_slack / self._carriers

    def retry_after_s(self, work: _forward.Forward) -> float:
        """Spreads those who come back over the time that the queue needs."""
        assert work.service is not None
        state = work.service
        ahead_s = len(state.queue) * self.usual_s(work) / self.slots(state)
        return max(LEAST_RETRY_S, ahead_s) * (0.5 + self._random.random())

    def suspect(
        self,
        work: _forward.Forward,
        instance: load_balancer.Instance,
        symptom: health_reports.Symptom,
    ) -> None:
        """Holds a symptom against an instance, here and elsewhere."""
        assert work.service is not None
        now_s = self._clock.now_s()
        state = work.service
        chance = _observe(state.balancer, instance.id, symptom, now_s)
        _log.info(
            "instance suspected",
            request_id=work.request.request_id,
            service=state.name,
            instance=instance.id,
            symptom=symptom.value,
            chance=round(chance or 0.0, 3),
            load=round(instance.load(now_s), 1),
        )
        self.tell(state, instance, symptom)

    def drop(
        self, state: _forward.ServiceState, instance: load_balancer.Instance
    ) -> None:
        """Gives an instance that is not at its address no more work."""
        state.gone.add((instance.id, instance.entry.started_ms))
        state.balancer.drop(instance.id)

    def tell(
        self,
        state: _forward.ServiceState,
        instance: load_balancer.Instance,
        symptom: health_reports.Symptom,
    ) -> None:
        """Tells other daemons what was seen of an instance."""
        entry = instance.entry
        seen = health_reports.HealthReport(
            state.name, entry.id, entry.started_ms, symptom
        )
        self._neighbours.force(fleet_events.EvidenceSeen(seen))

    def ended(
        self, state: _forward.ServiceState, is_served: bool, is_due: bool
    ) -> None:
        """Takes in the end of a request, and tells others of trouble.

        Args:
            state: The service that was to run it.
            is_served: Whether its caller got what it asked for.
            is_due: Whether it went to an instance that was due.
        """
        now_s = self._clock.now_s()
        state.degradation.record_end(is_served, is_due, now_s)
        if state.degradation.should_report(now_s):
            _log.info("service in trouble", service=state.name)
            troubled = health_reports.HealthReport(
                state.name, "", 0, health_reports.Symptom.SERVICE_DEGRADED
            )
            self._neighbours.force(fleet_events.EvidenceSeen(troubled))

    def _set_listed(self, state: _forward.ServiceState) -> None:
        known = {
            (item.entry.id, item.entry.started_ms)
            for item in self._by_service.get(state.name, ())
        }
        state.gone &= known
        listed = [
            item
            for item in self._by_service.get(state.name, ())
            if not item.entry.is_draining
            and (item.entry.id, item.entry.started_ms) not in state.gone
        ]
        state.balancer.set_listed(listed, self._clock.now_s())


def _observe(
    placed: load_balancer.LoadBalancer,
    instance_id: str,
    symptom: health_reports.Symptom,
    now_s: float,
) -> float | None:
    if symptom is health_reports.Symptom.SLOW:
        return placed.record_slow(instance_id, now_s)
    at_once = symptom is health_reports.Symptom.FAILED
    return placed.record_failure(instance_id, at_once, now_s)
