"""Sends requests to instances, retries and hedges them, and ends them."""

from __future__ import annotations

import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import admission
from dotterelpath.domain import attempts
from dotterelpath.domain import estate
from dotterelpath.domain import exchange
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import metrics as metrics_port
from dotterelpath.ports import randomness
from dotterelpath.ports import timers as timers_port
from dotterelpath.tasks import _active_request
from dotterelpath.tasks import _responses
from dotterelpath.tasks import _streams
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

BUFFER_BYTES = 256 * 1024
KEPT_BUFFER_BYTES = 4 * 1024 * 1024
TOLD_STEP = 1.0

_NO_WORK = (
    attempts.AttemptResult.REFUSED,
    attempts.AttemptResult.UNREACHABLE,
    attempts.AttemptResult.BROKEN,
)
_NOTHING_TOLD: dict[str, float] = {}
_log = structlog.get_logger()


class Attempts:
    """A part of the dispatcher's state: the services and the open tries."""

    __slots__ = (
        "_back_ends",
        "_clock",
        "_end",
        "_estate",
        "_metrics",
        "_open_attempts",
        "_random",
        "_steward",
        "_streams",
        "_timers",
        "_told",
    )

    def __init__(
        self,
        clock: clock_port.Clock,
        random: randomness.RandomSource,
        due: timers_port.Timers[_active_request.Exchange],
        metrics: metrics_port.Metrics,
        back_ends: mailbox.Mailbox[typing.Any],
        steward: mailbox.Mailbox[typing.Any],
        end: typing.Callable[
            [_active_request.Exchange, exchange.Outcome], None
        ],
    ) -> None:
        """Creates an empty state.

        Args:
            clock: Tells the time.
            random: Draws instances.
            due: Keeps deadlines.
            metrics: Takes in what is measured.
            back_ends: Writes tries.
            steward: Hears which instances this daemon suspects.
            end: Ends a request.
        """
        self._clock = clock
        self._random = random
        self._timers = due
        self._metrics = metrics
        self._back_ends = back_ends
        self._steward = steward
        self._end = end
        self._estate: estate.Estate[_active_request.Exchange] = estate.Estate()
        self._open_attempts: dict[int, _active_request.OpenAttempt] = {}
        self._streams: _streams.Streams[_active_request.Exchange] = (
            _streams.Streams()
        )
        self._told: dict[str, dict[str, float]] = {}

    @property
    def estate(self) -> estate.Estate[_active_request.Exchange]:
        """The services of the document in force."""
        return self._estate

    @property
    def streams(self) -> _streams.Streams[_active_request.Exchange]:
        """The answers that are passed on in parts."""
        return self._streams

    def begin(self, work: _active_request.Exchange) -> None:
        """Routes a request and sends it, or lets it wait for an instance.

        Args:
            work: The request.

        Raises:
            DotterelpathError: The request is refused.
        """
        request = work.request
        route, state = self._estate.find(request)
        work.route = route
        work.state = state
        work.limit_time(route.timeout_s)
        work.attempts = attempts.RequestAttempts(
            route.is_idempotent(request.method)
        )
        self._estate.workspaces.acquire(
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
        if state.admission.queued or not self._send_attempt(work):
            self._wait(work)

    def on_attempt_ended(self, message: messages.AttemptEnded) -> None:
        """Takes in the end of a try.

        Args:
            message: How it ended.
        """
        attempt = self._open_attempts.pop(message.attempt_id, None)
        if attempt is None:
            return
        work = attempt.exchange
        end = self._judge(work, message)
        self._settle_instance(work, attempt, end, message.response)
        if end is not attempts.AttemptResult.ANSWERED:
            self._on_failed_attempt(work, message, end)
        elif not self._replaces_failure(work, message):
            self._on_response(work, attempt, message)
        self._pump(work)

    def on_ledger_changed(self, message: events.LedgerChanged) -> None:
        """Takes in a service's ejections, and withdraws what they settle.

        Args:
            message: The ledger.
        """
        changed = message.ledger
        if not self._estate.set_ledger(changed):
            return
        self._metrics.set_ejected_count(changed.service, len(changed.ejected))
        state = self._estate.services.get(changed.service)
        if state is not None:
            self._tell_suspicions(changed.service, state.pool.suspicion_scores)

    def hedge(self, work: _active_request.Exchange) -> None:
        """Sends a late request to a second instance, if it is allowed.

        Args:
            work: The request.
        """
        work.is_hedge_due = False
        assert work.state is not None and work.route is not None
        if work.stream_id is not None or not work.state.admission.has_room():
            return
        if work.attempts.may_hedge(work.state.retries) and self._send_attempt(
            work
        ):
            self._metrics.record_retry(work.route.service, True)

    def time_out(self, work: _active_request.Exchange) -> None:
        """Ends a routed request whose deadline has passed.

        Args:
            work: The request.
        """
        assert work.state is not None
        if not work.attempt_ids:
            work.state.admission.drop(work)
            code = errors.ResultCode.DEADLINE_TOO_SHORT
            self._end(work, exchange.Outcome(code))
            return
        for attempt_id in work.attempt_ids:
            attempt = self._open_attempts.pop(attempt_id, None)
            if attempt is not None:
                self._back_ends.force(messages.CancelAttempt(attempt_id, True))
                self._unload(work, attempt, False)
        work.attempts.last_detail = "no answer before the deadline"
        self._end(work, work.attempts.failure(attempts.AttemptResult.TIMED_OUT))
        self._pump(work)

    def abandon(self, work: _active_request.Exchange) -> bool:
        """Gives up a request whose caller is gone, where it loses nothing.

        Args:
            work: The request.

        Returns:
            Whether the request is over.
        """
        if work.stream_id is not None:
            self._streams.drop(work.stream_id)
            return True
        if work.state is None:
            return True
        if work.attempts.open_count and not work.attempts.is_idempotent:
            return False
        work.state.admission.drop(work)
        self._cancel_attempts(work, 0)
        self._end(work, exchange.Outcome(errors.ResultCode.CALLER_GONE))
        self._pump(work)
        return True

    def _wait(self, work: _active_request.Exchange) -> None:
        assert work.route is not None and work.state is not None
        now_s = self._clock.now_s()
        waiter = admission.QueuedRequest(
            work, work.route.traffic_class, now_s, work.deadline_s
        )
        work.state.admission.enqueue(waiter, now_s)

    def _send_attempt(self, work: _active_request.Exchange) -> bool:
        """Sends a request to an instance if one may take it."""
        state = work.state
        assert state is not None
        if not state.admission.has_room():
            return False
        now_s = self._clock.now_s()
        idempotent = work.attempts.is_idempotent
        instance = state.pool.choose(
            self._random, now_s, idempotent, work.attempts.instance_ids
        )
        if instance is None:
            return False
        attempt_id = _active_request.next_attempt_id()
        work.attempt_ids.append(attempt_id)
        work.attempts.start(instance.id)
        self._open_attempts[attempt_id] = _active_request.OpenAttempt(
            work, instance.id, now_s
        )
        state.pool.request_started(instance)
        state.admission.started()
        self._back_ends.force(
            messages.SendAttempt(
                attempt_id,
                instance.vm,
                work.request,
                work.deadline_s,
                not idempotent,
                KEPT_BUFFER_BYTES if work.book else BUFFER_BYTES,
            )
        )
        self._plan_hedge(work, now_s)
        return True

    def _plan_hedge(self, work: _active_request.Exchange, now_s: float) -> None:
        assert work.state is not None
        if (
            not work.attempts.is_idempotent
            or len(work.attempts.instance_ids) > 1
        ):
            return
        usual_s = work.state.admission.limit.latency_s
        delay_s = max(
            attempts.MIN_HEDGE_DELAY_S, usual_s * attempts.HEDGE_LATENCY_FACTOR
        )
        if now_s + delay_s < work.deadline_s:
            work.is_hedge_due = True
            self._timers.add(now_s + delay_s, work)

    def _judge(
        self, work: _active_request.Exchange, message: messages.AttemptEnded
    ) -> attempts.AttemptResult:
        """Tells a refusal, by the section's header, from an answer."""
        assert work.state is not None
        if message.response is None:
            return message.end
        refusal_header = work.state.pool.service.refusal_header
        if not _responses.is_refusal(message.response, refusal_header):
            return message.end
        if not message.is_whole:
            cancel = messages.CancelAttempt(message.attempt_id, False)
            self._back_ends.force(cancel)
        return attempts.AttemptResult.REFUSED

    def _on_response(
        self,
        work: _active_request.Exchange,
        attempt: _active_request.OpenAttempt,
        message: messages.AttemptEnded,
    ) -> None:
        if not message.is_whole:
            work.stream_id = message.attempt_id
            self._streams.begin(message.attempt_id, work)
        self._cancel_attempts(work, message.attempt_id)
        outcome = exchange.Outcome(
            errors.ResultCode.ANSWERED,
            response=message.response,
            instance=attempt.instance_id,
            stream_id=work.stream_id,
        )
        self._end(work, outcome)

    def _replaces_failure(
        self, work: _active_request.Exchange, message: messages.AttemptEnded
    ) -> bool:
        """Has another instance try where one answered with a failure."""
        assert work.state is not None and work.route is not None
        response = message.response
        assert response is not None
        if response.status < _responses.FAILURE_STATUS or not message.is_whole:
            return False
        if work.is_ended or not work.attempts.may_replace(work.state.retries):
            return False
        if not self._send_attempt(work):
            return False
        work.attempts.open_count -= 1
        self._metrics.record_retry(work.route.service, False)
        return True

    def _on_failed_attempt(
        self,
        work: _active_request.Exchange,
        message: messages.AttemptEnded,
        end: attempts.AttemptResult,
    ) -> None:
        assert work.state is not None and work.route is not None
        if work.is_ended:
            return
        work.attempts.last_detail = message.detail
        may_retry = work.attempts.may_retry(end, work.state.retries)
        if work.attempts.open_count > 0:
            return
        if may_retry and self._send_attempt(work):
            self._metrics.record_retry(work.route.service, False)
            return
        self._end(work, work.attempts.failure(end))

    def _settle_instance(
        self,
        work: _active_request.Exchange,
        attempt: _active_request.OpenAttempt,
        end: attempts.AttemptResult,
        response: exchange.Response | None,
    ) -> None:
        """Takes in what a try's end says of its instance."""
        assert work.state is not None and work.route is not None
        now_s = self._clock.now_s()
        took_s = now_s - attempt.started_s
        work.backend_s = max(work.backend_s, took_s)
        pool = work.state.pool
        if response is not None:
            signs = _responses.read_signs(response)
            if signs.load is not None:
                pool.report_load(attempt.instance_id, signs.load, now_s)
            if signs.is_draining:
                pool.mark_draining(attempt.instance_id, now_s)
        ok = _responses.did_work(end, response)
        is_news = pool.request_ended(attempt.instance_id, ok, took_s, now_s)
        if end in _NO_WORK:
            pool.back_off(attempt.instance_id, now_s)
        service = work.route.service
        if is_news:
            self._metrics.set_avoided_count(service, len(pool.avoided))
            _log.info("avoided changed", service=service, ids=pool.avoided)
        self._tell_suspicions(service, pool.suspicion_scores)
        refused = end is attempts.AttemptResult.REFUSED
        work.state.admission.ended(took_s, refused, work.state.ceiling)

    def _tell_suspicions(self, service: str, scores: dict[str, float]) -> None:
        """Tells the steward's task of suspicions when they move."""
        told = self._told.get(service, _NOTHING_TOLD)
        if not scores and not told:
            return
        if scores.keys() == told.keys() and all(
            abs(score - told[instance]) < TOLD_STEP
            for instance, score in scores.items()
        ):
            return
        self._told[service] = scores
        self._steward.force(events.SuspicionsChanged(service, scores))

    def _cancel_attempts(
        self, work: _active_request.Exchange, kept: int
    ) -> None:
        """Cancels the tries that lost against another one."""
        for attempt_id in work.attempt_ids:
            attempt = self._open_attempts.get(attempt_id)
            if attempt_id == kept or attempt is None:
                continue
            del self._open_attempts[attempt_id]
            self._back_ends.force(messages.CancelAttempt(attempt_id, False))
            self._unload(work, attempt, None)

    def _unload(
        self,
        work: _active_request.Exchange,
        attempt: _active_request.OpenAttempt,
        ok: bool | None,
    ) -> None:
        assert work.state is not None
        now_s = self._clock.now_s()
        took_s = now_s - attempt.started_s
        work.state.pool.request_ended(attempt.instance_id, ok, took_s, now_s)
        work.state.admission.ended(took_s, False, work.state.ceiling)

    def _pump(self, work: _active_request.Exchange) -> None:
        """Sends waiting requests while instances may take them."""
        state = work.state
        if state is None:
            return
        while state.admission.queued and state.admission.has_room():
            waiter = state.admission.pop()
            if waiter is None:
                return
            if waiter.item.is_ended:
                continue
            if not self._send_attempt(waiter.item):
                state.admission.put_back(waiter)
                return
