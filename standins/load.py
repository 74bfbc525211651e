"""Open-loop load generator that retries like the callers."""

from __future__ import annotations

import asyncio
import collections
import itertools
import json
import math
import pathlib
import random
import time
import typing
import uuid

import click
import hdrh.histogram
import orjson
import uvloop

from dotterelpath.adapters import clock as clock_adapter
from dotterelpath.adapters import http_client
from dotterelpath.domain import exchange

MAX_ATTEMPTS = 4
MAX_LATENCY_US = 60_000_000
CALL_TIMEOUT_S = 8.0
WORKSPACE_COUNT = 20


class Operation:
    """A kind of request in the mix, with its share of the load."""

    __slots__ = ("method", "name", "path", "service", "share", "timeout_ms")

    def __init__(self, data: dict[str, typing.Any]) -> None:
        """Creates an operation from its JSON object in the mix."""
        self.name = data["name"]
        self.service = data["service"]
        self.method = data["method"]
        self.path = data["path"]
        self.share = float(data.get("share", 1.0))
        self.timeout_ms = int(data.get("timeout_ms", 5000))


class CachedAddresses:
    """Addresses of a workspace's daemons, cached until they expire."""

    __slots__ = ("endpoints", "expires_s", "key_prefix")

    def __init__(
        self,
        endpoints: list[tuple[str, int]],
        key_prefix: str,
        expires_s: float,
    ) -> None:
        """Creates a cache entry.

        Args:
            endpoints: Host and port of each daemon, in order of preference.
            key_prefix: The prefix of idempotency keys.
            expires_s: When the entry expires, in seconds of the monotonic
                clock.
        """
        self.endpoints = endpoints
        self.key_prefix = key_prefix
        self.expires_s = expires_s


class OperationStats:
    """Outcomes, result codes and latencies of an operation.

    `mixed_up` counts responses that belong to another request.
    """

    __slots__ = ("codes", "latency", "mixed_up", "outcomes")

    def __init__(self) -> None:
        """Creates empty statistics."""
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.codes: collections.Counter[str] = collections.Counter()
        self.mixed_up = 0
        self.latency = hdrh.histogram.HdrHistogram(1, MAX_LATENCY_US, 3)

    def summary(self) -> dict[str, typing.Any]:
        """Builds the operation's part of the report; latencies are in ms."""
        percentiles = {
            f"p{p}": self.latency.get_value_at_percentile(p) / 1000.0
            for p in (50, 90, 99, 99.9)
        }
        return {
            "outcomes": dict(self.outcomes),
            "codes": dict(self.codes),
            "mixed_up": self.mixed_up,
            "latency_ms": percentiles,
        }


class LoadGenerator:
    """Sends requests at a fixed mean rate, whether or not responses arrive."""

    __slots__ = (
        "_addresses",
        "_client",
        "_direct",
        "_entries",
        "_ids",
        "_max_attempts",
        "_operations",
        "_run_id",
        "_within_s",
        "outcomes_by_key",
        "stats",
        "timeline",
    )

    def __init__(
        self,
        entries: list[tuple[str, int]],
        operations: list[Operation],
        direct: bool,
        attempts: int = MAX_ATTEMPTS,
        within_s: float = math.inf,
    ) -> None:
        """Creates a generator.

        Args:
            entries: Addresses of some daemons, or of servers if direct.
            operations: The kinds of requests and their shares.
            direct: Whether to send to the entries, without a lookup of
                addresses and without idempotency keys.
            attempts: Most attempts per request.
            within_s: Latency above which a response counts as late, in
                seconds.
        """
        self._max_attempts = attempts
        self._within_s = within_s
        self._entries = entries
        self._operations = operations
        self._direct = direct
        self._client = http_client.HttpClient(clock_adapter.SystemClock())
        self._addresses: dict[tuple[str, str], CachedAddresses] = {}
        self._ids = itertools.count(1)
        self._run_id = uuid.uuid4().hex[:8]
        self.stats = {o.name: OperationStats() for o in operations}
        self.timeline: collections.Counter[tuple[int, str, str]] = (
            collections.Counter()
        )
        self.outcomes_by_key: dict[str, str] = {}

    async def run(self, rate: float, seconds: float) -> None:
        """Sends requests and waits until all of them have ended.

        Args:
            rate: Mean rate, in requests per second.
            seconds: Duration, in seconds.
        """
        shares = [o.share for o in self._operations]
        started_s = time.monotonic()
        due_s = started_s
        tasks: set[asyncio.Task[None]] = set()
        while due_s < started_s + seconds:
            due_s += random.expovariate(rate)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            operation = random.choices(self._operations, shares)[0]
            task = asyncio.create_task(
                self._send(operation, due_s, int(due_s - started_s))
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        self._client.close()

    async def _send(
        self, operation: Operation, due_s: float, second: int
    ) -> None:
        echo = f"{self._run_id}-{next(self._ids):08d}"
        workspace = f"ws-{random.randrange(WORKSPACE_COUNT)}"
        outcome = await self._send_with_retries(operation, echo, workspace)
        stats = self.stats[operation.name]
        took_s = time.monotonic() - due_s
        if outcome == "answered" and took_s > self._within_s:
            outcome = "late"
        stats.outcomes[outcome] += 1
        self.timeline[(second, operation.name, outcome)] += 1
        took_us = int(took_s * 1e6)
        if outcome == "answered":
            stats.latency.record_value(min(max(took_us, 1), MAX_LATENCY_US))

    async def _send_with_retries(
        self, operation: Operation, echo: str, workspace: str
    ) -> str:
        """Sends a request and retries it as a caller does.

        Returns:
            The outcome of the request.
        """
        endpoints, prefix = await self._resolve(operation.service, workspace)
        is_keyed = operation.method == "POST" and not self._direct
        key = prefix + echo if is_keyed else ""
        outcome = "unknown"
        attempt = 1
        for number in range(self._max_attempts):
            host, port = endpoints[number % len(endpoints)]
            request = self._build(operation, echo, workspace, key, attempt)
            stats = self.stats[operation.name]
            try:
                response = await self._client.call(
                    host, port, request, CALL_TIMEOUT_S
                )
            except http_client.NotSentError:
                self._addresses.clear()
                outcome = (
                    "not run" if outcome != "unknown" or not number else outcome
                )
                continue
            except http_client.NoResponseError:
                outcome = "unknown"
                stats.codes["no answer"] += 1
                if is_keyed or operation.method == "GET":
                    continue
                break
            outcome = self._classify(stats, response, echo)
            if outcome != "not run" or response.status in (404, 429, 504):
                break
            attempt += 1
        if key:
            self.outcomes_by_key[key] = outcome
        return outcome

    def _classify(
        self, stats: OperationStats, response: exchange.Response, echo: str
    ) -> str:
        code = (response.header(b"dotterelpath-result") or b"1000").decode()
        if code == "1000" and response.status >= 500:
            stats.codes[f"status {response.status}"] += 1
            return "failed"
        stats.codes[code] += 1
        if code.startswith("1"):
            if orjson.loads(response.body).get("echo") != echo:
                stats.mixed_up += 1
            return "answered"
        return "not run" if code.startswith("2") else "unknown"

    def _build(
        self,
        operation: Operation,
        echo: str,
        workspace: str,
        key: str,
        attempt: int,
    ) -> exchange.Request:
        fields = [
            (b"x-echo", echo.encode()),
            (b"dotterelpath-workspace", workspace.encode()),
        ]
        if key:
            fields.append((b"idempotency-key", key.encode()))
            fields.append((b"dotterelpath-attempt", str(attempt).encode()))
        body = echo.encode() if operation.method == "POST" else b""
        return exchange.Request(operation.method, operation.path, fields, body)

    async def _resolve(
        self, service: str, workspace: str
    ) -> tuple[list[tuple[str, int]], str]:
        if self._direct:
            shuffled = random.sample(self._entries, len(self._entries))
            return shuffled, ""
        cached = self._addresses.get((service, workspace))
        if cached is not None and cached.expires_s > time.monotonic():
            return cached.endpoints, cached.key_prefix
        target = f"/-/addresses?service={service}&workspace={workspace}"
        for host, port in random.sample(self._entries, len(self._entries)):
            try:
                response = await self._client.call(
                    host, port, http_client.build_get(target), 2.0
                )
            except (http_client.NotSentError, http_client.NoResponseError):
                continue
            if response.status != 200:
                continue
            data = orjson.loads(response.body)
            endpoints = [(a["host"], a["port"]) for a in data["addresses"]]
            if not endpoints:
                continue
            self._addresses[(service, workspace)] = CachedAddresses(
                endpoints, data["key_prefix"], time.monotonic() + data["ttl_s"]
            )
            return endpoints, data["key_prefix"]
        return self._entries, "no-addresses-"


def _parse_endpoint(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


@click.command()
@click.option("--entry", "entries", multiple=True, required=True)
@click.option("--mix", required=True, help="The operations in JSON.")
@click.option("--rate", type=float, required=True)
@click.option("--seconds", type=float, required=True)
@click.option("--direct", is_flag=True)
@click.option("--once", is_flag=True, help="Make one attempt only.")
@click.option("--within-ms", type=float, default=math.inf)
@click.option("--out", type=click.Path(path_type=pathlib.Path), required=True)
def main(
    entries: tuple[str, ...],
    mix: str,
    rate: float,
    seconds: float,
    direct: bool,
    once: bool,
    within_ms: float,
    out: pathlib.Path,
) -> None:
    """Sends load and writes a JSON report."""
    operations = [Operation(data) for data in json.loads(mix)]

    async def generate() -> LoadGenerator:
        load = LoadGenerator(
            [_parse_endpoint(e) for e in entries],
            operations,
            direct,
            1 if once else MAX_ATTEMPTS,
            within_ms / 1000.0,
        )
        await load.run(rate, seconds)
        return load

    load = uvloop.run(generate())
    report = {
        "operations": {n: t.summary() for n, t in load.stats.items()},
        "ends": load.outcomes_by_key,
        "timeline": [
            [second, name, outcome, count]
            for (second, name, outcome), count in sorted(load.timeline.items())
        ],
    }
    out.write_text(json.dumps(report))


if __name__ == "__main__":
    main()
