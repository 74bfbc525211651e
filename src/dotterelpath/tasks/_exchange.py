"""The dispatcher's state of one request."""

from __future__ import annotations

import itertools
import typing

from dotterelpath.domain import admission
from dotterelpath.domain import document
from dotterelpath.domain import estate
from dotterelpath.domain import exchange
from dotterelpath.domain import records
from dotterelpath.domain import tries
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

DEFAULT_TIMEOUT_S = 5.0

_numbers = itertools.count(1)


class ReplyTo:
    """A receiver that waits for the outcome of a request."""

    __slots__ = ("inbox", "token")

    def __init__(self, inbox: mailbox.Mailbox[typing.Any], token: int) -> None:
        """Creates a receiver.

        Args:
            inbox: Where RequestEnded goes.
            token: Names the request there.
        """
        self.inbox = inbox
        self.token = token


class OpenTry:
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
        "backend_s",
        "book",
        "claimed_home",
        "deadline_s",
        "id",
        "is_ended",
        "is_forwarded",
        "is_hedge_due",
        "replies",
        "request",
        "route",
        "scoped_key",
        "state",
        "stream_id",
        "tries",
        "try_ids",
        "waiter",
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
        self.replies = [ReplyTo(message.reply_to, message.token)]
        self.is_forwarded = message.is_forwarded
        self.claimed_home = message.claimed_home
        self.arrived_s = now_s
        timeout_s = message.request.timeout_s or DEFAULT_TIMEOUT_S
        self.deadline_s = now_s + timeout_s
        self.backend_s = 0.0
        self.route: document.Route | None = None
        self.state: estate.ServiceState[Exchange] | None = None
        self.tries = tries.Tries(True)
        self.try_ids: list[int] = []
        self.waiter: admission.Waiter[Exchange] | None = None
        self.workspace_entered = False
        self.book: records.Book | None = None
        self.scoped_key = ""
        self.stream_id: int | None = None
        self.is_hedge_due = False
        self.is_ended = False


def next_try_id() -> int:
    """Names a new try."""
    return next(_numbers)
