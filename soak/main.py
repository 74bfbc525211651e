"""Runs a randomized soak: scripts/soak --seed 7 --count 3 --seconds 20."""

from __future__ import annotations

import pathlib
import shutil
import signal
import sys
import time

import click

from soak import callers
from soak import estate as soak_estate
from soak import promises
from soak import schedule
from standins import fleet as fleet_harness

OUT = fleet_harness.ROOT / "out" / "soak"
# Callers that end wait for their last answer, in seconds.
LAST_RESPONSE_S = callers.TIMEOUT_S + 2.0


class Soak:
    """One seed: its processes, callers and faults."""

    def __init__(
        self, seed: int, seconds: float, daemons: int, number: int
    ) -> None:
        """Creates a soak that does not run yet.

        Args:
            seed: Draws the faults and the requests.
            seconds: How long faults go on.
            daemons: How many daemons.
            number: How many callers.
        """
        self._seed = seed
        self._seconds = seconds
        self._daemons = daemons
        folder = OUT / f"seed-{seed}"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        self._estate = soak_estate.Estate(folder / "processes.log", folder)
        self._callers = [
            callers.Caller(n, seed, self._estate) for n in range(number)
        ]
        self._versions: dict[tuple[str, int], int] = {}
        self._drained: list[tuple[str, float, float]] = []

    def run(self) -> list[str]:
        """Plays the schedule.

        Returns:
            The promises that were broken.
        """
        try:
            self._estate.start(self._daemons)
            for caller in self._callers:
                caller.start()
            found = self._play()
            self._estate.heal()
            for caller in self._callers:
                caller.has_ended.set()
            for caller in self._callers:
                caller.join(LAST_RESPONSE_S)
            return found + self._breaches()
        finally:
            self._estate.stop()

    def _play(self) -> list[str]:
        """Begins and ends each fault at its time."""
        planned = schedule.plan(
            self._seed,
            self._seconds,
            sorted(self._estate.gateways),
            sorted(self._estate.instances),
        )
        steps = [(f.at_s, 0, f) for f in planned]
        steps += [(f.at_s + f.for_s, 1, f) for f in planned]
        steps.sort(key=lambda step: step[:2])
        began_s = time.monotonic()
        found = []
        for at_s, is_end, fault in steps:
            time.sleep(max(0.0, began_s + at_s - time.monotonic()))
            if is_end:
                self._end(fault)
            else:
                click.echo(f"  {fault}")
                self._estate.begin(fault)
            found += self._older_versions()
        return found

    def _end(self, fault: schedule.Fault) -> None:
        began_s = self._estate.drained_s.get(fault.target)
        if fault.what == "drain" and began_s is not None:
            self._drained.append((fault.target, began_s, time.monotonic()))
        self._estate.end(fault)

    def _older_versions(self) -> list[str]:
        """Finds processes that went back to an older configuration."""
        found = []
        for node in self._estate.gateways.values():
            try:
                shown = fleet_harness.call(
                    node.metrics_port, "GET", "/status", timeout_s=0.2
                )
                version = shown.json()["version"] or 0
            except (OSError, ValueError, KeyError):
                continue
            assert node.process is not None
            life = (node.id, node.process.pid)
            if version < self._versions.get(life, 0):
                found.append(f"{node.id} went back to version {version}")
            self._versions[life] = max(version, self._versions.get(life, 0))
        return found

    def _breaches(self) -> list[str]:
        records = {
            request_id: record
            for caller in self._callers
            for request_id, record in caller.records.items()
        }
        runs: dict[str, list[promises.Run]] = {}
        for instance in self._estate.instances:
            seen = self._estate.instance_record(instance)
            service = instance.split("-")[1]
            for request_id, count in seen["runs"].items():
                run = promises.Run(
                    instance, service, count, seen["times"][request_id]
                )
                runs.setdefault(request_id, []).append(run)
        statuses: dict[int, int] = {}
        for record in records.values():
            statuses[record.status] = statuses.get(record.status, 0) + 1
        click.echo(f"  {len(records)} requests, by status: {statuses}")
        is_planned = schedule.is_planned_only(self._seed)
        return promises.broken(records, runs, is_planned) + promises.late_work(
            runs, self._drained
        )


@click.command()
@click.option("--seed", default=1, help="The first seed.")
@click.option("--count", default=1, help="How many seeds.")
@click.option("--seconds", default=20.0, help="Length of each schedule.")
@click.option("--daemons", default=6, help="Daemons, in three data centres.")
@click.option("--callers", "number", default=12, help="Callers.")
@click.option(
    "--seeds-file",
    type=click.Path(path_type=pathlib.Path, exists=True),
    help="Plays the seeds of a file instead, one a line.",
)
def main(
    seed: int,
    count: int,
    seconds: float,
    daemons: int,
    number: int,
    seeds_file: pathlib.Path | None,
) -> None:
    """Soaks real daemons in faults and checks the promises."""
    # So that a soak that is told to end takes its processes along.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    seeds = list(range(seed, seed + count))
    if seeds_file is not None:
        lines = seeds_file.read_text().splitlines()
        seeds = [int(line.split()[0]) for line in lines if line[:1].isdigit()]
    failed = []
    for each in seeds:
        click.echo(f"seed {each}")
        found = Soak(each, seconds, daemons, number).run()
        for line in found[:20]:
            click.echo(f"  BROKEN {line}")
        if found:
            failed.append(each)
    click.echo(f"{len(seeds) - len(failed)} seeds held, broken: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
