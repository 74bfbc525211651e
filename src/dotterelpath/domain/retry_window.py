"""Limits this daemon's share of the retries allowed to the whole fleet."""

from __future__ import annotations

import collections
import math

# The share of the allowed retries per request that a daemon makes at most. The
# rest is a margin for requests and retries that fall into different windows.
USED_RATIO_SHARE = 0.95
# The share of the fixed allowance that a daemon uses at most. A daemon and its
# successor may both spend their share in the same window.
USED_SLACK_SHARE = 0.5


class RetryWindow:
    """Allows retries as a share of the requests in a sliding window.

    The share needs no coordination, since each daemon counts its own requests.
    The fixed allowance is divided among the daemons that serve callers.
    """

    __slots__ = ("_requests", "_retries")

    def __init__(self) -> None:
        """Creates an empty window."""
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    @property
    def retries(self) -> int:
        """The number of retries in the window."""
        return len(self._retries)

    def record_request(self, window_s: float, now_s: float) -> None:
        """Counts a request.

        Args:
            window_s: The length of the window, in seconds.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._requests.append(now_s)
        _drop_before(self._requests, now_s - window_s)

    def spend(
        self, ratio: float, slack: float, window_s: float, now_s: float
    ) -> bool:
        """Counts a retry, if it is allowed.

        Args:
            ratio: The retries allowed for each request.
            slack: This daemon's part of the fixed allowance, in retries.
            window_s: The length of the window, in seconds.
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Whether the retry may be made.
        """
        if not self.can_spend(ratio, slack, window_s, now_s):
            return False
        self._retries.append(now_s)
        return True

    def can_spend(
        self, ratio: float, slack: float, window_s: float, now_s: float
    ) -> bool:
        """Tells whether a retry is allowed.

        Args:
            ratio: The retries allowed for each request.
            slack: This daemon's part of the fixed allowance, in retries.
            window_s: The length of the window, in seconds.
            now_s: The current time on the monotonic clock, in seconds.
        """
        return self._excess(ratio, slack, window_s, now_s) <= 0.0

    def left(
        self, ratio: float, slack: float, window_s: float, now_s: float
    ) -> float:
        """Returns how many retries are allowed now.

        Args:
            ratio: The retries allowed for each request.
            slack: This daemon's part of the fixed allowance, in retries.
            window_s: The length of the window, in seconds.
            now_s: The current time on the monotonic clock, in seconds.
        """
        return 1.0 - self._excess(ratio, slack, window_s, now_s)

    def next_start_s(
        self, ratio: float, slack: float, window_s: float, now_s: float
    ) -> float:
        """Returns when a retry will be allowed if requests keep their rate.

        Args:
            ratio: The retries allowed for each request.
            slack: This daemon's part of the fixed allowance, in retries.
            window_s: The length of the window, in seconds.
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            A time on the monotonic clock, in seconds, at most a window ahead.
        """
        excess = math.ceil(self._excess(ratio, slack, window_s, now_s))
        if excess <= 0:
            return now_s
        if excess > len(self._retries):
            return now_s + window_s
        return self._retries[excess - 1] + window_s

    def used_share(
        self, ratio: float, slack: float, window_s: float, now_s: float
    ) -> float:
        """Returns the share of the allowance that is used after one more retry.

        Args:
            ratio: The retries allowed for each request.
            slack: This daemon's part of the fixed allowance, in retries.
            window_s: The length of the window, in seconds.
            now_s: The current time on the monotonic clock, in seconds.
        """
        allowed = self._allowed(ratio, slack, window_s, now_s)
        return (len(self._retries) + 1) / allowed if allowed else math.inf

    def _excess(
        self, ratio: float, slack: float, window_s: float, now_s: float
    ) -> float:
        """Returns how many retries too many the next one would be."""
        allowed = self._allowed(ratio, slack, window_s, now_s)
        return len(self._retries) + 1 - allowed

    def _allowed(
        self, ratio: float, slack: float, window_s: float, now_s: float
    ) -> float:
        """Returns how many retries the window may have."""
        _drop_before(self._requests, now_s - window_s)
        _drop_before(self._retries, now_s - window_s)
        return (
            USED_RATIO_SHARE * ratio * len(self._requests)
            + USED_SLACK_SHARE * slack
        )


def _drop_before(counted: collections.deque[float], before_s: float) -> None:
    while counted and counted[0] < before_s:
        counted.popleft()
