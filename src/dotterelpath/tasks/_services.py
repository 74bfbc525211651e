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
from dotterelpath.tasks import _pending
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox

# What is assumed of a route without answers: a part of its target.
ASSUMED_DURATION_FRACTION = 0.3
# Callers that were refused come back after the work that is ahead of them,
# but not sooner than this, in seconds.
MIN_RETRY_AFTER_S = 0.2

_log = structlog.get_logger()


class Services:
    """A part of the gateway's state: what it knows of each service."""

    __slots__ = (
        "_bounds",
        "_clock",
        "_data_centre",
        "_instances_by_service",
        "_is_serving",
        "_peer_monitor",
        "_random",
        "_services",
        "_serving_daemons",
    )

    def __init__(
        self,
        data_centre: str,
        bounds: bounds_domain.Bounds,
        clock: clock_port.Clock,
        random: randomness.RandomSource,
        peer_monitor: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates a state without services.

        Args:
            data_centre: Where this daemon stands.
            bounds: What must hold.
            clock: Tells the time.
            random: Breaks ties.
            peer_monitor: Tells other daemons what was seen of instances.
        """
        self._data_centre = data_centre
        self._bounds = bounds
        self._clock = clock
        self._random = random
        self._peer_monitor = peer_monitor
        self._services: dict[str, _pending.ServiceState] = {}
        self._instances_by_service: dict[str, list[registry.Listed]] = {}
        self._serving_daemons = 1
        self._is_serving = False

    @property
    def states(self) -> dict[str, _pending.ServiceState]:
        """The services by name."""
        return self._services

    def set_services(self, services: dict[str, configuration.Service]) -> None:
        """Takes in the services of a newer configuration.

        Args:
            services: The services by name.
        """
        for name in services:
            if name not in self._services:
                self._services[name] = _pending.ServiceState(
                    name, self._data_centre
                )
                self._update_instances(self._services[name])

    def on_registry_changed(
        self, message: fleet_events.RegistryChanged
    ) -> None:
        """Takes in the listed instances.

        Args:
            message: The instances of each service.
        """
        self._instances_by_service = message.instances_by_service
        for state in self._services.values():
            self._update_instances(state)

    def on_bounds_changed(self, message: fleet_events.BoundsChanged) -> None:
        """Takes in changed settings.

        Args:
            message: The bounds.
        """
        self._bounds = message.bounds

    def on_serving_daemons_changed(
        self, message: fleet_events.ServingDaemonsChanged
    ) -> None:
        """Takes in which daemons share the services' slots and retries.

        Args:
            message: Their number, and whether this is one of them.
        """
        self._serving_daemons = max(1, message.daemon_count)
        self._is_serving = message.is_serving

    def on_health_report_received(
        self, message: fleet_events.HealthReportReceived
    ) -> None:
        """Takes in what another daemon saw of an instance.

        Args:
            message: The observation.
        """
        heard = message.report
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
            self.remove_instance(state, instance)
        elif heard.symptom is health_reports.Symptom.RECOVERED:
            state.balancer.record_peer_success(heard.instance_id, now_s)
        else:
            _apply_symptom(
                state.balancer, heard.instance_id, heard.symptom, now_s
            )

    def assign(self, pending: _pending.PendingRequest, service: str) -> None:
        """Gives a new request to a service.

        Args:
            pending: The request.
            service: The service that is to run it.
        """
        state = self._services[service]
        pending.service = state
        state.retries.record_request(
            self._bounds.retry_window_s, self._clock.now_s()
        )

    def pick_instance(
        self, pending: _pending.PendingRequest, wants_unhealthy: bool = False
    ) -> load_balancer.Selection:
        """Chooses an instance for a request.

        Args:
            pending: The request.
            wants_unhealthy: Whether a sick instance is wanted.

        Returns:
            The instance, or whether waiting for one makes sense.
        """
        assert pending.service is not None
        can_retry = self.can_retry(pending)
        now_s = self._clock.now_s()
        return pending.service.balancer.choose(
            self._random,
            now_s,
            can_retry,
            pending.attempted_instances,
            pending.service.degradation.is_degraded(now_s),
            wants_unhealthy,
        )

    def slot_share(self, state: _pending.ServiceState) -> int:
        """This daemon's part of the slots of the service's good instances."""
        slots = state.balancer.healthy_slots(self._clock.now_s())
        return max(1, slots // self._serving_daemons)

    def expected_duration_s(self, pending: _pending.PendingRequest) -> float:
        """How long an instance usually works on a request, in seconds."""
        assert pending.service is not None and pending.route is not None
        return pending.service.balancer.usual_s(
            pending.route.name,
            pending.route.target_s * ASSUMED_DURATION_FRACTION,
        )

    def spend_attempt(self, pending: _pending.PendingRequest) -> bool:
        """Takes a further try of a request out of the budgets."""
        assert pending.service is not None
        if pending.attempts_left < 1:
            return False
        if not pending.sent_to:
            return True
        return pending.service.retries.spend(
            self._bounds.retry_ratio,
            self._retry_slack,
            self._bounds.retry_window_s,
            self._clock.now_s(),
        )

    def can_retry(self, pending: _pending.PendingRequest) -> bool:
        """Whether a failure of the next try would leave another one."""
        assert pending.service is not None
        if not pending.is_idempotent or pending.attempts_left < 2:
            return False
        return pending.service.retries.can_spend(
            self._bounds.retry_ratio,
            self._retry_slack,
            self._bounds.retry_window_s,
            self._clock.now_s(),
        )

    @property
    def _retry_slack(self) -> float:
        """This daemon's part of the retries that need no requests."""
        if not self._is_serving:
            return 0.0
        return self._bounds.retry_slack / self._serving_daemons

    def retry_after_s(self, pending: _pending.PendingRequest) -> float:
        """Spreads those who come back over the time that the queue needs."""
        assert pending.service is not None
        state = pending.service
        ahead_s = (
            len(state.queue)
            * self.expected_duration_s(pending)
            / self.slot_share(state)
        )
        return max(MIN_RETRY_AFTER_S, ahead_s) * (0.5 + self._random.random())

    def record_symptom(
        self,
        pending: _pending.PendingRequest,
        instance: load_balancer.Instance,
        symptom: health_reports.Symptom,
    ) -> None:
        """Holds a symptom against an instance, here and elsewhere."""
        assert pending.service is not None
        now_s = self._clock.now_s()
        state = pending.service
        chance = _apply_symptom(state.balancer, instance.id, symptom, now_s)
        _log.info(
            "instance suspected",
            request_id=pending.request.request_id,
            service=state.name,
            instance=instance.id,
            symptom=symptom.value,
            chance=round(chance or 0.0, 3),
            load=round(instance.load(now_s), 1),
        )
        self.publish_symptom(state, instance, symptom)

    def remove_instance(
        self, state: _pending.ServiceState, instance: load_balancer.Instance
    ) -> None:
        """Gives an instance that is not at its address no more work."""
        state.removed_instances.add((instance.id, instance.entry.started_ms))
        state.balancer.drop(instance.id)

    def publish_symptom(
        self,
        state: _pending.ServiceState,
        instance: load_balancer.Instance,
        symptom: health_reports.Symptom,
    ) -> None:
        """Tells other daemons what was seen of an instance."""
        entry = instance.entry
        seen = health_reports.HealthReport(
            state.name, entry.id, entry.started_ms, symptom
        )
        self._peer_monitor.force(fleet_events.HealthReportIssued(seen))

    def record_outcome(
        self, state: _pending.ServiceState, is_served: bool, is_due: bool
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
            self._peer_monitor.force(fleet_events.HealthReportIssued(troubled))

    def _update_instances(self, state: _pending.ServiceState) -> None:
        known = {
            (item.entry.id, item.entry.started_ms)
            for item in self._instances_by_service.get(state.name, ())
        }
        state.removed_instances &= known
        listed = [
            item
            for item in self._instances_by_service.get(state.name, ())
            if not item.entry.is_draining
            and (item.entry.id, item.entry.started_ms)
            not in state.removed_instances
        ]
        state.balancer.set_listed(listed, self._clock.now_s())


def _apply_symptom(
    service_placement: load_balancer.LoadBalancer,
    instance_id: str,
    symptom: health_reports.Symptom,
    now_s: float,
) -> float | None:
    if symptom is health_reports.Symptom.SLOW:
        return service_placement.record_slow(instance_id, now_s)
    at_once = symptom is health_reports.Symptom.FAILED
    return service_placement.record_failure(instance_id, at_once, now_s)
