"""Steps on the limits that instances name."""

from __future__ import annotations

import math

import behave
import hypothesis
from hypothesis import strategies

from dotterelpath.domain import exchange
from dotterelpath.domain import health_reports
from dotterelpath.domain import request_limits
from dotterelpath.platform import headers as platform_headers
from dotterelpath.platform import server_codec
from dotterelpath.tasks import fleet_events
from features.support import gateway_world
from features.support import limited_fleet

# The length of the load, in seconds.
LOAD_S = 30.0
# The window in which requests to a limited instance are counted, in seconds.
WINDOW_S = 4.0


@behave.given(
    "a daemon, {count:d} instances of {slots:d} slots, and {rate:g} requests a "
    "second"
)
def step_daemon(context, count, slots, rate):
    context.world = gateway_world.GatewayWorld(
        [gateway_world.route("/w/", priority=1)], count, slots
    )
    context.world.load("/w/", rate, 0.0, LOAD_S)


@behave.when(
    "{count:d} of them name a limit of {limit} requests a second after "
    "{start_s:g} seconds"
)
def step_name_limit(context, count, limit, start_s):
    context.limited = list(context.world.instances.values())[:count]
    for instance in context.limited:
        context.world.schedule(start_s, setattr, instance, "named_limit", limit)
    context.world.run(LOAD_S + WINDOW_S)


def most_in_window(times_s, start_s):
    """Counts the requests in the fullest window that begins after a time."""
    times_s = [t for t in times_s if t >= start_s]
    return max(
        (sum(t <= u < t + WINDOW_S for u in times_s) for t in times_s),
        default=0,
    )


@behave.then(
    "none of these gets more than {most:d} requests in any 4 seconds from "
    "second {start_s:g}"
)
def step_most(context, most, start_s):
    counts = [
        most_in_window([at_s for at_s, _ in i.arrivals], start_s)
        for i in context.limited
    ]
    assert max(counts) <= most, counts


@behave.given(
    "{serving:d} serving daemons of {daemons:d}, and {instances:d} instances "
    "that name limits of 0 to 6 requests a second"
)
def step_fleet(context, serving, daemons, instances):
    context.limited_fleet = limited_fleet.LimitedFleet(
        daemons, serving, instances, 7
    )


@behave.when(
    "requests arrive for {length_s:d} seconds while daemons are killed and "
    "started"
)
def step_fleet_run(context, length_s):
    fleet = context.limited_fleet
    for step in range(int(length_s / fleet.STEP_S)):
        fleet.step()
        if step % 400 == 399:
            fleet.kill_one()


@behave.then(
    "no instance gets more than its limit allows in any 4 seconds from second "
    "{start_s:g}"
)
def step_fleet_limit(context, start_s):
    fleet = context.limited_fleet
    for instance_id, arrivals in fleet.arrivals.items():
        per_s = max(0.0, fleet.limits[instance_id][1])
        counted = [at_s for at_s, is_told in arrivals if is_told]
        most = most_in_window(counted, start_s)
        allowed = 1.5 * per_s * WINDOW_S + 5
        assert most <= allowed, (instance_id, per_s, most, allowed)


@behave.then(
    "each instance gets a request at least every 2 seconds while its holder "
    "lives"
)
def step_fleet_used(context):
    # A holder that dies is replaced after its timeout and that of those ranked
    # before the next living one.
    fleet = context.limited_fleet
    longest_s = 2.0 + request_limits.HOLDER_TIMEOUT_S + 2.0
    for instance_id, arrivals in fleet.arrivals.items():
        times_s = [0.0, *(at_s for at_s, _ in arrivals)]
        gaps_s = [b - a for a, b in zip(times_s, times_s[1:], strict=False)]
        assert max(gaps_s) <= longest_s, (instance_id, max(gaps_s))
        long_gaps = sum(gap_s > 2.0 for gap_s in gaps_s)
        assert long_gaps <= 8, (instance_id, long_gaps)


@behave.given("two daemons of an instance's data centre that hold no limit yet")
def step_two(context):
    serving = [("d1", "a"), ("d2", "a"), ("d3", "b")]
    assert request_limits.rank_daemons("i", "a", serving) == ["d1", "d2", "d3"]
    context.sent_s = {0: [], 1: []}


@behave.when("both learn of a limit of {per_s:g} requests a second")
def step_both_learn(context, per_s):
    limits = [request_limits.RequestLimit(per_s, rank, 0.0) for rank in (0, 1)]
    for step in range(1, 1200):
        now_s = step * 0.01
        if now_s < 6.0 and step % 50 == 0:
            limits[1].record_holder(0, now_s)
        for rank, limit in enumerate(limits):
            is_up = rank == 1 or now_s < 6.0
            if is_up and limit.may_send(now_s):
                limit.record_sent(now_s)
                context.sent_s[rank].append(now_s)


@behave.then(
    "only the better ranked one sends, at most {per_s:g} requests a second"
)
def step_better(context, per_s):
    first_s = [t for t in context.sent_s[0] if t < 6.0]
    assert 0.9 * per_s * 6.0 - 1 <= len(first_s) <= per_s * 6.0 + 1, first_s
    assert not [t for t in context.sent_s[1] if t < 6.0]


@behave.then("the other one follows 2 seconds after it was last heard of")
def step_follows(context):
    assert 7.4 <= context.sent_s[1][0] <= 8.4, context.sent_s[1][0]


@behave.when(
    "{count:d} of them name a limit of {limit} requests a second from second "
    "{start_s:g} to {end_s:g}"
)
def step_limit_ends(context, count, limit, start_s, end_s):
    context.limited = list(context.world.instances.values())[:count]
    for instance in context.limited:
        for at_s, value in ((start_s, limit), (end_s, None)):
            context.world.schedule(
                at_s, setattr, instance, "named_limit", value
            )
    context.known = []
    for at_s in (end_s, end_s + 5.0):
        context.world.schedule(at_s, note_known_limits, context)
    context.world.run(LOAD_S + WINDOW_S)


def note_known_limits(context):
    state = context.world.gateway.services[gateway_world.SERVICE]
    context.known.append(sorted(state.balancer.limited))


@behave.then("no limit is known after 20 seconds")
def step_none_known(context):
    before, after = context.known
    assert before == sorted(i.id for i in context.limited), before
    assert after == [], after


def decode(*values, status=200):
    """Decodes a response with the given limits."""
    headers = [(platform_headers.SERVER_LIMIT, value) for value in values]
    return server_codec.decode_metadata(exchange.Response(status, headers, b""))


@behave.then("any text as limit is a decimal number from 0, or has no effect")
def step_any_text(context):
    @hypothesis.settings(derandomize=True, max_examples=500)
    @hypothesis.given(strategies.binary(max_size=24))
    def check(value):
        per_s = decode(value).request_limit_per_s
        assert per_s is None or 0.0 <= per_s < 1e10

    check()
    for value in (b"", b"nan", b"-1", b"1e400", b"inf", b"+2", b"1 2", b"0x1"):
        metadata = decode(value)
        assert metadata.states_request_limit, value
        assert metadata.request_limit_per_s is None, value
    for value, per_s in ((b"0", 0.0), (b" 2.5 ", 2.5), (b".5", 0.5)):
        assert decode(value).request_limit_per_s == per_s, value
    assert not decode().states_request_limit


@behave.then("of several limits the lowest valid one holds")
def step_several(context):
    assert decode(b"3", b"2.5").request_limit_per_s == 2.5
    assert decode(b"4, nan, 3").request_limit_per_s == 3.0


@behave.then("a response of another instance at the address has no effect")
def step_misrouted(context):
    world = gateway_world.GatewayWorld([gateway_world.route("/w/")], 2)
    world.send_request("/w/", 4.0)
    world.schedule(0.0, misroute, world)
    world.run(5.0)
    assert not world.gateway.services[gateway_world.SERVICE].balancer.limited


@behave.then("a late response of an earlier run has no effect on the next one")
def step_earlier_run(context):
    world = gateway_world.GatewayWorld([gateway_world.route("/w/")], 1)
    world.send_request("/w/", 4.0)
    world.settle()
    world.started_ms += 1
    world.list_all()
    world.instances["i0"].named_limit = "1"
    world.run(5.0)
    assert world.outcomes
    assert not world.gateway.services[gateway_world.SERVICE].balancer.limited


def misroute(world):
    for instance in world.instances.values():
        instance.named_limit = "1"
        for message in list(instance.running.values()):
            world.finish(message, 421)
        instance.named_limit = None


@behave.given(
    "a daemon, {count:d} instances of {slots:d} slots that name a limit of "
    "{limit} each"
)
def step_all_limited(context, count, slots, limit):
    context.world = gateway_world.GatewayWorld(
        [
            gateway_world.route("/urgent/", priority=0),
            gateway_world.route("/w/", priority=2),
        ],
        count,
        slots,
    )
    context.limited = list(context.world.instances.values())
    for instance in context.limited:
        instance.named_limit = limit


@behave.when(
    "{urgent:g} urgent and {other:g} other requests a second arrive for 30 "
    "seconds"
)
def step_two_kinds(context, urgent, other):
    context.world.load("/urgent/", urgent, 0.0, LOAD_S)
    context.world.load("/w/", other, 0.0, LOAD_S)
    context.world.run(LOAD_S + WINDOW_S + 4.0)


@behave.then("at least {share:g} of the urgent requests are served")
def step_urgent_served(context, share):
    served = context.world.served_share("/urgent/")
    assert served >= share, served


@behave.then("no refused request had waited for more than half of its time")
def step_early(context):
    world = context.world
    waits_s = [
        at_s - world.sent[token][1]
        for token, (outcome, at_s) in world.outcomes.items()
        if outcome.response is None
    ]
    assert waits_s and max(waits_s) <= 2.0, sorted(waits_s)[-5:]
    codes = {
        outcome.is_not_run
        for outcome, _ in world.outcomes.values()
        if outcome.response is None
    }
    assert codes == {True}


@behave.when("a better ranked daemon reports that it holds the limits")
def step_other_holder(context):
    world = context.world
    serving = [("d9", "a"), ("d0", "a")]
    world.gateway.handle(
        fleet_events.ServingDaemonsChanged(2, True, "d0", serving)
    )
    limits = [(i, 1, 2.0) for i in world.instances]
    report = health_reports.LimitReport(gateway_world.SERVICE, limits)
    for tenths in range(0, 20, 5):
        world.schedule(
            tenths / 10,
            world.gateway.handle,
            fleet_events.LimitReportReceived("d9", report),
        )
    world.schedule(1.0, world.send_request, "/w/", 4.0)
    world.run(8.0)


@behave.then("a request is refused within 0.1 seconds, as not run")
def step_refused_at_once(context):
    outcome, at_s = context.world.outcomes[0]
    assert outcome.is_not_run and outcome.retry_after_s > 0.0
    assert at_s - context.world.sent[0][1] <= 0.1
    assert not any(i.arrivals for i in context.limited)


@behave.then(
    "each of these gets a request in any 2 seconds from second {start_s:g} to "
    "{end_s:g}"
)
def step_covered(context, start_s, end_s):
    for instance in context.limited:
        times_s = [t for t, _ in instance.arrivals if start_s <= t <= end_s]
        edges_s = [start_s, *times_s, end_s]
        gaps_s = [b - a for a, b in zip(edges_s, edges_s[1:], strict=False)]
        assert max(gaps_s) <= 2.0, (instance.id, max(gaps_s))


@behave.then("at least {share:g} of the requests are served")
def step_served(context, share):
    served = context.world.served_share()
    assert served >= share, served


@behave.when(
    "another daemon holds two of the limits, and the third instance fails half"
)
def step_two_withheld(context):
    world = context.world
    serving = [("d9", "a"), ("d0", "a")]
    world.gateway.handle(
        fleet_events.ServingDaemonsChanged(2, True, "d0", serving)
    )
    third = context.limited[2]
    third.named_limit = None
    third.failure_rate = 0.5
    report = health_reports.LimitReport(
        gateway_world.SERVICE, [(i.id, 1, 2.0) for i in context.limited[:2]]
    )
    for tenths in range(0, 200, 5):
        world.schedule(
            tenths / 10,
            world.gateway.handle,
            fleet_events.LimitReportReceived("d9", report),
        )
    for tenths in range(10, 190, 10):
        world.schedule(tenths / 10, world.send_request, "/w/", 4.0)
    world.run(24.0)


@behave.then("requests are sent to the third one within 0.1 seconds")
def step_sent_to_third(context):
    world = context.world
    arrivals = {}
    for at_s, request_id in context.limited[2].arrivals:
        arrivals.setdefault(int(request_id), at_s + 1000.0)
    waits_s = [
        arrivals.get(token, math.inf) - sent_s
        for token, (_, sent_s) in world.sent.items()
    ]
    assert max(waits_s) <= 0.1, waits_s
    assert not any(i.arrivals for i in context.limited[:2])


@behave.given("a limit that was held for 60 seconds without a request")
def step_paused(context):
    context.pauses = {
        per_s: request_limits.RequestLimit(per_s, 0, 0.0)
        for per_s in (0.0, 0.5, 3.0, 40.0)
    }


@behave.then(
    "at most 1.5 times of it and 5 requests may be sent in the next 4 seconds"
)
def step_after_pause(context):
    for per_s, limit in context.pauses.items():
        sent = 0
        for step in range(401):
            now_s = 60.0 + step * 0.01
            while limit.may_send(now_s):
                limit.record_sent(now_s)
                sent += 1
        assert sent <= 1.5 * per_s * WINDOW_S + 5, (per_s, sent)
