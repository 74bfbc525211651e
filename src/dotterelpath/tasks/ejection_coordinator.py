"""The task that coordinates the ejection of unhealthy instances."""

from __future__ import annotations

import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import document
from dotterelpath.domain import hashing
from dotterelpath.domain import ledger
from dotterelpath.domain import vms
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import document_codec as codec_port
from dotterelpath.ports import peers as peers_port
from dotterelpath.ports import store as store_port
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import store_watcher

# The time between two rounds of decisions, in seconds.
ROUND_INTERVAL_S = 0.25
# How often unchanged suspicion scores are reported again, in seconds.
REPORT_INTERVAL_S = 2.0

_log = structlog.get_logger()


class EjectionCoordinator:
    """Reports suspicion scores, and ejects instances on such reports.

    Each service has one coordinator, which is chosen by rendezvous hashing
    over the live daemons. Each daemon reports its suspicion scores to the
    coordinator. The coordinator changes the service's ledger, which lists the
    instances that are ejected or on trial. If two daemons act as coordinator
    at the same time, the compare-and-swap in the store accepts only one of
    their changes.
    """

    __slots__ = (
        "_clock",
        "_codec",
        "_data_centres",
        "_document",
        "_ledgers",
        "_live",
        "_mailbox",
        "_next_report_s",
        "_own_id",
        "_own_scores",
        "_peers",
        "_reports",
        "_services_to_report",
        "_store",
        "_subscribers",
        "_vm_table",
    )

    def __init__(
        self,
        own_id: str,
        store: store_port.Store,
        peers: peers_port.Peers,
        codec: codec_port.DocumentCodec,
        clock: clock_port.Clock,
        inbox: mailbox.Mailbox[typing.Any],
        subscribers: tuple[mailbox.Mailbox[typing.Any], ...],
    ) -> None:
        """Creates the task's state.

        Args:
            own_id: This daemon's id.
            store: The store of the ledgers.
            peers: The client for other daemons.
            codec: Encodes ledgers.
            clock: The clock of reports and ejections.
            inbox: This task's mailbox.
            subscribers: The mailboxes that get each ledger that this task
                changed.
        """
        self._own_id = own_id
        self._store = store
        self._peers = peers
        self._codec = codec
        self._clock = clock
        self._mailbox = inbox
        self._subscribers = subscribers
        self._document: document.Document | None = None
        self._ledgers: dict[str, ledger.Ledger] = {}
        self._vm_table = vms.EMPTY_TABLE
        self._live: list[str] = []
        self._data_centres: dict[str, str] = {}
        self._own_scores: dict[str, dict[str, float]] = {}
        self._services_to_report: set[str] = set()
        self._reports: dict[str, ledger.SuspicionReports] = {}
        self._next_report_s = 0.0

    @property
    def ledgers(self) -> dict[str, ledger.Ledger]:
        """The ledgers by service, for status pages."""
        return self._ledgers

    async def run(self) -> None:
        """Handles messages until cancelled."""
        while True:
            message = await self._mailbox.receive()
            if isinstance(message, events.RoundDue):
                await self.on_round_due()
            else:
                self._handle(message)

    async def on_round_due(self) -> None:
        """Sends the reports that are due and updates the ledgers.

        Only ledgers of services that this daemon coordinates are updated.
        """
        now_s = self._clock.now_s()
        if now_s >= self._next_report_s:
            self._next_report_s = now_s + REPORT_INTERVAL_S
            self._services_to_report.update(self._own_scores)
        for service in list(self._services_to_report):
            await self._report(service)
        self._services_to_report.clear()
        for service in self._services_to_decide():
            await self._decide(service)

    def on_suspicion_scores_changed(
        self, message: events.SuspicionScoresChanged
    ) -> None:
        """Records this daemon's suspicion scores for the next report.

        Args:
            message: The service and its scores.
        """
        self._own_scores[message.service] = message.scores
        self._services_to_report.add(message.service)

    def on_suspicion_report_received(
        self, message: events.SuspicionReportReceived
    ) -> None:
        """Records a daemon's report on a service.

        Args:
            message: The report, which replaces the daemon's earlier ones.
        """
        reports = self._reports.setdefault(
            message.service, ledger.SuspicionReports()
        )
        reports.update(
            message.daemon_id,
            message.data_centre,
            message.scores,
            self._clock.now_s(),
        )

    def on_ledger_changed(self, message: events.LedgerChanged) -> None:
        """Applies a ledger from the store if its revision is newer.

        Args:
            message: The ledger.
        """
        newer = message.ledger
        current = self._ledgers.get(newer.service)
        if current is None or newer.revision > current.revision:
            self._ledgers[newer.service] = newer

    def on_vms_changed(self, message: events.VmsChanged) -> None:
        """Applies a change of the VM list.

        Args:
            message: The new list.
        """
        self._vm_table = message.table

    def _handle(self, message: typing.Any) -> None:
        if isinstance(message, events.SuspicionScoresChanged):
            self.on_suspicion_scores_changed(message)
        elif isinstance(message, events.SuspicionReportReceived):
            self.on_suspicion_report_received(message)
        elif isinstance(message, events.LedgerChanged):
            self.on_ledger_changed(message)
        elif isinstance(message, events.VmsChanged):
            self.on_vms_changed(message)
        elif isinstance(message, events.MembersChanged):
            self._live = message.live
            self._data_centres = message.data_centres
        elif isinstance(message, events.DocumentChanged):
            self._document = message.document

    def _coordinator_of(self, service: str) -> str | None:
        return hashing.winner(f"steward/{service}", self._live)

    def _services_to_decide(self) -> list[str]:
        candidates = set(self._reports)
        candidates.update(
            s for s, held in self._ledgers.items() if held.entries
        )
        return [
            s for s in candidates if self._coordinator_of(s) == self._own_id
        ]

    async def _report(self, service: str) -> None:
        scores = self._own_scores[service]
        if not scores:
            # Reported once more, to clear the earlier report, and not again.
            del self._own_scores[service]
        coordinator = self._coordinator_of(service)
        if coordinator == self._own_id:
            self.on_suspicion_report_received(
                events.SuspicionReportReceived(
                    service,
                    self._own_id,
                    self._data_centres.get(self._own_id, ""),
                    scores,
                )
            )
            return
        vm = self._vm_table.by_id.get(coordinator or "")
        if vm is None:
            return
        try:
            await self._peers.report(vm, service, scores)
        except (
            peers_port.PeerUnreachableError,
            peers_port.PeerNoResponseError,
        ) as error:
            _log.info(
                "suspicion report not delivered",
                steward=vm.id,
                error=str(error),
            )

    async def _decide(self, service: str) -> None:
        service_config = (
            self._document.services.get(service) if self._document else None
        )
        if service_config is None:
            return
        reports = self._reports.setdefault(service, ledger.SuspicionReports())
        confirmed = reports.confirmed_unhealthy(
            self._clock.now_s(),
            len(self._live),
            len({self._data_centres.get(m, "") for m in self._live}),
            service_config.ejection_policy,
        )
        current = self._ledgers.get(service, ledger.Ledger(service))
        newer = ledger.next_ledger(
            current,
            ledger.available_instances(
                self._vm_table.by_service.get(service, ())
            ),
            service_config.floor,
            confirmed,
            self._clock.wall_s(),
        )
        if newer is not None:
            await self._save(newer)
            for instance in newer.ejected:
                reports.clear(instance)

    async def _save(self, newer: ledger.Ledger) -> None:
        key = store_watcher.LEDGER_PREFIX + newer.service
        text = self._codec.encode_ledger(newer)
        try:
            revision = await self._store.swap(key, text, newer.revision)
        except errors.StoreError as error:
            _log.warning("ledger not saved", error=str(error))
            return
        except errors.UnknownOutcomeError as error:
            # The store watcher delivers the ledger if the change was applied.
            _log.warning("ledger may not be saved", error=str(error))
            return
        if revision is None:
            _log.info(
                "ledger not saved: revision is outdated", service=newer.service
            )
            return
        newer.revision = revision
        self._ledgers[newer.service] = newer
        for subscriber in self._subscribers:
            subscriber.force(events.LedgerChanged(newer))
        _log.warning(
            "ejections changed",
            service=newer.service,
            ejected=newer.ejected,
            trial=newer.trial,
        )
