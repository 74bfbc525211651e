"""One request of a caller's connection, up to its written response."""

from __future__ import annotations

import typing

import h11

from dotterelpath.adapters import request_body
from dotterelpath.domain import exchange
from dotterelpath.ports import frontend

# What an open request takes up besides its head, body and response: the h11
# connection and the objects of the request.
REQUEST_OVERHEAD_BYTES = 4096
# How much of a head or of a chunked body the parser gets at a time. The parser
# of each pipelined request keeps a copy of what was received behind it.
PIECE_BYTES = 4096
# How much of a body of known length it gets at a time; nothing follows it.
BODY_PIECE_BYTES = 256 * 1024
# Reason phrases by status; other responses have an empty one.
_REASONS = {431: b"Request Header Fields Too Large"}


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
        "chunk_bytes",
        "chunks",
        "conn",
        "head",
        "head_bytes",
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
        self.chunk_bytes = 0
        # What was received up to the end of the head, in pieces.
        self.head_bytes = 0

    @property
    def held_bytes(self) -> int:
        """The memory that the request takes up, without its body."""
        if self.head is None:
            return self.head_bytes
        return REQUEST_OVERHEAD_BYTES + self.head_bytes + self.chunk_bytes

    @property
    def piece_size(self) -> int:
        """The most bytes that the parser gets at a time."""
        if self.head is None:
            return PIECE_BYTES
        left = self.body.announced_left
        return min(left, BODY_PIECE_BYTES) if left else PIECE_BYTES

    def receive(self, data: bytes) -> None:
        """Gives received bytes to the parser.

        Args:
            data: The bytes.
        """
        if self.head is None:
            self.head_bytes += len(data)
        self.conn.receive_data(data)

    def set_response(
        self,
        outcome: exchange.Outcome,
        encoded: frontend.EncodedResponse,
    ) -> None:
        """Sets the response, or the start of a streamed one.

        Args:
            outcome: How the request ended.
            encoded: The response.

        Raises:
            h11.LocalProtocolError: The head cannot be encoded.
        """
        fields = list(encoded.headers)
        is_streamed = outcome.stream_id is not None
        if not is_streamed:
            fields.append(
                _content_length_field(outcome, encoded.body, self.method)
            )
        self.response_head = h11.Response(
            status_code=encoded.status,
            headers=fields,
            reason=_REASONS.get(encoded.status, b""),
        )
        if encoded.body:
            self.add_chunk(encoded.body)
        self.is_streaming = is_streamed
        self.is_answered = not is_streamed

    def add_chunk(self, data: bytes) -> None:
        """Adds a part of the response's body, which HEAD does not get.

        Args:
            data: The bytes.
        """
        if self.method != b"HEAD":
            self.chunks.append(data)
            self.chunk_bytes += len(data)

    def release(self) -> None:
        """Drops the request and its body, once the response is written."""
        self.body.release()
        self.request = None
        self.head = None

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
        self.chunk_bytes = 0
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


def _content_length_field(
    outcome: exchange.Outcome, body: bytes, method: bytes
) -> tuple[bytes, bytes]:
    """Returns the header for the length of a body.

    A response to HEAD has no body, so the backend server's own length is kept.
    """
    if method == b"HEAD" and outcome.response is not None:
        length = outcome.response.header(b"content-length")
        if length is not None:
            return (b"content-length", length)
    return (b"content-length", str(len(body)).encode())
