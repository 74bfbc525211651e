"""Which daemons keep the tenants' quotas together with this one."""

from __future__ import annotations

import math
import typing

from dotterelpath.domain import quota_reports

# Two daemons are in contact while each has received a report of the other
# within this time, in seconds, or within CONTACT_REPORTS reports where many
# daemons serve callers. Single lost datagrams then have no effect. Without
# contact a daemon takes its floor only.
MIN_CONTACT_S = 1.5
CONTACT_REPORTS = 3.5
# What a silent daemon demanded is reserved for this much longer, in seconds:
# it must have gone down to its floor before others use more.
RESERVE_MARGIN_S = 1.0
# A daemon that others hear, but this one does not, counts as cut off from this
# one after this time, in seconds. Lists of heard daemons are as old as a
# heartbeat.
APART_S = 1.0
# Reports are ignored for this time after a pause of the process, in seconds.
# The socket's buffer still has those that arrived before and meanwhile.
HOLD_S = 0.3
# A daemon that does not serve callers is remembered for this time, in seconds:
# as long as the counts that it reported.
STRAY_MEMORY_S = 20.0
# A daemon with requests of tenants reports some of them with each heartbeat. It
# counts as active for this time afterwards, in seconds: three heartbeats.
ACTIVE_S = 1.5
# How long a daemon that begins to serve callers takes its fraction without
# contact, in seconds. The first reports take less; its fraction is its floor.
JOIN_S = 1.0
# The limit of daemons whose reports are kept.
MAX_PEERS = 1024
# The limit of own reports that may still be acknowledged.
MAX_SENT = 64


class Standing:
    """What contact a daemon has with those that share the quotas."""

    __slots__ = (
        "connected",
        "has_quorum",
        "is_alone",
        "is_serving",
        "members",
        "sharing",
    )

    def __init__(
        self,
        members: int,
        connected: int,
        has_quorum: bool,
        is_alone: bool,
        is_serving: bool,
        sharing: int | None = None,
    ) -> None:
        """Creates a standing.

        Args:
            members: How many daemons should share the quotas.
            connected: How many of them are in contact, with this one.
            has_quorum: Whether these are most of them.
            is_alone: Whether this daemon has no contact, or must give way.
            is_serving: Whether this daemon is one of the members.
            sharing: How many members have requests, with this one; all of them
                by default.
        """
        self.sharing = members if sharing is None else sharing
        self.members = members
        self.connected = connected
        self.has_quorum = has_quorum
        self.is_alone = is_alone
        self.is_serving = is_serving


class _Peer:
    """What is known of another daemon."""

    __slots__ = (
        "acknowledged",
        "active_s",
        "contact_s",
        "heard",
        "heard_s",
        "run",
        "seen",
        "since_s",
    )

    def __init__(self, run: int, since_s: float) -> None:
        self.run = run
        # When it last reported requests of a tenant.
        self.active_s = -math.inf
        self.since_s = since_s
        self.seen = 0
        self.heard_s = -math.inf
        # The latest own report that it has, and when that was sent.
        self.acknowledged = 0
        self.contact_s = -math.inf
        self.heard: frozenset[str] = frozenset()


class Peers:
    """The other daemons, their reports and their acknowledgements."""

    __slots__ = (
        "_apart_since_s",
        "_contact_s",
        "_expected",
        "_fields",
        "_is_serving",
        "_joined_s",
        "_own_id",
        "_peers",
        "_resumed_s",
        "_sent_s",
        "_sequence",
        "_settled",
        "_standing",
        "_valid_until_s",
    )

    def __init__(self) -> None:
        """Creates an object that knows no daemons."""
        self._own_id = ""
        self._expected: frozenset[str] = frozenset()
        self._contact_s = MIN_CONTACT_S
        self._is_serving = False
        # When this daemon began to serve callers.
        self._joined_s: float | None = None
        self._peers: dict[str, _Peer] = {}
        self._apart_since_s: dict[str, float] = {}
        self._resumed_s = -math.inf
        self._sequence = 0
        self._sent_s: dict[int, float] = {}
        # None if no daemon must acknowledge reports.
        self._settled: int | None = None
        self._fields = (1, 1, False, True, False, 1)
        self._standing = Standing(*self._fields)
        self._valid_until_s = -math.inf

    @property
    def sequence(self) -> int:
        """The number of the last report of this daemon."""
        return self._sequence

    @property
    def receiver_count(self) -> int:
        """How many daemons get this daemon's reports."""
        return max(1, len(self._expected - {self._own_id}))

    @property
    def contact_s(self) -> float:
        """The time after which a silent daemon is out of contact, in seconds.

        A daemon that is out of contact takes its floor.
        """
        return self._contact_s

    @property
    def _reserve_s(self) -> float:
        return self._contact_s + RESERVE_MARGIN_S

    def set_serving(
        self, own_id: str, serving: typing.Iterable[str], is_serving: bool
    ) -> None:
        """Sets the daemons that should share the quotas.

        Args:
            own_id: The id of this daemon.
            serving: The ids of the serving daemons.
            is_serving: Whether this daemon is one of them.
        """
        self._own_id = own_id
        self._expected = frozenset(serving)
        self._is_serving = is_serving
        self._contact_s = max(
            MIN_CONTACT_S,
            CONTACT_REPORTS * quota_reports.heartbeat_s(self.receiver_count),
        )
        self._valid_until_s = -math.inf

    def resume(self, now_s: float) -> None:
        """Forgets all contact after a pause of the process.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._resumed_s = now_s
        for peer in self._peers.values():
            peer.heard_s = peer.contact_s = -math.inf
        self._valid_until_s = -math.inf

    def start_report(self, now_s: float) -> int:
        """Returns the number of a new report.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._sequence += 1
        self._sent_s[self._sequence] = now_s
        self._sent_s.pop(self._sequence - MAX_SENT, None)
        return self._sequence

    def acknowledgements(self) -> dict[str, int]:
        """Returns the last report received of each daemon, by its id."""
        return {id: peer.seen for id, peer in self._peers.items()}

    def settled_sequence(self, now_s: float) -> int:
        """Returns the latest own report that all daemons in contact have.

        A daemon that has just fallen silent counts as well: it may still act on
        what it knew.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self.standing(now_s)
        return self._sequence if self._settled is None else self._settled

    def connected(self, now_s: float) -> list[str]:
        """Returns the daemons that are in contact.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        found = []
        for id in self._expected:
            peer = self._peers.get(id)
            if (
                peer is not None
                and now_s - min(peer.heard_s, peer.contact_s) <= self._contact_s
            ):
                found.append(id)
        return found

    def active(self, now_s: float) -> frozenset[str]:
        """Returns the serving daemons that lately reported requests.

        The others have callers of no tenant, and act on what they know only
        within their floors.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return frozenset(
            id
            for id in self._expected
            if id in self._peers
            and now_s - self._peers[id].active_s <= ACTIVE_S
        )

    def record(
        self,
        sender: str,
        header: quota_reports.Header,
        has_entries: bool,
        now_s: float,
    ) -> bool | None:
        """Records that a report arrived.

        Args:
            sender: The daemon that sent it.
            header: Its header.
            has_entries: Whether it names tenants.
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Whether the sender was known; None if the report must be ignored:
            it is an own one, older than another one, or was sent before a pause
            of this process.
        """
        if sender == self._own_id or now_s - self._resumed_s < HOLD_S:
            return None
        peer = self._peers.get(sender)
        is_known = peer is not None and peer.run == header.run
        if peer is None or not is_known:
            if len(self._peers) >= MAX_PEERS and peer is None:
                return None
            peer = self._peers[sender] = _Peer(header.run, now_s)
        elif header.sequence <= peer.seen:
            return None
        peer.seen = header.sequence
        peer.heard_s = now_s
        if has_entries:
            peer.active_s = now_s
        if header.heard is not None:
            peer.heard = frozenset(header.heard)
        sent_s = self._sent_s.get(header.acknowledged)
        if sent_s is not None and header.acknowledged > peer.acknowledged:
            peer.acknowledged = header.acknowledged
            peer.contact_s = sent_s
        self._valid_until_s = -math.inf
        return is_known

    def drop_silent(self, now_s: float) -> list[str]:
        """Forgets daemons that were silent for long.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Those that serve callers, whose reserve has ended.
        """
        members = []
        for id, peer in list(self._peers.items()):
            is_member = id in self._expected
            memory_s = self._reserve_s if is_member else STRAY_MEMORY_S
            if now_s - max(peer.heard_s, self._resumed_s) > memory_s:
                del self._peers[id]
                if is_member:
                    members.append(id)
        return members

    def standing(self, now_s: float) -> Standing:
        """Returns what contact this daemon has now.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        if now_s > self._valid_until_s:
            self._update_standing(now_s)
        return self._standing

    def _is_joining(self, now_s: float) -> bool:
        """Whether this daemon has just begun to serve callers.

        It has had no time to get in contact, and a start of all daemons would
        refuse most callers. A daemon that was paused is not joining.
        """
        if not self._is_serving:
            self._joined_s = None
            return False
        if self._joined_s is None:
            self._joined_s = now_s
        return (
            now_s - self._joined_s < JOIN_S and self._resumed_s < self._joined_s
        )

    def _update_standing(self, now_s: float) -> None:
        """Computes the standing, and until when it holds without news."""
        connected = set(self.connected(now_s))
        members = self._expected | {self._own_id}
        inside = (connected & members) | {self._own_id}
        alive: set[str] = set()
        for id in connected:
            alive |= self._peers[id].heard
        apart = (alive & members) - inside
        self._apart_since_s = {
            id: self._apart_since_s.get(id, now_s) for id in apart
        }
        # Two daemons without contact that a third one hears would both use
        # what is left. The one with the higher id gives way.
        gives_way = any(
            id < self._own_id and now_s - since_s > APART_S
            for id, since_s in self._apart_since_s.items()
        )
        count = len(members)
        has_quorum = 2 * len(inside) > count or (
            2 * len(inside) == count and min(members) in inside
        )
        is_alone = gives_way or (count > 1 and len(inside) == 1)
        # Members without requests need no floors until they have some. Their
        # first requests are few, and reported at once.
        sharing = len(self.active(now_s) | {self._own_id})
        fields = (
            count,
            len(inside),
            has_quorum,
            is_alone,
            self._is_serving,
            sharing,
        )
        if self._is_joining(now_s):
            fields = (count, count, True, False, True, count)
        if fields != self._fields:
            # Whoever computed something from the last one need not do so again.
            self._fields = fields
            self._standing = Standing(*fields)
        ends = [
            min(self._peers[id].heard_s, self._peers[id].contact_s)
            + self._contact_s
            for id in connected
        ]
        ends += [s + APART_S for s in self._apart_since_s.values()]
        awaited = [
            peer
            for peer in map(self._peers.get, self.active(now_s))
            if peer is not None
            and now_s - max(peer.contact_s, peer.since_s) <= self._reserve_s
        ]
        self._settled = min((p.acknowledged for p in awaited), default=None)
        ends += [max(p.contact_s, p.since_s) + self._reserve_s for p in awaited]
        ends += [p.active_s + ACTIVE_S for p in awaited]
        if self._joined_s is not None:
            ends.append(self._joined_s + JOIN_S)
        later = [end_s for end_s in ends if end_s > now_s]
        self._valid_until_s = min(later, default=math.inf)
