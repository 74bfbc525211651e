"""HTTP server of the stand-ins, which can also drop a request."""

from __future__ import annotations

import asyncio
import typing

import orjson

from dotterelpath import errors
from dotterelpath.adapters import caller_codec
from dotterelpath.adapters import h11_binder
from dotterelpath.adapters import headers as header_names
from dotterelpath.domain import exchange
from dotterelpath.ports import frontend

MAX_BODY_BYTES = 16 * 1024 * 1024
# Returned by a handler that has written the response to the connection.
ALREADY_SENT = exchange.Response(0, [], b"")

Handler = typing.Callable[
    [exchange.Request, frontend.Connection],
    typing.Awaitable[exchange.Response | None],
]


class EchoCodec(caller_codec.CallerCodec):
    """Names in each response the request that the daemon sent."""

    __slots__ = ()

    def decode_request(
        self, head: frontend.Head, body: bytes
    ) -> exchange.Request:
        """Decodes a request; see frontend.CallerCodec."""
        request = super().decode_request(head, body)
        for name, value in head.headers:
            if name == header_names.REQUEST_ID:
                request.request_id = value.decode("latin-1")
        return request


class Server:
    """Passes each request to a handler and sends the returned response.

    If the handler returns None, the connection is closed without a response.
    If it returns ALREADY_SENT, the server sends nothing.
    """

    __slots__ = ("_handler", "_tasks")

    def __init__(self, handler: Handler) -> None:
        """Creates a server.

        Args:
            handler: Returns the response to a request.
        """
        self._handler = handler
        self._tasks: dict[frontend.Connection, asyncio.Task[None]] = {}

    async def listen(self, host: str, port: int) -> None:
        """Opens the listening socket.

        Args:
            host: The IP address.
            port: The port.
        """
        binder = h11_binder.H11Binder(
            EchoCodec("standin"),
            frontend.Limits(
                h11_binder.MAX_HEAD_BYTES, MAX_BODY_BYTES, closes_on_eof=True
            ),
        )
        await binder.listen(host, port, self)

    def on_request(
        self, connection: frontend.Connection, request: exchange.Request
    ) -> None:
        """Starts a task that handles the request."""
        self._tasks[connection] = asyncio.get_running_loop().create_task(
            self._serve(connection, request)
        )

    def on_rejected(
        self, connection: frontend.Connection, error: errors.DotterelpathError
    ) -> None:
        """Ignores an invalid request."""

    def on_connected(self, connection: frontend.Connection) -> None:
        """Ignores a new connection."""

    def on_disconnected(self, connection: frontend.Connection) -> None:
        """Cancels the request of a client that closed its connection."""
        task = self._tasks.pop(connection, None)
        if task is not None:
            task.cancel()

    def on_paused(self, connection: frontend.Connection) -> None:
        """Ignores that the send buffer is full."""

    def on_resumed(self, connection: frontend.Connection) -> None:
        """Ignores that the send buffer has room again."""

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
    """Builds a response with a JSON body.

    Args:
        data: The value to encode.
        status: The HTTP status.
        headers: Additional headers.
    """
    fields = [(b"content-type", b"application/json"), *(headers or [])]
    return exchange.Response(status, fields, orjson.dumps(data))
