"""Encodes the calls to the platform's store."""

from __future__ import annotations

import base64
import re
import typing
import urllib.parse

import orjson

from dotterelpath import errors
from dotterelpath.adapters import http_client
from dotterelpath.adapters import store_client
from dotterelpath.domain import exchange
from dotterelpath.domain import store_position
from dotterelpath.platform import headers
from dotterelpath.ports import store

# The longest wait that is requested in a watch.
MAX_WAIT_MS = 30_000
# An era fits into 64 bits.
ERA_PATTERN = re.compile(rb"[0-9]{1,18}")


class StoreCodec:
    """Speaks the protocol of the platform's store; see store.StoreCodec."""

    __slots__ = ()

    def encode_get(self, key: str, may_be_stale: bool) -> exchange.Request:
        """Encodes a read of a key; see store.StoreCodec."""
        return http_client.build_get(
            f"/v1/kv-key?{_encode_query(may_be_stale, key=key)}"
        )

    def decode_get(
        self, key: str, response: exchange.Response
    ) -> store.VersionedValue:
        """Decodes a key's value; see store.StoreCodec."""
        if response.status == 404:
            return store.VersionedValue(key, None, 0)
        return _decode_item(store_client.decode_json(response))

    def encode_page(
        self, prefix: str, after: str, wait_s: float, may_be_stale: bool
    ) -> exchange.Request:
        """Encodes a listing of keys; see store.StoreCodec."""
        query = {"prefix": prefix}
        if after:
            query["after"] = after
        return http_client.build_get(
            f"/v1/kv-range?{_encode_query(may_be_stale, **query)}"
        )

    def decode_page(self, response: exchange.Response) -> store.Page:
        """Decodes a page of a listing; see store.StoreCodec."""
        data = store_client.decode_json(response)
        entries = _decode_items(data, "items")
        has_more = data.get("has_more") is True and bool(entries)
        return store.Page(
            entries,
            _decode_position(response, data),
            entries[-1].key if has_more else None,
        )

    def encode_watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: float,
        may_be_stale: bool,
    ) -> exchange.Request:
        """Encodes a wait for changes; see store.StoreCodec."""
        wait_ms = min(MAX_WAIT_MS, int(wait_s * 1000.0))
        query = _encode_query(
            may_be_stale, prefix=prefix, after=after_revision, wait_ms=wait_ms
        )
        return http_client.build_get(f"/v1/kv-watch?{query}")

    def decode_watch(self, response: exchange.Response) -> store.Changes:
        """Decodes changes; see store.StoreCodec."""
        if response.status == 410:
            raise errors.HistoryLostError(
                "the store no longer has the requested changes"
            )
        data = store_client.decode_json(response)
        return store.Changes(
            _decode_items(data, "events"), _decode_position(response, data)
        )

    def encode_grant(self, lease_s: float) -> exchange.Request | None:
        """Encodes the grant of a lease; see store.StoreCodec."""
        # The field holds the duration of the lease, in seconds.
        return _build_post("/v1/kv-lease", {"ttl_s_time": lease_s})

    def decode_grant(self, response: exchange.Response) -> int:
        """Decodes the id of the lease; see store.StoreCodec."""
        return store_client.decode_number(
            store_client.decode_json(response), "lease"
        )

    def encode_create(
        self, key: str, value: str, lease_s: float | None, lease: int
    ) -> exchange.Request:
        """Encodes a create-if-absent; see store.StoreCodec."""
        return _build_conditional_put(key, value, 0, lease)

    def decode_create(
        self, key: str, value: str, response: exchange.Response
    ) -> store.VersionedValue:
        """Decodes the value of the key after the call; see store.StoreCodec."""
        data = store_client.decode_json(response)
        if response.status == 412:
            # The precondition failed; the response has the current items.
            items = _decode_items(data, "items")
            if not items:
                raise errors.StoreError(
                    "the response with status 412 has no item"
                )
            return items[0]
        return store.VersionedValue(
            key, value, store_client.decode_number(data, "revision")
        )

    def encode_swap(
        self, key: str, value: str, revision: int
    ) -> exchange.Request:
        """Encodes a compare-and-swap; see store.StoreCodec."""
        return _build_conditional_put(key, value, revision, 0)

    def decode_swap(self, response: exchange.Response) -> int | None:
        """Decodes the new revision; see store.StoreCodec."""
        if response.status == 412:
            return None
        return store_client.decode_number(
            store_client.decode_json(response), "revision"
        )

    def encode_delete(self, key: str) -> exchange.Request:
        """Encodes a deletion; see store.StoreCodec."""
        return _build_post(
            "/v1/kv-txn", {"precondition": [], "puts": [], "drop": [key]}
        )

    def encode_renew(self, lease: int) -> exchange.Request:
        """Encodes the renewal of a lease; see store.StoreCodec."""
        return _build_post(f"/v1/kv-keep/{lease}", {})

    def decode_renew(self, response: exchange.Response) -> bool:
        """Decodes whether the lease exists; see store.StoreCodec."""
        return response.status == 200

    def is_conclusive(self, response: exchange.Response) -> bool:
        """Whether the store decided the call; see store.StoreCodec.

        Missing keys, lost history and failed preconditions are decisions.
        """
        return response.status in (200, 404, 410, 412)


def _encode_query(may_be_stale: bool, **values: typing.Any) -> str:
    if may_be_stale:
        values["serializable"] = 1
    return urllib.parse.urlencode(values)


def _build_post(target: str, body: dict[str, typing.Any]) -> exchange.Request:
    return http_client.build_post(target, orjson.dumps(body))


def _build_conditional_put(
    key: str, value: str, revision: int, lease: int
) -> exchange.Request:
    """Builds a write of a key on condition that it is at a revision."""
    encoded = base64.b64encode(value.encode()).decode()
    return _build_post(
        "/v1/kv-txn",
        {
            "precondition": [{"key": key, "revision": revision}],
            "puts": [{"key": key, "value": encoded, "lease": lease}],
            "drop": [],
        },
    )


def _decode_position(
    response: exchange.Response, data: dict[str, typing.Any]
) -> store_position.Position:
    return store_position.Position(
        _decode_era(response),
        store_client.decode_number(data, "store_revision"),
    )


def _decode_era(response: exchange.Response) -> int:
    """Decodes the era, which a store that never lost changes may leave out.

    Raises:
        StoreEraError: The era is not a number.
    """
    value = response.header(headers.STORE_ERA)
    if value is None:
        return 0
    if not ERA_PATTERN.fullmatch(value):
        raise errors.StoreEraError(f"the era {value[:40]!r} is not a number")
    return int(value)


def _decode_items(
    data: dict[str, typing.Any], name: str
) -> list[store.VersionedValue]:
    items = data.get(name)
    if not isinstance(items, list):
        raise errors.StoreError(f"the response has no list of {name}")
    return [_decode_item(item) for item in items]


def _decode_item(data: dict[str, typing.Any]) -> store.VersionedValue:
    """Decodes an item.

    Bytes that are not UTF-8 are replaced, so that one invalid value does not
    make the other items unreadable.
    """
    try:
        if data.get("deleted") is True or data.get("value") is None:
            return store.VersionedValue(
                data["key"], None, int(data["revision"])
            )
        value = base64.b64decode(data["value"], validate=True)
        return store.VersionedValue(
            data["key"],
            value.decode(errors="replace"),
            int(data["revision"]),
            int(data.get("lease") or 0),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise errors.StoreError(f"an item is invalid: {error!r}") from error
