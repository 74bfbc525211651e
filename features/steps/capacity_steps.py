"""Steps on the load that a large fleet causes, without processes."""

from __future__ import annotations

import asyncio
import random

import behave

from dotterelpath import errors
from dotterelpath.adapters import call_budget
from dotterelpath.adapters import metrics as metrics_adapter
from dotterelpath.adapters import store_client
from dotterelpath.domain import addresses
from dotterelpath.domain import exchange
from dotterelpath.domain import fleet_membership
from dotterelpath.domain import hashing
from dotterelpath.domain import keys
from dotterelpath.domain import store_position
from dotterelpath.domain import vms
from dotterelpath.platform import store_codec
from dotterelpath.ports import store
from features.support import world as world_module

WINDOW_S = 100.0
POSITION = store_position.Position(0, 7)
TICK_S = 0.05


@behave.given("{count:d} daemons that call the store as often as they can")
def step_daemon_count(context, count):
    context.count = count


@behave.then("after the bursts they make at most {rate:d} {kind} a second")
def step_call_rate(context, rate, kind):
    clock = world_module.FakeClock()
    fleet_rate = {
        "reads": store_client.FLEET_RATES.reads_per_s,
        "writes": store_client.FLEET_RATES.writes_per_s,
    }[kind]
    budget = call_budget.CallBudget(clock, fleet_rate, 20.0)
    budget.set_daemon_count(context.count)
    spend_all(budget)
    calls = 0
    for _ in range(int(WINDOW_S / TICK_S)):
        clock.time_s += TICK_S
        calls += spend_all(budget)
    assert calls * context.count / WINDOW_S <= rate * 1.01, calls


def spend_all(budget):
    """Spends the budget until it refuses a call, and counts the calls."""
    calls = 0
    while True:
        try:
            budget.spend()
        except errors.StoreError:
            return calls
        calls += 1


class AnsweringClient:
    """Answers each call of the store client with no changes."""

    async def call(self, host, port, request, timeout_s, transfer=None):
        body = b'{"events": [], "store_revision": 7}'
        return exchange.Response(200, [], body)


@behave.given(
    "one of {count:d} daemons, which share {rate:d} reads a second of the store"
)
def step_one_of_many(context, count, rate):
    context.clock = world_module.FakeClock()
    context.store = store_client.StoreClient(
        "127.0.0.1",
        1,
        AnsweringClient(),
        context.clock,
        metrics_adapter.Metrics(),
        store_codec.StoreCodec(),
        store.CallRates(float(rate), 200.0),
    )
    context.store.set_daemon_count(count)


@behave.when("it makes {rate:d} stale reads a second for {minutes:d} minutes")
def step_stale_reads(context, rate, minutes):
    async def read():
        refused = 0
        for _ in range(minutes * 60 * rate):
            context.clock.time_s += 1.0 / rate
            try:
                await context.store.watch("", POSITION, 0.0, may_be_stale=True)
            except errors.StoreError:
                refused += 1
        return refused

    context.refused = asyncio.run(read())


@behave.then("none of them is refused")
def step_none_refused(context):
    assert context.refused == 0, context.refused


@behave.then(
    "at most {rate:g} exact reads a second are left to it after the burst"
)
def step_exact_reads(context, rate):
    async def read_all():
        made = 0
        while True:
            try:
                await context.store.watch("", POSITION, 0.0)
            except errors.StoreError:
                return made
            made += 1

    async def read():
        await read_all()
        made = 0
        for _ in range(int(WINDOW_S)):
            context.clock.time_s += 1.0
            made += await read_all()
        return made

    made = asyncio.run(read())
    assert made / WINDOW_S <= rate, made


@behave.given(
    "{count:d} live daemons of which {watcher_count:d} may watch the store"
)
def step_watchers(context, count, watcher_count):
    live = [f"entry-{n}" for n in range(count)]
    context.watching = [
        name
        for name in live
        if name in hashing.ranked("store watch", live)[:watcher_count]
    ]


@behave.then("{count:d} of them watch")
def step_watching(context, count):
    assert len(context.watching) == count


@behave.given("{count:d} live daemons in {centre_count:d} data centres")
def step_data_centres(context, count, centre_count):
    context.centre_count = centre_count
    context.locations = [
        addresses.DaemonLocation(f"entry-{n}", "abcdef"[n % centre_count])
        for n in range(count)
    ]


@behave.then(
    "each service is served by at most {max_count:d} of them, in all data"
    " centres"
)
def step_subset(context, max_count):
    context.sizes = set()
    for number in range(20):
        chosen = addresses.subset(f"s{number}", context.locations)
        context.sizes.add(len(chosen))
        assert len(chosen) <= max_count, len(chosen)
        assert len({p.data_centre for p in chosen}) == context.centre_count


@behave.then("the number of serving daemons is known without ranking")
def step_serving_count(context):
    assert context.sizes == {addresses.serving_daemon_count(context.locations)}


class Fleet:
    """Daemons' membership tables that exchange heartbeats in rounds."""

    __slots__ = ("now_s", "random", "silent", "views")

    def __init__(self, count):
        self.random = random.Random(5)
        self.now_s = 0.0
        self.silent = None
        listed = [
            vms.Vm(f"entry-{n:03}", vms.VmRole.ENTRY, "h", 1, "a")
            for n in range(count)
        ]
        self.views = {}
        for vm in listed:
            view = fleet_membership.Membership(keys.Home(vm.id, "1"), 0.0)
            view.set_vms(listed, 0.0)
            self.views[vm.id] = view

    def round(self):
        """Lets each daemon but the silent one send its heartbeats."""
        self.now_s += 1.0
        for name, view in self.views.items():
            if name == self.silent:
                continue
            for target in view.heartbeat_targets(self.random):
                self.exchange(view, target)

    def exchange(self, view, target):
        """Sends a heartbeat to a daemon and its reply back."""
        view.on_heartbeat_sent(target, self.now_s)
        if target == self.silent:
            view.on_missing_reply(target, self.now_s)
            return
        other = self.views[target]
        other.on_heartbeat(make_heartbeat(view), self.now_s)
        view.on_reply(target)
        view.on_heartbeat(make_heartbeat(other), self.now_s)

    def rounds_until(self, name, state, max_rounds):
        """Counts the rounds until all others see a daemon in a state.

        Returns:
            The number of rounds, or None if max_rounds are not enough.
        """
        for number in range(max_rounds):
            self.round()
            states = {
                view.peers[name].state
                for own, view in self.views.items()
                if own != name
            }
            if states == {state}:
                return number + 1
        return None


def make_heartbeat(view):
    return fleet_membership.Heartbeat(
        view.own,
        view.counter,
        view.own_state,
        1,
        1,
        0.0,
        (),
        view.take_updates(),
    )


@behave.given("{count:d} daemons that only exchange heartbeats")
def step_fleet(context, count):
    context.gossip = Fleet(count)
    for _ in range(2):
        context.gossip.round()


@behave.when("one of them leaves")
def step_leaves(context):
    context.name = "entry-123"
    context.gossip.views[context.name].leave()


@behave.then("all others know within {max_count:d} rounds")
def step_all_know(context, max_count):
    leaving = fleet_membership.DaemonState.LEAVING
    rounds = context.gossip.rounds_until(context.name, leaving, max_count)
    assert rounds is not None


@behave.when("one of them falls silent")
def step_silent(context):
    context.name = context.gossip.silent = "entry-123"


@behave.when("it starts again and falls silent after {count:d} rounds")
def step_restart(context, count):
    old = context.gossip.views[context.name]
    new = fleet_membership.Membership(keys.Home(context.name, "2"), 0.0)
    listed = [peer.vm for peer in old.peers.values()]
    new.set_vms(listed, 0.0)
    context.gossip.views[context.name] = new
    for _ in range(count):
        context.gossip.round()
    context.gossip.silent = context.name


@behave.then("all others suspect it within {max_count:d} rounds")
def step_all_suspect(context, max_count):
    suspected = fleet_membership.DaemonState.SUSPECTED
    rounds = context.gossip.rounds_until(context.name, suspected, max_count)
    assert rounds is not None


@behave.then("no other daemon is suspected")
def step_none_else_suspected(context):
    for own, view in context.gossip.views.items():
        falsely_suspected = [
            name
            for name, peer in view.peers.items()
            if peer.state is fleet_membership.DaemonState.SUSPECTED
            and name != context.name
        ]
        assert own == context.name or not falsely_suspected, falsely_suspected
