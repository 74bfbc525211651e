"""Detection time against false ejections, on reproducible outcome streams.

Daemons judge the instances of a service by simulated work. A daemon avoids an
instance by its own detector; the steward ejects by the combined reports, or,
for the baselines, when two daemons call the same instance sick.
"""

from __future__ import annotations

import concurrent.futures
import random
import typing

from benchmarks import report
from dotterelpath.domain import document
from dotterelpath.domain import ledger
from dotterelpath.domain import outlier_detection

DAEMONS = 3
INSTANCES = 6
RATE = 20.0
WORK_S = 0.005
HEALTHY_FAILURES = 0.001
ROUND_S = 0.25
WARM_S = 40.0
LIMIT_S = 60.0
RUNS = 40
SICK = "i0"
DAY_S = 86400.0
FALSE_S = DAY_S / INSTANCES
PLACES = "abc"


class Fault:
    """What is wrong, from the end of the warm-up on."""

    __slots__ = ("failures", "is_everywhere", "link", "name", "rate", "slow")

    def __init__(
        self,
        name: str,
        failures: float = 0.0,
        slow: float = 1.0,
        rate: float = RATE,
        is_everywhere: bool = False,
        link: bool = False,
    ) -> None:
        """Creates a fault.

        Args:
            name: Its name in the table.
            failures: The share of work that fails.
            slow: The factor on latency.
            rate: Requests a second of each daemon to each instance.
            is_everywhere: Whether all instances have it.
            link: Whether only one daemon sees it, on all instances.
        """
        self.name = name
        self.failures = failures
        self.slow = slow
        self.rate = rate
        self.is_everywhere = is_everywhere
        self.link = link


SICK_FAULTS = (
    Fault("gray 5 %", failures=0.05),
    Fault("gray 20 %", failures=0.2),
    Fault("gray 50 %", failures=0.5),
    Fault("gray 100 %", failures=1.0),
    Fault("straggler 2x", slow=2.0),
    Fault("straggler 5x", slow=5.0),
    Fault("straggler 20x", slow=20.0),
    Fault("gray 50 % at 0.1/s", failures=0.5, rate=0.1),
)
HEALTHY_FAULTS = (
    Fault("healthy"),
    Fault("overload of all, 30 % fail", 0.3, 4.0, is_everywhere=True),
    Fault("one daemon's bad link", failures=0.5, link=True),
)
KINDS = ("consecutive", "ewma", "ratio, detection", "ratio, false-ejections")


class Trial:
    """One run of one detector under one fault."""

    __slots__ = ("_fault", "_kind", "_random", "_reports", "detectors", "now_s")

    def __init__(self, kind: str, fault: Fault, seed: int) -> None:
        """Creates a run.

        Args:
            kind: The detector's name.
            fault: What goes wrong.
            seed: Makes the run reproducible.
        """
        self._kind = kind
        self._fault = fault
        self._random = random.Random(f"{kind}/{fault.name}/{seed}")
        self._reports = ledger.SuspicionReports()
        self.detectors = [_detector(kind) for _ in range(DAEMONS)]
        self.now_s = 0.0

    def advance(self, seconds: float, is_faulty: bool) -> list[str]:
        """Simulates work, and the steward's round at its end.

        Args:
            seconds: How long.
            is_faulty: Whether the fault is there.

        Returns:
            The instances that the steward would eject.
        """
        step_s = 1.0 / self._fault.rate
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += step_s * self._random.uniform(0.5, 1.5)
            for daemon, detector in enumerate(self.detectors):
                for number in range(INSTANCES):
                    self._observe(detector, daemon, f"i{number}", is_faulty)
        return self._ejected()

    def forget(self, instance: str) -> None:
        """Starts anew with an instance that was ejected.

        Args:
            instance: The instance.
        """
        self._reports.clear(instance)
        for detector in self.detectors:
            detector.forget(instance)

    def _observe(
        self,
        detector: outlier_detection.Detector,
        daemon: int,
        instance: str,
        is_faulty: bool,
    ) -> None:
        fault = self._fault
        hit = is_faulty and (
            fault.is_everywhere
            or (fault.link and daemon == 0)
            or (not fault.link and instance == SICK)
        )
        failures = max(HEALTHY_FAILURES, fault.failures if hit else 0.0)
        slow = fault.slow if hit else 1.0
        latency_s = self._random.expovariate(1.0 / WORK_S) * slow + 0.001
        ok = self._random.random() >= failures
        detector.observe(instance, ok, latency_s, self.now_s)

    def _ejected(self) -> list[str]:
        if not self._kind.startswith("ratio"):
            called = [i for d in self.detectors for i in d.unhealthy()]
            return sorted({i for i in called if called.count(i) > 1})
        ejection_policy = document.EjectionPolicy(self._kind.partition(", ")[2])
        for daemon, detector in enumerate(self.detectors):
            self._reports.update(
                f"d{daemon}", PLACES[daemon], detector.scores(), self.now_s
            )
        return self._reports.confirmed_unhealthy(
            self.now_s, DAEMONS, DAEMONS, ejection_policy
        )


def _detector(kind: str) -> outlier_detection.Detector:
    if kind == "consecutive":
        return outlier_detection.ConsecutiveFailures()
    if kind == "ewma":
        return outlier_detection.EwmaOutlier()
    return outlier_detection.CusumDetector()


def _detect(kind: str, fault: Fault, seed: int) -> tuple[float, float]:
    """Finds when a daemon avoids and when the fleet ejects, in seconds."""
    trial = Trial(kind, fault, seed)
    trial.advance(WARM_S if fault.rate >= 1.0 else WARM_S * 10.0, False)
    started_s = trial.now_s
    limit_s = LIMIT_S if fault.rate >= 1.0 else LIMIT_S * 10.0
    avoided_s = limit_s
    while trial.now_s - started_s < limit_s:
        ejected = trial.advance(ROUND_S, True)
        passed_s = trial.now_s - started_s
        if SICK in trial.detectors[0].unhealthy():
            avoided_s = min(avoided_s, passed_s)
        if SICK in ejected:
            # An ejection takes the work away as well.
            return min(avoided_s, passed_s), passed_s
    return avoided_s, limit_s


def false_ejections(kind: str, fault: Fault, seed: int) -> tuple[int, float]:
    """Counts the false ejections of one run.

    Args:
        kind: The detector's name.
        fault: What healthy instances meet.
        seed: Makes the run reproducible.

    Returns:
        The count, and the instance-days that were simulated.
    """
    trial = Trial(kind, fault, seed)
    trial.advance(WARM_S, False)
    count = 0
    seconds = FALSE_S if fault.name == "healthy" else FALSE_S / 10.0
    until_s = trial.now_s + seconds
    while trial.now_s < until_s:
        # Faults of the whole service come and go each minute.
        is_faulty = int(trial.now_s / 60.0) % 2 == 0
        for instance in trial.advance(ROUND_S, is_faulty):
            count += 1
            trial.forget(instance)
    return count, seconds * INSTANCES / DAY_S


def _detect_all(kind: str, fault: Fault) -> list[tuple[float, float]]:
    return [_detect(kind, fault, seed) for seed in range(RUNS)]


def run(is_short: bool = False) -> list[report.Table]:
    """Runs the benchmark.

    Args:
        is_short: Whether to leave out the simulated days.

    Returns:
        Tables of detection times and of false ejections.
    """
    pool = concurrent.futures.ProcessPoolExecutor(4)
    with pool:
        cells = {
            (kind, fault.name): pool.submit(_detect_all, kind, fault)
            for kind in KINDS
            for fault in SICK_FAULTS
        }
        days = {
            (kind, fault.name): pool.submit(false_ejections, kind, fault, 1)
            for kind in KINDS
            for fault in (() if is_short else HEALTHY_FAULTS)
        }
        tables = [_times(cells)]
        if not is_short:
            tables.append(_false(days))
    return tables


def _times(cells: dict[tuple[str, str], typing.Any]) -> report.Table:
    table = report.Table(
        "detection, in seconds",
        ("fault", "detector", "avoid p50", "p99", "eject p50", "p99"),
    )
    found = {}
    for (kind, name), future in cells.items():
        avoided, ejected = zip(*future.result(), strict=True)
        found[(kind, name)] = (avoided, ejected)
    for fault in SICK_FAULTS:
        for kind in KINDS:
            avoided, ejected = found[(kind, fault.name)]
            table.row(
                fault.name,
                kind,
                *(_percentile(avoided, p) for p in (50, 99)),
                *(_percentile(ejected, p) for p in (50, 99)),
            )
    for name, limit in (("gray 50 %", 1.0), ("straggler 5x", 3.0)):
        avoided, _ = found[("ratio, detection", name)]
        table.bound(f"{name}: avoid p99 in s", _percentile(avoided, 99), limit)
    table.note(
        f"{DAEMONS} daemons, {INSTANCES} instances, {RATE:g} requests a second"
        f" of each daemon to each instance, {RUNS} runs; a time at"
        f" {LIMIT_S:g} s (600 s for thin traffic) means not detected"
    )
    return table


def _false(days: dict[tuple[str, str], typing.Any]) -> report.Table:
    table = report.Table(
        "false ejections", ("stream", "detector", "count", "instance-days")
    )
    for fault in HEALTHY_FAULTS:
        for kind in KINDS:
            count, instance_days = days[(kind, fault.name)].result()
            table.row(fault.name, kind, count, round(instance_days, 2))
            if kind.startswith("ratio"):
                table.bound(f"{kind}: {fault.name}", float(count), 0.0)
    return table


def _percentile(values: typing.Iterable[float], percent: float) -> float:
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100.0))
    return round(ordered[index], 2)
