"""Tracks which daemons respond, and chooses those that callers are sent to."""

from __future__ import annotations

import math

from dotterelpath.domain import request_limits
from dotterelpath.domain import steering

# Callers are not sent to a daemon that has not responded for this long, in
# seconds. Several pings fit into the time, so that losing one has no effect.
SILENT_S = 0.8
# The interval between pings, in seconds.
PING_S = 0.25
# The daemons for a location are no longer pinged if no caller there has looked
# up addresses for this long, in seconds.
LOCATION_TIMEOUT_S = 15.0
# The time constant with which the peak usage of a location decays, in seconds.
# The usage of a daemon that fails must not vanish with it, and the number of
# daemons must not follow short fluctuations.
USAGE_DECAY_S = 10.0
# The limit of tracked locations, since callers may ask for any data centre.
MAX_LOCATIONS = 1024
# Daemons that are pinged beyond those in use, so that a daemon that fails can
# be replaced by one that is known to respond.
RESERVE_COUNT = 1


# What a daemon says of itself and its data centre holds for this time, in
# seconds. Daemons that serve callers report several times a second.
SERVING_TIMEOUT_S = 5.0
# The limit of daemons whose reports on themselves are kept.
MAX_REPORTING = 256


# A data centre and its region.
_Location = tuple[str, str]


class _PeerState:
    """The state of a daemon that is pinged."""

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
    """The decaying maximum of the resources that a location's callers use."""

    __slots__ = ("_at_s", "_peak")

    def __init__(self) -> None:
        self._peak = steering.Resources(0.0, 0.0)
        self._at_s = -math.inf

    def observe(
        self, usage: steering.Resources, now_s: float
    ) -> steering.Resources:
        decay = math.exp(-(now_s - self._at_s) / USAGE_DECAY_S)
        self._peak = steering.Resources(
            max(usage.cores, self._peak.cores * decay),
            max(usage.link_mbps, self._peak.link_mbps * decay),
        )
        self._at_s = now_s
        return self._peak


class FleetView:
    """The daemons of the fleet, as seen by this daemon.

    Only the daemons that callers are sent to and their reserves are pinged, so
    that the cost does not grow with the fleet.

    A daemon knows how many daemons serve the callers of its own data centre,
    and whether it is one of them or a reserve. It says so in its reports to
    the others, which would have to guess. Until then they assume that another
    data centre needs as many daemons as their own: of two data centres, the
    daemons of the one that needs more then reach those of the other.
    """

    __slots__ = (
        "_asked_s",
        "_counts",
        "_daemons",
        "_groups",
        "_own_candidates",
        "_own_count",
        "_own_id",
        "_own_location",
        "_peak_usages",
        "_peers",
        "_ranked",
        "_reporting_s",
    )

    def __init__(self, own_id: str, own_location: tuple[str, str]) -> None:
        """Creates a view without daemons.

        Args:
            own_id: The id of this daemon.
            own_location: The data centre and the region of this daemon.
        """
        self._own_id = own_id
        self._own_location = own_location
        self._daemons: dict[str, steering.Daemon] = {}
        self._peers: dict[str, _PeerState] = {}
        self._asked_s: dict[_Location, float] = {}
        self._peak_usages: dict[_Location, _PeakUsage] = {}
        self._groups: dict[_Location, list[list[steering.Daemon]]] = {}
        self._ranked: dict[str, list[steering.Daemon]] = {}
        # The daemons that callers of the own data centre are, or would next
        # be, sent to, and the number of the former.
        self._own_candidates: set[str] = set()
        self._own_count = 1
        # How many daemons serve callers in another data centre, and when one
        # of them said so.
        self._counts: dict[str, tuple[int, float]] = {}
        # When other daemons reported that they serve callers, by their id.
        self._reporting_s: dict[str, float] = {}

    @property
    def daemons(self) -> dict[str, steering.Daemon]:
        """The listed daemons by id."""
        return self._daemons

    def set_daemons(self, daemons: dict[str, steering.Daemon]) -> None:
        """Updates the listed daemons.

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
        """Records a daemon's response to a ping.

        Args:
            daemon_id: The daemon.
            state: The state that the daemon reports.
            usage: The resources that the daemon uses.
            now_s: The current time on the monotonic clock, in seconds.
        """
        peer = self._peers.get(daemon_id)
        if peer is not None:
            peer.responded_s = now_s
            peer.state = state
            peer.usage = usage

    def to_ping(self, now_s: float) -> list[steering.Daemon]:
        """Updates and returns the daemons to ping.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            The daemons in use and their reserves, for this daemon's location
            and for the locations whose callers have asked recently.
        """
        self._asked_s[self._own_location] = now_s
        found: dict[str, steering.Daemon] = {}
        for location, asked_s in list(self._asked_s.items()):
            if now_s - asked_s > LOCATION_TIMEOUT_S:
                del self._asked_s[location]
                self._peak_usages.pop(location, None)
                continue
            candidates, needed_count = self._candidates(location, now_s)
            for daemon in candidates:
                found[daemon.id] = daemon
            if location == self._own_location:
                self._own_candidates = {daemon.id for daemon in candidates}
                self._own_count = max(1, needed_count)
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
        """Chooses the daemons that a caller is sent to.

        Args:
            data_centre: The caller's data centre.
            region: The region of the data centre.
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            The fewest daemons that can carry the load, from the nearest group
            that has a usable daemon; empty if no daemon is usable.
        """
        location = (data_centre, region)
        if location in self._asked_s or len(self._asked_s) < MAX_LOCATIONS:
            self._asked_s[location] = now_s
        for group in self._groups_by_distance(location):
            usable = [d for d in group if self.is_usable(d.id, now_s)]
            if usable:
                return steering.select_sufficient(
                    usable, self._usage(location, now_s)
                )
        return []

    def is_usable(self, daemon_id: str, now_s: float) -> bool:
        """Tells whether callers can be sent to a daemon.

        A daemon that has not been pinged yet counts as usable.

        Args:
            daemon_id: The daemon.
            now_s: The current time on the monotonic clock, in seconds.
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
        """Returns the pinged daemons that callers are not sent to.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            The seconds since each daemon's last response, by id: infinite if
            the daemon never responded, 0.0 if the daemon reports that it does
            not accept callers.
        """
        return {
            daemon_id: max(0.0, round(now_s - peer.responded_s, 2))
            if peer.state is steering.DaemonState.READY
            else 0.0
            for daemon_id, peer in self._peers.items()
            if not self.is_usable(daemon_id, now_s)
        }

    def utilization(self, now_s: float) -> dict[str, float]:
        """Returns the utilization of the pinged daemons.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            The share of the processor or the link, whichever is higher, that
            each responsive daemon uses, by id.
        """
        return {
            daemon_id: round(
                peer.usage.share_of(self._daemons[daemon_id].resources), 3
            )
            for daemon_id, peer in self._peers.items()
            if now_s - peer.responded_s < SILENT_S
        }

    @property
    def own_serving_count(self) -> int | None:
        """How many daemons serve the callers of the own data centre.

        None if this daemon is neither one of them nor a reserve.
        """
        return self._own_count if self._is_own_serving else None

    @property
    def reporting_ids(self) -> frozenset[str]:
        """The daemons that reported lately that they serve callers."""
        return frozenset(self._reporting_s)

    def record_serving(self, daemon_id: str, count: int, now_s: float) -> bool:
        """Records that a daemon says that it serves callers, or is a reserve.

        Args:
            daemon_id: The daemon.
            count: How many daemons serve the callers of its data centre.
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Whether this may change the serving daemons.
        """
        daemon = self._daemons.get(daemon_id)
        if daemon is None or daemon_id == self._own_id:
            return False
        data_centre = daemon.data_centre
        known_count = self._count(data_centre, now_s)
        if data_centre != self._own_location[0]:
            count = min(max(1, count), steering.MAX_ADDRESSES)
            self._counts[data_centre] = (count, now_s)
        is_new = daemon_id not in self._reporting_s
        if not is_new or len(self._reporting_s) < MAX_REPORTING:
            self._reporting_s[daemon_id] = now_s
        return is_new or self._count(data_centre, now_s) != known_count

    def serving_ids(self, now_s: float) -> set[str]:
        """Returns the daemons that callers are sent to, and their reserves.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            The ids of the daemons in all data centres.
        """
        return {daemon_id for daemon_id, _ in self.serving_daemons(now_s)}

    def serving_daemons(
        self, now_s: float
    ) -> list[request_limits.ServingDaemon]:
        """Lists the same daemons, the best of each data centre first.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            The id and the data centre of each daemon.
        """
        oldest_s = now_s - SERVING_TIMEOUT_S
        for daemon_id, at_s in list(self._reporting_s.items()):
            if at_s < oldest_s or daemon_id not in self._daemons:
                del self._reporting_s[daemon_id]
        known = self._own_candidates.union(self._reporting_s)
        found = []
        for data_centre, daemons in sorted(
            self._ranked_by_data_centre().items()
        ):
            most = self._count(data_centre, now_s) + RESERVE_COUNT
            found += [
                (daemon.id, data_centre)
                for position, daemon in enumerate(daemons)
                if position < most or daemon.id in known
            ]
        return found

    def serving_count(self, now_s: float) -> int:
        """Returns the number of daemons that callers are sent to.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        data_centres = self._ranked_by_data_centre()
        return max(1, sum(self._count(place, now_s) for place in data_centres))

    @property
    def _is_own_serving(self) -> bool:
        return self._own_id in self._own_candidates

    def _count(self, data_centre: str, now_s: float) -> int:
        """Returns how many daemons serve the callers of a data centre."""
        count, at_s = self._counts.get(data_centre, (0, -math.inf))
        if now_s - at_s > SERVING_TIMEOUT_S:
            return self._own_count
        return count

    def _ranked_by_data_centre(self) -> dict[str, list[steering.Daemon]]:
        """Returns the daemons of each data centre, the best first."""
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
        """Returns the daemons grouped by distance, the best first."""
        found = self._groups.get(location)
        if found is None:
            groups = steering.group_by_distance(
                *location, self._daemons.values()
            )
            found = [steering.rank(group) for group in groups]
            self._groups[location] = found
        return found

    def _usage(self, location: _Location, now_s: float) -> steering.Resources:
        """Returns the resources that callers use at the nearest daemons.

        The result is the decaying maximum if the location is tracked, else the
        current usage.
        """
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
    ) -> tuple[list[steering.Daemon], int]:
        """Returns the daemons in use for a location, and their reserves.

        Unusable daemons that rank before them are included, so that pings
        detect their recovery.

        Returns:
            The daemons, and how many of them callers are sent to.
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
            return found, len(needed)
        return [], 0
