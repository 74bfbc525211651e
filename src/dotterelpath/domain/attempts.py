"""Decides whether a request that failed at one instance may go to another."""

from __future__ import annotations

import enum

from dotterelpath import errors
from dotterelpath.domain import budget
from dotterelpath.domain import exchange

MAX_ATTEMPTS = 3
HEDGE_LATENCY_FACTOR = 3.0
MIN_HEDGE_DELAY_S = 0.02


class AttemptResult(enum.Enum):
    """How one try of a request at one instance ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    PROTOCOL = "protocol"
    TIMED_OUT = "timed out"

    @property
    def is_not_run(self) -> bool:
        """Whether the instance certainly did not run the request."""
        return self in (AttemptResult.REFUSED, AttemptResult.UNREACHABLE)


_CODES = {
    AttemptResult.REFUSED: errors.ResultCode.BACKEND_REFUSED,
    AttemptResult.UNREACHABLE: errors.ResultCode.BACKEND_UNREACHABLE,
    AttemptResult.BROKEN: errors.ResultCode.BACKEND_BROKEN,
    AttemptResult.PROTOCOL: errors.ResultCode.BACKEND_PROTOCOL,
    AttemptResult.TIMED_OUT: errors.ResultCode.BACKEND_TIMEOUT,
}


class RequestAttempts:
    """The tries of one request."""

    __slots__ = (
        "_idempotent",
        "_unknown",
        "instance_ids",
        "last_detail",
        "open_count",
    )

    def __init__(self, idempotent: bool) -> None:
        """Creates the tries of a new request.

        Args:
            idempotent: Whether the request may run more than once.
        """
        self._idempotent = idempotent
        self._unknown: AttemptResult | None = None
        self.instance_ids: list[str] = []
        self.open_count = 0
        self.last_detail = ""

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self._idempotent

    def start(self, instance_id: str) -> None:
        """Counts a try that begins.

        Args:
            instance_id: The instance that gets the request.
        """
        self.instance_ids.append(instance_id)
        self.open_count += 1

    def may_retry(
        self, result: AttemptResult, retries: budget.RetryBudget
    ) -> bool:
        """Takes in a failed try and decides on another one.

        Args:
            result: How the try failed.
            retries: The daemon's retry budget, spent by a yes.

        Returns:
            Whether to try another instance.
        """
        self.open_count -= 1
        if not result.is_not_run:
            self._unknown = result
        if self.open_count > 0 or len(self.instance_ids) >= MAX_ATTEMPTS:
            return False
        if self._unknown is not None and not self._idempotent:
            return False
        return retries.spend()

    def may_replace(self, retries: budget.RetryBudget) -> bool:
        """Decides whether another instance may try where one failed.

        Args:
            retries: The daemon's retry budget, spent by a yes.

        Returns:
            Whether the failure that came in need not be the answer.
        """
        if not self._idempotent or self.open_count != 1:
            return False
        return len(self.instance_ids) < MAX_ATTEMPTS and retries.spend()

    def may_hedge(self, retries: budget.RetryBudget) -> bool:
        """Decides whether to send a late request to a second instance.

        Args:
            retries: The daemon's retry budget, spent by a yes.

        Returns:
            Whether to hedge.
        """
        if (
            not self._idempotent
            or self.open_count != 1
            or len(self.instance_ids) > 1
        ):
            return False
        return retries.spend()

    def failure(self, result: AttemptResult) -> exchange.Outcome:
        """Builds the outcome when no try is left.

        Args:
            result: How the last try failed.

        Returns:
            An unknown outcome if any try may have run, else a not-run one.
        """
        decisive = self._unknown or result
        instance = self.instance_ids[-1] if self.instance_ids else None
        return exchange.Outcome(
            _CODES[decisive], self.last_detail, instance=instance
        )
