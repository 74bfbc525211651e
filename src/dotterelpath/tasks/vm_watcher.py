"""The task that watches the platform's VM list."""

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

# How long the platform may hold a call until the list changes, in seconds.
WAIT_S = 2.0
# The mean pause after a failed call, in seconds.
RETRY_INTERVAL_S = 1.0

_log = structlog.get_logger()


class VmWatcher:
    """Watches the list of VMs and publishes its changes to other tasks."""

    __slots__ = ("_revision", "_subscribers", "_vm_list", "_vm_table")

    def __init__(
        self,
        vm_list: vm_list_port.VmList,
        subscribers: tuple[mailbox.Mailbox[typing.Any], ...],
    ) -> None:
        """Creates the task's state.

        Args:
            vm_list: The client of the platform's VM list.
            subscribers: The mailboxes that get the list.
        """
        self._vm_list = vm_list
        self._subscribers = subscribers
        self._vm_table = vms.EMPTY_TABLE
        self._revision = 0

    async def run(self) -> None:
        """Watches the list until cancelled.

        While calls fail, the last list that was received stays in use.
        """
        while True:
            try:
                changes = await self._vm_list.changes(self._revision, WAIT_S)
            except errors.StoreError as error:
                _log.debug("vm list call failed", error=str(error))
                await asyncio.sleep(RETRY_INTERVAL_S * random.uniform(0.5, 1.5))
                continue
            self._apply_changes(changes)

    def _apply_changes(self, changes: vm_list_port.VmChanges) -> None:
        has_changes = changes.is_full or changes.changed or changes.removed
        self._revision = changes.revision
        if not has_changes:
            return
        if changes.is_full:
            self._vm_table = vms.VmTable.from_vms(changes.changed)
        else:
            self._vm_table = self._vm_table.with_changes(
                changes.changed, changes.removed
            )
        for subscriber in self._subscribers:
            subscriber.force(events.VmsChanged(self._vm_table))
