"""Callers' connections over HTTP/1.1, by h11."""

from __future__ import annotations

import asyncio
import errno
import itertools
import typing

import h11
import orjson

from dotterelpath import errors
from dotterelpath.adapters import headers as header_names
from dotterelpath.domain import exchange
from dotterelpath.ports import frontend

MAX_HEAD_BYTES = 32 * 1024
MAX_BODY_BYTES = 1024 * 1024
MAX_UNREAD_BYTES = 256 * 1024
LISTEN_BACKLOG = 1024

_REASONS = {431: b"Request Header Fields Too Large"}
_request_numbers = itertools.count(1)


class H11Connection(asyncio.Protocol):
    """One caller's connection; requests are read whole, one at a time."""

    __slots__ = (
        "_body",
        "_close_after",
        "_closes_on_eof",
        "_conn",
        "_head",
        "_id_prefix",
        "_is_busy",
        "_is_reading",
        "_is_streaming",
        "_listener",
        "_max_body_bytes",
        "_method",
        "_request",
        "_size",
        "_transport",
    )

    def __init__(
        self,
        listener: frontend.Listener,
        id_prefix: str,
        max_body_bytes: int = MAX_BODY_BYTES,
        closes_on_eof: bool = False,
    ) -> None:
        """Creates a connection that is not yet open.

        Args:
            listener: Hears what the caller sends.
            id_prefix: Begins the ids of this daemon's requests.
            max_body_bytes: A longer body is refused.
            closes_on_eof: Whether an end of the caller's stream means that
                it waits for no answer.
        """
        self._max_body_bytes = max_body_bytes
        self._closes_on_eof = closes_on_eof
        self._listener = listener
        self._id_prefix = id_prefix
        self._conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._size = 0
        self._method = b""
        self._request: exchange.Request | None = None
        self._is_busy = False
        self._is_reading = False
        self._is_streaming = False
        self._close_after = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to read."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._listener.on_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the listener that the caller is gone."""
        self._transport = None
        self._listener.on_gone(self)

    def data_received(self, data: bytes) -> None:
        """Parses what the caller sent."""
        try:
            self._conn.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._reject(error)
            return
        if self._is_busy:
            self._hold_pipelined()
            return
        self._read_events()

    def eof_received(self) -> bool:
        """Keeps a half-closed connection open until its answer is out."""
        return self._is_busy and not self._closes_on_eof

    def pause_writing(self) -> None:
        """Tells the listener that the caller reads slowly."""
        self._listener.on_paused(self)

    def resume_writing(self) -> None:
        """Tells the listener that the caller has caught up."""
        self._listener.on_resumed(self)

    def answer(self, outcome: exchange.Outcome) -> None:
        """Writes an answer; see frontend.Connection."""
        if self._transport is None or not self._is_busy:
            return
        status, fields, body = _encode(outcome, self._request)
        is_long = outcome.stream_id is not None
        if not is_long:
            fields.append(_length_field(outcome, body, self._method))
        if self._close_after:
            fields.append((b"connection", b"close"))
        head = h11.Response(
            status_code=status,
            headers=fields,
            reason=_REASONS.get(status, b""),
        )
        parts = [self._conn.send(head) or b""]
        if body and self._method != b"HEAD":
            parts.append(self._conn.send(h11.Data(data=body)) or b"")
        if is_long:
            self._is_streaming = True
            self._transport.write(b"".join(parts))
            return
        parts.append(self._conn.send(h11.EndOfMessage()) or b"")
        self._transport.write(b"".join(parts))
        self._next()

    def part(self, data: bytes) -> None:
        """Writes a further part; see frontend.Connection."""
        if self._transport is None or not self._is_streaming:
            return
        self._transport.write(self._conn.send(h11.Data(data=data)) or b"")

    def end(self) -> None:
        """Completes a long answer; see frontend.Connection."""
        if self._transport is None or not self._is_streaming:
            return
        self._transport.write(self._conn.send(h11.EndOfMessage()) or b"")
        self._is_streaming = False
        self._next()

    def abort(self) -> None:
        """Closes without the end of the answer; see frontend.Connection."""
        if self._transport is not None:
            # What is already written goes out, without the last chunk.
            self._transport.close()

    def drain(self) -> None:
        """Closes when nothing is due; see frontend.Connection."""
        self._close_after = True
        if self._transport is not None and not self._is_busy:
            self._transport.close()

    def _hold_pipelined(self) -> None:
        unread, _ = self._conn.trailing_data
        if len(unread) > MAX_UNREAD_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def _read_events(self) -> None:
        """Reads requests until one is due an answer or bytes are missing."""
        if self._is_reading:
            # A request that is answered at once leads back here; the loop
            # below goes on with the next one.
            return
        self._is_reading = True
        try:
            self._read_available()
        finally:
            self._is_reading = False

    def _read_available(self) -> None:
        while self._transport is not None and not self._is_busy:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error)
                return
            if event is h11.NEED_DATA:
                self._continue_if_asked()
                return
            if isinstance(event, h11.Request):
                self._on_head(event)
            elif isinstance(event, h11.Data):
                self._on_data(event)
            elif isinstance(event, h11.EndOfMessage):
                self._on_complete()
            else:
                return

    def _continue_if_asked(self) -> None:
        if self._conn.they_are_waiting_for_100_continue and self._transport:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._conn.send(go_on) or b"")

    def _on_head(self, head: h11.Request) -> None:
        self._head = head
        self._method = head.method
        self._body = []
        self._size = 0
        if head.method == b"CONNECT":
            self._refuse(errors.ResultCode.METHOD_NOT_ALLOWED)

    def _on_data(self, event: h11.Data) -> None:
        self._size += len(event.data)
        if self._size > self._max_body_bytes:
            self._refuse(errors.ResultCode.BODY_TOO_LARGE)
            return
        self._body.append(bytes(event.data))

    def _on_complete(self) -> None:
        head = self._head
        assert head is not None
        self._is_busy = True
        request_id = f"{self._id_prefix}-{next(_request_numbers)}"
        try:
            self._request = _request(head, b"".join(self._body), request_id)
        except errors.DotterelpathError as error:
            self._listener.on_rejected(self, error)
            self._answer_error(error)
            return
        self._listener.on_request(self, self._request)

    def _next(self) -> None:
        """Goes on with the next request, or closes."""
        self._is_busy = False
        self._request = None
        is_done = (
            self._conn.our_state is h11.DONE
            and self._conn.their_state is h11.DONE
        )
        if not is_done or self._close_after:
            if self._transport is not None:
                self._transport.close()
            return
        self._conn.start_next_cycle()
        if self._transport is not None:
            self._transport.resume_reading()
        self._read_events()

    def _refuse(self, code: errors.ResultCode) -> None:
        """Answers a request that is not read to its end, and closes."""
        error = errors.DotterelpathError(code)
        self._is_busy = True
        self._close_after = True
        self._listener.on_rejected(self, error)
        self._answer_error(error)

    def _reject(self, error: h11.RemoteProtocolError) -> None:
        code = errors.ResultCode.MALFORMED_REQUEST
        if error.error_status_hint == 431:
            code = errors.ResultCode.HEAD_TOO_LARGE
        if self._transport is None:
            return
        if self._is_busy or self._conn.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            # An answer is due or under way; its reader must not take the
            # error for it.
            self._transport.close()
            return
        self._refuse(code)

    def _answer_error(self, error: errors.DotterelpathError) -> None:
        self.answer(exchange.Outcome(error.code, error.detail))


class H11Binder:
    """Listens for callers over HTTP/1.1."""

    __slots__ = ("_closes_on_eof", "_id_prefix", "_max_body_bytes")

    def __init__(
        self,
        id_prefix: str,
        max_body_bytes: int = MAX_BODY_BYTES,
        closes_on_eof: bool = False,
    ) -> None:
        """Creates a binder.

        Args:
            id_prefix: Begins the ids of this daemon's requests.
            max_body_bytes: A longer body is refused.
            closes_on_eof: Whether an end of the caller's stream means that
                it waits for no answer.
        """
        self._closes_on_eof = closes_on_eof
        self._id_prefix = id_prefix
        self._max_body_bytes = max_body_bytes

    async def listen(
        self, host: str, port: int, listener: frontend.Listener
    ) -> asyncio.Server:
        """Listens for callers; see frontend.Binder."""
        loop = asyncio.get_running_loop()
        try:
            return await loop.create_server(
                lambda: H11Connection(
                    listener,
                    self._id_prefix,
                    self._max_body_bytes,
                    self._closes_on_eof,
                ),
                host,
                port,
                backlog=LISTEN_BACKLOG,
            )
        except OSError as error:
            if error.errno in (errno.EADDRINUSE, errno.EADDRNOTAVAIL):
                raise errors.DotterelpathError(
                    errors.ResultCode.ADDRESS_IN_USE, f"{host}:{port}"
                ) from error
            raise


def _request(
    head: h11.Request, body: bytes, request_id: str
) -> exchange.Request:
    own = header_names.read_caller_head(list(head.headers))
    target = head.target.decode("latin-1")
    if not target.startswith("/"):
        raise errors.DotterelpathError(
            errors.ResultCode.MALFORMED_REQUEST, "the target is not a path"
        )
    return exchange.Request(
        head.method.decode("ascii"),
        target,
        own.forwarded,
        body,
        workspace=own.workspace,
        key=own.key,
        attempt=own.attempt,
        timeout_s=own.timeout_s,
        request_id=request_id,
    )


def _encode(
    outcome: exchange.Outcome, request: exchange.Request | None
) -> tuple[int, exchange.Headers, bytes]:
    own: exchange.Headers = [
        (header_names.RESULT, str(int(outcome.code)).encode())
    ]
    if request is not None:
        own.append((header_names.REQUEST_ID, request.request_id.encode()))
    if outcome.answer is not None and outcome.is_answered:
        fields = header_names.end_to_end(outcome.answer.headers)
        return outcome.answer.status, fields + own, outcome.answer.body
    body = orjson.dumps(
        {
            "code": int(outcome.code),
            "class": outcome.code.outcome_class.value,
            "text": outcome.detail or outcome.code.text,
        }
    )
    own.append((b"content-type", b"application/json"))
    return outcome.code.http_status, own, body


def _length_field(
    outcome: exchange.Outcome, body: bytes, method: bytes
) -> tuple[bytes, bytes]:
    if method == b"HEAD" and outcome.answer is not None:
        length = outcome.answer.header(b"content-length")
        if length is not None:
            return (b"content-length", length)
    return (b"content-length", str(len(body)).encode())
