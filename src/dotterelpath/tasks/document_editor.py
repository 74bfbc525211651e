"""The task that saves edits of the document to the store."""

from __future__ import annotations

import asyncio
import random
import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import document
from dotterelpath.domain import edits
from dotterelpath.ports import document_codec as codec_port
from dotterelpath.ports import store as store_port
from dotterelpath.tasks import document_loader
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import store_watcher

# The most compare-and-swap attempts for one edit.
MAX_SWAP_ATTEMPTS = 40
# The longest pause between two attempts, in seconds.
MAX_PAUSE_S = 0.02
EMPTY_HEAD = document.Head(0, {})

_log = structlog.get_logger()


class EditRequested:
    """An operator requested an edit and waits for its result."""

    __slots__ = (
        "base_digest",
        "edit_id",
        "reply",
        "section",
        "text",
        "token",
    )

    def __init__(
        self,
        section: str,
        text: str | None,
        base_digest: str | None,
        edit_id: str,
        token: str,
        reply: asyncio.Future[document.Head],
    ) -> None:
        """Creates the message.

        Args:
            section: The name of the section.
            text: The new text; None removes the section.
            base_digest: The digest of the text that the edit is based on;
                None for a new section.
            edit_id: Identifies the edit, so that a repeated request does
                not apply it twice.
            token: The operator's token.
            reply: The future that receives the head with the edit, or the
                error.
        """
        self.reply = reply
        self.section = section
        self.text = text
        self.base_digest = base_digest
        self.edit_id = edit_id
        self.token = token


class DocumentEditor:
    """Checks edits against the newest document in the store and saves them.

    An edit is saved by a compare-and-swap of the document's head. A daemon
    saves its edits one after another, so that they do not compete with each
    other.
    """

    __slots__ = (
        "_codec",
        "_document_loader_inbox",
        "_mailbox",
        "_store",
        "_texts",
    )

    def __init__(
        self,
        store: store_port.Store,
        codec: codec_port.DocumentCodec,
        inbox: mailbox.Mailbox[EditRequested],
        document_loader_inbox: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates the task's state.

        Args:
            store: The store of the document.
            codec: Parses sections, and decodes and encodes heads.
            inbox: This task's mailbox.
            document_loader_inbox: The mailbox that gets each saved head, so
                that this daemon applies it at once.
        """
        self._mailbox = inbox
        self._store = store
        self._codec = codec
        self._document_loader_inbox = document_loader_inbox
        self._texts: dict[str, str] = {}

    async def run(self) -> None:
        """Handles messages until cancelled."""
        while True:
            await self.on_edit_requested(await self._mailbox.receive())

    async def on_edit_requested(self, message: EditRequested) -> None:
        """Saves an edit and sets the result of its future.

        Args:
            message: The edit.
        """
        try:
            head = await self._save(message)
        except errors.DotterelpathError as error:
            if not message.reply.done():
                message.reply.set_exception(error)
            return
        if not message.reply.done():
            message.reply.set_result(head)

    async def _save(self, request: EditRequested) -> document.Head:
        may_have_applied = False
        for _ in range(MAX_SWAP_ATTEMPTS):
            try:
                head, revision = await self._read_head()
                if request.edit_id in head.recent_edits:
                    return self._publish_head(head)
                newer = await self._apply_edit(head, request)
                text = self._codec.encode_head(newer)
                found = await self._store.swap(
                    store_watcher.HEAD_KEY, text, revision
                )
            except errors.UnknownOutcomeError as error:
                # Reading the head again shows whether the edit was applied.
                # A swap at the same revision can be applied only once.
                _log.warning("edit may not be saved", error=str(error))
                may_have_applied = True
                continue
            except errors.StoreError as error:
                raise _save_error(request, may_have_applied, error) from error
            if found is not None:
                return self._publish_head(newer)
            # A random pause keeps one daemon from losing every time.
            await asyncio.sleep(random.uniform(0.0, MAX_PAUSE_S))
        raise _save_error(
            request,
            may_have_applied,
            f"no swap succeeded in {MAX_SWAP_ATTEMPTS} attempts",
        )

    async def _read_head(self) -> tuple[document.Head, int]:
        found = await self._store.get(store_watcher.HEAD_KEY)
        if found.value is None:
            return EMPTY_HEAD, 0
        return self._codec.decode_head(found.value), found.revision

    async def _apply_edit(
        self, head: document.Head, request: EditRequested
    ) -> document.Head:
        """Checks an edit, saves its text and returns the new head."""
        sections = await self._load_sections(head)
        current = sections.get(request.section)
        if current is not None:
            edits.check_owner(current, request.token)
        digest = None
        if request.text is None:
            if current is None:
                raise errors.DotterelpathError(errors.ResultCode.NO_SECTION)
            del sections[request.section]
        else:
            digest = edits.digest(request.text)
            edited = self._codec.parse_section(request.section, request.text)
            if current is None:
                edits.check_owner(edited, request.token)
            sections[request.section] = edited
        edit = edits.Edit(
            request.section, request.base_digest, digest, request.edit_id
        )
        newer = edits.apply(head, edit)
        edits.check_rules([sections[name] for name in sorted(sections)])
        if digest is not None and request.text is not None:
            await self._save_text(digest, request.text)
        return newer

    async def _save_text(self, digest: str, text: str) -> None:
        key = document_loader.BLOB_PREFIX + digest
        try:
            await self._store.create(key, text)
        except errors.UnknownOutcomeError:
            # Creating a text again is harmless: its key is its digest.
            await self._store.create(key, text)

    async def _load_sections(
        self, head: document.Head
    ) -> dict[str, document.Section]:
        parsed = {}
        for name, digest in head.digests.items():
            text = self._texts.get(digest)
            if text is None:
                key = document_loader.BLOB_PREFIX + digest
                text = (await self._store.get(key)).value
            if text is None:
                raise errors.StoreError(
                    f"the text of section {name!r} is missing"
                )
            self._texts[digest] = text
            parsed[name] = self._codec.parse_section(name, text)
        current_digests = set(head.digests.values())
        self._texts = {
            d: t for d, t in self._texts.items() if d in current_digests
        }
        return parsed

    def _publish_head(self, head: document.Head) -> document.Head:
        self._document_loader_inbox.force(events.HeadReceived(head))
        return head


def _save_error(
    request: EditRequested, may_have_applied: bool, reason: object
) -> errors.DotterelpathError:
    if may_have_applied:
        return errors.DotterelpathError(
            errors.ResultCode.EDIT_UNKNOWN,
            f"edit {request.edit_id} may have taken effect: {reason}",
        )
    return errors.DotterelpathError(
        errors.ResultCode.STORE_UNAVAILABLE, str(reason)
    )
