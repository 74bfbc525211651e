"""The port for timers."""

from __future__ import annotations

import typing

T = typing.TypeVar("T")


class Timers(typing.Protocol[T]):
    """Holds items and posts a Tick to its task when an item is due."""

    def add(self, due_s: float, item: T) -> None:
        """Adds an item.

        Args:
            due_s: When the item is due, on the monotonic clock, in seconds.
            item: The item.
        """

    def pop_due(self, now_s: float) -> list[T]:
        """Removes and returns the items that are due.

        Args:
            now_s: The monotonic clock, in seconds.

        Returns:
            The items, earliest first.
        """
