"""The port for connections from callers."""

from __future__ import annotations

import typing

from dotterelpath import errors
from dotterelpath.domain import exchange


class Connection(typing.Protocol):
    """One connection from a caller, answered in order."""

    def answer(self, outcome: exchange.Outcome) -> None:
        """Writes a whole answer, or the first part of a long one.

        Args:
            outcome: How the request ended.
        """

    def part(self, data: bytes) -> None:
        """Writes a further part of a long answer.

        Args:
            data: The part.
        """

    def end(self) -> None:
        """Completes a long answer."""

    def abort(self) -> None:
        """Closes without completing a long answer."""

    def drain(self) -> None:
        """Closes when the answer that is due has been written."""


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

    def on_opened(self, connection: Connection) -> None:
        """A caller connected.

        Args:
            connection: The new connection.
        """

    def on_gone(self, connection: Connection) -> None:
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
