"""Limits the bytes of a streamed response between instance and caller."""

from __future__ import annotations

# The most bytes of a response that were read from the instance and not yet
# written to the caller, before reading pauses.
MAX_UNWRITTEN_BYTES = 256 * 1024


class StreamWindow:
    """The bytes of one response that are on their way to the caller.

    An instance may send faster than the daemon forwards. Without a limit, the
    chunks would pile up in mailboxes.
    """

    __slots__ = ("_is_caller_paused", "_unwritten_bytes")

    def __init__(self) -> None:
        """Creates a window without bytes."""
        self._unwritten_bytes = 0
        self._is_caller_paused = False

    @property
    def is_open(self) -> bool:
        """Whether to read more from the instance."""
        return (
            not self._is_caller_paused
            and self._unwritten_bytes < MAX_UNWRITTEN_BYTES
        )

    def record_read(self, size: int) -> None:
        """Records bytes that were read from the instance.

        Args:
            size: The number of bytes.
        """
        self._unwritten_bytes += size

    def record_written(self, size: int) -> None:
        """Records bytes that were written to the caller.

        Args:
            size: The number of bytes.
        """
        self._unwritten_bytes -= size

    def set_caller_paused(self, is_paused: bool) -> None:
        """Records whether the caller's write buffer is full.

        Args:
            is_paused: Whether it is full.
        """
        self._is_caller_paused = is_paused
