"""Stands in for backend servers, several per process."""

from __future__ import annotations

import asyncio
import collections
import random
import time
import typing

import click
import orjson
import uvloop

from dotterelpath import errors
from dotterelpath.domain import exchange
from dotterelpath.ports import frontend
from standins import http

# Running and queued requests; further ones are refused with 503.
MAX_REQUESTS_PER_SLOT = 8
CHUNK_INTERVAL_S = 0.05


class Backend:
    """Instance with slots, a load header and fault modes.

    Modes, set by a JSON body posted to `/_mode`:
        fail_share: Fraction of requests that get a 500; health checks pass.
        slow_factor: Multiplies the duration of requests.
        silent: Runs requests and never responds.
        drop: Runs requests and closes the connection without a response.
        truncate: Sends fewer bytes than the content length.
        extra: Sends another response after each response.
        extra_after_s: The pause before that response, in seconds.
        flap_s: Switches the faults above on and off at this interval, in
            seconds.
        warm_s: Makes requests five times slower for this time after the mode
            is set, in seconds.
        work_s: Sets the mean duration of a request, in seconds.
        fixed: Gives all requests the mean duration.
        closing: Sends responses that end with the connection.
        cut_long: Closes the connection before the end of a long response.
        part_s: Sets the interval of a long response's chunks, in seconds.
        slots: Sets the slots that the load and the queue's limit refer to.
        load: Sets the value of the load header.
        draining: Refuses requests with 503 and announces that it drains.
        sign_only: Announces that it drains, but serves requests.
        shed: Refuses requests with 503.
        closed: Closes connections without a response.
    """

    __slots__ = (
        "_counts",
        "_mode",
        "_mode_set_s",
        "_name",
        "_running",
        "_runs",
        "_slots",
        "_work_s",
    )

    def __init__(self, name: str, slots: int, work_s: float) -> None:
        """Creates an instance.

        Args:
            name: The VM id.
            slots: Most requests that run at the same time.
            work_s: The mean duration of a request, in seconds.
        """
        self._name = name
        self._slots = asyncio.Semaphore(slots)
        self._work_s = work_s
        self._mode: dict[str, typing.Any] = {"slots": slots}
        self._running = 0
        self._mode_set_s = time.monotonic()
        self._counts: collections.Counter[str] = collections.Counter()
        self._runs: collections.Counter[str] = collections.Counter()

    async def handle(
        self, request: exchange.Request, connection: frontend.Connection
    ) -> exchange.Response | None:
        """Handles a request, subject to the current mode."""
        if request.path == "/_mode":
            self._mode.update(orjson.loads(request.body))
            self._mode_set_s = time.monotonic()
            return http.json_response({})
        if request.path == "/_runs":
            return http.json_response(
                {"runs": self._runs, "served": self._counts}
            )
        if request.path == "/health":
            await asyncio.sleep(0.025)
            return http.json_response({"ok": True})
        if self._mode.get("closed"):
            return None
        self._counts["arrived"] += 1
        limit = self._mode["slots"] * MAX_REQUESTS_PER_SLOT
        is_refusing = self._mode.get("draining") or self._mode.get("shed")
        if is_refusing or self._running >= limit:
            self._counts["refused"] += 1
            headers = [(b"x-not-run", b"1"), *self._status_headers()]
            return http.json_response({"refused": self._name}, 503, headers)
        self._running += 1
        try:
            async with self._slots:
                return await self._work(request, connection)
        except asyncio.CancelledError:
            self._counts["cancelled"] += 1
            raise
        finally:
            self._running -= 1

    async def _work(
        self, request: exchange.Request, connection: frontend.Connection
    ) -> exchange.Response | None:
        if request.method not in ("GET", "HEAD"):
            self._runs[_request_identity(request)] += 1
        is_faulty = self._is_faulty()
        factor = self._mode.get("slow_factor", 1.0) if is_faulty else 1.0
        warm_s = self._mode.get("warm_s", 0.0)
        if time.monotonic() - self._mode_set_s < warm_s:
            factor *= 5.0
        work_s = self._mode.get("work_s", self._work_s)
        if not self._mode.get("fixed"):
            work_s = random.expovariate(1.0 / work_s)
        await asyncio.sleep(work_s * factor)
        if is_faulty and self._mode.get("silent"):
            await asyncio.sleep(3600.0)
        if is_faulty and self._mode.get("drop"):
            return None
        if is_faulty and random.random() < self._mode.get("fail_share", 0.0):
            return http.json_response(
                {"failed": self._name}, 500, self._status_headers()
            )
        self._counts["done"] += 1
        if request.path.endswith("/long"):
            return await self._stream(connection, _requested_bytes(request))
        data = {
            "instance": self._name,
            "target": request.target,
            "echo": _header(request, b"x-echo"),
            "body": request.body.decode("latin-1"),
        }
        response = http.json_response(data, 200, self._status_headers())
        if self._mode.get("closing"):
            _write_raw(
                connection, b"HTTP/1.1 200 OK\r\n\r\nthe end is the close"
            )
            return None
        if is_faulty and self._mode.get("truncate"):
            _write_raw(
                connection, b"HTTP/1.1 200 OK\r\ncontent-length: 999\r\n\r\nab"
            )
            return None
        if is_faulty and self._mode.get("extra"):
            connection.respond(
                exchange.Outcome(errors.ResultCode.ANSWERED, response=response)
            )
            await asyncio.sleep(self._mode.get("extra_after_s", 0.0))
            _write_raw(
                connection, b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nevil"
            )
            return http.ALREADY_SENT
        return response

    async def _stream(
        self, connection: frontend.Connection, size: int
    ) -> exchange.Response | None:
        head = exchange.Response(200, [(b"transfer-encoding", b"chunked")], b"")
        connection.respond(
            exchange.Outcome(
                errors.ResultCode.ANSWERED, response=head, stream_id=1
            )
        )
        chunk = b"x" * 65536
        while size > 0:
            if self._mode.get("cut_long") and size < 1_500_000:
                return None
            connection.write_chunk(chunk[:size])
            size -= len(chunk)
            await asyncio.sleep(self._mode.get("part_s", CHUNK_INTERVAL_S))
        connection.end_response()
        return http.ALREADY_SENT

    def _is_faulty(self) -> bool:
        flap_s = self._mode.get("flap_s")
        if not flap_s:
            return True
        return int((time.monotonic() - self._mode_set_s) / flap_s) % 2 == 0

    def _status_headers(self) -> exchange.Headers:
        load = self._mode.get("load", self._running / self._mode["slots"])
        headers = [(b"dotterelpath-load", f"{load:.2f}".encode())]
        if self._mode.get("draining") or self._mode.get("sign_only"):
            headers.append((b"dotterelpath-draining", b"1"))
        return headers


def _write_raw(connection: frontend.Connection, data: bytes) -> None:
    connection._transport.write(data)  # noqa: SLF001


def _request_identity(request: exchange.Request) -> str:
    key = _header(request, b"idempotency-key")
    return key or _header(request, b"x-echo") or request.request_id


def _header(request: exchange.Request, name: bytes) -> str:
    for key, value in request.headers:
        if key == name:
            return value.decode("latin-1")
    return ""


def _requested_bytes(request: exchange.Request) -> int:
    return int(request.target.partition("bytes=")[2] or 1_000_000)


@click.command()
@click.option("--instance", "instances", multiple=True, required=True)
@click.option("--slots", type=int, default=4)
@click.option("--work-ms", type=float, default=5.0)
def main(instances: tuple[str, ...], slots: int, work_ms: float) -> None:
    """Runs instances, each given as NAME:PORT."""

    async def serve() -> None:
        for instance in instances:
            name, _, port = instance.rpartition(":")
            backend = Backend(name, slots, work_ms / 1000.0)
            server = http.Server(backend.handle)
            await server.listen("127.0.0.1", int(port))
        await asyncio.Event().wait()

    uvloop.run(serve())


if __name__ == "__main__":
    main()
