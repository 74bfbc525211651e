"""Runs both users' deployments under load and faults, and prints results.

In each deployment an instance starts to fail, a daemon is killed and a section
of the document is edited while load runs.
"""

from __future__ import annotations

import json
import signal
import sys
import time
import typing

from standins import deployments
from standins import fleet

RATE = 120.0  # Requests per second.
SECONDS = 14.0
# Times since the start of the load.
FAULT_AT_S = 3.0
KILL_AT_S = 6.0
EDIT_AT_S = 8.0
FAIL_SHARE = 0.6  # Fraction of requests that the faulty instance fails.
OUT = fleet.ROOT / "out"


class Result:
    """The result of a deployment's run: table rows and broken promises."""

    __slots__ = ("rows", "violations")

    def __init__(self) -> None:
        """Creates an empty result."""
        self.rows: list[tuple[str, str]] = []
        self.violations: list[str] = []

    def add_row(self, name: str, value: object) -> None:
        """Adds a row to the table."""
        self.rows.append((name, str(value)))

    def check(self, holds: bool, promise: str) -> None:
        """Records the promise as broken unless it holds."""
        if not holds:
            self.violations.append(promise)


def run(deployment: deployments.Deployment) -> Result:
    """Runs a deployment under load and faults.

    Args:
        deployment: The deployment to run.
    """
    OUT.mkdir(exist_ok=True)
    running = deployment.start(OUT / "demo.log", 3)
    try:
        return _run(deployment, running)
    finally:
        running.stop()


def _run(deployment: deployments.Deployment, running: fleet.Fleet) -> Result:
    result = Result()
    report_path = OUT / f"demo-{deployment.services[0].name}.json"
    ports = [node.port for node in running.nodes.values()]
    load = running.start_load(
        ports, deployment.mix(), RATE, SECONDS, report_path
    )
    started_s = time.monotonic()
    time.sleep(FAULT_AT_S)
    faulty = f"{deployment.services[0].name}-1"
    running.set_mode(faulty, fail_share=FAIL_SHARE)
    ejected_s = _wait_until_ejected(
        running, deployment.services[0].name, faulty
    )
    result.add_row("faulty server ejected after", _format_seconds(ejected_s))
    _sleep_until(started_s + KILL_AT_S)
    killed = running.nodes.pop("entry-3")
    assert killed.process is not None
    killed.process.send_signal(signal.SIGKILL)
    _sleep_until(started_s + EDIT_AT_S)
    edited = deployment.services[-1]
    edited.timeout_ms += 1
    saved = running.save_section(
        edited.name,
        edited.section(deployment.ejection_policy, deployment.slots),
    )
    saved_s = time.monotonic()
    result.check(saved.status == 200, "an edit is accepted")
    running.wait_for_version(saved.json()["version"])
    took_s = time.monotonic() - saved_s
    result.add_row("edit in force everywhere after", _format_seconds(took_s))
    result.check(took_s < 7.0, "an edit is in force within 7 s")
    load.wait(60)
    _check_outcomes(result, running, json.loads(report_path.read_text()))
    return result


def _check_outcomes(
    result: Result, running: fleet.Fleet, report: typing.Any
) -> None:
    totals: dict[str, int] = {}
    mixed_up = 0
    for operation in report["operations"].values():
        mixed_up += operation["mixed_up"]
        for outcome, count in operation["outcomes"].items():
            totals[outcome] = totals.get(outcome, 0) + count
    runs = running.count_runs()
    outcomes: dict[str, str] = report["ends"]
    duplicated = [key for key, count in runs.items() if count > 1]
    lost = [k for k, e in outcomes.items() if e == "answered" and k not in runs]
    wrongly_not_run = [
        k for k, e in outcomes.items() if e == "not run" and k in runs
    ]
    result.add_row("requests", sum(totals.values()))
    for outcome in ("answered", "not run", "unknown", "failed"):
        result.add_row(outcome, totals.get(outcome, 0))
    result.add_row("run more than once", len(duplicated))
    result.add_row("lost (answered, never run)", len(lost))
    result.add_row("reported not run, but run", len(wrongly_not_run))
    result.add_row("responses to another request", mixed_up)
    result.add_row("ejected", _ejected_instances(running))
    result.add_row("added latency p99, all daemons", _added_p99(running))
    result.check(not duplicated, "nothing runs twice")
    result.check(not lost, "nothing is lost")
    result.check(not wrongly_not_run, "not run means not run")
    result.check(not mixed_up, "each caller gets its own response")
    answered = totals.get("answered", 0) / max(1, sum(totals.values()))
    result.check(answered > 0.95, "more than 95 % of requests are answered")


def _wait_until_ejected(
    running: fleet.Fleet, service: str, instance: str
) -> float | None:
    control = running.nodes["entry-1"].control_port
    started_s = time.monotonic()
    while time.monotonic() - started_s < 3.0:
        state = fleet.status(control)["services"][service]
        if instance in state["ejected"]:
            return time.monotonic() - started_s
        time.sleep(0.05)
    return None


def _ejected_instances(running: fleet.Fleet) -> str:
    ejected: set[str] = set()
    for node in running.nodes.values():
        for service in fleet.status(node.control_port)["services"].values():
            ejected.update(service["ejected"])
    return ", ".join(sorted(ejected)) or "none"


def _added_p99(running: fleet.Fleet) -> str:
    """Finds the histogram bucket of the 99th percentile of added latency."""
    counts: dict[float, float] = {}
    for node in running.nodes.values():
        text = fleet.call(node.control_port, "GET", "/metrics").body.decode()
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


def _format_seconds(value: float | None) -> str:
    return "not within 3 s" if value is None else f"{value:.2f} s"


def main() -> int:
    """Runs both users' deployments.

    Returns:
        0 if all promises held, else 1.
    """
    violations = []
    for deployment in (deployments.KAROO, deployments.SPRUNGFREUDE):
        print(f"\n{deployment.name}: three daemons, {RATE:g} requests a second")
        result = run(deployment)
        for name, value in result.rows:
            print(f"  {name:34} {value}")
        for promise in result.violations:
            print(f"  BROKEN: {promise}")
        violations += result.violations
    print("\nall promises held" if not violations else "\na promise broke")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
