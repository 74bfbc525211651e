"""Keeps the quotas of tenants, with other daemons."""

from __future__ import annotations

import math
import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import bounds as bounds_domain
from dotterelpath.domain import exchange
from dotterelpath.domain import quota_peers
from dotterelpath.domain import quota_reports
from dotterelpath.domain import quota_rules
from dotterelpath.domain import quotas
from dotterelpath.domain import tenants
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import metrics as metrics_port
from dotterelpath.ports import randomness
from dotterelpath.ports import timers as timers_port
from dotterelpath.tasks import _pending
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox

# The time of the start tells the processes of a daemon apart. Its number, in
# milliseconds, stays below this one to be short in datagrams.
MAX_RUN = 2**31
# A tenant that is refused requests is logged at most once in this time, in
# seconds.
LOG_PERIOD_S = 10.0
# The most tenants of which it is kept when they were logged.
MAX_LOGGED = 1024

_log = structlog.get_logger()


class Quotas:
    """Refuses requests beyond the quotas, and reports to other daemons.

    Part of the gateway task, which owns its state.
    """

    __slots__ = (
        "_clock",
        "_is_scheduled",
        "_logged_s",
        "_logged_standing",
        "_metrics",
        "_peer_monitor",
        "_quotas",
        "_random",
        "_timers",
    )

    def __init__(
        self,
        bounds: bounds_domain.Bounds,
        clock: clock_port.Clock,
        random: randomness.RandomSource,
        timers: timers_port.Timers[typing.Any],
        metrics: metrics_port.Metrics,
        peer_monitor: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates an object without tenants.

        Args:
            bounds: The limits from the settings.
            clock: Tells the time.
            random: Spreads callers that are refused.
            timers: Schedules reports.
            metrics: Records refusals.
            peer_monitor: Mailbox of the task that sends reports to other
                daemons.
        """
        self._clock = clock
        self._random = random
        self._timers = timers
        self._metrics = metrics
        self._peer_monitor = peer_monitor
        run = int(clock.now_s() * 1000.0) % MAX_RUN
        self._quotas = quotas.Quotas(_rule(bounds), run)
        self._is_scheduled = False
        self._logged_s: dict[str, float] = {}
        self._logged_standing: tuple[typing.Any, ...] | None = None

    def set_tenants(self, known: typing.Mapping[str, tenants.Tenant]) -> None:
        """Sets the tenants of the configuration in force.

        Args:
            known: The tenants by name; none if the configuration has none.
        """
        self._quotas.set_tenants(known)
        self._schedule(self._clock.now_s())

    def admit(self, pending: _pending.PendingRequest) -> None:
        """Takes a token of the tenant's quota for a request.

        Args:
            pending: The request.

        Raises:
            DotterelpathError: The tenant has used up its quota.
        """
        tenant = pending.tenant
        if tenant is None or tenant.rate_per_s <= 0.0:
            return
        now_s = self._clock.now_s()
        pending.is_quota_used = self._quotas.admit(tenant, now_s)
        self._schedule(now_s)
        if not self._quotas.standing(now_s).is_serving:
            # The others must know before many such daemons admit more.
            self._send_due(now_s)
        if not pending.is_quota_used:
            self._metrics.record_quota_refusal(tenant.name)
            self._log_refusal(tenant, now_s)
            raise errors.DotterelpathError(
                errors.ResultCode.QUOTA_EXCEEDED,
                f"tenant {tenant.name!r} is beyond {tenant.rate_per_s:g}"
                " requests a second",
            )

    def refund_unused(
        self, pending: _pending.PendingRequest, outcome: exchange.Outcome
    ) -> None:
        """Returns the token of a request that has not run.

        A request whose caller has gone may still run if it was sent.

        Args:
            pending: The request.
            outcome: Its outcome.
        """
        is_gone = outcome.code is errors.ResultCode.CALLER_GONE
        if (
            pending.is_quota_used
            and pending.tenant is not None
            and outcome.is_not_run
            and not (is_gone and pending.sent_to)
        ):
            pending.is_quota_used = False
            self._quotas.refund(pending.tenant, self._clock.now_s())

    def retry_after_s(self, pending: _pending.PendingRequest) -> float:
        """Returns when the caller of a refused request should return.

        Args:
            pending: The request.

        Returns:
            The time until then, in seconds.
        """
        assert pending.tenant is not None
        return self._quotas.retry_after_s(
            pending.tenant, self._clock.now_s(), self._random.random()
        )

    def on_bounds_changed(self, message: fleet_events.BoundsChanged) -> None:
        """Applies changed settings.

        Args:
            message: The new limits.
        """
        self._quotas.set_rule(_rule(message.bounds))

    def on_serving_daemons_changed(
        self, message: fleet_events.ServingDaemonsChanged
    ) -> None:
        """Updates the daemons that share the quotas.

        Args:
            message: The serving daemons.
        """
        self._quotas.set_serving(
            message.own_id,
            [id for id, _ in message.serving],
            message.is_serving,
            message.other_count,
        )

    def on_quota_report_received(
        self, message: fleet_events.QuotaReportReceived
    ) -> None:
        """Applies another daemon's report.

        Args:
            message: The report.
        """
        now_s = self._clock.now_s()
        self._quotas.record_report(
            message.daemon_id, message.header, message.entries, now_s
        )
        self._schedule(now_s)

    def on_quota_used_up_received(
        self, message: fleet_events.QuotaUsedUpReceived
    ) -> None:
        """Records that tenants have used up their quota.

        Args:
            message: The tenants.
        """
        now_s = self._clock.now_s()
        self._quotas.record_announcement(message.tenant_names, now_s)

    def on_round_due(self) -> None:
        """Sends what is due, and continues while quotas are in use."""
        self._is_scheduled = False
        now_s = self._clock.now_s()
        self._send_due(now_s)
        self._log_standing(now_s)
        self._schedule(now_s)

    def status(self, count: int) -> dict[str, typing.Any]:
        """Returns the busiest tenants, for the status pages.

        Args:
            count: The most tenants to return.
        """
        now_s = self._clock.now_s()
        standing = self._quotas.standing(now_s)
        return {
            "is_serving": standing.is_serving,
            "members": standing.members,
            "connected": standing.connected,
            "has_quorum": standing.has_quorum,
            "tenants": {
                found.tenant.name: {
                    "rate_per_s": found.tenant.rate_per_s,
                    "burst": found.tenant.burst,
                    "used_per_s": round(found.used_per_s, 1),
                    "refused_per_s": round(found.refused_per_s, 1),
                    "share": round(found.fraction, 3),
                    "tokens": round(found.level, 1),
                    "mode": found.mode.value,
                    "reports": found.reports,
                }
                for found in self._quotas.busiest(count, now_s)
            },
        }

    def _schedule(self, now_s: float) -> None:
        if not self._is_scheduled and self._quotas.is_active(now_s):
            self._is_scheduled = True
            self._timers.add(now_s + quota_reports.PERIOD_S, self)

    def _send_due(self, now_s: float) -> None:
        report = self._quotas.take_report(now_s)
        if report is not None:
            self._peer_monitor.force(fleet_events.QuotaReportIssued(report))
        names = self._quotas.take_announcement(now_s)
        if names:
            self._peer_monitor.force(fleet_events.QuotaUsedUpIssued(names))

    def _log_refusal(self, tenant: tenants.Tenant, now_s: float) -> None:
        last_s = self._logged_s.get(tenant.name, -math.inf)
        if now_s - last_s < LOG_PERIOD_S:
            return
        if len(self._logged_s) >= MAX_LOGGED:
            self._logged_s.clear()
        self._logged_s[tenant.name] = now_s
        standing = self._quotas.standing(now_s)
        found = self._quotas.status_of(tenant, now_s)
        _log.info(
            "quota exceeded",
            tenant=tenant.name,
            rate_per_s=tenant.rate_per_s,
            burst=tenant.burst,
            used_per_s=round(found.used_per_s, 1),
            refused_per_s=round(found.refused_per_s, 1),
            share=round(found.fraction, 3),
            tokens=round(found.level, 1),
            mode=found.mode.value,
            reports=found.reports,
            connected=standing.connected,
            members=standing.members,
        )

    def _log_standing(self, now_s: float) -> None:
        """Logs a change of the contact with the other daemons."""
        standing: quota_peers.Standing = self._quotas.standing(now_s)
        seen = (
            standing.is_serving,
            standing.is_alone,
            standing.has_quorum,
            standing.connected,
            standing.members,
        )
        if seen == self._logged_standing:
            return
        self._logged_standing = seen
        _log.info(
            "quota contact changed",
            is_serving=standing.is_serving,
            is_alone=standing.is_alone,
            has_quorum=standing.has_quorum,
            connected=standing.connected,
            members=standing.members,
        )


def _rule(bounds: bounds_domain.Bounds) -> quota_rules.Rule:
    return quota_rules.Rule(
        bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack
    )
