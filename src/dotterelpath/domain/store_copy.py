"""Keeps the newest value of each key of the store, for other daemons."""

from __future__ import annotations

from dotterelpath.domain import store_position
from dotterelpath.ports import store

# A change of a value of at least this length, in characters, is read from a
# peer rather than by each daemon from the store.
LARGE_VALUE_LENGTH = 16 * 1024
# The most deleted keys that are remembered. Whoever knows less than these gets
# all keys.
MAX_DELETED = 4096


class StoreCopy:
    """The keys of the store at one position.

    Unlike the history of the store, it has each key once, however often the key
    changed.
    """

    __slots__ = (
        "_base_revision",
        "_deleted",
        "_entries",
        "_large_revision",
        "_position",
    )

    def __init__(self) -> None:
        """Creates a copy of a store without keys."""
        self._entries: dict[str, store.VersionedValue] = {}
        # The revisions at which keys were deleted, by rising revision.
        self._deleted: dict[str, int] = {}
        # Deletions after this revision are known.
        self._base_revision = 0
        self._large_revision = 0
        self._position = store_position.NOTHING

    @property
    def position(self) -> store_position.Position:
        """The position of the store that this is a copy of."""
        return self._position

    @property
    def large_revision(self) -> int:
        """The newest revision of the era at which a large value was written."""
        return self._large_revision

    def apply(self, changes: store.Changes) -> None:
        """Brings the copy to the position of the given changes.

        Args:
            changes: All keys, or the changes since the position of the copy.
        """
        if changes.is_full:
            self._entries.clear()
            self._deleted.clear()
            self._base_revision = changes.position.revision
            self._large_revision = 0
        for entry in sorted(changes.entries, key=lambda entry: entry.revision):
            self._apply_entry(entry)
        self._position = changes.position

    def changes_after(self, position: store_position.Position) -> store.Changes:
        """Returns the keys that have changed since a position.

        Args:
            position: The position.

        Returns:
            The keys with their newest values; all keys if the position is of
            another era, or if some that were deleted since are not known any
            more.
        """
        revision = position.revision
        is_full = (
            position.era != self._position.era or revision < self._base_revision
        )
        entries = [
            entry
            for entry in self._entries.values()
            if is_full or entry.revision > revision
        ]
        if not is_full:
            entries += [
                store.VersionedValue(key, None, deleted_at)
                for key, deleted_at in self._deleted.items()
                if deleted_at > revision
            ]
        return store.Changes(entries, self._position, is_full)

    def _apply_entry(self, entry: store.VersionedValue) -> None:
        self._deleted.pop(entry.key, None)
        if entry.value is None:
            self._entries.pop(entry.key, None)
            self._deleted[entry.key] = entry.revision
            if len(self._deleted) > MAX_DELETED:
                oldest = next(iter(self._deleted))
                self._base_revision = max(
                    self._base_revision, self._deleted.pop(oldest)
                )
            return
        self._entries[entry.key] = entry
        if len(entry.value) >= LARGE_VALUE_LENGTH:
            self._large_revision = max(self._large_revision, entry.revision)
