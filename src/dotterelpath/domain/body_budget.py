"""Limits the bytes of request bodies that a process holds at once."""

from __future__ import annotations

import math


class BodyBudget:
    """The bytes that request bodies may take up in the whole process.

    Without it, a few large uploads at once could exhaust the memory, and the
    process would be killed with all its requests.
    """

    __slots__ = ("_held_bytes", "_max_bytes")

    def __init__(self, max_bytes: float = math.inf) -> None:
        """Creates a budget of which nothing is used.

        Args:
            max_bytes: The most bytes that bodies may take up.
        """
        self._max_bytes = max_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """The bytes that bodies take up now."""
        return self._held_bytes

    def fits(self, size: int) -> bool:
        """Tells whether a body could be held now.

        Args:
            size: The size of the body, in bytes.
        """
        return self._held_bytes + size <= self._max_bytes

    def reserve(self, size: int) -> bool:
        """Reserves bytes for a body if they are left.

        Args:
            size: The number of bytes.

        Returns:
            Whether the bytes were reserved.
        """
        if not self.fits(size):
            return False
        self._held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Returns reserved bytes.

        Args:
            size: The number of bytes.
        """
        self._held_bytes -= size
