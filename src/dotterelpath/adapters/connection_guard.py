"""Enforces the limits on callers' connections and on the memory they hold."""

from __future__ import annotations

import asyncio
import collections
import math
import time
import typing

import structlog

from dotterelpath.domain import caller_memory
from dotterelpath.domain import connection_limits
from dotterelpath.ports import metrics as metrics_port

# Why a connection was closed or refused; also the label of the metric.
MEMORY = "memory"
STALLED = "stalled"
DESCRIPTORS = "descriptors"
# How often one reason is logged, in seconds; a line counts those since the
# last one.
LOG_INTERVAL_S = 1.0
# The pause after a search among all connections, as a multiple of its duration,
# so that a flood of refused clients spends little on searches.
SEARCH_PAUSE_MULTIPLE = 10.0
# How many of the connections that hold most the status shows.
SHOWN_HOLDERS = 5

_log = structlog.get_logger()


class GuardedConnection(typing.Protocol):
    """A connection whose memory and descriptor the guard can take back."""

    address: str
    held_bytes: int

    @property
    def is_serving(self) -> bool:
        """See caller_memory.Holder."""

    @property
    def is_stalled(self) -> bool:
        """See caller_memory.Holder."""

    @property
    def is_used(self) -> bool:
        """See connection_limits.IdleConnection."""

    @property
    def idle_since_s(self) -> float | None:
        """See connection_limits.IdleConnection."""

    def measure(self) -> int:
        """Returns the memory that the connection holds, in bytes."""

    def discard(self) -> None:
        """Closes at once and drops what waits to be read or written."""


class SearchLimiter:
    """Bounds the time that is spent on searches among all connections."""

    __slots__ = ("_began_s", "_next_s")

    def __init__(self) -> None:
        """Creates a limiter that allows a search."""
        self._began_s = 0.0
        self._next_s = -math.inf

    def begin(self) -> bool:
        """Tells whether a search may begin now."""
        self._began_s = time.monotonic()
        return self._began_s >= self._next_s

    def end(self) -> None:
        """Records the end of a search."""
        now_s = time.monotonic()
        pause_s = (now_s - self._began_s) * SEARCH_PAUSE_MULTIPLE
        self._next_s = now_s + pause_s


class CallerRegistry:
    """The connections of all listening sockets of a process."""

    __slots__ = (
        "_closed_counts",
        "_connections",
        "_logged_s",
        "_memory",
        "_metrics",
        "_search",
        "_unlogged_counts",
    )

    def __init__(
        self,
        memory: caller_memory.CallerMemory | None = None,
        metrics: metrics_port.Metrics | None = None,
    ) -> None:
        """Creates a registry without connections.

        Args:
            memory: The memory that callers may hold; unlimited by default.
            metrics: Counts the connections that are closed.
        """
        self._memory = memory or caller_memory.CallerMemory()
        self._metrics = metrics
        self._connections: set[GuardedConnection] = set()
        self._closed_counts: collections.Counter[str] = collections.Counter()
        self._unlogged_counts: collections.Counter[str] = collections.Counter()
        self._logged_s: dict[str, float] = {}
        self._search = SearchLimiter()

    @property
    def memory(self) -> caller_memory.CallerMemory:
        """The memory that callers may hold."""
        return self._memory

    def status(self) -> dict[str, typing.Any]:
        """Describes what callers hold, and which hold most."""
        self._refresh()
        max_bytes = self._memory.max_bytes
        holders = caller_memory.largest(self._connections, SHOWN_HOLDERS)
        return {
            "connections": len(self._connections),
            "held_bytes": self._memory.total_bytes,
            "read_ahead_bytes": self._memory.read_ahead_bytes,
            "max_bytes": None if max_bytes == math.inf else int(max_bytes),
            "closed": dict(self._closed_counts),
            "largest": [
                {
                    "address": holder.address,
                    "held_bytes": holder.held_bytes,
                    "stalled": holder.is_stalled,
                }
                for holder in holders
            ],
        }

    def add(self, connection: GuardedConnection) -> None:
        """Adds an open connection.

        Args:
            connection: The connection.
        """
        self._connections.add(connection)

    def remove(self, connection: GuardedConnection) -> None:
        """Removes a closed connection.

        Args:
            connection: The connection.
        """
        self._memory.update(connection, 0)
        self._connections.discard(connection)

    def account(self, connection: GuardedConnection, size: int) -> None:
        """Records what a connection holds; closes some if all hold too much.

        Args:
            connection: The connection.
            size: What it holds, in bytes.
        """
        self._memory.update(connection, size)
        if not self._memory.is_exceeded:
            return
        self._refresh()
        self._discard(self._memory.choose_excess(self._connections))

    def fits(self, size: int) -> bool:
        """Tells whether a request body could be held.

        Args:
            size: The size of the body, in bytes.
        """
        return self._memory.fits(size) or self._make_room(size)

    def reserve(self, size: int) -> bool:
        """Reserves bytes for a request body if they are left.

        Args:
            size: The number of bytes.

        Returns:
            Whether the bytes were reserved.
        """
        if self._memory.reserve(size):
            return True
        return self._make_room(size) and self._memory.reserve(size)

    def release(self, size: int) -> None:
        """Returns reserved bytes.

        Args:
            size: The number of bytes.
        """
        self._memory.release(size)

    def record_closed(self, reason: str, connection: GuardedConnection) -> None:
        """Counts and logs a connection that a limit has closed.

        Args:
            reason: Why it was closed.
            connection: The connection.
        """
        self._closed_counts[reason] += 1
        self._unlogged_counts[reason] += 1
        if self._metrics is not None:
            self._metrics.record_closed_connection(reason)
        now_s = time.monotonic()
        if now_s - self._logged_s.get(reason, -math.inf) < LOG_INTERVAL_S:
            return
        self._logged_s[reason] = now_s
        _log.warning(
            "caller connections closed",
            reason=reason,
            count=self._unlogged_counts.pop(reason),
            address=connection.address,
            held_bytes=connection.held_bytes,
            total_bytes=self._memory.total_bytes,
            connections=len(self._connections),
        )

    def _make_room(self, size: int) -> bool:
        """Closes callers that take nothing, for a request body.

        Returns:
            Whether the body fits now.
        """
        if not self._search.begin():
            return False
        self._refresh()
        self._discard(self._memory.choose_for_body(self._connections, size))
        self._search.end()
        return self._memory.fits(size)

    def _refresh(self) -> None:
        """Measures all connections; output is sent without an event."""
        for connection in self._connections:
            self._memory.update(connection, connection.measure())

    def _discard(self, holders: list[caller_memory.Holder]) -> None:
        for holder in holders:
            connection = typing.cast(GuardedConnection, holder)
            self.record_closed(MEMORY, connection)
            self._memory.update(connection, 0)
            connection.discard()


class ConnectionGuard:
    """The limits of one listening socket."""

    __slots__ = ("_connections", "_limits", "_registry", "_search")

    def __init__(
        self,
        registry: CallerRegistry | None = None,
        max_connections: float = math.inf,
    ) -> None:
        """Creates a guard without connections.

        Args:
            registry: The connections of the whole process.
            max_connections: The most connections of the listening socket.
        """
        self._registry = registry or CallerRegistry()
        self._limits = connection_limits.ConnectionLimits(max_connections)
        self._connections: set[GuardedConnection] = set()
        self._search = SearchLimiter()

    @property
    def registry(self) -> CallerRegistry:
        """The connections of the whole process."""
        return self._registry

    def admit(self, connection: GuardedConnection) -> bool:
        """Adds a connection if it is within the limits.

        Idle connections are closed to make room for it.

        Args:
            connection: The new connection.

        Returns:
            Whether it was added; if not, it must be closed.
        """
        address = connection.address
        admission = self._limits.check(address)
        is_admitted = admission is connection_limits.Admission.ADMITTED
        if not is_admitted and not self._evict_idle(address, admission):
            self._registry.record_closed(DESCRIPTORS, connection)
            return False
        self._limits.add(address)
        self._connections.add(connection)
        self._registry.add(connection)
        return True

    def _evict_idle(
        self, address: str, admission: connection_limits.Admission
    ) -> bool:
        """Closes idle connections; returns whether there were any."""
        if not self._search.begin():
            return False
        idle = self._limits.choose_idle(self._connections, address, admission)
        for chosen in idle:
            closed = typing.cast(GuardedConnection, chosen)
            self._registry.record_closed(DESCRIPTORS, closed)
            closed.discard()
        self._search.end()
        return bool(idle)

    def remove(self, connection: GuardedConnection) -> None:
        """Removes a closed connection; one that was not admitted is ignored.

        Args:
            connection: The connection.
        """
        if connection not in self._connections:
            return
        self._connections.remove(connection)
        self._limits.remove(connection.address)
        self._registry.remove(connection)


def address_of(transport: asyncio.BaseTransport) -> str:
    """Returns the caller's IP address; empty if it has left already.

    Args:
        transport: The transport of the connection.
    """
    peer = transport.get_extra_info("peername")
    return str(peer[0]) if peer else ""
