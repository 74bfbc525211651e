"""A small HTTP server that can also fail to answer."""

from __future__ import annotations

import asyncio
import typing

import orjson

from dotterelpath import errors
from dotterelpath.adapters import h11_frontend
from dotterelpath.domain import exchange
from dotterelpath.ports import frontend

MAX_BODY_BYTES = 16 * 1024 * 1024
ALREADY_SENT = exchange.Response(0, [], b"")

Handler = typing.Callable[
    [exchange.Request, frontend.Connection],
    typing.Awaitable[exchange.Response | None],
]


class Server:
    """Gives each request to a handler.

    A handler that returns None closes without an answer, and one that returns
    ALREADY_SENT has written its answer itself.
    """

    __slots__ = ("_handler", "_tasks")

    def __init__(self, handler: Handler) -> None:
        """Creates a server.

        Args:
            handler: Answers a request.
        """
        self._handler = handler
        self._tasks: dict[frontend.Connection, asyncio.Task[None]] = {}

    async def listen(self, host: str, port: int) -> None:
        """Opens the listening socket.

        Args:
            host: The IP address.
            port: The port.
        """
        binder = h11_frontend.native_binder("standin", MAX_BODY_BYTES, True)
        await binder.listen(host, port, self)

    def on_request(
        self, connection: frontend.Connection, request: exchange.Request
    ) -> None:
        """A request came in."""
        self._tasks[connection] = asyncio.get_running_loop().create_task(
            self._serve(connection, request)
        )

    def on_rejected(
        self, connection: frontend.Connection, error: errors.DotterelpathError
    ) -> None:
        """A request was refused by its form."""

    def on_connected(self, connection: frontend.Connection) -> None:
        """A client connected."""

    def on_disconnected(self, connection: frontend.Connection) -> None:
        """A client closed, which cancels its request."""
        task = self._tasks.pop(connection, None)
        if task is not None:
            task.cancel()

    def on_paused(self, connection: frontend.Connection) -> None:
        """A client reads slowly."""

    def on_resumed(self, connection: frontend.Connection) -> None:
        """A slow client has caught up."""

    async def _serve(
        self, connection: frontend.Connection, request: exchange.Request
    ) -> None:
        response = await self._handler(request, connection)
        if response is ALREADY_SENT:
            return
        if response is None:
            connection.abort()
            return
        connection.respond(
            exchange.Outcome(errors.ResultCode.ANSWERED, response=response)
        )


def json_response(
    data: typing.Any,
    status: int = 200,
    headers: exchange.Headers | None = None,
) -> exchange.Response:
    """Builds an answer that carries JSON.

    Args:
        data: What to encode.
        status: The HTTP status.
        headers: Further headers.
    """
    fields = [(b"content-type", b"application/json"), *(headers or [])]
    return exchange.Response(status, fields, orjson.dumps(data))
