"""Checks how a caller's connection ends, whatever is outstanding on it."""

from __future__ import annotations

import time

import h11
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from dotterelpath import errors
from dotterelpath.adapters import caller_codec
from dotterelpath.adapters import connection_guard
from dotterelpath.adapters import h11_frontend
from dotterelpath.adapters import traffic
from dotterelpath.domain import exchange
from dotterelpath.ports import frontend
from features.support import immediate_input

MAX_PIPELINED = 3
# A request that the codec refuses, among the kinds of request.
BAD = "BAD"


class FakeTransport:
    """Keeps what is written, up to the end of the connection."""

    def __init__(self):
        self.written = b""
        # What the caller's kernel has not accepted yet.
        self.waiting_bytes = 0
        # Whether nothing more can be written, or read either.
        self.is_ended = False
        self.is_closed = False

    def write(self, data):
        assert not self.is_ended, data
        self.written += data

    def write_eof(self):
        self.is_ended = True

    def close(self):
        self.is_ended = self.is_closed = True

    abort = close

    def get_extra_info(self, name):
        return None

    def get_write_buffer_size(self):
        return self.waiting_bytes

    def is_closing(self):
        return self.is_closed

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


class Listener:
    """Keeps the requests that the connection has taken."""

    def __init__(self):
        self.outstanding = []
        self.taken_count = 0

    def on_request(self, connection, request):
        self.taken_count += 1
        self.outstanding.append(request)

    def on_rejected(self, connection, error):
        self.taken_count += 1

    def on_connected(self, connection):
        pass

    on_disconnected = on_paused = on_resumed = on_connected


class ConnectionMachine(stateful.RuleBasedStateMachine):
    """A caller pipelines while responses become ready and the daemon stops.

    Each request that was taken has its complete response before the connection
    ends, in order; a stop says so in the last response that it can say it in;
    and a drained connection does not stay open.
    """

    def __init__(self):
        super().__init__()
        self.listener = Listener()
        self.transport = FakeTransport()
        self.connection = h11_frontend.H11Connection(
            self.listener,
            caller_codec.CallerCodec("id"),
            frontend.Limits(16384, 65536, max_pipelined=MAX_PIPELINED),
            traffic.TrafficCounter(),
            connection_guard.ConnectionGuard(),
            immediate_input.ImmediateScheduler(),
        )
        self.connection.connection_made(self.transport)
        self.methods = []
        self.rest = b""
        self.streams = []
        self.is_stopping = False
        self.is_draining = False

    @stateful.rule(
        kind=strategies.sampled_from(("GET", "POST", "HEAD", BAD)),
        is_last=strategies.integers(0, 9).map(lambda n: n == 0),
        is_half=strategies.booleans(),
    )
    def send(self, kind, is_last, is_half):
        """Sends the rest of a request, and another one or its first half."""
        method = "GET" if kind == BAD else kind
        close = "Connection: close\r\n" * is_last
        bad = "Dotterelpath-Timeout-Ms: x\r\n" * (kind == BAD)
        body = "body" if kind == "POST" else ""
        data = (
            f"{method} /{len(self.methods)} HTTP/1.1\r\nHost: h\r\n{close}{bad}"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        ).encode()
        self.methods.append(method)
        # Before its head is complete, nobody knows that a request is a HEAD.
        is_half = is_half and kind != "HEAD"
        half = len(data) - 2 if is_half else len(data)
        self._receive(self.rest + data[:half])
        self.rest = data[half:]

    @stateful.precondition(lambda self: self.rest)
    @stateful.rule()
    def send_rest(self):
        self._receive(self.rest)
        self.rest = b""

    @stateful.precondition(lambda self: self.listener.outstanding)
    @stateful.rule(
        pick=strategies.integers(0, 9), is_streamed=strategies.booleans()
    )
    def respond(self, pick, is_streamed):
        """Responds to an outstanding request, not always the oldest one."""
        outstanding = self.listener.outstanding
        request = outstanding.pop(pick % len(outstanding))
        body = b"" if request.method == "HEAD" else request.target.encode()
        response = exchange.Response(200, [], body)
        outcome = exchange.Outcome(errors.ResultCode.ANSWERED)
        outcome.response = response
        if is_streamed:
            outcome.stream_id = 1
            self.streams.append(request)
        self.connection.respond(outcome, request)

    @stateful.precondition(lambda self: self.streams)
    @stateful.rule(pick=strategies.integers(0, 9))
    def end_stream(self, pick):
        request = self.streams.pop(pick % len(self.streams))
        self.connection.write_chunk(b"!", request)
        self.connection.end_response(request)

    @stateful.precondition(lambda self: not self.is_stopping)
    @stateful.rule()
    def announce(self):
        self.is_stopping = True
        self.connection.announce_close()

    @stateful.precondition(lambda self: self.is_stopping)
    @stateful.rule()
    def drain(self):
        self.is_draining = True
        self.connection.drain()

    @stateful.precondition(lambda self: self.is_draining)
    @stateful.rule()
    def lapse(self):
        """Lets the caller fall silent for longer than a drain waits."""
        self.connection.check_timeouts(time.monotonic() + 5.0)

    def teardown(self):
        """Answers everything, and reads the responses as the caller would."""
        must_announce = (
            self.is_draining
            and bool(self.listener.outstanding)
            and not self.streams
            and not self.rest
        )
        while self.listener.outstanding:
            self.respond(0, False)
        while self.streams:
            self.end_stream(0)
        # A request that follows is taken or not, but never cut.
        while self.listener.outstanding:
            self.respond(0, False)
        count, is_last = self._read_responses()
        assert count >= self.listener.taken_count, "a taken request was cut"
        if self.is_draining:
            # The rest of a request never comes.
            self.lapse()
            assert self.transport.is_ended, "a drained connection stays open"
        assert is_last or not must_announce, "the end came unannounced"
        if is_last:
            assert self.transport.is_ended, "the announced end did not come"
        super().teardown()

    def _receive(self, data):
        if not self.transport.is_closed:
            self.connection.data_received(data)

    def _read_responses(self):
        """Counts the whole responses, and tells whether the last one closes."""
        written = self.transport.written
        is_last = False
        for count, method in enumerate(self.methods):
            if not written:
                return count, is_last
            assert not is_last, "a response follows the announced end"
            client = h11.Connection(h11.CLIENT)
            head = h11.Request(
                method=method, target=f"/{count}", headers=[("Host", "h")]
            )
            client.send(head)
            client.send(h11.EndOfMessage())
            client.receive_data(written)
            body = b""
            event = client.next_event()
            assert isinstance(event, h11.Response), event
            is_last = (b"connection", b"close") in event.headers
            status = event.status_code
            while not isinstance(
                event := client.next_event(), h11.EndOfMessage
            ):
                assert isinstance(event, h11.Data), event
                body += event.data
            if status == 200 and method != "HEAD":
                assert body.rstrip(b"!") == f"/{count}".encode(), body
            written = client.trailing_data[0]
        assert not written, written
        return len(self.methods), is_last


def check(examples, steps):
    """Runs the machine, and raises at the first violation."""
    stateful.run_state_machine_as_test(
        ConnectionMachine,
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
