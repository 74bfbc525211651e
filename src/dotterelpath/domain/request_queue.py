"""Orders the requests that wait for a free slot of a service's instances."""

from __future__ import annotations

import bisect
import heapq
import math
import typing

from dotterelpath.domain import starvation_floor

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
# A request gives way to a shorter one only if it takes this much longer. With
# 1.2, more requests were refused where kinds take 0.32 and 0.41 s.
LONGER_FACTOR = 1.5
# A request that is late is refused only if it will be infeasible even if the
# overload ends after this time, in seconds, and leaves this share of the slots
# free from then on. Where less time is left, the overload is taken to end
# within the given share of it: with 5 s for all, requests with a timeout of
# 5 s were sent to unhealthy instances within 50 ms of their arrival.
OVERLOAD_S = 5.0
OVERLOAD_SHARE = 0.5
CALM_SLOT_SHARE = 0.3
# With this many late requests, further ones are refused unless they are
# feasible in the present overload. They must not use up the requests that a
# daemon may have in flight.
MAX_HOPEFUL = 512


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
        "flow",
        "is_delayed",
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
        flow: starvation_floor.Flow = None,
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
            flow: The requests that it shares the floor against starvation with.
        """
        self.flow = flow
        self.item = item
        self.priority = priority
        self.queued_s = queued_s
        self.target_s = target_s
        self.deadline_s = deadline_s
        self.work_s = work_s
        # Whether it gives way to others that can still meet their target time.
        self.is_delayed = False

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

    def is_late(self, start_s: float) -> bool:
        """Tells whether the request will most likely miss its target time.

        Args:
            start_s: The time at which an instance could start the request.
        """
        return start_s + self.work_s > self.target_s

    def rank(self, now_s: float) -> tuple[float, bool, float]:
        """Returns the sort key of the request; the lowest is sent first.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            The priority after aging, whether the target time can no longer be
            met, and the target time, or else the deadline.
        """
        if self.is_delayed or self.is_late(now_s):
            # A late request does not age: it would overtake others that then
            # become late as well, and lose more.
            return (float(self.priority), True, self.deadline_s)
        aged_priority = self.priority - int((now_s - self.queued_s) / AGING_S)
        return (float(aged_priority), False, self.target_s)


class _LongestFirst(typing.Generic[T]):
    """The requests that a check has kept, by priority, the longest first."""

    __slots__ = ("_count", "_heaps")

    def __init__(self) -> None:
        self._count = 0
        self._heaps: dict[int, list[tuple[float, int, QueuedRequest[T]]]] = {}

    def push(self, request: QueuedRequest[T]) -> None:
        heap = self._heaps.setdefault(request.priority, [])
        self._count += 1
        heapq.heappush(heap, (-request.work_s, self._count, request))

    def pop_longer(self, request: QueuedRequest[T]) -> QueuedRequest[T] | None:
        """Removes the longest request if it is clearly longer than another."""
        heap = self._heaps.get(request.priority)
        if not heap or -heap[0][0] < LONGER_FACTOR * request.work_s:
            return None
        return heapq.heappop(heap)[2]


def _late_wait_s(
    left_s: float,
    ahead_s: float,
    free_slots: float,
    slots: float,
    late_count: int,
) -> float:
    """Estimates how long a late request waits, in seconds.

    Args:
        left_s: The time until it must start, in seconds.
        ahead_s: The work ahead of it, in seconds.
        free_slots: The slots that others leave at present.
        slots: The number of concurrent requests allowed to this daemon.
        late_count: The late requests ahead of it.
    """
    wait_s = ahead_s / free_slots
    overload_s = min(OVERLOAD_S, OVERLOAD_SHARE * max(0.0, left_s))
    if wait_s <= overload_s or late_count >= MAX_HOPEFUL:
        return wait_s
    work_left_s = ahead_s - free_slots * overload_s
    return overload_s + work_left_s / max(free_slots, slots * CALM_SLOT_SHARE)


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
        "_floor",
        "_floor_pick",
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
        self._floor = starvation_floor.StarvationFloor()
        # The request that the floor sends next, if it is due.
        self._floor_pick: QueuedRequest[T] | None = None
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

    def busy_slots(self, now_s: float) -> float:
        """Returns the slots that this daemon's requests have kept busy lately.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return sum(rate.per_s(now_s) for rate in self._rates.values())

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

    def _free_slots_by_priority(
        self, slots: float, now_s: float
    ) -> dict[int, float]:
        """Returns the free slots for each queued priority and the next one."""
        return {
            rank: self._free_slots(rank, slots, now_s)
            for priority in self._work_s
            for rank in (priority, priority + 1)
        }

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
        removed and delay no others. The longest request gives way to one that
        would be late or infeasible (Moore's rule for one machine).

        Args:
            slots: The number of concurrent requests allowed to this daemon.
            now_s: The current time on the monotonic clock, in seconds.
            first_start_s: When an instance takes the next request.

        Returns:
            The infeasible and the late requests.
        """
        first_start_s = max(now_s, first_start_s)
        free_slots = self._free_slots_by_priority(slots, now_s)
        check = DeadlineCheck[T]([], [])
        in_time = _LongestFirst[T]()
        late = _LongestFirst[T]()
        ahead_s = 0.0
        for request in self._queued:
            free = free_slots[request.priority]
            start_s = first_start_s + ahead_s / free
            is_late = request.is_delayed or request.is_late(start_s)
            if is_late and not request.is_delayed:
                longer = in_time.pop_longer(request)
                if longer is not None:
                    longer.is_delayed = True
                    check.late.append(longer)
                    ahead_s -= longer.work_s
                    start_s = first_start_s + ahead_s / free
                    is_late = request.is_late(start_s)
            if is_late:
                # New requests of the same priority overtake a late one, so
                # the slots that they need are not free either.
                free = free_slots[request.priority + 1]
                start_s = first_start_s + _late_wait_s(
                    request.latest_start_s - first_start_s,
                    ahead_s,
                    free,
                    slots,
                    len(check.late),
                )
            if request.is_infeasible(start_s):
                refused = late.pop_longer(request) or request
                check.infeasible.append(refused)
                if refused is request:
                    continue
                check.late.remove(refused)
                ahead_s -= refused.work_s
            if is_late:
                check.late.append(request)
            (late if is_late else in_time).push(request)
            ahead_s += request.work_s
        for request in check.infeasible:
            self.remove(request.item)
        return check

    def ordered(self, now_s: float) -> list[QueuedRequest[T]]:
        """Lists the requests in the order in which they are to be sent.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._update_order(now_s)
        requests = list(self._queued)
        if self._floor.is_due:
            if self._floor_pick is None:
                self._floor_pick = self._floor.pick(requests)
            if self._floor_pick is not None:
                requests.remove(self._floor_pick)
                requests.insert(0, self._floor_pick)
        return requests

    def take(self, request: QueuedRequest[T], now_s: float) -> None:
        """Removes a request that is sent to an instance.

        Args:
            request: The request.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self.remove(request.item)
        self._floor.record_start(request.flow, now_s)

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
        if request is self._floor_pick:
            self._floor_pick = None
        self._work_s[request.priority] -= request.work_s
        if not self._queued:
            # Rounding errors must not add up.
            self._work_s.clear()

    def _update_order(self, now_s: float) -> None:
        if now_s - self._ordered_s >= ORDER_PERIOD_S:
            self._ordered_s = now_s
            self._queued.sort(key=lambda queued: queued.rank(now_s))
