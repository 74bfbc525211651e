"""Starts the users' platform and gateway daemons as processes, for tests."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import typing

from dotterelpath.platform import settings as platform_settings
from dotterelpath.platform import store_item_codec
from standins import fleet

Json = typing.Any
HOST = "presses.example"
BOUNDS = {
    "drain_s": 2,
    "grace_s": 4,
    "config_apply_s": 1,
    "retry_budget_ratio": 0.2,
    "retry_slack": 64,
    "budget_window_s": 10,
    "ttl_max_s": 5,
}
SLOTS = 4


class GatewayNode:
    """A gateway daemon's process with its ports."""

    __slots__ = (
        "data_centre",
        "directory",
        "front",
        "id",
        "peer",
        "process",
        "ready",
        "settings",
    )

    def __init__(self, id: str, data_centre: str, folder: pathlib.Path) -> None:
        """Creates a node that does not run yet."""
        self.id = id
        self.data_centre = data_centre
        self.front, self.ready, self.directory = fleet.free_ports(3)
        self.peer = _two_ports()
        self.settings = folder / f"{id}.json"
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def metrics(self) -> int:
        """The port of metrics and status."""
        return self.peer + 1


class GatewayFleet(fleet.Fleet):
    """The platform's store, instances and gateway daemons."""

    __slots__ = (
        "bounds",
        "folder",
        "gateways",
        "instances",
        "lifetime",
        "version",
    )

    def __init__(self, log: pathlib.Path, folder: pathlib.Path) -> None:
        """Creates an empty platform.

        Args:
            log: Where all processes write their logs.
            folder: Where settings files are kept.
        """
        super().__init__(log)
        self.folder = folder
        self.bounds: dict[str, float] = dict(BOUNDS)
        self.gateways: dict[str, GatewayNode] = {}
        self.instances: dict[str, int] = {}
        self.lifetime = 1
        self.version = 0

    def start_store(self) -> None:
        """Starts the store."""
        self.spawn("-m", "standins.kv_store", "--port", self.store)
        fleet.wait_for_port(self.store)

    def start_instances(self, service: str, count: int) -> None:
        """Starts a service's instances in one process and lists them."""
        ids = [f"i-{service}-{n}" for n in range(1, count + 1)]
        ports = fleet.free_ports(count)
        args: list[typing.Any] = ["-m", "standins.instance"]
        for instance_id, port in zip(ids, ports, strict=True):
            self.instances[instance_id] = port
            args += ["--instance", f"{instance_id}:{port}"]
        self.spawn(*args, "--slots", SLOTS)
        for instance_id, port in zip(ids, ports, strict=True):
            fleet.wait_for_port(port)
            self.list_instance(instance_id, service)

    def list_instance(
        self, instance_id: str, service: str, **changed: typing.Any
    ) -> None:
        """Writes an instance's entry; a field that is None is left out."""
        entry = {
            "service": service,
            "address": f"{fleet.HOST}:{self.instances[instance_id]}",
            "zone": "a",
            "version": "v1",
            "capacity": SLOTS,
            "state": "ready",
            "warmup_left_s": 0,
            "sequence": 1,
            "born": self.lifetime,
            **changed,
        }
        kept = {name: v for name, v in entry.items() if v is not None}
        key = store_item_codec.INSTANCE_PREFIX + instance_id
        fleet.post(self.store, "/_put", {key: json.dumps(kept)})

    def reset(self, *routes: Json) -> None:
        """Ends all faults, and starts all instances and the routes anew."""
        self.store_fault()
        self.bounds = dict(BOUNDS)
        self.lifetime += 1
        for instance_id in self.instances:
            self.set_mode(instance_id)
            service = instance_id.split("-")[1]
            self.list_instance(instance_id, service, born=self.lifetime)
        self.configure(*routes)
        for node in self.gateways.values():
            if node.process is None or node.process.poll() is not None:
                self.start_gateway(node)
                fleet.wait_for_port(node.front)
        self.all_ready()
        self.in_version(self.version)
        for service, count in self.counts().items():
            self.knows(service, count)

    def counts(self) -> dict[str, int]:
        """Counts the instances of each service."""
        services = [instance_id.split("-")[1] for instance_id in self.instances]
        return {service: services.count(service) for service in services}

    def remove_instance(self, instance_id: str) -> None:
        """Removes an instance's entry."""
        key = store_item_codec.INSTANCE_PREFIX + instance_id
        fleet.post(self.store, "/_put", {key: None})

    def configure(self, *routes: Json, version: int | None = None) -> None:
        """Writes a configuration as the operator does."""
        self.version = version or self.version + 1
        services = sorted(
            {
                part["service"]
                for route in routes
                for part in route.get("traffic_split", [route])
            }
        )
        data = {
            "version": f"r{self.version}",
            "services": [
                {"name": name, "max_connections": 390} for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 65536,
                "header_timeout_s": 1,
                "idle_timeout_s": 3,
            },
            "hosts": [{"host": HOST, "path_rules": list(routes)}],
        }
        self.put_configuration(json.dumps(data))

    def put_configuration(self, text: str) -> None:
        """Writes any text where the configuration stands."""
        fleet.post(
            self.store, "/_put", {store_item_codec.CONFIGURATION_KEY: text}
        )

    def add_gateways(self, count: int) -> None:
        """Starts daemons in data centres a, b and c."""
        for number in range(len(self.gateways), len(self.gateways) + count):
            node = GatewayNode(f"g{number + 1}", "abc"[number % 3], self.folder)
            self.gateways[node.id] = node
            self.start_gateway(node)
        for node in self.gateways.values():
            fleet.wait_for_port(node.ready)

    def start_gateway(self, node: GatewayNode) -> None:
        """Starts a daemon's process."""
        self.write_settings(node)
        node.process = self.spawn(ROOT_SCRIPT, node.settings)

    def write_settings(self, node: GatewayNode) -> None:
        """Writes a daemon's settings file."""
        listen = {
            name: f"{fleet.HOST}:{port}"
            for name, port in (
                ("front", node.front),
                ("ready", node.ready),
                ("directory", node.directory),
            )
        }
        data = {
            "node_name": node.id,
            "ip": fleet.HOST,
            "zone": node.data_centre,
            "region": "r",
            "zones": {"a": "r", "b": "r", "c": "r"},
            "listen": listen,
            "port_range": [node.peer, node.peer + 1],
            "limits": {"cpu_share": 0.9, "cores": 1, "link_mbps": 1000},
            "bounds": [f"{name}={v}" for name, v in self.bounds.items()],
            "platform": {
                "address": f"{fleet.HOST}:{self.store}",
                "reads_per_s": 2000,
                "writes_per_s": 400,
            },
        }
        platform_settings.parse(json.dumps(data).encode())
        node.settings.write_text(json.dumps(data))

    def all_ready(self) -> None:
        """Waits until all daemons are ready."""
        for node in self.gateways.values():
            fleet.wait_until(
                lambda n=node: self.is_ready(n), f"{node.id} is ready"
            )

    def is_ready(self, node: GatewayNode) -> bool:
        """Asks a daemon as the platform does."""
        return fleet.call(node.ready, "GET", "/v1/ready").status == 200

    def knows(self, service: str, count: int) -> None:
        """Waits until all daemons know a number of instances."""
        for node in self.gateways.values():
            fleet.wait_until(
                lambda n=node: self._knows(n, service, count),
                f"{node.id} knows {count} instances of {service}",
            )

    def _knows(self, node: GatewayNode, service: str, count: int) -> bool:
        found = self.believed(node, service).values()
        current = [i for i in found if i["started_ms"] == self.lifetime]
        return len(current) == count

    def believed(self, node: GatewayNode, service: str) -> Json:
        """Reads what a daemon believes of a service's instances."""
        shown = fleet.status(node.metrics)
        return shown["services"].get(service, {}).get("instances", {})

    def in_version(self, version: int) -> None:
        """Waits until all daemons have at least a version in force."""
        for node in self.gateways.values():
            fleet.wait_until(
                lambda n=node: (
                    (fleet.status(n.metrics)["version"] or 0) >= version
                ),
                f"version {version} in force at {node.id}",
            )

    def set_mode(self, instance_id: str, **mode: typing.Any) -> None:
        """Sets the fault mode of an instance."""
        fleet.post(self.instances[instance_id], "/_mode", mode)

    def seen(self, instance_id: str) -> Json:
        """Reads what an instance saw."""
        return fleet.call(self.instances[instance_id], "GET", "/_seen").json()

    def total_runs(self) -> dict[str, int]:
        """Sums up how often each request ran, over all instances."""
        total: dict[str, int] = {}
        for instance_id in self.instances:
            for request_id, count in self.seen(instance_id)["runs"].items():
                total[request_id] = total.get(request_id, 0) + count
        return total

    def store_fault(self, **faults: typing.Any) -> None:
        """Sets the faults of the store; none ends them."""
        fleet.post(self.store, "/_fault", faults)

    def terminate(self, node: GatewayNode) -> None:
        """Asks a daemon to stop."""
        assert node.process is not None
        node.process.send_signal(signal.SIGTERM)


ROOT_SCRIPT = fleet.ROOT / "src" / "dotterelpathd.py"


def route(prefix: str, service: str = "", **changed: typing.Any) -> Json:
    """Builds a route of a configuration."""
    made = {
        "name": f"r-{prefix}",
        "prefix": prefix,
        "route_type": "idempotent",
        "timeout_s": 3,
        "target_latency_s": 1,
        "priority": 1,
        "max_attempts": 2,
        **changed,
    }
    if service:
        made["service"] = service
    return made


def _two_ports() -> int:
    """Finds a free port whose successor is free as well."""
    while True:
        first, second = fleet.free_ports(2)
        if second == first + 1:
            return first
