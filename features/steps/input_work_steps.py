"""Steps on the work that the input of connections takes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

import behave
import structlog.testing
import uvloop

from dotterelpath.adapters import caller_input
from dotterelpath.adapters import clock as clock_adapter
from dotterelpath.adapters import connection_guard
from dotterelpath.adapters import h11_backend
from dotterelpath.adapters import h11_frontend
from dotterelpath.adapters import http_client
from dotterelpath.adapters import input_scheduler
from dotterelpath.adapters import logs
from dotterelpath.adapters import metrics as metrics_adapter
from dotterelpath.adapters import native_server_codec
from dotterelpath.adapters import traffic
from dotterelpath.domain import caller_memory
from dotterelpath.domain import exchange
from dotterelpath.domain import input_usage
from dotterelpath.domain import work_sharing
from dotterelpath.platform import caller_codec
from dotterelpath.ports import frontend
from dotterelpath.tasks import loop_monitor
from features import environment
from features.support import connection_machine
from features.support import edges
from features.support import immediate_input
from features.support import steady_load
from standins import gateway_fleet

# The time that one part of a message takes, in seconds.
PART_S = 7e-6
# How long after its time-out a request must be answered, in seconds.
SLACK_S = 0.5


@behave.when(
    "the input of an instance takes up the event loop for {busy_s:f} s"
)
def step_busy(context, busy_s):
    # Other scenarios raise the level of the process's log.
    logs.configure("info")
    usage = input_usage.InputUsage()
    monitor = loop_monitor.LoopMonitor(
        clock_adapter.SystemClock(), metrics_adapter.Metrics(), usage
    )
    context.busy_s = busy_s

    async def play():
        task = asyncio.create_task(monitor.run())
        await asyncio.sleep(0.0)
        usage.record("caller c", 100, 1, 0.001)
        usage.record("instance i", 100_000, 20_000, busy_s)
        time.sleep(busy_s)  # noqa: ASYNC251
        await asyncio.sleep(loop_monitor.PERIOD_S)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    with structlog.testing.capture_logs() as context.log_lines:
        asyncio.run(play())


@behave.then("a log line names this instance first, with the time that it took")
def step_named(context):
    lines = [
        line
        for line in context.log_lines
        if line["event"] == "event loop delayed"
    ]
    assert lines, context.log_lines
    peers = lines[0]["peers"]
    assert peers[0]["peer"] == "instance i", peers
    assert peers[0]["took_s"] == context.busy_s, peers
    assert peers[0]["events"] == 20_000, peers


@behave.given("{instance} answers without end in chunks of {size:d} bytes")
def step_hose(context, instance, size):
    context.fleet.set_mode(instance, endless=True, chunk_bytes=size)


@behave.given(
    "all instances of {service} answer without end in chunks of {size:d} bytes"
)
def step_all_endless(context, service, size):
    for instance in context.fleet.instances:
        if instance.startswith(f"i-{service}-"):
            step_hose(context, instance, size)


def encode_request(method, path, deadline_ms):
    """Encodes a request that is the only one of its connection."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {gateway_fleet.HOST}\r\n"
        f"Request-Id: r1\r\nDeadline-Ms: {deadline_ms}\r\n"
        "Content-Length: 0\r\nConnection: close\r\n\r\n"
    ).encode()


@behave.given(
    "{count:d} callers upload bodies of {size:d} bytes in chunks of {chunk:d}"
    " bytes"
)
def step_uploads(context, count, size, chunk):
    context.fleet.max_body_bytes = 2 * size
    context.fleet.configure(*environment.ROUTES)
    context.fleet.wait_for_configuration(context.fleet.version)
    piece = b"%x\r\n%b\r\n" % (chunk, b"x" * chunk)
    body = piece * (size // chunk) + b"0\r\n\r\n"
    head = encode_request("POST", "/deposits/1", 6000).replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    context.others = (count, head + body)


@behave.given(
    "{count:d} callers pipeline {each:d} requests for a path without a route"
)
def step_pipeline(context, count, each):
    request = encode_request("GET", "/nowhere", 6000).replace(
        b"Connection: close\r\n", b""
    )
    context.others = (count, request * each)


@behave.when(
    "deposits are requested {per_s:d} times a second for {duration_s:d} s"
)
def step_load_beside(context, per_s, duration_s):
    port = context.fleet.gateways["g1"].caller_port
    context.load = steady_load.Load(
        port, encode_request("POST", "/deposits/1", 6000), per_s, 6.0
    )
    count, data = context.others

    async def play():
        others = [
            steady_load.repeat(port, data, duration_s, 6.0)
            for _ in range(count)
        ]
        await asyncio.gather(context.load.run(duration_s), *others)

    asyncio.run(play())


@behave.when(
    "presses are requested {presses:d} times and deposits {deposits:d} times a"
    " second for {duration_s:d} s"
)
def step_load(context, presses, deposits, duration_s):
    port = context.fleet.gateways["g1"].caller_port
    context.load = steady_load.Load(
        port, encode_request("POST", "/deposits/1", 6000), deposits, 6.0
    )
    other = steady_load.Load(
        port, encode_request("GET", "/presses/1", 2500), presses, 2.5
    )
    count, data = getattr(context, "others", (0, b""))

    async def play():
        uploads = [
            steady_load.repeat(port, data, duration_s, 6.0)
            for _ in range(count)
        ]
        await asyncio.gather(
            context.load.run(duration_s), other.run(duration_s), *uploads
        )

    asyncio.run(play())


@behave.then("each deposit is served within its time-out of {timeout_s:d} s")
def step_all_served(context, timeout_s):
    load = context.load
    assert load.sent > 8, load.sent
    slowest_s = max(load.served_s, default=None)
    assert len(load.served_s) == load.sent, (
        f"{len(load.served_s)} of {load.sent} served, slowest {slowest_s}"
    )
    assert slowest_s <= timeout_s + SLACK_S, slowest_s


@behave.when("{count:d} calls of {instance} are open")
def step_open_calls(context, count, instance):
    context.open_calls = (count, context.fleet.instances[instance])


@behave.then(
    "{count:d} calls of {instance} are answered within {most_s:f} s each"
)
def step_calls_answered(context, count, instance, most_s):
    port = context.fleet.instances[instance]
    open_count, open_port = context.open_calls

    async def play():
        client = http_client.HttpClient(clock_adapter.SystemClock())

        async def call(called_port):
            request = http_client.build_get("/called")
            return await client.call("127.0.0.1", called_port, request, 5.0)

        open_calls = [
            asyncio.create_task(call(open_port)) for _ in range(open_count)
        ]
        # Until their answers arrive at the full rate.
        await asyncio.sleep(1.0)
        durations_s = []
        for _ in range(count):
            began_s = time.monotonic()
            assert (await call(port)).status == 200
            durations_s.append(time.monotonic() - began_s)
        for open_call in open_calls:
            open_call.cancel()
        await asyncio.gather(*open_calls, return_exceptions=True)
        return durations_s

    # The daemons run on uvloop, too.
    durations_s = uvloop.run(play())
    assert max(durations_s) <= most_s, max(durations_s)


class Peer:
    """A peer with input, whose work takes simulated time."""

    def __init__(self, parts):
        self.account = work_sharing.Account()
        self.parts_left = parts
        self.work = 0


class Process:
    """A process in simulated time that does nothing but process input."""

    def __init__(self):
        self.sharing = work_sharing.WorkSharing()
        self.now_s = 1000.0
        self.busy_s = 0.0
        self.parts = 0

    def add(self, peer):
        """Adds a peer that has input and waits for a turn."""
        self.sharing.add(peer, peer.account, self.now_s)

    def play_turn(self):
        """Plays the next turn; returns the peers that were served."""
        delay_s = self.sharing.next_turn_in_s(self.now_s)
        # Whatever else the process does between two turns.
        self.now_s += max(delay_s or 0.0, 1e-4)
        self.sharing.begin_turn(self.now_s)
        served = []
        while (peer := self.sharing.take()) is not None:
            parts = min(work_sharing.PIECE_WORK, peer.parts_left)
            peer.parts_left -= parts
            peer.work += parts
            self.parts += parts
            self.now_s += parts * PART_S
            self.busy_s += parts * PART_S
            self.sharing.record_in_turn(
                peer.account,
                parts,
                self.now_s,
                parts * PART_S,
                not peer.parts_left,
            )
            if peer.parts_left:
                self.add(peer)
            served.append(peer)
        return served


@behave.given(
    "{count:d} peers that send without end, for {duration_s:d} s so far"
)
def step_endless_peers(context, count, duration_s):
    process = context.process = Process()
    context.peers = [Peer(10**9) for _ in range(count)]
    for peer in context.peers:
        process.add(peer)
    context.began_s = process.now_s
    while process.now_s < context.began_s + duration_s:
        process.play_turn()


@behave.when("another peer sends a message of {parts:d} parts")
def step_another(context, parts):
    context.peer = Peer(parts)
    context.parts_before = context.process.parts
    context.process.add(context.peer)


@behave.then("it is done after at most {parts:d} parts of others")
def step_done(context, parts):
    process = context.process
    while context.peer.parts_left:
        process.play_turn()
    others = process.parts - context.parts_before - context.peer.work
    assert others <= parts, others


@behave.then(
    "each of them had between {least:d} and {most:d} percent of the work"
)
def step_shares(context, least, most):
    shares = [
        100.0 * peer.work / context.process.parts for peer in context.peers
    ]
    assert all(least <= share <= most for share in shares), shares


@behave.then("they took up at most {most:d} percent of the time")
def step_time(context, most):
    process = context.process
    percent = 100.0 * process.busy_s / (process.now_s - context.began_s)
    assert percent <= most, percent


@behave.when("new peers use up every turn")
def step_new_peers(context):
    context.new_parts = work_sharing.PIECE_WORK


@behave.then("each of the earlier peers gets a turn within {most_s:d} s")
def step_no_starvation(context, most_s):
    process = context.process
    unserved = set(context.peers)
    end_s = process.now_s + most_s
    while unserved and process.now_s < end_s:
        turn = work_sharing.TURN_WORK // context.new_parts
        while len(process.sharing) < len(context.peers) + turn:
            process.add(Peer(context.new_parts))
        unserved.difference_update(process.play_turn())
    assert not unserved, len(unserved)


@behave.when("{count:d} peers send a message each, {per_s:d} a second")
def step_many_peers(context, count, per_s):
    context.accounts = work_sharing.Accounts()
    for number in range(count):
        now_s = 1000.0 + number / per_s
        context.accounts.get(f"h:{number}", now_s).charge(3, now_s)


@behave.then("at most {count:d} of them are remembered")
def step_remembered(context, count):
    assert len(context.accounts) <= count, len(context.accounts)


class CountingInput:
    """A connection whose parts are counted by turn of the event loop."""

    def __init__(self, parts, counts):
        self.account = work_sharing.Account()
        self.peer = "caller"
        self.is_scheduled = False
        self.has_completed = False
        self._parts = parts
        self._counts = counts

    @property
    def has_input(self):
        return self._parts > 0

    def receive(self, parts):
        """Adds parts that have arrived."""
        self._parts += parts

    def process_input(self, max_work):
        parts = min(self._parts, max_work)
        self._parts -= parts
        self._counts[-1] += parts
        return parts


@behave.when("{peers:d} peers send {parts:d} parts each at the same moment")
def step_same_moment(context, peers, parts):
    counts = context.turn_parts = [0]

    async def play():
        scheduler = input_scheduler.InputScheduler()
        for _ in range(peers):
            scheduler.process(CountingInput(parts, counts))
        while sum(counts) < peers * parts:
            await asyncio.sleep(0.0)
            counts.append(0)

    asyncio.run(asyncio.wait_for(play(), 60.0))


@behave.then("no turn of the event loop processes more than {most:d} parts")
def step_turn_parts(context, most):
    assert max(context.turn_parts) <= most, max(context.turn_parts)


@behave.given("{count:d} connections of one peer whose input never ends")
def step_endless_inputs(context, count):
    context.endless_count = count


@behave.when(
    "another peer sends a chunk each {pause_s:f} s for {duration_s:d} s"
)
def step_stream(context, pause_s, duration_s):
    context.left_parts = []

    async def play():
        scheduler = input_scheduler.InputScheduler()
        account = work_sharing.Account()
        for _ in range(context.endless_count):
            endless = CountingInput(10**9, [0])
            endless.account = account
            scheduler.process(endless)
        stream = CountingInput(0, [0])
        for _ in range(round(duration_s / pause_s)):
            await asyncio.sleep(pause_s)
            stream.receive(2)
            scheduler.process(stream)
            context.left_parts.append(stream.has_input or stream.is_scheduled)

    asyncio.run(play())


@behave.then("each chunk is processed when it arrives")
def step_on_arrival(context):
    assert len(context.left_parts) == 20, context.left_parts
    assert not any(context.left_parts), context.left_parts


class HeldAnswer:
    """A connection to a server whose received answer waits for its turn."""

    def __init__(self, context, chunks):
        near, far = socket.socketpair()
        context.add_cleanup(near.close)
        context.add_cleanup(far.close)
        self.listener = edges.InstanceListener()
        self.scheduler = immediate_input.HeldScheduler()
        self.memory = caller_memory.CallerMemory()
        self.transport = HeldTransport(near)
        self.connection = h11_backend.H11Connection(
            "h:1",
            self.listener,
            clock_adapter.SystemClock(),
            native_server_codec.NativeServerCodec(),
            traffic.TrafficCounter(),
            self.scheduler,
            work_sharing.Account(),
            self.memory,
        )
        self.connection.connection_made(self.transport)
        request = exchange.Request(
            "GET", "/", [(b"host", b"h")], request_id="r1"
        )
        self.connection.send(1, request, 1.0, 100_000)
        self.connection.data_received(
            b"HTTP/1.1 200 OK\r\ndotterelpath-request-id: r1\r\n"
            b"transfer-encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * chunks
            + b"0\r\n\r\n"
        )
        self.body = b"x" * chunks


class HeldTransport(edges.InstanceTransport):
    """Keeps whether the connection is read from."""

    is_reading = True

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True


@behave.given("a server whose answer of {chunks:d} chunks waits for its turn")
def step_held_answer(context, chunks):
    context.held = HeldAnswer(context, chunks)
    context.held.scheduler.play_turn()
    assert not context.held.listener.responses


@behave.when("the connection {end}")
def step_connection_ends(context, end):
    connection = context.held.connection
    if end == "ends":
        assert not connection.eof_received()
        connection.connection_lost(None)
    else:
        connection.connection_lost(ConnectionResetError("reset"))


@behave.then("the request gets its whole answer once its turn comes")
def step_whole_answer(context):
    held = context.held
    assert not held.listener.ended_count
    assert held.scheduler.play_all() > 1
    assert [r.body for r in held.listener.responses] == [held.body]
    assert not held.listener.ended_count
    assert not held.memory.read_ahead_bytes


@behave.then("the connection is read from only after all turns")
def step_not_read(context):
    held = context.held
    while held.scheduler.waiting:
        assert not held.transport.is_reading
        assert held.memory.read_ahead_bytes >= len(held.body)
        held.scheduler.play_turn()
    assert held.transport.is_reading
    assert not held.memory.read_ahead_bytes


@behave.when("the attempt is cancelled")
def step_cancelled(context):
    context.held.connection.close()


@behave.then("nothing of the answer is counted or passed on")
def step_nothing_left(context):
    held = context.held
    assert not held.memory.read_ahead_bytes
    held.scheduler.play_all()
    assert not held.listener.responses
    assert not held.listener.ended_count


class HeldCaller:
    """A caller's connection whose received bytes wait for their turn."""

    def __init__(self, data):
        self.listener = edges.Answerer()
        self.scheduler = immediate_input.HeldScheduler()
        self.transport = connection_machine.FakeTransport()
        self.connection = h11_frontend.H11Connection(
            self.listener,
            caller_codec.CallerCodec(),
            frontend.Limits(16384, 65536, 1.0, 3.0, max_pipelined=32),
            traffic.TrafficCounter(),
            connection_guard.ConnectionGuard(),
            self.scheduler,
        )
        self.connection.connection_made(self.transport)
        self.connection.data_received(data)


def encode_held(deadline_ms, framing):
    """Encodes the head of a request on a kept connection."""
    return (
        "POST /deposits/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
        f"Deadline-Ms: {deadline_ms}\r\n{framing}\r\n\r\n"
    ).encode()


@behave.given("a caller whose {count:d} pipelined requests wait for their turn")
def step_held_requests(context, count):
    request = encode_held(5000, "Content-Length: 0")
    context.held = HeldCaller(request * count)


@behave.when("the drain of its connection begins")
def step_drain(context):
    context.held.connection.drain()


@behave.then(
    "all {count:d} requests are answered, and the last answer ends the"
    " connection"
)
def step_all_answered(context, count):
    held = context.held
    held.scheduler.play_all()
    assert held.listener.taken_count == count, held.listener.taken_count
    answers = held.transport.written.split(b"HTTP/1.1 200 ")[1:]
    assert len(answers) == count, len(answers)
    closing = [b"connection: close" in a.lower() for a in answers]
    assert closing == [False] * (count - 1) + [True], closing
    assert held.transport.is_ended


@behave.given("a caller whose upload of {count:d} chunks waits for its turn")
@behave.given(
    "a caller whose upload of {count:d} chunks and {budget_s:d} s waits for its"
    " turn"
)
def step_held_upload(context, count, budget_s=600):
    head = encode_held(1000 * budget_s, "Transfer-Encoding: chunked")
    body = b"1\r\nx\r\n" * count + b"0\r\n\r\n"
    context.held = HeldCaller(head + body)
    context.held.scheduler.play_turn()
    assert context.held.scheduler.waiting


@behave.when("the time-outs are checked after {elapsed_s:d} s")
def step_check_timeouts(context, elapsed_s):
    now_s = time.monotonic() + elapsed_s
    context.held.connection.check_timeouts(now_s)


@behave.then("the upload is complete once its turn comes")
def step_upload_complete(context):
    held = context.held
    assert not held.transport.written, held.transport.written
    held.scheduler.play_all()
    assert held.transport.written.startswith(b"HTTP/1.1 200 ")


@behave.then("the upload is refused as too slow")
def step_upload_refused(context):
    assert context.held.transport.written.startswith(b"HTTP/1.1 408 ")
    context.held.scheduler.play_all()
    assert not context.held.listener.taken_count - 1


class InputOwner:
    """A connection that takes all requests."""

    is_open = True
    takes_requests = True
    open_count = 1

    def __init__(self):
        self.taken_count = 0

    def on_complete(self, cycle):
        self.taken_count += 1


@behave.when(
    "{count:d} pipelined requests are parsed in pieces of {parts:d} parts"
)
def step_parse_in_pieces(context, count, parts):
    owner = context.owner = InputOwner()
    received = caller_input.CallerInput(
        caller_codec.CallerCodec(),
        frontend.Limits(16384, 65536),
        connection_guard.CallerRegistry(),
    )
    received.append(encode_held(5000, "Content-Length: 0") * count)
    context.held_bytes = 0
    received.read(owner, parts)
    while received.is_interrupted:
        left, _ = received.cycle.conn.trailing_data
        context.held_bytes = max(context.held_bytes, len(left))
        received.read(owner, parts)


@behave.then(
    "all are taken, and the parser never held more than {size:d} bytes"
)
def step_parser_bounded(context, size):
    assert context.owner.taken_count == 2000, context.owner.taken_count
    assert 0 < context.held_bytes <= size, context.held_bytes
