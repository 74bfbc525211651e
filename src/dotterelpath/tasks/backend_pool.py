"""The task that owns all connections to backend servers."""

from __future__ import annotations

import asyncio
import collections
import typing

from dotterelpath.domain import attempts
from dotterelpath.domain import exchange
from dotterelpath.domain import stream_window
from dotterelpath.domain import vms
from dotterelpath.ports import backend
from dotterelpath.ports import clock as clock_port
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

# A non-idempotent request reuses a connection only if it received bytes at most
# this long ago, in seconds. A connection that was idle for longer may have
# failed without notice.
MAX_FRESH_AGE_S = 1.0
# The longest time that an idle connection is reused, in seconds. Most backend
# servers keep idle connections open at least this long.
MAX_IDLE_S = 15.0
# The fraction of the idle timeout announced by a server within which a
# connection is reused. The rest is a margin for the time until the request
# arrives.
IDLE_LIMIT_FRACTION = 0.7
CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS_PER_INSTANCE = 64
# How often connections that were idle for too long are closed, in seconds.
SWEEP_INTERVAL_S = 5.0


class ConnectionLimits:
    """Limits for connections to backend servers."""

    __slots__ = (
        "connect_timeout_s",
        "max_connections",
        "max_fresh_age_s",
    )

    def __init__(
        self,
        max_fresh_age_s: float = MAX_FRESH_AGE_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_connections: int = MAX_CONNECTIONS_PER_INSTANCE,
    ) -> None:
        """Creates limits.

        Args:
            max_fresh_age_s: The longest time since a connection last received
                bytes at which a non-idempotent request may use it, in
                seconds.
            connect_timeout_s: The timeout for opening a connection, in
                seconds.
            max_connections: The most connections to one instance.
        """
        self.max_fresh_age_s = max_fresh_age_s
        self.connect_timeout_s = connect_timeout_s
        self.max_connections = max_connections


class _InstancePool:
    """Holds the connections to one instance, and attempts waiting for one."""

    __slots__ = ("connecting", "idle", "open_count", "vm", "waiting")

    def __init__(self, vm: vms.Vm) -> None:
        self.vm = vm
        self.idle: list[backend.Connection] = []
        self.waiting: collections.deque[messages.SendAttempt] = (
            collections.deque()
        )
        self.connecting = 0
        self.open_count = 0

    def has_address_of(self, vm: vms.Vm) -> bool:
        return (self.vm.host, self.vm.port) == (vm.host, vm.port)


class BackendPool:
    """Sends attempts to instances and reports their results.

    Connections are pooled. A non-idempotent request is sent only on a new
    connection or one that has received bytes recently (see ConnectionLimits),
    since a failed connection would leave the outcome of the request unknown.
    """

    __slots__ = (
        "_active_connections",
        "_clock",
        "_connect_tasks",
        "_connector",
        "_dispatcher",
        "_limits",
        "_mailbox",
        "_pool_by_connection",
        "_pools",
        "_read_ahead",
        "_streams",
        "_sweep_timer",
    )

    def __init__(
        self,
        connector: backend.Connector,
        clock: clock_port.Clock,
        inbox: mailbox.Mailbox[typing.Any],
        dispatcher: mailbox.Mailbox[typing.Any],
        limits: ConnectionLimits | None = None,
    ) -> None:
        """Creates the task's state.

        Args:
            connector: Opens connections.
            clock: Tells the time.
            inbox: This task's mailbox.
            dispatcher: Gets the results of attempts and the chunks of streamed
                responses.
            limits: The limits for connections.
        """
        self._limits = limits or ConnectionLimits()
        self._connector = connector
        self._clock = clock
        self._mailbox = inbox
        self._dispatcher = dispatcher
        self._pools: dict[str, _InstancePool] = {}
        self._active_connections: dict[int, backend.Connection] = {}
        self._pool_by_connection: dict[backend.Connection, _InstancePool] = {}
        self._streams: dict[int, stream_window.StreamWindow] = {}
        self._read_ahead = stream_window.ReadAhead()
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None

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
        is_complete: bool,
    ) -> None:
        """Reports a response; see backend.Listener."""
        if is_complete:
            self._release(connection, attempt_id)
        else:
            # What was read so far counts too, so that less is read ahead of a
            # response whose turn has not come.
            stream = stream_window.StreamWindow(self._read_ahead)
            stream.record_read(len(response.body))
            self._streams[attempt_id] = stream
            if not stream.is_open:
                connection.pause()
        self._dispatcher.force(
            messages.AttemptEnded(
                attempt_id,
                attempts.AttemptResult.ANSWERED,
                "",
                response,
                is_complete,
            )
        )

    def on_body_chunk(self, attempt_id: int, data: bytes) -> None:
        """Forwards a chunk of a body; see backend.Listener."""
        stream = self._streams.get(attempt_id)
        if stream is None:
            return
        self._dispatcher.force(messages.ResponseChunk(attempt_id, data))
        stream.record_read(len(data))
        if not stream.is_open:
            self._active_connections[attempt_id].pause()

    def on_response_end(
        self, connection: backend.Connection, attempt_id: int
    ) -> None:
        """Reports the end of a streamed response; see backend.Listener."""
        # The connection may be paused, since the caller has not got all of it.
        connection.resume()
        self._release(connection, attempt_id)
        self._end_stream(attempt_id, True)

    def on_request_failed(
        self,
        connection: backend.Connection,
        attempt_id: int,
        detail: str,
        is_protocol_error: bool,
    ) -> None:
        """Reports that an attempt failed; see backend.Listener."""
        self._active_connections.pop(attempt_id, None)
        self._remove_connection(connection)
        if attempt_id in self._streams:
            self._end_stream(attempt_id, False)
            return
        result = (
            attempts.AttemptResult.PROTOCOL
            if is_protocol_error
            else attempts.AttemptResult.BROKEN
        )
        self._dispatcher.force(
            messages.AttemptEnded(attempt_id, result, detail)
        )

    def on_closed(self, connection: backend.Connection) -> None:
        """Removes an idle connection that has closed; see backend.Listener."""
        self._remove_connection(connection)

    def _handle(self, message: typing.Any) -> None:
        if isinstance(message, messages.SendAttempt):
            self.on_send_attempt(message)
        elif isinstance(message, messages.CancelAttempt):
            self.on_cancel_attempt(message)
        elif isinstance(message, messages.ConnectFinished):
            self.on_connect_finished(message)
        elif isinstance(message, messages.ChunkWritten):
            self.on_chunk_written(message)

    def on_send_attempt(self, message: messages.SendAttempt) -> None:
        """Sends an attempt on an idle connection, or opens a new one.

        Args:
            message: The attempt.
        """
        pool = self._pool_for(message.vm)
        connection = self._take_idle(pool, message.needs_recent_use)
        if connection is not None:
            self._write(connection, message)
            return
        pool.waiting.append(message)
        if pool.open_count + pool.connecting < self._limits.max_connections:
            self._start_connecting(pool)

    def on_cancel_attempt(self, message: messages.CancelAttempt) -> None:
        """Cancels an attempt and closes its connection.

        A connection with a cancelled request is never reused.

        Args:
            message: The attempt to cancel.
        """
        self._drop_stream(message.attempt_id)
        connection = self._active_connections.pop(message.attempt_id, None)
        if connection is None:
            self._remove_waiting(message.attempt_id)
            return
        pool = self._pool_by_connection.get(connection)
        self._remove_connection(connection)
        connection.close()
        if message.timed_out and pool is not None:
            # The idle connections to the instance may have failed for the
            # same reason.
            for idle_connection in list(pool.idle):
                self._remove_connection(idle_connection)
                idle_connection.close()

    def on_connect_finished(self, message: messages.ConnectFinished) -> None:
        """Sends the next waiting attempt on a new connection.

        Args:
            message: The connection, or why it could not be opened.
        """
        pool = self._pools.get(message.vm.id)
        if pool is None or not pool.has_address_of(message.vm):
            if message.connection is not None:
                message.connection.close()
            return
        pool.connecting -= 1
        if message.connection is None:
            self._fail_next_waiting(pool, message.detail)
            self._connect_for_waiting(pool)
            return
        pool.open_count += 1
        self._pool_by_connection[message.connection] = pool
        if pool.waiting:
            self._write(message.connection, pool.waiting.popleft())
        else:
            pool.idle.append(message.connection)

    def on_chunk_written(self, message: messages.ChunkWritten) -> None:
        """Resumes reading a response once its chunks have been written.

        Args:
            message: The attempt, and the size of the chunk.
        """
        stream = self._streams.get(message.attempt_id)
        if stream is not None:
            stream.record_written(message.size)
            self._apply_flow_control(message.attempt_id, stream)

    def _apply_flow_control(
        self, attempt_id: int, stream: stream_window.StreamWindow
    ) -> None:
        connection = self._active_connections.get(attempt_id)
        if connection is None:
            return
        if stream.is_open:
            connection.resume()
        else:
            connection.pause()

    def _pool_for(self, vm: vms.Vm) -> _InstancePool:
        pool = self._pools.get(vm.id)
        if pool is None:
            pool = self._pools[vm.id] = _InstancePool(vm)
        elif not pool.has_address_of(vm):
            pool = self._pools[vm.id] = self._move(pool, vm)
        pool.vm = vm
        return pool

    def _move(self, pool: _InstancePool, vm: vms.Vm) -> _InstancePool:
        """Replaces the pool of an instance that has another address now.

        Connections to the old address, and those that are being opened, must
        not get further requests.
        """
        moved = _InstancePool(vm)
        moved.waiting, pool.waiting = pool.waiting, moved.waiting
        for connection in list(pool.idle):
            self._remove_connection(connection)
            connection.close()
        self._connect_for_waiting(moved)
        return moved

    def _take_idle(
        self, pool: _InstancePool, needs_recent_use: bool
    ) -> backend.Connection | None:
        now_s = self._clock.now_s()
        limit_s = (
            self._limits.max_fresh_age_s if needs_recent_use else MAX_IDLE_S
        )
        while pool.idle:
            connection = pool.idle[-1]
            idle_s = now_s - connection.last_received_s
            if idle_s > min(limit_s, _idle_limit_s(connection)):
                # The other idle connections have been idle for longer.
                return None
            pool.idle.pop()
            if connection.is_reusable:
                return connection
            self._remove_connection(connection)
            connection.close()
        return None

    def _write(
        self, connection: backend.Connection, message: messages.SendAttempt
    ) -> None:
        if not connection.is_reusable:
            self._remove_connection(connection)
            connection.close()
            self._dispatcher.force(
                messages.AttemptEnded(
                    message.attempt_id,
                    attempts.AttemptResult.UNREACHABLE,
                    "connection closed before the request was written",
                )
            )
            return
        self._active_connections[message.attempt_id] = connection
        connection.send(
            message.attempt_id,
            message.request,
            message.deadline_s - self._clock.now_s(),
            message.max_buffered_bytes,
            message.vm.id,
        )

    def _start_connecting(self, pool: _InstancePool) -> None:
        pool.connecting += 1
        task = asyncio.get_running_loop().create_task(self._connect(pool.vm))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    async def _connect(self, vm: vms.Vm) -> None:
        connection = None
        detail = ""
        try:
            async with asyncio.timeout(self._limits.connect_timeout_s):
                connection = await self._connector.connect(
                    vm.host, vm.port, self
                )
        except TimeoutError:
            detail = f"no connection within {self._limits.connect_timeout_s} s"
        except OSError as error:
            detail = str(error)
        self._mailbox.force(messages.ConnectFinished(vm, connection, detail))

    def _release(self, connection: backend.Connection, attempt_id: int) -> None:
        self._active_connections.pop(attempt_id, None)
        pool = self._pool_by_connection.get(connection)
        if pool is None:
            return
        is_current = self._pools.get(pool.vm.id) is pool
        if not connection.is_reusable or not is_current:
            self._remove_connection(connection)
            connection.close()
        elif pool.waiting:
            self._write(connection, pool.waiting.popleft())
            return
        else:
            pool.idle.append(connection)
        self._connect_for_waiting(pool)

    def _connect_for_waiting(self, pool: _InstancePool) -> None:
        spare_connections = self._limits.max_connections - pool.open_count
        if (
            len(pool.waiting) > pool.connecting
            and spare_connections > pool.connecting
        ):
            self._start_connecting(pool)

    def _remove_connection(self, connection: backend.Connection) -> None:
        pool = self._pool_by_connection.pop(connection, None)
        if pool is None:
            return
        pool.open_count -= 1
        if connection in pool.idle:
            pool.idle.remove(connection)
        self._connect_for_waiting(pool)

    def _fail_next_waiting(self, pool: _InstancePool, detail: str) -> None:
        if not pool.waiting:
            return
        message = pool.waiting.popleft()
        self._dispatcher.force(
            messages.AttemptEnded(
                message.attempt_id, attempts.AttemptResult.UNREACHABLE, detail
            )
        )

    def _remove_waiting(self, attempt_id: int) -> None:
        for pool in self._pools.values():
            for message in pool.waiting:
                if message.attempt_id == attempt_id:
                    pool.waiting.remove(message)
                    return

    def _end_stream(self, attempt_id: int, is_complete: bool) -> None:
        self._drop_stream(attempt_id)
        self._dispatcher.force(messages.ResponseEnded(attempt_id, is_complete))

    def _drop_stream(self, attempt_id: int) -> None:
        stream = self._streams.pop(attempt_id, None)
        if stream is not None:
            stream.close()

    def _schedule_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._close_idle)

    def _close_idle(self) -> None:
        now_s = self._clock.now_s()
        for vm_id, pool in list(self._pools.items()):
            for connection in list(pool.idle):
                if now_s - connection.last_received_s > _idle_limit_s(
                    connection
                ):
                    self._remove_connection(connection)
                    connection.close()
            is_used = pool.open_count or pool.connecting or pool.waiting
            if not is_used:
                del self._pools[vm_id]
        self._schedule_sweep()

    def _close_all(self) -> None:
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for task in self._connect_tasks:
            task.cancel()
        for connection in list(self._pool_by_connection):
            connection.close()


def _idle_limit_s(connection: backend.Connection) -> float:
    """Returns how long an idle connection may be reused, in seconds."""
    announced_s = connection.idle_timeout_s
    return (
        MAX_IDLE_S
        if announced_s is None
        else min(MAX_IDLE_S, announced_s * IDLE_LIMIT_FRACTION)
    )
