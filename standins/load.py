"""An open-loop load generator that acts as the callers do."""

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
MAX_US = 60_000_000
CALL_TIMEOUT_S = 8.0
WORKSPACES = 20


class Operation:
    """One kind of request in the mix."""

    __slots__ = ("method", "name", "path", "service", "share", "timeout_ms")

    def __init__(self, data: dict[str, typing.Any]) -> None:
        """Reads an operation from the mix."""
        self.name = data["name"]
        self.service = data["service"]
        self.method = data["method"]
        self.path = data["path"]
        self.share = float(data.get("share", 1.0))
        self.timeout_ms = int(data.get("timeout_ms", 5000))


class Addresses:
    """An address answer, kept for a while as callers do."""

    __slots__ = ("expires_s", "key_prefix", "places")

    def __init__(
        self, places: list[tuple[str, int]], key_prefix: str, expires_s: float
    ) -> None:
        """Creates a kept answer."""
        self.places = places
        self.key_prefix = key_prefix
        self.expires_s = expires_s


class Tally:
    """How requests of one kind ended."""

    __slots__ = ("codes", "latency", "mixed_up", "outcomes")

    def __init__(self) -> None:
        """Creates an empty tally."""
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.codes: collections.Counter[str] = collections.Counter()
        self.mixed_up = 0
        self.latency = hdrh.histogram.HdrHistogram(1, MAX_US, 3)

    def summary(self) -> dict[str, typing.Any]:
        """Builds the tally's part of the report; latencies are in ms."""
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


class Load:
    """Sends requests at a fixed rate, however slowly answers come."""

    __slots__ = (
        "_addresses",
        "_client",
        "_attempts_most",
        "_direct",
        "_entries",
        "_ids",
        "_operations",
        "_run_id",
        "_within_s",
        "ends",
        "tallies",
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
            operations: The mix.
            direct: Whether to skip addresses and keys.
            attempts: The most attempts at one request.
            within_s: A later answer counts as late, in seconds.
        """
        self._attempts_most = attempts
        self._within_s = within_s
        self._entries = entries
        self._operations = operations
        self._direct = direct
        self._client = http_client.HttpClient(clock_adapter.SystemClock())
        self._addresses: dict[tuple[str, str], Addresses] = {}
        self._ids = itertools.count(1)
        self._run_id = uuid.uuid4().hex[:8]
        self.tallies = {o.name: Tally() for o in operations}
        self.timeline: collections.Counter[tuple[int, str, str]] = (
            collections.Counter()
        )
        self.ends: dict[str, str] = {}

    async def run(self, rate: float, seconds: float) -> None:
        """Sends load.

        Args:
            rate: Requests a second.
            seconds: How long.
        """
        shares = [o.share for o in self._operations]
        started_s = time.monotonic()
        due_s = started_s
        open_calls: set[asyncio.Task[None]] = set()
        while due_s < started_s + seconds:
            due_s += random.expovariate(rate)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            operation = random.choices(self._operations, shares)[0]
            task = asyncio.create_task(
                self._request(operation, due_s, int(due_s - started_s))
            )
            open_calls.add(task)
            task.add_done_callback(open_calls.discard)
        await asyncio.gather(*open_calls)
        self._client.close()

    async def _request(
        self, operation: Operation, due_s: float, second: int
    ) -> None:
        unique = f"{self._run_id}-{next(self._ids):08d}"
        workspace = f"ws-{random.randrange(WORKSPACES)}"
        end = await self._attempts(operation, unique, workspace)
        tally = self.tallies[operation.name]
        took_s = time.monotonic() - due_s
        if end == "answered" and took_s > self._within_s:
            end = "late"
        tally.outcomes[end] += 1
        self.timeline[(second, operation.name, end)] += 1
        took_us = int(took_s * 1e6)
        if end == "answered":
            tally.latency.record_value(min(max(took_us, 1), MAX_US))

    async def _attempts(
        self, operation: Operation, unique: str, workspace: str
    ) -> str:
        """Sends a request until it has an outcome, as a caller would."""
        places, prefix = await self._where(operation.service, workspace)
        is_keyed = operation.method == "POST" and not self._direct
        key = prefix + unique if is_keyed else ""
        end = "unknown"
        attempt = 1
        for number in range(self._attempts_most):
            host, port = places[number % len(places)]
            request = self._build(operation, unique, workspace, key, attempt)
            tally = self.tallies[operation.name]
            try:
                response = await self._client.call(
                    host, port, request, CALL_TIMEOUT_S
                )
            except http_client.NotSentError:
                self._addresses.clear()
                end = "not run" if end != "unknown" or not number else end
                continue
            except http_client.NoResponseError:
                end = "unknown"
                tally.codes["no answer"] += 1
                if is_keyed or operation.method == "GET":
                    continue
                break
            end = self._judge(tally, response, unique)
            if end != "not run" or response.status in (404, 429, 504):
                break
            attempt += 1
        if key:
            self.ends[key] = end
        return end

    def _judge(
        self, tally: Tally, response: exchange.Response, unique: str
    ) -> str:
        code = (response.header(b"dotterelpath-result") or b"1000").decode()
        if code == "1000" and response.status >= 500:
            tally.codes[f"status {response.status}"] += 1
            return "failed"
        tally.codes[code] += 1
        if code.startswith("1"):
            if orjson.loads(response.body).get("echo") != unique:
                tally.mixed_up += 1
            return "answered"
        return "not run" if code.startswith("2") else "unknown"

    def _build(
        self,
        operation: Operation,
        unique: str,
        workspace: str,
        key: str,
        attempt: int,
    ) -> exchange.Request:
        fields = [
            (b"x-echo", unique.encode()),
            (b"dotterelpath-workspace", workspace.encode()),
        ]
        if key:
            fields.append((b"idempotency-key", key.encode()))
            fields.append((b"dotterelpath-attempt", str(attempt).encode()))
        body = unique.encode() if operation.method == "POST" else b""
        return exchange.Request(operation.method, operation.path, fields, body)

    async def _where(
        self, service: str, workspace: str
    ) -> tuple[list[tuple[str, int]], str]:
        if self._direct:
            shuffled = random.sample(self._entries, len(self._entries))
            return shuffled, ""
        known = self._addresses.get((service, workspace))
        if known is not None and known.expires_s > time.monotonic():
            return known.places, known.key_prefix
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
            places = [(a["host"], a["port"]) for a in data["addresses"]]
            if not places:
                continue
            self._addresses[(service, workspace)] = Addresses(
                places, data["key_prefix"], time.monotonic() + data["ttl_s"]
            )
            return places, data["key_prefix"]
        return self._entries, "no-addresses-"


def _entry(text: str) -> tuple[str, int]:
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
    """Sends load and writes a report in JSON."""
    operations = [Operation(data) for data in json.loads(mix)]

    async def work() -> Load:
        load = Load(
            [_entry(e) for e in entries],
            operations,
            direct,
            1 if once else MAX_ATTEMPTS,
            within_ms / 1000.0,
        )
        await load.run(rate, seconds)
        return load

    load = uvloop.run(work())
    report = {
        "operations": {n: t.summary() for n, t in load.tallies.items()},
        "ends": load.ends,
        "timeline": [
            [second, name, end, count]
            for (second, name, end), count in sorted(load.timeline.items())
        ],
    }
    out.write_text(json.dumps(report))


if __name__ == "__main__":
    main()
