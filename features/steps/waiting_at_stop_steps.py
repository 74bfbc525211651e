"""Steps on requests that wait for an instance while their daemon stops."""

from __future__ import annotations

import concurrent.futures
import time

import behave

from dotterelpath.tasks import events
from features.steps import connection_option_steps
from features.steps import pipelined_stop_steps
from features.support import gateway_world
from standins import fleet as fleet_harness
from standins import gateway_fleet

PRESSES = 3
GRACE_S = 3


@behave.given(
    "instances of presses that take {work_ms:d} ms and have all slots in use"
)
def step_full(context, work_ms):
    pipelined_stop_steps.step_slow_presses(context, work_ms)
    port = context.fleet.gateways["g4"].caller_port
    pool = concurrent.futures.ThreadPoolExecutor(64)
    context.add_cleanup(pool.shutdown)
    context.pool = pool
    for number in range(PRESSES * gateway_fleet.SLOTS):
        pool.submit(connection_option_steps.send, port, f"full-{number}")
    time.sleep(0.5)


@behave.when("a request is sent to g4, which is stopped while it waits")
def step_stop_while_waiting(context):
    node = context.fleet.gateways["g4"]
    # The stop ends before the requests that run time out.
    context.fleet.bounds["grace_s"] = GRACE_S
    context.fleet.write_settings(node)
    context.fleet.terminate(node)
    context.began_s = time.monotonic()
    time.sleep(1.0)
    sent = context.pool.submit(
        connection_option_steps.send, node.caller_port, "waits"
    )
    context.response = sent.result()
    context.took_s = time.monotonic() - context.began_s


@behave.then("the waiting request gets 503 within the grace time, as not run")
def step_refused(context):
    assert context.response.status == 503, context.response.status
    assert float(context.response.headers["retry-after"]) > 0.0
    assert context.took_s < GRACE_S, context.took_s
    node = context.fleet.gateways["g4"]
    fleet_harness.wait_until(
        lambda: node.process.poll() is not None, "g4 has ended"
    )


@behave.then("no instance ran it")
def step_not_run(context):
    assert "waits" not in context.fleet.count_runs()


@behave.given("a gateway that knows that its requests take {work_s:g} seconds")
def step_slow(context, work_s):
    world = gateway_world.GatewayWorld([gateway_world.route("/w/")], 2, 2)
    for instance in world.instances.values():
        instance.work_s = work_s
    for tenths in range(0, 100, 25):
        world.schedule(tenths / 10, world.send_request, "/w/", 4.0)
    world.run(14.0)
    context.world = world


@behave.when("a stop begins that ends in {left_s:g} seconds")
def step_begin(context, left_s):
    world = context.world
    world.gateway.handle(events.StopBegan(world.clock.time_s + left_s))
    world.send_request("/w/", 4.0)
    world.settle()


@behave.when("a stop begins while a request is late, and ends in 0.5 seconds")
def step_late_at_stop(context):
    """Lets a request become late, so that it would be hedged."""
    world = context.world
    for instance in world.instances.values():
        instance.is_silent = True
    world.send_request("/w/", 4.0)
    world.settle()
    world.gateway.handle(events.StopBegan(world.clock.time_s + 0.5))
    world.run(world.clock.time_s - 1000.0 + 3.9)


@behave.then("the late request goes on without a hedge")
def step_no_hedge(context):
    token = max(context.world.sent)
    assert token not in context.world.outcomes, context.world.outcomes[token]
    assert len(context.world.attempts) == 1


@behave.then("a request {is_refused} at once")
def step_refused_at_once(context, is_refused):
    token = max(context.world.sent)
    outcome = context.world.outcomes.get(token)
    assert (outcome is not None) == (is_refused == "is refused"), outcome
    assert outcome is None or outcome[0].is_not_run


@behave.given(
    "a gateway whose instances have no free slot, and a waiting request"
)
def step_waiting(context):
    world = gateway_world.GatewayWorld([gateway_world.route("/w/")], 2, 1)
    for instance in world.instances.values():
        instance.is_silent = True
    for _ in range(3):
        world.schedule(0.0, world.send_request, "/w/", 3.0)
    world.run(0.1)
    assert not world.outcomes, world.outcomes
    context.world = world


@behave.when("the time of a stop is nearly over, and another request arrives")
def step_stop_ends(context):
    context.world.gateway.handle(events.StopEnding())
    context.world.send_request("/w/", 3.0)
    context.world.settle()


@behave.then("both are refused at once, as not run, and may be retried")
def step_both_refused(context):
    assert sorted(context.world.outcomes) == [2, 3], context.world.outcomes
    for outcome, _ in context.world.outcomes.values():
        assert outcome.is_not_run and outcome.retry_after_s > 0.0
