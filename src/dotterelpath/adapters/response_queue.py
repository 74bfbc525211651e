"""The received requests of a connection, in the order of their responses."""

from __future__ import annotations

import collections
import typing

from dotterelpath.adapters import request_cycle
from dotterelpath.domain import exchange


class ResponseQueue:
    """Requests whose responses are not completely written yet."""

    __slots__ = ("_cycles",)

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._cycles: collections.deque[request_cycle.RequestCycle] = (
            collections.deque()
        )

    def __len__(self) -> int:
        """Returns the number of requests."""
        return len(self._cycles)

    def __iter__(self) -> typing.Iterator[request_cycle.RequestCycle]:
        """Iterates over the requests, the oldest first."""
        return iter(self._cycles)

    def append(self, cycle: request_cycle.RequestCycle) -> None:
        """Adds a request that was received.

        Args:
            cycle: The request.
        """
        self._cycles.append(cycle)

    def pop_first(self) -> None:
        """Removes the oldest request and releases its memory."""
        self._cycles.popleft().release()

    def drop_responses(self) -> None:
        """Drops what waits to be written, as nobody will get it."""
        for cycle in self._cycles:
            cycle.chunks = []
            cycle.chunk_bytes = 0

    def clear(self) -> None:
        """Removes all requests and releases their memory."""
        while self._cycles:
            self.pop_first()

    @property
    def first(self) -> request_cycle.RequestCycle:
        """The oldest request."""
        return self._cycles[0]

    @property
    def last(self) -> request_cycle.RequestCycle:
        """The newest request."""
        return self._cycles[-1]

    @property
    def held_bytes(self) -> int:
        """The memory of all requests and responses, without bodies."""
        size = 0
        for cycle in self._cycles:
            size += cycle.held_bytes
        return size

    @property
    def chunk_bytes(self) -> int:
        """The bytes of responses that wait for their turn."""
        size = 0
        for cycle in self._cycles:
            size += cycle.chunk_bytes
        return size

    @property
    def is_serving(self) -> bool:
        """Whether a request has no complete response yet."""
        return any(not cycle.is_answered for cycle in self._cycles)

    def find_unanswered(
        self, request: exchange.Request | None
    ) -> request_cycle.RequestCycle | None:
        """Finds the given request if it has no response yet.

        Args:
            request: The request; None for the oldest without a response.
        """
        for cycle in self._cycles:
            if cycle.is_answered or cycle.is_streaming:
                continue
            if request is None or cycle.request is request:
                return cycle
        return None

    def find_stream(
        self, request: exchange.Request | None
    ) -> request_cycle.RequestCycle | None:
        """Finds the given request if its response is streamed.

        Args:
            request: The request; None for the oldest with such a response.
        """
        for cycle in self._cycles:
            if cycle.is_streaming and request in (None, cycle.request):
                return cycle
        return None
