"""Steps on requests that cannot be served at once."""

from __future__ import annotations

import collections
import contextlib

import behave

from dotterelpath.domain import bounds
from dotterelpath.domain import request_queue
from dotterelpath.domain import retry_window
from dotterelpath.tasks import _waiting_retries
from dotterelpath.tasks import events
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import messages
from features.support import gateway_world

# A third of the load of the users' worst case, and of their fixed allowance.
PER_S = 83.0
INSTANCES = 16
SLOTS = 4
WORK_S = 0.26
TARGET_S = 1.2
TIMEOUT_S = 4.0
RATIO = 0.2
SLACK = 69.0
WINDOW_S = 10.0


@contextlib.contextmanager
def replaced(module, name, value):
    """Replaces a constant of a module."""
    before = getattr(module, name)
    setattr(module, name, value)
    try:
        yield
    finally:
        setattr(module, name, before)


def make_world(seed=1):
    """Builds a gateway that gets the submissions."""
    world = gateway_world.GatewayWorld(
        [gateway_world.route("/w/", 1, False, target_s=TARGET_S)],
        INSTANCES,
        SLOTS,
        WORK_S,
        seed,
    )
    limits = bounds.Bounds(retry_ratio=RATIO, retry_slack=SLACK)
    world.gateway.handle(fleet_events.BoundsChanged(limits))
    return world


def set_rejection(world, rate):
    """Sets the share of requests that each instance rejects."""
    for instance in world.instances.values():
        instance.rejection_rate = rate


def reject(world, rate, start_s, end_s):
    """Runs an episode in which all instances reject requests."""
    world.schedule(start_s, set_rejection, world, rate)
    world.schedule(end_s, set_rejection, world, 0.0)
    world.load("/w/1", PER_S, 0.0, end_s + 10.0, TIMEOUT_S)
    world.run(end_s + 20.0)
    return world


def count(world):
    """Counts the requests served in time, served late, and refused."""
    counts = collections.Counter()
    for token, (outcome, at_s) in world.outcomes.items():
        if outcome.response is None or outcome.response.status != 200:
            counts["refused"] += 1
        elif at_s - world.sent[token][1] <= TARGET_S:
            counts["in time"] += 1
        else:
            counts["late"] += 1
    assert len(world.outcomes) == len(world.sent)
    return counts


@behave.given("the submissions of one of 3 daemons, 83 a second")
def step_submissions(context):
    context.world = make_world()


@behave.when(
    "all instances reject {percent:d} % of the requests from second {start:g}"
    " to {end:g}"
)
def step_reject(context, percent, start, end):
    reject(context.world, percent / 100.0, start, end)
    with replaced(_waiting_retries, "MAX_WAITING", 0):
        context.before = reject(make_world(), percent / 100.0, start, end)


@behave.then(
    "at least {percent:d} % fewer requests are refused than without waiting"
)
def step_fewer_refused(context, percent):
    now, before = count(context.world), count(context.before)
    limit = (1.0 - percent / 100.0) * before["refused"]
    assert now["refused"] <= limit, (now, before)


@behave.then("as many requests are served in time as without waiting")
def step_as_many_in_time(context):
    now, before = count(context.world), count(context.before)
    # The same draws meet other requests, so that a few more may be late.
    assert now["in time"] >= 0.98 * before["in time"], (now, before)


def retries(world):
    """Lists the times of all attempts but the first of each request."""
    seen = set()
    times = []
    arrivals = sorted(a for i in world.instances.values() for a in i.arrivals)
    for at_s, request_id in arrivals:
        if request_id in seen:
            times.append(at_s)
        seen.add(request_id)
    return times


def requests_between(world, start_s, end_s):
    """Counts the requests that arrived in a time span."""
    times = [at_s - 1000.0 for _, at_s in world.sent.values()]
    return sum(start_s <= at_s <= end_s for at_s in times)


@behave.then("the retries stay within the budget in any window")
def step_budget(context):
    times = retries(context.world)
    assert len(times) > SLACK, len(times)
    for start_s in times:
        end_s = start_s + WINDOW_S
        made = sum(start_s <= at_s <= end_s for at_s in times)
        got = requests_between(context.world, start_s, end_s)
        assert made <= RATIO * got + SLACK, (start_s, made, got)


@behave.then("each refusal for the budget names a time at which it has room")
def step_retry_after(context):
    times = retries(context.world)
    refused = [
        (outcome, at_s - 1000.0)
        for outcome, at_s in context.world.outcomes.values()
        if outcome.is_not_run and "budget" in outcome.detail
    ]
    assert refused
    for outcome, at_s in refused:
        first_s = at_s + outcome.retry_after_s - WINDOW_S
        used = sum(first_s < time_s < at_s for time_s in times)
        got = requests_between(context.world, at_s - WINDOW_S, at_s)
        allowed = retry_window.USED_RATIO_SHARE * RATIO * got
        allowed += retry_window.USED_SLACK_SHARE * SLACK
        assert used + 1 <= allowed, (at_s, outcome.retry_after_s)


@behave.then("no request is sent twice to an instance, or more than twice")
def step_attempts(context):
    made = collections.defaultdict(list)
    for instance in context.world.instances.values():
        for _, request_id in instance.arrivals:
            made[request_id].append(instance.id)
    for ids in made.values():
        assert len(ids) <= 2 and len(set(ids)) == len(ids), ids


@behave.given("requests that wait for the budget, listed as")
def step_listed(context):
    context.queue = request_queue.Queue()
    for row in context.table:
        target_s, deadline_s, work_s = (float(cell) for cell in row.cells[2:])
        context.queue.add(
            request_queue.QueuedRequest(
                row["name"],
                int(row["priority"]),
                0.0,
                target_s,
                deadline_s,
                work_s,
            ),
            0.0,
        )


@behave.then("they get the budget in the order {names}")
def step_order(context, names):
    got = [queued.item for queued in context.queue.ordered(0.0)]
    assert got == names.split(", "), got


def run_until_waiting(world):
    """Lets all instances reject requests until some wait for the budget."""
    set_rejection(world, 1.0)
    world.load("/w/1", PER_S, 0.0, 2.0, TIMEOUT_S)
    world.run(2.1)
    (service,) = world.gateway.services.values()
    waiting = [q.item for q in service.waiting_retries.ordered(1002.1)]
    assert len(waiting) > 20, len(waiting)
    return service, waiting


@behave.when("requests wait for the budget, and their callers disconnect")
def step_disconnect(context):
    world = context.world
    context.service, waiting = run_until_waiting(world)
    for pending in waiting:
        world.gateway.handle(
            messages.CallerDisconnected(world.replies, pending.reply_to.token)
        )
    context.attempts = sum(len(i.arrivals) for i in world.instances.values())
    set_rejection(world, 0.0)
    world.run(20.0)


@behave.then("nothing waits, and no further attempt is made")
def step_nothing_waits(context):
    world = context.world
    assert not len(context.service.waiting_retries)
    assert not world.gateway.in_flight, world.gateway.in_flight
    made = sum(len(i.arrivals) for i in world.instances.values())
    assert made == context.attempts, (made, context.attempts)


@behave.when(
    "requests wait for the budget, and the time of a stop is nearly over"
)
def step_stop(context):
    world = context.world
    context.service, context.waiting = run_until_waiting(world)
    world.gateway.handle(events.StopEnding())
    world.settle()


@behave.then("all of them are refused at once, as not run")
def step_refused(context):
    for pending in context.waiting:
        outcome, _ = context.world.outcomes[pending.reply_to.token]
        assert outcome.is_not_run and outcome.retry_after_s > 0.0
    assert not len(context.service.waiting_retries)
