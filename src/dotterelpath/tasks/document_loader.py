"""The task that loads newer versions of the document."""

from __future__ import annotations

import random
import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import document
from dotterelpath.domain import edits
from dotterelpath.domain import vms
from dotterelpath.ports import document_codec as codec_port
from dotterelpath.ports import peers as peers_port
from dotterelpath.ports import store as store_port
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox

BLOB_PREFIX = "blobs/"
# How often a failed fetch is retried, in seconds.
RETRY_INTERVAL_S = 0.5
# The number of random peers that are asked for a text.
MAX_PEERS_ASKED = 3

_log = structlog.get_logger()


class DocumentLoader:
    """Fetches the sections of a head and applies the document.

    A head of a lower version than the current one is never applied. The
    texts of the sections come from the store or from any peer, and are
    verified by their digests.
    """

    __slots__ = (
        "_codec",
        "_entry_vms",
        "_head",
        "_mailbox",
        "_own_id",
        "_peers",
        "_pending_head",
        "_sections",
        "_store",
        "_subscribers",
        "_texts",
    )

    def __init__(
        self,
        own_id: str,
        store: store_port.Store,
        peers: peers_port.Peers,
        codec: codec_port.DocumentCodec,
        inbox: mailbox.Mailbox[typing.Any],
        subscribers: tuple[mailbox.Mailbox[typing.Any], ...],
    ) -> None:
        """Creates the task's state.

        Args:
            own_id: This daemon's id.
            store: The store of the document.
            peers: The client for other daemons.
            codec: Parses sections.
            inbox: This task's mailbox.
            subscribers: The mailboxes that get changes of the document, and
                ledgers fetched from peers.
        """
        self._own_id = own_id
        self._store = store
        self._peers = peers
        self._codec = codec
        self._mailbox = inbox
        self._subscribers = subscribers
        self._head: document.Head | None = None
        self._texts: dict[str, str] = {}
        self._sections: dict[tuple[str, str], document.Section] = {}
        self._pending_head: document.Head | None = None
        self._entry_vms: list[vms.Vm] = []

    @property
    def head(self) -> document.Head | None:
        """The head of the current document."""
        return self._head

    @property
    def texts(self) -> dict[str, str]:
        """The texts of the current sections, by digest."""
        return self._texts

    async def run(self) -> None:
        """Handles messages until cancelled."""
        while True:
            message = await self._mailbox.receive()
            if isinstance(message, events.HeadReceived):
                await self.on_head_received(message)
            elif isinstance(message, events.PeerAhead):
                await self.on_peer_ahead(message)
            elif isinstance(message, events.VmsChanged):
                self._entry_vms = message.table.entry_vms
            elif isinstance(message, events.RoundDue):
                await self.on_round_due()

    async def on_head_received(self, message: events.HeadReceived) -> None:
        """Applies a head if it is newer than the current one.

        Args:
            message: The head and its source.
        """
        head = message.head
        if self._head is not None and head.version <= self._head.version:
            return
        if (
            self._pending_head is None
            or head.version > self._pending_head.version
        ):
            self._pending_head = head
        await self._apply(head, message.source)

    async def on_peer_ahead(self, message: events.PeerAhead) -> None:
        """Fetches a newer head, and all ledgers, from a peer.

        Args:
            message: The peer.
        """
        try:
            snapshot = await self._peers.snapshot(message.vm)
        except (
            peers_port.PeerUnreachableError,
            peers_port.PeerNoResponseError,
        ) as error:
            _log.info(
                "snapshot not fetched", peer=message.vm.id, error=str(error)
            )
            return
        for ledger in snapshot.ledgers:
            for subscriber in self._subscribers:
                subscriber.force(events.LedgerChanged(ledger))
        if snapshot.head is not None:
            await self.on_head_received(
                events.HeadReceived(snapshot.head, message.vm)
            )

    async def on_round_due(self) -> None:
        """Retries the newest head whose sections could not be fetched."""
        if self._pending_head is not None:
            await self._apply(self._pending_head, None)

    async def _apply(self, head: document.Head, source: vms.Vm | None) -> None:
        texts = {}
        for name, digest in head.digests.items():
            text = await self._fetch_text(digest, source)
            if text is None:
                _log.warning("section not found", section=name, digest=digest)
                return
            texts[digest] = text
        try:
            sections = self._parse(head, texts)
        except errors.DotterelpathError as error:
            # A document that this release cannot parse must not be applied
            # in part. The daemon keeps the current one and so continues to
            # be reported as outdated.
            _log.error("document cannot be applied", error=str(error))
            return
        self._head = head
        self._texts = texts
        self._pending_head = None
        new_document = document.Document(head.version, tuple(sections))
        for subscriber in self._subscribers:
            subscriber.force(events.DocumentChanged(new_document))
        _log.info("document applied", version=head.version)

    def _parse(
        self, head: document.Head, texts: dict[str, str]
    ) -> list[document.Section]:
        parsed = {}
        for name, digest in sorted(head.digests.items()):
            cached = self._sections.get((name, digest))
            if cached is None:
                cached = self._codec.parse_section(name, texts[digest])
            parsed[(name, digest)] = cached
        self._sections = parsed
        return list(parsed.values())

    async def _fetch_text(
        self, digest: str, source: vms.Vm | None
    ) -> str | None:
        cached = self._texts.get(digest)
        if cached is not None:
            return cached
        if source is None:
            try:
                found = await self._store.get(BLOB_PREFIX + digest)
                if found.value and edits.digest(found.value) == digest:
                    return found.value
            except errors.StoreError as error:
                _log.info(
                    "text not fetched from the store",
                    digest=digest,
                    error=str(error),
                )
        return await self._fetch_text_from_peers(digest, source)

    async def _fetch_text_from_peers(
        self, digest: str, source: vms.Vm | None
    ) -> str | None:
        peers = [vm for vm in self._entry_vms if vm.id != self._own_id]
        sampled = random.sample(peers, min(MAX_PEERS_ASKED, len(peers)))
        for vm in [source, *sampled] if source else sampled:
            try:
                text = await self._peers.blob(vm, digest)
            except (
                peers_port.PeerUnreachableError,
                peers_port.PeerNoResponseError,
            ):
                continue
            if text is not None and edits.digest(text) == digest:
                return text
        return None
