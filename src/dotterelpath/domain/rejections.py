"""Estimates how many attempts of a service are turned away as not run."""

from __future__ import annotations

import math

# The weight of one attempt. Enough attempts for an estimate that is exact to
# about 0.1 count, and no more, so that the end of rejections is noticed soon.
ATTEMPT_WEIGHT = 1.0 / 12.0
# The time constant with which the share is forgotten without attempts, in
# seconds: about as long as instances reject requests.
DECAY_S = 10.0


class RejectionShare:
    """The share of the latest attempts that instances have rejected.

    The attempts were made at the instances that are chosen at present, so the
    share tells what the next attempt can expect. Instances that reject more
    than others are told apart by their own filters.
    """

    __slots__ = ("_at_s", "_share")

    def __init__(self) -> None:
        """Creates the share of a service without attempts."""
        self._share = 0.0
        self._at_s = 0.0

    def record(self, is_rejected: bool, now_s: float) -> None:
        """Records the result of an attempt.

        Args:
            is_rejected: Whether the instance said that it was not run.
            now_s: The current time on the monotonic clock, in seconds.
        """
        share = self.share(now_s)
        self._share = share + ATTEMPT_WEIGHT * (float(is_rejected) - share)
        self._at_s = now_s

    def share(self, now_s: float) -> float:
        """Returns the share of rejected attempts, between 0 and 1.

        Args:
            now_s: The current time on the monotonic clock, in seconds.
        """
        elapsed_s = max(0.0, now_s - self._at_s)
        return self._share * math.exp(-elapsed_s / DECAY_S)
