"""A daemon's part of the retries that all daemons may make together."""

from __future__ import annotations

import collections

# The part of the retries allowed for own requests that is used; the rest is for
# requests that count in another window than their retry.
USED_RATIO_SHARE = 0.95
# The part of the fixed allowance that is used: a daemon and the one that takes
# over from it may both spend it in one window.
USED_SLACK_SHARE = 0.5


class RetryWindow:
    """Allows retries as a share of the requests in a sliding window.

    The share needs no agreement, since each daemon counts its own requests;
    the fixed allowance is divided among the daemons that carry the service.
    """

    __slots__ = ("_requests", "_retries")

    def __init__(self) -> None:
        """Creates an empty window."""
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    @property
    def retries(self) -> int:
        """Retries in the window."""
        return len(self._retries)

    def record_request(self, window_s: float, now_s: float) -> None:
        """Counts a request.

        Args:
            window_s: The length of the window, in seconds.
            now_s: The monotonic clock, in seconds.
        """
        self._requests.append(now_s)
        _drop_before(self._requests, now_s - window_s)

    def spend(
        self, ratio: float, slack: float, window_s: float, now_s: float
    ) -> bool:
        """Takes a retry out of the budget.

        Args:
            ratio: Retries allowed for each request.
            slack: Retries allowed besides; this daemon's part.
            window_s: The length of the window, in seconds.
            now_s: The monotonic clock, in seconds.

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
        """Tells whether a retry could be made.

        Args:
            ratio: Retries allowed for each request.
            slack: Retries allowed besides; this daemon's part.
            window_s: The length of the window, in seconds.
            now_s: The monotonic clock, in seconds.
        """
        _drop_before(self._requests, now_s - window_s)
        _drop_before(self._retries, now_s - window_s)
        allowed = (
            USED_RATIO_SHARE * ratio * len(self._requests)
            + USED_SLACK_SHARE * slack
        )
        return len(self._retries) + 1 <= allowed


def _drop_before(counted: collections.deque[float], before_s: float) -> None:
    while counted and counted[0] < before_s:
        counted.popleft()
