"""Compares detectors by their detection time and their false ejections.

Several daemons observe simulated requests to the instances of a service. The
outcomes are reproducible by seed. Each daemon avoids the instances that its own
detector reports. The ejection coordinator ejects instances by the combined
scores of all daemons. With the baseline detectors it ejects the instances that
at least two daemons report as unhealthy.
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
# Requests of each daemon to each instance.
RATE_PER_S = 20.0
# Mean of the exponential part of the latency, to which 1 ms is added.
MEAN_WORK_S = 0.005
HEALTHY_FAILURE_FRACTION = 0.001
# Interval at which the ejection coordinator decides.
DECISION_INTERVAL_S = 0.25
# Both are ten times longer for a fault with less than one request per second.
WARM_UP_S = 40.0
DETECTION_TIMEOUT_S = 60.0
# Runs of each detector under each fault.
RUNS = 40
UNHEALTHY_INSTANCE = "i0"
DAY_S = 86400.0
# Simulated time of a healthy service: one instance-day in total.
HEALTHY_RUN_S = DAY_S / INSTANCES
# The data centre of each daemon.
DATA_CENTRES = "abc"


class Fault:
    """A simulated fault, which starts after the warm-up."""

    __slots__ = (
        "failure_fraction",
        "is_link_fault",
        "is_service_wide",
        "latency_factor",
        "name",
        "rate_per_s",
    )

    def __init__(
        self,
        name: str,
        failure_fraction: float = 0.0,
        latency_factor: float = 1.0,
        rate_per_s: float = RATE_PER_S,
        is_service_wide: bool = False,
        is_link_fault: bool = False,
    ) -> None:
        """Creates a fault.

        Args:
            name: The name of the fault in the tables.
            failure_fraction: The fraction of requests that fail (0 to 1).
            latency_factor: The factor by which requests take longer.
            rate_per_s: Requests per second of each daemon to each instance.
            is_service_wide: Whether the fault affects all instances.
            is_link_fault: Whether the fault affects the requests of one daemon
                only, to all instances.
        """
        self.name = name
        self.failure_fraction = failure_fraction
        self.latency_factor = latency_factor
        self.rate_per_s = rate_per_s
        self.is_service_wide = is_service_wide
        self.is_link_fault = is_link_fault


DETECTION_FAULTS = (
    Fault("gray 5 %", failure_fraction=0.05),
    Fault("gray 20 %", failure_fraction=0.2),
    Fault("gray 50 %", failure_fraction=0.5),
    Fault("gray 100 %", failure_fraction=1.0),
    Fault("straggler 2x", latency_factor=2.0),
    Fault("straggler 5x", latency_factor=5.0),
    Fault("straggler 20x", latency_factor=20.0),
    Fault("gray 50 % at 0.1/s", failure_fraction=0.5, rate_per_s=0.1),
)
FALSE_EJECTION_FAULTS = (
    Fault("healthy"),
    Fault("overload of all, 30 % fail", 0.3, 4.0, is_service_wide=True),
    Fault("one daemon's bad link", failure_fraction=0.5, is_link_fault=True),
)
DETECTORS = (
    "consecutive",
    "ewma",
    "ratio, detection",
    "ratio, false-ejections",
)


class Trial:
    """A run of one detector under one fault."""

    __slots__ = (
        "_detector_name",
        "_fault",
        "_random",
        "_reports",
        "detectors",
        "now_s",
    )

    def __init__(self, detector_name: str, fault: Fault, seed: int) -> None:
        """Creates a run.

        Args:
            detector_name: The name of the detector, one of DETECTORS.
            fault: The fault to simulate.
            seed: The seed of the random numbers.
        """
        self._detector_name = detector_name
        self._fault = fault
        self._random = random.Random(f"{detector_name}/{fault.name}/{seed}")
        self._reports = ledger.SuspicionReports()
        self.detectors = [
            _create_detector(detector_name) for _ in range(DAEMONS)
        ]
        self.now_s = 0.0

    def advance(self, seconds: float, is_fault_active: bool) -> list[str]:
        """Simulates requests, and the ejection decision at the end.

        Args:
            seconds: The time to simulate, in seconds.
            is_fault_active: Whether the fault affects requests.

        Returns:
            The instances that the ejection coordinator would eject.
        """
        step_s = 1.0 / self._fault.rate_per_s
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += step_s * self._random.uniform(0.5, 1.5)
            for daemon, detector in enumerate(self.detectors):
                for number in range(INSTANCES):
                    self._observe(
                        detector, daemon, f"i{number}", is_fault_active
                    )
        return self._find_ejected()

    def forget(self, instance: str) -> None:
        """Discards the observations of an instance, as after an ejection.

        Args:
            instance: The id of the instance.
        """
        self._reports.clear(instance)
        for detector in self.detectors:
            detector.forget(instance)

    def _observe(
        self,
        detector: outlier_detection.Detector,
        daemon: int,
        instance: str,
        is_fault_active: bool,
    ) -> None:
        """Simulates one request of a daemon to an instance."""
        fault = self._fault
        is_affected = is_fault_active and (
            fault.is_service_wide
            or (fault.is_link_fault and daemon == 0)
            or (not fault.is_link_fault and instance == UNHEALTHY_INSTANCE)
        )
        failure_fraction = max(
            HEALTHY_FAILURE_FRACTION,
            fault.failure_fraction if is_affected else 0.0,
        )
        latency_factor = fault.latency_factor if is_affected else 1.0
        latency_s = (
            self._random.expovariate(1.0 / MEAN_WORK_S) * latency_factor + 0.001
        )
        ok = self._random.random() >= failure_fraction
        detector.observe(instance, ok, latency_s, self.now_s)

    def _find_ejected(self) -> list[str]:
        """Returns the instances that the ejection coordinator would eject."""
        if not self._detector_name.startswith("ratio"):
            reported = [i for d in self.detectors for i in d.unhealthy()]
            return sorted({i for i in reported if reported.count(i) > 1})
        ejection_policy = document.EjectionPolicy(
            self._detector_name.partition(", ")[2]
        )
        for daemon, detector in enumerate(self.detectors):
            self._reports.update(
                f"d{daemon}",
                DATA_CENTRES[daemon],
                detector.scores(),
                self.now_s,
            )
        return self._reports.confirmed_unhealthy(
            self.now_s, DAEMONS, DAEMONS, ejection_policy
        )


def _create_detector(detector_name: str) -> outlier_detection.Detector:
    if detector_name == "consecutive":
        return outlier_detection.ConsecutiveFailures()
    if detector_name == "ewma":
        return outlier_detection.EwmaOutlier()
    return outlier_detection.CusumDetector()


def _measure_detection(
    detector_name: str, fault: Fault, seed: int
) -> tuple[float, float]:
    """Measures the times until an unhealthy instance is avoided and ejected.

    Returns:
        The time until daemon 0 avoids the instance and the time until the
        instance is ejected, in seconds after the start of the fault. Each
        is the timeout if the event did not occur.
    """
    trial = Trial(detector_name, fault, seed)
    trial.advance(
        WARM_UP_S if fault.rate_per_s >= 1.0 else WARM_UP_S * 10.0, False
    )
    started_s = trial.now_s
    timeout_s = (
        DETECTION_TIMEOUT_S
        if fault.rate_per_s >= 1.0
        else DETECTION_TIMEOUT_S * 10.0
    )
    avoided_s = timeout_s
    while trial.now_s - started_s < timeout_s:
        ejected = trial.advance(DECISION_INTERVAL_S, True)
        elapsed_s = trial.now_s - started_s
        if UNHEALTHY_INSTANCE in trial.detectors[0].unhealthy():
            avoided_s = min(avoided_s, elapsed_s)
        if UNHEALTHY_INSTANCE in ejected:
            # An ejected instance gets no requests, so it is avoided too.
            return min(avoided_s, elapsed_s), elapsed_s
    return avoided_s, timeout_s


def false_ejections(
    detector_name: str, fault: Fault, seed: int
) -> tuple[int, float]:
    """Counts the false ejections of one run.

    Args:
        detector_name: The name of the detector, one of DETECTORS.
        fault: A fault under which no instance is to be ejected.
        seed: The seed of the random numbers.

    Returns:
        The number of ejections, and the simulated time in instance-days.
    """
    trial = Trial(detector_name, fault, seed)
    trial.advance(WARM_UP_S, False)
    count = 0
    seconds = HEALTHY_RUN_S if fault.name == "healthy" else HEALTHY_RUN_S / 10.0
    until_s = trial.now_s + seconds
    while trial.now_s < until_s:
        # The fault starts or ends each minute.
        is_fault_active = int(trial.now_s / 60.0) % 2 == 0
        for instance in trial.advance(DECISION_INTERVAL_S, is_fault_active):
            count += 1
            trial.forget(instance)
    return count, seconds * INSTANCES / DAY_S


def _measure_detections(
    detector_name: str, fault: Fault
) -> list[tuple[float, float]]:
    """Measures the detection times of all runs in one process."""
    return [
        _measure_detection(detector_name, fault, seed) for seed in range(RUNS)
    ]


def run(is_short: bool = False) -> list[report.Table]:
    """Runs the benchmark.

    Args:
        is_short: Whether to leave out the false ejections, whose runs simulate
            up to one instance-day each.

    Returns:
        The table of detection times and, unless `is_short`, the table of false
        ejections.
    """
    pool = concurrent.futures.ProcessPoolExecutor(4)
    with pool:
        detection_runs = {
            (detector_name, fault.name): pool.submit(
                _measure_detections, detector_name, fault
            )
            for detector_name in DETECTORS
            for fault in DETECTION_FAULTS
        }
        false_ejection_runs = {
            (detector_name, fault.name): pool.submit(
                false_ejections, detector_name, fault, 1
            )
            for detector_name in DETECTORS
            for fault in (() if is_short else FALSE_EJECTION_FAULTS)
        }
        tables = [_detection_table(detection_runs)]
        if not is_short:
            tables.append(_false_ejection_table(false_ejection_runs))
    return tables


def _detection_table(
    detection_runs: dict[tuple[str, str], typing.Any],
) -> report.Table:
    """Tabulates the percentiles of the detection times."""
    table = report.Table(
        "detection, in seconds",
        ("fault", "detector", "avoid p50", "p99", "eject p50", "p99"),
    )
    results = {}
    for (detector_name, name), future in detection_runs.items():
        avoided, ejected = zip(*future.result(), strict=True)
        results[(detector_name, name)] = (avoided, ejected)
    for fault in DETECTION_FAULTS:
        for detector_name in DETECTORS:
            avoided, ejected = results[(detector_name, fault.name)]
            table.add_row(
                fault.name,
                detector_name,
                *(_percentile(avoided, p) for p in (50, 99)),
                *(_percentile(ejected, p) for p in (50, 99)),
            )
    for name, limit in (("gray 50 %", 1.0), ("straggler 5x", 3.0)):
        avoided, _ = results[("ratio, detection", name)]
        table.add_bound(
            f"{name}: avoid p99 in s", _percentile(avoided, 99), limit
        )
    table.add_note(
        f"{DAEMONS} daemons, {INSTANCES} instances, {RATE_PER_S:g} requests"
        f" a second of each daemon to each instance, {RUNS} runs; a time at"
        f" {DETECTION_TIMEOUT_S:g} s (600 s for thin traffic) means not"
        " detected"
    )
    return table


def _false_ejection_table(
    false_ejection_runs: dict[tuple[str, str], typing.Any],
) -> report.Table:
    """Tabulates the false ejections."""
    table = report.Table(
        "false ejections", ("stream", "detector", "count", "instance-days")
    )
    for fault in FALSE_EJECTION_FAULTS:
        for detector_name in DETECTORS:
            count, instance_days = false_ejection_runs[
                (detector_name, fault.name)
            ].result()
            table.add_row(
                fault.name, detector_name, count, round(instance_days, 2)
            )
            if detector_name.startswith("ratio"):
                table.add_bound(
                    f"{detector_name}: {fault.name}", float(count), 0.0
                )
    return table


def _percentile(values: typing.Iterable[float], percent: float) -> float:
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100.0))
    return round(ordered[index], 2)
