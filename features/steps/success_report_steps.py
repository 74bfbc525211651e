"""Steps on the reports of instances that serve requests."""

from __future__ import annotations

import random

import behave
import orjson

from dotterelpath.adapters import datagrams as datagram_codec
from dotterelpath.domain import health_reports
from dotterelpath.domain import success_log
from dotterelpath.ports import datagrams
from features.steps import load_steps

NOW_S = 20.0
SERVING = ["i0", "i1", "i2", "i3"]


@behave.given("two daemons and 8 instances of which 4 serve the first daemon")
def step_two_daemons(context):
    context.random = random.Random(1)
    context.first, context.second = (
        load_steps.make_balancer(8, 4, context.random, "a") for _ in range(2)
    )
    context.log = success_log.SuccessLog()
    for instance_id in SERVING:
        context.first.record_success(instance_id, "r", 0.2, NOW_S)
        context.log.record(instance_id, 1)


def failing(balancer, instance_id, now_s=NOW_S):
    return balancer.instances[instance_id].failing(now_s)


@behave.when("the first daemon's reports reach the second one")
def step_reports(context):
    report = context.log.take_due(NOW_S)
    assert sorted(i for i, _ in report) == SERVING, report
    context.second.record_peer_successes(report, NOW_S)


@behave.then("the next 4 requests of the second daemon go to these instances")
def step_preferred(context):
    for _ in range(4):
        selection = context.second.choose(context.random, NOW_S, False)
        assert selection.instance.id in SERVING, selection.instance.id
        selection.instance.in_flight += 1


@behave.when(
    "an instance fails, and the report of its earlier success arrives later"
)
def step_stale_report(context):
    for _ in range(2):
        context.second.record_failure("i0", True, NOW_S + 0.1)
    context.second.record_peer_successes(
        context.log.take_due(NOW_S + 0.2), NOW_S + 0.2
    )


@behave.then("the second daemon still avoids the instance")
def step_avoided(context):
    for _ in range(20):
        selection = context.second.choose(context.random, NOW_S + 0.2, False)
        assert selection.instance.id != "i0"


@behave.when("20 daemons report the same instance at once")
def step_many_reports(context):
    context.first.record_peer_successes([("i5", 1)], NOW_S)
    for number in range(20):
        context.second.record_peer_successes(
            [("i5", 1)], NOW_S + number * 0.001
        )


@behave.then("it looks as healthy as after one report")
def step_as_one(context):
    once = failing(context.first, "i5", NOW_S + 0.02)
    assert abs(failing(context.second, "i5", NOW_S + 0.02) - once) < 1e-9


@behave.when("a report names an instance that has restarted since")
def step_other_run(context):
    context.before = failing(context.second, "i5")
    context.second.record_peer_successes([("i5", 0)], NOW_S)


@behave.then("the second daemon's belief about it is unchanged")
def step_unchanged(context):
    assert failing(context.second, "i5") == context.before


@behave.given("a daemon whose 300 instances each serve 10 requests a second")
def step_many_instances(context):
    log = success_log.SuccessLog()
    context.reports = []
    for tick in range(300):
        now_s = NOW_S + tick / 100.0
        for number in range(tick % 10, 300, 10):
            log.record(f"i-{number:016x}", 1_790_000_000_000 + number)
        report = log.take_due(now_s)
        if report:
            context.reports.append(report)


@behave.then("it sends at most 2 reports a second, of at most 1200 bytes each")
def step_bounded_reports(context):
    # 3 s of load.
    assert 3 <= len(context.reports) <= 7, len(context.reports)
    for instances in context.reports:
        report = health_reports.SuccessReport("a-service", instances)
        datagram = datagrams.SuccessReportDatagram("g1", report)
        encoded = orjson.dumps(datagram_codec.encode(datagram))
        assert len(encoded) <= 1200, len(encoded)
        decoded = datagram_codec.decode(orjson.loads(encoded))
        assert decoded.report.instances == instances


@behave.then("an instance that fails before the report is sent is not in it")
def step_left_out(context):
    context.log.discard("i2")
    report = context.log.take_due(NOW_S)
    assert "i2" not in [i for i, _ in report] and len(report) == 3, report
