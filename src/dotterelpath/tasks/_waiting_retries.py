"""Requests that wait before their next attempt."""

from __future__ import annotations

import typing

from dotterelpath import errors
from dotterelpath.domain import request_queue
from dotterelpath.tasks import _pending
from dotterelpath.tasks import _services

# The most requests of a service that wait before their next attempt. A service
# that fails all requests must not use up those that a daemon may have in
# flight.
MAX_WAITING = 512

Fail = typing.Callable[
    [
        _pending.PendingRequest,
        errors.ResultCode,
        str,
        _services.RefusalReason,
    ],
    None,
]


class WaitingRetries:
    """Keeps requests that wait for a better chance or for the retry budget.

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
        pending = queued.item
        state = pending.service
        assert state is not None
        self._failures[pending] = (code, detail)
        prospect = None
        if is_weighed(pending, code):
            prospect = self._services.prospect(pending)
        state.waiting_retries.add(
            queued,
            prospect,
            self._services.chance(state),
            self._services.retry_price(state),
            now_s,
        )
        if len(state.waiting_retries) > MAX_WAITING:
            self.refuse(state.waiting_retries.least_urgent(now_s))

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
                pending,
                code,
                f"{detail}; no retry was possible",
                _services.RefusalReason.NO_RETRY,
            )

    def take(
        self, state: _pending.ServiceState, now_s: float
    ) -> tuple[_pending.PendingRequest, errors.ResultCode, str] | None:
        """Removes the request that is to be sent first, if there is one.

        Args:
            state: The service.
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            The request and the result of its last attempt. None also if the
            budget allows no retry.
        """
        waiting = state.waiting_retries
        if not len(waiting) or not self._services.can_spend_retry(state):
            return None
        pending = waiting.next_item(
            self._services.chance(state),
            self._services.retry_price(state),
            now_s,
        )
        if pending is None:
            return None
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
        for pending in state.waiting_retries.take_overdue(now_s):
            self.refuse(pending)


def is_weighed(
    pending: _pending.PendingRequest, code: errors.ResultCode
) -> bool:
    """Tells whether the last attempt of a request may be held.

    Only rejections are expected to end soon. Other failures are retried at once
    at the best instance.

    Args:
        pending: The request.
        code: The result of its last attempt.
    """
    return (
        code is errors.ResultCode.BACKEND_REFUSED
        and not pending.may_have_run
        and pending.attempts_left == 1
    )
