"""Routes keyed requests: runs them here or forwards them to their home."""

from __future__ import annotations

import asyncio
import typing

from dotterelpath import errors
from dotterelpath.domain import exchange
from dotterelpath.domain import keys
from dotterelpath.domain import record_tables
from dotterelpath.domain import records
from dotterelpath.domain import vms
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import timers as timers_port
from dotterelpath.tasks import _active_request
from dotterelpath.tasks import _responses
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

# How often expired records are dropped, in seconds.
EXPIRY_INTERVAL_S = 5.0


class KeyedRequestRouter:
    """Decides where the dispatcher's keyed requests run.

    A request runs at the home of its key, the daemon that stores the key's
    record. For a key made by a caller, the store names the home.
    """

    __slots__ = (
        "_adopters",
        "_clock",
        "_deferred",
        "_end_request",
        "_frozen_record_tables",
        "_key_claimer",
        "_live",
        "_next_expiry_s",
        "_peer_forwarder",
        "_record_tables",
        "_running",
        "_start",
        "_successor",
        "_timers",
        "_vms_by_id",
    )

    def __init__(
        self,
        home: keys.Home,
        clock: clock_port.Clock,
        timers: timers_port.Timers[_active_request.ActiveRequest],
        peer_forwarder: mailbox.Mailbox[typing.Any],
        key_claimer: mailbox.Mailbox[typing.Any],
        start: typing.Callable[[_active_request.ActiveRequest], None],
        end_request: typing.Callable[
            [_active_request.ActiveRequest, exchange.Outcome], None
        ],
    ) -> None:
        """Creates an empty state.

        Args:
            home: This daemon.
            clock: The clock of deadlines and record ages.
            timers: Holds deadlines.
            peer_forwarder: The mailbox of the task that forwards requests
                to their homes.
            key_claimer: The mailbox of the task that claims keys made by
                callers in the store.
            start: Starts a request that may run here.
            end_request: Ends a request with an outcome.
        """
        self._clock = clock
        self._timers = timers
        self._peer_forwarder = peer_forwarder
        self._key_claimer = key_claimer
        self._start = start
        self._end_request = end_request
        now_s = clock.now_s()
        self._record_tables = record_tables.RecordTables(
            records.RecordTable(home, now_s)
        )
        self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
        self._running: dict[
            tuple[keys.Home, str], _active_request.ActiveRequest
        ] = {}
        self._vms_by_id: dict[str, vms.Vm] = {}
        self._live: list[str] = []
        self._adopters: dict[keys.Home, str] = {}
        # Requests that wait for the end of a hand-off; None before it begins.
        self._deferred: list[_active_request.ActiveRequest] | None = None
        self._frozen_record_tables: (
            asyncio.Future[list[records.RecordTable]] | None
        ) = None
        self._successor: vms.Vm | None = None

    @property
    def record_tables(self) -> record_tables.RecordTables:
        """The idempotency records of this daemon."""
        return self._record_tables

    def dispatch(self, active: _active_request.ActiveRequest) -> None:
        """Runs a keyed request here or forwards it to its key's home.

        Args:
            active: The request.

        Raises:
            DotterelpathError: The key is refused, or no daemon that may
                hold its record is known.
        """
        self._expire()
        request = active.request
        assert request.key is not None
        location = self._record_tables.locate(request.key, active.claimed_home)
        if location.record_table is None:
            assert location.home is not None
            if active.is_forwarded:
                raise errors.DotterelpathError(errors.ResultCode.HOME_REPLACED)
            self._forward(active, location.home)
        elif self._deferred is not None:
            self._defer(active)
        else:
            self._admit(active, location, location.record_table)

    def on_claim_ended(
        self,
        active: _active_request.ActiveRequest,
        message: messages.ClaimEnded,
    ) -> None:
        """Starts, forwards or refuses a request after the claim of its key.

        Args:
            active: The request.
            message: The result of the claim.

        Raises:
            DotterelpathError: The store is unavailable, the record of the
                key has expired, or the request cannot be started or
                forwarded.
        """
        if message.is_new:
            self._start(active)
            return
        assert active.record_table is not None
        self._running.pop((active.record_table.home, active.scoped_key), None)
        active.record_table.remove_running(active.scoped_key)
        active.record_table = None
        if message.home is None:
            raise errors.DotterelpathError(
                errors.ResultCode.KEY_STORE_UNAVAILABLE
            )
        # This daemon claimed the key earlier. The store keeps the claim longer
        # than this daemon keeps the record.
        if message.home == self._record_tables.own.home:
            raise errors.DotterelpathError(errors.ResultCode.KEY_EXPIRED)
        active.claimed_home = message.home
        location = self._record_tables.locate(
            active.request.key or "", message.home
        )
        if location.record_table is not None:
            self.dispatch(active)
        else:
            self._forward(active, message.home)

    def on_vms_changed(self, message: events.VmsChanged) -> None:
        """Applies a change of the VM list.

        Args:
            message: The new list.
        """
        self._vms_by_id = message.table.by_id

    def on_members_changed(self, message: events.MembersChanged) -> None:
        """Applies a change of the live daemons.

        Args:
            message: The live daemons.
        """
        self._live = message.live
        self._adopters = message.adopters

    def on_freeze_began(self, message: events.FreezeBegan) -> None:
        """Defers keyed requests, and freezes the records once none runs.

        Args:
            message: Holds the future that receives the records.
        """
        self._deferred = []
        self._frozen_record_tables = message.record_tables
        self._complete_freeze()

    def on_hand_off_ended(self, message: events.HandOffEnded) -> None:
        """Forwards the deferred requests to the successor.

        Args:
            message: The successor, if there is one.
        """
        self._successor = message.successor
        for active in self._deferred or []:
            if active.is_ended:
                continue
            try:
                self._forward(active, self._record_tables.own.home)
            except errors.DotterelpathError as error:
                self._end_request(
                    active, exchange.Outcome(error.code, error.detail)
                )

    def finish(
        self, active: _active_request.ActiveRequest, outcome: exchange.Outcome
    ) -> None:
        """Records the outcome of a request that ran under a key.

        Args:
            active: The request.
            outcome: The outcome of the request.
        """
        if active.record_table is None:
            return
        self._running.pop((active.record_table.home, active.scoped_key), None)
        active.record_table.finish(active.scoped_key, outcome)
        self._complete_freeze()

    def _admit(
        self,
        active: _active_request.ActiveRequest,
        location: record_tables.RecordLocation,
        record_table: records.RecordTable,
    ) -> None:
        scoped_key = record_tables.scoped_key(active.request)
        result = record_table.admit(
            scoped_key,
            location.epoch,
            record_tables.fingerprint(active.request),
            active.request.attempt,
            self._clock.now_s(),
            location.may_start,
        )
        if result.decision is records.Decision.REPLAY:
            assert result.outcome is not None
            self._end_request(active, result.outcome)
            return
        if result.decision is records.Decision.JOIN:
            self._running[(record_table.home, scoped_key)].joined.append(active)
            self._timers.add(active.deadline_s, active)
            return
        active.record_table = record_table
        active.scoped_key = scoped_key
        self._running[(record_table.home, scoped_key)] = active
        if location.needs_claim:
            self._key_claimer.force(messages.ClaimKey(active.id, scoped_key))
            self._timers.add(active.deadline_s, active)
        else:
            self._start(active)

    def _defer(self, active: _active_request.ActiveRequest) -> None:
        if self._successor is not None:
            self._forward(active, self._record_tables.own.home)
        elif self._deferred is not None:
            self._deferred.append(active)
            self._timers.add(active.deadline_s, active)

    def _forward(
        self, active: _active_request.ActiveRequest, home: keys.Home
    ) -> None:
        if self._successor is not None and home == self._record_tables.own.home:
            candidates = [self._successor]
        else:
            candidates = _responses.home_candidates(
                home, self._vms_by_id, self._live, self._adopters
            )
        own_id = self._record_tables.own.home.daemon_id
        candidates = [vm for vm in candidates if vm.id != own_id]
        if not candidates:
            raise errors.DotterelpathError(errors.ResultCode.HOME_UNREACHABLE)
        self._timers.add(active.deadline_s, active)
        self._peer_forwarder.force(
            messages.ForwardRequest(
                active.id,
                candidates,
                active.request,
                active.deadline_s - self._clock.now_s(),
                active.claimed_home,
            )
        )

    def _expire(self) -> None:
        now_s = self._clock.now_s()
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
            self._record_tables.expire(now_s)

    def _complete_freeze(self) -> None:
        """Freezes and hands over the records once no keyed request runs."""
        frozen_tables = self._frozen_record_tables
        if frozen_tables is None or frozen_tables.done() or self._running:
            return
        for record_table in self._record_tables.all:
            record_table.freeze()
        frozen_tables.set_result(self._record_tables.all)
