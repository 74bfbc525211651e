"""Which daemons are live, learned from heartbeats and rumours.

The platform's list says which daemons may exist. Each daemon exchanges
heartbeats with a few ring neighbours and one random peer; what it finds
travels as rumours on the heartbeats of all (after SWIM, Das et al., 2002). A
rumour of suspicion is refuted by its subject with a higher counter.
"""

from __future__ import annotations

import enum
import math
import typing

from dotterelpath.domain import hashing
from dotterelpath.domain import keys
from dotterelpath.domain import vms
from dotterelpath.ports import randomness

RING_NEIGHBOURS = 3
SUSPECT_AFTER_S = 3.0
RUMOURS_PER_HEARTBEAT = 8
RUMOUR_RESENDS_PER_LOG2 = 3
WITNESSES = 2
ADOPTION_KEPT_S = 900.0


class MemberState(enum.Enum):
    """What the fleet says of a daemon."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    LEAVING = "leaving"


class Rumour:
    """One daemon's word on another, or on itself."""

    __slots__ = ("counter", "incarnation", "state", "subject", "witness")

    def __init__(
        self,
        subject: str,
        incarnation: str,
        counter: int,
        state: MemberState,
        witness: str,
    ) -> None:
        """Creates a rumour.

        Args:
            subject: The daemon that it is about.
            incarnation: The subject's incarnation, empty if never heard.
            counter: The subject's own counter, by which newer words win.
            state: What is said.
            witness: The daemon that says so.
        """
        self.subject = subject
        self.incarnation = incarnation
        self.counter = counter
        self.state = state
        self.witness = witness

    @property
    def age(self) -> tuple[str, int]:
        """Orders words on one subject: a later one is greater."""
        return self.incarnation, self.counter


class Heartbeat:
    """What a daemon tells a peer of itself."""

    __slots__ = (
        "adopted",
        "counter",
        "document_version",
        "home",
        "ledger_revision",
        "rumours",
        "state",
        "store_age_s",
    )

    def __init__(
        self,
        home: keys.Home,
        counter: int,
        state: MemberState,
        document_version: int,
        ledger_revision: int,
        store_age_s: float,
        adopted: tuple[keys.Home, ...],
        rumours: tuple[Rumour, ...],
    ) -> None:
        """Creates a heartbeat.

        Args:
            home: The sender's id and incarnation.
            counter: The sender's counter.
            state: ALIVE or LEAVING.
            document_version: The document version in force at the sender.
            ledger_revision: The store's newest revision of any ledger that
                the sender knows.
            store_age_s: Seconds since the sender last heard from the store.
            adopted: Homes for which the sender answers.
            rumours: News about other daemons.
        """
        self.home = home
        self.counter = counter
        self.state = state
        self.document_version = document_version
        self.ledger_revision = ledger_revision
        self.store_age_s = store_age_s
        self.adopted = adopted
        self.rumours = rumours


class Member:
    """One daemon of the platform's list, as this daemon sees it."""

    __slots__ = (
        "asked_s",
        "counter",
        "document_version",
        "heard_s",
        "incarnation",
        "state",
        "vm",
        "witnesses",
    )

    def __init__(self, vm: vms.Vm, now_s: float) -> None:
        """Creates a member that has not been heard yet.

        Args:
            vm: The platform's entry.
            now_s: A monotonic clock, in seconds.
        """
        self.vm = vm
        self.state = MemberState.ALIVE
        self.incarnation = ""
        self.counter = 0
        self.heard_s = now_s
        self.asked_s: float | None = None
        self.witnesses: set[str] = set()
        self.document_version = 0

    @property
    def age(self) -> tuple[str, int]:
        """The newest incarnation and counter that were heard of."""
        return self.incarnation, self.counter


class _Pending:
    """A rumour with the sendings that it has left."""

    __slots__ = ("left", "rumour")

    def __init__(self, rumour: Rumour, left: int) -> None:
        self.rumour = rumour
        self.left = left


class Membership:
    """The daemons of the fleet."""

    __slots__ = (
        "_adoptions",
        "_counter",
        "_members",
        "_own",
        "_own_state",
        "_pending",
        "last_peer_s",
    )

    def __init__(self, own: keys.Home, now_s: float) -> None:
        """Creates the view of a daemon that just started.

        Args:
            own: This daemon.
            now_s: A monotonic clock, in seconds.
        """
        self._own = own
        self._own_state = MemberState.ALIVE
        self._counter = 1
        self._members: dict[str, Member] = {}
        self._pending: dict[str, _Pending] = {}
        self._adoptions: dict[keys.Home, tuple[str, float]] = {}
        self.last_peer_s = -math.inf

    @property
    def members(self) -> dict[str, Member]:
        """All other daemons by id."""
        return self._members

    @property
    def own(self) -> keys.Home:
        """This daemon."""
        return self._own

    @property
    def own_state(self) -> MemberState:
        """What this daemon says of itself."""
        return self._own_state

    @property
    def counter(self) -> int:
        """This daemon's counter, which refutes older rumours."""
        return self._counter

    def leave(self) -> None:
        """Begins to tell the others that this daemon leaves."""
        self._own_state = MemberState.LEAVING
        self._counter += 1
        self._spread(self._own_rumour())

    def set_vms(self, listed: typing.Iterable[vms.Vm], now_s: float) -> None:
        """Takes in the platform's list.

        Args:
            listed: The entry VMs, this daemon's own among them.
            now_s: A monotonic clock, in seconds.
        """
        known = {vm.id: vm for vm in listed if vm.id != self._own.daemon_id}
        for member_id in [m for m in self._members if m not in known]:
            del self._members[member_id]
        for member_id, vm in known.items():
            member = self._members.get(member_id)
            if member is None:
                self._members[member_id] = Member(vm, now_s)
            else:
                member.vm = vm

    def live(self) -> list[str]:
        """Lists the daemons that callers may be sent to, this one included.

        Returns:
            The ids of those neither suspected nor leaving.
        """
        found = [
            member_id
            for member_id, member in self._members.items()
            if member.state is MemberState.ALIVE
            and member.vm.state is vms.VmState.LIVE
        ]
        if self._own_state is MemberState.ALIVE:
            found.append(self._own.daemon_id)
        return found

    def targets(self, random: randomness.RandomSource) -> list[str]:
        """Chooses the peers of this round's heartbeats.

        Args:
            random: The random numbers.

        Returns:
            The next neighbours on the ring of ids, and one random peer.
        """
        ids = sorted(self._members)
        if not ids:
            return []
        after = [m for m in ids if m > self._own.daemon_id]
        ring = (after + ids)[: min(RING_NEIGHBOURS, len(ids))]
        drawn = ids[random.randrange(len(ids))]
        return ring if drawn in ring else [*ring, drawn]

    def asked(self, member_id: str, now_s: float) -> None:
        """Notes a heartbeat that was sent.

        Args:
            member_id: The peer.
            now_s: A monotonic clock, in seconds.
        """
        member = self._members.get(member_id)
        if member is not None and member.asked_s is None:
            member.asked_s = now_s

    def on_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Takes in a peer's heartbeat or its reply to one.

        Args:
            heartbeat: What the peer says.
            now_s: A monotonic clock, in seconds.
        """
        self.last_peer_s = now_s
        for home in heartbeat.adopted:
            self._adoptions[home] = (heartbeat.home.daemon_id, now_s)
        for rumour in heartbeat.rumours:
            self._on_rumour(rumour)
        member = self._members.get(heartbeat.home.daemon_id)
        if member is None:
            return
        # A first hearing is no news to others: they take any incarnation.
        is_restart = member.incarnation not in (
            "",
            heartbeat.home.incarnation,
        )
        changed = is_restart or member.state is not heartbeat.state
        member.heard_s = now_s
        member.incarnation = heartbeat.home.incarnation
        member.counter = heartbeat.counter
        member.document_version = heartbeat.document_version
        member.state = heartbeat.state
        member.witnesses.clear()
        if changed:
            self._spread(
                Rumour(
                    heartbeat.home.daemon_id,
                    heartbeat.home.incarnation,
                    heartbeat.counter,
                    heartbeat.state,
                    self._own.daemon_id,
                )
            )

    def on_reply(self, member_id: str) -> None:
        """Notes that a peer answered a heartbeat.

        Args:
            member_id: The peer.
        """
        member = self._members.get(member_id)
        if member is not None:
            member.asked_s = None

    def on_silence(self, member_id: str, now_s: float) -> None:
        """Takes in that a peer did not answer a heartbeat.

        Args:
            member_id: The peer.
            now_s: A monotonic clock, in seconds.
        """
        member = self._members.get(member_id)
        if member is None or member.asked_s is None:
            return
        if now_s - member.asked_s < SUSPECT_AFTER_S:
            return
        rumour = Rumour(
            member_id,
            member.incarnation,
            member.counter,
            MemberState.SUSPECTED,
            self._own.daemon_id,
        )
        self._suspect(member, rumour)

    @property
    def adopters(self) -> dict[keys.Home, str]:
        """The daemon that answers for each home that stopped."""
        return {home: found[0] for home, found in self._adoptions.items()}

    def take_rumours(self) -> tuple[Rumour, ...]:
        """Takes the news for one heartbeat, the least sent first."""
        ordered = sorted(self._pending.items(), key=lambda item: -item[1].left)
        chosen = ordered[:RUMOURS_PER_HEARTBEAT]
        for name, pending in chosen:
            pending.left -= 1
            if pending.left <= 0:
                del self._pending[name]
        return tuple(pending.rumour for _, pending in chosen)

    def forget_old_adoptions(self, now_s: float) -> None:
        """Drops adoptions that no daemon has named for long.

        Args:
            now_s: A monotonic clock, in seconds.
        """
        for home, (_, seen_s) in list(self._adoptions.items()):
            if now_s - seen_s > ADOPTION_KEPT_S:
                del self._adoptions[home]

    def successors(self) -> list[str]:
        """Orders the live peers that may take over this daemon's records."""
        own = self._own.daemon_id
        return hashing.ranked(own, [m for m in self.live() if m != own])

    def _on_rumour(self, rumour: Rumour) -> None:
        if rumour.subject == self._own.daemon_id:
            self._refute(rumour)
            return
        member = self._members.get(rumour.subject)
        if member is None or rumour.age < member.age:
            return
        is_newer = rumour.age > member.age
        if is_newer:
            member.incarnation, member.counter = rumour.age
            member.witnesses.clear()
        if rumour.state is MemberState.SUSPECTED:
            self._suspect(member, rumour)
        elif is_newer:
            member.state = rumour.state
            self._spread(rumour)

    def _suspect(self, member: Member, rumour: Rumour) -> None:
        if rumour.witness in member.witnesses:
            return
        member.witnesses.add(rumour.witness)
        self._spread(rumour)
        if len(member.witnesses) >= min(WITNESSES, len(self._members)):
            member.state = MemberState.SUSPECTED

    def _refute(self, rumour: Rumour) -> None:
        if rumour.state is not MemberState.SUSPECTED:
            return
        if rumour.incarnation not in ("", self._own.incarnation):
            return
        if rumour.counter >= self._counter:
            self._counter = rumour.counter + 1
            self._spread(self._own_rumour())

    def _own_rumour(self) -> Rumour:
        return Rumour(
            self._own.daemon_id,
            self._own.incarnation,
            self._counter,
            self._own_state,
            self._own.daemon_id,
        )

    def _spread(self, rumour: Rumour) -> None:
        rounds = math.ceil(math.log2(len(self._members) + 2))
        name = f"{rumour.subject}/{rumour.witness}"
        self._pending[name] = _Pending(rumour, RUMOUR_RESENDS_PER_LOG2 * rounds)
