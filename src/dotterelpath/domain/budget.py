"""A budget that keeps retries a small share of the requests."""

from __future__ import annotations

RETRY_RATIO = 0.1
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Earns a part of a retry with each request and spends whole ones."""

    __slots__ = ("_saved", "_share")

    def __init__(self, share: float = RETRY_RATIO) -> None:
        """Creates a full budget.

        Args:
            share: Retries allowed for each request.
        """
        self._share = share
        self._saved = MAX_SAVED_RETRIES

    @property
    def saved(self) -> float:
        """Retries that may be made now."""
        return self._saved

    def earn(self) -> None:
        """Counts a new request."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + self._share)

    def spend(self) -> bool:
        """Takes one retry out of the budget.

        Returns:
            Whether the retry may be made.
        """
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
