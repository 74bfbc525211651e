"""Collects the pages of a listing of the store's keys."""

from __future__ import annotations

from dotterelpath import errors
from dotterelpath.ports import store


class Listing:
    """The keys under a prefix, collected page by page.

    Pages are not a snapshot: each is read on its own, and a stale one may be
    older than the page before it. The changes since the oldest page bring all
    keys to the same revision.
    """

    __slots__ = ("_entries", "_newest_revision", "_oldest_revision")

    def __init__(self) -> None:
        """Creates a listing without pages."""
        self._entries: dict[str, store.VersionedValue] = {}
        self._oldest_revision: int | None = None
        self._newest_revision = 0

    @property
    def oldest_revision(self) -> int:
        """The revision of the oldest page; 0 without pages."""
        return self._oldest_revision or 0

    @property
    def is_snapshot(self) -> bool:
        """Whether all keys are known as they were at one revision."""
        return self.oldest_revision == self._newest_revision

    def add_page(self, page: store.Page) -> None:
        """Adds a page.

        Args:
            page: The page that follows the one added last.
        """
        if self._oldest_revision is None:
            self._oldest_revision = page.revision
        self._oldest_revision = min(self._oldest_revision, page.revision)
        self._newest_revision = max(self._newest_revision, page.revision)
        for entry in page.entries:
            self._add(entry)

    def apply_changes(self, changes: store.Changes) -> None:
        """Brings all keys to the revision of the given changes.

        Args:
            changes: The changes since the oldest page.

        Raises:
            StoreError: The changes do not reach the newest page.
        """
        if changes.revision < self._newest_revision:
            raise errors.StoreError(
                f"the changes end at revision {changes.revision}, before the"
                f" listing's revision {self._newest_revision}"
            )
        for entry in changes.entries:
            self._add(entry)
        self._oldest_revision = self._newest_revision = changes.revision

    def to_changes(self) -> store.Changes:
        """Returns all keys, among them those that were deleted meanwhile."""
        return store.Changes(
            list(self._entries.values()), self.oldest_revision, True
        )

    def _add(self, entry: store.VersionedValue) -> None:
        known = self._entries.get(entry.key)
        if known is None or entry.revision > known.revision:
            self._entries[entry.key] = entry
