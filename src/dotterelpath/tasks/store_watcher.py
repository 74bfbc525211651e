"""The task that watches the store for heads and ledgers."""

from __future__ import annotations

import asyncio
import random
import typing

import structlog

from dotterelpath import errors
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import codec as codec_port
from dotterelpath.ports import store as store_port
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox

PREFIX = "fleet/"
HEAD_KEY = "fleet/head"
LEDGER_PREFIX = "fleet/ledger/"
WAIT_S = 2.0
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 2.0

_log = structlog.get_logger()


class StoreWatcher:
    """Waits for changes in the store and passes them on.

    Each wait is short, so that a watch that went silent is noticed and the
    daemon knows how lately it heard the store.
    """

    __slots__ = (
        "_clock",
        "_codec",
        "_gossip",
        "_keeper",
        "_ledger_readers",
        "_revision",
        "_store",
    )

    def __init__(
        self,
        store: store_port.Store,
        codec: codec_port.Codec,
        clock: clock_port.Clock,
        keeper: mailbox.Mailbox[typing.Any],
        gossip: mailbox.Mailbox[typing.Any],
        ledger_readers: tuple[mailbox.Mailbox[typing.Any], ...],
    ) -> None:
        """Creates the task's state.

        Args:
            store: The store.
            codec: Reads heads and ledgers.
            clock: Tells the time.
            keeper: Gets heads.
            gossip: Hears when the store answered.
            ledger_readers: Get ledgers.
        """
        self._store = store
        self._codec = codec
        self._clock = clock
        self._keeper = keeper
        self._gossip = gossip
        self._ledger_readers = ledger_readers
        self._revision = 0

    async def run(self) -> None:
        """Watches until cancelled."""
        retry_s = FIRST_RETRY_S
        while True:
            try:
                changes = await self._store.watch(
                    PREFIX, self._revision, WAIT_S
                )
            except errors.StoreError as error:
                _log.debug("store watch failed", error=str(error))
                # Jitter keeps the daemons from returning all at once.
                await asyncio.sleep(retry_s * random.uniform(0.5, 1.5))
                retry_s = min(MAX_RETRY_S, retry_s * 2.0)
                continue
            retry_s = FIRST_RETRY_S
            self._gossip.force(events.StoreHeard(self._clock.now_s()))
            self._on_changes(changes)

    def _on_changes(self, changes: store_port.Changes) -> None:
        if changes.revision < self._revision:
            _log.warning(
                "store went back",
                revision=changes.revision,
                known=self._revision,
            )
            return
        for entry in changes.entries:
            self._on_entry(entry)
        self._revision = changes.revision

    def _on_entry(self, entry: store_port.Versioned) -> None:
        try:
            if entry.key == HEAD_KEY and entry.value is not None:
                head = self._codec.decode_head(entry.value)
                self._keeper.force(events.HeadSeen(head))
            elif entry.key.startswith(LEDGER_PREFIX):
                service = entry.key[len(LEDGER_PREFIX) :]
                ledger = self._codec.decode_ledger(
                    service, entry.value or "{}", entry.revision
                )
                for reader in self._ledger_readers:
                    reader.force(events.LedgerChanged(ledger))
        except ValueError as error:
            _log.error("invalid value in the store", key=entry.key, error=error)
