"""The task that routes requests by the operators' configuration."""

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
from dotterelpath.tasks import _authentication
from dotterelpath.tasks import _pending
from dotterelpath.tasks import _quotas
from dotterelpath.tasks import _request_sender
from dotterelpath.tasks import _services
from dotterelpath.tasks import events
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages
from dotterelpath.tasks import reply

# The most requests in flight; more could exhaust the memory.
MAX_PENDING_REQUESTS = 4096
# The retry-after time, in seconds, of requests refused before a service is
# chosen. Most are refused while the daemon starts and has no configuration; a
# start takes about as long.
STARTUP_RETRY_AFTER_S = 0.5

_log = structlog.get_logger()


class Gateway:
    """Routes requests to instances.

    Owns the routes, the instances, the queues and the retry budgets.
    """

    __slots__ = (
        "_authenticator",
        "_clock",
        "_configuration",
        "_handlers",
        "_mailbox",
        "_metrics",
        "_pending_requests",
        "_quotas",
        "_random",
        "_request_sender",
        "_services",
        "_splitter",
        "_timers",
    )

    def __init__(
        self,
        data_centre: str,
        bounds: bounds_domain.Bounds,
        read_metadata: typing.Callable[
            [exchange.Response], backend.ResponseMetadata
        ],
        clock: clock_port.Clock,
        random: randomness.RandomSource,
        timers: timers_port.Timers[typing.Any],
        metrics: metrics_port.Metrics,
        inbox: mailbox.Mailbox[typing.Any],
        backend_pool: mailbox.Mailbox[typing.Any],
        peer_monitor: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates the task's state.

        Args:
            data_centre: The data centre of this daemon.
            bounds: The limits from the settings.
            read_metadata: Reads the status and the headers of a response.
            clock: Tells the time.
            random: Breaks ties and spreads retries.
            timers: Schedules deadlines and checks; posts ticks to the inbox.
            metrics: Records outcomes and retries.
            inbox: This task's mailbox.
            backend_pool: Mailbox of the task that sends attempts.
            peer_monitor: Mailbox of the task that sends health reports to other
                daemons.
        """
        self._clock = clock
        self._random = random
        self._timers = timers
        self._metrics = metrics
        self._mailbox = inbox
        self._configuration: configuration.Configuration | None = None
        self._authenticator = _authentication.Authenticator(bounds, timers)
        self._splitter = configuration.TrafficSplitter()
        self._pending_requests: dict[
            reply.ReplyTo, _pending.PendingRequest
        ] = {}
        self._services = _services.Services(
            data_centre, bounds, clock, random, peer_monitor
        )
        self._quotas = _quotas.Quotas(
            bounds, clock, random, timers, metrics, peer_monitor
        )
        self._request_sender = _request_sender.RequestSender(
            self._services,
            read_metadata,
            clock,
            timers,
            metrics,
            backend_pool,
            self._finish,
        )
        self._handlers: dict[type, typing.Callable[[typing.Any], None]] = (
            self._handler_table()
        )

    @property
    def configuration(self) -> configuration.Configuration | None:
        """The configuration in force, for the status pages."""
        return self._configuration

    @property
    def services(self) -> dict[str, _pending.ServiceState]:
        """The services by name, for the status pages."""
        return self._services.states

    @property
    def quotas(self) -> _quotas.Quotas:
        """The quotas of the tenants, for the status pages."""
        return self._quotas

    @property
    def in_flight(self) -> int:
        """The number of requests without an outcome."""
        return len(self._pending_requests)

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
        """Routes a new request.

        Args:
            message: The request and the mailbox that gets its outcome.
        """
        pending = _pending.PendingRequest(message, self._clock.now_s())
        self._pending_requests[pending.reply_to] = pending
        try:
            self._start(pending)
        except errors.DotterelpathError as error:
            outcome = exchange.Outcome(error.code, error.detail)
            if outcome.is_not_run and error.code.http_status == 503:
                outcome.retry_after_s = STARTUP_RETRY_AFTER_S
            elif error.code is errors.ResultCode.QUOTA_EXCEEDED:
                outcome.retry_after_s = self._quotas.retry_after_s(pending)
            self._finish(pending, outcome)

    def on_caller_disconnected(
        self, message: messages.CallerDisconnected
    ) -> None:
        """Cancels a request whose caller has disconnected.

        Args:
            message: The caller.
        """
        reply_to = reply.ReplyTo(message.reply_to, message.token)
        pending = self._pending_requests.get(reply_to)
        if pending is not None:
            outcome = exchange.Outcome(errors.ResultCode.CALLER_GONE)
            self._request_sender.cancel(pending)
            self._finish(pending, outcome)
            # A streamed response has ended before, and is only dropped now.
            self._pending_requests.pop(reply_to, None)

    def on_configuration_changed(
        self, message: fleet_events.ConfigurationChanged
    ) -> None:
        """Applies a newer configuration.

        Args:
            message: The configuration.
        """
        self._configuration = message.configuration
        self._authenticator.on_configuration_changed(
            message.configuration, self._clock.now_s()
        )
        table = message.configuration.tenants
        self._quotas.set_tenants({} if table is None else table.tenants)
        self._splitter.keep_only(message.configuration.routes)
        self._services.set_services(message.configuration.services)

    def on_bounds_changed(self, message: fleet_events.BoundsChanged) -> None:
        """Applies changed limits.

        Args:
            message: The limits.
        """
        self._services.on_bounds_changed(message)
        self._authenticator.on_bounds_changed(message)
        self._quotas.on_bounds_changed(message)

    def on_registry_changed(
        self, message: fleet_events.RegistryChanged
    ) -> None:
        """Updates the instances and sends queued requests to new ones.

        Args:
            message: The instances of each service.
        """
        self._services.on_registry_changed(message)
        for state in self._services.states.values():
            self._request_sender.dispatch_queued(state)

    def on_serving_daemons_changed(
        self, message: fleet_events.ServingDaemonsChanged
    ) -> None:
        """Updates this daemon's share of slots, retries and quotas.

        Args:
            message: The serving daemons.
        """
        self._services.on_serving_daemons_changed(message)
        self._quotas.on_serving_daemons_changed(message)

    def on_tick(self, message: messages.Tick) -> None:
        """Handles passed deadlines, slow attempts and queues to check.

        Args:
            message: The tick.
        """
        now_s = self._clock.now_s()
        for item in self._timers.pop_due(now_s):
            if isinstance(item, _pending.OpenAttempt):
                self._request_sender.on_attempt_due(item, now_s)
            elif isinstance(item, _pending.ServiceState):
                self._request_sender.on_dispatch_due(item)
            elif isinstance(item, _authentication.Authenticator):
                item.on_heartbeat(now_s)
            elif item is self._quotas:
                self._quotas.on_round_due()
            elif now_s >= item.deadline_s:
                self._request_sender.time_out(item)
                self._pending_requests.pop(item.reply_to, None)

    def on_response_ended(self, message: messages.ResponseEnded) -> None:
        """Forwards the end of a streamed response.

        Args:
            message: Whether the response is complete.
        """
        pending = self._request_sender.streams.on_response_ended(message)
        if pending is not None:
            self._pending_requests.pop(pending.reply_to, None)

    def _handler_table(
        self,
    ) -> dict[type, typing.Callable[[typing.Any], None]]:
        services = self._services
        sender = self._request_sender
        return {
            messages.RequestArrived: self.on_request_arrived,
            messages.CallerDisconnected: self.on_caller_disconnected,
            messages.AttemptEnded: sender.on_attempt_ended,
            messages.ResponseChunk: sender.streams.on_response_chunk,
            messages.ResponseEnded: self.on_response_ended,
            messages.Tick: self.on_tick,
            events.StopBegan: sender.on_stop_began,
            events.StopEnding: sender.on_stop_ending,
            events.StopOverdue: sender.on_stop_overdue,
            fleet_events.ConfigurationChanged: self.on_configuration_changed,
            fleet_events.RegistryChanged: self.on_registry_changed,
            fleet_events.BoundsChanged: self.on_bounds_changed,
            fleet_events.FreshnessChanged: (
                self._authenticator.on_freshness_changed
            ),
            fleet_events.ServingDaemonsChanged: (
                self.on_serving_daemons_changed
            ),
            fleet_events.QuotaReportReceived: (
                self._quotas.on_quota_report_received
            ),
            fleet_events.QuotaUsedUpReceived: (
                self._quotas.on_quota_used_up_received
            ),
            fleet_events.HealthReportReceived: (
                services.on_health_report_received
            ),
            fleet_events.LeavingReportReceived: (
                services.on_leaving_report_received
            ),
            fleet_events.LimitReportReceived: (
                services.limits.on_limit_report_received
            ),
            fleet_events.SuccessReportReceived: (
                services.on_success_report_received
            ),
        }

    def _start(self, pending: _pending.PendingRequest) -> None:
        if self._configuration is None:
            raise errors.DotterelpathError(errors.ResultCode.NO_DOCUMENT)
        request = pending.request
        self._authenticator.check_freshness(
            self._configuration, self._clock.now_s()
        )
        pending.route = self._configuration.find(request.host, request.path)
        self._authenticator.authenticate(
            pending, self._configuration, pending.route
        )
        pending.deadline_s = min(
            pending.deadline_s, pending.arrived_s + pending.route.timeout_s
        )
        if pending.deadline_s <= self._clock.now_s():
            raise errors.DotterelpathError(errors.ResultCode.DEADLINE_TOO_SHORT)
        if len(self._pending_requests) > MAX_PENDING_REQUESTS:
            raise errors.DotterelpathError(errors.ResultCode.OVERLOADED)
        self._quotas.admit(pending)
        service = self._splitter.choose(pending.route, self._random.random())
        self._timers.add(pending.deadline_s, pending)
        self._request_sender.start(pending, service)

    def _finish(
        self, pending: _pending.PendingRequest, outcome: exchange.Outcome
    ) -> None:
        """Sends the outcome to the receiver and records it."""
        if pending.is_ended:
            return
        pending.is_ended = True
        self._quotas.refund_unused(pending, outcome)
        if outcome.stream_id is None:
            self._pending_requests.pop(pending.reply_to, None)
        pending.reply_to.inbox.force(
            messages.RequestEnded(pending.reply_to.token, outcome)
        )
        self._record_outcome(pending, outcome)

    def _record_outcome(
        self, pending: _pending.PendingRequest, outcome: exchange.Outcome
    ) -> None:
        now_s = self._clock.now_s()
        duration_s = now_s - pending.arrived_s
        service = pending.service.name if pending.service else ""
        is_probe = pending.selection_reasons[:1] == [
            load_balancer.Reason.PROBE.value
        ]
        is_disconnected = outcome.code is errors.ResultCode.CALLER_GONE
        if pending.service and not is_disconnected:
            self._services.record_outcome(
                pending.service, _is_served(outcome), is_probe
            )
        route = pending.route
        self._metrics.record_request(
            service,
            f"priority-{route.priority}" if route else "",
            # The platform has no workspaces.
            pending.tenant.name if pending.tenant else "",
            outcome.code,
            duration_s,
            max(0.0, duration_s - pending.backend_duration_s),
        )
        version = self._configuration.version if self._configuration else 0
        _log.info(
            "request ended",
            request_id=pending.request.request_id,
            code=int(outcome.code),
            status=outcome.response.status if outcome.response else 0,
            route=route.name if route else "",
            service=service,
            **_authentication.log_fields(pending),
            configuration=version,
            instances=pending.attempted_instances,
            reasons=pending.selection_reasons,
            chances=pending.failure_probabilities,
            waited_for=pending.wait_reasons,
            took_ms=round(duration_s * 1000.0, 1),
            backend_ms=round(pending.backend_duration_s * 1000.0, 1),
            left_ms=round((pending.deadline_s - now_s) * 1000.0, 1),
            detail=outcome.detail,
        )


def _is_served(outcome: exchange.Outcome) -> bool:
    response = outcome.response
    return (
        response is not None
        and response.status < _request_sender.MIN_ERROR_STATUS
    )
