"""Steps on attempts that are not wanted any more, without sockets."""

from __future__ import annotations

import behave

from dotterelpath.domain import attempts
from dotterelpath.domain import exchange
from dotterelpath.platform import headers as platform_headers
from dotterelpath.tasks import messages
from features.support import gateway_world

DEADLINE_S = 4.0
SIGNATURE = (platform_headers.SIGNATURE, b"s")
NOT_EXECUTED = (platform_headers.NOT_EXECUTED, b"1")


@behave.given("a request that an instance is running")
def step_running(context):
    routes = [
        gateway_world.route("/w/", max_attempts=1),
        gateway_world.route("/b/", idempotent=False, max_attempts=1),
    ]
    context.world = gateway_world.GatewayWorld(routes, instances=2)
    for instance in context.world.instances.values():
        instance.is_silent = True


def send(context, path):
    """Sends a request, and returns the id of its attempt."""
    world = context.world
    world.schedule(0.0, world.send_request, path, DEADLINE_S)
    world.run(0.1)
    (attempt_id,) = world.attempts
    return attempt_id


def begin(context, attempt_id, status, *headers):
    """Lets the body of a response begin that does not end."""
    context.world.gateway.handle(
        messages.AttemptEnded(
            attempt_id,
            attempts.AttemptResult.ANSWERED,
            "",
            exchange.Response(status, list(headers), b"begin"),
            False,
        )
    )


def leave(context):
    """Lets the caller close its connection."""
    world = context.world
    world.gateway.handle(messages.CallerDisconnected(world.replies, 0))


@behave.when("a refusal begins whose body goes on")
def step_refusal(context):
    begin(context, send(context, "/w/"), 503, SIGNATURE, NOT_EXECUTED)


@behave.when("another instance's refusal begins and goes on")
def step_misrouted(context):
    begin(context, send(context, "/w/"), 421, NOT_EXECUTED)


@behave.when("an error begins whose body goes on")
def step_error(context):
    begin(context, send(context, "/w/"), 500, SIGNATURE)


@behave.when("an unsigned response begins and goes on")
def step_unsigned(context):
    begin(context, send(context, "/w/"), 200)


@behave.when("the caller leaves")
def step_leave(context):
    send(context, "/w/")
    leave(context)


@behave.when("a response streams, and the caller leaves")
def step_stream_leave(context):
    begin(context, send(context, "/w/"), 200, SIGNATURE)
    leave(context)


@behave.when("a response streams without end")
def step_stream(context):
    begin(context, send(context, "/w/"), 200, SIGNATURE)
    assert context.world.attempts


@behave.when("no response comes")
def step_silent(context):
    send(context, "/w/")


@behave.when("the caller of a booking leaves before its response")
def step_booking(context):
    attempt_id = send(context, "/b/")
    leave(context)
    context.world.settle()
    assert context.world.attempts, "a booking was cut while it ran"
    begin(context, attempt_id, 200, SIGNATURE)


@behave.then("its connection is freed at once")
def step_freed(context):
    context.world.settle()
    assert not context.world.attempts, context.world.attempts


@behave.then("its connection is freed at the deadline")
def step_freed_late(context):
    context.world.run(DEADLINE_S - 0.2)
    assert context.world.attempts
    context.world.run(DEADLINE_S + 0.1)
    assert not context.world.attempts, context.world.attempts


@behave.when(
    "an instance responds to a {kind} with {status:d} and no word on its run"
)
def step_unproven(context, kind, status):
    context.world = gateway_world.GatewayWorld(
        [
            gateway_world.route("/w/"),
            gateway_world.route("/b/", idempotent=False),
        ],
        instances=3,
    )
    for instance in context.world.instances.values():
        instance.status = status
    path = "/b/" if kind == "booking" else "/w/"
    context.world.send_request(path, DEADLINE_S)
    context.world.run(DEADLINE_S + 1.0)


@behave.then(
    "the caller gets no promise, and the request ran at most {most:d} times"
)
def step_no_promise(context, most):
    world = context.world
    (outcome, _) = world.outcomes[0]
    assert outcome.response is None and not outcome.is_not_run, outcome
    runs = sum(len(i.arrivals) for i in world.instances.values())
    assert 1 <= runs <= most, runs
