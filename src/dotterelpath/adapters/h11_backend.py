"""Connections to backend servers over HTTP/1.1, by h11."""

from __future__ import annotations

import asyncio
import select
import typing

import h11

from dotterelpath.adapters import headers as header_names
from dotterelpath.adapters import sockets
from dotterelpath.adapters import traffic
from dotterelpath.domain import exchange
from dotterelpath.ports import backend
from dotterelpath.ports import clock as clock_port

MAX_HEAD_BYTES = 64 * 1024
_BODILESS_STATUSES = frozenset({204, 304})


class NativeServerCodec:
    """The fleet's own headers; see backend.ServerCodec."""

    __slots__ = ()

    @property
    def allows_close_delimited(self) -> bool:
        """Never: the end of such an answer looks like a break."""
        return False

    def encode_headers(
        self,
        request: exchange.Request,
        address: str,
        instance_id: str,
        timeout_s: float,
    ) -> exchange.Headers:
        """Writes a request's headers; see backend.ServerCodec."""
        timeout_ms = max(1, int(timeout_s * 1000.0))
        fields = [item for item in request.headers if item[0] != b"host"]
        fields.append((b"host", address.encode()))
        fields.append((header_names.TIMEOUT_MS, str(timeout_ms).encode()))
        fields.append((header_names.REQUEST_ID, request.request_id.encode()))
        return fields

    def is_response_to(
        self, request: exchange.Request, response: exchange.Response
    ) -> bool:
        """Takes each answer for the request's; see backend.ServerCodec."""
        return True

    def keep_alive_s(self, response: exchange.Response) -> float | None:
        """Reads nothing; see backend.ServerCodec."""
        return None


class H11Connection(asyncio.Protocol):
    """One connection to a backend server."""

    __slots__ = (
        "_address",
        "_attempt_id",
        "_body",
        "_buffer_limit",
        "_clock",
        "_codec",
        "_conn",
        "_idle_timeout_s",
        "_instance_id",
        "_is_foreign",
        "_is_streaming",
        "_last_received_s",
        "_listener",
        "_poller",
        "_request",
        "_response",
        "_size",
        "_timeout_s",
        "_traffic",
        "_transport",
    )

    def __init__(
        self,
        address: str,
        listener: backend.Listener,
        clock: clock_port.Clock,
        codec: backend.ServerCodec,
        counter: traffic.TrafficCounter,
    ) -> None:
        """Creates a connection that is not yet open.

        Args:
            address: The server's host and port.
            listener: Hears what happens.
            clock: Tells when bytes came in.
            codec: Translates headers.
            counter: Counts what is written.
        """
        self._address = address
        self._traffic = counter
        self._codec = codec
        self._listener = listener
        self._clock = clock
        self._conn = _new_conn()
        self._transport: asyncio.Transport | None = None
        self._attempt_id: int | None = None
        self._response: exchange.Response | None = None
        self._body: list[bytes] = []
        self._size = 0
        self._buffer_limit = 0
        self._is_streaming = False
        self._is_foreign = False
        self._request: exchange.Request | None = None
        self._instance_id = ""
        self._timeout_s = 0.0
        self._idle_timeout_s: float | None = None
        self._last_received_s = clock.now_s()
        self._poller = select.poll()

    @property
    def last_received_s(self) -> float:
        """When bytes last came in; see backend.Connection."""
        return self._last_received_s

    @property
    def idle_timeout_s(self) -> float | None:
        """The server's own limit; see backend.Connection."""
        return self._idle_timeout_s

    @property
    def is_reusable(self) -> bool:
        """Whether a request may be written; see backend.Connection."""
        if self._transport is None or self._attempt_id is not None:
            return False
        if self._transport.is_closing():
            return False
        # Bytes or an end of stream that the loop has not read yet would be
        # taken for the answer to the next request.
        return not self._poller.poll(0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes that the connection is open."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._poller.register(transport.get_extra_info("socket"), select.POLLIN)
        self._last_received_s = self._clock.now_s()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the listener that the connection ended."""
        self._transport = None
        if self._attempt_id is None:
            self._listener.on_closed(self)
            return
        self._break(f"connection lost: {exc or 'closed by the server'}", False)

    def data_received(self, data: bytes) -> None:
        """Parses what the server sent."""
        self._last_received_s = self._clock.now_s()
        if self._attempt_id is None:
            self.close()
            return
        try:
            self._conn.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._break(str(error), True)

    def eof_received(self) -> bool:
        """Ends the connection, and an answer that may end with it."""
        if self._attempt_id is not None:
            try:
                self._conn.receive_data(b"")
                self._read_events()
            except h11.RemoteProtocolError as error:
                self._break(f"the answer broke off: {error}", False)
        return False

    def send(
        self,
        attempt_id: int,
        request: exchange.Request,
        timeout_s: float,
        buffer_limit: int,
        instance_id: str = "",
    ) -> None:
        """Writes a request; see backend.Connection."""
        assert self._transport is not None
        self._attempt_id = attempt_id
        self._buffer_limit = buffer_limit
        self._request = request
        self._instance_id = instance_id
        self._timeout_s = timeout_s
        self._expect_response()
        data = self._encode()
        self._traffic.add(len(data))
        self._transport.write(data)

    def _expect_response(self) -> None:
        self._response = None
        self._body = []
        self._size = 0
        self._is_foreign = False

    def _encode(self) -> bytes:
        """Writes the request through h11, which then expects its answer."""
        request = self._request
        assert request is not None
        fields = self._codec.encode_headers(
            request, self._address, self._instance_id, self._timeout_s
        )
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            length = str(len(request.body)).encode()
            fields.append((b"content-length", length))
        head = h11.Request(
            method=request.method, target=request.target, headers=fields
        )
        parts = [self._conn.send(head) or b""]
        if request.body:
            parts.append(self._conn.send(h11.Data(data=request.body)) or b"")
        parts.append(self._conn.send(h11.EndOfMessage()) or b"")
        return b"".join(parts)

    def pause(self) -> None:
        """Stops reading; see backend.Connection."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Reads on; see backend.Connection."""
        if self._transport is not None:
            self._transport.resume_reading()

    def close(self) -> None:
        """Closes at once; see backend.Connection."""
        self._attempt_id = None
        if self._transport is not None:
            self._transport.abort()

    def _read_events(self) -> None:
        while self._attempt_id is not None:
            event = self._conn.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                if not self._on_head(event):
                    return
            elif isinstance(event, h11.Data):
                self._on_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._on_complete()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _on_head(self, head: h11.Response) -> bool:
        assert self._request is not None
        self._response = exchange.Response(
            head.status_code, list(head.headers), b""
        )
        self._is_foreign = not self._codec.is_response_to(
            self._request, self._response
        )
        is_bounded = self._has_bounded_body(head)
        if is_bounded or (
            self._codec.allows_close_delimited and not self._is_foreign
        ):
            return True
        self._break("the answer has neither a length nor chunks", True)
        return False

    def _has_bounded_body(self, head: h11.Response) -> bool:
        assert self._request is not None
        if self._request.method == "HEAD":
            return True
        if head.status_code in _BODILESS_STATUSES:
            return True
        return any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in head.headers
        )

    def _on_data(self, data: bytes) -> None:
        attempt_id = self._attempt_id
        assert attempt_id is not None
        if self._is_foreign:
            return
        if self._is_streaming:
            self._listener.on_body_chunk(attempt_id, data)
            return
        self._body.append(data)
        self._size += len(data)
        if self._size > self._buffer_limit:
            self._is_streaming = True
            self._listener.on_response(self, attempt_id, self._whole(), False)

    def _on_complete(self) -> None:
        attempt_id = self._attempt_id
        assert attempt_id is not None
        if self._is_foreign:
            self._skip()
            return
        was_streaming = self._is_streaming
        response = None if was_streaming else self._whole()
        self._attempt_id = None
        self._is_streaming = False
        self._renew()
        if response is None:
            self._listener.on_response_end(self, attempt_id)
        else:
            self._listener.on_response(self, attempt_id, response, True)

    def _renew(self) -> None:
        """Makes the connection ready for another request, or closes it."""
        assert self._response is not None and self._transport is not None
        keep_alive_s = self._codec.keep_alive_s(self._response)
        if keep_alive_s is not None:
            self._idle_timeout_s = keep_alive_s
        extra, _ = self._conn.trailing_data
        if self._transport.get_write_buffer_size():
            # The server answered before it had read the whole request.
            self.close()
            return
        is_done = (
            self._conn.our_state is h11.DONE
            and self._conn.their_state is h11.DONE
        )
        if extra or not is_done:
            self.close()
            return
        self._conn.start_next_cycle()

    def _skip(self) -> None:
        """Goes on to the answer behind a late one to another request."""
        extra, is_closed = self._conn.trailing_data
        if self._conn.their_state is not h11.DONE or is_closed:
            self._break("an answer to another request came last", True)
            return
        self._conn = _new_conn()
        self._expect_response()
        self._encode()
        if extra:
            self._conn.receive_data(extra)

    def _whole(self) -> exchange.Response:
        assert self._response is not None
        self._response.body = b"".join(self._body)
        self._body = []
        return self._response

    def _break(self, detail: str, is_protocol_error: bool) -> None:
        attempt_id = self._attempt_id
        self.close()
        if attempt_id is not None:
            self._listener.on_request_failed(
                self, attempt_id, detail, is_protocol_error
            )


class H11Connector:
    """Opens connections to backend servers over HTTP/1.1."""

    __slots__ = ("_clock", "_codec", "_traffic")

    def __init__(
        self,
        clock: clock_port.Clock,
        codec: backend.ServerCodec | None = None,
        counter: traffic.TrafficCounter | None = None,
    ) -> None:
        """Creates a connector.

        Args:
            clock: Tells when bytes came in.
            codec: Translates headers; by default the fleet's own.
            counter: Counts what is written.
        """
        self._clock = clock
        self._traffic = counter or traffic.TrafficCounter()
        self._codec = codec or NativeServerCodec()

    async def connect(
        self, host: str, port: int, listener: backend.Listener
    ) -> H11Connection:
        """Opens a connection; see backend.Connector."""
        loop = asyncio.get_running_loop()
        transport, connection = await loop.create_connection(
            lambda: H11Connection(
                f"{host}:{port}",
                listener,
                self._clock,
                self._codec,
                self._traffic,
            ),
            host,
            port,
        )
        sockets.enable_keep_alive(transport)
        return connection


def _new_conn() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
