"""Two daemons hold the limit of an instance at the same time."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import typing

from support import caller
from support import case
from support import fleet as fleet_module
from support import instance as instance_module

# The zone of each daemon. Callers are in zones b and c.
DAEMON_ZONES = "aabbbbcc"
LINK_MBPS = 5.0
# The requests a second of the callers of each zone, and how many callers.
RATE_PER_S = {"zone-b": 42.0, "zone-c": 20.0}
CALLERS = 24
# With long responses, the links of three daemons are needed in zone b, and with
# short ones that of one daemon.
LONG_BYTES = 25000
SHORT_BYTES = 2000
WORK_MS = 100
BUDGET_MS = 4000
SLOTS = 3
LIMIT_PER_S = 6.0
USUAL_S = 12.0
LIMITED_S = 19.0
SPAN_S = 4.0
STEP_S = 0.5
# The time after an answer with a limit from which a daemon must keep it.
LEARN_S = 0.5
# The instance that names a limit. For its id the third daemon of zone b ranks
# before the other daemons that have requests for it, as one of four does.
LIMITED_ID = "i-0"


async def play(
    fleet: fleet_module.Fleet, has_trouble: bool
) -> typing.Sequence[str]:
    """Lets an instance of a zone without callers name a limit.

    Args:
        fleet: The fleet.
        has_trouble: Whether the callers of zone b need three daemons.
    """
    fleet.link_mbps = LINK_MBPS
    limited = await fleet.add_instance(LIMITED_ID, "catalogue", SLOTS, "zone-a")
    for number in range(3):
        await fleet.add_instance(
            f"i-free-{number}", "catalogue", SLOTS, "zone-a"
        )
    fleet.configure(
        ["catalogue"], {"prefix": "/presses/", "service": "catalogue"}
    )
    await fleet.start(len(DAEMON_ZONES), DAEMON_ZONES)
    await asyncio.sleep(3.0)
    passed_on_s: dict[tuple[str, str], float] = {}
    source = random.Random(1)
    response_bytes = {
        "zone-b": LONG_BYTES if has_trouble else SHORT_BYTES,
        "zone-c": SHORT_BYTES,
    }
    tasks = [
        asyncio.create_task(_consume(fleet, zone, size, source, passed_on_s))
        for zone, size in response_bytes.items()
        for _ in range(CALLERS)
    ]
    await asyncio.sleep(USUAL_S)
    named_s = fleet.record.now_s
    fleet.record.write(f"{limited.id} names {LIMIT_PER_S:g}/s")
    limited.limit_per_s = LIMIT_PER_S
    await asyncio.sleep(LIMITED_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return _breaks(fleet, limited, passed_on_s, named_s)


async def _consume(
    fleet: fleet_module.Fleet,
    zone: str,
    response_bytes: int,
    source: random.Random,
    passed_on_s: dict[tuple[str, str], float],
) -> None:
    """Sends requests to the daemons that those of its zone name.

    Records when a daemon first passed on an answer of an instance with a limit.
    """
    pause_s = CALLERS / RATE_PER_S[zone]
    target = f"/presses/1?work_ms={WORK_MS}&bytes={response_bytes}"
    by_port = {daemon.front_port: daemon for daemon in fleet.daemons}
    opened: dict[int, tuple[caller.Connection, asyncio.Task[None]]] = {}
    ports: list[int] = []
    resolved_until_s = 0.0
    try:
        await asyncio.sleep(source.random() * pause_s)
        while True:
            if fleet.record.now_s >= resolved_until_s:
                ports, ttl_s = await _resolve(fleet, zone, source)
                resolved_until_s = fleet.record.now_s + ttl_s
            port = source.choice(ports)
            if port not in opened or opened[port][0].is_closed:
                opened[port] = await caller.open_connection(
                    fleet, by_port[port]
                )
            daemon_id = by_port[port].id
            sent = opened[port][0].send(
                "GET", target, BUDGET_MS, b"", [("consumer-daemon", daemon_id)]
            )
            await sent.ended.wait()
            if sent.response is not None and sent.response.header(
                "server-limit"
            ):
                instance_id = sent.response.header("response-signature")
                passed_on_s.setdefault(
                    (daemon_id, instance_id), fleet.record.now_s
                )
            await asyncio.sleep(pause_s * (0.5 + source.random()))
    finally:
        for connection, reading in opened.values():
            reading.cancel()
            connection.close()


async def _resolve(
    fleet: fleet_module.Fleet, zone: str, source: random.Random
) -> tuple[list[int], float]:
    """Asks a daemon of the zone for addresses."""
    near = [daemon for daemon in fleet.daemons if daemon.zone == zone]
    response = await fleet_module.call(
        source.choice(near).directory_port,
        f"/v1/resolve?name={fleet_module.CALLER_HOST}&region=region&zone={zone}",
    )
    assert response is not None
    answer = json.loads(response.body)
    ports = [int(a.rpartition(":")[2]) for a in answer["addresses"]]
    return ports, answer["ttl_s"]


def _breaks(
    fleet: fleet_module.Fleet,
    instance: instance_module.Instance,
    passed_on_s: dict[tuple[str, str], float],
    named_s: float,
) -> list[str]:
    """Finds the spans in which an instance gets more than it allows."""
    allowed = 1.5 * LIMIT_PER_S * SPAN_S + 5.0
    counted = []
    for at_s, request in instance.arrivals:
        daemon_id = request.header("consumer-daemon")
        knows_from_s = passed_on_s.get((daemon_id, instance.id))
        if knows_from_s is not None and at_s >= knows_from_s + LEARN_S:
            counted.append((at_s, daemon_id))
    found = []
    from_s = named_s + fleet.bounds["stable_s"]
    while from_s + SPAN_S <= named_s + LIMITED_S:
        senders = [
            daemon_id
            for at_s, daemon_id in counted
            if 0.0 <= at_s - from_s < SPAN_S
        ]
        by_daemon = {name: senders.count(name) for name in sorted(set(senders))}
        text = (
            f"{instance.id} gets {len(senders)} requests in {SPAN_S:g} s from"
            f" {from_s - named_s:.1f} s after it named its limit,"
            f" {allowed:g} are allowed: {by_daemon}"
        )
        fleet.record.write(text)
        if len(senders) > allowed:
            found.append(text)
        from_s += STEP_S
    return found


case.run(pathlib.Path(__file__).resolve().parent, play)
