"""Limits how many connections callers may open."""

from __future__ import annotations

import collections
import enum
import math
import typing

# Descriptors for files, listening sockets, logs and the event loop.
FILE_DESCRIPTORS = 200
# How the other descriptors are divided. The rest, at least a quarter, is for
# connections to instances, the store and other daemons.
CALLER_FRACTION = 0.55
DIRECTORY_FRACTION = 0.08
STATUS_FRACTION = 0.02
PEER_FRACTION = 0.1
# The fewest connections of a listening socket.
MIN_CONNECTIONS = 8
# The fraction of the connections that one address may have. Thousands of
# callers may share one, so that it is large.
ADDRESS_FRACTION = 0.9
# The fraction of the connections that is closed at once when idle ones have to
# make room, so that not each new connection has to look for one.
EVICTED_FRACTION = 1.0 / 16.0


class Admission(enum.Enum):
    """Whether a further connection is within the limits."""

    ADMITTED = "admitted"
    ADDRESS_FULL = "address full"
    FULL = "full"


class IdleConnection(typing.Protocol):
    """A connection that may be closed to make room for another.

    Attributes:
        address: The caller's IP address.
    """

    address: str

    @property
    def idle_since_s(self) -> float | None:
        """Since when nothing is outstanding; None while something is."""

    @property
    def is_used(self) -> bool:
        """Whether it ever brought a complete request."""


class ConnectionLimits:
    """Counts the connections of one listening socket by address."""

    __slots__ = ("_counts", "_max_connections", "_total")

    def __init__(self, max_connections: float = math.inf) -> None:
        """Creates limits without connections.

        Args:
            max_connections: The most connections in all.
        """
        self._max_connections = max_connections
        self._counts: collections.Counter[str] = collections.Counter()
        self._total = 0

    @property
    def total(self) -> int:
        """The number of open connections."""
        return self._total

    @property
    def max_connections(self) -> float:
        """The most connections in all."""
        return self._max_connections

    @property
    def max_per_address(self) -> float:
        """The most connections of one address."""
        return self._max_connections * ADDRESS_FRACTION

    def check(self, address: str) -> Admission:
        """Tells whether an address may open a further connection.

        Args:
            address: The caller's IP address.
        """
        if self._total >= self._max_connections:
            return Admission.FULL
        if self._counts[address] + 1 > self.max_per_address:
            return Admission.ADDRESS_FULL
        return Admission.ADMITTED

    def add(self, address: str) -> None:
        """Counts an open connection.

        Args:
            address: The caller's IP address.
        """
        self._counts[address] += 1
        self._total += 1

    def remove(self, address: str) -> None:
        """Counts the end of a connection.

        Args:
            address: The caller's IP address.
        """
        self._total -= 1
        self._counts[address] -= 1
        if not self._counts[address]:
            del self._counts[address]

    def choose_idle(
        self,
        connections: typing.Iterable[IdleConnection],
        address: str,
        admission: Admission,
    ) -> list[IdleConnection]:
        """Chooses idle connections to close for a new one.

        They are of the new one's address if that has too many, and else of
        the address with the most connections that has idle ones. Those that
        never brought a request go first, among them the longest idle.

        Args:
            connections: All open connections.
            address: The address of the new connection.
            admission: Why the new connection is not within the limits.

        Returns:
            The connections; empty if all are in use.
        """
        idle = [c for c in connections if c.idle_since_s is not None]
        if admission is Admission.FULL and idle:
            address = max(
                {c.address for c in idle}, key=lambda a: self._counts[a]
            )
        count = max(1, int(self._counts[address] * EVICTED_FRACTION))
        candidates = [c for c in idle if c.address == address]
        candidates.sort(key=lambda c: (c.is_used, c.idle_since_s))
        return candidates[:count]


def share_descriptors(max_descriptors: float, fraction: float) -> float:
    """Returns how many connections a listening socket may have.

    Args:
        max_descriptors: The most descriptors of the process.
        fraction: The fraction of them that is for the connections.
    """
    if max_descriptors == math.inf:
        return math.inf
    usable = max_descriptors - FILE_DESCRIPTORS
    return max(MIN_CONNECTIONS, int(usable * fraction))
