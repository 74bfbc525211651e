"""Runs the benchmarks, prints their tables, and writes JSON and a plot."""

from __future__ import annotations

import json
import typing

import click
import matplotlib

from benchmarks import added_latency
from benchmarks import detection
from benchmarks import idle
from benchmarks import overload
from benchmarks import quotas
from benchmarks import report
from benchmarks import slopes
from standins import fleet

OUT = fleet.ROOT / "out"
NAMES = ("detection", "overload", "latency", "slopes", "idle", "quotas")


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(NAMES))
@click.option("--short", is_flag=True, help="Leave out the simulated days.")
def main(names: tuple[str, ...], short: bool) -> None:
    """Runs the benchmarks NAMES, or all of them."""
    OUT.mkdir(exist_ok=True)
    missed = 0
    for name in names or NAMES:
        tables = _run(name, short)
        for table in tables:
            click.echo(table.to_text() + "\n")
            missed += sum(not bound.is_met for bound in table.bounds)
        out = OUT / f"bench-{name}.json"
        out.write_text(json.dumps([t.to_json() for t in tables], indent=1))
        if name == "detection":
            _plot(tables[0])
    click.echo(f"{missed} bounds missed; JSON and plots are in {OUT}")
    raise SystemExit(1 if missed else 0)


def _run(name: str, short: bool) -> list[report.Table]:
    if name == "detection":
        return detection.run(short)
    if name == "overload":
        return [overload.run()]
    if name == "latency":
        return [added_latency.run()]
    if name == "quotas":
        return [quotas.run()]
    if name == "idle":
        return [idle.run()]
    return [slopes.run()]


def _plot(table: report.Table) -> None:
    """Plots the median time to ejection by fault, a line per detector."""
    matplotlib.use("Agg")
    pyplot: typing.Any = __import__("matplotlib.pyplot").pyplot
    faults = list(dict.fromkeys(row[0] for row in table.rows))
    figure, axes = pyplot.subplots(figsize=(9, 5))
    for detector_name in detection.DETECTORS:
        times = [row[4] for row in table.rows if row[1] == detector_name]
        axes.plot(faults, times, marker="o", label=detector_name)
    axes.set_yscale("log")
    axes.set_ylabel("seconds to eject, median")
    axes.tick_params(axis="x", rotation=30)
    axes.legend()
    figure.tight_layout()
    figure.savefig(OUT / "bench-detection.png")


if __name__ == "__main__":
    main()
