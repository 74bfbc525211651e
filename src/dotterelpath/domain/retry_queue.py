"""The requests of a service that wait before their next attempt."""

from __future__ import annotations

import heapq
import itertools
import math
import typing

from dotterelpath.domain import dispatch_decision
from dotterelpath.domain import request_queue

T = typing.TypeVar("T")

# Held requests are weighed again once the chance has grown by this much. Less
# is within the error of the estimate.
CHANCE_STEP = 0.2


class _Waiting(typing.Generic[T]):
    """A request that waits, with what its next attempt is worth."""

    __slots__ = ("held_until_s", "number", "prospect", "queued")

    def __init__(
        self,
        queued: request_queue.QueuedRequest[T],
        prospect: dispatch_decision.Prospect | None,
        number: int,
    ) -> None:
        self.number = number
        self.queued = queued
        self.prospect = prospect
        self.held_until_s = -math.inf


class RetryQueue(typing.Generic[T]):
    """Holds requests for a better chance, and orders those to be sent.

    A request is held while waiting is worth more than its attempt. Then it is
    ready, and gets the retry budget in the order of the request queue.
    """

    __slots__ = (
        "_by_number",
        "_expiries",
        "_held",
        "_held_chance",
        "_numbers",
        "_ready",
        "_waiting",
    )

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._waiting: dict[T, _Waiting[T]] = {}
        self._ready: request_queue.Queue[T] = request_queue.Queue()
        # The lowest chance at which a request was held.
        self._held_chance = 1.0
        # Both heaps also contain the numbers of requests that do not wait any
        # more, but not the requests, which may be large.
        self._held: list[tuple[float, int]] = []
        self._expiries: list[tuple[float, int]] = []
        self._by_number: dict[int, T] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Counts the waiting requests."""
        return len(self._waiting)

    def __contains__(self, item: T) -> bool:
        """Tells whether a request waits."""
        return item in self._waiting

    def items(self) -> list[T]:
        """Lists the waiting requests."""
        return list(self._waiting)

    def add(
        self,
        queued: request_queue.QueuedRequest[T],
        prospect: dispatch_decision.Prospect | None,
        chance: float,
        price: float,
        now_s: float,
    ) -> None:
        """Adds a request.

        Args:
            queued: The request.
            prospect: What its last attempt is worth; None if it is not held.
            chance: The chance that the best instance serves it now.
            price: What a retry is worth if it is kept for later.
            now_s: The current time on the monotonic clock, in seconds.
        """
        number = next(self._numbers)
        self._waiting[queued.item] = _Waiting(queued, prospect, number)
        self._by_number[number] = queued.item
        heapq.heappush(self._expiries, (queued.latest_start_s, number))
        self._ready.add(queued, now_s)
        self._hold_if_better(queued.item, chance, price, now_s)

    def remove(self, item: T) -> None:
        """Removes a request if it waits.

        Args:
            item: The request.
        """
        waiting = self._waiting.pop(item, None)
        if waiting is not None:
            del self._by_number[waiting.number]
            self._ready.remove(item)
        if not self._waiting:
            self._held.clear()
            self._expiries.clear()

    def least_urgent(self, now_s: float) -> T:
        """Returns a request that loses least if it is refused.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        ends = self._ready.ordered(now_s)[-1:]
        candidates = [queued.item for queued in ends]
        # The newest request and one that is held for long.
        candidates.append(next(reversed(self._waiting)))
        if self._held and self._held[-1][1] in self._by_number:
            candidates.append(self._by_number[self._held[-1][1]])
        return max(
            candidates, key=lambda item: self._waiting[item].queued.rank(now_s)
        )

    def next_item(self, chance: float, price: float, now_s: float) -> T | None:
        """Returns the request that is to be sent first, if there is one.

        Args:
            chance: The chance that the best instance serves it now.
            price: What a retry is worth if it is kept for later.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._release(chance, now_s)
        while (queued := self._ready.first(now_s)) is not None:
            if not self._hold_if_better(queued.item, chance, price, now_s):
                return queued.item
        return None

    def take_overdue(self, now_s: float) -> list[T]:
        """Removes the requests that could not be served any more.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            The requests.
        """
        overdue = []
        while self._expiries and self._expiries[0][0] < now_s:
            item = self._by_number.get(heapq.heappop(self._expiries)[1])
            if item is not None:
                self.remove(item)
                overdue.append(item)
        return overdue

    def _hold_if_better(
        self, item: T, chance: float, price: float, now_s: float
    ) -> bool:
        """Holds a ready request if waiting is worth more than its attempt."""
        waiting = self._waiting[item]
        if waiting.prospect is None:
            return False
        start_s = dispatch_decision.best_start_s(
            waiting.prospect, chance, price, now_s
        )
        if start_s <= now_s:
            return False
        self._ready.remove(item)
        self._held_chance = min(self._held_chance, chance)
        waiting.held_until_s = start_s
        heapq.heappush(self._held, (start_s, waiting.number))
        return True

    def _release(self, chance: float, now_s: float) -> None:
        """Makes held requests ready that are due, or all for a better chance.

        The chance must have grown clearly, since all of them are weighed again.
        """
        limit_s = now_s
        if chance >= self._held_chance + CHANCE_STEP:
            limit_s = math.inf
        while self._held and self._held[0][0] <= limit_s:
            start_s, number = heapq.heappop(self._held)
            item = self._by_number.get(number)
            if item is None:
                continue
            waiting = self._waiting[item]
            if waiting.held_until_s == start_s:
                waiting.held_until_s = -math.inf
                self._ready.add(waiting.queued, now_s)
        if not self._held:
            self._held_chance = 1.0
