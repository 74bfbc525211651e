"""Writes structured logs as JSON, limited in volume and without blocking."""

from __future__ import annotations

import atexit
import logging
import os
import time
import typing

import orjson
import structlog

STDOUT = 1
STDERR = 2
LEVELS = ("debug", "info", "warning", "error")
# Lines are lost while the reader is more bytes than this behind.
MAX_UNWRITTEN_BYTES = 1024 * 1024
# The most lines per second, and the most at once after a quiet period; a
# request logs one to four lines.
LINES_PER_S = 1000.0
BURST_LINES = 4000.0


class BoundedWriter:
    """Writes lines to a descriptor, limited in rate and backlog.

    Lines beyond the limits are lost; their count is logged before the next
    line that is written.
    """

    __slots__ = (
        "_descriptor",
        "_lost_lines",
        "_refilled_at_s",
        "_tokens",
        "_unwritten",
    )

    def __init__(self, descriptor: int) -> None:
        """Creates a writer.

        Args:
            descriptor: An open file, pipe or terminal.
        """
        self._descriptor = descriptor
        self._unwritten = bytearray()
        self._lost_lines = 0
        self._tokens = BURST_LINES
        self._refilled_at_s = time.monotonic()

    @property
    def lost_lines(self) -> int:
        """The number of lost lines that has not been logged yet."""
        return self._lost_lines

    def write(self, line: bytes) -> None:
        """Writes a line, or counts it as lost beyond the limits.

        Args:
            line: The line without a newline.
        """
        now_s = time.monotonic()
        refill = (now_s - self._refilled_at_s) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at_s = now_s
        is_full = len(self._unwritten) > MAX_UNWRITTEN_BYTES
        if self._tokens < 1.0 or is_full:
            self._lost_lines += 1
            self.flush()
            return
        self._tokens -= 1.0
        if self._lost_lines:
            self._unwritten += b'{"event":"log lines lost","count":%d}\n' % (
                self._lost_lines
            )
            self._lost_lines = 0
        self._unwritten += line + b"\n"
        self.flush()

    def flush(self) -> None:
        """Writes as many buffered bytes as the descriptor accepts."""
        try:
            while self._unwritten:
                written = os.write(self._descriptor, self._unwritten)
                del self._unwritten[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, and there is nowhere else to report it.
            self._unwritten.clear()


class _LineLogger:
    """Writes rendered events; structlog calls the method of their level."""

    __slots__ = ("_writer",)

    def __init__(self, writer: BoundedWriter) -> None:
        self._writer = writer

    def msg(self, line: bytes) -> None:
        self._writer.write(line)

    debug = info = warning = error = critical = msg


def configure(level: str, descriptor: int | None = None) -> BoundedWriter:
    """Sets up structlog for the whole process.

    Args:
        level: The lowest level that is logged.
        descriptor: The descriptor to write to, which is made non-blocking.
            None writes to standard error and leaves it blocking, as other
            processes may share it.

    Returns:
        The writer of the lines.
    """
    if descriptor is not None:
        os.set_blocking(descriptor, False)
    writer = BoundedWriter(STDERR if descriptor is None else descriptor)
    atexit.register(writer.flush)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(
                serializer=_serialize, default=str
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=lambda *args: _LineLogger(writer),
        cache_logger_on_first_use=True,
    )
    return writer


def _serialize(event: typing.Any, default: typing.Any) -> bytes:
    return orjson.dumps(event, default=default)
