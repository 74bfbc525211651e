"""Responses that are forwarded in chunks."""

from __future__ import annotations

import typing

from dotterelpath.tasks import messages
from dotterelpath.tasks import reply


class StreamedRequest(typing.Protocol):
    """A request that has a receiver for its response."""

    reply_to: reply.ReplyTo | None


RequestT = typing.TypeVar("RequestT", bound=StreamedRequest)


class Streams(typing.Generic[RequestT]):
    """Maps attempts to the requests whose responses are still arriving.

    Part of the task that uses it, which owns its state.
    """

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        """Creates an object without streamed responses."""
        self._requests: dict[int, RequestT] = {}

    def begin(self, attempt_id: int, request: RequestT) -> None:
        """Registers a response whose body follows in chunks.

        Args:
            attempt_id: The attempt of the response.
            request: The request.
        """
        self._requests[attempt_id] = request

    def cut_off(self, attempt_id: int) -> bool:
        """Ends a response that is not complete at the request's deadline.

        Args:
            attempt_id: The attempt of the response.

        Returns:
            Whether the response was still being forwarded.
        """
        request = self.on_response_ended(
            messages.ResponseEnded(attempt_id, False)
        )
        return request is not None

    def drop(self, attempt_id: int) -> None:
        """Stops forwarding a response whose caller has disconnected.

        Args:
            attempt_id: The attempt of the response.
        """
        self._requests.pop(attempt_id, None)

    def on_response_chunk(self, message: messages.ResponseChunk) -> None:
        """Forwards a chunk.

        Args:
            message: The chunk.
        """
        request = self._requests.get(message.attempt_id)
        if request is not None and request.reply_to is not None:
            request.reply_to.inbox.force(message)

    def on_response_ended(
        self, message: messages.ResponseEnded
    ) -> RequestT | None:
        """Forwards the end of a response.

        Args:
            message: Whether the response is complete.

        Returns:
            The request, which has ended; None if it is unknown.
        """
        request = self._requests.pop(message.attempt_id, None)
        if request is not None and request.reply_to is not None:
            request.reply_to.inbox.force(message)
        return request
