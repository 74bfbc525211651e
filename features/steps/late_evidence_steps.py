"""Steps on requests that are open for long."""

from __future__ import annotations

import random
import statistics

import behave

from dotterelpath.domain import health_reports
from dotterelpath.domain import late_evidence
from dotterelpath.tasks import events
from dotterelpath.tasks import fleet_events
from features.support import gateway_world
from features.support import hanging

SEEDS = range(8)


def mean(context, name):
    """Returns the mean of a result over all runs."""
    return statistics.mean(getattr(r, name) for r in context.results)


@behave.when(
    "4 of 12 instances hang for 10 s, with durations of spread {spread:g}"
)
def step_episodes(context, spread):
    context.results = [hanging.play(seed, spread) for seed in SEEDS]


@behave.then("on average at most {most:g} bookings are sent to them")
def step_bookings(context, most):
    assert mean(context, "bookings") <= most, mean(context, "bookings")


@behave.then(
    "the last one in most runs at most {most:g} seconds after the start"
)
def step_last_booking(context, most):
    # In some runs the service counts as degraded, and must be probed.
    last_s = statistics.median(r.last_booking_s for r in context.results)
    assert last_s <= most, last_s


@behave.then("at least {percent:g} % of the reads meet their target")
def step_reads(context, percent):
    share = mean(context, "reads_in_time")
    assert share >= percent / 100, share


@behave.when("no instance hangs, and 1 in 100 requests takes 5 times as long")
def step_healthy(context):
    context.avoidance = hanging.Avoidance()
    context.results = [
        hanging.play(seed, 0.8, 0, watch=context.avoidance) for seed in SEEDS
    ]


@behave.then("instances are avoided for at most {percent:g} % of the time")
def step_avoided(context, percent):
    found = context.avoidance
    share = (found.unhealthy + found.slow) / found.samples
    assert share <= percent / 100, share


@behave.then("at most {percent:g} % of the reads are sent twice")
def step_sent_twice(context, percent):
    # Half of the requests are reads.
    share = 2.0 * mean(context, "repeated_share")
    assert share <= percent / 100, share


@behave.when(
    "all hang on 75 % from second {start:d} to {end:d} at {rate:d}"
    " requests a second"
)
def step_all_hang(context, start, end, rate):
    world = context.world
    for instance in world.instances.values():
        world.schedule(start, setattr, instance, "hang_rate", 0.75)
        world.schedule(end, setattr, instance, "hang_rate", 0.0)
    world.load("/w/1", rate, 0.0, end + 5.0)
    world.run(end + 10.0)


@behave.when(
    "all hang, and a stop begins that ends before another attempt would"
)
def step_stop(context):
    world = context.world
    for instance in world.instances.values():
        instance.is_silent = True
    world.send_request("/w/1", 4.0)
    world.gateway.handle(events.StopBegan(world.clock.now_s() + 0.2))
    world.run(3.5)


@behave.then("no retry is counted")
def step_no_retry(context):
    (service,) = context.world.gateway.services.values()
    assert service.retries.retries == 0, service.retries.retries


@behave.given(
    "a simulated instance that has served 100 bookings in 250 ms each"
)
def step_served_before(context):
    context.world = gateway_world.GatewayWorld(
        [gateway_world.route("/w/", idempotent=False)], 1
    )
    for number in range(100):
        context.world.schedule(
            number * 0.3, context.world.send_request, "/w/1", 4.0
        )
    (context.instance,) = context.world.instances.values()
    context.instance.spread = 0.3
    context.world.run(34.0)


@behave.when("two bookings at it are open for 1.5 seconds")
def step_open(context):
    world = context.world
    world.neighbours = drain(world.neighbours)
    context.instance.is_silent = True
    for _ in range(2):
        world.schedule(35.0, world.send_request, "/w/1", 4.0)
    world.run(36.5)


def drain(box):
    """Empties a mailbox."""
    while len(box):
        box.poll()
    return box


@behave.when("both are served after all")
def step_served(context):
    for message in list(context.instance.running.values()):
        context.world.finish(message, 200)


@behave.then("it counts as {state}, and other daemons are told")
def step_state(context, state):
    world = context.world
    (service,) = world.gateway.services.values()
    (found,) = service.balancer.instances.values()
    is_unhealthy = found.is_unhealthy(world.clock.now_s())
    assert is_unhealthy == (state == "unhealthy"), found.failing(1036.5)
    told = []
    while len(world.neighbours):
        message = world.neighbours.poll()
        if isinstance(message, fleet_events.HealthReportIssued):
            told.append(message.report.symptom)
    expected = health_reports.Symptom.RECOVERED
    if is_unhealthy:
        expected = health_reports.Symptom.FAILED_LATE
    assert expected in told, told


@behave.given(
    "durations of spread 0.6, of which the longest tenth is cancelled"
)
def step_cancelled(context):
    draw = random.Random(1)
    context.durations = late_evidence.Durations(0.5)
    # The 0.9 quantile of a lognormal distribution.
    context.cancelled_s = 2.157
    for _ in range(2000):
        took_s = draw.lognormvariate(0.0, 0.6)
        if took_s > context.cancelled_s:
            context.durations.record_cancelled(context.cancelled_s)
        else:
            context.durations.record(took_s)


@behave.then(
    "a tenth is expected to be longer than the time of the cancellation"
)
def step_expected(context):
    share = context.durations.survival(context.cancelled_s)
    assert 0.07 < share < 0.15, share
