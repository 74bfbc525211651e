"""Measures the latency that a daemon adds, and its CPU time per request.

The direct path and the path through the daemon get the same open-loop load in
alternating rounds of one run, so that noise of the machine affects both.
"""

from __future__ import annotations

import json
import os
import pathlib
import statistics

from benchmarks import report
from standins import deployments
from standins import fleet

RATE_PER_S = 211.0
ROUNDS = 3
ROUND_S = 5.0
MEAN_WORK_MS = 2.0
MAX_ADDED_P99_MS = 1.3
OUT = fleet.ROOT / "out"

DEPLOYMENT = deployments.Deployment(
    "added latency",
    "detection",
    8,
    [deployments.ServiceSpec("echo", 4, 2, 1.0, 0.0)],
)


def run() -> report.Table:
    """Runs the benchmark.

    Returns:
        A table with a row for each path and a row for the difference.
    """
    OUT.mkdir(exist_ok=True)
    running = DEPLOYMENT.start(OUT / "bench.log", 1, MEAN_WORK_MS)
    try:
        for name in running.backends:
            running.set_mode(name, fixed=True)
        _run_load(running, False, 2.0)
        return _measure(running)
    finally:
        running.stop()


def _measure(running: fleet.Fleet) -> report.Table:
    """Loads both paths in turn and compares the medians of the rounds."""
    node = running.nodes["entry-1"]
    assert node.process is not None
    direct: list[dict[str, float]] = []
    proxied: list[dict[str, float]] = []
    cpu_s = 0.0
    requests = 0
    for _ in range(ROUNDS):
        direct.append(_run_load(running, True, ROUND_S)[0])
        cpu_before_s = cpu_time_s(node.process.pid)
        latency, count = _run_load(running, False, ROUND_S)
        cpu_s += cpu_time_s(node.process.pid) - cpu_before_s
        requests += count
        proxied.append(latency)
    table = report.Table(
        "added latency at 211 requests a second",
        ("path", "p50 ms", "p90 ms", "p99 ms"),
    )
    rows = {}
    for name, rounds in (("direct", direct), ("through", proxied)):
        rows[name] = [
            statistics.median(latency_ms[p] for latency_ms in rounds)
            for p in ("p50", "p90", "p99")
        ]
        table.add_row(name, *(round(v, 3) for v in rows[name]))
    added = [
        t - d for t, d in zip(rows["through"], rows["direct"], strict=True)
    ]
    table.add_row("added", *(round(v, 3) for v in added))
    cpu_ms = 1000.0 * cpu_s / requests
    table.add_note(f"processor time {cpu_ms:.3f} ms a request")
    table.add_note(f"{1000.0 / cpu_ms:.0f} requests a second per core")
    table.add_bound("added p99 in ms", added[2], MAX_ADDED_P99_MS)
    return table


def _run_load(
    running: fleet.Fleet, direct: bool, seconds: float
) -> tuple[dict[str, float], int]:
    """Loads one of the two paths.

    Returns:
        The latency percentiles in milliseconds, and the number of requests.
    """
    out = OUT / "bench-load.json"
    ports = list(running.backends.values())
    if not direct:
        ports = [node.port for node in running.nodes.values()]
    flags = ["--direct"] if direct else []
    process = running.start_load(
        ports, DEPLOYMENT.mix(), RATE_PER_S, seconds, out, *flags
    )
    process.wait()
    measured = json.loads(out.read_text())["operations"]["echo check"]
    return measured["latency_ms"], sum(measured["outcomes"].values())


def cpu_time_s(pid: int) -> float:
    """Reads the CPU time of a process.

    Args:
        pid: The id of the process.

    Returns:
        The sum of user and system time, in seconds.
    """
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")
