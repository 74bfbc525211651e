"""Chooses the daemons that callers of a service and workspace should use."""

from __future__ import annotations

import collections
import math
import typing

from dotterelpath.domain import hashing

# Time for which callers may use a list of addresses, in seconds.
ADDRESS_TTL_S = 30
# The most daemons in one list of addresses.
MAX_ADDRESSES = 6
# The fewest daemons that serve one service, if the fleet has as many.
MIN_SUBSET = 6
# Connections that an instance accepts from all daemons together.
MAX_INSTANCE_CONNECTIONS = 400
# Connections between one daemon and one instance.
CONNECTIONS_PER_PAIR = 4


class DaemonLocation:
    """A daemon and its data centre."""

    __slots__ = ("daemon_id", "data_centre")

    def __init__(self, daemon_id: str, data_centre: str) -> None:
        """Creates a location.

        Args:
            daemon_id: The daemon's id.
            data_centre: Its data centre.
        """
        self.daemon_id = daemon_id
        self.data_centre = data_centre


def subset_size(daemons: int) -> int:
    """Returns the number of daemons that serve one service.

    The number is limited for two reasons: an instance accepts a limited number
    of connections, and a daemon needs enough requests to an instance to judge
    its health.

    Args:
        daemons: The number of live daemons.

    Returns:
        The number of daemons to which callers of one service are sent.
    """
    most = MAX_INSTANCE_CONNECTIONS // CONNECTIONS_PER_PAIR
    return min(daemons, max(MIN_SUBSET, most))


def serving_daemon_count(daemons: typing.Iterable[DaemonLocation]) -> int:
    """Counts the daemons that serve a service; the same for every service.

    Args:
        daemons: The live daemons.

    Returns:
        The number of daemons in the subset of any service.
    """
    counts = collections.Counter(daemon.data_centre for daemon in daemons)
    if not counts:
        return 0
    each = math.ceil(subset_size(counts.total()) / len(counts))
    return sum(min(each, count) for count in counts.values())


def subset(
    service: str, daemons: typing.Sequence[DaemonLocation]
) -> list[DaemonLocation]:
    """Chooses the daemons that serve one service.

    Args:
        service: The service's name.
        daemons: The live daemons.

    Returns:
        The same number of daemons of each data centre, chosen by rendezvous
        hashing; all daemons of a data centre that has fewer.
    """
    by_data_centre: dict[str, dict[str, DaemonLocation]] = {}
    for daemon in daemons:
        by_daemon_id = by_data_centre.setdefault(daemon.data_centre, {})
        by_daemon_id[daemon.daemon_id] = daemon
    if not by_data_centre:
        return []
    each = math.ceil(subset_size(len(daemons)) / len(by_data_centre))
    chosen = []
    for by_daemon_id in by_data_centre.values():
        for daemon_id in hashing.ranked(service, by_daemon_id)[:each]:
            chosen.append(by_daemon_id[daemon_id])
    return chosen


def order_for_workspace(
    chosen: typing.Iterable[DaemonLocation], workspace: str, data_centre: str
) -> list[DaemonLocation]:
    """Orders a service's daemons for one workspace.

    Args:
        chosen: The daemons that serve the service.
        workspace: The caller's workspace.
        data_centre: The data centre nearest to the caller.

    Returns:
        At most MAX_ADDRESSES daemons: first those of the nearest data centre,
        up to half of that number, then those of the others. Each of the two
        groups is ordered by rendezvous hashing of the workspace.
    """

    def rank(daemon: DaemonLocation) -> tuple[bool, int, str]:
        return (
            daemon.data_centre != data_centre,
            -hashing.score(workspace, daemon.daemon_id),
            daemon.daemon_id,
        )

    ordered = sorted(chosen, key=rank)
    half = MAX_ADDRESSES // 2
    near = [d for d in ordered if d.data_centre == data_centre][:half]
    far = [d for d in ordered if d.data_centre != data_centre]
    return near + far[: MAX_ADDRESSES - len(near)]
