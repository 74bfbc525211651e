"""The port for due times."""

from __future__ import annotations

import typing

T = typing.TypeVar("T")


class Timers(typing.Protocol[T]):
    """Keeps items until their time comes, and then posts a Tick."""

    def add(self, due_s: float, item: T) -> None:
        """Adds an item.

        Args:
            due_s: When it is due, on the monotonic clock, in seconds.
            item: The item.
        """

    def pop_due(self, now_s: float) -> list[T]:
        """Takes out the items whose time has come.

        Args:
            now_s: The monotonic clock, in seconds.

        Returns:
            The items, earliest first.
        """
