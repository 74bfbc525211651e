"""Steps on backend servers that drain or refuse requests."""

from __future__ import annotations

import time

import behave

from features.support import calls
from standins import fleet as fleet_harness

GRACE_S = 3.0


def arrival_count(context, instance):
    port = context.fleet.backends[instance]
    served = fleet_harness.call(port, "GET", "/_runs").json()["served"]
    return served.get("arrived", 0)


def read_many(context, count, node="entry-1"):
    return [
        calls.send(context, node, "GET", f"/catalogue/{number}").result
        for number in range(count)
    ]


@behave.when("the VM list marks {instance} as leaving")
def step_listed_leaving(context, instance):
    leaving = context.fleet.backend_vm(instance, "catalogue", "a", "leaving")
    context.fleet.register_vms(leaving)


@behave.when(
    "{instance} announces draining in its responses and goes on serving"
)
def step_announces_draining(context, instance):
    context.fleet.set_mode(instance, sign_only=True)


@behave.when("{instance} refuses requests without announcing that it drains")
def step_refuses(context, instance):
    context.fleet.set_mode(instance, shed=True)


@behave.when("{instance} closes every connection")
def step_closes_connections(context, instance):
    context.fleet.set_mode(instance, closed=True)


@behave.then("{instance} gets no new requests after {seconds:d} s of load")
def step_no_new_requests(context, instance, seconds):
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        for node in context.fleet.nodes:
            read_many(context, 8, node)
    before = arrival_count(context, instance)
    for node in context.fleet.nodes:
        read_many(context, 60, node)
    after = arrival_count(context, instance)
    assert after == before, f"{instance} got {after - before} new requests"


@behave.then("{count:d} reads through {node} all succeed")
def step_all_succeed(context, count, node):
    results = read_many(context, count, node)
    assert set(results) == {1000}, results
