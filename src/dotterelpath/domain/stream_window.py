"""Limits the bytes of responses on their way from instance to caller."""

from __future__ import annotations

# An instance cuts off a response that stays unread for some seconds, and holds
# a slot until then. A response is therefore read ahead of a slow caller, so
# that one of up to twice this size (held whole, then read ahead) never waits
# for its caller at the instance.
MAX_AHEAD_BYTES = 1024 * 1024
# The read-ahead of a stream while those of all streams together take up more
# than their budget. Less would make fast callers wait for each chunk.
MIN_AHEAD_BYTES = 64 * 1024
# The budget of all streams of the process: a sixth of the memory of the
# smallest machines, which have 200 MB.
MAX_TOTAL_AHEAD_BYTES = 32 * 1024 * 1024
# The most bytes of a download that are held whole before the first one is sent
# to the caller, so that a break until then is not seen.
MAX_HELD_BYTES = 1024 * 1024
# The memory that downloads held whole may take up. More downloads at once are
# held up to the size for other responses.
MAX_TOTAL_HELD_BYTES = 32 * 1024 * 1024


class ReadAhead:
    """The bytes that all streams of a process hold for their callers."""

    __slots__ = ("held_bytes",)

    def __init__(self) -> None:
        """Creates an object without streams."""
        self.held_bytes = 0


class StreamWindow:
    """The bytes of one response that are on their way to the caller.

    An instance may send faster than the caller reads. Without a limit, the
    chunks would pile up in mailboxes and in the caller's connection.
    """

    __slots__ = ("_read_ahead", "_unwritten_bytes")

    def __init__(self, read_ahead: ReadAhead) -> None:
        """Creates a window without bytes.

        Args:
            read_ahead: The sum for all streams of the process.
        """
        self._read_ahead = read_ahead
        self._unwritten_bytes = 0

    @property
    def is_open(self) -> bool:
        """Whether to read more from the instance."""
        if self._unwritten_bytes < MIN_AHEAD_BYTES:
            return True
        return (
            self._unwritten_bytes < MAX_AHEAD_BYTES
            and self._read_ahead.held_bytes < MAX_TOTAL_AHEAD_BYTES
        )

    def record_read(self, size: int) -> None:
        """Records bytes that were read from the instance.

        Args:
            size: The number of bytes.
        """
        self._unwritten_bytes += size
        self._read_ahead.held_bytes += size

    def record_written(self, size: int) -> None:
        """Records bytes that the caller's connection has taken.

        Args:
            size: The number of bytes.
        """
        self._unwritten_bytes -= size
        self._read_ahead.held_bytes -= size

    def close(self) -> None:
        """Ends the window, with the bytes that are still in it."""
        self.record_written(self._unwritten_bytes)


def max_held_bytes(downloads: int, usual_bytes: int) -> int:
    """Returns the longest response to a download that is held whole.

    Args:
        downloads: The downloads that are open now.
        usual_bytes: The longest other response that is held whole, in bytes.

    Returns:
        The size, in bytes.
    """
    if (downloads + 1) * MAX_HELD_BYTES > MAX_TOTAL_HELD_BYTES:
        return usual_bytes
    return max(usual_bytes, MAX_HELD_BYTES)
