"""The state of one request in the dispatcher."""

from __future__ import annotations

import itertools

from dotterelpath.domain import attempts
from dotterelpath.domain import document
from dotterelpath.domain import exchange
from dotterelpath.domain import records
from dotterelpath.domain import service_table
from dotterelpath.tasks import messages
from dotterelpath.tasks import reply

# The timeout of requests that state none, in seconds.
DEFAULT_TIMEOUT_S = 5.0

_ids = itertools.count(1)


class OpenAttempt:
    """An attempt that has not ended."""

    __slots__ = ("active", "instance_id", "sent_s")

    def __init__(
        self, active: ActiveRequest, instance_id: str, sent_s: float
    ) -> None:
        """Creates an open attempt.

        Args:
            active: The request that the attempt belongs to.
            instance_id: The instance that the attempt was sent to.
            sent_s: When the attempt was sent, on a monotonic clock, in
                seconds.
        """
        self.active = active
        self.instance_id = instance_id
        self.sent_s = sent_s


class ActiveRequest:
    """A request from its arrival to its outcome."""

    __slots__ = (
        "arrived_s",
        "attempt_ids",
        "attempts",
        "backend_duration_s",
        "claimed_home",
        "deadline_s",
        "holds_workspace_slot",
        "id",
        "is_ended",
        "is_forwarded",
        "is_hedge_due",
        "joined",
        "record_table",
        "reply_to",
        "request",
        "route",
        "scoped_key",
        "service_state",
        "stream_id",
    )

    def __init__(self, message: messages.RequestArrived, now_s: float) -> None:
        """Creates the state of a request that has arrived.

        Args:
            message: The request and the mailbox that gets its outcome.
            now_s: The time on a monotonic clock, in seconds.
        """
        self.id = next(_ids)
        self.request: exchange.Request = message.request
        self.reply_to: reply.ReplyTo | None = reply.ReplyTo(
            message.reply_to, message.token
        )
        self.joined: list[ActiveRequest] = []
        self.is_forwarded = message.is_forwarded
        self.claimed_home = message.claimed_home
        self.arrived_s = now_s
        self.deadline_s = now_s + (self.request.timeout_s or DEFAULT_TIMEOUT_S)
        self.backend_duration_s = 0.0
        self.route: document.Route | None = None
        self.service_state: service_table.ServiceState[ActiveRequest] | None = (
            None
        )
        # Replaced once the route is known.
        self.attempts = attempts.RequestAttempts(True)
        self.attempt_ids: list[int] = []
        self.holds_workspace_slot = False
        self.record_table: records.RecordTable | None = None
        self.scoped_key = ""
        self.stream_id: int | None = None
        self.is_hedge_due = False
        self.is_ended = False

    def set_deadline(self, route_timeout_s: float) -> None:
        """Sets the deadline from the shorter of two timeouts.

        The timeout of the route applies unless the caller's is shorter.

        Args:
            route_timeout_s: The timeout of the route, in seconds.
        """
        timeout_s = self.request.timeout_s
        if timeout_s is None or timeout_s > route_timeout_s:
            timeout_s = route_timeout_s
        self.deadline_s = self.arrived_s + timeout_s


def next_attempt_id() -> int:
    """Returns an id for a new attempt."""
    return next(_ids)
