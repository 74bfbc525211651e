"""Limits the calls of one daemon to its share of a rate."""

from __future__ import annotations

from dotterelpath import errors
from dotterelpath.ports import clock as clock_port

# The most calls per second of one daemon, for reads and writes each, even if
# its share of the call rates is larger.
MAX_DAEMON_CALLS_PER_S = 20.0


class CallBudget:
    """Limits a daemon to its share of a call rate, as a token bucket."""

    __slots__ = (
        "_burst",
        "_clock",
        "_fleet_rate",
        "_rate",
        "_refilled_at_s",
        "_tokens",
    )

    def __init__(
        self, clock: clock_port.Clock, fleet_rate: float, burst: float
    ) -> None:
        """Creates a full budget for a single daemon.

        Args:
            clock: Gives the time.
            fleet_rate: The calls per second that all daemons share.
            burst: The most unused calls that accumulate.
        """
        self._clock = clock
        self._fleet_rate = fleet_rate
        self._burst = burst
        self._rate = min(MAX_DAEMON_CALLS_PER_S, fleet_rate)
        self._tokens = burst
        self._refilled_at_s = clock.now_s()

    def set_daemon_count(self, count: int) -> None:
        """Sets how many daemons share the rate.

        Args:
            count: The number of daemons.
        """
        share = self._fleet_rate / max(1, count)
        self._rate = min(MAX_DAEMON_CALLS_PER_S, share)

    def spend(self) -> None:
        """Deducts one call.

        Raises:
            StoreError: The budget is exhausted.
        """
        now_s = self._clock.now_s()
        refill = (now_s - self._refilled_at_s) * self._rate
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            raise errors.StoreError(
                f"call budget exhausted: {self._rate:g} calls per second"
            )
        self._tokens -= 1.0
