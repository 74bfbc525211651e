"""Long answers that are passed on in parts."""

from __future__ import annotations

import typing

from dotterelpath.tasks import messages
from dotterelpath.tasks import reply


class Work(typing.Protocol):
    """A request whose answer goes to somebody."""

    reply_to: reply.ReplyTo | None


W = typing.TypeVar("W", bound=Work)


class Streams(typing.Generic[W]):
    """A part of a task's state: the requests whose answers still come in."""

    __slots__ = ("_works",)

    def __init__(self) -> None:
        """Creates a state without long answers."""
        self._works: dict[int, W] = {}

    def begin(self, attempt_id: int, work: W) -> None:
        """Notes that an answer goes on in parts.

        Args:
            attempt_id: The try that it belongs to.
            work: The request.
        """
        self._works[attempt_id] = work

    def drop(self, attempt_id: int) -> None:
        """Forgets an answer that nobody waits for.

        Args:
            attempt_id: The try that it belongs to.
        """
        self._works.pop(attempt_id, None)

    def on_response_chunk(self, message: messages.ResponseChunk) -> None:
        """Passes on a part.

        Args:
            message: The part.
        """
        work = self._works.get(message.attempt_id)
        if work is not None and work.reply_to is not None:
            work.reply_to.inbox.force(message)

    def on_response_ended(self, message: messages.ResponseEnded) -> W | None:
        """Passes on the end.

        Args:
            message: Whether the answer is whole.

        Returns:
            The request, which is over now.
        """
        work = self._works.pop(message.attempt_id, None)
        if work is not None and work.reply_to is not None:
            work.reply_to.inbox.force(message)
        return work
