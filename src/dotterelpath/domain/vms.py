"""The platform's list of VMs, with their roles and states."""

from __future__ import annotations

import enum
import typing


class VmRole(enum.Enum):
    """Role of a VM: ENTRY runs a daemon, BACKEND a backend server."""

    ENTRY = "entry"
    BACKEND = "backend"


class VmState(enum.Enum):
    """Lifecycle state of a VM, as listed by the platform."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


class Vm:
    """One VM of the platform's list.

    An entry VM has a second port, on which its daemon serves other daemons.
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
            role: The VM's role.
            host: Its IP address.
            port: The port for requests.
            data_centre: Its data centre.
            state: Its lifecycle state.
            service: Name of the service, for a backend server.
            peer_port: The port for other daemons, for an entry VM.
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
    """Immutable snapshot of the platform's list.

    A table and its successor share the lists of the services that did not
    change, so that a change costs little in a large fleet.
    """

    __slots__ = ("by_id", "by_service", "changed_services", "entry_vms")

    def __init__(
        self,
        by_id: dict[str, Vm],
        by_service: dict[str, list[Vm]],
        entry_vms: list[Vm],
        changed_services: frozenset[str] | None,
    ) -> None:
        """Creates a table.

        Args:
            by_id: All VMs by id.
            by_service: The backend servers of each service, by its name.
            entry_vms: The entry VMs.
            changed_services: Names of the services that differ from the
                previous table; None if any may differ.
        """
        self.by_id = by_id
        self.by_service = by_service
        self.entry_vms = entry_vms
        self.changed_services = changed_services

    @classmethod
    def from_vms(cls, all_vms: typing.Iterable[Vm]) -> VmTable:
        """Builds a table from a complete list.

        Args:
            all_vms: The VMs.

        Returns:
            The table.
        """
        by_id = {vm.id: vm for vm in all_vms}
        by_service: dict[str, list[Vm]] = {}
        entry_vms = []
        for vm in by_id.values():
            if vm.role is VmRole.ENTRY:
                entry_vms.append(vm)
            else:
                by_service.setdefault(vm.service, []).append(vm)
        return cls(by_id, by_service, entry_vms, None)

    def with_changes(
        self, changed: typing.Iterable[Vm], removed: typing.Iterable[str]
    ) -> VmTable:
        """Builds the table that results from a change.

        Args:
            changed: The new and the changed VMs.
            removed: Ids of the removed VMs.

        Returns:
            The next table.
        """
        new = {vm.id: vm for vm in changed}
        removed_ids = {vm_id for vm_id in removed if vm_id in self.by_id}
        old = [
            self.by_id[vm_id]
            for vm_id in {*new, *removed_ids}
            if vm_id in self.by_id
        ]
        by_id = {**self.by_id, **new}
        for vm_id in removed_ids:
            by_id.pop(vm_id, None)
        affected = [*old, *new.values()]
        changed_services = {
            vm.service for vm in affected if vm.role is VmRole.BACKEND
        }
        by_service = dict(self.by_service)
        for service in changed_services:
            kept = [
                vm
                for vm in by_service.get(service, ())
                if vm.id not in new and vm.id not in removed_ids
            ]
            added = [
                vm
                for vm in new.values()
                if vm.service == service and vm.role is VmRole.BACKEND
            ]
            by_service[service] = kept + added
        entry_vms = self.entry_vms
        if any(vm.role is VmRole.ENTRY for vm in affected):
            entry_vms = [vm for vm in by_id.values() if vm.role is VmRole.ENTRY]
        return VmTable(
            by_id, by_service, entry_vms, frozenset(changed_services)
        )


EMPTY_TABLE = VmTable({}, {}, [], None)
