"""Decides whether a request that was turned away is sent again now or later.

The decision weighs what the client loses. A response is worth 1 until its
target time, LATE_VALUE until its deadline, and nothing after that. Sending a
request now uses up an attempt at the present chance of the best instance. A
later attempt has a better chance if the rejections have ended by then, but its
response may be late.
"""

from __future__ import annotations

import math

from dotterelpath.domain import health_filter

# The worth of a late response, relative to one in time. The platform's contract
# names no value; the owners of the services say 0.1 to 0.5.
LATE_VALUE = 0.3
# How often rejections end. Instances recover from them as from failures.
RECOVERY_PER_S = health_filter.RECOVERY_PER_S
# The chance that an instance serves a request after the rejections have ended.
CALM_CHANCE = 1.0 - health_filter.HEALTHY_SYMPTOM_RATE
# Waiting must be worth this much more than sending at once. A smaller gain is
# less than the error of the estimates. A short wait that still meets the target
# must gain more, since it holds back a retry that is free again only after the
# budget's window: with 0.02 more requests were refused where 75 % and 90 % of
# the attempts are rejected.
MIN_GAIN_IN_TIME = 0.03
MIN_GAIN_LATE = 0.01
# The share of the requests that take no longer than the high quantile of the
# work, and the multiple of it that nearly none exceeds. Durations on the users'
# platform are lognormal with a spread of about 0.5.
HIGH_QUANTILE = 0.9
LONGEST_FACTOR = 1.8


class Prospect:
    """What a request can still be worth to its client."""

    __slots__ = ("deadline_s", "high_work_s", "target_s", "work_s")

    def __init__(
        self,
        target_s: float,
        deadline_s: float,
        work_s: float,
        high_work_s: float,
    ) -> None:
        """Creates a prospect.

        Args:
            target_s: The time by which the response should arrive, on the
                monotonic clock, in seconds.
            deadline_s: The time by which the response must arrive.
            work_s: The mean duration of the request, in seconds.
            high_work_s: The duration that only one request in ten exceeds, in
                seconds.
        """
        self.target_s = target_s
        self.deadline_s = deadline_s
        self.work_s = work_s
        self.high_work_s = max(work_s, high_work_s)

    @property
    def longest_work_s(self) -> float:
        """The duration that nearly no request exceeds, in seconds."""
        return self.high_work_s * LONGEST_FACTOR

    def value(self, start_s: float) -> float:
        """Returns the expected worth of the response of an attempt.

        Args:
            start_s: When an instance starts the request, on the monotonic
                clock, in seconds.
        """
        in_time = self._done_within(self.target_s - start_s)
        done = self._done_within(self.deadline_s - start_s)
        return in_time + LATE_VALUE * max(0.0, done - in_time)

    def _done_within(self, time_s: float) -> float:
        """Returns the probability that the request takes at most a time.

        Interpolates linearly between the mean, the high quantile and the
        longest duration.
        """
        points = (
            (0.0, 0.0),
            (self.work_s, 0.5),
            (self.high_work_s, HIGH_QUANTILE),
            (self.longest_work_s, 1.0),
        )
        for (from_s, low), (to_s, high) in zip(
            points, points[1:], strict=False
        ):
            if time_s < to_s:
                share = (time_s - from_s) / (to_s - from_s)
                return max(0.0, low + (high - low) * share)
        return 1.0


def chance_after(chance: float, wait_s: float) -> float:
    """Predicts the chance that the best instance serves a request.

    Args:
        chance: The chance now.
        wait_s: How long from now, in seconds.
    """
    ended = 1.0 - math.exp(-RECOVERY_PER_S * max(0.0, wait_s))
    return chance + ended * max(0.0, CALM_CHANCE - chance)


def retry_price(left: float, waiting: int, window_s: float) -> float:
    """Returns what a retry is worth if it is kept for later.

    If the rejections end within the window, a retry that was kept serves a
    waiting request late. A retry that is made now is allowed again only after
    the window. Retries beyond the number of waiting requests are not scarce.

    Args:
        left: The retries that the budget allows now.
        waiting: The requests that wait for one.
        window_s: The length of the budget's window, in seconds.
    """
    if left > waiting:
        return 0.0
    return chance_after(0.0, window_s) * LATE_VALUE


def best_start_s(
    prospect: Prospect, chance: float, price: float, now_s: float
) -> float:
    """Returns when the last attempt of a request is best sent.

    Now is compared with the latest starts that meet the target time and the
    deadline, between which the chance grows and the worth stays, and with
    leaving the retry to another request.

    Args:
        prospect: The request.
        chance: The chance that the best instance serves it now.
        price: What the retry is worth if it is kept; see retry_price.
        now_s: The current time on the monotonic clock, in seconds.

    Returns:
        A time on the monotonic clock, in seconds: now_s to send it at once,
        infinite to send it only for a better chance.
    """
    value = chance * prospect.value(now_s)
    best_s, best_value = now_s, value
    for limit_s, min_gain in (
        (prospect.target_s, MIN_GAIN_IN_TIME),
        (prospect.deadline_s, MIN_GAIN_LATE),
    ):
        start_s = limit_s - prospect.longest_work_s
        if start_s <= now_s:
            continue
        later = chance_after(chance, start_s - now_s) * prospect.value(start_s)
        if later > max(best_value, value + min_gain):
            best_s, best_value = start_s, later
    if best_s > now_s or value >= price:
        return best_s
    return math.inf
