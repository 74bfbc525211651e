"""The port for the platform's list of VMs."""

from __future__ import annotations

import typing

from dotterelpath.domain import vms


class VmChanges:
    """What changed in the list."""

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
            revision: The list's revision after them.
            changed: New and changed VMs.
            removed: Ids of VMs that are gone.
            is_full: Whether changed is the whole list.
        """
        self.revision = revision
        self.changed = changed
        self.removed = removed
        self.is_full = is_full


class VmList(typing.Protocol):
    """The platform's list of live and leaving VMs, which lags."""

    async def changes(self, since: int, wait_s: float) -> VmChanges:
        """Waits for changes of the list.

        Args:
            since: The revision that is known; 0 for none.
            wait_s: How long to wait, in seconds.

        Raises:
            StoreError: The list gave no answer.
        """
