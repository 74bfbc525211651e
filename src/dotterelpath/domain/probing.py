"""Decides when an instance that gets no requests must be probed.

A probe is a regular request that is sent to an instance because the instance
has gone too long without one.
"""

from __future__ import annotations

import math

# A service is degraded if a larger share of its requests is not served; then
# every instance is probed, so that capacity is not lost to outdated suspicions.
# The owners of a service require that each instance gets a minimum rate of
# requests once 0.1 of all requests to the service are not served. The threshold
# is lower, since each daemon sees only a part of the requests.
DEGRADED_SHARE = 0.08
# The time constant of the share, in seconds.
DECAY_S = 2.0
# The period of a daemon's reports of a degraded service to its peers, in
# seconds. The reports are needed since the owners' requirement applies to all
# requests of a service, not to those of one daemon.
REPORT_PERIOD_S = 0.3
# The time for which a daemon relies on a peer's report, in seconds.
PEER_REPORT_VALID_S = 1.0
# The fewest recent requests for a report to peers, so that a few failures
# among few requests are not reported.
MIN_REQUESTS_TO_REPORT = 48.0
# The fewest recent requests from which the share is computed.
MIN_REQUESTS = 8.0
# The probe period of an instance while its service is degraded, in seconds: the
# first with a request that can be retried, the second with any other.
RETRYABLE_PERIOD_S = 1.0
ANY_PERIOD_S = 1.3
# The probe period of an unhealthy instance, in seconds, with requests that can
# be retried. A probe may cost a retry, but detects a recovery soon.
UNHEALTHY_PERIOD_S = 1.5
# The shortest of these periods, in seconds.
SHORTEST_PERIOD_S = min(RETRYABLE_PERIOD_S, ANY_PERIOD_S, UNHEALTHY_PERIOD_S)
# The share of a data centre's instances that get a request in each coverage
# period exceeds the owners' minimum by this margin, but not the second value. A
# service may become degraded from one moment to the next, for instance when
# many daemons fail; the minimum then holds for the time before as well.
COVERAGE_MARGIN = 0.05
MAX_COVERED_SHARE = 0.8
COVERAGE_PERIOD_S = 1.0
# The same for the instances of all data centres. The owners' minimum holds for
# spans of 2 s.
COVERAGE_OF_ALL_PERIOD_S = 1.5
# The time after which a new instance without requests is probed, in seconds:
# the first with a request that can be retried, the second with any other.
RETRYABLE_FIRST_PROBE_S = 0.5
ANY_FIRST_PROBE_S = 2.0
# Instances found within this time after a daemon first lists the instances of a
# service, in seconds, do not count as new.
DISCOVERY_S = 5.0


class DegradationMonitor:
    """Tracks the share of a service's recent requests that were not served."""

    __slots__ = (
        "_peer_reported_s",
        "_probes",
        "_reported_s",
        "_requests",
        "_unserved",
        "_updated_s",
    )

    def __init__(self) -> None:
        """Creates the state of a service without requests."""
        self._peer_reported_s = -math.inf
        self._reported_s = -math.inf
        self._probes = 0.0
        self._requests = 0.0
        self._unserved = 0.0
        self._updated_s = 0.0

    def record_end(self, is_served: bool, is_probe: bool, now_s: float) -> None:
        """Records the end of a request.

        Probes do not count towards the share, since their failures would keep
        a service degraded.

        Args:
            is_served: Whether the request was served.
            is_probe: Whether the request was a probe.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._decay(now_s)
        if is_probe:
            self._probes += 1.0
            return
        self._requests += 1.0
        self._unserved += not is_served

    def is_degraded(self, now_s: float) -> bool:
        """Tells whether the service is degraded, here or at a peer.

        The result is False while probes outnumber the other requests.
        Otherwise, in a service with many instances and few requests, all
        requests would become probes.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._decay(now_s)
        if self._probes > self._requests:
            return False
        return (
            now_s - self._peer_reported_s < PEER_REPORT_VALID_S
            or self._is_degraded_locally
        )

    def can_cover(self, instance_count: int, now_s: float) -> bool:
        """Tells whether this daemon must, and can, use instances everywhere.

        While a service is degraded, the path between one daemon and some
        instances may be the cause. If only the daemon of a data centre sent
        requests to its instances, these would get none. A daemon with few
        requests for each instance would have to send all of them to idle ones.

        Args:
            instance_count: The number of instances of the service.
            now_s: The current time on the monotonic clock, in seconds.
        """
        is_degraded = self.is_degraded(now_s)
        return is_degraded and self._requests >= instance_count

    def record_peer_report(self, now_s: float) -> None:
        """Records that a peer reports the service as degraded.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._peer_reported_s = now_s

    def should_report(self, now_s: float) -> bool:
        """Tells whether to report the service as degraded to the peers now.

        A result of True counts as a report.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._decay(now_s)
        if (
            not self._is_degraded_locally
            or self._requests < MIN_REQUESTS_TO_REPORT
        ):
            return False
        if now_s - self._reported_s < REPORT_PERIOD_S:
            return False
        self._reported_s = now_s
        return True

    @property
    def _is_degraded_locally(self) -> bool:
        """Whether the service is degraded for this daemon's own requests."""
        if self._requests < MIN_REQUESTS:
            return False
        return self._unserved / self._requests > DEGRADED_SHARE

    def _decay(self, now_s: float) -> None:
        decay = math.exp(-(now_s - self._updated_s) / DECAY_S)
        self._probes *= decay
        self._requests *= decay
        self._unserved *= decay
        self._updated_s = now_s


def are_too_many_idle(
    idle_times_s: list[float],
    min_used_share: float,
    period_s: float = COVERAGE_PERIOD_S,
) -> bool:
    """Tells whether an idle instance must get a request.

    Args:
        idle_times_s: The time since the last request of each instance, in
            seconds.
        min_used_share: The share of the instances that must get requests while
            the service is degraded.
        period_s: The time without a request after which an instance is idle, in
            seconds.
    """
    share = min(min_used_share + COVERAGE_MARGIN, MAX_COVERED_SHARE)
    used = sum(idle_s < period_s for idle_s in idle_times_s)
    return used < share * len(idle_times_s)


def is_probe_due(
    last_sent_s: float | None,
    joined_s: float | None,
    can_retry: bool,
    is_degraded: bool,
    is_unhealthy: bool,
    now_s: float,
) -> bool:
    """Tells whether an instance must get the next request as a probe.

    Args:
        last_sent_s: The time at which the instance last got a request, in
            seconds; None if it never did.
        joined_s: The time at which the instance joined the running service, in
            seconds; None if it was found at the start.
        can_retry: Whether the request can be retried if it fails.
        is_degraded: Whether the service is degraded.
        is_unhealthy: Whether the instance is unhealthy.
        now_s: The current time on the monotonic clock, in seconds.
    """
    if last_sent_s is None and joined_s is not None:
        first_s = RETRYABLE_FIRST_PROBE_S if can_retry else ANY_FIRST_PROBE_S
        return now_s - joined_s > first_s
    elapsed_s = math.inf if last_sent_s is None else now_s - last_sent_s
    if is_unhealthy and can_retry and elapsed_s > UNHEALTHY_PERIOD_S:
        return True
    period_s = RETRYABLE_PERIOD_S if can_retry else ANY_PERIOD_S
    return is_degraded and elapsed_s > period_s
