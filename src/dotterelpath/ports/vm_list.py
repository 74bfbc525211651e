"""The port for the platform's list of VMs."""

from __future__ import annotations

import typing

from dotterelpath.domain import vms


class VmChanges:
    """The changes of the VM list since a revision."""

    __slots__ = ("changed", "is_full", "removed", "revision")

    def __init__(
        self,
        revision: int,
        changed: list[vms.Vm],
        removed: list[str],
        is_full: bool,
    ) -> None:
        """Creates the changes.

        Args:
            revision: The list's revision after the changes.
            changed: New and changed VMs.
            removed: Ids of the removed VMs.
            is_full: Whether changed holds the whole list.
        """
        self.revision = revision
        self.changed = changed
        self.removed = removed
        self.is_full = is_full


class VmList(typing.Protocol):
    """Reads the platform's list of live and leaving VMs.

    The list lags behind the actual state of the VMs.
    """

    async def changes(self, since: int, wait_s: float) -> VmChanges:
        """Waits for changes of the list.

        Args:
            since: The last revision that the caller knows; 0 for none.
            wait_s: How long to wait for a change, in seconds.

        Raises:
            StoreError: The list did not respond, or its response is invalid.
        """
