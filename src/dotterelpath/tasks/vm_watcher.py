"""The task that follows the platform's VM list."""

from __future__ import annotations

import asyncio
import random
import typing

import structlog

from dotterelpath import errors
from dotterelpath.domain import vms
from dotterelpath.ports import vm_list as vm_list_port
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

WAIT_S = 2.0
RETRY_S = 1.0

_log = structlog.get_logger()


class VmWatcher:
    """Passes on the list of VMs when it changes."""

    __slots__ = ("_known", "_readers", "_revision", "_vm_list")

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
        self._known: dict[str, vms.Vm] = {}
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
        listed = {} if changes.is_full else dict(self._known)
        for vm in changes.changed:
            listed[vm.id] = vm
        for vm_id in changes.removed:
            listed.pop(vm_id, None)
        self._known = listed
        for reader in self._readers:
            reader.force(messages.VmsChanged(listed))
