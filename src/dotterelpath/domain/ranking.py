"""Ranks the instances of a service by the expected cost of a request.

The cost of an instance is made up of the probabilities that it fails the
request or is slow, its utilization, its distance and its warm-up. All but the
utilization change slowly, and are computed for all instances a few times a
second. A choice then reads the ranking from the front, and stops as soon as no
later instance can cost less, so that it does not grow with the service.
"""

from __future__ import annotations

import bisect
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
# The most instances with a free slot that are compared for one choice.
MAX_COMPARED = 16


class _RankedInstance:
    """An instance with its slowly changing costs."""

    __slots__ = ("failing", "instance", "other_cost")

    def __init__(
        self,
        instance: instance_state.InstanceState,
        failing: float,
        other_cost: float,
    ) -> None:
        self.instance = instance
        self.failing = failing
        self.other_cost = other_cost


class Ranking:
    """The instances of a service, those of least cost first."""

    __slots__ = (
        "_best_failing",
        "_by_id",
        "_data_centre",
        "_is_outdated",
        "_ranked",
        "_ranked_retryable",
        "_ranked_s",
    )

    def __init__(self, data_centre: str) -> None:
        """Creates an empty ranking.

        Args:
            data_centre: This daemon's data centre.
        """
        self._data_centre = data_centre
        self._by_id: dict[str, _RankedInstance] = {}
        self._ranked: list[_RankedInstance] = []
        self._ranked_retryable: list[_RankedInstance] = []
        self._best_failing = 1.0
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
        period_s = max(PERIOD_S, len(self._ranked) * PERIOD_PER_INSTANCE_S)
        if not self._is_outdated and now_s - self._ranked_s < period_s:
            return
        self._is_outdated = False
        self._ranked_s = now_s
        self._ranked = [self._rate(i, now_s) for i in instances]
        self._by_id = {r.instance.id: r for r in self._ranked}
        self._ranked.sort(key=_cost_once)
        self._ranked_retryable = sorted(self._ranked, key=_cost_retryable)
        self._best_failing = self._lowest_failing()

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
        self._ranked.remove(old)
        bisect.insort(self._ranked, new, key=_cost_once)
        self._ranked_retryable.remove(old)
        bisect.insort(self._ranked_retryable, new, key=_cost_retryable)
        if old.failing <= self._best_failing:
            self._best_failing = self._lowest_failing()
        self._best_failing = min(self._best_failing, new.failing)

    def best_failing(self, excluded: typing.Collection[str] = ()) -> float:
        """Returns the lowest probability with which an instance fails.

        Args:
            excluded: Ids of instances that are left out.
        """
        left_out = (self._by_id.get(id) for id in excluded)
        if not any(r and r.failing <= self._best_failing for r in left_out):
            # The best instance is not among those left out. A request that was
            # sent before was mostly failed by instances that are worse.
            return self._best_failing
        return min(
            (
                ranked.failing
                for ranked in self._ranked
                if ranked.instance.id not in excluded
            ),
            default=1.0,
        )

    def slots(self, max_failing: float) -> int:
        """Counts the slots of the instances up to a probability of failure.

        Instances that name a limit of requests are left out.

        Args:
            max_failing: The highest probability that an instance fails the next
                request.
        """
        return sum(
            ranked.instance.entry.slots
            for ranked in self._ranked
            if ranked.failing <= max_failing
            and ranked.instance.request_limit is None
        )

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
        best: instance_state.InstanceState | None = None
        best_cost = math.inf
        compared = 0
        ranked_instances = self._ranked_retryable if can_retry else self._ranked
        weight = RETRYABLE_COST if can_retry else 1.0
        for ranked in ranked_instances:
            cost = ranked.failing * weight + ranked.other_cost
            if cost >= best_cost or compared == MAX_COMPARED:
                break
            instance = ranked.instance
            if (
                not min_failing < ranked.failing <= max_failing
                or instance.id in excluded
                or not instance.has_free_slot(now_s)
            ):
                continue
            compared += 1
            load = instance.load(now_s) + 1.0
            utilization = load / max(1, instance.entry.slots)
            cost += utilization * utilization * UTILIZATION_COST
            cost += TIE_BREAK_COST * random.random()
            if cost < best_cost:
                best, best_cost = instance, cost
        return best

    def cheapest_idle(
        self, idle_s: float, now_s: float
    ) -> instance_state.InstanceState | None:
        """Finds the best instance of this data centre that got no request.

        Unhealthy and slow instances are left out.

        Args:
            idle_s: The time without a request, in seconds.
            now_s: The current time on the monotonic clock, in seconds.
        """
        for ranked in self._ranked:
            instance = ranked.instance
            if (
                ranked.failing <= instance_state.UNHEALTHY_THRESHOLD
                and instance.entry.data_centre == self._data_centre
                and not instance.is_entry_missing
                and instance.idle_s(now_s) >= idle_s
                and instance.has_free_slot(now_s)
                and not instance.is_slow(now_s)
            ):
                return instance
        return None

    def _lowest_failing(self) -> float:
        return min((r.failing for r in self._ranked), default=1.0)

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
