"""Steps on answers of the store that are older than what is known already."""

from __future__ import annotations

import asyncio
import random
import time
import types

import behave
import orjson

from dotterelpath.adapters import clock
from dotterelpath.adapters import store_client
from dotterelpath.domain import exchange
from dotterelpath.platform import store_codec
from dotterelpath.ports import store as store_port
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import store_events
from dotterelpath.tasks import store_reader
from features.support import positions
from standins import kv_store

# The age of old answers, in seconds, as a share of the bound on changes below
# like that of the users' platform.
MAX_AGE_S = 0.6
APPLY_S = 0.4
# How long a daemon may take to know the store's last change, in seconds: the
# bound, and the longest pause after a failed call.
SETTLE_S = APPLY_S + 0.75


class AgedStore:
    """The platform's store in this process, called without sockets."""

    def __init__(self):
        self.kv = kv_store.KvStore()

    async def call(self, host, port, request, timeout_s, transfer=None):
        return await self.kv.handle(port, request, None)

    async def control(self, path, data):
        request = exchange.Request("POST", path, [], orjson.dumps(data))
        await self.kv.handle(0, request, None)

    def set(self, path, data):
        asyncio.run(self.control(path, data))


class Known:
    """What the messages of a store reader say, checked as they come."""

    def __init__(self, kv):
        self.inbox = mailbox.Mailbox("subscriber")
        self.items = {}
        self.revision = 0
        self.wrong = []
        self._kv = kv

    async def run(self):
        while True:
            message = await self.inbox.receive()
            if isinstance(message, store_events.StoreChanged):
                self.on_changes(message.changes)

    def on_changes(self, changes):
        if changes.is_full:
            self.items = {}
        for entry in changes.entries:
            self.items[entry.key] = entry
        revision = changes.position.revision
        if revision < self.revision:
            self.wrong.append(f"{self.revision} falls to {revision}")
        self.revision = revision
        expected = self._kv.items_at(revision)
        found = {
            key: entry.revision
            for key, entry in self.items.items()
            if entry.value is not None
        }
        if found != {key: item["revision"] for key, item in expected.items()}:
            self.wrong.append(f"at {revision}: {found}")


def create_daemon(store):
    """Creates the store reader of a daemon, with what it makes known."""
    system_clock = clock.SystemClock()
    known = Known(store.kv)
    metrics = types.SimpleNamespace(record_store_call=lambda call, ok: None)
    client = store_client.StoreClient(
        "", 0, store, system_clock, metrics, store_codec.StoreCodec()
    )
    inbox = mailbox.Mailbox("reader", 1000)
    reader = store_reader.StoreReader(
        "",
        client,
        system_clock,
        random.Random(1),
        inbox,
        known.inbox,
        mailbox.Mailbox("peers", 1000),
        APPLY_S,
    )
    return known, inbox, reader


async def play(known, reader, script):
    """Runs a store reader while a script plays."""
    tasks = [
        asyncio.create_task(reader.run()),
        asyncio.create_task(known.run()),
    ]
    await script
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@behave.given("a store whose first page is new and whose later pages are old")
def step_old_pages(context):
    context.store = AgedStore()
    context.store.set("/_fault", {"page_size": 1, "stale_ages_s": [0, 0.2]})
    for key in ("daemons/1", "op/config", "servers/1", "servers/2"):
        context.store.set("/_put", {key: "old"})


@behave.given("the configuration and the instances have changed just now")
def step_change_now(context):
    time.sleep(0.3)
    context.store.set("/_put", {"op/config": "new"})
    context.store.set("/_put", {"servers/1": None})
    context.store.set("/_put", {"servers/2": "draining"})


@behave.when("a daemon starts")
def step_start(context):
    context.known, _, reader = create_daemon(context.store)
    asyncio.run(play(context.known, reader, asyncio.sleep(0.1)))


@behave.then("the first that it knows is the store as it is now")
def step_knows_now(context):
    known = context.known
    assert not known.wrong, known.wrong
    assert known.revision == context.store.kv.revision, known.revision
    values = {key: entry.value for key, entry in known.items.items()}
    assert values.get("op/config") == "new", values
    assert values.get("servers/1") is None, values
    assert values.get("servers/2") == "draining", values


@behave.given("a store with answers of any age that at times loses its history")
def step_any_age(context):
    context.store = AgedStore()


@behave.when(
    "a daemon watches and follows while keys change, from {seeds:d} seeds"
)
def step_random_changes(context, seeds):
    context.found = {}
    for seed in range(seeds):
        store = AgedStore()
        known, inbox, reader = create_daemon(store)
        script = change_keys(store, inbox, known, random.Random(seed))
        asyncio.run(play(known, reader, script))
        if known.wrong or known.revision != store.kv.revision:
            context.found[seed] = (
                known.wrong[:3],
                known.revision,
                store.kv.revision,
            )


async def change_keys(store, inbox, known, source):
    """Changes keys at random, with pings and reports of other daemons."""
    ages_s = [
        source.choice((0.0, source.random() * MAX_AGE_S)) for _ in "x" * 97
    ]
    await store.control("/_fault", {"page_size": 2, "stale_ages_s": ages_s})
    keys = [f"k{number}" for number in range(7)]
    for key in keys:
        await store.control("/_put", {key: "first"})
    until_s = time.monotonic() + 1.5
    has_followers = False
    while time.monotonic() < until_s:
        await asyncio.sleep(source.random() * 0.06)
        value = source.choice((None, "a", "b"))
        await store.control("/_put", {source.choice(keys): value})
        if source.random() < 0.05:
            await store.control("/_compact", {})
        if source.random() < 0.1:
            has_followers = not has_followers
        send_peers_messages(store, inbox, has_followers)
    settled_s = time.monotonic() + SETTLE_S
    while known.revision != store.kv.revision and time.monotonic() < settled_s:
        await asyncio.sleep(0.05)
        send_peers_messages(store, inbox, has_followers)


def send_peers_messages(store, inbox, has_followers):
    """Sends a ping of a follower, or the report of a watching daemon."""
    now_s = time.monotonic()
    if has_followers:
        inbox.force(fleet_events.PeerPinged(now_s))
    else:
        inbox.force(
            fleet_events.PositionReceived(
                "peer", positions.at(store.kv.revision), now_s, now_s
            )
        )


@behave.then("what it knows is always the store at one revision, never older")
def step_one_revision(context):
    assert not context.found, context.found


class ScriptedStore:
    """A store whose answers a scenario sets.

    A watch that waits gets the answer at its end, or never.
    """

    def __init__(self, is_watch_lost=False):
        self._is_watch_lost = is_watch_lost
        self.exact = store_port.Changes([], positions.at(9))
        self.stale = store_port.Changes([], positions.at(9))

    def set_daemon_count(self, count):
        pass

    async def watch(
        self,
        prefix,
        after,
        wait_s,
        may_be_stale=False,
        transfer=None,
    ):
        if not after.revision:
            entry = store_port.VersionedValue("k", "new", 9)
            return store_port.Changes([entry], positions.at(9), True)
        if wait_s and self._is_watch_lost:
            await asyncio.sleep(3600.0)
        await asyncio.sleep(wait_s + 0.01)
        return self.stale if may_be_stale else self.exact


def run_scripted(context, change_s, end_s, has_followers):
    """Runs a reader of a scripted store, which changes at a time.

    Returns the entries and the revisions that it passed on.
    """
    subscriber = mailbox.Mailbox("subscriber", 1000)
    inbox = mailbox.Mailbox("reader", 1000)
    reader = store_reader.StoreReader(
        "",
        context.scripted,
        clock.SystemClock(),
        random.Random(1),
        inbox,
        subscriber,
        mailbox.Mailbox("peers", 1000),
        1.0,
    )

    async def run():
        task = asyncio.create_task(reader.run())
        began_s = time.monotonic()
        is_changed = False
        while (passed_s := time.monotonic() - began_s) < end_s:
            if has_followers:
                inbox.force(fleet_events.PeerPinged(time.monotonic()))
            if passed_s > change_s and not is_changed:
                is_changed = True
                context.change()
            await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(run())
    found = []
    while (message := subscriber.poll()) is not None:
        found.append(message)
    return found


@behave.given("a daemon that knows revision 9 of the store")
def step_scripted(context):
    context.scripted = ScriptedStore()


@behave.given("a daemon with followers, whose watch hears nothing any more")
def step_watch_lost(context):
    context.scripted = ScriptedStore(is_watch_lost=True)


@behave.when("an exact answer has revision 5 and an old value")
def step_exact_old(context):
    def change():
        entry = store_port.VersionedValue("k", "old", 5)
        context.scripted.exact = store_port.Changes([entry], positions.at(5))

    context.change = change
    context.messages = run_scripted(context, 0.2, 2.5, False)


@behave.then(
    "the daemon takes the store for unavailable, and keeps what it knows"
)
def step_kept(context):
    kinds = {type(message) for message in context.messages}
    assert store_events.StoreLost in kinds, kinds
    values = [
        entry.value
        for message in context.messages
        if isinstance(message, store_events.StoreChanged)
        for entry in message.changes.entries
    ]
    assert values == ["new"], values


@behave.when(
    "the store goes on to revision 10, and its replicas are at revision 8"
)
def step_replicas_behind(context):
    def change():
        entry = store_port.VersionedValue("k", "newer", 10)
        context.scripted.exact = store_port.Changes([entry], positions.at(10))
        context.scripted.stale = store_port.Changes([], positions.at(8))

    context.change = change
    context.messages = run_scripted(context, 0.5, 1.5, True)


@behave.then("the daemon knows revision 10 within a second")
def step_knows_ten(context):
    revisions = [
        message.changes.position.revision
        for message in context.messages
        if isinstance(message, store_events.StoreChanged)
    ]
    assert 10 in revisions, revisions
