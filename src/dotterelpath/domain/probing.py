"""When instances that are left alone must be tried again."""

from __future__ import annotations

import math

# Above this share of unserved requests, a service may not be short of
# instances only because they are left alone. Owners' floors bind from a tenth
# on; each daemon sees only a part of the requests.
DEGRADED_SHARE = 0.08
# How long the share is remembered, in seconds.
DECAY_S = 2.0
# A daemon in trouble tells the others this often, in seconds, and they believe
# it for so long: owners' floors hold for the service, and not for what one
# daemon sees of it.
REPORT_PERIOD_S = 0.3
PEER_REPORT_VALID_S = 1.0
# A few failures among fewer requests than this are no news to others.
MIN_REQUESTS_TO_REPORT = 48.0
# Fewer requests than this say nothing about the share.
MIN_REQUESTS = 8.0
# While a service is in trouble, each instance gets a request at least this
# often, in seconds: one that may run again, or after a while any.
RETRYABLE_PERIOD_S = 1.0
ANY_PERIOD_S = 1.3
# An instance that is believed sick gets a request that may run again this
# often, in seconds. It costs a retry, and shows soon that it is well again.
UNHEALTHY_PERIOD_S = 1.5
# An instance that joins gets its first request after this time, in seconds, in
# the same order.
RETRYABLE_FIRST_S = 0.5
ANY_FIRST_S = 2.0
# The instances that a daemon finds in this time after its start did not join a
# running service, in seconds; they get work when it is needed.
DISCOVERY_S = 5.0


class DegradationMonitor:
    """The share of a service's requests that were not served lately."""

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
        """Takes in the end of a request.

        Requests that were sent to instances because these were due do not
        count as unserved: in trouble, their failures would keep it up.

        Args:
            is_served: Whether its caller got what it asked for.
            is_probe: Whether it went to an instance that was due.
            now_s: The monotonic clock, in seconds.
        """
        self._decay(now_s)
        if is_probe:
            self._probes += 1.0
            return
        self._requests += 1.0
        self._unserved += not is_served

    def is_degraded(self, now_s: float) -> bool:
        """Whether more requests than usual are not served.

        Once every other request goes to instances that are due, no more do:
        where many instances share little work, it would be all of it.

        Args:
            now_s: The monotonic clock, in seconds.
        """
        self._decay(now_s)
        if self._probes > self._requests:
            return False
        return (
            now_s - self._peer_reported_s < PEER_REPORT_VALID_S
            or self._is_degraded_locally
        )

    def record_peer_report(self, now_s: float) -> None:
        """Takes in that another daemon finds the service in trouble.

        Args:
            now_s: The monotonic clock, in seconds.
        """
        self._peer_reported_s = now_s

    def should_report(self, now_s: float) -> bool:
        """Whether to tell other daemons now of a trouble that was seen here.

        Args:
            now_s: The monotonic clock, in seconds.
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
        """Whether this daemon's own requests show the trouble."""
        if self._requests < MIN_REQUESTS:
            return False
        return self._unserved / self._requests > DEGRADED_SHARE

    def _decay(self, now_s: float) -> None:
        part = math.exp(-(now_s - self._updated_s) / DECAY_S)
        self._probes *= part
        self._requests *= part
        self._unserved *= part
        self._updated_s = now_s


def is_probe_due(
    last_sent_s: float | None,
    joined_s: float | None,
    can_retry: bool,
    is_degraded: bool,
    is_unhealthy: bool,
    now_s: float,
) -> bool:
    """Whether an instance is to get the next request in spite of suspicion.

    Args:
        last_sent_s: When it last got one; None if it never did.
        joined_s: When it joined the running service; None if it was there
            before.
        can_retry: Whether a failure of the request can be made up for.
        is_degraded: Whether the service is in trouble.
        is_unhealthy: Whether the instance is left alone.
        now_s: The monotonic clock, in seconds.
    """
    if last_sent_s is None and joined_s is not None:
        first_s = RETRYABLE_FIRST_S if can_retry else ANY_FIRST_S
        return now_s - joined_s > first_s
    passed_s = math.inf if last_sent_s is None else now_s - last_sent_s
    if is_unhealthy and can_retry and passed_s > UNHEALTHY_PERIOD_S:
        return True
    period_s = RETRYABLE_PERIOD_S if can_retry else ANY_PERIOD_S
    return is_degraded and passed_s > period_s
