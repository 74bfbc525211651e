"""Draws what comes in at a daemon's four edges, and lets it come in.

Each function plays one drawn input and raises if an error gets through that
would end the task, and with it the process.
"""

from __future__ import annotations

import asyncio
import socket
import types

import hypothesis
import orjson
from hypothesis import strategies

from dotterelpath import errors
from dotterelpath.adapters import clock
from dotterelpath.adapters import connection_guard
from dotterelpath.adapters import datagrams as datagram_codec
from dotterelpath.adapters import h11_backend
from dotterelpath.adapters import h11_frontend
from dotterelpath.adapters import store_client
from dotterelpath.adapters import traffic
from dotterelpath.domain import exchange
from dotterelpath.domain import store_position
from dotterelpath.domain import work_sharing
from dotterelpath.platform import caller_codec
from dotterelpath.platform import server_codec
from dotterelpath.platform import store_codec
from dotterelpath.platform import store_item_codec
from dotterelpath.ports import frontend
from dotterelpath.ports import store as store_port
from features.support import connection_machine
from features.support import immediate_input
from features.support import steered_fleet

_names = strategies.sampled_from(
    (
        "Host",
        "Request-Id",
        "Deadline-Ms",
        "Connection",
        "Content-Length",
        "Transfer-Encoding",
        "Expect",
        "TE",
        "Upgrade",
        "Keep-Alive",
        "Response-Signature",
        "Not-Executed",
        "Server-Load",
        "Server-Limit",
        "Server-Leaving",
        "Retry-After",
        "X-Own",
    )
)
_values = strategies.one_of(
    strategies.sampled_from(
        (
            "h",
            "1",
            "0",
            "-1",
            "1e400",
            "nan",
            "",
            "close",
            "host",
            "keep-alive, HOST",
            "request-id, x,, content-length",
            "chunked",
            "gzip, chunked",
            "100-continue",
            "1,2,3",
            "9" * 5000,
        )
    ),
    strategies.text(
        strategies.characters(min_codepoint=1, max_codepoint=255), max_size=12
    ),
)
_fields = strategies.lists(strategies.tuples(_names, _values), max_size=6)
_tails = strategies.sampled_from(
    (b"", b"x", b"3\r\nabc\r\n0\r\n\r\n", b"zz\r\n", b"\x00\xff", b"x" * 9000)
)
_texts = strategies.text(
    strategies.characters(min_codepoint=33, max_codepoint=255), max_size=8
)
_scalars = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**63), 2**64 - 1),
    strategies.floats(),
    strategies.text(max_size=6),
    strategies.sampled_from(("ready", "i0", "s", "d1", "AA==", "=", "x" * 300)),
)
_json = strategies.recursive(
    _scalars,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(
                (
                    "key",
                    "value",
                    "revision",
                    "items",
                    "events",
                    "deleted",
                    "has_more",
                    "store_revision",
                    "lease",
                )
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=12,
)


def _encode_json(value):
    try:
        return orjson.dumps(value)
    except TypeError:
        return b"{"


class Answerer(connection_machine.Listener):
    """Answers each request at once, with the request's own headers."""

    def on_request(self, connection, request):
        super().on_request(connection, request)
        outcome = exchange.Outcome(errors.ResultCode.ANSWERED)
        outcome.response = exchange.Response(200, request.headers, b"body")
        connection.respond(outcome, request)


class InstanceListener:
    """Keeps what a connection to an instance reports."""

    def __init__(self):
        self.responses = []
        self.ended_count = 0

    def on_response(self, connection, attempt_id, response, is_complete):
        self.responses.append(response)

    def on_body_chunk(self, attempt_id, data):
        pass

    def on_response_end(self, connection, attempt_id):
        self.ended_count += 1

    def on_request_failed(self, connection, attempt_id, detail, is_protocol):
        self.ended_count += 1

    def on_closed(self, connection):
        pass


class InstanceTransport(connection_machine.FakeTransport):
    """A connection to an instance, which is a pair of real sockets."""

    def __init__(self, near):
        super().__init__()
        self._near = near

    def get_extra_info(self, name):
        return self._near

    def is_closing(self):
        return self.is_closed

    def writelines(self, chunks):
        self.write(b"".join(chunks))

    def get_write_buffer_size(self):
        return 0


def play_caller(start, fields, tail, cuts):
    """Sends a caller's bytes, cut at some places, and reads the answers."""
    head = "".join(f"{name}: {value}\r\n" for name, value in fields)
    data = f"{start}\r\n{head}\r\n".encode("latin-1", "replace") + tail
    listener = Answerer()
    transport = connection_machine.FakeTransport()
    connection = h11_frontend.H11Connection(
        listener,
        caller_codec.CallerCodec(),
        frontend.Limits(16384, 65536, max_pipelined=3),
        traffic.TrafficCounter(),
        connection_guard.ConnectionGuard(),
        immediate_input.ImmediateScheduler(),
    )
    connection.connection_made(transport)
    edges = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    for begin, end in zip(edges, edges[1:], strict=False):
        if not transport.is_ended:
            connection.data_received(data[begin:end])
    for request in listener.outstanding:
        play_instance(request, b"HTTP/1.1 200 OK\r\n\r\n")
    connection.drain()


def play_instance(request, data):
    """Sends a request to an instance, which responds with the given bytes."""
    near, far = socket.socketpair()
    with near, far:
        listener = InstanceListener()
        connection = h11_backend.H11Connection(
            "h:1",
            listener,
            clock.SystemClock(),
            server_codec.ServerCodec(),
            traffic.TrafficCounter(),
            immediate_input.ImmediateScheduler(),
            work_sharing.Account(),
        )
        transport = InstanceTransport(near)
        connection.connection_made(transport)
        connection.send(1, request, 1.0, 512, "i0")
        if not transport.is_closed:
            connection.data_received(data)
        if not transport.is_closed:
            connection.eof_received()
        connection.connection_lost(None)
    for response in listener.responses:
        server_codec.decode_metadata(response)
        answer_caller(response)


def answer_caller(response):
    """Passes an instance's response on to a caller."""
    connection = h11_frontend.H11Connection(
        Passer(response),
        caller_codec.CallerCodec(),
        frontend.Limits(16384, 65536),
        traffic.TrafficCounter(),
        connection_guard.ConnectionGuard(),
        immediate_input.ImmediateScheduler(),
    )
    connection.connection_made(connection_machine.FakeTransport())
    connection.data_received(
        b"GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n"
    )


class Passer(connection_machine.Listener):
    """Answers each request with a given response."""

    def __init__(self, response):
        super().__init__()
        self._response = response

    def on_request(self, connection, request):
        outcome = exchange.Outcome(errors.ResultCode.ANSWERED)
        outcome.response = self._response
        connection.respond(outcome, request)


def play_store(status, body):
    """Lets the store answer each kind of call with the given bytes."""

    class Client:
        async def call(self, host, port, request, timeout_s, transfer=None):
            return exchange.Response(status, [], body)

    async def run():
        client = store_client.StoreClient(
            "h",
            1,
            Client(),
            clock.SystemClock(),
            types.SimpleNamespace(record_store_call=lambda call, ok: None),
            store_codec.StoreCodec(),
        )
        for call in (
            client.get("k"),
            client.watch("", store_position.NOTHING, 0.0, True),
            client.watch("", store_position.Position(0, 5), 0.0),
            client.create("k", "v", 600.0),
            client.swap("k", "v", 1),
            client.delete("k"),
            client.renew(7),
        ):
            try:
                found = await call
            except (errors.StoreError, errors.UnknownOutcomeError):
                continue
            for entry in getattr(found, "entries", []):
                store_item_codec.StoreItemCodec().decode(entry)

    asyncio.run(run())


def play_item(key, value):
    """Lets another writer put a value into the store."""
    codec = store_item_codec.StoreItemCodec()
    codec.decode(store_port.VersionedValue(key, value, 1))


class DatagramEdge:
    """A daemon, which gets drawn datagrams from another one."""

    def __init__(self):
        self._runner = asyncio.Runner()
        self._fleet = self._run(self._create)
        self._socket = datagram_codec.UdpDatagrams(
            "h", 1, self._fleet.members[0].monitor
        )

    def _create(self):
        return steered_fleet.SteeredFleet("ab", {"i0": "a", "i1": "b"})

    def _run(self, function, *args):
        async def run():
            return function(*args)

        return self._runner.run(run())

    def close(self):
        self._runner.close()

    def play(self, data):
        def receive():
            self._socket.datagram_received(data, ("h", 1))
            self._fleet.in_transit.clear()
            self._fleet.members[0].move_messages()
            self._fleet.run(self._fleet.now_s + steered_fleet.STEP_S)

        self._run(receive)


_starts = strategies.builds(
    "{} {} {}".format,
    strategies.sampled_from(
        ("GET", "POST", "HEAD", "CONNECT", "OPTIONS", "PRI", "get", "\x01")
    ),
    strategies.sampled_from(
        ("/", "*", "/a?b", "http://h/", "//", "a", "/\xe9")
    ),
    strategies.sampled_from(
        ("HTTP/1.1", "HTTP/1.0", "HTTP/2.0", "HTTP/1.9", "")
    ),
)
_statuses = strategies.builds(
    "HTTP/1.1 {} {}".format,
    strategies.sampled_from(
        (200, 100, 101, 204, 304, 421, 429, 500, 503, 599, 999, 99, "x")
    ),
    strategies.sampled_from(("", "OK", "\xff")),
)
_datagrams = strategies.fixed_dictionaries(
    {"from": _scalars},
    optional={
        name: strategies.one_of(_scalars, _json, _rows)
        for name in (
            "ping",
            "pong",
            "state",
            "cores",
            "link_mbps",
            "revision",
            "revision_age_s",
            "leaving",
            "limits",
            "served",
            "seen",
            "service",
            "instance",
            "started_ms",
            "serving",
        )
        for _rows in [
            strategies.lists(
                strategies.tuples(
                    strategies.sampled_from(("i0", "i1", "s", 1)),
                    strategies.one_of(strategies.just(1), _scalars),
                    _scalars,
                ),
                max_size=3,
            )
        ]
    },
)


def _settings(examples):
    return hypothesis.settings(
        max_examples=examples,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def check_callers(examples):
    """Plays heads, header lists, framing and bodies of callers."""

    @_settings(examples)
    @hypothesis.given(
        _starts,
        _fields,
        _tails,
        strategies.lists(strategies.integers(0, 300), max_size=4),
    )
    def check(start, fields, tail, cuts):
        usual = [("Host", "h"), ("Request-Id", "r")]
        play_caller(start, usual + fields, tail, cuts)
        play_caller(start, fields, tail, cuts)

    check()


def check_instances(examples):
    """Plays responses of instances."""
    request = exchange.Request(
        "GET", "/", [(b"host", b"h"), (b"request-id", b"r")], request_id="r"
    )

    @_settings(examples)
    @hypothesis.given(_statuses, _fields, _tails)
    def check(start, fields, tail):
        head = "".join(f"{name}: {value}\r\n" for name, value in fields)
        data = f"{start}\r\n{head}\r\n".encode("latin-1", "replace") + tail
        play_instance(request, data)

    check()


def check_store(examples):
    """Plays answers of the store, and values of other writers."""

    @_settings(examples)
    @hypothesis.given(
        strategies.sampled_from((200, 404, 410, 412, 429, 500, 503)),
        _json,
        _json,
        strategies.sampled_from(("op/config", "servers/i1", "daemons/d1", "x")),
    )
    def check(status, answer, value, key):
        play_store(status, _encode_json(answer))
        play_item(key, _encode_json(value).decode())

    check()


def check_datagrams(examples):
    """Plays datagrams of other daemons."""
    edge = DatagramEdge()

    @_settings(examples)
    @hypothesis.given(_datagrams, strategies.binary(max_size=20))
    def check(data, raw):
        edge.play(_encode_json(data))
        edge.play(raw)

    try:
        check()
    finally:
        edge.close()


CHECKS = {
    "callers": check_callers,
    "instances": check_instances,
    "the store": check_store,
    "other daemons": check_datagrams,
}
