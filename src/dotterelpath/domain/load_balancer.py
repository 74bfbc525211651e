"""Chooses the instance that gets a request, by expected cost."""

from __future__ import annotations

import enum
import math
import typing

from dotterelpath.domain import health_filter
from dotterelpath.domain import instance_state
from dotterelpath.domain import late_evidence
from dotterelpath.domain import probe_search
from dotterelpath.domain import probing
from dotterelpath.domain import ranking
from dotterelpath.domain import registry
from dotterelpath.domain import request_limits
from dotterelpath.domain import success_log
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
# An instance that fails the next request with at most this probability rather
# serves it than not.
EVEN_CHANCE = 0.5
# The age of a success that a peer reports, in seconds, at most.
MAX_REPORT_AGE_S = 2.0 * success_log.REPORT_PERIOD_S


class Reason(enum.Enum):
    """Why an instance was chosen."""

    # The lowest cost.
    BEST = "best"
    # The instance has gone too long without a request; see probing.
    PROBE = "due"
    # The instance is unhealthy, but no healthy one is usable.
    UNHEALTHY = "sick"
    # The instance rejects many requests as not run, and no other is usable.
    REJECTING = "rejecting"


class Selection:
    """The instance chosen for a request, or the reason why there is none."""

    __slots__ = ("can_wait", "instance", "reason")

    def __init__(
        self,
        instance: instance_state.InstanceState | None,
        can_wait: bool,
        reason: Reason = Reason.BEST,
    ) -> None:
        """Creates a selection.

        Args:
            instance: The instance that gets the request; None if there is none.
            can_wait: Whether there is none now, but waiting for a slot makes
                sense.
            reason: Why the instance was chosen.
        """
        self.instance = instance
        self.can_wait = can_wait
        self.reason = reason


class LoadBalancer:
    """Chooses instances of a service by cost, and tracks their state."""

    __slots__ = (
        "_data_centre",
        "_durations_by_route",
        "_discovery_ends_s",
        "_idle_searched_s",
        "_ids_of_missing_entries",
        "_instances",
        "_limited",
        "_probe_search",
        "_ranking",
        "_typical_by_route_s",
        "_withheld",
        "_withheld_s",
    )

    def __init__(self, data_centre: str) -> None:
        """Creates a load balancer without instances.

        Args:
            data_centre: This daemon's data centre.
        """
        self._data_centre = data_centre
        self._instances: dict[str, instance_state.InstanceState] = {}
        self._limited: dict[str, instance_state.InstanceState] = {}
        # The instances whose limit another daemon holds, and when they were
        # last searched.
        self._withheld: frozenset[str] = frozenset()
        self._withheld_s = -math.inf
        self._ids_of_missing_entries: frozenset[str] = frozenset()
        self._ranking = ranking.Ranking(data_centre)
        self._probe_search = probe_search.ProbeSearch()
        self._idle_searched_s = -math.inf
        self._typical_by_route_s: dict[str, float] = {}
        self._durations_by_route: dict[str, late_evidence.Durations] = {}
        self._discovery_ends_s: float | None = None

    @property
    def instances(self) -> dict[str, instance_state.InstanceState]:
        """The instances that may get requests, by id."""
        return self._instances

    @property
    def limited(self) -> dict[str, instance_state.InstanceState]:
        """The instances that name a limit of requests, by id."""
        return self._limited

    def set_request_limit(
        self,
        instance: instance_state.InstanceState,
        limit: request_limits.RequestLimit | None,
    ) -> None:
        """Sets or lifts the limit of requests of an instance.

        Args:
            instance: The instance.
            limit: The limit; None if the instance does not name one any more.
        """
        instance.request_limit = limit
        if limit is None:
            self._limited.pop(instance.id, None)
        else:
            self._limited[instance.id] = instance
        self._withheld_s = -math.inf
        self._ranking.invalidate()

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
        self._probe_search = probe_search.ProbeSearch()
        for item in listed:
            entry = item.entry
            found = before.get(entry.id)
            if found is None or found.entry.started_ms != entry.started_ms:
                found = instance_state.InstanceState(
                    entry, now_s, is_late_joiner
                )
            found.entry = entry
            found.is_entry_missing = item.missing_since_s is not None
            self._instances[entry.id] = found
        self._ids_of_missing_entries = frozenset(
            i.id for i in self._instances.values() if i.is_entry_missing
        )
        self._limited = {
            i.id: i
            for i in self._instances.values()
            if i.request_limit is not None
        }
        self._ranking.invalidate()

    def drop(self, instance_id: str) -> None:
        """Removes an instance, so that it gets no more requests.

        Args:
            instance_id: The instance.
        """
        self._instances.pop(instance_id, None)
        self._limited.pop(instance_id, None)
        self._probe_search = probe_search.ProbeSearch()
        self._ranking.invalidate()

    def choose(
        self,
        random: randomness.RandomSource,
        now_s: float,
        can_retry: bool,
        tried: typing.Collection[str] = (),
        is_degraded: bool = False,
        min_used_share: float = 1.0,
        covers_all: bool = False,
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
            min_used_share: The share of the instances that must get requests
                while the service is degraded.
            covers_all: Whether this daemon alone sends requests to that share
                of all instances, not only of its data centre's.

        Returns:
            The chosen instance; if there is none, whether to wait for one.
        """
        if not tried:
            probe = self._probe_search.next_due(
                self._usable_nearby,
                len(self._instances),
                can_retry,
                is_degraded,
                min_used_share,
                now_s,
            )
            if probe is not None:
                return Selection(probe, False, Reason.PROBE)
            idle = self._needed_idle_instance(
                can_retry, min_used_share, covers_all, now_s
            )
            if idle is not None:
                return Selection(idle, False)
        self._update_ranking(now_s)
        excluded = self._excluded(tried, now_s)
        best = self._ranking.best_failing(excluded)
        instance = self._ranking.cheapest(
            random,
            now_s,
            can_retry,
            excluded,
            0.0,
            ranking.accepted_failing(best),
        )
        if instance is None:
            can_wait = any(i not in excluded for i in self._instances)
            return Selection(None, can_wait)
        reason = Reason.BEST
        if instance.is_unhealthy(now_s):
            reason = Reason.UNHEALTHY
        elif instance.is_avoided(now_s):
            reason = Reason.REJECTING
        return Selection(instance, False, reason)

    def choose_unhealthy(
        self,
        random: randomness.RandomSource,
        now_s: float,
        can_retry: bool,
        tried: typing.Collection[str],
        max_failing: float,
    ) -> Selection:
        """Chooses an unhealthy instance for a request that cannot wait longer.

        Args:
            random: Breaks ties.
            now_s: The current time on the monotonic clock, in seconds.
            can_retry: Whether a failed request can be retried at another
                instance.
            tried: Ids of the instances that the request was sent to before.
            max_failing: The highest probability to fail the request that is
                accepted of an instance.
        """
        self._update_ranking(now_s)
        instance = self._ranking.cheapest(
            random,
            now_s,
            can_retry,
            self._excluded(tried, now_s),
            instance_state.UNHEALTHY_THRESHOLD,
            max_failing,
        )
        return Selection(instance, False, Reason.UNHEALTHY)

    def accepted_slots(self, now_s: float) -> int:
        """Counts the slots of the instances that requests wait for.

        Those of instances that name a limit are not shared by the daemons; see
        limited_slots.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._update_ranking(now_s)
        best = self._ranking.best_failing(self._excluded((), now_s))
        return self._ranking.slots(ranking.accepted_failing(best))

    def limited_slots(self, now_s: float) -> float:
        """Counts the slots that this daemon can use at limited instances.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        durations_s = self._typical_by_route_s.values()
        work_s = request_limits.ASSUMED_WORK_S
        if durations_s:
            work_s = sum(durations_s) / len(durations_s)
        return sum(
            min(
                float(instance.entry.slots),
                instance.request_limit.slots(work_s, now_s),
            )
            for instance in self._limited.values()
            if instance.request_limit is not None
        )

    def next_start_s(self, now_s: float) -> float:
        """Returns when the limits of instances next allow a request.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            A time on the monotonic clock, in seconds: now_s while an instance
            names no limit.
        """
        if len(self._limited) < len(self._instances):
            return now_s
        return min(
            (
                instance.request_limit.next_start_s(now_s)
                for instance in self._limited.values()
                if instance.request_limit is not None
            ),
            default=now_s,
        )

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

    def durations(
        self, route: str, default_s: float
    ) -> late_evidence.Durations:
        """Returns the distribution of the durations of a route's requests.

        Args:
            route: The route's name.
            default_s: The typical duration to assume before the first
                response, in seconds.
        """
        found = self._durations_by_route.get(route)
        if found is None:
            found = late_evidence.Durations(default_s)
            self._durations_by_route[route] = found
        return found

    def record_cancelled(
        self, route: str, default_s: float, age_s: float
    ) -> None:
        """Records a request that took at least some time when it was cancelled.

        Otherwise, hedges would make the typical duration shorter.

        Args:
            route: The route's name.
            default_s: The typical duration to assume before the first
                response, in seconds.
            age_s: The time, in seconds.
        """
        self.durations(route, default_s).record_cancelled(age_s)
        typical_s = self.typical_s(route, default_s)
        if typical_s < age_s <= self.slow_after_s(route, default_s):
            self._typical_by_route_s[route] = typical_s + DURATION_WEIGHT * (
                age_s - typical_s
            )

    def rank_again(
        self, instance: instance_state.InstanceState, now_s: float
    ) -> None:
        """Ranks an instance again after evidence of an open request.

        Args:
            instance: The instance.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._ranking.update_one(instance, now_s)

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
        self.durations(route, took_s).record(took_s)
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
        was_unhealthy = instance.is_avoided(now_s)
        instance.served_s = now_s
        instance.record_acceptance(now_s)
        instance.failure_filter.observe(health_filter.Observation.GOOD, now_s)
        if not is_slow:
            instance.slow_filter.observe(health_filter.Observation.GOOD, now_s)
        if was_unhealthy:
            self._ranking.update_one(instance, now_s)
        return was_unhealthy

    def record_peer_success(self, instance_id: str, now_s: float) -> None:
        """Records that an instance served a request of another daemon.

        Args:
            instance_id: The instance.
            now_s: The current time on the monotonic clock, in seconds.
        """
        instance = self._instances.get(instance_id)
        if instance is not None:
            instance.record_acceptance(now_s)
            instance.failure_filter.observe(
                health_filter.Observation.GOOD, now_s
            )
            self._ranking.update_one(instance, now_s)

    def record_peer_successes(
        self, instances: list[tuple[str, int]], now_s: float
    ) -> None:
        """Records instances that served requests of another daemon lately.

        A report that may be older than a symptom is ignored. Reports that
        follow a success within their period add no evidence, since the number
        of daemons must not make an instance look more reliable than it is.

        Args:
            instances: The id and the start time of each instance, in
                milliseconds since 1970.
            now_s: The current time on the monotonic clock, in seconds.
        """
        for instance_id, started_ms in instances:
            instance = self._instances.get(instance_id)
            if (
                instance is not None
                and instance.entry.started_ms == started_ms
                and now_s - instance.symptom_s > MAX_REPORT_AGE_S
                and now_s - instance.served_s > success_log.REPORT_PERIOD_S
            ):
                instance.served_s = now_s
                self.record_peer_success(instance_id, now_s)

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
        instance.symptom_s = now_s
        instance.failure_filter.observe(observation, now_s)
        self._ranking.update_one(instance, now_s)
        return instance.failure_filter.unhealthy_probability(now_s)

    def record_rejection(self, instance_id: str, now_s: float) -> float | None:
        """Records that an instance rejected a request as not run, below full.

        Args:
            instance_id: The instance.
            now_s: The time of the rejection on the monotonic clock, in seconds.

        Returns:
            The probability that the instance rejects the next request, or None
            if the instance is not known.
        """
        instance = self._instances.get(instance_id)
        if instance is None:
            return None
        instance.symptom_s = now_s
        instance.record_rejection(now_s)
        self._ranking.update_one(instance, now_s)
        return instance.rejecting(now_s)

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
        self._ranking.update_one(instance, now_s)
        return instance.slow_filter.unhealthy_probability(now_s)

    def _update_ranking(self, now_s: float) -> None:
        self._ranking.update(self._instances.values(), now_s)

    def _excluded(
        self, tried: typing.Collection[str], now_s: float
    ) -> typing.Collection[str]:
        """Returns the ids of the instances that a request must not get.

        Instances with a missing entry are used only if there are no others.
        Those whose limit another daemon holds are not used at all, and a
        request must not wait for them.

        Args:
            tried: Ids of the instances that the request was sent to before.
            now_s: The current time on the monotonic clock, in seconds.
        """
        if self._limited:
            tried = self._withheld_ids(now_s).union(tried)
        if not self._ids_of_missing_entries:
            return tried
        excluded = self._ids_of_missing_entries.union(tried)
        if all(i in excluded for i in self._instances):
            return tried
        return excluded

    def _withheld_ids(self, now_s: float) -> frozenset[str]:
        """Returns the ids of the instances whose limit another daemon holds.

        Looks at all limited instances, but not for each request.
        """
        if now_s - self._withheld_s >= probe_search.PERIOD_S:
            self._withheld_s = now_s
            self._withheld = frozenset(
                instance.id
                for instance in self._limited.values()
                if _is_withheld(instance, now_s)
            )
        return self._withheld

    def _needed_idle_instance(
        self,
        can_retry: bool,
        min_used_share: float,
        covers_all: bool,
        now_s: float,
    ) -> instance_state.InstanceState | None:
        """Returns the best idle instance if too many are idle.

        Like probes, these are instances of this data centre, unless this daemon
        covers all of them. Unlike probes, they are expected to serve the
        request.
        """
        if now_s - self._idle_searched_s < probe_search.period_s(
            len(self._instances)
        ):
            return None
        self._idle_searched_s = now_s
        period_s = probing.COVERAGE_PERIOD_S
        idle_times_s = [i.idle_s(now_s) for i in self._usable_nearby(now_s)]
        is_needed = probing.are_too_many_idle(
            idle_times_s, min_used_share, period_s
        )
        if not is_needed and covers_all:
            period_s = probing.COVERAGE_OF_ALL_PERIOD_S
            idle_times_s = [i.idle_s(now_s) for i in self._instances.values()]
            is_needed = probing.are_too_many_idle(
                idle_times_s, min_used_share, period_s
            )
        else:
            covers_all = False
        if not is_needed:
            return None
        self._update_ranking(now_s)
        return self._ranking.cheapest_idle(
            period_s, can_retry, covers_all, now_s
        )

    def _usable_nearby(
        self, now_s: float
    ) -> list[instance_state.InstanceState]:
        """Returns the usable instances of this data centre."""
        excluded = self._excluded((), now_s)
        return [
            instance
            for instance in self._instances.values()
            if instance.entry.data_centre == self._data_centre
            and instance.id not in excluded
        ]


def _is_withheld(instance: instance_state.InstanceState, now_s: float) -> bool:
    """Returns whether another daemon holds the limit of an instance."""
    limit = instance.request_limit
    return limit is not None and limit.next_start_s(now_s) == math.inf
