"""The task that exchanges heartbeats with other daemons."""

from __future__ import annotations

import asyncio
import random
import typing

import structlog

from dotterelpath.domain import document
from dotterelpath.domain import keys
from dotterelpath.domain import members
from dotterelpath.domain import vms
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import peers as peers_port
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox

ROUND_S = 1.0
STALE_AFTER_S = 5.0
PUSH_FANOUT = 4
ASK_EVERY_S = 0.2

_log = structlog.get_logger()


class Gossip:
    """Owns the membership and tells the other tasks who is live."""

    __slots__ = (
        "_adopted",
        "_clock",
        "_data_centre",
        "_document_version",
        "_is_fresh",
        "_keeper",
        "_ledger_revision",
        "_listed",
        "_mailbox",
        "_membership",
        "_next_ask_s",
        "_peers",
        "_random",
        "_readers",
        "_seen",
        "_sending",
        "_store_s",
        "_vms_known",
    )

    def __init__(
        self,
        home: keys.Home,
        data_centre: str,
        peers: peers_port.Peers,
        clock: clock_port.Clock,
        inbox: mailbox.Mailbox[typing.Any],
        keeper: mailbox.Mailbox[typing.Any],
        readers: tuple[mailbox.Mailbox[typing.Any], ...],
    ) -> None:
        """Creates the task's state.

        Args:
            home: This daemon.
            data_centre: Where it stands.
            peers: The other daemons.
            clock: Tells the time.
            inbox: This task's mailbox.
            keeper: Hears of peers with a newer document.
            readers: Hear who is live and whether this daemon is fresh.
        """
        self._data_centre = data_centre
        self._peers = peers
        self._clock = clock
        self._mailbox = inbox
        self._keeper = keeper
        self._readers = readers
        self._membership = members.Membership(home, clock.now_s())
        self._random = random.Random()
        self._document_version = 0
        self._ledger_revision = 0
        self._next_ask_s = 0.0
        self._store_s = clock.now_s()
        self._is_fresh = True
        self._adopted: tuple[keys.Home, ...] = ()
        self._listed: dict[str, vms.Vm] = {}
        self._vms_known = False
        self._sending: set[asyncio.Task[None]] = set()
        self._seen: list[str] = []

    @property
    def membership(self) -> members.Membership:
        """The view of the fleet, for reports on the daemon's state."""
        return self._membership

    async def run(self) -> None:
        """Handles messages until cancelled."""
        try:
            while True:
                self._handle(await self._mailbox.receive())
        finally:
            for task in self._sending:
                task.cancel()

    def on_round_due(self) -> None:
        """Sends this round's heartbeats."""
        self._membership.expire_adoptions(self._clock.now_s())
        self._push(self._membership.heartbeat_targets(self._random))
        self._check_fresh()
        self._tell_members()

    def on_heartbeat_arrived(self, message: events.HeartbeatArrived) -> None:
        """Takes in a peer's heartbeat and answers it.

        Args:
            message: The heartbeat.
        """
        self._take_in(message.heartbeat)
        if not message.reply.done():
            message.reply.set_result(self._own_heartbeat())

    def on_heartbeat_response(self, message: events.HeartbeatResponse) -> None:
        """Takes in a peer's answer or its silence.

        Args:
            message: What the peer said.
        """
        if message.heartbeat is None:
            now_s = self._clock.now_s()
            self._membership.on_missing_reply(message.member_id, now_s)
        else:
            self._membership.on_reply(message.member_id)
            self._take_in(message.heartbeat)
        self._tell_members()

    def on_vms_changed(self, message: events.VmsChanged) -> None:
        """Takes in the platform's list.

        Args:
            message: The list.
        """
        self._listed = message.table.listed
        self._membership.set_vms(message.table.entry, self._clock.now_s())
        if not self._vms_known:
            # A daemon that just started asks at once what is in force.
            self._vms_known = True
            self._push(self._membership.heartbeat_targets(self._random))
        self._tell_members()

    def on_document_changed(self, document_in_force: document.Document) -> None:
        """Tells a few peers at once that there is a newer document.

        Args:
            document_in_force: The document.
        """
        self._document_version = document_in_force.version
        self._push_news()

    def on_ledger_changed(self, message: events.LedgerChanged) -> None:
        """Tells a few peers at once that ejections changed.

        Args:
            message: The ledger.
        """
        if message.ledger.revision > self._ledger_revision:
            self._ledger_revision = message.ledger.revision
            self._push_news()

    def on_book_adopted(self, message: events.BookAdopted) -> None:
        """Tells peers that this daemon answers for a stopped home.

        Args:
            message: The home's records.
        """
        if message.book.home not in self._adopted:
            self._adopted = (*self._adopted, message.book.home)[-64:]
        self._push(self._membership.heartbeat_targets(self._random))

    def on_leave_began(self) -> None:
        """Tells all peers that this daemon leaves."""
        self._membership.leave()
        self._push(list(self._membership.peers))
        self._tell_members()

    def _handle(self, message: typing.Any) -> None:
        if isinstance(message, events.RoundDue):
            self.on_round_due()
        elif isinstance(message, events.HeartbeatArrived):
            self.on_heartbeat_arrived(message)
        elif isinstance(message, events.HeartbeatResponse):
            self.on_heartbeat_response(message)
        elif isinstance(message, events.VmsChanged):
            self.on_vms_changed(message)
        elif isinstance(message, events.StoreHeard):
            self._store_s = message.at_s
            self._check_fresh()
        elif isinstance(message, events.DocumentChanged):
            self.on_document_changed(message.document)
        elif isinstance(message, events.LedgerChanged):
            self.on_ledger_changed(message)
        elif isinstance(message, events.BookAdopted):
            self.on_book_adopted(message)
        elif isinstance(message, events.LeaveBegan):
            self.on_leave_began()

    def _take_in(self, heartbeat: members.Heartbeat) -> None:
        self._membership.on_heartbeat(heartbeat, self._clock.now_s())
        self._check_fresh()
        is_ahead = (
            heartbeat.document_version > self._document_version
            or heartbeat.ledger_revision > self._ledger_revision
        )
        now_s = self._clock.now_s()
        vm = self._listed.get(heartbeat.home.daemon_id)
        if not is_ahead or vm is None or now_s < self._next_ask_s:
            return
        # Many peers are ahead at once after a change; one is enough to ask.
        self._next_ask_s = now_s + ASK_EVERY_S
        self._keeper.force(events.PeerAhead(vm))

    def _push_news(self) -> None:
        ids = list(self._membership.peers)
        count = min(PUSH_FANOUT, len(ids))
        self._push(self._random.sample(ids, count))

    def _own_heartbeat(self) -> members.Heartbeat:
        return members.Heartbeat(
            self._membership.own,
            self._membership.counter,
            self._membership.own_state,
            self._document_version,
            self._ledger_revision,
            self._clock.now_s() - self._store_s,
            self._adopted,
            self._membership.take_updates(),
        )

    def _push(self, member_ids: list[str]) -> None:
        for member_id in member_ids:
            self._membership.on_heartbeat_sent(member_id, self._clock.now_s())
            vm = self._membership.peers[member_id].vm
            task = asyncio.get_running_loop().create_task(self._send(vm))
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)

    async def _send(self, vm: vms.Vm) -> None:
        response = None
        try:
            response = await self._peers.heartbeat(vm, self._own_heartbeat())
        except (
            peers_port.PeerUnreachableError,
            peers_port.PeerNoResponseError,
        ) as error:
            _log.debug("peer silent", peer=vm.id, error=str(error))
        self._mailbox.force(events.HeartbeatResponse(vm.id, response))

    def _check_fresh(self) -> None:
        """Judges whether an accepted edit would have been heard of."""
        heard_s = max(self._store_s, self._membership.last_heartbeat_s)
        is_alone = not self._membership.peers
        is_fresh = is_alone or self._clock.now_s() - heard_s <= STALE_AFTER_S
        if is_fresh == self._is_fresh:
            return
        self._is_fresh = is_fresh
        _log.warning("freshness changed", is_fresh=is_fresh)
        for reader in self._readers:
            reader.force(events.FreshnessChanged(is_fresh))

    def _tell_members(self) -> None:
        live = sorted(self._membership.live_daemons())
        if live == self._seen:
            return
        self._seen = live
        places = {
            m: v.vm.data_centre for m, v in self._membership.peers.items()
        }
        places[self._membership.own.daemon_id] = self._data_centre
        for reader in self._readers:
            reader.force(
                events.MembersChanged(live, places, self._membership.adopters)
            )
