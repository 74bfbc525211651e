"""Long answers that are passed on in parts."""

from __future__ import annotations

import typing

from dotterelpath.tasks import messages
from dotterelpath.tasks import reply


class StreamedRequest(typing.Protocol):
    """A request whose answer goes to somebody."""

    reply_to: reply.ReplyTo | None


W = typing.TypeVar("W", bound=StreamedRequest)


class Streams(typing.Generic[W]):
    """A part of a task's state: the requests whose answers still come in."""

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        """Creates a state without long answers."""
        self._requests: dict[int, W] = {}

    def begin(self, attempt_id: int, request: W) -> None:
        """Notes that an answer goes on in parts.

        Args:
            attempt_id: The try that it belongs to.
            request: The request.
        """
        self._requests[attempt_id] = request

    def drop(self, attempt_id: int) -> None:
        """Forgets an answer that nobody waits for.

        Args:
            attempt_id: The try that it belongs to.
        """
        self._requests.pop(attempt_id, None)

    def on_response_chunk(self, message: messages.ResponseChunk) -> None:
        """Passes on a part.

        Args:
            message: The part.
        """
        request = self._requests.get(message.attempt_id)
        if request is not None and request.reply_to is not None:
            request.reply_to.inbox.force(message)

    def on_response_ended(self, message: messages.ResponseEnded) -> W | None:
        """Passes on the end.

        Args:
            message: Whether the answer is whole.

        Returns:
            The request, which is over now.
        """
        request = self._requests.pop(message.attempt_id, None)
        if request is not None and request.reply_to is not None:
            request.reply_to.inbox.force(message)
        return request
