"""Stands in for instances on the users' platform, several per process."""

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
from dotterelpath.platform import headers as platform_headers
from dotterelpath.ports import frontend
from standins import http

# Further requests are refused with 503.
MAX_QUEUED = 16
# The pause between two pieces of a body without end, in seconds.
ENDLESS_PAUSE_S = 0.005
# The size of a piece, which is one chunk unless the mode says otherwise, and
# that of one in smaller chunks, in bytes.
ENDLESS_PIECE_BYTES = 65536
SMALL_CHUNKS_BYTES = 16384
# No further piece is written while this many bytes wait to be sent.
MAX_UNSENT_BYTES = 1024 * 1024
# Recorded for each request that has one of them.
IDENTITY_HEADERS = (platform_headers.AUTHORIZATION, platform_headers.TENANT_ID)


class Instance:
    """Instance that signs its responses, with fault modes.

    A request takes as many milliseconds as `work_ms` in its query says, or as
    long as the mode says.

    Modes, set by a JSON body posted to `/_mode`:
        fail: Responds 500 without delay.
        work_s: Sets the duration of a request, in seconds.
        silent: Runs requests and never responds.
        drop: Runs requests and closes the connection without a response.
        cut_head: Sends this many bytes of the response's head and closes the
            connection; of a negative number, all but so many.
        truncate: Sends fewer bytes than the content length.
        late: Sends a response to another request before the right one.
        body_bytes: Makes the body this much longer, in bytes.
        endless: Sends a body without end, until the connection is closed.
        chunk_bytes: The size of the chunks of such a body, in bytes.
        unframed: Sends a response without a content length.
        unsigned: Leaves out the signature.
        limit: Names this limit of requests a second in all responses.
        shed: Refuses requests with 503.
        shed_endless: The same, with a body without end.
        moved: Refuses requests with 421, as if another instance had the
            address.
    """

    __slots__ = ("_id", "_mode", "_record", "_running", "_slots", "_waiting")

    def __init__(self, id: str, slots: int) -> None:
        """Creates an instance.

        Args:
            id: The id of the instance.
            slots: Most requests that run at the same time.
        """
        self._id = id
        self._slots = slots
        self._running = 0
        self._waiting: collections.deque[asyncio.Event] = collections.deque()
        self._mode: dict[str, typing.Any] = {"work_s": 0.005}
        self._record: dict[str, typing.Any] = {
            "runs": collections.Counter(),
            "times": {},
            "identities": {},
            "cancelled": [],
            "last": {},
        }

    async def handle(
        self, request: exchange.Request, connection: frontend.Connection
    ) -> exchange.Response | None:
        """Handles a request, subject to the current mode."""
        if request.path == "/_mode":
            self._mode = {"work_s": 0.005, **orjson.loads(request.body)}
            return http.json_response({})
        if request.path == "/_seen":
            return http.json_response(self._record)
        request_id = _header(request, platform_headers.REQUEST_ID)
        target = _header(request, platform_headers.TARGET_INSTANCE)
        if self._mode.get("moved") or target not in ("", self._id):
            return self._refusal(421, request_id)
        if self._mode.get("shed_endless"):
            await self._send_without_end(
                connection,
                request_id,
                b"503 Full\r\n%b: 1" % platform_headers.NOT_EXECUTED,
            )
        if self._mode.get("shed") or len(self._waiting) >= MAX_QUEUED:
            return self._refusal(503, request_id)
        await self._acquire_slot()
        try:
            return await self._work(request, connection, request_id)
        except asyncio.CancelledError:
            self._record["cancelled"].append(request_id)
            raise
        finally:
            self._release_slot()

    async def _acquire_slot(self) -> None:
        if self._running >= self._slots:
            turn = asyncio.Event()
            self._waiting.append(turn)
            try:
                await turn.wait()
            except asyncio.CancelledError:
                if turn in self._waiting:
                    self._waiting.remove(turn)
                raise
        self._running += 1

    def _release_slot(self) -> None:
        self._running -= 1
        if self._waiting:
            self._waiting.popleft().set()

    async def _work(
        self,
        request: exchange.Request,
        connection: frontend.Connection,
        request_id: str,
    ) -> exchange.Response | None:
        self._record["runs"][request_id] += 1
        self._record["times"][request_id] = time.monotonic()
        identity = [
            (name.decode(), value.decode())
            for name, value in request.headers
            if name in IDENTITY_HEADERS
        ]
        if identity:
            self._record["identities"][request_id] = identity
        self._record["last"] = {
            "method": request.method,
            "target": request.target,
            "headers": {
                name.decode(): value.decode("latin-1")
                for name, value in request.headers
            },
            "body": request.body.decode("latin-1"),
        }
        if self._mode.get("fail"):
            return self._response(request_id, {"failed": self._id}, 500)
        await asyncio.sleep(_work_s(request, self._mode["work_s"]))
        if self._mode.get("silent"):
            await asyncio.sleep(3600.0)
        if self._mode.get("drop"):
            return None
        if self._mode.get("endless"):
            await self._send_without_end(connection, request_id, b"200 OK")
        data = {"instance": self._id, "target": request.target}
        if "body_bytes" in self._mode:
            data["padding"] = "x" * self._mode["body_bytes"]
        return self._respond_in_mode(connection, request_id, data)

    async def _send_without_end(
        self, connection: frontend.Connection, request_id: str, start: bytes
    ) -> None:
        """Sends a response's start, then chunks until it is cancelled."""
        _write_raw(
            connection,
            b"HTTP/1.1 %b\r\nrequest-id: %b\r\n%b: x\r\n"
            b"transfer-encoding: chunked\r\n\r\n"
            % (start, request_id.encode(), platform_headers.SIGNATURE),
        )
        piece = self._endless_piece()
        while True:
            if _unsent_bytes(connection) <= MAX_UNSENT_BYTES:
                _write_raw(connection, piece)
            await asyncio.sleep(ENDLESS_PAUSE_S)

    def _endless_piece(self) -> bytes:
        """Returns what a body without end repeats."""
        size = self._mode.get("chunk_bytes")
        if size is None:
            return _chunk(ENDLESS_PIECE_BYTES)
        chunk = _chunk(size)
        return chunk * (SMALL_CHUNKS_BYTES // len(chunk))

    def _respond_in_mode(
        self,
        connection: frontend.Connection,
        request_id: str,
        data: dict[str, str],
    ) -> exchange.Response | None:
        """Sends the malformed response of a mode, or a valid one."""
        body = orjson.dumps(data)
        head = b"HTTP/1.1 200 OK\r\nrequest-id: %b\r\n%b: x\r\n" % (
            request_id.encode(),
            platform_headers.SIGNATURE,
        )
        if "cut_head" in self._mode:
            head += b"content-length: %d\r\n\r\n" % len(body)
            _write_raw(connection, head[: self._mode["cut_head"]])
            return None
        if self._mode.get("truncate"):
            _write_raw(connection, head + b"content-length: 999\r\n\r\n" + body)
            return None
        if self._mode.get("unframed"):
            _write_raw(connection, head + b"\r\n" + body)
            return None
        if self._mode.get("late"):
            other = head.replace(request_id.encode(), b"another")
            _write_raw(connection, other + b"content-length: 4\r\n\r\nevil")
        return self._response(request_id, data)

    def _response(
        self, request_id: str, data: dict[str, str], status: int = 200
    ) -> exchange.Response:
        fields = [
            (platform_headers.REQUEST_ID, request_id.encode()),
            *self._own_headers(),
        ]
        if not self._mode.get("unsigned"):
            fields.append(
                (platform_headers.SIGNATURE, f"signed-{self._id}".encode())
            )
        return http.json_response(data, status, fields)

    def _refusal(self, status: int, request_id: str) -> exchange.Response:
        fields = [
            (platform_headers.NOT_EXECUTED, b"1"),
            (platform_headers.REQUEST_ID, request_id.encode()),
            *self._own_headers(),
        ]
        return http.json_response({"refused": self._id}, status, fields)

    def _own_headers(self) -> list[tuple[bytes, bytes]]:
        """Returns what the instance says of itself."""
        text = f"{self._running},{len(self._waiting)},{self._slots}"
        headers = [(platform_headers.SERVER_LOAD, text.encode())]
        if "limit" in self._mode:
            limit = str(self._mode["limit"]).encode()
            headers.append((platform_headers.SERVER_LIMIT, limit))
        return headers


def _work_s(request: exchange.Request, usual_s: float) -> float:
    """Returns how long a request takes, in seconds."""
    query = urllib.parse.urlsplit(request.target).query
    work_ms = dict(urllib.parse.parse_qsl(query)).get("work_ms")
    return usual_s if work_ms is None else float(work_ms) / 1000.0


def _chunk(size: int) -> bytes:
    """Encodes a chunk of a body with this many bytes."""
    return b"%x\r\n%b\r\n" % (size, b"x" * size)


def _unsent_bytes(connection: frontend.Connection) -> int:
    return connection._transport.get_write_buffer_size()  # noqa: SLF001


def _write_raw(connection: frontend.Connection, data: bytes) -> None:
    connection._transport.write(data)  # noqa: SLF001


def _header(request: exchange.Request, name: bytes) -> str:
    for key, value in request.headers:
        if key == name:
            return value.decode("latin-1")
    return ""


@click.command()
@click.option("--instance", "instances", multiple=True, required=True)
@click.option("--slots", type=int, default=4)
def main(instances: tuple[str, ...], slots: int) -> None:
    """Runs instances, each given as ID:PORT."""

    async def serve() -> None:
        for instance in instances:
            name, _, port = instance.rpartition(":")
            server = http.Server(Instance(name, slots).handle)
            await server.listen("127.0.0.1", int(port))
        await asyncio.Event().wait()

    uvloop.run(serve())


if __name__ == "__main__":
    main()
