"""The main job with faults: serves both users and prints the outcomes."""

from __future__ import annotations

import json
import signal
import sys
import time
import typing

from standins import deployments
from standins import fleet

RATE = 120.0
SECONDS = 14.0
GRAY_AT_S = 3.0
KILL_AT_S = 6.0
EDIT_AT_S = 8.0
GRAY_SHARE = 0.6
OUT = fleet.ROOT / "out"


class Result:
    """What one user's run showed."""

    __slots__ = ("broken", "rows")

    def __init__(self) -> None:
        """Creates an empty result."""
        self.rows: list[tuple[str, str]] = []
        self.broken: list[str] = []

    def row(self, name: str, value: object) -> None:
        """Adds a line of the table."""
        self.rows.append((name, str(value)))

    def must(self, holds: bool, promise: str) -> None:
        """Notes a promise that did not hold."""
        if not holds:
            self.broken.append(promise)


def run(estate: deployments.Deployment) -> Result:
    """Runs one user's estate.

    Args:
        estate: The estate.
    """
    OUT.mkdir(exist_ok=True)
    running = estate.start(OUT / "demo.log", 3)
    try:
        return _run(estate, running)
    finally:
        running.stop()


def _run(estate: deployments.Deployment, running: fleet.Fleet) -> Result:
    result = Result()
    report_path = OUT / f"demo-{estate.services[0].name}.json"
    ports = [node.port for node in running.nodes.values()]
    load = running.start_load(ports, estate.mix(), RATE, SECONDS, report_path)
    started_s = time.monotonic()
    time.sleep(GRAY_AT_S)
    sick = f"{estate.services[0].name}-1"
    running.set_mode(sick, fail_share=GRAY_SHARE)
    ejected_s = _wait_ejected(running, estate.services[0].name, sick)
    result.row("gray server ejected after", _seconds(ejected_s))
    _sleep_until(started_s + KILL_AT_S)
    victim = running.nodes.pop("entry-3")
    assert victim.process is not None
    victim.process.send_signal(signal.SIGKILL)
    _sleep_until(started_s + EDIT_AT_S)
    edited = estate.services[-1]
    edited.timeout_ms += 1
    saved = running.save_section(
        edited.name, edited.section(estate.weigh, estate.slots)
    )
    saved_s = time.monotonic()
    result.must(saved.status == 200, "an edit is accepted")
    running.wait_for_version(saved.json()["version"])
    took_s = time.monotonic() - saved_s
    result.row("edit in force everywhere after", _seconds(took_s))
    result.must(took_s < 7.0, "an edit is in force within 7 s")
    load.wait(60)
    _judge(result, running, json.loads(report_path.read_text()))
    return result


def _judge(result: Result, running: fleet.Fleet, report: typing.Any) -> None:
    totals: dict[str, int] = {}
    mixed_up = 0
    for operation in report["operations"].values():
        mixed_up += operation["mixed_up"]
        for end, count in operation["outcomes"].items():
            totals[end] = totals.get(end, 0) + count
    runs = running.count_runs()
    ends: dict[str, str] = report["ends"]
    doubled = [key for key, count in runs.items() if count > 1]
    lost = [k for k, e in ends.items() if e == "answered" and k not in runs]
    false_not_run = [k for k, e in ends.items() if e == "not run" and k in runs]
    result.row("requests", sum(totals.values()))
    for end in ("answered", "not run", "unknown", "failed"):
        result.row(end, totals.get(end, 0))
    result.row("doubled", len(doubled))
    result.row("lost (answered, never run)", len(lost))
    result.row("told not run, but run", len(false_not_run))
    result.row("answers of another request", mixed_up)
    result.row("ejected", _ejected(running))
    result.row("added latency p99, all daemons", _added(running))
    result.must(not doubled, "nothing runs twice")
    result.must(not lost, "nothing is lost")
    result.must(not false_not_run, "not run means not run")
    result.must(not mixed_up, "each caller gets its own answer")
    answered = totals.get("answered", 0) / max(1, sum(totals.values()))
    result.must(answered > 0.95, "callers reach servers that serve")


def _wait_ejected(
    running: fleet.Fleet, service: str, instance: str
) -> float | None:
    control = running.nodes["entry-1"].control
    began_s = time.monotonic()
    while time.monotonic() - began_s < 3.0:
        shown = fleet.status(control)["services"][service]
        if instance in shown["ejected"]:
            return time.monotonic() - began_s
        time.sleep(0.05)
    return None


def _ejected(running: fleet.Fleet) -> str:
    found: set[str] = set()
    for node in running.nodes.values():
        for service in fleet.status(node.control)["services"].values():
            found.update(service["ejected"])
    return ", ".join(sorted(found)) or "none"


def _added(running: fleet.Fleet) -> str:
    """Finds the bucket of the added time that holds 99 in 100 requests."""
    counts: dict[float, float] = {}
    for node in running.nodes.values():
        text = fleet.call(node.control, "GET", "/metrics").body.decode()
        for line in text.splitlines():
            if not line.startswith("dotterelpath_added_seconds_bucket"):
                continue
            if 'service=""' in line:
                continue
            bound = float(line.partition('le="')[2].partition('"')[0])
            counts[bound] = counts.get(bound, 0.0) + float(line.split()[-1])
    total = counts.get(float("inf"), 0.0)
    for bound in sorted(counts):
        if counts[bound] >= 0.99 * total:
            return f"at most {bound * 1000:g} ms"
    return "unknown"


def _sleep_until(at_s: float) -> None:
    time.sleep(max(0.0, at_s - time.monotonic()))


def _seconds(value: float | None) -> str:
    return "not within 3 s" if value is None else f"{value:.2f} s"


def main() -> int:
    """Runs both users' estates.

    Returns:
        0 where all promises held, else 1.
    """
    broken = []
    for estate in (deployments.KAROO, deployments.SPRUNGFREUDE):
        print(f"\n{estate.name}: three daemons, {RATE:g} requests a second")
        result = run(estate)
        for name, value in result.rows:
            print(f"  {name:34} {value}")
        for promise in result.broken:
            print(f"  BROKEN: {promise}")
        broken += result.broken
    print("\nall promises held" if not broken else "\na promise broke")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
