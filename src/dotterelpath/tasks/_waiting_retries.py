"""Requests whose next attempt waits for the retry budget."""

from __future__ import annotations

import typing

from dotterelpath import errors
from dotterelpath.domain import request_queue
from dotterelpath.tasks import _pending
from dotterelpath.tasks import _services

# The most requests of a service that wait for its budget. A service that fails
# all requests must not use up the requests that a daemon may have in flight.
MAX_WAITING = 512
# How often it is checked whether requests can wait longer, in seconds.
CHECK_PERIOD_S = 0.02

Fail = typing.Callable[[_pending.PendingRequest, errors.ResultCode, str], None]


class WaitingRetries:
    """Keeps requests whose retry the budget does not allow yet.

    Part of the gateway task, which owns its state. The budget goes to the
    request that loses most without it, and not to the one that failed last.
    """

    __slots__ = ("_fail", "_failures", "_services")

    def __init__(self, services: _services.Services, fail: Fail) -> None:
        """Creates an object without requests.

        Args:
            services: The services.
            fail: Ends a request with the result of its last attempt.
        """
        self._services = services
        self._fail = fail
        # The result of the last attempt of each request.
        self._failures: dict[
            _pending.PendingRequest, tuple[errors.ResultCode, str]
        ] = {}

    def add(
        self,
        queued: request_queue.QueuedRequest[_pending.PendingRequest],
        code: errors.ResultCode,
        detail: str,
        now_s: float,
    ) -> None:
        """Adds a request, and fails the least urgent one if there are too many.

        Args:
            queued: The request.
            code: The result of its last attempt.
            detail: The same, for people.
            now_s: The current time on the monotonic clock, in seconds.
        """
        state = queued.item.service
        assert state is not None
        self._failures[queued.item] = (code, detail)
        state.waiting_retries.add(queued, now_s)
        if len(state.waiting_retries) > MAX_WAITING:
            self.refuse(state.waiting_retries.ordered(now_s)[-1].item)

    def remove(
        self, pending: _pending.PendingRequest
    ) -> tuple[errors.ResultCode, str] | None:
        """Removes a request if it waits.

        Args:
            pending: The request.

        Returns:
            The result of its last attempt; None if the request does not wait.
        """
        failure = self._failures.pop(pending, None)
        if failure is not None and pending.service is not None:
            pending.service.waiting_retries.remove(pending)
        return failure

    def refuse(self, pending: _pending.PendingRequest) -> None:
        """Ends a request with the result of its last attempt, if it waits.

        Args:
            pending: The request.
        """
        failure = self.remove(pending)
        if failure is not None:
            code, detail = failure
            self._fail(
                pending, code, f"{detail}, and the retry budget is spent"
            )

    def take(
        self, state: _pending.ServiceState, now_s: float
    ) -> tuple[_pending.PendingRequest, errors.ResultCode, str] | None:
        """Removes the request that gets the next retry, if one is allowed.

        Args:
            state: The service.
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            The request and the result of its last attempt.
        """
        if not len(state.waiting_retries):
            return None
        if not self._services.can_spend_retry(state):
            return None
        pending = state.waiting_retries.ordered(now_s)[0].item
        failure = self.remove(pending)
        assert failure is not None
        return pending, *failure

    def refuse_overdue(
        self, state: _pending.ServiceState, now_s: float
    ) -> None:
        """Refuses the requests that could not be served any more.

        Args:
            state: The service.
            now_s: The current time on the monotonic clock, in seconds.
        """
        if now_s - state.retries_checked_s < CHECK_PERIOD_S:
            return
        state.retries_checked_s = now_s
        for queued in state.waiting_retries.ordered(now_s):
            if queued.is_infeasible(now_s):
                self.refuse(queued.item)
