"""A daemon that starts keeps an old configuration for good."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import typing

from support import caller
from support import case
from support import fleet as fleet_module

# So many routes make a configuration of about 830 KB, 1.1 MB in base64, which
# fills a page.
FURTHER_ROUTES = 4800
LAG_S = 3.0
REQUESTS = 10
BUDGET_MS = 2500
# Longer than `stable_s`, `config_apply_s` and `max_stretch_s` together.
CALM_S = 12.0
RESTART_S = 0.5


async def play(
    fleet: fleet_module.Fleet, has_trouble: bool
) -> typing.Sequence[str]:
    """Kills a daemon after a change; its start reads pages of different ages.

    Args:
        fleet: The fleet.
        has_trouble: Whether the second page of a stale read is older than the
            first one.
    """
    for service in ("bookings", "presses"):
        for number in range(2):
            await fleet.add_instance(f"i-{service}-{number}", service)
    _configure(fleet, "bookings")
    await fleet.start(3)
    await asyncio.sleep(5.0)
    fleet.store.later_pages_lag_s = LAG_S if has_trouble else 0.0
    _configure(fleet, "presses")
    written_s = fleet.record.now_s
    await asyncio.sleep(0.2)
    daemon = fleet.daemons[0]
    fleet.record.write(f"SIGKILL to {daemon.id}")
    daemon.signal(signal.SIGKILL)
    await asyncio.sleep(RESTART_S)
    fleet.start_daemon(daemon)
    await fleet.wait_until_ready(daemon)
    await asyncio.sleep(CALM_S)
    found = []
    for place in fleet.daemons:
        connection, reading = await caller.open_connection(fleet, place)
        for _ in range(REQUESTS):
            sent = connection.send("POST", "/bookings/1", BUDGET_MS, b"x")
            await sent.ended.wait()
            ran_at = [i.id for i in case.instances_of(fleet, sent)]
            if any(id.startswith("i-bookings") for id in ran_at):
                found.append(
                    f"{sent.id}, sent to {place.id}"
                    f" {sent.sent_s - written_s:.1f} s after the change, ran at"
                    f" {ran_at[0]}, which only the older version allows"
                )
        reading.cancel()
        connection.close()
    return found


def _configure(fleet: fleet_module.Fleet, service: str) -> None:
    """Writes a configuration in which a service runs the bookings."""
    further = [
        {"prefix": f"/further/{number}/", "service": "presses"}
        for number in range(FURTHER_ROUTES)
    ]
    bookings = {
        "prefix": "/bookings/",
        "service": service,
        "route_type": "non_idempotent",
    }
    fleet.configure(["bookings", "presses"], bookings, *further)


case.run(pathlib.Path(__file__).resolve().parent, play)
