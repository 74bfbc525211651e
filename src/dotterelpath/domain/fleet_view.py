"""Which daemons answer, and which of them callers are sent to."""

from __future__ import annotations

import math

from dotterelpath.domain import steering

# A daemon that has been silent for this long is not named, in seconds; some
# pings of PING_S fit into it, so that one lost datagram says nothing.
SILENT_S = 0.8
PING_S = 0.25
# A data centre that nobody asked for in this time needs no watched daemons,
# in seconds.
LOCATION_TIMEOUT_S = 15.0
# How long the load of a data centre's callers is remembered, in seconds, so
# that a daemon that dies does not take it along, and the number of daemons
# does not follow each wave.
USAGE_DECAY_S = 10.0
# Questions that are remembered; a caller may ask for any name.
MAX_LOCATIONS = 1024
# Daemons behind those that are named which are watched too, so that one that
# dies is followed by one that is known to answer.
RESERVE_COUNT = 1


# A data centre and its region.
_Location = tuple[str, str]


class _PeerState:
    """What is known of a daemon."""

    __slots__ = (
        "first_pinged_s",
        "responded_s",
        "state",
        "usage",
    )

    def __init__(self) -> None:
        self.first_pinged_s: float | None = None
        self.responded_s = -math.inf
        self.state = steering.DaemonState.READY
        self.usage = steering.Resources(0.0, 0.0)


class _PeakUsage:
    """What the callers of a data centre use: a maximum that fades."""

    __slots__ = ("_at_s", "_used")

    def __init__(self) -> None:
        self._used = steering.Resources(0.0, 0.0)
        self._at_s = -math.inf

    def observe(
        self, usage: steering.Resources, now_s: float
    ) -> steering.Resources:
        part = math.exp(-(now_s - self._at_s) / USAGE_DECAY_S)
        self._used = steering.Resources(
            max(usage.cores, self._used.cores * part),
            max(usage.link_mbps, self._used.link_mbps * part),
        )
        self._at_s = now_s
        return self._used


class FleetView:
    """The daemons of the fleet as this one sees them.

    Only daemons that are or would be named to callers are pinged, so that the
    cost does not grow with the fleet.
    """

    __slots__ = (
        "_asked_s",
        "_chosen_count",
        "_daemons",
        "_groups",
        "_own_id",
        "_own_location",
        "_peak_usages",
        "_peers",
        "_ranked",
    )

    def __init__(self, own_id: str, own_location: tuple[str, str]) -> None:
        """Creates a fleet without daemons.

        Args:
            own_id: This daemon.
            own_location: Its data centre and region.
        """
        self._own_id = own_id
        self._own_location = own_location
        self._daemons: dict[str, steering.Daemon] = {}
        self._peers: dict[str, _PeerState] = {}
        self._asked_s: dict[_Location, float] = {}
        self._peak_usages: dict[_Location, _PeakUsage] = {}
        self._groups: dict[_Location, list[list[steering.Daemon]]] = {}
        self._ranked: dict[str, list[steering.Daemon]] = {}
        self._chosen_count = 1

    @property
    def daemons(self) -> dict[str, steering.Daemon]:
        """The listed daemons by id."""
        return self._daemons

    def set_daemons(self, daemons: dict[str, steering.Daemon]) -> None:
        """Takes in the listed daemons.

        Args:
            daemons: The daemons by id.
        """
        self._daemons = daemons
        self._groups.clear()
        self._ranked.clear()
        for daemon_id in [i for i in self._peers if i not in daemons]:
            del self._peers[daemon_id]

    def record_response(
        self,
        daemon_id: str,
        state: steering.DaemonState,
        usage: steering.Resources,
        now_s: float,
    ) -> None:
        """Takes in a daemon's answer.

        Args:
            daemon_id: The daemon.
            state: What it does.
            usage: What it uses of its processor and link.
            now_s: The monotonic clock, in seconds.
        """
        peer = self._peers.get(daemon_id)
        if peer is not None:
            peer.responded_s = now_s
            peer.state = state
            peer.usage = usage

    def to_ping(self, now_s: float) -> list[steering.Daemon]:
        """Finds the daemons to ping.

        Args:
            now_s: The monotonic clock, in seconds.

        Returns:
            Those that are named, or would be next, for callers that asked
            lately and for those of this daemon's own data centre.
        """
        self._asked_s[self._own_location] = now_s
        found: dict[str, steering.Daemon] = {}
        for location, asked_s in list(self._asked_s.items()):
            if now_s - asked_s > LOCATION_TIMEOUT_S:
                del self._asked_s[location]
                self._peak_usages.pop(location, None)
                continue
            for daemon in self._candidates(location, now_s):
                found[daemon.id] = daemon
        for daemon_id in [i for i in self._peers if i not in found]:
            del self._peers[daemon_id]
        for daemon_id in found:
            peer = self._peers.setdefault(daemon_id, _PeerState())
            if peer.first_pinged_s is None:
                peer.first_pinged_s = now_s
        return [d for d in found.values() if d.id != self._own_id]

    def choose(
        self, data_centre: str, region: str, now_s: float
    ) -> list[steering.Daemon]:
        """Finds the daemons that a caller should use.

        Args:
            data_centre: Where the caller is.
            region: The region of its data centre.
            now_s: The monotonic clock, in seconds.

        Returns:
            The daemons; as few as can carry the load.
        """
        location = (data_centre, region)
        if location in self._asked_s or len(self._asked_s) < MAX_LOCATIONS:
            self._asked_s[location] = now_s
        for group in self._groups_by_distance(location):
            usable = [d for d in group if self.is_usable(d.id, now_s)]
            if usable:
                chosen = steering.select_sufficient(
                    usable, self._usage(location, now_s)
                )
                self._chosen_count = len(chosen)
                return chosen
        return []

    def is_usable(self, daemon_id: str, now_s: float) -> bool:
        """Whether a daemon takes callers, as far as this one knows.

        Args:
            daemon_id: The daemon.
            now_s: The monotonic clock, in seconds.
        """
        peer = self._peers.get(daemon_id)
        if peer is None or peer.first_pinged_s is None:
            return True
        if daemon_id == self._own_id:
            return peer.state is steering.DaemonState.READY
        heard_s = max(peer.responded_s, peer.first_pinged_s)
        if now_s - heard_s > SILENT_S:
            return False
        return peer.state is steering.DaemonState.READY

    def unusable(self, now_s: float) -> dict[str, float]:
        """Finds the watched daemons that callers are not sent to.

        Args:
            now_s: The monotonic clock, in seconds.

        Returns:
            For how long each has been silent, in seconds; 0.0 where it said
            itself that it takes no callers.
        """
        return {
            daemon_id: max(0.0, round(now_s - peer.responded_s, 2))
            if peer.state is steering.DaemonState.READY
            else 0.0
            for daemon_id, peer in self._peers.items()
            if not self.is_usable(daemon_id, now_s)
        }

    def utilization(self, now_s: float) -> dict[str, float]:
        """Reads how busy the watched daemons are.

        Args:
            now_s: The monotonic clock, in seconds.

        Returns:
            The part of its processor or link, whichever is larger, that each
            daemon uses that answered lately.
        """
        return {
            daemon_id: round(
                peer.usage.share_of(self._daemons[daemon_id].resources), 3
            )
            for daemon_id, peer in self._peers.items()
            if now_s - peer.responded_s < SILENT_S
        }

    def serving_ids(self) -> set[str]:
        """Finds the daemons that callers are or would be sent to.

        Returns:
            Their ids, in all data centres, each taken to need as many as
            this one does.
        """
        most = self._chosen_count + RESERVE_COUNT
        return {
            daemon.id
            for daemons in self._ranked_by_data_centre().values()
            for daemon in daemons[:most]
        }

    def serving_count(self) -> int:
        """Counts the daemons that carry callers at a time."""
        return max(1, len(self._ranked_by_data_centre()) * self._chosen_count)

    def _ranked_by_data_centre(self) -> dict[str, list[steering.Daemon]]:
        """The daemons of each data centre, the best first."""
        if not self._ranked:
            found: dict[str, list[steering.Daemon]] = {}
            for daemon in self._daemons.values():
                found.setdefault(daemon.data_centre, []).append(daemon)
            self._ranked = {
                data_centre: steering.rank(daemons)
                for data_centre, daemons in found.items()
            }
        return self._ranked

    def _groups_by_distance(
        self, location: _Location
    ) -> list[list[steering.Daemon]]:
        """The daemons by how near they are to a caller, the best first."""
        found = self._groups.get(location)
        if found is None:
            groups = steering.group_by_distance(
                *location, self._daemons.values()
            )
            found = [steering.rank(group) for group in groups]
            self._groups[location] = found
        return found

    def _usage(self, location: _Location, now_s: float) -> steering.Resources:
        """What the callers that are sent to the nearest daemons use."""
        usage = steering.Resources(0.0, 0.0)
        group = next((g for g in self._groups_by_distance(location) if g), [])
        for daemon in group:
            peer = self._peers.get(daemon.id)
            if peer is not None and now_s - peer.responded_s < SILENT_S:
                usage.cores += peer.usage.cores
                usage.link_mbps += peer.usage.link_mbps
        if location not in self._asked_s:
            return usage
        return self._peak_usages.setdefault(location, _PeakUsage()).observe(
            usage, now_s
        )

    def _candidates(
        self, location: _Location, now_s: float
    ) -> list[steering.Daemon]:
        """Finds the daemons that are named or would be next.

        Those that are known to be silent do not count, but the first of them
        are pinged on, since they may be back.
        """
        for group in self._groups_by_distance(location):
            if not group:
                continue
            usable = [d for d in group if self.is_usable(d.id, now_s)]
            needed = steering.select_sufficient(
                usable, self._usage(location, now_s)
            )
            found: list[steering.Daemon] = []
            missing = len(needed) + RESERVE_COUNT
            for daemon in group:
                found.append(daemon)
                missing -= self.is_usable(daemon.id, now_s)
                if missing <= 0:
                    break
            return found
        return []
