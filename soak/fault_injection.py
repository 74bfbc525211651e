"""Starts the processes of a soak and injects faults into them."""

from __future__ import annotations

import pathlib
import signal
import time
import typing

from soak import keys
from soak import schedule
from standins import fleet as fleet_harness
from standins import gateway_fleet

SERVICES = {"presses": 4, "deposits": 4}
# Settings of the faults that take more than a flag, by the action of the fault.
STORE_MODES: dict[str, dict[str, typing.Any]] = {
    "slow": {"slow_s": 0.4},
    "lose": {"lose": 3},
    "stale": {"stale_s": 3.0},
}
# Routes that make a configuration large enough to be read from peers.
LARGE_ROUTE_COUNT = 200
# Answers that may be stale have different ages at all times, and so have the
# pages of one list.
USUAL_STORE_MODE: dict[str, typing.Any] = {
    "page_size": 3,
    "stale_ages_s": [0.0, 3.0, 1.0, 0.0, 2.0],
}
PATH_MODES: dict[str, dict[str, typing.Any]] = {"delay": {"delay_s": 0.3}}
SIGNALS = {
    "kill": signal.SIGKILL,
    "pause": signal.SIGSTOP,
    "stop": signal.SIGTERM,
    "stop_twice": signal.SIGTERM,
    "stop_changed": signal.SIGTERM,
    "reload": signal.SIGHUP,
}
# The time between two signals to stop, in seconds.
SECOND_STOP_S = 0.3
# The grace times that settings change to before a stop, in seconds.
GRACE_RANGE_S = (3.0, 6.0)
# Time that a stop may take beyond the grace period before the soak fails. A
# daemon that is paused while it stops takes longer than the grace period.
STOP_MARGIN_S = 10.0


class FaultInjectingFleet(gateway_fleet.GatewayFleet):
    """A gateway fleet with a relay in front of each instance.

    Attributes:
        drain_started_s: Start of the current drain, in seconds of the monotonic
            clock, by the id of the instance.
        route_moves: Time and service of each change of the route /moving/.
        key_ring: The keys of the tenants; None if there are none.
        is_configuration_large: Whether configurations have many routes.
        outages: Start and end of each fault of the store that may delay
            changes, in seconds of the monotonic clock.
    """

    __slots__ = (
        "_relay_control_ports",
        "_relay_ports",
        "_stop_faults",
        "drain_started_s",
        "is_configuration_large",
        "key_ring",
        "outages",
        "route_moves",
    )

    def __init__(self, log: pathlib.Path, folder: pathlib.Path) -> None:
        """Creates a fleet without processes.

        Args:
            log: The file for the logs of all processes.
            folder: The folder for settings files.
        """
        super().__init__(log, folder)
        self._relay_control_ports: dict[str, int] = {}
        self._relay_ports: dict[str, int] = {}
        # The fault that killed or stopped a daemon, by the id of the daemon.
        self._stop_faults: dict[str, schedule.Fault] = {}
        self.drain_started_s: dict[str, float] = {}
        self.route_moves: list[tuple[float, str]] = []
        self.key_ring: keys.KeyRing | None = None
        self.is_configuration_large = False
        self.outages: list[tuple[float, float]] = []

    def start(self, daemon_count: int) -> None:
        """Starts all processes and waits until all daemons know all instances.

        Args:
            daemon_count: Number of daemons.
        """
        self.start_store()
        self.set_store_faults()
        self.set_moving_route("presses")
        for service, count in SERVICES.items():
            self.start_instances(service, count)
        self.add_gateways(daemon_count)
        self.wait_until_ready()
        for service, count in SERVICES.items():
            self.wait_for_instances(service, count)

    def set_moving_route(self, service: str) -> None:
        """Writes a configuration that routes /moving/ to a service.

        Args:
            service: The name of the service.
        """
        self._write_routes(service)
        self.route_moves.append((time.monotonic(), service))

    def rotate_key(self) -> None:
        """Replaces a key, if there are tenants."""
        if self.key_ring is not None:
            _, service = self.route_moves[-1]
            self.key_ring.rotate(lambda: self._write_routes(service))

    def _write_routes(self, service: str) -> None:
        non_idempotent = {"route_type": "non_idempotent", "max_attempts": 2}
        others = [
            gateway_fleet.route(f"/other-{number}/", "presses")
            for number in range(LARGE_ROUTE_COUNT)
        ]
        self.configure(
            gateway_fleet.route("/presses/", "presses"),
            gateway_fleet.route("/deposits/", "deposits", **non_idempotent),
            gateway_fleet.route("/moving/", service),
            *(others if self.is_configuration_large else ()),
            tenants=self.key_ring.to_json() if self.key_ring else None,
        )
        if self.key_ring is not None:
            self.key_ring.on_written()

    def register_instance(
        self, instance_id: str, service: str, **changed: typing.Any
    ) -> None:
        """Registers an instance at the address of its relay.

        The first call for an instance starts its relay.
        """
        if instance_id not in self._relay_ports:
            port, control_port = fleet_harness.free_ports(2)
            self.spawn(
                "-m",
                "standins.relay",
                "--port",
                port,
                "--to-port",
                self.instances[instance_id],
                "--control-port",
                control_port,
            )
            fleet_harness.wait_for_port(port)
            fleet_harness.wait_for_port(control_port)
            self._relay_ports[instance_id] = port
            self._relay_control_ports[instance_id] = control_port
        address = f"{fleet_harness.HOST}:{self._relay_ports[instance_id]}"
        super().register_instance(
            instance_id, service, address=address, **changed
        )

    def set_store_faults(self, **faults: typing.Any) -> None:
        """Sets the faults of the store beside its usual stale answers."""
        super().set_store_faults(**{**USUAL_STORE_MODE, **faults})

    def begin(self, fault: schedule.Fault) -> None:
        """Injects a fault.

        Args:
            fault: The fault; its kind selects the method.
        """
        getattr(self, f"_begin_{fault.kind}")(fault)

    def end(self, fault: schedule.Fault) -> None:
        """Ends a fault.

        Args:
            fault: The fault; its kind selects the method.
        """
        getattr(self, f"_end_{fault.kind}")(fault)

    def clear_faults(self) -> None:
        """Ends all faults and waits until all daemons are ready.

        All daemons then have the latest configuration.
        """
        self.set_store_faults()
        for control_port in self._relay_control_ports.values():
            fleet_harness.post(control_port, "/", {})
        for instance_id in self.instances:
            self.set_mode(instance_id)
        for node in self.gateways.values():
            assert node.process is not None
            node.process.send_signal(signal.SIGCONT)
            if node.id in self._stop_faults:
                self._restart(node)
        self.wait_until_ready()
        self.wait_for_configuration(self.version)

    def _begin_daemon(self, fault: schedule.Fault) -> None:
        node = self.gateways[fault.target]
        if node.id in self._stop_faults:
            return
        assert node.process is not None
        if fault.action == "stop_changed":
            # The start of the fault is as good as a random number.
            shortest_s, longest_s = GRACE_RANGE_S
            share = fault.start_s % 1.0
            self.bounds["grace_s"] = (
                shortest_s + (longest_s - shortest_s) * share
            )
        if fault.action in ("reload", "stop_changed"):
            self.write_settings(node)
        if fault.action.startswith("stop") or fault.action == "kill":
            self._stop_faults[node.id] = fault
        node.process.send_signal(SIGNALS[fault.action])
        if fault.action == "stop_twice":
            time.sleep(SECOND_STOP_S)
            node.process.send_signal(signal.SIGTERM)

    def _end_daemon(self, fault: schedule.Fault) -> None:
        node = self.gateways[fault.target]
        assert node.process is not None
        node.process.send_signal(signal.SIGCONT)
        if self._stop_faults.get(node.id) is fault:
            self._restart(node)

    def _restart(self, node: gateway_fleet.GatewayProcess) -> None:
        """Waits until a daemon has exited and starts it again."""
        assert node.process is not None
        node.process.wait(timeout=self.bounds["grace_s"] + STOP_MARGIN_S)
        self.start_gateway(node)
        fleet_harness.wait_for_port(node.caller_port)
        self._stop_faults.pop(node.id, None)

    def _begin_store(self, fault: schedule.Fault) -> None:
        if fault.action == "compact":
            fleet_harness.post(self.store, "/_compact", {})
            return
        mode = STORE_MODES.get(fault.action, {fault.action: True})
        if fault.action in keys.DELAYING_FAULTS:
            now_s = time.monotonic()
            self.outages.append((now_s, now_s + fault.duration_s))
        self.set_store_faults(**mode)

    def _end_store(self, fault: schedule.Fault) -> None:
        self.set_store_faults()

    def _begin_instance(self, fault: schedule.Fault) -> None:
        service = fault.target.split("-")[1]
        if fault.action == "drain":
            self.register_instance(
                fault.target, service, state="draining", born=self._next_epoch()
            )
            self.drain_started_s[fault.target] = time.monotonic()
            return
        self.set_mode(fault.target, **{fault.action: True})

    def _end_instance(self, fault: schedule.Fault) -> None:
        if fault.action != "drain":
            self.set_mode(fault.target)
            return
        self.drain_started_s.pop(fault.target, None)
        service = fault.target.split("-")[1]
        self.register_instance(fault.target, service, born=self._next_epoch())

    def _begin_service(self, fault: schedule.Fault) -> None:
        for instance_id in self._instances_of(fault.target):
            self.set_mode(instance_id, **{fault.action: True})

    def _end_service(self, fault: schedule.Fault) -> None:
        for instance_id in self._instances_of(fault.target):
            self.set_mode(instance_id)

    def _instances_of(self, service: str) -> list[str]:
        return [i for i in self.instances if i.split("-")[1] == service]

    def _next_epoch(self) -> int:
        """Returns a new epoch; an entry with a later epoch is newer."""
        self.instance_epoch += 1
        return self.instance_epoch

    def _begin_path(self, fault: schedule.Fault) -> None:
        mode = PATH_MODES.get(fault.action, {fault.action: True})
        fleet_harness.post(self._relay_control_ports[fault.target], "/", mode)

    def _end_path(self, fault: schedule.Fault) -> None:
        fleet_harness.post(self._relay_control_ports[fault.target], "/", {})

    def _begin_operator(self, fault: schedule.Fault) -> None:
        """Moves the route /moving/ to the other service."""
        is_presses_next = len(self.route_moves) % 2 == 0
        self.set_moving_route("presses" if is_presses_next else "deposits")

    def _end_operator(self, fault: schedule.Fault) -> None:
        """Does nothing: the configuration stays in force."""
