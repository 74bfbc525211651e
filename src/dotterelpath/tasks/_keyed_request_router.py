"""Decides on requests with keys: here, at their home, or after a claim."""

from __future__ import annotations

import asyncio
import typing

from dotterelpath import errors
from dotterelpath.domain import books
from dotterelpath.domain import exchange
from dotterelpath.domain import keys
from dotterelpath.domain import records
from dotterelpath.domain import vms
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import timers as timers_port
from dotterelpath.tasks import _active_request
from dotterelpath.tasks import _responses
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

EXPIRE_S = 5.0


class KeyedRequests:
    """A part of the dispatcher's state: the records of keys."""

    __slots__ = (
        "_adopters",
        "_begin",
        "_books",
        "_claims",
        "_clock",
        "_deferred",
        "_end",
        "_frozen_books",
        "_listed",
        "_live",
        "_next_expiry_s",
        "_peers",
        "_running",
        "_successor",
        "_timers",
    )

    def __init__(
        self,
        home: keys.Home,
        clock: clock_port.Clock,
        due: timers_port.Timers[_active_request.Exchange],
        peers: mailbox.Mailbox[typing.Any],
        claims: mailbox.Mailbox[typing.Any],
        begin: typing.Callable[[_active_request.Exchange], None],
        end: typing.Callable[
            [_active_request.Exchange, exchange.Outcome], None
        ],
    ) -> None:
        """Creates an empty state.

        Args:
            home: This daemon.
            clock: Tells the time.
            due: Keeps deadlines.
            peers: Forwards requests to their homes.
            claims: Claims callers' own keys in the store.
            begin: Routes and sends a request that may run here.
            end: Ends a request.
        """
        self._clock = clock
        self._timers = due
        self._peers = peers
        self._claims = claims
        self._begin = begin
        self._end = end
        now_s = clock.now_s()
        self._books = books.Books(records.Book(home, now_s))
        self._next_expiry_s = now_s + EXPIRE_S
        self._running: dict[
            tuple[keys.Home, str], _active_request.Exchange
        ] = {}
        self._listed: dict[str, vms.Vm] = {}
        self._live: list[str] = []
        self._adopters: dict[keys.Home, str] = {}
        self._deferred: list[_active_request.Exchange] | None = None
        self._frozen_books: asyncio.Future[list[records.Book]] | None = None
        self._successor: vms.Vm | None = None

    @property
    def books(self) -> books.Books:
        """The kept records."""
        return self._books

    def place(self, work: _active_request.Exchange) -> None:
        """Finds the home of a request's key and decides there.

        Args:
            work: The request.

        Raises:
            DotterelpathError: The key is refused, or its home unreachable.
        """
        self._expire()
        request = work.request
        assert request.key is not None
        placement = self._books.place(request.key, work.claimed_home)
        if placement.book is None:
            assert placement.home is not None
            if work.is_forwarded:
                raise errors.DotterelpathError(errors.ResultCode.HOME_REPLACED)
            self._forward(work, placement.home)
        elif self._deferred is not None:
            self._defer(work)
        else:
            self._decide(work, placement, placement.book)

    def on_key_claimed(
        self, work: _active_request.Exchange, message: messages.KeyClaimed
    ) -> None:
        """Runs, forwards or gives up a request whose key was claimed.

        Args:
            work: The request.
            message: What the store said.

        Raises:
            DotterelpathError: The request is refused.
        """
        if message.is_new:
            self._begin(work)
            return
        assert work.book is not None
        self._running.pop((work.book.home, work.scoped_key), None)
        work.book.retract(work.scoped_key)
        work.book = None
        if message.home is None:
            raise errors.DotterelpathError(
                errors.ResultCode.KEY_STORE_UNAVAILABLE
            )
        if message.home == self._books.own.home:
            raise errors.DotterelpathError(errors.ResultCode.KEY_EXPIRED)
        work.claimed_home = message.home
        placement = self._books.place(work.request.key or "", message.home)
        if placement.book is not None:
            self.place(work)
        else:
            self._forward(work, message.home)

    def on_vms_changed(self, message: events.VmsChanged) -> None:
        """Takes in the platform's list.

        Args:
            message: The list.
        """
        self._listed = message.table.listed

    def on_members_changed(self, message: events.MembersChanged) -> None:
        """Takes in the live daemons.

        Args:
            message: The daemons.
        """
        self._live = message.live
        self._adopters = message.adopters

    def on_freeze_began(self, message: events.FreezeBegan) -> None:
        """Holds back new keys, and gives the books when none is running.

        Args:
            message: Gets the books.
        """
        self._deferred = []
        self._frozen_books = message.books
        self._check_frozen()

    def on_handed_off(self, message: events.HandedOff) -> None:
        """Sends held-back keys to the successor.

        Args:
            message: The successor, if there is one.
        """
        self._successor = message.successor
        for work in self._deferred or []:
            if work.is_ended:
                continue
            try:
                self._forward(work, self._books.own.home)
            except errors.DotterelpathError as error:
                self._end(work, exchange.Outcome(error.code, error.detail))

    def finish(
        self, work: _active_request.Exchange, outcome: exchange.Outcome
    ) -> None:
        """Records the outcome of a request that ran under a key.

        Args:
            work: The request.
            outcome: How it ended.
        """
        if work.book is None:
            return
        self._running.pop((work.book.home, work.scoped_key), None)
        work.book.finish(work.scoped_key, outcome)
        self._check_frozen()

    def _decide(
        self,
        work: _active_request.Exchange,
        placement: books.Placement,
        book: records.Book,
    ) -> None:
        scoped_key = books.scoped(work.request)
        verdict = book.admit(
            scoped_key,
            placement.epoch,
            books.fingerprint(work.request),
            work.request.attempt,
            self._clock.now_s(),
            placement.may_start,
        )
        if verdict.decision is records.Decision.REPLAY:
            assert verdict.outcome is not None
            self._end(work, verdict.outcome)
            return
        if verdict.decision is records.Decision.JOIN:
            self._running[(book.home, scoped_key)].joined.append(work)
            self._timers.add(work.deadline_s, work)
            return
        work.book = book
        work.scoped_key = scoped_key
        self._running[(book.home, scoped_key)] = work
        if placement.needs_claim:
            self._claims.force(messages.ClaimKey(work.id, scoped_key))
            self._timers.add(work.deadline_s, work)
        else:
            self._begin(work)

    def _defer(self, work: _active_request.Exchange) -> None:
        if self._successor is not None:
            self._forward(work, self._books.own.home)
        elif self._deferred is not None:
            self._deferred.append(work)
            self._timers.add(work.deadline_s, work)

    def _forward(self, work: _active_request.Exchange, home: keys.Home) -> None:
        if self._successor is not None and home == self._books.own.home:
            candidates = [self._successor]
        else:
            candidates = _responses.home_candidates(
                home, self._listed, self._live, self._adopters
            )
        own_id = self._books.own.home.daemon_id
        candidates = [vm for vm in candidates if vm.id != own_id]
        if not candidates:
            raise errors.DotterelpathError(errors.ResultCode.HOME_UNREACHABLE)
        self._timers.add(work.deadline_s, work)
        self._peers.force(
            messages.ForwardRequest(
                work.id,
                candidates,
                work.request,
                work.deadline_s - self._clock.now_s(),
                work.claimed_home,
            )
        )

    def _expire(self) -> None:
        now_s = self._clock.now_s()
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + EXPIRE_S
            self._books.expire(now_s)

    def _check_frozen(self) -> None:
        """Gives up the books once nothing that they record is running."""
        waiting = self._frozen_books
        if waiting is None or waiting.done() or self._running:
            return
        for book in self._books.all:
            book.freeze()
        waiting.set_result(self._books.all)
