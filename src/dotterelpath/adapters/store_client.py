"""The platform's configuration store over HTTP with JSON."""

from __future__ import annotations

import typing
import urllib.parse

import orjson

from dotterelpath import errors
from dotterelpath.adapters import http_client
from dotterelpath.domain import exchange
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import metrics as metrics_port
from dotterelpath.ports import store

CALL_TIMEOUT_S = 2.0
# What the whole fleet allows itself of the store's rates.
FLEET_READS_PER_S = 1000.0
FLEET_WRITES_PER_S = 200.0
MAX_CALLS_PER_S = 20.0
BURST_READS = 200.0
BURST_WRITES = 50.0
WATCH_MARGIN_S = 2.0


class CallBudget:
    """Holds a daemon to its part of one of the store's rates."""

    __slots__ = ("_at_s", "_burst", "_clock", "_left", "_rate", "_total_rate")

    def __init__(
        self, clock: clock_port.Clock, total_rate: float, burst: float
    ) -> None:
        """Creates a full budget for a daemon that shares with nobody.

        Args:
            clock: Tells the time.
            total_rate: Calls a second that the fleet allows itself.
            burst: Calls that may be saved up.
        """
        self._clock = clock
        self._total_rate = total_rate
        self._burst = burst
        self._rate = min(MAX_CALLS_PER_S, total_rate)
        self._left = burst
        self._at_s = clock.now_s()

    def share(self, daemons: int) -> None:
        """Sets this daemon's part.

        Args:
            daemons: How many daemons share the rate.
        """
        part = self._total_rate / max(1, daemons)
        self._rate = min(MAX_CALLS_PER_S, part)

    def spend(self) -> None:
        """Takes one call out of the budget.

        Raises:
            StoreError: The budget is spent.
        """
        now_s = self._clock.now_s()
        earned = (now_s - self._at_s) * self._rate
        self._left = min(self._burst, self._left + earned)
        self._at_s = now_s
        if self._left < 1.0:
            raise errors.StoreError("this daemon's call budget is spent")
        self._left -= 1.0


class StoreClient:
    """Calls the store; see store.Store."""

    __slots__ = ("_client", "_host", "_metrics", "_port", "_reads", "_writes")

    def __init__(
        self,
        host: str,
        port: int,
        client: http_client.HttpClient,
        clock: clock_port.Clock,
        metrics: metrics_port.Metrics,
    ) -> None:
        """Creates a client.

        Args:
            host: The store's IP address.
            port: Its port.
            client: Makes the calls.
            clock: Tells the time.
            metrics: Counts the calls.
        """
        self._host = host
        self._port = port
        self._client = client
        self._metrics = metrics
        self._reads = CallBudget(clock, FLEET_READS_PER_S, BURST_READS)
        self._writes = CallBudget(clock, FLEET_WRITES_PER_S, BURST_WRITES)

    def share(self, daemons: int) -> None:
        """Sets this daemon's part of the rates; see store.Store."""
        self._reads.share(daemons)
        self._writes.share(daemons)

    async def get(self, key: str) -> store.Versioned:
        """Reads a key; see store.Store."""
        target = "/v1/keys/" + urllib.parse.quote(key, safe="")
        data = await self._read("get", http_client.get(target), CALL_TIMEOUT_S)
        return store.Versioned(key, data["value"], data["revision"])

    async def create(
        self, key: str, value: str, lease_s: float | None = None
    ) -> store.Versioned:
        """Creates a key if it is absent; see store.Store."""
        call = {"key": key, "value": value, "lease_s": lease_s}
        data = await self._write("create", call)
        return store.Versioned(key, data["value"], data["revision"])

    async def swap(self, key: str, value: str, revision: int) -> int | None:
        """Replaces a value at a revision; see store.Store."""
        call = {"key": key, "value": value, "revision": revision}
        data = await self._write("swap", call)
        return data["revision"] if data["swapped"] else None

    async def delete(self, key: str) -> None:
        """Deletes a key; see store.Store."""
        await self._write("delete", {"key": key})

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> store.Changes:
        """Waits for changes; see store.Store."""
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after_revision, "wait_s": wait_s}
        )
        data = await self._read(
            "watch",
            http_client.get(f"/v1/watch?{query}"),
            wait_s + WATCH_MARGIN_S,
        )
        entries = [
            store.Versioned(item["key"], item["value"], item["revision"])
            for item in data["entries"]
        ]
        return store.Changes(entries, data["revision"])

    async def _read(
        self, call: str, request: exchange.Request, timeout_s: float
    ) -> dict[str, typing.Any]:
        self._reads.spend()
        try:
            answer = await self._client.call(
                self._host, self._port, request, timeout_s
            )
        except (
            http_client.NotSentError,
            http_client.NoAnswerError,
        ) as error:
            self._metrics.store_called(call, False)
            raise errors.StoreError(str(error)) from error
        self._metrics.store_called(call, answer.status == 200)
        if answer.status != 200:
            raise errors.StoreError(f"status {answer.status}")
        return _decoded(answer)

    async def _write(
        self, call: str, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        self._writes.spend()
        request = http_client.post(f"/v1/{call}", orjson.dumps(body))
        try:
            answer = await self._client.call(
                self._host, self._port, request, CALL_TIMEOUT_S
            )
        except http_client.NotSentError as error:
            self._metrics.store_called(call, False)
            raise errors.StoreError(str(error)) from error
        except http_client.NoAnswerError as error:
            self._metrics.store_called(call, False)
            raise errors.UnknownOutcomeError(str(error)) from error
        self._metrics.store_called(call, answer.status == 200)
        if answer.status == 200:
            return _decoded(answer)
        if answer.status < 500:
            raise errors.StoreError(f"status {answer.status}")
        raise errors.UnknownOutcomeError(f"status {answer.status}")


def _decoded(answer: exchange.Answer) -> dict[str, typing.Any]:
    try:
        return orjson.loads(answer.body)
    except orjson.JSONDecodeError as error:
        raise errors.StoreError("the answer is not JSON") from error
