"""Writes to a caller and measures what the caller has not taken yet."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import struct
import termios

from dotterelpath.adapters import traffic
from dotterelpath.domain import output_progress

# What the event loop holds for each write that waits, in addition to its
# bytes. 240,000 waiting responses of 130 bytes took up 205 MB.
WRITE_OVERHEAD_BYTES = 768


class CallerOutput:
    """The output of one connection, from the write to the caller's kernel."""

    __slots__ = (
        "_progress",
        "_traffic_counter",
        "_transport",
        "_write_count",
        "_written_bytes",
    )

    def __init__(self, traffic_counter: traffic.TrafficCounter) -> None:
        """Creates the output of a connection that is not yet open.

        Args:
            traffic_counter: Counts the bytes written.
        """
        self._traffic_counter = traffic_counter
        self._transport: asyncio.Transport | None = None
        self._progress = output_progress.OutputProgress()
        self._written_bytes = 0
        # Writes since nothing waited.
        self._write_count = 0

    def open(self, transport: asyncio.Transport) -> None:
        """Sets the transport to write to.

        Args:
            transport: The transport of the connection.
        """
        self._transport = transport

    def close(self) -> None:
        """Forgets the transport, which is closed."""
        self._transport = None

    @property
    def waiting_bytes(self) -> int:
        """The bytes that the kernel has not accepted yet."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def held_bytes(self) -> int:
        """The memory that waiting output takes up."""
        waiting = self.waiting_bytes
        if not waiting:
            self._write_count = 0
            return 0
        return waiting + self._write_count * WRITE_OVERHEAD_BYTES

    def write(self, data: bytes) -> None:
        """Writes bytes.

        Args:
            data: The bytes.
        """
        if not data or self._transport is None:
            return
        if not self._transport.get_write_buffer_size():
            self._write_count = 0
        self._write_count += 1
        self._written_bytes += len(data)
        self._traffic_counter.add(len(data))
        self._transport.write(data)

    def stalled_s(self, now_s: float) -> float:
        """Returns for how long the caller has taken none of what waits.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            The time in seconds; as exact as the calls are frequent.
        """
        waiting = self.waiting_bytes
        taken = self._written_bytes - waiting
        if waiting:
            taken -= self._sent_bytes_in_kernel()
        self._progress.record(taken, waiting, now_s)
        return self._progress.stalled_s(now_s)

    def _sent_bytes_in_kernel(self) -> int:
        """Returns the bytes that the caller's kernel has not acknowledged.

        Without them, a caller that reads slowly would seem to stall, since
        the kernel accepts more only once a third of its buffer is free.
        """
        assert self._transport is not None
        socket = self._transport.get_extra_info("socket")
        if socket is None:
            return 0
        size = bytearray(4)
        with contextlib.suppress(OSError):
            fcntl.ioctl(socket.fileno(), termios.TIOCOUTQ, size)
        return int(struct.unpack("i", size)[0])
