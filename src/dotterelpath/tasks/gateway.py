"""The task that decides on requests whose routes the operators configure."""

from __future__ import annotations

import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import bounds as bounds_domain
from dotterelpath.domain import configuration
from dotterelpath.domain import exchange
from dotterelpath.domain import load_balancer
from dotterelpath.ports import backend
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import metrics as metrics_port
from dotterelpath.ports import randomness
from dotterelpath.ports import timers as timers_port
from dotterelpath.tasks import _forward
from dotterelpath.tasks import _sending
from dotterelpath.tasks import _services
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages
from dotterelpath.tasks import reply

# Requests of one daemon without an outcome; beyond them memory is at risk.
MAX_FORWARDS = 4096
# Callers of a daemon that has no configuration yet come back after this time,
# in seconds; a start takes about as long.
START_RETRY_S = 0.5

_log = structlog.get_logger()


class Gateway:
    """Owns routes, instances, queues and budgets, and drives each request."""

    __slots__ = (
        "_clock",
        "_configuration",
        "_handlers",
        "_mailbox",
        "_metrics",
        "_random",
        "_sending",
        "_services",
        "_splits",
        "_timers",
        "_waiting",
    )

    def __init__(
        self,
        data_centre: str,
        bounds: bounds_domain.Bounds,
        read_signs: typing.Callable[
            [exchange.Response], backend.ResponseMetadata
        ],
        clock: clock_port.Clock,
        random: randomness.RandomSource,
        due: timers_port.Timers[typing.Any],
        metrics: metrics_port.Metrics,
        inbox: mailbox.Mailbox[typing.Any],
        back_ends: mailbox.Mailbox[typing.Any],
        neighbours: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates the task's state.

        Args:
            data_centre: Where this daemon stands.
            bounds: What must hold.
            read_signs: Reads what an answer says besides its body.
            clock: Tells the time.
            random: Breaks ties.
            due: Keeps due times and posts ticks to the inbox.
            metrics: Takes in what is measured.
            inbox: This task's mailbox.
            back_ends: Writes tries.
            neighbours: Tells other daemons what was seen of instances.
        """
        self._clock = clock
        self._random = random
        self._timers = due
        self._metrics = metrics
        self._mailbox = inbox
        self._configuration: configuration.Configuration | None = None
        self._splits = configuration.Splits()
        self._waiting: dict[reply.ReplyTo, _forward.Forward] = {}
        self._services = _services.Services(
            data_centre, bounds, clock, random, neighbours
        )
        self._sending = _sending.Sending(
            self._services,
            read_signs,
            clock,
            due,
            metrics,
            back_ends,
            self._end,
        )
        self._handlers: dict[type, typing.Callable[[typing.Any], None]] = (
            self._handler_table()
        )

    @property
    def configuration(self) -> configuration.Configuration | None:
        """The configuration in force, for reports on the daemon's state."""
        return self._configuration

    @property
    def services(self) -> dict[str, _forward.ServiceState]:
        """The services, for reports on the daemon's state."""
        return self._services.states

    @property
    def in_flight(self) -> int:
        """Requests without an outcome."""
        return len(self._waiting)

    async def run(self) -> None:
        """Handles messages until cancelled."""
        while True:
            self.handle(await self._mailbox.receive())

    def handle(self, message: typing.Any) -> None:
        """Handles one message.

        Args:
            message: A message of tasks.messages or tasks.fleet_events.
        """
        self._handlers[type(message)](message)

    def on_request_arrived(self, message: messages.RequestArrived) -> None:
        """Decides on a new request.

        Args:
            message: The request and its receiver.
        """
        work = _forward.Forward(message, self._clock.now_s())
        self._waiting[work.reply_to] = work
        try:
            self._begin(work)
        except errors.DotterelpathError as error:
            outcome = exchange.Outcome(error.code, error.detail)
            if outcome.is_not_run and error.code.http_status == 503:
                outcome.retry_after_s = START_RETRY_S
            self._end(work, outcome)

    def on_caller_gone(self, message: messages.CallerGone) -> None:
        """Cancels the work that nobody waits for.

        Args:
            message: The caller.
        """
        reply_to = reply.ReplyTo(message.reply_to, message.token)
        work = self._waiting.get(reply_to)
        if work is not None:
            outcome = exchange.Outcome(errors.ResultCode.CALLER_GONE)
            self._sending.abandon(work)
            self._end(work, outcome)

    def on_configuration_changed(
        self, message: fleet_events.ConfigurationChanged
    ) -> None:
        """Puts a newer configuration into force.

        Args:
            message: The configuration.
        """
        self._configuration = message.configuration
        self._splits.keep_only(message.configuration.routes)
        self._services.set_services(message.configuration.services)

    def on_registry_changed(
        self, message: fleet_events.RegistryChanged
    ) -> None:
        """Takes in the listed instances, which may have room now.

        Args:
            message: The instances of each service.
        """
        self._services.on_registry_changed(message)
        for state in self._services.states.values():
            self._sending.pump(state)

    def on_tick(self, message: messages.Tick) -> None:
        """Ends requests whose deadline has passed, and notes slow instances.

        Args:
            message: Says that a due time has come.
        """
        now_s = self._clock.now_s()
        for item in self._timers.pop_due(now_s):
            if isinstance(item, _forward.OpenAttempt):
                self._sending.lag(item, now_s)
            elif isinstance(item, _forward.ServiceState):
                self._sending.pump(item)
            elif now_s >= item.deadline_s:
                self._sending.time_out(item)

    def on_response_done(self, message: messages.ResponseDone) -> None:
        """Passes on the end of a long answer.

        Args:
            message: Whether it is whole.
        """
        work = self._sending.streams.on_response_done(message)
        if work is not None:
            self._waiting.pop(work.reply_to, None)

    def _handler_table(
        self,
    ) -> dict[type, typing.Callable[[typing.Any], None]]:
        services = self._services
        return {
            messages.RequestArrived: self.on_request_arrived,
            messages.CallerGone: self.on_caller_gone,
            messages.AttemptEnded: self._sending.on_attempt_ended,
            messages.ResponsePart: self._sending.streams.on_response_part,
            messages.ResponseDone: self.on_response_done,
            messages.Tick: self.on_tick,
            fleet_events.ConfigurationChanged: self.on_configuration_changed,
            fleet_events.RegistryChanged: self.on_registry_changed,
            fleet_events.BoundsChanged: services.on_bounds_changed,
            fleet_events.SharersChanged: services.on_sharers_changed,
            fleet_events.EvidenceHeard: services.on_evidence_heard,
        }

    def _begin(self, work: _forward.Forward) -> None:
        if self._configuration is None:
            raise errors.DotterelpathError(errors.ResultCode.NO_DOCUMENT)
        request = work.request
        work.route = self._configuration.find(request.host, request.path)
        work.deadline_s = min(
            work.deadline_s, work.arrived_s + work.route.timeout_s
        )
        if work.deadline_s <= self._clock.now_s():
            raise errors.DotterelpathError(errors.ResultCode.DEADLINE_TOO_SHORT)
        if len(self._waiting) > MAX_FORWARDS:
            raise errors.DotterelpathError(errors.ResultCode.OVERLOADED)
        service = self._splits.choose(work.route, self._random.random())
        self._timers.add(work.deadline_s, work)
        self._sending.begin(work, service)

    def _end(self, work: _forward.Forward, outcome: exchange.Outcome) -> None:
        """Tells the caller how its request ended."""
        if work.is_ended:
            return
        work.is_ended = True
        if outcome.stream_id is None:
            self._waiting.pop(work.reply_to, None)
        work.reply_to.inbox.force(
            messages.RequestEnded(work.reply_to.token, outcome)
        )
        self._report(work, outcome)

    def _report(
        self, work: _forward.Forward, outcome: exchange.Outcome
    ) -> None:
        now_s = self._clock.now_s()
        took_s = now_s - work.arrived_s
        service = work.service.name if work.service else ""
        is_due = work.reasons[:1] == [load_balancer.Reason.PROBE.value]
        is_gone = outcome.code is errors.ResultCode.CALLER_GONE
        if work.service and not is_gone:
            self._services.ended(work.service, _is_served(outcome), is_due)
        route = work.route
        self._metrics.record_request(
            service,
            f"priority-{route.priority}" if route else "",
            work.request.workspace,
            outcome.code,
            took_s,
            max(0.0, took_s - work.backend_s),
        )
        version = self._configuration.version if self._configuration else 0
        _log.info(
            "request ended",
            request_id=work.request.request_id,
            code=int(outcome.code),
            status=outcome.response.status if outcome.response else 0,
            route=route.name if route else "",
            service=service,
            configuration=version,
            instances=work.tried,
            reasons=work.reasons,
            chances=work.chances,
            took_ms=round(took_s * 1000.0, 1),
            backend_ms=round(work.backend_s * 1000.0, 1),
            left_ms=round((work.deadline_s - now_s) * 1000.0, 1),
            detail=outcome.detail,
        )


def _is_served(outcome: exchange.Outcome) -> bool:
    response = outcome.response
    return response is not None and response.status < _sending.FAILURE_STATUS
