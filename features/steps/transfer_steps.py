"""Steps on responses of the store that take long to arrive."""

from __future__ import annotations

import asyncio
import random
import types

import behave
import orjson

from dotterelpath import errors
from dotterelpath.adapters import clock
from dotterelpath.adapters import http_client
from dotterelpath.adapters import store_client
from dotterelpath.domain import exchange
from dotterelpath.domain import store_following
from dotterelpath.platform import store_codec
from dotterelpath.ports import store as store_port
from dotterelpath.tasks import _store_calls
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import store_events
from dotterelpath.tasks import store_reader
from features.support import positions
from features.support import simulated_paths
from features.support import simulated_time

# The longest pause and the longest transfer of the calls, in seconds.
PAUSE_S = 0.5
LIMIT_S = 3.0
PART_COUNT = 12
PART_BYTES = 100


class SlowStore:
    """A store whose responses arrive in parts."""

    def __init__(self, part_gaps_s):
        self._part_gaps_s = part_gaps_s

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        body = orjson.dumps({"events": [], "store_revision": 9})
        body = body.ljust(PART_BYTES * len(self._part_gaps_s))
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode())
        for number, gap_s in enumerate(self._part_gaps_s):
            if await is_closed_within(reader, gap_s):
                break
            start = number * PART_BYTES
            writer.write(body[start : start + PART_BYTES])
        writer.close()


async def is_closed_within(reader, duration_s):
    """Waits, unless the caller closes its connection before."""
    try:
        async with asyncio.timeout(duration_s):
            return not await reader.read(1)
    except TimeoutError:
        return False
    except ConnectionError:
        return True


@behave.given("a store whose response comes in parts, one each 0.1 seconds")
def step_parts(context):
    context.slow_store = SlowStore([0.1] * PART_COUNT)


@behave.given("a store whose response stops in the middle")
def step_stops(context):
    context.slow_store = SlowStore([0.0] * 6 + [60.0] * 6)


@behave.given("a store whose response goes on without end")
def step_trickles(context):
    context.slow_store = SlowStore([0.2] * 60)


@behave.when("a daemon reads changes, and allows pauses of 0.5 seconds")
def step_read(context):
    context.result = read_changes(context.slow_store)


@behave.when("a daemon reads changes, and allows {size:d} bytes")
def step_read_short(context, size):
    context.result = read_changes(context.slow_store, size)


def read_changes(slow_store, max_bytes=http_client.DEFAULT_MAX_RESPONSE_BYTES):
    """Reads changes; returns them, or the error."""

    async def read():
        server = await asyncio.start_server(slow_store.serve, "127.0.0.1", 0)
        system_clock = clock.SystemClock()
        client = http_client.HttpClient(system_clock, max_bytes)
        store = store_client.StoreClient(
            *server.sockets[0].getsockname(),
            client,
            system_clock,
            types.SimpleNamespace(record_store_call=lambda call, ok: None),
            store_codec.StoreCodec(),
        )
        try:
            return await store.watch(
                "",
                positions.at(5),
                0.0,
                True,
                exchange.Transfer(PAUSE_S, LIMIT_S),
            )
        except errors.StoreError as error:
            return error
        finally:
            client.close()
            server.close()

    return asyncio.run(read())


class LongHistoryStore:
    """A store whose changes are too long to read; see ports.store.Store."""

    def __init__(self):
        self.revision = 1

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
        await asyncio.sleep(0.01)
        if not after.revision:
            return store_port.Changes([], positions.at(self.revision), True)
        if self.revision > after.revision:
            raise errors.IncompleteResponseError("too long")
        await asyncio.sleep(wait_s)
        return store_port.Changes([], after)


@behave.given("a store whose changes are too long, and whose keys are not")
def step_long_history(context):
    context.long_store = LongHistoryStore()


@behave.when("a daemon follows it")
def step_follow(context):
    async def play(loop):
        subscriber = mailbox.Mailbox("subscriber", 1000)
        reader = store_reader.StoreReader(
            "",
            context.long_store,
            simulated_time.SimulatedClock(loop),
            random.Random(1),
            mailbox.Mailbox("reader", 1000),
            subscriber,
            mailbox.Mailbox("peers", 1000),
            2.0,
        )
        task = asyncio.create_task(reader.run())
        await asyncio.sleep(0.5)
        context.long_store.revision = 5
        await asyncio.sleep(3.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return subscriber

    context.subscriber = simulated_time.run(play)


@behave.then("it knows the store's newest revision")
def step_newest(context):
    revision = 0
    while (message := context.subscriber.poll()) is not None:
        if isinstance(message, store_events.StoreChanged):
            revision = message.changes.position.revision
    assert revision == context.long_store.revision, revision


class ArrivingStore:
    """A store whose response arrives for some time; see ports.store.Store."""

    def __init__(self, duration_s):
        self.began_s = None
        self._duration_s = duration_s

    async def watch(
        self,
        prefix,
        after,
        wait_s,
        may_be_stale=False,
        transfer=None,
    ):
        response = simulated_paths.ArrivingResponse(asyncio.get_running_loop())
        transfer.follow(response)
        response.note_part()
        self.began_s = response.response_began_s
        await asyncio.sleep(self._duration_s)
        entry = store_port.VersionedValue("k", "new", 9)
        return store_port.Changes([entry], positions.at(9))


@behave.given(
    "a store whose response with a change arrives for {duration_s:g} second"
)
def step_arriving(context, duration_s):
    context.arriving_store = ArrivingStore(duration_s)


@behave.when("a daemon watches the store")
def step_watch(context):
    async def play(loop):
        calls = _store_calls.StoreCalls(
            "",
            context.arriving_store,
            simulated_time.SimulatedClock(loop),
            store_following.StoreFollower(2.0),
        )
        return await calls.watch(positions.at(5), 1.0, calls.new_transfer())

    context.answer = simulated_time.run(play)


@behave.then("what it knows is proved for the time at which the response began")
def step_proved(context):
    assert context.answer.proved_at_s == context.arriving_store.began_s


@behave.then("it has the changes")
def step_has_changes(context):
    assert getattr(context.result, "position", None) == positions.at(9), (
        context.result
    )


@behave.then("the response is lost, and it is known that a part came")
def step_incomplete(context):
    found = context.result
    assert isinstance(found, errors.IncompleteResponseError), repr(found)
