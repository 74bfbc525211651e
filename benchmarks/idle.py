"""Measures the cost of idle daemon processes at several fleet sizes."""

from __future__ import annotations

import pathlib
import statistics
import time

from benchmarks import added_latency
from benchmarks import report
from standins import deployments
from standins import fleet

# Numbers of daemons.
SIZES = (3, 8, 16, 24)
SETTLE_S = 4.0
WINDOW_S = 10.0
# Fraction of one core.
MAX_CPU_FRACTION = 0.028
MAX_MEMORY_MB = 256.0
MAX_BYTES_PER_S = 8192.0
OUT = fleet.ROOT / "out"

DEPLOYMENT = deployments.Deployment(
    "idle", "detection", 4, [deployments.ServiceSpec("echo", 4, 2, 1.0, 0.0)]
)


class Usage:
    """The CPU time, the bytes read and written and the memory of a process."""

    __slots__ = ("cpu_s", "io_bytes", "memory_mb")

    def __init__(self, pid: int) -> None:
        """Reads the usage of a process.

        Args:
            pid: The id of the process.
        """
        self.cpu_s = added_latency.cpu_time_s(pid)
        self.io_bytes = sum(_read_proc_fields(pid, "io", ("rchar", "wchar")))
        self.memory_mb = (
            sum(_read_proc_fields(pid, "status", ("VmRSS",))) / 1000.0
        )


def run() -> report.Table:
    """Runs the benchmark.

    Returns:
        A table with a row for each fleet size, with medians over the daemons.
    """
    OUT.mkdir(exist_ok=True)
    table = report.Table(
        "idle daemons",
        ("daemons", "core share", "bytes/s", "memory MB", "store calls/s"),
    )
    for size in SIZES:
        running = DEPLOYMENT.start(OUT / "bench.log", size)
        try:
            cpu_fraction, bytes_per_s, memory_mb, store_calls_per_s = _measure(
                running
            )
        finally:
            running.stop()
        table.add_row(
            size,
            round(cpu_fraction, 4),
            round(bytes_per_s),
            round(memory_mb, 1),
            round(store_calls_per_s, 1),
        )
    table.add_bound("core share", cpu_fraction, MAX_CPU_FRACTION)
    table.add_bound("memory in MB", memory_mb, MAX_MEMORY_MB)
    table.add_bound("bytes a second, in and out", bytes_per_s, MAX_BYTES_PER_S)
    table.add_note("bytes are those of all reads and writes of the process")
    return table


def _measure(running: fleet.Fleet) -> tuple[float, float, float, float]:
    """Measures the daemons of a fleet over a time window.

    Returns:
        The medians over the daemons of the fraction of a core, the bytes per
        second and the memory in MB, and the store calls per second of the
        whole fleet.
    """
    time.sleep(SETTLE_S)
    pids = [n.process.pid for n in running.nodes.values() if n.process]
    calls_before = _store_calls(running)
    before = [Usage(pid) for pid in pids]
    started_s = time.monotonic()
    time.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - started_s
    after = [Usage(pid) for pid in pids]
    pairs = list(zip(before, after, strict=True))
    return (
        statistics.median(b.cpu_s - a.cpu_s for a, b in pairs) / elapsed_s,
        statistics.median(b.io_bytes - a.io_bytes for a, b in pairs)
        / elapsed_s,
        statistics.median(used.memory_mb for used in after),
        (_store_calls(running) - calls_before) / elapsed_s,
    )


def _store_calls(running: fleet.Fleet) -> int:
    return sum(fleet.call(running.store, "GET", "/counts").json().values())


def _read_proc_fields(pid: int, file: str, names: tuple[str, ...]) -> list[int]:
    """Reads integers from a file of `name: value` lines under /proc/PID."""
    text = pathlib.Path(f"/proc/{pid}/{file}").read_text()
    lines = [line.split() for line in text.splitlines()]
    return [int(line[1]) for line in lines if line[0].rstrip(":") in names]
