"""Schedules many items on one event loop timer."""

from __future__ import annotations

import asyncio
import heapq
import typing

from dotterelpath.ports import clock as clock_port
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

# Delays each Tick by this time, in seconds, so that items which are due within
# it share one Tick.
GRANULARITY_S = 0.002

T = typing.TypeVar("T")


class Timers(typing.Generic[T]):
    """Keeps due times and posts a Tick when the earliest has come.

    Items are not removed before their time, even if their request has ended.
    This is cheaper than a cancellable timer for each request.
    """

    __slots__ = (
        "_clock",
        "_heap",
        "_inbox",
        "_last_sequence",
        "_timer",
        "_timer_due_s",
    )

    def __init__(
        self,
        clock: clock_port.Clock,
        inbox: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates timers without items.

        Args:
            clock: Tells the time.
            inbox: Gets the Tick.
        """
        self._clock = clock
        self._inbox = inbox
        self._heap: list[tuple[float, int, T]] = []
        self._last_sequence = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_s = 0.0

    def add(self, due_s: float, item: T) -> None:
        """Adds an item.

        Args:
            due_s: When it is due, on the clock, in seconds.
            item: The item.
        """
        self._last_sequence += 1
        heapq.heappush(self._heap, (due_s, self._last_sequence, item))
        if self._timer is None or due_s < self._timer_due_s:
            self._schedule()

    def pop_due(self, now_s: float) -> list[T]:
        """Removes and returns the items that are due.

        Args:
            now_s: The clock, in seconds.

        Returns:
            The items, earliest first.
        """
        found = []
        while self._heap and self._heap[0][0] <= now_s:
            found.append(heapq.heappop(self._heap)[2])
        self._schedule()
        return found

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._heap:
            return
        self._timer_due_s = self._heap[0][0]
        delay_s = max(0.0, self._timer_due_s - self._clock.now_s())
        self._timer = asyncio.get_running_loop().call_later(
            delay_s + GRANULARITY_S, self._post
        )

    def _post(self) -> None:
        self._timer = None
        self._inbox.force(messages.Tick())
