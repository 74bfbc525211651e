"""The task that agrees ejections for the services it stewards."""

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

ROUND_S = 0.25
REPORT_EVERY_S = 2.0

_log = structlog.get_logger()


class Steward:
    """Reports this daemon's sick instances and decides on others' reports.

    The steward of a service is found by rendezvous hashing over the live
    daemons. Two daemons that both take themselves for it do no harm, since
    the compare-and-swap in the store lets only one change through.
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
        "_readers",
        "_reports",
        "_store",
        "_table",
        "_to_report",
    )

    def __init__(
        self,
        own_id: str,
        store: store_port.Store,
        peers: peers_port.Peers,
        codec: codec_port.DocumentCodec,
        clock: clock_port.Clock,
        inbox: mailbox.Mailbox[typing.Any],
        readers: tuple[mailbox.Mailbox[typing.Any], ...],
    ) -> None:
        """Creates the task's state.

        Args:
            own_id: This daemon's id.
            store: The store.
            peers: The other daemons.
            codec: Writes ledgers.
            clock: Tells the time.
            inbox: This task's mailbox.
            readers: Get the ledgers that this task changed.
        """
        self._own_id = own_id
        self._store = store
        self._peers = peers
        self._codec = codec
        self._clock = clock
        self._mailbox = inbox
        self._readers = readers
        self._document: document.Document | None = None
        self._ledgers: dict[str, ledger.Ledger] = {}
        self._table = vms.EMPTY_TABLE
        self._live: list[str] = []
        self._data_centres: dict[str, str] = {}
        self._own_scores: dict[str, dict[str, float]] = {}
        self._to_report: set[str] = set()
        self._reports: dict[str, ledger.SuspicionReports] = {}
        self._next_report_s = 0.0

    @property
    def ledgers(self) -> dict[str, ledger.Ledger]:
        """The ledgers by service, for reports on the daemon's state."""
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
        """Sends reports that are due and decides on each own service."""
        now_s = self._clock.now_s()
        if now_s >= self._next_report_s:
            self._next_report_s = now_s + REPORT_EVERY_S
            self._to_report.update(self._own_scores)
        for service in list(self._to_report):
            await self._report(service)
        self._to_report.clear()
        for service in self._to_decide():
            await self._decide(service)

    def on_suspicions_changed(self, message: events.SuspicionsChanged) -> None:
        """Notes what this daemon suspects, to be reported next round.

        Args:
            message: The service and its suspects.
        """
        self._own_scores[message.service] = message.scores
        self._to_report.add(message.service)

    def on_reports_arrived(self, message: events.ReportsArrived) -> None:
        """Takes in a daemon's reports on a service.

        Args:
            message: All that it suspects.
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
        """Takes in a ledger from the store, never an older one.

        Args:
            message: The ledger.
        """
        newer = message.ledger
        known = self._ledgers.get(newer.service)
        if known is None or newer.revision > known.revision:
            self._ledgers[newer.service] = newer

    def on_vms_changed(self, message: events.VmsChanged) -> None:
        """Takes in the platform's list.

        Args:
            message: The list.
        """
        self._table = message.table

    def _handle(self, message: typing.Any) -> None:
        if isinstance(message, events.SuspicionsChanged):
            self.on_suspicions_changed(message)
        elif isinstance(message, events.ReportsArrived):
            self.on_reports_arrived(message)
        elif isinstance(message, events.LedgerChanged):
            self.on_ledger_changed(message)
        elif isinstance(message, events.VmsChanged):
            self.on_vms_changed(message)
        elif isinstance(message, events.MembersChanged):
            self._live = message.live
            self._data_centres = message.data_centres
        elif isinstance(message, events.DocumentChanged):
            self._document = message.document

    def _steward_of(self, service: str) -> str | None:
        return hashing.winner(f"steward/{service}", self._live)

    def _to_decide(self) -> list[str]:
        candidates = set(self._reports)
        candidates.update(
            s for s, held in self._ledgers.items() if held.entries
        )
        return [s for s in candidates if self._steward_of(s) == self._own_id]

    async def _report(self, service: str) -> None:
        scores = self._own_scores[service]
        if not scores:
            del self._own_scores[service]
        steward = self._steward_of(service)
        if steward == self._own_id:
            self.on_reports_arrived(
                events.ReportsArrived(
                    service,
                    self._own_id,
                    self._data_centres.get(self._own_id, ""),
                    scores,
                )
            )
            return
        vm = self._table.listed.get(steward or "")
        if vm is None:
            return
        try:
            await self._peers.report(vm, service, scores)
        except (
            peers_port.PeerUnreachableError,
            peers_port.PeerNoResponseError,
        ) as error:
            _log.info("report not delivered", steward=vm.id, error=str(error))

    async def _decide(self, service: str) -> None:
        declared = (
            self._document.services.get(service) if self._document else None
        )
        if declared is None:
            return
        reports = self._reports.setdefault(service, ledger.SuspicionReports())
        confirmed = reports.confirmed_unhealthy(
            self._clock.now_s(),
            len(self._live),
            len({self._data_centres.get(m, "") for m in self._live}),
            declared.ejection_policy,
        )
        current = self._ledgers.get(service, ledger.Ledger(service))
        newer = ledger.next_ledger(
            current,
            ledger.available_instances(self._table.by_service.get(service, ())),
            declared.floor,
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
            # The watch shows whether the change took effect.
            _log.warning("ledger answer lost", error=str(error))
            return
        if revision is None:
            _log.info("ledger changed elsewhere", service=newer.service)
            return
        newer.revision = revision
        self._ledgers[newer.service] = newer
        for reader in self._readers:
            reader.force(events.LedgerChanged(newer))
        _log.warning(
            "ejections changed",
            service=newer.service,
            ejected=newer.ejected,
            trial=newer.trial,
        )
