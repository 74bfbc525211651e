"""Connects to backend servers over HTTP/1.1 with h11."""

from __future__ import annotations

import asyncio
import select
import typing

import h11

from dotterelpath.adapters import input_scheduler
from dotterelpath.adapters import native_server_codec
from dotterelpath.adapters import read_gate
from dotterelpath.adapters import sockets
from dotterelpath.adapters import traffic
from dotterelpath.domain import caller_memory
from dotterelpath.domain import exchange
from dotterelpath.domain import response_matching
from dotterelpath.domain import work_sharing
from dotterelpath.ports import backend
from dotterelpath.ports import clock as clock_port

MAX_HEAD_BYTES = 64 * 1024
# The highest valid status (RFC 9110, section 15); h11 refuses those below 100.
MAX_STATUS = 599
# Servers send at most a few responses with a status below 200 before the final
# one.
MAX_INFORMATIONAL_RESPONSES = 16
# The most responses to earlier requests, and the most bytes of their bodies,
# that are skipped before the response to a request.
MAX_LATE_RESPONSES = 16
MAX_LATE_BYTES = 1024 * 1024
_BODILESS_STATUSES = frozenset({204, 304})


class H11Connection(asyncio.Protocol):
    """A connection to a backend server; see backend.Connection."""

    __slots__ = (
        "_address",
        "_attempt_id",
        "_body",
        "_clock",
        "_codec",
        "_conn",
        "_gate",
        "_idle_timeout_s",
        "_input_bytes",
        "_instance_id",
        "_informational_count",
        "_is_first_request",
        "_is_gated",
        "_is_ended",
        "_is_late_response",
        "_is_paused",
        "_is_streaming",
        "_last_received_s",
        "_late_count",
        "_late_size",
        "_listener",
        "_lost_detail",
        "_max_buffered_bytes",
        "_memory",
        "_part",
        "_poller",
        "_received_bytes",
        "_request",
        "_response",
        "_response_began_s",
        "_scheduler",
        "_timeout_s",
        "_traffic_counter",
        "_transport",
        "_work_left",
        "account",
        "has_completed",
        "has_input",
        "is_scheduled",
        "peer",
    )

    def __init__(
        self,
        address: str,
        listener: backend.Listener,
        clock: clock_port.Clock,
        codec: backend.ServerCodec,
        traffic_counter: traffic.TrafficCounter,
        scheduler: input_scheduler.Scheduler,
        account: work_sharing.Account,
        memory: caller_memory.CallerMemory | None = None,
        gate: read_gate.ReadGate | None = None,
    ) -> None:
        """Creates a connection that is not yet open.

        Args:
            address: The server's host and port.
            listener: Receives the events of the connection.
            clock: Gives the time at which bytes arrive.
            codec: Encodes request headers and reads those of responses.
            traffic_counter: Counts the bytes written.
            scheduler: Decides when received bytes are processed.
            account: The recent work for the server.
            memory: Counts the bytes that are read ahead of callers.
            gate: Limits what all connections read at once.
        """
        self._scheduler = scheduler
        self.account = account
        self.peer = f"server {address}"
        self.is_scheduled = False
        self.has_completed = False
        # Whether received bytes are left to process.
        self.has_input = False
        # The bytes of the last read while a part of them waits for a turn.
        self._input_bytes = 0
        self._work_left = 0
        # Whether the server has sent its last byte.
        self._is_ended = False
        # Why the connection was lost while received bytes wait.
        self._lost_detail: str | None = None
        self._memory = memory or caller_memory.CallerMemory()
        self._gate = gate or read_gate.ReadGate()
        self._is_gated = False
        self._is_paused = False
        self._address = address
        self._traffic_counter = traffic_counter
        self._codec = codec
        self._listener = listener
        self._clock = clock
        self._conn = _new_conn()
        self._transport: asyncio.Transport | None = None
        self._attempt_id: int | None = None
        self._response: exchange.Response | None = None
        # The body as far as it was received, while it is held whole.
        self._body = bytearray()
        # The bytes of the current read that are to be passed on as one part:
        # an object for each chunk may take up many times its bytes.
        self._part = bytearray()
        self._late_count = 0
        self._late_size = 0
        self._max_buffered_bytes = 0
        self._is_streaming = False
        self._is_late_response = False
        self._is_first_request = True
        self._informational_count = 0
        self._request: exchange.Request | None = None
        self._instance_id = ""
        self._timeout_s = 0.0
        self._idle_timeout_s: float | None = None
        self._last_received_s = clock.now_s()
        self._received_bytes = 0
        self._response_began_s: float | None = None
        self._poller = select.poll()

    @property
    def last_received_s(self) -> float:
        """When bytes last arrived; see backend.Connection."""
        return self._last_received_s

    @property
    def response_began_s(self) -> float | None:
        """When the response began; see backend.Connection."""
        return self._response_began_s

    @property
    def received_bytes(self) -> int:
        """The bytes of the response so far; see backend.Connection."""
        return self._received_bytes

    @property
    def idle_timeout_s(self) -> float | None:
        """The server's own idle timeout; see backend.Connection."""
        return self._idle_timeout_s

    @property
    def is_reusable(self) -> bool:
        """Whether a request may be written; see backend.Connection."""
        if self._transport is None or self._attempt_id is not None:
            return False
        if self._transport.is_closing():
            return False
        # Bytes or an end of stream that the event loop has not read yet would
        # be mistaken for the response to the next request.
        return not self._poller.poll(0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the open connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._poller.register(transport.get_extra_info("socket"), select.POLLIN)
        self._gate.add(self)
        self._last_received_s = self._clock.now_s()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end, once the bytes received before it are processed."""
        self._transport = None
        self._gate.remove(self)
        detail = f"connection lost: {exc or 'closed by the server'}"
        if self.has_input:
            self._lost_detail = detail
        else:
            self._on_lost(detail)

    def _on_lost(self, detail: str) -> None:
        self._drop_body()
        if self._attempt_id is None:
            self._listener.on_closed(self)
        else:
            self._fail(detail, False)

    def data_received(self, data: bytes) -> None:
        """Takes the server's bytes; closes if no request is in flight."""
        self._last_received_s = self._clock.now_s()
        self._received_bytes += len(data)
        if self._response_began_s is None:
            self._response_began_s = self._last_received_s
        self._gate.record_read(len(data))
        self._scheduler.record_received(self, len(data))
        if self._attempt_id is None:
            self.close()
            return
        self._conn.receive_data(data)
        self._process(len(data))

    def eof_received(self) -> bool:
        """Completes a response that the end of the connection delimits."""
        if self._attempt_id is not None:
            self._is_ended = True
            self._conn.receive_data(b"")
            self._process(0)
        return False

    def _process(self, size: int) -> None:
        """Processes received bytes, or stops reading until their turn."""
        self.has_input = True
        self._scheduler.process(self)
        if self.has_input and not self._input_bytes:
            self._input_bytes = size
            self._memory.add_read_ahead(size)
            self._apply_pauses()

    def process_input(self, max_work: int) -> int:
        """Parses a piece; see input_scheduler.InputConnection."""
        self._work_left = max_work
        self.has_completed = False
        try:
            self.has_input = self._read_available_events()
        except h11.RemoteProtocolError as error:
            if self._is_ended:
                self._fail(f"truncated response: {error}", False)
            else:
                self._fail(str(error), True)
        if not self.has_input:
            self._on_input_processed()
        return max_work - self._work_left

    def _on_input_processed(self) -> None:
        """Passes on what was read, and reads on."""
        self._pass_part_on()
        if self._input_bytes:
            self._drop_input()
            self._apply_pauses()
        if self._lost_detail is not None:
            detail, self._lost_detail = self._lost_detail, None
            self._on_lost(detail)

    def _drop_input(self) -> None:
        self.has_input = False
        self._memory.add_read_ahead(-self._input_bytes)
        self._input_bytes = 0

    def fail_input(self) -> None:
        """Fails the attempt; see input_scheduler.InputConnection."""
        self._fail("the response could not be processed", True)

    def send(
        self,
        attempt_id: int,
        request: exchange.Request,
        timeout_s: float,
        max_buffered_bytes: int,
        instance_id: str = "",
    ) -> None:
        """Writes a request; see backend.Connection."""
        assert self._transport is not None
        self._attempt_id = attempt_id
        self._max_buffered_bytes = max_buffered_bytes
        self._request = request
        self._instance_id = instance_id
        self._timeout_s = timeout_s
        self._received_bytes = 0
        self._response_began_s = None
        self._late_count = 0
        self._late_size = 0
        self._expect_response()
        try:
            chunks = self._encode_request()
        except h11.LocalProtocolError as error:
            # One request must not end the task and with it the process.
            self._fail(f"the request cannot be encoded: {error}", False)
            return
        self._traffic_counter.add(sum(map(len, chunks)))
        self._transport.writelines(chunks)

    def _expect_response(self) -> None:
        self._response = None
        self._drop_body()
        self._is_late_response = False
        self._informational_count = 0

    def _encode_request(self) -> list[bytes]:
        """Encodes the request; h11 then expects the response to it.

        Returns:
            The parts of the request. The body is one of them, since joining
            them would copy it.
        """
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
        chunks = [self._conn.send(head) or b""]
        if request.body:
            chunks.append(self._conn.send(h11.Data(data=request.body)) or b"")
        chunks.append(self._conn.send(h11.EndOfMessage()) or b"")
        return [chunk for chunk in chunks if chunk]

    def pause(self) -> None:
        """Stops reading; see backend.Connection."""
        self._is_paused = True
        self._apply_pauses()

    def resume(self) -> None:
        """Resumes reading; see backend.Connection."""
        self._is_paused = False
        self._apply_pauses()

    def set_gated(self, is_gated: bool) -> None:
        """Stops or continues to read; see read_gate.Reader."""
        self._is_gated = is_gated
        self._apply_pauses()

    def _apply_pauses(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._is_paused or self._is_gated or self._input_bytes:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def close(self) -> None:
        """Closes immediately; see backend.Connection."""
        self._attempt_id = None
        self._drop_body()
        self._drop_input()
        if self._transport is not None:
            self._transport.abort()

    def _read_available_events(self) -> bool:
        """Parses what was received; returns whether the piece ended before."""
        while self._attempt_id is not None:
            if self._work_left <= 0:
                return True
            event = self._conn.next_event()
            self._work_left -= 1
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            if isinstance(event, h11.Response):
                self._work_left -= work_sharing.field_work(event.headers)
                if not self._on_head(event):
                    break
            elif isinstance(event, h11.Data):
                self._on_data(event.data)
            elif isinstance(event, h11.InformationalResponse):
                self._on_informational()
            elif isinstance(event, h11.EndOfMessage):
                self._work_left -= work_sharing.field_work(event.headers)
                self._on_complete()
            elif isinstance(event, h11.ConnectionClosed):
                break
        return False

    def _on_head(self, head: h11.Response) -> bool:
        assert self._request is not None
        if head.status_code > MAX_STATUS:
            self._fail(f"the status {head.status_code} is invalid", True)
            return False
        self._response = exchange.Response(
            head.status_code, list(head.headers), b""
        )
        matched = self._match(self._request, self._response)
        if matched is response_matching.Match.UNKNOWN:
            self._fail("the response names no request", True)
            return False
        self._is_late_response = matched is response_matching.Match.EARLIER
        is_bounded = self._has_bounded_body(head)
        if is_bounded or (
            self._codec.allows_close_delimited and not self._is_late_response
        ):
            return True
        self._fail(
            "the response has neither content-length nor transfer-encoding",
            True,
        )
        return False

    def _match(
        self, request: exchange.Request, response: exchange.Response
    ) -> response_matching.Match:
        if not self._codec.may_repeat_responses:
            return response_matching.Match.CURRENT
        return response_matching.match(
            self._codec.named_request_id(response),
            request.request_id,
            self._is_first_request,
            self._codec.must_name_request(response),
        )

    def _on_informational(self) -> None:
        self._informational_count += 1
        if self._informational_count > MAX_INFORMATIONAL_RESPONSES:
            self._fail("too many informational responses", True)

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

    def _on_data(self, data: bytes | bytearray) -> None:
        attempt_id = self._attempt_id
        assert attempt_id is not None
        if self._is_late_response:
            self._late_size += len(data)
            if self._late_size > MAX_LATE_BYTES:
                self._fail("too long a response to an earlier request", True)
            return
        if self._is_streaming:
            self._part += data
            return
        self._body += data
        self._memory.add_read_ahead(len(data))
        limit = self._memory.limit_read_ahead(self._max_buffered_bytes)
        if len(self._body) > limit:
            self._is_streaming = True
            self._listener.on_response(
                self, attempt_id, self._take_response(), False
            )

    def _pass_part_on(self) -> None:
        """Passes on what was read of a body that is not held whole."""
        if not self._part:
            return
        part, self._part = self._part, bytearray()
        if self._attempt_id is not None:
            self._listener.on_body_chunk(self._attempt_id, bytes(part))

    def _on_complete(self) -> None:
        attempt_id = self._attempt_id
        assert attempt_id is not None
        self.has_completed = True
        if self._is_late_response:
            self._skip_late_response()
            return
        self._pass_part_on()
        was_streaming = self._is_streaming
        response = None if was_streaming else self._take_response()
        self._attempt_id = None
        self._is_streaming = False
        self._prepare_reuse()
        if response is None:
            self._listener.on_response_end(self, attempt_id)
        else:
            self._listener.on_response(self, attempt_id, response, True)

    def _prepare_reuse(self) -> None:
        """Prepares the connection for another request, or closes it."""
        assert self._response is not None
        if self._transport is None:
            return
        keep_alive_s = self._codec.keep_alive_s(self._response)
        if keep_alive_s is not None:
            self._idle_timeout_s = keep_alive_s
        unparsed, _ = self._conn.trailing_data
        if self._transport.get_write_buffer_size():
            # The server responded before it read the whole request.
            self.close()
            return
        is_done = (
            self._conn.our_state is h11.DONE
            and self._conn.their_state is h11.DONE
        )
        is_distinguishable = (
            not self._codec.may_repeat_responses
            or self._codec.named_request_id(self._response) is not None
        )
        if unparsed or not is_done or not is_distinguishable:
            # If the server names no request, a late copy of this response
            # would look like the response to the next request.
            self.close()
            return
        self._is_first_request = False
        self._request = None
        self._conn.start_next_cycle()

    def _skip_late_response(self) -> None:
        """Discards a late response to an earlier request.

        A new h11 connection parses the response that follows. The request is
        encoded again without being sent, so that h11 expects a response.
        """
        self._late_count += 1
        if self._late_count > MAX_LATE_RESPONSES:
            self._fail("too many responses to earlier requests", True)
            return
        unparsed, is_closed = self._conn.trailing_data
        if self._conn.their_state is not h11.DONE or is_closed:
            self._fail(
                "the connection ended after a response to an earlier request",
                True,
            )
            return
        self._conn = _new_conn()
        self._expect_response()
        self._encode_request()
        if unparsed:
            self._conn.receive_data(unparsed)

    def _take_response(self) -> exchange.Response:
        assert self._response is not None
        body = bytes(self._body)
        self._drop_body()
        # An idle connection must not keep the body.
        return exchange.Response(
            self._response.status, self._response.headers, body
        )

    def _drop_body(self) -> None:
        self._memory.add_read_ahead(-len(self._body))
        self._body = bytearray()

    def _fail(self, detail: str, is_protocol_error: bool) -> None:
        attempt_id = self._attempt_id
        self.close()
        if attempt_id is not None:
            self._listener.on_request_failed(
                self, attempt_id, detail, is_protocol_error
            )


class H11Connector:
    """Opens connections over HTTP/1.1; see backend.Connector."""

    __slots__ = (
        "_accounts",
        "_clock",
        "_codec",
        "_gate",
        "_memory",
        "_scheduler",
        "_traffic_counter",
    )

    def __init__(
        self,
        clock: clock_port.Clock,
        codec: backend.ServerCodec | None = None,
        traffic_counter: traffic.TrafficCounter | None = None,
        memory: caller_memory.CallerMemory | None = None,
        scheduler: input_scheduler.Scheduler | None = None,
    ) -> None:
        """Creates a connector.

        Args:
            clock: Gives the time at which bytes arrive.
            codec: Encodes and reads headers; by default the fleet's own.
            traffic_counter: Counts the bytes written.
            memory: Counts the bytes that are read ahead of callers.
            scheduler: Decides when received bytes are processed; by default
                one for the connections of this connector.
        """
        self._scheduler = scheduler or input_scheduler.InputScheduler()
        self._accounts = work_sharing.Accounts()
        self._memory = memory or caller_memory.CallerMemory()
        self._gate = read_gate.ReadGate(self._memory.max_read_at_once)
        self._clock = clock
        self._traffic_counter = traffic_counter or traffic.TrafficCounter()
        self._codec = codec or native_server_codec.NativeServerCodec()

    async def connect(
        self, host: str, port: int, listener: backend.Listener
    ) -> H11Connection:
        """Opens a connection; see backend.Connector."""
        loop = asyncio.get_running_loop()
        address = f"{host}:{port}"
        account = self._accounts.get(address, self._clock.now_s())
        transport, connection = await loop.create_connection(
            lambda: H11Connection(
                address,
                listener,
                self._clock,
                self._codec,
                self._traffic_counter,
                self._scheduler,
                account,
                self._memory,
                self._gate,
            ),
            host,
            port,
        )
        sockets.enable_keep_alive(transport)
        return connection


def _new_conn() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
