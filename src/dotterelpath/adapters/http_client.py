"""An HTTP client for calls to the store, the VM list and daemons."""

from __future__ import annotations

import asyncio
import itertools

from dotterelpath.adapters import h11_backend
from dotterelpath.adapters import input_scheduler
from dotterelpath.adapters import native_server_codec
from dotterelpath.domain import exchange
from dotterelpath.ports import backend
from dotterelpath.ports import clock as clock_port

DEFAULT_MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# The most idle connections that are kept for each server.
MAX_IDLE_PER_SERVER = 4
IDLE_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 1.0
# The longest time from the first to the last byte of a response that keeps
# arriving, in seconds.
MAX_TRANSFER_S = 30.0


class NotSentError(Exception):
    """No byte of the request was written."""


class NoResponseError(Exception):
    """The request was written, but no complete response arrived."""


class IncompleteResponseError(NoResponseError):
    """A response began, but did not end in time, or is too long."""


class HttpClient:
    """Sends calls over reused connections, one call at a time on each."""

    __slots__ = (
        "_clock",
        "_connector",
        "_idle",
        "_ids",
        "_max_response_bytes",
        "_pending",
    )

    def __init__(
        self,
        clock: clock_port.Clock,
        max_response_bytes: int = DEFAULT_MAX_RESPONSE_BYTES,
        scheduler: input_scheduler.Scheduler | None = None,
    ) -> None:
        """Creates a client without connections.

        Args:
            clock: Gives the time for the idle timeout of connections.
            max_response_bytes: The longest body of a response.
            scheduler: Decides when received bytes are processed.
        """
        self._max_response_bytes = max_response_bytes
        self._clock = clock
        self._connector = h11_backend.H11Connector(
            clock, native_server_codec.TrustedServerCodec(), scheduler=scheduler
        )
        self._idle: dict[tuple[str, int], list[backend.Connection]] = {}
        self._pending: dict[int, asyncio.Future[exchange.Response]] = {}
        self._ids = itertools.count(1)

    async def call(
        self,
        host: str,
        port: int,
        request: exchange.Request,
        timeout_s: float,
        transfer: exchange.Transfer | None = None,
    ) -> exchange.Response:
        """Sends a request and waits for the response.

        Args:
            host: The server's IP address.
            port: The server's port.
            request: The request.
            timeout_s: How long to wait for the response, in seconds, once
                connected.
            transfer: How the response may arrive once it has begun; without it,
                the timeout is that of the complete response.

        Returns:
            The response.

        Raises:
            NotSentError: The server could not be reached.
            NoResponseError: No complete response arrived in time. It is an
                IncompleteResponseError if a part did.
        """
        connection = await self._acquire(host, port)
        call_id = next(self._ids)
        future: asyncio.Future[exchange.Response] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[call_id] = future
        connection.send(call_id, request, timeout_s, self._max_response_bytes)
        try:
            response = await self._receive(
                future, connection, timeout_s, transfer
            )
        except TimeoutError:
            # What swallowed the response may have hit the others as well.
            self._close_idle(host, port)
            raise _to_timeout_error(connection, timeout_s) from None
        finally:
            del self._pending[call_id]
            if not future.done() or future.cancelled() or future.exception():
                connection.close()
        if connection.is_reusable:
            self._release(host, port, connection)
        return response

    async def _receive(
        self,
        future: asyncio.Future[exchange.Response],
        connection: backend.Connection,
        timeout_s: float,
        transfer: exchange.Transfer | None,
    ) -> exchange.Response:
        """Waits for a response.

        Raises:
            TimeoutError: It did not begin, or did not end, in time.
        """
        if transfer is None:
            async with asyncio.timeout(timeout_s):
                return await future
        transfer.follow(connection)
        begin_by_s = self._clock.now_s() + timeout_s
        while not future.done():
            now_s = self._clock.now_s()
            left_s = transfer.wait_until_s(begin_by_s, now_s) - now_s
            if left_s <= 0.0:
                raise TimeoutError
            await asyncio.wait((future,), timeout=left_s)
        return future.result()

    def close(self) -> None:
        """Closes the idle connections."""
        for host, port in list(self._idle):
            self._close_idle(host, port)

    def on_response(
        self,
        connection: backend.Connection,
        attempt_id: int,
        response: exchange.Response,
        is_complete: bool,
    ) -> None:
        """Completes the call; see backend.Listener."""
        future = self._pending.get(attempt_id)
        if future is None or future.done():
            return
        if is_complete:
            future.set_result(response)
        else:
            future.set_exception(
                IncompleteResponseError(
                    "the response is longer than"
                    f" {self._max_response_bytes} bytes"
                )
            )

    def on_body_chunk(self, attempt_id: int, data: bytes) -> None:
        """Ignores the rest of a response that is too long."""

    def on_response_end(
        self, connection: backend.Connection, attempt_id: int
    ) -> None:
        """Ignores the end of a response that is too long."""

    def on_request_failed(
        self,
        connection: backend.Connection,
        attempt_id: int,
        detail: str,
        is_protocol_error: bool,
    ) -> None:
        """Fails the call; see backend.Listener."""
        future = self._pending.get(attempt_id)
        if future is not None and not future.done():
            future.set_exception(NoResponseError(detail))

    def on_closed(self, connection: backend.Connection) -> None:
        """Removes a closed idle connection; see backend.Listener."""
        for idle in self._idle.values():
            if connection in idle:
                idle.remove(connection)

    def _close_idle(self, host: str, port: int) -> None:
        for connection in self._idle.pop((host, port), []):
            connection.close()

    async def _acquire(self, host: str, port: int) -> backend.Connection:
        idle = self._idle.get((host, port), [])
        while idle:
            connection = idle.pop()
            is_expired = (
                self._clock.now_s() - connection.last_received_s
                > IDLE_TIMEOUT_S
            )
            if connection.is_reusable and not is_expired:
                return connection
            connection.close()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await self._connector.connect(host, port, self)
        except TimeoutError:
            raise NotSentError(
                f"no connection within {CONNECT_TIMEOUT_S} s"
            ) from None
        except OSError as error:
            raise NotSentError(str(error)) from error

    def _release(
        self, host: str, port: int, connection: backend.Connection
    ) -> None:
        idle = self._idle.setdefault((host, port), [])
        if len(idle) < MAX_IDLE_PER_SERVER:
            idle.append(connection)
        else:
            connection.close()


def _to_timeout_error(
    connection: backend.Connection, timeout_s: float
) -> NoResponseError:
    size = connection.received_bytes
    if not size:
        return NoResponseError(f"no response within {timeout_s:g} s")
    return IncompleteResponseError(
        f"the response did not end in time, {size} bytes received"
    )


def new_transfer(pause_s: float) -> exchange.Transfer:
    """Creates the transfer of a response that may take long to arrive.

    Args:
        pause_s: The longest time without any byte of the response, in seconds.
    """
    return exchange.Transfer(pause_s, MAX_TRANSFER_S)


def build_post(
    target: str, body: bytes, headers: exchange.Headers | None = None
) -> exchange.Request:
    """Builds a POST request with a JSON body.

    Args:
        target: The path with the query.
        body: The JSON text.
        headers: Additional headers.

    Returns:
        The request.
    """
    fields = [(b"content-type", b"application/json"), *(headers or [])]
    return exchange.Request("POST", target, fields, body)


def build_get(
    target: str, headers: exchange.Headers | None = None
) -> exchange.Request:
    """Builds a GET request.

    Args:
        target: The path with the query.
        headers: Additional headers.

    Returns:
        The request.
    """
    return exchange.Request("GET", target, headers or [])
