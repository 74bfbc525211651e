"""Messages on the platform's store."""

from __future__ import annotations

from dotterelpath.ports import store


class StoreChanged:
    """The store answered; its keys may have changed."""

    __slots__ = ("at_s", "changes", "max_silence_s")

    def __init__(
        self, changes: store.Changes, at_s: float, max_silence_s: float
    ) -> None:
        """Creates the message.

        Args:
            changes: The changes; none where only the wait ended.
            at_s: When they came in, on the monotonic clock, in seconds.
            max_silence_s: How long the answer may take without changes, in
                seconds.
        """
        self.changes = changes
        self.at_s = at_s
        self.max_silence_s = max_silence_s


class StoreLost:
    """The store gives no answers."""

    __slots__ = ()
