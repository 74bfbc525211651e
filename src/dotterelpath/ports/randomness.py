"""The port for random numbers."""

from __future__ import annotations

import typing


class RandomSource(typing.Protocol):
    """The random numbers that decisions need."""

    def random(self) -> float:
        """Draws a number in [0, 1)."""

    def randrange(self, stop: int) -> int:
        """Draws a whole number.

        Args:
            stop: One above the largest result.
        """
