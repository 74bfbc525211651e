"""Stands in for the configuration store."""

from __future__ import annotations

import asyncio
import collections
import time
import typing
import urllib.parse

import click
import orjson
import uvloop

from dotterelpath.domain import exchange
from dotterelpath.ports import frontend
from standins import http

MAX_VALUE_BYTES = 1024 * 1024


class Entry:
    """The value of a key, with its revision and expiry."""

    __slots__ = ("expires_s", "revision", "value")

    def __init__(
        self, value: str | None, revision: int, expires_s: float | None
    ) -> None:
        """Creates an entry.

        Args:
            value: The value, or None if the key is deleted.
            revision: The store's revision at the write.
            expires_s: When the lease ends, in seconds of the monotonic
                clock, or None without a lease.
        """
        self.value = value
        self.revision = revision
        self.expires_s = expires_s


class Store:
    """Key-value store with revisions, leases, watches and fault modes.

    Faults, set by a JSON body posted to `/fault`:
        down: Closes the connection of each call without a response.
        silent: Never responds.
        slow_s: Delays each response by this many seconds.
        lose: Applies this many next writes, but drops their responses.
        stale: The response to every watch, in place of the current state.
    """

    __slots__ = ("_changed", "_counts", "_entries", "_faults", "_revision")

    def __init__(self) -> None:
        """Creates an empty store."""
        self._entries: dict[str, Entry] = {}
        self._revision = 0
        self._changed = asyncio.Event()
        self._faults: dict[str, typing.Any] = {}
        self._counts: collections.Counter[str] = collections.Counter()

    async def handle(
        self, request: exchange.Request, connection: frontend.Connection
    ) -> exchange.Response | None:
        """Handles a call, subject to the current faults."""
        path = request.path
        if path == "/fault":
            self._faults = orjson.loads(request.body)
            return http.json_response({})
        if path == "/counts":
            return http.json_response(self._counts)
        call = path.split("/")[2]
        self._counts[call] += 1
        if self._faults.get("down"):
            return None
        if self._faults.get("silent"):
            await asyncio.sleep(3600.0)
        await asyncio.sleep(self._faults.get("slow_s", 0.0))
        self._expire()
        if call == "keys":
            return self._get(urllib.parse.unquote(path.split("/")[3]))
        if call == "watch":
            return await self._watch(request)
        if len(request.body) > MAX_VALUE_BYTES:
            return http.json_response({}, 413)
        body = orjson.loads(request.body)
        data = getattr(self, f"_{call}")(body)
        if self._faults.get("lose", 0) > 0:
            self._faults["lose"] -= 1
            return None
        return http.json_response(data)

    def _get(self, key: str) -> exchange.Response:
        entry = self._entries.get(key)
        value = entry.value if entry else None
        revision = entry.revision if entry else 0
        return http.json_response({"value": value, "revision": revision})

    def _create(self, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        entry = self._entries.get(body["key"])
        if entry is None or entry.value is None:
            lease_s = body.get("lease_s")
            expires_s = time.monotonic() + lease_s if lease_s else None
            entry = self._set(body["key"], body["value"], expires_s)
        return {"value": entry.value, "revision": entry.revision}

    def _swap(self, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        entry = self._entries.get(body["key"])
        revision = entry.revision if entry and entry.value is not None else 0
        if revision != body["revision"]:
            return {"swapped": False, "revision": revision}
        entry = self._set(body["key"], body["value"], None)
        return {"swapped": True, "revision": entry.revision}

    def _delete(self, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        self._set(body["key"], None, None)
        return {}

    async def _watch(self, request: exchange.Request) -> exchange.Response:
        query = urllib.parse.parse_qs(request.target.partition("?")[2])
        prefix = query["prefix"][0]
        after = int(query["after"][0])
        deadline_s = time.monotonic() + float(query["wait_s"][0])
        while not self._entries_since(prefix, after):
            left_s = deadline_s - time.monotonic()
            if left_s <= 0.0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                break
        if "stale" in self._faults:
            return http.json_response(self._faults["stale"])
        return http.json_response(
            {
                "entries": self._entries_since(prefix, after),
                "revision": self._revision,
            }
        )

    def _entries_since(
        self, prefix: str, after: int
    ) -> list[dict[str, typing.Any]]:
        return [
            {"key": key, "value": entry.value, "revision": entry.revision}
            for key, entry in self._entries.items()
            if key.startswith(prefix) and entry.revision > after
        ]

    def _set(
        self, key: str, value: str | None, expires_s: float | None
    ) -> Entry:
        self._revision += 1
        entry = Entry(value, self._revision, expires_s)
        self._entries[key] = entry
        self._changed.set()
        self._changed = asyncio.Event()
        return entry

    def _expire(self) -> None:
        now_s = time.monotonic()
        for key, entry in list(self._entries.items()):
            if entry.expires_s is not None and entry.expires_s < now_s:
                self._set(key, None, None)


@click.command()
@click.option("--port", type=int, required=True)
def main(port: int) -> None:
    """Runs the store."""

    async def serve() -> None:
        await http.Server(Store().handle).listen("127.0.0.1", port)
        await asyncio.Event().wait()

    uvloop.run(serve())


if __name__ == "__main__":
    main()
