"""Steps on the work that the input of connections takes."""

from __future__ import annotations

import asyncio
import time

import behave
import structlog.testing

from dotterelpath.adapters import clock as clock_adapter
from dotterelpath.adapters import metrics as metrics_adapter
from dotterelpath.domain import input_usage
from dotterelpath.tasks import loop_monitor


@behave.when(
    "the input of an instance takes up the event loop for {busy_s:f} s"
)
def step_busy(context, busy_s):
    usage = input_usage.InputUsage()
    monitor = loop_monitor.LoopMonitor(
        clock_adapter.SystemClock(), metrics_adapter.Metrics(), usage
    )
    context.busy_s = busy_s

    async def play():
        task = asyncio.create_task(monitor.run())
        await asyncio.sleep(0.0)
        usage.record("caller c", 100, 1, 0.001)
        usage.record("instance i", 100_000, 20_000, busy_s)
        time.sleep(busy_s)  # noqa: ASYNC251
        await asyncio.sleep(loop_monitor.PERIOD_S)
        task.cancel()

    with structlog.testing.capture_logs() as context.log_lines:
        asyncio.run(play())


@behave.then("a log line names this instance first, with the time that it took")
def step_named(context):
    lines = [
        line
        for line in context.log_lines
        if line["event"] == "event loop delayed"
    ]
    assert len(lines) == 1, context.log_lines
    peers = lines[0]["peers"]
    assert peers[0]["peer"] == "instance i", peers
    assert peers[0]["took_s"] == context.busy_s, peers
    assert peers[0]["events"] == 20_000, peers
