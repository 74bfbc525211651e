"""Steps on drills, in which the store comes back from an older copy."""

from __future__ import annotations

import time
import urllib.parse

import behave

from dotterelpath.platform import store_item_codec
from features import environment
from features.steps import following_steps
from standins import fleet as fleet_harness
from standins import gateway_fleet

# What is written before this time is in the copy, in seconds.
COPY_MARGIN_S = 0.3
AWAY_S = 0.5
# Before everything that was written, in seconds.
LONG_AGO_S = 1e6
LEAVING_ID = "i-presses-2"


def write_entries(context, count):
    """Writes the entry of an instance a number of times."""
    for _ in range(count):
        context.sequence = getattr(context, "sequence", 1) + 1
        context.fleet.register_instance(
            "i-presses-1",
            "presses",
            born=context.fleet.instance_epoch,
            sequence=context.sequence,
        )


@behave.given(
    "all daemons know {count:d} changes that a copy of the store lacks"
)
def step_unsaved_changes(context, count):
    following_steps.wait_for_two_watching(context.fleet)
    time.sleep(COPY_MARGIN_S)
    context.copied_s = time.monotonic()
    time.sleep(COPY_MARGIN_S)
    # The last change shows that the daemons know those before it.
    write_entries(context, count - 1)
    context.fleet.configure(*environment.ROUTES)
    context.fleet.wait_for_configuration(context.fleet.version)


@behave.when(
    "the store comes back from that copy, and has {count:d} newer changes"
)
def step_drill(context, count):
    moved = gateway_fleet.route("/presses/", "deposits")
    restore(
        context,
        lambda: context.fleet.configure(moved, *environment.ROUTES[1:]),
        count,
    )


@behave.when(
    "the store comes back from that copy, has {count:d} newer changes, and an"
    " instance is removed by the first of them"
)
def step_drill_and_removal(context, count):
    restore(context, lambda: context.fleet.remove_instance(LEAVING_ID), count)


def restore(context, change, count):
    """Takes the store away and back; it has a change and others when back."""
    context.fleet.set_store_faults(down=True)
    time.sleep(AWAY_S)
    age_s = time.monotonic() - context.copied_s
    fleet_harness.post(context.fleet.store, "/_restore", {"age_s": age_s})
    change()
    write_entries(context, count - 1)
    context.fleet.set_store_faults()
    context.returned_s = time.monotonic()


@behave.then("no daemon uses the instance after {seconds:g} seconds")
def step_not_used(context, seconds):
    time.sleep(max(0.0, context.returned_s + seconds - time.monotonic()))
    using = [
        node.id
        for node in context.fleet.gateways.values()
        if LEAVING_ID in context.fleet.instance_states(node, "presses")
    ]
    assert not using, using


@behave.when("the store comes back from a copy without any entry")
def step_empty_copy(context):
    fleet = context.fleet
    fleet.set_store_faults(down=True)
    time.sleep(AWAY_S)
    fleet_harness.post(fleet.store, "/_restore", {"age_s": LONG_AGO_S})
    for instance_id in fleet.instances:
        service = instance_id.split("-")[1]
        fleet.register_instance(instance_id, service, born=fleet.instance_epoch)
    fleet.configure(*environment.ROUTES)
    fleet.set_store_faults()


@behave.then("it has the entries of all daemons within {seconds:g} seconds")
def step_entries(context, seconds):
    store = context.fleet.store
    prefix = urllib.parse.quote(store_item_codec.DAEMON_PREFIX)

    def listed():
        path = f"/v1/kv-range?prefix={prefix}"
        items = fleet_harness.call(store, "GET", path).json()["items"]
        return len(items) == len(context.fleet.gateways)

    fleet_harness.wait_until(listed, "the entries of all daemons", seconds)


@behave.then(
    "the first of them, of the configuration, is in force within 2 seconds"
)
def step_in_force(context):
    nodes = list(context.fleet.gateways.values())
    fleet_harness.wait_until(
        lambda: set(following_steps.versions(nodes)) == {context.fleet.version},
        "the newest version everywhere",
    )
    took_s = time.monotonic() - context.returned_s
    assert took_s < 2.0, took_s
