"""Checks that changes are in force in time despite faults of the store.

python -m soak.changes --seed 1 --count 5 --daemons 36 --faults drill
"""

from __future__ import annotations

import concurrent.futures
import itertools
import random
import shutil
import sys
import threading
import time
import typing

import click

from soak import change_faults
from standins import fleet as fleet_harness
from standins import gateway_fleet

OUT = fleet_harness.ROOT / "out" / "changes"
SERVICES = {"presses": 9, "deposits": 9, "copies": 9}
# The bounds that the users' platform states, in seconds.
APPLY_S = 2.0
DRAIN_S = 2.0
STABLE_S = 3.0
BOUNDS = {"config_apply_s": APPLY_S, "drain_s": DRAIN_S}
# The mean times between two changes, in seconds. A change that a daemon missed
# shows only until the next one.
CHANGE_GAPS_S = (0.3, 1.0, 6.0)
# How often each daemon gets a request, in seconds.
PROBE_INTERVAL_S = 0.5
PROBE_THREADS = 16
TIMEOUT_S = 2.0
_ids = itertools.count(1)


class Probe:
    """A request that was sent to a daemon."""

    __slots__ = ("daemon_id", "request_id", "sent_s", "status")

    def __init__(self, daemon_id: str, request_id: str, sent_s: float) -> None:
        """Creates a probe without a response."""
        self.daemon_id = daemon_id
        self.request_id = request_id
        self.sent_s = sent_s
        self.status = 0


class ChangesSoak:
    """The soak of one seed: changes, faults and probes of all daemons."""

    def __init__(self, seed: int, seconds: float, faults: str) -> None:
        """Creates a soak and empties its output folder."""
        folder = OUT / f"{faults}-{seed}"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        self._random = random.Random(f"changes {seed}")
        self._seconds = seconds
        self._fleet = change_faults.ChangingFleet(
            folder / "processes.log", folder, seed
        )
        self._fleet.bounds |= BOUNDS
        self._inject = change_faults.INJECTORS[faults]
        self._probes: list[Probe] = []
        self._is_ended = threading.Event()

    def run(self, daemon_count: int) -> list[str]:
        """Plays the changes.

        Returns:
            One line for each violation.
        """
        fleet = self._fleet
        try:
            fleet.start(SERVICES, daemon_count)
            prober = threading.Thread(target=self._probe_all)
            writer = threading.Thread(target=self._beat)
            prober.start()
            writer.start()
            faults = threading.Thread(
                target=self._inject, args=(fleet, self._is_ended)
            )
            faults.start()
            self._change()
            self._is_ended.set()
            for thread in (faults, prober, writer):
                thread.join()
            return self._find_violations()
        finally:
            self._is_ended.set()
            fleet.stop()

    def _change(self) -> None:
        """Moves the route, and lets an instance leave, at random times."""
        ends_s = time.monotonic() + self._seconds
        while time.monotonic() < ends_s:
            gap_s = self._random.choice(CHANGE_GAPS_S)
            time.sleep(gap_s * (0.5 + self._random.random()))
            if time.monotonic() < self._fleet.quiet_until_s:
                continue
            self._fleet.move_route()
            if self._random.random() < 0.5:
                self._fleet.leave(self._random)

    def _beat(self) -> None:
        while not self._is_ended.wait(0.05):
            self._fleet.beat()

    def _probe_all(self) -> None:
        nodes = list(self._fleet.gateways.values())
        with concurrent.futures.ThreadPoolExecutor(PROBE_THREADS) as pool:
            while not self._is_ended.is_set():
                began_s = time.monotonic()
                list(pool.map(self._probe, nodes))
                took_s = time.monotonic() - began_s
                time.sleep(max(0.0, PROBE_INTERVAL_S - took_s))

    def _probe(self, node: gateway_fleet.GatewayProcess) -> None:
        probe = Probe(node.id, f"probe-{next(_ids)}", time.monotonic())
        headers = {
            "Host": gateway_fleet.HOST,
            "Request-Id": probe.request_id,
            "Deadline-Ms": str(int(TIMEOUT_S * 1000)),
        }
        try:
            probe.status = fleet_harness.call(
                node.caller_port,
                "GET",
                "/moving/1",
                headers=headers,
                timeout_s=TIMEOUT_S,
            ).status
        except (OSError, ValueError):
            probe.status = -1
        self._probes.append(probe)

    def _find_violations(self) -> list[str]:
        fleet = self._fleet
        runs: dict[str, list[tuple[str, float]]] = {}
        for instance_id in fleet.instances:
            times = fleet.instance_record(instance_id)["times"]
            for request_id, at_s in times.items():
                runs.setdefault(request_id, []).append((instance_id, at_s))
        violations: list[str] = []
        statuses: dict[int, int] = {}
        for probe in self._probes:
            statuses[probe.status] = statuses.get(probe.status, 0) + 1
            if not fleet.is_in_touch(probe.daemon_id, probe.sent_s, STABLE_S):
                continue
            allowed = fleet.services_allowed(probe.sent_s, APPLY_S, STABLE_S)
            for instance_id, at_s in runs.get(probe.request_id, []):
                service = instance_id.split("-")[1]
                where = f"{probe.daemon_id} at {probe.sent_s:.2f}"
                if service not in allowed:
                    violations.append(f"CONFIG {where}: {service}")
                left_s = fleet.left_s.get(instance_id)
                if left_s is None or not fleet.is_stable(left_s, STABLE_S):
                    continue
                due_s = fleet.due_s(left_s, DRAIN_S, STABLE_S)
                if at_s > due_s and probe.sent_s > left_s:
                    late_s = at_s - left_s
                    violations.append(
                        f"DRAIN {where}: {instance_id} after {late_s:.2f} s"
                    )
        click.echo(
            f"  {len(self._probes)} requests, by status {statuses},"
            f" {len(fleet.moves)} versions, {len(fleet.left_s)} left,"
            f" {len(fleet.disruptions)} store faults"
        )
        return violations


@click.command()
@click.option("--seed", default=1, help="The first seed.")
@click.option("--count", default=1, help="Number of seeds.")
@click.option("--seconds", default=30.0, help="Length of each seed.")
@click.option("--daemons", default=36, help="Number of daemons.")
@click.option(
    "--faults",
    type=click.Choice(sorted(change_faults.INJECTORS)),
    default="drill",
    help="The faults that are injected.",
)
def main(
    seed: int, count: int, seconds: float, daemons: int, faults: str
) -> None:
    """Changes the configuration and instances, and asks all daemons."""
    failed: list[int] = []
    for number in range(seed, seed + count):
        click.echo(f"seed {number}, faults {faults}")
        violations = ChangesSoak(number, seconds, faults).run(daemons)
        counts: typing.Counter[str] = typing.Counter(
            line.split()[0] for line in violations
        )
        click.echo(f"  violations: {dict(counts)}")
        for line in violations[:5]:
            click.echo(f"  VIOLATED {line}")
        if violations:
            failed.append(number)
    click.echo(f"{count - len(failed)} seeds passed, failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
