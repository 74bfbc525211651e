"""The port for connections from callers."""

from __future__ import annotations

import typing

from dotterelpath import errors
from dotterelpath.domain import exchange

# The default of the longest time without progress of waiting output, in
# seconds: above the pauses of mobile networks, which retransmit within it.
STALL_TIMEOUT_S = 15.0


class Limits:
    """Size and time limits of a caller's connection."""

    __slots__ = (
        "closes_on_eof",
        "head_timeout_s",
        "idle_timeout_s",
        "max_body_bytes",
        "max_head_bytes",
        "max_pipelined",
        "min_body_bytes_per_s",
        "stall_timeout_s",
    )

    def __init__(
        self,
        max_head_bytes: int,
        max_body_bytes: int,
        head_timeout_s: float | None = None,
        idle_timeout_s: float | None = None,
        max_pipelined: int = 1,
        closes_on_eof: bool = False,
        min_body_bytes_per_s: float = 0.0,
        stall_timeout_s: float = STALL_TIMEOUT_S,
    ) -> None:
        """Creates limits.

        Args:
            max_head_bytes: The longest request head, in bytes.
            max_body_bytes: The longest request body, in bytes.
            head_timeout_s: The longest time between the first byte and the
                end of a head, in seconds; None for no limit.
            idle_timeout_s: The longest time without a byte between requests
                or inside a body, in seconds; None for no limit.
            max_pipelined: The most requests of one connection that are in
                flight at once.
            closes_on_eof: Whether to close the connection at once when the
                caller half-closes it, since the caller then no longer waits
                for responses; if not, outstanding responses are written.
            min_body_bytes_per_s: The lowest rate of a body, averaged over the
                idle timeout.
            stall_timeout_s: The longest time for which a caller may take
                none of the output that waits for it, in seconds.
        """
        self.stall_timeout_s = stall_timeout_s
        self.min_body_bytes_per_s = min_body_bytes_per_s
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.head_timeout_s = head_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.max_pipelined = max_pipelined
        self.closes_on_eof = closes_on_eof


class Head:
    """The request line and headers of a request as received."""

    __slots__ = ("headers", "method", "received_s", "target")

    def __init__(
        self,
        method: str,
        target: str,
        headers: exchange.Headers,
        received_s: float,
    ) -> None:
        """Creates a head.

        Args:
            method: The HTTP method.
            target: The path with the query.
            headers: All headers, with names in lower case.
            received_s: When the head was complete, on the monotonic clock,
                in seconds.
        """
        self.method = method
        self.target = target
        self.headers = headers
        self.received_s = received_s


class EncodedResponse:
    """A response in the form that is written to a caller."""

    __slots__ = ("body", "headers", "status")

    def __init__(
        self, status: int, headers: exchange.Headers, body: bytes
    ) -> None:
        """Creates an encoded response.

        Args:
            status: The HTTP status.
            headers: The headers, without those that delimit the body.
            body: The body, or its first chunk if the response is streamed.
        """
        self.status = status
        self.headers = headers
        self.body = body


class CallerCodec(typing.Protocol):
    """Decodes callers' requests and encodes the responses."""

    def timeout_s(self, head: Head) -> float | None:
        """Returns how long the caller waits for a response, in seconds.

        Args:
            head: The request's head.

        Returns:
            The time; None if the head states none or an invalid one.
        """

    def decode_request(self, head: Head, body: bytes) -> exchange.Request:
        """Decodes a request.

        Args:
            head: The request's head.
            body: The complete body.

        Returns:
            The request.

        Raises:
            DotterelpathError: The request is invalid.
        """

    def encode_response(
        self, outcome: exchange.Outcome, request: exchange.Request | None
    ) -> EncodedResponse:
        """Encodes the response to a request.

        Args:
            outcome: How the request ended.
            request: The request; None if it could not be decoded.

        Returns:
            The encoded response.
        """


class Connection(typing.Protocol):
    """A caller's connection; responses are written in request order.

    The methods that take a request write the response to it. If the request
    is None, respond applies to the oldest request without a response, and the
    other methods apply to the oldest request with a streamed response.
    """

    def respond(
        self,
        outcome: exchange.Outcome,
        request: exchange.Request | None = None,
    ) -> None:
        """Writes a complete response, or the start of a streamed one.

        Args:
            outcome: How the request ended.
            request: The request that the response belongs to.
        """

    def write_chunk(
        self, data: bytes, request: exchange.Request | None = None
    ) -> None:
        """Writes a further chunk of a streamed response.

        Args:
            data: The chunk.
            request: The request that the response belongs to.
        """

    def end_response(self, request: exchange.Request | None = None) -> None:
        """Completes a streamed response.

        Args:
            request: The request that the response belongs to.
        """

    def abort(self) -> None:
        """Closes without completing a streamed response."""

    def drain(self) -> None:
        """Closes as soon as no response is outstanding."""

    def announce_close(self) -> None:
        """Closes after the last outstanding response.

        The header Connection of that response announces the close. Without
        outstanding responses, the connection stays open for one more request,
        whose response can announce the close.
        """

    def check_timeouts(self, now_s: float) -> None:
        """Ends the connection if the caller exceeded a time limit.

        Args:
            now_s: The monotonic clock, in seconds.
        """


class Listener(typing.Protocol):
    """Receives the events of callers' connections."""

    def on_request(
        self, connection: Connection, request: exchange.Request
    ) -> None:
        """Handles a complete request.

        Args:
            connection: The caller's connection.
            request: The request.
        """

    def on_rejected(
        self, connection: Connection, error: errors.DotterelpathError
    ) -> None:
        """Handles an invalid request; the connection sends the error.

        Args:
            connection: The caller's connection.
            error: The reason.
        """

    def on_connected(self, connection: Connection) -> None:
        """Handles a new connection.

        Args:
            connection: The new connection.
        """

    def on_disconnected(self, connection: Connection) -> None:
        """Handles the end of a connection.

        Args:
            connection: The closed connection.
        """

    def on_paused(self, connection: Connection) -> None:
        """Handles a full write buffer: the caller reads too slowly.

        Args:
            connection: The caller's connection.
        """

    def on_resumed(self, connection: Connection) -> None:
        """Handles a write buffer that has drained after on_paused.

        Args:
            connection: The caller's connection.
        """


class Server(typing.Protocol):
    """A listening socket."""

    def close(self) -> None:
        """Stops listening; open connections stay open."""


class Binder(typing.Protocol):
    """Opens listening sockets."""

    async def listen(self, host: str, port: int, listener: Listener) -> Server:
        """Listens for callers.

        Args:
            host: The IP address.
            port: The port.
            listener: Receives the events of callers' connections.

        Raises:
            DotterelpathError: The address is in use.
        """
