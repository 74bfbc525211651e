"""A second SIGTERM cuts the requests that a stopping daemon has in flight."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import typing

from support import caller
from support import case
from support import fleet as fleet_module

CALLERS = 6
BUDGET_MS = 5000
WORK_MS = 1500


async def play(
    fleet: fleet_module.Fleet, has_trouble: bool
) -> typing.Sequence[str]:
    """Stops a daemon, and asks it again to stop.

    Args:
        fleet: The fleet.
        has_trouble: Whether the second SIGTERM is sent.
    """
    for number in range(3):
        await fleet.add_instance(f"i-{number}", "bookings")
    route = {
        "prefix": "/bookings/",
        "service": "bookings",
        "route_type": "non_idempotent",
    }
    fleet.configure(["bookings"], route)
    await fleet.start(3)
    await asyncio.sleep(5.0)
    daemon = fleet.daemons[0]
    opened = [
        await caller.open_connection(fleet, daemon) for _ in range(CALLERS)
    ]
    requests = [
        connection.send(
            "POST", f"/bookings/1?work_ms={WORK_MS}", BUDGET_MS, b"press 7"
        )
        for connection, _ in opened
    ]
    await asyncio.sleep(0.2)
    stop_s = fleet.record.now_s
    fleet.record.write(f"SIGTERM to {daemon.id}")
    daemon.signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    if has_trouble:
        fleet.record.write(f"SIGTERM to {daemon.id}")
        daemon.signal(signal.SIGTERM)
    await asyncio.sleep(3.0)
    for connection, reading in opened:
        reading.cancel()
        connection.close()
    return case.lost_at_stop(fleet, requests, stop_s)


case.run(pathlib.Path(__file__).resolve().parent, play)
