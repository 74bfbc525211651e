"""Harness that runs gateway daemons and the users' platform as processes."""

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
# The host name of all routes, not of a daemon.
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
MAX_BODY_BYTES = 65536
MEMORY_MB = 300
MAX_FDS = 4096
# The store has a port for each daemon, so that it can turn single ones away.
MAX_GATEWAYS = 64
SLOTS = 4  # Requests that an instance runs at the same time.


class GatewayProcess:
    """The process of a gateway daemon, with its ports."""

    __slots__ = (
        "caller_port",
        "data_centre",
        "directory_port",
        "id",
        "peer_port",
        "process",
        "readiness_port",
        "settings_file",
        "store_port",
    )

    def __init__(
        self,
        id: str,
        data_centre: str,
        folder: pathlib.Path,
        store_port: int,
    ) -> None:
        """Picks free ports for a daemon; `start_gateway` starts it."""
        self.id = id
        self.data_centre = data_centre
        self.store_port = store_port
        self.caller_port, self.readiness_port, self.directory_port = (
            fleet.free_ports(3)
        )
        self.peer_port = _free_port_pair()
        self.settings_file = folder / f"{id}.json"
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def metrics_port(self) -> int:
        """The port of metrics and status, the second of `port_range`."""
        return self.peer_port + 1


class GatewayFleet(fleet.Fleet):
    """Processes of a platform: store, instances and gateway daemons."""

    __slots__ = (
        "bounds",
        "folder",
        "gateways",
        "instance_epoch",
        "instances",
        "max_body_bytes",
        "max_fds",
        "memory_mb",
        "store_ports",
        "version",
    )

    def __init__(self, log: pathlib.Path, folder: pathlib.Path) -> None:
        """Creates a platform without processes.

        Args:
            log: The log file of all processes.
            folder: The folder of the daemons' settings files.
        """
        super().__init__(log)
        self.folder = folder
        self.bounds: dict[str, float] = dict(BOUNDS)
        self.gateways: dict[str, GatewayProcess] = {}
        self.instances: dict[str, int] = {}
        self.instance_epoch = 1
        self.version = 0
        self.max_body_bytes = MAX_BODY_BYTES
        self.max_fds = MAX_FDS
        self.memory_mb = MEMORY_MB
        self.store_ports = fleet.free_ports(MAX_GATEWAYS)

    def start_store(self) -> None:
        """Starts the store."""
        args: list[typing.Any] = ["-m", "standins.kv_store"]
        for port in (self.store, *self.store_ports):
            args += ["--port", port]
        self.spawn(*args)
        fleet.wait_for_port(self.store)

    def start_instances(self, service: str, count: int) -> None:
        """Starts a service's instances in one process and registers them."""
        ids = [f"i-{service}-{n}" for n in range(1, count + 1)]
        ports = fleet.free_ports(count)
        args: list[typing.Any] = ["-m", "standins.instance"]
        for instance_id, port in zip(ids, ports, strict=True):
            self.instances[instance_id] = port
            args += ["--instance", f"{instance_id}:{port}"]
        self.spawn(*args, "--slots", SLOTS)
        for instance_id, port in zip(ids, ports, strict=True):
            fleet.wait_for_port(port)
            self.register_instance(instance_id, service)

    def register_instance(
        self, instance_id: str, service: str, **changed: typing.Any
    ) -> None:
        """Writes the store entry of an instance.

        Args:
            instance_id: The instance.
            service: The service.
            **changed: Fields that differ from the default; a field with the
                value None is left out.
        """
        entry = {
            "service": service,
            "address": f"{fleet.HOST}:{self.instances[instance_id]}",
            "zone": "a",
            "version": "v1",
            "capacity": SLOTS,
            "state": "ready",
            "warmup_left_s": 0,
            "sequence": 1,
            "born": self.instance_epoch,
            **changed,
        }
        fields = {name: v for name, v in entry.items() if v is not None}
        key = store_item_codec.INSTANCE_PREFIX + instance_id
        fleet.post(self.store, "/_put", {key: json.dumps(fields)})

    def reset(self, *routes: Json) -> None:
        """Restores the initial state between scenarios.

        Ends all faults, registers all instances as newly started, writes the
        routes, restarts stopped daemons and waits until all are ready.
        """
        self.set_store_faults()
        self.bounds = dict(BOUNDS)
        self.max_body_bytes = MAX_BODY_BYTES
        self.max_fds = MAX_FDS
        self.memory_mb = MEMORY_MB
        self.instance_epoch += 1
        for instance_id in self.instances:
            self.set_mode(instance_id)
            service = instance_id.split("-")[1]
            self.register_instance(
                instance_id, service, born=self.instance_epoch
            )
        self.configure(*routes)
        for node in self.gateways.values():
            if node.process is None or node.process.poll() is not None:
                self.start_gateway(node)
                fleet.wait_for_port(node.caller_port)
        self.wait_until_ready()
        self.wait_for_configuration(self.version)
        for service, count in self.counts().items():
            self.wait_for_instances(service, count)

    def counts(self) -> dict[str, int]:
        """Counts the instances of each service."""
        services = [instance_id.split("-")[1] for instance_id in self.instances]
        return {service: services.count(service) for service in services}

    def remove_instance(self, instance_id: str) -> None:
        """Removes the store entry of an instance."""
        key = store_item_codec.INSTANCE_PREFIX + instance_id
        fleet.post(self.store, "/_put", {key: None})

    def configure(
        self,
        *routes: Json,
        version: int | None = None,
        tenants: Json = None,
    ) -> None:
        """Writes a configuration to the store, as the operator does.

        Args:
            *routes: The routes.
            version: The version; by default the next one.
            tenants: The tenants, if the configuration has any.
        """
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
                "max_body_bytes": self.max_body_bytes,
                "header_timeout_s": 1,
                "idle_timeout_s": 3,
            },
            "hosts": [{"host": HOST, "path_rules": list(routes)}],
        }
        if tenants is not None:
            data["tenants"] = tenants
        self.put_configuration(json.dumps(data))

    def put_configuration(self, text: str) -> None:
        """Writes a text, which may be invalid, as the configuration."""
        fleet.post(
            self.store, "/_put", {store_item_codec.CONFIGURATION_KEY: text}
        )

    def add_gateways(self, count: int) -> None:
        """Starts daemons, in data centres a, b and c in turn."""
        for number in range(len(self.gateways), len(self.gateways) + count):
            node = GatewayProcess(
                f"g{number + 1}",
                "abc"[number % 3],
                self.folder,
                self.store_ports[number],
            )
            self.gateways[node.id] = node
            self.start_gateway(node)
        for node in self.gateways.values():
            fleet.wait_for_port(node.readiness_port)

    def start_gateway(self, node: GatewayProcess) -> None:
        """Writes the settings of a daemon and starts its process."""
        self.write_settings(node)
        node.process = self.spawn(DAEMON_SCRIPT, node.settings_file)

    def write_settings(self, node: GatewayProcess) -> None:
        """Writes the settings file of a daemon, after a check of its syntax."""
        listen = {
            name: f"{fleet.HOST}:{port}"
            for name, port in (
                ("front", node.caller_port),
                ("ready", node.readiness_port),
                ("directory", node.directory_port),
            )
        }
        data = {
            "node_name": node.id,
            "ip": fleet.HOST,
            "zone": node.data_centre,
            "region": "r",
            "zones": {"a": "r", "b": "r", "c": "r"},
            "listen": listen,
            "port_range": [node.peer_port, node.peer_port + 1],
            "limits": {
                "cpu_share": 0.9,
                "cores": 1,
                "memory_mb": self.memory_mb,
                "max_fds": self.max_fds,
                "link_mbps": 1000,
            },
            "bounds": [f"{name}={v}" for name, v in self.bounds.items()],
            "platform": {
                "address": f"{fleet.HOST}:{node.store_port}",
                "reads_per_s": 2000,
                "writes_per_s": 400,
            },
        }
        platform_settings.parse(json.dumps(data).encode())
        node.settings_file.write_text(json.dumps(data))

    def wait_until_ready(self) -> None:
        """Waits until all daemons are ready."""
        for node in self.gateways.values():
            fleet.wait_until(
                lambda n=node: self.is_ready(n), f"{node.id} is ready"
            )

    def is_ready(self, node: GatewayProcess) -> bool:
        """Checks the readiness endpoint of a daemon, as the platform does."""
        return fleet.call(node.readiness_port, "GET", "/v1/ready").status == 200

    def wait_for_instances(self, service: str, count: int) -> None:
        """Waits until all daemons know the current instances of a service.

        Args:
            service: The service.
            count: The number of instances started since the last reset.
        """
        for node in self.gateways.values():
            fleet.wait_until(
                lambda n=node: self._has_instances(n, service, count),
                f"{node.id} knows {count} instances of {service}",
            )

    def _has_instances(
        self, node: GatewayProcess, service: str, count: int
    ) -> bool:
        found = self.instance_states(node, service).values()
        current = [i for i in found if i["started_ms"] == self.instance_epoch]
        return len(current) == count

    def instance_states(self, node: GatewayProcess, service: str) -> Json:
        """Reads the state of a service's instances, as a daemon sees them."""
        state = fleet.status(node.metrics_port)
        return state["services"].get(service, {}).get("instances", {})

    def wait_for_configuration(self, version: int) -> None:
        """Waits until all daemons apply a version or a later one."""
        for node in self.gateways.values():
            fleet.wait_until(
                lambda n=node: (
                    (fleet.status(n.metrics_port)["version"] or 0) >= version
                ),
                f"version {version} in force at {node.id}",
            )

    def set_mode(self, instance_id: str, **mode: typing.Any) -> None:
        """Sets the fault mode of an instance."""
        fleet.post(self.instances[instance_id], "/_mode", mode)

    def instance_record(self, instance_id: str) -> Json:
        """Reads the requests that an instance has recorded."""
        return fleet.call(self.instances[instance_id], "GET", "/_seen").json()

    def count_runs(self) -> dict[str, int]:
        """Counts the runs of each request over all instances."""
        total: dict[str, int] = {}
        for instance_id in self.instances:
            for request_id, count in self.instance_record(instance_id)[
                "runs"
            ].items():
                total[request_id] = total.get(request_id, 0) + count
        return total

    def set_store_faults(self, **faults: typing.Any) -> None:
        """Sets the faults of the store; without arguments, ends all faults."""
        fleet.post(self.store, "/_fault", faults)

    def terminate(self, node: GatewayProcess) -> None:
        """Sends SIGTERM to a daemon."""
        assert node.process is not None
        node.process.send_signal(signal.SIGTERM)


DAEMON_SCRIPT = fleet.ROOT / "src" / "dotterelpathd.py"


def route(prefix: str, service: str = "", **changed: typing.Any) -> Json:
    """Builds a route of a configuration.

    Args:
        prefix: The path prefix.
        service: The service; empty if `changed` has a traffic split.
        **changed: Fields that differ from the default.
    """
    data = {
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
        data["service"] = service
    return data


def _free_port_pair() -> int:
    """Finds two adjacent free ports and returns the first."""
    while True:
        first, second = fleet.free_ports(2)
        if second == first + 1:
            return first
