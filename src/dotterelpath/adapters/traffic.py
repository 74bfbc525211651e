"""Counts the bytes that a daemon sends over its link."""

from __future__ import annotations


class TrafficCounter:
    """Counts the bytes that connections write."""

    __slots__ = ("_sent_bytes",)

    def __init__(self) -> None:
        """Creates a counter at zero."""
        self._sent_bytes = 0

    def sent_bytes(self) -> int:
        """Returns the number of bytes written so far."""
        return self._sent_bytes

    def add(self, count: int) -> None:
        """Adds written bytes.

        Args:
            count: The number of bytes.
        """
        self._sent_bytes += count
