"""Harness that runs daemons and stand-ins as processes."""

from __future__ import annotations

import hashlib
import http.client
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
WAIT_TIMEOUT_S = 30.0
# Range of ports that `free_ports` tries.
FIRST_PORT = 10_000
PORT_COUNT = 20_000
TOKEN = "owner-token"

Json = typing.Any
# Starts at a port that depends on the process, so that parallel runs seldom
# try the same ones.
_port_numbers = itertools.count(os.getpid() * 101)


class Response:
    """An HTTP response with its complete body."""

    __slots__ = ("body", "headers", "status")

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Creates a response.

        Args:
            status: The HTTP status.
            headers: Values by header name in lower case.
            body: The body.
        """
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def result(self) -> int:
        """The numeric result code of a daemon's response."""
        return int(self.headers["dotterelpath-result"])

    def json(self) -> Json:
        """Decodes the body as JSON."""
        return json.loads(self.body)


class DaemonProcess:
    """The process of a daemon, with its ports."""

    __slots__ = (
        "control_port",
        "data_centre",
        "id",
        "peer_port",
        "port",
        "process",
    )

    def __init__(self, id: str, data_centre: str) -> None:
        """Picks free ports for a daemon; `Fleet.start_node` starts it."""
        self.id = id
        self.data_centre = data_centre
        self.port, self.peer_port, self.control_port = free_ports(3)
        self.process: subprocess.Popen[bytes] | None = None


class Fleet:
    """Processes of a store, a VM list, backend servers and daemons."""

    __slots__ = (
        "_log",
        "backends",
        "nodes",
        "options",
        "processes",
        "slots",
        "store",
        "vm_list",
        "vms",
        "work_ms",
    )

    def __init__(
        self, log: pathlib.Path, slots: int = 4, work_ms: float = 5.0
    ) -> None:
        """Creates a fleet without processes.

        Args:
            log: The log file of all processes.
            slots: The slots per instance.
            work_ms: The mean duration of a request, in milliseconds.
        """
        self._log = log.open("ab")
        self.slots = slots
        self.work_ms = work_ms
        self.processes: list[subprocess.Popen[bytes]] = []
        self.nodes: dict[str, DaemonProcess] = {}
        self.backends: dict[str, int] = {}
        self.vms: dict[str, Json] = {}
        self.options: dict[str, typing.Any] = {}
        self.store, self.vm_list = free_ports(2)

    def start_platform(self, lag_s: float = 0.0) -> None:
        """Starts the store and the VM list.

        Args:
            lag_s: Time until a change of the VM list becomes visible, in
                seconds.
        """
        self.spawn("-m", "standins.store", "--port", self.store)
        self.spawn(
            "-m",
            "standins.vm_list",
            "--port",
            self.vm_list,
            "--lag-s",
            lag_s,
        )
        wait_for_port(self.store)
        wait_for_port(self.vm_list)

    def start_backends(self, service: str, count: int) -> None:
        """Starts a service's instances in one process and registers them."""
        ports = free_ports(count)
        names = [f"{service}-{n}" for n in range(1, count + 1)]
        args: list[typing.Any] = ["-m", "standins.backend"]
        for name, port in zip(names, ports, strict=True):
            self.backends[name] = port
            args += ["--instance", f"{name}:{port}"]
        args += ["--slots", self.slots, "--work-ms", self.work_ms]
        self.spawn(*args)
        wait_for_port(ports[-1])
        self.register_vms(
            *(
                self.backend_vm(name, service, "abc"[n % 3])
                for n, name in enumerate(names)
            )
        )

    def backend_vm(
        self,
        name: str,
        service: str,
        data_centre: str,
        state: str = "live",
    ) -> Json:
        """Builds the VM list entry of an instance."""
        return {
            "id": name,
            "role": "backend",
            "host": HOST,
            "port": self.backends[name],
            "data_centre": data_centre,
            "state": state,
            "service": service,
        }

    def register_vms(self, *entries: Json) -> None:
        """Adds entries to the VM list, or replaces those of the same id."""
        for entry in entries:
            self.vms[entry["id"]] = entry
        post(self.vm_list, "/set", {"vms": entries})

    def add_nodes(self, count: int) -> list[DaemonProcess]:
        """Registers and starts daemons, in data centres a, b and c in turn."""
        added = []
        for number in range(len(self.nodes) + 1, len(self.nodes) + count + 1):
            node = DaemonProcess(f"entry-{number}", "abc"[(number - 1) % 3])
            self.nodes[node.id] = node
            added.append(node)
        self.register_vms(*(self.entry_vm(node) for node in added))
        for node in added:
            self.start_node(node)
        for node in added:
            wait_for_port(node.control_port)
        return added

    def entry_vm(self, node: DaemonProcess, state: str = "live") -> Json:
        """Builds the VM list entry of a daemon."""
        return {
            "id": node.id,
            "role": "entry",
            "host": HOST,
            "port": node.port,
            "peer_port": node.peer_port,
            "data_centre": node.data_centre,
            "state": state,
        }

    def start_node(self, node: DaemonProcess, **options: typing.Any) -> None:
        """Starts the process of a daemon.

        Args:
            node: The daemon.
            **options: Flags of the daemon that override those of the fleet.
        """
        settings = {
            "id": node.id,
            "data-centre": node.data_centre,
            "listen": f"{HOST}:{node.port}",
            "peer-listen": f"{HOST}:{node.peer_port}",
            "control-listen": f"{HOST}:{node.control_port}",
            "store": f"{HOST}:{self.store}",
            "vm-list": f"{HOST}:{self.vm_list}",
            "drain-grace-s": 1.0,
            **self.options,
            **options,
        }
        args: list[typing.Any] = ["-m", "dotterelpath.daemon"]
        for name, value in settings.items():
            args += [f"--{name}", value]
        node.process = self.spawn(*args)

    def spawn(self, *args: typing.Any) -> subprocess.Popen[bytes]:
        """Starts a Python process with this project on its module path."""
        path = f"{ROOT / 'src'}{os.pathsep}{ROOT}"
        process = subprocess.Popen(
            [sys.executable, *map(str, args)],
            stdout=self._log,
            stderr=self._log,
            env={**os.environ, "PYTHONPATH": path},
            cwd=ROOT,
        )
        self.processes.append(process)
        return process

    def start_load(
        self,
        ports: typing.Iterable[int],
        mix: Json,
        rate: float,
        seconds: float,
        out: pathlib.Path,
        *flags: typing.Any,
    ) -> subprocess.Popen[bytes]:
        """Starts the load generator.

        Args:
            ports: Ports of some daemons, or of servers with `--direct`.
            mix: The operations, as JSON objects.
            rate: Mean rate, in requests per second.
            seconds: Duration, in seconds.
            out: The file of the report.
            *flags: Additional flags of the generator.
        """
        entries: list[typing.Any] = []
        for port in ports:
            entries += ["--entry", f"{HOST}:{port}"]
        return self.spawn(
            "-m",
            "standins.load",
            *entries,
            "--mix",
            json.dumps(mix),
            "--rate",
            rate,
            "--seconds",
            seconds,
            "--out",
            out,
            *flags,
        )

    def save_section(
        self, section: str, text: str, node: str = "entry-1", **headers: str
    ) -> Response:
        """Saves a section of the document through a daemon.

        The save is conditional on the current version of the section.
        """
        control = self.nodes[node].control_port
        target = f"/document/sections/{section}"
        current = call(control, "GET", target)
        etag = current.headers.get("etag", '""')
        fields = {
            "authorization": f"Bearer {TOKEN}",
            "if-match": etag,
            **headers,
        }
        return call(control, "PUT", target, text.encode(), fields)

    def wait_for_version(self, version: int, *nodes: str) -> None:
        """Waits until daemons apply a version of the document or a later one.

        Args:
            version: The version.
            *nodes: Ids of daemons; all daemons if empty.
        """
        for name in nodes or tuple(self.nodes):
            control = self.nodes[name].control_port
            wait_until(
                lambda c=control: (
                    (status(c)["document_version"] or 0) >= version
                ),
                f"version {version} in force at {name}",
            )

    def wait_for_discovery(self, counts: dict[str, int]) -> None:
        """Waits until all daemons know each other and all instances.

        Args:
            counts: The number of instances in rotation, by service.
        """

        def has_discovered_all(node: DaemonProcess) -> bool:
            state = status(node.control_port)
            services = state["services"]
            rotation = {
                name: len(services[name]["rotation"])
                for name in counts
                if name in services
            }
            alive = [
                m for m in state["members"].values() if m["state"] == "alive"
            ]
            return rotation == counts and len(alive) == len(self.nodes) - 1

        for node in self.nodes.values():
            wait_until(
                lambda n=node: has_discovered_all(n),
                f"{node.id} knows {counts} and all daemons",
            )

    def set_mode(self, instance_id: str, **mode: typing.Any) -> None:
        """Sets the fault mode of an instance."""
        post(self.backends[instance_id], "/_mode", mode)

    def set_store_faults(self, **faults: typing.Any) -> None:
        """Sets the faults of the store; without arguments, ends all faults."""
        post(self.store, "/fault", faults)

    def count_runs(self) -> dict[str, int]:
        """Counts the runs of each request identity over all instances."""
        total: dict[str, int] = {}
        for port in self.backends.values():
            runs = call(port, "GET", "/_runs").json()["runs"]
            for identity, count in runs.items():
                total[identity] = total.get(identity, 0) + count
        return total

    def stop(self) -> None:
        """Kills all processes and closes the log."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self._log.close()


def owners_line() -> str:
    """Builds the line of a section that sets the owner of TOKEN."""
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    return f'owners = ["{digest}"]\n'


def free_ports(count: int) -> list[int]:
    """Finds free ports, none of them twice.

    The ports are below the range that the system uses for outgoing
    connections (32768 and up on Linux). Thus no outgoing connection takes a
    port before the caller listens on it.
    """
    found = []
    while len(found) < count:
        port = FIRST_PORT + next(_port_numbers) % PORT_COUNT
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
    return found


def call(
    port: int,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 20.0,
) -> Response:
    """Sends a request on a new connection and reads the response."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
    try:
        connection.request(method, target, body or None, headers or {})
        response = connection.getresponse()
        fields = {n.lower(): v for n, v in response.getheaders()}
        return Response(response.status, fields, response.read())
    finally:
        connection.close()


def post(port: int, target: str, data: Json) -> Response:
    """Sends a POST request with a JSON body."""
    return call(port, "POST", target, json.dumps(data).encode())


def status(control: int) -> Json:
    """Reads the status of a daemon from its control port."""
    return call(control, "GET", "/status").json()


def wait_for_port(port: int) -> None:
    """Waits until a port accepts connections."""

    def is_open() -> bool:
        with socket.socket() as probe:
            return probe.connect_ex((HOST, port)) == 0

    wait_until(is_open, f"port {port} accepts connections")


def wait_until(
    condition: typing.Callable[[], object],
    description: str,
    timeout_s: float = WAIT_TIMEOUT_S,
) -> None:
    """Polls a condition until it holds.

    Network errors of the condition count as not yet true.

    Args:
        condition: Returns a true value if the wait is over.
        description: The condition, for the error message.
        timeout_s: Longest wait, in seconds.

    Raises:
        AssertionError: The condition didn't hold within the timeout.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    raise AssertionError(f"not within {timeout_s:g} s: {description}")
