"""Serves callers over HTTP/1.1 with h11."""

from __future__ import annotations

import asyncio
import collections
import errno
import math
import os
import time
import typing

import h11
import structlog

from dotterelpath import errors
from dotterelpath.adapters import caller_codec
from dotterelpath.adapters import headers as header_names
from dotterelpath.adapters import request_body
from dotterelpath.adapters import request_cycle
from dotterelpath.adapters import traffic
from dotterelpath.domain import body_budget
from dotterelpath.domain import exchange
from dotterelpath.ports import frontend

MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 1024 * 1024
# Reading pauses while more received bytes than this wait to be parsed.
MAX_UNREAD_BYTES = 256 * 1024
# When a caller may return whose body did not fit into the memory, in seconds:
# about the duration of a request, after which its body is released.
BODY_RETRY_AFTER_S = 0.5
# How long bytes that are no request any more are read and discarded, in
# seconds.
LINGER_S = 1.0
# How long a draining connection waits for the rest of a request, in seconds.
DRAIN_READ_S = 1.0
# The most connections that wait to be accepted.
LISTEN_BACKLOG = 1024

_log = structlog.get_logger()

# Reason phrases by status; other responses have an empty one.
_REASONS = {431: b"Request Header Fields Too Large"}


class H11Connection(asyncio.Protocol):
    """A caller's connection, which delivers complete requests."""

    __slots__ = (
        "_body_budget",
        "_codec",
        "_cycle",
        "_drain_began_s",
        "_is_closing",
        "_is_draining",
        "_is_lingering",
        "_is_reading",
        "_last_activity_s",
        "_limits",
        "_listener",
        "_open_cycles",
        "_traffic_counter",
        "_transport",
        "_unread",
    )

    def __init__(
        self,
        listener: frontend.Listener,
        codec: frontend.CallerCodec,
        limits: frontend.Limits,
        traffic_counter: traffic.TrafficCounter,
        budget: body_budget.BodyBudget,
    ) -> None:
        """Creates a connection that is not yet open.

        Args:
            listener: Receives the events of the connection.
            codec: Decodes requests and encodes responses.
            limits: Size and time limits; later changes of the object apply
                to this connection too.
            traffic_counter: Counts the bytes written.
            budget: Limits the bytes of the bodies in the whole process.
        """
        self._listener = listener
        self._codec = codec
        self._limits = limits
        self._traffic_counter = traffic_counter
        self._body_budget = budget
        self._cycle = self._new_cycle()
        self._open_cycles: collections.deque[request_cycle.RequestCycle] = (
            collections.deque()
        )
        self._transport: asyncio.Transport | None = None
        self._unread: list[bytes] = []
        self._is_reading = False
        self._is_closing = False
        self._is_draining = False
        self._drain_began_s = math.inf
        self._is_lingering = False
        self._last_activity_s = time.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reports the new connection to the listener."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._listener.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end of the connection to the listener."""
        self._transport = None
        for cycle in (*self._open_cycles, self._cycle):
            cycle.body.release()
        self._listener.on_disconnected(self)

    def data_received(self, data: bytes) -> None:
        """Parses the caller's bytes, up to the limit of pipelined requests."""
        if self._is_lingering:
            return
        if self._is_reading_body or not self._has_partial_request:
            # The timeout of a head runs from its first byte, so that a caller
            # cannot extend it by sending the head byte by byte.
            self._last_activity_s = time.monotonic()
        self._unread.append(data)
        self._read_events()
        if sum(map(len, self._unread)) > MAX_UNREAD_BYTES and self._transport:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Keeps a half-closed connection open for outstanding responses."""
        return bool(self._open_cycles) and not self._limits.closes_on_eof

    def pause_writing(self) -> None:
        """Reports a full write buffer to the listener."""
        self._listener.on_paused(self)

    def resume_writing(self) -> None:
        """Reports a drained write buffer to the listener."""
        self._listener.on_resumed(self)

    def respond(
        self,
        outcome: exchange.Outcome,
        request: exchange.Request | None = None,
    ) -> None:
        """Writes a response or its start; see frontend.Connection."""
        cycle = self._find_unanswered(request)
        if self._transport is not None and cycle is not None:
            self._respond(cycle, outcome)

    def _respond(
        self, cycle: request_cycle.RequestCycle, outcome: exchange.Outcome
    ) -> None:
        encoded = self._codec.encode_response(outcome, cycle.request)
        fields = list(encoded.headers)
        is_streamed = outcome.stream_id is not None
        if not is_streamed:
            fields.append(
                _content_length_field(outcome, encoded.body, cycle.method)
            )
        try:
            cycle.response_head = h11.Response(
                status_code=encoded.status,
                headers=fields,
                reason=_REASONS.get(encoded.status, b""),
            )
        except h11.LocalProtocolError as error:
            self._on_encoding_error(error)
            return
        if encoded.body and cycle.method != b"HEAD":
            cycle.chunks.append(encoded.body)
        cycle.is_streaming = is_streamed
        cycle.is_answered = not is_streamed
        self._flush()

    def write_chunk(
        self, data: bytes, request: exchange.Request | None = None
    ) -> None:
        """Writes a chunk; see frontend.Connection."""
        cycle = self._find_stream(request)
        if self._transport is None or cycle is None:
            return
        if cycle.method != b"HEAD":
            cycle.chunks.append(data)
        self._flush()

    def end_response(self, request: exchange.Request | None = None) -> None:
        """Completes a streamed response; see frontend.Connection."""
        cycle = self._find_stream(request)
        if self._transport is None or cycle is None:
            return
        cycle.is_streaming = False
        cycle.is_answered = True
        self._flush()

    def abort(self) -> None:
        """Closes without completing the response; see frontend.Connection."""
        if self._transport is not None:
            # Bytes already written are still sent, but not the last chunk,
            # so that the caller sees a truncated response.
            self._transport.close()

    def drain(self) -> None:
        """Closes once no response is outstanding; see frontend.Connection."""
        self._is_closing = True
        self._is_draining = True
        self._drain_began_s = time.monotonic()
        if self._is_drained and not self._is_lingering:
            self._end()

    def announce_close(self) -> None:
        """Closes after the last response; see frontend.Connection."""
        self._is_closing = True

    def check_timeouts(self, now_s: float) -> None:
        """Ends a connection that is too slow; see frontend.Connection."""
        if self._open_cycles or self._transport is None:
            return
        idle_s = now_s - self._last_activity_s
        if self._is_lingering:
            if idle_s > LINGER_S:
                self._transport.abort()
            return
        is_overdue = now_s - self._drain_began_s > DRAIN_READ_S
        if is_overdue and self._has_partial_request:
            self._refuse(errors.ResultCode.REQUEST_TIMEOUT)
            return
        limits = self._limits
        is_reading_head = (
            self._has_partial_request and not self._is_reading_body
        )
        if is_reading_head:
            if limits.head_timeout_s and idle_s > limits.head_timeout_s:
                self._refuse(errors.ResultCode.REQUEST_TIMEOUT)
        elif self._is_reading_body and self._cycle.body.is_too_slow(now_s):
            self._refuse(errors.ResultCode.REQUEST_TIMEOUT)
        elif limits.idle_timeout_s and idle_s > limits.idle_timeout_s:
            if self._is_reading_body:
                self._refuse(errors.ResultCode.REQUEST_TIMEOUT)
            else:
                self._transport.close()

    @property
    def _is_reading_body(self) -> bool:
        """Whether a head was received whose body is not complete."""
        return self._cycle.head is not None and not self._cycle.is_received

    @property
    def _has_partial_request(self) -> bool:
        """Whether bytes of an incomplete request were received."""
        unparsed, _ = self._cycle.conn.trailing_data
        return self._is_reading_body or bool(unparsed) or bool(self._unread)

    @property
    def _is_closed_to_requests(self) -> bool:
        """Whether no further request is taken from the connection.

        A request that has begun to arrive is still taken while draining.
        """
        return self._cycle.is_received and (
            self._is_draining or self._cycle.is_last
        )

    @property
    def _is_drained(self) -> bool:
        """Whether a draining connection has nothing left to receive or send."""
        if not self._is_draining or self._open_cycles:
            return False
        return self._is_closed_to_requests or not self._has_partial_request

    def _find_unanswered(
        self, request: exchange.Request | None
    ) -> request_cycle.RequestCycle | None:
        """Finds the given request if it has no response yet.

        Without a given request, finds the oldest one that has no response.
        """
        for cycle in self._open_cycles:
            if cycle.is_answered or cycle.is_streaming:
                continue
            if request is None or cycle.request is request:
                return cycle
        return None

    def _find_stream(
        self, request: exchange.Request | None
    ) -> request_cycle.RequestCycle | None:
        for cycle in self._open_cycles:
            if cycle.is_streaming and request in (None, cycle.request):
                return cycle
        return None

    def _closes_after(self, cycle: request_cycle.RequestCycle) -> bool:
        """Whether the response that is written next announces the end.

        Callers drop the requests that they pipelined behind such a response,
        so only the last outstanding one announces it. A draining connection
        takes none of them any more, unless it has begun to receive one.
        """
        if cycle.is_refused:
            return True
        if not self._is_closing or self._open_cycles[-1] is not cycle:
            return False
        return self._is_closed_to_requests or not self._has_partial_request

    def _flush(self) -> None:
        """Encodes and writes responses in request order."""
        if self._transport is None:
            return
        chunks: list[bytes] = []
        must_close = False
        must_linger = False
        while self._open_cycles and not must_close:
            cycle = self._open_cycles[0]
            try:
                chunks.extend(cycle.encode(self._closes_after(cycle)))
            except h11.LocalProtocolError as error:
                self._write(chunks)
                self._on_encoding_error(error)
                return
            if not cycle.is_answered:
                break
            self._open_cycles.popleft()
            cycle.body.release()
            must_close = not cycle.is_done
            must_linger = cycle.is_refused
        self._write(chunks)
        if must_close or self._is_drained:
            # The caller may be sending more, not knowing of the end yet.
            self._end(must_linger or self._is_closing)
            return
        if not self._open_cycles:
            self._last_activity_s = time.monotonic()
        self._transport.resume_reading()
        self._read_events()

    def _write(self, chunks: list[bytes]) -> None:
        if chunks and self._transport is not None:
            data = b"".join(chunks)
            self._traffic_counter.add(len(data))
            self._transport.write(data)

    def _on_encoding_error(self, error: h11.LocalProtocolError) -> None:
        _log.error(
            "response could not be encoded, closing the connection",
            error=str(error),
        )
        if self._transport is not None:
            self._transport.close()

    def _end(self, must_linger: bool = False) -> None:
        """Closes, at once unless the caller has sent more than was read."""
        if self._transport is None:
            return
        if must_linger or self._has_partial_request:
            self._linger()
        else:
            self._transport.close()

    def _linger(self) -> None:
        """Discards what the caller still sends, then closes.

        Closing a socket with unread bytes resets the connection, and the
        caller would lose the last response.
        """
        assert self._transport is not None
        self._is_lingering = True
        self._unread = []
        self._last_activity_s = time.monotonic()
        self._transport.write_eof()
        self._transport.resume_reading()

    def _read_events(self) -> None:
        """Parses requests up to the limit of pipelined requests."""
        if self._is_reading:
            # A listener that responds synchronously re-enters this method;
            # the outer loop continues with the next request.
            return
        self._is_reading = True
        try:
            while self._transport is not None and self._prepare_cycle():
                self._feed_parser()
                if not self._read_available():
                    return
        except h11.RemoteProtocolError as error:
            self._on_protocol_error(error)
        finally:
            self._is_reading = False

    def _prepare_cycle(self) -> bool:
        """Starts the cycle of the next request if it may be parsed now.

        Returns:
            Whether the current cycle accepts bytes.
        """
        cycle = self._cycle
        if not cycle.is_received:
            return True
        if self._is_closed_to_requests:
            return False
        if self._open_cycles and self._open_cycles[-1].is_refused:
            return False
        if len(self._open_cycles) >= self._limits.max_pipelined:
            return False
        unparsed, _ = cycle.conn.trailing_data
        if not unparsed and not self._unread:
            return False
        if cycle.is_answered and cycle.is_done and not self._open_cycles:
            cycle.conn.start_next_cycle()
            cycle.reset(self._new_body())
            return True
        self._cycle = self._new_cycle()
        if unparsed:
            self._cycle.conn.receive_data(unparsed)
        return True

    def _new_cycle(self) -> request_cycle.RequestCycle:
        return request_cycle.RequestCycle(
            self._limits.max_head_bytes, self._new_body()
        )

    def _new_body(self) -> request_body.RequestBody:
        return request_body.RequestBody(self._limits, self._body_budget)

    def _feed_parser(self) -> None:
        if self._unread:
            data = b"".join(self._unread)
            self._unread = []
            self._cycle.conn.receive_data(data)

    def _read_available(self) -> bool:
        """Processes the parsed events of the current request.

        Returns:
            Whether the request is complete.
        """
        cycle = self._cycle
        while self._transport is not None and not cycle.is_refused:
            event = cycle.conn.next_event()
            if event is h11.NEED_DATA:
                self._send_continue_if_expected(cycle)
                return False
            if isinstance(event, h11.Request):
                self._on_head(cycle, event)
            elif isinstance(event, h11.Data):
                self._on_data(cycle, event)
            elif isinstance(event, h11.EndOfMessage):
                self._on_complete(cycle)
                return True
            else:
                return False
        return False

    def _send_continue_if_expected(
        self, cycle: request_cycle.RequestCycle
    ) -> None:
        is_expected = cycle.conn.they_are_waiting_for_100_continue
        if is_expected and self._transport and not self._open_cycles:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            self._transport.write(cycle.conn.send(continue_response) or b"")

    def _on_head(
        self, cycle: request_cycle.RequestCycle, event: h11.Request
    ) -> None:
        cycle.method = event.method
        cycle.head = frontend.Head(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            list(event.headers),
            time.monotonic(),
        )
        if event.method == b"CONNECT":
            self._refuse(errors.ResultCode.METHOD_NOT_ALLOWED)
        elif _has_conflicting_lengths(cycle.head.headers):
            self._refuse(
                errors.ResultCode.MALFORMED_REQUEST,
                "the request has both content-length and transfer-encoding",
            )
        elif header_names.has_body(cycle.head.headers):
            timeout_s = self._codec.timeout_s(cycle.head)
            self._refuse_if(
                cycle.body.begin(
                    cycle.head.headers, timeout_s, cycle.head.received_s
                )
            )

    def _on_data(
        self, cycle: request_cycle.RequestCycle, event: h11.Data
    ) -> None:
        self._refuse_if(cycle.body.add(bytes(event.data)))

    def _on_complete(self, cycle: request_cycle.RequestCycle) -> None:
        assert cycle.head is not None
        cycle.is_received = True
        self._open_cycles.append(cycle)
        try:
            cycle.request = self._codec.decode_request(
                cycle.head, cycle.body.take()
            )
        except errors.DotterelpathError as error:
            self._listener.on_rejected(self, error)
            self._respond_error(cycle, error)
            return
        self._listener.on_request(self, cycle.request)

    def _refuse_if(self, code: errors.ResultCode | None) -> None:
        """Refuses the current request if there is a reason to."""
        if code is not None:
            self._refuse(code)

    def _refuse(self, code: errors.ResultCode, detail: str = "") -> None:
        """Responds to a request without reading its rest, then closes."""
        cycle = self._cycle
        error = errors.DotterelpathError(code, detail)
        cycle.is_received = True
        cycle.is_refused = True
        self._open_cycles.append(cycle)
        self._listener.on_rejected(self, error)
        self._respond_error(cycle, error)

    def _on_protocol_error(self, error: h11.RemoteProtocolError) -> None:
        code = errors.ResultCode.MALFORMED_REQUEST
        if error.error_status_hint == 431:
            code = errors.ResultCode.HEAD_TOO_LARGE
        if self._transport is None:
            return
        cycle = self._cycle
        if cycle.is_received or cycle.conn.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            # The caller would mistake the error for the response that is
            # outstanding or partly written.
            self._transport.close()
            return
        self._refuse(code)

    def _respond_error(
        self, cycle: request_cycle.RequestCycle, error: errors.DotterelpathError
    ) -> None:
        outcome = exchange.Outcome(error.code, error.detail)
        if error.code is errors.ResultCode.OVERLOADED:
            outcome.retry_after_s = BODY_RETRY_AFTER_S
        self._respond(cycle, outcome)


class H11Binder:
    """Opens sockets that serve callers over HTTP/1.1."""

    __slots__ = ("_body_budget", "_codec", "_limits", "_traffic_counter")

    def __init__(
        self,
        codec: frontend.CallerCodec,
        limits: frontend.Limits,
        traffic_counter: traffic.TrafficCounter | None = None,
        budget: body_budget.BodyBudget | None = None,
    ) -> None:
        """Creates a binder.

        Args:
            codec: Decodes requests and encodes responses.
            limits: Limits of each connection; later changes of the object
                apply to open connections too.
            traffic_counter: Counts the bytes written.
            budget: Limits the bytes of the bodies in the whole process;
                without a limit by default.
        """
        self._codec = codec
        self._limits = limits
        self._traffic_counter = traffic_counter or traffic.TrafficCounter()
        self._body_budget = budget or body_budget.BodyBudget()

    async def listen(
        self, host: str, port: int, listener: frontend.Listener
    ) -> asyncio.Server:
        """Listens for callers; see frontend.Binder."""
        loop = asyncio.get_running_loop()
        try:
            return await loop.create_server(
                lambda: H11Connection(
                    listener,
                    self._codec,
                    self._limits,
                    self._traffic_counter,
                    self._body_budget,
                ),
                host,
                port,
                backlog=LISTEN_BACKLOG,
            )
        except OSError as error:
            if error.errno in (errno.EADDRINUSE, errno.EADDRNOTAVAIL):
                raise errors.DotterelpathError(
                    errors.ResultCode.ADDRESS_IN_USE,
                    f"cannot listen on {host}:{port}:"
                    f" {os.strerror(error.errno)}",
                ) from error
            raise


def native_binder(
    id_prefix: str,
    max_body_bytes: int = MAX_BODY_BYTES,
    closes_on_eof: bool = False,
) -> H11Binder:
    """Creates a binder that speaks the fleet's own protocol.

    Args:
        id_prefix: The prefix of the ids of this daemon's requests.
        max_body_bytes: The longest request body that is accepted, in bytes.
        closes_on_eof: Whether to close a connection at once when the caller
            half-closes it; see frontend.Limits.

    Returns:
        The binder.
    """
    return H11Binder(
        caller_codec.CallerCodec(id_prefix),
        frontend.Limits(
            MAX_HEAD_BYTES, max_body_bytes, closes_on_eof=closes_on_eof
        ),
    )


def _has_conflicting_lengths(headers: exchange.Headers) -> bool:
    """Whether parsers could disagree on where the body ends.

    Such a request could smuggle another one past an intermediary.
    """
    names = {name for name, _ in headers}
    return b"content-length" in names and b"transfer-encoding" in names


def _content_length_field(
    outcome: exchange.Outcome, body: bytes, method: bytes
) -> tuple[bytes, bytes]:
    """Returns the header for the length of a body.

    A response to HEAD has no body, so the backend server's own length is kept.
    """
    if method == b"HEAD" and outcome.response is not None:
        length = outcome.response.header(b"content-length")
        if length is not None:
            return (b"content-length", length)
    return (b"content-length", str(len(body)).encode())
