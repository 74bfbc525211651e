"""Judges attempts that are open for long: their instance may hang."""

from __future__ import annotations

import structlog

from dotterelpath.domain import health_reports
from dotterelpath.domain import hedging
from dotterelpath.domain import late_evidence
from dotterelpath.tasks import _pending
from dotterelpath.tasks import _services

_log = structlog.get_logger()


class LateAttempts:
    """Takes the time for which attempts are open as evidence.

    Part of the gateway task, which owns its state.
    """

    __slots__ = ("_services",)

    def __init__(self, services: _services.Services) -> None:
        """Creates an object without state of its own.

        Args:
            services: The services.
        """
        self._services = services

    def open_request(
        self, pending: _pending.PendingRequest, now_s: float
    ) -> late_evidence.OpenRequest:
        """Returns the evidence of a request that is sent now.

        Args:
            pending: The request.
            now_s: The current time on the monotonic clock, in seconds.
        """
        assert pending.service is not None and pending.route is not None
        durations = pending.service.balancer.durations(
            pending.route.name, _assumed_s(pending)
        )
        return late_evidence.OpenRequest(durations, now_s)

    def record_open(self, attempt: _pending.OpenAttempt, now_s: float) -> None:
        """Records that an attempt is still open, if it is due for that.

        Other daemons are told once the instance counts as unhealthy.

        Args:
            attempt: The attempt.
            now_s: The current time on the monotonic clock, in seconds.
        """
        state = attempt.pending.service
        assert state is not None
        instance = attempt.instance
        if not attempt.open_request.advance(instance, now_s):
            return
        state.balancer.rank_again(instance, now_s)
        if attempt.is_reported or not instance.is_unhealthy(now_s):
            return
        attempt.is_reported = True
        state.success_log.discard(instance.id)
        _log.info(
            "instance may hang",
            request_id=attempt.pending.request.request_id,
            service=state.name,
            instance=instance.id,
            open_ms=round(attempt.open_request.age_s(now_s) * 1000.0, 1),
            chance=round(instance.failing(now_s), 3),
        )
        self._services.publish_symptom(
            state, instance, health_reports.Symptom.FAILED_LATE
        )

    def take_back(self, attempt: _pending.OpenAttempt, now_s: float) -> None:
        """Takes back the evidence of an attempt that was served after all.

        Args:
            attempt: The attempt.
            now_s: The current time on the monotonic clock, in seconds.
        """
        state = attempt.pending.service
        assert state is not None
        if not attempt.open_request.take_back(attempt.instance, now_s):
            return
        state.balancer.rank_again(attempt.instance, now_s)
        if attempt.is_reported:
            self._services.publish_symptom(
                state, attempt.instance, health_reports.Symptom.RECOVERED
            )

    def record_cancelled(
        self, attempt: _pending.OpenAttempt, now_s: float
    ) -> None:
        """Records how long a cancelled attempt took at least.

        Args:
            attempt: The attempt.
            now_s: The current time on the monotonic clock, in seconds.
        """
        pending = attempt.pending
        assert pending.service is not None and pending.route is not None
        if not attempt.instance.is_unhealthy(now_s):
            pending.service.balancer.record_cancelled(
                pending.route.name,
                _assumed_s(pending),
                attempt.open_request.age_s(now_s),
            )

    def is_hedge_worthwhile(
        self,
        attempt: _pending.OpenAttempt,
        other_failing: float,
        now_s: float,
    ) -> bool:
        """Tells whether a second attempt gains enough for a retry.

        Args:
            attempt: The attempt that is open.
            other_failing: The probability that the second one fails.
            now_s: The current time on the monotonic clock, in seconds.
        """
        pending = attempt.pending
        assert pending.route is not None
        target_s = pending.arrived_s + pending.route.target_latency_s
        gain = hedging.gain(
            attempt.open_request,
            attempt.instance.failure_filter.hang_probability(
                attempt.open_request.survival, now_s
            ),
            other_failing,
            target_s - now_s,
            pending.deadline_s - now_s,
            now_s,
        )
        return gain >= hedging.price(self._services.used_retry_share(pending))


def _assumed_s(pending: _pending.PendingRequest) -> float:
    """Returns the duration to assume before the first response, in seconds."""
    assert pending.route is not None
    return pending.route.target_latency_s * _services.ASSUMED_DURATION_FRACTION
