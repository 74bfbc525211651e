"""The port for the configuration store, a key-value service."""

from __future__ import annotations

import typing

from dotterelpath.domain import exchange
from dotterelpath.domain import store_position


class CallRates:
    """The calls per second that all daemons together may make."""

    __slots__ = ("reads_per_s", "writes_per_s")

    def __init__(self, reads_per_s: float, writes_per_s: float) -> None:
        """Creates rates.

        Args:
            reads_per_s: Reads, watches and lease renewals per second.
            writes_per_s: Writes per second.
        """
        self.reads_per_s = reads_per_s
        self.writes_per_s = writes_per_s


class VersionedValue:
    """The value of a key at a revision of the store."""

    __slots__ = ("key", "lease", "revision", "value")

    def __init__(
        self, key: str, value: str | None, revision: int, lease: int = 0
    ) -> None:
        """Creates a versioned value.

        Args:
            key: The key.
            value: The value; None if the key is absent or was deleted.
            revision: The revision at which the key last changed.
            lease: The id of the lease that the key expires with; 0 for none.
        """
        self.lease = lease
        self.key = key
        self.value = value
        self.revision = revision


class Changes:
    """The changes of the keys under a prefix."""

    __slots__ = ("encoded_bytes", "entries", "is_full", "position")

    def __init__(
        self,
        entries: list[VersionedValue],
        position: store_position.Position,
        is_full: bool = False,
        encoded_bytes: int = 0,
    ) -> None:
        """Creates the changes.

        Args:
            entries: The changed keys with their latest values.
            position: The position up to which the entries are complete.
            is_full: Whether entries holds every key under the prefix, so
                that other keys do not exist.
            encoded_bytes: The length of the response body that they came in.
        """
        self.encoded_bytes = encoded_bytes
        self.is_full = is_full
        self.entries = entries
        self.position = position


class Store(typing.Protocol):
    """Calls the store, which has compare-and-swap, leases and watches.

    Each call has a deadline and counts against this daemon's share of the
    store's call rates. A call raises StoreError if it certainly had no
    effect, and UnknownOutcomeError if a write may have taken effect.
    """

    def set_daemon_count(self, count: int) -> None:
        """Sets how many daemons share the store's call rates.

        Args:
            count: The number of daemons.
        """

    async def get(self, key: str, may_be_stale: bool = False) -> VersionedValue:
        """Reads a key.

        Args:
            key: The key.
            may_be_stale: Whether a value that is seconds old is acceptable.

        Raises:
            StoreError: The store did not respond.
        """

    async def create(
        self, key: str, value: str, lease_s: float | None = None
    ) -> VersionedValue:
        """Creates a key if it is absent.

        Args:
            key: The key.
            value: The value.
            lease_s: The time after which the store deletes the key, in
                seconds; None to keep it.

        Returns:
            The key's value after the call: the given one if the key was
            absent, the existing one otherwise.

        Raises:
            StoreError: The call had no effect.
            UnknownOutcomeError: No response came; the key may exist now.
        """

    async def swap(self, key: str, value: str, revision: int) -> int | None:
        """Replaces a value if the key is still at a revision.

        Args:
            key: The key.
            value: The new value.
            revision: The expected revision; 0 if the key must be absent.

        Returns:
            The new revision, or None if the key was at another one.

        Raises:
            StoreError: The call had no effect.
            UnknownOutcomeError: No response came; the value may have changed.
        """

    async def delete(self, key: str) -> None:
        """Deletes a key.

        Args:
            key: The key.

        Raises:
            StoreError: The call had no effect.
            UnknownOutcomeError: No response came; the key may be gone.
        """

    async def watch(
        self,
        prefix: str,
        after: store_position.Position,
        wait_s: float,
        may_be_stale: bool = False,
        transfer: exchange.Transfer | None = None,
    ) -> Changes:
        """Waits for changes under a prefix.

        Args:
            prefix: The prefix of the keys.
            after: The position after which changes are returned; with revision
                0 for all keys, as they are in that era or a later one.
            wait_s: How long to wait for a change, in seconds.
            may_be_stale: Whether a response that is seconds old is
                acceptable; it costs the store less. All keys are always
                returned as they were after the call was made.
            transfer: How the response may arrive; it begins within the wait
                and the longest pause. None for the store's usual times.

        Raises:
            HistoryLostError: The store no longer has the changes since that
                position, or since a stale part of all keys, or has gone to a
                later era; read all keys instead, none of them stale.
            StoreEraError: The response is of an earlier era, or its era is
                invalid.
            IncompleteResponseError: The response did not end in time.
            StoreError: The store did not respond.
        """

    async def renew(self, lease: int) -> bool:
        """Renews a lease.

        Args:
            lease: The lease's id.

        Returns:
            Whether the lease still exists.

        Raises:
            StoreError: The store did not respond.
        """


class Page:
    """One page of a listing of the keys under a prefix."""

    __slots__ = ("entries", "next_after", "position")

    def __init__(
        self,
        entries: list[VersionedValue],
        position: store_position.Position,
        next_after: str | None,
    ) -> None:
        """Creates a page.

        Args:
            entries: The keys of the page with their values.
            position: The store's position when the page was read.
            next_after: The key after which the next page starts; None on the
                last page.
        """
        self.entries = entries
        self.position = position
        self.next_after = next_after


class StoreCodec(typing.Protocol):
    """Encodes the calls to a store and decodes the responses."""

    def encode_get(self, key: str, may_be_stale: bool) -> exchange.Request:
        """Encodes a read of a key."""

    def decode_get(
        self, key: str, response: exchange.Response
    ) -> VersionedValue:
        """Decodes the response to encode_get."""

    def encode_page(
        self, prefix: str, after: str, wait_s: float, may_be_stale: bool
    ) -> exchange.Request:
        """Encodes a listing of the keys under a prefix that follow a key.

        The store may wait up to wait_s seconds if there is no key yet.
        """

    def decode_page(self, response: exchange.Response) -> Page:
        """Decodes the response to encode_page."""

    def encode_watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: float,
        may_be_stale: bool,
    ) -> exchange.Request:
        """Encodes a wait for changes."""

    def decode_watch(self, response: exchange.Response) -> Changes:
        """Decodes the response to encode_watch.

        Raises:
            HistoryLostError: The store no longer has the changes.
        """

    def encode_grant(self, lease_s: float) -> exchange.Request | None:
        """Encodes the grant of a lease.

        Returns:
            The call; None if encode_create states the duration itself, so
            that no grant is needed.
        """

    def decode_grant(self, response: exchange.Response) -> int:
        """Decodes the id of the granted lease."""

    def encode_create(
        self, key: str, value: str, lease_s: float | None, lease: int
    ) -> exchange.Request:
        """Encodes a create-if-absent."""

    def decode_create(
        self, key: str, value: str, response: exchange.Response
    ) -> VersionedValue:
        """Decodes the response to encode_create."""

    def encode_swap(
        self, key: str, value: str, revision: int
    ) -> exchange.Request:
        """Encodes a compare-and-swap."""

    def decode_swap(self, response: exchange.Response) -> int | None:
        """Decodes the response to encode_swap."""

    def encode_delete(self, key: str) -> exchange.Request:
        """Encodes a deletion."""

    def encode_renew(self, lease: int) -> exchange.Request:
        """Encodes the renewal of a lease."""

    def decode_renew(self, response: exchange.Response) -> bool:
        """Decodes the response to encode_renew."""

    def is_conclusive(self, response: exchange.Response) -> bool:
        """Whether the store executed the call or rejected it definitively."""
