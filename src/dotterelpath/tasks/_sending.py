"""Sends requests to instances, lets them wait, and tries again elsewhere."""

from __future__ import annotations

import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import attempts
from dotterelpath.domain import exchange
from dotterelpath.domain import health_reports
from dotterelpath.domain import load_balancer
from dotterelpath.domain import registry
from dotterelpath.domain import request_queue
from dotterelpath.domain import vms
from dotterelpath.ports import backend
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import metrics as metrics_port
from dotterelpath.ports import timers as timers_port
from dotterelpath.tasks import _forward
from dotterelpath.tasks import _services
from dotterelpath.tasks import _streams
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

# Answers up to this size are given whole, so that a broken one can be made
# up for elsewhere; longer ones would cost too much memory.
BUFFER_BYTES = 4 * 1024 * 1024
# While requests wait, other daemons may free slots unseen, in seconds.
PUMP_S = 0.05
# At least this much time must be left for another try, in seconds.
MIN_ATTEMPT_S = 0.02
FAILURE_STATUS = 500
TIMEOUT_STATUS = 504
# An instance that gives up at the deadline answers about then, in seconds.
OVER_TIME_S = 0.1

_log = structlog.get_logger()


class Sending:
    """A part of the gateway's state: the open tries."""

    __slots__ = (
        "_back_ends",
        "_clock",
        "_end",
        "_metrics",
        "_open_attempts",
        "_pumping",
        "_read_signs",
        "_services",
        "_streams",
        "_timers",
    )

    def __init__(
        self,
        services: _services.Services,
        read_signs: typing.Callable[
            [exchange.Response], backend.ResponseMetadata
        ],
        clock: clock_port.Clock,
        due: timers_port.Timers[typing.Any],
        metrics: metrics_port.Metrics,
        back_ends: mailbox.Mailbox[typing.Any],
        end: typing.Callable[[_forward.Forward, exchange.Outcome], None],
    ) -> None:
        """Creates a state without tries.

        Args:
            services: The services.
            read_signs: Reads what an answer says besides its body.
            clock: Tells the time.
            due: Keeps due times.
            metrics: Takes in what is measured.
            back_ends: Writes tries.
            end: Ends a request.
        """
        self._services = services
        self._read_signs = read_signs
        self._clock = clock
        self._timers = due
        self._metrics = metrics
        self._back_ends = back_ends
        self._end = end
        self._open_attempts: dict[int, _forward.OpenAttempt] = {}
        self._streams: _streams.Streams[_forward.Forward] = _streams.Streams()
        self._pumping: set[str] = set()

    @property
    def streams(self) -> _streams.Streams[_forward.Forward]:
        """The answers that are passed on in parts."""
        return self._streams

    def begin(self, work: _forward.Forward, service: str) -> None:
        """Sends a new request, or lets it wait for an instance.

        Args:
            work: The request.
            service: The service that is to run it.
        """
        self._services.begin(work, service)
        self._place(work)

    def abandon(self, work: _forward.Forward) -> None:
        """Cancels the work on a request whose caller is gone.

        What must not run twice goes on where it has begun, since a break
        would leave its outcome unknown.

        Args:
            work: The request.
        """
        if work.stream_id is not None:
            self._streams.drop(work.stream_id)
            self._back_ends.force(messages.CancelAttempt(work.stream_id, False))
        if work.service is None:
            return
        work.service.queue.remove(work)
        if work.is_idempotent:
            self._cancel(work)
            self.pump(work.service)

    def time_out(self, work: _forward.Forward) -> None:
        """Ends a request whose deadline has passed.

        One whose caller is gone may still be open at an instance.

        Args:
            work: The request.
        """
        if work.service is None or (work.is_ended and not work.open):
            return
        state = work.service
        state.queue.remove(work)
        if work.open:
            work.may_have_run = True
            self._cancel(work, timed_out=True)
            code = errors.ResultCode.BACKEND_TIMEOUT
            self._end(work, exchange.Outcome(code))
        else:
            self._give_up(work, errors.ResultCode.OVERLOADED, "waited too long")
        self.pump(state)

    def lag(self, attempt: _forward.OpenAttempt, now_s: float) -> None:
        """Notes that an instance takes longer than usual, and hedges.

        Args:
            attempt: The request at the instance.
            now_s: The monotonic clock, in seconds.
        """
        work = attempt.forward
        if work.is_ended or attempt not in work.open.values():
            return
        if now_s < attempt.slow_at_s:
            return
        attempt.is_lagging = True
        self._services.suspect(
            work, attempt.instance, health_reports.Symptom.SLOW
        )
        if work.is_idempotent and len(work.open) == 1 and work.attempts_left:
            pick = self._services.pick(work)
            if pick.instance is not None and self._services.spend(work):
                _log.info(
                    "request hedged",
                    request_id=work.request.request_id,
                    late_at=attempt.instance.id,
                    waited_ms=round((now_s - attempt.sent_s) * 1000.0, 1),
                    to=pick.instance.id,
                )
                self._metrics.record_retry(self._name(work), True)
                self._send(work, pick)

    def on_attempt_ended(self, message: messages.AttemptEnded) -> None:
        """Takes in the end of a try.

        Args:
            message: How it ended.
        """
        attempt = self._open_attempts.pop(message.attempt_id, None)
        if attempt is None:
            return
        work = attempt.forward
        work.open.pop(message.attempt_id, None)
        instance = attempt.instance
        instance.in_flight = max(0, instance.in_flight - 1)
        now_s = self._clock.now_s()
        work.backend_s = max(work.backend_s, now_s - attempt.sent_s)
        if message.response is not None:
            self._on_response(work, attempt, message)
        else:
            self._on_broken(work, attempt, message)
        if work.service is not None:
            self.pump(work.service)

    def pump(self, state: _forward.ServiceState) -> None:
        """Sends waiting requests while instances may take them.

        Args:
            state: The service.
        """
        self._pumping.discard(state.name)
        if not len(state.queue):
            return
        now_s = self._clock.now_s()
        for waiter in state.queue.ordered(now_s):
            pick = self._services.pick(waiter.item)
            if pick.instance is None:
                break
            state.queue.remove(waiter.item)
            self._send(waiter.item, pick)
        self._review(state, now_s)
        self._plan_pump(state, now_s)

    def _place(self, work: _forward.Forward) -> None:
        """Sends a request, lets it wait, or gives it up."""
        pick = self._services.pick(work)
        if pick.instance is not None:
            self._send(work, pick)
        elif pick.is_full:
            self._wait(work)
        else:
            self._give_up(work, errors.ResultCode.NO_BACKEND, self._name(work))

    def _wait(self, work: _forward.Forward) -> None:
        assert work.service is not None and work.route is not None
        now_s = self._clock.now_s()
        state = work.service
        waiter = request_queue.QueuedRequest(
            work,
            work.route.priority,
            now_s,
            work.arrived_s + work.route.target_s,
            work.deadline_s,
            self._services.usual_s(work),
        )
        state.queue.add(waiter, now_s)
        self._review(state, now_s)
        self._plan_pump(state, now_s)

    def _plan_pump(self, state: _forward.ServiceState, now_s: float) -> None:
        if len(state.queue) and state.name not in self._pumping:
            self._pumping.add(state.name)
            self._timers.add(now_s + PUMP_S, state)

    def _review(self, state: _forward.ServiceState, now_s: float) -> None:
        """Has sick instances try what the healthy ones have no time for.

        They still answer some requests. A late request that has another try
        loses nothing by it; others wait for a healthy instance while there is
        hope, since a late answer is better than a failure.
        """
        review = state.queue.check_deadlines(self._services.slots(state), now_s)
        for waiter in review.late:
            work = waiter.item
            if work.sent_to or not work.is_idempotent:
                continue
            pick = self._services.pick(waiter.item, True)
            if pick.instance is None:
                break
            state.queue.remove(waiter.item)
            self._send(waiter.item, pick)
        for waiter in review.infeasible:
            pick = self._services.pick(waiter.item, True)
            if pick.instance is not None:
                self._send(waiter.item, pick)
                continue
            self._give_up(
                waiter.item,
                errors.ResultCode.OVERLOADED,
                "the work ahead leaves no time before the deadline",
            )

    def _send(
        self, work: _forward.Forward, pick: load_balancer.Selection
    ) -> None:
        now_s = self._clock.now_s()
        instance = pick.instance
        assert instance is not None
        attempt_id = _forward.next_attempt_id()
        assert work.service is not None and work.route is not None
        slow_after_s = work.service.balancer.slow_after_s(
            work.route.name, work.route.target_s * _services.FIRST_WORK_PART
        )
        if pick.reason is not load_balancer.Reason.UNHEALTHY:
            # What fails at once takes no time from what waits.
            work.service.queue.record_start(
                work.route.priority, self._services.usual_s(work), now_s
            )
        attempt = _forward.OpenAttempt(
            work, instance, now_s, now_s + slow_after_s
        )
        work.open[attempt_id] = attempt
        work.sent_to.append(instance.id)
        work.reasons.append(pick.reason.value)
        work.chances.append(
            round(instance.failure_filter.symptom_probability(now_s), 3)
        )
        self._open_attempts[attempt_id] = attempt
        instance.in_flight += 1
        instance.last_sent_s = now_s
        if now_s + slow_after_s < work.deadline_s:
            self._timers.add(now_s + slow_after_s, attempt)
        self._back_ends.force(
            messages.SendAttempt(
                attempt_id,
                _vm(instance.entry),
                work.request,
                work.deadline_s,
                not work.is_idempotent,
                BUFFER_BYTES,
            )
        )

    def _on_response(
        self,
        work: _forward.Forward,
        attempt: _forward.OpenAttempt,
        message: messages.AttemptEnded,
    ) -> None:
        """Takes in an instance's answer."""
        assert message.response is not None
        assert work.service is not None and work.route is not None
        now_s = self._clock.now_s()
        response = message.response
        instance = attempt.instance
        signs = self._read_signs(response)
        if signs.running is not None and signs.waiting is not None:
            instance.record_load(signs.running, signs.waiting, now_s)
        if signs.is_not_run:
            self._on_refused(work, instance, signs, message)
            return
        if response.status >= FAILURE_STATUS or not signs.is_authentic:
            self._on_failure(work, attempt, signs, message)
            return
        took_s = now_s - attempt.sent_s
        was_unhealthy = work.service.balancer.record_success(
            instance.id, work.route.name, took_s, now_s
        )
        if was_unhealthy:
            _log.info(
                "instance well again",
                request_id=work.request.request_id,
                instance=instance.id,
            )
            self._services.tell(
                work.service, instance, health_reports.Symptom.RECOVERED
            )
        if not message.is_whole:
            work.stream_id = message.attempt_id
            self._streams.begin(message.attempt_id, work)
        self._cancel(work)
        self._end(
            work,
            exchange.Outcome(
                errors.ResultCode.ANSWERED,
                response=response,
                instance=instance.id,
                stream_id=work.stream_id,
            ),
        )

    def _on_refused(
        self,
        work: _forward.Forward,
        instance: load_balancer.Instance,
        signs: backend.ResponseMetadata,
        message: messages.AttemptEnded,
    ) -> None:
        """Goes on after an instance certainly did not run a request."""
        assert work.service is not None
        if signs.is_misrouted:
            self._services.drop(work.service, instance)
            self._services.tell(
                work.service, instance, health_reports.Symptom.UNREACHABLE
            )
            detail = "another instance has the address"
        else:
            detail = f"refused with status {message.response.status}"
            is_full = (signs.running or 0) >= (signs.slots or 0)
            if not is_full:
                self._services.suspect(
                    work, instance, health_reports.Symptom.FAILED
                )
        self._retry(work, errors.ResultCode.BACKEND_REFUSED, detail)

    def _on_failure(
        self,
        work: _forward.Forward,
        attempt: _forward.OpenAttempt,
        signs: backend.ResponseMetadata,
        message: messages.AttemptEnded,
    ) -> None:
        """Goes on after an instance answered that it failed."""
        assert work.service is not None and work.route is not None
        assert message.response is not None
        instance = attempt.instance
        response = message.response
        work.may_have_run = True
        if not self._is_over_time(work, response):
            at_once = work.service.balancer.is_immediate(
                work.route.name,
                work.route.target_s * _services.FIRST_WORK_PART,
                self._clock.now_s() - attempt.sent_s,
            )
            symptom = health_reports.Symptom.FAILED_LATE
            if at_once:
                symptom = health_reports.Symptom.FAILED
            self._services.suspect(work, instance, symptom)
        if not message.is_whole:
            self._back_ends.force(
                messages.CancelAttempt(message.attempt_id, False)
            )
        elif signs.is_authentic:
            work.failure = exchange.Outcome(
                errors.ResultCode.ANSWERED,
                response=response,
                instance=instance.id,
            )
        self._retry(
            work,
            errors.ResultCode.BACKEND_BROKEN,
            f"answered with status {response.status}",
        )

    def _is_over_time(
        self, work: _forward.Forward, response: exchange.Response
    ) -> bool:
        """Whether an instance gave up because the deadline had come.

        That says how much work there was, not how the instance does.
        """
        left_s = work.deadline_s - self._clock.now_s()
        return response.status == TIMEOUT_STATUS and left_s < OVER_TIME_S

    def _on_broken(
        self,
        work: _forward.Forward,
        attempt: _forward.OpenAttempt,
        message: messages.AttemptEnded,
    ) -> None:
        """Goes on after a try that brought no answer."""
        code = _CODES[message.end]
        instance = attempt.instance
        if message.end is attempts.AttemptResult.UNREACHABLE:
            # No byte was written, so that it does not count as a try.
            work.sent_to.remove(instance.id)
            work.unreachable.append(instance.id)
        else:
            work.may_have_run = True
        self._services.suspect(work, instance, health_reports.Symptom.FAILED)
        self._retry(work, code, message.detail)

    def _retry(
        self, work: _forward.Forward, code: errors.ResultCode, detail: str
    ) -> None:
        """Tries elsewhere where it is safe and allowed, or ends a request."""
        if work.is_ended or work.open:
            return
        is_safe = work.is_idempotent or not work.may_have_run
        if is_safe and self._has_time(work) and self._services.spend(work):
            pick = self._services.pick(work)
            _log.info(
                "request retried",
                request_id=work.request.request_id,
                code=int(code),
                detail=detail,
                tried=work.tried,
                to=pick.instance.id if pick.instance else "",
            )
            self._metrics.record_retry(self._name(work), False)
            if pick.instance is not None:
                self._send(work, pick)
                return
            if pick.is_full:
                self._wait(work)
                return
        self._give_up(work, code, detail)

    def _has_time(self, work: _forward.Forward) -> bool:
        return self._clock.now_s() + MIN_ATTEMPT_S < work.deadline_s

    def _give_up(
        self, work: _forward.Forward, code: errors.ResultCode, detail: str
    ) -> None:
        """Ends a request without a good answer, and never says too much."""
        if work.failure is not None:
            self._end(work, work.failure)
            return
        if work.may_have_run and _is_not_run(code):
            code = errors.ResultCode.BACKEND_BROKEN
        outcome = exchange.Outcome(code, detail)
        if outcome.is_not_run:
            outcome.retry_after_s = self._services.retry_after_s(work)
        self._end(work, outcome)

    def _cancel(self, work: _forward.Forward, timed_out: bool = False) -> None:
        """Cancels what instances still do for a request."""
        for attempt_id, attempt in list(work.open.items()):
            del work.open[attempt_id]
            self._open_attempts.pop(attempt_id, None)
            instance = attempt.instance
            instance.in_flight = max(0, instance.in_flight - 1)
            self._back_ends.force(messages.CancelAttempt(attempt_id, timed_out))
            if timed_out and not attempt.is_lagging:
                self._services.suspect(
                    work, instance, health_reports.Symptom.SLOW
                )

    def _name(self, work: _forward.Forward) -> str:
        return work.service.name if work.service else ""


_CODES = {
    attempts.AttemptResult.ANSWERED: errors.ResultCode.INTERNAL,
    attempts.AttemptResult.REFUSED: errors.ResultCode.BACKEND_REFUSED,
    attempts.AttemptResult.UNREACHABLE: errors.ResultCode.BACKEND_UNREACHABLE,
    attempts.AttemptResult.BROKEN: errors.ResultCode.BACKEND_BROKEN,
    attempts.AttemptResult.PROTOCOL: errors.ResultCode.BACKEND_PROTOCOL,
    attempts.AttemptResult.TIMED_OUT: errors.ResultCode.BACKEND_TIMEOUT,
}


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
