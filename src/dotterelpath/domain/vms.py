"""The platform's list of VMs, with their roles and states."""

from __future__ import annotations

import enum
import typing


class VmRole(enum.Enum):
    """What a VM is for."""

    ENTRY = "entry"
    BACKEND = "backend"


class VmState(enum.Enum):
    """What the platform says of a VM."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


class Vm:
    """One VM of the list.

    An entry VM has a second port, on which its daemon hears other daemons.
    """

    __slots__ = (
        "data_centre",
        "host",
        "id",
        "peer_port",
        "port",
        "role",
        "service",
        "state",
    )

    def __init__(
        self,
        id: str,
        role: VmRole,
        host: str,
        port: int,
        data_centre: str,
        state: VmState = VmState.LIVE,
        service: str = "",
        peer_port: int = 0,
    ) -> None:
        """Creates a VM.

        Args:
            id: The VM's unique id.
            role: What the VM is for.
            host: Its IP address.
            port: The port that takes callers' requests.
            data_centre: Where it stands.
            state: What the platform says of it.
            service: The service of a backend server.
            peer_port: The port for other daemons, of an entry VM.
        """
        self.id = id
        self.role = role
        self.host = host
        self.port = port
        self.data_centre = data_centre
        self.state = state
        self.service = service
        self.peer_port = peer_port


class VmTable:
    """The platform's list at one moment; a change makes a new table.

    Services that a change does not touch share their lists with the table
    before, so that a change costs little in a large fleet.
    """

    __slots__ = ("by_service", "entry", "listed", "touched")

    def __init__(
        self,
        listed: dict[str, Vm],
        by_service: dict[str, list[Vm]],
        entry: list[Vm],
        touched: frozenset[str] | None,
    ) -> None:
        """Creates a table.

        Args:
            listed: All VMs by id.
            by_service: The backend servers of each service.
            entry: The entry VMs.
            touched: The services that differ from the table before; None
                where all may.
        """
        self.listed = listed
        self.by_service = by_service
        self.entry = entry
        self.touched = touched

    @classmethod
    def of(cls, all_vms: typing.Iterable[Vm]) -> VmTable:
        """Builds a table from a whole list.

        Args:
            all_vms: The VMs.

        Returns:
            The table.
        """
        listed = {vm.id: vm for vm in all_vms}
        by_service: dict[str, list[Vm]] = {}
        entry = []
        for vm in listed.values():
            if vm.role is VmRole.ENTRY:
                entry.append(vm)
            else:
                by_service.setdefault(vm.service, []).append(vm)
        return cls(listed, by_service, entry, None)

    def changed_by(
        self, changed: typing.Iterable[Vm], removed: typing.Iterable[str]
    ) -> VmTable:
        """Builds the table after a change.

        Args:
            changed: New and changed VMs.
            removed: Ids of VMs that are gone.

        Returns:
            The next table.
        """
        newer = {vm.id: vm for vm in changed}
        gone = {vm_id for vm_id in removed if vm_id in self.listed}
        older = [
            self.listed[vm_id]
            for vm_id in {*newer, *gone}
            if vm_id in self.listed
        ]
        listed = {**self.listed, **newer}
        for vm_id in gone:
            listed.pop(vm_id, None)
        moved = [*older, *newer.values()]
        touched = {vm.service for vm in moved if vm.role is VmRole.BACKEND}
        by_service = dict(self.by_service)
        for service in touched:
            kept = [
                vm
                for vm in by_service.get(service, ())
                if vm.id not in newer and vm.id not in gone
            ]
            added = [
                vm
                for vm in newer.values()
                if vm.service == service and vm.role is VmRole.BACKEND
            ]
            by_service[service] = kept + added
        entry = self.entry
        if any(vm.role is VmRole.ENTRY for vm in moved):
            entry = [vm for vm in listed.values() if vm.role is VmRole.ENTRY]
        return VmTable(listed, by_service, entry, frozenset(touched))


EMPTY_TABLE = VmTable({}, {}, [], None)
