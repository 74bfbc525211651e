"""How likely an instance is to fail or to be slow right now."""

from __future__ import annotations

import enum
import math

# How often an instance turns sick, and how soon it is well again. The most
# likely values for the traced requests of three days of two deployments were
# 18 to 38 s and 8 to 13 s; see docs/DESIGN.md.
ONSET_PER_S = 1.0 / 28.0
RECOVERY_PER_S = 1.0 / 10.0
# The chance that a sick instance shows its symptom with the next request; 0.54
# to 0.82 in the same days.
UNHEALTHY_SYMPTOM_RATE = 0.75
HEALTHY_SYMPTOM_RATE = 0.01
# The chance that an instance of which nothing is known is sick.
PRIOR_UNHEALTHY = ONSET_PER_S / (ONSET_PER_S + RECOVERY_PER_S)


class Observation(enum.Enum):
    """What one request shows of an instance's state."""

    GOOD = "good"
    # It failed after about the usual time, as work of its own kind does.
    FAILED_LATE = "failed late"
    # It failed without having worked: at once, or by a broken connection.
    FAILED_IMMEDIATELY = "failed at once"
    SLOW = "slow"


# The chances of each outcome in a healthy and in a sick state. Healthy
# instances fail about one request in a hundred, and take the usual time to
# find out; those that fail at once are nearly always sick.
_LIKELIHOODS = {
    Observation.GOOD: (0.98, 1.0 - UNHEALTHY_SYMPTOM_RATE),
    Observation.FAILED_LATE: (0.012, 0.1),
    Observation.FAILED_IMMEDIATELY: (0.003, UNHEALTHY_SYMPTOM_RATE),
    Observation.SLOW: (0.03, UNHEALTHY_SYMPTOM_RATE),
}


class HealthFilter:
    """The chance that an instance is in a sick state, by a Bayesian filter.

    Two hidden states, healthy and sick, with known rates of change between
    them (a hidden Markov model); each outcome updates the chance by Bayes'
    rule, and between outcomes the chance relaxes to that of an instance of
    which nothing is known.
    """

    __slots__ = ("_at_s", "_probability")

    def __init__(self, now_s: float) -> None:
        """Creates the state of an unknown instance.

        Args:
            now_s: The monotonic clock, in seconds.
        """
        self._probability = PRIOR_UNHEALTHY
        self._at_s = now_s

    def unhealthy_probability(self, now_s: float) -> float:
        """The chance that the instance is sick.

        Args:
            now_s: The monotonic clock, in seconds.
        """
        passed_s = max(0.0, now_s - self._at_s)
        part = math.exp(-(ONSET_PER_S + RECOVERY_PER_S) * passed_s)
        return PRIOR_UNHEALTHY + (self._probability - PRIOR_UNHEALTHY) * part

    def symptom_probability(self, now_s: float) -> float:
        """The chance that the next request shows the symptom.

        Args:
            now_s: The monotonic clock, in seconds.
        """
        unhealthy = self.unhealthy_probability(now_s)
        return (
            unhealthy * UNHEALTHY_SYMPTOM_RATE
            + (1.0 - unhealthy) * HEALTHY_SYMPTOM_RATE
        )

    def observe(self, outcome: Observation, now_s: float) -> None:
        """Takes in an outcome.

        Args:
            outcome: What a request showed.
            now_s: When it was seen, on the monotonic clock, in seconds.
        """
        probability = self.unhealthy_probability(now_s)
        healthy, unhealthy = _LIKELIHOODS[outcome]
        both = probability * unhealthy + (1.0 - probability) * healthy
        self._probability = probability * unhealthy / both
        self._at_s = max(self._at_s, now_s)
