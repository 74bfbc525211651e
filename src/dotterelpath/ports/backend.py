"""The port for connections to backend servers."""

from __future__ import annotations

import typing

from dotterelpath.domain import exchange


class Connection(typing.Protocol):
    """One connection to a backend server, for one request at a time."""

    @property
    def proven_s(self) -> float:
        """When bytes last came in, or the connection was opened."""

    @property
    def is_reusable(self) -> bool:
        """Whether a request may be written: idle, open, nothing unread."""

    def send(
        self,
        exchange_id: int,
        request: exchange.Request,
        timeout_s: float,
        buffer_limit: int,
    ) -> None:
        """Writes a request.

        Args:
            exchange_id: Names the request to the listener.
            request: The request.
            timeout_s: What remains until the deadline, in seconds.
            buffer_limit: An answer up to this many bytes is given whole; a
                longer one follows in parts.
        """

    def pause(self) -> None:
        """Stops reading an answer whose reader is slow."""

    def resume(self) -> None:
        """Reads on."""

    def close(self) -> None:
        """Closes at once."""


class Listener(typing.Protocol):
    """Hears what happens on a connection."""

    def on_answer(
        self,
        connection: Connection,
        exchange_id: int,
        answer: exchange.Answer,
        is_whole: bool,
    ) -> None:
        """An answer came in; if not whole, its body goes on in parts.

        Args:
            connection: Where it came in.
            exchange_id: The request that it answers.
            answer: The answer.
            is_whole: Whether no parts follow.
        """

    def on_part(self, exchange_id: int, data: bytes) -> None:
        """A further part of an answer's body came in.

        Args:
            exchange_id: The request.
            data: The part.
        """

    def on_end(self, connection: Connection, exchange_id: int) -> None:
        """An answer that came in parts is complete.

        Args:
            connection: Where it came in.
            exchange_id: The request.
        """

    def on_broken(
        self,
        connection: Connection,
        exchange_id: int,
        detail: str,
        is_protocol: bool,
    ) -> None:
        """A connection ended with a request on it.

        Args:
            connection: The connection.
            exchange_id: The request.
            detail: What was seen.
            is_protocol: Whether the server sent something invalid.
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
