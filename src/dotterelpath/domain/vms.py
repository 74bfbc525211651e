"""The platform's list of VMs, with their roles and states."""

from __future__ import annotations

import enum


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
