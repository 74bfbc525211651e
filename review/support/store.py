"""Stands in for the platform's store."""

from __future__ import annotations

import asyncio
import base64
import json
import time
import typing
import urllib.parse

from support import wire

# The limits of a page: items, and bytes of their encoded values. A page has one
# item at least.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class Store:
    """A key-value store with revisions, leases and watches."""

    __slots__ = (
        "_changed",
        "_events",
        "_items",
        "_leases",
        "_revision",
        "_written_s",
        "later_pages_lag_s",
    )

    def __init__(self) -> None:
        """Creates an empty store."""
        self._items: dict[str, dict[str, typing.Any]] = {}
        self._events: list[dict[str, typing.Any]] = []
        self._leases: dict[int, float] = {}
        self._revision = 1
        # When each event was written, on the monotonic clock.
        self._written_s: list[float] = []
        # The age of all pages but the first, in reads that may be stale.
        self.later_pages_lag_s = 0.0
        self._changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection.

        Args:
            reader: The connection.
            writer: The same connection.
        """
        try:
            while (call := await wire.read(reader)) is not None:
                writer.write(await self._handle(call))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def put(self, key: str, value: typing.Any, lease: int = 0) -> None:
        """Writes an item, as the operator or an instance does.

        Args:
            key: The key.
            value: The value, which is encoded as JSON; None deletes the key.
            lease: The lease of the item; 0 for none.
        """
        content = None if value is None else json.dumps(value).encode()
        self._set(key, content, lease)

    def _set(self, key: str, content: bytes | None, lease: int) -> None:
        known = self._items.get(key)
        if content is None and known is None:
            return
        self._revision += 1
        event: dict[str, typing.Any] = {"key": key, "revision": self._revision}
        if content is None:
            event["deleted"] = True
            del self._items[key]
        else:
            event["value"] = base64.b64encode(content).decode()
            event["create_revision"] = (known or event).get(
                "create_revision", self._revision
            )
            event["lease"] = lease
            self._items[key] = event
        self._events.append(event)
        self._written_s.append(time.monotonic())
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, call: wire.Message) -> bytes:
        path, _, text = call.target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, True))
        body = json.loads(call.body) if call.body else {}
        self._expire()
        if path == "/v1/kv-key":
            return self._get(query["key"])
        if path == "/v1/kv-range":
            return self._range(query)
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._transact(body)
        if path == "/v1/kv-lease":
            lease = 100 + len(self._leases)
            self._leases[lease] = time.monotonic() + body["ttl_s_time"]
            return wire.encode_json(
                200, {"lease": lease, "ttl_s_time": body["ttl_s_time"]}
            )
        lease = int(path.rpartition("/")[2])
        is_known = lease in self._leases
        if path.startswith("/v1/kv-lease-end/"):
            self._leases.pop(lease, None)
        return wire.encode_json(200 if is_known else 404, {})

    def _get(self, key: str) -> bytes:
        item = self._items.get(key, {})
        return wire.encode_json(
            200 if item else 404, {**item, "store_revision": self._revision}
        )

    def _range(self, query: dict[str, str]) -> bytes:
        after = query.get("after", "")
        lag_s = 0.0
        if after and "serializable" in query:
            lag_s = self.later_pages_lag_s
        items, revision = self._state_before(time.monotonic() - lag_s)
        keys = sorted(
            key
            for key in items
            if key.startswith(query["prefix"]) and key > after
        )
        page: list[dict[str, typing.Any]] = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            size += len(items[key]["value"])
            if page and size > PAGE_BYTES:
                break
            page.append(items[key])
        return wire.encode_json(
            200,
            {
                "items": page,
                "has_more": len(page) < len(keys),
                "store_revision": revision,
            },
        )

    def _state_before(
        self, at_s: float
    ) -> tuple[dict[str, dict[str, typing.Any]], int]:
        """Returns the items and the revision that the store had at a time."""
        items: dict[str, dict[str, typing.Any]] = {}
        revision = 1
        for event, written_s in zip(self._events, self._written_s, strict=True):
            if written_s > at_s:
                break
            revision = event["revision"]
            if "deleted" in event:
                items.pop(event["key"], None)
            else:
                items[event["key"]] = event
        return items, revision

    async def _watch(self, query: dict[str, str]) -> bytes:
        after = int(query["after"])
        until_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000.0
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0.0:
                return wire.encode_json(
                    200, {"events": events, "store_revision": self._revision}
                )
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, typing.Any]) -> bytes:
        for row in body["precondition"]:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [
                    self._items[other["key"]]
                    for other in body["precondition"]
                    if other["key"] in self._items
                ]
                return wire.encode_json(412, {"items": found})
        for row in body.get("puts", []):
            content = base64.b64decode(row["value"])
            self._set(row["key"], content, row.get("lease", 0))
        for key in body.get("drop", []):
            self._set(key, None, 0)
        return wire.encode_json(200, {"revision": self._revision})

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease in [i for i, end_s in self._leases.items() if end_s < now_s]:
            del self._leases[lease]
            for key, item in list(self._items.items()):
                if item["lease"] == lease:
                    self._set(key, None, 0)
