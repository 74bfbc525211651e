"""Steps that send single requests to daemons."""

from __future__ import annotations

import socket

import behave

from features.support import calls
from standins import fleet as fleet_harness

INVALID_REQUESTS = {
    "malformed request line": b"NONSENSE\r\n\r\n",
    "malformed header line": (
        b"GET / HTTP/1.1\r\nhost: x\r\nno colon here\r\n\r\n"
    ),
    "head over the limit": b"GET / HTTP/1.1\r\nx: " + b"y" * 70000 + b"\r\n",
    "body over the limit": (
        b"POST /bookings HTTP/1.1\r\nhost: x\r\ncontent-length: 2000000\r\n\r\n"
        + b"z" * 1100000
    ),
    "malformed timeout": (
        b"GET /bookings HTTP/1.1\r\nhost: x\r\n"
        b"dotterelpath-timeout-ms: soon\r\n\r\n"
    ),
    "duplicate key": (
        b"POST /bookings HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n"
        b"idempotency-key: a\r\nidempotency-key: b\r\n\r\n"
    ),
    "malformed key": (
        b"POST /bookings HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n"
        b"idempotency-key: dk1.x.y\r\n\r\n"
    ),
    "malformed chunk": (
        b"POST /bookings HTTP/1.1\r\nhost: x\r\n"
        b"transfer-encoding: chunked\r\n\r\nnot-a-size\r\n"
    ),
}


@behave.when("a caller sends {method} {path} to {node}")
def step_send(context, method, path, node):
    calls.send(context, node, method, path)


@behave.when("a caller of workspace {name} sends GET {path} to {node}")
def step_send_workspace(context, name, path, node):
    calls.send(context, node, "GET", path, dotterelpath_workspace=name)


@behave.then("the result is {code:d} with status {status:d}")
def step_result(context, code, status):
    response = context.response
    assert response.result == code, (response.headers, response.body)
    assert response.status == status, response.status


@behave.then("the response names the path {path}")
def step_names_path(context, path):
    assert context.response.json()["target"] == path, context.response.body


@behave.then('the error class is "{outcome}"')
def step_error_class(context, outcome):
    assert context.response.json()["class"] == outcome, context.response.body


@behave.when("a caller sends an invalid request with a {kind}")
def step_send_invalid(context, kind):
    port = context.fleet.nodes["entry-1"].port
    with socket.create_connection(("127.0.0.1", port), timeout=10) as sock:
        sock.sendall(INVALID_REQUESTS[kind])
        received = b""
        while b"}" not in received:
            data = sock.recv(65536)
            if not data:
                break
            received += data
    context.received = received


@behave.then("the raw response has status {status:d} and result {code:d}")
def step_raw_response(context, status, code):
    received = context.received
    assert received.startswith(b"HTTP/1.1 %d " % status), received
    assert b"dotterelpath-result: %d\r\n" % code in received, received


@behave.then("{node} still serves requests")
def step_still_serves(context, node):
    assert calls.send(context, node, "GET", "/catalogue/x").result == 1000


@behave.when("a caller asks {node} for the addresses of {service}")
def step_addresses(context, node, service):
    calls.send(
        context, node, "GET", f"/-/addresses?service={service}&workspace=w"
    )


@behave.then(
    "{count:d} addresses are listed and the first is in data centre {name}"
)
def step_addresses_listed(context, count, name):
    listed = context.response.json()["addresses"]
    assert len(listed) == count, listed
    assert listed[0]["data_centre"] == name, listed


@behave.then("the key prefix is issued by the first daemon")
def step_prefix_of_first(context):
    response = context.response.json()
    port = response["addresses"][0]["port"]
    first = [n.id for n in context.fleet.nodes.values() if n.port == port]
    prefix = response["key_prefix"]
    assert prefix.startswith(f"dk1.{first[0]}."), prefix


@behave.then("the metrics of {node} have a histogram with {label} {value}")
def step_histogram(context, node, label, value):
    control = context.fleet.nodes[node].control_port
    text = fleet_harness.call(control, "GET", "/metrics").body.decode()
    lines = [line for line in text.splitlines() if "_bucket{" in line]
    assert any(f'{label}="{value}"' in line for line in lines), text[:2000]
