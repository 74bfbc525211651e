"""Steps on outlier detection, without processes."""

from __future__ import annotations

import random

import behave

from benchmarks import detection
from dotterelpath.domain import outlier_detection

REQUESTS_PER_S = 20.0


def observe(context, instance, ok, latency_s):
    context.detector.observe(instance, ok, latency_s, context.now_s)


@behave.given(
    "a detector over {count:d} instances with {requests:d} successful"
    " requests each"
)
def step_detector(context, count, requests):
    context.random = random.Random(7)
    context.detector = outlier_detection.CusumDetector()
    context.names = [f"i{n}" for n in range(count)]
    context.now_s = 0.0
    for _ in range(requests):
        observe_all(context, 0.0)
    assert not context.detector.unhealthy()


def observe_all(context, failure_rate):
    context.now_s += 1.0 / REQUESTS_PER_S
    for name in context.names:
        ok = context.random.random() >= failure_rate
        observe(context, name, ok, context.random.expovariate(200.0))


@behave.when("all instances fail half of {requests:d} requests each")
def step_all_fail(context, requests):
    for _ in range(requests):
        observe_all(context, 0.5)


@behave.when("instance {name} fails half of {requests:d} requests")
def step_one_fails(context, name, requests):
    for number in range(requests):
        observe_all(context, 0.0)
        observe(context, name, number % 2 == 0, 0.005)


@behave.when(
    "instance {name} is {factor:d} times slower for {requests:d} requests"
)
def step_slow(context, name, factor, requests):
    for _ in range(requests):
        observe_all(context, 0.0)
        latency_s = context.random.expovariate(200.0) * factor
        observe(context, name, True, latency_s)


@behave.when("daemons observe 24 minutes of intermittent overload")
def step_intermittent_overload(context):
    overload = detection.FALSE_EJECTION_FAULTS[1]
    assert overload.is_service_wide
    kind = "ratio, detection"
    context.count, days = detection.false_ejections(kind, overload, 1)
    assert round(days * 24 * 60 / detection.INSTANCES) == 24, days


@behave.then("no instance was ejected")
def step_none_ejected(context):
    assert context.count == 0, f"{context.count} were ejected"


@behave.then("no instance is unhealthy")
def step_none_unhealthy(context):
    assert not context.detector.unhealthy(), context.detector.scores()


@behave.then("only {name} is unhealthy")
def step_only_unhealthy(context, name):
    assert context.detector.unhealthy() == [name], context.detector.scores()


@behave.then(
    "scores {scores} of {daemons:d} daemons have a log p-value under {most:d}"
)
def step_under(context, scores, daemons, most):
    found = [float(score) for score in scores.split()]
    log_p = outlier_detection.combined_log_p(found, daemons)
    assert log_p < most, f"expected less than {most}, got {log_p}"


@behave.then(
    "scores {scores} of {daemons:d} daemons have a log p-value over {least:d}"
)
def step_over(context, scores, daemons, least):
    found = [float(score) for score in scores.split()]
    log_p = outlier_detection.combined_log_p(found, daemons)
    assert log_p > least, f"expected more than {least}, got {log_p}"
