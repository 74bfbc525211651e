"""Steps on the copies of the store that daemons have."""

from __future__ import annotations

import asyncio
import random
import time
import urllib.request
import zlib

import behave
import orjson

from dotterelpath import errors
from dotterelpath.adapters import store_copies
from dotterelpath.domain import steering
from dotterelpath.domain import store_copy
from dotterelpath.domain import tenants
from dotterelpath.ports import store as store_port
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import store_events
from dotterelpath.tasks import store_reader
from features import environment
from features.steps import following_steps
from features.support import following_fleet
from features.support import positions
from features.support import simulated_time
from standins import gateway_fleet

MAX_BYTES = 100_000
KEYS = [f"key {number}" for number in range(8)]


@behave.given("a store whose keys are written and deleted at random")
def step_random_keys(context):
    context.wrong = []


@behave.when("a daemon keeps a copy and others read it after any revision")
def step_any_revision(context):
    for seed in range(40):
        context.wrong += play_copies(seed, store_copy.MAX_DELETED)


@behave.when("a daemon keeps a copy that remembers {count:d} deletions")
def step_few_deletions(context, count):
    for seed in range(40):
        context.wrong += play_copies(seed, count)


def play_copies(seed, max_deleted):
    """Compares what readers of a copy know with the store."""
    source = random.Random(seed)
    usual_max_deleted = store_copy.MAX_DELETED
    store_copy.MAX_DELETED = max_deleted
    try:
        return list(find_differences(source))
    finally:
        store_copy.MAX_DELETED = usual_max_deleted


def find_differences(source):
    copy = store_copy.StoreCopy()
    states = [{}]
    entries = []
    for revision in range(1, 60):
        key = source.choice(KEYS)
        value = source.choice((None, "a", "b", "c"))
        entries.append(store_port.VersionedValue(key, value, revision))
        states.append(apply(states[-1], entries[-1:]))
        if source.random() < 0.4:
            copy.apply(
                store_port.Changes(
                    entries[copy.position.revision :],
                    positions.at(revision),
                    False,
                )
            )
        newest = copy.position.revision
        for known in {newest, source.randrange(newest + 1)}:
            changes = copy.changes_after(positions.at(known))
            before = {} if changes.is_full else states[known]
            if apply(before, changes.entries) != states[newest]:
                yield known, newest


def apply(state, entries):
    """Returns the values after changes."""
    state = dict(state)
    for entry in entries:
        state[entry.key] = entry.value
    return {key: value for key, value in state.items() if value is not None}


@behave.then("what they know is always the store at the revision of the copy")
@behave.then("what others know is always the store at the revision of the copy")
def step_no_differences(context):
    assert not context.wrong, context.wrong[:5]


def valid_body():
    entry = store_port.VersionedValue("key", "value " * 1000, 5, 0)
    return store_copies.encode_changes(
        store_port.Changes([entry], positions.at(5))
    )


def encode(data):
    return zlib.compress(orjson.dumps(data))


INVALID_BODIES = {
    "no bytes": b"",
    "bytes that are not compressed": orjson.dumps({"revision": 5}),
    "half of the bytes": valid_body()[: len(valid_body()) // 2],
    "more bytes than the limit": zlib.compress(b" " * MAX_BYTES + b"{}"),
    "JSON without entries": encode({"revision": 5, "is_full": False}),
    "a revision that is a text": encode(
        {"revision": "5", "is_full": False, "entries": []}
    ),
    "a value that is a number": encode(
        {"revision": 5, "is_full": False, "entries": [["key", 7, 5, 0]]}
    ),
    "an entry with too few fields": encode(
        {"revision": 5, "is_full": False, "entries": [["key", "value"]]}
    ),
}


@behave.when("a peer responds with {name}")
def step_invalid_body(context, name):
    if name in INVALID_BODIES:
        bodies = [INVALID_BODIES[name]]
    else:
        bodies = [garble(context.random) for _ in range(500)]
    context.errors = [refusal(body) for body in bodies]


def garble(source):
    """Changes random bytes of a valid body behind its header."""
    body = bytearray(valid_body())
    for _ in range(3):
        body[source.randrange(2, len(body))] ^= source.randrange(1, 256)
    return bytes(body)


def refusal(body):
    try:
        return store_copies.decode_changes(body, MAX_BYTES)
    except errors.StoreError as error:
        return error


@behave.then("the copy is refused as an error of the store")
def step_refused(context):
    accepted = [e for e in context.errors if not isinstance(e, Exception)]
    assert not accepted, accepted


@behave.given("a fleet of 6 daemons of one data centre")
def step_fleet(context):
    context.sizes = [6]


@behave.when(
    "the store refuses one that does not watch it for {duration_s:d} seconds"
)
def step_refused_by_store(context, duration_s):
    async def play(loop):
        fleet = following_fleet.FollowingFleet(loop, 3, context.sizes, 0.2)
        tasks = fleet.start()
        await asyncio.sleep(8.0)
        member = next(m for m in fleet.members if not m.is_watching)
        start_s = loop.time()
        member.faults.append(
            following_fleet.Fault(start_s, start_s + duration_s, "reset")
        )
        ages_s = []
        for number in range(duration_s * 10):
            if number % 7 == 0:
                fleet.store.change()
            await asyncio.sleep(0.1)
            member.note_known()
            ages_s.append(fleet.age_of_unknown_s(member, loop.time()))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return ages_s

    context.ages_s = simulated_time.run(play)


@behave.then("it knew each change within 2 seconds all the while")
def step_never_late(context):
    assert max(context.ages_s) <= 2.0, max(context.ages_s)


@behave.given("a fleet of 6 daemons of three data centres, with tenants")
def step_tenant_fleet(context):
    context.sizes = [2, 2, 2]


@behave.when(
    "the store refuses those of one data centre, and others {give} copies"
)
def step_refused_place(context, give):
    async def play(loop):
        fleet = following_fleet.FollowingFleet(loop, 3, context.sizes, 0.2)
        fleet.tenants = tenants.TenantTable([], b"secret")
        refused = fleet.members[:2]
        for member in refused:
            member.copies.is_lost = give == "give no"
            member.faults.append(following_fleet.Fault(1008.0, 1e9, "reset"))
        tasks = fleet.start()
        await note_all(fleet, 10.0)
        fleet.store.change()
        stale = await note_all(fleet, 6.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        known = {member.known for member in refused}
        return stale, known == {fleet.store.position}, refused

    context.stale, context.is_known, context.refused = simulated_time.run(play)


async def note_all(fleet, duration_s):
    """Notes what daemons know, and returns those with outdated tenants."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    stale = set()
    while loop.time() < end_s:
        for member in fleet.members:
            member.note_known()
            if member.monitor.is_stale:
                stale.add(member.id)
        await asyncio.sleep(following_fleet.CHECK_S)
    return stale


@behave.then("those daemons are {ready} within 6 seconds after a change")
def step_ready_or_not(context, ready):
    ids = {member.id for member in context.refused}
    is_ready = ready == "ready"
    assert context.stale == (set() if is_ready else ids), context.stale
    assert context.is_known == is_ready


class EmptyCopies:
    """Peers that do not respond; see ports.store_copies.StoreCopies."""

    def __init__(self):
        self.count = 0

    async def changes_after(self, daemon, position, transfer):
        self.count += 1
        raise errors.StoreError("no response")


@behave.given("a daemon that follows a peer which has no copy to give")
def step_no_copy(context):
    context.copies = EmptyCopies()


@behave.when("the peer reports a large change")
def step_large_report(context):
    peer = steering.Daemon(
        "peer", "a", "r", "h", 1, "h", 2, steering.Resources(1.0, 1.0)
    )

    async def play(loop):
        subscriber = mailbox.Mailbox("subscriber", 1000)
        inbox = mailbox.Mailbox("reader", 1000)
        fleet = following_fleet.FollowingFleet(loop, 1, [1], 0.0)
        store = fleet.store
        reader = store_reader.StoreReader(
            "",
            fleet.members[0].path,
            fleet.clock,
            random.Random(1),
            inbox,
            subscriber,
            mailbox.Mailbox("peers", 1000),
            2.0,
            copies=context.copies,
        )
        task = asyncio.create_task(reader.run())
        inbox.force(fleet_events.DaemonsChanged({"peer": peer}))
        await asyncio.sleep(0.1)
        inbox.force(report(loop, store.position))
        await asyncio.sleep(0.1)
        store.change(100_000)
        inbox.force(report(loop, store.position))
        await asyncio.sleep(0.3)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return subscriber, store.position

    def report(loop, position):
        now_s = loop.time()
        return fleet_events.PositionReceived(
            "peer", position, now_s, now_s, position.revision
        )

    context.subscriber, context.position = simulated_time.run(play)


@behave.then("the daemon reads it from the store")
def step_read_store(context):
    known = []
    while (message := context.subscriber.poll()) is not None:
        if isinstance(message, store_events.StoreChanged):
            known.append(message.changes.position)
    assert context.copies.count == 1, context.copies.count
    assert known[-1] == context.position, known


@behave.given("two daemons of each data centre watch the store")
def step_watching(context):
    following_steps.wait_for_two_watching(context.fleet)


@behave.when("the operator changes a configuration of 300 routes 5 times")
def step_change_large(context):
    more = [
        gateway_fleet.route(f"/more-{number}/", "presses")
        for number in range(300)
    ]
    context.counts = following_steps.counts(context)
    context.copies_before = copy_reads(context.fleet)
    for _ in range(5):
        context.fleet.configure(*environment.ROUTES, *more)
        time.sleep(1.0)


def copy_reads(fleet):
    """Returns how often daemons read the copies of others."""
    prefix = 'dotterelpath_store_copy_reads_total{ok="true"}'
    count = 0.0
    for node in fleet.gateways.values():
        url = f"http://127.0.0.1:{node.metrics_port}/metrics"
        with urllib.request.urlopen(url, timeout=5.0) as response:
            lines = response.read().decode().splitlines()
        count += sum(
            float(line.split()[-1]) for line in lines if prefix in line
        )
    return count


@behave.then("the store sent it to no daemon that follows others")
def step_not_from_store(context):
    current = following_steps.counts(context)
    stale = current.get("kv-watch stale", 0)
    stale -= context.counts.get("kv-watch stale", 0)
    assert stale == 0, (context.counts, current)
    followers = len(context.fleet.gateways) - 6
    copied = copy_reads(context.fleet) - context.copies_before
    assert copied >= followers * 3, copied
