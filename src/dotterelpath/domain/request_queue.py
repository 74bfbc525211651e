"""Requests that wait for a free slot, and which of them go first."""

from __future__ import annotations

import math
import typing

T = typing.TypeVar("T")

# A waiting request rises by one rank in this time, in seconds, so that no
# kind of request starves behind more urgent ones.
AGING_S = 2.0
# A request whose usual work no longer fits before its deadline by this part
# is hopeless; work varies around the usual.
MIN_WORK_SHARE = 0.7
# How long the rate of work is remembered, in seconds; it follows a burst and
# does not follow single requests.
RATE_DECAY_S = 2.0
# The part of the slots that less urgent requests get at least; more urgent
# ones come and go.
MIN_SLOT_SHARE = 0.05


class _WorkRate:
    """The work begun in a second, lately."""

    __slots__ = ("_at_s", "_work_s")

    def __init__(self, now_s: float) -> None:
        self._work_s = 0.0
        self._at_s = now_s

    def add(self, work_s: float, now_s: float) -> None:
        self._work_s = self.per_s(now_s) * RATE_DECAY_S + work_s
        self._at_s = now_s

    def per_s(self, now_s: float) -> float:
        passed_s = now_s - self._at_s
        decayed_s = self._work_s * math.exp(-passed_s / RATE_DECAY_S)
        return decayed_s / RATE_DECAY_S


class QueuedRequest(typing.Generic[T]):
    """A request that waits for an instance."""

    __slots__ = (
        "deadline_s",
        "item",
        "priority",
        "queued_s",
        "target_s",
        "work_s",
    )

    def __init__(
        self,
        item: T,
        priority: int,
        queued_s: float,
        target_s: float,
        deadline_s: float,
        work_s: float,
    ) -> None:
        """Creates a waiter.

        Args:
            item: The request.
            priority: Its rank; 0 is the highest.
            queued_s: When it began to wait, on the monotonic clock, in
                seconds.
            target_s: Until when an answer is of full use.
            deadline_s: Until when an answer is of any use.
            work_s: How long an instance usually works on it, in seconds.
        """
        self.item = item
        self.priority = priority
        self.queued_s = queued_s
        self.target_s = target_s
        self.deadline_s = deadline_s
        self.work_s = work_s

    def is_infeasible(self, start_s: float) -> bool:
        """Whether the request can hardly be met any more.

        Args:
            start_s: When an instance could begin with it.
        """
        return start_s + self.work_s * MIN_WORK_SHARE > self.deadline_s

    def rank(self, now_s: float) -> tuple[float, bool, float]:
        """Orders waiting requests; the lowest goes first.

        Args:
            now_s: The monotonic clock, in seconds.

        Returns:
            The priority with its aging, whether full use is out of reach,
            and the time at which it will be.
        """
        aged = self.priority - int((now_s - self.queued_s) / AGING_S)
        is_late = now_s + self.work_s > self.target_s
        return (float(aged), is_late, self.target_s - self.work_s)


class DeadlineCheck(typing.Generic[T]):
    """The requests of a queue that do not wait well."""

    __slots__ = ("infeasible", "late")

    def __init__(
        self, infeasible: list[QueuedRequest[T]], late: list[QueuedRequest[T]]
    ) -> None:
        """Creates a review.

        Args:
            infeasible: Those that can hardly be answered before their deadline.
            late: Those that cannot be answered while it is of full use.
        """
        self.infeasible = infeasible
        self.late = late


class Queue(typing.Generic[T]):
    """The requests that wait for the instances of one service."""

    __slots__ = (
        "_queued",
        "_rates",
    )

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._queued: list[QueuedRequest[T]] = []
        self._rates: dict[int, _WorkRate] = {}

    def __len__(self) -> int:
        """Counts the waiting requests."""
        return len(self._queued)

    def add(self, request: QueuedRequest[T], now_s: float) -> None:
        """Adds a request.

        Args:
            request: The request.
            now_s: The monotonic clock, in seconds.
        """
        self._queued.append(request)
        self._queued.sort(key=lambda w: w.rank(now_s))

    def record_start(self, priority: int, work_s: float, now_s: float) -> None:
        """Takes in that an instance begins with a request.

        Args:
            priority: Its rank.
            work_s: How long an instance usually works on it, in seconds.
            now_s: The monotonic clock, in seconds.
        """
        rate = self._rates.setdefault(priority, _WorkRate(now_s))
        rate.add(work_s, now_s)

    def _free_slots(self, priority: int, slots: int, now_s: float) -> float:
        """The slots that more urgent requests, which still come, leave."""
        taken = sum(
            rate.per_s(now_s)
            for rank, rate in self._rates.items()
            if rank < priority
        )
        return max(slots - taken, slots * MIN_SLOT_SHARE)

    def check_deadlines(self, slots: int, now_s: float) -> DeadlineCheck[T]:
        """Finds the requests that wait in vain, or too long to be of full use.

        A request starts when the work ahead of it is done, in the slots that
        more urgent requests leave; those behind a hopeless one move up.

        Args:
            slots: Requests that this daemon may have worked on at once.
            now_s: The monotonic clock, in seconds.

        Returns:
            What was found. The hopeless requests no longer wait.
        """
        kept = []
        infeasible = []
        late = []
        ahead_s = 0.0
        for request in self._queued:
            left = self._free_slots(request.priority, slots, now_s)
            start_s = now_s + ahead_s / left
            is_late = start_s + request.work_s > request.target_s
            if is_late:
                # Newer requests of its own rank will go before it as well.
                left = self._free_slots(request.priority + 1, slots, now_s)
                start_s = now_s + ahead_s / left
            if request.is_infeasible(start_s):
                infeasible.append(request)
                continue
            if is_late:
                late.append(request)
            kept.append(request)
            ahead_s += request.work_s
        self._queued = kept
        return DeadlineCheck(infeasible, late)

    def ordered(self, now_s: float) -> list[QueuedRequest[T]]:
        """Lists the requests, the first to go at the start.

        Args:
            now_s: The monotonic clock, in seconds.
        """
        self._queued.sort(key=lambda w: w.rank(now_s))
        return list(self._queued)

    def remove(self, item: T) -> None:
        """Takes out a request.

        Args:
            item: The request.
        """
        self._queued = [w for w in self._queued if w.item is not item]
