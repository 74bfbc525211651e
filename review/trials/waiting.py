"""A stop drops waiting requests without an answer."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import typing

from support import caller
from support import case
from support import fleet as fleet_module

# Twice as many callers as the instances have slots.
CALLERS = 8
INSTANCES = 2
SLOTS = 2
BUDGET_MS = 6000
WORK_MS = 2900
# When the requests are sent, in seconds after the SIGTERM.
SENT_S = 2.6


async def play(
    fleet: fleet_module.Fleet, has_trouble: bool
) -> typing.Sequence[str]:
    """Stops a daemon on which requests wait for a free slot.

    Args:
        fleet: The fleet.
        has_trouble: Whether the daemon is stopped.
    """
    for number in range(INSTANCES):
        await fleet.add_instance(f"i-{number}", "deposits", SLOTS)
    route = {
        "prefix": "/refunds/",
        "service": "deposits",
        "route_type": "non_idempotent",
    }
    fleet.configure(["deposits"], route)
    await fleet.start(3)
    await asyncio.sleep(5.0)
    daemon = fleet.daemons[0]
    opened = [
        await caller.open_connection(fleet, daemon) for _ in range(CALLERS)
    ]
    stop_s = fleet.record.now_s
    if has_trouble:
        fleet.record.write(f"SIGTERM to {daemon.id}")
        daemon.signal(signal.SIGTERM)
    await asyncio.sleep(SENT_S)
    target = f"/refunds/1?work_ms={WORK_MS}"
    requests = [
        connection.send("POST", target, BUDGET_MS, b"refund 7")
        for connection, _ in opened
    ]
    await asyncio.sleep(BUDGET_MS / 1000.0 + 0.5)
    for connection, reading in opened:
        reading.cancel()
        connection.close()
    return case.lost_at_stop(fleet, requests, stop_s)


case.run(pathlib.Path(__file__).resolve().parent, play)
