"""Steps on which daemons callers are sent to, without processes."""

from __future__ import annotations

import behave

from dotterelpath.domain import fleet_view
from dotterelpath.domain import steering

RESOURCES = steering.Resources(1.0, 100.0)
IDLE_USAGE = steering.Resources(0.1, 1.0)
LARGE = steering.Resources(2.0, 200.0)
SMALL = steering.Resources(0.4, 10.0)


@behave.given("a fleet of 9 daemons in three data centres")
def step_fleet(context):
    context.fleet_view = fleet_view.FleetView("d0", ("a", "r"))
    context.fleet_view.set_daemons(
        {
            f"d{n}": steering.Daemon(
                f"d{n}", "abc"[n % 3], "r", "h", n, "h", n, RESOURCES
            )
            for n in range(9)
        }
    )


def choose_daemons(context, now_s, data_centre="b"):
    """Chooses the daemons for callers of a data centre."""
    return context.fleet_view.choose(data_centre, "r", now_s)


def record_responses(context, now_s, *silent, **states):
    """Records a response of each daemon to ping, but the silent ones."""
    for daemon in context.fleet_view.to_ping(now_s):
        if daemon.id not in silent:
            state = states.get(daemon.id, steering.DaemonState.READY)
            context.fleet_view.record_response(
                daemon.id, state, IDLE_USAGE, now_s
            )


@behave.then("a caller is sent to one daemon of its data centre")
def step_one_daemon(context):
    found = choose_daemons(context, 0.0)
    assert [d.data_centre for d in found] == ["b"]


@behave.then("a silent daemon is replaced by another of its data centre")
def step_silent_daemon(context):
    first = choose_daemons(context, 0.0)[0].id
    for tenth in range(0, 13):
        choose_daemons(context, tenth / 10)
        record_responses(context, tenth / 10, first)
    replacement = choose_daemons(context, 1.3)
    assert replacement[0].id != first and replacement[0].data_centre == "b"
    record_responses(context, 1.4)
    assert choose_daemons(context, 1.4)[0].id == first


@behave.then("a leaving daemon is replaced at once")
def step_leaving_daemon(context):
    first = choose_daemons(context, 2.0)[0].id
    record_responses(context, 2.0, **{first: steering.DaemonState.LEAVING})
    assert choose_daemons(context, 2.0)[0].id != first
    record_responses(context, 2.1)


@behave.then("a busy daemon is joined by a second one")
def step_busy(context):
    first = choose_daemons(context, 2.2)[0].id
    busy = steering.Resources(0.9, 1.0)
    context.fleet_view.record_response(
        first, steering.DaemonState.READY, busy, 2.2
    )
    assert len(choose_daemons(context, 2.2)) == 2


@behave.then("a caller without daemons nearby is sent to another data centre")
def step_remote(context):
    assert choose_daemons(context, 3.0, "d")


@behave.given("a data centre with 2 large and {count:d} small daemons")
def step_mixed_fleet(context, count):
    context.fleet_view = fleet_view.FleetView("watcher", ("b", "r"))
    resources_by_id = {f"large-{n}": LARGE for n in range(2)}
    resources_by_id.update({f"small-{n}": SMALL for n in range(count)})
    context.fleet_view.set_daemons(
        {
            id: steering.Daemon(id, "b", "r", "h", 1, "h", 2, resources)
            for id, resources in resources_by_id.items()
        }
    )


def simulate_load(context, used, start_s, seconds, failed=()):
    """Simulates callers that resolve the address four times a second.

    Each selected daemon gets an equal share of the load, up to its resources.
    """
    for quarter in range(int(seconds * 4)):
        now_s = start_s + quarter / 4
        selected = choose_daemons(context, now_s)
        count = len(selected)
        for daemon in context.fleet_view.to_ping(now_s):
            if daemon.id in failed:
                continue
            usage = steering.Resources(0.0, 0.0)
            if daemon in selected:
                usage = steering.Resources(
                    min(used.cores / count, daemon.resources.cores),
                    min(used.link_mbps / count, daemon.resources.link_mbps),
                )
            context.fleet_view.record_response(
                daemon.id, steering.DaemonState.READY, usage, now_s
            )
    return [d.id for d in choose_daemons(context, start_s + seconds)]


@behave.when(
    "callers use {cores:g} cores and {mbps:g} Mbit/s for {seconds:g} s"
)
def step_load(context, cores, mbps, seconds):
    context.used = steering.Resources(cores, mbps)
    context.selected = simulate_load(context, context.used, 0.0, seconds)


@behave.then("they are sent to {count:d} large daemon")
@behave.then("they are sent to {count:d} large daemons")
def step_large_selected(context, count):
    assert len(context.selected) == count, context.selected
    assert all(i.startswith("large") for i in context.selected), (
        context.selected
    )


@behave.when("both large daemons fail")
def step_large_fail(context):
    failed = ("large-0", "large-1")
    simulate_load(context, context.used, 10.0, 1.0, failed)
    context.selected = [d.id for d in choose_daemons(context, 11.0)]


@behave.then(
    "within a second callers are sent to enough small ones for the load"
)
def step_small_selected(context):
    count = len(context.selected)
    assert all(i.startswith("small") for i in context.selected), (
        context.selected
    )
    share = steering.Resources(
        context.used.cores / count, context.used.link_mbps / count
    )
    assert share.share_of(SMALL) <= steering.MAX_UTILIZATION, count
    assert (
        count <= 2 * context.used.share_of(SMALL) / steering.MAX_UTILIZATION
    ), count


@behave.then("callers are sent to {count:d} daemons")
def step_selected_count(context, count):
    assert len(context.selected) == count, len(context.selected)
