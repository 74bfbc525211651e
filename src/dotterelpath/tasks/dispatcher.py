"""The task that decides on every request."""

from __future__ import annotations

import asyncio
import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import addresses
from dotterelpath.domain import admission
from dotterelpath.domain import books
from dotterelpath.domain import estate
from dotterelpath.domain import exchange
from dotterelpath.domain import keys
from dotterelpath.domain import records
from dotterelpath.domain import tries
from dotterelpath.domain import vms
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import metrics as metrics_port
from dotterelpath.ports import randomness
from dotterelpath.ports import timers as timers_port
from dotterelpath.tasks import _answers
from dotterelpath.tasks import _exchange
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

EXPIRE_S = 5.0
BUFFER_BYTES = 256 * 1024
FORWARDED_BUFFER_BYTES = 4 * 1024 * 1024
MAX_EXCHANGES = 8192
TOLD_STEP = 1.0

_NO_WORK = (tries.TryEnd.REFUSED, tries.TryEnd.UNREACHABLE, tries.TryEnd.BROKEN)
_log = structlog.get_logger()


class Dispatcher:
    """Owns routes, instances, limits and records, and drives each request."""

    __slots__ = (
        "_adopters",
        "_back_ends",
        "_books",
        "_claims",
        "_clock",
        "_deferred",
        "_estate",
        "_exchanges",
        "_frozen_books",
        "_handlers",
        "_is_fresh",
        "_live",
        "_mailbox",
        "_metrics",
        "_next_expiry_s",
        "_peers",
        "_random",
        "_running",
        "_steward",
        "_streams",
        "_successor",
        "_timers",
        "_told",
        "_tries",
        "_vms",
    )

    def __init__(
        self,
        home: keys.Home,
        clock: clock_port.Clock,
        random: randomness.RandomSource,
        due: timers_port.Timers[_exchange.Exchange],
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
            steward: Hears which instances this daemon calls sick.
        """
        self._clock = clock
        self._metrics = metrics
        self._mailbox = inbox
        self._back_ends = back_ends
        self._peers = peers
        self._claims = claims
        self._steward = steward
        now_s = clock.now_s()
        self._books = books.Books(records.Book(home, now_s))
        self._estate: estate.Estate[_exchange.Exchange] = estate.Estate()
        self._exchanges: dict[int, _exchange.Exchange] = {}
        self._tries: dict[int, _exchange.OpenTry] = {}
        self._streams: dict[int, _exchange.Exchange] = {}
        self._running: dict[tuple[keys.Home, str], _exchange.Exchange] = {}
        self._timers = due
        self._told: dict[str, dict[str, float]] = {}
        self._next_expiry_s = now_s + EXPIRE_S
        self._random = random
        self._is_fresh = True
        self._vms: dict[str, vms.Vm] = {}
        self._live: list[str] = []
        self._adopters: dict[keys.Home, str] = {}
        self._deferred: list[_exchange.Exchange] | None = None
        self._frozen_books: asyncio.Future[list[records.Book]] | None = None
        self._successor: vms.Vm | None = None
        self._handlers = self._handler_table()

    @property
    def estate(self) -> estate.Estate[_exchange.Exchange]:
        """The services, for reports on the daemon's state."""
        return self._estate

    @property
    def books(self) -> books.Books:
        """The kept records, for reports on the daemon's state."""
        return self._books

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
            message: A message of tasks.messages.
        """
        self._handlers[type(message)](message)

    def on_request_arrived(self, message: messages.RequestArrived) -> None:
        """Decides on a new request.

        Args:
            message: The request and its receiver.
        """
        now_s = self._clock.now_s()
        work = _exchange.Exchange(message, now_s)
        self._exchanges[work.id] = work
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + EXPIRE_S
            self._books.expire(now_s)
        try:
            if _answers.needs_record(work.request):
                self._place(work)
            else:
                self._begin(work)
        except errors.DotterelpathError as error:
            self._fail(work, error)

    def on_caller_gone(self, message: messages.CallerGone) -> None:
        """Cancels work that nobody waits for, if it is safe to.

        Args:
            message: The caller.
        """
        for work in self._exchanges.values():
            for reply in work.replies:
                if reply.token == message.token and (
                    reply.inbox is message.reply_to
                ):
                    work.replies.remove(reply)
                    self._abandon(work)
                    return

    def on_try_ended(self, message: messages.TryEnded) -> None:
        """Takes in the end of a try.

        Args:
            message: How it ended.
        """
        attempt = self._tries.pop(message.exchange_id, None)
        if attempt is None:
            return
        work = attempt.exchange
        answer = message.answer
        end = message.end
        if answer is not None and work.state is not None:
            refusal = work.state.pool.service.refusal_header
            if _answers.is_refusal(answer, refusal):
                end = tries.TryEnd.REFUSED
        self._settle_instance(work, attempt, end, answer)
        if end is tries.TryEnd.ANSWERED and answer is not None:
            if self._retries_failure(work, message, answer):
                return
            if not message.is_whole:
                work.stream_id = message.exchange_id
                self._streams[message.exchange_id] = work
            self._cancel_tries(work, message.exchange_id)
            outcome = exchange.Outcome(
                errors.ResultCode.ANSWERED,
                answer=answer,
                instance=attempt.instance_id,
                stream_id=work.stream_id,
            )
            self._end(work, outcome)
        else:
            if not message.is_whole:
                self._back_ends.force(
                    messages.CancelTry(message.exchange_id, False)
                )
            self._on_failed_try(work, message, end)
        self._pump(work)

    def on_answer_part(self, message: messages.AnswerPart) -> None:
        """Passes on a part of a long answer.

        Args:
            message: The part.
        """
        work = self._streams.get(message.exchange_id)
        if work is not None and work.replies:
            work.replies[0].inbox.force(message)

    def on_answer_done(self, message: messages.AnswerDone) -> None:
        """Passes on the end of a long answer.

        Args:
            message: Whether it is whole.
        """
        work = self._streams.pop(message.exchange_id, None)
        if work is None:
            return
        self._exchanges.pop(work.id, None)
        if work.replies:
            work.replies[0].inbox.force(message)

    def on_document_changed(self, message: messages.DocumentChanged) -> None:
        """Puts a newer document into force.

        Args:
            message: The document.
        """
        self._estate.set_document(message.document, self._clock.now_s())

    def on_vms_changed(self, message: messages.VmsChanged) -> None:
        """Takes in the platform's list.

        Args:
            message: The list.
        """
        self._vms = message.listed
        self._estate.set_vms(message.listed.values(), self._clock.now_s())

    def on_ledger_changed(self, message: messages.LedgerChanged) -> None:
        """Takes in a service's ejections.

        Args:
            message: The ledger.
        """
        if self._estate.set_ledger(message.ledger):
            count = len(message.ledger.ejected)
            self._metrics.ejected(message.ledger.service, count)

    def on_members_changed(self, message: messages.MembersChanged) -> None:
        """Takes in the live daemons.

        Args:
            message: The daemons.
        """
        self._live = message.live
        self._adopters = message.adopters
        self._estate.set_places(
            [
                addresses.Place(daemon_id, message.data_centres[daemon_id])
                for daemon_id in message.live
            ]
        )

    def on_freshness_changed(self, message: messages.FreshnessChanged) -> None:
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
        try:
            self._on_claim(work, message)
        except errors.DotterelpathError as error:
            self._fail(work, error)

    def on_forward_ended(self, message: messages.ForwardEnded) -> None:
        """Passes on what a key's home said.

        Args:
            message: The outcome.
        """
        work = self._exchanges.get(message.exchange_id)
        if work is not None:
            self._end(work, message.outcome)

    def on_book_adopted(self, message: messages.BookAdopted) -> None:
        """Begins to answer for a home that stopped.

        Args:
            message: Its records.
        """
        self._books.adopt(message.book)

    def on_freeze_began(self, message: messages.FreezeBegan) -> None:
        """Holds back new keys, and gives the books when none is running.

        Args:
            message: Gets the books.
        """
        self._deferred = []
        self._frozen_books = message.books
        self._check_frozen()

    def on_handed_off(self, message: messages.HandedOff) -> None:
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
                self._fail(work, error)

    def on_tick(self, message: messages.Tick) -> None:
        """Ends requests whose deadline has passed, and hedges late ones.

        Args:
            message: Says that a timer has come.
        """
        now_s = self._clock.now_s()
        for work in self._timers.due(now_s):
            if work.is_ended:
                continue
            if now_s >= work.deadline_s:
                self._time_out(work)
            elif work.is_hedge_due:
                work.is_hedge_due = False
                self._hedge(work)

    def _handler_table(
        self,
    ) -> dict[type, typing.Callable[[typing.Any], None]]:
        return {
            messages.RequestArrived: self.on_request_arrived,
            messages.CallerGone: self.on_caller_gone,
            messages.TryEnded: self.on_try_ended,
            messages.AnswerPart: self.on_answer_part,
            messages.AnswerDone: self.on_answer_done,
            messages.DocumentChanged: self.on_document_changed,
            messages.VmsChanged: self.on_vms_changed,
            messages.LedgerChanged: self.on_ledger_changed,
            messages.MembersChanged: self.on_members_changed,
            messages.FreshnessChanged: self.on_freshness_changed,
            messages.KeyClaimed: self.on_key_claimed,
            messages.ForwardEnded: self.on_forward_ended,
            messages.BookAdopted: self.on_book_adopted,
            messages.FreezeBegan: self.on_freeze_began,
            messages.HandedOff: self.on_handed_off,
            messages.Tick: self.on_tick,
        }

    def _place(self, work: _exchange.Exchange) -> None:
        """Finds the home of a keyed request and decides there."""
        request = work.request
        assert request.key is not None
        placement = self._books.place(request.key, work.claimed_home)
        if placement.book is None:
            assert placement.home is not None
            if work.is_forwarded:
                raise errors.DotterelpathError(errors.ResultCode.HOME_REPLACED)
            self._forward(work, placement.home)
            return
        if self._deferred is not None:
            self._defer(work)
            return
        work.scoped_key = books.scoped(request)
        work.book = placement.book
        verdict = self._admit(work, placement)
        if verdict.decision is records.Decision.REPLAY:
            assert verdict.outcome is not None
            work.book = None
            self._end(work, verdict.outcome)
        elif verdict.decision is records.Decision.JOIN:
            self._join(work)
        else:
            self._running[(placement.book.home, work.scoped_key)] = work
            if placement.needs_claim:
                self._claims.force(messages.ClaimKey(work.id, work.scoped_key))
                self._timers.add(work.deadline_s, work)
            else:
                self._begin(work)

    def _admit(
        self, work: _exchange.Exchange, placement: books.Placement
    ) -> records.Verdict:
        assert work.book is not None
        try:
            return work.book.admit(
                work.scoped_key,
                placement.epoch,
                books.fingerprint(work.request),
                work.request.attempt,
                self._clock.now_s(),
                placement.may_start,
            )
        except errors.DotterelpathError:
            work.book = None
            raise

    def _defer(self, work: _exchange.Exchange) -> None:
        if self._successor is not None:
            self._forward(work, self._books.own.home)
        elif self._deferred is not None:
            self._deferred.append(work)
            self._timers.add(work.deadline_s, work)

    def _join(self, work: _exchange.Exchange) -> None:
        """Lets an attempt wait for the one that runs."""
        assert work.book is not None
        running = self._running[(work.book.home, work.scoped_key)]
        running.replies.extend(work.replies)
        del self._exchanges[work.id]

    def _on_claim(
        self, work: _exchange.Exchange, message: messages.KeyClaimed
    ) -> None:
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
            self._place(work)
            return
        self._forward(work, message.home)

    def _forward(self, work: _exchange.Exchange, home: keys.Home) -> None:
        candidates = []
        if self._successor is not None and home == self._books.own.home:
            candidates = [self._successor]
        else:
            candidates = _answers.home_candidates(
                home, self._vms, self._live, self._adopters
            )
        candidates = [
            vm for vm in candidates if vm.id != self._books.own.home.daemon_id
        ]
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

    def _begin(self, work: _exchange.Exchange) -> None:
        """Routes a request and sends it, or lets it wait for an instance."""
        if not self._is_fresh:
            raise errors.DotterelpathError(errors.ResultCode.DAEMON_STALE)
        if len(self._exchanges) > MAX_EXCHANGES:
            raise errors.DotterelpathError(errors.ResultCode.OVERLOADED)
        request = work.request
        route, state = self._estate.find(request)
        work.route = route
        work.state = state
        timeout_s = min(route.timeout_s, request.timeout_s or route.timeout_s)
        work.deadline_s = work.arrived_s + timeout_s
        work.tries = tries.Tries(route.is_idempotent(request.method))
        self._estate.workspaces.enter(
            request.workspace,
            self._estate.workspace_concurrency(request.workspace),
        )
        work.workspace_entered = True
        state.retries.earn()
        if not state.pool.rotation:
            raise errors.DotterelpathError(
                errors.ResultCode.NO_BACKEND, f"service {route.service}"
            )
        self._timers.add(work.deadline_s, work)
        if not state.admission.queued and self._try(work):
            return
        self._wait(work)

    def _wait(self, work: _exchange.Exchange) -> None:
        assert work.route is not None and work.state is not None
        now_s = self._clock.now_s()
        work.waiter = admission.Waiter(
            work, work.route.traffic_class, now_s, work.deadline_s
        )
        work.state.admission.enqueue(work.waiter, now_s)

    def _try(self, work: _exchange.Exchange) -> bool:
        """Sends a request to an instance if one may take it."""
        state = work.state
        assert state is not None
        if not state.admission.has_room():
            return False
        now_s = self._clock.now_s()
        idempotent = work.tries.is_idempotent
        instance = state.pool.choose(
            self._random, now_s, idempotent, work.tries.tried
        )
        if instance is None:
            return False
        try_id = _exchange.next_try_id()
        work.try_ids.append(try_id)
        work.tries.start(instance.id)
        self._tries[try_id] = _exchange.OpenTry(work, instance.id, now_s)
        state.pool.started(instance)
        state.admission.started()
        limit = FORWARDED_BUFFER_BYTES if work.book else BUFFER_BYTES
        self._back_ends.force(
            messages.SendTry(
                try_id,
                instance.vm,
                work.request,
                work.deadline_s - now_s,
                not idempotent,
                limit,
            )
        )
        self._plan_hedge(work, now_s)
        return True

    def _plan_hedge(self, work: _exchange.Exchange, now_s: float) -> None:
        assert work.state is not None
        if not work.tries.is_idempotent or len(work.tries.tried) > 1:
            return
        usual_s = work.state.admission.limit.latency_s
        delay_s = max(
            tries.MIN_HEDGE_DELAY_S, usual_s * tries.HEDGE_LATENCY_FACTOR
        )
        if now_s + delay_s < work.deadline_s:
            work.is_hedge_due = True
            self._timers.add(now_s + delay_s, work)

    def _hedge(self, work: _exchange.Exchange) -> None:
        assert work.state is not None and work.route is not None
        if work.stream_id is not None:
            return
        if not work.state.admission.has_room():
            return
        if work.tries.may_hedge(work.state.retries) and self._try(work):
            self._metrics.retried(work.route.service, True)

    def _retries_failure(
        self,
        work: _exchange.Exchange,
        message: messages.TryEnded,
        answer: exchange.Answer,
    ) -> bool:
        """Has another instance try where one answered with a failure."""
        assert work.state is not None and work.route is not None
        if answer.status < _answers.FAILURE_STATUS or not message.is_whole:
            return False
        if work.is_ended or not work.tries.may_replace(work.state.retries):
            return False
        if not self._try(work):
            return False
        work.tries.open -= 1
        self._metrics.retried(work.route.service, False)
        return True

    def _on_failed_try(
        self,
        work: _exchange.Exchange,
        message: messages.TryEnded,
        end: tries.TryEnd,
    ) -> None:
        assert work.state is not None and work.route is not None
        if work.is_ended:
            return
        work.tries.last_detail = message.detail
        may_retry = work.tries.may_retry(end, work.state.retries)
        if work.tries.open > 0:
            return
        if may_retry and self._try(work):
            self._metrics.retried(work.route.service, False)
            return
        self._end(work, work.tries.failure(end))

    def _settle_instance(
        self,
        work: _exchange.Exchange,
        attempt: _exchange.OpenTry,
        end: tries.TryEnd,
        answer: exchange.Answer | None,
    ) -> None:
        assert work.state is not None and work.route is not None
        now_s = self._clock.now_s()
        took_s = now_s - attempt.started_s
        work.backend_s = max(work.backend_s, took_s)
        pool = work.state.pool
        if answer is not None:
            signs = _answers.read_signs(answer)
            if signs.load is not None:
                pool.report_load(attempt.instance_id, signs.load, now_s)
            if signs.is_draining:
                pool.mark_leaving(attempt.instance_id, now_s)
        ok = _answers.did_work(end, answer)
        before = pool.avoided
        pool.ended(attempt.instance_id, ok, took_s, now_s)
        if end in _NO_WORK:
            pool.back_off(attempt.instance_id, now_s)
        service = work.route.service
        if pool.avoided != before:
            self._metrics.avoided(service, len(pool.avoided))
            _log.info("avoided changed", service=service, ids=pool.avoided)
        self._tell_suspicions(service, pool.suspicions)
        refused = end is tries.TryEnd.REFUSED
        ceiling = work.state.ceiling
        work.state.admission.ended(took_s, refused, ceiling)

    def _tell_suspicions(self, service: str, scores: dict[str, float]) -> None:
        """Tells the steward's task of suspicions when they move."""
        told = self._told.get(service, {})
        if scores.keys() == told.keys() and all(
            abs(score - told[instance]) < TOLD_STEP
            for instance, score in scores.items()
        ):
            return
        self._told[service] = scores
        self._steward.force(messages.SuspicionsChanged(service, scores))

    def _cancel_tries(self, work: _exchange.Exchange, kept: int) -> None:
        """Cancels the tries that lost against another one."""
        for try_id in work.try_ids:
            attempt = self._tries.get(try_id)
            if try_id == kept or attempt is None:
                continue
            del self._tries[try_id]
            self._back_ends.force(messages.CancelTry(try_id, False))
            self._unload(work, attempt, None)

    def _unload(
        self,
        work: _exchange.Exchange,
        attempt: _exchange.OpenTry,
        ok: bool | None,
    ) -> None:
        assert work.state is not None
        now_s = self._clock.now_s()
        took_s = now_s - attempt.started_s
        work.state.pool.ended(attempt.instance_id, ok, took_s, now_s)
        work.state.admission.ended(took_s, False, work.state.ceiling)

    def _time_out(self, work: _exchange.Exchange) -> None:
        open_ids = [t for t in work.try_ids if t in self._tries]
        if work.state is not None and not work.try_ids:
            work.state.admission.drop(work)
            self._fail(
                work,
                errors.DotterelpathError(errors.ResultCode.DEADLINE_TOO_SHORT),
            )
            return
        for try_id in open_ids:
            attempt = self._tries.pop(try_id)
            self._back_ends.force(messages.CancelTry(try_id, True))
            self._unload(work, attempt, False)
        if work.state is None:
            code = errors.ResultCode.HOME_UNREACHABLE
            self._end(work, exchange.Outcome(code))
            return
        work.tries.last_detail = "no answer before the deadline"
        self._end(work, work.tries.failure(tries.TryEnd.TIMED_OUT))
        self._pump(work)

    def _abandon(self, work: _exchange.Exchange) -> None:
        """Gives up work whose caller is gone, where that loses nothing."""
        if work.replies or work.book is not None:
            return
        if work.stream_id is not None:
            self._streams.pop(work.stream_id, None)
        if work.stream_id is not None or work.state is None:
            self._exchanges.pop(work.id, None)
            return
        if work.tries.open and not work.tries.is_idempotent:
            return
        work.state.admission.drop(work)
        self._cancel_tries(work, 0)
        code = errors.ResultCode.CALLER_GONE
        self._end(work, exchange.Outcome(code))
        self._pump(work)

    def _fail(
        self, work: _exchange.Exchange, error: errors.DotterelpathError
    ) -> None:
        self._end(work, exchange.Outcome(error.code, error.detail))

    def _end(self, work: _exchange.Exchange, outcome: exchange.Outcome) -> None:
        """Records an outcome and tells all who wait for it."""
        if work.is_ended:
            return
        work.is_ended = True
        if work.workspace_entered:
            self._estate.workspaces.leave(work.request.workspace)
        if work.book is not None:
            self._running.pop((work.book.home, work.scoped_key), None)
            work.book.finish(work.scoped_key, outcome)
        if outcome.stream_id is None:
            self._exchanges.pop(work.id, None)
        _answers.reply(work.replies, outcome)
        self._measure(work, outcome)
        self._check_frozen()

    def _measure(
        self, work: _exchange.Exchange, outcome: exchange.Outcome
    ) -> None:
        took_s = self._clock.now_s() - work.arrived_s
        route = work.route
        service = route.service if route else ""
        self._metrics.request_ended(
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

    def _pump(self, work: _exchange.Exchange) -> None:
        """Sends waiting requests while instances may take them."""
        state = work.state
        if state is None:
            return
        while state.admission.queued and state.admission.has_room():
            waiter = state.admission.next_waiter()
            if waiter is None:
                return
            if waiter.item.is_ended:
                continue
            if not self._try(waiter.item):
                state.admission.put_back(waiter)
                return

    def _check_frozen(self) -> None:
        """Gives up the books once nothing that they record is running."""
        waiting = self._frozen_books
        if waiting is None or waiting.done() or self._running:
            return
        for book in self._books.all:
            book.freeze()
        waiting.set_result(self._books.all)
