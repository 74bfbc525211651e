"""Steps that replay the gateway's decisions without sockets."""

from __future__ import annotations

import behave

from dotterelpath.domain import configuration
from dotterelpath.domain import health_reports
from dotterelpath.domain import probing
from dotterelpath.domain import registry
from dotterelpath.domain import retry_window
from dotterelpath.tasks import fleet_events
from features.support import gateway_world

COUNTS = {"one": 1, "two": 2, "four": 4, "all": 6}


@behave.given("6 simulated instances of 3 slots, and work that {kind}")
def step_world(context, kind):
    is_idempotent = kind == "may run again"
    route = gateway_world.route("/w/", idempotent=is_idempotent)
    context.world = gateway_world.GatewayWorld([route])


@behave.given("6 simulated instances of 3 slots, an urgent and a patient route")
def step_two_routes(context):
    context.world = gateway_world.GatewayWorld(
        [
            gateway_world.route("/urgent/", 0, False, target_s=0.8),
            gateway_world.route("/patient/", 2, True, target_s=1.5),
        ]
    )


def set_faults(world, count, **faults):
    for instance in list(world.instances.values())[:count]:
        for name, value in faults.items():
            setattr(instance, name, value)


@behave.given("100 simulated instances, each gray for a quarter of the time")
def step_gray_world(context):
    route = gateway_world.route("/w/", idempotent=False)
    context.world = gateway_world.GatewayWorld([route], 100, 4, 0.3, 2)
    for instance in context.world.instances.values():
        plan_gray(context.world, instance, 40.0)


def plan_gray(world, instance, end_s):
    """Has an instance turn gray each 28 s, for 10 s, on average."""
    is_gray = world.random.random() < 0.25
    time_s = 0.0
    while time_s < end_s:
        chance = 0.75 if is_gray else 0.0
        world.at(time_s, setattr, instance, "fail_chance", chance)
        time_s += world.random.expovariate(0.1 if is_gray else 1 / 28)
        is_gray = not is_gray


@behave.when(
    "they share 60 requests a second that must not run twice for 30 seconds"
)
def step_thin_load(context):
    context.world.load("/w/1", 60, 8.0, 38.0)
    context.world.run(45.0)


@behave.when(
    "{count:w} fail {percent:d} % at once from second {start:d} to {end:d}"
    " at {rate:d} requests a second"
)
@behave.when(
    "{count:w} fails {percent:d} % at once from second {start:d} to {end:d}"
    " at {rate:d} requests a second"
)
def step_gray(context, count, percent, start, end, rate):
    world = context.world
    number = COUNTS[count]
    context.span = (start, end)
    world.at(start, set_faults, world, number, fail_chance=percent / 100)
    world.at(end, set_faults, world, number, fail_chance=0.0)
    world.load("/w/1", rate, 0.0, end + 10.0)
    context.sick = list(world.instances.values())[:number]
    world.run(end + 20.0)


@behave.when(
    "one fails 80 % from second 2 on, and others tell of trouble from 6 to 10"
)
def step_told(context):
    world = context.world
    context.span = (6, 10)
    world.at(2, set_faults, world, 1, fail_chance=0.8)
    heard = fleet_events.HealthReportReceived(
        "g2",
        health_reports.HealthReport(
            gateway_world.SERVICE,
            "",
            0,
            health_reports.Symptom.SERVICE_DEGRADED,
        ),
    )
    for tenth in range(60, 100, 3):
        world.at(tenth / 10, world.gateway.handle, heard)
    world.load("/w/1", 12, 0.0, 12.0)
    world.run(20.0)


@behave.then("fewer than {most:d} requests fail because of it")
def step_few_fail(context, most):
    failed = [
        outcome
        for outcome, _ in context.world.outcomes.values()
        if outcome.response is None or outcome.response.status != 200
    ]
    assert len(failed) < most, len(failed)


@behave.then("it gets requests again within 10 seconds of its recovery")
def step_back(context):
    _, end = context.span
    after = [t for t, _ in context.sick[0].arrivals if end < t < end + 10]
    assert len(after) >= 3, after


@behave.then("they serve requests again within 3 seconds of their recovery")
def step_soon_back(context):
    _, end = context.span
    for instance in context.sick:
        after = [t for t, _ in instance.arrivals if end < t < end + 3]
        assert after, instance.id


@behave.then("at least {percent:g} % of the requests are served")
def step_served(context, percent):
    served = context.world.served()
    assert served >= percent / 100, served


@behave.then(
    "at least {percent:d} % of the requests are served within their target"
)
def step_served_in_time(context, percent):
    served = context.world.served(within_s=1.0)
    assert served >= percent / 100, served


@behave.then("each instance gets a request at least every 2 seconds meanwhile")
def step_floor(context):
    start, end = context.span
    # The trouble must have been seen first.
    for instance in context.world.instances.values():
        times = [t for t, _ in instance.arrivals if start + 2 <= t <= end]
        times = [start + 2.0, *times, float(end)]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert max(gaps) <= 2.0, (instance.id, max(gaps))


@behave.when("an instance is added at second 8 at 10 requests a second")
def step_added(context):
    world = context.world

    def add():
        world.instances["new"] = gateway_world.Instance("new", 3, 0.25)
        world.list_all()

    world.at(8.0, add)
    world.load("/w/1", 10, 0.0, 18.0)
    world.run(24.0)


@behave.then("the new instance gets a request within 4 seconds")
def step_first(context):
    arrivals = context.world.instances["new"].arrivals
    assert arrivals and arrivals[0][0] < 12.0, arrivals[:1]


@behave.when("each gets {rate:d} requests a second for 10 seconds")
def step_overload(context, rate):
    for path in ("/urgent/1", "/patient/1"):
        context.world.load(path, rate, 0.0, 10.0)
    context.world.run(20.0)


@behave.then(
    "at least {percent:d} % of the urgent requests are served within their"
    " target"
)
def step_urgent(context, percent):
    served = context.world.served("/urgent/", 0.8)
    assert served >= percent / 100, served


@behave.then(
    "the patient ones are refused or served, and none is held beyond 4 seconds"
)
def step_patient(context):
    world = context.world
    assert len(world.outcomes) == len(world.sent)
    held = max(at - world.sent[t][1] for t, (_, at) in world.outcomes.items())
    assert held <= 4.01, held


@behave.then(
    "of the patient ones that are refused most are told within a second"
)
def step_told_soon(context):
    world = context.world
    held = sorted(
        at_s - world.sent[token][1]
        for token, (outcome, at_s) in world.outcomes.items()
        if outcome.is_not_run
    )
    assert held and held[len(held) // 2] < 1.0, held[len(held) // 2]


@behave.when("each gets {rate:d} requests a second for 3 seconds and then 20")
def step_burst(context, rate):
    for path in ("/urgent/1", "/patient/1"):
        context.world.load(path, rate, 0.0, 3.0)
        context.world.load(path, 20, 3.0, 16.0)
    context.world.run(24.0)


@behave.then("all requests from 5 seconds after the burst are served in time")
def step_recovered(context):
    world = context.world
    for token, (path, at_s) in world.sent.items():
        if at_s < 1008.0:
            continue
        outcome, ended_s = world.outcomes[token]
        target_s = 0.8 if path.startswith("/urgent") else 1.5
        # Work itself varies; one in a hundred takes longer than its target.
        assert outcome.response is not None, outcome.detail
        assert ended_s - at_s < target_s * 2.0, ended_s - at_s


@behave.then("each refusal came while the requests ahead of it left no time")
def step_no_hope(context):
    world = context.world
    refused = [
        (token, at_s)
        for token, (outcome, at_s) in world.outcomes.items()
        if outcome.is_not_run
    ]
    assert refused
    for token, at_s in refused:
        open_now = sum(
            1
            for other, (_, sent_s) in world.sent.items()
            if sent_s <= at_s and world.outcomes[other][1] >= at_s
        )
        # 18 slots of a quarter of a second each: with fewer requests open
        # than fit into three seconds, there was hope.
        assert open_now > 18, (token, open_now)


@behave.then(
    "in no 10 seconds are there more retries than a fifth and the slack"
)
def step_budget(context):
    world = context.world
    arrivals = sorted(
        (t, r) for i in world.instances.values() for t, r in i.arrivals
    )
    for start in range(0, 20):
        window = [r for t, r in arrivals if start <= t < start + 10]
        asked = sum(
            start <= sent_s - 1000.0 < start + 10
            for _, sent_s in world.sent.values()
        )
        again = len(window) - len(set(window))
        assert again <= 0.2 * asked + 10, (start, again, asked)


@behave.when("one is silent from second 5 to 10 at 10 requests a second")
def step_silent(context):
    world = context.world
    world.at(5.0, set_faults, world, 1, is_silent=True)
    world.at(10.0, set_faults, world, 1, is_silent=False)
    world.load("/w/1", 10, 0.0, 14.0)
    world.run(24.0)


@behave.when(
    "two take 20 times as long from second {start:d} to {end:d}"
    " at {rate:d} requests a second"
)
def step_slow_ones(context, start, end, rate):
    world = context.world
    context.span = (start, end)
    context.sick = list(world.instances.values())[:2]
    for instance in list(world.instances.values())[2:]:
        instance.data_centre = "b"
    world.list_all()
    world.at(start, set_faults, world, 2, work_s=5.0)
    world.at(end, set_faults, world, 2, work_s=0.25)
    world.load("/w/1", rate, 0.0, end + 5.0)
    world.run(end + 15.0)


@behave.then("at most {most:d} requests go to the slow ones once it is known")
def step_few_slow(context, most):
    start, end = context.span
    # It is known after four times the usual work; later ones are trials.
    known_s = start + 1.5
    sent = sum(known_s <= t <= end for i in context.sick for t, _ in i.arrivals)
    assert sent <= most, sent


@behave.then("all requests are served")
def step_all_served(context):
    assert context.world.served() == 1.0, context.world.served()


def entry(sequence=1, started_ms=1, is_draining=False, id="i"):
    return registry.Entry(
        id, "s", "h", 1, "a", 4, is_draining, 0.0, sequence, started_ms
    )


@behave.given("a registry that drains within 2 seconds")
def step_registry(context):
    context.registry = registry.Registry(2.0)
    context.registry.record_store_reply(0.0)


@behave.then("an older entry changes nothing")
def step_older_entry(context):
    known = context.registry
    assert known.apply_entry(entry(5))
    assert not known.apply_entry(entry(4, is_draining=True))
    assert not known.instances["i"].entry.is_draining


@behave.then("draining is final for a lifetime, and a new lifetime begins anew")
def step_final(context):
    known = context.registry
    known.apply_entry(entry(6, is_draining=True))
    known.apply_entry(entry(7))
    assert known.instances["i"].entry.is_draining
    known.apply_entry(entry(1, started_ms=2))
    assert not known.instances["i"].entry.is_draining


@behave.then("a vanished entry is kept for 1.2 seconds and then given up")
def step_vanished(context):
    known = context.registry
    known.apply_entry(entry(1, id="j"))
    known.record_store_reply(100.0)
    known.record_store_reply(104.0, 4.0)
    assert known.mark_missing("j", 105.0)
    known.expire(106.1)
    assert "j" in known.instances
    known.expire(106.3)
    assert "j" not in known.instances


@behave.then(
    "an entry that vanished while the store was away is kept for 2 seconds"
)
def step_lapsed(context):
    known = context.registry
    known.apply_entry(entry(1, id="k"))
    assert known.record_store_reply(120.0, 4.0)
    known.mark_missing("k", 120.1)
    known.expire(121.9)
    assert "k" in known.instances
    known.expire(122.1)
    assert "k" not in known.instances


@behave.then("an ended lifetime does not come back by a late write")
def step_tombstone(context):
    known = context.registry
    assert not known.apply_entry(entry(1, id="k"))
    assert known.apply_entry(entry(2, id="k"))


@behave.given("a route split 70, 20 and 10")
def step_split(context):
    parts = tuple(
        configuration.RouteTarget(name, weight)
        for name, weight in (("x", 70), ("y", 20), ("z", 10))
    )
    context.route = configuration.Route(
        "r", "h", "/", parts, True, 2, 1.0, 1.0, 1
    )


@behave.then("of any 50 requests in a row each part gets its share within 2")
def step_shares(context):
    for draw in (0.0, 0.3, 0.75, 0.95):
        splits = configuration.TrafficSplitter()
        chosen = [splits.choose(context.route, draw) for _ in range(200)]
        for start in range(150):
            window = chosen[start : start + 50]
            for name, share in (("x", 35), ("y", 10), ("z", 5)):
                assert abs(window.count(name) - share) <= 2, (draw, start)


@behave.given("two daemons that count the retries of one service apart")
def step_two_windows(context):
    context.windows = [retry_window.RetryWindow() for _ in range(2)]


@behave.when(
    "both see {count:d} requests, and a part of {slack:d} free retries is given"
    " to each"
)
def step_spend_all(context, count, slack):
    context.retries = 0
    for window in context.windows:
        for number in range(count):
            window.record_request(10.0, number / 10.0)
        while window.spend(0.2, slack, 10.0, 1.0):
            context.retries += 1


@behave.then("they make at most {most:d} retries together in one window")
def step_most_retries(context, most):
    assert 0 < context.retries <= most, context.retries


@behave.then("2 failures of 10 requests are not told, and 12 of 60 are")
def step_told_or_not(context):
    for failed, count, is_told in ((2, 10, False), (12, 60, True)):
        monitor = probing.DegradationMonitor()
        for number in range(count):
            monitor.record_end(number >= failed, False, 0.0)
        assert monitor.is_degraded(0.0)
        assert monitor.should_report(0.0) is is_told
