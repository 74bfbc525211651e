"""Serves callers over HTTP/1.1 with h11."""

from __future__ import annotations

import asyncio
import math
import time
import typing

import h11
import structlog

from dotterelpath import errors
from dotterelpath.adapters import caller_input
from dotterelpath.adapters import caller_output
from dotterelpath.adapters import connection_guard
from dotterelpath.adapters import input_scheduler
from dotterelpath.adapters import request_cycle
from dotterelpath.adapters import response_queue
from dotterelpath.adapters import traffic
from dotterelpath.domain import exchange
from dotterelpath.domain import output_progress
from dotterelpath.domain import work_sharing
from dotterelpath.ports import frontend

# Reading pauses while more received bytes than this wait to be parsed. One read
# brings up to 256 KiB.
MAX_UNREAD_BYTES = 64 * 1024
# When a caller may return whose body did not fit into the memory, in seconds:
# about the duration of a request, after which its body is released.
BODY_RETRY_AFTER_S = 0.5
# How long bytes that are no request any more are read and discarded, in
# seconds.
LINGER_S = 1.0
# The work for the input that waits for its turn when a drain begins, in parts
# of messages: as many requests as may be pipelined.
DRAIN_WORK = 1024
# How long a draining connection waits for the rest of a request, in seconds.
DRAIN_READ_S = 1.0

_log = structlog.get_logger()


class H11Connection(asyncio.Protocol):
    """A caller's connection, which delivers complete requests."""

    __slots__ = (
        "_codec",
        "_drain_began_s",
        "_guard",
        "_input",
        "_is_admitted",
        "_is_closing",
        "_is_draining",
        "_is_lingering",
        "_is_read_paused",
        "_last_activity_s",
        "_limits",
        "_listener",
        "_open_cycles",
        "_output",
        "_scheduler",
        "_share_bytes",
        "_transport",
        "account",
        "address",
        "has_completed",
        "held_bytes",
        "is_scheduled",
        "is_stalled",
        "is_used",
        "peer",
    )

    def __init__(
        self,
        listener: frontend.Listener,
        codec: frontend.CallerCodec,
        limits: frontend.Limits,
        traffic_counter: traffic.TrafficCounter,
        guard: connection_guard.ConnectionGuard,
        scheduler: input_scheduler.Scheduler,
    ) -> None:
        """Creates a connection that is not yet open.

        Args:
            listener: Receives the events of the connection.
            codec: Decodes requests and encodes responses.
            limits: Size and time limits; later changes of the object apply
                to this connection too.
            traffic_counter: Counts the bytes written.
            guard: Limits the connections and the memory that they hold.
            scheduler: Decides when received bytes are processed.
        """
        self._scheduler = scheduler
        self._listener = listener
        self._codec = codec
        self._limits = limits
        self._guard = guard
        self._share_bytes = guard.registry.memory.share_bytes
        self._output = caller_output.CallerOutput(traffic_counter)
        self._input = caller_input.CallerInput(codec, limits, guard.registry)
        self._open_cycles = response_queue.ResponseQueue()
        self._transport: asyncio.Transport | None = None
        self._is_admitted = False
        self._is_read_paused = False
        self._is_closing = False
        self._is_draining = False
        self._drain_began_s = math.inf
        self._is_lingering = False
        self._last_activity_s = time.monotonic()
        self.account = work_sharing.Account()
        self.address = ""
        self.peer = "caller"
        self.is_scheduled = False
        self.has_completed = False
        self.held_bytes = 0
        self.is_stalled = False
        self.is_used = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reports the new connection to the listener if it is admitted."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self.address = connection_guard.address_of(transport)
        self.peer = f"caller {self.address}"
        if not self._guard.admit(self):
            self.discard()
            return
        self._is_admitted = True
        self._output.open(self._transport)
        self._listener.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end of the connection to the listener."""
        self._transport = None
        self._output.close()
        self._input.clear()
        self._guard.remove(self)
        self._open_cycles.clear()
        self._input.cycle.release()
        if self._is_admitted:
            self._listener.on_disconnected(self)

    def data_received(self, data: bytes) -> None:
        """Takes the caller's bytes, which process_input parses."""
        if self._is_lingering:
            return
        if self._input.is_reading_body or not self._input.has_partial_request:
            # The timeout of a head runs from its first byte, so that a caller
            # cannot extend it by sending the head byte by byte.
            self._last_activity_s = time.monotonic()
        self._scheduler.record_received(self, len(data))
        self._input.append(data)
        self._read()
        self._settle()

    def eof_received(self) -> bool:
        """Keeps a half-closed connection open for outstanding responses."""
        return bool(self._open_cycles) and not self._limits.closes_on_eof

    def pause_writing(self) -> None:
        """Reports a full write buffer to the listener."""
        self._listener.on_paused(self)

    def resume_writing(self) -> None:
        """Reports a drained write buffer to the listener."""
        self._listener.on_resumed(self)
        self._read()
        self._settle()

    def respond(
        self,
        outcome: exchange.Outcome,
        request: exchange.Request | None = None,
    ) -> None:
        """Writes a response or its start; see frontend.Connection."""
        cycle = self._open_cycles.find_unanswered(request)
        if self._transport is not None and cycle is not None:
            self._respond(cycle, outcome)

    def _respond(
        self, cycle: request_cycle.RequestCycle, outcome: exchange.Outcome
    ) -> None:
        encoded = self._codec.encode_response(outcome, cycle.request)
        try:
            cycle.set_response(outcome, encoded)
        except h11.LocalProtocolError as error:
            self._on_encoding_error(error)
            return
        self._flush()

    def write_chunk(
        self, data: bytes, request: exchange.Request | None = None
    ) -> None:
        """Writes a chunk; see frontend.Connection."""
        cycle = self._open_cycles.find_stream(request)
        if self._transport is None or cycle is None:
            return
        cycle.add_chunk(data)
        self._flush()

    def end_response(self, request: exchange.Request | None = None) -> None:
        """Completes a streamed response; see frontend.Connection."""
        cycle = self._open_cycles.find_stream(request)
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
        if self.is_scheduled and self._can_read:
            # Requests that arrived before the drain are taken, though they
            # wait for their turn.
            self._input.read(self, DRAIN_WORK)
        self._is_draining = True
        self._drain_began_s = time.monotonic()
        if self._is_drained and not self._is_lingering:
            self._end()

    def announce_close(self) -> None:
        """Closes after the last response; see frontend.Connection."""
        self._is_closing = True

    def check_timeouts(self, now_s: float) -> None:
        """Ends a connection that is too slow; see frontend.Connection."""
        self._check_output(now_s)
        if self._transport is None:
            return
        if self.is_scheduled:
            # The caller may have sent more than was read.
            self._last_activity_s = now_s
        idle_s = now_s - self._last_activity_s
        if self._is_lingering:
            self._check_linger(now_s, idle_s)
        elif self._open_cycles:
            return
        elif self._is_over_share:
            # What was received is not parsed until the caller has read.
            self._last_activity_s = now_s
        elif self._input.has_partial_request:
            is_overdue = now_s - self._drain_began_s > DRAIN_READ_S
            if is_overdue or self._input.is_too_slow(idle_s, now_s):
                self.on_refused(errors.ResultCode.REQUEST_TIMEOUT)
        else:
            idle_timeout_s = self._limits.idle_timeout_s
            if idle_timeout_s and idle_s > idle_timeout_s:
                self._transport.close()

    def _check_linger(self, now_s: float, idle_s: float) -> None:
        """Closes once the caller has the last response, or does not read."""
        if self._output.waiting_bytes and not self.is_stalled:
            self._last_activity_s = now_s
        elif idle_s > LINGER_S and self._transport is not None:
            self._transport.abort()

    def measure(self) -> int:
        """Returns the held memory; see connection_guard.GuardedConnection."""
        if self._transport is None:
            return 0
        size = self._input.held_bytes + self._output.held_bytes
        return size + self._open_cycles.held_bytes

    def discard(self) -> None:
        """Closes at once; see connection_guard.GuardedConnection."""
        transport = self._transport
        if transport is None:
            return
        self._transport = None
        self._output.close()
        self._input.clear()
        self._open_cycles.drop_responses()
        self._guard.remove(self)
        transport.abort()

    @property
    def is_serving(self) -> bool:
        """Whether a request has no complete response yet."""
        return self._open_cycles.is_serving

    @property
    def idle_since_s(self) -> float | None:
        """Since when nothing is received or outstanding; None if it is."""
        if self._transport is None or self._open_cycles:
            return None
        if self._is_lingering or self._input.has_partial_request:
            return None
        return None if self._output.waiting_bytes else self._last_activity_s

    def _check_output(self, now_s: float) -> None:
        """Ends a connection whose caller takes no output."""
        stalled_s = self._output.stalled_s(now_s)
        self.is_stalled = stalled_s >= output_progress.STALLED_S
        if stalled_s > self._limits.stall_timeout_s:
            self._guard.registry.record_closed(connection_guard.STALLED, self)
            self.discard()
        elif self.held_bytes:
            # Small output is taken without an event.
            self._read()
            self._settle()

    def _read(self) -> None:
        """Parses what was received, at once or in turn."""
        if self._can_read:
            self._scheduler.process(self)

    @property
    def _can_read(self) -> bool:
        """Whether requests are taken, since the connection is not ending."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        return not self._is_lingering

    @property
    def has_input(self) -> bool:
        """Whether to go on; see input_scheduler.InputConnection."""
        return self._input.is_interrupted and self._can_read

    def process_input(self, max_work: int) -> int:
        """Parses a piece; see input_scheduler.InputConnection."""
        self.has_completed = False
        if not self._can_read:
            return 0
        work = self._input.read(self, max_work)
        self._settle()
        return work

    def fail_input(self) -> None:
        """Closes at once; see input_scheduler.InputConnection."""
        if self._transport is not None:
            self._transport.abort()

    def _settle(self) -> None:
        """Adjusts reading and the accounts to what the connection holds."""
        if self._transport is None:
            return
        if self._input.unread_bytes or self._is_read_paused:
            self._adjust_reading(self._transport)
        if (size := self.measure()) != self.held_bytes:
            self._guard.registry.account(self, size)

    def _adjust_reading(self, transport: asyncio.Transport) -> None:
        limit = 0 if self._is_over_share else MAX_UNREAD_BYTES
        must_pause = self._input.unread_bytes > limit and not self._is_lingering
        if must_pause is self._is_read_paused or transport.is_closing():
            return
        self._is_read_paused = must_pause
        if must_pause:
            transport.pause_reading()
        else:
            transport.resume_reading()

    @property
    def _is_over_share(self) -> bool:
        """Whether so much output waits that further requests have to."""
        waiting = self._output.held_bytes + self._open_cycles.chunk_bytes
        return waiting > self._share_bytes

    @property
    def is_open(self) -> bool:
        """Whether the connection is open; see caller_input.InputOwner."""
        return self._transport is not None

    @property
    def open_count(self) -> int:
        """The unanswered requests; see caller_input.InputOwner."""
        return len(self._open_cycles)

    @property
    def takes_requests(self) -> bool:
        """Whether to parse a request; see caller_input.InputOwner."""
        if self._is_closed_to_requests or self._is_over_share:
            return False
        if self._open_cycles and self._open_cycles.last.is_refused:
            return False
        return len(self._open_cycles) < self._limits.max_pipelined

    def on_continue_expected(self, cycle: request_cycle.RequestCycle) -> None:
        """Tells a caller to send the body; see caller_input.InputOwner."""
        if self._transport is not None and not self._open_cycles:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            self._output.write(cycle.conn.send(continue_response) or b"")

    @property
    def _is_closed_to_requests(self) -> bool:
        """Whether no further request is taken from the connection.

        A request that has begun to arrive is still taken while draining.
        """
        return self._input.cycle.is_received and (
            self._is_draining or self._input.cycle.is_last
        )

    @property
    def _is_drained(self) -> bool:
        """Whether a draining connection has nothing left to receive or send."""
        if not self._is_draining or self._open_cycles:
            return False
        return (
            self._is_closed_to_requests or not self._input.has_partial_request
        )

    def _closes_after(self, cycle: request_cycle.RequestCycle) -> bool:
        """Whether the response that is written next announces the end.

        Callers drop the requests that they pipelined behind such a response,
        so only the last outstanding one announces it. A draining connection
        takes none of them any more, unless it has begun to receive one.
        """
        if cycle.is_refused:
            return True
        if not self._is_closing or self._open_cycles.last is not cycle:
            return False
        return (
            self._is_closed_to_requests or not self._input.has_partial_request
        )

    def _flush(self) -> None:
        """Encodes and writes responses in request order."""
        if self._transport is None:
            return
        chunks: list[bytes] = []
        must_close = False
        must_linger = False
        while self._open_cycles and not must_close:
            cycle = self._open_cycles.first
            try:
                chunks.extend(cycle.encode(self._closes_after(cycle)))
            except h11.LocalProtocolError as error:
                self._output.write(b"".join(chunks))
                self._on_encoding_error(error)
                return
            if not cycle.is_answered:
                break
            self._open_cycles.pop_first()
            must_close = not cycle.is_done
            must_linger = cycle.is_refused
        self._output.write(b"".join(chunks))
        if must_close or self._is_drained:
            # The caller may be sending more, not knowing of the end yet.
            self._end(must_linger or self._is_closing)
        else:
            if not self._open_cycles:
                self._last_activity_s = time.monotonic()
            self._read()
        self._settle()

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
        if must_linger or self._input.has_partial_request:
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
        self._input.clear()
        self._last_activity_s = time.monotonic()
        self._transport.write_eof()
        self._settle()

    def on_complete(self, cycle: request_cycle.RequestCycle) -> None:
        """Passes a request on; see caller_input.InputOwner."""
        assert cycle.head is not None
        self.is_used = True
        self.has_completed = True
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

    def on_refused(self, code: errors.ResultCode, detail: str = "") -> None:
        """Responds to a request without reading its rest, then closes."""
        cycle = self._input.cycle
        error = errors.DotterelpathError(code, detail)
        cycle.is_received = True
        cycle.is_refused = True
        self._open_cycles.append(cycle)
        self._listener.on_rejected(self, error)
        self._respond_error(cycle, error)

    def on_protocol_error(self, error: h11.RemoteProtocolError) -> None:
        """Refuses what is no request; see caller_input.InputOwner."""
        code = errors.ResultCode.MALFORMED_REQUEST
        if error.error_status_hint == 431:
            code = errors.ResultCode.HEAD_TOO_LARGE
        if self._transport is None:
            return
        cycle = self._input.cycle
        if cycle.is_received or cycle.conn.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            # The caller would mistake the error for the response that is
            # outstanding or partly written.
            self._transport.close()
            return
        self.on_refused(code)

    def _respond_error(
        self, cycle: request_cycle.RequestCycle, error: errors.DotterelpathError
    ) -> None:
        outcome = exchange.Outcome(error.code, error.detail)
        if error.code is errors.ResultCode.OVERLOADED:
            outcome.retry_after_s = BODY_RETRY_AFTER_S
        self._respond(cycle, outcome)
