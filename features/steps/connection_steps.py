"""Steps on a caller's connection without sockets."""

from __future__ import annotations

import re
import time

import behave

from dotterelpath.adapters import h11_frontend
from features.support import connection_machine


@behave.given("a connection on which a GET is outstanding")
def step_outstanding(context):
    context.caller = connection_machine.ConnectionMachine()
    context.caller.send("GET", False, False)


@behave.when("an invalid request follows, and then the GET is answered")
def step_invalid(context):
    context.caller.send(connection_machine.BAD, False, False)
    context.caller.respond(0, False)


@behave.when(
    "the stop begins, a second GET is answered, and a third one arrives"
)
def step_early_response(context):
    caller = context.caller
    caller.announce()
    caller.send("GET", False, False)
    caller.respond(1, False)
    caller.send("GET", False, False)
    caller.respond(0, False)
    caller.respond(0, False)


@behave.when(
    "the stop begins, the GET streams, and a second one arrives meanwhile"
)
def step_stream(context):
    context.caller.announce()
    context.caller.respond(0, True)
    context.caller.send("GET", False, False)
    context.caller.end_stream(0)


@behave.then("only the first GET is taken")
def step_one_taken(context):
    assert context.caller.listener.taken_count == 1
    assert context.caller.transport.is_ended


@behave.then(
    "the caller reads status {statuses}, and the last announces the end"
)
def step_read_closing(context, statuses):
    step_read(context, statuses)
    last = context.caller.transport.written.rpartition(b"HTTP/1.1 ")[2]
    assert b"connection: close" in last, last
    assert (
        b"connection: close"
        not in context.caller.transport.written[: -len(last)]
    )


@behave.then("the caller reads status {statuses}")
def step_read(context, statuses):
    written = context.caller.transport.written.decode()
    expected = re.findall(r"\d+", statuses)
    assert re.findall(r"HTTP/1.1 (\d+)", written) == expected, written


@behave.when(
    "the connection machine runs {examples:d} examples of {steps:d} steps"
)
def step_machine(context, examples, steps):
    connection_machine.check(examples, steps)


@behave.when("the stop begins, and the GET is answered")
def step_answer_in_stop(context):
    context.caller.announce()
    context.caller.respond(0, False)


@behave.then(
    "the daemon ends its side only, and reads what the caller still sends"
)
def step_half_closed(context):
    transport = context.caller.transport
    assert transport.is_ended and not transport.is_closed
    context.caller.send("GET", False, False)
    assert context.caller.listener.taken_count == 1


@behave.then("it closes a second later if the caller does not")
def step_closed_later(context):
    connection = context.caller.connection
    connection.check_timeouts(time.monotonic() + h11_frontend.LINGER_S - 0.1)
    assert not context.caller.transport.is_closed
    connection.check_timeouts(time.monotonic() + h11_frontend.LINGER_S + 0.1)
    assert context.caller.transport.is_closed


@behave.then("the drain that follows does not close it either")
def step_drain_lingering(context):
    context.caller.drain()
    assert not context.caller.transport.is_closed


@behave.given("a connection on which half a request has arrived")
def step_half_arrived(context):
    context.caller = connection_machine.ConnectionMachine()
    context.caller.send("GET", False, True)


@behave.when(
    "the stop begins and drains, and the rest does not come for a second"
)
def step_rest_missing(context):
    connection = context.caller.connection
    context.caller.announce()
    context.caller.drain()
    connection.check_timeouts(time.monotonic() + 0.5)
    assert not context.caller.transport.written
    connection.check_timeouts(
        time.monotonic() + h11_frontend.DRAIN_READ_S + 0.1
    )


@behave.given(
    "a connection with a request that is refused before its body, and output"
    " that waits"
)
def step_refused_unread(context):
    context.caller = connection_machine.ConnectionMachine()
    context.caller.transport.waiting_bytes = 1000
    context.caller.connection.data_received(
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n"
        b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    )


@behave.when("time-outs are checked and output is taken")
def step_check_and_resume(context):
    connection = context.caller.connection
    connection.check_timeouts(time.monotonic() + 0.1)
    connection.resume_writing()


@behave.then("the refusal {status:d} is read, and nothing else is taken")
def step_read_only(context, status):
    step_read(context, str(status))
    assert context.caller.listener.taken_count == 1
