"""Runs the soak test: scripts/soak --seed 7 --count 3 --seconds 20."""

from __future__ import annotations

import pathlib
import shutil
import signal
import sys
import time

import click

from soak import callers
from soak import fault_injection
from soak import invariants
from soak import keys
from soak import pipelining
from soak import recovery
from soak import schedule
from standins import fleet as fleet_harness

OUT = fleet_harness.ROOT / "out" / "soak"
# Longer than the connection timeout of callers (TIMEOUT_S + 1), so that each
# caller thread can finish its last request.
RESPONSE_WAIT_S = callers.TIMEOUT_S + 2.0


class SoakRun:
    """The soak of one seed: its processes, callers and faults."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        daemon_count: int,
        caller_count: int,
        has_tenants: bool = False,
    ) -> None:
        """Creates a soak and empties its output folder.

        Args:
            seed: The seed of the faults and the requests.
            seconds: Length of the schedule of faults.
            daemon_count: Number of daemons.
            caller_count: Number of callers.
            has_tenants: Whether requests need keys, which are replaced.
        """
        self._seed = seed
        self._seconds = seconds
        self._daemon_count = daemon_count
        folder = OUT / f"seed-{seed}"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        self._fleet = fault_injection.FaultInjectingFleet(
            folder / "processes.log", folder
        )
        self._fleet.is_configuration_large = seed % 2 == 1
        if has_tenants:
            self._fleet.key_ring = keys.KeyRing(seed)
        # Every second caller of a data centre pipelines.
        self._callers = [
            (pipelining.PipeliningCaller if n // 3 % 2 else callers.Caller)(
                n, seed, self._fleet, self._fleet.key_ring
            )
            for n in range(caller_count)
        ]
        self._latest_versions: dict[tuple[str, int], int] = {}
        self._drain_periods: list[tuple[str, float, float]] = []

    def run(self) -> list[str]:
        """Runs the schedule under load, then checks the invariants.

        Returns:
            One line for each violation.
        """
        try:
            self._fleet.start(self._daemon_count)
            for caller in self._callers:
                caller.start()
            violations = self._run_schedule()
            self._fleet.clear_faults()
            violations += recovery.find_unserved_services(self._fleet)
            for caller in self._callers:
                caller.stop_requested.set()
            for caller in self._callers:
                caller.join(RESPONSE_WAIT_S)
            return violations + self._find_violations()
        finally:
            self._fleet.stop()

    def _run_schedule(self) -> list[str]:
        """Begins and ends each fault at its time.

        Returns:
            The version regressions that were seen meanwhile.
        """
        faults = schedule.generate(
            self._seed,
            self._seconds,
            sorted(self._fleet.gateways),
            sorted(self._fleet.instances),
        )
        events = [(f.start_s, 0, f) for f in faults]
        events += [(f.start_s + f.duration_s, 1, f) for f in faults]
        events.sort(key=lambda event: event[:2])
        started_s = time.monotonic()
        violations = []
        for event_s, is_end, fault in events:
            time.sleep(max(0.0, started_s + event_s - time.monotonic()))
            if is_end:
                self._end_fault(fault)
            else:
                click.echo(f"  {fault}")
                self._fleet.begin(fault)
                self._fleet.rotate_key()
            violations += self._find_version_regressions()
        return violations

    def _end_fault(self, fault: schedule.Fault) -> None:
        """Ends a fault, and records the period of a drain."""
        drain_started_s = self._fleet.drain_started_s.get(fault.target)
        if fault.action == "drain" and drain_started_s is not None:
            self._drain_periods.append(
                (fault.target, drain_started_s, time.monotonic())
            )
        self._fleet.end(fault)

    def _find_version_regressions(self) -> list[str]:
        """Finds daemons whose configuration version decreased.

        A restarted daemon counts as a new process.
        """
        violations = []
        for node in self._fleet.gateways.values():
            try:
                response = fleet_harness.call(
                    node.metrics_port, "GET", "/status", timeout_s=0.2
                )
                version = response.json()["version"] or 0
            except (OSError, ValueError, KeyError):
                continue
            assert node.process is not None
            process_key = (node.id, node.process.pid)
            latest = self._latest_versions.get(process_key, 0)
            if version < latest:
                violations.append(
                    f"{node.id} went from version {latest} back to {version}"
                )
            self._latest_versions[process_key] = max(version, latest)
        return violations

    def _find_violations(self) -> list[str]:
        """Checks the records of all callers and instances."""
        records = {
            request_id: record
            for caller in self._callers
            for request_id, record in caller.records.items()
        }
        runs: dict[str, list[invariants.Run]] = {}
        identities: dict[str, list[list[str]]] = {}
        for instance in self._fleet.instances:
            observed = self._fleet.instance_record(instance)
            service = instance.split("-")[1]
            identities |= observed["identities"]
            for request_id, count in observed["runs"].items():
                if request_id.startswith(recovery.ID_PREFIX):
                    continue
                run = invariants.Run(
                    instance, service, count, observed["times"][request_id]
                )
                runs.setdefault(request_id, []).append(run)
        statuses: dict[int, int] = {}
        for record in records.values():
            statuses[record.status] = statuses.get(record.status, 0) + 1
        click.echo(f"  {len(records)} requests, by status: {statuses}")
        is_maintenance = schedule.is_maintenance_only(self._seed)
        violations = invariants.find_violations(records, runs, is_maintenance)
        violations += invariants.find_late_requests(runs, self._drain_periods)
        violations += keys.find_violations(
            records, runs, identities, self._fleet.outages
        )
        if is_maintenance:
            # Other schedules cut daemons off from the store.
            violations += invariants.find_late_configurations(
                records, runs, self._fleet.route_moves
            )
        return violations


@click.command()
@click.option("--seed", default=1, help="The first seed.")
@click.option("--count", default=1, help="Number of seeds.")
@click.option("--seconds", default=20.0, help="Length of each schedule.")
@click.option(
    "--daemons",
    default=6,
    help="Number of daemons, spread over three data centres.",
)
@click.option("--callers", "number", default=12, help="Number of callers.")
@click.option("--tenants", is_flag=True, help="Let requests need keys.")
@click.option(
    "--seeds-file",
    type=click.Path(path_type=pathlib.Path, exists=True),
    help="Runs the seeds in this file instead, one per line.",
)
def main(
    seed: int,
    count: int,
    seconds: float,
    daemons: int,
    number: int,
    tenants: bool,
    seeds_file: pathlib.Path | None,
) -> None:
    """Injects random faults into real daemons and checks the invariants."""
    # SIGTERM raises SystemExit, so that SoakRun.run stops its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    seeds = list(range(seed, seed + count))
    if seeds_file is not None:
        lines = seeds_file.read_text().splitlines()
        seeds = [int(line.split()[0]) for line in lines if line[:1].isdigit()]
    failed_seeds = []
    for run_seed in seeds:
        click.echo(f"seed {run_seed}")
        violations = SoakRun(run_seed, seconds, daemons, number, tenants).run()
        for line in violations[:20]:
            click.echo(f"  VIOLATED {line}")
        if violations:
            failed_seeds.append(run_seed)
    click.echo(
        f"{len(seeds) - len(failed_seeds)} seeds passed, failed: {failed_seeds}"
    )
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    main()
