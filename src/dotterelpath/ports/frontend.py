"""The port for connections from callers."""

from __future__ import annotations

import typing

from dotterelpath import errors
from dotterelpath.domain import exchange


class Limits:
    """What one caller may send, and how long it may take."""

    __slots__ = (
        "closes_on_eof",
        "head_timeout_s",
        "idle_timeout_s",
        "max_body_bytes",
        "max_head_bytes",
        "max_pipelined",
    )

    def __init__(
        self,
        max_head_bytes: int,
        max_body_bytes: int,
        head_timeout_s: float | None = None,
        idle_timeout_s: float | None = None,
        max_pipelined: int = 1,
        closes_on_eof: bool = False,
    ) -> None:
        """Creates limits.

        Args:
            max_head_bytes: The longest request head, in bytes.
            max_body_bytes: The longest request body, in bytes.
            head_timeout_s: The time for a whole head, in seconds; None for
                no limit.
            idle_timeout_s: How long a connection may be quiet between
                requests or inside a body, in seconds; None for no limit.
            max_pipelined: Requests of one connection that are worked on at
                once.
            closes_on_eof: Whether an end of the caller's stream means that
                it waits for no answer.
        """
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.head_timeout_s = head_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.max_pipelined = max_pipelined
        self.closes_on_eof = closes_on_eof


class Head:
    """The head of a request as it was received."""

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
            received_s: When it was complete, on the monotonic clock, in
                seconds.
        """
        self.method = method
        self.target = target
        self.headers = headers
        self.received_s = received_s


class EncodedResponse:
    """An answer as it is written to a caller."""

    __slots__ = ("body", "headers", "status")

    def __init__(
        self, status: int, headers: exchange.Headers, body: bytes
    ) -> None:
        """Creates an encoded answer.

        Args:
            status: The HTTP status.
            headers: The headers, without those that frame the body.
            body: The body, or its first part where more streams.
        """
        self.status = status
        self.headers = headers
        self.body = body


class CallerCodec(typing.Protocol):
    """Translates between callers' headers and the fleet's own types."""

    def decode_request(self, head: Head, body: bytes) -> exchange.Request:
        """Reads a request.

        Args:
            head: Its head.
            body: Its whole body.

        Returns:
            The request.

        Raises:
            DotterelpathError: The request is refused by its form.
        """

    def encode_response(
        self, outcome: exchange.Outcome, request: exchange.Request | None
    ) -> EncodedResponse:
        """Writes an answer.

        Args:
            outcome: How the request ended.
            request: The request; None where it was refused by its form.

        Returns:
            The answer.
        """


class Connection(typing.Protocol):
    """One connection from a caller, answered in order.

    The request names which of several pipelined ones is meant; without it the
    oldest that has no answer is.
    """

    def respond(
        self,
        outcome: exchange.Outcome,
        request: exchange.Request | None = None,
    ) -> None:
        """Writes a whole answer, or the first part of a long one.

        Args:
            outcome: How the request ended.
            request: The request that is answered.
        """

    def write_chunk(
        self, data: bytes, request: exchange.Request | None = None
    ) -> None:
        """Writes a further part of a long answer.

        Args:
            data: The part.
            request: The request that is answered.
        """

    def end_response(self, request: exchange.Request | None = None) -> None:
        """Completes a long answer.

        Args:
            request: The request that is answered.
        """

    def abort(self) -> None:
        """Closes without completing a long answer."""

    def drain(self) -> None:
        """Closes when the answers that are due have been written."""

    def announce_close(self) -> None:
        """Announces with each further answer that the connection closes."""

    def check_timeouts(self, now_s: float) -> None:
        """Closes a connection whose caller takes longer than its limits.

        Args:
            now_s: The monotonic clock, in seconds.
        """


class Listener(typing.Protocol):
    """Hears what callers send."""

    def on_request(
        self, connection: Connection, request: exchange.Request
    ) -> None:
        """A whole request came in.

        Args:
            connection: Where it came in.
            request: The request.
        """

    def on_rejected(
        self, connection: Connection, error: errors.DotterelpathError
    ) -> None:
        """A request was refused by its form alone.

        Args:
            connection: Where it came in.
            error: Why.
        """

    def on_connected(self, connection: Connection) -> None:
        """A caller connected.

        Args:
            connection: The new connection.
        """

    def on_disconnected(self, connection: Connection) -> None:
        """A caller closed.

        Args:
            connection: The connection that is gone.
        """

    def on_paused(self, connection: Connection) -> None:
        """A caller reads more slowly than the answer comes.

        Args:
            connection: The caller's connection.
        """

    def on_resumed(self, connection: Connection) -> None:
        """A slow caller has caught up.

        Args:
            connection: The caller's connection.
        """


class Server(typing.Protocol):
    """A listening socket."""

    def close(self) -> None:
        """Stops listening; open connections go on."""


class Binder(typing.Protocol):
    """Opens listening sockets."""

    async def listen(self, host: str, port: int, listener: Listener) -> Server:
        """Listens for callers.

        Args:
            host: The IP address.
            port: The port.
            listener: Hears what callers send.

        Raises:
            DotterelpathError: The address is in use.
        """
