"""Small deployments of both users, for the demo and the benchmarks."""

from __future__ import annotations

import pathlib
import typing

from standins import fleet


class ServiceSpec:
    """A service of a deployment, with its part of the load."""

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
        """Creates a specification.

        Args:
            name: The name of the service.
            instance_count: The number of instances.
            floor: The least number of instances that stay in rotation.
            read_weight: The relative rate of read requests.
            write_weight: The relative rate of write requests.
            timeout_ms: The timeout of both routes, in milliseconds.
        """
        self.name = name
        self.instance_count = instance_count
        self.floor = floor
        self.read_weight = read_weight
        self.write_weight = write_weight
        self.timeout_ms = timeout_ms

    def section(self, ejection_policy: str, slots: int) -> str:
        """Builds the service's section of the document, as TOML."""
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
        """Builds the service's operations for the load generator."""
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
    """The services of a user."""

    __slots__ = ("ejection_policy", "name", "services", "slots")

    def __init__(
        self,
        name: str,
        ejection_policy: str,
        slots: int,
        services: list[ServiceSpec],
    ) -> None:
        """Creates a deployment.

        Args:
            name: The name of the user.
            ejection_policy: The kind of ejection error to avoid, as in the
                setting `weigh`.
            slots: The slots per instance.
            services: The services.
        """
        self.name = name
        self.ejection_policy = ejection_policy
        self.slots = slots
        self.services = services

    def start(
        self, log: pathlib.Path, daemons: int, work_ms: float = 8.0
    ) -> fleet.Fleet:
        """Starts the processes, saves the document and waits for discovery.

        Args:
            log: The log file of all processes.
            daemons: The number of daemons.
            work_ms: The mean duration of a request, in milliseconds.

        Raises:
            RuntimeError: A daemon rejected a section of the document.
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
        """Builds the operations of all services."""
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
