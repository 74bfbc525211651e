"""Detects unhealthy instances by comparison with their siblings.

The siblings of an instance are the other instances of its service. The input
is the result of each request.
"""

from __future__ import annotations

import math
import statistics
import typing

from dotterelpath.domain import document

# The time constants of the counts, in seconds.
LONG_WINDOW_S = 2.0
SHORT_WINDOW_S = 0.25
# Lower bounds of the siblings' rates, per request.
MIN_FAILURE_RATE = 0.01
MIN_SLOW_RATE = 0.02
# A response is slow above the median latency of the instances times the factor
# plus the slack.
SLOW_FACTOR = 3.0
SLOW_SLACK_S = 0.002
# The weight of one response in the moving average of latency.
LATENCY_WEIGHT = 0.1
# The weight, in requests, of the prior of the siblings' rates, which is their
# lower bound.
PRIOR_COUNT = 5.0
# An unhealthy instance is assumed to have this excess over the siblings' rate,
# markedly or mildly, as a share of the distance from the siblings' rate to 1.
MARKED_EXCESS = 0.4
MILD_EXCESS = 0.05
# Upper bound of the siblings' rates, so that a rate can exceed them.
MAX_NORMAL_RATE = 0.9
# Upper bound of the scores, as a log-likelihood ratio.
MAX_SCORE = 40.0
# The time constant with which scores decay, in seconds.
SCORE_DECAY_S = 60.0
# The interval between updates of the siblings' medians, in seconds.
BASELINE_PERIOD_S = 0.1
# The scores from which an instance is reported to other daemons and avoided.
REPORT_SCORE = 4.0
AVOID_SCORE = 8.0
# The natural logarithm of the accepted probability of a false ejection.
EJECT_LOG_P = {
    document.EjectionPolicy.FALSE_EJECTIONS: -18.0,
    document.EjectionPolicy.DETECTION: -12.0,
}


class Detector(typing.Protocol):
    """Detects the unhealthy instances of one service."""

    def observe(
        self, instance: str, ok: bool, latency_s: float, now_s: float
    ) -> None:
        """Records the result of a request.

        Args:
            instance: The instance that got the request.
            ok: Whether the request succeeded.
            latency_s: The duration of the request, in seconds.
            now_s: The current time on the monotonic clock, in seconds.
        """

    def unhealthy(self) -> list[str]:
        """Lists the unhealthy instances, the worst first."""

    def scores(self) -> dict[str, float]:
        """Returns the scores that are reported to other daemons.

        Returns:
            The log-likelihood ratio of each suspected instance.
        """

    def forget(self, instance: str) -> None:
        """Removes the state of an instance.

        Args:
            instance: The instance.
        """


class ConsecutiveFailures:
    """A simple detector for comparison, which counts consecutive failures."""

    __slots__ = ("_limit", "_runs", "_timeout_s")

    def __init__(self, limit: int = 5, timeout_s: float = 1.0) -> None:
        """Creates the detector.

        Args:
            limit: The consecutive failures that make an instance unhealthy.
            timeout_s: The duration above which a response counts as a failure,
                in seconds.
        """
        self._limit = limit
        self._timeout_s = timeout_s
        self._runs: dict[str, int] = {}

    def observe(
        self, instance: str, ok: bool, latency_s: float, now_s: float
    ) -> None:
        """Records the result of a request; see Detector."""
        failed = not ok or latency_s > self._timeout_s
        self._runs[instance] = self._runs.get(instance, 0) + 1 if failed else 0

    def unhealthy(self) -> list[str]:
        """Lists the unhealthy instances, the worst first."""
        found = [i for i, run in self._runs.items() if run >= self._limit]
        return sorted(found, key=lambda i: -self._runs[i])

    def scores(self) -> dict[str, float]:
        """Gives each unhealthy instance the highest score; see Detector."""
        return dict.fromkeys(self.unhealthy(), MAX_SCORE)

    def forget(self, instance: str) -> None:
        """Removes the state of an instance; see Detector."""
        self._runs.pop(instance, None)


class EwmaOutlier:
    """A simple detector for comparison, by moving averages.

    An instance is unhealthy if its failure rate exceeds the median of the
    service by 0.2, or its latency the median times SLOW_FACTOR.
    """

    __slots__ = ("_failure", "_latency", "_weight")

    def __init__(self, weight: float = 0.1) -> None:
        """Creates the detector.

        Args:
            weight: The weight of a new observation.
        """
        self._weight = weight
        self._failure: dict[str, float] = {}
        self._latency: dict[str, float] = {}

    def observe(
        self, instance: str, ok: bool, latency_s: float, now_s: float
    ) -> None:
        """Records the result of a request; see Detector."""
        failure = self._failure.get(instance, 0.0)
        self._failure[instance] = failure + self._weight * (
            (0.0 if ok else 1.0) - failure
        )
        latency = self._latency.get(instance, latency_s)
        self._latency[instance] = latency + self._weight * (latency_s - latency)

    def unhealthy(self) -> list[str]:
        """Lists the unhealthy instances, the worst first."""
        if len(self._failure) < 2:
            return []
        failure = statistics.median(self._failure.values())
        latency = statistics.median(self._latency.values())
        found = [
            instance
            for instance, rate in self._failure.items()
            if rate > failure + 0.2
            or self._latency[instance] > latency * SLOW_FACTOR
        ]
        return sorted(found, key=lambda i: -self._failure[i])

    def scores(self) -> dict[str, float]:
        """Gives each unhealthy instance the highest score; see Detector."""
        return dict.fromkeys(self.unhealthy(), MAX_SCORE)

    def forget(self, instance: str) -> None:
        """Removes the state of an instance; see Detector."""
        self._failure.pop(instance, None)
        self._latency.pop(instance, None)


class _Counts:
    """Exponentially decaying counts of requests."""

    __slots__ = ("_window_s", "at_s", "count", "failures", "slow")

    def __init__(self, now_s: float, window_s: float) -> None:
        self._window_s = window_s
        self.at_s = now_s
        self.count = 0.0
        self.failures = 0.0
        self.slow = 0.0

    def add(self, failed: bool, slow: bool, now_s: float) -> None:
        self.decay(now_s)
        self.count += 1.0
        self.failures += failed
        self.slow += slow

    def decay(self, now_s: float) -> None:
        factor = math.exp(-(now_s - self.at_s) / self._window_s)
        self.count *= factor
        self.failures *= factor
        self.slow *= factor
        self.at_s = now_s


class _Windows:
    """Counts over a long window, and over a short one for sudden changes."""

    __slots__ = ("long", "short")

    def __init__(self, now_s: float) -> None:
        self.long = _Counts(now_s, LONG_WINDOW_S)
        self.short = _Counts(now_s, SHORT_WINDOW_S)

    def add(self, failed: bool, slow: bool, now_s: float) -> None:
        self.long.add(failed, slow, now_s)
        self.short.add(failed, slow, now_s)

    def decay(self, now_s: float) -> None:
        self.long.decay(now_s)
        self.short.decay(now_s)


class _InstanceState:
    """The counts and the CUSUM scores of one instance."""

    __slots__ = (
        "counts",
        "failure_score",
        "latency_s",
        "mild_failure_score",
        "slow_score",
    )

    def __init__(self, now_s: float) -> None:
        self.counts = _Windows(now_s)
        self.latency_s: float | None = None
        self.failure_score = 0.0
        self.mild_failure_score = 0.0
        self.slow_score = 0.0

    @property
    def score(self) -> float:
        """The highest of the scores."""
        return max(self.failure_score, self.mild_failure_score, self.slow_score)

    def decay(self, now_s: float) -> None:
        """Decays the scores, so that they do not persist under low traffic."""
        factor = math.exp(-(now_s - self.counts.long.at_s) / SCORE_DECAY_S)
        self.failure_score *= factor
        self.mild_failure_score *= factor
        self.slow_score *= factor


class CusumDetector:
    """A CUSUM test of log-likelihood ratios against the sibling instances.

    The null hypothesis is that the instance fails (or is slow) as often as its
    siblings do now. The alternatives are that it fails mildly more often, and
    that it fails (or is slow) markedly more often. Each alternative has a
    score: the sum of the log-likelihood ratios of the requests, held at zero or
    above (Page, 1954). The score of a healthy instance stays near zero, that of
    an unhealthy one rises steadily. The median score of the instances is
    subtracted, so that no instance is ejected when the whole service degrades.
    """

    __slots__ = (
        "_baseline_at_s",
        "_baseline_score",
        "_instances",
        "_slow_above_s",
        "_suspects",
        "_threshold",
        "_total",
    )

    def __init__(self, threshold: float = AVOID_SCORE) -> None:
        """Creates a detector for one service.

        Args:
            threshold: The log-likelihood ratio at which an instance is
                unhealthy.
        """
        self._threshold = threshold
        self._instances: dict[str, _InstanceState] = {}
        self._suspects: set[str] = set()
        self._total = _Windows(0.0)
        self._baseline_at_s = -math.inf
        self._baseline_score = 0.0
        self._slow_above_s = math.inf

    def observe(
        self, instance: str, ok: bool, latency_s: float, now_s: float
    ) -> None:
        """Records the result of a request; see Detector."""
        state = self._instances.get(instance)
        if state is None:
            state = self._instances[instance] = _InstanceState(now_s)
        if now_s - self._baseline_at_s > BASELINE_PERIOD_S:
            self._refresh_baseline(now_s)
        slow = ok and latency_s > self._slow_above_s
        state.decay(now_s)
        state.counts.decay(now_s)
        self._total.decay(now_s)
        self._score(state, not ok, slow)
        state.counts.add(not ok, slow, now_s)
        self._total.add(not ok, slow, now_s)
        if ok:
            state.latency_s = _moving_average(state.latency_s, latency_s)
        if state.score >= REPORT_SCORE:
            self._suspects.add(instance)
        else:
            self._suspects.discard(instance)

    def unhealthy(self) -> list[str]:
        """Lists the unhealthy instances, the worst first."""
        found = [
            (-score, instance)
            for instance, score in self.scores().items()
            if score >= self._threshold
        ]
        return [instance for _, instance in sorted(found)]

    def scores(self) -> dict[str, float]:
        """Returns the scores that are reported to other daemons."""
        if not self._suspects:
            return {}
        found = {}
        for instance in self._suspects:
            excess = self._instances[instance].score - self._baseline_score
            if excess >= REPORT_SCORE:
                found[instance] = excess
        return found

    def forget(self, instance: str) -> None:
        """Removes the state of an instance; see Detector."""
        self._instances.pop(instance, None)
        self._suspects.discard(instance)

    def _refresh_baseline(self, now_s: float) -> None:
        """Updates the slowness threshold and the median score."""
        self._baseline_at_s = now_s
        known = self._instances.values()
        latencies_s = [e.latency_s for e in known if e.latency_s is not None]
        self._slow_above_s = math.inf
        if len(latencies_s) > 1:
            median_s = statistics.median(latencies_s)
            self._slow_above_s = median_s * SLOW_FACTOR + SLOW_SLACK_S
        # An instance without siblings cannot be an outlier.
        self._baseline_score = math.inf
        if len(self._instances) > 1:
            self._baseline_score = statistics.median_low(e.score for e in known)

    def _score(self, state: _InstanceState, failed: bool, slow: bool) -> None:
        failure_rate = self._sibling_rate(state, "failures", MIN_FAILURE_RATE)
        state.failure_score = _cusum(
            state.failure_score, failed, failure_rate, MARKED_EXCESS
        )
        state.mild_failure_score = _cusum(
            state.mild_failure_score, failed, failure_rate, MILD_EXCESS
        )
        if failed:
            return
        slow_rate = self._sibling_rate(state, "slow", MIN_SLOW_RATE)
        state.slow_score = _cusum(
            state.slow_score, slow, slow_rate, MARKED_EXCESS
        )

    def _sibling_rate(
        self, state: _InstanceState, event_kind: str, min_rate: float
    ) -> float:
        """Returns the event rate of the siblings: the higher of both windows.

        Args:
            state: The instance that is compared.
            event_kind: The field of the counts: "failures" or "slow".
            min_rate: The lowest rate to return, which also is the prior.
        """
        highest = min_rate
        for all_counts, own_counts in (
            (self._total.long, state.counts.long),
            (self._total.short, state.counts.short),
        ):
            count = max(0.0, all_counts.count - own_counts.count)
            events = getattr(all_counts, event_kind) - getattr(
                own_counts, event_kind
            )
            rate = (max(0.0, events) + PRIOR_COUNT * min_rate) / (
                count + PRIOR_COUNT
            )
            highest = max(highest, rate)
        return min(highest, MAX_NORMAL_RATE)


def _cusum(
    score: float, event: bool, normal_rate: float, excess: float
) -> float:
    """Returns the next value of a sum of log-likelihood ratios.

    Args:
        score: The sum so far.
        event: Whether the request failed or was slow.
        normal_rate: The rate of the event at the siblings.
        excess: MARKED_EXCESS or MILD_EXCESS.
    """
    elevated_rate = normal_rate + excess * (1.0 - normal_rate)
    if event:
        step = math.log(elevated_rate / normal_rate)
    else:
        step = math.log((1.0 - elevated_rate) / (1.0 - normal_rate))
    return min(max(0.0, score + step), MAX_SCORE)


def _moving_average(average: float | None, value: float) -> float:
    if average is None:
        return value
    return average + LATENCY_WEIGHT * (value - average)


def combined_log_p(scores: list[float], daemons: int) -> float:
    """Combines the scores that several daemons have computed for an instance.

    The score of a healthy instance exceeds x with a probability of at most
    exp(-x). The sum of the k highest of m scores is therefore bounded by a
    gamma distribution of order k, times the ways to choose k of m.

    Args:
        scores: The log-likelihood ratios of the daemons that report one.
        daemons: The number of daemons that may report a score.

    Returns:
        The natural logarithm of a bound on the probability that a healthy
        instance gets such scores, for the k that gives the lowest bound.
    """
    best = 0.0
    total = 0.0
    for k, score in enumerate(sorted(scores, reverse=True), start=1):
        total += score
        terms = [n * math.log(total) - math.lgamma(n + 1.0) for n in range(k)]
        largest = max(terms)
        tail = largest + math.log(sum(math.exp(t - largest) for t in terms))
        ways = (
            math.lgamma(daemons + 1.0)
            - math.lgamma(k + 1.0)
            - math.lgamma(max(daemons - k, 0) + 1.0)
        )
        best = min(best, tail - total + ways)
    return best
