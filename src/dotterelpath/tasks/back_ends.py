"""The task that owns all connections to backend servers."""

from __future__ import annotations

import asyncio
import collections
import typing

from dotterelpath.domain import attempts
from dotterelpath.domain import exchange
from dotterelpath.domain import vms
from dotterelpath.ports import backend
from dotterelpath.ports import clock as clock_port
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

# An open connection may go silent; one that carried bytes so lately has not.
FRESH_S = 1.0
# Backend servers close quiet connections; most keep them at least so long.
IDLE_S = 15.0
# What is left of a server's own limit may pass before the request arrives.
IDLE_PART = 0.7
CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS_PER_INSTANCE = 64
SWEEP_S = 5.0


class Policy:
    """How connections to backend servers are kept."""

    __slots__ = ("connect_timeout_s", "fresh_s", "max_connections")

    def __init__(
        self,
        fresh_s: float = FRESH_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_connections: int = MAX_CONNECTIONS_PER_INSTANCE,
    ) -> None:
        """Creates a policy.

        Args:
            fresh_s: How lately a connection must have carried bytes to be
                used for a request that must not run twice, in seconds.
            connect_timeout_s: How long to wait for a connection, in seconds.
            max_connections: The most connections to one instance.
        """
        self.fresh_s = fresh_s
        self.connect_timeout_s = connect_timeout_s
        self.max_connections = max_connections


class _Link:
    """The connections to one instance."""

    __slots__ = ("connecting", "idle", "open_count", "vm", "waiting")

    def __init__(self, vm: vms.Vm) -> None:
        self.vm = vm
        self.idle: list[backend.Connection] = []
        self.waiting: collections.deque[messages.SendAttempt] = (
            collections.deque()
        )
        self.connecting = 0
        self.open_count = 0


class BackEnds:
    """Writes tries to instances and reports how they end.

    Connections are kept for reuse. A request that must not run twice goes out
    on a connection that was proven within the last second or is new, since a
    connection that went silent would leave its outcome unknown.
    """

    __slots__ = (
        "_active",
        "_clock",
        "_connector",
        "_dispatcher",
        "_links",
        "_mailbox",
        "_owners",
        "_policy",
        "_streams",
        "_sweep",
        "_tasks",
    )

    def __init__(
        self,
        connector: backend.Connector,
        clock: clock_port.Clock,
        inbox: mailbox.Mailbox[typing.Any],
        dispatcher: mailbox.Mailbox[typing.Any],
        policy: Policy | None = None,
    ) -> None:
        """Creates the task's state.

        Args:
            connector: Opens connections.
            clock: Tells the time.
            inbox: This task's mailbox.
            dispatcher: Hears how tries end and gets parts of long answers.
            policy: How connections are kept.
        """
        self._policy = policy or Policy()
        self._connector = connector
        self._clock = clock
        self._mailbox = inbox
        self._dispatcher = dispatcher
        self._links: dict[str, _Link] = {}
        self._active: dict[int, backend.Connection] = {}
        self._owners: dict[backend.Connection, _Link] = {}
        self._streams: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweep: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Handles messages until cancelled."""
        self._schedule_sweep()
        try:
            while True:
                self._handle(await self._mailbox.receive())
        finally:
            self._close_all()

    def on_response(
        self,
        connection: backend.Connection,
        attempt_id: int,
        response: exchange.Response,
        is_whole: bool,
    ) -> None:
        """An answer came in; see backend.Listener."""
        if is_whole:
            self._release(connection, attempt_id)
        else:
            self._streams.add(attempt_id)
        self._dispatcher.force(
            messages.AttemptEnded(
                attempt_id,
                attempts.AttemptResult.ANSWERED,
                "",
                response,
                is_whole,
            )
        )

    def on_body_chunk(self, attempt_id: int, data: bytes) -> None:
        """A part came in; see backend.Listener."""
        self._dispatcher.force(messages.ResponsePart(attempt_id, data))

    def on_response_end(
        self, connection: backend.Connection, attempt_id: int
    ) -> None:
        """A long answer is complete; see backend.Listener."""
        self._release(connection, attempt_id)
        self._end_stream(attempt_id, True)

    def on_request_failed(
        self,
        connection: backend.Connection,
        attempt_id: int,
        detail: str,
        is_protocol_error: bool,
    ) -> None:
        """A connection ended with a request on it; see backend.Listener."""
        self._active.pop(attempt_id, None)
        self._forget(connection)
        if attempt_id in self._streams:
            self._end_stream(attempt_id, False)
            return
        end = (
            attempts.AttemptResult.PROTOCOL
            if is_protocol_error
            else attempts.AttemptResult.BROKEN
        )
        self._dispatcher.force(messages.AttemptEnded(attempt_id, end, detail))

    def on_closed(self, connection: backend.Connection) -> None:
        """An idle connection ended; see backend.Listener."""
        self._forget(connection)

    def _handle(self, message: typing.Any) -> None:
        if isinstance(message, messages.SendAttempt):
            self.on_send_attempt(message)
        elif isinstance(message, messages.CancelAttempt):
            self.on_cancel_attempt(message)
        elif isinstance(message, messages.ConnectionOpened):
            self.on_connection_opened(message)
        elif isinstance(message, messages.ReaderPaused):
            self.on_reader_paused(message)

    def on_send_attempt(self, message: messages.SendAttempt) -> None:
        """Writes a try on an idle connection, or opens one.

        Args:
            message: The try.
        """
        link = self._link(message.vm)
        connection = self._take_idle(link, message.needs_fresh)
        if connection is not None:
            self._write(connection, message)
            return
        link.waiting.append(message)
        if link.open_count + link.connecting < self._policy.max_connections:
            self._open(link)

    def on_cancel_attempt(self, message: messages.CancelAttempt) -> None:
        """Closes the connection of a try; a used one is never kept.

        Args:
            message: The try to cancel.
        """
        self._streams.discard(message.attempt_id)
        connection = self._active.pop(message.attempt_id, None)
        if connection is None:
            self._drop_waiting(message.attempt_id)
            return
        link = self._owners.get(connection)
        self._forget(connection)
        connection.close()
        if message.timed_out and link is not None:
            # What silenced this connection may have silenced the idle ones.
            for other in list(link.idle):
                self._forget(other)
                other.close()

    def on_connection_opened(self, message: messages.ConnectionOpened) -> None:
        """Writes the next waiting try on a new connection.

        Args:
            message: The connection, or why there is none.
        """
        link = self._links.get(message.vm_id)
        if link is None:
            if message.connection is not None:
                message.connection.close()
            return
        link.connecting -= 1
        if message.connection is None:
            self._fail_waiting(link, message.detail)
            return
        link.open_count += 1
        self._owners[message.connection] = link
        if link.waiting:
            self._write(message.connection, link.waiting.popleft())
        else:
            link.idle.append(message.connection)

    def on_reader_paused(self, message: messages.ReaderPaused) -> None:
        """Lets the instance wait for a slow caller.

        Args:
            message: Whether to pause.
        """
        connection = self._active.get(message.attempt_id)
        if connection is None:
            return
        if message.is_paused:
            connection.pause()
        else:
            connection.resume()

    def _link(self, vm: vms.Vm) -> _Link:
        link = self._links.get(vm.id)
        if link is None:
            link = self._links[vm.id] = _Link(vm)
        elif (link.vm.host, link.vm.port) != (vm.host, vm.port):
            for connection in list(link.idle):
                self._forget(connection)
                connection.close()
        link.vm = vm
        return link

    def _take_idle(
        self, link: _Link, needs_fresh: bool
    ) -> backend.Connection | None:
        now_s = self._clock.now_s()
        limit_s = self._policy.fresh_s if needs_fresh else IDLE_S
        while link.idle:
            connection = link.idle[-1]
            quiet_s = now_s - connection.last_received_s
            if quiet_s > min(limit_s, _idle_limit_s(connection)):
                return None
            link.idle.pop()
            if connection.is_reusable:
                return connection
            self._forget(connection)
            connection.close()
        return None

    def _write(
        self, connection: backend.Connection, message: messages.SendAttempt
    ) -> None:
        if not connection.is_reusable:
            self._forget(connection)
            connection.close()
            self._dispatcher.force(
                messages.AttemptEnded(
                    message.attempt_id,
                    attempts.AttemptResult.UNREACHABLE,
                    "closed before the request was written",
                )
            )
            return
        self._active[message.attempt_id] = connection
        connection.send(
            message.attempt_id,
            message.request,
            message.deadline_s - self._clock.now_s(),
            message.buffer_limit,
            message.vm.id,
        )

    def _open(self, link: _Link) -> None:
        link.connecting += 1
        task = asyncio.get_running_loop().create_task(self._connect(link.vm))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, vm: vms.Vm) -> None:
        connection = None
        detail = ""
        try:
            async with asyncio.timeout(self._policy.connect_timeout_s):
                connection = await self._connector.connect(
                    vm.host, vm.port, self
                )
        except TimeoutError:
            detail = "no connection in time"
        except OSError as error:
            detail = str(error)
        self._mailbox.force(
            messages.ConnectionOpened(vm.id, connection, detail)
        )

    def _release(self, connection: backend.Connection, attempt_id: int) -> None:
        self._active.pop(attempt_id, None)
        link = self._owners.get(connection)
        if link is None:
            return
        if not connection.is_reusable:
            self._forget(connection)
            connection.close()
        elif link.waiting:
            self._write(connection, link.waiting.popleft())
            return
        else:
            link.idle.append(connection)
        self._open_for_waiting(link)

    def _open_for_waiting(self, link: _Link) -> None:
        room = self._policy.max_connections - link.open_count
        if len(link.waiting) > link.connecting and room > link.connecting:
            self._open(link)

    def _forget(self, connection: backend.Connection) -> None:
        link = self._owners.pop(connection, None)
        if link is None:
            return
        link.open_count -= 1
        if connection in link.idle:
            link.idle.remove(connection)
        self._open_for_waiting(link)

    def _fail_waiting(self, link: _Link, detail: str) -> None:
        if not link.waiting:
            return
        message = link.waiting.popleft()
        self._dispatcher.force(
            messages.AttemptEnded(
                message.attempt_id, attempts.AttemptResult.UNREACHABLE, detail
            )
        )

    def _drop_waiting(self, attempt_id: int) -> None:
        for link in self._links.values():
            for message in link.waiting:
                if message.attempt_id == attempt_id:
                    link.waiting.remove(message)
                    return

    def _end_stream(self, attempt_id: int, is_whole: bool) -> None:
        self._streams.discard(attempt_id)
        self._dispatcher.force(messages.ResponseDone(attempt_id, is_whole))

    def _schedule_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep = loop.call_later(SWEEP_S, self._close_idle)

    def _close_idle(self) -> None:
        now_s = self._clock.now_s()
        for vm_id, link in list(self._links.items()):
            for connection in list(link.idle):
                if now_s - connection.last_received_s > _idle_limit_s(
                    connection
                ):
                    self._forget(connection)
                    connection.close()
            is_used = link.open_count or link.connecting or link.waiting
            if not is_used:
                del self._links[vm_id]
        self._schedule_sweep()

    def _close_all(self) -> None:
        if self._sweep is not None:
            self._sweep.cancel()
        for task in self._tasks:
            task.cancel()
        for connection in list(self._owners):
            connection.close()


def _idle_limit_s(connection: backend.Connection) -> float:
    """How long a quiet connection may still be used, in seconds."""
    told_s = connection.idle_timeout_s
    return IDLE_S if told_s is None else min(IDLE_S, told_s * IDLE_PART)
