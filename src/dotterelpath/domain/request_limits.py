"""Keeps the limits that instances in need name.

Such an instance states how many requests a second it takes from all daemons
together. A limit is far too low to be divided: at 40 daemons, 3 requests a
second leave none of them one. Therefore one daemon at a time, the holder, sends
requests to the instance, up to the whole limit.

All daemons rank themselves for an instance in the same order. The first one
holds its limit whenever it has requests for the service, and tells the others
so, again and again. A daemon that has not heard of a better ranked holder for a
while, or never had one, holds the limit itself. No daemon has to know which
others are alive; a daemon waits longer for each better ranked one that was
heard from lately, and so may be about to hold the limit.
"""

from __future__ import annotations

import math
import typing

from dotterelpath.domain import hashing

# A daemon takes the place of a better ranked one that it has not heard of for
# this time, in seconds: three reports may be lost. Requests of both may
# overlap for this time after a partition.
HOLDER_TIMEOUT_S = 2.0
# Each further rank waits this much longer, in seconds, so that the next one can
# report first.
RANK_DELAY_S = 0.6
# How often a holder reports its limits to other daemons, in seconds.
REPORT_PERIOD_S = 0.5
# A limit without news from the instance or another daemon is forgotten after
# this time, in seconds. Daemons that get no reports learn in this way that an
# instance has recovered.
NEWS_TIMEOUT_S = 30.0
# The lowest rate that is used, in requests a second. Without a request every
# two seconds, a daemon would not learn that a limit has ended, and the instance
# would count as left out by owners who require requests at each instance.
MIN_RATE_PER_S = 0.6
# The requests that may be sent at once after a pause, as the time for which the
# limit allows them, in seconds. It stays well below the excess that instances
# accept, which is half of the limit in 4 s and 5 requests.
BURST_S = 0.5
# The service time that is assumed to convert a limit into slots if no request
# was served yet, in seconds.
ASSUMED_WORK_S = 0.3

# A daemon that callers are sent to: its id and its data centre.
ServingDaemon = tuple[str, str]


class RequestLimit:
    """The limit of one instance, and this daemon's part in keeping it.

    A token bucket, which fills only while this daemon holds the limit.
    """

    __slots__ = (
        "_better_heard_s",
        "_filled_s",
        "_learnt_s",
        "_news_s",
        "_per_s",
        "_rank",
        "_rivals",
        "_tokens",
    )

    def __init__(
        self,
        per_s: float,
        rank: int | None,
        now_s: float,
        rivals: int | None = None,
    ) -> None:
        """Creates a limit that was just learnt.

        The requests sent before may already exceed it, so that the bucket is
        empty.

        Args:
            per_s: The requests a second that the instance takes.
            rank: This daemon's rank for the instance, the best is 0; None if
                callers are not sent to this daemon.
            now_s: The current time on the monotonic clock, in seconds.
            rivals: How many better ranked daemons may be about to hold the
                limit; None for all of them.
        """
        self._per_s = per_s
        self._rank = rank
        self._rivals = rivals
        self._learnt_s = now_s
        self._news_s = now_s
        self._better_heard_s = -math.inf
        self._filled_s = now_s
        self._tokens = 0.0

    @property
    def per_s(self) -> float:
        """The requests a second that the instance takes."""
        return self._per_s

    @property
    def learnt_s(self) -> float:
        """When this daemon learnt of the limit, in seconds."""
        return self._learnt_s

    @property
    def rank(self) -> int | None:
        """This daemon's rank for the instance; None if it has none."""
        return self._rank

    def set_rank(
        self, rank: int | None, now_s: float, rivals: int | None = None
    ) -> None:
        """Updates this daemon's rank.

        Args:
            rank: The rank; None if callers are not sent to this daemon.
            now_s: The current time on the monotonic clock, in seconds.
            rivals: See __init__.
        """
        self._fill(now_s)
        self._rank = rank
        self._rivals = rivals

    def renew(self, per_s: float, now_s: float) -> None:
        """Records that the instance named its limit again.

        Args:
            per_s: The requests a second that the instance takes.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._fill(now_s)
        self._per_s = per_s
        self._news_s = now_s

    def record_holder(self, rank: int | None, now_s: float) -> None:
        """Records that another daemon reported that it holds the limit.

        Args:
            rank: The rank of that daemon for the instance.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._news_s = now_s
        is_better = rank is not None and (
            self._rank is None or rank < self._rank
        )
        if is_better:
            self._better_heard_s = now_s
            self._tokens = 0.0
            self._filled_s = now_s

    def is_outdated(self, now_s: float) -> bool:
        """Tells whether there was no news of the limit for too long.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return now_s - self._news_s > NEWS_TIMEOUT_S

    def is_held(self, now_s: float) -> bool:
        """Tells whether this daemon may send requests to the instance.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return now_s >= self._held_from_s

    def next_start_s(self, now_s: float) -> float:
        """Returns when the next request may be sent, in seconds.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            A time on the monotonic clock; infinite if another daemon holds the
            limit, or will.
        """
        if not self.is_held(now_s):
            if self._better_heard_s > -math.inf:
                return math.inf
            return self._held_from_s + 1.0 / self._rate_per_s
        self._fill(now_s)
        return now_s + max(0.0, 1.0 - self._tokens) / self._rate_per_s

    def may_send(self, now_s: float) -> bool:
        """Tells whether a request may be sent to the instance now.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return self.next_start_s(now_s) <= now_s

    def record_sent(self, now_s: float) -> None:
        """Records that a request was sent to the instance.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._fill(now_s)
        self._tokens -= 1.0

    def slots(self, work_s: float, now_s: float) -> float:
        """Returns how many slots this daemon can keep busy.

        Args:
            work_s: The typical duration of a request, in seconds.
            now_s: The current time on the monotonic clock, in seconds.
        """
        return self._rate_per_s * work_s if self.is_held(now_s) else 0.0

    @property
    def _rate_per_s(self) -> float:
        return max(self._per_s, MIN_RATE_PER_S)

    @property
    def _held_from_s(self) -> float:
        """When this daemon holds the limit unless it hears of another holder.

        A daemon that does not serve callers never holds a limit.
        """
        if self._rank is None:
            return math.inf
        if self._rank == 0:
            return self._learnt_s
        rivals = self._rank if self._rivals is None else self._rivals
        return (
            max(self._learnt_s, self._better_heard_s)
            + HOLDER_TIMEOUT_S
            + RANK_DELAY_S * max(0, rivals - 1)
        )

    def _fill(self, now_s: float) -> None:
        start_s = max(self._filled_s, self._held_from_s)
        if now_s > start_s:
            most = max(1.0, self._rate_per_s * BURST_S)
            added = (now_s - start_s) * self._rate_per_s
            self._tokens = min(most, self._tokens + added)
        self._filled_s = max(self._filled_s, now_s)


def rank_daemons(
    instance_id: str,
    data_centre: str,
    serving: typing.Sequence[ServingDaemon],
) -> list[str]:
    """Ranks the daemons that may hold the limit of an instance.

    Daemons of the instance's data centre are first, in the order in which
    callers are sent to them: they have most of the requests for it.

    Args:
        instance_id: The instance.
        data_centre: The instance's data centre.
        serving: The daemons that callers are sent to.

    Returns:
        The ids of the daemons, the best first.
    """
    near = [id for id, place in serving if place == data_centre]
    far = [id for id, place in serving if place != data_centre]
    return near + hashing.ranked(instance_id, far)
