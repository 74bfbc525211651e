"""Steps on complete, truncated, late and mismatched responses."""

from __future__ import annotations

import asyncio
import concurrent.futures
import re
import select
import socket
import time

import behave

from dotterelpath.adapters import clock as clock_adapter
from dotterelpath.adapters import h11_backend
from dotterelpath.domain import exchange
from features.support import calls
from standins import fleet as fleet_harness

NORMAL_MODE = {
    "truncate": False,
    "extra": False,
    "closing": False,
    "work_s": 0.005,
    "fixed": False,
    "part_s": 0.01,
}


def set_mode(context, **mode):
    for name in context.fleet.backends:
        if "catalogue" in name:
            context.fleet.set_mode(name, **mode)


def connect(context, node):
    address = ("127.0.0.1", context.fleet.nodes[node].port)
    return socket.create_connection(address, timeout=20)


def read_all(sock, pause_s=0.0):
    received = b""
    while data := sock.recv(262144):
        received += data
        time.sleep(pause_s)
        if received.endswith(b"0\r\n\r\n"):
            break
    return received


def decode_chunked(received):
    """Returns the body of a chunked response and whether it is complete."""
    rest = received.partition(b"\r\n\r\n")[2]
    body = b""
    while match := re.match(rb"([0-9a-f]+)\r\n", rest):
        size = int(match.group(1), 16)
        if size == 0:
            return body, True
        start = match.end()
        body += rest[start : start + size]
        rest = rest[start + size + 2 :]
    return body, False


def send_with_markers(context, count, node, **headers):
    port = context.fleet.nodes[node].port
    fields = {n.replace("_", "-"): str(v) for n, v in headers.items()}

    def send(number):
        marker = f"mark-{number}"
        response = fleet_harness.call(
            port,
            "GET",
            f"/catalogue/{marker}",
            b"",
            {"x-echo": marker, **fields},
        )
        return marker, response

    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        context.marked_responses = list(pool.map(send, range(count)))


@behave.given("the catalogue servers respond normally")
def step_normal(context):
    context.add_cleanup(set_mode, context, **NORMAL_MODE)
    set_mode(context, **NORMAL_MODE)


@behave.given("the catalogue servers truncate their responses")
def step_truncate(context):
    set_mode(context, truncate=True)


@behave.given("the catalogue servers break off long responses")
def step_break_off(context):
    set_mode(context, cut_long=True)
    context.add_cleanup(set_mode, context, cut_long=False)


@behave.given("the catalogue servers send extra bytes after each response")
def step_extra(context):
    set_mode(context, extra=True)


@behave.given(
    "the catalogue servers send extra bytes {ms:d} ms after each response"
)
def step_late_extra(context, ms):
    set_mode(context, extra=True, extra_after_s=ms / 1000.0)
    context.add_cleanup(set_mode, context, extra=False, extra_after_s=0.0)


@behave.given("the catalogue servers end responses by closing the connection")
def step_closing(context):
    set_mode(context, closing=True)


@behave.given("the catalogue servers take {ms:d} ms per request")
def step_slow(context, ms):
    set_mode(context, work_s=ms / 1000.0, fixed=True)


@behave.when("the catalogue servers respond normally again")
def step_normal_again(context):
    set_mode(context, **NORMAL_MODE)


@behave.when("{count:d} callers each send a GET with a unique marker to {node}")
def step_unique_markers(context, count, node):
    send_with_markers(context, count, node)


@behave.when(
    "{count:d} callers with a deadline of {ms:d} ms send unique markers to"
    " {node}"
)
def step_unique_markers_deadline(context, count, ms, node):
    send_with_markers(context, count, node, dotterelpath_timeout_ms=ms)


@behave.then(
    "each receives the response with its own marker or an error with a code"
)
def step_own_marker(context):
    served = 0
    for marker, response in context.marked_responses:
        if response.result == 1000:
            served += 1
            assert response.json()["echo"] == marker, (
                f"expected the marker {marker}: {response.body}"
            )
        else:
            assert response.json()["code"] == response.result
    assert served, f"none of {len(context.marked_responses)} was served"


@behave.then("the body has {size:d} bytes")
def step_body_size(context, size):
    assert len(context.response.body) == size, len(context.response.body)


@behave.when("a caller reads GET {path} from {node}")
def step_read_raw(context, path, node):
    with connect(context, node) as sock:
        sock.sendall(f"GET {path} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
        context.received = read_all(sock)


@behave.when("a caller slowly reads GET {path} from {node}")
def step_read_slowly(context, path, node):
    with connect(context, node) as sock:
        sock.sendall(f"GET {path} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
        time.sleep(0.5)
        context.received = read_all(sock, 0.01)


@behave.then("the raw response has no last chunk")
def step_no_last_chunk(context):
    assert context.received.startswith(b"HTTP/1.1 200"), context.received[:99]
    body, is_complete = decode_chunked(context.received)
    assert body and not is_complete, (len(body), is_complete)


@behave.then("the raw response has {size:d} bytes of body and a last chunk")
def step_raw_complete(context, size):
    body, is_complete = decode_chunked(context.received)
    assert is_complete and len(body) == size, (len(body), is_complete)


@behave.when("a caller pipelines {count:d} requests with markers to {node}")
def step_pipeline(context, count, node):
    context.count = count
    requests = b"".join(
        b"GET /catalogue/p%d HTTP/1.1\r\nhost: x\r\nx-echo: p%d\r\n\r\n"
        % (n, n)
        for n in range(count)
    )
    with connect(context, node) as sock:
        sock.sendall(requests)
        received = b""
        while received.count(b'"echo":') < count:
            data = sock.recv(65536)
            assert data, received
            received += data
    context.received = received


@behave.when(
    "a caller pipelines {count:d} requests with a bad header to {node}"
)
def step_pipeline_invalid(context, count, node):
    text = b"GET / HTTP/1.1\r\nhost: x\r\ndotterelpath-attempt: 0\r\n\r\n"
    with connect(context, node) as sock:
        sock.sendall(text * count)
        received = b""
        while received.count(b'"code":2015') < count:
            data = sock.recv(262144)
            if not data:
                break
            received += data
    context.received = received


@behave.then("{count:d} error responses with a code are received")
def step_errors_received(context, count):
    found = context.received.count(b'"code":2015')
    assert found == count, f"expected {count} errors, got {found}"


@behave.then("the responses come in the order of the markers")
def step_in_order(context):
    found = re.findall(rb'"echo":"p(\d+)"', context.received)
    assert [int(n) for n in found] == list(range(context.count)), found


@behave.when("{count:d} callers send a request to {node} and close")
def step_send_and_close(context, count, node):
    for number in range(count):
        with connect(context, node) as sock:
            sock.sendall(
                b"GET /catalogue/gone%d HTTP/1.1\r\nhost: x\r\n\r\n" % number
            )


@behave.then("the servers have cancelled requests")
def step_cancelled(context):
    ports = context.fleet.backends.values()
    served = [
        fleet_harness.call(port, "GET", "/_runs").json()["served"]
        for port in ports
    ]
    assert sum(counts.get("cancelled", 0) for counts in served), (
        f"no server cancelled a request: {served}"
    )


@behave.given("a connection on which the server has answered one request")
def step_one_response(context):
    server_socket = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(server_socket.close)
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.first_response = context.loop.create_future()
    context.connection = context.loop.run_until_complete(
        h11_backend.H11Connector(clock_adapter.SystemClock()).connect(
            *server_socket.getsockname(),
            _ResponseListener(context.first_response),
        )
    )
    context.server, _ = server_socket.accept()
    request = exchange.Request("GET", "/", [], request_id="r1")
    context.connection.send(1, request, 1.0, 1000)
    context.server.sendall(
        b"HTTP/1.1 200 OK\r\ndotterelpath-request-id: r1\r\n"
        b"content-length: 2\r\n\r\nok"
    )
    response = context.loop.run_until_complete(context.first_response)
    assert response.body == b"ok" and context.connection.is_reusable


@behave.when("the server sends more bytes that the daemon has not read yet")
def step_more_bytes(context):
    context.server.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nevil")
    received = context.connection._transport.get_extra_info("socket")
    select.select([received], [], [])


@behave.then("the connection is not reusable")
def step_not_reusable(context):
    assert not context.connection.is_reusable, "expected not reusable"
    context.server.close()


class _ResponseListener:
    """Passes the first response of a connection to a future."""

    __slots__ = ("_future",)

    def __init__(self, future):
        self._future = future

    def on_response(self, connection, attempt_id, response, is_complete):
        self._future.set_result(response)

    def on_closed(self, connection):
        pass


@behave.then("{node} has no requests in flight")
def step_nothing_in_flight(context, node):
    control = context.fleet.nodes[node].control_port

    def is_idle():
        status = fleet_harness.status(control)
        services = status["services"].values()
        return not status["in_flight"] and not any(
            service["in_flight"] or service["queued"] for service in services
        )

    fleet_harness.wait_until(is_idle, f"{node} has nothing in flight")
    assert calls.send(context, node, "GET", "/catalogue/after").result == 1000
