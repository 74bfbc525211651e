"""Steps on servers that send bytes that are no answer to the request."""

from __future__ import annotations

import asyncio
import gc
import socket
import threading
import tracemalloc

import behave

from dotterelpath import gateway_daemon
from dotterelpath.adapters import clock as clock_adapter
from dotterelpath.adapters import h11_backend
from dotterelpath.adapters import http_client
from dotterelpath.adapters import native_server_codec
from dotterelpath.domain import caller_memory
from dotterelpath.domain import exchange
from dotterelpath.platform import server_codec

CODECS = {
    "platform": (server_codec.ServerCodec, b"request-id"),
    "fleet": (
        native_server_codec.NativeServerCodec,
        b"dotterelpath-request-id",
    ),
}
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\ndotterelpath-request-id: r1\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
# The start of what a server sends, and what it repeats.
ENDLESS = {
    "a status line": (b"HTTP/1.1 200 ", b"x"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
    "one header": (b"HTTP/1.1 200 OK\r\nx: ", b"y"),
    "informational responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a chunk size": (CHUNKED, b"0"),
    "a chunk extension": (CHUNKED + b"1;", b"x"),
    "trailers": (CHUNKED + b"0\r\n", b"x: y\r\n"),
}
MAX_BYTES = 1_000_000
PIECE_BYTES = 10_000


class Listener:
    """Keeps the results of a connection's attempts."""

    def __init__(self):
        self.results = asyncio.Queue()
        self.closed = asyncio.Event()
        self.part_count = 0
        self.part_bytes = 0

    def on_response(self, connection, attempt_id, response, is_complete):
        self.part_bytes += len(response.body)
        self.results.put_nowait(response)

    def on_request_failed(self, connection, attempt_id, detail, is_protocol):
        self.results.put_nowait(detail)

    def on_body_chunk(self, attempt_id, data):
        self.part_count += 1
        self.part_bytes += len(data)

    def on_closed(self, connection):
        self.closed.set()


class CountingClock(clock_adapter.SystemClock):
    """A clock that counts how often it is read."""

    def __init__(self):
        self.count = 0

    def now_s(self):
        self.count += 1
        return super().now_s()


class Server:
    """A server whose bytes the test writes, with a connection to it."""

    def __init__(self, context, interface="fleet"):
        codec, self.id_header = CODECS[interface]
        self.memory = caller_memory.CallerMemory()
        self.clock = CountingClock()
        self.runner = asyncio.Runner()
        context.add_cleanup(self.runner.close)
        listening = socket.create_server(("127.0.0.1", 0))
        self.listener = self.run(self.new_listener())
        self.connection = self.run(
            h11_backend.H11Connector(
                self.clock, codec(), memory=self.memory
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

    def request(self, number, max_buffered_bytes=1000):
        """Writes a request whose id is made of a number."""

        async def send():
            headers = [(b"host", b"x")]
            request = exchange.Request(
                "GET", "/", headers, request_id=f"r{number}"
            )
            self.connection.send(number, request, 5.0, max_buffered_bytes)

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


@behave.when(
    "a request is written, and a response with the status {status} comes"
)
def step_status(context, status):
    server = context.server
    server.request(1)
    response = server.response(1, b"first\r\n\r\n")
    server.accepted.sendall(
        response.replace(b" 200 ", b" %b " % status.encode())
    )
    context.result = server.result()


@behave.then("the request gets no answer, and the connection is closed")
def step_no_answer(context):
    # A failed attempt has a text that says why, a response is an object.
    assert isinstance(context.result, str), context.result.status
    assert not context.server.connection.is_reusable


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


def send_until(context, start, repeated, is_ended, max_bytes):
    """Lets the server send until something ends, or for too many bytes."""
    server = context.server
    context.sent = 0
    piece = start + repeated * (PIECE_BYTES // len(repeated))

    async def read():
        await asyncio.sleep(0.01)

    while not is_ended():
        assert context.sent < max_bytes, context.sent
        try:
            context.sent += server.accepted.send(piece)
        except OSError:
            break
        piece = repeated * (PIECE_BYTES // len(repeated))
        server.run(read())


@behave.when("a server of the {interface} sends {kind} without end")
def step_endless(context, interface, kind):
    start, repeated = ENDLESS[kind]
    context.server = Server(context, interface)
    context.server.request(1)
    has_result = context.server.listener.results.qsize
    send_until(context, start, repeated, has_result, MAX_BYTES)


@behave.then("the attempt fails after at most 1 MB and holds no memory")
@behave.then("the attempt fails after at most 2 MB and holds no memory")
def step_endless_ended(context):
    assert isinstance(context.server.result(), str)
    assert not context.server.connection.is_reusable
    assert not context.server.memory.read_ahead_bytes


@behave.when("the next request is written, and then {copies} without end")
def step_endless_copies(context, copies):
    server = context.server
    server.request(1)
    server.accepted.sendall(server.response(1, b"first"))
    assert server.result().body == b"first"
    server.request(2)
    start, repeated = b"", server.response(1, b"first" * 100)
    if copies.startswith("a copy"):
        start, repeated = CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n"
    has_result = server.listener.results.qsize
    send_until(context, start, repeated, has_result, 2 * MAX_BYTES)


@behave.when("the server sends bytes without end {when}")
def step_endless_bytes(context, when):
    server = context.server
    server.request(1)
    start = server.response(1, b"first")
    if when == "while no request is open":
        server.accepted.sendall(start)
        assert server.result().body == b"first"
        start = b""
    closed = server.listener.closed
    send_until(context, start, b"x", closed.is_set, MAX_BYTES)


@behave.then("the connection is closed after at most 1 MB and holds no memory")
def step_closed(context):
    assert not context.server.connection.is_reusable
    assert not context.server.memory.read_ahead_bytes


@behave.when(
    "a server of the {interface} sends {size:d} bytes in chunks of 2 bytes"
)
def step_small_chunks(context, interface, size):
    context.body_bytes = size
    context.server = Server(context, interface)
    gc.collect()
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    context.server.request(1, max_buffered_bytes=2 * size)
    context.server.accepted.settimeout(10.0)
    before, _ = tracemalloc.get_traced_memory()
    send_all(context.server, CHUNKED + b"2\r\nxy\r\n" * (size // 2))
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    context.held_bytes = after - before


def send_all(server, data):
    """Sends bytes, and lets the connection read them."""

    async def read():
        while server.memory.read_ahead_bytes < data.count(b"xy") * 2:
            await asyncio.sleep(0.005)
            if server.listener.part_bytes >= data.count(b"xy") * 2:
                return

    writer = threading.Thread(target=server.accepted.sendall, args=(data,))
    writer.start()
    server.run(asyncio.wait_for(read(), 30.0))
    writer.join()


@behave.then("the attempt holds at most twice these bytes")
def step_held(context):
    assert context.held_bytes <= 2 * context.body_bytes, context.held_bytes


@behave.then(
    "a body that is passed on in parts comes in at most one part a read"
)
def step_parts(context):
    tracemalloc.stop()
    server = Server(context)
    server.request(1, max_buffered_bytes=1000)
    send_all(server, CHUNKED + b"2\r\nxy\r\n" * (context.body_bytes // 2))
    # The connection reads the clock once for each read.
    assert 0 < server.listener.part_count <= server.clock.count, (
        server.listener.part_count,
        server.clock.count,
    )


@behave.given("a daemon on a VM with {size_mb:d} MB of memory")
def step_small_vm(context, size_mb):
    context.max_response_bytes = gateway_daemon.max_response_bytes(
        size_mb * 1e6
    )


@behave.when("the store, or another daemon, answers a call without end")
def step_endless_answer(context):
    context.sent = 0

    async def serve(reader, writer):
        await reader.read(1000)
        writer.write(CHUNKED)
        try:
            while True:
                writer.write(b"10000\r\n" + b"x" * 65536 + b"\r\n")
                await writer.drain()
                context.sent += 65536
        except OSError:
            return

    async def call():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = http_client.HttpClient(
            clock_adapter.SystemClock(), context.max_response_bytes
        )
        request = http_client.build_get("/v1/watch")
        try:
            await client.call("127.0.0.1", port, request, 30.0)
        except http_client.NoResponseError as error:
            return str(error)
        finally:
            server.close()
        return None

    context.error = asyncio.run(call())


@behave.then(
    "the call fails, and at most {size_mb:d} MB of the answer were held"
)
def step_answer_bounded(context, size_mb):
    assert context.error is not None and "longer than" in context.error
    assert context.max_response_bytes <= size_mb * 1e6
    # What is in the sockets' buffers was sent too.
    assert context.sent <= context.max_response_bytes + 8e6, context.sent
