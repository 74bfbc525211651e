"""The task that decides on every request."""

from __future__ import annotations

import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import addresses
from dotterelpath.domain import books
from dotterelpath.domain import estate
from dotterelpath.domain import exchange
from dotterelpath.domain import keys
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import metrics as metrics_port
from dotterelpath.ports import randomness
from dotterelpath.ports import timers as timers_port
from dotterelpath.tasks import _active_request
from dotterelpath.tasks import _attempt_sender
from dotterelpath.tasks import _keyed_request_router
from dotterelpath.tasks import _responses
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages
from dotterelpath.tasks import reply

MAX_EXCHANGES = 8192

_log = structlog.get_logger()


class Dispatcher:
    """Owns routes, instances, limits and records, and drives each request."""

    __slots__ = (
        "_attempts",
        "_clock",
        "_exchanges",
        "_handlers",
        "_is_fresh",
        "_keyed",
        "_mailbox",
        "_metrics",
        "_timers",
        "_waiting",
    )

    def __init__(
        self,
        home: keys.Home,
        clock: clock_port.Clock,
        random: randomness.RandomSource,
        due: timers_port.Timers[_active_request.Exchange],
        metrics: metrics_port.Metrics,
        inbox: mailbox.Mailbox[typing.Any],
        back_ends: mailbox.Mailbox[typing.Any],
        peers: mailbox.Mailbox[typing.Any],
        claims: mailbox.Mailbox[typing.Any],
        steward: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates the task's state.

        Args:
            home: This daemon.
            clock: Tells the time.
            random: Draws instances.
            due: Keeps deadlines and posts ticks to the inbox.
            metrics: Takes in what is measured.
            inbox: This task's mailbox.
            back_ends: Writes tries.
            peers: Forwards keyed requests to their homes.
            claims: Claims callers' own keys in the store.
            steward: Hears which instances this daemon suspects.
        """
        self._clock = clock
        self._metrics = metrics
        self._mailbox = inbox
        self._timers = due
        self._attempts = _attempt_sender.Attempts(
            clock, random, due, metrics, back_ends, steward, self._end
        )
        self._keyed = _keyed_request_router.KeyedRequests(
            home, clock, due, peers, claims, self._begin, self._end
        )
        self._exchanges: dict[int, _active_request.Exchange] = {}
        self._waiting: dict[reply.ReplyTo, _active_request.Exchange] = {}
        self._is_fresh = True
        self._handlers = self._handler_table()

    @property
    def estate(self) -> estate.Estate[_active_request.Exchange]:
        """The services, for reports on the daemon's state."""
        return self._attempts.estate

    @property
    def books(self) -> books.Books:
        """The kept records, for reports on the daemon's state."""
        return self._keyed.books

    @property
    def in_flight(self) -> int:
        """Requests without an outcome."""
        return len(self._exchanges)

    @property
    def is_fresh(self) -> bool:
        """Whether the document may be taken as current."""
        return self._is_fresh

    async def run(self) -> None:
        """Handles messages until cancelled."""
        while True:
            self.handle(await self._mailbox.receive())

    def handle(self, message: typing.Any) -> None:
        """Handles one message.

        Args:
            message: A message of tasks.messages or tasks.events.
        """
        self._handlers[type(message)](message)

    def on_request_arrived(self, message: messages.RequestArrived) -> None:
        """Decides on a new request.

        Args:
            message: The request and its receiver.
        """
        work = _active_request.Exchange(message, self._clock.now_s())
        self._exchanges[work.id] = work
        if work.reply_to is not None:
            self._waiting[work.reply_to] = work
        if _responses.needs_record(work.request):
            self._guard(work, self._place)
        else:
            self._guard(work, self._begin)

    def on_caller_gone(self, message: messages.CallerGone) -> None:
        """Cancels work that nobody waits for, if it is safe to.

        Args:
            message: The caller.
        """
        reply_to = reply.ReplyTo(message.reply_to, message.token)
        work = self._waiting.pop(reply_to, None)
        if work is None:
            return
        work.reply_to = None
        # What runs under a key goes on: its outcome is kept for a retry.
        if work.book is None and self._attempts.abandon(work):
            self._exchanges.pop(work.id, None)

    def on_attempt_ended(self, message: messages.AttemptEnded) -> None:
        """Takes in the end of a try.

        Args:
            message: How it ended.
        """
        self._attempts.on_attempt_ended(message)

    def on_response_part(self, message: messages.ResponsePart) -> None:
        """Passes on a part of a long answer.

        Args:
            message: The part.
        """
        self._attempts.streams.on_response_part(message)

    def on_response_done(self, message: messages.ResponseDone) -> None:
        """Passes on the end of a long answer.

        Args:
            message: Whether it is whole.
        """
        work = self._attempts.streams.on_response_done(message)
        if work is not None:
            self._forget(work)

    def on_document_changed(self, message: events.DocumentChanged) -> None:
        """Puts a newer document into force.

        Args:
            message: The document.
        """
        self.estate.set_document(message.document, self._clock.now_s())

    def on_vms_changed(self, message: events.VmsChanged) -> None:
        """Takes in the platform's list.

        Args:
            message: The list.
        """
        self._keyed.on_vms_changed(message)
        self.estate.set_vms(message.table, self._clock.now_s())

    def on_ledger_changed(self, message: events.LedgerChanged) -> None:
        """Takes in a service's ejections.

        Args:
            message: The ledger.
        """
        self._attempts.on_ledger_changed(message)

    def on_members_changed(self, message: events.MembersChanged) -> None:
        """Takes in the live daemons.

        Args:
            message: The daemons.
        """
        self._keyed.on_members_changed(message)
        self.estate.set_places(
            [
                addresses.Place(daemon_id, message.data_centres[daemon_id])
                for daemon_id in message.live
            ]
        )

    def on_freshness_changed(self, message: events.FreshnessChanged) -> None:
        """Notes whether the document may be taken as current.

        Args:
            message: Whether it may.
        """
        self._is_fresh = message.is_fresh

    def on_key_claimed(self, message: messages.KeyClaimed) -> None:
        """Runs, forwards or gives up a request whose key was claimed.

        Args:
            message: What the store said.
        """
        work = self._exchanges.get(message.exchange_id)
        if work is None or work.is_ended:
            return
        self._guard(work, lambda w: self._keyed.on_key_claimed(w, message))

    def on_forward_ended(self, message: messages.ForwardEnded) -> None:
        """Passes on what a key's home said.

        Args:
            message: The outcome.
        """
        work = self._exchanges.get(message.exchange_id)
        if work is not None:
            self._end(work, message.outcome)

    def on_book_adopted(self, message: events.BookAdopted) -> None:
        """Begins to answer for a home that stopped.

        Args:
            message: Its records.
        """
        self._keyed.books.adopt(message.book)

    def on_freeze_began(self, message: events.FreezeBegan) -> None:
        """Holds back new keys while the records become final.

        Args:
            message: Gets the books.
        """
        self._keyed.on_freeze_began(message)

    def on_handed_off(self, message: events.HandedOff) -> None:
        """Sends held-back keys to the successor.

        Args:
            message: The successor, if there is one.
        """
        self._keyed.on_handed_off(message)

    def on_tick(self, message: messages.Tick) -> None:
        """Ends requests whose deadline has passed, and hedges late ones.

        Args:
            message: Says that a due time has come.
        """
        now_s = self._clock.now_s()
        for work in self._timers.pop_due(now_s):
            if work.is_ended:
                continue
            if now_s >= work.deadline_s:
                self._time_out(work)
            elif work.is_hedge_due:
                self._attempts.hedge(work)

    def _handler_table(
        self,
    ) -> dict[type, typing.Callable[[typing.Any], None]]:
        return {
            messages.RequestArrived: self.on_request_arrived,
            messages.CallerGone: self.on_caller_gone,
            messages.AttemptEnded: self.on_attempt_ended,
            messages.ResponsePart: self.on_response_part,
            messages.ResponseDone: self.on_response_done,
            messages.KeyClaimed: self.on_key_claimed,
            messages.ForwardEnded: self.on_forward_ended,
            messages.Tick: self.on_tick,
            events.DocumentChanged: self.on_document_changed,
            events.VmsChanged: self.on_vms_changed,
            events.LedgerChanged: self.on_ledger_changed,
            events.MembersChanged: self.on_members_changed,
            events.FreshnessChanged: self.on_freshness_changed,
            events.BookAdopted: self.on_book_adopted,
            events.FreezeBegan: self.on_freeze_began,
            events.HandedOff: self.on_handed_off,
        }

    def _guard(
        self,
        work: _active_request.Exchange,
        step: typing.Callable[[_active_request.Exchange], None],
    ) -> None:
        """Ends a request with the error that a step raises."""
        try:
            step(work)
        except errors.DotterelpathError as error:
            self._end(work, exchange.Outcome(error.code, error.detail))

    def _place(self, work: _active_request.Exchange) -> None:
        try:
            route, _ = self.estate.find(work.request)
            work.limit_time(route.timeout_s)
        except errors.DotterelpathError:
            # The home may have the route, or have run the request before.
            pass
        self._keyed.place(work)

    def _begin(self, work: _active_request.Exchange) -> None:
        if not self._is_fresh:
            raise errors.DotterelpathError(errors.ResultCode.DAEMON_STALE)
        if len(self._exchanges) > MAX_EXCHANGES:
            raise errors.DotterelpathError(errors.ResultCode.OVERLOADED)
        self._attempts.begin(work)

    def _time_out(self, work: _active_request.Exchange) -> None:
        if work.state is not None:
            self._attempts.time_out(work)
            return
        # It waits for a home, a claim or another attempt, which may run it.
        code = errors.ResultCode.HOME_UNREACHABLE
        detail = "no outcome before the deadline"
        self._end(work, exchange.Outcome(code, detail))

    def _end(
        self, work: _active_request.Exchange, outcome: exchange.Outcome
    ) -> None:
        """Records an outcome and tells all who wait for it."""
        if work.is_ended:
            return
        work.is_ended = True
        if work.workspace_entered:
            self.estate.workspaces.release(work.request.workspace)
        self._keyed.finish(work, outcome)
        if work.reply_to is not None:
            work.reply_to.inbox.force(
                messages.RequestEnded(work.reply_to.token, outcome)
            )
        if outcome.stream_id is None:
            self._forget(work)
        for joined in work.joined:
            self._end(joined, _responses.for_joined(outcome))
        self._measure(work, outcome)

    def _forget(self, work: _active_request.Exchange) -> None:
        self._exchanges.pop(work.id, None)
        if work.reply_to is not None:
            self._waiting.pop(work.reply_to, None)

    def _measure(
        self, work: _active_request.Exchange, outcome: exchange.Outcome
    ) -> None:
        took_s = self._clock.now_s() - work.arrived_s
        route = work.route
        service = route.service if route else ""
        self._metrics.record_request(
            service,
            route.traffic_class.value if route else "",
            work.request.workspace,
            outcome.code,
            took_s,
            max(0.0, took_s - work.backend_s),
        )
        level = _log.debug if outcome.is_answered else _log.info
        level(
            "request ended",
            request_id=work.request.request_id,
            service=service,
            workspace=work.request.workspace,
            code=int(outcome.code),
            instance=outcome.instance,
            took_ms=round(took_s * 1000.0, 3),
            detail=outcome.detail,
        )
