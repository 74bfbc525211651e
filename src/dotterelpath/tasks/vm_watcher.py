"""The task that follows the platform's VM list."""

from __future__ import annotations

import asyncio
import random
import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import vms
from dotterelpath.ports import vm_list as vm_list_port
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox

WAIT_S = 2.0
RETRY_S = 1.0

_log = structlog.get_logger()


class VmWatcher:
    """Passes on the list of VMs when it changes."""

    __slots__ = ("_readers", "_revision", "_table", "_vm_list")

    def __init__(
        self,
        vm_list: vm_list_port.VmList,
        readers: tuple[mailbox.Mailbox[typing.Any], ...],
    ) -> None:
        """Creates the task's state.

        Args:
            vm_list: The platform's list.
            readers: Get the list.
        """
        self._vm_list = vm_list
        self._readers = readers
        self._table = vms.EMPTY_TABLE
        self._revision = 0

    async def run(self) -> None:
        """Follows the list until cancelled; the last one is kept."""
        while True:
            try:
                changes = await self._vm_list.changes(self._revision, WAIT_S)
            except errors.StoreError as error:
                _log.debug("vm list failed", error=str(error))
                await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))
                continue
            self._on_changes(changes)

    def _on_changes(self, changes: vm_list_port.VmChanges) -> None:
        is_news = changes.is_full or changes.changed or changes.removed
        self._revision = changes.revision
        if not is_news:
            return
        if changes.is_full:
            self._table = vms.VmTable.of(changes.changed)
        else:
            self._table = self._table.changed_by(
                changes.changed, changes.removed
            )
        for reader in self._readers:
            reader.force(events.VmsChanged(self._table))
