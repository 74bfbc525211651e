"""Gives each flow of queued requests a part of the starts."""

from __future__ import annotations

import typing

Flow = typing.Hashable

# One start in this many goes to the flow that has waited longest. A daemon
# assumes that each priority gets 5 % of the slots, and this keeps the promise.
PERIOD = 20


class Waiting(typing.Protocol):
    """A queued request, as far as the floor needs it."""

    flow: Flow
    queued_s: float


R = typing.TypeVar("R", bound=Waiting)


class StarvationFloor:
    """Tells which request starts next to keep its flow from starving.

    A flow is the requests of one priority, route and tenant. The floor is
    needed where those that cost least to delay keep arriving late.
    """

    __slots__ = ("_started_s", "_starts")

    def __init__(self) -> None:
        """Creates the floor of a queue without starts."""
        self._starts = 0
        # When a queued request of each flow last started.
        self._started_s: dict[Flow, float] = {}

    @property
    def is_due(self) -> bool:
        """Whether the next start belongs to the flow that waited longest."""
        return self._starts >= PERIOD

    def record_start(self, flow: Flow, now_s: float) -> None:
        """Records that a queued request started.

        Args:
            flow: The request's flow.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._starts = 0 if self.is_due else self._starts + 1
        self._started_s[flow] = now_s

    def pick(self, ordered: typing.Sequence[R]) -> R | None:
        """Returns the first request of the flow that has waited longest.

        Args:
            ordered: The queued requests, the first to be sent first.
        """
        oldest: dict[Flow, float] = {}
        first: dict[Flow, R] = {}
        for request in ordered:
            flow = request.flow
            first.setdefault(flow, request)
            oldest[flow] = min(
                oldest.get(flow, request.queued_s), request.queued_s
            )
        # Flows that are not queued any more do not starve.
        self._started_s = {
            flow: started_s
            for flow, started_s in self._started_s.items()
            if flow in first
        }
        if len(first) < 2:
            return None
        flow = min(
            first,
            key=lambda f: max(oldest[f], self._started_s.get(f, oldest[f])),
        )
        return first[flow]
