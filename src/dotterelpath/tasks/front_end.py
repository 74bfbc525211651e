"""The task that owns the listening socket and the callers' connections."""

from __future__ import annotations

import asyncio
import itertools
import time
import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import exchange
from dotterelpath.ports import frontend
from dotterelpath.tasks import events
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

INTERNAL_PREFIX = "/-/"
# How often connections are checked for timeouts, in seconds; a fraction of the
# shortest timeout.
SWEEP_INTERVAL_S = 0.5

_log = structlog.get_logger()


class _PendingRequest:
    """Holds a request whose caller waits for the response."""

    __slots__ = ("connection", "request")

    def __init__(
        self, connection: frontend.Connection, request: exchange.Request
    ) -> None:
        self.connection = connection
        self.request = request


class FrontEnd:
    """Forwards callers' requests to the dispatcher and writes the responses."""

    __slots__ = (
        "_backend_pool",
        "_binder",
        "_connections",
        "_directory",
        "_dispatcher",
        "_drained",
        "_host",
        "_is_draining",
        "_is_leaving",
        "_limits",
        "_mailbox",
        "_paused",
        "_pending",
        "_port",
        "_server",
        "_sweep_timer",
        "_tokens_by_attempt",
        "_tokens_by_connection",
        "_unacknowledged",
    )

    def __init__(
        self,
        binder: frontend.Binder,
        host: str,
        port: int,
        inbox: mailbox.Mailbox[typing.Any],
        dispatcher: mailbox.Mailbox[typing.Any],
        directory: mailbox.Mailbox[typing.Any] | None,
        backend_pool: mailbox.Mailbox[typing.Any],
        limits: frontend.Limits | None = None,
    ) -> None:
        """Creates the task's state.

        Args:
            binder: Opens the listening socket.
            host: The IP address for callers.
            port: The port for callers.
            inbox: This task's mailbox.
            dispatcher: Gets the callers' requests.
            directory: Gets requests for addresses; None if another server
                handles them.
            backend_pool: Gets cancellations, and flow control for slow
                callers.
            limits: The binder's limits, which each newer configuration
                updates; None if they are fixed.
        """
        self._limits = limits
        self._binder = binder
        self._host = host
        self._port = port
        self._mailbox = inbox
        self._dispatcher = dispatcher
        self._directory = directory
        self._backend_pool = backend_pool
        self._server: frontend.Server | None = None
        self._connections: set[frontend.Connection] = set()
        self._pending: dict[int, _PendingRequest] = {}
        self._tokens_by_connection: dict[frontend.Connection, set[int]] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._tokens_by_attempt: dict[int, int] = {}
        # Connections whose write buffer is full.
        self._paused: set[frontend.Connection] = set()
        # The bytes of the chunks that wait in their connection, by attempt.
        self._unacknowledged: dict[frontend.Connection, dict[int, int]] = {}
        self._drained = asyncio.Event()
        self._is_draining = False
        self._is_leaving = False

    @property
    def drained(self) -> asyncio.Event:
        """An event that is set when a drain has closed the last connection."""
        return self._drained

    async def listen(self) -> None:
        """Opens the listening socket.

        Raises:
            DotterelpathError: The address is in use.
        """
        self._server = await self._binder.listen(self._host, self._port, self)

    async def run(self) -> None:
        """Handles messages until cancelled."""
        self._schedule_sweep()
        try:
            while True:
                self._handle(await self._mailbox.receive())
        finally:
            self._close()

    def on_connected(self, connection: frontend.Connection) -> None:
        """Registers a new connection; see frontend.Listener."""
        self._connections.add(connection)
        if self._is_draining:
            connection.announce_close()
            _call_after_reading(connection.drain)
        elif self._is_leaving:
            connection.announce_close()

    def on_request(
        self, connection: frontend.Connection, request: exchange.Request
    ) -> None:
        """Forwards a request to its receiver; see frontend.Listener."""
        token = next(_tokens)
        self._pending[token] = _PendingRequest(connection, request)
        self._tokens_by_connection.setdefault(connection, set()).add(token)
        receiver = self._dispatcher
        is_internal = request.path.startswith(INTERNAL_PREFIX)
        if is_internal and self._directory is not None:
            receiver = self._directory
        try:
            receiver.post(
                messages.RequestArrived(request, self._mailbox, token)
            )
        except mailbox.MailboxFullError:
            self._finish(token, _overload_outcome(request))

    def on_rejected(
        self, connection: frontend.Connection, error: errors.DotterelpathError
    ) -> None:
        """Logs an invalid request; see frontend.Listener."""
        _log.info("request rejected", code=int(error.code), text=error.detail)

    def on_disconnected(self, connection: frontend.Connection) -> None:
        """Cancels a closed connection's requests; see frontend.Listener."""
        self._connections.discard(connection)
        self._paused.discard(connection)
        self._unacknowledged.pop(connection, None)
        for token in self._tokens_by_connection.pop(connection, ()):
            self._pending.pop(token, None)
            self._cancel_stream(token)
            self._dispatcher.force(
                messages.CallerDisconnected(self._mailbox, token)
            )
        self._check_drained()

    def on_paused(self, connection: frontend.Connection) -> None:
        """Pauses the responses to a slow caller; see frontend.Listener."""
        self._paused.add(connection)

    def on_resumed(self, connection: frontend.Connection) -> None:
        """Resumes the responses to a caller; see frontend.Listener."""
        self._paused.discard(connection)
        self._acknowledge_chunks(connection)

    def on_request_ended(self, message: messages.RequestEnded) -> None:
        """Writes a response.

        Args:
            message: The request and its outcome.
        """
        self._finish(message.token, message.outcome)

    def on_response_chunk(self, message: messages.ResponseChunk) -> None:
        """Writes a chunk of a streamed response.

        Args:
            message: The chunk.
        """
        pending = self._streaming_request(message.attempt_id)
        if pending is not None:
            pending.connection.write_chunk(message.data, pending.request)
            self._record_forwarded(
                pending.connection, message.attempt_id, len(message.data)
            )

    def on_response_ended(self, message: messages.ResponseEnded) -> None:
        """Ends a streamed response, or aborts the connection if it is cut off.

        Args:
            message: Whether the response is complete.
        """
        pending = self._streaming_request(message.attempt_id)
        token = self._tokens_by_attempt.pop(message.attempt_id, None)
        if pending is None or token is None:
            return
        self._drop_unacknowledged(pending.connection, message.attempt_id)
        self._release(token)
        if message.is_complete:
            pending.connection.end_response(pending.request)
        else:
            pending.connection.abort()

    def on_configuration_changed(
        self, message: fleet_events.ConfigurationChanged
    ) -> None:
        """Applies the limits of a newer configuration.

        Args:
            message: The configuration.
        """
        if self._limits is None:
            return
        newer = message.configuration.limits
        self._limits.max_head_bytes = newer.max_head_bytes
        self._limits.max_body_bytes = newer.max_body_bytes
        self._limits.head_timeout_s = newer.head_timeout_s
        self._limits.idle_timeout_s = newer.idle_timeout_s

    def on_leave_began(self) -> None:
        """Announces in each response that its connection will close."""
        self._is_leaving = True
        for connection in list(self._connections):
            connection.announce_close()

    def on_drain_began(self) -> None:
        """Stops listening and closes each connection once it is idle."""
        self.on_leave_began()
        _call_after_reading(self._drain)

    def _drain(self) -> None:
        self._is_draining = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.drain()
        self._check_drained()

    def _handle(self, message: typing.Any) -> None:
        if isinstance(message, messages.RequestEnded):
            self.on_request_ended(message)
        elif isinstance(message, messages.ResponseChunk):
            self.on_response_chunk(message)
        elif isinstance(message, messages.ResponseEnded):
            self.on_response_ended(message)
        elif isinstance(message, fleet_events.ConfigurationChanged):
            self.on_configuration_changed(message)
        elif isinstance(message, events.LeaveBegan):
            self.on_leave_began()
        elif isinstance(message, events.DrainBegan):
            self.on_drain_began()

    def _finish(self, token: int, outcome: exchange.Outcome) -> None:
        pending = self._pending.get(token)
        if pending is None:
            if outcome.stream_id is not None:
                self._backend_pool.force(
                    messages.CancelAttempt(outcome.stream_id, False)
                )
            return
        if outcome.stream_id is not None:
            self._tokens_by_attempt[outcome.stream_id] = token
        else:
            self._release(token)
        pending.connection.respond(outcome, pending.request)
        if outcome.stream_id is not None and outcome.response is not None:
            self._record_forwarded(
                pending.connection,
                outcome.stream_id,
                len(outcome.response.body),
            )

    def _release(self, token: int) -> None:
        pending = self._pending.pop(token, None)
        if pending is None:
            return
        tokens = self._tokens_by_connection.get(pending.connection)
        if tokens is not None:
            tokens.discard(token)
            if not tokens:
                del self._tokens_by_connection[pending.connection]
            self._acknowledge_chunks(pending.connection)

    def _streaming_request(self, attempt_id: int) -> _PendingRequest | None:
        token = self._tokens_by_attempt.get(attempt_id)
        return None if token is None else self._pending.get(token)

    def _cancel_stream(self, token: int) -> None:
        for attempt_id, stream_token in list(self._tokens_by_attempt.items()):
            if stream_token == token:
                del self._tokens_by_attempt[attempt_id]
                self._backend_pool.force(
                    messages.CancelAttempt(attempt_id, False)
                )

    def _is_forwarding(
        self, connection: frontend.Connection, token: int
    ) -> bool:
        """Whether the connection takes more bytes of a response now.

        It does not while its write buffer is full, or while a request before
        this one has no complete response yet.
        """
        return connection not in self._paused and token == min(
            self._tokens_by_connection.get(connection, (token,))
        )

    def _record_forwarded(
        self, connection: frontend.Connection, attempt_id: int, size: int
    ) -> None:
        """Records bytes of a stream that the connection got to forward."""
        sizes = self._unacknowledged.setdefault(connection, {})
        sizes[attempt_id] = sizes.get(attempt_id, 0) + size
        self._acknowledge_chunks(connection)

    def _acknowledge_chunks(self, connection: frontend.Connection) -> None:
        """Acknowledges the chunks that the connection now forwards."""
        sizes = self._unacknowledged.get(connection, {})
        for attempt_id, size in list(sizes.items()):
            if self._is_forwarding(
                connection, self._tokens_by_attempt[attempt_id]
            ):
                del sizes[attempt_id]
                self._backend_pool.force(
                    messages.ChunkWritten(attempt_id, size)
                )
        if not sizes:
            self._unacknowledged.pop(connection, None)

    def _drop_unacknowledged(
        self, connection: frontend.Connection, attempt_id: int
    ) -> None:
        sizes = self._unacknowledged.get(connection)
        if sizes is not None:
            sizes.pop(attempt_id, None)

    def _check_drained(self) -> None:
        if self._is_draining and not self._connections:
            self._drained.set()

    def _schedule_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(
            SWEEP_INTERVAL_S, _call_after_reading, self._close_slow_connections
        )

    def _close_slow_connections(self) -> None:
        """Closes connections that have exceeded a timeout."""
        now_s = time.monotonic()
        for connection in list(self._connections):
            connection.check_timeouts(now_s)
        self._schedule_sweep()

    def _close(self) -> None:
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()


def _call_after_reading(callback: typing.Callable[[], None]) -> None:
    """Calls back once the loop has read all sockets and accepted connections.

    A request may wait in the socket of a connection that counts as idle, for as
    long as the loop was busy. Callbacks that are scheduled by a callback run
    after the events that the loop polls in between.
    """
    loop = asyncio.get_running_loop()
    loop.call_soon(loop.call_soon, callback)


_tokens = itertools.count(1)


def _overload_outcome(request: exchange.Request) -> exchange.Outcome:
    """Returns the outcome of a request that the full mailbox refused.

    An earlier request with the same key may be running, so that only a request
    without a key has certainly not run.
    """
    if request.key is None:
        return exchange.Outcome(errors.ResultCode.OVERLOADED)
    return exchange.Outcome(errors.ResultCode.RECORDS_FULL)
