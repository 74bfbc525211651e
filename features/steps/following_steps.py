"""Steps on how daemons learn of the store's changes."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import time

import behave

from dotterelpath.adapters import clock
from dotterelpath.domain import fleet_view
from dotterelpath.domain import registry
from dotterelpath.domain import store_following
from dotterelpath.ports import store as store_port
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import registrar
from dotterelpath.tasks import store_reader
from features import environment
from features.support import positions
from standins import fleet as fleet_harness
from standins import gateway_fleet

# Time for which daemons must keep instances whose entries expired during an
# outage, in seconds; the entries reappear about two seconds after its end.
REAPPEAR_S = 1.7
# How long a call to a store takes that responds, in seconds.
CALL_S = 0.02


def find_watching(fleet, data_centre):
    """Finds the daemons of a data centre that watch the store."""
    nodes = [
        node
        for node in fleet.gateways.values()
        if node.data_centre == data_centre
    ]
    found = []
    for node in nodes:
        is_watching = fleet_harness.status(node.metrics_port)["store_watched"]
        if is_watching:
            found.append(node)
    return found


def versions(nodes):
    """Reads the versions of the configuration that daemons have in force."""
    return [fleet_harness.status(n.metrics_port)["version"] for n in nodes]


def counts(context):
    """Reads how often the store was called, by kind of call."""
    return fleet_harness.call(context.fleet.store, "GET", "/_counts").json()


def wait_for_two_watching(fleet):
    """Waits until two daemons of each data centre watch; returns how many."""
    data_centres = {n.data_centre for n in fleet.gateways.values()}
    fleet_harness.wait_until(
        lambda: all(len(find_watching(fleet, d)) == 2 for d in data_centres),
        "two watching daemons in each data centre",
    )
    return 2 * len(data_centres)


@behave.when("the operator changes the configuration 5 times, once a second")
def step_change_five_times(context):
    context.watcher_count = wait_for_two_watching(context.fleet)
    context.counts = counts(context)
    context.changed_s = []
    for _ in range(5):
        context.changed_s.append(time.monotonic())
        context.fleet.configure(*environment.ROUTES)
        time.sleep(1.0)


@behave.then("all daemons have it in force")
def step_all_in_force(context):
    nodes = list(context.fleet.gateways.values())
    fleet_harness.wait_until(
        lambda: set(versions(nodes)) == {context.fleet.version},
        "the newest version everywhere",
        2.0,
    )


@behave.then(
    "two daemons of each data centre watched, and the others made stale reads"
)
def step_call_counts(context):
    current = counts(context)
    increase = {k: n - context.counts.get(k, 0) for k, n in current.items()}
    followers = len(context.fleet.gateways) - context.watcher_count
    assert followers > 0
    # A change ends each watch. Of the daemons of a data centre that watch, one
    # proves the revision each so often between two changes.
    interval_s = store_following.StoreFollower(
        gateway_fleet.BOUNDS["config_apply_s"]
    ).proof_interval_s
    times_s = [*context.changed_s, time.monotonic()]
    proof_count = sum(
        int((end_s - start_s) / interval_s)
        for start_s, end_s in itertools.pairwise(times_s)
    )
    allowed = context.watcher_count * 6 + context.watcher_count // 2 * (
        proof_count
    )
    assert increase["kv-watch"] <= allowed, increase
    assert followers * 4 <= increase["kv-watch stale"] <= followers * 7, (
        increase
    )


@behave.given("stale reads of the platform's store are 3 seconds old")
def step_stale(context):
    context.fleet.set_store_faults(stale_s=3.0)


def wait_for_watching(fleet):
    """Waits until two daemons of data centre a watch, and returns them."""
    fleet_harness.wait_until(
        lambda: len(find_watching(fleet, "a")) == 2,
        "two watching daemons in data centre a",
    )
    return find_watching(fleet, "a")


@behave.given(
    "the two daemons of data centre a that watch the store lose it silently"
)
def step_lose_store(context):
    context.excluded = wait_for_watching(context.fleet)
    ports = [node.store_port for node in context.excluded]
    context.fleet.set_store_faults(silent_ports=ports)


@behave.given(
    "the two daemons of data centre a that watch the store are frozen"
)
def step_frozen(context):
    context.excluded = wait_for_watching(context.fleet)
    for node in context.excluded:
        node.process.send_signal(signal.SIGSTOP)
        context.add_cleanup(node.process.send_signal, signal.SIGCONT)


@behave.when("the operator moves /presses/ and all daemons are polled")
def step_move_all(context):
    move_route(context, list(context.fleet.gateways.values()))


@behave.when("the operator moves /presses/ and the others are polled")
def step_move_others(context):
    nodes = context.fleet.gateways.values()
    move_route(context, [n for n in nodes if n not in context.excluded])


def move_route(context, nodes):
    """Moves a route and measures how long the daemons take to apply it."""
    moved = gateway_fleet.route("/presses/", "deposits")
    context.fleet.configure(moved, *environment.ROUTES[1:])
    began_s = time.monotonic()
    fleet_harness.wait_until(
        lambda: set(versions(nodes)) == {context.fleet.version},
        "the newest version everywhere",
    )
    context.took_s = time.monotonic() - began_s


@behave.then("the change was in force everywhere within 2 seconds")
def step_in_time(context):
    assert context.took_s < 2.0, context.took_s


@behave.given(
    "the platform's store is down for 3 seconds and all entries expire"
)
def step_expire(context):
    context.fleet.set_store_faults(down=True)
    time.sleep(3.0)
    for instance_id in context.fleet.instances:
        context.fleet.remove_instance(instance_id)
    context.fleet.set_store_faults()


@behave.when("requests are sent to all daemons until the entries reappear")
def step_until_reappeared(context):
    context.statuses = []
    until_s = time.monotonic() + REAPPEAR_S
    while time.monotonic() < until_s:
        for node in context.fleet.gateways.values():
            response = fleet_harness.call(
                node.caller_port,
                "GET",
                "/presses/1",
                headers={"Host": gateway_fleet.HOST, "Request-Id": "lapse"},
            )
            context.statuses.append(response.status)
        time.sleep(0.05)
    for instance_id in context.fleet.instances:
        service = instance_id.split("-")[1]
        context.fleet.register_instance(
            instance_id, service, born=context.fleet.instance_epoch
        )


@behave.then("all requests got the status 200")
def step_all_served(context):
    assert set(context.statuses) == {200}, context.statuses


@behave.given("a daemon that must have changes in force within 2 seconds")
def step_following(context):
    context.follower = store_following.StoreFollower(2.0)


@behave.then("it watches the store until peers report a revision")
def step_watches_first(context):
    assert (
        context.follower.next_step(positions.at(0), 0.0)
        is store_following.Step.WATCH
    )
    context.follower.record_first_read(0.1)
    assert (
        context.follower.next_step(positions.at(5), 0.2)
        is store_following.Step.FOLLOW
    )
    assert (
        context.follower.next_step(positions.at(5), 1.0)
        is store_following.Step.WATCH
    )
    context.follower.record_report(positions.at(5), 1.0, 1.0)
    assert (
        context.follower.next_step(positions.at(5), 1.1)
        is store_following.Step.FOLLOW
    )


@behave.then("it reads the store when a peer reports a newer revision")
def step_catch_up(context):
    context.follower.record_report(positions.at(7), 1.2, 1.2)
    assert (
        context.follower.next_step(positions.at(5), 1.3)
        is store_following.Step.CATCH_UP
    )
    assert (
        context.follower.next_step(positions.at(7), 1.3)
        is store_following.Step.FOLLOW
    )


@behave.then("it watches again after 0.8 seconds without reports")
def step_no_reports(context):
    assert (
        context.follower.next_step(positions.at(7), 1.9)
        is store_following.Step.FOLLOW
    )
    assert (
        context.follower.next_step(positions.at(7), 2.01)
        is store_following.Step.WATCH
    )


@behave.then("it watches while it has followers")
def step_followers(context):
    context.follower.record_report(positions.at(7), 3.0, 3.0)
    context.follower.record_query(3.0)
    assert (
        context.follower.next_step(positions.at(7), 3.1)
        is store_following.Step.WATCH
    )
    context.follower.record_report(positions.at(7), 4.1, 4.1)
    assert (
        context.follower.next_step(positions.at(7), 4.1)
        is store_following.Step.FOLLOW
    )


@behave.then(
    "it watches again if peers report, but heard the store 1.5 seconds ago"
)
def step_old_confirmation(context):
    for tenths in range(1, 16):
        now_s = 4.1 + tenths / 10
        context.follower.record_report(positions.at(7), 4.1, now_s)
        step = context.follower.next_step(positions.at(7), now_s)
        is_old = now_s - 4.1 >= 1.5
        assert (step is store_following.Step.WATCH) == is_old, now_s
    context.follower.record_report(positions.at(7), 5.5, 5.6)
    assert (
        context.follower.next_step(positions.at(7), 5.6)
        is store_following.Step.FOLLOW
    )


class QuietStore:
    """A store without changes, which counts the calls and the stale ones."""

    def __init__(self):
        self.count = 0
        self.stale_count = 0

    async def watch(
        self,
        prefix,
        after,
        wait_s,
        may_be_stale=False,
        transfer=None,
    ):
        if after.revision:
            self.count += 1
            self.stale_count += may_be_stale
            await asyncio.sleep(wait_s)
        return store_port.Changes([], positions.at(7), not after.revision)


def create_reader(store, inbox):
    return store_reader.StoreReader(
        "",
        store,
        clock.SystemClock(),
        random.Random(1),
        inbox,
        mailbox.Mailbox("subscriber", 1000),
        mailbox.Mailbox("peers", 1000),
        1.0,
    )


@behave.given(
    "a daemon that watches the store for itself, and one with followers"
)
def step_two_watching(context):
    context.stores = [QuietStore(), QuietStore()]


@behave.when("both have watched for 1.5 seconds with a bound of 1 second")
def step_both_watch(context):
    async def run():
        inboxes = [mailbox.Mailbox("reader", 1000) for _ in context.stores]
        readers = [
            asyncio.create_task(create_reader(store, inbox).run())
            for store, inbox in zip(context.stores, inboxes, strict=True)
        ]
        until_s = time.monotonic() + 1.5
        while time.monotonic() < until_s:
            inboxes[1].force(fleet_events.PeerPinged(time.monotonic()))
            await asyncio.sleep(0.1)
        for reader in readers:
            reader.cancel()
        await asyncio.gather(*readers, return_exceptions=True)

    asyncio.run(run())


@behave.then(
    "both have asked the store 3 to 5 times since, and not by stale reads"
)
def step_call_numbers(context):
    counts = [store.count for store in context.stores]
    assert all(3 <= count <= 5 for count in counts), counts
    assert not any(store.stale_count for store in context.stores)


@behave.then(
    "these times add up to less than each bound from {low:g} to {high:g}"
    " seconds"
)
def step_sums(context, low, high):
    bound_s = low
    while bound_s <= high:
        follower = store_following.StoreFollower(bound_s)
        times_s = {
            "batch": follower.batch_s(False),
            "start_batch": follower.batch_s(True),
            "report": fleet_view.PING_S,
            "proof": bound_s * store_following.MAX_PROOF_AGE_SHARE,
            "lone_proof": bound_s * store_following.LONE_PROOF_SHARE,
            "lost_call": follower.response_s,
            "retry": store_reader.FIRST_RETRY_S,
            "call": CALL_S,
            "missing": bound_s * registry.MISSING_DRAIN_FRACTION,
            "expiry_check": registrar.EXPIRY_CHECK_INTERVAL_S,
        }
        for row in context.table:
            sum_s = sum(times_s[name] for name in row["times"].split())
            assert sum_s < bound_s, (row["way of the change"], bound_s, sum_s)
        bound_s += 0.5
