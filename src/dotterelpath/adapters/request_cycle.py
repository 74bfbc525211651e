"""One request of a caller's connection, up to its written response."""

from __future__ import annotations

import typing

import h11

from dotterelpath.adapters import request_body
from dotterelpath.domain import exchange
from dotterelpath.ports import frontend


class RequestCycle:
    """One request of a connection and the state of its response.

    Each pipelined request has its own h11 connection, because h11 parses a
    request only after the response to the previous one is complete. A refused
    request is answered without reading its rest; the connection then closes.

    A response is kept as it came until its turn, since only then it is known
    whether the connection ends behind it.
    """

    __slots__ = (
        "body",
        "chunks",
        "conn",
        "head",
        "is_answered",
        "is_received",
        "is_refused",
        "is_streaming",
        "method",
        "request",
        "response_head",
    )

    def __init__(
        self, max_head_bytes: int, body: request_body.RequestBody
    ) -> None:
        """Creates the cycle of a request that has not begun to arrive.

        Args:
            max_head_bytes: The longest request head, in bytes.
            body: Collects the body.
        """
        self.conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=max_head_bytes
        )
        self.reset(body)

    def reset(self, body: request_body.RequestBody) -> None:
        """Prepares the cycle for the next request of the connection.

        Args:
            body: Collects the body of that request.
        """
        self.head: frontend.Head | None = None
        self.body = body
        self.method = b""
        self.request: exchange.Request | None = None
        self.is_received = False
        self.is_answered = False
        self.is_refused = False
        self.is_streaming = False
        self.response_head: h11.Response | None = None
        self.chunks: list[bytes] = []

    @property
    def is_done(self) -> bool:
        """Whether the h11 connection can be reused for another request."""
        return (
            self.conn.our_state is h11.DONE
            and self.conn.their_state is h11.DONE
        )

    @property
    def is_last(self) -> bool:
        """Whether the request, or the head of its response, said close."""
        return self.conn.their_state is h11.MUST_CLOSE

    def encode(self, is_last: bool) -> typing.Iterator[bytes]:
        """Encodes what has come of the response since the last call.

        Args:
            is_last: Whether a head that is encoded now announces the end of
                the connection.

        Yields:
            The bytes to write.

        Raises:
            h11.LocalProtocolError: The response cannot be encoded.
        """
        if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            if self.response_head is None:
                return
            yield self.conn.send(self._final_head(is_last)) or b""
        for data in self.chunks:
            yield self.conn.send(h11.Data(data=data)) or b""
        self.chunks = []
        if self.is_answered:
            yield self.conn.send(h11.EndOfMessage()) or b""

    def _final_head(self, is_last: bool) -> h11.Response:
        head = self.response_head
        assert head is not None
        if not is_last:
            return head
        return h11.Response(
            status_code=head.status_code,
            headers=[*head.headers, (b"connection", b"close")],
            reason=head.reason,
        )
