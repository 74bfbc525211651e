"""The task that knows the other daemons and tells them what it sees."""

from __future__ import annotations

import asyncio
import itertools
import math
import typing

import structlog

from dotterelpath.domain import configuration
from dotterelpath.domain import deployment
from dotterelpath.domain import fleet_view
from dotterelpath.domain import steering
from dotterelpath.ports import addressing
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import datagrams
from dotterelpath.tasks import events
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

# How long callers keep an address answer, in seconds. A daemon that died or
# leaves is used for as long, and each answer costs little.
ADDRESS_TTL_S = 1.0
# What this daemon uses is measured over this time, in seconds; a few requests
# more or less say nothing in it.
MEASURE_S = 1.0

_log = structlog.get_logger()


class Neighbourhood:
    """Owns what is known of the daemons, this one's state included."""

    __slots__ = (
        "_asked_s",
        "_clock",
        "_configuration",
        "_datagrams",
        "_deployment",
        "_gateway",
        "_has_instances",
        "_is_leaving",
        "_mailbox",
        "_neighbours",
        "_numbers",
        "_processor_s",
        "_read_processor_s",
        "_read_sent_bytes",
        "_revision",
        "_sent_bytes",
        "_since_s",
        "_store_reader",
        "_ticker",
        "_told_sharers",
        "_used",
    )

    def __init__(
        self,
        placed: deployment.Deployment,
        clock: clock_port.Clock,
        read_processor_s: typing.Callable[[], float],
        read_sent_bytes: typing.Callable[[], int],
        inbox: mailbox.Mailbox[typing.Any],
        gateway: mailbox.Mailbox[typing.Any],
        store_reader: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates the task's state.

        Args:
            placed: Where this daemon stands.
            clock: Tells the time.
            read_processor_s: Reads the processor time used so far, in
                seconds.
            read_sent_bytes: Reads the bytes sent so far.
            inbox: This task's mailbox.
            gateway: Hears what other daemons saw.
            store_reader: Hears what other daemons know of the store.
        """
        self._deployment = placed
        self._clock = clock
        self._read_processor_s = read_processor_s
        self._read_sent_bytes = read_sent_bytes
        self._mailbox = inbox
        self._gateway = gateway
        self._store_reader = store_reader
        self._revision: int | None = None
        self._asked_s = -math.inf
        self._datagrams: datagrams.Datagrams | None = None
        self._neighbours = fleet_view.FleetView(
            placed.daemon_id, (placed.data_centre, placed.region)
        )
        self._configuration: configuration.Configuration | None = None
        self._has_instances = False
        self._is_leaving = False
        self._numbers = itertools.count(1)
        self._told_sharers: tuple[int, bool] | None = None
        self._processor_s = read_processor_s()
        self._sent_bytes = read_sent_bytes()
        self._since_s = clock.now_s()
        self._used = steering.Resources(0.0, 0.0)
        self._ticker: asyncio.TimerHandle | None = None

    @property
    def state(self) -> steering.DaemonState:
        """What this daemon tells others of itself."""
        if self._is_leaving:
            return steering.DaemonState.LEAVING
        if self._configuration is None or not self._has_instances:
            return steering.DaemonState.STARTING
        return steering.DaemonState.READY

    @property
    def is_ready(self) -> bool:
        """Whether callers are served; see addressing.AddressResolver."""
        return self.state is steering.DaemonState.READY

    @property
    def neighbours(self) -> fleet_view.FleetView:
        """The daemons, for reports on the daemon's state."""
        return self._neighbours

    @property
    def store_revision(self) -> int | None:
        """The store's revision, where this daemon watches the store."""
        return self._revision

    def connect(self, sent: datagrams.Datagrams) -> None:
        """Sets what sends messages to other daemons.

        Args:
            sent: The sender.
        """
        self._datagrams = sent

    def resolve(
        self, host: str, data_centre: str, region: str
    ) -> addressing.Resolution:
        """Finds daemons for a caller; see addressing.AddressResolver."""
        now_s = self._clock.now_s()
        found = self._neighbours.choose(data_centre, region, now_s)
        endpoints = [
            deployment.Endpoint(daemon.front_host, daemon.front_port)
            for daemon in found
        ]
        if not endpoints and self.is_ready:
            endpoints = [self._deployment.front]
        _log.info(
            "addresses given",
            host=host,
            data_centre=data_centre,
            daemons=[daemon.id for daemon in found],
            parts_used=self._neighbours.utilization(now_s),
            unusable=self._neighbours.unusable(now_s),
        )
        self._tell_sharers()
        if self._ticker is None:
            self._schedule()
        ttl_s = min(ADDRESS_TTL_S, self._deployment.bounds.address_ttl_s)
        return addressing.Resolution(endpoints, ttl_s)

    async def run(self) -> None:
        """Handles messages until cancelled."""
        try:
            while True:
                self.handle(await self._mailbox.receive())
        finally:
            if self._ticker is not None:
                self._ticker.cancel()

    def handle(self, message: typing.Any) -> None:
        """Handles one message.

        Args:
            message: A message on the fleet.
        """
        if isinstance(message, fleet_events.EvidenceSeen):
            self.on_evidence_seen(message)
        elif isinstance(message, messages.Tick):
            self.on_tick()
        elif isinstance(message, fleet_events.ConfigurationChanged):
            self._configuration = message.configuration
            self._tell_sharers()
        elif isinstance(message, fleet_events.RegistryChanged):
            self._has_instances = True
        elif isinstance(message, fleet_events.DaemonsChanged):
            self.on_daemons_changed(message)
        elif isinstance(message, fleet_events.StoreWatched):
            self._revision = message.revision
        elif isinstance(message, events.LeaveBegan):
            self._is_leaving = True

    def on_datagram(
        self, host: str, port: int, datagram: datagrams.Datagram
    ) -> None:
        """A message came in; see datagrams.Listener."""
        now_s = self._clock.now_s()
        if isinstance(datagram, datagrams.Ping):
            self._note_asked(now_s)
            self._respond(host, port, datagram)
        elif isinstance(datagram, datagrams.Pong):
            self._neighbours.record_response(
                datagram.sender_id, datagram.state, datagram.usage, now_s
            )
            if datagram.revision is not None:
                self._store_reader.force(
                    fleet_events.RevisionTold(datagram.revision, now_s)
                )
        else:
            self._gateway.force(
                fleet_events.EvidenceHeard(
                    datagram.sender_id, datagram.evidence
                )
            )

    def on_daemons_changed(self, message: fleet_events.DaemonsChanged) -> None:
        """Takes in the listed daemons.

        Args:
            message: The daemons.
        """
        self._neighbours.set_daemons(message.daemons)
        self._store_reader.force(message)
        self._tell_sharers()
        if self._ticker is None:
            self._schedule()

    def on_evidence_seen(self, message: fleet_events.EvidenceSeen) -> None:
        """Tells the daemons that send work to the same instance.

        Args:
            message: What was seen.
        """
        if self._datagrams is None or self._configuration is None:
            return
        own_id = self._deployment.daemon_id
        seen = datagrams.EvidenceReport(own_id, message.evidence)
        daemons = self._neighbours.daemons
        for daemon_id in self._neighbours.serving_ids() - {own_id}:
            to = daemons[daemon_id]
            self._datagrams.send(to.peer_host, to.peer_port, seen)

    def on_tick(self) -> None:
        """Pings the daemons that callers are or would be sent to."""
        now_s = self._clock.now_s()
        due = self._neighbours.to_ping(now_s)
        self._neighbours.record_response(
            self._deployment.daemon_id, self.state, self._used, now_s
        )
        if self._datagrams is not None:
            for daemon in due:
                ping = datagrams.Ping(
                    self._deployment.daemon_id, next(self._numbers)
                )
                self._datagrams.send(daemon.peer_host, daemon.peer_port, ping)
        self._measure(now_s)
        self._ticker = None
        if due:
            self._schedule()

    def _tell_sharers(self) -> None:
        """Tells how many daemons share the services, if this one does."""
        if self._configuration is None:
            return
        is_carrier = (
            self._deployment.daemon_id in self._neighbours.serving_ids()
        )
        told = (self._neighbours.serving_count(), is_carrier)
        if told != self._told_sharers:
            self._told_sharers = told
            self._gateway.force(fleet_events.SharersChanged(*told))

    def _note_asked(self, now_s: float) -> None:
        """Tells at most once a ping's period that others rely on this one."""
        if now_s - self._asked_s >= fleet_view.PING_S:
            self._asked_s = now_s
            self._store_reader.force(fleet_events.DaemonAsked(now_s))

    def _respond(self, host: str, port: int, ping: datagrams.Ping) -> None:
        if self._datagrams is None:
            return
        self._measure(self._clock.now_s())
        pong = datagrams.Pong(
            self._deployment.daemon_id,
            ping.sequence,
            self.state,
            self._used,
            self._revision,
        )
        self._datagrams.send(host, port, pong)

    def _measure(self, now_s: float) -> None:
        """Measures what is used of the processor and of the link."""
        passed_s = now_s - self._since_s
        if passed_s < MEASURE_S:
            return
        processor_s = self._read_processor_s()
        sent_bytes = self._read_sent_bytes()
        sent_mbit = (sent_bytes - self._sent_bytes) * 8.0 / 1e6
        self._used = steering.Resources(
            (processor_s - self._processor_s) / passed_s, sent_mbit / passed_s
        )
        self._processor_s = processor_s
        self._sent_bytes = sent_bytes
        self._since_s = now_s

    def _schedule(self) -> None:
        self._ticker = asyncio.get_running_loop().call_later(
            fleet_view.PING_S, self._mailbox.force, messages.Tick()
        )
