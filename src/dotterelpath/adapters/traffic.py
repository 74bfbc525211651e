"""What a daemon sends over its link."""

from __future__ import annotations


class TrafficCounter:
    """Counts the bytes that connections write."""

    __slots__ = ("_sent_bytes",)

    def __init__(self) -> None:
        """Creates a count of zero."""
        self._sent_bytes = 0

    def sent_bytes(self) -> int:
        """Reads the bytes written so far."""
        return self._sent_bytes

    def add(self, count: int) -> None:
        """Counts written bytes.

        Args:
            count: How many.
        """
        self._sent_bytes += count
