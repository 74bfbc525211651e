"""Limits how much is read from instances before it is passed on."""

from __future__ import annotations

import asyncio
import math
import typing

# The turns of the event loop in which what was read passes through the tasks
# to the callers' connections, where it counts.
PASSING_TURNS = 4
# The time over which received bytes are added up, in seconds: a few turns.
WINDOW_S = 0.005


class Reader(typing.Protocol):
    """A connection to an instance."""

    def set_gated(self, is_gated: bool) -> None:
        """Stops or continues to read, unless reading is paused anyway."""


class ReadGate:
    """Pauses all connections to instances after much was read at once.

    The event loop reads up to 256 KB of each readable connection in one turn.
    With hundreds of long responses, these would fill the memory before the
    first one is counted.
    """

    __slots__ = (
        "_is_closed",
        "_max_bytes",
        "_read_bytes",
        "_readers",
        "_since_s",
    )

    def __init__(self, max_bytes: float = math.inf) -> None:
        """Creates an open gate.

        Args:
            max_bytes: The bytes after which reading pauses.
        """
        self._max_bytes = max_bytes
        self._readers: set[Reader] = set()
        self._read_bytes = 0
        self._since_s = -math.inf
        self._is_closed = False

    def add(self, reader: Reader) -> None:
        """Adds an open connection.

        Args:
            reader: The connection.
        """
        self._readers.add(reader)
        if self._is_closed:
            reader.set_gated(True)

    def remove(self, reader: Reader) -> None:
        """Removes a closed connection.

        Args:
            reader: The connection.
        """
        self._readers.discard(reader)

    def record_read(self, size: int) -> None:
        """Records received bytes; pauses all connections if it is too much.

        Args:
            size: The number of bytes.
        """
        if self._max_bytes == math.inf:
            return
        # The time of the event loop stands still during a turn.
        now_s = asyncio.get_running_loop().time()
        if now_s - self._since_s > WINDOW_S:
            self._since_s = now_s
            self._read_bytes = 0
        self._read_bytes += size
        if self._read_bytes > self._max_bytes and not self._is_closed:
            self._set_closed(True)
            self._wait(PASSING_TURNS)

    def _wait(self, turns: int) -> None:
        if turns:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._wait, turns - 1)
            return
        self._read_bytes = 0
        self._set_closed(False)

    def _set_closed(self, is_closed: bool) -> None:
        self._is_closed = is_closed
        for reader in self._readers:
            reader.set_gated(is_closed)
