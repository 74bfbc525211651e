"""Steps on limits in a fleet whose data centres have unequal load."""

from __future__ import annotations

import asyncio
import random

import behave

from features.steps import request_limit_steps
from features.support import steered_fleet

END_S = 28.0
LIMITED = "i0"
SAMPLE_S = 0.25
# Of two holders one yields within this time, in seconds: two reports.
YIELD_S = 1.0
# The requests a second that need one daemon or three, with these responses.
LIGHT = (20.0, 2_000)
HEAVY = (42.0, 25_000)


@behave.given("daemons in {daemons}, and an instance of {place} of {count:d}")
def step_daemons(context, daemons, place, count):
    context.instances = {f"i{n}": place for n in range(count)}
    context.data_centres = daemons


@behave.when("callers of {heavy} need 3 daemons, and those of {light} need 1")
def step_callers(context, heavy, light):
    context.loads = {heavy: HEAVY, light: LIGHT}


@behave.when(
    "the instance names a limit of {limit:d} requests a second after "
    "{at_s:g} seconds"
)
def step_name(context, limit, at_s):
    async def run():
        fleet = steered_fleet.SteeredFleet(
            context.data_centres, context.instances
        )
        for place, load in context.loads.items():
            fleet.load(place, *load)
        fleet.run(at_s)
        fleet.forget_arrivals()
        fleet.name_limit(LIMITED, str(limit))
        fleet.run(END_S)
        return fleet

    context.steered = asyncio.run(run())


@behave.then(
    "it gets at most {most:d} requests in any 4 seconds from second {start_s:g}"
)
def step_most(context, most, start_s):
    times_s = context.steered.told_arrivals(LIMITED)
    found = request_limit_steps.most_in_window(times_s, start_s)
    assert found <= most, found


@behave.then(
    "it gets at least {rate:g} requests a second from second {start_s:g}"
)
def step_least(context, rate, start_s):
    times_s = context.steered.told_arrivals(LIMITED)
    count = sum(at_s >= start_s for at_s in times_s)
    assert count >= rate * (END_S - start_s), count


def random_fleet(seed):
    """Draws a fleet, and the loads of one to three of its data centres."""
    source = random.Random(seed)
    places = [p for p in "abc" for _ in range(source.randint(1, 6))]
    source.shuffle(places)
    instances = {f"i{n}": source.choice("abc") for n in range(4)}
    fleet = steered_fleet.SteeredFleet(places, instances, seed)
    for place in source.sample("abc", source.randint(1, 3)):
        fleet.load(place, *source.choice((LIGHT, HEAVY)))
    return fleet


def watch_holders(fleet, end_s):
    """Runs a fleet; returns for how long none or several held the limit."""
    longest_s = {"none": 0.0, "several": 0.0}
    lasted_s = dict(longest_s)
    while fleet.now_s < end_s:
        fleet.run(fleet.now_s + SAMPLE_S)
        holders = fleet.holders(LIMITED)
        if holders is None:
            continue
        found = {"none": not holders, "several": len(holders) > 1}
        for name, is_found in found.items():
            lasted_s[name] = lasted_s[name] + SAMPLE_S if is_found else 0.0
            longest_s[name] = max(longest_s[name], lasted_s[name])
    return longest_s


def play_kill(fleet):
    """Kills the daemon that holds the limit; returns what went wrong."""
    fleet.run(8.0)
    fleet.forget_arrivals()
    fleet.name_limit(LIMITED, "6")
    before_s = watch_holders(fleet, 16.0)
    for member in (fleet.holders(LIMITED) or [])[:1]:
        member.is_dead = True
    after_s = watch_holders(fleet, END_S)
    wrong = []
    for lasted_s in (before_s, after_s):
        if lasted_s["none"] > steered_fleet.TAKE_OVER_S:
            wrong.append(f"held by none for {lasted_s['none']} s")
        if lasted_s["several"] > YIELD_S:
            wrong.append(f"held by several for {lasted_s['several']} s")
    times_s = fleet.told_arrivals(LIMITED)
    most = request_limit_steps.most_in_window(times_s, 11.0)
    if most > 41:
        wrong.append(f"{most} requests in 4 s")
    return wrong


@behave.when(
    "the holder of a limit is killed in fleets from seeds {first:d} to {last:d}"
)
def step_kill(context, first, last):
    async def run():
        context.wrong = {}
        for seed in range(first, last + 1):
            wrong = play_kill(random_fleet(seed))
            if wrong:
                context.wrong[seed] = wrong

    asyncio.run(run())


@behave.then("one daemon held it before, and one after, within the limit")
def step_one_holder(context):
    assert not context.wrong, context.wrong


@behave.then("all daemons that serve callers know each other")
def step_know(context):
    members = [m for m in context.steered.members if m.world.sent]
    assert len(members) >= 4, members
    ids = {m.id for m in members}
    for member in members:
        known = member.monitor.fleet_view.serving_ids(member.world.clock.time_s)
        assert ids <= known, (member.id, ids - known)
