"""Stands in for an instance of a service."""

from __future__ import annotations

import asyncio
import collections
import json
import typing
import urllib.parse

from support import record as record_file
from support import wire

DEFAULT_WORK_MS = 20
MAX_QUEUED = 16
IDLE_TIMEOUT_S = 10
# A body without end comes in such chunks: many at once, then slowly.
ENDLESS_CHUNK = b"4000\r\n" + b"x" * 16384 + b"\r\n"
FIRST_CHUNKS = 64
ENDLESS_PAUSE_S = 0.2


class Trouble(typing.Protocol):
    """Trouble in which an instance refuses requests."""

    @property
    def is_endless(self) -> bool:
        """Whether the body of a refusal comes without end."""

    def hits(self, request: wire.Message) -> bool:
        """Tells whether a request is refused.

        Args:
            request: The request.
        """


class Instance:
    """A sound instance, whose work takes as long as the query says.

    Drops a request when its connection closes. In trouble, it refuses requests
    with a body without end.
    """

    __slots__ = (
        "_free_slots",
        "_record",
        "_running",
        "_slots",
        "_waiting",
        "arrivals",
        "id",
        "limit_per_s",
        "runs",
        "trouble",
        "work",
    )

    def __init__(self, id: str, slots: int, record: record_file.Record) -> None:
        """Creates an instance without requests.

        Args:
            id: The id.
            slots: The requests that it runs at a time.
            record: The record of the case.
        """
        self.id = id
        self.runs: collections.Counter[str] = collections.Counter()
        # Whether a request is refused, and whether such refusals have no end.
        self.trouble: Trouble | None = None
        # The requests a second that it takes, which it names in its answers.
        self.limit_per_s: float | None = None
        # The requests that arrived, with the seconds since the start of the
        # case.
        self.arrivals: list[tuple[float, wire.Message]] = []
        # When the work on each request began and ended, in seconds since the
        # start of the case.
        self.work: dict[str, tuple[float, float]] = {}
        self._slots = slots
        self._free_slots = asyncio.Semaphore(slots)
        self._record = record
        self._running = 0
        self._waiting = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection, one request at a time.

        Args:
            reader: The connection.
            writer: The same connection.
        """
        try:
            while (request := await wire.read(reader)) is not None:
                self.arrivals.append((self._record.now_s, request))
                if self.trouble is not None and self.trouble.hits(request):
                    request_id = request.header("request-id")
                    if self.trouble.is_endless:
                        await self._refuse_without_end(request_id, writer)
                        return
                    writer.write(self._refuse(503, request_id))
                    continue
                response = await self._until_closed(request, reader)
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _refuse_without_end(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Sends a refusal and its body until the connection closes."""
        self._record.write(f"{self.id} refuses {request_id}, without end")
        head = wire.encode(
            "HTTP/1.1 503 .",
            [("request-id", request_id), ("not-executed", "1")],
        )
        writer.write(
            head.replace(b"content-length: 0", b"transfer-encoding: chunked")
        )
        writer.write(ENDLESS_CHUNK * FIRST_CHUNKS)
        while True:
            writer.write(ENDLESS_CHUNK)
            await writer.drain()
            await asyncio.sleep(ENDLESS_PAUSE_S)

    async def _until_closed(
        self, request: wire.Message, reader: asyncio.StreamReader
    ) -> bytes | None:
        """Handles a request; stops when its connection closes."""
        work = asyncio.create_task(self._handle(request))
        while not work.done():
            await asyncio.wait([work], timeout=0.01)
            if reader.at_eof() or reader.exception() is not None:
                work.cancel()
                await asyncio.gather(work, return_exceptions=True)
                return None
        return work.result()

    async def _handle(self, request: wire.Message) -> bytes:
        request_id = request.header("request-id")
        if request.header("target-instance", self.id) != self.id:
            return self._refuse(421, request_id)
        if self._waiting >= MAX_QUEUED:
            return self._refuse(503, request_id)
        self._waiting += 1
        try:
            await self._free_slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        began_s = self._record.now_s
        try:
            return await self._run(request, request_id)
        except asyncio.CancelledError:
            self._record.write(f"{self.id} dropped {request_id}: connection")
            raise
        finally:
            self._running -= 1
            self._free_slots.release()
            self.work[request_id] = (began_s, self._record.now_s)

    async def _run(self, request: wire.Message, request_id: str) -> bytes:
        self.runs[request_id] += 1
        self._record.write(
            f"{self.id} runs {request_id} {request.method} {request.target}"
        )
        query = urllib.parse.urlsplit(request.target).query
        asked = dict(urllib.parse.parse_qsl(query))
        await asyncio.sleep(int(asked.get("work_ms", DEFAULT_WORK_MS)) / 1000.0)
        self._record.write(f"{self.id} answers {request_id} with 200")
        body = json.dumps({"instance": self.id, "id": request_id}).encode()
        body = body.ljust(int(asked.get("bytes", 0)))
        return wire.encode(
            "HTTP/1.1 200 OK",
            [*self._own_headers(request_id), ("response-signature", self.id)],
            body,
        )

    def _refuse(self, status: int, request_id: str) -> bytes:
        self._record.write(f"{self.id} refuses {request_id} with {status}")
        return wire.encode(
            f"HTTP/1.1 {status} .",
            [*self._own_headers(request_id), ("not-executed", "1")],
        )

    def _own_headers(self, request_id: str) -> wire.Headers:
        headers = [
            ("request-id", request_id),
            ("server-load", f"{self._running},{self._waiting},{self._slots}"),
            ("keep-alive", f"timeout={IDLE_TIMEOUT_S}"),
        ]
        if self.limit_per_s is not None:
            headers.append(("server-limit", f"{self.limit_per_s:g}"))
        return headers
