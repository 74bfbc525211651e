"""The port for connections to backend servers."""

from __future__ import annotations

import typing

from dotterelpath.domain import exchange


class ResponseMetadata:
    """Information in the status and headers of an instance's response."""

    __slots__ = (
        "is_authentic",
        "is_leaving",
        "is_misrouted",
        "is_not_run",
        "is_unproven_refusal",
        "request_limit_per_s",
        "running",
        "slots",
        "states_request_limit",
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
        states_request_limit: bool = False,
        request_limit_per_s: float | None = None,
        is_leaving: bool = False,
        is_unproven_refusal: bool = False,
    ) -> None:
        """Creates the metadata of a response.

        Args:
            is_not_run: Whether the request certainly did not run.
            is_misrouted: Whether another instance now has the address.
            is_authentic: Whether the instance itself, not an intermediary, made
                the response.
            running: Requests that the instance is running, if stated.
            waiting: Requests in the instance's queue, if stated.
            slots: Requests that the instance runs at once, if stated.
            states_request_limit: Whether the instance names a limit of
                requests, which may be invalid.
            request_limit_per_s: The requests a second that the instance takes
                from all daemons together, if stated and valid.
            is_leaving: Whether the instance says that it leaves.
            is_unproven_refusal: Whether the status would promise the caller
                that the request did not run, which is not certain.
        """
        self.is_not_run = is_not_run
        self.is_misrouted = is_misrouted
        self.is_authentic = is_authentic
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.states_request_limit = states_request_limit
        self.request_limit_per_s = request_limit_per_s
        self.is_leaving = is_leaving
        self.is_unproven_refusal = is_unproven_refusal


class ServerCodec(typing.Protocol):
    """Encodes request headers and reads response headers."""

    @property
    def allows_close_delimited(self) -> bool:
        """Whether the end of the connection may delimit a response body."""

    @property
    def may_repeat_responses(self) -> bool:
        """Whether a server in trouble may send a response more than once."""

    def encode_headers(
        self,
        request: exchange.Request,
        address: str,
        instance_id: str,
        timeout_s: float,
    ) -> exchange.Headers:
        """Encodes the headers of a request.

        The headers that delimit the body are added by the connection.

        Args:
            request: The request.
            address: The backend server's host and port.
            instance_id: The instance that should run the request.
            timeout_s: The time left until the deadline, in seconds.
        """

    def named_request_id(self, response: exchange.Response) -> str | None:
        """Reads the id of the request that a response names.

        Args:
            response: The response; only its head is read.

        Returns:
            The id, or None if the response names no request.
        """

    def must_name_request(self, response: exchange.Response) -> bool:
        """Whether a response without the id of a request is invalid.

        Args:
            response: The response; only its head is read.
        """

    def keep_alive_s(self, response: exchange.Response) -> float | None:
        """Reads how long the backend server keeps an idle connection open.

        Args:
            response: The response; only its head is read.

        Returns:
            The time in seconds, or None if the response does not state one.
        """


class Connection(typing.Protocol):
    """A connection to a backend server that carries one request at a time."""

    @property
    def last_received_s(self) -> float:
        """When bytes last arrived or the connection opened, in seconds.

        On the monotonic clock.
        """

    @property
    def response_began_s(self) -> float | None:
        """When bytes first arrived after the last request was written.

        On the monotonic clock, in seconds; None if none did.
        """

    @property
    def received_bytes(self) -> int:
        """The bytes that arrived since the last request was written."""

    @property
    def idle_timeout_s(self) -> float | None:
        """The server's own idle timeout, in seconds, if it stated one."""

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is open and idle, with no unread bytes."""

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
            attempt_id: The id of the attempt, passed to the listener.
            request: The request.
            timeout_s: The time left until the deadline, in seconds.
            max_buffered_bytes: The longest body that is delivered with the
                response; a longer one is streamed in chunks.
            instance_id: The instance that should run the request.
        """

    def pause(self) -> None:
        """Pauses reading while the caller reads the response too slowly."""

    def resume(self) -> None:
        """Resumes reading."""

    def close(self) -> None:
        """Closes the connection immediately."""


class Listener(typing.Protocol):
    """Receives the events of connections."""

    def on_response(
        self,
        connection: Connection,
        attempt_id: int,
        response: exchange.Response,
        is_complete: bool,
    ) -> None:
        """Handles a response, or the start of a streamed one.

        Args:
            connection: The connection.
            attempt_id: The id that was passed to send.
            response: The response with the body received so far.
            is_complete: Whether the body is complete; if not, chunks follow.
        """

    def on_body_chunk(self, attempt_id: int, data: bytes) -> None:
        """Handles a further chunk of a streamed response body.

        Args:
            attempt_id: The id that was passed to send.
            data: The chunk.
        """

    def on_response_end(self, connection: Connection, attempt_id: int) -> None:
        """Handles the end of a streamed response.

        Args:
            connection: The connection.
            attempt_id: The id that was passed to send.
        """

    def on_request_failed(
        self,
        connection: Connection,
        attempt_id: int,
        detail: str,
        is_protocol_error: bool,
    ) -> None:
        """Handles a connection that failed before its response was complete.

        Args:
            connection: The connection, which is closed.
            attempt_id: The id that was passed to send.
            detail: A description of the failure.
            is_protocol_error: Whether the server violated the protocol.
        """

    def on_closed(self, connection: Connection) -> None:
        """Handles the end of an idle connection.

        Args:
            connection: The connection.
        """


class Connector(typing.Protocol):
    """Opens connections to backend servers."""

    async def connect(
        self, host: str, port: int, listener: Listener
    ) -> Connection:
        """Opens a connection.

        Args:
            host: The server's IP address.
            port: The server's port.
            listener: Receives the connection's events.

        Raises:
            OSError: The server could not be reached.
        """
