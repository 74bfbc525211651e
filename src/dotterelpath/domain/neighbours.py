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
ASKED_S = 15.0
# How long the load of a data centre's callers is remembered, in seconds, so
# that a daemon that dies does not take it along, and the number of daemons
# does not follow each wave.
LOAD_MEMORY_S = 10.0
# Questions that are remembered; a caller may ask for any name.
MAX_ASKED = 1024
# Daemons behind those that are named which are watched too, so that one that
# dies is followed by one that is known to answer.
RESERVES = 1


# A data centre and its region.
_Place = tuple[str, str]


class _Watched:
    """What is known of a daemon."""

    __slots__ = ("pinged_s", "responded_s", "state", "used")

    def __init__(self) -> None:
        self.pinged_s: float | None = None
        self.responded_s = -math.inf
        self.state = steering.DaemonState.READY
        self.used = steering.Size(0.0, 0.0)


class _Load:
    """What the callers of a data centre use: a maximum that fades."""

    __slots__ = ("_at_s", "_used")

    def __init__(self) -> None:
        self._used = steering.Size(0.0, 0.0)
        self._at_s = -math.inf

    def observe(self, used: steering.Size, now_s: float) -> steering.Size:
        part = math.exp(-(now_s - self._at_s) / LOAD_MEMORY_S)
        self._used = steering.Size(
            max(used.cores, self._used.cores * part),
            max(used.link_mbps, self._used.link_mbps * part),
        )
        self._at_s = now_s
        return self._used


class Neighbours:
    """The daemons of the fleet as this one sees them.

    Only daemons that are or would be named to callers are pinged, so that the
    cost does not grow with the fleet.
    """

    __slots__ = (
        "_asked",
        "_chosen",
        "_daemons",
        "_loads",
        "_orders",
        "_own_id",
        "_own_place",
        "_ranked",
        "_watched",
    )

    def __init__(self, own_id: str, own_place: tuple[str, str]) -> None:
        """Creates a fleet without daemons.

        Args:
            own_id: This daemon.
            own_place: Its data centre and region.
        """
        self._own_id = own_id
        self._own_place = own_place
        self._daemons: dict[str, steering.Daemon] = {}
        self._watched: dict[str, _Watched] = {}
        self._asked: dict[_Place, float] = {}
        self._loads: dict[_Place, _Load] = {}
        self._orders: dict[_Place, list[list[steering.Daemon]]] = {}
        self._ranked: dict[str, list[steering.Daemon]] = {}
        self._chosen = 1

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
        self._orders.clear()
        self._ranked.clear()
        for daemon_id in [i for i in self._watched if i not in daemons]:
            del self._watched[daemon_id]

    def answered(
        self,
        daemon_id: str,
        state: steering.DaemonState,
        used: steering.Size,
        now_s: float,
    ) -> None:
        """Takes in a daemon's answer.

        Args:
            daemon_id: The daemon.
            state: What it does.
            used: What it uses of its processor and link.
            now_s: The monotonic clock, in seconds.
        """
        watched = self._watched.get(daemon_id)
        if watched is not None:
            watched.responded_s = now_s
            watched.state = state
            watched.used = used

    def due(self, now_s: float) -> list[steering.Daemon]:
        """Finds the daemons to ping.

        Args:
            now_s: The monotonic clock, in seconds.

        Returns:
            Those that are named, or would be next, for callers that asked
            lately and for those of this daemon's own data centre.
        """
        self._asked[self._own_place] = now_s
        found: dict[str, steering.Daemon] = {}
        for place, asked_s in list(self._asked.items()):
            if now_s - asked_s > ASKED_S:
                del self._asked[place]
                self._loads.pop(place, None)
                continue
            for daemon in self._candidates(place, now_s):
                found[daemon.id] = daemon
        for daemon_id in [i for i in self._watched if i not in found]:
            del self._watched[daemon_id]
        for daemon_id in found:
            watched = self._watched.setdefault(daemon_id, _Watched())
            if watched.pinged_s is None:
                watched.pinged_s = now_s
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
        place = (data_centre, region)
        if place in self._asked or len(self._asked) < MAX_ASKED:
            self._asked[place] = now_s
        for group in self._ordered(place):
            usable = [d for d in group if self.is_usable(d.id, now_s)]
            if usable:
                chosen = steering.enough(usable, self._load(place, now_s))
                self._chosen = len(chosen)
                return chosen
        return []

    def is_usable(self, daemon_id: str, now_s: float) -> bool:
        """Whether a daemon takes callers, as far as this one knows.

        Args:
            daemon_id: The daemon.
            now_s: The monotonic clock, in seconds.
        """
        watched = self._watched.get(daemon_id)
        if watched is None or watched.pinged_s is None:
            return True
        if daemon_id == self._own_id:
            return watched.state is steering.DaemonState.READY
        heard_s = max(watched.responded_s, watched.pinged_s)
        if now_s - heard_s > SILENT_S:
            return False
        return watched.state is steering.DaemonState.READY

    def unusable(self, now_s: float) -> dict[str, float]:
        """Finds the watched daemons that callers are not sent to.

        Args:
            now_s: The monotonic clock, in seconds.

        Returns:
            For how long each has been silent, in seconds; 0.0 where it said
            itself that it takes no callers.
        """
        return {
            daemon_id: max(0.0, round(now_s - watched.responded_s, 2))
            if watched.state is steering.DaemonState.READY
            else 0.0
            for daemon_id, watched in self._watched.items()
            if not self.is_usable(daemon_id, now_s)
        }

    def parts_used(self, now_s: float) -> dict[str, float]:
        """Reads how busy the watched daemons are.

        Args:
            now_s: The monotonic clock, in seconds.

        Returns:
            The part of its processor or link, whichever is larger, that each
            daemon uses that answered lately.
        """
        return {
            daemon_id: round(
                watched.used.part_of(self._daemons[daemon_id].size), 3
            )
            for daemon_id, watched in self._watched.items()
            if now_s - watched.responded_s < SILENT_S
        }

    def carriers(self) -> set[str]:
        """Finds the daemons that callers are or would be sent to.

        Returns:
            Their ids, in all data centres, each taken to need as many as
            this one does.
        """
        most = self._chosen + RESERVES
        return {
            daemon.id
            for daemons in self._by_data_centre().values()
            for daemon in daemons[:most]
        }

    def carrying(self) -> int:
        """Counts the daemons that carry callers at a time."""
        return max(1, len(self._by_data_centre()) * self._chosen)

    def _by_data_centre(self) -> dict[str, list[steering.Daemon]]:
        """The daemons of each data centre, the best first."""
        if not self._ranked:
            found: dict[str, list[steering.Daemon]] = {}
            for daemon in self._daemons.values():
                found.setdefault(daemon.data_centre, []).append(daemon)
            self._ranked = {
                data_centre: steering.ranked(daemons)
                for data_centre, daemons in found.items()
            }
        return self._ranked

    def _ordered(self, place: _Place) -> list[list[steering.Daemon]]:
        """The daemons by how near they are to a caller, the best first."""
        found = self._orders.get(place)
        if found is None:
            groups = steering.nearest(*place, self._daemons.values())
            found = [steering.ranked(group) for group in groups]
            self._orders[place] = found
        return found

    def _load(self, place: _Place, now_s: float) -> steering.Size:
        """What the callers that are sent to the nearest daemons use."""
        used = steering.Size(0.0, 0.0)
        group = next((g for g in self._ordered(place) if g), [])
        for daemon in group:
            watched = self._watched.get(daemon.id)
            if watched is not None and now_s - watched.responded_s < SILENT_S:
                used.cores += watched.used.cores
                used.link_mbps += watched.used.link_mbps
        if place not in self._asked:
            return used
        return self._loads.setdefault(place, _Load()).observe(used, now_s)

    def _candidates(self, place: _Place, now_s: float) -> list[steering.Daemon]:
        """Finds the daemons that are named or would be next.

        Those that are known to be silent do not count, but the first of them
        are pinged on, since they may be back.
        """
        for group in self._ordered(place):
            if not group:
                continue
            usable = [d for d in group if self.is_usable(d.id, now_s)]
            needed = steering.enough(usable, self._load(place, now_s))
            found: list[steering.Daemon] = []
            missing = len(needed) + RESERVES
            for daemon in group:
                found.append(daemon)
                missing -= self.is_usable(daemon.id, now_s)
                if missing <= 0:
                    break
            return found
        return []
