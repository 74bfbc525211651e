"""The task that dispatches requests to instances of services."""

from __future__ import annotations

import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import addresses
from dotterelpath.domain import exchange
from dotterelpath.domain import keys
from dotterelpath.domain import record_tables
from dotterelpath.domain import service_table
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

# New requests are refused while more than this many have no outcome.
MAX_ACTIVE_REQUESTS = 8192

_log = structlog.get_logger()


class Dispatcher:
    """Handles each request from its arrival to its outcome.

    Owns the routes, the state of the services and the idempotency records.
    """

    __slots__ = (
        "_active_requests",
        "_attempt_sender",
        "_by_reply_to",
        "_clock",
        "_handlers",
        "_is_fresh",
        "_keyed_router",
        "_mailbox",
        "_metrics",
        "_timers",
    )

    def __init__(
        self,
        home: keys.Home,
        clock: clock_port.Clock,
        random: randomness.RandomSource,
        timers: timers_port.Timers[_active_request.ActiveRequest],
        metrics: metrics_port.Metrics,
        inbox: mailbox.Mailbox[typing.Any],
        backend_pool: mailbox.Mailbox[typing.Any],
        peer_forwarder: mailbox.Mailbox[typing.Any],
        key_claimer: mailbox.Mailbox[typing.Any],
        ejection_coordinator: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates the task's state.

        Args:
            home: This daemon.
            clock: The clock of deadlines and durations.
            random: The random source for the choice of an instance.
            timers: Holds due times and posts a Tick to the inbox when one
                is reached.
            metrics: Records requests and retries.
            inbox: This task's mailbox.
            backend_pool: The mailbox of the task that sends attempts.
            peer_forwarder: The mailbox of the task that forwards keyed
                requests to their homes.
            key_claimer: The mailbox of the task that claims keys made by
                callers in the store.
            ejection_coordinator: The mailbox of the task that reports
                suspicion scores of instances.
        """
        self._clock = clock
        self._metrics = metrics
        self._mailbox = inbox
        self._timers = timers
        self._attempt_sender = _attempt_sender.AttemptSender(
            clock,
            random,
            timers,
            metrics,
            backend_pool,
            ejection_coordinator,
            self._end_request,
        )
        self._keyed_router = _keyed_request_router.KeyedRequestRouter(
            home,
            clock,
            timers,
            peer_forwarder,
            key_claimer,
            self._start,
            self._end_request,
        )
        self._active_requests: dict[int, _active_request.ActiveRequest] = {}
        self._by_reply_to: dict[
            reply.ReplyTo, _active_request.ActiveRequest
        ] = {}
        self._is_fresh = True
        self._handlers = self._handler_table()

    @property
    def service_table(
        self,
    ) -> service_table.ServiceTable[_active_request.ActiveRequest]:
        """The state of all services, for status pages."""
        return self._attempt_sender.service_table

    @property
    def record_tables(self) -> record_tables.RecordTables:
        """The idempotency records, for status pages."""
        return self._keyed_router.record_tables

    @property
    def in_flight(self) -> int:
        """The number of requests without an outcome."""
        return len(self._active_requests)

    @property
    def is_fresh(self) -> bool:
        """Whether the document can be assumed to be current."""
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
        """Starts a new request.

        Args:
            message: The request and the mailbox that gets its outcome.
        """
        active = _active_request.ActiveRequest(message, self._clock.now_s())
        self._active_requests[active.id] = active
        if active.reply_to is not None:
            self._by_reply_to[active.reply_to] = active
        if _responses.needs_record(active.request):
            self._run_step(active, self._dispatch_keyed)
        else:
            self._run_step(active, self._start)

    def on_caller_disconnected(
        self, message: messages.CallerDisconnected
    ) -> None:
        """Cancels the request of a caller that disconnected, if that is safe.

        Args:
            message: Identifies the caller's request.
        """
        reply_to = reply.ReplyTo(message.reply_to, message.token)
        active = self._by_reply_to.pop(reply_to, None)
        if active is None:
            return
        active.reply_to = None
        # A keyed request continues: its outcome is kept for a retry.
        if active.record_table is None and self._attempt_sender.cancel(active):
            self._active_requests.pop(active.id, None)

    def on_attempt_ended(self, message: messages.AttemptEnded) -> None:
        """Handles the end of an attempt.

        Args:
            message: The attempt and its result.
        """
        self._attempt_sender.on_attempt_ended(message)

    def on_response_chunk(self, message: messages.ResponseChunk) -> None:
        """Forwards a chunk of a streamed response to the receiver.

        Args:
            message: The chunk.
        """
        self._attempt_sender.streams.on_response_chunk(message)

    def on_response_ended(self, message: messages.ResponseEnded) -> None:
        """Forwards the end of a streamed response to the receiver.

        Args:
            message: The attempt and whether its response is complete.
        """
        active = self._attempt_sender.streams.on_response_ended(message)
        if active is not None:
            self._remove(active)

    def on_document_changed(self, message: events.DocumentChanged) -> None:
        """Applies a newer document.

        Args:
            message: The document.
        """
        self.service_table.set_document(message.document, self._clock.now_s())

    def on_vms_changed(self, message: events.VmsChanged) -> None:
        """Applies a change of the VM list.

        Args:
            message: The new list.
        """
        self._keyed_router.on_vms_changed(message)
        self.service_table.set_vms(message.table, self._clock.now_s())

    def on_ledger_changed(self, message: events.LedgerChanged) -> None:
        """Applies a change of a service's ejections.

        Args:
            message: The service's ledger.
        """
        self._attempt_sender.on_ledger_changed(message)

    def on_members_changed(self, message: events.MembersChanged) -> None:
        """Applies a change of the live daemons.

        Args:
            message: The live daemons.
        """
        self._keyed_router.on_members_changed(message)
        self.service_table.set_daemons(
            [
                addresses.DaemonLocation(
                    daemon_id, message.data_centres[daemon_id]
                )
                for daemon_id in message.live
            ]
        )

    def on_freshness_changed(self, message: events.FreshnessChanged) -> None:
        """Records whether the document can be assumed to be current.

        Args:
            message: Whether the document is fresh.
        """
        self._is_fresh = message.is_fresh

    def on_claim_ended(self, message: messages.ClaimEnded) -> None:
        """Starts, forwards or ends a request after the claim of its key.

        Args:
            message: The result of the claim.
        """
        active = self._active_requests.get(message.dispatch_id)
        if active is None or active.is_ended:
            return
        self._run_step(
            active,
            lambda request: self._keyed_router.on_claim_ended(request, message),
        )

    def on_forward_ended(self, message: messages.ForwardEnded) -> None:
        """Ends a forwarded request with the outcome from its key's home.

        Args:
            message: The outcome.
        """
        active = self._active_requests.get(message.dispatch_id)
        if active is not None:
            self._end_request(active, message.outcome)

    def on_record_table_adopted(
        self, message: events.RecordTableAdopted
    ) -> None:
        """Takes over the records of a home that stopped.

        Args:
            message: The home's records.
        """
        self._keyed_router.record_tables.adopt(message.record_table)

    def on_freeze_began(self, message: events.FreezeBegan) -> None:
        """Defers new keyed requests until the records are handed off.

        Args:
            message: Holds the future that receives the records.
        """
        self._keyed_router.on_freeze_began(message)

    def on_hand_off_ended(self, message: events.HandOffEnded) -> None:
        """Forwards the deferred keyed requests to the successor.

        Args:
            message: The successor, if there is one.
        """
        self._keyed_router.on_hand_off_ended(message)

    def on_tick(self, message: messages.Tick) -> None:
        """Ends requests past their deadline and sends hedges that are due.

        Args:
            message: Signals that a due time was reached.
        """
        now_s = self._clock.now_s()
        for active in self._timers.pop_due(now_s):
            if active.is_ended:
                continue
            if now_s >= active.deadline_s:
                self._time_out(active)
            elif active.is_hedge_due:
                self._attempt_sender.hedge(active)

    def _handler_table(
        self,
    ) -> dict[type, typing.Callable[[typing.Any], None]]:
        return {
            messages.RequestArrived: self.on_request_arrived,
            messages.CallerDisconnected: self.on_caller_disconnected,
            messages.AttemptEnded: self.on_attempt_ended,
            messages.ResponseChunk: self.on_response_chunk,
            messages.ResponseEnded: self.on_response_ended,
            messages.ClaimEnded: self.on_claim_ended,
            messages.ForwardEnded: self.on_forward_ended,
            messages.Tick: self.on_tick,
            events.DocumentChanged: self.on_document_changed,
            events.VmsChanged: self.on_vms_changed,
            events.LedgerChanged: self.on_ledger_changed,
            events.MembersChanged: self.on_members_changed,
            events.FreshnessChanged: self.on_freshness_changed,
            events.RecordTableAdopted: self.on_record_table_adopted,
            events.FreezeBegan: self.on_freeze_began,
            events.HandOffEnded: self.on_hand_off_ended,
        }

    def _run_step(
        self,
        active: _active_request.ActiveRequest,
        step: typing.Callable[[_active_request.ActiveRequest], None],
    ) -> None:
        """Runs a step of a request and ends the request if the step raises."""
        try:
            step(active)
        except errors.DotterelpathError as error:
            self._end_request(
                active, exchange.Outcome(error.code, error.detail)
            )

    def _dispatch_keyed(self, active: _active_request.ActiveRequest) -> None:
        try:
            route, _ = self.service_table.find_route(active.request)
            active.set_deadline(route.timeout_s)
        except errors.DotterelpathError:
            # Not fatal here: the key's home may know the route, or may
            # have a record of the request.
            pass
        self._keyed_router.dispatch(active)

    def _start(self, active: _active_request.ActiveRequest) -> None:
        if not self._is_fresh:
            raise errors.DotterelpathError(errors.ResultCode.DAEMON_STALE)
        if len(self._active_requests) > MAX_ACTIVE_REQUESTS:
            raise errors.DotterelpathError(errors.ResultCode.OVERLOADED)
        self._attempt_sender.start(active)

    def _time_out(self, active: _active_request.ActiveRequest) -> None:
        if active.service_state is not None:
            self._attempt_sender.time_out(active)
            return
        # The request waits for its home, a claim or the request that it
        # joined, any of which may run it.
        code = errors.ResultCode.HOME_UNREACHABLE
        detail = "no outcome before the deadline"
        self._end_request(active, exchange.Outcome(code, detail))

    def _end_request(
        self, active: _active_request.ActiveRequest, outcome: exchange.Outcome
    ) -> None:
        """Records an outcome and sends it to all receivers."""
        if active.is_ended:
            return
        active.is_ended = True
        if active.holds_workspace_slot:
            self.service_table.workspaces.release(active.request.workspace)
        self._keyed_router.finish(active, outcome)
        if active.reply_to is not None:
            active.reply_to.inbox.force(
                messages.RequestEnded(active.reply_to.token, outcome)
            )
        if outcome.stream_id is None:
            self._remove(active)
        for joined in active.joined:
            self._end_request(joined, _responses.outcome_for_joined(outcome))
        self._report_end(active, outcome)

    def _remove(self, active: _active_request.ActiveRequest) -> None:
        self._active_requests.pop(active.id, None)
        if active.reply_to is not None:
            self._by_reply_to.pop(active.reply_to, None)

    def _report_end(
        self, active: _active_request.ActiveRequest, outcome: exchange.Outcome
    ) -> None:
        duration_s = self._clock.now_s() - active.arrived_s
        route = active.route
        service = route.service if route else ""
        self._metrics.record_request(
            service,
            route.traffic_class.value if route else "",
            active.request.workspace,
            outcome.code,
            duration_s,
            max(0.0, duration_s - active.backend_duration_s),
        )
        log = _log.debug if outcome.is_answered else _log.info
        log(
            "request ended",
            request_id=active.request.request_id,
            service=service,
            workspace=active.request.workspace,
            code=int(outcome.code),
            instance=outcome.instance,
            took_ms=round(duration_s * 1000.0, 3),
            detail=outcome.detail,
        )
