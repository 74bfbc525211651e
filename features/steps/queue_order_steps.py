"""Steps on the order of requests when not all can be served in time."""

from __future__ import annotations

import contextlib
import itertools
import math
import random

import behave

from dotterelpath.domain import dispatch_decision
from dotterelpath.domain import request_queue
from dotterelpath.domain import starvation_floor
from dotterelpath.tasks import _request_sender
from features.steps import load_steps
from features.steps import overload_steps
from features.support import gateway_world

# The target time, the deadline and the work in seconds, and the requests per
# second, by path.
KINDS = {"/short": (1.2, 6.0, 0.26, 177.0), "/long": (2.0, 15.0, 0.66, 69.0)}
LATE_VALUE = dispatch_decision.LATE_VALUE


def rank_before(request, now_s):
    """The order that requests had before: by aged priority and target time."""
    aged = request.priority - int(
        (now_s - request.queued_s) / request_queue.AGING_S
    )
    is_late = now_s + request.work_s > request.target_s
    return (float(aged), is_late, request.target_s - request.work_s)


@contextlib.contextmanager
def order_before():
    """Applies the order before, without delays for shorter requests."""
    with (
        overload_steps.replaced(
            request_queue.QueuedRequest, "rank", rank_before
        ),
        overload_steps.replaced(request_queue, "LONGER_FACTOR", math.inf),
        overload_steps.replaced(request_queue, "OVERLOAD_S", math.inf),
        overload_steps.replaced(starvation_floor, "PERIOD", math.inf),
    ):
        yield


def make_world():
    """Builds a gateway that gets both kinds of requests."""
    routes = []
    for path, (target_s, deadline_s, _, _) in KINDS.items():
        route = gateway_world.route(path + "/", 1, False, target_s=target_s)
        route.timeout_s = deadline_s
        routes.append(route)
    world = gateway_world.GatewayWorld(routes, 16, 4)
    world.work_s_by_path = {path: kind[2] for path, kind in KINDS.items()}
    return world


def load(world, busy_s):
    """Runs half of the load, the full load for a time, and half again."""
    for path, (_, deadline_s, _, per_s) in KINDS.items():
        spans = ((0.0, 8.0, 0.5), (8.0, 8.0 + busy_s, 1.0))
        for start_s, end_s, factor in (*spans, (8.0 + busy_s, 24.0, 0.5)):
            world.load(path + "/1", per_s * factor, start_s, end_s, deadline_s)
    world.run(50.0)
    return world


def tally(world):
    """Returns the worth of the responses and the number of refusals."""
    value, refused = 0.0, 0
    for token, (outcome, ended_s) in world.outcomes.items():
        path, at_s = world.sent[token]
        target_s = KINDS[path.rpartition("/")[0]][0]
        if outcome.response is None:
            refused += 1
        else:
            value += 1.0 if ended_s - at_s <= target_s else LATE_VALUE
    assert len(world.outcomes) == len(world.sent)
    return value, refused


@behave.given("short and long requests to one service")
def step_two_kinds(context):
    context.world = make_world()


@behave.when("they arrive at 1.4 times the capacity for {busy:d} seconds")
def step_overload(context, busy):
    context.now = tally(load(context.world, float(busy)))
    with order_before():
        context.before = tally(load(make_world(), float(busy)))


@behave.then(
    "at least half as many are refused as by the order before, at most"
)
def step_refused(context):
    assert context.now[1] <= 0.5 * context.before[1], (
        context.now,
        context.before,
    )


@behave.then("they are worth at least {percent:d} % more to their clients")
def step_worth(context, percent):
    limit = (1.0 + percent / 100.0) * context.before[0]
    assert context.now[0] >= limit, (context.now, context.before)


def small_queue(draw):
    """Draws requests that wait for one slot: target, deadline and work."""
    requests = []
    for _ in range(draw.randint(3, 7)):
        work_s = draw.choice((0.2, 0.3, 0.7))
        target_s = draw.uniform(work_s, 2.0)
        requests.append((target_s, target_s + draw.uniform(0.5, 3.0), work_s))
    return requests


def worth(requests):
    """Computes the worth of requests that are run in the given order."""
    now_s = value = 0.0
    for target_s, deadline_s, work_s in requests:
        if now_s + work_s > deadline_s:
            continue
        now_s += work_s
        value += 1.0 if now_s <= target_s else LATE_VALUE
    return value


def queue_order(requests):
    """Lists requests in the order in which the queue sends them."""
    queue = request_queue.Queue()
    for number, (target_s, deadline_s, work_s) in enumerate(requests):
        queue.add(
            request_queue.QueuedRequest(
                number, 1, 0.0, target_s, deadline_s, work_s
            ),
            0.0,
        )
    now_s, order = 0.0, []
    while len(queue):
        queue.check_deadlines(1.0, now_s)
        queue.check_deadlines(1.0, now_s + request_queue.ORDER_PERIOD_S)
        # The order holds for a moment.
        ordered = queue.ordered(now_s + request_queue.ORDER_PERIOD_S)
        if ordered:
            queue.take(ordered[0], now_s)
            order.append(requests[ordered[0].item])
            now_s += ordered[0].work_s
    return order


@behave.given(
    "{number:d} small queues with requests of different work and times"
)
def step_small_queues(context, number):
    draw = random.Random(1)
    context.queues = [small_queue(draw) for _ in range(number)]
    context.worth = sum(worth(queue_order(q)) for q in context.queues)


@behave.then(
    "the order is worth at least {percent:d} % of the best order on average"
)
def step_near_best(context, percent):
    best = sum(
        max(worth(order) for order in itertools.permutations(queue))
        for queue in context.queues
    )
    assert context.worth >= percent / 100.0 * best, (context.worth, best)


@behave.then(
    "it is worth more than the nearest target, and the shortest work, first"
)
def step_better(context):
    for key in (lambda r: r[0], lambda r: r[2]):
        other = sum(worth(sorted(q, key=key)) for q in context.queues)
        assert context.worth > other, (context.worth, other)


@behave.given("a queue that always has requests in time of high priority")
def step_saturated(context):
    context.queue = request_queue.Queue()
    context.numbers = itertools.count()

    def add(priority, tenant, target_s, now_s):
        context.queue.add(
            request_queue.QueuedRequest(
                next(context.numbers),
                priority,
                now_s,
                now_s + target_s,
                now_s + 1000.0,
                0.2,
                (priority, "route", tenant),
            ),
            now_s,
        )

    context.add_request = add
    for _ in range(50):
        add(0, "large", 5.0, 0.0)


@behave.given("late requests of low priority and of 3 tenants")
def step_late(context):
    for priority, tenant in ((0, "a"), (0, "b"), (0, None), (2, "large")):
        for _ in range(40):
            context.add_request(priority, tenant, 0.0, 0.0)


@behave.then("each of them starts at least once in 100 starts")
def step_floor(context):
    flows = []
    for number in range(400):
        now_s = number * 0.01
        request = context.queue.ordered(now_s)[0]
        context.queue.take(request, now_s)
        context.add_request(0, "large", 5.0, now_s)
        flows.append(request.flow)
    assert len(set(flows)) == 5, set(flows)
    for flow in set(flows):
        starts = [-1, *(n for n, f in enumerate(flows) if f == flow), 400]
        gaps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
        assert max(gaps) <= 100, (flow, max(gaps))
    large = flows.count((0, "route", "large"))
    assert large >= 0.9 * len(flows), large


@behave.given("a queue of {number:d} requests of different work and times")
def step_long_queue(context, number):
    draw = random.Random(1)
    context.queue = request_queue.Queue()
    for item in range(number):
        target_s = draw.uniform(1.0, 2.0)
        context.queue.add(
            request_queue.QueuedRequest(
                item,
                draw.randrange(3),
                0.0,
                target_s,
                target_s + 10.0,
                draw.uniform(0.2, 0.6),
            ),
            0.0,
        )


@behave.then("the checks take at most {percent:g} % of a core")
def step_check_cost(context, percent):
    took_s = load_steps.fastest_s(
        lambda: context.queue.check_deadlines(64.0, 0.01)
    )
    assert len(context.queue) > 900, len(context.queue)
    period_s = len(context.queue) * _request_sender.DEADLINE_CHECK_PER_REQUEST_S
    assert took_s <= percent / 100.0 * period_s, took_s


@behave.given(
    "a queue of 45 requests of 0.38 s whose daemon keeps 22 slots busy"
)
def step_busy_queue(context):
    def make():
        queue = request_queue.Queue()
        for number in range(60 * 10):
            queue.record_start(1, 0.38, number / 60.0)
        for number in range(45):
            request = request_queue.QueuedRequest(
                number, 1, 10.0, 11.6, 15.0, 0.38
            )
            queue.add(request, 10.0)
        return queue

    context.make_queue = make


@behave.then("10 or more count as infeasible with an equal share of 10 slots")
def step_infeasible_by_share(context):
    check = context.make_queue().check_deadlines(10.0, 10.0)
    assert len(check.infeasible) >= 10, len(check.infeasible)


@behave.then("none of them does with the slots that the daemon keeps busy")
def step_feasible_by_use(context):
    queue = context.make_queue()
    busy = queue.busy_slots(10.0)
    assert 20.0 < busy < 25.0, busy
    check = queue.check_deadlines(busy, 10.0)
    assert not check.infeasible, len(check.infeasible)
