"""Steps on the limits that instances name, with daemons as processes."""

from __future__ import annotations

import itertools
import time

import behave

from features.steps import request_limit_steps
from standins import fleet as fleet_harness
from standins import gateway_fleet

# The pause between two requests of the load, in seconds.
PAUSE_S = 0.02
# Instances may exceed a limit that they have just named for this time.
STABLE_S = 3.0


def presses(context):
    """Returns the ids of the instances of presses."""
    return [i for i in context.fleet.instances if "-presses-" in i]


def send(context, node, request_id):
    """Sends a request for presses to a daemon, and times it."""
    began_s = time.monotonic()
    response = fleet_harness.call(
        node.caller_port,
        "GET",
        "/presses/1",
        headers={"Host": gateway_fleet.HOST, "Request-Id": request_id},
    )
    context.answers.append((response.status, time.monotonic() - began_s))


@behave.given(
    "all instances of presses name a limit of {per_s:d} requests a second"
)
def step_limit(context, per_s):
    context.answers = []
    for instance_id in presses(context):
        context.fleet.set_mode(instance_id, limit=per_s)


@behave.when(
    "requests are sent to all daemons in turn for {length_s:d} seconds"
)
def step_load(context, length_s):
    context.began_s = time.monotonic()
    nodes = itertools.cycle(context.fleet.gateways.values())
    numbers = itertools.count()
    while time.monotonic() < context.began_s + length_s:
        send(context, next(nodes), f"limit-{next(numbers)}")
        time.sleep(PAUSE_S)
    context.ended_s = time.monotonic()


def run_times(context, instance_id):
    """Returns when an instance ran requests, from STABLE_S after the start."""
    times = context.fleet.instance_record(instance_id)["times"]
    start_s = context.began_s + STABLE_S
    return sorted(
        at_s
        for request_id, at_s in times.items()
        if request_id.startswith("limit-") and at_s >= start_s
    )


@behave.then(
    "no instance of presses ran more than {most:d} of them in 4 seconds"
)
def step_most(context, most):
    for instance_id in presses(context):
        found = request_limit_steps.most_in_window(
            run_times(context, instance_id), 0.0
        )
        assert found <= most, (instance_id, found)


@behave.then("each instance of presses ran one at least every 2 seconds")
def step_used(context):
    for instance_id in presses(context):
        times_s = [
            context.began_s + STABLE_S,
            *run_times(context, instance_id),
            context.ended_s,
        ]
        gaps_s = [b - a for a, b in itertools.pairwise(times_s)]
        assert max(gaps_s) <= 2.0, (instance_id, gaps_s)


@behave.then(
    "the requests that were not served were refused within {most_s:g} seconds"
)
def step_refused(context, most_s):
    statuses = {status for status, _ in context.answers}
    assert statuses == {200, 503}, statuses
    waits_s = [took_s for status, took_s in context.answers if status == 503]
    assert max(waits_s) <= most_s, max(waits_s)


@behave.when("the instances name no limit any more")
def step_lift(context):
    for instance_id in presses(context):
        context.fleet.set_mode(instance_id)


def known_limits(context):
    """Returns the daemons and instances with a known limit."""
    return [
        (node.id, instance_id)
        for node in context.fleet.gateways.values()
        for instance_id, state in context.fleet.instance_states(
            node, "presses"
        ).items()
        if state["request_limit"] is not None
    ]


@behave.then(
    "all daemons know within {most_s:d} seconds that there is no limit"
)
def step_none_known(context, most_s):
    nodes = itertools.cycle(context.fleet.gateways.values())
    until_s = time.monotonic() + most_s
    while known_limits(context):
        assert time.monotonic() < until_s, known_limits(context)
        send(context, next(nodes), "lifted")
        time.sleep(PAUSE_S)
