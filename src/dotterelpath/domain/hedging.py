"""Decides when an open request is sent to a second instance."""

from __future__ import annotations

from dotterelpath.domain import late_evidence

# What a response after the target is worth, as a fraction of a timely one.
# Clients give 0.1 to 0.5.
LATE_VALUE = 0.3
# The gain, as a fraction of a timely response, that is worth a retry: the first
# while all of the retry budget is left, since a hedge also takes a slot, the
# second when it is nearly used up. A retry of a failed request gains most of a
# response.
PRICE_OF_FIRST = 0.25
PRICE_OF_LAST = 0.75


def price(used_share: float) -> float:
    """Returns the gain that is worth a retry.

    Args:
        used_share: The share of the retry budget that is used.
    """
    used_share = min(1.0, used_share)
    return PRICE_OF_FIRST + (PRICE_OF_LAST - PRICE_OF_FIRST) * used_share


def gain(
    open_request: late_evidence.OpenRequest,
    hanging: float,
    other_failing: float,
    target_left_s: float,
    deadline_left_s: float,
    now_s: float,
) -> float:
    """Returns the gain of a hedge, as a fraction of a timely response.

    Args:
        open_request: The request.
        hanging: The probability that it will not be responded to.
        other_failing: The probability that the second instance fails.
        target_left_s: The time until the target of the request, in seconds.
        deadline_left_s: The time until its deadline, in seconds.
        now_s: The current time on the monotonic clock, in seconds.
    """
    alone = []
    hedged = []
    for left_s in (target_left_s, deadline_left_s):
        first = (1.0 - hanging) * open_request.served_share(left_s, now_s)
        second = (1.0 - other_failing) * open_request.fresh_share(left_s)
        alone.append(first)
        hedged.append(1.0 - (1.0 - first) * (1.0 - second))
    return _value(*hedged) - _value(*alone)


def _value(in_time: float, in_the_end: float) -> float:
    return in_time + LATE_VALUE * (in_the_end - in_time)
