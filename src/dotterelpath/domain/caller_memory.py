"""Limits the memory that callers hold in a process."""

from __future__ import annotations

import math
import typing

# A connection that holds more output than this is not read from until its
# caller has taken some: twice the longest usual response, in bytes.
MAX_SHARE_BYTES = 1024 * 1024
# The share of one connection in a small process, and the least share, which
# exceeds what a transport holds before it reports that it is full.
SHARE_FRACTION = 1.0 / 64.0
MIN_SHARE_BYTES = 128 * 1024
# The fraction of the budget that connections may hold at most after some were
# closed, so that the next excess is some time away.
RECLAIM_FRACTION = 0.9
# The fraction of the budget that is read ahead before responses are passed on
# early, and the bytes of a response that are read even then.
READ_AHEAD_FRACTION = 0.125
MIN_READ_AHEAD_BYTES = 32 * 1024
# The fraction of the budget that may be on its way from instances to callers'
# connections, where it is not counted yet.
PASSING_FRACTION = 0.0625
# The fraction of the process's memory that request bodies may take up. A body
# takes up to twice its size while it is received, and a process without
# requests about 60 MB.
BODY_MEMORY_FRACTION = 0.35
# The fraction that everything else that callers hold may take up. The memory
# grows by up to twice as much, since it is freed and allocated in large pieces.
HELD_MEMORY_FRACTION = 0.25
# The fraction that callers may hold in all. Some of it is always kept from
# bodies, so that uploads do not cost others their responses.
MEMORY_FRACTION = 0.4


class Holder(typing.Protocol):
    """A connection of a caller that holds memory.

    Attributes:
        address: The caller's IP address.
        held_bytes: What it holds, without request bodies; only CallerMemory
            sets it.
    """

    address: str
    held_bytes: int

    @property
    def is_serving(self) -> bool:
        """Whether a request has no complete response yet."""

    @property
    def is_stalled(self) -> bool:
        """Whether the caller takes none of the waiting output."""


class CallerMemory:
    """The bytes that callers hold in the whole process.

    Request bodies are refused if they do not fit. Output and received input
    of connections cannot be refused once they are there, so that an excess is
    ended by closing connections.
    """

    __slots__ = (
        "_body_bytes",
        "_held_bytes",
        "_max_body_bytes",
        "_max_bytes",
        "_max_held_bytes",
        "_read_ahead_bytes",
    )

    def __init__(
        self,
        max_bytes: float = math.inf,
        max_body_bytes: float = math.inf,
        max_held_bytes: float = math.inf,
    ) -> None:
        """Creates a budget of which nothing is used.

        Args:
            max_bytes: The most bytes that callers may hold.
            max_body_bytes: The most that request bodies may take up of it.
            max_held_bytes: The most that everything else may take up of it.
        """
        self._max_bytes = max_bytes
        self._max_body_bytes = max_body_bytes
        self._max_held_bytes = max_held_bytes
        self._body_bytes = 0
        self._held_bytes = 0
        self._read_ahead_bytes = 0

    @property
    def max_bytes(self) -> float:
        """The most bytes that callers may hold."""
        return self._max_bytes

    @property
    def body_bytes(self) -> int:
        """The bytes that request bodies take up now."""
        return self._body_bytes

    @property
    def total_bytes(self) -> int:
        """All bytes that callers hold now."""
        return self._body_bytes + self._held_bytes + self._read_ahead_bytes

    @property
    def read_ahead_bytes(self) -> int:
        """The bytes of responses that callers' connections do not have yet."""
        return self._read_ahead_bytes

    @property
    def share_bytes(self) -> float:
        """The output of one connection at which its requests have to wait."""
        share = max(MIN_SHARE_BYTES, self._max_bytes * SHARE_FRACTION)
        return min(MAX_SHARE_BYTES, share)

    @property
    def is_exceeded(self) -> bool:
        """Whether callers hold more than they may."""
        held = self._held_bytes + self._read_ahead_bytes
        return (
            held > self._max_held_bytes
            or held + self._body_bytes > self._max_bytes
        )

    def fits(self, size: int) -> bool:
        """Tells whether a request body could be held now.

        Args:
            size: The size of the body, in bytes.
        """
        return (
            self._body_bytes + size <= self._max_body_bytes
            and self.total_bytes + size <= self._max_bytes
        )

    def reserve(self, size: int) -> bool:
        """Reserves bytes for a request body if they are left.

        Args:
            size: The number of bytes.

        Returns:
            Whether the bytes were reserved.
        """
        if not self.fits(size):
            return False
        self._body_bytes += size
        return True

    def release(self, size: int) -> None:
        """Returns reserved bytes.

        Args:
            size: The number of bytes.
        """
        self._body_bytes -= size

    def add_read_ahead(self, size: int) -> None:
        """Records bytes that were read from an instance.

        Args:
            size: The number of bytes; negative once they are passed on.
        """
        self._read_ahead_bytes += size

    @property
    def max_read_at_once(self) -> float:
        """The bytes from instances after which reading has to pause."""
        return self._max_bytes * PASSING_FRACTION

    def limit_read_ahead(self, size: int) -> int:
        """Limits how much of a response is read before it is passed on.

        While much is read ahead, responses are passed on early. Those whose
        turn has not come are then read no further.

        Args:
            size: The usual limit, in bytes.

        Returns:
            The limit now, in bytes.
        """
        if self._read_ahead_bytes < self._max_bytes * READ_AHEAD_FRACTION:
            return size
        return min(size, MIN_READ_AHEAD_BYTES)

    def update(self, holder: Holder, size: int) -> None:
        """Records what a connection holds now, without request bodies.

        Args:
            holder: The connection.
            size: The number of bytes; 0 for a closed connection.
        """
        self._held_bytes += size - holder.held_bytes
        holder.held_bytes = size

    def choose_for_body(
        self, holders: typing.Iterable[Holder], size: int
    ) -> list[Holder]:
        """Chooses connections to close so that a request body fits.

        Only callers that take nothing make room for others' bodies.

        Args:
            holders: All open connections.
            size: The size of the body, in bytes.

        Returns:
            The connections; none if the body would not fit even then.
        """
        if self._body_bytes + size > self._max_body_bytes:
            return []
        stalled = [holder for holder in holders if holder.is_stalled]
        excess = self.total_bytes + size - self._max_bytes
        chosen = _choose(stalled, excess)
        freed = sum(holder.held_bytes for holder in chosen)
        return chosen if freed >= excess else []

    def choose_excess(self, holders: typing.Iterable[Holder]) -> list[Holder]:
        """Chooses connections to close until the budget is kept.

        Callers that take nothing go first, among them those without a running
        request, and among those the ones that hold most.

        Args:
            holders: All open connections.

        Returns:
            The connections; none if the budget is kept.
        """
        if not self.is_exceeded:
            return []
        return _choose(holders, self._excess(RECLAIM_FRACTION))

    def _excess(self, fraction: float) -> float:
        """Returns the bytes above a fraction of the limits."""
        held = self._held_bytes + self._read_ahead_bytes
        return max(
            held - self._max_held_bytes * fraction,
            held + self._body_bytes - self._max_bytes * fraction,
        )


def for_process(memory_bytes: float) -> CallerMemory:
    """Creates the budget of a process.

    Args:
        memory_bytes: The most memory that the process may use, in bytes.
    """
    return CallerMemory(
        memory_bytes * MEMORY_FRACTION,
        memory_bytes * BODY_MEMORY_FRACTION,
        memory_bytes * HELD_MEMORY_FRACTION,
    )


def largest(holders: typing.Iterable[Holder], count: int) -> list[Holder]:
    """Returns the connections that hold most, the largest first.

    Args:
        holders: The connections.
        count: How many to return at most.
    """
    holding = [holder for holder in holders if holder.held_bytes]
    return sorted(holding, key=lambda holder: -holder.held_bytes)[:count]


def _choose(holders: typing.Iterable[Holder], excess: float) -> list[Holder]:
    """Returns the first connections to close that hold so many bytes."""
    chosen: list[Holder] = []
    for holder in sorted(
        (holder for holder in holders if holder.held_bytes),
        key=lambda h: (not h.is_stalled, h.is_serving, -h.held_bytes),
    ):
        if excess <= 0:
            break
        chosen.append(holder)
        excess -= holder.held_bytes
    return chosen
