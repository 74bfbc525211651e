"""The body of a caller's request while it is received and processed."""

from __future__ import annotations

import math
import typing

from dotterelpath import errors
from dotterelpath.adapters import headers as header_names
from dotterelpath.domain import exchange
from dotterelpath.ports import frontend

# Parts of a body that are smaller than this are joined, since an object for
# each would take up many times its bytes.
MIN_PART_BYTES = 4096
# Joined parts are kept as one up to this size, so that growing one copies
# little.
MAX_JOINED_BYTES = 64 * 1024


class Budget(typing.Protocol):
    """The memory that bodies may take up."""

    def fits(self, size: int) -> bool:
        """Tells whether a body of a size in bytes could be held."""

    def reserve(self, size: int) -> bool:
        """Reserves bytes and tells whether they were left."""

    def release(self, size: int) -> None:
        """Returns reserved bytes."""


class RequestBody:
    """Collects a body within the limits on size, memory and duration."""

    __slots__ = (
        "_announced",
        "_budget",
        "_chunks",
        "_deadline_s",
        "_joined",
        "_limits",
        "_reserved",
        "_size",
        "_window_size",
        "_window_started_s",
    )

    def __init__(self, limits: frontend.Limits, budget: Budget) -> None:
        """Creates an empty body.

        Args:
            limits: The limits of the caller's connection.
            budget: The budget from which the bytes are taken.
        """
        self._limits = limits
        self._budget = budget
        self._chunks: list[bytes] = []
        # The small parts since the last entry of _chunks.
        self._joined = bytearray()
        self._announced = 0
        self._size = 0
        self._reserved = 0
        self._deadline_s = math.inf
        self._window_size = 0
        self._window_started_s = 0.0

    @property
    def announced_left(self) -> int:
        """The announced bytes that are not received; 0 if none were."""
        return max(0, self._announced - self._size)

    def begin(
        self, headers: exchange.Headers, timeout_s: float | None, now_s: float
    ) -> errors.ResultCode | None:
        """Checks the announced size before any of the body is read.

        Args:
            headers: The headers of the request.
            timeout_s: The time after which the caller no longer waits, in
                seconds; None if it is unknown.
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Why the request must be refused; None if it can be received.
        """
        self._window_started_s = now_s
        if timeout_s is not None:
            self._deadline_s = now_s + timeout_s
        self._announced = announced = header_names.content_length(headers)
        if announced > self._limits.max_body_bytes:
            return errors.ResultCode.BODY_TOO_LARGE
        if not self._budget.fits(announced):
            return errors.ResultCode.OVERLOADED
        return None

    def add(self, data: bytes) -> errors.ResultCode | None:
        """Adds received bytes.

        Args:
            data: The bytes.

        Returns:
            Why the request must be refused; None if the bytes were added.
        """
        self._size += len(data)
        if self._size > self._limits.max_body_bytes:
            return errors.ResultCode.BODY_TOO_LARGE
        if not self._budget.reserve(len(data)):
            return errors.ResultCode.OVERLOADED
        self._reserved += len(data)
        if len(data) < MIN_PART_BYTES:
            self._joined += data
            if len(self._joined) >= MAX_JOINED_BYTES:
                self._end_joined()
            return None
        self._end_joined()
        self._chunks.append(data)
        return None

    def _end_joined(self) -> None:
        if self._joined:
            self._chunks.append(bytes(self._joined))
            self._joined = bytearray()

    def take(self) -> bytes:
        """Returns the complete body, which stays within the budget."""
        self._end_joined()
        content = b"".join(self._chunks)
        self._chunks = []
        return content

    def release(self) -> None:
        """Returns the bytes to the budget, once the request has ended."""
        self._chunks = []
        self._joined = bytearray()
        self._budget.release(self._reserved)
        self._reserved = 0

    def is_too_slow(self, now_s: float) -> bool:
        """Tells whether the rest of the body comes too late or too slowly.

        A caller that sends a byte now and then would hold memory for as long
        as it likes.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        if now_s > self._deadline_s:
            return True
        window_s = self._limits.idle_timeout_s
        if not window_s or now_s - self._window_started_s < window_s:
            return False
        received = self._size - self._window_size
        self._window_size = self._size
        self._window_started_s = now_s
        return received < self._limits.min_body_bytes_per_s * window_s
