"""Searches the instances of a service for those that must be probed."""

from __future__ import annotations

import heapq
import math
import typing

from dotterelpath.domain import instance_state
from dotterelpath.domain import probing

# The fraction of the allowance for unused instances that a daemon makes use of.
# The rest is a margin, since other daemons may leave out other instances.
UNUSED_MARGIN = 0.5
# How often all instances are searched for those to probe, or for an idle one,
# in seconds.
PERIOD_S = 0.05
# The same for each instance, for services where the sum is longer.
PERIOD_PER_INSTANCE_S = 0.0002


class ProbeSearch:
    """Finds due probes, and yields them one by one.

    A search looks at all instances. It is made once a period, not for each
    request, also while probes are due.
    """

    __slots__ = ("_due", "_searched_s")

    def __init__(self) -> None:
        """Creates a search that starts with the next request."""
        # What the last search found, and its time, by whether the request can
        # be retried.
        self._due: dict[bool, list[instance_state.InstanceState]] = {}
        self._searched_s = {True: -math.inf, False: -math.inf}

    def next_due(
        self,
        usable: typing.Callable[[float], list[instance_state.InstanceState]],
        instance_count: int,
        can_retry: bool,
        is_degraded: bool,
        min_used_share: float,
        now_s: float,
    ) -> instance_state.InstanceState | None:
        """Returns the instance that has waited longest for a due probe.

        Args:
            usable: Returns the instances that this daemon probes, at a time.
            instance_count: The number of instances of the service.
            can_retry: Whether the request can be retried if it fails.
            is_degraded: Whether the service is degraded.
            min_used_share: The share of the instances that must get requests
                while the service is degraded.
            now_s: The current time on the monotonic clock, in seconds.
        """
        found = self._due.get(can_retry)
        if not found:
            since_s = now_s - self._searched_s[can_retry]
            if since_s < period_s(instance_count):
                return None
            self._searched_s[can_retry] = now_s
            found = _find_due(
                usable(now_s), can_retry, is_degraded, min_used_share, now_s
            )
            self._due[can_retry] = found
        while found:
            instance = found.pop()
            if _is_due(instance, can_retry, is_degraded, now_s):
                return instance
        return None


def period_s(instance_count: int) -> float:
    """Returns how often a service is searched, in seconds.

    Args:
        instance_count: The number of instances.
    """
    return max(PERIOD_S, instance_count * PERIOD_PER_INSTANCE_S)


def _find_due(
    instances: list[instance_state.InstanceState],
    can_retry: bool,
    is_degraded: bool,
    min_used_share: float,
    now_s: float,
) -> list[instance_state.InstanceState]:
    """Finds all due probes; that which has waited longest is the last."""
    exempt: typing.Collection[instance_state.InstanceState] = ()
    if is_degraded and not can_retry:
        exempt = _worst(instances, min_used_share, now_s)
    due = [
        instance
        for instance in instances
        if instance.idle_s(now_s) >= probing.SHORTEST_PERIOD_S
        and instance not in exempt
        and _is_due(instance, can_retry, is_degraded, now_s)
    ]
    due.sort(key=_last_sent_s, reverse=True)
    return due


def _is_due(
    instance: instance_state.InstanceState,
    can_retry: bool,
    is_degraded: bool,
    now_s: float,
) -> bool:
    """Tells whether an instance must be probed, and can be now."""
    return probing.is_probe_due(
        instance.last_sent_s,
        instance.joined_s,
        can_retry,
        is_degraded,
        can_retry and instance.is_avoided(now_s),
        now_s,
    ) and instance.has_free_slot(now_s)


def _worst(
    instances: list[instance_state.InstanceState],
    min_used_share: float,
    now_s: float,
) -> list[instance_state.InstanceState]:
    """Returns the instances that a degraded service may leave unused.

    A probe with a request that cannot be retried most likely fails at them.
    """
    allowance = (1.0 - min_used_share) * UNUSED_MARGIN
    count = int(len(instances) * allowance)
    if not count:
        return []
    return heapq.nlargest(count, instances, key=lambda i: i.unserved(now_s))


def _last_sent_s(instance: instance_state.InstanceState) -> float:
    return -math.inf if instance.last_sent_s is None else instance.last_sent_s
