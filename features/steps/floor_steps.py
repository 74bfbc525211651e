"""Steps on ejections and floors, without processes."""

from __future__ import annotations

import behave

from dotterelpath.domain import document
from dotterelpath.domain import ledger
from dotterelpath.domain import pool
from dotterelpath.domain import vms
from features.support import ledger_machine

EJECTION_POLICY = document.EjectionPolicy.FALSE_EJECTIONS


def list_vms(context):
    """Lists the service's instances."""
    return [
        vms.Vm(name, vms.VmRole.BACKEND, "h", 1, "a", state, "s")
        for name, state in context.states.items()
    ]


def update_ledger(context, confirmed):
    """Updates the ledger for instances confirmed as unhealthy."""
    newer = ledger.next_ledger(
        context.ledger,
        ledger.available_instances(list_vms(context)),
        context.floor,
        confirmed,
        context.wall_s,
    )
    if newer is not None:
        newer.revision = context.ledger.revision + 1
        context.ledger = newer


def report_unhealthy(context, daemons, data_centres, count):
    """Reports the first instances as unhealthy and updates the ledger."""
    scores = {f"i{n}": 30.0 for n in range(count)}
    for number in range(daemons):
        data_centre = data_centres[number % len(data_centres)]
        context.reports.update(f"d{number}", data_centre, scores, 0.0)
    update_ledger(
        context,
        context.reports.confirmed_unhealthy(
            0.0, 3, context.centre_count, EJECTION_POLICY
        ),
    )


@behave.given("a service of {count:d} instances with a floor of {floor:d}")
def step_service(context, count, floor):
    context.states = {f"i{n}": vms.VmState.LIVE for n in range(count)}
    context.floor = floor
    context.wall_s = 0.0
    context.ledger = ledger.Ledger("s")
    context.reports = ledger.SuspicionReports()
    context.centre_count = 3


@behave.given("all daemons are in one data centre")
def step_one_data_centre(context):
    context.centre_count = 1


@behave.given("{count:d} of its healthy instances are {state}")
def step_states(context, count, state):
    for name in list(context.states)[-count:]:
        context.states[name] = vms.VmState(state)


@behave.when("all daemons report {count:d} of them as unhealthy")
def step_all_report(context, count):
    report_unhealthy(context, 3, "abc", count)


@behave.when("1 daemon reports {count:d} of them as unhealthy")
def step_one_reports(context, count):
    report_unhealthy(context, 1, "a", count)


@behave.when(
    "{daemons:d} daemons of one data centre report {count:d} of them as"
    " unhealthy"
)
def step_one_centre_reports(context, daemons, count):
    report_unhealthy(context, daemons, "a", count)


@behave.when("the owners raise the floor to {floor:d}")
def step_raise_floor(context, floor):
    context.floor = floor
    update_ledger(context, ["i0", "i1"])


@behave.when("{count:d} of its healthy instances leaves the list")
def step_leave_list(context, count):
    for name in list(context.states)[-count:]:
        del context.states[name]
    update_ledger(context, ["i0", "i1"])


@behave.then("{count:d} are ejected")
def step_ejected(context, count):
    assert len(context.ledger.ejected) == count, context.ledger.ejected


@behave.given("a pool whose ledger ejects {count:d} of them")
def step_pool(context, count):
    service = document.Service("s", context.floor)
    context.pool = pool.Pool(service)
    context.pool.set_vms(list_vms(context), 0.0)
    ejected = tuple(f"i{n}" for n in range(count))
    context.pool.set_ledger(ejected, frozenset())
    assert len(context.pool.rotation) == len(context.states) - count


@behave.when("1 healthy instance signals that it is draining")
def step_drains(context):
    context.pool.mark_draining("i5", 1.0)


@behave.then("the pool has {count:d} in rotation")
def step_rotation(context, count):
    assert len(context.pool.rotation) == count, context.pool.rotation
    assert "i5" not in context.pool.rotation


@behave.when(
    "two coordinators each eject 2 different ones from the same ledger"
)
def step_concurrent_changes(context):
    available = ledger.available_instances(list_vms(context))
    context.changes = [
        ledger.next_ledger(context.ledger, available, 4, unhealthy, 0.0)
        for unhealthy in (["i0", "i1"], ["i2", "i3"])
    ]


@behave.then("{count:d} are ejected after both saved by compare-and-swap")
def step_saved(context, count):
    for newer in context.changes:
        if newer.revision == context.ledger.revision:
            newer.revision += 1
            context.ledger = newer
    assert len(context.ledger.ejected) == count, context.ledger.ejected


@behave.then("it is on trial after {seconds:d} s")
@behave.then("on trial after {seconds:d} s")
def step_trial(context, seconds):
    context.wall_s = context.ledger.entries["i0"].changed_s + seconds
    update_ledger(context, [])
    assert context.ledger.trial == ("i0",), context.ledger.entries


@behave.when("the trials of both begin and another is reported as unhealthy")
def step_both_on_trial(context):
    context.wall_s += ledger.FIRST_EJECTION_S
    update_ledger(context, [])
    assert len(context.ledger.trial) == 2, context.ledger.entries
    update_ledger(context, ["i4"])


@behave.then("fully restored after another {seconds:d} s")
def step_restored(context, seconds):
    context.wall_s += seconds
    update_ledger(context, [])
    assert not context.ledger.trial and not context.ledger.ejected


@behave.when("all daemons report it as unhealthy again")
def step_report_again(context):
    update_ledger(context, ["i0"])
    assert context.ledger.ejected == ("i0",)


@behave.then("it is still ejected after {seconds:d} s")
def step_still_ejected(context, seconds):
    context.wall_s += seconds
    update_ledger(context, [])
    assert context.ledger.ejected == ("i0",), context.ledger.entries


@behave.when("the ledger machine runs {examples:d} examples of {steps:d} steps")
def step_machine(context, examples, steps):
    ledger_machine.check(examples, steps)
