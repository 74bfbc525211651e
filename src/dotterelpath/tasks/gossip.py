"""The task that tracks the live daemons by exchanging heartbeats."""

from __future__ import annotations

import asyncio
import random
import typing

import structlog

from dotterelpath.domain import document
from dotterelpath.domain import fleet_membership
from dotterelpath.domain import keys
from dotterelpath.domain import vms
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import peers as peers_port
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox

# The time between two rounds of heartbeats, in seconds.
ROUND_INTERVAL_S = 1.0
# The document may be stale after this time, in seconds, without a response
# of the store or a heartbeat of a peer.
STALE_AFTER_S = 5.0
# The number of peers that are told at once of a new document or ledger.
UPDATE_FANOUT = 4
# The shortest time between two fetches from peers, in seconds.
PEER_FETCH_INTERVAL_S = 0.2

_log = structlog.get_logger()


class Gossip:
    """Owns the fleet membership and publishes the live daemons to tasks."""

    __slots__ = (
        "_adopted",
        "_clock",
        "_data_centre",
        "_document_loader",
        "_document_version",
        "_has_vms",
        "_is_fresh",
        "_last_store_response_s",
        "_ledger_revision",
        "_mailbox",
        "_membership",
        "_next_peer_fetch_s",
        "_peers",
        "_published_live",
        "_random",
        "_send_tasks",
        "_subscribers",
        "_vms_by_id",
    )

    def __init__(
        self,
        home: keys.Home,
        data_centre: str,
        peers: peers_port.Peers,
        clock: clock_port.Clock,
        inbox: mailbox.Mailbox[typing.Any],
        document_loader: mailbox.Mailbox[typing.Any],
        subscribers: tuple[mailbox.Mailbox[typing.Any], ...],
    ) -> None:
        """Creates the task's state.

        Args:
            home: This daemon.
            data_centre: The data centre of this daemon.
            peers: The client for other daemons.
            clock: The clock of heartbeats.
            inbox: This task's mailbox.
            document_loader: The mailbox that is told of peers with a newer
                document.
            subscribers: The mailboxes that get changes of the live daemons
                and of freshness.
        """
        self._data_centre = data_centre
        self._peers = peers
        self._clock = clock
        self._mailbox = inbox
        self._document_loader = document_loader
        self._subscribers = subscribers
        self._membership = fleet_membership.Membership(home, clock.now_s())
        self._random = random.Random()
        self._document_version = 0
        self._ledger_revision = 0
        self._next_peer_fetch_s = 0.0
        self._last_store_response_s = clock.now_s()
        self._is_fresh = True
        self._adopted: tuple[keys.Home, ...] = ()
        self._vms_by_id: dict[str, vms.Vm] = {}
        self._has_vms = False
        self._send_tasks: set[asyncio.Task[None]] = set()
        self._published_live: list[str] = []

    @property
    def membership(self) -> fleet_membership.Membership:
        """The fleet membership, for status pages."""
        return self._membership

    async def run(self) -> None:
        """Handles messages until cancelled."""
        try:
            while True:
                self._handle(await self._mailbox.receive())
        finally:
            for task in self._send_tasks:
                task.cancel()

    def on_round_due(self) -> None:
        """Sends the heartbeats of one round."""
        self._membership.expire_adoptions(self._clock.now_s())
        self._send_heartbeats(self._membership.heartbeat_targets(self._random))
        self._update_freshness()
        self._publish_members()

    def on_heartbeat_arrived(self, message: events.HeartbeatArrived) -> None:
        """Applies a heartbeat of a peer and replies to it.

        Args:
            message: The heartbeat and the future of the reply.
        """
        self._apply_heartbeat(message.heartbeat)
        if not message.reply.done():
            message.reply.set_result(self._own_heartbeat())

    def on_heartbeat_response(self, message: events.HeartbeatResponse) -> None:
        """Handles the reply of a peer to a heartbeat, or its absence.

        Args:
            message: The peer and its reply, if there is one.
        """
        if message.heartbeat is None:
            now_s = self._clock.now_s()
            self._membership.on_missing_reply(message.peer_id, now_s)
        else:
            self._membership.on_reply(message.peer_id)
            self._apply_heartbeat(message.heartbeat)
        self._publish_members()

    def on_vms_changed(self, message: events.VmsChanged) -> None:
        """Applies a change of the VM list.

        Args:
            message: The new list.
        """
        self._vms_by_id = message.table.by_id
        self._membership.set_vms(message.table.entry_vms, self._clock.now_s())
        if not self._has_vms:
            # Learn the current versions right after the start instead of
            # in the next round.
            self._has_vms = True
            self._send_heartbeats(
                self._membership.heartbeat_targets(self._random)
            )
        self._publish_members()

    def on_document_changed(self, new_document: document.Document) -> None:
        """Sends heartbeats with the new document version to a few peers.

        Args:
            new_document: The new document.
        """
        self._document_version = new_document.version
        self._send_update()

    def on_ledger_changed(self, message: events.LedgerChanged) -> None:
        """Sends heartbeats with a newer ledger revision to a few peers.

        Args:
            message: The changed ledger.
        """
        if message.ledger.revision > self._ledger_revision:
            self._ledger_revision = message.ledger.revision
            self._send_update()

    def on_record_table_adopted(
        self, message: events.RecordTableAdopted
    ) -> None:
        """Announces that this daemon took over the records of a home.

        Args:
            message: The home's records.
        """
        if message.record_table.home not in self._adopted:
            # A heartbeat lists at most the 64 homes adopted last.
            self._adopted = (*self._adopted, message.record_table.home)[-64:]
        self._send_heartbeats(self._membership.heartbeat_targets(self._random))

    def on_leave_began(self) -> None:
        """Announces to all peers that this daemon leaves the fleet."""
        self._membership.leave()
        self._send_heartbeats(list(self._membership.peers))
        self._publish_members()

    def _handle(self, message: typing.Any) -> None:
        if isinstance(message, events.RoundDue):
            self.on_round_due()
        elif isinstance(message, events.HeartbeatArrived):
            self.on_heartbeat_arrived(message)
        elif isinstance(message, events.HeartbeatResponse):
            self.on_heartbeat_response(message)
        elif isinstance(message, events.VmsChanged):
            self.on_vms_changed(message)
        elif isinstance(message, events.StoreResponded):
            self._last_store_response_s = message.at_s
            self._update_freshness()
        elif isinstance(message, events.DocumentChanged):
            self.on_document_changed(message.document)
        elif isinstance(message, events.LedgerChanged):
            self.on_ledger_changed(message)
        elif isinstance(message, events.RecordTableAdopted):
            self.on_record_table_adopted(message)
        elif isinstance(message, events.LeaveBegan):
            self.on_leave_began()

    def _apply_heartbeat(self, heartbeat: fleet_membership.Heartbeat) -> None:
        self._membership.on_heartbeat(heartbeat, self._clock.now_s())
        self._update_freshness()
        peer_is_ahead = (
            heartbeat.document_version > self._document_version
            or heartbeat.ledger_revision > self._ledger_revision
        )
        now_s = self._clock.now_s()
        vm = self._vms_by_id.get(heartbeat.home.daemon_id)
        if not peer_is_ahead or vm is None or now_s < self._next_peer_fetch_s:
            return
        # After a change many peers are ahead at the same time, but fetching
        # from one of them is enough.
        self._next_peer_fetch_s = now_s + PEER_FETCH_INTERVAL_S
        self._document_loader.force(events.PeerAhead(vm))

    def _send_update(self) -> None:
        ids = list(self._membership.peers)
        count = min(UPDATE_FANOUT, len(ids))
        self._send_heartbeats(self._random.sample(ids, count))

    def _own_heartbeat(self) -> fleet_membership.Heartbeat:
        return fleet_membership.Heartbeat(
            self._membership.own,
            self._membership.counter,
            self._membership.own_state,
            self._document_version,
            self._ledger_revision,
            self._clock.now_s() - self._last_store_response_s,
            self._adopted,
            self._membership.take_updates(),
        )

    def _send_heartbeats(self, peer_ids: list[str]) -> None:
        for peer_id in peer_ids:
            self._membership.on_heartbeat_sent(peer_id, self._clock.now_s())
            vm = self._membership.peers[peer_id].vm
            task = asyncio.get_running_loop().create_task(self._send(vm))
            self._send_tasks.add(task)
            task.add_done_callback(self._send_tasks.discard)

    async def _send(self, vm: vms.Vm) -> None:
        response = None
        try:
            response = await self._peers.heartbeat(vm, self._own_heartbeat())
        except (
            peers_port.PeerUnreachableError,
            peers_port.PeerNoResponseError,
        ) as error:
            _log.debug("no heartbeat response", peer=vm.id, error=str(error))
        self._mailbox.force(events.HeartbeatResponse(vm.id, response))

    def _update_freshness(self) -> None:
        """Publishes whether the document can be assumed to be current.

        The document is fresh while the store or a peer has responded within
        the last STALE_AFTER_S seconds, since either would report a newer
        version. A daemon without peers is always fresh.
        """
        last_contact_s = max(
            self._last_store_response_s, self._membership.last_heartbeat_s
        )
        is_alone = not self._membership.peers
        is_fresh = (
            is_alone or self._clock.now_s() - last_contact_s <= STALE_AFTER_S
        )
        if is_fresh == self._is_fresh:
            return
        self._is_fresh = is_fresh
        _log.warning("freshness changed", is_fresh=is_fresh)
        for subscriber in self._subscribers:
            subscriber.force(events.FreshnessChanged(is_fresh))

    def _publish_members(self) -> None:
        live = sorted(self._membership.live_daemons())
        if live == self._published_live:
            return
        self._published_live = live
        data_centres = {
            m: v.vm.data_centre for m, v in self._membership.peers.items()
        }
        data_centres[self._membership.own.daemon_id] = self._data_centre
        for subscriber in self._subscribers:
            subscriber.force(
                events.MembersChanged(
                    live, data_centres, self._membership.adopters
                )
            )
