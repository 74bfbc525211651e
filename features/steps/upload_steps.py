"""Steps on uploads: large bodies that must not run twice."""

from __future__ import annotations

import asyncio
import concurrent.futures
import contextlib
import json
import pathlib
import re
import socket
import time

import behave

from dotterelpath.adapters import clock as clock_adapter
from dotterelpath.adapters import h11_backend
from dotterelpath.domain import exchange
from features import environment
from features.steps import gateway_steps
from standins import fleet as fleet_harness
from standins import gateway_fleet

PATH = "/uploads/1"
MIB = 1024 * 1024


class Upload:
    """One upload on a connection of its own."""

    def __init__(self, context, size, deadline_ms=20000, extra=""):
        self.id = f"u{next(gateway_steps._ids):015d}"
        self.raw = gateway_steps.connect(context)
        self.began_s = time.monotonic()
        self.received = b""
        self.took_s = 0.0
        self.raw.sendall(
            (
                f"POST {PATH} HTTP/1.1\r\nHost: {gateway_fleet.HOST}\r\n"
                f"Request-Id: {self.id}\r\nDeadline-Ms: {deadline_ms}\r\n"
                f"Content-Length: {size}\r\n{extra}\r\n"
            ).encode()
        )

    @property
    def status(self):
        """The status of the last response; 0 without a response."""
        found = re.findall(rb"HTTP/1\.1 (\d{3}) ", self.received)
        return int(found[-1]) if found else 0

    def send(self, data):
        """Sends a part of the body, as far as the daemon takes it."""
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            self.raw.sendall(data)

    def read(self):
        """Reads up to the end of the response."""
        with contextlib.suppress(ConnectionResetError):
            self.received += gateway_steps.read_until(self.raw, b"}", 1)
        self.took_s = time.monotonic() - self.began_s
        self.raw.close()
        return self


def stop(node):
    """Stops a daemon."""
    node.process.terminate()
    node.process.wait()


def upload(context, size):
    """Uploads a body of a size."""
    sent = Upload(context, size)
    sent.send(b"x" * size)
    return sent.read()


def held_bytes(context):
    """Returns the bytes of uploads that g1 holds."""
    port = context.fleet.gateways["g1"].metrics_port
    return fleet_harness.status(port)["body_bytes"]


def peak_memory_mb(context):
    """Returns the peak memory of g1, in MB."""
    pid = context.fleet.gateways["g1"].process.pid
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024.0


@behave.given("uploads of up to {size:d} MiB go to deposits")
def step_upload_route(context, size):
    context.fleet.max_body_bytes = size * MIB
    added = gateway_fleet.route("/uploads/", "deposits", route_type="upload")
    context.fleet.configure(*environment.ROUTES, added)
    context.fleet.wait_for_configuration(context.fleet.version)


@behave.given(
    "g1 may use {memory_mb:d} MB of memory and the instances take 1 second"
)
def step_little_memory(context, memory_mb):
    context.fleet.memory_mb = memory_mb
    node = context.fleet.gateways["g1"]
    stop(node)
    # The next scenario starts the daemon again, with the usual memory.
    context.add_cleanup(stop, node)
    context.fleet.start_gateway(node)
    context.fleet.wait_until_ready()
    context.fleet.wait_for_configuration(context.fleet.version)
    context.fleet.wait_for_instances("deposits", 2)
    step_slow(context)


@behave.given("the instances take 1 second")
def step_slow(context):
    for number in (1, 2):
        context.fleet.set_mode(f"i-deposits-{number}", work_s=1.0)
    context.memory_mb = peak_memory_mb(context)


@behave.when("a caller uploads {size:d} bytes")
def step_upload(context, size):
    context.size = size
    context.upload = upload(context, size)


@behave.when("a caller announces an upload of {size:d} bytes and waits")
def step_announce(context, size):
    context.upload = Upload(context, size).read()


@behave.when(
    "a caller announces an upload of {size:d} bytes, expecting 100-continue"
)
def step_expect(context, size):
    sent = Upload(context, size, extra="Expect: 100-continue\r\n")
    sent.received = sent.raw.recv(65536)
    context.is_continued = sent.received.startswith(b"HTTP/1.1 100 ")
    if context.is_continued:
        sent.send(b"x" * size)
    context.upload = sent.read()


@behave.when("a caller uploads a byte each {pause_s:f} seconds")
def step_trickle(context, pause_s):
    sent = Upload(context, 1000)
    sent.raw.settimeout(pause_s)
    while not sent.received:
        sent.send(b"x")
        with contextlib.suppress(TimeoutError):
            sent.received += sent.raw.recv(65536)
    context.upload = sent.read()


@behave.when(
    "a caller with a deadline of 1 second stops in the middle of an upload"
)
def step_stall(context):
    sent = Upload(context, 200000, deadline_ms=1000)
    sent.send(b"x" * 100000)
    context.upload = sent.read()


@behave.when("a caller closes its connection in the middle of an upload")
def step_break_off(context):
    context.upload = Upload(context, 200000)
    context.upload.send(b"x" * 100000)
    fleet_harness.wait_until(
        lambda: held_bytes(context) == 100000, "g1 holds half of the upload"
    )
    context.upload.raw.close()


@behave.when("{count:d} callers upload {size:d} bytes each at once")
def step_upload_many(context, count, size):
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        context.uploads = list(
            pool.map(lambda _: upload(context, size), range(count))
        )


@behave.then("the upload gets the status {status:d}")
def step_status(context, status):
    assert context.upload.status == status, context.upload.received


@behave.then("the upload gets the status {status:d} within {max_s:d} second")
@behave.then("the upload gets the status {status:d} within {max_s:d} seconds")
def step_status_within(context, status, max_s):
    step_status(context, status)
    assert context.upload.took_s < max_s, context.upload.took_s


@behave.then(
    "it is told to continue, and the upload gets the status {status:d}"
)
def step_continued(context, status):
    assert context.is_continued, context.upload.received
    step_status(context, status)


@behave.then(
    "it is not told to continue, and the upload gets the status {status:d}"
)
def step_not_continued(context, status):
    assert not context.is_continued, context.upload.received
    step_status(context, status)


@behave.then("it ran exactly once with all its bytes")
def step_ran_once(context):
    assert context.fleet.count_runs().get(context.upload.id) == 1
    bodies = [
        len(context.fleet.instance_record(f"i-deposits-{n}")["last"]["body"])
        for n in (1, 2)
        if context.fleet.instance_record(f"i-deposits-{n}")["last"]
    ]
    assert context.size in bodies, bodies


@behave.then("it never ran")
def step_never_ran(context):
    assert context.upload.id not in context.fleet.count_runs()


@behave.then("g1 holds no bytes of uploads")
def step_nothing_held(context):
    fleet_harness.wait_until(
        lambda: held_bytes(context) == 0, "g1 has released all bodies"
    )


@behave.then(
    "some get the status 200 and the others 503 with a retry-after header"
)
def step_some_refused(context):
    statuses = {sent.status for sent in context.uploads}
    assert statuses == {200, 503}, statuses
    for sent in context.uploads:
        assert sent.status == 200 or b"retry-after" in sent.received


@behave.then("all of them are answered with the status {status:d}")
def step_all_answered(context, status):
    statuses = [sent.status for sent in context.uploads]
    assert set(statuses) == {status}, statuses


@behave.then("the peak memory of g1 grew by less than {limit_mb:d} MB")
def step_peak_memory(context, limit_mb):
    grown_mb = peak_memory_mb(context) - context.memory_mb
    assert grown_mb < limit_mb, grown_mb


class _Listener:
    """Keeps the first response of a connection."""

    def __init__(self, future):
        self.future = future
        self.is_closed = False

    def on_response(self, connection, attempt_id, response, is_complete):
        self.future.set_result((connection, response))


@behave.when("a server answers an upload of {size:d} bytes after its head")
def step_early_answer(context, size):
    answer = json.dumps({"early": True}).encode()
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        asyncio.Runner() as run,
    ):

        async def send():
            loop = asyncio.get_running_loop()
            listener = _Listener(loop.create_future())
            connector = h11_backend.H11Connector(clock_adapter.SystemClock())
            host, port = server.getsockname()
            connection = await connector.connect(host, port, listener)
            accepted, _ = server.accept()
            request = exchange.Request("POST", "/", [], b"x" * size)
            connection.send(1, request, 5.0, MIB)
            accepted.recv(1000)
            accepted.sendall(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b"
                % (len(answer), answer)
            )
            context.answered = await asyncio.wait_for(listener.future, 5.0)
            context.is_reusable = connection.is_reusable
            accepted.close()

        run.run(send())
    context.answer = answer


@behave.then("the answer is delivered, and the connection is closed")
def step_early_delivered(context):
    _, response = context.answered
    assert response.body == context.answer
    assert not context.is_reusable
