"""Steps on a planned stop with a caller that pipelines requests."""

from __future__ import annotations

import re
import socket
import threading
import time

import behave

from standins import fleet as fleet_harness
from standins import gateway_fleet

PAUSE_S = 0.1
# The time before the daemon is stopped, in seconds.
WARM_UP_S = 0.5


@behave.given("instances of presses that take {work_ms:d} ms")
def step_slow_presses(context, work_ms):
    for instance_id in context.fleet.instances:
        if "-presses-" in instance_id:
            context.fleet.set_mode(instance_id, work_s=work_ms / 1000.0)


def read_all(raw, received):
    """Reads until the connection ends."""
    try:
        while data := raw.recv(65536):
            received.append(data)
    except OSError:
        return


@behave.when(
    "a caller pipelines a request each 100 ms while its daemon shuts down"
)
def step_pipeline(context):
    node = context.fleet.gateways["g4"]
    received = []
    sent = 0
    with socket.create_connection(("127.0.0.1", node.caller_port), 5) as raw:
        reader = threading.Thread(target=read_all, args=(raw, received))
        reader.start()
        began_s = time.monotonic()
        is_stopping = False
        while reader.is_alive():
            request = (
                f"GET /presses/{sent} HTTP/1.1\r\nHost: {gateway_fleet.HOST}"
                f"\r\nRequest-Id: pipelined-{sent}\r\nDeadline-Ms: 4000\r\n\r\n"
            )
            try:
                raw.sendall(request.encode())
            except OSError:
                break
            sent += 1
            time.sleep(PAUSE_S)
            if not is_stopping and time.monotonic() > began_s + WARM_UP_S:
                is_stopping = True
                context.fleet.terminate(node)
        reader.join(10)
    context.received = b"".join(received)
    fleet_harness.wait_until(
        lambda: node.process.poll() is not None, "the daemon has ended"
    )


def answered(context):
    """Returns the ids of the requests that were answered with 200."""
    heads = re.findall(
        rb"HTTP/1.1 200 .*?\r\n\r\n\{", context.received, re.DOTALL
    )
    return [
        re.search(rb"request-id: (\S+)\r\n", head, re.IGNORECASE)
        .group(1)
        .decode()
        for head in heads
    ]


@behave.given(
    "a caller that pipelines a request of {seconds:d} seconds and {count:d}"
    " short ones"
)
def step_pipeline_behind_long(context, seconds, count):
    route = gateway_fleet.route("/presses/", "presses", timeout_s=20)
    context.fleet.configure(route)
    context.fleet.wait_for_configuration(context.fleet.version)
    node = context.fleet.gateways["g4"]
    context.raw = socket.create_connection(("127.0.0.1", node.caller_port), 5)
    context.add_cleanup(context.raw.close)
    durations_ms = [seconds * 1000] + [10] * count
    for number, work_ms in enumerate(durations_ms):
        request = (
            f"GET /presses/{number}?work_ms={work_ms} HTTP/1.1\r\n"
            f"Host: {gateway_fleet.HOST}\r\nRequest-Id: behind-{number}\r\n"
            "Deadline-Ms: 20000\r\n\r\n"
        )
        context.raw.sendall(request.encode())
    time.sleep(WARM_UP_S)


@behave.when("their daemon shuts down")
def step_shut_down(context):
    node = context.fleet.gateways["g4"]
    context.fleet.terminate(node)
    context.raw.settimeout(gateway_fleet.BOUNDS["grace_s"] + 2.0)
    received = []
    read_all(context.raw, received)
    context.received = b"".join(received)
    fleet_harness.wait_until(
        lambda: node.process.poll() is not None, "the daemon has ended"
    )


@behave.then(
    "the short ones were answered with 200, behind a 504 for the first"
)
def step_answers_behind(context):
    statuses = re.findall(rb"HTTP/1.1 (\d+) ", context.received)
    assert statuses == [b"504", b"200", b"200", b"200"], context.received


@behave.then("each request that an instance ran was answered")
def step_all_answered(context):
    ran = {r for r in context.fleet.count_runs() if r.startswith("pipelined-")}
    assert len(ran) > 10, ran
    missing = ran - set(answered(context))
    assert not missing, sorted(missing)


@behave.then("the last response announced the end of the connection")
def step_last_closes(context):
    last = context.received.rpartition(b"HTTP/1.1 ")[2]
    assert b"connection: close" in last.lower(), last
