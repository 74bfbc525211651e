"""Limits retries to a small share of the requests."""

from __future__ import annotations

# The retries allowed for each request.
RETRY_RATIO = 0.1
# The most retries that accumulate while none are made.
MAX_AVAILABLE_RETRIES = 10.0


class RetryBudget:
    """A token bucket of retries; each request adds a fraction of a token."""

    __slots__ = ("_available", "_ratio")

    def __init__(self, ratio: float = RETRY_RATIO) -> None:
        """Creates a full budget.

        Args:
            ratio: The retries allowed for each request.
        """
        self._ratio = ratio
        self._available = MAX_AVAILABLE_RETRIES

    @property
    def available(self) -> float:
        """The number of retries that are allowed now."""
        return self._available

    def earn(self) -> None:
        """Adds the fraction of a retry that a new request allows."""
        self._available = min(
            MAX_AVAILABLE_RETRIES, self._available + self._ratio
        )

    def spend(self) -> bool:
        """Takes one retry out of the budget, if there is one.

        Returns:
            Whether the retry may be made.
        """
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
