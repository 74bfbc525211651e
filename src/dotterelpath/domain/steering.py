"""Ranks and selects the daemons that callers are sent to."""

from __future__ import annotations

import enum
import math
import typing

from dotterelpath.domain import hashing

# The highest planned utilization of a daemon's processor and link. Beyond it,
# requests queue up.
MAX_UTILIZATION = 0.6
# Lower bounds for a daemon whose processor or link is not known, so that it is
# still selected.
MIN_CORES = 0.001
MIN_LINK_MBPS = 0.01
# The hash key of the ranking. The key does not depend on the requested host
# name, so that the same daemons serve all host names with the same services.
RANKING_KEY = "callers"
# The most daemons in one response to an address query; platforms accept no
# more.
MAX_ADDRESSES = 64


class DaemonState(enum.Enum):
    """The state that a daemon reports."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class Resources:
    """Processor and link resources, as a capacity or as a usage."""

    __slots__ = ("cores", "link_mbps")

    def __init__(self, cores: float, link_mbps: float) -> None:
        """Creates resources.

        Args:
            cores: The processor, in cores.
            link_mbps: The network link in one direction, in Mbit/s.
        """
        self.cores = cores
        self.link_mbps = link_mbps

    def share_of(self, whole: Resources) -> float:
        """Returns the higher of the shares of the processor and of the link.

        Args:
            whole: The resources that correspond to a share of 1.
        """
        return max(
            self.cores / max(whole.cores, MIN_CORES),
            self.link_mbps / max(whole.link_mbps, MIN_LINK_MBPS),
        )


class Daemon:
    """A daemon as listed in the store."""

    __slots__ = (
        "data_centre",
        "caller_host",
        "caller_port",
        "id",
        "peer_host",
        "peer_port",
        "region",
        "resources",
    )

    def __init__(
        self,
        id: str,
        data_centre: str,
        region: str,
        caller_host: str,
        caller_port: int,
        peer_host: str,
        peer_port: int,
        resources: Resources,
    ) -> None:
        """Creates a daemon.

        Args:
            id: The daemon's id, which survives restarts.
            data_centre: The daemon's data centre.
            region: The region of the data centre.
            caller_host: The IP address for callers.
            caller_port: The port for callers.
            peer_host: The IP address for other daemons.
            peer_port: The port for other daemons.
            resources: The daemon's processor and link.
        """
        self.id = id
        self.data_centre = data_centre
        self.region = region
        self.caller_host = caller_host
        self.caller_port = caller_port
        self.peer_host = peer_host
        self.peer_port = peer_port
        self.resources = resources


def rank(daemons: typing.Iterable[Daemon]) -> list[Daemon]:
    """Ranks daemons in the order in which callers are sent to them.

    The largest daemons come first, since a few daemons with many requests each
    know more about the instances than many daemons with few. Daemons of about
    the same size are ordered by weighted rendezvous hashing.

    Args:
        daemons: The daemons.

    Returns:
        The daemons, the best first.
    """
    found = list(daemons)
    largest = Resources(
        max((d.resources.cores for d in found), default=0.0),
        max((d.resources.link_mbps for d in found), default=0.0),
    )
    return sorted(
        found, key=lambda d: (_size_class(d, largest), _score(d), d.id)
    )


def select_sufficient(
    ordered: typing.Iterable[Daemon], used: Resources
) -> list[Daemon]:
    """Selects the fewest daemons that can carry a load in equal shares.

    Args:
        ordered: The usable daemons, the best first.
        used: The resources that all callers use together.

    Returns:
        The first daemons of the order; all of them, up to MAX_ADDRESSES, if
        they cannot carry the load.
    """
    chosen: list[Daemon] = []
    smallest = Resources(math.inf, math.inf)
    for daemon in ordered:
        chosen.append(daemon)
        smallest.cores = min(smallest.cores, daemon.resources.cores)
        smallest.link_mbps = min(smallest.link_mbps, daemon.resources.link_mbps)
        count = len(chosen)
        share = Resources(used.cores / count, used.link_mbps / count)
        if (
            share.share_of(smallest) <= MAX_UTILIZATION
            or count == MAX_ADDRESSES
        ):
            break
    return chosen


def group_by_distance(
    data_centre: str, region: str, daemons: typing.Iterable[Daemon]
) -> list[list[Daemon]]:
    """Groups daemons by their distance from a caller.

    Args:
        data_centre: The caller's data centre.
        region: The region of the data centre.
        daemons: The daemons.

    Returns:
        The daemons in the caller's data centre, the others in its region, and
        the rest.
    """
    groups: list[list[Daemon]] = [[], [], []]
    for daemon in daemons:
        if daemon.data_centre == data_centre:
            groups[0].append(daemon)
        elif daemon.region == region:
            groups[1].append(daemon)
        else:
            groups[2].append(daemon)
    return groups


def _size_class(daemon: Daemon, largest: Resources) -> int:
    """Returns the size class of a daemon: 0 for the largest, 1 for half, ..."""
    part = min(
        daemon.resources.cores / max(largest.cores, MIN_CORES),
        daemon.resources.link_mbps / max(largest.link_mbps, MIN_LINK_MBPS),
    )
    return round(-math.log2(max(part, MIN_CORES)))


def _score(daemon: Daemon) -> float:
    """Returns the daemon's rendezvous score, weighted by its cores.

    The hash is mapped to an exponential variable with the cores as its rate.
    The lowest score wins.
    """
    drawn = (hashing.score(RANKING_KEY, daemon.id) + 1.0) / 2.0**64
    return -math.log(drawn) / max(daemon.resources.cores, MIN_CORES)
