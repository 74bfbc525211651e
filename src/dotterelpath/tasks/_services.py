"""The services of the gateway: instances, their health, retry budgets."""

from __future__ import annotations

import enum
import typing

import structlog

from dotterelpath.domain import bounds as bounds_domain
from dotterelpath.domain import configuration
from dotterelpath.domain import dispatch_decision
from dotterelpath.domain import health_reports
from dotterelpath.domain import instance_state
from dotterelpath.domain import load_balancer
from dotterelpath.domain import registry
from dotterelpath.domain import work_estimate
from dotterelpath.ports import backend
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import randomness
from dotterelpath.tasks import _limits
from dotterelpath.tasks import _pending
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox

# The duration assumed for a route without responses, as a fraction of its
# target latency.
ASSUMED_DURATION_FRACTION = 0.3
# The shortest mean retry-after time for refused callers, in seconds.
MIN_RETRY_AFTER_S = 0.2
# The most instances of a service that are remembered as removed.
MAX_REMOVED_INSTANCES = 4096
# A late request is sent to an instance that rejects at most this share. More
# would cost more retries than it is worth.
MAX_REJECTING = 0.7
# The slots that are assumed to be usable at least, if all instances name limits
# that other daemons hold.
MIN_SLOTS = 0.05

_log = structlog.get_logger()


class WaitReason(enum.Enum):
    """Why a request waits."""

    # No instance that should run it has a free slot.
    SLOT = "slot"
    # The retry budget is spent.
    RETRY_BUDGET = "retry budget"
    # Instances reject many requests as not run, and may soon reject fewer.
    BETTER_CHANCE = "better chance"


class RefusalReason(enum.Enum):
    """Why a request was refused that was not run."""

    # All attempts were rejected, or reached no instance.
    ATTEMPTS = "attempts"
    # The next attempt waited until it could not meet the deadline any more.
    NO_RETRY = "no retry"
    # Too much work is ahead of it in the queue.
    QUEUE = "queue"
    # No instance had a free slot before the deadline.
    SLOT = "slot"
    # The daemon stops.
    STOP = "stop"


# The reasons of requests that wait for a retry.
_RETRY_REASONS = frozenset(
    (WaitReason.RETRY_BUDGET.value, WaitReason.BETTER_CHANCE.value)
)


class Services:
    """Holds the state of each service.

    Part of the gateway task, which owns its state.
    """

    __slots__ = (
        "_bounds",
        "_clock",
        "_data_centre",
        "_instances_by_service",
        "_is_serving",
        "_limits",
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
        """Creates an object without services.

        Args:
            data_centre: The data centre of this daemon.
            bounds: The limits from the settings.
            clock: Tells the time.
            random: Breaks ties and spreads retries.
            peer_monitor: Mailbox of the task that sends health reports to other
                daemons.
        """
        self._data_centre = data_centre
        self._bounds = bounds
        self._clock = clock
        self._random = random
        self._peer_monitor = peer_monitor
        self._services: dict[str, _pending.ServiceState] = {}
        self._instances_by_service: dict[
            str, list[registry.RegisteredInstance]
        ] = {}
        self._serving_daemons = 1
        self._is_serving = False
        self._limits = _limits.Limits(self._services, clock, peer_monitor)

    @property
    def limits(self) -> _limits.Limits:
        """The limits of requests that instances name."""
        return self._limits

    @property
    def states(self) -> dict[str, _pending.ServiceState]:
        """The services by name."""
        return self._services

    def set_services(self, services: dict[str, configuration.Service]) -> None:
        """Adds the services of a newer configuration.

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
        """Updates the instances of all services.

        Args:
            message: The instances of each service.
        """
        self._instances_by_service = message.instances_by_service
        for state in self._services.values():
            self._update_instances(state)

    def on_bounds_changed(self, message: fleet_events.BoundsChanged) -> None:
        """Applies changed settings.

        Args:
            message: The new limits.
        """
        self._bounds = message.bounds

    def on_serving_daemons_changed(
        self, message: fleet_events.ServingDaemonsChanged
    ) -> None:
        """Updates this daemon's share of the slots and retries.

        Args:
            message: The number of serving daemons, and whether this daemon is
                one of them.
        """
        self._serving_daemons = max(1, message.daemon_count)
        self._is_serving = message.is_serving
        self._limits.on_serving_daemons_changed(message)

    def on_health_report_received(
        self, message: fleet_events.HealthReportReceived
    ) -> None:
        """Applies a health report of another daemon.

        Args:
            message: The report.
        """
        report = message.report
        state = self._services.get(report.service)
        _log.info(
            "health report received",
            sender=message.daemon_id,
            service=report.service,
            instance=report.instance_id,
            symptom=report.symptom.value,
            is_known=state is not None,
        )
        if state is None:
            return
        if report.symptom is health_reports.Symptom.SERVICE_DEGRADED:
            state.degradation.record_peer_report(self._clock.now_s())
            return
        instance = state.balancer.instances.get(report.instance_id)
        # A report on another run of the instance does not apply to this one.
        if instance is None or instance.entry.started_ms != report.started_ms:
            return
        now_s = self._clock.now_s()
        if report.symptom is health_reports.Symptom.UNREACHABLE:
            self.remove_instance(state, instance)
        elif report.symptom is health_reports.Symptom.RECOVERED:
            state.balancer.record_peer_success(report.instance_id, now_s)
        else:
            _apply_symptom(
                state.balancer, report.instance_id, report.symptom, now_s
            )

    def on_leaving_report_received(
        self, message: fleet_events.LeavingReportReceived
    ) -> None:
        """Removes instances that another daemon reports as leaving.

        Leaving is final for a run of an instance, and an earlier run has ended.
        A report on a run before the listed one, or on an instance that is not
        listed yet, has no effect; the store has the entry of the latter.

        Args:
            message: The report.
        """
        for service, instance_id, started_ms in message.report.instances:
            state = self._services.get(service)
            if state is None:
                continue
            instance = state.balancer.instances.get(instance_id)
            if instance is None or instance.entry.started_ms > started_ms:
                continue
            _log.info(
                "instance leaves",
                instance=instance_id,
                service=service,
                sender=message.daemon_id,
            )
            self.remove_instance(state, instance)

    def on_success_report_received(
        self, message: fleet_events.SuccessReportReceived
    ) -> None:
        """Applies another daemon's report on instances that served requests.

        Args:
            message: The report.
        """
        state = self._services.get(message.report.service)
        if state is not None:
            state.balancer.record_peer_successes(
                message.report.instances, self._clock.now_s()
            )

    def record_success(
        self,
        pending: _pending.PendingRequest,
        instance: instance_state.InstanceState,
        duration_s: float,
    ) -> None:
        """Records a successful response and reports it to other daemons.

        Args:
            pending: The request.
            instance: The instance that served it.
            duration_s: The duration of the attempt, in seconds.
        """
        assert pending.service is not None and pending.route is not None
        state = pending.service
        now_s = self._clock.now_s()
        was_unhealthy = state.balancer.record_success(
            instance.id, pending.route.name, duration_s, now_s
        )
        if was_unhealthy:
            _log.info(
                "instance recovered",
                request_id=pending.request.request_id,
                instance=instance.id,
            )
            self.publish_symptom(
                state, instance, health_reports.Symptom.RECOVERED
            )
        state.rejections.record(False, now_s)
        estimate = state.work_by_route.get(pending.route.name)
        if estimate is None:
            state.work_by_route[pending.route.name] = (
                work_estimate.WorkEstimate(duration_s)
            )
        else:
            estimate.record(duration_s)
        if instance.is_avoided(now_s):
            return
        state.success_log.record(instance.id, instance.entry.started_ms)
        due = state.success_log.take_due(now_s)
        if due and self._serving_daemons > 1:
            report = health_reports.SuccessReport(state.name, due)
            self._peer_monitor.force(fleet_events.SuccessReportIssued(report))

    def assign(self, pending: _pending.PendingRequest, service: str) -> None:
        """Assigns a request to a service and counts it for the retry budget.

        Args:
            pending: The request.
            service: The service that runs it.
        """
        state = self._services[service]
        pending.service = state
        state.retries.record_request(
            self._bounds.retry_window_s, self._clock.now_s()
        )

    def select_instance(
        self, pending: _pending.PendingRequest
    ) -> load_balancer.Selection:
        """Selects an instance for a request.

        Args:
            pending: The request.

        Returns:
            The instance, or whether the request can wait for one.
        """
        assert pending.service is not None
        now_s = self._clock.now_s()
        self._limits.report_held(pending.service, now_s)
        balancer = pending.service.balancer
        degradation = pending.service.degradation
        return balancer.choose(
            self._random,
            now_s,
            self.can_retry(pending),
            pending.attempted_instances,
            degradation.is_degraded(now_s),
            self._bounds.min_used_share,
            degradation.can_cover(len(balancer.instances), now_s),
        )

    def select_unhealthy_instance(
        self, pending: _pending.PendingRequest, max_failing: float = 1.0
    ) -> load_balancer.Selection:
        """Selects an unhealthy instance for a request that waited too long.

        Args:
            pending: The request.
            max_failing: The highest probability to fail the request that is
                accepted of an instance.
        """
        assert pending.service is not None
        return pending.service.balancer.choose_unhealthy(
            self._random,
            self._clock.now_s(),
            self.can_retry(pending),
            pending.attempted_instances,
            max_failing,
        )

    def select_rejecting_instance(
        self, pending: _pending.PendingRequest
    ) -> load_balancer.Selection:
        """Selects an instance that rejects requests but does not fail them.

        A request that is rejected there needs a retry. None is selected if the
        budget has no more than those that already wait for it.

        Args:
            pending: A request that may not run more than once.
        """
        state = pending.service
        assert state is not None
        none = load_balancer.Selection(None, True)
        retries = self._retries_left(state)
        if pending.attempts_left < 2 or retries <= len(state.waiting_retries):
            return none
        selection = self.select_unhealthy_instance(pending, MAX_REJECTING)
        instance = selection.instance
        if instance is None or instance.is_unhealthy(self._clock.now_s()):
            return none
        return load_balancer.Selection(
            instance, False, load_balancer.Reason.REJECTING
        )

    def slot_share(self, state: _pending.ServiceState) -> float:
        """Returns this daemon's share of the slots that requests wait for.

        A daemon with more callers than the others uses more than an equal
        share, and can at least keep busy what it does now.
        """
        now_s = self._clock.now_s()
        slots = state.balancer.accepted_slots(now_s)
        shared = max(1.0, slots / self._serving_daemons) if slots else 0.0
        if not state.balancer.limited:
            busy = min(float(slots), state.queue.busy_slots(now_s))
            return max(1.0, shared, busy)
        return max(MIN_SLOTS, shared + state.balancer.limited_slots(now_s))

    def expected_duration_s(self, pending: _pending.PendingRequest) -> float:
        """Returns the usual duration of a request on its route, in seconds."""
        assert pending.service is not None and pending.route is not None
        return pending.service.balancer.typical_s(
            pending.route.name,
            pending.route.target_latency_s * ASSUMED_DURATION_FRACTION,
        )

    def prospect(
        self, pending: _pending.PendingRequest
    ) -> dispatch_decision.Prospect:
        """Returns what the next attempt of a request can be worth."""
        assert pending.service is not None and pending.route is not None
        work_s = self.expected_duration_s(pending)
        estimate = pending.service.work_by_route.get(pending.route.name)
        high_s = work_s * work_estimate.FIRST_HIGH_FACTOR
        return dispatch_decision.Prospect(
            pending.arrived_s + pending.route.target_latency_s,
            pending.deadline_s,
            work_s,
            high_s if estimate is None else estimate.high_s,
        )

    def is_better_later(self, pending: _pending.PendingRequest) -> bool:
        """Whether the last attempt of a request is worth more later."""
        assert pending.service is not None
        now_s = self._clock.now_s()
        start_s = dispatch_decision.best_start_s(
            self.prospect(pending),
            self.chance(pending.service),
            self.retry_price(pending.service),
            now_s,
        )
        return start_s > now_s

    def retry_price(self, state: _pending.ServiceState) -> float:
        """Returns what a retry is worth if it is kept for later."""
        return dispatch_decision.retry_price(
            self._retries_left(state),
            len(state.waiting_retries),
            self._bounds.retry_window_s,
        )

    def _retries_left(self, state: _pending.ServiceState) -> float:
        return state.retries.left(
            self._bounds.retry_ratio,
            self._retry_slack,
            self._bounds.retry_window_s,
            self._clock.now_s(),
        )

    def chance(self, state: _pending.ServiceState) -> float:
        """Returns the chance that the next attempt is not rejected."""
        return 1.0 - state.rejections.share(self._clock.now_s())

    def spend_attempt(self, pending: _pending.PendingRequest) -> bool:
        """Takes an attempt out of the request's and the service's budgets.

        Returns:
            Whether the attempt may be made. The first one is always free.
        """
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

    def can_spend_retry(self, state: _pending.ServiceState) -> bool:
        """Whether the retry budget of a service allows a retry now."""
        return state.retries.can_spend(
            self._bounds.retry_ratio,
            self._retry_slack,
            self._bounds.retry_window_s,
            self._clock.now_s(),
        )

    def can_retry(self, pending: _pending.PendingRequest) -> bool:
        """Whether the request could be retried if its next attempt fails."""
        assert pending.service is not None
        if not pending.is_idempotent or pending.attempts_left < 2:
            return False
        return self.can_spend_retry(pending.service)

    def used_retry_share(self, pending: _pending.PendingRequest) -> float:
        """Returns the share of the retry budget that is used after a retry."""
        assert pending.service is not None
        return pending.service.retries.used_share(
            self._bounds.retry_ratio,
            self._retry_slack,
            self._bounds.retry_window_s,
            self._clock.now_s(),
        )

    @property
    def _retry_slack(self) -> float:
        """This daemon's share of the fixed allowance, in retries per window."""
        if not self._is_serving:
            return 0.0
        return self._bounds.retry_slack / self._serving_daemons

    def retry_after_s(self, pending: _pending.PendingRequest) -> float:
        """Returns how long a refused caller should wait, in seconds.

        Spreads the callers at random around the time that the queue needs. A
        new request has no more attempts than the refused one until the budget
        allows a retry again.
        """
        assert pending.service is not None
        state = pending.service
        queue_time_s = (
            len(state.queue)
            * self.expected_duration_s(pending)
            / self.slot_share(state)
        )
        spread = self._random.random()
        now_s = self._clock.now_s()
        budget_time_s = 0.0
        if not _RETRY_REASONS.isdisjoint(pending.wait_reasons):
            budget_time_s = (
                state.retries.next_start_s(
                    self._bounds.retry_ratio,
                    self._retry_slack,
                    self._bounds.retry_window_s,
                    now_s,
                )
                - now_s
            )
        return max(
            max(MIN_RETRY_AFTER_S, queue_time_s) * (0.5 + spread),
            budget_time_s * (1.0 + spread / 2.0),
        )

    def record_symptom(
        self,
        pending: _pending.PendingRequest,
        instance: instance_state.InstanceState,
        symptom: health_reports.Symptom,
        is_local: bool = False,
    ) -> None:
        """Records a symptom of an instance and reports it to other daemons.

        Args:
            pending: The request that showed the symptom.
            instance: The instance.
            symptom: The symptom.
            is_local: Whether the symptom may have its cause in the path from
                this daemon to the instance, so that it is not reported.
        """
        assert pending.service is not None
        now_s = self._clock.now_s()
        state = pending.service
        state.success_log.discard(instance.id)
        probability = _apply_symptom(
            state.balancer, instance.id, symptom, now_s
        )
        _log.info(
            "instance symptom recorded",
            request_id=pending.request.request_id,
            service=state.name,
            instance=instance.id,
            symptom=symptom.value,
            chance=round(probability or 0.0, 3),
            load=round(instance.load(now_s), 1),
        )
        if not is_local:
            self.publish_symptom(state, instance, symptom)

    def record_leaving(
        self,
        state: _pending.ServiceState,
        attempt: _pending.OpenAttempt,
        metadata: backend.ResponseMetadata,
    ) -> None:
        """Removes an instance whose response says that it leaves.

        Leaving is final for a run of an instance: a later response without the
        sign, or an entry that says it is ready, has no effect. A response of
        another instance at the address has none either.

        Args:
            state: The service.
            attempt: The attempt that was responded to.
            metadata: What the response says.
        """
        instance = attempt.instance
        is_known = state.balancer.instances.get(instance.id) is instance
        if not metadata.is_leaving or metadata.is_misrouted or not is_known:
            return
        _log.info(
            "instance leaves",
            request_id=attempt.pending.request.request_id,
            instance=instance.id,
            service=state.name,
            sender=instance.id,
        )
        self.remove_instance(state, instance)
        entry = instance.entry
        report = health_reports.LeavingReport(
            [(state.name, entry.id, entry.started_ms)]
        )
        self._peer_monitor.force(fleet_events.LeavingReportIssued(report, True))

    def remove_instance(
        self,
        state: _pending.ServiceState,
        instance: instance_state.InstanceState,
    ) -> None:
        """Removes an instance that leaves or is not at its address any more."""
        removed = state.removed_instances
        removed.pop(instance.id, None)
        removed[instance.id] = instance.entry.started_ms
        if len(removed) > MAX_REMOVED_INSTANCES:
            del removed[next(iter(removed))]
        state.balancer.drop(instance.id)

    def publish_symptom(
        self,
        state: _pending.ServiceState,
        instance: instance_state.InstanceState,
        symptom: health_reports.Symptom,
    ) -> None:
        """Reports a symptom of an instance to other daemons."""
        entry = instance.entry
        report = health_reports.HealthReport(
            state.name, entry.id, entry.started_ms, symptom
        )
        self._peer_monitor.force(fleet_events.HealthReportIssued(report))

    def record_outcome(
        self, state: _pending.ServiceState, is_served: bool, is_probe: bool
    ) -> None:
        """Records the outcome of a request.

        Reports a degraded service to other daemons.

        Args:
            state: The service of the request.
            is_served: Whether its caller got a successful response.
            is_probe: Whether its first attempt was a probe.
        """
        now_s = self._clock.now_s()
        state.degradation.record_end(is_served, is_probe, now_s)
        if state.degradation.should_report(now_s):
            _log.info("service degraded", service=state.name)
            report = health_reports.HealthReport(
                state.name, "", 0, health_reports.Symptom.SERVICE_DEGRADED
            )
            self._peer_monitor.force(fleet_events.HealthReportIssued(report))

    def _update_instances(self, state: _pending.ServiceState) -> None:
        """Updates the instances that a service's balancer may choose.

        A removed instance is chosen again after a restart, which changes its
        start time. Until then it stays removed, also if its entry expires and
        reappears.
        """
        available = [
            listed
            for listed in self._instances_by_service.get(state.name, ())
            if not listed.entry.is_draining
            and listed.entry.started_ms
            > state.removed_instances.get(listed.entry.id, -1)
        ]
        state.balancer.set_listed(available, self._clock.now_s())


def _apply_symptom(
    balancer: load_balancer.LoadBalancer,
    instance_id: str,
    symptom: health_reports.Symptom,
    now_s: float,
) -> float | None:
    if symptom is health_reports.Symptom.SLOW:
        return balancer.record_slow(instance_id, now_s)
    if symptom is health_reports.Symptom.REJECTED:
        return balancer.record_rejection(instance_id, now_s)
    is_immediate = symptom is health_reports.Symptom.FAILED
    return balancer.record_failure(instance_id, is_immediate, now_s)
