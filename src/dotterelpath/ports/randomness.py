"""The port for random numbers."""

from __future__ import annotations

import typing


class RandomSource(typing.Protocol):
    """Draws random numbers; tests replace it with a seeded source."""

    def random(self) -> float:
        """Draws a number in [0, 1)."""

    def randrange(self, stop: int) -> int:
        """Draws an integer in [0, stop).

        Args:
            stop: The exclusive upper bound.
        """
