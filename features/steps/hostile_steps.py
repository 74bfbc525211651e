"""Steps on servers that send bytes that are no answer to the request."""

from __future__ import annotations

import asyncio
import socket

import behave

from dotterelpath.adapters import clock as clock_adapter
from dotterelpath.adapters import h11_backend
from dotterelpath.adapters import native_server_codec
from dotterelpath.domain import exchange
from dotterelpath.platform import server_codec

CODECS = {
    "platform": (server_codec.ServerCodec, b"request-id"),
    "fleet": (
        native_server_codec.NativeServerCodec,
        b"dotterelpath-request-id",
    ),
}
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
# The start of what a server sends, and what it repeats.
ENDLESS = {
    "a status line": (b"HTTP/1.1 200 ", b"x"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
    "one header": (b"HTTP/1.1 200 OK\r\nx: ", b"y"),
    "informational responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a chunk extension": (CHUNKED + b"1;", b"x"),
    "trailers": (CHUNKED + b"0\r\n", b"x: y\r\n"),
}
MAX_BYTES = 1_000_000
PIECE_BYTES = 10_000


class Listener:
    """Keeps the results of a connection's attempts."""

    def __init__(self):
        self.results = asyncio.Queue()

    def on_response(self, connection, attempt_id, response, is_complete):
        self.results.put_nowait(response)

    def on_request_failed(self, connection, attempt_id, detail, is_protocol):
        self.results.put_nowait(detail)

    def on_closed(self, connection):
        pass


class Server:
    """A server whose bytes the test writes, with a connection to it."""

    def __init__(self, context, interface="fleet"):
        codec, self.id_header = CODECS[interface]
        self.runner = asyncio.Runner()
        context.add_cleanup(self.runner.close)
        listening = socket.create_server(("127.0.0.1", 0))
        self.listener = self.run(self.new_listener())
        self.connection = self.run(
            h11_backend.H11Connector(
                clock_adapter.SystemClock(), codec()
            ).connect(*listening.getsockname(), self.listener)
        )
        self.accepted, _ = listening.accept()
        self.accepted.settimeout(1.0)
        listening.close()
        context.add_cleanup(self.accepted.close)

    async def new_listener(self):
        return Listener()

    def run(self, coroutine):
        """Runs a coroutine in the loop of the connection."""
        return self.runner.run(coroutine)

    def request(self, number):
        """Writes a request whose id is made of a number."""

        async def send():
            headers = [(b"host", b"x")]
            request = exchange.Request(
                "GET", "/", headers, request_id=f"r{number}"
            )
            self.connection.send(number, request, 5.0, 1000)

        self.run(send())
        self.accepted.recv(65536)

    def response(self, number, body, status=200, is_named=True):
        """Encodes a response to a request."""
        head = b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n" % (status, len(body))
        if status == 503:
            head += b"not-executed: 1\r\nx-not-run: 1\r\n"
        if is_named:
            head += b"%b: r%d\r\n" % (self.id_header, number)
        return head + b"\r\n" + body

    def result(self):
        """Waits for the result of the request in flight."""

        async def wait():
            return await asyncio.wait_for(self.listener.results.get(), 2.0)

        return self.run(wait())


@behave.given("a kept connection to a server of the {interface}")
def step_kept(context, interface):
    context.server = Server(context, interface)


@behave.when(
    "the next request is written, and then a copy of the earlier {response}"
    " comes {how}"
)
def step_late_copy(context, response, how):
    server = context.server
    status = 503 if response == "refusal" else 200
    server.request(1)
    server.accepted.sendall(server.response(1, b"first", status))
    assert server.result().body == b"first"
    assert server.connection.is_reusable
    server.request(2)
    is_named = how == "with its id"
    copy = server.response(1, b"first", status, is_named)
    server.accepted.sendall(copy + server.response(2, b"second"))
    context.result = server.result()


@behave.then("the next request gets its own answer")
def step_own_answer(context):
    assert context.result.body == b"second", context.result


@behave.then("the next request fails with an unknown outcome")
def step_unknown(context):
    assert context.result == "the response names no request", context.result


@behave.given("a connection to a server that names no request in its answer")
def step_unnamed(context):
    context.server = Server(context)
    context.server.request(1)
    context.server.accepted.sendall(
        context.server.response(1, b"first", is_named=False)
    )
    assert context.server.result().body == b"first"


@behave.then("the connection is not kept")
def step_not_kept(context):
    assert not context.server.connection.is_reusable


@behave.when("a server sends {kind} without end")
def step_endless(context, kind):
    start, repeated = ENDLESS[kind]
    context.server = Server(context)
    context.server.request(1)
    context.sent = 0
    piece = start + repeated * (PIECE_BYTES // len(repeated))

    async def read():
        await asyncio.sleep(0.01)

    while context.server.listener.results.empty():
        assert context.sent < MAX_BYTES, context.sent
        try:
            context.sent += context.server.accepted.send(piece)
        except OSError:
            break
        piece = repeated * (PIECE_BYTES // len(repeated))
        context.server.run(read())


@behave.then("the attempt fails after at most 1 MB and holds no memory")
def step_endless_ended(context):
    assert isinstance(context.server.result(), str)
    assert not context.server.connection.is_reusable
