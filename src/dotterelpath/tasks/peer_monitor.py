"""The task that monitors the other daemons and exchanges reports with them."""

from __future__ import annotations

import asyncio
import itertools
import math
import typing

import structlog

from dotterelpath.domain import configuration
from dotterelpath.domain import deployment
from dotterelpath.domain import fleet_view
from dotterelpath.domain import request_limits
from dotterelpath.domain import steering
from dotterelpath.domain import store_position
from dotterelpath.ports import addressing
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import datagrams
from dotterelpath.tasks import _quota_exchange
from dotterelpath.tasks import _store_freshness
from dotterelpath.tasks import events
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

# How long callers may cache resolved addresses, in seconds. Callers keep using
# a daemon that crashed or shuts down for this time, and resolving is cheap.
ADDRESS_TTL_S = 1.0
# The resource usage of this daemon is averaged over this time, in seconds,
# which is long enough to smooth out single requests.
MEASUREMENT_PERIOD_S = 1.0
# The number of past ticks whose pings may still be answered.
MAX_OPEN_PINGS = 8

_log = structlog.get_logger()


class PeerMonitor:
    """Pings the other daemons, resolves addresses and exchanges reports.

    Owns the view of the fleet and the state of this daemon.
    """

    __slots__ = (
        "_bounds",
        "_clock",
        "_configuration",
        "_datagrams",
        "_deployment",
        "_fleet_view",
        "_freshness",
        "_gateway",
        "_has_instance_list",
        "_is_leaving",
        "_large_revision",
        "_last_cpu_time_s",
        "_last_sent_bytes",
        "_mailbox",
        "_measured_s",
        "_ping_reported_s",
        "_ping_sequence",
        "_pinged_s",
        "_published_serving_daemons",
        "_quota_exchange",
        "_read_cpu_time_s",
        "_read_sent_bytes",
        "_store_confirmed_s",
        "_store_position",
        "_store_reader",
        "_tick_timer",
        "_usage",
    )

    def __init__(
        self,
        local_deployment: deployment.Deployment,
        clock: clock_port.Clock,
        read_cpu_time_s: typing.Callable[[], float],
        read_sent_bytes: typing.Callable[[], int],
        inbox: mailbox.Mailbox[typing.Any],
        gateway: mailbox.Mailbox[typing.Any],
        store_reader: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates the task's state.

        Args:
            local_deployment: The settings of this daemon.
            clock: Tells the time.
            read_cpu_time_s: Reads the CPU time used so far, in seconds.
            read_sent_bytes: Reads the bytes sent so far.
            inbox: This task's mailbox.
            gateway: Gets the health reports of other daemons.
            store_reader: Gets the store positions of other daemons.
        """
        self._deployment = local_deployment
        self._bounds = local_deployment.bounds
        self._clock = clock
        self._read_cpu_time_s = read_cpu_time_s
        self._read_sent_bytes = read_sent_bytes
        self._mailbox = inbox
        self._gateway = gateway
        self._store_reader = store_reader
        self._freshness = _store_freshness.StoreFreshness(
            local_deployment.daemon_id, local_deployment.bounds, gateway
        )
        self._store_position: store_position.Position | None = None
        self._store_confirmed_s = -math.inf
        self._large_revision = 0
        self._ping_reported_s = -math.inf
        self._datagrams: datagrams.Datagrams | None = None
        self._fleet_view = fleet_view.FleetView(
            local_deployment.daemon_id,
            (local_deployment.data_centre, local_deployment.region),
        )
        self._quota_exchange = _quota_exchange.QuotaExchange(
            local_deployment.daemon_id, self._fleet_view, gateway
        )
        self._configuration: configuration.Configuration | None = None
        self._has_instance_list = False
        self._is_leaving = False
        self._ping_sequence = itertools.count(1)
        self._pinged_s: dict[int, float] = {}
        self._published_serving_daemons: (
            tuple[int, list[request_limits.ServingDaemon], frozenset[str], int]
            | None
        ) = None
        self._last_cpu_time_s = read_cpu_time_s()
        self._last_sent_bytes = read_sent_bytes()
        self._measured_s = clock.now_s()
        self._usage = steering.Resources(0.0, 0.0)
        self._tick_timer: asyncio.TimerHandle | None = None

    @property
    def state(self) -> steering.DaemonState:
        """The state that this daemon reports to others."""
        if self._is_leaving:
            return steering.DaemonState.LEAVING
        if self._configuration is None or not self._has_instance_list:
            return steering.DaemonState.STARTING
        if self.is_stale:
            # Other daemons, also of older builds, send no callers to a daemon
            # that starts.
            return steering.DaemonState.STARTING
        return steering.DaemonState.READY

    @property
    def is_stale(self) -> bool:
        """Whether this daemon knows that its tenants are outdated."""
        return self._freshness.is_stale(self._clock.now_s())

    @property
    def is_ready(self) -> bool:
        """Whether callers are served; see addressing.AddressResolver."""
        return self.state is steering.DaemonState.READY

    @property
    def fleet_view(self) -> fleet_view.FleetView:
        """The known daemons, for the status pages."""
        return self._fleet_view

    @property
    def store_position(self) -> store_position.Position | None:
        """The store position; None if this daemon does not watch the store."""
        return self._store_position

    def connect(self, sender: datagrams.Datagrams) -> None:
        """Sets the sender of datagrams to other daemons.

        Args:
            sender: The sender.
        """
        self._datagrams = sender
        self._quota_exchange.connect(sender)

    def resolve(
        self, host: str, data_centre: str, region: str
    ) -> addressing.Resolution:
        """Resolves daemons for a caller; see addressing.AddressResolver."""
        now_s = self._clock.now_s()
        daemons = self._fleet_view.choose(data_centre, region, now_s)
        endpoints = [
            deployment.Endpoint(daemon.caller_host, daemon.caller_port)
            for daemon in daemons
        ]
        if not endpoints and self.is_ready:
            endpoints = [self._deployment.caller_endpoint]
        _log.info(
            "addresses resolved",
            host=host,
            data_centre=data_centre,
            daemons=[daemon.id for daemon in daemons],
            parts_used=self._fleet_view.utilization(now_s),
            unusable=self._fleet_view.unusable(now_s),
        )
        self._publish_serving_daemons()
        if self._tick_timer is None:
            self._schedule()
        ttl_s = min(ADDRESS_TTL_S, self._bounds.address_ttl_s)
        return addressing.Resolution(endpoints, ttl_s)

    async def run(self) -> None:
        """Handles messages until cancelled."""
        try:
            while True:
                self.handle(await self._mailbox.receive())
        finally:
            if self._tick_timer is not None:
                self._tick_timer.cancel()

    def handle(self, message: typing.Any) -> None:
        """Handles one message.

        Args:
            message: A tick, or a message on the fleet or the shutdown.
        """
        if isinstance(message, fleet_events.HealthReportIssued):
            self.on_health_report_issued(message)
        elif isinstance(message, fleet_events.SuccessReportIssued):
            self.on_success_report_issued(message)
        elif isinstance(message, fleet_events.LimitReportIssued):
            self.on_limit_report_issued(message)
        elif isinstance(message, fleet_events.QuotaReportIssued):
            self._quota_exchange.send_report(message, self._clock.now_s())
        elif isinstance(message, fleet_events.QuotaUsedUpIssued):
            self._quota_exchange.send_used_up(message, self._clock.now_s())
        elif isinstance(message, fleet_events.LeavingReportIssued):
            self.on_leaving_report_issued(message)
        elif isinstance(message, messages.Tick):
            self.on_tick()
        elif isinstance(message, fleet_events.ConfigurationChanged):
            self._configuration = message.configuration
            self._freshness.set_has_tenants(
                message.configuration.tenants is not None, self._clock.now_s()
            )
            self._publish_serving_daemons()
            must_check = self._freshness.must_check(self._fleet_view.daemons)
            if must_check and self._tick_timer is None:
                self._schedule()
        elif isinstance(message, fleet_events.RegistryChanged):
            # The list may be empty.
            self._has_instance_list = True
        elif isinstance(message, fleet_events.DaemonsChanged):
            self.on_daemons_changed(message)
        elif isinstance(message, fleet_events.WatchedPositionChanged):
            self._store_position = message.position
            self._store_confirmed_s = message.confirmed_s
            self._large_revision = message.large_revision
        elif isinstance(message, fleet_events.StoreRead):
            self._freshness.on_store_read(message, self._clock.now_s())
        elif isinstance(message, fleet_events.BoundsChanged):
            self._bounds = message.bounds
            self._freshness.set_bounds(message.bounds)
        elif isinstance(message, events.LeaveBegan):
            self._is_leaving = True

    def on_datagram(
        self, host: str, port: int, datagram: datagrams.Datagram
    ) -> None:
        """Handles a datagram; see datagrams.Listener."""
        now_s = self._clock.now_s()
        if isinstance(datagram, datagrams.Ping):
            self._report_ping(now_s)
            self._respond(host, port, datagram)
        elif isinstance(datagram, datagrams.Pong):
            self._fleet_view.record_response(
                datagram.sender_id, datagram.state, datagram.usage, now_s
            )
            self._report_position(datagram, now_s)
        elif isinstance(datagram, datagrams.QuotaReportDatagram):
            if datagram.sender_id in self._fleet_view.daemons:
                self._record_serving(datagram, now_s)
                self._quota_exchange.on_report(datagram)
        elif isinstance(datagram, datagrams.QuotaUsedUpDatagram):
            self._quota_exchange.on_used_up(datagram)
        elif isinstance(datagram, datagrams.LeavingReportDatagram):
            self._gateway.force(
                fleet_events.LeavingReportReceived(
                    datagram.sender_id, datagram.report
                )
            )
        elif isinstance(datagram, datagrams.LimitReportDatagram):
            self._record_serving(datagram, now_s)
            self._gateway.force(
                fleet_events.LimitReportReceived(
                    datagram.sender_id, datagram.report
                )
            )
        elif isinstance(datagram, datagrams.SuccessReportDatagram):
            self._record_serving(datagram, now_s)
            self._gateway.force(
                fleet_events.SuccessReportReceived(
                    datagram.sender_id, datagram.report
                )
            )
        else:
            self._gateway.force(
                fleet_events.HealthReportReceived(
                    datagram.sender_id, datagram.report
                )
            )

    def on_daemons_changed(self, message: fleet_events.DaemonsChanged) -> None:
        """Updates the daemons of the fleet.

        Args:
            message: The daemons.
        """
        self._fleet_view.set_daemons(message.daemons)
        self._store_reader.force(message)
        self._publish_serving_daemons()
        if self._tick_timer is None:
            self._schedule()

    def on_health_report_issued(
        self, message: fleet_events.HealthReportIssued
    ) -> None:
        """Sends a health report to the other serving daemons.

        These daemons send requests to the same instances.

        Args:
            message: The report.
        """
        self._send_to_serving_daemons(
            datagrams.HealthReportDatagram(
                self._deployment.daemon_id, message.report
            )
        )

    def on_success_report_issued(
        self, message: fleet_events.SuccessReportIssued
    ) -> None:
        """Sends a success report to the other serving daemons.

        Args:
            message: The report.
        """
        self._send_to_serving_daemons(
            datagrams.SuccessReportDatagram(
                self._deployment.daemon_id,
                message.report,
                self._fleet_view.own_serving_count,
            )
        )

    def on_leaving_report_issued(
        self, message: fleet_events.LeavingReportIssued
    ) -> None:
        """Sends a report on leaving instances to the other serving daemons.

        Of what the store has, only daemons that watch it report; they are the
        first to know.

        Args:
            message: The report.
        """
        if self._store_position is None and not message.is_first_hand:
            return
        _log.info(
            "leaving instances reported",
            instances=[id for _, id, _ in message.report.instances],
        )
        self._send_to_serving_daemons(
            datagrams.LeavingReportDatagram(
                self._deployment.daemon_id, message.report
            )
        )

    def on_limit_report_issued(
        self, message: fleet_events.LimitReportIssued
    ) -> None:
        """Sends a report on limits to the other serving daemons.

        Args:
            message: The report.
        """
        self._send_to_serving_daemons(
            datagrams.LimitReportDatagram(
                self._deployment.daemon_id,
                message.report,
                self._fleet_view.own_serving_count,
            )
        )

    def _record_serving(
        self,
        datagram: datagrams.SuccessReportDatagram
        | datagrams.LimitReportDatagram
        | datagrams.QuotaReportDatagram,
        now_s: float,
    ) -> None:
        """Records what a daemon says of itself and of its data centre.

        The gateway learns it before the report, which it judges by the rank of
        the sender.
        """
        if datagram.serving_count is not None and (
            self._fleet_view.record_serving(
                datagram.sender_id, datagram.serving_count, now_s
            )
        ):
            self._publish_serving_daemons()

    def _send_to_serving_daemons(self, datagram: datagrams.Datagram) -> None:
        if self._datagrams is None or self._configuration is None:
            return
        own_id = self._deployment.daemon_id
        daemons = self._fleet_view.daemons
        receivers = self._fleet_view.serving_ids(self._clock.now_s())
        for daemon_id in receivers - {own_id}:
            peer = daemons[daemon_id]
            self._datagrams.send(peer.peer_host, peer.peer_port, datagram)

    def on_tick(self) -> None:
        """Pings the daemons that callers are, or would next be, sent to."""
        now_s = self._clock.now_s()
        peers = self._fleet_view.to_ping(now_s)
        self._freshness.update(now_s)
        peers += self._freshness.daemons_to_ask(
            self._fleet_view.daemons, peers, now_s
        )
        self._fleet_view.record_response(
            self._deployment.daemon_id, self.state, self._usage, now_s
        )
        if self._datagrams is not None and peers:
            ping = datagrams.Ping(
                self._deployment.daemon_id, next(self._ping_sequence)
            )
            self._pinged_s[ping.sequence] = now_s
            self._pinged_s.pop(ping.sequence - MAX_OPEN_PINGS, None)
            for daemon in peers:
                self._datagrams.send(daemon.peer_host, daemon.peer_port, ping)
        self._measure_usage(now_s)
        self._publish_serving_daemons()
        self._tick_timer = None
        if peers or self._freshness.must_check(self._fleet_view.daemons):
            self._schedule()

    def _publish_serving_daemons(self) -> None:
        """Publishes the serving daemons if they have changed."""
        if self._configuration is None:
            return
        own_id = self._deployment.daemon_id
        now_s = self._clock.now_s()
        count = self._fleet_view.serving_count(now_s)
        serving = self._fleet_view.serving_daemons(now_s)
        reporting = self._fleet_view.reporting_ids
        other_count = len(self._fleet_view.daemons) - len(serving)
        published = (count, serving, reporting, other_count)
        if published != self._published_serving_daemons:
            self._published_serving_daemons = published
            is_serving = any(id == own_id for id, _ in serving)
            self._gateway.force(
                fleet_events.ServingDaemonsChanged(
                    count,
                    is_serving,
                    own_id,
                    serving,
                    reporting,
                    other_count,
                )
            )

    def _report_ping(self, now_s: float) -> None:
        """Reports to the store reader that other daemons follow this one.

        Reports at most once per ping period.
        """
        if now_s - self._ping_reported_s >= fleet_view.PING_S:
            self._ping_reported_s = now_s
            self._store_reader.force(fleet_events.PeerPinged(now_s))

    def _report_position(self, pong: datagrams.Pong, now_s: float) -> None:
        """Reports the store position of a pong to the store reader.

        The age in a pong counts from when it was sent. A pong may arrive late,
        and was sent no earlier than the ping that it responds to.
        """
        pinged_s = self._pinged_s.get(pong.sequence)
        if pong.position is None or pinged_s is None:
            return
        confirmed_s = pinged_s - pong.position_age_s
        self._freshness.record_report(pong.position, confirmed_s, now_s)
        self._store_reader.force(
            fleet_events.PositionReceived(
                pong.sender_id,
                pong.position,
                confirmed_s,
                now_s,
                pong.large_revision,
            )
        )

    def _respond(self, host: str, port: int, ping: datagrams.Ping) -> None:
        if self._datagrams is None:
            return
        now_s = self._clock.now_s()
        self._measure_usage(now_s)
        pong = datagrams.Pong(
            self._deployment.daemon_id,
            ping.sequence,
            self.state,
            self._usage,
            self._store_position,
            now_s - self._store_confirmed_s,
            self._large_revision,
        )
        self._datagrams.send(host, port, pong)

    def _measure_usage(self, now_s: float) -> None:
        """Measures the usage of the CPU and of the network link."""
        elapsed_s = now_s - self._measured_s
        if elapsed_s < MEASUREMENT_PERIOD_S:
            return
        cpu_time_s = self._read_cpu_time_s()
        sent_bytes = self._read_sent_bytes()
        sent_mbit = (sent_bytes - self._last_sent_bytes) * 8.0 / 1e6
        self._usage = steering.Resources(
            (cpu_time_s - self._last_cpu_time_s) / elapsed_s,
            sent_mbit / elapsed_s,
        )
        self._last_cpu_time_s = cpu_time_s
        self._last_sent_bytes = sent_bytes
        self._measured_s = now_s

    def _schedule(self) -> None:
        self._tick_timer = asyncio.get_running_loop().call_later(
            fleet_view.PING_S, self._mailbox.force, messages.Tick()
        )
