"""Parses the requests of one caller's connection, as many as it may send."""

from __future__ import annotations

import time
import typing

import h11

from dotterelpath import errors
from dotterelpath.adapters import headers as header_names
from dotterelpath.adapters import request_body
from dotterelpath.adapters import request_cycle
from dotterelpath.adapters import unread_input
from dotterelpath.domain import exchange
from dotterelpath.domain import work_sharing
from dotterelpath.ports import frontend

# The work of passing on a complete request, in parts of messages.
REQUEST_WORK = 16


class InputOwner(typing.Protocol):
    """The connection whose input is parsed."""

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""

    @property
    def open_count(self) -> int:
        """The number of received requests whose response is not complete."""

    @property
    def takes_requests(self) -> bool:
        """Whether a request that was not begun may be parsed now."""

    def on_complete(self, cycle: request_cycle.RequestCycle) -> None:
        """Handles a complete request."""

    def on_refused(self, code: errors.ResultCode, detail: str = "") -> None:
        """Refuses the current request, whose rest is not read."""

    def on_protocol_error(self, error: h11.RemoteProtocolError) -> None:
        """Handles bytes that are no request."""

    def on_continue_expected(self, cycle: request_cycle.RequestCycle) -> None:
        """Handles a caller that waits before it sends the body."""


class CallerInput:
    """The received bytes of a connection and the request that they belong to.

    The parser gets them in small pieces: that of each pipelined request keeps
    what follows the request in its last piece.
    """

    __slots__ = (
        "_budget",
        "_codec",
        "_is_reading",
        "_limits",
        "_unread",
        "_work_left",
        "cycle",
        "is_interrupted",
    )

    def __init__(
        self,
        codec: frontend.CallerCodec,
        limits: frontend.Limits,
        budget: request_body.Budget,
    ) -> None:
        """Creates an input that has received nothing.

        Args:
            codec: Reads the timeout of a request whose body follows.
            limits: The limits of the connection.
            budget: The memory that bodies may take up.
        """
        self._codec = codec
        self._limits = limits
        self._budget = budget
        self._unread = unread_input.UnreadInput()
        self._is_reading = False
        self._work_left = 0
        # Whether the last piece ended before all that was received.
        self.is_interrupted = False
        # The request that is being received, or was received last.
        self.cycle = self._new_cycle()

    @property
    def unread_bytes(self) -> int:
        """The received bytes that the parser did not get yet."""
        return len(self._unread)

    @property
    def held_bytes(self) -> int:
        """The memory of the input, without that of complete requests."""
        if self.cycle.is_received:
            return len(self._unread)
        return len(self._unread) + self.cycle.held_bytes

    @property
    def is_reading_body(self) -> bool:
        """Whether a head was received whose body is not complete."""
        return self.cycle.head is not None and not self.cycle.is_received

    @property
    def has_partial_request(self) -> bool:
        """Whether bytes of an incomplete request were received."""
        if self._unread or self.is_reading_body:
            return True
        unparsed, _ = self.cycle.conn.trailing_data
        return bool(unparsed)

    def is_too_slow(self, idle_s: float, now_s: float) -> bool:
        """Tells whether the rest of a request comes too late or too slowly.

        Args:
            idle_s: The time since the head began or the last byte of the body
                came, in seconds.
            now_s: The current time on the monotonic clock, in seconds.
        """
        timeout_s = self._limits.head_timeout_s
        if self.is_reading_body:
            if self.cycle.body.is_too_slow(now_s):
                return True
            timeout_s = self._limits.idle_timeout_s
        return bool(timeout_s) and idle_s > (timeout_s or 0.0)

    def append(self, data: bytes) -> None:
        """Adds received bytes, which read parses.

        Args:
            data: The bytes.
        """
        self._unread.append(data)

    def clear(self) -> None:
        """Drops the bytes that the parser did not get yet."""
        self._unread.clear()
        self.is_interrupted = False

    def read(self, owner: InputOwner, max_work: int) -> int:
        """Parses requests as long as the connection takes them.

        Args:
            owner: Gets the requests. It is not kept, since a cycle of
                references would keep a closed connection's memory for a while.
            max_work: The parts of messages after which to stop.

        Returns:
            The parts that were parsed.
        """
        if self._is_reading:
            # A listener that responds synchronously re-enters this method;
            # the outer loop continues with the next request.
            return 0
        self._is_reading = True
        self._work_left = max_work
        try:
            while owner.is_open and self._prepare_cycle(owner):
                if not self._read_available(owner):
                    break
        except h11.RemoteProtocolError as error:
            owner.on_protocol_error(error)
        finally:
            self._is_reading = False
        return max_work - self._work_left

    def _prepare_cycle(self, owner: InputOwner) -> bool:
        """Starts the cycle of the next request if it may be parsed now.

        Returns:
            Whether the current cycle accepts bytes.
        """
        cycle = self.cycle
        was_interrupted, self.is_interrupted = self.is_interrupted, False
        if not cycle.is_received:
            # After an interruption, the parser still has bytes of the last
            # piece.
            if not was_interrupted:
                self._feed(cycle)
            return True
        unparsed, _ = cycle.conn.trailing_data
        if not unparsed and not self._unread:
            return False
        if not owner.takes_requests:
            return False
        if cycle.is_answered and cycle.is_done and not owner.open_count:
            cycle.conn.start_next_cycle()
            cycle.reset(self._new_body())
        else:
            cycle = self.cycle = self._new_cycle()
            if unparsed:
                cycle.receive(unparsed)
        if not unparsed:
            self._feed(cycle)
        return True

    def _feed(self, cycle: request_cycle.RequestCycle) -> bool:
        """Gives a piece to the parser; returns whether there was one."""
        data = self._unread.take(cycle.piece_size)
        if data:
            cycle.receive(data)
        return bool(data)

    def _new_cycle(self) -> request_cycle.RequestCycle:
        return request_cycle.RequestCycle(
            self._limits.max_head_bytes, self._new_body()
        )

    def _new_body(self) -> request_body.RequestBody:
        return request_body.RequestBody(self._limits, self._budget)

    def _read_available(self, owner: InputOwner) -> bool:
        """Processes the parsed events of the current request.

        Returns:
            Whether the request is complete.
        """
        cycle = self.cycle
        while owner.is_open and not cycle.is_refused:
            if self._work_left <= 0:
                self.is_interrupted = True
                return False
            event = cycle.conn.next_event()
            self._work_left -= 1
            if event is h11.NEED_DATA:
                if self._feed(cycle):
                    continue
                if cycle.conn.they_are_waiting_for_100_continue:
                    owner.on_continue_expected(cycle)
                return False
            if isinstance(event, h11.Request):
                self._work_left -= work_sharing.field_work(event.headers)
                self._on_head(owner, cycle, event)
            elif isinstance(event, h11.Data):
                _refuse_if(owner, cycle.body.add(bytes(event.data)))
            elif isinstance(event, h11.EndOfMessage):
                cycle.is_received = True
                self._work_left -= REQUEST_WORK
                self._work_left -= work_sharing.field_work(event.headers)
                owner.on_complete(cycle)
                return True
            else:
                return False
        return False

    def _on_head(
        self,
        owner: InputOwner,
        cycle: request_cycle.RequestCycle,
        event: h11.Request,
    ) -> None:
        cycle.method = event.method
        cycle.head = frontend.Head(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            list(event.headers),
            time.monotonic(),
        )
        if event.method == b"CONNECT":
            owner.on_refused(errors.ResultCode.METHOD_NOT_ALLOWED)
        elif _has_conflicting_lengths(cycle.head.headers):
            owner.on_refused(
                errors.ResultCode.MALFORMED_REQUEST,
                "the request has both content-length and transfer-encoding",
            )
        elif header_names.has_body(cycle.head.headers):
            timeout_s = self._codec.timeout_s(cycle.head)
            code = cycle.body.begin(
                cycle.head.headers, timeout_s, cycle.head.received_s
            )
            _refuse_if(owner, code)


def _refuse_if(owner: InputOwner, code: errors.ResultCode | None) -> None:
    """Refuses the current request if there is a reason to."""
    if code is not None:
        owner.on_refused(code)


def _has_conflicting_lengths(headers: exchange.Headers) -> bool:
    """Whether parsers could disagree on where the body ends.

    Such a request could smuggle another one past an intermediary.
    """
    names = {name for name, _ in headers}
    return b"content-length" in names and b"transfer-encoding" in names
