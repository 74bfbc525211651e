"""Steps on a gateway that keeps the quotas of tenants."""

from __future__ import annotations

import asyncio
import unittest.mock

import behave

from dotterelpath import errors
from dotterelpath.domain import configuration
from dotterelpath.domain import exchange
from dotterelpath.domain import quota_reports
from dotterelpath.domain import steering
from dotterelpath.domain import tenants
from dotterelpath.ports import datagrams
from dotterelpath.tasks import _quotas
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages
from dotterelpath.tasks import peer_monitor
from features.support import deployments
from features.support import gateway_world
from features.support import world

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


class Sent:
    """Keeps the datagrams that a monitor sends, by the receiver's port."""

    def __init__(self):
        self.by_port = {}

    def send(self, host, port, datagram):
        self.by_port.setdefault(port, []).append(datagram)


@behave.given("a peer monitor that knows 4 serving daemons and 2 others")
def step_monitor(context):
    whole = steering.Resources(1.0, 100.0)
    context.daemons = {
        f"d{n}": steering.Daemon(
            f"d{n}", "ab"[n % 2], deployments.REGION, "h", n, "h", n, whole
        )
        for n in range(6)
    }
    context.gateway_inbox = mailbox.Mailbox("gateway", 1000)
    monitor = context.monitor = peer_monitor.PeerMonitor(
        deployments.make("d0", "a", 0, whole),
        world.FakeClock(),
        lambda: 0.0,
        lambda: 0,
        mailbox.Mailbox("monitor"),
        context.gateway_inbox,
        mailbox.Mailbox("store", 1000),
    )
    context.sent = Sent()
    monitor.connect(context.sent)


@behave.when(
    "it gets a report to send, and reports of a peer and of a stranger"
)
def step_exchange(context):
    async def run():
        monitor = context.monitor
        monitor.handle(
            fleet_events.ConfigurationChanged(
                configuration.Configuration(1, {}, [], gateway_world.LIMITS)
            )
        )
        monitor.handle(fleet_events.DaemonsChanged(context.daemons))
        context.serving = monitor.fleet_view.serving_ids(1000.0)
        header = quota_reports.Header(1, 5, 0, ["d1"])
        report = quota_reports.Report(
            header, [("t", 1.0, 2)], {f"d{n}": 10 + n for n in range(6)}
        )
        monitor.handle(fleet_events.QuotaReportIssued(report))
        monitor.handle(fleet_events.QuotaUsedUpIssued(["t"]))
        for sender in ("d1", "stranger"):
            for datagram in (
                datagrams.QuotaReportDatagram(sender, header, [("t", 1.0, 2)]),
                datagrams.QuotaUsedUpDatagram(sender, [sender]),
            ):
                monitor.on_datagram("h", 1, datagram)

    asyncio.run(run())


@behave.then("each other serving daemon gets its own acknowledgement")
def step_acknowledged(context):
    assert len(context.serving) == 4, context.serving
    acknowledged = {
        f"d{port}": datagram.header.acknowledged
        for port, sent in context.sent.by_port.items()
        for datagram in sent
        if isinstance(datagram, datagrams.QuotaReportDatagram)
    }
    assert acknowledged == {
        id: 10 + int(id[1:]) for id in context.serving - {"d0"}
    }, acknowledged
    told = {
        f"d{port}"
        for port, sent in context.sent.by_port.items()
        for datagram in sent
        if isinstance(datagram, datagrams.QuotaUsedUpDatagram)
    }
    assert told <= context.daemons.keys() - context.serving, told


@behave.then("the gateway gets the report of the peer alone")
def step_from_peer(context):
    inbox = context.gateway_inbox
    received = [inbox.poll() for _ in range(len(inbox))]
    reports = [
        message.daemon_id
        for message in received
        if isinstance(message, fleet_events.QuotaReportReceived)
    ]
    names = [
        message.tenant_names
        for message in received
        if isinstance(message, fleet_events.QuotaUsedUpReceived)
    ]
    assert (reports, names) == (["d1"], [["d1"]]), (reports, names)
