"""Learns how long the requests of a route take."""

from __future__ import annotations

from dotterelpath.domain import dispatch_decision

# The step of the moving estimates after one response, relative to the mean.
STEP = 0.05
# The high quantile of a route with few responses, relative to the mean: that of
# a lognormal distribution with a spread of 0.5.
FIRST_HIGH_FACTOR = 1.7


class WorkEstimate:
    """A moving mean and a moving high quantile of durations."""

    __slots__ = ("_high_s", "_mean_s")

    def __init__(self, took_s: float) -> None:
        """Creates an estimate from the first duration, in seconds."""
        self._mean_s = took_s
        self._high_s = took_s * FIRST_HIGH_FACTOR

    @property
    def mean_s(self) -> float:
        """The mean duration, in seconds."""
        return self._mean_s

    @property
    def high_s(self) -> float:
        """The duration that one request in ten exceeds, in seconds."""
        return self._high_s

    def record(self, took_s: float) -> None:
        """Records a duration, in seconds.

        The quantile rises by nine steps for a duration above it and falls by
        one step for another, so that one in ten stays above it.
        """
        self._mean_s += STEP * (took_s - self._mean_s)
        step_s = STEP * self._mean_s
        if took_s > self._high_s:
            self._high_s += step_s * dispatch_decision.HIGH_QUANTILE
        else:
            self._high_s -= step_s * (1.0 - dispatch_decision.HIGH_QUANTILE)
