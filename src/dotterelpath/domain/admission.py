"""Limits and queues the requests to a service, by class and deadline."""

from __future__ import annotations

import collections
import typing

from dotterelpath import errors
from dotterelpath.domain import document

# The weight of one request in the moving average of latency.
LATENCY_WEIGHT = 0.05
# The latency that is assumed before the first response.
INITIAL_LATENCY_S = 0.02
# The longest queue of a service, in requests.
MAX_QUEUE = 512
# The least time between the expected response and the deadline, in seconds.
DEADLINE_MARGIN_S = 0.002
# The lowest limit, in requests.
MIN_LIMIT = 1.0
# The factor by which the limit decreases on a refusal or a high latency.
DECREASE_FACTOR = 0.9
# Latency is high above this factor times the baseline.
LATENCY_TOLERANCE = 2.0
# The relative increase of the baseline with each request.
BASELINE_DRIFT = 0.001

_ORDER = (
    document.TrafficClass.CRITICAL,
    document.TrafficClass.NORMAL,
    document.TrafficClass.SHEDDABLE,
)
# The share of MAX_QUEUE up to which requests of a class are queued.
_QUEUE_SHARE = {
    document.TrafficClass.CRITICAL: 1.0,
    document.TrafficClass.NORMAL: 0.5,
    document.TrafficClass.SHEDDABLE: 0.1,
}

T = typing.TypeVar("T")


class QueuedRequest(typing.Generic[T]):
    """A request in the queue."""

    __slots__ = ("deadline_s", "item", "queued_s", "traffic_class")

    def __init__(
        self,
        item: T,
        traffic_class: document.TrafficClass,
        queued_s: float,
        deadline_s: float,
    ) -> None:
        """Creates a queued request.

        Args:
            item: The request.
            traffic_class: The class, which decides on the order and on the
                share of the queue.
            queued_s: The time of arrival on a monotonic clock, in seconds.
            deadline_s: The time by which the response must arrive, on the same
                clock.
        """
        self.item = item
        self.traffic_class = traffic_class
        self.queued_s = queued_s
        self.deadline_s = deadline_s


class ConcurrencyLimit:
    """A limit of requests in flight that adapts to latency.

    The algorithm is additive increase, multiplicative decrease (AIMD).
    The limit increases by one for each round of responses at the baseline
    latency, and decreases by a tenth when responses take twice as long or are
    refusals. The baseline is the lowest moving average. It drifts up slowly,
    so that it adapts to a lasting change.
    """

    __slots__ = ("_baseline_s", "_cooldown_requests", "_limit", "_recent_s")

    def __init__(self, limit: float) -> None:
        """Creates a limit.

        Args:
            limit: The initial limit, in requests.
        """
        self._limit = limit
        self._baseline_s: float | None = None
        self._recent_s = INITIAL_LATENCY_S
        self._cooldown_requests = 0

    @property
    def limit(self) -> int:
        """The current limit, in requests."""
        return max(1, int(self._limit))

    @property
    def latency_s(self) -> float:
        """The moving average of latency, in seconds."""
        return self._recent_s

    def observe(
        self, latency_s: float, refused: bool, in_flight: int, ceiling: int
    ) -> None:
        """Adapts the limit to a request that ended.

        Args:
            latency_s: The duration of the request, in seconds.
            refused: Whether the instance refused the request due to its load.
            in_flight: The requests in flight when the request ended.
            ceiling: The sum of the instances' limits, in requests.
        """
        if not refused:
            self._track(latency_s)
        self._cooldown_requests -= 1
        slow = (
            self._baseline_s is not None
            and self._recent_s > LATENCY_TOLERANCE * self._baseline_s
        )
        if (refused or slow) and self._cooldown_requests <= 0:
            self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
            # The next decrease waits for one round of requests.
            self._cooldown_requests = self.limit
        elif not refused and in_flight >= self.limit - 1:
            # Traffic below the limit does not show whether a higher one works.
            self._limit += 1.0 / max(1.0, self._limit)
        self._limit = min(self._limit, float(max(1, ceiling)))

    def _track(self, latency_s: float) -> None:
        if self._baseline_s is None:
            self._baseline_s = self._recent_s = latency_s
            return
        self._recent_s += LATENCY_WEIGHT * (latency_s - self._recent_s)
        drifted = self._baseline_s * (1.0 + BASELINE_DRIFT)
        self._baseline_s = min(drifted, self._recent_s)


class AdmissionQueue(typing.Generic[T]):
    """The queue of one service in one daemon.

    A request that cannot meet its deadline is refused immediately. Sheddable
    requests are refused while critical ones are still accepted.
    """

    __slots__ = ("_in_flight", "_limit", "_queues")

    def __init__(self, ceiling: int) -> None:
        """Creates an empty queue.

        Args:
            ceiling: The sum of the instances' limits, in requests.
        """
        self._limit = ConcurrencyLimit(float(max(1, ceiling)))
        self._in_flight = 0
        self._queues: dict[
            document.TrafficClass, collections.deque[QueuedRequest[T]]
        ] = {c: collections.deque() for c in _ORDER}

    @property
    def in_flight(self) -> int:
        """The number of requests at instances."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """The number of queued requests."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def limit(self) -> ConcurrencyLimit:
        """The adaptive limit of requests in flight."""
        return self._limit

    def has_room(self) -> bool:
        """Tells whether the limit allows another request in flight."""
        return self._in_flight < self._limit.limit

    def started(self) -> None:
        """Counts a request that is sent to an instance."""
        self._in_flight += 1

    def ended(self, latency_s: float, refused: bool, ceiling: int) -> None:
        """Records that a request at an instance ended.

        Args:
            latency_s: The duration of the request, in seconds.
            refused: Whether the instance refused the request due to its load.
            ceiling: The sum of the instances' limits, in requests.
        """
        self._limit.observe(latency_s, refused, self._in_flight, ceiling)
        self._in_flight = max(0, self._in_flight - 1)

    def enqueue(self, request: QueuedRequest[T], now_s: float) -> None:
        """Adds a request to the queue of its class.

        Args:
            request: The request.
            now_s: The current time on the monotonic clock, in seconds.

        Raises:
            DotterelpathError: The queue is full for the request's class, or
                the request is expected to miss its deadline.
        """
        queue = self._queues[request.traffic_class]
        ahead = self._ahead_of(request.traffic_class)
        if ahead >= MAX_QUEUE * _QUEUE_SHARE[request.traffic_class]:
            raise errors.DotterelpathError(errors.ResultCode.OVERLOADED)
        expected_s = self.expected_wait_s(ahead) + self._limit.latency_s
        if now_s + expected_s + DEADLINE_MARGIN_S > request.deadline_s:
            raise errors.DotterelpathError(
                errors.ResultCode.DEADLINE_TOO_SHORT,
                f"the request is expected to take {expected_s:.3f} s, but its"
                f" deadline is in {request.deadline_s - now_s:.3f} s",
            )
        queue.append(request)

    def expected_wait_s(self, ahead: int) -> float:
        """Estimates the time that a request waits in the queue, in seconds.

        Args:
            ahead: The number of requests that are sent earlier.
        """
        return (ahead + 1) * self._limit.latency_s / self._limit.limit

    def pop(self) -> QueuedRequest[T] | None:
        """Removes and returns the next request, by class, then by arrival."""
        for traffic_class in _ORDER:
            if self._queues[traffic_class]:
                return self._queues[traffic_class].popleft()
        return None

    def put_back(self, request: QueuedRequest[T]) -> None:
        """Puts a request back at the front of its queue.

        Args:
            request: A request that pop returned.
        """
        self._queues[request.traffic_class].appendleft(request)

    def drop(self, item: T) -> bool:
        """Removes a request from the queue.

        Args:
            item: The request.

        Returns:
            Whether the request was in the queue.
        """
        for queue in self._queues.values():
            for request in queue:
                if request.item is item:
                    queue.remove(request)
                    return True
        return False

    def _ahead_of(self, traffic_class: document.TrafficClass) -> int:
        ahead = 0
        for other in _ORDER:
            ahead += len(self._queues[other])
            if other is traffic_class:
                return ahead
        return ahead


class WorkspaceLimits:
    """Limits the requests in flight of each workspace."""

    __slots__ = ("_in_flight",)

    def __init__(self) -> None:
        """Creates empty counts."""
        self._in_flight: dict[str, int] = {}

    def acquire(self, workspace: str, limit: int) -> None:
        """Counts a request that begins.

        Args:
            workspace: The workspace.
            limit: The requests in flight that this daemon allows the workspace.

        Raises:
            DotterelpathError: The workspace is at its limit.
        """
        count = self._in_flight.get(workspace, 0)
        if count >= limit:
            raise errors.DotterelpathError(
                errors.ResultCode.WORKSPACE_LIMIT,
                f"workspace {workspace or '-'} has {count} requests in flight,"
                f" the limit is {limit}",
            )
        self._in_flight[workspace] = count + 1

    def release(self, workspace: str) -> None:
        """Counts a request that ended.

        Args:
            workspace: The workspace.
        """
        count = self._in_flight.get(workspace, 0) - 1
        if count > 0:
            self._in_flight[workspace] = count
        else:
            self._in_flight.pop(workspace, None)
