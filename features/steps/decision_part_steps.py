"""Steps on parts of the gateway's decisions, each by itself."""

from __future__ import annotations

import random

import behave

from dotterelpath.domain import configuration
from dotterelpath.domain import load_balancer
from dotterelpath.domain import probing
from dotterelpath.domain import registry
from dotterelpath.domain import retry_window


@behave.given("30 instances in three data centres, of which 6 in this one fail")
def step_failing_nearby(context):
    context.balancer = load_balancer.LoadBalancer("a")
    entries = [
        registry.Entry(f"i{n}", "s", "h", 1, "abc"[n % 3], 4, False, 0.0, 1, 1)
        for n in range(30)
    ]
    context.balancer.set_listed(
        [registry.RegisteredInstance(entry) for entry in entries], 0.0
    )
    for number in range(0, 18, 3):
        for _ in range(3):
            context.balancer.record_failure(f"i{number}", True, 10.0)


@behave.when("the service is degraded for 2 seconds, with a floor of 70 %")
def step_degraded(context):
    choose_while_degraded(context, covers_all=False)


@behave.when(
    "the service is degraded for 2 seconds, and this daemon covers all"
)
def step_degraded_covering(context):
    choose_while_degraded(context, covers_all=True)


@behave.then("at least 21 of the 30 instances get a request")
def step_floor_everywhere(context):
    assert len(context.chosen) >= 21, len(context.chosen)


@behave.then("a daemon covers all instances only if it has a request for each")
def step_can_cover(context):
    for unserved, count, expected in (
        (20, 90, True),
        (20, 101, False),
        (2, 90, False),
    ):
        monitor = probing.DegradationMonitor()
        for number in range(100):
            monitor.record_end(number >= unserved, False, 10.0)
        assert monitor.can_cover(count, 10.0) == expected, (unserved, count)


def choose_while_degraded(context, covers_all):
    """Chooses an instance 100 times a second, with a floor of 70 %."""
    context.chosen = set()
    draw = random.Random(1)
    for tick in range(200):
        now_s = 10.0 + tick / 100.0
        instance = context.balancer.choose(
            draw,
            now_s,
            False,
            is_degraded=True,
            min_used_share=0.7,
            covers_all=covers_all,
        ).instance
        instance.last_sent_s = now_s
        context.chosen.add(instance)


@behave.then("at least 8 of the 10 instances in this data centre get a request")
def step_floor_nearby(context):
    nearby = [i for i in context.chosen if i.entry.data_centre == "a"]
    assert len(nearby) >= 8, len(nearby)


def make_entry(sequence=1, started_ms=1, is_draining=False, id="i"):
    return registry.Entry(
        id, "s", "h", 1, "a", 4, is_draining, 0.0, sequence, started_ms
    )


@behave.given("a registry with a drain time of 2 seconds")
def step_registry(context):
    context.registry = registry.Registry(2.0)
    context.registry.record_store_reply(0.0)


@behave.then("an older entry is ignored")
def step_older_entry(context):
    instance_registry = context.registry
    assert instance_registry.apply_entry(make_entry(5))
    assert not instance_registry.apply_entry(make_entry(4, is_draining=True))
    assert not instance_registry.instances["i"].entry.is_draining


@behave.then("draining is final for an incarnation, but not for the next")
def step_draining_final(context):
    instance_registry = context.registry
    instance_registry.apply_entry(make_entry(6, is_draining=True))
    instance_registry.apply_entry(make_entry(7))
    assert instance_registry.instances["i"].entry.is_draining
    instance_registry.apply_entry(make_entry(1, started_ms=2))
    assert not instance_registry.instances["i"].entry.is_draining


@behave.then("a missing entry is kept for 0.4 seconds and then removed")
def step_missing(context):
    instance_registry = context.registry
    instance_registry.apply_entry(make_entry(1, id="j"))
    instance_registry.record_store_reply(100.0)
    instance_registry.record_store_reply(104.0, 4.0)
    assert instance_registry.mark_missing("j", 105.0)
    instance_registry.expire(105.3)
    assert "j" in instance_registry.instances
    instance_registry.expire(105.5)
    assert "j" not in instance_registry.instances


@behave.then("an entry that expired during an outage is kept for 2 seconds")
def step_expired(context):
    instance_registry = context.registry
    instance_registry.apply_entry(make_entry(1, id="k"))
    assert instance_registry.record_store_reply(120.0, 4.0)
    instance_registry.mark_missing("k", 120.1)
    instance_registry.expire(121.9)
    assert "k" in instance_registry.instances
    instance_registry.expire(122.1)
    assert "k" not in instance_registry.instances


@behave.then("a late write does not restore an ended incarnation")
def step_tombstone(context):
    instance_registry = context.registry
    assert not instance_registry.apply_entry(make_entry(1, id="k"))
    assert instance_registry.apply_entry(make_entry(2, id="k"))


@behave.given("a route split 70, 20 and 10")
def step_split(context):
    targets = tuple(
        configuration.RouteTarget(name, weight)
        for name, weight in (("x", 70), ("y", 20), ("z", 10))
    )
    context.route = configuration.Route(
        "r",
        "h",
        "/",
        targets,
        configuration.RequestKind.IDEMPOTENT,
        2,
        1.0,
        1.0,
        1,
    )


@behave.then("of any 50 requests in a row each target gets its share within 2")
def step_shares(context):
    for draw in (0.0, 0.3, 0.75, 0.95):
        splitter = configuration.TrafficSplitter()
        chosen = [splitter.choose(context.route, draw) for _ in range(200)]
        for start in range(150):
            window = chosen[start : start + 50]
            for name, share in (("x", 35), ("y", 10), ("z", 5)):
                assert abs(window.count(name) - share) <= 2, (draw, start)


@behave.given("two daemons that count the retries of one service separately")
def step_two_windows(context):
    context.windows = [retry_window.RetryWindow() for _ in range(2)]


@behave.when(
    "both see {count:d} requests, and each gets a slack of {slack:d} retries"
)
def step_spend_retries(context, count, slack):
    context.retries = 0
    for window in context.windows:
        for number in range(count):
            window.record_request(10.0, number / 10.0)
        while window.spend(0.2, slack, 10.0, 1.0):
            context.retries += 1


@behave.then("they make at most {max_count:d} retries together in one window")
def step_most_retries(context, max_count):
    assert 0 < context.retries <= max_count, context.retries


@behave.then("2 failures of 10 requests are not reported, and 12 of 60 are")
def step_reported_or_not(context):
    for failed, count, is_reported in ((2, 10, False), (12, 60, True)):
        monitor = probing.DegradationMonitor()
        for number in range(count):
            monitor.record_end(number >= failed, False, 0.0)
        assert monitor.is_degraded(0.0)
        assert monitor.should_report(0.0) is is_reported
