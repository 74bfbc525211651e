"""Which daemons the callers of a host are steered to."""

from __future__ import annotations

import enum
import math
import typing

from dotterelpath.domain import hashing

# Daemons of each data centre that carry a host. Few of them see enough of an
# instance's work to know how it does.
DAEMONS_PER_HOST = 1
# The part of its processor beyond which a daemon needs help with its hosts.
BUSY = 0.6
# Keeps a daemon without a known processor in use, in cores.
LEAST_WEIGHT = 0.001


class DaemonState(enum.Enum):
    """What a daemon says of itself."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


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
        "weight",
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
        weight: float,
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
            weight: Its processor, in cores.
        """
        self.id = id
        self.data_centre = data_centre
        self.region = region
        self.front_host = front_host
        self.front_port = front_port
        self.peer_host = peer_host
        self.peer_port = peer_port
        self.weight = weight


def ranked(key: str, daemons: typing.Iterable[Daemon]) -> list[Daemon]:
    """Orders daemons for a key by weighted rendezvous hashing.

    Args:
        key: The key, such as a host.
        daemons: The daemons.

    Returns:
        The daemons, the one that carries the key first.
    """
    return sorted(daemons, key=lambda d: (_score(key, d), d.id))


def nearest(
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


def _score(key: str, daemon: Daemon) -> float:
    """Draws an exponential variable of a rate that is the weight."""
    drawn = (hashing.score(key, daemon.id) + 1.0) / 2.0**64
    return -math.log(drawn) / max(daemon.weight, LEAST_WEIGHT)
