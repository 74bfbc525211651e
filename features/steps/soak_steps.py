"""Steps on the soak and on what it would find."""

from __future__ import annotations

import subprocess
import sys

import behave

from soak import callers
from soak import invariants
from soak import schedule
from standins import fleet as fleet_harness

OWN = {"response-signature": "x"}


@behave.when("seed {seed:d} soaks 3 daemons for {seconds:d} seconds")
def step_soak(context, seed, seconds):
    context.soak = subprocess.run(
        [
            sys.executable,
            "-m",
            "soak.main",
            "--seed",
            str(seed),
            "--seconds",
            str(seconds),
            "--daemons",
            "3",
            "--callers",
            "6",
        ],
        cwd=fleet_harness.ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )


@behave.then("all promises of the soak held")
def step_held(context):
    assert context.soak.returncode == 0, context.soak.stdout[-2000:]


@behave.then("two schedules of seed 5 are alike, and that of seed 6 is another")
def step_schedules(context):
    shown = [
        [str(f) for f in schedule.generate(seed, 30.0, ["g1", "g2"], ["i-a-1"])]
        for seed in (5, 5, 6)
    ]
    assert shown[0] == shown[1] != shown[2]


def record(path, status, response=None):
    made = callers.RequestRecord(path)
    made.is_sent = True
    made.status = status
    made.response = response or (OWN, {"target": f"{path}?id=r1"})
    return made


def run(service="deposits", count=1, at_s=10.0):
    return invariants.Run(f"i-{service}-1", service, count, at_s)


@behave.then("the soak finds each of the breaches that are made up for it")
def step_breaches(context):
    made_up = {
        "ran twice": (record("/deposits/1", 502), [run(count=2)]),
        "told not run, and ran": (record("/deposits/1", 503), [run()]),
        "not its own whole answer": (
            record("/deposits/1", 200, (OWN, {"target": "/deposits/1?id=r2"})),
            [run()],
        ),
        "run by another service": (
            record("/presses/1", 200),
            [run("deposits")],
        ),
        "denied a route that exists": (record("/presses/1", 404), []),
        "lost in planned work": (record("/presses/1", 0), []),
    }
    for name, (made, runs) in made_up.items():
        found = invariants.find_violations({"r1": made}, {"r1": runs}, True)
        assert any(line.startswith(name) for line in found), (name, found)
    sound = record("/deposits/1", 200)
    assert not invariants.find_violations({"r1": sound}, {"r1": [run()]}, True)
    late = invariants.find_late_requests(
        {"r1": [run()]}, [("i-deposits-1", 5.0, 12.0)]
    )
    assert late and not invariants.find_late_requests(
        {"r1": [run()]}, [("i-deposits-1", 8.0, 12.0)]
    )
