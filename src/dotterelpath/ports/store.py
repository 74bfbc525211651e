"""The port for the platform's configuration store."""

from __future__ import annotations

import typing


class Versioned:
    """A value with the store's revision of it."""

    __slots__ = ("key", "revision", "value")

    def __init__(self, key: str, value: str | None, revision: int) -> None:
        """Creates a versioned value.

        Args:
            key: The key.
            value: The value; None where the key is absent or was deleted.
            revision: The revision at which the key last changed.
        """
        self.key = key
        self.value = value
        self.revision = revision


class Changes:
    """What changed under a prefix."""

    __slots__ = ("entries", "revision")

    def __init__(self, entries: list[Versioned], revision: int) -> None:
        """Creates the changes.

        Args:
            entries: The changed keys with their newest values.
            revision: The store's revision up to which they are complete.
        """
        self.entries = entries
        self.revision = revision


class Store(typing.Protocol):
    """A small key-value service with compare-and-swap, leases and watches.

    Each call has a deadline and counts against the daemon's own budget. A call
    raises StoreError where it certainly had no effect, and
    UnknownOutcomeError where a write may have taken effect.
    """

    def share(self, daemons: int) -> None:
        """Sets this daemon's part of the store's rates.

        Args:
            daemons: How many daemons share them.
        """

    async def get(self, key: str) -> Versioned:
        """Reads a key.

        Args:
            key: The key.

        Raises:
            StoreError: The store gave no answer.
        """

    async def create(
        self, key: str, value: str, lease_s: float | None = None
    ) -> Versioned:
        """Creates a key if it is absent.

        Args:
            key: The key.
            value: The value.
            lease_s: When the store drops the key, in seconds from now.

        Returns:
            The value that the key has after the call; the caller's own if
            it was absent.

        Raises:
            StoreError: The call had no effect.
            UnknownOutcomeError: The answer was lost.
        """

    async def swap(self, key: str, value: str, revision: int) -> int | None:
        """Replaces a value if it is still at a revision.

        Args:
            key: The key.
            value: The new value.
            revision: The revision that the key must be at; 0 for absent.

        Returns:
            The new revision, or None where the key was at another one.

        Raises:
            StoreError: The call had no effect.
            UnknownOutcomeError: The answer was lost.
        """

    async def delete(self, key: str) -> None:
        """Deletes a key.

        Args:
            key: The key.

        Raises:
            StoreError: The call had no effect.
            UnknownOutcomeError: The answer was lost.
        """

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Changes:
        """Waits for changes under a prefix.

        Args:
            prefix: The prefix of the keys.
            after_revision: Changes after this revision are given; 0 gives
                all keys.
            wait_s: How long to wait for a change, in seconds.

        Raises:
            StoreError: The store gave no answer.
        """
