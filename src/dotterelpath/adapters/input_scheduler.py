"""Shares the time of the event loop among connections with received bytes."""

from __future__ import annotations

import asyncio
import time
import typing

import structlog

from dotterelpath.domain import input_usage
from dotterelpath.domain import work_sharing

_log = structlog.get_logger()


class InputConnection(typing.Protocol):
    """A connection whose received bytes are parsed in pieces.

    Attributes:
        account: The recent work for its peer.
        peer: The peer's kind and address, for logs.
        is_scheduled: Whether its input is being processed or waits for a turn;
            only the scheduler sets it.
        has_completed: Whether the last piece completed a message.
    """

    account: work_sharing.Account
    peer: str
    is_scheduled: bool
    has_completed: bool

    @property
    def has_input(self) -> bool:
        """Whether input was left when the last piece ended."""

    def process_input(self, max_work: int) -> int:
        """Processes a piece of the input.

        Args:
            max_work: The parts of messages after which to stop.

        Returns:
            The parts that were processed.
        """

    def fail_input(self) -> None:
        """Ends the connection, whose input could not be processed."""


class Scheduler(typing.Protocol):
    """Decides when the input of connections is processed."""

    def record_received(self, connection: InputConnection, size: int) -> None:
        """Counts received bytes.

        Args:
            connection: The connection.
            size: The number of bytes.
        """

    def process(self, connection: InputConnection) -> None:
        """Processes the input of a connection, now or later.

        Args:
            connection: A connection that may have input.
        """


class InputScheduler:
    """Processes input in pieces, between which the event loop does other work.

    Ordinary input is processed when it arrives. What takes longer waits for a
    turn, in the order of domain.work_sharing. A connection that waits must not
    be read from, so that its peer waits as well.
    """

    __slots__ = ("_is_turn_delayed", "_sharing", "_turn", "_usage")

    def __init__(self, usage: input_usage.InputUsage | None = None) -> None:
        """Creates a scheduler of which nothing is asked.

        Args:
            usage: Counts what the processing of received bytes costs.
        """
        self._usage = usage or input_usage.InputUsage()
        self._sharing: work_sharing.WorkSharing[InputConnection] = (
            work_sharing.WorkSharing()
        )
        # The next turn, and whether it is not that of the event loop, since
        # the share for input that waits is used up.
        self._turn: asyncio.Handle | None = None
        self._is_turn_delayed = False

    def record_received(self, connection: InputConnection, size: int) -> None:
        """Counts received bytes; see Scheduler."""
        self._usage.record(connection.peer, size, 0, 0.0)

    def process(self, connection: InputConnection) -> None:
        """Processes the input of a connection; see Scheduler."""
        if connection.is_scheduled:
            return
        began_s = time.monotonic()
        account = connection.account
        if self._sharing.may_process_on_arrival(account, began_s):
            work = self._run(connection, began_s)
            self._sharing.record_on_arrival(account, work, began_s)
            if connection.has_input:
                self._add(connection, began_s)
        else:
            self._add(connection, began_s)
        self._schedule(began_s)

    def _add(self, connection: InputConnection, now_s: float) -> None:
        connection.is_scheduled = True
        self._sharing.add(connection, connection.account, now_s)

    def _run(self, connection: InputConnection, began_s: float) -> int:
        connection.is_scheduled = True
        try:
            work = connection.process_input(work_sharing.PIECE_WORK)
        finally:
            connection.is_scheduled = False
        if work:
            duration_s = time.monotonic() - began_s
            self._usage.record(connection.peer, 0, work, duration_s)
        return work

    def _schedule(self, now_s: float) -> None:
        delay_s = self._sharing.next_turn_in_s(now_s)
        if delay_s is None:
            return
        if self._turn is not None:
            if not self._is_turn_delayed or delay_s:
                return
            self._turn.cancel()
        loop = asyncio.get_running_loop()
        self._is_turn_delayed = delay_s > 0.0
        if self._is_turn_delayed:
            self._turn = loop.call_later(delay_s, self._on_turn)
        else:
            self._turn = loop.call_soon(self._on_turn)

    def _on_turn(self) -> None:
        self._turn = None
        began_s = time.monotonic()
        self._sharing.begin_turn(began_s)
        while (connection := self._sharing.take()) is not None:
            work = self._run_waiting(connection, began_s)
            now_s = time.monotonic()
            self._sharing.record_in_turn(
                connection.account,
                work,
                now_s,
                now_s - began_s,
                connection.has_completed,
            )
            if connection.has_input:
                self._add(connection, now_s)
            began_s = now_s
        self._schedule(began_s)

    def _run_waiting(self, connection: InputConnection, began_s: float) -> int:
        try:
            return self._run(connection, began_s)
        except Exception:
            # The transport would close the connection if it had called.
            _log.exception("input not processed", peer=connection.peer)
            connection.fail_input()
            return 0
