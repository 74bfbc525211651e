"""Steps on tenants, keys and revocation, without a network."""

from __future__ import annotations

import json
import math
import random
import timeit

import behave

from dotterelpath import errors
from dotterelpath.domain import bounds
from dotterelpath.domain import configuration
from dotterelpath.domain import exchange
from dotterelpath.domain import revocation
from dotterelpath.domain import tenants
from dotterelpath.platform import tenant_codec
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import messages
from features.steps import platform_steps
from features.support import gateway_world
from features.support import positions

SECRET = b"s" * 32
STEP_S = 0.05


class CountingTable(tenants.TenantTable):
    """A table that counts the digests that were computed."""

    def __init__(self, *args):
        self.digest_count = 0
        super().__init__(*args)

    def _digest(self, key):
        self.digest_count += 1
        return super()._digest(key)


def create_table(keys_by_name, previous=None):
    """Creates a table of tenants with the given keys, as the codec does."""
    rows = [{"name": n, "api_keys": k} for n, k in keys_by_name.items()]
    decoded = tenant_codec.decode(rows, previous)
    assert not decoded.faults, decoded.faults
    return CountingTable(
        decoded.changed.values(), SECRET, previous, decoded.unchanged
    )


@behave.when("tenants and keys are changed 300 times at random")
def step_change_tables(context):
    draw = random.Random(1)
    keys_by_name = {}
    keys = [f"k{n}" for n in range(12)]
    table = None
    context.pairs = []
    for _ in range(300):
        name = f"t{draw.randrange(5)}"
        if draw.random() < 0.3:
            keys_by_name.pop(name, None)
        else:
            keys_by_name[name] = draw.sample(keys, draw.randrange(4))
        table = create_table(keys_by_name, table)
        context.pairs.append((table, create_table(keys_by_name), keys))


@behave.then("each table finds the same tenants as one that is built anew")
def step_same_tables(context):
    for reused, anew, keys in context.pairs:
        for key in keys:
            found, expected = reused.find(key), anew.find(key)
            assert (found and found.name) == (expected and expected.name)
        assert reused.shared_by == anew.shared_by
        assert reused.tenants.keys() == anew.tenants.keys()


def many_keys(count):
    return {f"t{n}": [f"k{n}", f"l{n}"] for n in range(count)}


@behave.when(
    "tables of 10 and of 100,000 tenants with two keys each are searched"
)
def step_search(context):
    small, context.large = (create_table(many_keys(n)) for n in (10, 100_000))
    keys = [f"k{n % 10}" for n in range(1000)]
    context.took_s = [
        min(
            timeit.repeat(
                lambda t=table: [t.find(key) for key in keys],
                number=1,
                repeat=20,
            )
        )
        for table in (small, context.large)
    ]


@behave.then("a lookup in the large one takes at most 3 times as long")
def step_search_cost(context):
    small_s, large_s = context.took_s
    assert large_s <= 3.0 * small_s, context.took_s


@behave.then("one changed key costs at most 3 new digests")
def step_change_cost(context):
    changed = many_keys(100_000) | {"t7": ["k7", "new"]}
    table = create_table(changed, context.large)
    assert table.digest_count <= 3, table.digest_count
    assert table.find("l7") is None and table.find("new").name == "t7"


@behave.when("the tenant bob and the entry {entry} are decoded")
def step_odd_entry(context, entry):
    bob = {"name": "bob", "api_keys": ["key-bob", "key-bob-2"]}
    data = platform_steps.CONFIGURATION | {"tenants": [bob, "ENTRY"]}
    text = json.dumps(data).replace('"ENTRY"', entry)
    context.item = platform_steps.decode_text("op/config", text)


@behave.then("bob's key is known, and secret is {known}")
def step_known(context, known):
    table = context.item.configuration.tenants
    assert table.find("key-bob").name == "bob"
    assert (table.find("secret") is not None) == (known == "known")


@behave.then("there are {count:d} faults, which do not contain the key")
def step_faults(context, count):
    faults = context.item.tenant_faults
    assert len(faults) == count, faults
    assert "secret" not in repr(faults), faults


@behave.given("a daemon with a bound of {apply_s:g} seconds on changes")
def step_guard(context, apply_s):
    context.guard = revocation.RevocationGuard(
        bounds.Bounds(apply_s=apply_s, max_stretch_s=5.0)
    )
    context.guard.record_read(positions.at(10), 0.0, True)


@behave.given("a daemon whose keys are revoked strictly within 5 seconds")
def step_strict_guard(context):
    context.guard = revocation.RevocationGuard(
        bounds.Bounds(revoke_s=5.0, is_revocation_strict=True)
    )
    context.guard.record_read(positions.at(10), 0.0, True)


def play(context, end_s, act):
    """Lets time pass, and notes from when the daemon was affected for good."""
    context.not_ready_s = context.refuses_s = math.inf
    for step in range(int(end_s / STEP_S)):
        now_s = step * STEP_S
        act(now_s)
        if now_s >= context.guard.not_ready_from_s():
            context.not_ready_s = min(context.not_ready_s, now_s)
        if now_s >= context.guard.refuse_from_s():
            context.refuses_s = min(context.refuses_s, now_s)


@behave.when(
    "peers report a new revision 10 times a second, which it reads 0.9 s later"
)
def step_healthy(context):
    def act(now_s):
        revision = 10 + int(now_s * 10)
        context.guard.record_report(positions.at(revision), now_s - 0.4, now_s)
        if round(now_s / STEP_S) % 18 == 0:
            context.guard.record_read(
                positions.at(revision - 9), now_s - 0.9, False
            )

    play(context, 30.0, act)


@behave.when(
    "it reads nothing from 0 s on, and peers report new revisions from"
    " {from_s:g} to {until_s:g} s"
)
def step_turned_away(context, from_s, until_s):
    def act(now_s):
        if from_s - 0.01 <= now_s <= until_s + 0.01:
            context.guard.record_report(
                positions.at(11 + int(now_s * 10)), now_s - 0.3, now_s
            )

    play(context, 20.0, act)


@behave.when("it reads nothing from 0 s on, and peers report no revisions")
def step_no_reports(context):
    play(context, 20.0, lambda now_s: None)


@behave.when(
    "a peer reports revision 1000000 and the daemon reads revision 12 later"
)
def step_bogus(context):
    def act(now_s):
        if now_s == 0.0:
            context.guard.record_report(positions.at(1_000_000), now_s, now_s)
        elif now_s > 0.5:
            context.guard.record_read(positions.at(12), now_s, True)

    play(context, 20.0, act)


@behave.then("it is always ready")
def step_ready(context):
    assert context.not_ready_s == math.inf, context.not_ready_s


@behave.then(
    "it is not ready from {not_ready} s on, and refuses requests from"
    " {refuses} s on"
)
def step_stops(context, not_ready, refuses):
    for text, found_s in (
        (not_ready, context.not_ready_s),
        (refuses, context.refuses_s),
    ):
        expected_s = math.inf if text == "never" else float(text)
        is_equal = expected_s == found_s or (
            -0.01 <= found_s - expected_s <= 2 * STEP_S
        )
        assert is_equal, (text, found_s)


@behave.given(
    "a gateway with the tenant ada, whose keys were confirmed just now"
)
def step_gateway(context):
    context.world = gateway_world.GatewayWorld(
        [gateway_world.route("/")], instances=1, slots=1
    )
    table = create_table({"ada": ["key-ada"], "bob": ["key-bob"]})
    table.tenants["ada"].priority = 0
    context.world.gateway.handle(
        fleet_events.ConfigurationChanged(
            configuration.Configuration(
                2,
                {gateway_world.SERVICE: configuration.Service("s", 9)},
                [gateway_world.route("/")],
                gateway_world.LIMITS,
                table,
            )
        )
    )
    confirm(context)
    context.tokens = []


def confirm(context):
    context.world.gateway.handle(
        fleet_events.FreshnessChanged(context.world.clock.time_s, math.inf)
    )


def send(context, key):
    """Sends a request with a key; returns its id."""
    world = context.world
    token = len(world.sent)
    world.sent[token] = ("/", world.clock.time_s)
    request = exchange.Request(
        "GET",
        "/",
        [],
        request_id=str(token),
        timeout_s=4.0,
        host=gateway_world.HOST,
        credential=key,
    )
    world.gateway.handle(messages.RequestArrived(request, world.replies, token))
    return token


@behave.when(
    "it does not run for 10 seconds, and then gets a request with ada's key"
)
def step_freeze(context):
    context.world.run(1.0)
    confirm(context)
    context.world.clock.time_s += 10.0
    context.token = send(context, "key-ada")
    context.world.settle()


@behave.then("the request is refused as not run, by a daemon that is stale")
def step_stale(context):
    outcome, _ = context.world.outcomes[context.token]
    assert outcome.code is errors.ResultCode.DAEMON_STALE, outcome.code
    assert outcome.is_not_run and outcome.retry_after_s is not None


@behave.then("once its keys are confirmed, a request is served")
def step_served(context):
    confirm(context)
    token = send(context, "key-ada")
    context.world.run(20.0)
    assert context.world.outcomes[token][0].is_answered


@behave.when("all slots are in use, and requests of bob and then of ada arrive")
def step_queue(context):
    # The instance has one slot and a queue that the gateway fills first.
    for _ in range(12):
        send(context, "key-bob")
    context.token = send(context, "key-ada")
    context.world.run(20.0)


@behave.then("the instances get ada's request first")
def step_order(context):
    (instance,) = context.world.instances.values()
    order = [request_id for _, request_id in instance.arrivals]
    behind = order[order.index(str(context.token)) :]
    assert len(behind) > 8, order
