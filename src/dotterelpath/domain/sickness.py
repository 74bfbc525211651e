"""How likely an instance is to fail or to be slow right now."""

from __future__ import annotations

import math

# Chances in a healthy and in a sick state that one request shows the symptom.
# Sick instances fail more than half of their work in the users' incidents.
SICK_RATE = 0.6
# An instance that never failed is still not perfect; background failures of
# the users' services are about one in a hundred.
LEAST_RATE = 0.01
# No healthy service fails more often than this.
MOST_RATE = 0.2
# An instance turns sick about once a minute, and stays so for some seconds.
ONSET_PER_S = 1.0 / 60.0
RECOVERY_PER_S = 1.0 / 5.0
# The weight of one outcome in the service's usual rate.
RATE_WEIGHT = 0.02


class UsualRate:
    """How often the instances of a service show a symptom at all."""

    __slots__ = ("_rate",)

    def __init__(self) -> None:
        """Creates the rate of a service without outcomes."""
        self._rate = LEAST_RATE

    @property
    def rate(self) -> float:
        """The chance that a healthy instance shows the symptom."""
        return min(MOST_RATE, max(LEAST_RATE, self._rate))

    def observe(self, is_bad: bool, sickness: float) -> None:
        """Takes in an outcome.

        Args:
            is_bad: Whether it shows the symptom.
            sickness: The chance that its instance was sick; what sick ones
                do says little about healthy ones.
        """
        weight = RATE_WEIGHT * (1.0 - sickness)
        self._rate += weight * ((1.0 if is_bad else 0.0) - self._rate)


class Sickness:
    """The chance that an instance is in a sick state, by a Bayesian filter.

    Two hidden states, healthy and sick, with known rates of change between
    them (a hidden Markov model); each outcome updates the chance by Bayes'
    rule, and between outcomes the chance relaxes to that of an instance of
    which nothing is known.
    """

    __slots__ = ("_at_s", "_chance")

    def __init__(self, now_s: float) -> None:
        """Creates the state of an unknown instance.

        Args:
            now_s: The monotonic clock, in seconds.
        """
        self._chance = ONSET_PER_S / (ONSET_PER_S + RECOVERY_PER_S)
        self._at_s = now_s

    def chance(self, now_s: float) -> float:
        """The chance that the instance is sick.

        Args:
            now_s: The monotonic clock, in seconds.
        """
        total = ONSET_PER_S + RECOVERY_PER_S
        resting = ONSET_PER_S / total
        part = math.exp(-total * max(0.0, now_s - self._at_s))
        return resting + (self._chance - resting) * part

    def bad_chance(self, usual: UsualRate, now_s: float) -> float:
        """The chance that the next request shows the symptom.

        Args:
            usual: The service's usual rate.
            now_s: The monotonic clock, in seconds.
        """
        sick = self.chance(now_s)
        return sick * SICK_RATE + (1.0 - sick) * usual.rate

    def observe(self, is_bad: bool, usual: UsualRate, now_s: float) -> None:
        """Takes in an outcome.

        Args:
            is_bad: Whether it shows the symptom.
            usual: The service's usual rate.
            now_s: When it was seen, on the monotonic clock, in seconds.
        """
        chance = self.chance(now_s)
        usual.observe(is_bad, chance)
        healthy = usual.rate if is_bad else 1.0 - usual.rate
        sick = SICK_RATE if is_bad else 1.0 - SICK_RATE
        both = chance * sick + (1.0 - chance) * healthy
        self._chance = chance * sick / both
        self._at_s = max(self._at_s, now_s)
