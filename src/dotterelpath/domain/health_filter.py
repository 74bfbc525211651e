"""Estimates the probability that an instance is unhealthy."""

from __future__ import annotations

import enum
import math

# The rates at which a healthy instance becomes unhealthy and an unhealthy one
# recovers. Healthy periods last 18 to 38 s on average, unhealthy ones 8 to
# 13 s.
ONSET_PER_S = 1.0 / 28.0
RECOVERY_PER_S = 1.0 / 10.0
# The probability that the next request to an unhealthy instance shows the
# symptom, which ranges from 0.54 to 0.82 between deployments.
UNHEALTHY_SYMPTOM_RATE = 0.75
# The same probability for a healthy instance.
HEALTHY_SYMPTOM_RATE = 0.01
# The probability that an instance without observations is unhealthy: the
# stationary distribution of the two states.
PRIOR_UNHEALTHY = ONSET_PER_S / (ONSET_PER_S + RECOVERY_PER_S)


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


# The likelihood of each observation in the healthy and in the unhealthy state.
# Healthy instances fail about one request in a hundred, and take the typical
# duration to do so. Instances that fail immediately are nearly always
# unhealthy.
_LIKELIHOODS = {
    Observation.GOOD: (0.98, 1.0 - UNHEALTHY_SYMPTOM_RATE),
    Observation.FAILED_LATE: (0.012, 0.1),
    Observation.FAILED_IMMEDIATELY: (0.003, UNHEALTHY_SYMPTOM_RATE),
    Observation.SLOW: (0.03, UNHEALTHY_SYMPTOM_RATE),
}


class HealthFilter:
    """A Bayesian filter for the state of an instance.

    A filter deals with one symptom: an instance has one filter for failures
    and another for slow responses.

    The model is a hidden Markov model with two states, healthy and unhealthy,
    and fixed transition rates. Each observation updates the probability of the
    unhealthy state by Bayes' rule. Between observations the probability decays
    to that of an instance without observations.
    """

    __slots__ = ("_at_s", "_probability")

    def __init__(self, now_s: float) -> None:
        """Creates the filter of an instance without observations.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._probability = PRIOR_UNHEALTHY
        self._at_s = now_s

    def unhealthy_probability(self, now_s: float) -> float:
        """Returns the probability that the instance is unhealthy.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        elapsed_s = max(0.0, now_s - self._at_s)
        decay = math.exp(-(ONSET_PER_S + RECOVERY_PER_S) * elapsed_s)
        return PRIOR_UNHEALTHY + (self._probability - PRIOR_UNHEALTHY) * decay

    def symptom_probability(self, now_s: float) -> float:
        """Returns the probability that the next request shows the symptom.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        unhealthy = self.unhealthy_probability(now_s)
        return (
            unhealthy * UNHEALTHY_SYMPTOM_RATE
            + (1.0 - unhealthy) * HEALTHY_SYMPTOM_RATE
        )

    def observe(self, observation: Observation, now_s: float) -> None:
        """Updates the probability with the result of a request.

        Args:
            observation: The result of the request.
            now_s: The time of the observation on the monotonic clock, in
                seconds.
        """
        probability = self.unhealthy_probability(now_s)
        healthy, unhealthy = _LIKELIHOODS[observation]
        evidence = probability * unhealthy + (1.0 - probability) * healthy
        self._probability = probability * unhealthy / evidence
        self._at_s = max(self._at_s, now_s)
