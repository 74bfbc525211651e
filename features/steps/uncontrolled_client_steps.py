"""Steps with clients that nobody controls."""

from __future__ import annotations

import os
import re
import threading
import time
from unittest import mock

import behave

from features.steps import gateway_steps
from features.support import crowd
from standins import fleet as fleet_harness
from standins import gateway_fleet

HOST = gateway_fleet.HOST
# How long clients read slowly, in seconds, and the bytes at a time.
SLOW_READ_S = 6.0
SLOW_READ_BYTES = 2048
# The pause of a client that then reads all its responses, in seconds.
PAUSE_S = 1.5
MIB = 1024 * 1024


def encode(
    path, method="GET", host=HOST, extra="", id_line="Request-Id: r1\r\n"
):
    """Encodes a request of the crowd."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{id_line}"
        f"Deadline-Ms: 4000\r\n{extra}\r\n"
    ).encode()


TARGETS = {
    "a path without route": encode("/nowhere"),
    "HEAD": encode("/nowhere", method="HEAD"),
    "another host": encode("/presses/1", host="other.example"),
    "uploads without a key": encode("/uploads/1"),
    "no request id": encode("/presses/1", id_line=""),
    "presses": encode("/presses/1"),
    "readiness": encode("/v1/ready"),
    "an unknown path": encode("/unknown"),
    "addresses": encode(f"/v1/resolve?name={HOST}&zone=a&region=r"),
    "an unknown host": encode("/v1/resolve?name=other.example&zone=a"),
    "metrics": encode("/metrics"),
    "status": encode("/status"),
}
FLEET_TARGETS = {
    "a path without route": encode("/nowhere"),
    "addresses": encode("/-/addresses?service=bookings&workspace=w"),
    "an unknown path": encode("/unknown"),
    "status": encode("/status"),
}
# What a client sends, and how often.
INPUTS = {
    "incomplete heads": (
        b"GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + b"x" * 15000,
        1,
    ),
    "slow bodies": (
        encode("/uploads/1", "POST", extra=f"Content-Length: {4 * MIB}\r\n")
        + b"x" * 3 * MIB,
        1,
    ),
    "too long bodies": (
        encode("/uploads/1", "POST", extra="Content-Length: 90000000\r\n")
        + b"x" * 3 * MIB,
        1,
    ),
    "too long heads": (
        b"GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + b"x" * 3 * MIB,
        1,
    ),
    "malformed requests": (b"x y z\r\n\r\n", 100000),
}


def port_of(node, address):
    """Returns a port of a daemon by its name in the feature."""
    return getattr(node, "port" if address == "own" else f"{address}_port")


def gather(context, node, port, count, request, each):
    """Starts a crowd that is closed at the end of the scenario."""
    context.node = node
    context.watch = crowd.Watch(node.process)
    context.crowd = crowd.Crowd(port, count, request, each)
    context.add_cleanup(context.crowd.leave)
    return context.crowd


def stop(node):
    """Ends a daemon, whatever it does."""
    node.process.kill()
    node.process.wait()


def print_use(context, when):
    """Prints what the process uses, for the report."""
    watch = context.watch
    if watch.is_alive:
        print(
            f"{when}: {watch.memory_mb('VmRSS'):.0f} MB,"
            f" peak {watch.memory_mb():.0f} MB,"
            f" {watch.count_descriptors()} descriptors"
        )


@behave.given(
    "g1 may use {memory_mb:d} MB of memory and {max_fds:d} descriptors"
)
def step_limits(context, memory_mb, max_fds):
    fleet = context.fleet
    fleet.memory_mb = memory_mb
    fleet.max_fds = max_fds
    fleet.max_body_bytes = 4 * MIB
    context.bounds = (memory_mb, max_fds)
    uploads = gateway_fleet.route("/uploads/", "deposits", route_type="upload")
    fleet.configure(gateway_fleet.route("/presses/", "presses"), uploads)
    node = fleet.gateways["g1"]
    stop(node)
    fleet.start_gateway(node)
    # The next scenario starts the daemon again, with the usual limits.
    context.add_cleanup(stop, node)
    fleet_harness.wait_for_port(node.caller_port)
    fleet.wait_until_ready()
    fleet.wait_for_configuration(fleet.version)
    fleet.wait_for_instances("presses", 3)
    context.watch = crowd.Watch(node.process)
    print_use(context, "before")


@behave.given("uploads need the key of a tenant, and presses need none")
def step_keys(context):
    fleet = context.fleet
    fleet.configure(
        gateway_fleet.route("/presses/", "presses", auth_exempt=True),
        gateway_fleet.route("/uploads/", "deposits", route_type="upload"),
        tenants=[{"name": "ada", "api_keys": ["secret"]}],
    )
    fleet.wait_for_configuration(fleet.version)


@behave.given("instances of presses with {mode:w} {value:g}")
def step_mode(context, mode, value):
    value = int(value) if mode == "body_bytes" else value
    for instance_id in context.fleet.instances:
        if "-presses-" in instance_id:
            context.fleet.set_mode(instance_id, **{mode: value})


@behave.when(
    "{count:d} clients pipeline {each:d} requests for {target} at the"
    " {address:w} port and read {how:w}"
)
def step_pipeline(context, count, each, target, address, how):
    node = context.fleet.gateways["g1"]
    port = port_of(node, address)
    clients = gather(context, node, port, count, TARGETS[target], each)
    clients.send_all()
    if how == "slowly":
        clients.read_for(SLOW_READ_S, SLOW_READ_BYTES, 0.05)
    context.watch.wait_until_idle()


@behave.when("{count:d} clients send {what} at the {address:w} port")
def step_send(context, count, what, address):
    node = context.fleet.gateways["g1"]
    request, each = INPUTS[what]
    gather(context, node, port_of(node, address), count, request, each)
    context.crowd.send_all()
    context.watch.wait_until_idle()


@behave.when(
    "{count:d} clients connect to the {address:w} port and send nothing"
)
def step_connect(context, count, address):
    node = context.fleet.gateways["g1"]
    gather(context, node, port_of(node, address), count, b"", 0)
    context.watch.wait_until_idle()


@behave.when(
    "{count:d} clients pipeline {each:d} requests for {target} at the caller"
    " port and g1 is stopped"
)
def step_stop(context, count, each, target):
    node = context.fleet.gateways["g1"]
    request = TARGETS[target]
    gather(context, node, node.caller_port, count, request, each)
    context.peak_mb = 0.0
    sender = threading.Thread(target=context.crowd.send_all)
    sender.start()
    context.fleet.terminate(node)
    while context.watch.is_alive:
        context.peak_mb = max(context.peak_mb, context.watch.memory_mb())
        time.sleep(0.05)
    sender.join()


@behave.when(
    "a client pipelines {count:d} requests for presses, pauses and reads again"
)
def step_pause(context, count):
    node = context.fleet.gateways["g1"]
    requests = b"".join(encode(f"/presses/{number}") for number in range(count))
    clients = gather(context, node, node.caller_port, 1, requests, 1)
    clients.send_all(1.0)
    time.sleep(PAUSE_S)
    client = clients.clients[0]
    end_s = time.monotonic() + crowd.MAX_WAIT_S
    while not client.is_ended and time.monotonic() < end_s:
        clients.send_all(0.01)
        clients.read_for(0.05, 65536)
        if len(targets_of(client.received)) == count:
            break
    context.client = client


def targets_of(received):
    """Returns the targets in the responses of instances, in order."""
    return re.findall(rb'"target":"/presses/(\d+)"', received)


@behave.when(
    "{count:d} clients request presses and read {size:d} bytes each"
    " {pause_s:f} seconds"
)
def step_slow_links(context, count, size, pause_s):
    node = context.fleet.gateways["g1"]
    request = TARGETS["presses"].replace(
        b"Deadline", b"Connection: close\r\nDeadline"
    )
    clients = gather(context, node, node.caller_port, count, request, 1)
    clients.send_all()
    clients.read_for(crowd.MAX_WAIT_S, size, pause_s)


@behave.then("{name} lives within its memory and descriptors")
def step_lives(context, name):
    print_use(context, "after")
    assert context.watch.is_alive, "the daemon has ended"
    memory_mb, max_fds = context.bounds
    peak_mb = context.watch.memory_mb()
    assert peak_mb < memory_mb, f"peak {peak_mb:.0f} MB"
    descriptors = context.watch.count_descriptors()
    assert descriptors < max_fds, f"{descriptors} descriptors"


@behave.then("g1 serves an ordinary request")
def step_serves(context):
    for instance_id in context.fleet.instances:
        context.fleet.set_mode(instance_id)

    def is_served():
        try:
            response = gateway_steps.send_request(
                context, "g1", "GET", "/presses/1"
            )
        except OSError:
            return False
        return response.status == 200

    context.crowd.leave()
    fleet_harness.wait_until(is_served, "g1 serves a request", 60.0)
    assert context.fleet.is_ready(context.node)
    print_use(context, "left")


@behave.then("g1 has ended within its memory")
def step_ended(context):
    print(f"peak {context.peak_mb:.0f} MB")
    assert context.watch.is_alive is False
    assert context.peak_mb < context.bounds[0], f"{context.peak_mb:.0f} MB"


@behave.then("it gets {count:d} complete responses in order")
def step_in_order(context, count):
    got = [int(number) for number in targets_of(context.client.received)]
    assert got == list(range(count)), (len(got), got[:10])


@behave.then("each of them gets a complete response")
def step_complete(context):
    for client in context.crowd.clients:
        head, _, body = bytes(client.received).partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 "), head
        assert len(body) > 540000, len(body)
        # A response above 512 KiB is streamed in chunks.
        end = body.removesuffix(b"\r\n0\r\n\r\n")
        assert end.endswith(b'"}'), body[-10:]


@behave.when(
    "{count:d} fleet clients pipeline {each:d} requests for {target} at the"
    " {address:w} port and read nothing"
)
def step_fleet_pipeline(context, count, each, target, address):
    node = start_node(context)
    port = node.port if address == "caller" else port_of(node, address)
    request = FLEET_TARGETS[target]
    gather(context, node, port, count, request, each).send_all()
    context.watch.wait_until_idle()


@behave.when(
    "{count:d} fleet clients connect to the {address:w} port and send nothing"
)
def step_fleet_connect(context, count, address):
    node = start_node(context)
    port = node.port if address == "caller" else port_of(node, address)
    gather(context, node, port, count, b"", 0)
    context.watch.wait_until_idle()


def start_node(context):
    """Starts the first daemon anew, with limits and fresh memory."""
    fleet = context.fleet
    node = fleet.nodes["entry-1"]
    stop(node)
    context.bounds = (100, 260)
    limits = {"DOTTERELPATH_MEMORY_MB": "100", "DOTTERELPATH_MAX_FDS": "260"}
    with mock.patch.dict(os.environ, limits):
        fleet.start_node(node)
    fleet_harness.wait_for_port(node.control_port)
    fleet.wait_for_version(1)
    fleet.wait_for_discovery({"bookings": 6})
    context.watch = crowd.Watch(node.process)
    print_use(context, "before")
    return node


@behave.then("entry-1 serves an ordinary request")
def step_fleet_serves(context):
    context.crowd.leave()

    def is_served():
        try:
            return (
                fleet_harness.call(
                    context.node.port, "GET", "/bookings/1"
                ).status
                == 200
            )
        except OSError:
            return False

    fleet_harness.wait_until(is_served, "entry-1 serves a request", 60.0)
    print_use(context, "left")
