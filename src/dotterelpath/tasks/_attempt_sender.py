"""Sends requests to instances, retries and hedges them."""

from __future__ import annotations

import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import admission
from dotterelpath.domain import attempts
from dotterelpath.domain import exchange
from dotterelpath.domain import service_table
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

# A longer response is streamed, and a shorter one is received whole.
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
# The same limit for keyed requests. It is larger, since a streamed response
# cannot be kept as the outcome of the key.
MAX_BUFFERED_KEYED_RESPONSE_BYTES = 4 * 1024 * 1024
# Suspicion scores are log-likelihood ratios. They are published again when
# one has changed by this much.
SCORE_CHANGE_THRESHOLD = 1.0

# Results after which an instance gets no requests for a backoff time.
_BACK_OFF_RESULTS = (
    attempts.AttemptResult.REFUSED,
    attempts.AttemptResult.UNREACHABLE,
    attempts.AttemptResult.BROKEN,
)
_NO_SCORES: dict[str, float] = {}
_log = structlog.get_logger()


class AttemptSender:
    """Sends attempts for the dispatcher and handles their results.

    Owns the state of the services and the open attempts.
    """

    __slots__ = (
        "_backend_pool",
        "_clock",
        "_ejection_coordinator",
        "_end_request",
        "_metrics",
        "_open_attempts",
        "_published_scores",
        "_random",
        "_service_table",
        "_streams",
        "_timers",
    )

    def __init__(
        self,
        clock: clock_port.Clock,
        random: randomness.RandomSource,
        timers: timers_port.Timers[_active_request.ActiveRequest],
        metrics: metrics_port.Metrics,
        backend_pool: mailbox.Mailbox[typing.Any],
        ejection_coordinator: mailbox.Mailbox[typing.Any],
        end_request: typing.Callable[
            [_active_request.ActiveRequest, exchange.Outcome], None
        ],
    ) -> None:
        """Creates an empty state.

        Args:
            clock: The clock of deadlines and durations.
            random: The random source for the choice of an instance.
            timers: Holds deadlines and the due times of hedges.
            metrics: Records retries, avoided and ejected instances.
            backend_pool: The mailbox of the task that sends attempts.
            ejection_coordinator: The mailbox of the task that reports
                suspicion scores of instances.
            end_request: Ends a request with an outcome.
        """
        self._clock = clock
        self._random = random
        self._timers = timers
        self._metrics = metrics
        self._backend_pool = backend_pool
        self._ejection_coordinator = ejection_coordinator
        self._end_request = end_request
        self._service_table: service_table.ServiceTable[
            _active_request.ActiveRequest
        ] = service_table.ServiceTable()
        self._open_attempts: dict[int, _active_request.OpenAttempt] = {}
        self._streams: _streams.Streams[_active_request.ActiveRequest] = (
            _streams.Streams()
        )
        self._published_scores: dict[str, dict[str, float]] = {}

    @property
    def service_table(
        self,
    ) -> service_table.ServiceTable[_active_request.ActiveRequest]:
        """The state of the services of the current document."""
        return self._service_table

    @property
    def streams(self) -> _streams.Streams[_active_request.ActiveRequest]:
        """The responses that are being streamed."""
        return self._streams

    def start(self, active: _active_request.ActiveRequest) -> None:
        """Routes a request and sends it, or queues it.

        Args:
            active: The request.

        Raises:
            DotterelpathError: No route matches, the workspace has too many
                requests, or the service has no instance.
        """
        request = active.request
        route, service_state = self._service_table.find_route(request)
        active.route = route
        active.service_state = service_state
        active.set_deadline(route.timeout_s)
        active.attempts = attempts.RequestAttempts(
            route.is_idempotent(request.method)
        )
        self._service_table.workspaces.acquire(
            request.workspace,
            self._service_table.workspace_concurrency(request.workspace),
        )
        active.holds_workspace_slot = True
        service_state.retry_budget.earn()
        if not service_state.pool.rotation:
            raise errors.DotterelpathError(
                errors.ResultCode.NO_BACKEND,
                f"no instance of service {route.service!r} is in rotation",
            )
        self._timers.add(active.deadline_s, active)
        if service_state.admission.queued or not self._send_attempt(active):
            self._enqueue(active)

    def on_attempt_ended(self, message: messages.AttemptEnded) -> None:
        """Handles the end of an attempt.

        Args:
            message: The attempt and its result.
        """
        attempt = self._open_attempts.pop(message.attempt_id, None)
        if attempt is None:
            return
        active = attempt.active
        result = self._classify_result(active, message)
        self._record_instance_result(active, attempt, result, message.response)
        if result is not attempts.AttemptResult.ANSWERED:
            self._on_failed_attempt(active, message, result)
        elif not self._retry_error_response(active, message):
            self._on_response(active, attempt, message)
        self._dispatch_queued(active)

    def on_ledger_changed(self, message: events.LedgerChanged) -> None:
        """Applies a change of a service's ejections.

        Suspicion scores that the change cleared are withdrawn.

        Args:
            message: The service's ledger.
        """
        new_ledger = message.ledger
        if not self._service_table.set_ledger(new_ledger):
            return
        self._metrics.set_ejected_count(
            new_ledger.service, len(new_ledger.ejected)
        )
        service_state = self._service_table.services.get(new_ledger.service)
        if service_state is not None:
            self._publish_scores(
                new_ledger.service, service_state.pool.suspicion_scores
            )

    def hedge(self, active: _active_request.ActiveRequest) -> None:
        """Sends a late request to a second instance, if a hedge is allowed.

        Args:
            active: The request.
        """
        active.is_hedge_due = False
        assert active.service_state is not None and active.route is not None
        if (
            active.stream_id is not None
            or not active.service_state.admission.has_room()
        ):
            return
        if active.attempts.may_hedge(
            active.service_state.retry_budget
        ) and self._send_attempt(active):
            self._metrics.record_retry(active.route.service, True)

    def time_out(self, active: _active_request.ActiveRequest) -> None:
        """Ends a routed request whose deadline has passed.

        Args:
            active: The request.
        """
        assert active.service_state is not None
        if not active.attempt_ids:
            active.service_state.admission.drop(active)
            code = errors.ResultCode.DEADLINE_TOO_SHORT
            self._end_request(active, exchange.Outcome(code))
            return
        for attempt_id in active.attempt_ids:
            attempt = self._open_attempts.pop(attempt_id, None)
            if attempt is not None:
                self._backend_pool.force(
                    messages.CancelAttempt(attempt_id, True)
                )
                self._release_instance(active, attempt, False)
        active.attempts.last_detail = "no response before the deadline"
        self._end_request(
            active, active.attempts.failure(attempts.AttemptResult.TIMED_OUT)
        )
        self._dispatch_queued(active)

    def cancel(self, active: _active_request.ActiveRequest) -> bool:
        """Cancels a request whose caller disconnected, if that is safe.

        A non-idempotent request with an open attempt is not cancelled, since
        an instance may be running it.

        Args:
            active: The request.

        Returns:
            Whether the request has ended.
        """
        if active.stream_id is not None:
            self._streams.drop(active.stream_id)
            return True
        if active.service_state is None:
            return True
        if active.attempts.open_count and not active.attempts.is_idempotent:
            return False
        active.service_state.admission.drop(active)
        self._cancel_attempts(active, 0)
        self._end_request(
            active, exchange.Outcome(errors.ResultCode.CALLER_GONE)
        )
        self._dispatch_queued(active)
        return True

    def _enqueue(self, active: _active_request.ActiveRequest) -> None:
        assert active.route is not None and active.service_state is not None
        now_s = self._clock.now_s()
        queued = admission.QueuedRequest(
            active, active.route.traffic_class, now_s, active.deadline_s
        )
        active.service_state.admission.enqueue(queued, now_s)

    def _send_attempt(self, active: _active_request.ActiveRequest) -> bool:
        """Sends a request to an instance, if one has capacity for it."""
        service_state = active.service_state
        assert service_state is not None
        if not service_state.admission.has_room():
            return False
        now_s = self._clock.now_s()
        idempotent = active.attempts.is_idempotent
        instance = service_state.pool.choose(
            self._random, now_s, idempotent, active.attempts.instance_ids
        )
        if instance is None:
            return False
        attempt_id = _active_request.next_attempt_id()
        active.attempt_ids.append(attempt_id)
        active.attempts.start(instance.id)
        self._open_attempts[attempt_id] = _active_request.OpenAttempt(
            active, instance.id, now_s
        )
        service_state.pool.request_started(instance)
        service_state.admission.started()
        self._backend_pool.force(
            messages.SendAttempt(
                attempt_id,
                instance.vm,
                active.request,
                active.deadline_s,
                not idempotent,
                MAX_BUFFERED_KEYED_RESPONSE_BYTES
                if active.record_table
                else MAX_BUFFERED_RESPONSE_BYTES,
            )
        )
        self._schedule_hedge(active, now_s)
        return True

    def _schedule_hedge(
        self, active: _active_request.ActiveRequest, now_s: float
    ) -> None:
        assert active.service_state is not None
        if (
            not active.attempts.is_idempotent
            or len(active.attempts.instance_ids) > 1
        ):
            return
        typical_latency_s = active.service_state.admission.limit.latency_s
        delay_s = max(
            attempts.MIN_HEDGE_DELAY_S,
            typical_latency_s * attempts.HEDGE_LATENCY_FACTOR,
        )
        if now_s + delay_s < active.deadline_s:
            active.is_hedge_due = True
            self._timers.add(now_s + delay_s, active)

    def _classify_result(
        self,
        active: _active_request.ActiveRequest,
        message: messages.AttemptEnded,
    ) -> attempts.AttemptResult:
        """Returns the result of an attempt.

        It is REFUSED if the response has the service's refusal header.
        """
        assert active.service_state is not None
        if message.response is None:
            return message.result
        refusal_header = active.service_state.pool.service.refusal_header
        if not _responses.is_refusal(message.response, refusal_header):
            return message.result
        if not message.is_complete:
            cancel = messages.CancelAttempt(message.attempt_id, False)
            self._backend_pool.force(cancel)
        return attempts.AttemptResult.REFUSED

    def _on_response(
        self,
        active: _active_request.ActiveRequest,
        attempt: _active_request.OpenAttempt,
        message: messages.AttemptEnded,
    ) -> None:
        if not message.is_complete:
            active.stream_id = message.attempt_id
            self._streams.begin(message.attempt_id, active)
        self._cancel_attempts(active, message.attempt_id)
        outcome = exchange.Outcome(
            errors.ResultCode.ANSWERED,
            response=message.response,
            instance=attempt.instance_id,
            stream_id=active.stream_id,
        )
        self._end_request(active, outcome)

    def _retry_error_response(
        self,
        active: _active_request.ActiveRequest,
        message: messages.AttemptEnded,
    ) -> bool:
        """Retries a request at another instance after a server error.

        Returns:
            Whether another attempt was sent. The error response is then
            dropped.
        """
        assert active.service_state is not None and active.route is not None
        response = message.response
        assert response is not None
        if (
            response.status < _responses.MIN_ERROR_STATUS
            or not message.is_complete
        ):
            return False
        if active.is_ended or not active.attempts.may_replace(
            active.service_state.retry_budget
        ):
            return False
        if not self._send_attempt(active):
            return False
        # The attempt that got the error response is no longer open.
        active.attempts.open_count -= 1
        self._metrics.record_retry(active.route.service, False)
        return True

    def _on_failed_attempt(
        self,
        active: _active_request.ActiveRequest,
        message: messages.AttemptEnded,
        result: attempts.AttemptResult,
    ) -> None:
        assert active.service_state is not None and active.route is not None
        if active.is_ended:
            return
        active.attempts.last_detail = message.detail
        # This call also records that the attempt is no longer open.
        may_retry = active.attempts.may_retry(
            result, active.service_state.retry_budget
        )
        if active.attempts.open_count > 0:
            return
        if may_retry and self._send_attempt(active):
            self._metrics.record_retry(active.route.service, False)
            return
        self._end_request(active, active.attempts.failure(result))

    def _record_instance_result(
        self,
        active: _active_request.ActiveRequest,
        attempt: _active_request.OpenAttempt,
        result: attempts.AttemptResult,
        response: exchange.Response | None,
    ) -> None:
        """Updates the state of the instance after an attempt."""
        assert active.service_state is not None and active.route is not None
        now_s = self._clock.now_s()
        duration_s = now_s - attempt.sent_s
        active.backend_duration_s = max(active.backend_duration_s, duration_s)
        pool = active.service_state.pool
        if response is not None:
            status = _responses.read_instance_status(response)
            if status.load is not None:
                pool.report_load(attempt.instance_id, status.load, now_s)
            if status.is_draining:
                pool.mark_draining(attempt.instance_id, now_s)
        succeeded = _responses.instance_succeeded(result, response)
        avoided_changed = pool.request_ended(
            attempt.instance_id, succeeded, duration_s, now_s
        )
        if result in _BACK_OFF_RESULTS:
            pool.back_off(attempt.instance_id, now_s)
        service = active.route.service
        if avoided_changed:
            self._metrics.set_avoided_count(service, len(pool.avoided))
            _log.info(
                "avoided instances changed", service=service, ids=pool.avoided
            )
        self._publish_scores(service, pool.suspicion_scores)
        refused = result is attempts.AttemptResult.REFUSED
        active.service_state.admission.ended(
            duration_s, refused, active.service_state.max_in_flight
        )

    def _publish_scores(self, service: str, scores: dict[str, float]) -> None:
        """Publishes suspicion scores if one has changed by the threshold."""
        published = self._published_scores.get(service, _NO_SCORES)
        if not scores and not published:
            return
        if scores.keys() == published.keys() and all(
            abs(score - published[instance]) < SCORE_CHANGE_THRESHOLD
            for instance, score in scores.items()
        ):
            return
        self._published_scores[service] = scores
        self._ejection_coordinator.force(
            events.SuspicionScoresChanged(service, scores)
        )

    def _cancel_attempts(
        self, active: _active_request.ActiveRequest, kept_attempt_id: int
    ) -> None:
        """Cancels all open attempts of a request except one.

        Attempt ids start at 1, so kept_attempt_id 0 keeps none.
        """
        for attempt_id in active.attempt_ids:
            attempt = self._open_attempts.get(attempt_id)
            if attempt_id == kept_attempt_id or attempt is None:
                continue
            del self._open_attempts[attempt_id]
            self._backend_pool.force(messages.CancelAttempt(attempt_id, False))
            self._release_instance(active, attempt, None)

    def _release_instance(
        self,
        active: _active_request.ActiveRequest,
        attempt: _active_request.OpenAttempt,
        succeeded: bool | None,
    ) -> None:
        """Records that a cancelled attempt no longer uses its instance.

        succeeded is False after a timeout, and None if the cancellation says
        nothing about the instance.
        """
        assert active.service_state is not None
        now_s = self._clock.now_s()
        duration_s = now_s - attempt.sent_s
        active.service_state.pool.request_ended(
            attempt.instance_id, succeeded, duration_s, now_s
        )
        active.service_state.admission.ended(
            duration_s, False, active.service_state.max_in_flight
        )

    def _dispatch_queued(self, active: _active_request.ActiveRequest) -> None:
        """Sends queued requests while instances have capacity."""
        service_state = active.service_state
        if service_state is None:
            return
        while (
            service_state.admission.queued
            and service_state.admission.has_room()
        ):
            queued = service_state.admission.pop()
            if queued is None:
                return
            if queued.item.is_ended:
                continue
            if not self._send_attempt(queued.item):
                service_state.admission.put_back(queued)
                return
