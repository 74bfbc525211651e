"""Steps on invalid responses of the store, and on instances that move."""

from __future__ import annotations

import asyncio

import behave
import click
import hypothesis
import orjson
from hypothesis import strategies

from dotterelpath import errors
from dotterelpath.adapters import settings
from dotterelpath.adapters import store_client
from dotterelpath.domain import attempts
from dotterelpath.domain import exchange
from dotterelpath.domain import store_position
from dotterelpath.domain import vms
from dotterelpath.platform import caller_codec
from dotterelpath.platform import fields
from dotterelpath.platform import headers as platform_headers
from dotterelpath.platform import server_codec
from dotterelpath.platform import store_codec
from dotterelpath.platform import store_item_codec
from dotterelpath.ports import store
from dotterelpath.tasks import backend_pool
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages
from dotterelpath.tasks import registrar
from dotterelpath.tasks import store_events
from features.support import world

BODIES = {
    "an empty object": b"{}",
    "a text for each number": (
        b'{"revision":"x","store_revision":"x","items":[{"key":"k",'
        b'"value":"eA==","revision":"x"}],"events":"x","lease":"x",'
        b'"swapped":1,"entries":[{"key":1}],"value":1,"has_more":"x"}'
    ),
    "bytes that are not JSON": b"\xff{",
}


class CannedStore:
    """Answers each call with status 200 and the same body."""

    def __init__(self):
        self.body = b""

    async def call(self, host, port, request, timeout_s, transfer=None):
        return exchange.Response(200, [], self.body)


class StoreMetrics(world.NoMetrics):
    def record_store_call(self, call, is_successful):
        pass


@behave.given("a client of the {store}'s store")
def step_client(context, store):
    codecs = {"fleet": None, "platform": store_codec.StoreCodec()}
    context.canned = CannedStore()
    context.client = store_client.StoreClient(
        "h",
        1,
        context.canned,
        world.FakeClock(),
        StoreMetrics(),
        codecs[store],
    )


@behave.when("the store responds to each call with {body}")
def step_respond(context, body):
    context.canned.body = BODIES[body]


def raised(coroutine):
    try:
        result = asyncio.run(coroutine)
    except Exception as error:
        return error
    return result


@behave.then("reads fail as store errors, and writes have an unknown outcome")
def step_coded(context):
    client = context.client
    for read in (
        client.get("k"),
        client.watch("p", store_position.NOTHING, 0.0),
        client.watch("p", store_position.Position(0, 5), 0.0),
    ):
        error = raised(read)
        assert isinstance(error, errors.StoreError), repr(error)
    for write in (client.create("k", "v"), client.create("k", "v", 10.0)):
        check_unknown(raised(write), context)
    check_unknown(raised(client.swap("k", "v", 1)), context)


def check_unknown(result, context):
    # The fleet's own responses to a swap with "swapped" hold the revision only.
    assert isinstance(result, errors.UnknownOutcomeError), repr(result)


@behave.then(
    '"²" is refused as a timeout, as a port of an entry and of a setting'
)
def step_digit(context):
    header = [(platform_headers.TIMEOUT_MS, "²".encode("latin-1"))]
    refusals = (
        (errors.DotterelpathError, caller_codec._parse_timeout_s, (header,)),
        (fields.FieldError, fields.parse_endpoint, ("10.0.0.1:²", "address")),
        (
            click.BadParameter,
            settings.AddressType().convert,
            ("10.0.0.1:²", None, None),
        ),
    )
    for expected, parse, arguments in refusals:
        try:
            parse(*arguments)
        except expected as error:
            assert "invalid literal" not in str(error), error
        else:
            raise AssertionError(f"{parse} accepts ²")


class FakeConnection:
    """A connection that never responds by itself."""

    idle_timeout_s = None
    is_reusable = True

    def __init__(self, host):
        self.host = host
        self.last_received_s = 1000.0
        self.sent = []
        self.is_closed = False

    def send(self, attempt_id, *args):
        self.sent.append(attempt_id)

    def close(self):
        self.is_closed = True

    def resume(self):
        pass


class FakeConnector:
    """Opens connections when the test says so."""

    def __init__(self):
        self.opening = []

    async def connect(self, host, port, listener):
        opened = asyncio.get_running_loop().create_future()
        self.opening.append((host, opened))
        return await opened


class PoolWorld:
    """A pool with a connector that the test controls."""

    def __init__(self, max_connections):
        self.loop = asyncio.new_event_loop()
        self.connector = FakeConnector()
        self.inbox = mailbox.Mailbox("pool", 1000)
        self.results = mailbox.Mailbox("results", 1000)
        limits = backend_pool.ConnectionLimits(max_connections=max_connections)
        self.pool = backend_pool.BackendPool(
            self.connector, world.FakeClock(), self.inbox, self.results, limits
        )
        self.attempts = 0

    def send(self, host):
        self.attempts += 1
        vm = vms.Vm("i", vms.VmRole.BACKEND, host, 1, "a", service="s")
        request = exchange.Request("GET", "/", [], request_id="r")
        self.inbox.force(
            messages.SendAttempt(self.attempts, vm, request, 2000.0, False, 1)
        )
        self.settle()
        return self.attempts

    def settle(self):
        async def run():
            for _ in range(5):
                await asyncio.sleep(0)
                while len(self.inbox):
                    self.pool._handle(self.inbox.poll())

        self.loop.run_until_complete(run())

    def finish_connect(self, error=None):
        host, opened = self.connector.opening.pop(0)
        connection = FakeConnection(host)
        if error is not None:
            opened.set_exception(error)
        else:
            opened.set_result(connection)
        self.settle()
        return connection


@behave.given("a pool that may open {count:d} connections to an instance")
@behave.given("a pool that may open {count:d} connection to an instance")
def step_pool(context, count):
    context.pool = PoolWorld(count)
    context.add_cleanup(context.pool.loop.close)


@behave.when("3 requests wait and the connect fails")
def step_connect_fails(context):
    for _ in range(3):
        context.pool.send("old")
    assert len(context.pool.connector.opening) == 1
    context.pool.finish_connect(OSError("refused"))


@behave.then("1 request fails, and a connection is opened for the next one")
def step_next_connection(context):
    ended = context.pool.results.poll()
    assert ended.result is attempts.AttemptResult.UNREACHABLE
    assert not len(context.pool.results)
    assert len(context.pool.connector.opening) == 1
    assert context.pool.finish_connect().sent == [2]


@behave.when("the instance moves while a connection to its old address {state}")
def step_move(context, state):
    pool = context.pool
    first = pool.send("old")
    if state == "is being opened":
        pool.send("new")
        context.old = pool.finish_connect()
        context.sent_before = 0
        return
    context.old = pool.finish_connect()
    context.sent_before = 1
    response = exchange.Response(200, [], b"")
    if state == "is idle":
        pool.pool.on_response(context.old, first, response, True)
        pool.send("new")
    else:
        pool.send("new")
        pool.pool.on_response(context.old, first, response, True)
        pool.settle()


@behave.then("all further requests are written to the new address")
def step_new_address(context):
    pool = context.pool
    pool.send("new")
    pool.send("new")
    written = []
    while pool.connector.opening:
        connection = pool.finish_connect()
        assert connection.host == "new", connection.host
        written += connection.sent
    assert len(context.old.sent) == context.sent_before, context.old.sent
    assert context.old.is_closed
    # The first request is among them if it had waited for its connection.
    assert len(written) == pool.attempts - context.sent_before, written


def entry(**changed):
    """Encodes a valid entry of an instance with changed fields."""
    data = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "capacity": 4,
        "state": "ready",
        "warmup_left_s": 0,
        "sequence": 1,
        "born": 1,
        **changed,
    }
    return orjson.dumps(data).decode()


ODD_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=4), inner, max_size=3
        )
    ),
    max_leaves=6,
)
ODD_ENTRIES = (
    "[" * 100_000,
    '{"state":' * 2000 + "1" + "}" * 2000,
    entry().replace('"capacity":4', '"capacity":1e400'),
    entry().replace('"born":1', '"born":' + "9" * 5000),
    entry().replace('"sequence":1', '"sequence":' + "9" * 30),
    entry(address="10.0.0.1:99999"),
    entry(address="10.0.0.1:" + "9" * 5000),
    entry(address="10.0.0.1:-1"),
    entry(address="9" * 5000 + ":80"),
    entry(address="[::1]:80"),
    entry(state="x" * 100_000),
    "\x00",
    "",
)


@behave.given("a registrar with {count:d} listed instances")
def step_registrar(context, count):
    context.inbox = mailbox.Mailbox("subscriber", 10**6)
    context.registrar = registrar.Registrar(
        2.0,
        store_item_codec.StoreItemCodec(),
        world.FakeClock(),
        world.FakeTimers(),
        world.NoMetrics(),
        mailbox.Mailbox("registrar"),
        (context.inbox,),
        mailbox.Mailbox("peers", 10**6),
        mailbox.Mailbox("enroller"),
    )
    context.listed = {f"i{n}" for n in range(count)}
    apply_change(context, [(i, entry()) for i in context.listed], True)


def apply_change(context, entries, is_full=False):
    """Sends the registrar a change of entries, as the store reader does."""
    context.revision = getattr(context, "revision", 1) + 1
    items = [
        store.VersionedValue(
            store_item_codec.INSTANCE_PREFIX + key, value, context.revision
        )
        for key, value in entries
    ]
    changes = store.Changes(
        items, store_position.Position(0, context.revision), is_full
    )
    context.registrar.handle(store_events.StoreChanged(changes, 1000.0, 4.0))


@behave.when("the store has odd entries, one in each change")
def step_odd_entries(context):
    names = list(orjson.loads(entry()))
    context.odd_failures = []

    def apply_odd(key, value):
        try:
            apply_change(context, [(key, value), ("i0", entry())])
        except Exception as error:
            context.odd_failures.append((value[:60], repr(error)[:80]))

    for value in ODD_ENTRIES:
        apply_odd("odd", value)

    @hypothesis.settings(derandomize=True, max_examples=400, database=None)
    @hypothesis.given(strategies.sampled_from(names), ODD_VALUES)
    def check(name, value):
        apply_odd("odd", entry(**{name: value}))

    check()


@behave.then("no change fails, and the {count:d} instances stay listed")
def step_still_listed(context, count):
    assert not context.odd_failures, context.odd_failures[:3]
    newest = None
    while (message := context.inbox.poll()) is not None:
        if isinstance(message, fleet_events.RegistryChanged):
            newest = message.instances_by_service
    found = {i.entry.id for rows in newest.values() for i in rows}
    assert context.listed <= found, found


def decode_load(value):
    """Decodes a response with a load."""
    headers = [(platform_headers.SERVER_LOAD, value)]
    metadata = server_codec.decode_metadata(
        exchange.Response(200, headers, b"")
    )
    return metadata.running, metadata.waiting, metadata.slots


@behave.then(
    "a load of {count:d} digits is none, like any other text but three numbers"
)
def step_load(context, count):
    assert decode_load(b"9" * count + b",0,4") == (None, None, None)
    assert decode_load(b"3, 0,8") == (3, 0, 8)

    @hypothesis.settings(derandomize=True, max_examples=400, database=None)
    @hypothesis.given(strategies.binary(max_size=24))
    def check(value):
        load = decode_load(value)
        assert load == (None, None, None) or all(n >= 0 for n in load)

    check()
