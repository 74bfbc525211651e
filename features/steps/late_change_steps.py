"""Steps on how late daemons know the changes of the store."""

from __future__ import annotations

import asyncio
import random

import behave

from dotterelpath.domain import steering
from dotterelpath.tasks import fleet_events
from features.support import following_fleet
from features.support import simulated_paths
from features.support import simulated_time

APPLY_S = 2.0
# A daemon without reports has reached its longest wait by then, in seconds.
SETTLED_S = 1012.0
SIZES = (1, 2, 3, 6, 16)
LARGE_APPLY_S = 2.5
LARGE_CHANGE_S = 1010.0
LARGE_BYTES = 364_000
STORE_MBPS = 1000.0


@behave.given("a daemon that watches the store for itself while it changes")
def step_lone_daemon(context):
    context.sizes = [1]


def play_loss(sizes, start_s, duration_s):
    """Plays one loss of answers, and returns the late daemons."""

    async def play(loop):
        fleet = following_fleet.FollowingFleet(loop, 1, sizes, 0.2, APPLY_S)
        fleet.members[0].faults.append(
            following_fleet.Fault(start_s, start_s + duration_s, "silent")
        )
        return await fleet.play(25.0, (0.8, 1.6))

    return simulated_time.run(play)


@behave.when(
    "answers to it are lost for {duration_s:g} seconds, at each of {count:d}"
    " moments"
)
def step_short_losses(context, duration_s, count):
    context.late = {
        number: found
        for number in range(count)
        if (
            found := play_loss(
                context.sizes, SETTLED_S + number * 0.117, duration_s
            )
        )
    }


@behave.then("it knew each change within 2 seconds once it was in touch")
@behave.then("each daemon in touch knew each change within 2 seconds")
@behave.then("each daemon in touch knew each change within 2.5 seconds")
def step_in_time(context):
    oldest = {
        seed: max((round(age_s, 2), daemon.id) for _, daemon, age_s in found)
        for seed, found in context.late.items()
    }
    assert not oldest, oldest


@behave.when(
    "answers are lost for 1 second and another daemon reports the change"
)
def step_reported(context):
    context.delays_s = []
    for number in range(20):
        start_s = SETTLED_S + number * 0.231
        context.delays_s.append(simulated_time.run(report_in_loss(start_s)))


def report_in_loss(start_s):
    """Loses a change, and reports it once answers arrive again.

    Returns what plays it and returns how long the daemon took, in seconds.
    """

    async def play(loop):
        fleet = following_fleet.FollowingFleet(loop, 1, [1], 0.2, APPLY_S)
        member = fleet.members[0]
        member.faults.append(
            following_fleet.Fault(start_s, start_s + 1.0, "silent")
        )
        tasks = fleet.start()
        await asyncio.sleep(start_s + 0.5 - loop.time())
        fleet.store.change()
        await asyncio.sleep(start_s + 1.01 - loop.time())
        reported_s = loop.time()
        member.reader_inbox.force(
            fleet_events.PositionReceived(
                "peer", fleet.store.position, reported_s, reported_s
            )
        )
        while member.known < fleet.store.position:
            await asyncio.sleep(following_fleet.CHECK_S / 10.0)
            member.note_known()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return loop.time() - reported_s

    return play


@behave.then("it knew the change within 0.5 seconds of the report")
def step_read_soon(context):
    assert max(context.delays_s) <= 0.5, sorted(context.delays_s)


@behave.given(
    "fleets with data centres of 1 to 16 daemons and {stale_s:g} s old stale"
    " reads"
)
def step_fleets(context, stale_s):
    context.max_stale_s = stale_s


@behave.when(
    "paths to the store and between daemons fail at random, from {seeds:d}"
    " seeds"
)
def step_random_faults(context, seeds):
    context.late = {
        seed: late
        for seed in range(seeds)
        if (late := play_random_faults(seed, context.max_stale_s))
    }


@behave.when(
    "the store is restored while paths fail at random, from {seeds:d} seeds"
)
def step_random_drills(context, seeds):
    context.late = {}
    context.wrong = {}
    for seed in range(seeds):
        late, wrong = play_random_drills(seed, context.max_stale_s)
        if late:
            context.late[seed] = late
        if wrong:
            context.wrong[seed] = wrong


def play_random_drills(seed, max_stale_s):
    """Plays drills and faults of a random fleet.

    Returns the late daemons, and what daemons knew that the store never had.
    """
    source = random.Random(f"drills {seed}")
    sizes = [source.choice(SIZES) for _ in range(source.choice((1, 2, 3)))]

    async def play(loop):
        fleet = following_fleet.FollowingFleet(
            loop, seed, sizes, max_stale_s, APPLY_S
        )
        if source.random() < 0.7:
            following_fleet.add_faults(fleet, source, 1005.0, 1040.0)
        late = await fleet.play_drills(
            45.0, following_fleet.draw_drills(source, 1006.0, 1035.0)
        )
        wrong = {m.id: m.wrong[:3] for m in fleet.members if m.wrong}
        return late, wrong

    return simulated_time.run(play)


@behave.then("each daemon always knew the store as it was at one position")
def step_never_wrong(context):
    assert not context.wrong, context.wrong


@behave.when(
    "paths to the store and between daemons fail at random, from seed {seed:d}"
)
def step_one_seed(context, seed):
    late = play_random_faults(seed, context.max_stale_s)
    context.late = {seed: late} if late else {}


def play_random_faults(seed, max_stale_s):
    """Plays random faults of a random fleet, and returns the late daemons."""
    source = random.Random(seed)
    sizes = [source.choice(SIZES) for _ in range(source.choice((1, 2, 3)))]

    async def play(loop):
        fleet = following_fleet.FollowingFleet(
            loop, seed, sizes, max_stale_s, APPLY_S
        )
        following_fleet.add_faults(fleet, source, 1005.0, 1035.0)
        return await fleet.play(40.0, (0.3, 4.0))

    return simulated_time.run(play)


@behave.given("a fleet of 103 daemons with links of {low:g} to {high:g} Mbit/s")
@behave.given("fleets of daemons with links of {low:g} to {high:g} Mbit/s")
def step_slow_links(context, low, high):
    context.link_mbps = (low, high)


@behave.when("a configuration of {size_kb:d} kB changes once")
def step_one_large_change(context, size_kb):
    play_large_changes(context, [(LARGE_CHANGE_S, size_kb * 1000)])


@behave.when(
    "a configuration of {size_kb:d} kB changes each {gap_s:g} seconds for"
    " {duration_s:g} seconds"
)
def step_large_changes(context, size_kb, gap_s, duration_s):
    changes = [
        (LARGE_CHANGE_S + number * gap_s, size_kb * 1000)
        for number in range(int(duration_s / gap_s))
    ]
    play_large_changes(context, changes)


@behave.when(
    "instances leave while a configuration of {size_kb:d} kB changes each"
    " second"
)
def step_leave_beside(context, size_kb):
    changes = []
    for number in range(8):
        at_s = LARGE_CHANGE_S + number
        changes.append((at_s, size_kb * 1000))
        changes += [
            (at_s + tenths / 10.0, simulated_paths.SMALL_BYTES)
            for tenths in (1, 3, 5, 7)
        ]
    play_large_changes(context, changes)


def play_large_changes(context, changes):
    """Plays changes of a large configuration without any fault."""

    async def play(loop):
        fleet = slow_fleet(loop, 1, [35, 34, 34], context.link_mbps)
        late = await fleet.play_changes(25.0, iter(changes))
        context.lost = {m.id: m.lost_count for m in fleet.members}
        return late

    late = simulated_time.run(play)
    context.late = {1: late} if late else {}


def slow_fleet(loop, seed, sizes, link_mbps):
    """Creates a fleet of daemons that differ in processor and link."""
    source = random.Random(f"resources {seed}")
    low, high = link_mbps

    def draw_resources():
        return steering.Resources(
            source.uniform(0.43, 2.15), low * (high / low) ** source.random()
        )

    fleet = following_fleet.FollowingFleet(
        loop, seed, sizes, 0.2, LARGE_APPLY_S, draw_resources
    )
    fleet.store.link = simulated_paths.Link(
        loop, STORE_MBPS * simulated_paths.MBIT_BYTES
    )
    return fleet


@behave.when(
    "large changes come and paths fail at random, from {seeds:d} seeds"
)
def step_large_and_faults(context, seeds):
    context.late = {
        seed: late
        for seed in range(seeds)
        if (late := play_large_and_faults(seed, context.link_mbps))
    }


@behave.when("large changes come and paths fail at random, from seed {seeds}")
@behave.when("large changes come and paths fail at random, from seeds {seeds}")
def step_large_and_fault_seeds(context, seeds):
    context.late = {
        seed: late
        for seed in map(int, seeds.split(", "))
        if (late := play_large_and_faults(seed, context.link_mbps))
    }


def play_large_and_faults(seed, link_mbps):
    """Plays random faults while a large configuration changes."""
    source = random.Random(f"large {seed}")
    sizes = [source.choice(SIZES) for _ in range(source.choice((1, 2, 3)))]

    def draw_changes():
        at_s = LARGE_CHANGE_S
        while True:
            size = source.choice((LARGE_BYTES, simulated_paths.SMALL_BYTES))
            yield at_s, size
            at_s += source.uniform(0.3, 4.0)

    async def play(loop):
        fleet = slow_fleet(loop, seed, sizes, link_mbps)
        following_fleet.add_faults(fleet, source, 1005.0, 1035.0)
        return await fleet.play_changes(40.0, draw_changes())

    return simulated_time.run(play)


@behave.then("no daemon took the store for unavailable")
def step_no_loss(context):
    lost = {id: count for id, count in context.lost.items() if count}
    assert not lost, lost
