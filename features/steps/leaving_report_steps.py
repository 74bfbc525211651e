"""Steps on the reports of leaving instances."""

from __future__ import annotations

import asyncio

import behave
import orjson

from dotterelpath.adapters import datagrams as datagram_codec
from dotterelpath.domain import configuration
from dotterelpath.domain import health_reports
from dotterelpath.domain import registry
from dotterelpath.domain import steering
from dotterelpath.domain import store_position
from dotterelpath.ports import datagrams
from dotterelpath.ports import store
from dotterelpath.ports import store_items
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import peer_monitor
from dotterelpath.tasks import registrar
from dotterelpath.tasks import store_events
from features.support import deployments
from features.support import gateway_world
from features.support import world

STARTED_MS = 1


@behave.given("a daemon with 6 listed instances that cannot read the store")
def step_daemon(context):
    route = gateway_world.route("/w/", idempotent=False)
    context.world = gateway_world.GatewayWorld([route])


def report_leaving(context, started_ms):
    context.world.gateway.handle(
        fleet_events.LeavingReportReceived(
            "g2",
            health_reports.LeavingReport(
                [
                    (gateway_world.SERVICE, "i0", started_ms),
                    (gateway_world.SERVICE, "unknown", 1),
                    ("unknown", "i1", 1),
                ]
            ),
        )
    )


@behave.when("a peer reports that the first instance leaves")
def step_leaves(context):
    report_leaving(context, STARTED_MS)


@behave.when("a peer reports that an earlier run of the first instance leaves")
def step_earlier_run_leaves(context):
    report_leaving(context, 0)


@behave.when("a peer reports that a later run of the first instance leaves")
def step_later_run_leaves(context):
    report_leaving(context, STARTED_MS + 1)


@behave.when("the list without its drain is published again")
def step_old_list(context):
    context.world.list_all()


def used_instances(context):
    context.world.load("/w/1", 60, 0.0, 5.0)
    context.world.run(15.0)
    return {i.id for i in context.world.instances.values() if i.arrivals}


@behave.then("the first instance gets no more requests, and the others do")
def step_others_used(context):
    assert used_instances(context) == {"i1", "i2", "i3", "i4", "i5"}


@behave.then("all instances get requests")
def step_all_used(context):
    assert len(used_instances(context)) == 6


class Codec:
    """Takes entries as they are."""

    def decode(self, value):
        return value


class NoMetrics(world.NoMetrics):
    def record_unknown_item(self, kind):
        pass


def entry(number, is_draining):
    return store_items.InstanceItem(
        f"i-{number:016x}",
        registry.Entry(
            f"i-{number:016x}",
            "a-service",
            "h",
            1,
            "a",
            4,
            is_draining,
            0.0,
            2 if is_draining else 1,
            1_790_000_000_000,
        ),
    )


@behave.given("a registrar that has listed 70 instances")
def step_registrar(context):
    context.monitor = mailbox.Mailbox("monitor", 1000)
    context.registrar = registrar.Registrar(
        2.0,
        Codec(),
        world.FakeClock(),
        world.FakeTimers(),
        NoMetrics(),
        mailbox.Mailbox("registrar", 1000),
        (mailbox.Mailbox("gateway", 1000),),
        context.monitor,
        mailbox.Mailbox("enroller"),
    )
    change(context, False, is_full=True)


def change(context, is_draining, is_full=False):
    items = [entry(number, is_draining) for number in range(70)]
    context.registrar.handle(
        store_events.StoreChanged(
            store.Changes(items, store_position.Position(0, 1), is_full),
            1000.0,
            4.0,
        )
    )


def issued_reports(context):
    found = []
    while len(context.monitor):
        message = context.monitor.poll()
        if isinstance(message, fleet_events.LeavingReportIssued):
            found.append(message.report)
    return found


@behave.when("all of them begin to drain in one change of the store")
def step_drain(context):
    assert not issued_reports(context)
    change(context, True)


@behave.then("3 reports name each of them once, in at most 1400 bytes each")
def step_reports(context):
    reports = issued_reports(context)
    assert len(reports) == 3, len(reports)
    named = [item for report in reports for item in report.instances]
    assert len(named) == len(set(named)) == 70
    for report in reports:
        datagram = datagrams.LeavingReportDatagram("g1", report)
        encoded = orjson.dumps(datagram_codec.encode(datagram))
        assert len(encoded) <= 1400, len(encoded)
        decoded = datagram_codec.decode(orjson.loads(encoded))
        assert decoded.report.instances == report.instances


@behave.then("the same change again is not reported")
def step_not_again(context):
    change(context, True)
    assert not issued_reports(context)


class Sent:
    """Keeps the datagrams that a monitor sends."""

    def __init__(self):
        self.datagrams = []

    def send(self, host, port, datagram):
        self.datagrams.append((port, datagram))


def create_monitor(context):
    """Creates a monitor that knows the fleet and keeps what it sends."""
    monitor = peer_monitor.PeerMonitor(
        deployments.make("d0", "a", 1, steering.Resources(1.0, 100.0)),
        world.FakeClock(),
        lambda: 0.0,
        lambda: 0,
        *(mailbox.Mailbox(name, 1000) for name in ("m", "g", "s")),
    )
    context.sent = Sent()
    monitor.connect(context.sent)
    monitor.handle(
        fleet_events.ConfigurationChanged(
            configuration.Configuration(1, {}, [], gateway_world.LIMITS)
        )
    )
    monitor.handle(fleet_events.DaemonsChanged(context.fleet_view.daemons))
    context.serving = monitor.fleet_view.serving_ids(1000.0)
    return monitor


@behave.when(
    "the monitor issues a report without watching the store, and then with"
)
def step_issue(context):
    async def run():
        monitor = create_monitor(context)
        watched = store_position.Position(0, 7)
        for position, name in ((None, "first"), (watched, "second")):
            monitor.handle(fleet_events.WatchedPositionChanged(position))
            report = health_reports.LeavingReport([("s", name, 1)])
            monitor.handle(fleet_events.LeavingReportIssued(report))

    asyncio.run(run())


@behave.then(
    "only the second report is sent, once to each other serving daemon"
)
def step_sent_by_watcher(context):
    reports = [
        (port, datagram.report.instances[0][1])
        for port, datagram in context.sent.datagrams
        if isinstance(datagram, datagrams.LeavingReportDatagram)
    ]
    others = [int(id[1:]) for id in context.serving - {"d0"}]
    assert sorted(reports) == sorted((port, "second") for port in others)
    assert others


@behave.when(
    "responses of the first instance say from second {start_s:g} that it leaves"
)
def step_says_leaving(context, start_s):
    first = context.world.instances["i0"]
    context.world.schedule(start_s, setattr, first, "says_leaving", True)
    context.world.load("/w/1", 60, 0.0, 15.0)


def list_without_first(context):
    first = context.world.instances.pop("i0")
    context.world.list_all()
    context.world.instances = {"i0": first, **context.world.instances}


def start_again(context):
    context.world.instances["i0"].says_leaving = False
    context.world.started_ms += 1
    context.world.list_all()


@behave.when("at second {at_s:g} {event}")
def step_event(context, at_s, event):
    run = context.world
    first = run.instances["i0"]
    actions = {
        "nothing happens": [],
        "its responses do not say so any more": [
            (setattr, first, "says_leaving", False)
        ],
        "the list without its drain is published": [(run.list_all,)],
        "its entry expires and reappears": [
            (list_without_first, context),
            (run.list_all,),
        ],
        "a new run of it is listed": [(start_again, context)],
    }[event]
    for number, action in enumerate(actions):
        run.schedule(at_s + number * 0.5, *action)
    run.run(25.0)


@behave.then("the first instance gets requests until second {end_s:g} only")
def step_until(context, end_s):
    times_s = [at_s for at_s, _ in context.world.instances["i0"].arrivals]
    assert times_s and max(times_s) <= end_s, max(times_s)


@behave.then("the first instance gets requests after second {start_s:g}")
def step_after(context, start_s):
    times_s = [at_s for at_s, _ in context.world.instances["i0"].arrivals]
    assert max(times_s) > start_s, max(times_s)


@behave.then("one report tells the other daemons that it leaves")
def step_one_report(context):
    found = []
    while (message := context.world.neighbours.poll()) is not None:
        if isinstance(message, fleet_events.LeavingReportIssued):
            assert message.is_first_hand
            found += message.report.instances
    assert found == [(gateway_world.SERVICE, "i0", STARTED_MS)], found


@behave.when(
    "the monitor issues a report of an instance's own word without watching"
)
def step_issue_own_word(context):
    async def run():
        monitor = create_monitor(context)
        report = health_reports.LeavingReport([("s", "second", 1)])
        monitor.handle(fleet_events.LeavingReportIssued(report, True))

    asyncio.run(run())


@behave.then("the report is sent, once to each other serving daemon")
def step_own_word_sent(context):
    step_sent_by_watcher(context)
