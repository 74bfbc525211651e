"""Messages on the state of the platform's store."""

from __future__ import annotations

from dotterelpath.ports import store


class StoreChanged:
    """The store responded; its keys may have changed."""

    __slots__ = ("at_s", "changes", "max_silence_s")

    def __init__(
        self, changes: store.Changes, at_s: float, max_silence_s: float
    ) -> None:
        """Creates the message.

        Args:
            changes: The changes; empty if the watch ended without any.
            at_s: When they arrived, on the monotonic clock, in seconds.
            max_silence_s: How long the store may have been silent before this
                response without being unavailable, in seconds.
        """
        self.changes = changes
        self.at_s = at_s
        self.max_silence_s = max_silence_s


class StoreRestored:
    """The store came back from an older copy."""

    __slots__ = ("era",)

    def __init__(self, era: int) -> None:
        """Creates the message.

        Args:
            era: The era that began.
        """
        self.era = era


class StoreLost:
    """The store does not respond."""

    __slots__ = ()
