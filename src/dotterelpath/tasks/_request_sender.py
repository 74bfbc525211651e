"""Sends requests to instances, queues them, retries them and hedges them."""

from __future__ import annotations

import math
import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import attempts
from dotterelpath.domain import configuration
from dotterelpath.domain import exchange
from dotterelpath.domain import health_reports
from dotterelpath.domain import instance_state
from dotterelpath.domain import load_balancer
from dotterelpath.domain import registry
from dotterelpath.domain import request_queue
from dotterelpath.domain import stream_window
from dotterelpath.domain import vms
from dotterelpath.ports import backend
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import metrics as metrics_port
from dotterelpath.ports import timers as timers_port
from dotterelpath.tasks import _late_attempts
from dotterelpath.tasks import _pending
from dotterelpath.tasks import _services
from dotterelpath.tasks import _streams
from dotterelpath.tasks import _waiting_retries
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

# Responses up to this size are buffered whole, so that a request whose response
# breaks off can be retried. Buffering longer ones would cost too much memory:
# instances in trouble may send bodies without end to many requests at once.
MAX_BUFFERED_RESPONSE_BYTES = 512 * 1024
# How often queued requests are offered to instances, in seconds. Other daemons
# free slots without this daemon being notified.
QUEUE_POLL_S = 0.05
# How often it is checked whether all queued requests meet their deadline, in
# seconds.
DEADLINE_CHECK_PERIOD_S = 0.02
# The same for each queued request, where the product is longer.
DEADLINE_CHECK_PER_REQUEST_S = 0.0002
# How often a hedge is tried again if it was not possible, in seconds.
HEDGE_RETRY_S = 0.25
# A retry is made only if at least this much time is left, in seconds.
MIN_ATTEMPT_S = 0.02
MIN_ERROR_STATUS = 500
TIMEOUT_STATUS = 504
# A timeout response within this time of the deadline, in seconds, means that
# the instance gave up because of the deadline.
DEADLINE_MARGIN_S = 0.1

_log = structlog.get_logger()


class RequestSender:
    """Runs the attempts of the gateway's requests.

    Part of the gateway task, which owns its state.
    """

    __slots__ = (
        "_backend_pool",
        "_clock",
        "_finish",
        "_is_stop_ending",
        "_late_attempts",
        "_metrics",
        "_open_attempts",
        "_read_metadata",
        "_scheduled_services",
        "_services",
        "_stop_end_s",
        "_streams",
        "_timers",
        "_waiting_retries",
    )

    def __init__(
        self,
        services: _services.Services,
        read_metadata: typing.Callable[
            [exchange.Response], backend.ResponseMetadata
        ],
        clock: clock_port.Clock,
        timers: timers_port.Timers[typing.Any],
        metrics: metrics_port.Metrics,
        backend_pool: mailbox.Mailbox[typing.Any],
        finish: typing.Callable[
            [_pending.PendingRequest, exchange.Outcome], None
        ],
    ) -> None:
        """Creates a sender without open attempts.

        Args:
            services: The services.
            read_metadata: Reads the status and the headers of a response.
            clock: Tells the time.
            timers: Schedules deadlines and checks.
            metrics: Records retries.
            backend_pool: Mailbox of the task that sends attempts.
            finish: Ends a request with an outcome.
        """
        self._services = services
        self._late_attempts = _late_attempts.LateAttempts(services)
        self._read_metadata = read_metadata
        self._clock = clock
        self._timers = timers
        self._metrics = metrics
        self._backend_pool = backend_pool
        self._finish = finish
        self._is_stop_ending = False
        self._stop_end_s = math.inf
        self._open_attempts: dict[int, _pending.OpenAttempt] = {}
        self._streams: _streams.Streams[_pending.PendingRequest] = (
            _streams.Streams()
        )
        self._waiting_retries = _waiting_retries.WaitingRetries(
            services, self._fail
        )
        # The services whose queue will be checked by a timer.
        self._scheduled_services: set[str] = set()

    @property
    def streams(self) -> _streams.Streams[_pending.PendingRequest]:
        """The responses that are forwarded in chunks."""
        return self._streams

    def start(self, pending: _pending.PendingRequest, service: str) -> None:
        """Sends a new request, or queues it.

        Args:
            pending: The request.
            service: The service that runs it.
        """
        self._services.assign(pending, service)
        self._send_or_enqueue(pending)

    def cancel(self, pending: _pending.PendingRequest) -> None:
        """Cancels the work on a request whose caller has disconnected.

        Open attempts of a non-idempotent request continue, since closing
        their connections would leave the outcome unknown.

        Args:
            pending: The request.
        """
        if pending.stream_id is not None:
            self._streams.drop(pending.stream_id)
            self._backend_pool.force(
                messages.CancelAttempt(pending.stream_id, False)
            )
        if pending.service is None:
            return
        pending.service.queue.remove(pending)
        self._waiting_retries.remove(pending)
        if pending.is_idempotent:
            self._cancel_attempts(pending)
            self.dispatch_queued(pending.service)

    def time_out(self, pending: _pending.PendingRequest) -> None:
        """Ends a request whose deadline has passed.

        A non-idempotent request whose caller has disconnected has ended, but
        its open attempts continue until the deadline.

        Args:
            pending: The request.
        """
        if pending.stream_id is not None:
            self._cut_off(pending.stream_id)
        if pending.service is None or (
            pending.is_ended and not pending.open_attempts
        ):
            return
        state = pending.service
        state.queue.remove(pending)
        if pending.open_attempts:
            pending.may_have_run = True
            self._cancel_attempts(pending, timed_out=True)
            code = errors.ResultCode.BACKEND_TIMEOUT
            self._finish(pending, exchange.Outcome(code))
        else:
            self._waiting_retries.refuse(pending)
        if not pending.is_ended:
            self._fail(
                pending,
                errors.ResultCode.OVERLOADED,
                "no instance had a free slot before the deadline",
                _services.RefusalReason.SLOT,
            )
        self.dispatch_queued(state)

    def _cut_off(self, attempt_id: int) -> None:
        """Ends a streamed response at the deadline.

        An instance in trouble may send bytes without end.
        """
        if self._streams.cut_off(attempt_id):
            self._backend_pool.force(messages.CancelAttempt(attempt_id, False))

    def on_attempt_due(
        self, attempt: _pending.OpenAttempt, now_s: float
    ) -> None:
        """Judges an attempt that is still open, and hedges its request.

        Args:
            attempt: The attempt.
            now_s: The monotonic clock, in seconds.
        """
        pending = attempt.pending
        if pending.is_ended or attempt not in pending.open_attempts.values():
            return
        self._late_attempts.record_open(attempt, now_s)
        if now_s >= attempt.slow_at_s and not attempt.is_slow:
            attempt.is_slow = True
            self._services.record_symptom(
                pending, attempt.instance, health_reports.Symptom.SLOW
            )
        self._hedge(attempt, now_s)
        self._judge_later(attempt, now_s)

    def _judge_later(self, attempt: _pending.OpenAttempt, now_s: float) -> None:
        """Schedules the next time at which an open attempt is judged."""
        due_s = attempt.open_request.next_step_s
        if not attempt.is_slow:
            due_s = min(due_s, attempt.slow_at_s)
        elif due_s == math.inf and attempt.pending.is_idempotent:
            due_s = now_s + HEDGE_RETRY_S
        if due_s < attempt.pending.deadline_s:
            self._timers.add(due_s, attempt)

    def _hedge(self, attempt: _pending.OpenAttempt, now_s: float) -> None:
        """Sends a request to a second instance if that is worth a retry.

        The request must be idempotent and have no other open attempt, and the
        retry budget must allow it. A slow attempt is always worth it.
        """
        pending = attempt.pending
        if (
            not pending.is_idempotent
            or len(pending.open_attempts) > 1
            or not pending.attempts_left
        ):
            return
        duration_s = self._services.expected_duration_s(pending)
        if now_s + duration_s > self._stop_end_s:
            return
        is_worthwhile = self._late_attempts.is_hedge_worthwhile
        if not (attempt.is_slow or is_worthwhile(attempt, 0.0, now_s)):
            return
        selection = self._services.select_instance(pending)
        instance = selection.instance
        if instance is None or not (
            attempt.is_slow
            or is_worthwhile(attempt, instance.failing(now_s), now_s)
        ):
            return
        if self._services.spend_attempt(pending):
            _log.info(
                "request hedged",
                request_id=pending.request.request_id,
                late_at=attempt.instance.id,
                waited_ms=round((now_s - attempt.sent_s) * 1000.0, 1),
                to=instance.id,
            )
            self._metrics.record_retry(self._service_name(pending), True)
            self._send(pending, selection)

    def on_attempt_ended(self, message: messages.AttemptEnded) -> None:
        """Handles the end of an attempt.

        Args:
            message: The attempt and its result.
        """
        attempt = self._open_attempts.pop(message.attempt_id, None)
        if attempt is None:
            return
        pending = attempt.pending
        pending.open_attempts.pop(message.attempt_id, None)
        instance = attempt.instance
        instance.in_flight = max(0, instance.in_flight - 1)
        now_s = self._clock.now_s()
        pending.backend_duration_s = max(
            pending.backend_duration_s, now_s - attempt.sent_s
        )
        if message.response is not None:
            self._on_response(pending, attempt, message)
        else:
            self._on_no_response(pending, attempt, message)
        if not message.is_complete and pending.stream_id != message.attempt_id:
            # Nobody gets the rest of the body, which may have no end.
            self._backend_pool.force(
                messages.CancelAttempt(message.attempt_id, False)
            )
        if pending.service is not None:
            self.dispatch_queued(pending.service)

    def on_stop_began(self, message: events.StopBegan) -> None:
        """Refuses from now on what would not end before the stop does.

        Args:
            message: When the stop ends.
        """
        self._stop_end_s = message.end_s

    def on_stop_ending(self, message: events.StopEnding) -> None:
        """Refuses the requests that wait, and from now on those that would.

        Args:
            message: The time of a stop is nearly over.
        """
        self._is_stop_ending = True
        now_s = self._clock.now_s()
        for state in self._services.states.values():
            for queued in list(state.queue.ordered(now_s)):
                state.queue.remove(queued.item)
                self._refuse_at_stop(queued.item)
            for pending in state.waiting_retries.items():
                self._waiting_retries.remove(pending)
                self._refuse_at_stop(pending)

    def on_stop_overdue(self, message: events.StopOverdue) -> None:
        """Answers the requests at work, which block pipelined ones.

        Answers are written in order: one without an answer would take those
        behind it with it when the process ends.

        Args:
            message: The time of a stop is over.
        """
        for attempt in list(self._open_attempts.values()):
            pending = attempt.pending
            if pending.is_ended:
                continue
            pending.may_have_run = True
            self._cancel_attempts(pending)
            self._fail(
                pending,
                errors.ResultCode.BACKEND_TIMEOUT,
                "this daemon stopped before the instance responded",
            )

    def _refuse_at_stop(self, pending: _pending.PendingRequest) -> None:
        self._fail(
            pending,
            errors.ResultCode.OVERLOADED,
            "this daemon stops before the request would end",
            _services.RefusalReason.STOP,
        )

    def on_dispatch_due(self, state: _pending.ServiceState) -> None:
        """Offers queued requests to instances again.

        Args:
            state: The service.
        """
        self._scheduled_services.discard(state.name)
        self.dispatch_queued(state)

    def dispatch_queued(self, state: _pending.ServiceState) -> None:
        """Sends queued requests while instances have free slots.

        Args:
            state: The service.
        """
        if not len(state.queue) and not len(state.waiting_retries):
            return
        now_s = self._clock.now_s()
        self._dispatch_retries(state, now_s)
        for queued in state.queue.ordered(now_s):
            selection = self._services.select_instance(queued.item)
            if selection.instance is None:
                break
            state.queue.take(queued, now_s)
            self._send(queued.item, selection)
        if self._is_check_due(state, now_s):
            self._handle_late_requests(state, now_s)
        self._schedule_dispatch(state, now_s)

    def _dispatch_retries(
        self, state: _pending.ServiceState, now_s: float
    ) -> None:
        """Sends requests that wait for the retry budget while it allows."""
        self._waiting_retries.refuse_overdue(state, now_s)
        while taken := self._waiting_retries.take(state, now_s):
            pending, code, detail = taken
            selection = self._services.select_instance(pending)
            if not _has_target(selection):
                self._fail(pending, code, detail)
            elif self._services.spend_attempt(pending):
                self._send_retry(pending, selection, code, detail)

    def _send_or_enqueue(self, pending: _pending.PendingRequest) -> None:
        """Sends a request, queues it, or fails it if there is no instance.

        Where instances name limits, a request must not overtake more urgent
        ones that have waited for the limit to allow the next one.
        """
        state = pending.service
        if state is not None and state.balancer.limited:
            self.dispatch_queued(state)
        selection = self._services.select_instance(pending)
        if selection.instance is not None:
            self._send(pending, selection)
        elif selection.can_wait:
            self._enqueue(pending)
        else:
            self._fail(
                pending,
                errors.ResultCode.NO_BACKEND,
                self._service_name(pending),
            )

    def _enqueue(self, pending: _pending.PendingRequest) -> None:
        if self._is_stop_ending:
            self._refuse_at_stop(pending)
            return
        assert pending.service is not None and pending.route is not None
        now_s = self._clock.now_s()
        state = pending.service
        queued = self._queued(pending, now_s)
        self._record_wait(pending, _services.WaitReason.SLOT)
        state.queue.add(queued, now_s)
        slots = self._services.slot_share(state)
        first_start_s = state.balancer.next_start_s(now_s)
        if self._is_check_due(state, now_s) and state.queue.may_be_infeasible(
            queued, slots, now_s, first_start_s
        ):
            self._handle_late_requests(state, now_s)
        self._schedule_dispatch(state, now_s)

    def _queued(
        self, pending: _pending.PendingRequest, now_s: float
    ) -> request_queue.QueuedRequest[_pending.PendingRequest]:
        assert pending.route is not None
        return request_queue.QueuedRequest(
            pending,
            pending.priority,
            now_s,
            pending.arrived_s + pending.route.target_latency_s,
            pending.deadline_s,
            self._services.expected_duration_s(pending),
            (
                pending.priority,
                pending.route.name,
                pending.tenant.name if pending.tenant else None,
            ),
        )

    def _is_check_due(self, state: _pending.ServiceState, now_s: float) -> bool:
        """Whether to check again if the queued requests meet their deadlines.

        The time that the checks take does not grow with the queue.
        """
        period_s = max(
            DEADLINE_CHECK_PERIOD_S,
            len(state.queue) * DEADLINE_CHECK_PER_REQUEST_S,
        )
        return now_s - state.deadlines_checked_s >= period_s

    def _record_wait(
        self, pending: _pending.PendingRequest, reason: _services.WaitReason
    ) -> None:
        if pending.wait_reasons[-1:] != [reason.value]:
            pending.wait_reasons.append(reason.value)
            self._metrics.record_wait(self._service_name(pending), reason.value)

    def _schedule_dispatch(
        self, state: _pending.ServiceState, now_s: float
    ) -> None:
        is_waiting = len(state.queue) or len(state.waiting_retries)
        if is_waiting and state.name not in self._scheduled_services:
            self._scheduled_services.add(state.name)
            self._timers.add(now_s + QUEUE_POLL_S, state)

    def _handle_late_requests(
        self, state: _pending.ServiceState, now_s: float
    ) -> None:
        """Sends late requests to unhealthy instances, or fails them.

        Unhealthy instances still serve some requests. An idempotent request
        that will miss its target latency is sent to one that rather serves it
        than not, if it has not been sent before, since it can then be retried.
        Another one is sent to an instance that rejects requests but does not
        fail them, if the budget would allow the retry.
        Other late requests wait for a healthy instance, since a late response
        is better than a failure.
        A request that cannot meet its deadline is sent to an unhealthy
        instance, or fails if there is none.
        """
        state.deadlines_checked_s = now_s
        deadline_check = state.queue.check_deadlines(
            self._services.slot_share(state),
            now_s,
            state.balancer.next_start_s(now_s),
        )
        for queued in deadline_check.late:
            pending = queued.item
            if pending.sent_to:
                continue
            if pending.is_idempotent:
                selection = self._services.select_unhealthy_instance(
                    pending, load_balancer.EVEN_CHANCE
                )
            else:
                selection = self._services.select_rejecting_instance(pending)
            if selection.instance is None:
                break
            state.queue.remove(queued.item)
            self._send(queued.item, selection)
        for queued in deadline_check.infeasible:
            selection = self._services.select_unhealthy_instance(queued.item)
            if selection.instance is not None:
                self._send(queued.item, selection)
                continue
            self._fail(
                queued.item,
                errors.ResultCode.OVERLOADED,
                "the queue is too long to respond before the deadline",
                _services.RefusalReason.QUEUE,
            )

    def _send(
        self,
        pending: _pending.PendingRequest,
        selection: load_balancer.Selection,
    ) -> None:
        now_s = self._clock.now_s()
        duration_s = self._services.expected_duration_s(pending)
        if now_s + duration_s > self._stop_end_s:
            # An attempt that is open goes on without a hedge.
            if not pending.open_attempts:
                self._refuse_at_stop(pending)
            return
        instance = selection.instance
        assert instance is not None
        attempt_id = _pending.next_attempt_id()
        assert pending.service is not None and pending.route is not None
        slow_after_s = pending.service.balancer.slow_after_s(
            pending.route.name,
            pending.route.target_latency_s
            * _services.ASSUMED_DURATION_FRACTION,
        )
        if selection.reason not in _MOSTLY_FAILING:
            # Only attempts that delay queued requests are recorded. An attempt
            # at an unhealthy instance mostly fails at once and delays none.
            pending.service.queue.record_start(
                pending.priority, duration_s, now_s
            )
        attempt = _pending.OpenAttempt(
            pending,
            instance,
            now_s,
            now_s + slow_after_s,
            self._late_attempts.open_request(pending, now_s),
        )
        pending.open_attempts[attempt_id] = attempt
        pending.sent_to.append(instance.id)
        pending.selection_reasons.append(selection.reason.value)
        pending.failure_probabilities.append(round(instance.unserved(now_s), 3))
        self._open_attempts[attempt_id] = attempt
        instance.record_sent(now_s)
        self._judge_later(attempt, now_s)
        self._backend_pool.force(
            messages.SendAttempt(
                attempt_id,
                _vm(instance.entry),
                pending.request,
                pending.deadline_s,
                not pending.is_idempotent,
                self._max_buffered_bytes(pending.route),
            )
        )

    def _max_buffered_bytes(self, route: configuration.Route) -> int:
        """Returns the longest response that is held whole, in bytes."""
        if route.kind is not configuration.RequestKind.DOWNLOAD:
            return MAX_BUFFERED_RESPONSE_BYTES
        downloads = sum(
            attempt.pending.route is not None
            and attempt.pending.route.kind is route.kind
            for attempt in self._open_attempts.values()
        )
        return stream_window.max_held_bytes(
            downloads, MAX_BUFFERED_RESPONSE_BYTES
        )

    def _on_response(
        self,
        pending: _pending.PendingRequest,
        attempt: _pending.OpenAttempt,
        message: messages.AttemptEnded,
    ) -> None:
        """Handles a response of an instance."""
        assert message.response is not None
        assert pending.service is not None and pending.route is not None
        now_s = self._clock.now_s()
        response = message.response
        instance = attempt.instance
        metadata = self._read_metadata(response)
        if metadata.running is not None and metadata.waiting is not None:
            instance.record_load(metadata.running, metadata.waiting, now_s)
        self._services.limits.record_response(
            pending.service, attempt, metadata
        )
        self._services.record_leaving(pending.service, attempt, metadata)
        if metadata.is_not_run:
            self._on_not_run(pending, instance, metadata, message)
            return
        is_error = response.status >= MIN_ERROR_STATUS
        if (
            is_error
            or metadata.is_unproven_refusal
            or not (metadata.is_authentic)
        ):
            self._on_failed_response(pending, attempt, metadata, message)
            return
        self._late_attempts.take_back(attempt, now_s)
        self._services.record_success(pending, instance, now_s - attempt.sent_s)
        if not message.is_complete and not pending.is_ended:
            pending.stream_id = message.attempt_id
            self._streams.begin(message.attempt_id, pending)
        self._cancel_attempts(pending)
        self._finish(
            pending,
            exchange.Outcome(
                errors.ResultCode.ANSWERED,
                response=response,
                instance=instance.id,
                stream_id=pending.stream_id,
            ),
        )

    def _on_not_run(
        self,
        pending: _pending.PendingRequest,
        instance: instance_state.InstanceState,
        metadata: backend.ResponseMetadata,
        message: messages.AttemptEnded,
    ) -> None:
        """Handles a response that says that the request was not run."""
        assert pending.service is not None
        if metadata.is_misrouted:
            self._services.remove_instance(pending.service, instance)
            self._services.publish_symptom(
                pending.service, instance, health_reports.Symptom.UNREACHABLE
            )
            detail = "another instance has the address"
        else:
            detail = f"refused with status {message.response.status}"
            # A full instance refuses requests because of load, which is not a
            # symptom. An instance that does not report its slots counts as
            # full. Other rejections are evidence apart from health.
            is_full = (metadata.running or 0) >= (metadata.slots or 0)
            self._metrics.record_rejection(self._service_name(pending), is_full)
            if not is_full:
                pending.service.rejections.record(True, self._clock.now_s())
                self._services.record_symptom(
                    pending, instance, health_reports.Symptom.REJECTED
                )
        self._retry(pending, errors.ResultCode.BACKEND_REFUSED, detail)

    def _on_failed_response(
        self,
        pending: _pending.PendingRequest,
        attempt: _pending.OpenAttempt,
        metadata: backend.ResponseMetadata,
        message: messages.AttemptEnded,
    ) -> None:
        """Handles a response that is an error or not authentic."""
        assert pending.service is not None and pending.route is not None
        assert message.response is not None
        instance = attempt.instance
        response = message.response
        pending.may_have_run = True
        if not self._is_deadline_exceeded(pending, response):
            is_immediate = pending.service.balancer.is_immediate(
                pending.route.name,
                pending.route.target_latency_s
                * _services.ASSUMED_DURATION_FRACTION,
                self._clock.now_s() - attempt.sent_s,
            )
            symptom = health_reports.Symptom.FAILED_LATE
            if is_immediate:
                symptom = health_reports.Symptom.FAILED
            self._services.record_symptom(pending, instance, symptom)
        is_reportable = message.is_complete and not metadata.is_unproven_refusal
        if is_reportable and metadata.is_authentic:
            pending.last_failure = exchange.Outcome(
                errors.ResultCode.ANSWERED,
                response=response,
                instance=instance.id,
            )
        self._retry(
            pending,
            errors.ResultCode.BACKEND_BROKEN,
            f"responded with status {response.status}",
        )

    def _is_deadline_exceeded(
        self, pending: _pending.PendingRequest, response: exchange.Response
    ) -> bool:
        """Whether an instance gave up because of the request's deadline.

        Such a response indicates load and not an unhealthy instance.
        """
        left_s = pending.deadline_s - self._clock.now_s()
        return response.status == TIMEOUT_STATUS and left_s < DEADLINE_MARGIN_S

    def _on_no_response(
        self,
        pending: _pending.PendingRequest,
        attempt: _pending.OpenAttempt,
        message: messages.AttemptEnded,
    ) -> None:
        """Handles an attempt that ended without a response."""
        code = _RESULT_CODES[message.result]
        instance = attempt.instance
        if message.result is attempts.AttemptResult.UNREACHABLE:
            # No byte was written, so the attempt does not count towards the
            # limit of attempts.
            pending.sent_to.remove(instance.id)
            pending.unreachable_instances.append(instance.id)
            # Other daemons may reach the instance, and lose no request by
            # trying.
            self._services.record_symptom(
                pending, instance, health_reports.Symptom.FAILED, is_local=True
            )
        else:
            pending.may_have_run = True
            self._services.record_symptom(
                pending, instance, health_reports.Symptom.FAILED
            )
        self._retry(pending, code, message.detail)

    def _retry(
        self,
        pending: _pending.PendingRequest,
        code: errors.ResultCode,
        detail: str,
    ) -> None:
        """Retries a request on another instance, or fails it.

        A request is retried if it is idempotent or certainly has not run, and
        if time and its attempts allow it. It waits for the retry budget.
        """
        if pending.is_ended or pending.open_attempts:
            return
        is_safe = pending.is_idempotent or not pending.may_have_run
        if not is_safe or not self._has_time_for_retry(pending):
            self._fail(pending, code, detail)
            return
        selection = self._services.select_instance(pending)
        if not _has_target(selection) or not pending.attempts_left:
            self._fail(pending, code, detail)
            return
        state = pending.service
        assert state is not None
        is_held = _waiting_retries.is_weighed(
            pending, code
        ) and self._services.is_better_later(pending)
        # The budget is spent last, so that only retries that are made cost it.
        if (
            not is_held
            and not len(state.waiting_retries)
            and self._services.spend_attempt(pending)
        ):
            self._send_retry(pending, selection, code, detail)
        elif self._is_stop_ending:
            self._fail(pending, code, detail)
        else:
            self._wait_for_retry(pending, is_held, code, detail)

    def _wait_for_retry(
        self,
        pending: _pending.PendingRequest,
        is_held: bool,
        code: errors.ResultCode,
        detail: str,
    ) -> None:
        state = pending.service
        assert state is not None
        now_s = self._clock.now_s()
        reason = _services.WaitReason.RETRY_BUDGET
        if is_held:
            reason = _services.WaitReason.BETTER_CHANCE
        self._record_wait(pending, reason)
        queued = self._queued(pending, now_s)
        self._waiting_retries.add(queued, code, detail, now_s)
        self._dispatch_retries(state, now_s)
        self._schedule_dispatch(state, now_s)

    def _send_retry(
        self,
        pending: _pending.PendingRequest,
        selection: load_balancer.Selection,
        code: errors.ResultCode,
        detail: str,
    ) -> None:
        """Sends or queues a request whose retry was taken from the budget."""
        _log.info(
            "request retried",
            request_id=pending.request.request_id,
            code=int(code),
            detail=detail,
            tried=pending.attempted_instances,
            to=selection.instance.id if selection.instance else "",
            waited_for=pending.wait_reasons,
        )
        self._metrics.record_retry(self._service_name(pending), False)
        if selection.instance is not None:
            self._send(pending, selection)
        else:
            self._enqueue(pending)

    def _has_time_for_retry(self, pending: _pending.PendingRequest) -> bool:
        return self._clock.now_s() + MIN_ATTEMPT_S < pending.deadline_s

    def _fail(
        self,
        pending: _pending.PendingRequest,
        code: errors.ResultCode,
        detail: str,
        reason: _services.RefusalReason = _services.RefusalReason.ATTEMPTS,
    ) -> None:
        """Ends a request without a successful response.

        The caller gets the last error response of an instance if there is
        one. Otherwise, a code that says that the request was not run is
        replaced if an attempt may have run it.
        """
        if pending.last_failure is not None:
            self._finish(pending, pending.last_failure)
            return
        if pending.may_have_run and _is_not_run(code):
            code = errors.ResultCode.BACKEND_BROKEN
        outcome = exchange.Outcome(code, detail)
        if outcome.is_not_run:
            outcome.retry_after_s = self._services.retry_after_s(pending)
            service = self._service_name(pending)
            self._metrics.record_refusal(service, reason.value)
        self._finish(pending, outcome)

    def _cancel_attempts(
        self, pending: _pending.PendingRequest, timed_out: bool = False
    ) -> None:
        """Cancels the open attempts of a request."""
        for attempt_id, attempt in list(pending.open_attempts.items()):
            del pending.open_attempts[attempt_id]
            self._open_attempts.pop(attempt_id, None)
            instance = attempt.instance
            instance.in_flight = max(0, instance.in_flight - 1)
            self._backend_pool.force(
                messages.CancelAttempt(attempt_id, timed_out)
            )
            if not timed_out:
                self._late_attempts.record_cancelled(
                    attempt, self._clock.now_s()
                )
            elif not attempt.is_slow:
                self._services.record_symptom(
                    pending, instance, health_reports.Symptom.SLOW
                )

    def _service_name(self, pending: _pending.PendingRequest) -> str:
        return pending.service.name if pending.service else ""


# Why instances were chosen that most likely do not serve the request.
_MOSTLY_FAILING = (
    load_balancer.Reason.UNHEALTHY,
    load_balancer.Reason.REJECTING,
)
# The codes of attempts without a response. ANSWERED is never looked up, since
# such an attempt has a response.
_RESULT_CODES = {
    attempts.AttemptResult.ANSWERED: errors.ResultCode.INTERNAL,
    attempts.AttemptResult.REFUSED: errors.ResultCode.BACKEND_REFUSED,
    attempts.AttemptResult.UNREACHABLE: errors.ResultCode.BACKEND_UNREACHABLE,
    attempts.AttemptResult.BROKEN: errors.ResultCode.BACKEND_BROKEN,
    attempts.AttemptResult.PROTOCOL: errors.ResultCode.BACKEND_PROTOCOL,
    attempts.AttemptResult.TIMED_OUT: errors.ResultCode.BACKEND_TIMEOUT,
}


def _has_target(selection: load_balancer.Selection) -> bool:
    return selection.instance is not None or selection.can_wait


def _is_not_run(code: errors.ResultCode) -> bool:
    return code.outcome_class is errors.OutcomeClass.NOT_RUN


def _vm(entry: registry.Entry) -> vms.Vm:
    return vms.Vm(
        entry.id,
        vms.VmRole.BACKEND,
        entry.host,
        entry.port,
        entry.data_centre,
        service=entry.service,
    )
