"""Estimates how likely an instance is to fail the next request."""

from __future__ import annotations

import enum
import math

# The rates at which a healthy instance becomes impaired or failed, and at which
# an instance in either state recovers. Healthy periods last 18 to 38 s on
# average, the others 8 to 13 s.
ONSET_PER_S = 1.0 / 28.0
RECOVERY_PER_S = 1.0 / 10.0
# The share of the onsets after which the instance is impaired, not failed.
IMPAIRED_ONSET_SHARE = 0.3
# The probability that the next request shows the symptom, in each state.
HEALTHY_SYMPTOM_RATE = 0.01
IMPAIRED_SYMPTOM_RATE = 0.4
FAILED_SYMPTOM_RATE = 0.88
# The probability that an instance without observations is not healthy: the
# stationary distribution of the model.
PRIOR_UNHEALTHY = ONSET_PER_S / (ONSET_PER_S + RECOVERY_PER_S)
PRIOR_IMPAIRED = PRIOR_UNHEALTHY * IMPAIRED_ONSET_SHARE


class Observation(enum.Enum):
    """The result of one request, as a symptom of its instance."""

    GOOD = "good"
    # The request failed after about the typical duration. The cause may be the
    # request rather than the instance.
    FAILED_LATE = "failed late"
    # The request failed before any work was done: immediately, or with a broken
    # connection.
    FAILED_IMMEDIATELY = "failed at once"
    SLOW = "slow"


# The likelihood of each observation in the healthy, impaired and failed state.
# Healthy instances fail about one request in a hundred, and take the typical
# duration to do so. Instances that fail immediately are nearly always
# unhealthy.
_LIKELIHOODS = {
    Observation.GOOD: (
        0.98,
        1.0 - IMPAIRED_SYMPTOM_RATE,
        1.0 - FAILED_SYMPTOM_RATE,
    ),
    Observation.FAILED_LATE: (0.012, 0.1, 0.1),
    Observation.FAILED_IMMEDIATELY: (
        0.003,
        IMPAIRED_SYMPTOM_RATE,
        FAILED_SYMPTOM_RATE,
    ),
    Observation.SLOW: (0.03, IMPAIRED_SYMPTOM_RATE, FAILED_SYMPTOM_RATE),
}

# The likelihood of an observation in the healthy, impaired and failed state.
Likelihoods = tuple[float, float, float]


# The probability that an open request is not responded to, in each state. That
# of the healthy state covers the requests there that take far longer than the
# usual spread; with half of it, healthy instances were avoided twice as often.
_HANG_RATES = (
    0.02,
    IMPAIRED_SYMPTOM_RATE,
    FAILED_SYMPTOM_RATE,
)


class HealthFilter:
    """A Bayesian filter for the state of an instance.

    A filter deals with one symptom: an instance has one filter for failures
    and another for slow responses.

    The model is a hidden Markov model with three states, healthy, impaired and
    failed, and fixed transition rates. An impaired instance shows the symptom
    on some requests, a failed one on most. The distinction matters when the
    healthy instances are full: the impaired ones then have most of the capacity
    that is left. Each observation updates the probabilities by Bayes' rule.
    Between observations they decay to those of an instance without
    observations.
    """

    __slots__ = ("_at_s", "_impaired", "_unhealthy")

    def __init__(self, now_s: float) -> None:
        """Creates the filter of an instance without observations.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        # The probability of the impaired state, and of both unhealthy states.
        self._impaired = PRIOR_IMPAIRED
        self._unhealthy = PRIOR_UNHEALTHY
        self._at_s = now_s

    def unhealthy_probability(self, now_s: float) -> float:
        """Returns the probability that the instance is not healthy.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return self._predict(now_s)[1]

    def symptom_probability(self, now_s: float) -> float:
        """Returns the probability that the next request shows the symptom.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        impaired, unhealthy = self._predict(now_s)
        return (
            (1.0 - unhealthy) * HEALTHY_SYMPTOM_RATE
            + impaired * IMPAIRED_SYMPTOM_RATE
            + (unhealthy - impaired) * FAILED_SYMPTOM_RATE
        )

    def observe(self, observation: Observation, now_s: float) -> None:
        """Updates the probabilities with the result of a request.

        Args:
            observation: The result of the request.
            now_s: The time of the observation on the monotonic clock, in
                seconds.
        """
        self.weigh(_LIKELIHOODS[observation], now_s)

    def weigh(self, likelihoods: Likelihoods, now_s: float) -> None:
        """Updates the probabilities with an observation of any kind.

        Args:
            likelihoods: The likelihood of the observation.
            now_s: The time of the observation on the monotonic clock, in
                seconds.
        """
        impaired, unhealthy = self._predict(now_s)
        if_healthy, if_impaired, if_failed = likelihoods
        joint_impaired = impaired * if_impaired
        joint_unhealthy = joint_impaired + (unhealthy - impaired) * if_failed
        evidence = joint_unhealthy + (1.0 - unhealthy) * if_healthy
        self._impaired = joint_impaired / evidence
        self._unhealthy = joint_unhealthy / evidence
        self._at_s = max(self._at_s, now_s)

    def hang_probability(self, survival: float, now_s: float) -> float:
        """Returns the probability that an open request shows the symptom.

        Args:
            survival: The share of requests without the symptom that are open
                for longer.
            now_s: The current time on the monotonic clock, in seconds.
        """
        impaired, unhealthy = self._predict(now_s)
        states = (1.0 - unhealthy, impaired, unhealthy - impaired)
        return sum(
            state * rate / (rate + (1.0 - rate) * survival)
            for state, rate in zip(states, _HANG_RATES, strict=True)
        )

    def _predict(self, now_s: float) -> tuple[float, float]:
        """Predicts the probabilities at a time after the last observation.

        Returns:
            The probability of the impaired state, and of both unhealthy states.
        """
        elapsed_s = max(0.0, now_s - self._at_s)
        decay = math.exp(-(ONSET_PER_S + RECOVERY_PER_S) * elapsed_s)
        unhealthy = (
            PRIOR_UNHEALTHY + (self._unhealthy - PRIOR_UNHEALTHY) * decay
        )
        # New onsets have the share of the prior, and what was known of the
        # state is lost at the rate of recovery.
        known = self._impaired - IMPAIRED_ONSET_SHARE * self._unhealthy
        impaired = IMPAIRED_ONSET_SHARE * unhealthy + known * math.exp(
            -RECOVERY_PER_S * elapsed_s
        )
        return impaired, unhealthy


def open_likelihoods(before: float, survival: float) -> Likelihoods:
    """Returns the likelihoods of a request being open for longer.

    A request that shows the symptom is not responded to at all.

    Args:
        before: The share of requests without the symptom that are open for
            longer than this one was before.
        survival: The share of those that are open for longer than it is now.
    """
    healthy, impaired, failed = (
        (rate + (1.0 - rate) * survival) / (rate + (1.0 - rate) * before)
        for rate in _HANG_RATES
    )
    return healthy, impaired, failed


def kept_share(elapsed_s: float) -> float:
    """Returns the share of earlier evidence that a filter has not forgotten.

    Args:
        elapsed_s: The time since the evidence, in seconds.
    """
    return math.exp(-(ONSET_PER_S + RECOVERY_PER_S) * max(0.0, elapsed_s))
