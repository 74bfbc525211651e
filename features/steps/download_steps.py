"""Steps on large responses: read-ahead, without sockets."""

from __future__ import annotations

import behave
import orjson

from dotterelpath import errors
from dotterelpath.domain import attempts
from dotterelpath.domain import configuration
from dotterelpath.domain import exchange
from dotterelpath.platform import store_item_codec
from dotterelpath.ports import store
from dotterelpath.tasks import backend_pool
from dotterelpath.tasks import front_end
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages
from features.support import gateway_world
from features.support import world
from standins import gateway_fleet

CHUNK = b"x" * 65536
HELD_KIB = 1024


class Connection:
    """A connection to an instance or from a caller that does nothing."""

    is_paused = False
    is_reusable = True
    last_received_s = 0.0

    def pause(self):
        """Stops reading."""
        self.is_paused = True

    def resume(self):
        """Resumes reading."""
        self.is_paused = False

    def respond(self, *_):
        """Takes the start of a response."""

    write_chunk = end_response = send = respond


class Path:
    """The front end and the backend pool, joined by their mailboxes."""

    def __init__(self):
        self.to_front = mailbox.Mailbox("front end", 10**9)
        self.to_pool = mailbox.Mailbox("pool", 10**9)
        self.requests = mailbox.Mailbox("gateway", 10**9)
        self.front = front_end.FrontEnd(
            None, "h", 1, self.to_front, self.requests, None, self.to_pool
        )
        self.pool = backend_pool.BackendPool(
            None, world.FakeClock(), self.to_pool, self.to_front
        )
        self.read_kib = {}
        self.instances = {}

    def request(self, caller):
        """Receives a request and returns its token."""
        self.front.on_request(caller, exchange.Request("GET", "/d/", []))
        return self.requests.poll().token

    def begin(self, token):
        """Begins a response whose first part is held whole."""
        instance = self.instances[token] = Connection()
        self.read_kib[token] = HELD_KIB
        self.pool._active_connections[token] = instance
        self.pool.on_response(
            instance, token, exchange.Response(200, [], b""), False
        )
        self.to_front.poll()
        self.finish(token, stream_id=token)

    def finish(self, token, **changed):
        """Delivers the outcome of a request."""
        outcome = exchange.Outcome(
            errors.ResultCode.ANSWERED,
            response=exchange.Response(200, [], b""),
            **changed,
        )
        self.front._handle(messages.RequestEnded(token, outcome))

    def settle(self):
        """Delivers the messages between the two tasks."""
        while len(self.to_front) or len(self.to_pool):
            if len(self.to_front):
                self.front._handle(self.to_front.poll())
            if len(self.to_pool):
                self.pool._handle(self.to_pool.poll())

    def stream(self, size_kib):
        """Sends chunks of all responses that are read, up to a size."""
        for token, instance in self.instances.items():
            while self.read_kib[token] < size_kib and not instance.is_paused:
                self.pool.on_body_chunk(token, CHUNK)
                self.read_kib[token] += len(CHUNK) // 1024
                self.settle()


def begin_full(context, count):
    """Begins a response to each caller, whose connections are full."""
    context.path = Path()
    context.callers = [Connection() for _ in range(count)]
    for caller in context.callers:
        token = context.path.request(caller)
        context.path.front.on_paused(caller)
        context.path.begin(token)


@behave.given("a caller whose connection takes no bytes")
def step_full(context):
    begin_full(context, 1)


@behave.given("{count:d} callers whose connections take no bytes")
def step_many_full(context, count):
    begin_full(context, count)


@behave.given("a caller that pipelined a request behind a slow one")
def step_pipelined(context):
    context.path = Path()
    context.callers = [Connection()]
    context.slow = context.path.request(context.callers[0])
    context.path.begin(context.path.request(context.callers[0]))


@behave.when("its response of {size_kib:d} KiB streams")
@behave.when("their responses of {size_kib:d} KiB stream")
def step_stream(context, size_kib):
    context.path.stream(size_kib)
    (*_, context.instance) = context.path.instances.values()


@behave.then("the instance's connection is never paused")
def step_never_paused(context):
    assert not context.instance.is_paused, context.path.read_kib


@behave.then("the instance's connection is paused within {limit_kib:d} KiB")
def step_paused(context, limit_kib):
    assert context.instance.is_paused, context.path.read_kib
    assert max(context.path.read_kib.values()) <= limit_kib


@behave.then("it is resumed when the caller reads")
def step_resumed(context):
    context.path.front.on_resumed(context.callers[0])
    context.path.settle()
    assert not context.instance.is_paused


@behave.then("it is resumed when the slow one is answered")
def step_turn_came(context):
    context.path.finish(context.slow)
    context.path.settle()
    assert not context.instance.is_paused


@behave.then("less than {limit:d} MiB are read ahead for all of them together")
def step_total(context, limit):
    ahead = [kib - HELD_KIB for kib in context.path.read_kib.values()]
    assert min(ahead) > 0, "a caller gets nothing"
    assert sum(ahead) < limit * 1024, sum(ahead)


@behave.given("simulated instances, and a route for downloads")
def step_downloads(context):
    route = gateway_fleet.route("/d/", "s", route_type="download")
    value = {
        "version": "r1",
        "services": [{"name": "s", "max_connections": 9}],
        "hosts": [{"host": gateway_world.HOST, "path_rules": [route]}],
        "limits": {
            "max_header_bytes": 9000,
            "max_body_bytes": 9000,
            "header_timeout_s": 3,
            "idle_timeout_s": 3,
        },
    }
    item = store_item_codec.StoreItemCodec().decode(
        store.VersionedValue("op/config", orjson.dumps(value), 1)
    )
    assert not item.unknown_request_kinds
    (found,) = item.configuration.routes
    assert found.kind is configuration.RequestKind.DOWNLOAD
    context.world = gateway_world.GatewayWorld([found])


@behave.when("the first two attempts of a download are cut off")
def step_cut_off(context):
    gateway = context.world.gateway
    context.world.send_request("/d/1", 4.0)
    context.sent = []
    for _ in range(2):
        context.sent.append(context.world.back_ends.poll())
        gateway.handle(
            messages.AttemptEnded(
                context.sent[-1].attempt_id,
                attempts.AttemptResult.BROKEN,
                "cut off",
            )
        )


@behave.then("it was sent to 2 instances, each to be held whole up to 1 MiB")
def step_sent_again(context):
    assert len({message.vm.id for message in context.sent}) == 2
    for message in context.sent:
        assert message.max_buffered_bytes == 1024 * 1024
    assert not len(context.world.back_ends), "sent a third time"
