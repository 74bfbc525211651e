"""Both users' estates in miniature, for the demo and the benchmarks."""

from __future__ import annotations

import pathlib
import typing

from standins import fleet


class ServiceSpec:
    """One service of an estate."""

    __slots__ = (
        "floor",
        "instance_count",
        "name",
        "read_weight",
        "timeout_ms",
        "write_weight",
    )

    def __init__(
        self,
        name: str,
        instance_count: int,
        floor: int,
        read_weight: float,
        write_weight: float,
        timeout_ms: int = 4000,
    ) -> None:
        """Creates a plan.

        Args:
            name: The service's name.
            instance_count: Its instances.
            floor: The least number of them that stay in use.
            read_weight: The share of its reads in the load.
            write_weight: The share of its writes in the load.
            timeout_ms: The routes' timeout, in milliseconds.
        """
        self.name = name
        self.instance_count = instance_count
        self.floor = floor
        self.read_weight = read_weight
        self.write_weight = write_weight
        self.timeout_ms = timeout_ms

    def section(self, ejection_policy: str, slots: int) -> str:
        """Writes the section that the service's team owns."""
        return (
            fleet.owners_line()
            + f"""
[[service]]
name = "{self.name}"
floor = {self.floor}
slots = {slots}
weigh = "{ejection_policy}"
refusal_header = "x-not-run"

[[route]]
service = "{self.name}"
prefix = "/{self.name}"
methods = ["POST"]
class = "critical"
timeout_ms = {self.timeout_ms}

[[route]]
service = "{self.name}"
prefix = "/{self.name}/check"
methods = ["GET"]
class = "sheddable"
timeout_ms = {self.timeout_ms}
"""
        )

    def mix(self) -> list[dict[str, typing.Any]]:
        """Writes the service's part of the load."""
        operations = []
        if self.read_weight:
            operations.append(
                {
                    "name": f"{self.name} check",
                    "service": self.name,
                    "method": "GET",
                    "path": f"/{self.name}/check",
                    "share": self.read_weight,
                }
            )
        if self.write_weight:
            operations.append(
                {
                    "name": f"{self.name} write",
                    "service": self.name,
                    "method": "POST",
                    "path": f"/{self.name}",
                    "share": self.write_weight,
                }
            )
        return operations


class Deployment:
    """One user's services."""

    __slots__ = ("ejection_policy", "name", "services", "slots")

    def __init__(
        self,
        name: str,
        ejection_policy: str,
        slots: int,
        services: list[ServiceSpec],
    ) -> None:
        """Creates an estate.

        Args:
            name: The user.
            ejection_policy: Which error of ejection the user fears more.
            slots: The slots of each instance.
            services: The services.
        """
        self.name = name
        self.ejection_policy = ejection_policy
        self.slots = slots
        self.services = services

    def start(
        self, log: pathlib.Path, daemons: int, work_ms: float = 8.0
    ) -> fleet.Fleet:
        """Starts the estate's processes and saves its document.

        Args:
            log: Where the processes write their logs.
            daemons: How many daemons.
            work_ms: The mean time of a request, in milliseconds.
        """
        started = fleet.Fleet(log, self.slots, work_ms)
        started.start_platform(lag_s=1.0)
        for service in self.services:
            started.start_backends(service.name, service.instance_count)
        started.add_nodes(daemons)
        version = 0
        for service in self.services:
            saved = started.save_section(
                service.name, service.section(self.ejection_policy, self.slots)
            )
            if saved.status != 200:
                raise RuntimeError(saved.body.decode())
            version = saved.json()["version"]
        started.wait_for_version(version)
        started.wait_for_discovery(
            {s.name: s.instance_count for s in self.services}
        )
        return started

    def mix(self) -> list[dict[str, typing.Any]]:
        """Writes the load of all services."""
        return [
            operation
            for service in self.services
            for operation in service.mix()
        ]


KAROO = Deployment(
    "Karoo Pers Uitleen",
    "false-ejections",
    4,
    [
        ServiceSpec("catalogue", 8, 5, 4.0, 0.0),
        ServiceSpec("deposits", 22, 15, 0.0, 1.0),
        ServiceSpec("bookings", 6, 4, 2.0, 2.0),
    ],
)
SPRUNGFREUDE = Deployment(
    "Sprungfreude",
    "detection",
    3,
    [
        ServiceSpec("kalender", 8, 5, 4.0, 0.0),
        ServiceSpec("gruppen", 13, 9, 1.0, 1.0),
        ServiceSpec("kasse", 6, 4, 0.0, 2.0),
    ],
)
