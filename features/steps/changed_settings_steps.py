"""Steps on settings that change while a daemon runs."""

from __future__ import annotations

import asyncio
import concurrent.futures
import json
import pathlib
import signal
import time

import behave

from dotterelpath.domain import bounds
from dotterelpath.domain import store_following
from dotterelpath.domain import store_position
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from features.steps import connection_option_steps
from features.steps import following_steps
from features.steps import gateway_steps
from features.steps import leaving_report_steps
from standins import fleet as fleet_harness


def write_grace(context, grace_s):
    """Writes a grace time into the settings file of g1."""
    context.fleet.bounds["grace_s"] = grace_s
    context.fleet.write_settings(context.fleet.gateways["g1"])


@behave.given(
    "the settings file of g1 gets a grace time of {grace_s:d} seconds, and a"
    " SIGHUP"
)
def step_grace_hup(context, grace_s):
    write_grace(context, grace_s)
    context.fleet.gateways["g1"].process.send_signal(signal.SIGHUP)
    gateway_steps.step_settings_logged(context)


@behave.given("then one of {grace_s:d} seconds, without a signal")
def step_grace(context, grace_s):
    write_grace(context, grace_s)


@behave.when("g1 is stopped at once")
def step_stop(context):
    context.fleet.terminate(context.fleet.gateways["g1"])


@behave.then("it logs a stop with a grace time of {grace_s:d} seconds")
def step_logged(context, grace_s):
    def logged():
        lines = gateway_steps.log_since(context.log_start).splitlines()
        found = [json.loads(line) for line in lines if "stop began" in line]
        return [line["grace_s"] for line in found]

    fleet_harness.wait_until(logged, "the stop is logged")
    assert logged() == [grace_s], logged()


@behave.then("it ends with exit code {code:d}")
def step_ended(context, code):
    process = context.fleet.gateways["g1"].process
    fleet_harness.wait_until(lambda: process.poll() is not None, "g1 has ended")
    assert process.poll() == code, process.poll()


@behave.when("the bounds of its settings change to {limit_s:d} second")
def step_bounds(context, limit_s):
    """Gives the new bounds to a store reader and to a peer monitor."""
    message = fleet_events.BoundsChanged(
        bounds.Bounds(drain_s=9.0, apply_s=limit_s, address_ttl_s=limit_s / 4)
    )
    reader = following_steps.create_reader(None, mailbox.Mailbox("reader"))
    reader.handle(message)
    context.follower = reader.follower

    async def resolve():
        monitor = leaving_report_steps.create_monitor(context)
        monitor.handle(message)
        return monitor.resolve("h", "a", "r").ttl_s

    context.ttl_s = asyncio.run(resolve())


@behave.then(
    "it watches again after {silent_s:g} seconds without reports, not before"
)
def step_watches_again(context, silent_s):
    position = store_position.Position(0, 7)
    context.follower.record_report(position, 0.0, 0.0)
    for now_s, expected in (
        (silent_s - 0.01, store_following.Step.FOLLOW),
        (silent_s + 0.01, store_following.Step.WATCH),
    ):
        assert context.follower.next_step(position, now_s) is expected, now_s


@behave.then("addresses may be kept for {ttl_s:g} seconds")
def step_ttl(context, ttl_s):
    assert context.ttl_s == ttl_s, context.ttl_s


@behave.when(
    "a request is sent to g1, which is stopped twice before the response"
)
def step_stop_twice(context):
    node = context.fleet.gateways["g1"]
    with concurrent.futures.ThreadPoolExecutor() as pool:
        sent = pool.submit(
            connection_option_steps.send, node.caller_port, "twice"
        )
        for _ in range(2):
            time.sleep(0.15)
            context.fleet.terminate(node)
        context.response = sent.result()


@behave.then("the request is answered")
def step_answered(context):
    assert context.response.status == 200, context.response.status


def has_signal(process, field):
    """Tells whether SIGHUP is in a set of signals of a process."""
    lines = pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines()
    (mask,) = [line.split()[1] for line in lines if line.startswith(field)]
    return bool(int(mask, 16) >> (signal.SIGHUP - 1) & 1)


@behave.when("g1 is started again and gets a SIGHUP each 10 ms")
def step_hup_at_start(context):
    node = context.fleet.gateways["g1"]
    node.process.kill()
    node.process.wait()
    context.fleet.start_gateway(node)
    context.was_ignored = False
    while not has_signal(node.process, "SigCgt"):
        if has_signal(node.process, "SigIgn"):
            context.was_ignored = True
            node.process.send_signal(signal.SIGHUP)
        time.sleep(0.01)


@behave.then(
    "it becomes ready, and ignored the signal until it could handle it"
)
def step_ready_after_hup(context):
    assert context.was_ignored
    context.fleet.wait_until_ready()
