"""Tracks which daemons of the fleet are live, by gossip.

The platform's list defines which daemons exist. Each daemon exchanges
heartbeats with a few peers that follow it on a ring of ids, and with one
random peer. Changes of a daemon's state spread as membership updates on all
heartbeats, as in SWIM (Das et al., 2002). A daemon refutes a suspicion of
itself by an update with a higher counter.
"""

from __future__ import annotations

import enum
import math
import typing

from dotterelpath.domain import hashing
from dotterelpath.domain import keys
from dotterelpath.domain import vms
from dotterelpath.ports import randomness

# Peers on the ring of ids that get each heartbeat.
RING_PEERS = 3
# A daemon suspects a peer that leaves heartbeats unanswered for this long.
SUSPECT_AFTER_S = 3.0
MAX_UPDATES_PER_HEARTBEAT = 8
# An update is sent in this number of heartbeats, times the binary logarithm of
# the fleet's size.
UPDATE_SENDS_PER_LOG2 = 3
# Number of daemons that must suspect a peer before it counts as suspected.
SUSPICION_QUORUM = 2
# A peer may adopt the records of a stopped daemon. The adoption is forgotten if
# no heartbeat names it for this long.
ADOPTION_TTL_S = 900.0


class DaemonState(enum.Enum):
    """State of a daemon as the fleet sees it."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    LEAVING = "leaving"


class MembershipUpdate:
    """State of one daemon, as reported by itself or by a peer."""

    __slots__ = ("counter", "incarnation", "reporter", "state", "subject")

    def __init__(
        self,
        subject: str,
        incarnation: str,
        counter: int,
        state: DaemonState,
        reporter: str,
    ) -> None:
        """Creates an update.

        Args:
            subject: Id of the daemon whose state is reported.
            incarnation: The subject's incarnation; empty if the reporter has
                never received a heartbeat from it.
            counter: The subject's own counter; within an incarnation, the
                update with the higher counter wins.
            state: The reported state.
            reporter: Id of the daemon that reports the state.
        """
        self.subject = subject
        self.incarnation = incarnation
        self.counter = counter
        self.state = state
        self.reporter = reporter

    @property
    def version(self) -> tuple[str, int]:
        """Sort key of the updates on one subject; newer is greater."""
        return self.incarnation, self.counter


class Heartbeat:
    """Message in which a daemon sends a peer its state and recent updates."""

    __slots__ = (
        "adopted",
        "counter",
        "document_version",
        "home",
        "ledger_revision",
        "state",
        "store_age_s",
        "updates",
    )

    def __init__(
        self,
        home: keys.Home,
        counter: int,
        state: DaemonState,
        document_version: int,
        ledger_revision: int,
        store_age_s: float,
        adopted: tuple[keys.Home, ...],
        updates: tuple[MembershipUpdate, ...],
    ) -> None:
        """Creates a heartbeat.

        Args:
            home: The sender's id and incarnation.
            counter: The sender's counter.
            state: ALIVE or LEAVING.
            document_version: The document version in force at the sender.
            ledger_revision: The highest store revision of any ledger that
                the sender knows.
            store_age_s: Seconds since the store last replied to the sender.
            adopted: Homes whose records the sender has taken over.
            updates: Membership updates on other daemons.
        """
        self.home = home
        self.counter = counter
        self.state = state
        self.document_version = document_version
        self.ledger_revision = ledger_revision
        self.store_age_s = store_age_s
        self.adopted = adopted
        self.updates = updates


class Peer:
    """State of another daemon of the platform's list."""

    __slots__ = (
        "counter",
        "document_version",
        "incarnation",
        "last_heard_s",
        "state",
        "suspected_by",
        "unanswered_since_s",
        "vm",
    )

    def __init__(self, vm: vms.Vm, now_s: float) -> None:
        """Creates a peer from which no heartbeat has arrived yet.

        Args:
            vm: The platform's entry for the daemon's VM.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self.vm = vm
        self.state = DaemonState.ALIVE
        self.incarnation = ""
        self.counter = 0
        self.last_heard_s = now_s
        self.unanswered_since_s: float | None = None
        self.suspected_by: set[str] = set()
        self.document_version = 0

    @property
    def version(self) -> tuple[str, int]:
        """The newest known incarnation and counter, comparable as a pair."""
        return self.incarnation, self.counter


class _QueuedUpdate:
    """An update and the number of heartbeats that still carry it."""

    __slots__ = ("sends_left", "update")

    def __init__(self, update: MembershipUpdate, sends_left: int) -> None:
        self.update = update
        self.sends_left = sends_left


class Membership:
    """The daemons of the fleet, as one daemon sees them."""

    __slots__ = (
        "_adoptions",
        "_counter",
        "_own",
        "_own_state",
        "_peers",
        "_queued",
        "last_heartbeat_s",
    )

    def __init__(self, own: keys.Home, now_s: float) -> None:
        """Creates the membership as known to a daemon that has just started.

        Args:
            own: This daemon's id and incarnation.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._own = own
        self._own_state = DaemonState.ALIVE
        self._counter = 1
        self._peers: dict[str, Peer] = {}
        self._queued: dict[str, _QueuedUpdate] = {}
        self._adoptions: dict[keys.Home, tuple[str, float]] = {}
        self.last_heartbeat_s = -math.inf

    @property
    def peers(self) -> dict[str, Peer]:
        """All other daemons by id."""
        return self._peers

    @property
    def own(self) -> keys.Home:
        """This daemon's id and incarnation."""
        return self._own

    @property
    def own_state(self) -> DaemonState:
        """The state that this daemon reports of itself."""
        return self._own_state

    @property
    def counter(self) -> int:
        """This daemon's counter; raising it refutes older suspicions."""
        return self._counter

    def leave(self) -> None:
        """Marks this daemon as leaving and queues an update for its peers."""
        self._own_state = DaemonState.LEAVING
        self._counter += 1
        self._queue_update(self._own_update())

    def set_vms(self, listed: typing.Iterable[vms.Vm], now_s: float) -> None:
        """Adds, updates and removes peers by the platform's list.

        Args:
            listed: The entry VMs, including this daemon's own.
            now_s: The current time on the monotonic clock, in seconds.
        """
        listed_by_id = {
            vm.id: vm for vm in listed if vm.id != self._own.daemon_id
        }
        for peer_id in [
            peer_id for peer_id in self._peers if peer_id not in listed_by_id
        ]:
            del self._peers[peer_id]
        for peer_id, vm in listed_by_id.items():
            peer = self._peers.get(peer_id)
            if peer is None:
                self._peers[peer_id] = Peer(vm, now_s)
            else:
                peer.vm = vm

    def live_daemons(self) -> list[str]:
        """Lists the daemons that may serve callers, including this one.

        Returns:
            Ids of the daemons that are neither suspected nor leaving.
        """
        found = [
            peer_id
            for peer_id, peer in self._peers.items()
            if peer.state is DaemonState.ALIVE
            and peer.vm.state is vms.VmState.LIVE
        ]
        if self._own_state is DaemonState.ALIVE:
            found.append(self._own.daemon_id)
        return found

    def heartbeat_targets(self, random: randomness.RandomSource) -> list[str]:
        """Chooses the peers that get a heartbeat in this round.

        Args:
            random: Source of random numbers.

        Returns:
            Ids of the next peers on the ring of ids, and of one random peer.
        """
        ids = sorted(self._peers)
        if not ids:
            return []
        after = [peer_id for peer_id in ids if peer_id > self._own.daemon_id]
        ring = (after + ids)[: min(RING_PEERS, len(ids))]
        random_peer = ids[random.randrange(len(ids))]
        return ring if random_peer in ring else [*ring, random_peer]

    def on_heartbeat_sent(self, peer_id: str, now_s: float) -> None:
        """Records that a heartbeat was sent to a peer.

        Args:
            peer_id: The peer.
            now_s: The current time on the monotonic clock, in seconds.
        """
        peer = self._peers.get(peer_id)
        if peer is not None and peer.unanswered_since_s is None:
            peer.unanswered_since_s = now_s

    def on_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Applies a heartbeat of a peer, or a peer's reply to a heartbeat.

        Args:
            heartbeat: The heartbeat.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self.last_heartbeat_s = now_s
        for home in heartbeat.adopted:
            self._adoptions[home] = (heartbeat.home.daemon_id, now_s)
        for update in heartbeat.updates:
            self._apply_update(update)
        peer = self._peers.get(heartbeat.home.daemon_id)
        if peer is None:
            return
        # The first known incarnation of a peer needs no update: other daemons
        # learn that incarnation from the peer's own heartbeats.
        is_restart = peer.incarnation not in (
            "",
            heartbeat.home.incarnation,
        )
        has_changed = is_restart or peer.state is not heartbeat.state
        peer.last_heard_s = now_s
        peer.incarnation = heartbeat.home.incarnation
        peer.counter = heartbeat.counter
        peer.document_version = heartbeat.document_version
        peer.state = heartbeat.state
        peer.suspected_by.clear()
        if has_changed:
            self._queue_update(
                MembershipUpdate(
                    heartbeat.home.daemon_id,
                    heartbeat.home.incarnation,
                    heartbeat.counter,
                    heartbeat.state,
                    self._own.daemon_id,
                )
            )

    def on_reply(self, peer_id: str) -> None:
        """Records that a peer replied to a heartbeat.

        Args:
            peer_id: The peer.
        """
        peer = self._peers.get(peer_id)
        if peer is not None:
            peer.unanswered_since_s = None

    def on_missing_reply(self, peer_id: str, now_s: float) -> None:
        """Suspects a peer that has left heartbeats unanswered for too long.

        Args:
            peer_id: The peer.
            now_s: The current time on the monotonic clock, in seconds.
        """
        peer = self._peers.get(peer_id)
        if peer is None or peer.unanswered_since_s is None:
            return
        if now_s - peer.unanswered_since_s < SUSPECT_AFTER_S:
            return
        update = MembershipUpdate(
            peer_id,
            peer.incarnation,
            peer.counter,
            DaemonState.SUSPECTED,
            self._own.daemon_id,
        )
        self._suspect(peer, update)

    @property
    def adopters(self) -> dict[keys.Home, str]:
        """Id of the daemon that took over the records of each stopped home."""
        return {home: found[0] for home, found in self._adoptions.items()}

    def take_updates(self) -> tuple[MembershipUpdate, ...]:
        """Returns the updates for one heartbeat, the least sent first.

        Updates that have been sent often enough are dropped.
        """
        ordered = sorted(
            self._queued.items(), key=lambda item: -item[1].sends_left
        )
        chosen = ordered[:MAX_UPDATES_PER_HEARTBEAT]
        for update_key, queued in chosen:
            queued.sends_left -= 1
            if queued.sends_left <= 0:
                del self._queued[update_key]
        return tuple(queued.update for _, queued in chosen)

    def expire_adoptions(self, now_s: float) -> None:
        """Drops adoptions that no heartbeat has named for ADOPTION_TTL_S.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        for home, (_, seen_s) in list(self._adoptions.items()):
            if now_s - seen_s > ADOPTION_TTL_S:
                del self._adoptions[home]

    def successors(self) -> list[str]:
        """Ranks the live peers that may take over this daemon's records."""
        own = self._own.daemon_id
        return hashing.ranked(
            own,
            [peer_id for peer_id in self.live_daemons() if peer_id != own],
        )

    def _apply_update(self, update: MembershipUpdate) -> None:
        """Applies an update unless newer ones on its subject are known."""
        if update.subject == self._own.daemon_id:
            self._refute(update)
            return
        peer = self._peers.get(update.subject)
        if peer is None or update.version < peer.version:
            return
        is_newer = update.version > peer.version
        if is_newer:
            peer.incarnation, peer.counter = update.version
            peer.suspected_by.clear()
        if update.state is DaemonState.SUSPECTED:
            self._suspect(peer, update)
        elif is_newer:
            peer.state = update.state
            self._queue_update(update)

    def _suspect(self, peer: Peer, update: MembershipUpdate) -> None:
        """Records a suspicion; at the quorum, the peer counts as suspected."""
        if update.reporter in peer.suspected_by:
            return
        peer.suspected_by.add(update.reporter)
        self._queue_update(update)
        if len(peer.suspected_by) >= min(SUSPICION_QUORUM, len(self._peers)):
            peer.state = DaemonState.SUSPECTED

    def _refute(self, update: MembershipUpdate) -> None:
        """Refutes a suspicion of this daemon by a higher counter."""
        if update.state is not DaemonState.SUSPECTED:
            return
        if update.incarnation not in ("", self._own.incarnation):
            return
        if update.counter >= self._counter:
            self._counter = update.counter + 1
            self._queue_update(self._own_update())

    def _own_update(self) -> MembershipUpdate:
        return MembershipUpdate(
            self._own.daemon_id,
            self._own.incarnation,
            self._counter,
            self._own_state,
            self._own.daemon_id,
        )

    def _queue_update(self, update: MembershipUpdate) -> None:
        """Queues an update.

        The update replaces a queued one of the same reporter and subject.
        """
        log2_size = math.ceil(math.log2(len(self._peers) + 2))
        update_key = f"{update.subject}/{update.reporter}"
        self._queued[update_key] = _QueuedUpdate(
            update, UPDATE_SENDS_PER_LOG2 * log2_size
        )
