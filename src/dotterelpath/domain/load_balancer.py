"""Chooses the instance that gets a request, by expected cost."""

from __future__ import annotations

import enum
import heapq
import math
import typing

from dotterelpath.domain import health_filter
from dotterelpath.domain import probing
from dotterelpath.domain import registry
from dotterelpath.ports import randomness

# A response is slow if it takes longer than this factor times the typical
# duration plus the slack. The durations of the services on the users' platform
# are lognormal, with a spread such that one healthy response in a hundred
# is slow.
SLOW_FACTOR = 4.0
SLOW_SLACK_S = 0.05
# A failure within this share of the typical duration is immediate: the instance
# is assumed to have done no work.
IMMEDIATE_SHARE = 0.25
# The weight of one response in the moving average of durations.
DURATION_WEIGHT = 0.1
# The time constant with which the reported load of other daemons decays, in
# seconds: about the duration of one request.
PEER_LOAD_DECAY_S = 0.5
# The costs of sending a request to an instance, relative to the cost of a lost
# request, which is 1. RETRYABLE_COST is the cost of a failed request that can
# be retried, SLOW_COST that of a slow response.
SLOW_COST = 0.5
RETRYABLE_COST = 0.4
UTILIZATION_COST = 0.05
DISTANCE_COST = 0.05
WARM_UP_COST = 0.1
TIE_BREAK_COST = 0.005
# An instance that fails the next request with a higher probability than this is
# avoided while the service has healthy instances, even if the request has to
# wait for one of them.
UNHEALTHY_THRESHOLD = 0.3
# An instance that fails the next request with at most this probability rather
# serves it than not.
EVEN_CHANCE = 0.5
# The fraction of the allowance for unused instances that a daemon makes use of.
# The rest is a margin, since other daemons may leave out other instances.
UNUSED_MARGIN = 0.75
# The share of a slot that must be free for another request. The estimated load
# is fractional, since the reported load decays.
MIN_FREE_SLOT_SHARE = 0.5


class Instance:
    """The state that this daemon keeps of an instance."""

    __slots__ = (
        "entry",
        "failure_filter",
        "in_flight",
        "is_entry_missing",
        "joined_s",
        "last_sent_s",
        "peer_load",
        "peer_load_at_s",
        "slow_filter",
        "warm_up_ends_s",
    )

    def __init__(
        self, entry: registry.Entry, now_s: float, is_late_joiner: bool
    ) -> None:
        """Creates the state of an instance without observations.

        Args:
            entry: The instance's entry in the registry.
            now_s: The current time on the monotonic clock, in seconds.
            is_late_joiner: Whether the instance was added to a running service.
        """
        self.entry = entry
        self.failure_filter = health_filter.HealthFilter(now_s)
        self.slow_filter = health_filter.HealthFilter(now_s)
        self.in_flight = 0
        self.is_entry_missing = False
        self.peer_load = 0.0
        self.peer_load_at_s = -math.inf
        self.warm_up_ends_s = now_s + entry.warm_up_s
        self.joined_s = now_s if is_late_joiner else None
        self.last_sent_s: float | None = None

    @property
    def id(self) -> str:
        """The instance's id."""
        return self.entry.id

    def load(self, now_s: float) -> float:
        """Estimates the requests at the instance, from all daemons.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        age_s = now_s - self.peer_load_at_s
        return self.in_flight + self.peer_load * math.exp(
            -age_s / PEER_LOAD_DECAY_S
        )

    def record_load(self, running: int, waiting: int, now_s: float) -> None:
        """Records the request counts that the instance reports.

        Args:
            running: Requests that the instance is processing.
            waiting: Requests in the instance's queue.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self.peer_load = float(max(0, running + waiting - self.in_flight))
        self.peer_load_at_s = now_s


class Reason(enum.Enum):
    """Why an instance was chosen."""

    # The lowest cost.
    BEST = "best"
    # The instance has gone too long without a request; see probing.
    PROBE = "due"
    # The instance is unhealthy, but no healthy one is usable.
    UNHEALTHY = "sick"


class Selection:
    """The instance chosen for a request, or the reason why there is none."""

    __slots__ = ("instance", "is_full", "reason")

    def __init__(
        self,
        instance: Instance | None,
        is_full: bool,
        reason: Reason = Reason.BEST,
    ) -> None:
        """Creates a selection.

        Args:
            instance: The instance that gets the request; None if there is none.
            is_full: Whether all usable instances are at capacity, so that
                waiting for a slot makes sense.
            reason: Why the instance was chosen.
        """
        self.instance = instance
        self.is_full = is_full
        self.reason = reason


class LoadBalancer:
    """Chooses instances of a service by cost, and tracks their state.

    The cost of an instance is made up of the probabilities that it fails the
    request or is slow, its utilization, its distance and its warm-up.
    """

    __slots__ = (
        "_data_centre",
        "_discovery_ends_s",
        "_instances",
        "_typical_by_route_s",
    )

    def __init__(self, data_centre: str) -> None:
        """Creates a load balancer without instances.

        Args:
            data_centre: This daemon's data centre.
        """
        self._data_centre = data_centre
        self._instances: dict[str, Instance] = {}
        self._typical_by_route_s: dict[str, float] = {}
        self._discovery_ends_s: float | None = None

    @property
    def instances(self) -> dict[str, Instance]:
        """The instances that may get requests, by id."""
        return self._instances

    def set_listed(
        self, listed: typing.Iterable[registry.RegisteredInstance], now_s: float
    ) -> None:
        """Updates the instances of the service.

        The state of an instance is kept unless the instance has restarted.

        Args:
            listed: The instances that may get requests.
            now_s: The current time on the monotonic clock, in seconds.
        """
        if self._discovery_ends_s is None:
            self._discovery_ends_s = now_s + probing.DISCOVERY_S
        is_late_joiner = now_s >= self._discovery_ends_s
        before = self._instances
        self._instances = {}
        for item in listed:
            entry = item.entry
            found = before.get(entry.id)
            if found is None or found.entry.started_ms != entry.started_ms:
                found = Instance(entry, now_s, is_late_joiner)
            found.entry = entry
            found.is_entry_missing = item.missing_since_s is not None
            self._instances[entry.id] = found

    def drop(self, instance_id: str) -> None:
        """Removes an instance, so that it gets no more requests.

        Args:
            instance_id: The instance.
        """
        self._instances.pop(instance_id, None)

    def choose(
        self,
        random: randomness.RandomSource,
        now_s: float,
        can_retry: bool,
        tried: typing.Collection[str] = (),
        is_degraded: bool = False,
        unhealthy_limit: float | None = None,
        min_used_share: float = 1.0,
    ) -> Selection:
        """Chooses the instance with the lowest cost, or one to probe.

        Args:
            random: Breaks ties.
            now_s: The current time on the monotonic clock, in seconds.
            can_retry: Whether a failed request can be retried at another
                instance.
            tried: Ids of the instances that the request was sent to before.
            is_degraded: Whether many requests of the service fail, so that
                every instance must be probed regularly.
            unhealthy_limit: If given, an unhealthy instance is chosen, since
                the healthy ones have no capacity, and it fails the request at
                most with this probability.
            min_used_share: The share of the instances that must get requests
                while the service is degraded.

        Returns:
            The chosen instance; if there is none, whether all are at capacity.
        """
        usable = [i for i in self._instances.values() if i.id not in tried]
        # Instances with a missing entry are used only if there are no others.
        usable = [i for i in usable if not i.is_entry_missing] or usable
        probe = None
        if not tried and unhealthy_limit is None:
            exempt: typing.Collection[Instance] = ()
            if is_degraded and not can_retry:
                exempt = _worst(usable, min_used_share, now_s)
            probe = self._probe_target(
                [i for i in usable if i not in exempt],
                can_retry,
                is_degraded,
                now_s,
            )
        if probe is not None:
            return Selection(probe, False, Reason.PROBE)
        if unhealthy_limit is not None:
            reason = Reason.UNHEALTHY
            candidates = [
                (instance, failing)
                for instance, failing in _with_failing(usable, now_s)
                if UNHEALTHY_THRESHOLD < failing <= unhealthy_limit
            ]
        else:
            reason, candidates = _healthiest(usable, now_s)
        best: Instance | None = None
        best_cost = math.inf
        for instance, failing in candidates:
            load = instance.load(now_s)
            if load > instance.entry.slots - MIN_FREE_SLOT_SHARE:
                continue
            cost = self._cost(instance, load, failing, can_retry, now_s)
            cost += TIE_BREAK_COST * random.random()
            if cost < best_cost:
                best, best_cost = instance, cost
        return Selection(best, best is None and bool(candidates), reason)

    def healthy_slots(self, now_s: float) -> int:
        """Counts the slots of the instances that requests wait for.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        _, candidates = _healthiest(list(self._instances.values()), now_s)
        return sum(instance.entry.slots for instance, _ in candidates)

    def typical_s(self, route: str, default_s: float) -> float:
        """Returns the typical duration of a route's requests, in seconds.

        Args:
            route: The route's name.
            default_s: The duration to assume before the first response, in
                seconds.
        """
        return self._typical_by_route_s.get(route, default_s)

    def slow_after_s(self, route: str, default_s: float) -> float:
        """Returns the duration above which a response is slow, in seconds.

        Args:
            route: The route's name.
            default_s: The typical duration to assume before the first
                response, in seconds.
        """
        typical_s = self.typical_s(route, default_s)
        return typical_s * SLOW_FACTOR + SLOW_SLACK_S

    def is_immediate(self, route: str, default_s: float, took_s: float) -> bool:
        """Tells whether a response came too fast for any work to be done.

        Args:
            route: The route's name.
            default_s: The typical duration to assume before the first
                response, in seconds.
            took_s: The duration of the request, in seconds.
        """
        return took_s < self.typical_s(route, default_s) * IMMEDIATE_SHARE

    def record_success(
        self, instance_id: str, route: str, took_s: float, now_s: float
    ) -> bool:
        """Records a successful response.

        Slow responses are not recorded as slow here: record_slow does so while
        the request is still running.

        Args:
            instance_id: The instance.
            route: The route's name.
            took_s: The duration of the request, in seconds.
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Whether the instance was considered unhealthy until now.
        """
        is_slow = took_s > self.slow_after_s(route, took_s)
        typical_s = self._typical_by_route_s.get(route, took_s)
        if not is_slow:
            step_s = took_s - typical_s
            self._typical_by_route_s[route] = (
                typical_s + DURATION_WEIGHT * step_s
            )
        instance = self._instances.get(instance_id)
        if instance is None:
            return False
        was_unhealthy = _is_unhealthy(instance, now_s)
        instance.failure_filter.observe(health_filter.Observation.GOOD, now_s)
        if not is_slow:
            instance.slow_filter.observe(health_filter.Observation.GOOD, now_s)
        return was_unhealthy

    def record_peer_success(self, instance_id: str, now_s: float) -> None:
        """Records that an instance served a request of another daemon.

        Args:
            instance_id: The instance.
            now_s: The current time on the monotonic clock, in seconds.
        """
        instance = self._instances.get(instance_id)
        if instance is not None:
            instance.failure_filter.observe(
                health_filter.Observation.GOOD, now_s
            )

    def record_failure(
        self, instance_id: str, is_immediate: bool, now_s: float
    ) -> float | None:
        """Records a failed request.

        Args:
            instance_id: The instance.
            is_immediate: Whether the instance failed without doing any work.
            now_s: The time of the failure on the monotonic clock, in seconds.

        Returns:
            The probability that the instance is unhealthy, or None if the
            instance is not known.
        """
        instance = self._instances.get(instance_id)
        if instance is None:
            return None
        observation = health_filter.Observation.FAILED_LATE
        if is_immediate:
            observation = health_filter.Observation.FAILED_IMMEDIATELY
        instance.failure_filter.observe(observation, now_s)
        return instance.failure_filter.unhealthy_probability(now_s)

    def record_slow(self, instance_id: str, now_s: float) -> float | None:
        """Records that a request takes longer than is typical.

        Args:
            instance_id: The instance.
            now_s: The time of the observation on the monotonic clock, in
                seconds.

        Returns:
            The probability that the instance is slow, or None if the instance
            is not known.
        """
        instance = self._instances.get(instance_id)
        if instance is None:
            return None
        instance.slow_filter.observe(health_filter.Observation.SLOW, now_s)
        return instance.slow_filter.unhealthy_probability(now_s)

    def _probe_target(
        self,
        usable: list[Instance],
        can_retry: bool,
        is_degraded: bool,
        now_s: float,
    ) -> Instance | None:
        """Returns the instance that has waited longest for a due probe.

        Only instances of this data centre are probed. The daemons of the other
        data centres probe the instances there.
        """
        candidates = [
            instance
            for instance in usable
            if instance.entry.data_centre == self._data_centre
            and instance.load(now_s)
            <= instance.entry.slots - MIN_FREE_SLOT_SHARE
            and probing.is_probe_due(
                instance.last_sent_s,
                instance.joined_s,
                can_retry,
                is_degraded,
                _is_unhealthy(instance, now_s),
                now_s,
            )
        ]
        return min(candidates, key=_last_sent_s, default=None)

    def _cost(
        self,
        instance: Instance,
        load: float,
        failing: float,
        can_retry: bool,
        now_s: float,
    ) -> float:
        """Computes the expected cost of sending a request to an instance."""
        slow = instance.slow_filter.symptom_probability(now_s)
        utilization = (load + 1.0) / max(1, instance.entry.slots)
        cost = failing * (RETRYABLE_COST if can_retry else 1.0)
        cost += slow * SLOW_COST + utilization * utilization * UTILIZATION_COST
        if instance.entry.data_centre != self._data_centre:
            cost += DISTANCE_COST
        if now_s < instance.warm_up_ends_s:
            cost += WARM_UP_COST
        return cost


def _with_failing(
    instances: list[Instance], now_s: float
) -> list[tuple[Instance, float]]:
    """Returns each instance with the probability that it fails a request."""
    return [
        (instance, instance.failure_filter.symptom_probability(now_s))
        for instance in instances
    ]


def _healthiest(
    instances: list[Instance], now_s: float
) -> tuple[Reason, list[tuple[Instance, float]]]:
    """Returns the instances that get requests, with their probability to fail.

    These are the healthy ones; if there are none, those that rather serve a
    request than fail it; if there are none either, all. Requests wait for a
    free slot of these, since an instance that fails immediately always has free
    slots and would attract all requests that the better ones cannot take.
    """
    rated = _with_failing(instances, now_s)
    for reason, limit in (
        (Reason.BEST, UNHEALTHY_THRESHOLD),
        (Reason.UNHEALTHY, EVEN_CHANCE),
    ):
        found = [item for item in rated if item[1] <= limit]
        if found:
            return reason, found
    return Reason.UNHEALTHY, rated


def _worst(
    instances: list[Instance], min_used_share: float, now_s: float
) -> list[Instance]:
    """Returns the instances that a degraded service may leave unused.

    A probe with a request that cannot be retried most likely fails at them.
    """
    allowance = (1.0 - min_used_share) * UNUSED_MARGIN
    count = int(len(instances) * allowance)
    if not count:
        return []
    return heapq.nlargest(
        count,
        instances,
        key=lambda i: i.failure_filter.symptom_probability(now_s),
    )


def _last_sent_s(instance: Instance) -> float:
    return -math.inf if instance.last_sent_s is None else instance.last_sent_s


def _is_unhealthy(instance: Instance, now_s: float) -> bool:
    return (
        instance.failure_filter.symptom_probability(now_s) > UNHEALTHY_THRESHOLD
    )
