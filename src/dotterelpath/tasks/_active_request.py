"""The dispatcher's state of one request."""

from __future__ import annotations

import itertools

from dotterelpath.domain import attempts
from dotterelpath.domain import document
from dotterelpath.domain import estate
from dotterelpath.domain import exchange
from dotterelpath.domain import records
from dotterelpath.tasks import messages
from dotterelpath.tasks import reply

DEFAULT_TIMEOUT_S = 5.0

_numbers = itertools.count(1)


class OpenAttempt:
    """A try that has not ended."""

    __slots__ = ("exchange", "instance_id", "started_s")

    def __init__(
        self, owner: Exchange, instance_id: str, started_s: float
    ) -> None:
        """Creates an open try.

        Args:
            owner: The request.
            instance_id: The instance that has it.
            started_s: When it was sent, on a monotonic clock, in seconds.
        """
        self.exchange = owner
        self.instance_id = instance_id
        self.started_s = started_s


class Exchange:
    """One request from its arrival to its outcome."""

    __slots__ = (
        "arrived_s",
        "attempt_ids",
        "attempts",
        "backend_s",
        "book",
        "claimed_home",
        "deadline_s",
        "id",
        "is_ended",
        "is_forwarded",
        "is_hedge_due",
        "joined",
        "reply_to",
        "request",
        "route",
        "scoped_key",
        "state",
        "stream_id",
        "workspace_entered",
    )

    def __init__(self, message: messages.RequestArrived, now_s: float) -> None:
        """Creates the state of a request that just arrived.

        Args:
            message: The request and its receiver.
            now_s: A monotonic clock, in seconds.
        """
        self.id = next(_numbers)
        self.request: exchange.Request = message.request
        self.reply_to: reply.ReplyTo | None = reply.ReplyTo(
            message.reply_to, message.token
        )
        self.joined: list[Exchange] = []
        self.is_forwarded = message.is_forwarded
        self.claimed_home = message.claimed_home
        self.arrived_s = now_s
        self.deadline_s = now_s + (self.request.timeout_s or DEFAULT_TIMEOUT_S)
        self.backend_s = 0.0
        self.route: document.Route | None = None
        self.state: estate.ServiceState[Exchange] | None = None
        self.attempts = attempts.RequestAttempts(True)
        self.attempt_ids: list[int] = []
        self.workspace_entered = False
        self.book: records.Book | None = None
        self.scoped_key = ""
        self.stream_id: int | None = None
        self.is_hedge_due = False
        self.is_ended = False

    def limit_time(self, route_timeout_s: float) -> None:
        """Sets the deadline: the route's, or an earlier one of the caller.

        Args:
            route_timeout_s: The longest time that the route allows, in
                seconds.
        """
        timeout_s = self.request.timeout_s
        if timeout_s is None or timeout_s > route_timeout_s:
            timeout_s = route_timeout_s
        self.deadline_s = self.arrived_s + timeout_s


def next_attempt_id() -> int:
    """Names a new try."""
    return next(_numbers)
