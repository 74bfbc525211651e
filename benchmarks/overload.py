"""Measures goodput by request class under overload.

One backend server is slow, another fails part of its requests. The same load
goes through the fleet and, as a baseline, through a round-robin proxy without
limits, in one run.
"""

from __future__ import annotations

import json
import typing

from benchmarks import report
from standins import deployments
from standins import fleet

INSTANCES = 8
SLOTS = 2
MEAN_WORK_MS = 80.0
CAPACITY_PER_S = INSTANCES * SLOTS * 1000.0 / MEAN_WORK_MS
# Load as a multiple of the capacity.
LOAD_FACTORS = (0.5, 1.0, 1.5, 3.0)
PHASE_S = 8.0
# Time after the overload within which goodput must be back.
MAX_RECOVERY_S = 5.0
DEADLINE_MS = 1000
MAX_ATTEMPTS_PER_REQUEST = 1.1
GRAY_FAILURE_FRACTION = 0.5
STRAGGLER_FACTOR = 5.0
OUT = fleet.ROOT / "out"

BOOKINGS = deployments.ServiceSpec(
    "bookings", INSTANCES, 5, 1.0, 1.0, timeout_ms=DEADLINE_MS
)
DEPLOYMENT = deployments.Deployment("overload", "detection", SLOTS, [BOOKINGS])


class Phase:
    """The measurements of one phase of load."""

    __slots__ = ("attempt_count", "measured", "request_count")

    def __init__(self, measured: typing.Any, attempt_count: int) -> None:
        """Creates a phase.

        Args:
            measured: The report of the load generator.
            attempt_count: The attempts that reached the servers.
        """
        self.measured = measured
        self.attempt_count = attempt_count
        self.request_count = sum(
            sum(operation["outcomes"].values())
            for operation in measured["operations"].values()
        )

    def count_answered(self, name: str) -> int:
        """Returns how many requests of an operation were answered.

        Args:
            name: The name of the operation.
        """
        return self.measured["operations"][name]["outcomes"].get("answered", 0)

    def answered_percent(self, name: str) -> float:
        """Returns the answered requests of an operation, in percent.

        Args:
            name: The name of the operation.
        """
        outcomes = self.measured["operations"][name]["outcomes"]
        return round(
            100.0 * self.count_answered(name) / sum(outcomes.values()), 1
        )

    def p99_ms(self, name: str) -> float:
        """Returns the 99th percentile latency of an operation, in milliseconds.

        Args:
            name: The name of the operation.
        """
        return self.measured["operations"][name]["latency_ms"]["p99"]


def run() -> report.Table:
    """Runs the benchmark.

    Returns:
        A table with a row for each path and load.
    """
    OUT.mkdir(exist_ok=True)
    table = report.Table(
        "overload: share answered in time, in percent",
        ("load", "path", "goodput/s", "bookings", "checks", "p99 ms", "tries"),
    )
    for path in ("round robin", "fleet"):
        running = DEPLOYMENT.start(OUT / "bench.log", 3, MEAN_WORK_MS)
        try:
            _measure_path(table, running, path)
        finally:
            running.stop()
    table.add_note(
        f"capacity {CAPACITY_PER_S:g} requests a second of {INSTANCES} servers,"
        f" one of which fails {GRAY_FAILURE_FRACTION:.0%} and one is"
        f" {STRAGGLER_FACTOR:g} times slower; deadline {DEADLINE_MS} ms;"
        " half of the load are bookings"
    )
    return table


def _measure_path(table: report.Table, running: fleet.Fleet, path: str) -> None:
    """Measures all loads on one path and adds the results to the table."""
    ports = [node.port for node in running.nodes.values()]
    if path == "round robin":
        ports = fleet.free_ports(3)
        server_flags: list[typing.Any] = []
        for port in running.backends.values():
            server_flags += ["--server", f"{fleet.HOST}:{port}"]
        for port in ports:
            running.spawn(
                "-m", "standins.round_robin", "--port", port, *server_flags
            )
            fleet.wait_for_port(port)
    _run_load(running, ports, path, 0.3, 2.0)
    names = list(running.backends)
    running.set_mode(names[0], fail_share=GRAY_FAILURE_FRACTION)
    running.set_mode(names[1], slow_factor=STRAGGLER_FACTOR)
    for factor in LOAD_FACTORS:
        phase = _run_load(running, ports, path, factor, PHASE_S)
        attempts_per_request = phase.attempt_count / phase.request_count
        goodput = phase.count_answered("bookings write") + phase.count_answered(
            "bookings check"
        )
        table.add_row(
            f"{factor:g}x",
            path,
            round(goodput / PHASE_S, 1),
            phase.answered_percent("bookings write"),
            phase.answered_percent("bookings check"),
            round(phase.p99_ms("bookings write"), 0),
            round(attempts_per_request, 2),
        )
        if path == "fleet":
            table.add_bound(
                f"tries per request at {factor:g}x",
                attempts_per_request,
                MAX_ATTEMPTS_PER_REQUEST,
            )
    recovery = _run_load(running, ports, path, 0.5, MAX_RECOVERY_S + 3.0)
    _record_recovery(table, path, recovery)


def _record_recovery(table: report.Table, path: str, recovery: Phase) -> None:
    """Records the time until goodput is back after the overload.

    Goodput is back at the start of the first second from which on at least 95 %
    of the requests of each second are answered.
    """
    answered = [0] * int(MAX_RECOVERY_S + 3.0)
    sent = [0] * int(MAX_RECOVERY_S + 3.0)
    for second, _, outcome, count in recovery.measured["timeline"]:
        if second < len(sent):
            sent[second] += count
            answered[second] += count if outcome == "answered" else 0
    answered_fractions = [
        a / max(1, s) for a, s in zip(answered, sent, strict=True)
    ]
    recovered_s = len(answered_fractions)
    for second in reversed(range(len(answered_fractions))):
        if answered_fractions[second] < 0.95:
            break
        recovered_s = second
    table.add_note(f"{path}: goodput at 0.5x was back after {recovered_s} s")
    if path == "fleet":
        table.add_bound(
            "goodput back after overload in s", recovered_s, MAX_RECOVERY_S
        )


def _run_load(
    running: fleet.Fleet,
    ports: list[int],
    path: str,
    factor: float,
    seconds: float,
) -> Phase:
    """Runs a phase of load at a multiple of the capacity."""
    attempts_before = _count_attempts(running)
    out = OUT / "bench-load.json"
    flags = ["--within-ms", DEADLINE_MS, "--once"]
    if path == "round robin":
        flags.append("--direct")
    rate = CAPACITY_PER_S * factor
    process = running.start_load(
        ports, DEPLOYMENT.mix(), rate, seconds, out, *flags
    )
    process.wait()
    return Phase(
        json.loads(out.read_text()), _count_attempts(running) - attempts_before
    )


def _count_attempts(running: fleet.Fleet) -> int:
    """Returns how many attempts have reached the servers so far."""
    total = 0
    for port in running.backends.values():
        served = fleet.call(port, "GET", "/_runs").json()["served"]
        total += served.get("arrived", 0)
    return total
