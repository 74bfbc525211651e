"""Goodput by class under overload, with a straggler and a gray server.

The same load goes through the fleet and through a round robin without limits,
in one run.
"""

from __future__ import annotations

import json
import typing

from benchmarks import report
from standins import deployments
from standins import fleet

INSTANCES = 8
SLOTS = 2
WORK_MS = 80.0
CAPACITY = INSTANCES * SLOTS * 1000.0 / WORK_MS
FACTORS = (0.5, 1.0, 1.5, 3.0)
PHASE_S = 8.0
RECOVERY_S = 5.0
DEADLINE_MS = 1000
AMPLIFICATION = 1.1
GRAY_SHARE = 0.5
STRAGGLER = 5.0
OUT = fleet.ROOT / "out"

BOOKINGS = deployments.ServiceSpec(
    "bookings", INSTANCES, 5, 1.0, 1.0, timeout_ms=DEADLINE_MS
)
ESTATE = deployments.Deployment("overload", "detection", SLOTS, [BOOKINGS])


class Phase:
    """What one phase of load showed."""

    __slots__ = ("arrived", "report", "sent")

    def __init__(self, measured: typing.Any, arrived: int) -> None:
        """Creates a phase.

        Args:
            measured: The load generator's report.
            arrived: Tries that reached servers.
        """
        self.report = measured
        self.arrived = arrived
        self.sent = sum(
            sum(operation["outcomes"].values())
            for operation in measured["operations"].values()
        )

    def answered(self, name: str) -> int:
        """Counts the answered requests of one operation.

        Args:
            name: The operation.
        """
        return self.report["operations"][name]["outcomes"].get("answered", 0)

    def share(self, name: str) -> float:
        """Finds the answered share of one operation, in percent.

        Args:
            name: The operation.
        """
        outcomes = self.report["operations"][name]["outcomes"]
        return round(100.0 * self.answered(name) / sum(outcomes.values()), 1)

    def p99(self, name: str) -> float:
        """Finds the latency of 99 in 100 answers of one operation, in ms.

        Args:
            name: The operation.
        """
        return self.report["operations"][name]["latency_ms"]["p99"]


def run() -> report.Table:
    """Runs the benchmark.

    Returns:
        A table with a row for each load and path.
    """
    OUT.mkdir(exist_ok=True)
    table = report.Table(
        "overload: share answered in time, in percent",
        ("load", "path", "goodput/s", "bookings", "checks", "p99 ms", "tries"),
    )
    for path in ("round robin", "fleet"):
        running = ESTATE.start(OUT / "bench.log", 3, WORK_MS)
        try:
            _phases(table, running, path)
        finally:
            running.stop()
    table.note(
        f"capacity {CAPACITY:g} requests a second of {INSTANCES} servers, one"
        f" of which fails {GRAY_SHARE:.0%} and one is {STRAGGLER:g} times"
        f" slower; deadline {DEADLINE_MS} ms; half of the load are bookings"
    )
    return table


def _phases(table: report.Table, running: fleet.Fleet, path: str) -> None:
    ports = [node.port for node in running.nodes.values()]
    if path == "round robin":
        ports = fleet.free_ports(3)
        servers: list[typing.Any] = []
        for port in running.backends.values():
            servers += ["--server", f"{fleet.HOST}:{port}"]
        for port in ports:
            running.spawn(
                "-m", "standins.round_robin", "--port", port, *servers
            )
            fleet.wait_for_port(port)
    _load(running, ports, path, 0.3, 2.0)
    names = list(running.backends)
    running.set_mode(names[0], fail_share=GRAY_SHARE)
    running.set_mode(names[1], slow_factor=STRAGGLER)
    for factor in FACTORS:
        phase = _load(running, ports, path, factor, PHASE_S)
        attempts = phase.arrived / phase.sent
        goodput = phase.answered("bookings write") + phase.answered(
            "bookings check"
        )
        table.row(
            f"{factor:g}x",
            path,
            round(goodput / PHASE_S, 1),
            phase.share("bookings write"),
            phase.share("bookings check"),
            round(phase.p99("bookings write"), 0),
            round(attempts, 2),
        )
        if path == "fleet":
            table.bound(
                f"tries per request at {factor:g}x", attempts, AMPLIFICATION
            )
    after = _load(running, ports, path, 0.5, RECOVERY_S + 3.0)
    _recovery(table, path, after)


def _recovery(table: report.Table, path: str, after: Phase) -> None:
    """Finds when goodput is back after the overload."""
    answered = [0] * int(RECOVERY_S + 3.0)
    sent = [0] * int(RECOVERY_S + 3.0)
    for second, _, end, count in after.report["timeline"]:
        if second < len(sent):
            sent[second] += count
            answered[second] += count if end == "answered" else 0
    shares = [a / max(1, s) for a, s in zip(answered, sent, strict=True)]
    back_s = len(shares)
    for second in reversed(range(len(shares))):
        if shares[second] < 0.95:
            break
        back_s = second
    table.note(f"{path}: goodput at 0.5x was back after {back_s} s")
    if path == "fleet":
        table.bound("goodput back after overload in s", back_s, RECOVERY_S)


def _load(
    running: fleet.Fleet,
    ports: list[int],
    path: str,
    factor: float,
    seconds: float,
) -> Phase:
    before = _arrived(running)
    out = OUT / "bench-load.json"
    flags = ["--within-ms", DEADLINE_MS, "--once"]
    if path == "round robin":
        flags.append("--direct")
    rate = CAPACITY * factor
    process = running.start_load(
        ports, ESTATE.mix(), rate, seconds, out, *flags
    )
    process.wait()
    return Phase(json.loads(out.read_text()), _arrived(running) - before)


def _arrived(running: fleet.Fleet) -> int:
    total = 0
    for port in running.backends.values():
        served = fleet.call(port, "GET", "/_runs").json()["served"]
        total += served.get("arrived", 0)
    return total
