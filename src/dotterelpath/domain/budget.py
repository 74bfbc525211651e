"""Limits retries to a small share of the requests."""

from __future__ import annotations

# The retries allowed for each request.
RETRY_RATIO = 0.1
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """A token bucket of retries that each request fills by a fraction."""

    __slots__ = ("_saved", "_share")

    def __init__(self, share: float = RETRY_RATIO) -> None:
        """Creates a full budget.

        Args:
            share: The retries allowed for each request.
        """
        self._share = share
        self._saved = MAX_SAVED_RETRIES

    @property
    def saved(self) -> float:
        """The number of retries that are allowed now."""
        return self._saved

    def earn(self) -> None:
        """Counts a new request."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + self._share)

    def spend(self) -> bool:
        """Takes one retry out of the budget, if there is one.

        Returns:
            Whether the retry may be made.
        """
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
