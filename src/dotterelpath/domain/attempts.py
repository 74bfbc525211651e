"""Decides whether a request may be retried or hedged at another instance."""

from __future__ import annotations

import enum

from dotterelpath import errors
from dotterelpath.domain import budget
from dotterelpath.domain import exchange

# The most attempts of one request, retries and hedges included.
MAX_ATTEMPTS = 3
# A request is hedged after this factor times the typical latency.
HEDGE_LATENCY_FACTOR = 3.0
# A request is not hedged earlier, however short the typical latency is.
MIN_HEDGE_DELAY_S = 0.02


class AttemptResult(enum.Enum):
    """The result of one attempt of a request at an instance."""

    ANSWERED = "answered"
    # The instance declined the request without running it.
    REFUSED = "refused"
    # The request was not sent, since there was no connection to the instance.
    UNREACHABLE = "unreachable"
    # The connection broke before the response was complete.
    BROKEN = "broken"
    # The response is not valid HTTP.
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
    """The attempts of one request at instances.

    Attributes:
        instance_ids: The instance of each attempt, in the order of sending.
        open_count: The number of attempts without a result.
        last_detail: A description of the last failure, for people.
    """

    __slots__ = (
        "_idempotent",
        "_unknown_result",
        "instance_ids",
        "last_detail",
        "open_count",
    )

    def __init__(self, idempotent: bool) -> None:
        """Creates the state of a request without attempts.

        Args:
            idempotent: Whether the request may run more than once.
        """
        self._idempotent = idempotent
        self._unknown_result: AttemptResult | None = None
        self.instance_ids: list[str] = []
        self.open_count = 0
        self.last_detail = ""

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self._idempotent

    def start(self, instance_id: str) -> None:
        """Records the start of an attempt.

        Args:
            instance_id: The instance that gets the request.
        """
        self.instance_ids.append(instance_id)
        self.open_count += 1

    def may_retry(
        self, result: AttemptResult, retries: budget.RetryBudget
    ) -> bool:
        """Records a failed attempt and decides whether to retry.

        Args:
            result: The result of the attempt.
            retries: The daemon's retry budget, from which an allowed retry is
                taken.

        Returns:
            Whether to send the request to another instance.
        """
        self.open_count -= 1
        if not result.is_not_run:
            self._unknown_result = result
        # An attempt that is still open may succeed.
        if self.open_count > 0 or len(self.instance_ids) >= MAX_ATTEMPTS:
            return False
        if self._unknown_result is not None and not self._idempotent:
            return False
        return retries.spend()

    def may_replace(self, retries: budget.RetryBudget) -> bool:
        """Decides whether to retry after an error response.

        Args:
            retries: The daemon's retry budget, from which an allowed retry is
                taken.

        Returns:
            Whether to retry instead of passing the response on to the caller.
        """
        # The attempt with the error response still counts as open.
        if not self._idempotent or self.open_count != 1:
            return False
        return len(self.instance_ids) < MAX_ATTEMPTS and retries.spend()

    def may_hedge(self, retries: budget.RetryBudget) -> bool:
        """Decides whether to send a slow request to a second instance.

        Args:
            retries: The daemon's retry budget, from which an allowed hedge is
                taken.

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
        """Builds the outcome of a request that is not retried any more.

        Args:
            result: The result of the last attempt.

        Returns:
            An unknown outcome if any attempt may have run, else a not-run one.
        """
        decisive = self._unknown_result or result
        instance = self.instance_ids[-1] if self.instance_ids else None
        return exchange.Outcome(
            _CODES[decisive], self.last_detail, instance=instance
        )
