"""Steps on graceful shutdowns."""

from __future__ import annotations

import concurrent.futures
import json
import signal
import time

import behave

from features import environment
from features.support import calls
from standins import fleet as fleet_harness

LONG_RESPONSE = "/catalogue/long?bytes=2000000"
OPERATIONS = [
    {
        "name": "read",
        "service": "catalogue",
        "method": "GET",
        "path": "/catalogue/x",
        "share": 2,
    },
    {
        "name": "book",
        "service": "bookings",
        "method": "POST",
        "path": "/bookings",
        "share": 1,
    },
]


def send_sigterm(context, node):
    context.fleet.nodes[node].process.send_signal(signal.SIGTERM)


@behave.when("a caller reads a long response from {node} while it shuts down")
def step_read_while_stopping(context, node):
    for name in context.fleet.backends:
        context.fleet.set_mode(name, part_s=0.1)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        reading = pool.submit(calls.send, context, node, "GET", LONG_RESPONSE)
        time.sleep(0.3)
        send_sigterm(context, node)
        context.long_response = reading.result()


@behave.then("the long response is complete")
def step_long_complete(context):
    assert len(context.long_response.body) == 2000000, len(
        context.long_response.body
    )


@behave.then("{node} has exited with code {code:d}")
def step_exited(context, node, code):
    assert context.fleet.nodes[node].process.wait(40) == code


@behave.when("a caller posts a booking to {node} while it shuts down")
def step_post_while_stopping(context, node):
    context.key = context.prefix + "stopping1"
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        posting = pool.submit(
            calls.send,
            context,
            node,
            "POST",
            "/bookings",
            context.key.encode(),
            idempotency_key=context.key,
        )
        time.sleep(0.2)
        send_sigterm(context, node)
        context.responses.append(posting.result())


@behave.when("{node} is sent SIGTERM")
def step_stop(context, node):
    context.leaving = context.fleet.nodes.pop(node)
    context.leaving.process.send_signal(signal.SIGTERM)


@behave.then("{one} and {two} soon list only these two")
def step_listed(context, one, two):
    ports = {context.fleet.nodes[n].port for n in (one, two)}

    def lists_only_these(node):
        target = "/-/addresses?service=catalogue"
        response = calls.send(context, node, "GET", target).json()
        return {a["port"] for a in response["addresses"]} == ports

    for node in (one, two):
        fleet_harness.wait_until(lambda n=node: lists_only_these(n), node, 5.0)


@behave.when(
    "all daemons are restarted in turn under {rate:d} requests a second"
)
def step_rolling_restart(context, rate):
    out = environment.OUT / "rolling.json"
    out.unlink(missing_ok=True)
    ports = [node.port for node in context.fleet.nodes.values()]
    load = context.fleet.start_load(ports, OPERATIONS, rate, 20, out)
    time.sleep(1.0)
    for node in context.fleet.nodes.values():
        node.process.send_signal(signal.SIGTERM)
        assert node.process.wait(30) == 0
        context.fleet.start_node(node)
        fleet_harness.wait_for_port(node.control_port)
        context.fleet.wait_for_discovery({"bookings": 6, "catalogue": 8})
    load.wait(60)
    context.report = json.loads(out.read_text())


@behave.then("every request was answered")
def step_all_answered(context):
    for name, operation in context.report["operations"].items():
        assert set(operation["outcomes"]) == {"answered"}, (name, operation)
        assert not operation["mixed_up"]


@behave.then("no request ran twice")
def step_none_ran_twice(context):
    runs = context.fleet.count_runs()
    assert set(runs.values()) <= {1}, runs
    ends = context.report["ends"]
    assert all(runs.get(key) == 1 for key in ends), (
        "an answered request did not run once"
    )
