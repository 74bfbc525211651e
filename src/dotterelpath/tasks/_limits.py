"""Keeps the limits of requests that instances name, with other daemons."""

from __future__ import annotations

import typing

import structlog

from dotterelpath.domain import health_reports
from dotterelpath.domain import instance_state
from dotterelpath.domain import request_limits
from dotterelpath.ports import backend
from dotterelpath.ports import clock as clock_port
from dotterelpath.tasks import _pending
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox

_log = structlog.get_logger()


class Limits:
    """Learns limits from responses and from other daemons, and reports them.

    Part of the gateway task, which owns its state.
    """

    __slots__ = (
        "_clock",
        "_own_id",
        "_peer_monitor",
        "_reporting",
        "_services",
        "_serving",
    )

    def __init__(
        self,
        services: dict[str, _pending.ServiceState],
        clock: clock_port.Clock,
        peer_monitor: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates an object that knows no limits.

        Args:
            services: The services by name.
            clock: Tells the time.
            peer_monitor: Mailbox of the task that sends reports to other
                daemons.
        """
        self._services = services
        self._clock = clock
        self._peer_monitor = peer_monitor
        self._own_id = ""
        self._serving: typing.Sequence[request_limits.ServingDaemon] = ()
        self._reporting: typing.Collection[str] = ()

    def on_serving_daemons_changed(
        self, message: fleet_events.ServingDaemonsChanged
    ) -> None:
        """Updates this daemon's rank for each limited instance.

        Args:
            message: The serving daemons.
        """
        self._own_id = message.own_id
        self._serving = message.serving
        self._reporting = message.reporting
        now_s = self._clock.now_s()
        for state in self._services.values():
            for instance in state.balancer.limited.values():
                assert instance.request_limit is not None
                rank = self._rank_of(self._own_id, instance)
                rivals = self._count_rivals(instance)
                instance.request_limit.set_rank(rank, now_s, rivals)
                instance.announce_freed()

    def record_response(
        self,
        state: _pending.ServiceState,
        attempt: _pending.OpenAttempt,
        metadata: backend.ResponseMetadata,
    ) -> None:
        """Records the limit that a response names, or that it names none.

        A response to a request that was sent before the limit was learnt may
        have been made before the instance was in need. An invalid limit changes
        nothing. Neither does a response of another instance at the address, or
        of a run of the instance that has ended.

        Args:
            state: The service.
            attempt: The attempt that was responded to.
            metadata: What the response says.
        """
        instance = attempt.instance
        is_known = state.balancer.instances.get(instance.id) is instance
        if metadata.is_misrouted or not is_known:
            return
        limit = instance.request_limit
        if not metadata.states_request_limit:
            if limit is not None and attempt.sent_s > limit.learnt_s:
                self._lift(state, instance, self._own_id)
                self._report(state, [instance])
            return
        per_s = metadata.request_limit_per_s
        if per_s is None:
            _log.warning(
                "request limit invalid",
                request_id=attempt.pending.request.request_id,
                instance=instance.id,
            )
        elif self._set_limit(state, instance, per_s, self._own_id):
            self._report(state, [instance])

    def on_limit_report_received(
        self, message: fleet_events.LimitReportReceived
    ) -> None:
        """Applies another daemon's report on limits.

        Args:
            message: The report.
        """
        state = self._services.get(message.report.service)
        if state is None:
            return
        sender = message.daemon_id
        for instance_id, started_ms, per_s in message.report.limits:
            instance = state.balancer.instances.get(instance_id)
            if instance is None or instance.entry.started_ms != started_ms:
                continue
            if per_s is None:
                if instance.request_limit is not None:
                    self._lift(state, instance, sender)
                continue
            self._set_limit(state, instance, per_s, sender)
            assert instance.request_limit is not None
            instance.request_limit.record_holder(
                self._rank_of(sender, instance), self._clock.now_s()
            )

    def report_held(self, state: _pending.ServiceState, now_s: float) -> None:
        """Reports the limits that this daemon holds, while it has requests.

        Forgets limits without news.

        Args:
            state: The service of a request.
            now_s: The current time on the monotonic clock, in seconds.
        """
        limited = state.balancer.limited
        is_due = (
            now_s - state.limits_reported_s >= request_limits.REPORT_PERIOD_S
        )
        if not limited or not is_due:
            return
        state.limits_reported_s = now_s
        held = []
        for instance in list(limited.values()):
            limit = instance.request_limit
            assert limit is not None
            if limit.is_outdated(now_s):
                self._lift(state, instance, "")
            elif limit.is_held(now_s):
                held.append(instance)
        self._report(state, held)

    def _set_limit(
        self,
        state: _pending.ServiceState,
        instance: instance_state.InstanceState,
        per_s: float,
        source: str,
    ) -> bool:
        """Sets or renews a limit; returns whether it was unknown."""
        now_s = self._clock.now_s()
        limit = instance.request_limit
        if limit is None or limit.per_s != per_s:
            _log.info(
                "request limit named",
                service=state.name,
                instance=instance.id,
                per_s=per_s,
                before=limit.per_s if limit is not None else None,
                source=source,
                rank=self._rank_of(self._own_id, instance),
            )
        if limit is not None:
            limit.renew(per_s, now_s)
            instance.announce_freed()
            return False
        rank = self._rank_of(self._own_id, instance)
        state.balancer.set_request_limit(
            instance,
            request_limits.RequestLimit(
                per_s, rank, now_s, self._count_rivals(instance)
            ),
        )
        return True

    def _lift(
        self,
        state: _pending.ServiceState,
        instance: instance_state.InstanceState,
        source: str,
    ) -> None:
        assert instance.request_limit is not None
        _log.info(
            "request limit lifted",
            service=state.name,
            instance=instance.id,
            before=instance.request_limit.per_s,
            source=source,
        )
        state.balancer.set_request_limit(instance, None)

    def _report(
        self,
        state: _pending.ServiceState,
        instances: list[instance_state.InstanceState],
    ) -> None:
        """Sends a report on the limits of instances to other daemons."""
        limits = [
            (
                instance.id,
                instance.entry.started_ms,
                instance.request_limit.per_s
                if instance.request_limit is not None
                else None,
            )
            for instance in instances
        ]
        for start in range(0, len(limits), health_reports.MAX_INSTANCES):
            part = limits[start : start + health_reports.MAX_INSTANCES]
            report = health_reports.LimitReport(state.name, part)
            self._peer_monitor.force(fleet_events.LimitReportIssued(report))

    def _rank_of(
        self, daemon_id: str, instance: instance_state.InstanceState
    ) -> int | None:
        ranked = self._rank_daemons(instance)
        return ranked.index(daemon_id) if daemon_id in ranked else None

    def _count_rivals(self, instance: instance_state.InstanceState) -> int:
        """Counts the better ranked daemons that were heard from lately."""
        rank = self._rank_of(self._own_id, instance)
        better = self._rank_daemons(instance)[:rank]
        return sum(daemon_id in self._reporting for daemon_id in better)

    def _rank_daemons(
        self, instance: instance_state.InstanceState
    ) -> list[str]:
        return request_limits.rank_daemons(
            instance.id, instance.entry.data_centre, self._serving
        )
