"""Steps on the eras of the store, and what is kept across them."""

from __future__ import annotations

import asyncio
import math
import random

import behave
import orjson

from dotterelpath import errors
from dotterelpath.adapters import clock
from dotterelpath.domain import bounds
from dotterelpath.domain import configuration
from dotterelpath.domain import exchange
from dotterelpath.domain import registry
from dotterelpath.domain import revocation
from dotterelpath.domain import steering
from dotterelpath.domain import store_copy
from dotterelpath.domain import store_following
from dotterelpath.domain import store_listing
from dotterelpath.domain import store_position
from dotterelpath.platform import store_codec
from dotterelpath.ports import store
from dotterelpath.ports import store_items
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import registrar
from dotterelpath.tasks import store_events
from dotterelpath.tasks import store_reader
from features.support import gateway_world
from features.support import positions
from features.support import world

DRAIN_S = 2.0
TICK_S = 0.1


def result_of(call):
    """Names what a check of an era does."""
    try:
        return call()
    except errors.StoreEraError as error:
        return f"refused with code {int(error.code)}"
    except errors.HistoryLostError:
        return "a lost history"


@behave.given("a listing with a page of era {era:d} at revision {revision:d}")
def step_listing(context, era, revision):
    context.listing = store_listing.Listing(store_position.NOTHING)
    page = store.Page([], positions.at(revision, era), "a")
    context.listing.add_page(page)


@behave.when("a page of era {era:d} at revision {revision:d} follows")
def step_page(context, era, revision):
    page = store.Page([], positions.at(revision, era), None)
    context.result = result_of(lambda: context.listing.add_page(page))


@behave.then("the listing has to be read again")
def step_read_again(context):
    assert context.result == "a lost history", context.result


class LaggingStore:
    """A store whose replicas have not entered its era; see ports.store."""

    def set_daemon_count(self, count):
        pass

    async def watch(
        self, prefix, after, wait_s, may_be_stale=False, transfer=None
    ):
        if may_be_stale:
            raise errors.StoreEraError("the page is of an earlier era")
        await asyncio.sleep(wait_s)
        return store.Changes([], positions.at(5, 2), not after.revision)


@behave.given("a store whose stale pages are of an earlier era")
def step_lagging_store(context):
    context.store = LaggingStore()


@behave.when("a daemon starts and reads it")
def step_start(context):
    subscriber = mailbox.Mailbox("subscriber", 1000)
    reader = store_reader.StoreReader(
        "",
        context.store,
        clock.SystemClock(),
        random.Random(1),
        mailbox.Mailbox("reader", 1000),
        subscriber,
        mailbox.Mailbox("peers", 1000),
        2.0,
    )

    async def read():
        task = asyncio.create_task(reader.run())
        await asyncio.sleep(1.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(read())
    context.messages = []
    while (message := subscriber.poll()) is not None:
        context.messages.append(message)


@behave.then("it knows the store within a second")
def step_knows(context):
    known = [
        message.changes.position
        for message in context.messages
        if isinstance(message, store_events.StoreChanged)
    ]
    assert positions.at(5, 2) in known, context.messages


@behave.given(
    "a call for the changes after revision {revision:d} of era {era:d}"
)
def step_call(context, revision, era):
    context.after = positions.at(revision, era)


@behave.when("it is answered by revision {revision:d} of era {era:d}")
def step_answer(context, revision, era):
    answer = positions.at(revision, era)

    def check():
        store_position.check_answer(answer, context.after)
        return "used"

    context.result = result_of(check)


@behave.then("the answer is {result}")
@behave.then("the era is {result}")
def step_result(context, result):
    assert str(context.result) == result, context.result


@behave.given('a response of the platform\'s store whose era is "{header}"')
def step_header(context, header):
    headers = [(b"store-era", header.encode())] if header != "(none)" else []
    body = orjson.dumps({"events": [], "store_revision": 7})
    response = exchange.Response(200, headers, body)
    codec = store_codec.StoreCodec()
    context.result = result_of(
        lambda: codec.decode_watch(response).position.era
    )


@behave.given("a daemon that knows revision {revision:d} of era {era:d}")
def step_follower(context, revision, era):
    context.known = positions.at(revision, era)
    context.follower = store_following.StoreFollower(2.0, "own")
    context.follower.record_first_read(0.0)
    context.follower.record_proof(context.known, 0.0, 0.0)


@behave.when("a peer reports revision {revision:d} of era {era:d}")
def step_peer_reports(context, revision, era):
    context.follower.record_report(
        positions.at(revision, era), 1.0, 1.0, "peer"
    )


@behave.then("the daemon neither reads the store for it nor relies on it")
def step_no_reliance(context):
    follower = context.follower
    step = follower.next_step(context.known, 1.0)
    assert step is store_following.Step.WATCH, step
    due_s = follower.proof_due_s(context.known, False)
    assert due_s == 2.0 * store_following.MAX_PROOF_AGE_SHARE, due_s


@behave.then("the daemon reads all keys from the copy of that peer")
def step_reads_copy(context):
    follower = context.follower
    step = follower.next_step(context.known, 1.0)
    assert step is store_following.Step.CATCH_UP, step
    assert follower.copy_holder_id(context.known, False) == "peer"
    assert follower.proved_s == -math.inf, follower.proved_s


@behave.given(
    "a guard of tenants that has read revision {revision:d} of era {era:d}"
)
def step_guard(context, revision, era):
    context.guard = revocation.RevocationGuard(bounds.Bounds())
    context.guard.record_read(positions.at(revision, era), 0.0, True)


@behave.when(
    "a peer reports revision 3 of era 2, and revision 9 of era 1 once more"
)
def step_reports(context):
    context.guard.record_report(positions.at(3, 2), 1.0, 1.0)
    context.guard.record_report(positions.at(9, 1), 1.5, 1.5)


@behave.then("the tenants are outdated until revision 3 of era 2 is read")
def step_outdated(context):
    assert context.guard.behind_since_s == 1.0, context.guard.behind_since_s
    context.guard.record_read(positions.at(3, 2), 2.0, True)
    assert context.guard.behind_since_s == math.inf
    assert context.guard.confirmed_s == 2.0, context.guard.confirmed_s


@behave.given(
    "a copy at revision {revision:d} of era {era:d}, with a key of revision 2"
)
def step_copy(context, revision, era):
    context.copy = store_copy.StoreCopy()
    entries = [
        store.VersionedValue("early", "a", 2),
        store.VersionedValue("late", "b", revision),
    ]
    at = positions.at(1, era)
    context.copy.apply(store.Changes([], at, True))
    context.copy.apply(store.Changes(entries, positions.at(revision, era)))


@behave.then(
    "a reader at revision {revision:d} of era {era:d} gets all its keys"
)
def step_all_keys(context, revision, era):
    changes = context.copy.changes_after(positions.at(revision, era))
    assert changes.is_full
    assert {entry.key for entry in changes.entries} == {"early", "late"}


@behave.then(
    "a reader at revision {revision:d} of era {era:d} gets the later changes"
)
def step_later_changes(context, revision, era):
    changes = context.copy.changes_after(positions.at(revision, era))
    assert not changes.is_full
    assert {entry.key for entry in changes.entries} == {"late"}


@behave.given(
    "a copy with a large value at revision {revision:d} of era {era:d}"
)
def step_large_copy(context, revision, era):
    context.copy = store_copy.StoreCopy()
    value = "x" * store_copy.LARGE_VALUE_LENGTH
    entry = store.VersionedValue("large", value, revision)
    at = positions.at(revision, era)
    context.copy.apply(store.Changes([entry], at, True))
    assert context.copy.large_revision == revision


@behave.when(
    "it gets all keys at revision {revision:d} of era {era:d}, none of them"
    " large"
)
def step_all_small(context, revision, era):
    entry = store.VersionedValue("large", "small", revision)
    at = positions.at(revision, era)
    context.copy.apply(store.Changes([entry], at, True))


@behave.then("it names no large revision")
def step_no_large(context):
    assert context.copy.large_revision == 0, context.copy.large_revision


class Codec:
    """Takes items as they are."""

    def decode(self, value):
        return value


def instance(id, sequence=1, is_draining=False):
    """Creates the item of an instance."""
    entry = registry.Entry(
        id, "s", "h", 1, "a", 4, is_draining, 0.0, sequence, 1_790_000_000_000
    )
    return store_items.InstanceItem(id, entry)


def daemon(id):
    """Creates the item of a daemon."""
    listed = steering.Daemon(
        id, "a", "r", "h", 1, "h", 2, steering.Resources(1.0, 1.0)
    )
    return store_items.DaemonItem(id, listed)


def configured(version):
    """Creates the item of a configuration."""
    return store_items.ConfigurationItem(
        configuration.Configuration(version, {}, [], gateway_world.LIMITS)
    )


def change(context, items, era=1, is_full=False):
    """Sends the registrar a response of the store."""
    context.revision = getattr(context, "revision", 0) + 1
    at = positions.at(context.revision, era)
    changes = store.Changes(items, at, is_full)
    context.registrar.handle(
        store_events.StoreChanged(changes, context.clock.now_s(), 4.0)
    )


def used_after(context, wait_s):
    """Lets time pass; returns the registered instances by id."""
    until_s = context.clock.now_s() + wait_s
    while context.clock.now_s() < until_s - TICK_S / 2.0:
        context.clock.time_s += TICK_S
        context.registrar.on_tick()
    listed = published(context, fleet_events.RegistryChanged)
    return {i.entry.id: i for i in listed.instances_by_service.get("s", [])}


def published(context, kind):
    """Returns the last message of a kind that was published."""
    for inbox in (context.gateway, context.monitor):
        while (message := inbox.poll()) is not None:
            context.published[type(message)] = message
    return context.published[kind]


@behave.given('a registrar that knows instances "x", "y" and "z"')
def step_registrar(context):
    context.clock = world.FakeClock()
    context.published = {}
    context.gateway = mailbox.Mailbox("gateway", 1000)
    context.monitor = mailbox.Mailbox("monitor", 1000)
    context.registrar = registrar.Registrar(
        DRAIN_S,
        Codec(),
        context.clock,
        world.FakeTimers(),
        world.NoMetrics(),
        mailbox.Mailbox("registrar", 1000),
        (context.gateway,),
        context.monitor,
        mailbox.Mailbox("enroller"),
    )
    change(context, [instance(id) for id in "xyz"], is_full=True)


@behave.given(
    'it knows daemons "d1" and "d2" and version {version:d} of the'
    " configuration"
)
def step_more_known(context, version):
    change(context, [daemon("d1"), daemon("d2"), configured(version)])


@behave.when('"x" is removed, and "y" says that it leaves')
def step_leave(context):
    context.removed_s = context.clock.now_s()
    removed = store_items.InstanceItem("x", None)
    change(context, [removed, instance("y", 2, is_draining=True)])


@behave.when('the store comes back with "x", "y" and "z" as they were before')
def step_older_copy(context):
    used_after(context, TICK_S)
    change(context, [instance(id) for id in "xyz"], era=2, is_full=True)


@behave.then('"x" is removed in time, and "y" is still leaving')
def step_left(context):
    grace_s = DRAIN_S * registry.MISSING_DRAIN_FRACTION
    left_s = context.removed_s + grace_s + TICK_S - context.clock.now_s()
    found = used_after(context, left_s)
    assert set(found) == {"y", "z"}, set(found)
    assert found["y"].entry.is_draining
    assert not found["z"].entry.is_draining


@behave.when(
    'the store comes back with "x", "d1" and version {version:d} of the'
    " configuration"
)
def step_shorter_copy(context, version):
    items = [instance("x"), daemon("d1"), configured(version)]
    change(context, items, era=2, is_full=True)


@behave.then("version {version:d} of the configuration stays in force")
def step_in_force(context, version):
    found = published(context, fleet_events.ConfigurationChanged)
    assert found.configuration.version == version


@behave.then(
    '"y" and "z" are in use for 2 seconds, and "z" longer if written again'
)
def step_kept(context):
    found = used_after(context, registry.OUTAGE_RECOVERY_S - TICK_S)
    assert set(found) == set("xyz"), set(found)
    change(context, [instance("z")], era=2)
    found = used_after(context, 2 * TICK_S)
    assert set(found) == set("xz"), set(found)


@behave.then('"d2" is listed for 8 seconds')
def step_daemon_kept(context):
    found = published(context, fleet_events.DaemonsChanged)
    assert set(found.daemons) == {"d1", "d2"}, found.daemons
    used_after(context, 8.0)
    found = published(context, fleet_events.DaemonsChanged)
    assert set(found.daemons) == {"d1"}, found.daemons
