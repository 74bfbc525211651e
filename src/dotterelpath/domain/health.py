"""Detectors that judge an instance by real work against its siblings."""

from __future__ import annotations

import math
import statistics
import typing

from dotterelpath.domain import document

WINDOW_S = 2.0
MIN_FAILURE_RATE = 0.01
MIN_SLOW_RATE = 0.02
SLOW_FACTOR = 3.0
SLOW_SLACK_S = 0.002
THRESHOLDS = {
    document.Weigh.FALSE_EJECTIONS: 18.0,
    document.Weigh.DETECTION: 12.0,
}


class Detector(typing.Protocol):
    """Judges the instances of one service from the outcomes of real work."""

    def observe(
        self, instance: str, ok: bool, latency_s: float, now_s: float
    ) -> None:
        """Takes in one outcome.

        Args:
            instance: The instance that had the work.
            ok: Whether the instance did it.
            latency_s: How long it took, in seconds.
            now_s: A monotonic clock, in seconds.
        """

    def sick(self) -> list[str]:
        """Lists the instances judged sick, worst first."""

    def forget(self, instance: str) -> None:
        """Drops what is known of an instance.

        Args:
            instance: The instance.
        """


class ConsecutiveFailures:
    """Baseline: an instance is sick after a number of failures in a row."""

    __slots__ = ("_limit", "_runs", "_timeout_s")

    def __init__(self, limit: int = 5, timeout_s: float = 1.0) -> None:
        """Creates the baseline.

        Args:
            limit: Failures in a row.
            timeout_s: A slower answer counts as a failure, in seconds.
        """
        self._limit = limit
        self._timeout_s = timeout_s
        self._runs: dict[str, int] = {}

    def observe(
        self, instance: str, ok: bool, latency_s: float, now_s: float
    ) -> None:
        """Takes in one outcome; see Detector."""
        failed = not ok or latency_s > self._timeout_s
        self._runs[instance] = self._runs.get(instance, 0) + 1 if failed else 0

    def sick(self) -> list[str]:
        """Lists the instances judged sick, worst first."""
        found = [i for i, run in self._runs.items() if run >= self._limit]
        return sorted(found, key=lambda i: -self._runs[i])

    def forget(self, instance: str) -> None:
        """Drops what is known of an instance; see Detector."""
        self._runs.pop(instance, None)


class EwmaOutlier:
    """Baseline: moving averages against the median of the service."""

    __slots__ = ("_failure", "_latency", "_weight")

    def __init__(self, weight: float = 0.1) -> None:
        """Creates the baseline.

        Args:
            weight: The weight of a new observation.
        """
        self._weight = weight
        self._failure: dict[str, float] = {}
        self._latency: dict[str, float] = {}

    def observe(
        self, instance: str, ok: bool, latency_s: float, now_s: float
    ) -> None:
        """Takes in one outcome; see Detector."""
        failure = self._failure.get(instance, 0.0)
        self._failure[instance] = failure + self._weight * (
            (0.0 if ok else 1.0) - failure
        )
        latency = self._latency.get(instance, latency_s)
        self._latency[instance] = latency + self._weight * (latency_s - latency)

    def sick(self) -> list[str]:
        """Lists the instances judged sick, worst first."""
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

    def forget(self, instance: str) -> None:
        """Drops what is known of an instance; see Detector."""
        self._failure.pop(instance, None)
        self._latency.pop(instance, None)


class _Evidence:
    """Decayed counts and log-likelihood ratios of one instance."""

    __slots__ = (
        "at_s",
        "count",
        "failures",
        "failure_score",
        "latency_s",
        "slow",
        "slow_score",
    )

    def __init__(self, now_s: float) -> None:
        self.at_s = now_s
        self.count = 0.0
        self.failures = 0.0
        self.slow = 0.0
        self.latency_s: float | None = None
        self.failure_score = 0.0
        self.slow_score = 0.0

    @property
    def score(self) -> float:
        """The stronger of both suspicions."""
        return max(self.failure_score, self.slow_score)

    def decay(self, now_s: float) -> None:
        factor = math.exp(-(now_s - self.at_s) / WINDOW_S)
        self.count *= factor
        self.failures *= factor
        self.slow *= factor
        self.at_s = now_s


class SequentialRatio:
    """CUSUM of log-likelihood ratios against the sibling instances.

    Two hypotheses are weighed with each outcome: the instance fails (or is
    slow) as often as its siblings do now, or markedly more often. The ratio is
    summed and held at zero or above (Page, 1954), so a healthy instance stays
    near zero and a sick one rises steadily. The median score of the siblings
    is subtracted, so that a service that degrades as a whole ejects nobody.
    """

    __slots__ = ("_evidence", "_threshold")

    def __init__(self, weigh: document.Weigh) -> None:
        """Creates a detector for one service.

        Args:
            weigh: Which error the service's owners fear more.
        """
        self._threshold = THRESHOLDS[weigh]
        self._evidence: dict[str, _Evidence] = {}

    @property
    def threshold(self) -> float:
        """The log-likelihood ratio at which an instance is sick."""
        return self._threshold

    def observe(
        self, instance: str, ok: bool, latency_s: float, now_s: float
    ) -> None:
        """Takes in one outcome; see Detector."""
        own = self._evidence.get(instance)
        if own is None:
            own = self._evidence[instance] = _Evidence(now_s)
        siblings = [e for e in self._evidence.values() if e is not own]
        slow = self._is_slow(siblings, ok, latency_s)
        self._score(own, siblings, not ok, slow)
        own.decay(now_s)
        own.count += 1.0
        own.failures += 0.0 if ok else 1.0
        own.slow += 1.0 if slow else 0.0
        if ok:
            own.latency_s = _moved(own.latency_s, latency_s)

    def sick(self) -> list[str]:
        """Lists the instances judged sick, worst first."""
        found = []
        for instance, evidence in self._evidence.items():
            if evidence.score < self._threshold:
                continue
            excess = evidence.score - self._common(evidence)
            if excess >= self._threshold:
                found.append((-excess, instance))
        return [instance for _, instance in sorted(found)]

    def score(self, instance: str) -> float:
        """Reads the suspicion of one instance.

        Args:
            instance: The instance.

        Returns:
            The log-likelihood ratio; 0 where nothing speaks against it.
        """
        evidence = self._evidence.get(instance)
        return 0.0 if evidence is None else evidence.score

    def forget(self, instance: str) -> None:
        """Drops what is known of an instance; see Detector."""
        self._evidence.pop(instance, None)

    def _common(self, own: _Evidence) -> float:
        others = [e.score for e in self._evidence.values() if e is not own]
        return statistics.median(others) if others else math.inf

    def _is_slow(
        self, siblings: list[_Evidence], ok: bool, latency_s: float
    ) -> bool:
        typical = [e.latency_s for e in siblings if e.latency_s is not None]
        if not ok or not typical:
            return False
        limit = statistics.median(typical) * SLOW_FACTOR + SLOW_SLACK_S
        return latency_s > limit

    def _score(
        self,
        own: _Evidence,
        siblings: list[_Evidence],
        failed: bool,
        slow: bool,
    ) -> None:
        cap = 2.0 * self._threshold
        count = sum(e.count for e in siblings) + 1.0
        failure_rate = sum(e.failures for e in siblings) / count
        own.failure_score = _cusum(
            own.failure_score, failed, failure_rate, MIN_FAILURE_RATE, cap
        )
        if failed:
            return
        slow_rate = sum(e.slow for e in siblings) / count
        own.slow_score = _cusum(
            own.slow_score, slow, slow_rate, MIN_SLOW_RATE, cap
        )


def _cusum(
    score: float, event: bool, rate: float, least: float, cap: float
) -> float:
    normal = min(max(rate, least), 0.9)
    raised = normal + 0.4 * (1.0 - normal)
    if event:
        step = math.log(raised / normal)
    else:
        step = math.log((1.0 - raised) / (1.0 - normal))
    return min(max(0.0, score + step), cap)


def _moved(average: float | None, value: float) -> float:
    if average is None:
        return value
    return average + 0.1 * (value - average)
