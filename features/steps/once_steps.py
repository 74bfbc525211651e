"""Steps on non-idempotent requests that are sent more than once."""

from __future__ import annotations

import concurrent.futures
import signal
import socket

import behave

from features.support import calls
from standins import fleet as fleet_harness

PATH = "/bookings"


def booking_servers(context):
    return [name for name in context.fleet.backends if "bookings" in name]


def set_mode(context, **mode):
    for name in booking_servers(context):
        context.fleet.set_mode(name, **mode)


def reset_modes(context):
    set_mode(context, silent=False, drop=False, work_s=0.005, shed=False)


def make_key(context, prefix):
    context.number = getattr(context, "number", 0) + 1
    unique = f"{context.random.getrandbits(48):012x}{context.number}"
    context.key = prefix + unique
    return context.key


def post(context, node, **headers):
    fields = {"idempotency_key": context.key, **headers}
    body = context.key.encode()
    calls.send(context, node, "POST", PATH, body, **fields)
    context.responses.append(context.response)


@behave.given("a key prefix issued by {node}")
def step_prefix(context, node):
    target = "/-/addresses?service=bookings&workspace=w"
    response = calls.send(context, node, "GET", target)
    context.prefix = response.json()["key_prefix"]
    context.responses = []
    context.add_cleanup(reset_modes, context)
    context.add_cleanup(context.fleet.set_store_faults)


@behave.given("bookings take {ms:d} ms")
def step_booking_time(context, ms):
    set_mode(context, work_s=ms / 1000.0, fixed=True)


@behave.given("the bookings servers run requests and close without a response")
def step_close_without_response(context):
    set_mode(context, drop=True)


@behave.given("the bookings servers run requests and never respond")
def step_never_respond(context):
    set_mode(context, silent=True)


@behave.given("the bookings servers refuse all requests")
def step_refuse_requests(context):
    set_mode(context, shed=True)


@behave.given("the bookings servers accept requests again")
def step_accept_requests(context):
    set_mode(context, shed=False)


@behave.given("the store is down")
def step_store_down(context):
    context.fleet.set_store_faults(down=True)


@behave.given("the store loses the response to the next write")
def step_store_loses(context):
    context.fleet.set_store_faults(lose=1)


@behave.given("{node} is frozen")
def step_freeze(context, node):
    process = context.fleet.nodes[node].process
    process.send_signal(signal.SIGSTOP)
    context.add_cleanup(process.send_signal, signal.SIGCONT)


@behave.given("{node} is resumed")
def step_resume(context, node):
    context.fleet.nodes[node].process.send_signal(signal.SIGCONT)


@behave.given("{node} is killed and replaced")
def step_replace(context, node):
    replaced = context.fleet.nodes[node]
    replaced.process.kill()
    replaced.process.wait()
    context.fleet.start_node(replaced)
    fleet_harness.wait_for_port(replaced.control_port)
    context.fleet.wait_for_discovery({"bookings": 6, "catalogue": 8})


@behave.when("a caller posts a booking with a new key to {node}")
def step_post(context, node):
    make_key(context, context.prefix)
    post(context, node)


@behave.when("a caller posts a booking with a caller-generated key to {node}")
def step_post_caller_key(context, node):
    make_key(context, "own-")
    post(context, node)


@behave.when("a caller posts a booking with the key {key} to {node}")
def step_post_key(context, key, node):
    context.key = key
    post(context, node)


@behave.when("a caller posts a booking with a deadline of {ms:d} ms to {node}")
def step_post_deadline(context, ms, node):
    make_key(context, context.prefix)
    post(context, node, dotterelpath_timeout_ms=ms)


@behave.when("two callers post one new key to {one} and {two} at once")
def step_post_both(context, one, two):
    make_key(context, context.prefix)
    post_at_once(context, one, two)


@behave.when(
    "two callers post one caller-generated key to {one} and {two} at once"
)
def step_post_caller_key_both(context, one, two):
    make_key(context, "own-")
    post_at_once(context, one, two)


def post_at_once(context, one, two):
    def send(node):
        port = context.fleet.nodes[node].port
        fields = {"idempotency-key": context.key}
        body = context.key.encode()
        return fleet_harness.call(port, "POST", PATH, body, fields)

    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        context.responses = list(pool.map(send, (one, two)))


@behave.when(
    "a caller disconnects from {node} while its booking with a new key runs"
)
def step_disconnect_while_running(context, node):
    body = make_key(context, context.prefix).encode()
    head = (
        f"POST {PATH} HTTP/1.1\r\nhost: x\r\nidempotency-key: {context.key}\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    address = ("127.0.0.1", context.fleet.nodes[node].port)
    with socket.create_connection(address) as raw:
        raw.sendall(head.encode() + body)
        fleet_harness.wait_until(
            lambda: context.key in context.fleet.count_runs(),
            "the booking runs",
        )


@behave.when("the caller posts it again to {node}")
def step_again(context, node):
    post(context, node)


@behave.when("the caller posts attempt {attempt:d} of it to {node}")
def step_attempt(context, attempt, node):
    post(context, node, dotterelpath_attempt=attempt)


@behave.when("the caller posts another body with the same key to {node}")
def step_other_body(context, node):
    calls.send(
        context, node, "POST", PATH, b"other", idempotency_key=context.key
    )


@behave.then("both results are {code:d} with the same body")
def step_same_result(context, code):
    first, second = context.responses[-2:]
    assert first.result == second.result == code, (first.body, second.body)
    assert first.body == second.body, (first.body, second.body)


@behave.then("the booking ran once")
def step_ran_once(context):
    runs = context.fleet.count_runs()
    assert runs.get(context.key) == 1, f"{context.key} not run once: {runs}"


@behave.then("the booking ran 0 times")
def step_did_not_run(context):
    runs = context.fleet.count_runs()
    assert context.key not in runs, f"{context.key} ran: {runs}"


@behave.then("the booking ran at most once")
def step_at_most_once(context):
    runs = context.fleet.count_runs().get(context.key, 0)
    assert runs <= 1, f"{context.key} ran {runs} times"
