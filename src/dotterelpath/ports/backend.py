"""The port for connections to backend servers."""

from __future__ import annotations

import typing

from dotterelpath.domain import exchange


class ResponseMetadata:
    """What an answer says besides its body."""

    __slots__ = (
        "is_authentic",
        "is_misrouted",
        "is_not_run",
        "running",
        "slots",
        "waiting",
    )

    def __init__(
        self,
        is_not_run: bool = False,
        is_misrouted: bool = False,
        is_authentic: bool = False,
        running: int | None = None,
        waiting: int | None = None,
        slots: int | None = None,
    ) -> None:
        """Creates signs.

        Args:
            is_not_run: Whether the instance certainly did not run it.
            is_misrouted: Whether another instance has the address now.
            is_authentic: Whether the instance itself made the answer.
            running: Requests that the instance works on.
            waiting: Requests in its queue.
            slots: Requests that it works on at once.
        """
        self.is_not_run = is_not_run
        self.is_misrouted = is_misrouted
        self.is_authentic = is_authentic
        self.running = running
        self.waiting = waiting
        self.slots = slots


class ServerCodec(typing.Protocol):
    """Translates between the fleet's types and backend servers' headers."""

    @property
    def allows_close_delimited(self) -> bool:
        """Whether an answer may end with its connection."""

    def encode_headers(
        self,
        request: exchange.Request,
        address: str,
        instance_id: str,
        timeout_s: float,
    ) -> exchange.Headers:
        """Writes the headers of a request, without those that frame it.

        Args:
            request: The request.
            address: The backend server's host and port.
            instance_id: The instance that is meant to run it.
            timeout_s: What remains until the deadline, in seconds.
        """

    def is_response_to(
        self, request: exchange.Request, response: exchange.Response
    ) -> bool:
        """Whether an answer is one to the request, not a late one to another.

        Args:
            request: The request that was written last.
            response: The answer; only its head is read.
        """

    def keep_alive_s(self, response: exchange.Response) -> float | None:
        """Reads how long the backend server keeps a quiet connection open.

        Args:
            response: The answer; only its head is read.

        Returns:
            The time in seconds, or None where the answer does not say.
        """


class Connection(typing.Protocol):
    """One connection to a backend server, for one request at a time."""

    @property
    def last_received_s(self) -> float:
        """When bytes last came in, or the connection was opened."""

    @property
    def idle_timeout_s(self) -> float | None:
        """How long the server keeps it open while quiet, if it told."""

    @property
    def is_reusable(self) -> bool:
        """Whether a request may be written: idle, open, nothing unread."""

    def send(
        self,
        attempt_id: int,
        request: exchange.Request,
        timeout_s: float,
        max_buffered_bytes: int,
        instance_id: str = "",
    ) -> None:
        """Writes a request.

        Args:
            attempt_id: Names the request to the listener.
            request: The request.
            timeout_s: What remains until the deadline, in seconds.
            max_buffered_bytes: An answer up to this size is given whole; a
                longer one follows in parts.
            instance_id: The instance that is meant to run it.
        """

    def pause(self) -> None:
        """Stops reading an answer whose reader is slow."""

    def resume(self) -> None:
        """Reads on."""

    def close(self) -> None:
        """Closes at once."""


class Listener(typing.Protocol):
    """Hears what happens on a connection."""

    def on_response(
        self,
        connection: Connection,
        attempt_id: int,
        response: exchange.Response,
        is_whole: bool,
    ) -> None:
        """An answer came in; if not whole, its body goes on in parts.

        Args:
            connection: Where it came in.
            attempt_id: The request that it answers.
            response: The answer.
            is_whole: Whether no parts follow.
        """

    def on_body_chunk(self, attempt_id: int, data: bytes) -> None:
        """A further part of an answer's body came in.

        Args:
            attempt_id: The request.
            data: The part.
        """

    def on_response_end(self, connection: Connection, attempt_id: int) -> None:
        """An answer that came in parts is complete.

        Args:
            connection: Where it came in.
            attempt_id: The request.
        """

    def on_request_failed(
        self,
        connection: Connection,
        attempt_id: int,
        detail: str,
        is_protocol_error: bool,
    ) -> None:
        """A connection ended with a request on it.

        Args:
            connection: The connection.
            attempt_id: The request.
            detail: What was seen.
            is_protocol_error: Whether the server sent something invalid.
        """

    def on_closed(self, connection: Connection) -> None:
        """An idle connection ended.

        Args:
            connection: The connection.
        """


class Connector(typing.Protocol):
    """Opens connections."""

    async def connect(
        self, host: str, port: int, listener: Listener
    ) -> Connection:
        """Opens a connection.

        Args:
            host: The server's IP address.
            port: Its port.
            listener: Hears what happens.

        Raises:
            OSError: The server could not be reached.
        """
