"""Calls the configuration store over HTTP with JSON."""

from __future__ import annotations

import typing
import urllib.parse

import orjson

from dotterelpath import errors
from dotterelpath.adapters import call_budget
from dotterelpath.adapters import http_client
from dotterelpath.domain import exchange
from dotterelpath.domain import store_listing
from dotterelpath.domain import store_position
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import metrics as metrics_port
from dotterelpath.ports import store

CALL_TIMEOUT_S = 2.0
# The calls per second that all daemons together may make to the fleet's own
# store.
FLEET_RATES = store.CallRates(1000.0, 200.0)
# The calls that a daemon may make at once after a time without calls.
BURST_READS = 200.0
BURST_WRITES = 50.0
# The longest pause in the response to a read, unless the call states one, in
# seconds.
MAX_PAUSE_S = 1.0


_Decoded = typing.TypeVar("_Decoded")


class NativeStoreCodec:
    """Speaks the fleet's own store protocol; see store.StoreCodec."""

    __slots__ = ()

    def encode_get(self, key: str, may_be_stale: bool) -> exchange.Request:
        """Encodes a read, which is never stale; see store.StoreCodec."""
        return http_client.build_get(
            "/v1/keys/" + urllib.parse.quote(key, safe="")
        )

    def decode_get(
        self, key: str, response: exchange.Response
    ) -> store.VersionedValue:
        """Decodes a value; see store.StoreCodec."""
        data = decode_json(response)
        return store.VersionedValue(
            key, data["value"], decode_number(data, "revision")
        )

    def encode_page(
        self, prefix: str, after: str, wait_s: float, may_be_stale: bool
    ) -> exchange.Request:
        """Encodes a watch that returns all keys in one page."""
        return self.encode_watch(prefix, 0, wait_s, may_be_stale)

    def decode_page(self, response: exchange.Response) -> store.Page:
        """Decodes the only page; see store.StoreCodec."""
        changes = self.decode_watch(response)
        return store.Page(changes.entries, changes.position, None)

    def encode_watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: float,
        may_be_stale: bool,
    ) -> exchange.Request:
        """Encodes a watch, which is never stale; see store.StoreCodec."""
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after_revision, "wait_s": wait_s}
        )
        return http_client.build_get(f"/v1/watch?{query}")

    def decode_watch(self, response: exchange.Response) -> store.Changes:
        """Decodes changes; see store.StoreCodec."""
        data = decode_json(response)
        entries = [
            store.VersionedValue(
                item["key"], item["value"], decode_number(item, "revision")
            )
            for item in data["entries"]
        ]
        return store.Changes(
            entries,
            store_position.Position(0, decode_number(data, "revision")),
        )

    def encode_grant(self, lease_s: float) -> exchange.Request | None:
        """Returns None, as encode_create states the duration."""
        return None

    def decode_grant(self, response: exchange.Response) -> int:
        """Never called; see encode_grant."""
        raise errors.StoreError("the store does not support leases")

    def encode_create(
        self, key: str, value: str, lease_s: float | None, lease: int
    ) -> exchange.Request:
        """Encodes a create-if-absent; see store.StoreCodec."""
        return _post("create", {"key": key, "value": value, "lease_s": lease_s})

    def decode_create(
        self, key: str, value: str, response: exchange.Response
    ) -> store.VersionedValue:
        """Decodes the key's value; see store.StoreCodec."""
        return self.decode_get(key, response)

    def encode_swap(
        self, key: str, value: str, revision: int
    ) -> exchange.Request:
        """Encodes a compare-and-swap; see store.StoreCodec."""
        return _post("swap", {"key": key, "value": value, "revision": revision})

    def decode_swap(self, response: exchange.Response) -> int | None:
        """Decodes the new revision; see store.StoreCodec."""
        data = decode_json(response)
        return decode_number(data, "revision") if data["swapped"] else None

    def encode_delete(self, key: str) -> exchange.Request:
        """Encodes a deletion; see store.StoreCodec."""
        return _post("delete", {"key": key})

    def encode_renew(self, lease: int) -> exchange.Request:
        """Always fails: keys may expire in this store, but have no lease id."""
        raise errors.StoreError("the store does not support leases")

    def decode_renew(self, response: exchange.Response) -> bool:
        """Never called; see encode_renew."""
        return False

    def is_conclusive(self, response: exchange.Response) -> bool:
        """Whether the call succeeded; see store.StoreCodec."""
        return response.status == 200


class StoreClient:
    """Calls the store over HTTP; see store.Store."""

    __slots__ = (
        "_client",
        "_codec",
        "_host",
        "_metrics",
        "_port",
        "_reads",
        "_stale_reads",
        "_writes",
    )

    def __init__(
        self,
        host: str,
        port: int,
        client: http_client.HttpClient,
        clock: clock_port.Clock,
        metrics: metrics_port.Metrics,
        codec: store.StoreCodec | None = None,
        rates: store.CallRates = FLEET_RATES,
    ) -> None:
        """Creates a client.

        Args:
            host: The store's IP address.
            port: The store's port.
            client: Sends the calls.
            clock: Gives the time for the call budgets.
            metrics: Counts the calls.
            codec: Encodes and decodes the calls; by default the fleet's own.
            rates: The call rates that all daemons share.
        """
        self._host = host
        self._port = port
        self._client = client
        self._metrics = metrics
        self._codec: store.StoreCodec = codec or NativeStoreCodec()
        self._reads = call_budget.CallBudget(
            clock, rates.reads_per_s, BURST_READS
        )
        self._writes = call_budget.CallBudget(
            clock, rates.writes_per_s, BURST_WRITES
        )
        # Stale reads do not count towards the rate that all daemons share.
        self._stale_reads = call_budget.CallBudget(
            clock, call_budget.MAX_DAEMON_CALLS_PER_S, BURST_READS
        )

    def set_daemon_count(self, count: int) -> None:
        """Sets how many daemons share the rates; see store.Store."""
        self._reads.set_daemon_count(count)
        self._writes.set_daemon_count(count)

    async def get(
        self, key: str, may_be_stale: bool = False
    ) -> store.VersionedValue:
        """Reads a key; see store.Store."""
        call = self._codec.encode_get(key, may_be_stale)
        response = await self._read(
            "get",
            call,
            0.0,
            may_be_stale,
            http_client.new_transfer(CALL_TIMEOUT_S),
        )
        return _decode_read(self._codec.decode_get, key, response)

    async def create(
        self, key: str, value: str, lease_s: float | None = None
    ) -> store.VersionedValue:
        """Creates a key if it is absent; see store.Store."""
        lease = 0
        grant = None if lease_s is None else self._codec.encode_grant(lease_s)
        if grant is not None:
            lease = _decode_write(
                self._codec.decode_grant, await self._write("grant", grant)
            )
        call = self._codec.encode_create(key, value, lease_s, lease)
        response = await self._write("create", call)
        return _decode_write(self._codec.decode_create, key, value, response)

    async def swap(self, key: str, value: str, revision: int) -> int | None:
        """Replaces a value if it is at a revision; see store.Store."""
        call = self._codec.encode_swap(key, value, revision)
        response = await self._write("swap", call)
        return _decode_write(self._codec.decode_swap, response)

    async def delete(self, key: str) -> None:
        """Deletes a key; see store.Store."""
        await self._write("delete", self._codec.encode_delete(key))

    async def watch(
        self,
        prefix: str,
        after: store_position.Position,
        wait_s: float,
        may_be_stale: bool = False,
        transfer: exchange.Transfer | None = None,
    ) -> store.Changes:
        """Waits for changes; see store.Store."""
        if not after.revision:
            return await self._read_all(prefix, after, wait_s, may_be_stale)
        return await self._read_changes(
            prefix, after, wait_s, may_be_stale, transfer
        )

    async def renew(self, lease: int) -> bool:
        """Renews a lease; see store.Store."""
        call = self._codec.encode_renew(lease)
        # Metrics label this call "keep".
        response = await self._read("keep", call, CALL_TIMEOUT_S)
        return self._codec.decode_renew(response)

    async def _read_all(
        self,
        prefix: str,
        start: store_position.Position,
        wait_s: float,
        may_be_stale: bool,
    ) -> store.Changes:
        """Reads all keys, page by page.

        Stale pages save cost, but the result is never stale: the changes since
        the oldest page complete it.
        """
        listing = store_listing.Listing(start)
        after: str | None = ""
        while after is not None:
            call = self._codec.encode_page(prefix, after, wait_s, may_be_stale)
            response = await self._read(
                "list",
                call,
                wait_s,
                may_be_stale,
                http_client.new_transfer(MAX_PAUSE_S),
            )
            page = _decode_read(self._codec.decode_page, response)
            listing.add_page(page)
            after = page.next_after
        if may_be_stale or not listing.is_snapshot:
            listing.apply_changes(
                await self._read_changes(prefix, listing.oldest, 0.0, False)
            )
        return listing.to_changes()

    async def _read_changes(
        self,
        prefix: str,
        after: store_position.Position,
        wait_s: float,
        may_be_stale: bool,
        transfer: exchange.Transfer | None = None,
    ) -> store.Changes:
        call = self._codec.encode_watch(
            prefix, after.revision, wait_s, may_be_stale
        )
        response = await self._read(
            "watch",
            call,
            wait_s,
            may_be_stale,
            transfer or http_client.new_transfer(MAX_PAUSE_S),
        )
        changes = _decode_read(self._codec.decode_watch, response)
        store_position.check_answer(changes.position, after)
        changes.encoded_bytes = len(response.body)
        return changes

    async def _read(
        self,
        call: str,
        request: exchange.Request,
        wait_s: float,
        may_be_stale: bool = False,
        transfer: exchange.Transfer | None = None,
    ) -> exchange.Response:
        """Sends a read.

        Args:
            call: The name of the call in metrics.
            request: The call.
            wait_s: How long the store may wait before it responds, in seconds;
                without a transfer, the timeout of the complete response.
            may_be_stale: Whether the response may be seconds old.
            transfer: How the response may arrive.

        Raises:
            StoreError: The store did not respond.
        """
        budget = self._stale_reads if may_be_stale else self._reads
        budget.spend()
        try:
            response = await self._client.call(
                self._host,
                self._port,
                request,
                wait_s + (transfer.pause_s if transfer else 0.0),
                transfer,
            )
        except http_client.IncompleteResponseError as error:
            self._metrics.record_store_call(call, False)
            raise errors.IncompleteResponseError(str(error)) from error
        except (
            http_client.NotSentError,
            http_client.NoResponseError,
        ) as error:
            self._metrics.record_store_call(call, False)
            raise errors.StoreError(str(error)) from error
        is_conclusive = self._codec.is_conclusive(response)
        self._metrics.record_store_call(call, is_conclusive)
        if not is_conclusive:
            raise errors.StoreError(
                f"store call {call}: status {response.status}"
            )
        return response

    async def _write(
        self, call: str, request: exchange.Request
    ) -> exchange.Response:
        self._writes.spend()
        try:
            response = await self._client.call(
                self._host, self._port, request, CALL_TIMEOUT_S
            )
        except http_client.NotSentError as error:
            self._metrics.record_store_call(call, False)
            raise errors.StoreError(str(error)) from error
        except http_client.NoResponseError as error:
            self._metrics.record_store_call(call, False)
            raise errors.UnknownOutcomeError(str(error)) from error
        is_conclusive = self._codec.is_conclusive(response)
        self._metrics.record_store_call(call, is_conclusive)
        if is_conclusive:
            return response
        # These statuses mean that the call had no effect; after any other, the
        # store may have made the change.
        if response.status < 500 or response.status == 503:
            raise errors.StoreError(
                f"store call {call}: status {response.status}"
            )
        raise errors.UnknownOutcomeError(
            f"store call {call}: status {response.status}"
        )


def _decode_read(
    decode: typing.Callable[..., _Decoded], *args: typing.Any
) -> _Decoded:
    """Decodes the response to a read.

    Raises:
        StoreError: The response lacks a field, or a field has another type.
    """
    try:
        return decode(*args)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise errors.StoreError(
            f"the response has an invalid field: {error!r}"
        ) from error


def _decode_write(
    decode: typing.Callable[..., _Decoded], *args: typing.Any
) -> _Decoded:
    """Decodes the response to a write.

    Raises:
        UnknownOutcomeError: The response is invalid. The store may have made
            the change all the same.
    """
    try:
        return _decode_read(decode, *args)
    except errors.StoreError as error:
        raise errors.UnknownOutcomeError(str(error)) from error


def decode_json(response: exchange.Response) -> dict[str, typing.Any]:
    """Decodes a response body that holds a JSON object.

    Args:
        response: The response.

    Returns:
        The object.

    Raises:
        StoreError: The body is not a JSON object.
    """
    try:
        data = orjson.loads(response.body)
    except orjson.JSONDecodeError as error:
        raise errors.StoreError("the response is not JSON") from error
    if not isinstance(data, dict):
        raise errors.StoreError("the response is not a JSON object")
    return data


def decode_number(data: dict[str, typing.Any], name: str) -> int:
    """Decodes a field that holds an integer.

    Args:
        data: The object that has the field.
        name: The name of the field.

    Raises:
        StoreError: The field is missing or has another type.
    """
    number = data.get(name)
    if not isinstance(number, int) or isinstance(number, bool):
        raise errors.StoreError(f"the response has no number {name}")
    return number


def _post(call: str, body: dict[str, typing.Any]) -> exchange.Request:
    return http_client.build_post(f"/v1/{call}", orjson.dumps(body))
