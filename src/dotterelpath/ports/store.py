"""The port for the platform's configuration store."""

from __future__ import annotations

import typing

from dotterelpath.domain import exchange


class CallRates:
    """How many calls a second all daemons together may make."""

    __slots__ = ("reads_per_s", "writes_per_s")

    def __init__(self, reads_per_s: float, writes_per_s: float) -> None:
        """Creates rates.

        Args:
            reads_per_s: Reads and waits for changes.
            writes_per_s: Writes.
        """
        self.reads_per_s = reads_per_s
        self.writes_per_s = writes_per_s


class VersionedValue:
    """A value with the store's revision of it."""

    __slots__ = ("key", "lease", "revision", "value")

    def __init__(
        self, key: str, value: str | None, revision: int, lease: int = 0
    ) -> None:
        """Creates a versioned value.

        Args:
            key: The key.
            value: The value; None where the key is absent or was deleted.
            revision: The revision at which the key last changed.
            lease: The lease with which the key ends; 0 for none.
        """
        self.lease = lease
        self.key = key
        self.value = value
        self.revision = revision


class Changes:
    """What changed under a prefix."""

    __slots__ = ("entries", "is_full", "revision")

    def __init__(
        self,
        entries: list[VersionedValue],
        revision: int,
        is_full: bool = False,
    ) -> None:
        """Creates the changes.

        Args:
            entries: The changed keys with their newest values.
            revision: The store's revision up to which they are complete.
            is_full: Whether a key that is not among them does not exist.
        """
        self.is_full = is_full
        self.entries = entries
        self.revision = revision


class Store(typing.Protocol):
    """A small key-value service with compare-and-swap, leases and watches.

    Each call has a deadline and counts against the daemon's own budget. A call
    raises StoreError where it certainly had no effect, and
    UnknownOutcomeError where a write may have taken effect.
    """

    def set_daemon_count(self, count: int) -> None:
        """Sets this daemon's part of the store's rates.

        Args:
            count: How many daemons share them.
        """

    async def get(self, key: str, may_be_stale: bool = False) -> VersionedValue:
        """Reads a key.

        Args:
            key: The key.
            may_be_stale: Whether an answer that is seconds old will do.

        Raises:
            StoreError: The store gave no answer.
        """

    async def create(
        self, key: str, value: str, lease_s: float | None = None
    ) -> VersionedValue:
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
        self,
        prefix: str,
        after_revision: int,
        wait_s: float,
        may_be_stale: bool = False,
    ) -> Changes:
        """Waits for changes under a prefix.

        Args:
            prefix: The prefix of the keys.
            after_revision: Changes after this revision are given; 0 gives
                all keys.
            wait_s: How long to wait for a change, in seconds.
            may_be_stale: Whether an answer that is seconds old will do,
                which costs the store less.

        Raises:
            HistoryLostError: The store no longer has the changes since then;
                read all keys.
            StoreError: The store gave no answer.
        """

    async def renew(self, lease: int) -> bool:
        """Renews a lease.

        Args:
            lease: The lease.

        Returns:
            Whether it still exists.

        Raises:
            StoreError: The store gave no answer.
        """


class Page:
    """A part of the keys under a prefix."""

    __slots__ = ("entries", "next_after", "revision")

    def __init__(
        self,
        entries: list[VersionedValue],
        revision: int,
        next_after: str | None,
    ) -> None:
        """Creates a page.

        Args:
            entries: The keys of the page.
            revision: The store's revision when it was read.
            next_after: The key after which the next page begins; None after
                the last page.
        """
        self.entries = entries
        self.revision = revision
        self.next_after = next_after


class StoreCodec(typing.Protocol):
    """Writes calls to a store and reads their answers."""

    def encode_get(self, key: str, may_be_stale: bool) -> exchange.Request:
        """Writes a read of a key."""

    def decode_get(
        self, key: str, response: exchange.Response
    ) -> VersionedValue:
        """Reads the answer to get."""

    def encode_page(
        self, prefix: str, after: str, wait_s: float, may_be_stale: bool
    ) -> exchange.Request:
        """Writes a read of the keys under a prefix, behind a key.

        The store may wait for a first key if there is none.
        """

    def decode_page(self, response: exchange.Response) -> Page:
        """Reads the answer to page."""

    def encode_watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: float,
        may_be_stale: bool,
    ) -> exchange.Request:
        """Writes a wait for changes."""

    def decode_watch(self, response: exchange.Response) -> Changes:
        """Reads the answer to watch.

        Raises:
            HistoryLostError: The changes are no longer known.
        """

    def encode_grant(self, lease_s: float) -> exchange.Request | None:
        """Writes the start of a lease; None where create takes its time."""

    def decode_grant(self, response: exchange.Response) -> int:
        """Reads the answer to grant."""

    def encode_create(
        self, key: str, value: str, lease_s: float | None, lease: int
    ) -> exchange.Request:
        """Writes a create-if-absent."""

    def decode_create(
        self, key: str, value: str, response: exchange.Response
    ) -> VersionedValue:
        """Reads the answer to create."""

    def encode_swap(
        self, key: str, value: str, revision: int
    ) -> exchange.Request:
        """Writes a compare-and-swap."""

    def decode_swap(self, response: exchange.Response) -> int | None:
        """Reads the answer to swap."""

    def encode_delete(self, key: str) -> exchange.Request:
        """Writes a deletion."""

    def encode_renew(self, lease: int) -> exchange.Request:
        """Writes a renewal of a lease."""

    def decode_renew(self, response: exchange.Response) -> bool:
        """Reads the answer to keep."""

    def is_conclusive(self, response: exchange.Response) -> bool:
        """Whether the store did, or decided on, what it was asked."""
