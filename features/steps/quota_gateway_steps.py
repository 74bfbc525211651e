"""Steps on a gateway that keeps the quotas of tenants."""

from __future__ import annotations

import unittest.mock

import behave

from dotterelpath import errors
from dotterelpath.domain import exchange
from dotterelpath.domain import tenants
from dotterelpath.tasks import _quotas
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import messages
from features.support import gateway_world

TENANTS = {
    name: tenants.Tenant(name, None, 2.0, 1.0) for name in ("busy", "calm")
}
# What the rule allows in 5 seconds: (2 * 5 + 1) * 1.1 + 20.
MOST = 32


@behave.given("a gateway whose peers are known")
def step_gateway(context):
    context.world = gateway_world.GatewayWorld([gateway_world.route("/")])


@behave.given("a gateway without instances")
def step_gateway_without_instances(context):
    context.world = gateway_world.GatewayWorld(
        [gateway_world.route("/")], instances=0
    )


def send(context, count, tenant_name):
    """Sends requests of a tenant, which is known to the gateway."""
    world = context.world
    admit = _quotas.Quotas.admit

    def admit_of_tenant(self, pending):
        pending.tenant = TENANTS.get(tenant_name)
        admit(self, pending)

    before = len(world.sent)
    with unittest.mock.patch.object(_quotas.Quotas, "admit", admit_of_tenant):
        for _ in range(count):
            world.send_request("/", 4.0)
            world.settle()
    world.run(world.clock.time_s - 1000.0 + 4.0)
    tokens = range(before, len(world.sent))
    return [world.outcomes[token][0] for token in tokens]


@behave.when("a request without a tenant is served")
def step_without_tenant(context):
    outcomes = send(context, 1, None)
    assert outcomes[0].is_answered, outcomes[0].code


@behave.then("no message on quotas is sent, and no round is due")
def step_no_quota_messages(context):
    world = context.world
    scheduled = [item for _, _, item in world.timers.heap]
    assert world.gateway.quotas not in scheduled
    while len(world.neighbours):
        message = world.neighbours.poll()
        assert not isinstance(
            message,
            (fleet_events.QuotaReportIssued, fleet_events.QuotaUsedUpIssued),
        )


@behave.when("60 requests of a tenant of 2 a second arrive at once")
def step_many_requests(context):
    context.refused = [
        outcome
        for outcome in send(context, 60, "busy")
        if outcome.code is errors.ResultCode.QUOTA_EXCEEDED
    ]


@behave.then(
    "the ones beyond the rule get 429, as not run, with a time to return"
)
def step_refused(context):
    assert 60 - MOST <= len(context.refused) <= 59, len(context.refused)
    for outcome in context.refused:
        assert outcome.is_not_run and outcome.code.http_status == 429
        assert 0.0 < outcome.retry_after_s <= 60.0, outcome.retry_after_s
    shown = context.world.gateway.quotas.status(5)["tenants"]["busy"]
    assert shown["rate_per_s"] == 2.0 and shown["mode"] == "member", shown


@behave.then("the other tenant is served")
def step_other_served(context):
    assert send(context, 1, "calm")[0].is_answered


@behave.when("100 requests of a tenant of 2 a second arrive one after another")
def step_refused_by_instances(context):
    context.outcomes = send(context, 100, "busy")


@behave.then("none of them is beyond the quota")
def step_none_beyond(context):
    codes = {outcome.code for outcome in context.outcomes}
    assert errors.ResultCode.QUOTA_EXCEEDED not in codes, codes


@behave.when("the caller of a request that was sent to an instance disconnects")
def step_caller_gone(context):
    world = context.world
    context.before = None
    admit = _quotas.Quotas.admit

    def admit_of_tenant(self, pending):
        pending.tenant = TENANTS["busy"]
        admit(self, pending)
        tokens = self.status(5)["tenants"]["busy"]["tokens"]
        context.before = tokens

    with unittest.mock.patch.object(_quotas.Quotas, "admit", admit_of_tenant):
        world.send_request("/", 4.0)
    token = len(world.sent) - 1
    world.gateway.handle(messages.CallerDisconnected(world.replies, token))


@behave.then("its token is not returned")
def step_not_returned(context):
    status = context.world.gateway.quotas.status(5)
    assert status["tenants"]["busy"]["tokens"] <= context.before, status
    assert exchange.Outcome(errors.ResultCode.CALLER_GONE).is_not_run
