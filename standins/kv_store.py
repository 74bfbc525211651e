"""Stands in for the key-value store of the users' platform."""

from __future__ import annotations

import asyncio
import base64
import collections
import functools
import time
import typing
import urllib.parse

import click
import orjson
import uvloop

from dotterelpath.domain import exchange
from dotterelpath.ports import frontend
from standins import http

# Most items in one response to a range read.
PAGE_SIZE = 50


class KvStore:
    """Key-value store with revisions, leases, watches and fault modes.

    Faults, set by a JSON body posted to `/_fault`:
        down: Closes connections without a response, also those of waiting
            watches.
        silent: Never responds.
        busy: Responds 503.
        slow_s: Delays each response by this many seconds.
        lose: Applies this many next writes, but drops their responses.
        stale_s: Age of the state that stale reads return, in seconds.
        stale_ages_s: The same for each stale read and each page, in turn.
        page_size: Most items in one response to a range read.
        silent_ports: Never responds to calls at these ports, nor to the
            watches that wait there.
        busy_ports: Responds 503 to calls at these ports, also to the watches
            that wait there.

    `/_put` writes items as the operator or an instance does, `/_compact`
    deletes the history of events, and `/_counts` returns the number of calls.
    `/_restore` goes back to the copy of `age_s` seconds ago, as in a drill: the
    era rises, what was written and leased since is gone, and revisions and
    leases are given out again.
    """

    __slots__ = (
        "_changed",
        "_compacted_revision",
        "_counts",
        "_era",
        "_events",
        "_faults",
        "_items",
        "_leases",
        "_revision",
        "_stale_count",
    )

    def __init__(self) -> None:
        """Creates an empty store."""
        self._items: dict[str, dict[str, typing.Any]] = {}
        self._events: list[dict[str, typing.Any]] = []
        # When each lease was granted, and when it ends.
        self._leases: dict[int, tuple[float, float]] = {}
        self._era = 1
        self._revision = 1
        self._compacted_revision = 0
        self._faults: dict[str, typing.Any] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._stale_count = 0
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    def items_at(self, revision: int) -> dict[str, dict[str, typing.Any]]:
        """Returns the items as they were at a revision, by key."""
        items: dict[str, dict[str, typing.Any]] = {}
        for event in self._events:
            if event["revision"] > revision:
                break
            if "deleted" in event:
                items.pop(event["key"], None)
            else:
                items[event["key"]] = event
        return items

    async def handle(
        self,
        port: int,
        request: exchange.Request,
        connection: frontend.Connection,
    ) -> exchange.Response | None:
        """Handles a call, subject to the current faults.

        Args:
            port: The port at which the call arrived.
            request: The call.
            connection: The caller's connection.
        """
        response = await self._respond(port, request)
        if response is not None:
            response.headers.append((b"store-era", b"%d" % self._era))
        return response

    async def _respond(
        self, port: int, request: exchange.Request
    ) -> exchange.Response | None:
        path, _, encoded = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(encoded, True))
        if path.startswith("/_"):
            return self._handle_control(path, request.body)
        is_stale = "serializable" in query
        self._counts[path.split("/")[2] + " stale" * is_stale] += 1
        if self._faults.get("down"):
            return None
        await self._hang_if_silent(port)
        is_busy_port = port in self._faults.get("busy_ports", ())
        if self._faults.get("busy") or is_busy_port:
            return http.json_response({}, 503)
        await asyncio.sleep(self._faults.get("slow_s", 0.0))
        if path == "/v1/kv-watch":
            return await self._watch(port, query)
        response = self._handle_call(path, query, request)
        if request.method == "POST" and self._faults.get("lose", 0) > 0:
            self._faults["lose"] -= 1
            return None
        return response

    def _handle_control(self, path: str, body: bytes) -> exchange.Response:
        data = orjson.loads(body) if body else {}
        if path == "/_fault":
            self._faults = data
            self._notify_watches()
        elif path == "/_put":
            for key, value in data.items():
                self._set(key, value)
        elif path == "/_compact":
            self._compacted_revision = self._revision
        elif path == "/_restore":
            self._restore(data["age_s"])
        elif path == "/_counts":
            return http.json_response(self._counts)
        return http.json_response({"revision": self._revision})

    def _restore(self, age_s: float) -> None:
        copied_s = time.monotonic() - age_s
        self._events = [e for e in self._events if e["at_s"] <= copied_s]
        self._revision = self._events[-1]["revision"] if self._events else 1
        self._items = self.items_at(self._revision)
        self._leases = {
            lease: times_s
            for lease, times_s in self._leases.items()
            if times_s[0] <= copied_s
        }
        self._era += 1
        self._notify_watches()

    def _handle_call(
        self,
        path: str,
        query: dict[str, str],
        request: exchange.Request,
    ) -> exchange.Response:
        self._expire()
        if path == "/v1/kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return http.json_response(
                    {"store_revision": self._revision}, 404
                )
            return http.json_response(
                {**item, "store_revision": self._revision}
            )
        if path == "/v1/kv-range":
            return self._range(query)
        body = orjson.loads(request.body) if request.body else {}
        if path == "/v1/kv-txn":
            return self._transact(body)
        if path == "/v1/kv-lease":
            lease = 7000 + len(self._leases)
            ttl_s = body["ttl_s_time"]
            now_s = time.monotonic()
            self._leases[lease] = (now_s, now_s + ttl_s)
            return http.json_response({"lease": lease, "ttl_s_time": ttl_s})
        if path.startswith("/v1/kv-keep/"):
            known = int(path.rpartition("/")[2]) in self._leases
            return http.json_response({}, 200 if known else 404)
        return http.json_response({}, 404)

    def _range(self, query: dict[str, str]) -> exchange.Response:
        is_stale = "serializable" in query
        revision = self._stale_revision() if is_stale else self._revision
        items = self.items_at(revision) if is_stale else self._items
        keys = sorted(
            key
            for key in items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        page_size = self._faults.get("page_size", PAGE_SIZE)
        return http.json_response(
            {
                "items": [items[key] for key in keys[:page_size]],
                "has_more": len(keys) > page_size,
                "store_revision": revision,
            }
        )

    def _stale_revision(self) -> int:
        """Returns the revision that the next stale read sees."""
        ages_s = self._faults.get("stale_ages_s")
        age_s = self._faults.get("stale_s", 0.0)
        if ages_s:
            age_s = ages_s[self._stale_count % len(ages_s)]
            self._stale_count += 1
        if not age_s:
            return self._revision
        until_s = time.monotonic() - age_s
        return max(
            (e["revision"] for e in self._events if e["at_s"] <= until_s),
            default=1,
        )

    async def _hang_if_silent(self, port: int) -> None:
        is_silent_port = port in self._faults.get("silent_ports", ())
        if self._faults.get("silent") or is_silent_port:
            await asyncio.sleep(3600.0)

    async def _watch(
        self, port: int, query: dict[str, str]
    ) -> exchange.Response | None:
        after = int(query["after"])
        if "serializable" in query:
            return self._stale_watch(after, query["prefix"])
        until_s = time.monotonic() + int(query["wait_ms"]) / 1000.0
        while True:
            if self._faults.get("down"):
                return None
            if port in self._faults.get("silent_ports", ()):
                await asyncio.sleep(3600.0)
            if port in self._faults.get("busy_ports", ()):
                return http.json_response({}, 503)
            if not self._compacted_revision <= after <= self._revision:
                return http.json_response({}, 410)
            events = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0.0:
                return http.json_response(
                    {"events": events, "store_revision": self._revision}
                )
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _stale_watch(self, after: int, prefix: str) -> exchange.Response:
        """Returns the events that a stale read sees, without waiting."""
        if not self._compacted_revision <= after <= self._revision:
            return http.json_response({}, 410)
        revision = self._stale_revision()
        events = [
            event
            for event in self._events
            if after < event["revision"] <= revision
            and event["key"].startswith(prefix)
        ]
        return http.json_response(
            {"events": events, "store_revision": revision}
        )

    def _transact(self, body: dict[str, typing.Any]) -> exchange.Response:
        for row in body["precondition"]:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                current = [
                    self._items[r["key"]]
                    for r in body["precondition"]
                    if r["key"] in self._items
                ]
                return http.json_response({"items": current}, 412)
        for row in body["puts"]:
            value = base64.b64decode(row["value"]).decode()
            self._set(row["key"], value, row.get("lease", 0))
        for key in body["drop"]:
            self._set(key, None)
        return http.json_response({"revision": self._revision})

    def _set(self, key: str, value: str | None, lease: int = 0) -> None:
        if value is None and key not in self._items:
            return
        self._revision += 1
        event: dict[str, typing.Any] = {
            "key": key,
            "revision": self._revision,
            "at_s": time.monotonic(),
        }
        if value is None:
            del self._items[key]
            event["deleted"] = True
        else:
            known = self._items.get(key, event)
            event["value"] = base64.b64encode(value.encode()).decode()
            event["create_revision"] = known.get(
                "create_revision", self._revision
            )
            event["lease"] = lease
            self._items[key] = event
        self._events.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        """Wakes all waiting watches, which then check for events."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now_s = time.monotonic()
        expired = {
            lease for lease, (_, end_s) in self._leases.items() if end_s < now_s
        }
        for key, item in list(self._items.items()):
            if item["lease"] in expired:
                self._set(key, None)


@click.command()
@click.option("--port", "ports", type=int, required=True, multiple=True)
def main(ports: tuple[int, ...]) -> None:
    """Runs the store, which listens on each of the ports."""

    async def serve() -> None:
        store = KvStore()
        for port in ports:
            handle = functools.partial(store.handle, port)
            await http.Server(handle).listen("127.0.0.1", port)
        await asyncio.Event().wait()

    uvloop.run(serve())


if __name__ == "__main__":
    main()
