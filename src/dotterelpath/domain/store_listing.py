"""Collects the pages of a listing of the store's keys."""

from __future__ import annotations

from dotterelpath import errors
from dotterelpath.domain import store_position
from dotterelpath.ports import store


class Listing:
    """The keys under a prefix, collected page by page.

    Pages are not a snapshot: each is read on its own, and a stale one may be
    older than the page before it. The changes since the oldest page bring all
    keys to the same revision. All pages are of one era: nothing brings those of
    two eras together.
    """

    __slots__ = ("_entries", "_newest", "_oldest")

    def __init__(self, after: store_position.Position) -> None:
        """Creates a listing without pages.

        Args:
            after: The start of an era; pages of an earlier one are refused.
        """
        self._entries: dict[str, store.VersionedValue] = {}
        self._oldest = after
        self._newest = after

    @property
    def oldest(self) -> store_position.Position:
        """The position of the oldest page."""
        return self._oldest

    @property
    def is_snapshot(self) -> bool:
        """Whether all keys are known as they were at one revision."""
        return self._oldest == self._newest

    def add_page(self, page: store.Page) -> None:
        """Adds a page.

        Args:
            page: The page that follows the one added last.

        Raises:
            HistoryLostError: The page is of a later era than those before it.
            StoreEraError: It is of an earlier era.
        """
        store_position.check_answer(page.position, self._newest)
        is_first = not self._newest.revision
        self._oldest = (
            page.position if is_first else min(self._oldest, page.position)
        )
        self._newest = max(self._newest, page.position)
        for entry in page.entries:
            self._add(entry)

    def apply_changes(self, changes: store.Changes) -> None:
        """Brings all keys to the position of the given changes.

        Args:
            changes: The changes since the oldest page.

        Raises:
            StoreError: The changes do not reach the newest page.
        """
        if changes.position < self._newest:
            raise errors.StoreError(
                f"the changes end at {changes.position}, before the"
                f" listing's {self._newest}"
            )
        for entry in changes.entries:
            self._add(entry)
        self._oldest = self._newest = changes.position

    def to_changes(self) -> store.Changes:
        """Returns all keys, among them those that were deleted meanwhile."""
        return store.Changes(list(self._entries.values()), self._oldest, True)

    def _add(self, entry: store.VersionedValue) -> None:
        known = self._entries.get(entry.key)
        if known is None or entry.revision > known.revision:
            self._entries[entry.key] = entry
