"""Steps that replay which daemons callers are sent to."""

from __future__ import annotations

import behave

from dotterelpath.domain import fleet_view
from dotterelpath.domain import steering

FLEET_SIZE = steering.Resources(1.0, 100.0)
IDLE = steering.Resources(0.1, 1.0)
LARGE = steering.Resources(2.0, 200.0)
SMALL = steering.Resources(0.4, 10.0)


@behave.given("a fleet of 9 daemons in three data centres")
def step_fleet(context):
    context.fleet_view = fleet_view.FleetView("d0", ("a", "r"))
    context.fleet_view.set_daemons(
        {
            f"d{n}": steering.Daemon(
                f"d{n}", "abc"[n % 3], "r", "h", n, "h", n, FLEET_SIZE
            )
            for n in range(9)
        }
    )


def chosen(context, now_s, data_centre="b"):
    return context.fleet_view.choose(data_centre, "r", now_s)


def answer_all(context, now_s, *silent, **states):
    for daemon in context.fleet_view.to_ping(now_s):
        if daemon.id not in silent:
            state = states.get(daemon.id, steering.DaemonState.READY)
            context.fleet_view.record_response(daemon.id, state, IDLE, now_s)


@behave.then("a caller is sent to one daemon of its data centre")
def step_one(context):
    found = chosen(context, 0.0)
    assert [d.data_centre for d in found] == ["b"]


@behave.then("a silent daemon is followed by another of its data centre")
def step_silent_daemon(context):
    first = chosen(context, 0.0)[0].id
    for tenth in range(0, 13):
        chosen(context, tenth / 10)
        answer_all(context, tenth / 10, first)
    followed = chosen(context, 1.3)
    assert followed[0].id != first and followed[0].data_centre == "b"
    answer_all(context, 1.4)
    assert chosen(context, 1.4)[0].id == first


@behave.then("a leaving daemon is followed at once")
def step_leaving_daemon(context):
    first = chosen(context, 2.0)[0].id
    answer_all(context, 2.0, **{first: steering.DaemonState.LEAVING})
    assert chosen(context, 2.0)[0].id != first
    answer_all(context, 2.1)


@behave.then("a busy daemon is helped by a second one")
def step_busy(context):
    first = chosen(context, 2.2)[0].id
    busy = steering.Resources(0.9, 1.0)
    context.fleet_view.record_response(
        first, steering.DaemonState.READY, busy, 2.2
    )
    assert len(chosen(context, 2.2)) == 2


@behave.then("a caller without daemons nearby is sent to another data centre")
def step_far(context):
    assert chosen(context, 3.0, "d")


@behave.given("a data centre with 2 large and {count:d} small daemons")
def step_mixed_fleet(context, count):
    context.fleet_view = fleet_view.FleetView("watcher", ("b", "r"))
    sizes = {f"large-{n}": LARGE for n in range(2)}
    sizes.update({f"small-{n}": SMALL for n in range(count)})
    context.fleet_view.set_daemons(
        {
            id: steering.Daemon(id, "b", "r", "h", 1, "h", 2, size)
            for id, size in sizes.items()
        }
    )


def share_load(context, used, start_s, seconds, dead=()):
    """Replays callers that follow the address answers, one a quarter second.

    Each named daemon carries an equal share of the load, up to what it can.
    """
    for quarter in range(int(seconds * 4)):
        now_s = start_s + quarter / 4
        named = chosen(context, now_s)
        count = len(named)
        for daemon in context.fleet_view.to_ping(now_s):
            if daemon.id in dead:
                continue
            carried = steering.Resources(0.0, 0.0)
            if daemon in named:
                carried = steering.Resources(
                    min(used.cores / count, daemon.resources.cores),
                    min(used.link_mbps / count, daemon.resources.link_mbps),
                )
            context.fleet_view.record_response(
                daemon.id, steering.DaemonState.READY, carried, now_s
            )
    return [d.id for d in chosen(context, start_s + seconds)]


@behave.when(
    "callers use {cores:g} cores and {mbps:g} Mbit/s for {seconds:g} s"
)
def step_load(context, cores, mbps, seconds):
    context.used = steering.Resources(cores, mbps)
    context.named = share_load(context, context.used, 0.0, seconds)


@behave.then("they are sent to {count:d} large daemon")
@behave.then("they are sent to {count:d} large daemons")
def step_large(context, count):
    assert len(context.named) == count, context.named
    assert all(i.startswith("large") for i in context.named), context.named


@behave.when("both large daemons die")
def step_large_die(context):
    dead = ("large-0", "large-1")
    share_load(context, context.used, 10.0, 1.0, dead)
    context.named = [d.id for d in chosen(context, 11.0)]


@behave.then("within a second enough small ones are named for the load")
def step_small(context):
    count = len(context.named)
    assert all(i.startswith("small") for i in context.named), context.named
    share = steering.Resources(
        context.used.cores / count, context.used.link_mbps / count
    )
    assert share.share_of(SMALL) <= steering.MAX_UTILIZATION, count
    assert (
        count <= 2 * context.used.share_of(SMALL) / steering.MAX_UTILIZATION
    ), count


@behave.then("{count:d} daemons are named")
def step_named(context, count):
    assert len(context.named) == count, len(context.named)
