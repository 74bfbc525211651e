"""Averages of requests, and what other daemons reported of a tenant."""

from __future__ import annotations

import math

# Demand and refusals are averaged with this time constant, in seconds.
AVERAGE_S = 0.8
# What a daemon admitted before its first report is at most this much, unless
# its earlier reports were received.
MAX_FIRST_COUNT = 2
# Demand that is not confirmed for this time is taken for none, in seconds. It
# is confirmed every four seconds if the bytes allow it.
DEMAND_TIMEOUT_S = 20.0
# Counts are kept without a report for this many times the time after which the
# daemon that counts begins from 0 again.
COUNT_TIMEOUTS = 3.0


class PeerUse:
    """What another daemon reported of a tenant."""

    __slots__ = ("at_s", "count", "demand")

    def __init__(self, demand: float, count: int, at_s: float) -> None:
        """Creates a report.

        Args:
            demand: The requests that arrive at the daemon, a second.
            count: The requests that it has admitted so far.
            at_s: When this arrived, on the monotonic clock, in seconds.
        """
        self.demand = demand
        self.count = count
        self.at_s = at_s


class Average:
    """The decaying average of events a second."""

    __slots__ = ("_at_s", "_per_s")

    def __init__(self) -> None:
        """Creates an average without events."""
        self._per_s = 0.0
        self._at_s = 0.0

    def record(self, now_s: float, most_per_s: float = math.inf) -> None:
        """Counts an event.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
            most_per_s: The highest average, so that it falls from there at once
                when there are fewer events.
        """
        self._per_s = min(most_per_s, self.per_s(now_s) + 1.0 / AVERAGE_S)
        self._at_s = now_s

    def per_s(self, now_s: float) -> float:
        """Returns the events a second.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        if self._per_s == 0.0:
            return 0.0
        return self._per_s * math.exp((self._at_s - now_s) / AVERAGE_S)


def drop_outdated(
    peers: dict[str, PeerUse], idle_s: float, now_s: float
) -> None:
    """Forgets what other daemons have not confirmed for long.

    Args:
        peers: The last reports by daemon.
        idle_s: The time after which a tenant without requests is forgotten, in
            seconds.
        now_s: The current time on the monotonic clock, in seconds.
    """
    for id, peer in list(peers.items()):
        if now_s - peer.at_s > COUNT_TIMEOUTS * idle_s:
            del peers[id]
        elif now_s - peer.at_s > DEMAND_TIMEOUT_S:
            peer.demand = 0.0


def added_count(
    peers: dict[str, PeerUse], peer_id: str, count: int, is_known: bool
) -> int:
    """Returns how many requests a daemon admitted since its last report.

    A daemon that forgot a tenant without requests counts from 0 again.

    Args:
        peers: The last reports by daemon.
        peer_id: The daemon.
        count: The requests that it has admitted so far.
        is_known: Whether earlier reports of it were received.
    """
    last = peers.get(peer_id)
    if last is None:
        return count if is_known else min(count, MAX_FIRST_COUNT)
    return count - last.count if count >= last.count else count
