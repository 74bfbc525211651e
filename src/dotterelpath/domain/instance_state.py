"""The state that a daemon keeps of an instance that it sends requests to."""

from __future__ import annotations

import math

from dotterelpath.domain import health_filter
from dotterelpath.domain import registry
from dotterelpath.domain import request_limits

# The time constant with which the reported load of other daemons decays, in
# seconds: about the duration of one request.
PEER_LOAD_DECAY_S = 0.5
# The share of a slot that must be free for another request. The estimated load
# is fractional, since the reported load decays.
MIN_FREE_SLOT_SHARE = 0.5
# An instance that fails the next request with a higher probability than this is
# avoided while the service has healthy instances, even if the request has to
# wait for one of them.
UNHEALTHY_THRESHOLD = 0.3
# The evidence of rejections is dropped when the probability that it stands for
# is within this margin of that of an instance without observations.
REJECTION_MARGIN = 0.02
# An instance at which a request was open for long at most this many seconds ago
# may hang, if it fails the next request with a higher probability than this.
# Unhealthy periods last 8 to 13 s.
LATE_S = 10.0
MAX_HANG_FAILING = 0.04
# How often it is checked whether this daemon holds a request limit by now, in
# seconds.
LIMIT_CHECK_S = 0.05


class InstanceState:
    """The load and the health of an instance, as known to this daemon."""

    __slots__ = (
        "_in_flight",
        "entry",
        "failure_filter",
        "freed_to",
        "is_entry_missing",
        "joined_s",
        "late_s",
        "last_sent_s",
        "peer_load",
        "peer_load_at_s",
        "rejection_filter",
        "request_limit",
        "slow_filter",
        "served_s",
        "symptom_s",
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
        # The rejections of requests below full, apart from health; None while
        # the instance is not known to reject any.
        self.rejection_filter: health_filter.HealthFilter | None = None
        self._in_flight = 0
        # Gets this instance when its load changes; set by a ranking that leaves
        # out the instance while it is full.
        self.freed_to: list[InstanceState] | None = None
        self.is_entry_missing = False
        self.peer_load = 0.0
        self.peer_load_at_s = -math.inf
        # The limit that the instance names, if it does.
        self.request_limit: request_limits.RequestLimit | None = None
        self.warm_up_ends_s = now_s + entry.warm_up_s
        self.joined_s = now_s if is_late_joiner else None
        self.last_sent_s: float | None = None
        # When the instance last served a request, here or at a peer, and when
        # it last showed a symptom.
        self.served_s = -math.inf
        # When a request was last open there for long.
        self.late_s = -math.inf
        self.symptom_s = -math.inf

    @property
    def id(self) -> str:
        """The instance's id."""
        return self.entry.id

    @property
    def in_flight(self) -> int:
        """The requests from this daemon at the instance."""
        return self._in_flight

    @in_flight.setter
    def in_flight(self, count: int) -> None:
        is_freed = count < self._in_flight
        self._in_flight = count
        if is_freed:
            self.announce_freed()

    def announce_freed(self) -> None:
        """Tells the ranking that the instance may have a free slot."""
        if self.freed_to is not None:
            self.freed_to.append(self)
            self.freed_to = None

    def load(self, now_s: float) -> float:
        """Estimates the requests at the instance, from all daemons.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        if not self.peer_load:
            return self._in_flight
        age_s = now_s - self.peer_load_at_s
        return self._in_flight + self.peer_load * math.exp(
            -age_s / PEER_LOAD_DECAY_S
        )

    def has_free_slot(self, now_s: float, load: float | None = None) -> bool:
        """Tells whether another request would start at once.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
            load: The load at that time, if it is known.
        """
        if load is None:
            load = self.load(now_s)
        if load > self.entry.slots - MIN_FREE_SLOT_SHARE:
            return False
        limit = self.request_limit
        return limit is None or limit.may_send(now_s)

    def free_from_s(self, now_s: float) -> float:
        """Returns when a full instance may have a free slot, in seconds.

        Args:
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            A time on the monotonic clock, unless announce_freed is called
            before; infinite while only that frees the instance.
        """
        spare = self.entry.slots - MIN_FREE_SLOT_SHARE - self._in_flight
        if spare <= 0.0:
            return math.inf
        free_s = now_s
        if self.peer_load > spare:
            free_s = self.peer_load_at_s + PEER_LOAD_DECAY_S * math.log(
                self.peer_load / spare
            )
        if self.request_limit is not None:
            start_s = self.request_limit.next_start_s(now_s)
            free_s = max(free_s, min(start_s, now_s + LIMIT_CHECK_S))
        return free_s

    def record_sent(self, now_s: float) -> None:
        """Records that a request was sent to the instance.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self.in_flight += 1
        self.last_sent_s = now_s
        if self.request_limit is not None:
            self.request_limit.record_sent(now_s)

    def record_load(self, running: int, waiting: int, now_s: float) -> None:
        """Records the request counts that the instance reports.

        Args:
            running: Requests that the instance is processing.
            waiting: Requests in the instance's queue.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self.peer_load = float(max(0, running + waiting - self.in_flight))
        self.peer_load_at_s = now_s
        self.announce_freed()

    def idle_s(self, now_s: float) -> float:
        """Returns the time since the last request from here, in seconds.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return (
            math.inf if self.last_sent_s is None else now_s - self.last_sent_s
        )

    def is_slow(self, now_s: float) -> bool:
        """Tells whether the next response is probably slow.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return self.slow_filter.symptom_probability(now_s) > UNHEALTHY_THRESHOLD

    def may_hang(self, now_s: float) -> bool:
        """Tells whether a request was open for long that may be a hang.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return (
            now_s - self.late_s < LATE_S
            and self.failing(now_s) > MAX_HANG_FAILING
        )

    def failing(self, now_s: float) -> float:
        """Returns the probability that the instance fails the next request.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return self.failure_filter.symptom_probability(now_s)

    def rejecting(self, now_s: float) -> float:
        """Returns the probability that the instance rejects the next request.

        A rejected request was not run. After a rejection the probability is
        estimated as that of failures, until it is as low as for an instance
        without observations.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        known = self.rejection_filter
        if known is None:
            return 0.0
        probability = known.unhealthy_probability(now_s)
        if probability <= health_filter.PRIOR_UNHEALTHY + REJECTION_MARGIN:
            self.rejection_filter = None
            return 0.0
        return known.symptom_probability(now_s)

    def record_rejection(self, now_s: float) -> None:
        """Records that the instance rejected a request below full.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        if self.rejection_filter is None:
            # Starting from what the failure filter has learnt, rejecting
            # instances got 2.5 times as many attempts.
            self.rejection_filter = health_filter.HealthFilter(now_s)
        self.rejection_filter.observe(
            health_filter.Observation.FAILED_IMMEDIATELY, now_s
        )

    def record_acceptance(self, now_s: float) -> None:
        """Records that the instance took a request.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        if self.rejection_filter is not None:
            self.rejection_filter.observe(health_filter.Observation.GOOD, now_s)

    def unserved(self, now_s: float) -> float:
        """Returns the probability that the next request is not served.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return 1.0 - (1.0 - self.failing(now_s)) * (1.0 - self.rejecting(now_s))

    def is_unhealthy(self, now_s: float) -> bool:
        """Tells whether the instance is avoided if there are healthy ones.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return self.failing(now_s) > UNHEALTHY_THRESHOLD

    def is_avoided(self, now_s: float) -> bool:
        """Tells whether the instance is unhealthy or rejects requests.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return self.unserved(now_s) > UNHEALTHY_THRESHOLD
