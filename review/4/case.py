"""A stop cuts a pipelined request that was passed on to an instance."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import typing

from support import caller
from support import case
from support import fleet as fleet_module

CALLERS = 5
BUDGET_MS = 4000
LONG_MS = 900
SHORT_MS = 300


async def play(
    fleet: fleet_module.Fleet, has_trouble: bool
) -> typing.Sequence[str]:
    """Stops a daemon while callers pipeline requests.

    Args:
        fleet: The fleet.
        has_trouble: Whether the daemon is stopped.
    """
    for number in range(4):
        await fleet.add_instance(f"i-{number}", "catalogue")
    fleet.configure(
        ["catalogue"], {"prefix": "/presses/", "service": "catalogue"}
    )
    await fleet.start(3)
    daemon = fleet.daemons[0]
    opened = [
        await caller.open_connection(fleet, daemon) for _ in range(CALLERS)
    ]
    # The usual requests before the stop, for longer than `stable_s`.
    requests: list[caller.Sent] = []
    for _ in range(5):
        await _send_all(opened, requests, LONG_MS)
        await asyncio.sleep(1.2)

    stop_s = fleet.record.now_s
    if has_trouble:
        fleet.record.write(f"SIGTERM to {daemon.id}")
        daemon.signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    # The second request is answered before the first one.
    await _send_all(opened, requests, LONG_MS, SHORT_MS)
    # A third one follows while the first one is still outstanding.
    await asyncio.sleep(0.5)
    await _send_all(opened, requests, LONG_MS)
    await asyncio.sleep(3.0)
    for connection, reading in opened:
        reading.cancel()
        connection.close()
    # Requests that were sent behind others and were not passed on are not
    # counted; their callers send them again.
    passed_on = [sent for sent in requests if case.instances_of(fleet, sent)]
    return case.lost_at_stop(fleet, passed_on, stop_s)


async def _send_all(
    opened: list[tuple[caller.Connection, asyncio.Task[None]]],
    requests: list[caller.Sent],
    *work_ms: int,
) -> None:
    for connection, _ in opened:
        for duration_ms in work_ms:
            target = f"/presses/1?work_ms={duration_ms}"
            requests.append(connection.send("GET", target, BUDGET_MS))


case.run(pathlib.Path(__file__).resolve().parent, play)
