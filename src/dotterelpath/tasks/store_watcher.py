"""The task that watches the store for new heads and ledgers."""

from __future__ import annotations

import asyncio
import random
import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import hashing
from dotterelpath.domain import store_position
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import document_codec as codec_port
from dotterelpath.ports import store as store_port
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox

PREFIX = "fleet/"
HEAD_KEY = "fleet/head"
LEDGER_PREFIX = "fleet/ledger/"
# How long the store may hold a watch call, in seconds.
WAIT_S = 2.0
# The mean time between two reads of a daemon that does not watch, in seconds.
POLL_INTERVAL_S = 30.0
# The first and the longest pause after a failed call, in seconds.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 2.0

_log = structlog.get_logger()


class StoreWatcher:
    """Watches the store and publishes its changes to other tasks.

    Each watch call is short, so that an unresponsive store is noticed and
    the daemon knows when the store last responded. In a large fleet only
    some daemons, chosen by rendezvous hashing, watch the store, so that its
    load does not grow with the fleet. The others learn of changes from peers
    and poll the store at long intervals.
    """

    __slots__ = (
        "_clock",
        "_codec",
        "_document_loader",
        "_gossip",
        "_is_watching",
        "_ledger_subscribers",
        "_mailbox",
        "_own_id",
        "_position",
        "_store",
        "_watcher_count",
    )

    def __init__(
        self,
        own_id: str,
        watcher_count: int,
        store: store_port.Store,
        codec: codec_port.DocumentCodec,
        clock: clock_port.Clock,
        inbox: mailbox.Mailbox[typing.Any],
        document_loader: mailbox.Mailbox[typing.Any],
        gossip: mailbox.Mailbox[typing.Any],
        ledger_subscribers: tuple[mailbox.Mailbox[typing.Any], ...],
    ) -> None:
        """Creates the task's state.

        Args:
            own_id: This daemon's id.
            watcher_count: The number of daemons that watch the store.
            store: The store of the document and the ledgers.
            codec: Decodes heads and ledgers.
            clock: The clock of store responses.
            inbox: This task's mailbox, which gets the live daemons.
            document_loader: The mailbox that gets heads.
            gossip: The mailbox that gets the times of store responses.
            ledger_subscribers: The mailboxes that get ledgers.
        """
        self._own_id = own_id
        self._watcher_count = watcher_count
        self._mailbox = inbox
        self._is_watching = True
        self._store = store
        self._codec = codec
        self._clock = clock
        self._document_loader = document_loader
        self._gossip = gossip
        self._ledger_subscribers = ledger_subscribers
        self._position = store_position.NOTHING

    async def run(self) -> None:
        """Watches or polls the store until cancelled."""
        retry_s = MIN_RETRY_S
        while True:
            while (message := self._mailbox.poll()) is not None:
                self._handle(message)
            if not self._is_watching:
                await self._wait_for_poll()
            try:
                wait_s = WAIT_S if self._is_watching else 0.0
                changes = await self._store.watch(
                    PREFIX, self._position, wait_s
                )
            except errors.StoreError as error:
                _log.debug("store watch failed", error=str(error))
                # Jitter keeps the daemons from retrying all at once.
                await asyncio.sleep(retry_s * random.uniform(0.5, 1.5))
                retry_s = min(MAX_RETRY_S, retry_s * 2.0)
                continue
            retry_s = MIN_RETRY_S
            self._gossip.force(events.StoreResponded(self._clock.now_s()))
            self._apply_changes(changes)

    def on_members_changed(self, message: events.MembersChanged) -> None:
        """Updates whether this daemon watches the store or polls it.

        Args:
            message: The live daemons.
        """
        self._store.set_daemon_count(len(message.live))
        ranked = hashing.ranked("store watch", message.live)
        is_chosen = self._own_id in ranked[: self._watcher_count]
        # A daemon that is missing from the live daemons has no rank, so it
        # watches the store itself.
        self._is_watching = is_chosen or self._own_id not in ranked

    def _handle(self, message: typing.Any) -> None:
        if isinstance(message, events.MembersChanged):
            self.on_members_changed(message)

    async def _wait_for_poll(self) -> None:
        """Waits until the next poll is due or the daemon is to watch."""
        try:
            async with asyncio.timeout(
                POLL_INTERVAL_S * random.uniform(0.5, 1.5)
            ):
                while not self._is_watching:
                    self._handle(await self._mailbox.receive())
        except TimeoutError:
            return

    def _apply_changes(self, changes: store_port.Changes) -> None:
        if changes.position < self._position:
            _log.warning(
                "store revision is older than known",
                revision=changes.position.revision,
                known=self._position.revision,
            )
            return
        for entry in changes.entries:
            self._apply_entry(entry)
        self._position = changes.position

    def _apply_entry(self, entry: store_port.VersionedValue) -> None:
        try:
            if entry.key == HEAD_KEY and entry.value is not None:
                head = self._codec.decode_head(entry.value)
                self._document_loader.force(events.HeadReceived(head))
            elif entry.key.startswith(LEDGER_PREFIX):
                service = entry.key[len(LEDGER_PREFIX) :]
                ledger = self._codec.decode_ledger(
                    service, entry.value or "{}", entry.revision
                )
                for subscriber in self._ledger_subscribers:
                    subscriber.force(events.LedgerChanged(ledger))
        except ValueError as error:
            _log.error("invalid value in the store", key=entry.key, error=error)
