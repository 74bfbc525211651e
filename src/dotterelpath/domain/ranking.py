"""Ranks the instances of a service by the expected cost of a request.

The cost of an instance is made up of the probabilities that it fails the
request or is slow, its utilization, its distance and its warm-up. All but the
utilization change slowly, and are computed for all instances a few times a
second. A choice then reads the ranking from the front, and stops as soon as no
later instance can cost less, so that it does not grow with the service.

Full instances are left out of the ranking until they may have a free slot: when
a request at them ends, when the load that other daemons caused has decayed, or
when their request limit allows the next request.
"""

from __future__ import annotations

import bisect
import heapq
import math
import typing

from dotterelpath.domain import instance_state
from dotterelpath.ports import randomness

# The costs of sending a request to an instance, relative to the cost of a lost
# request, which is 1. RETRYABLE_COST is the cost of a failed request that can
# be retried, SLOW_COST that of a slow response.
SLOW_COST = 0.5
RETRYABLE_COST = 0.4
UTILIZATION_COST = 0.05
DISTANCE_COST = 0.05
WARM_UP_COST = 0.1
TIE_BREAK_COST = 0.005
# Requests that an instance in need takes go there first, since other daemons
# can use the other instances, but not this one.
LIMITED_DISCOUNT = 0.1
# If the best instance is unhealthy, those that fail a request with at most this
# much more probability are used as well.
UNHEALTHY_MARGIN = 0.15
# How long the ranking holds, in seconds, and how long for each instance if that
# is more. Probabilities that decay change little in this time.
PERIOD_S = 0.1
PERIOD_PER_INSTANCE_S = 0.0005
# The most instances with a free slot that are compared for one choice, in each
# band.
MAX_COMPARED = 16
# The upper limits of the bands of instances by the probability that they fail a
# request. Choices mostly accept one band, and must not look at the instances of
# the others.
BAND_LIMITS = (instance_state.UNHEALTHY_THRESHOLD, 0.5, math.inf)


class _RankedInstance:
    """An instance with its slowly changing costs.

    A full one waits until `free_from_s`, or until the instance is freed.
    """

    __slots__ = (
        "failing",
        "free_from_s",
        "id",
        "instance",
        "is_full",
        "other_cost",
        "slots",
    )

    def __init__(
        self,
        instance: instance_state.InstanceState,
        failing: float,
        other_cost: float,
    ) -> None:
        self.instance = instance
        self.id = instance.id
        self.slots = max(1, instance.entry.slots)
        self.failing = failing
        self.other_cost = other_cost
        self.is_full = False
        self.free_from_s = -math.inf


class _Band:
    """Instances that may have a free slot, those of least cost first."""

    __slots__ = ("above", "once", "retryable", "up_to")

    def __init__(self, above: float, up_to: float) -> None:
        self.above = above
        self.up_to = up_to
        self.once: list[_RankedInstance] = []
        self.retryable: list[_RankedInstance] = []

    def sort(self) -> None:
        """Sorts instances that were added to the first list only."""
        self.once.sort(key=_cost_once)
        self.retryable = sorted(self.once, key=_cost_retryable)

    def add(self, ranked: _RankedInstance) -> None:
        bisect.insort(self.once, ranked, key=_cost_once)
        bisect.insort(self.retryable, ranked, key=_cost_retryable)

    def remove(self, ranked: _RankedInstance) -> None:
        _remove(self.once, ranked, _cost_once)
        _remove(self.retryable, ranked, _cost_retryable)


class Ranking:
    """The instances of a service, those of least cost first."""

    __slots__ = (
        "_bands",
        "_by_failing",
        "_by_id",
        "_data_centre",
        "_freed",
        "_is_outdated",
        "_ranked_s",
        "_slots",
        "_waiting",
    )

    def __init__(self, data_centre: str) -> None:
        """Creates an empty ranking.

        Args:
            data_centre: This daemon's data centre.
        """
        self._data_centre = data_centre
        self._by_id: dict[str, _RankedInstance] = {}
        self._by_failing: list[_RankedInstance] = []
        self._bands: list[_Band] = []
        # Full instances by the time at which they may have a free slot. An
        # entry is outdated if the time is not that of the instance.
        self._waiting: list[tuple[float, str]] = []
        # Full instances whose load has changed.
        self._freed: list[instance_state.InstanceState] = []
        # A threshold and the number of slots up to it.
        self._slots: tuple[float, int] | None = None
        self._ranked_s = -math.inf
        self._is_outdated = True

    def invalidate(self) -> None:
        """Makes the next update rank the instances again."""
        self._is_outdated = True

    def update(
        self,
        instances: typing.Collection[instance_state.InstanceState],
        now_s: float,
    ) -> None:
        """Ranks the instances again if the ranking does not hold any more.

        Args:
            instances: The instances that may get requests.
            now_s: The current time on the monotonic clock, in seconds.
        """
        period_s = max(PERIOD_S, len(self._by_id) * PERIOD_PER_INSTANCE_S)
        if not self._is_outdated and now_s - self._ranked_s < period_s:
            return
        self._is_outdated = False
        self._ranked_s = now_s
        self._slots = None
        self._waiting = []
        self._freed = []
        above = (-math.inf, *BAND_LIMITS)
        self._bands = [
            _Band(*limits) for limits in zip(above, BAND_LIMITS, strict=False)
        ]
        self._by_failing = [self._rate(i, now_s) for i in instances]
        self._by_failing.sort(key=_failing)
        self._by_id = {r.id: r for r in self._by_failing}
        for ranked in self._by_failing:
            if ranked.instance.has_free_slot(now_s):
                ranked.instance.freed_to = None
                self._band(ranked).once.append(ranked)
            else:
                self._wait(ranked, now_s)
        for band in self._bands:
            band.sort()

    def update_one(
        self, instance: instance_state.InstanceState, now_s: float
    ) -> None:
        """Ranks an instance again after an observation.

        Args:
            instance: The instance.
            now_s: The current time on the monotonic clock, in seconds.
        """
        old = self._by_id.get(instance.id)
        if self._is_outdated or old is None:
            return
        new = self._rate(instance, now_s)
        self._by_id[instance.id] = new
        _remove(self._by_failing, old, _failing)
        bisect.insort(self._by_failing, new, key=_failing)
        if old.is_full:
            new.is_full = True
            new.free_from_s = old.free_from_s
        else:
            self._band(old).remove(old)
            self._band(new).add(new)
        if self._slots is not None and instance.request_limit is None:
            threshold, slots = self._slots
            change = (new.failing <= threshold) - (old.failing <= threshold)
            self._slots = threshold, slots + change * instance.entry.slots

    def best_failing(self, excluded: typing.Collection[str] = ()) -> float:
        """Returns the lowest probability with which an instance fails.

        Args:
            excluded: Ids of instances that are left out.
        """
        for ranked in self._by_failing:
            if ranked.id not in excluded:
                return ranked.failing
        return 1.0

    def slots(self, max_failing: float) -> int:
        """Counts the slots of the instances up to a probability of failure.

        Instances that name a limit of requests are left out.

        Args:
            max_failing: The highest probability that an instance fails the next
                request.
        """
        if self._slots is None or self._slots[0] != max_failing:
            count = sum(
                ranked.instance.entry.slots
                for ranked in self._by_failing
                if ranked.failing <= max_failing
                and ranked.instance.request_limit is None
            )
            self._slots = max_failing, count
        return self._slots[1]

    def cheapest(
        self,
        random: randomness.RandomSource,
        now_s: float,
        can_retry: bool,
        excluded: typing.Collection[str],
        min_failing: float,
        max_failing: float,
    ) -> instance_state.InstanceState | None:
        """Finds the instance of least cost that has a free slot.

        Args:
            random: Breaks ties.
            now_s: The current time on the monotonic clock, in seconds.
            can_retry: Whether a failed request can be retried.
            excluded: Ids of instances that are left out.
            min_failing: Only instances that fail the request with a higher
                probability than this are considered.
            max_failing: The highest probability that is accepted.

        Returns:
            The instance, or None if there is none.
        """
        self._return_freed(now_s)
        best: instance_state.InstanceState | None = None
        best_cost = math.inf
        weight = RETRYABLE_COST if can_retry else 1.0
        full: list[_RankedInstance] = []
        for band in self._bands:
            if band.up_to <= min_failing or band.above >= max_failing:
                continue
            compared = 0
            for ranked in band.retryable if can_retry else band.once:
                cost = ranked.failing * weight + ranked.other_cost
                if cost >= best_cost or compared == MAX_COMPARED:
                    break
                if (
                    not min_failing < ranked.failing <= max_failing
                    or ranked.id in excluded
                ):
                    continue
                instance = ranked.instance
                load = instance.load(now_s)
                if not instance.has_free_slot(now_s, load):
                    full.append(ranked)
                    continue
                compared += 1
                utilization = (load + 1.0) / ranked.slots
                cost += utilization * utilization * UTILIZATION_COST
                cost += TIE_BREAK_COST * random.random()
                if cost < best_cost:
                    best, best_cost = instance, cost
        for ranked in full:
            self._band(ranked).remove(ranked)
            self._wait(ranked, now_s)
        return best

    def cheapest_idle(
        self, idle_s: float, can_retry: bool, is_anywhere: bool, now_s: float
    ) -> instance_state.InstanceState | None:
        """Finds the best instance that got no request.

        Unhealthy and slow instances are left out. So are those that may hang,
        if the request cannot be retried.

        Args:
            idle_s: The time without a request, in seconds.
            can_retry: Whether a failed request can be retried.
            is_anywhere: Whether the instance may be of another data centre.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._return_freed(now_s)
        for ranked in self._bands[0].once if self._bands else ():
            instance = ranked.instance
            if (
                (can_retry or not instance.may_hang(now_s))
                and (
                    is_anywhere
                    or instance.entry.data_centre == self._data_centre
                )
                and not instance.is_entry_missing
                and instance.idle_s(now_s) >= idle_s
                and instance.has_free_slot(now_s)
                and not instance.is_slow(now_s)
            ):
                return instance
        return None

    def _band(self, ranked: _RankedInstance) -> _Band:
        """Returns the band for the probability that an instance fails."""
        return self._bands[bisect.bisect_left(BAND_LIMITS, ranked.failing)]

    def _wait(self, ranked: _RankedInstance, now_s: float) -> None:
        """Leaves a full instance out until it may have a free slot."""
        instance = ranked.instance
        ranked.is_full = True
        ranked.free_from_s = instance.free_from_s(now_s)
        instance.freed_to = self._freed
        if ranked.free_from_s < math.inf:
            heapq.heappush(self._waiting, (ranked.free_from_s, instance.id))

    def _return_freed(self, now_s: float) -> None:
        """Takes back instances that may have a free slot by now."""
        while self._freed:
            self._take_back(self._freed.pop().id)
        while self._waiting and self._waiting[0][0] <= now_s:
            free_from_s, instance_id = heapq.heappop(self._waiting)
            ranked = self._by_id.get(instance_id)
            if ranked is not None and ranked.free_from_s == free_from_s:
                self._take_back(instance_id)

    def _take_back(self, instance_id: str) -> None:
        ranked = self._by_id.get(instance_id)
        if ranked is not None and ranked.is_full:
            ranked.is_full = False
            ranked.instance.freed_to = None
            self._band(ranked).add(ranked)

    def _rate(
        self, instance: instance_state.InstanceState, now_s: float
    ) -> _RankedInstance:
        other_cost = SLOW_COST * instance.slow_filter.symptom_probability(now_s)
        if instance.entry.data_centre != self._data_centre:
            other_cost += DISTANCE_COST
        if now_s < instance.warm_up_ends_s:
            other_cost += WARM_UP_COST
        if instance.request_limit is not None:
            other_cost -= LIMITED_DISCOUNT
        return _RankedInstance(instance, instance.unserved(now_s), other_cost)


def accepted_failing(best_failing: float) -> float:
    """Returns the highest probability to fail of instances that get requests.

    An instance that fails immediately always has free slots, and would attract
    all requests that better instances cannot take, if it were not left out.

    Args:
        best_failing: The lowest probability with which an instance fails.
    """
    if best_failing <= instance_state.UNHEALTHY_THRESHOLD:
        return instance_state.UNHEALTHY_THRESHOLD
    return best_failing + UNHEALTHY_MARGIN


def _cost_once(ranked: _RankedInstance) -> float:
    return ranked.failing + ranked.other_cost


def _cost_retryable(ranked: _RankedInstance) -> float:
    return ranked.failing * RETRYABLE_COST + ranked.other_cost


def _failing(ranked: _RankedInstance) -> float:
    return ranked.failing


def _remove(
    sorted_list: list[_RankedInstance],
    ranked: _RankedInstance,
    key: typing.Callable[[_RankedInstance], float],
) -> None:
    """Removes an instance from a list that is sorted by a key."""
    index = bisect.bisect_left(sorted_list, key(ranked), key=key)
    del sorted_list[sorted_list.index(ranked, index)]
