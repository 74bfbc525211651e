"""Serves JSON calls of operators, peers and the platform."""

from __future__ import annotations

import asyncio
import time
import typing

import orjson
import structlog

from dotterelpath import errors
from dotterelpath.domain import exchange
from dotterelpath.ports import frontend

MAX_OPEN_CALLS = 2048
# How often connections are checked for timeouts, in seconds.
SWEEP_INTERVAL_S = 0.5

Handler = typing.Callable[
    [exchange.Request], typing.Awaitable[exchange.Response]
]

_log = structlog.get_logger()


class Api:
    """Owns a listening socket and dispatches each call to a handler.

    A handler is found by method and path; a path that ends in a slash also
    serves the names directly below it.
    """

    __slots__ = (
        "_binder",
        "_call_tasks",
        "_connections",
        "_handlers",
        "_host",
        "_port",
        "_server",
        "_sweep_timer",
    )

    def __init__(
        self,
        binder: frontend.Binder,
        host: str,
        port: int,
        handlers: dict[tuple[str, str], Handler],
    ) -> None:
        """Creates an API.

        Args:
            binder: Opens the listening socket.
            host: The IP address.
            port: The port.
            handlers: The handlers by method and path.
        """
        self._binder = binder
        self._host = host
        self._port = port
        self._handlers = handlers
        self._server: frontend.Server | None = None
        self._connections: set[frontend.Connection] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._call_tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Opens the listening socket.

        Raises:
            DotterelpathError: The address is in use.
        """
        self._server = await self._binder.listen(self._host, self._port, self)
        self._schedule_sweep()

    def close(self) -> None:
        """Closes the socket, cancels open calls and drops connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._server is not None:
            self._server.close()
        for task in self._call_tasks:
            task.cancel()
        for connection in list(self._connections):
            connection.abort()

    def on_connected(self, connection: frontend.Connection) -> None:
        """Registers a connection; see frontend.Listener."""
        self._connections.add(connection)

    def on_disconnected(self, connection: frontend.Connection) -> None:
        """Removes a closed connection; see frontend.Listener."""
        self._connections.discard(connection)

    def on_request(
        self, connection: frontend.Connection, request: exchange.Request
    ) -> None:
        """Starts a task for the call; see frontend.Listener."""
        if len(self._call_tasks) >= MAX_OPEN_CALLS:
            connection.respond(exchange.Outcome(errors.ResultCode.OVERLOADED))
            return
        task = asyncio.get_running_loop().create_task(
            self._serve(connection, request)
        )
        self._call_tasks.add(task)
        task.add_done_callback(self._call_tasks.discard)

    def on_rejected(
        self, connection: frontend.Connection, error: errors.DotterelpathError
    ) -> None:
        """Logs an invalid call; see frontend.Listener."""
        _log.info(
            "invalid call rejected", code=int(error.code), text=error.detail
        )

    def on_paused(self, connection: frontend.Connection) -> None:
        """Does nothing, as responses are never streamed."""

    def on_resumed(self, connection: frontend.Connection) -> None:
        """Does nothing; see on_paused."""

    def _schedule_sweep(self) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(
            SWEEP_INTERVAL_S, self._close_slow_connections
        )

    def _close_slow_connections(self) -> None:
        """Closes connections that have exceeded a timeout."""
        now_s = time.monotonic()
        for connection in list(self._connections):
            connection.check_timeouts(now_s)
        self._schedule_sweep()

    async def _serve(
        self, connection: frontend.Connection, request: exchange.Request
    ) -> None:
        try:
            response = await self._find_handler(request)(request)
            outcome = exchange.Outcome(
                errors.ResultCode.ANSWERED, response=response
            )
        except errors.DotterelpathError as error:
            outcome = exchange.Outcome(error.code, error.detail)
        except ValueError as error:
            outcome = exchange.Outcome(
                errors.ResultCode.BAD_REQUEST, str(error)
            )
        connection.respond(outcome)

    def _find_handler(self, request: exchange.Request) -> Handler:
        path = request.path
        handler = self._handlers.get((request.method, path))
        if handler is None:
            parent = path.rpartition("/")[0] + "/"
            handler = self._handlers.get((request.method, parent))
        if handler is None:
            raise errors.DotterelpathError(
                errors.ResultCode.NOT_FOUND,
                f"no handler for {request.method} {path}",
            )
        return handler


def json_response(
    data: typing.Any, headers: exchange.Headers | None = None
) -> exchange.Response:
    """Builds a response with a JSON body and status 200.

    Args:
        data: The value to encode.
        headers: Additional headers.

    Returns:
        The response.
    """
    fields = [(b"content-type", b"application/json"), *(headers or [])]
    return exchange.Response(200, fields, orjson.dumps(data))


def header(request: exchange.Request, name: bytes) -> str | None:
    """Finds a header of a call.

    Args:
        request: The call.
        name: The header's name in lower case.

    Returns:
        The header's first value, or None.
    """
    for key, value in request.headers:
        if key == name:
            return value.decode("latin-1")
    return None


def last_segment(request: exchange.Request) -> str:
    """Returns the last segment of a call's path.

    Args:
        request: The call.

    Returns:
        The text after the last slash.
    """
    return request.path.rpartition("/")[2]
