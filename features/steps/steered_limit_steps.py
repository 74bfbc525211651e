"""Steps on limits in a fleet whose data centres have unequal load."""

from __future__ import annotations

import asyncio

import behave

from features.steps import request_limit_steps
from features.support import steered_fleet

END_S = 28.0
LIMITED = "i0"
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


@behave.then("all daemons that serve callers know each other")
def step_know(context):
    members = [m for m in context.steered.members if m.world.sent]
    assert len(members) >= 4, members
    ids = {m.id for m in members}
    for member in members:
        known = member.monitor.fleet_view.serving_ids(member.world.clock.time_s)
        assert ids <= known, (member.id, ids - known)
