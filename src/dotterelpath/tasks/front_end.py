"""The task that owns the listening socket and all callers' connections."""

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

OWN_PREFIX = "/-/"
# How often slow callers are looked for; a fraction of the shortest time-out.
SWEEP_S = 0.5

_log = structlog.get_logger()


class _Waiting:
    """A request whose caller waits for the answer."""

    __slots__ = ("connection", "request")

    def __init__(
        self, connection: frontend.Connection, request: exchange.Request
    ) -> None:
        self.connection = connection
        self.request = request


class FrontEnd:
    """Passes callers' requests to the dispatcher and writes the answers."""

    __slots__ = (
        "_back_ends",
        "_binder",
        "_busy",
        "_directory",
        "_dispatcher",
        "_drained",
        "_host",
        "_is_draining",
        "_is_leaving",
        "_limits",
        "_mailbox",
        "_open",
        "_port",
        "_server",
        "_streams",
        "_sweep",
        "_tokens",
    )

    def __init__(
        self,
        binder: frontend.Binder,
        host: str,
        port: int,
        inbox: mailbox.Mailbox[typing.Any],
        dispatcher: mailbox.Mailbox[typing.Any],
        directory: mailbox.Mailbox[typing.Any] | None,
        back_ends: mailbox.Mailbox[typing.Any],
        limits: frontend.Limits | None = None,
    ) -> None:
        """Creates the task's state.

        Args:
            binder: Opens the listening socket.
            host: The IP address for callers.
            port: The port for callers.
            inbox: This task's mailbox.
            dispatcher: Gets callers' requests.
            directory: Gets requests for addresses; None where callers ask
                for them elsewhere.
            back_ends: Hears of slow readers.
            limits: The binder's limits, where a configuration sets them.
        """
        self._limits = limits
        self._binder = binder
        self._host = host
        self._port = port
        self._mailbox = inbox
        self._dispatcher = dispatcher
        self._directory = directory
        self._back_ends = back_ends
        self._server: frontend.Server | None = None
        self._open: set[frontend.Connection] = set()
        self._busy: dict[int, _Waiting] = {}
        self._tokens: dict[frontend.Connection, set[int]] = {}
        self._sweep: asyncio.TimerHandle | None = None
        self._streams: dict[int, int] = {}
        self._drained = asyncio.Event()
        self._is_draining = False
        self._is_leaving = False

    @property
    def drained(self) -> asyncio.Event:
        """Set when a drain has closed the last connection."""
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
        """A caller connected; see frontend.Listener."""
        self._open.add(connection)
        if self._is_draining:
            connection.drain()
        elif self._is_leaving:
            connection.announce_close()

    def on_request(
        self, connection: frontend.Connection, request: exchange.Request
    ) -> None:
        """A request came in; see frontend.Listener."""
        token = next(_tokens)
        self._busy[token] = _Waiting(connection, request)
        self._tokens.setdefault(connection, set()).add(token)
        receiver = self._dispatcher
        is_own = request.path.startswith(OWN_PREFIX)
        if is_own and self._directory is not None:
            receiver = self._directory
        try:
            receiver.post(
                messages.RequestArrived(request, self._mailbox, token)
            )
        except mailbox.MailboxFullError:
            self._end(token, _overloaded(request))

    def on_rejected(
        self, connection: frontend.Connection, error: errors.DotterelpathError
    ) -> None:
        """A request was refused by its form; see frontend.Listener."""
        _log.info("request rejected", code=int(error.code), text=error.detail)

    def on_disconnected(self, connection: frontend.Connection) -> None:
        """A caller closed; see frontend.Listener."""
        self._open.discard(connection)
        for token in self._tokens.pop(connection, ()):
            self._busy.pop(token, None)
            self._forget_stream(token)
            self._dispatcher.force(messages.CallerGone(self._mailbox, token))
        self._check_drained()

    def on_paused(self, connection: frontend.Connection) -> None:
        """A caller reads slowly; see frontend.Listener."""
        self._tell_reader(connection, True)

    def on_resumed(self, connection: frontend.Connection) -> None:
        """A caller has caught up; see frontend.Listener."""
        self._tell_reader(connection, False)

    def on_request_ended(self, message: messages.RequestEnded) -> None:
        """Writes an answer.

        Args:
            message: The request and its outcome.
        """
        self._end(message.token, message.outcome)

    def on_response_part(self, message: messages.ResponsePart) -> None:
        """Writes a part of a long answer.

        Args:
            message: The part.
        """
        waiting = self._stream(message.attempt_id)
        if waiting is not None:
            waiting.connection.write_chunk(message.data, waiting.request)

    def on_response_done(self, message: messages.ResponseDone) -> None:
        """Completes a long answer, or closes if it broke off.

        Args:
            message: Whether it is whole.
        """
        waiting = self._stream(message.attempt_id)
        token = self._streams.pop(message.attempt_id, None)
        if waiting is None or token is None:
            return
        self._release(token)
        if message.is_whole:
            waiting.connection.end_response(waiting.request)
        else:
            waiting.connection.abort()

    def on_configuration_changed(
        self, message: fleet_events.ConfigurationChanged
    ) -> None:
        """Holds callers to the limits of a newer configuration.

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
        """Announces with each answer that its connection closes."""
        self._is_leaving = True
        for connection in list(self._open):
            connection.announce_close()

    def on_drain_began(self) -> None:
        """Stops listening and closes each connection when it is idle."""
        self._is_draining = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._open):
            connection.drain()
        self._check_drained()

    def _handle(self, message: typing.Any) -> None:
        if isinstance(message, messages.RequestEnded):
            self.on_request_ended(message)
        elif isinstance(message, messages.ResponsePart):
            self.on_response_part(message)
        elif isinstance(message, messages.ResponseDone):
            self.on_response_done(message)
        elif isinstance(message, fleet_events.ConfigurationChanged):
            self.on_configuration_changed(message)
        elif isinstance(message, events.LeaveBegan):
            self.on_leave_began()
        elif isinstance(message, events.DrainBegan):
            self.on_drain_began()

    def _end(self, token: int, outcome: exchange.Outcome) -> None:
        waiting = self._busy.get(token)
        if waiting is None:
            if outcome.stream_id is not None:
                self._back_ends.force(
                    messages.CancelAttempt(outcome.stream_id, False)
                )
            return
        if outcome.stream_id is not None:
            self._streams[outcome.stream_id] = token
        else:
            self._release(token)
        waiting.connection.respond(outcome, waiting.request)

    def _release(self, token: int) -> None:
        waiting = self._busy.pop(token, None)
        if waiting is None:
            return
        tokens = self._tokens.get(waiting.connection)
        if tokens is not None:
            tokens.discard(token)
            if not tokens:
                del self._tokens[waiting.connection]

    def _stream(self, attempt_id: int) -> _Waiting | None:
        token = self._streams.get(attempt_id)
        return None if token is None else self._busy.get(token)

    def _forget_stream(self, token: int) -> None:
        for attempt_id, of_token in list(self._streams.items()):
            if of_token == token:
                del self._streams[attempt_id]
                self._back_ends.force(messages.CancelAttempt(attempt_id, False))

    def _tell_reader(
        self, connection: frontend.Connection, is_paused: bool
    ) -> None:
        tokens = self._tokens.get(connection, ())
        for attempt_id, of_token in self._streams.items():
            if of_token in tokens:
                self._back_ends.force(
                    messages.ReaderPaused(attempt_id, is_paused)
                )

    def _check_drained(self) -> None:
        if self._is_draining and not self._open:
            self._drained.set()

    def _schedule_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep = loop.call_later(SWEEP_S, self._expire)

    def _expire(self) -> None:
        """Closes connections whose callers are too slow."""
        now_s = time.monotonic()
        for connection in list(self._open):
            connection.check_timeouts(now_s)
        self._schedule_sweep()

    def _close(self) -> None:
        if self._sweep is not None:
            self._sweep.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self._open):
            connection.abort()


_tokens = itertools.count(1)


def _overloaded(request: exchange.Request) -> exchange.Outcome:
    """Refuses a request that no decision has been made on.

    Another attempt with the same key may be running, so that only a request
    without a key is certainly not run.
    """
    if request.key is None:
        return exchange.Outcome(errors.ResultCode.OVERLOADED)
    return exchange.Outcome(errors.ResultCode.RECORDS_FULL)
