"""Which daemons answer, and which of them callers are sent to."""

from __future__ import annotations

import math
import typing

from dotterelpath.domain import steering

# A daemon that has been silent for this long is not named, in seconds; some
# pings of PING_S fit into it, so that one lost datagram says nothing.
SILENT_S = 0.8
PING_S = 0.25
# A host that nobody asked for in this time needs no watched daemons, in
# seconds.
ASKED_S = 15.0
# Questions that are remembered; a caller may ask for any name.
MAX_ASKED = 1024
# Daemons behind those that are named which are watched too, so that one that
# dies is followed by one that is known to answer.
RESERVES = 1


class _Watched:
    """What is known of a daemon."""

    __slots__ = ("answered_s", "busy", "pinged_s", "state")

    def __init__(self) -> None:
        self.pinged_s: float | None = None
        self.answered_s = -math.inf
        self.state = steering.DaemonState.READY
        self.busy = 0.0


class Neighbours:
    """The daemons of the fleet as this one sees them.

    Only daemons that are or would be named to callers are pinged, so that the
    cost does not grow with the fleet.
    """

    __slots__ = ("_asked", "_daemons", "_own_id", "_per_host", "_watched")

    def __init__(
        self, own_id: str, per_host: int = steering.DAEMONS_PER_HOST
    ) -> None:
        """Creates a fleet without daemons.

        Args:
            own_id: This daemon.
            per_host: Daemons of each data centre that carry a host.
        """
        self._own_id = own_id
        self._per_host = per_host
        self._daemons: dict[str, steering.Daemon] = {}
        self._watched: dict[str, _Watched] = {}
        self._asked: dict[tuple[str, str, str], float] = {}

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
        for daemon_id in [i for i in self._watched if i not in daemons]:
            del self._watched[daemon_id]

    def answered(
        self,
        daemon_id: str,
        state: steering.DaemonState,
        busy: float,
        now_s: float,
    ) -> None:
        """Takes in a daemon's answer.

        Args:
            daemon_id: The daemon.
            state: What it does.
            busy: The part of its processor that it uses.
            now_s: The monotonic clock, in seconds.
        """
        watched = self._watched.get(daemon_id)
        if watched is not None:
            watched.answered_s = now_s
            watched.state = state
            watched.busy = busy

    def due(self, now_s: float) -> list[steering.Daemon]:
        """Finds the daemons to ping.

        Args:
            now_s: The monotonic clock, in seconds.

        Returns:
            Those that are named, or would be next, for hosts that were asked
            for lately.
        """
        found: dict[str, steering.Daemon] = {}
        for key, asked_s in list(self._asked.items()):
            if now_s - asked_s > ASKED_S:
                del self._asked[key]
                continue
            for daemon in self._candidates(*key, now_s):
                found[daemon.id] = daemon
        for daemon_id in [i for i in self._watched if i not in found]:
            del self._watched[daemon_id]
        for daemon_id in found:
            watched = self._watched.setdefault(daemon_id, _Watched())
            if watched.pinged_s is None:
                watched.pinged_s = now_s
        return [d for d in found.values() if d.id != self._own_id]

    def choose(
        self, host: str, data_centre: str, region: str, now_s: float
    ) -> list[steering.Daemon]:
        """Finds the daemons that a caller should use.

        Args:
            host: The host that the caller asks for.
            data_centre: Where the caller is.
            region: The region of its data centre.
            now_s: The monotonic clock, in seconds.

        Returns:
            The daemons; more than usual where they are busy.
        """
        key = (host, data_centre, region)
        if key in self._asked or len(self._asked) < MAX_ASKED:
            self._asked[key] = now_s
        for group in steering.nearest(
            data_centre, region, self._daemons.values()
        ):
            usable = [
                daemon
                for daemon in steering.ranked(host, group)
                if self.is_usable(daemon.id, now_s)
            ]
            if usable:
                return self._enough(usable)
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
        heard_s = max(watched.answered_s, watched.pinged_s)
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
            daemon_id: max(0.0, round(now_s - watched.answered_s, 2))
            if watched.state is steering.DaemonState.READY
            else 0.0
            for daemon_id, watched in self._watched.items()
            if not self.is_usable(daemon_id, now_s)
        }

    def carriers(self, hosts: typing.Iterable[str]) -> set[str]:
        """Finds the daemons that callers of some hosts are sent to.

        Args:
            hosts: The hosts.

        Returns:
            Their ids, in all data centres.
        """
        by_data_centre: dict[str, list[steering.Daemon]] = {}
        for daemon in self._daemons.values():
            by_data_centre.setdefault(daemon.data_centre, []).append(daemon)
        most = self._per_host + RESERVES
        return {
            daemon.id
            for host in hosts
            for daemons in by_data_centre.values()
            for daemon in steering.ranked(host, daemons)[:most]
        }

    def carrying(self) -> int:
        """Counts the daemons that carry one host at a time."""
        data_centres = {d.data_centre for d in self._daemons.values()}
        return max(1, len(data_centres) * self._per_host)

    def _enough(self, usable: list[steering.Daemon]) -> list[steering.Daemon]:
        """Takes as many daemons as are not busy on the whole."""
        chosen: list[steering.Daemon] = []
        for daemon in usable:
            chosen.append(daemon)
            watched = self._watched.get(daemon.id)
            is_busy = watched is not None and watched.busy > steering.BUSY
            if len(chosen) >= self._per_host and not is_busy:
                break
        return chosen

    def _candidates(
        self, host: str, data_centre: str, region: str, now_s: float
    ) -> list[steering.Daemon]:
        """Finds the daemons that are named or would be next.

        Those that are known to be silent do not count, but the first of them
        are pinged on, since they may be back.
        """
        for group in steering.nearest(
            data_centre, region, self._daemons.values()
        ):
            if not group:
                continue
            found: list[steering.Daemon] = []
            usable = 0
            for daemon in steering.ranked(host, group):
                found.append(daemon)
                usable += self.is_usable(daemon.id, now_s)
                if usable >= self._per_host + RESERVES:
                    break
            return found
        return []
