"""Orders the requests that wait for a free slot of a service's instances."""

from __future__ import annotations

import bisect
import math
import typing

T = typing.TypeVar("T")

# A queued request gains one priority level in this time, in seconds, so that
# requests of low priority do not starve.
AGING_S = 2.0
# A request is infeasible if less than this share of its typical duration fits
# before its deadline. The share is below 1 because durations vary.
MIN_WORK_SHARE = 0.7
# The time constant of the rate of work, in seconds: short enough to follow a
# burst, too long to follow single requests.
RATE_DECAY_S = 2.0
# The share of the slots that is assumed to be free for a request, however much
# work of higher priority there is.
MIN_SLOT_SHARE = 0.05
# How long the order of the queue holds, in seconds. Ranks change slowly.
ORDER_PERIOD_S = 0.05


class _WorkRate:
    """A decaying average of the work started per second.

    Work is the time for which a request occupies a slot of an instance, in
    seconds. The work per second is thus the number of occupied slots.
    """

    __slots__ = ("_at_s", "_work_s")

    def __init__(self, now_s: float) -> None:
        self._work_s = 0.0
        self._at_s = now_s

    def add(self, work_s: float, now_s: float) -> None:
        self._work_s = self.per_s(now_s) * RATE_DECAY_S + work_s
        self._at_s = now_s

    def per_s(self, now_s: float) -> float:
        elapsed_s = now_s - self._at_s
        decayed_s = self._work_s * math.exp(-elapsed_s / RATE_DECAY_S)
        return decayed_s / RATE_DECAY_S


class QueuedRequest(typing.Generic[T]):
    """A request in the queue."""

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
        """Creates a queued request.

        Args:
            item: The request.
            priority: The request's priority; 0 is the highest.
            queued_s: The time at which the request was queued, on the
                monotonic clock, in seconds.
            target_s: The time by which the response should arrive.
            deadline_s: The time by which the response must arrive.
            work_s: The typical duration of the request, in seconds.
        """
        self.item = item
        self.priority = priority
        self.queued_s = queued_s
        self.target_s = target_s
        self.deadline_s = deadline_s
        self.work_s = work_s

    @property
    def latest_start_s(self) -> float:
        """The latest start that most likely meets the deadline, in seconds."""
        return self.deadline_s - self.work_s * MIN_WORK_SHARE

    def is_infeasible(self, start_s: float) -> bool:
        """Tells whether the request will most likely miss its deadline.

        Args:
            start_s: The time at which an instance could start the request.
        """
        return start_s > self.latest_start_s

    def rank(self, now_s: float) -> tuple[float, bool, float]:
        """Returns the sort key of the request; the lowest is sent first.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            The priority after aging, whether the target time can no longer be
            met, and the latest start that meets the target time.
        """
        aged_priority = self.priority - int((now_s - self.queued_s) / AGING_S)
        is_late = now_s + self.work_s > self.target_s
        return (float(aged_priority), is_late, self.target_s - self.work_s)


class DeadlineCheck(typing.Generic[T]):
    """The queued requests that will not be served in time."""

    __slots__ = ("infeasible", "late")

    def __init__(
        self, infeasible: list[QueuedRequest[T]], late: list[QueuedRequest[T]]
    ) -> None:
        """Creates a result.

        Args:
            infeasible: The requests that will miss their deadline.
            late: The requests that will miss their target time only.
        """
        self.infeasible = infeasible
        self.late = late


class Queue(typing.Generic[T]):
    """The queue of one service, ordered by priority and target time."""

    __slots__ = (
        "_by_item",
        "_ordered_s",
        "_queued",
        "_rates",
        "_work_s",
    )

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._by_item: dict[T, QueuedRequest[T]] = {}
        self._queued: list[QueuedRequest[T]] = []
        self._ordered_s = -math.inf
        self._rates: dict[int, _WorkRate] = {}
        # The typical duration of the queued requests of each priority.
        self._work_s: dict[int, float] = {}

    def __len__(self) -> int:
        """Counts the queued requests."""
        return len(self._queued)

    def add(self, request: QueuedRequest[T], now_s: float) -> None:
        """Adds a request.

        Args:
            request: The request.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._by_item[request.item] = request
        bisect.insort(
            self._queued, request, key=lambda queued: queued.rank(now_s)
        )
        self._work_s[request.priority] = (
            self._work_s.get(request.priority, 0.0) + request.work_s
        )

    def record_start(self, priority: int, work_s: float, now_s: float) -> None:
        """Records that a request was sent to an instance.

        Args:
            priority: The request's priority.
            work_s: The typical duration of the request, in seconds.
            now_s: The current time on the monotonic clock, in seconds.
        """
        rate = self._rates.setdefault(priority, _WorkRate(now_s))
        rate.add(work_s, now_s)

    def _free_slots(self, priority: int, slots: float, now_s: float) -> float:
        """Estimates the slots that requests of higher priority do not need.

        The estimate assumes that such requests keep arriving at the current
        rate.
        """
        taken = sum(
            rate.per_s(now_s)
            for rank, rate in self._rates.items()
            if rank < priority
        )
        return max(slots - taken, slots * MIN_SLOT_SHARE)

    def may_be_infeasible(
        self,
        request: QueuedRequest[T],
        slots: float,
        now_s: float,
        first_start_s: float = -math.inf,
    ) -> bool:
        """Tells whether a request just added may miss its deadline.

        Costs less than checking all requests. The requests of its priority are
        assumed to be ahead of it.

        Args:
            request: The request.
            slots: The number of concurrent requests allowed to this daemon.
            now_s: The current time on the monotonic clock, in seconds.
            first_start_s: When an instance takes the next request.
        """
        free_slots = self._free_slots(request.priority + 1, slots, now_s)
        queued_s = sum(
            work_s
            for priority, work_s in self._work_s.items()
            if priority <= request.priority
        )
        ahead_s = queued_s - request.work_s
        start_s = max(now_s, first_start_s)
        return request.is_infeasible(start_s + ahead_s / free_slots)

    def check_deadlines(
        self, slots: float, now_s: float, first_start_s: float = -math.inf
    ) -> DeadlineCheck[T]:
        """Finds the requests that will miss their deadline or target time.

        A request is expected to start when the work ahead of it is done in the
        slots that requests of higher priority leave. Infeasible requests are
        removed from the queue and do not delay those behind them.

        Args:
            slots: The number of concurrent requests allowed to this daemon.
            now_s: The current time on the monotonic clock, in seconds.
            first_start_s: When an instance takes the next request.

        Returns:
            The infeasible and the late requests.
        """
        first_start_s = max(now_s, first_start_s)
        free_slots: dict[int, float] = {}
        for priority in self._work_s:
            for rank in (priority, priority + 1):
                free_slots[rank] = self._free_slots(rank, slots, now_s)
        infeasible = []
        late = []
        ahead_s = 0.0
        for request in self._queued:
            priority = request.priority
            start_s = first_start_s + ahead_s / free_slots[priority]
            is_late = start_s + request.work_s > request.target_s
            if is_late:
                # New requests of the same priority overtake a late one, so
                # the slots that they need are not free either.
                start_s = first_start_s + ahead_s / free_slots[priority + 1]
            if request.is_infeasible(start_s):
                infeasible.append(request)
                continue
            if is_late:
                late.append(request)
            ahead_s += request.work_s
        for request in infeasible:
            self.remove(request.item)
        return DeadlineCheck(infeasible, late)

    def ordered(self, now_s: float) -> list[QueuedRequest[T]]:
        """Lists the requests in the order in which they are to be sent.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._update_order(now_s)
        return list(self._queued)

    def first(self, now_s: float) -> QueuedRequest[T] | None:
        """Returns the request that is to be sent first, if there is one.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._update_order(now_s)
        return self._queued[0] if self._queued else None

    def remove(self, item: T) -> None:
        """Removes a request if it is queued.

        Args:
            item: The request.
        """
        request = self._by_item.pop(item, None)
        if request is None:
            return
        self._queued.remove(request)
        self._work_s[request.priority] -= request.work_s
        if not self._queued:
            # Rounding errors must not add up.
            self._work_s.clear()

    def _update_order(self, now_s: float) -> None:
        if now_s - self._ordered_s >= ORDER_PERIOD_S:
            self._ordered_s = now_s
            self._queued.sort(key=lambda queued: queued.rank(now_s))
