"""Steps on the decisions about callers' memory and connections."""

from __future__ import annotations

import gc
import tracemalloc

import behave

from dotterelpath.adapters import request_body
from dotterelpath.domain import caller_memory
from dotterelpath.domain import connection_limits
from dotterelpath.ports import frontend


class Connection:
    """A connection that holds memory."""

    def __init__(self, name, is_stalled=False, is_serving=False, is_used=True):
        self.name = name
        self.address = name
        self.held_bytes = 0
        self.is_stalled = is_stalled
        self.is_serving = is_serving
        self.is_used = is_used
        self.idle_since_s = 0.0


@behave.given("a budget of {size:d} bytes of which connections hold")
def step_budget(context, size):
    context.memory = caller_memory.CallerMemory(size)
    context.connections = []
    for row in context.table:
        connection = Connection(
            row["name"], row["stalled"] == "yes", row["serving"] == "yes"
        )
        context.connections.append(connection)
        context.memory.update(connection, int(row["bytes"]))


@behave.given(
    "a budget of {size:d} bytes, with {body:d} for bodies and {held:d} for the"
    " rest"
)
def step_parts(context, size, body, held):
    context.memory = caller_memory.CallerMemory(size, body, held)


@behave.when("bodies of {size:d} bytes are held")
def step_bodies(context, size):
    assert context.memory.reserve(size)


@behave.then("{name} is closed for the budget")
def step_closed(context, name):
    chosen = context.memory.choose_excess(context.connections)
    assert [connection.name for connection in chosen] == [name]


@behave.then("{name} is closed for a body of {size:d} bytes")
def step_closed_for_body(context, name, size):
    chosen = context.memory.choose_for_body(context.connections, size)
    names = [connection.name for connection in chosen]
    assert names == ([] if name == "nothing" else [name]), names


@behave.then(
    "a further body does not fit, and connections may hold {size:d} bytes"
)
def step_kept(context, size):
    assert not context.memory.fits(1)
    connection = Connection("a")
    context.memory.update(connection, size)
    assert not context.memory.choose_excess([connection])
    context.memory.update(connection, size + 1)
    assert context.memory.choose_excess([connection]) == [connection]


@behave.then(
    "{fds:d} descriptors are at most {total:d} callers, of whom {most:d} share"
    " an address"
)
def step_descriptors(context, fds, total, most):
    maximum = connection_limits.share_descriptors(
        fds, connection_limits.CALLER_FRACTION
    )
    limits = connection_limits.ConnectionLimits(maximum)
    assert limits.max_connections == total
    for _ in range(most):
        assert limits.check("a") is connection_limits.Admission.ADMITTED
        limits.add("a")
    assert limits.check("a") is connection_limits.Admission.ADDRESS_FULL
    assert limits.check("b") is connection_limits.Admission.ADMITTED


@behave.given(
    "{count:d} connections of address a, of which {used:d} brought a request,"
    " and {others:d} of b"
)
def step_connections(context, count, used, others):
    context.connections = [
        Connection("a", is_used=number < used) for number in range(count)
    ] + [Connection("b", is_used=False) for _ in range(others)]


@behave.when("{count:d} connections are the limit")
def step_limit(context, count):
    context.limits = connection_limits.ConnectionLimits(count)
    for connection in context.connections:
        context.limits.add(connection.address)


@behave.then("connections of a without a request are closed for one of b")
def step_idle(context):
    admission = context.limits.check("b")
    assert admission is connection_limits.Admission.FULL
    chosen = context.limits.choose_idle(context.connections, "b", admission)
    assert chosen
    assert {c.address for c in chosen} == {"a"}
    assert not any(c.is_used for c in chosen)


@behave.when("{size:d} bytes of a body come in chunks of {chunk:d} bytes")
def step_body_in_chunks(context, size, chunk):
    body = request_body.RequestBody(
        frontend.Limits(16384, 2 * size), caller_memory.CallerMemory()
    )
    context.body_bytes = size
    gc.collect()
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    before, _ = tracemalloc.get_traced_memory()
    for number in range(size // chunk):
        assert body.add(bytes([number % 256]) * chunk) is None
    after, _ = tracemalloc.get_traced_memory()
    context.held_bytes = after - before
    context.content = body.take()


@behave.then("the body is whole, and at most twice its bytes were held")
def step_body_whole(context):
    assert len(context.content) == context.body_bytes
    chunk = context.content.index(1)
    assert context.content == b"".join(
        bytes([number % 256]) * chunk
        for number in range(context.body_bytes // chunk)
    )
    assert context.held_bytes <= 2 * context.body_bytes, context.held_bytes
