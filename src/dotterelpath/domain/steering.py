"""Which daemons the callers of a host are steered to."""

from __future__ import annotations

import enum
import math
import typing

from dotterelpath.domain import hashing

# The part of its processor and of its link that a daemon may use; beyond it
# requests wait for each other.
MAX_UTILIZATION = 0.6
# Keeps a daemon without a known processor or link in use, in cores and in
# Mbit/s.
MIN_CORES = 0.001
MIN_LINK_MBPS = 0.01
# The key by which daemons are ordered; one order for all hosts, so that hosts
# that use the same services are carried by the same daemons.
RANKING_KEY = "callers"
# Daemons that one address answer names at most; platforms take no more.
MAX_ADDRESSES = 64


class DaemonState(enum.Enum):
    """What a daemon says of itself."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class Resources:
    """A processor and a link: what a daemon has, or what it uses of them."""

    __slots__ = ("cores", "link_mbps")

    def __init__(self, cores: float, link_mbps: float) -> None:
        """Creates a size.

        Args:
            cores: The processor, in cores.
            link_mbps: The link to the network in one direction, in Mbit/s.
        """
        self.cores = cores
        self.link_mbps = link_mbps

    def share_of(self, whole: Resources) -> float:
        """The larger of the parts that this is of another size.

        Args:
            whole: The other size.
        """
        return max(
            self.cores / max(whole.cores, MIN_CORES),
            self.link_mbps / max(whole.link_mbps, MIN_LINK_MBPS),
        )


class Daemon:
    """A daemon as the store lists it."""

    __slots__ = (
        "data_centre",
        "front_host",
        "front_port",
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
        front_host: str,
        front_port: int,
        peer_host: str,
        peer_port: int,
        resources: Resources,
    ) -> None:
        """Creates a daemon.

        Args:
            id: Its id, which it keeps when it is restarted.
            data_centre: Where it stands.
            region: The region of its data centre.
            front_host: The IP address for callers.
            front_port: The port for callers.
            peer_host: The IP address for other daemons.
            peer_port: The port for other daemons.
            resources: Its processor and link.
        """
        self.id = id
        self.data_centre = data_centre
        self.region = region
        self.front_host = front_host
        self.front_port = front_port
        self.peer_host = peer_host
        self.peer_port = peer_port
        self.resources = resources


def rank(daemons: typing.Iterable[Daemon]) -> list[Daemon]:
    """Orders daemons by how callers are sent to them.

    The largest come first, since few daemons know more of the instances than
    many do; among those of about one size, weighted rendezvous hashing
    decides.

    Args:
        daemons: The daemons.

    Returns:
        The daemons, the one that carries callers first.
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
    """Takes as many daemons as can carry a load in equal shares.

    Args:
        ordered: The daemons that may be used, the best first.
        used: What all callers together use of the daemons.

    Returns:
        The first of them, even if they are not enough.
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
    """Groups daemons by how near they are to a caller.

    Args:
        data_centre: Where the caller is.
        region: The region of its data centre.
        daemons: The daemons.

    Returns:
        Those in the caller's data centre, the others in its region, and the
        rest.
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
    """How often a daemon must be doubled to be about as large as the most."""
    part = min(
        daemon.resources.cores / max(largest.cores, MIN_CORES),
        daemon.resources.link_mbps / max(largest.link_mbps, MIN_LINK_MBPS),
    )
    return round(-math.log2(max(part, MIN_CORES)))


def _score(daemon: Daemon) -> float:
    """Draws an exponential variable of a rate that is the processor."""
    drawn = (hashing.score(RANKING_KEY, daemon.id) + 1.0) / 2.0**64
    return -math.log(drawn) / max(daemon.resources.cores, MIN_CORES)
