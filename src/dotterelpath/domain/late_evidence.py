"""Takes a request that is open for long as evidence that its instance hangs.

A hanging instance keeps most requests to their deadline. Nothing is heard of
them until then, so that the only early evidence is how long they are open. The
evidence is the likelihood of being open for so long, if the instance is healthy
and if it hangs. It is added to the failure filter of the instance step by step
while the request is open, and taken back if the request is served after all.
"""

from __future__ import annotations

import math

from dotterelpath.domain import health_filter
from dotterelpath.domain import instance_state

# The spread of the logarithm of durations that is assumed at first, and the
# responses that the assumption is worth. Services have spreads of 0.3 to 0.8.
PRIOR_SPREAD = 0.6
PRIOR_SPREAD_COUNT = 8
# The standard deviation of the logarithm of the mean that is assumed at first.
PRIOR_MEAN_ERROR = 0.7
# The weight of a response at least: the last 100 or so count.
MIN_WEIGHT = 0.01
# Longer and shorter responses count like those at this many standard
# deviations, since healthy instances have a tail of far longer ones.
MAX_DEVIATION = 2.5
# An open request is judged when the share of healthy requests that are open for
# longer falls to each of these, which are 0.3, 0.1, 0.05, 0.02 and 0.005, in
# standard deviations.
STEP_DEVIATIONS = (0.524, 1.282, 1.645, 2.054, 2.576)
# A request is late if at most this share of healthy ones is open for longer.
LATE_SURVIVAL = 0.11
# A cancelled request counts if at most this share of healthy ones is open for
# longer.
MAX_CANCELLED_SURVIVAL = 0.5


class Durations:
    """The distribution of the durations of a route's requests, as learnt.

    Lognormal: the durations of the services on the users' platform are. What
    the spread does not cover is the rate of symptoms at healthy instances.
    """

    __slots__ = ("_count", "_mean_log", "_variance")

    def __init__(self, assumed_s: float) -> None:
        """Creates a distribution without responses.

        Args:
            assumed_s: The typical duration to assume at first, in seconds.
        """
        self._mean_log = math.log(max(assumed_s, 1e-4))
        self._variance = PRIOR_SPREAD * PRIOR_SPREAD
        self._count = 0

    def record(self, took_s: float) -> None:
        """Records a response.

        Args:
            took_s: The duration of the request, in seconds.
        """
        most = MAX_DEVIATION * self._deviation
        error = math.log(max(took_s, 1e-4)) - self._mean_log
        self._add(max(-most, min(most, error)))

    def record_cancelled(self, age_s: float) -> None:
        """Records a request that was cancelled before its response.

        Without these, the longest durations would be missing, and each hedge
        would make the next ones earlier. Such a request counts as if it had
        taken the mean time of those that are open for so long. One that was
        cancelled early says little, and is left out.

        Args:
            age_s: How long the request was open, in seconds.
        """
        if self.survival(age_s) > MAX_CANCELLED_SURVIVAL:
            return
        deviation = self._deviation
        at = self._deviations(age_s)
        density = math.exp(-at * at / 2.0) / math.sqrt(2.0 * math.pi)
        excess = density / max(_upper_share(at), 1e-9)
        self._add(min(excess, MAX_DEVIATION) * deviation)

    def survival(self, age_s: float) -> float:
        """Returns the share of healthy requests that are open for longer.

        Args:
            age_s: How long a request is open, in seconds.
        """
        if age_s <= 0.0:
            return 1.0
        return _upper_share(self._deviations(age_s))

    def step_s(self, step: int) -> float:
        """Returns the age at which an open request is judged, in seconds.

        Args:
            step: The index into STEP_DEVIATIONS.
        """
        return math.exp(
            self._mean_log + STEP_DEVIATIONS[step] * self._deviation
        )

    @property
    def _deviation(self) -> float:
        """The standard deviation of the logarithm of the next duration."""
        error = PRIOR_MEAN_ERROR * PRIOR_MEAN_ERROR / (1.0 + self._count)
        return math.sqrt(self._variance + error)

    def _deviations(self, age_s: float) -> float:
        return (math.log(age_s) - self._mean_log) / self._deviation

    def _add(self, error: float) -> None:
        self._count += 1
        weight = max(MIN_WEIGHT, 1.0 / (self._count + 1))
        self._mean_log += weight * error
        weight = max(MIN_WEIGHT, 1.0 / (self._count + PRIOR_SPREAD_COUNT))
        self._variance += weight * (error * error - self._variance)


class OpenRequest:
    """The evidence that one open request has given so far."""

    __slots__ = (
        "_durations",
        "_evidence_s",
        "_late_before_s",
        "_sent_s",
        "_step",
        "survival",
    )

    def __init__(self, durations: Durations, sent_s: float) -> None:
        """Creates the evidence of a request that was just sent.

        Args:
            durations: The durations of its route.
            sent_s: When it was sent, on the monotonic clock, in seconds.
        """
        self._durations = durations
        self._sent_s = sent_s
        self._step = 0
        # When it last gave evidence, on the monotonic clock, in seconds.
        self._evidence_s = sent_s
        # When another request was last late at the instance before this one
        # was; None until it is.
        self._late_before_s: float | None = None
        # The share of healthy requests that are open for longer.
        self.survival = 1.0

    @property
    def next_step_s(self) -> float:
        """When the request is judged next; infinite after the last step."""
        if self._step == len(STEP_DEVIATIONS):
            return math.inf
        return self._sent_s + self._durations.step_s(self._step)

    def advance(
        self, instance: instance_state.InstanceState, now_s: float
    ) -> bool:
        """Gives the evidence since the last step, if a step is due.

        Args:
            instance: The instance of the request.
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Whether a step was due.
        """
        if now_s < self.next_step_s:
            return False
        while now_s >= self.next_step_s:
            self._step += 1
        before = self.survival
        self.survival = min(before, self._durations.survival(self.age_s(now_s)))
        self._evidence_s = now_s
        if self.survival <= LATE_SURVIVAL:
            if self._late_before_s is None:
                self._late_before_s = instance.late_s
            instance.late_s = now_s
        instance.failure_filter.weigh(
            health_filter.open_likelihoods(before, self.survival), now_s
        )
        return True

    def take_back(
        self, instance: instance_state.InstanceState, now_s: float
    ) -> bool:
        """Gives the opposite of the evidence so far, if there is any.

        Args:
            instance: The instance of the request, which was served after all.
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Whether there was any.
        """
        if self.survival == 1.0:
            return False
        kept = health_filter.kept_share(now_s - self._evidence_s)
        given = health_filter.open_likelihoods(1.0, self.survival)
        self.survival = 1.0
        if (
            self._late_before_s is not None
            and instance.late_s == self._evidence_s
        ):
            # No other request has been found late since.
            instance.late_s = self._late_before_s
        healthy, impaired, failed = (x**-kept for x in given)
        instance.failure_filter.weigh((healthy, impaired, failed), now_s)
        return True

    def age_s(self, now_s: float) -> float:
        """Returns how long the request is open, in seconds.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        return now_s - self._sent_s

    def served_share(self, left_s: float, now_s: float) -> float:
        """Returns how probable a response within a time is, if it is healthy.

        Args:
            left_s: The time, in seconds.
            now_s: The current time on the monotonic clock, in seconds.
        """
        age_s = self.age_s(now_s)
        open_share = self._durations.survival(age_s)
        if left_s <= 0.0 or open_share <= 0.0:
            return 0.0
        later = self._durations.survival(age_s + left_s)
        return 1.0 - later / open_share

    def fresh_share(self, left_s: float) -> float:
        """Returns how probable a response to a new request within a time is.

        Args:
            left_s: The time, in seconds.
        """
        return 1.0 - self._durations.survival(left_s)


def _upper_share(deviations: float) -> float:
    """Returns the share of a normal distribution above a value."""
    return 0.5 * math.erfc(deviations / math.sqrt(2.0))
