"""Steps on the soak test and its checks."""

from __future__ import annotations

import subprocess
import sys
import types

import behave

from soak import callers
from soak import invariants
from soak import keys
from soak import recovery
from soak import schedule
from standins import fleet as fleet_harness
from standins import gateway_fleet

SIGNED = {"response-signature": "x"}


@behave.when(
    "the soak runs with seed {seed:d} and 3 daemons for {seconds:d} seconds"
)
def step_run_soak(context, seed, seconds):
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


@behave.when(
    "changes are made for {seconds:d} seconds with {daemons:d} daemons and the"
    ' faults "{faults}"'
)
def step_run_changes(context, seconds, daemons, faults):
    context.soak = subprocess.run(
        [
            sys.executable,
            "-m",
            "soak.changes",
            "--seconds",
            str(seconds),
            "--daemons",
            str(daemons),
            "--faults",
            faults,
        ],
        cwd=fleet_harness.ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )


@behave.then("each change was in force in time")
@behave.then("the soak reports no violation")
def step_no_violation(context):
    assert context.soak.returncode == 0, context.soak.stdout[-2000:]


@behave.then("two schedules of seed 5 are equal, and that of seed 6 differs")
def step_schedules(context):
    schedules = [
        [str(f) for f in schedule.generate(seed, 30.0, ["g1", "g2"], ["i-a-1"])]
        for seed in (5, 5, 6)
    ]
    assert schedules[0] == schedules[1] != schedules[2]


def make_record(path, status, response=None):
    """Builds the record of a request that was sent whole."""
    caller_record = callers.RequestRecord(path, f"{path}?id=r1")
    caller_record.is_sent = True
    caller_record.status = status
    caller_record.response = response or (SIGNED, {"target": f"{path}?id=r1"})
    return caller_record


def run(service="deposits", count=1, at_s=10.0):
    """Builds the runs of a request on an instance."""
    return invariants.Run(f"i-{service}-1", service, count, at_s)


@behave.then("the soak detects each of the constructed violations")
def step_detect_violations(context):
    violations = {
        "ran twice": (make_record("/deposits/1", 502), [run(count=2)]),
        "ran despite a not-run status": (
            make_record("/deposits/1", 503),
            [run()],
        ),
        "wrong or incomplete response": (
            make_record(
                "/deposits/1", 200, (SIGNED, {"target": "/deposits/1?id=r2"})
            ),
            [run()],
        ),
        "ran at the wrong service": (
            make_record("/presses/1", 200),
            [run("deposits")],
        ),
        "rejected on an existing route": (make_record("/presses/1", 404), []),
        "lost during maintenance": (make_record("/presses/1", 0), []),
    }
    for name, (caller_record, runs) in violations.items():
        reported = invariants.find_violations(
            {"r1": caller_record}, {"r1": runs}, True
        )
        assert any(line.startswith(name) for line in reported), (name, reported)
    valid = make_record("/deposits/1", 200)
    assert not invariants.find_violations({"r1": valid}, {"r1": [run()]}, True)
    moving = make_record("/moving/1", 200)
    moving.sent_s, moving.ended_s = 10.0, 10.1
    for moved_s, service, is_late in (
        (7.0, "presses", True),
        (7.0, "deposits", False),
        (9.5, "presses", False),
        (9.5, "deposits", False),
    ):
        found = invariants.find_late_configurations(
            {"r1": moving},
            {"r1": [run(service)]},
            [(0.0, "presses"), (moved_s, "deposits")],
        )
        assert bool(found) == is_late, (moved_s, service)
    late = invariants.find_late_requests(
        {"r1": [run()]}, [("i-deposits-1", 5.0, 12.0)]
    )
    assert late and not invariants.find_late_requests(
        {"r1": [run()]}, [("i-deposits-1", 8.0, 12.0)]
    )
    check_keys()


def check_keys():
    """Checks requests that were sent around the removal of a key."""
    key = keys.Key("ada", "secret")
    key.added_s, key.removal_began_s, key.removed_s = 1.0, 10.0, 10.0
    ada, bob = [["tenant-id", "ada"]], [["tenant-id", "bob"]]
    leaked = [*ada, ["authorization", "Token secret"]]
    for sent_s, status, seen, outages, expected in (
        (10.5, 200, ada, [], None),
        (12.0, 200, ada, [], "ran with a revoked key"),
        (12.0, 200, ada, [(9.0, 10.5)], None),
        (15.0, 200, ada, [(9.0, 10.5)], "ran with a revoked key"),
        (12.0, 401, None, [], None),
        (1.5, 401, None, [], None),
        (5.0, 401, None, [], "refused with a known key"),
        (5.0, 200, bob, [], "wrong identity"),
        (5.0, 200, leaked, [], "wrong identity"),
        (5.0, 200, ada, [], None),
    ):
        record = make_record("/presses/1", status)
        record.key, record.sent_s, record.ended_s = key, sent_s, sent_s + 0.1
        runs = {} if seen is None else {"r1": [run("presses")]}
        found = keys.find_violations(
            {"r1": record}, runs, {"r1": seen or []}, outages
        )
        is_right = not found if expected is None else len(found) == 1
        assert is_right and (expected or "") in "".join(found), (sent_s, found)


@behave.then("the soak detects a daemon that serves nothing after the faults")
def step_detect_unserved(context):
    fleet = types.SimpleNamespace(gateways={})
    # Nothing listens at the ports of a process that was never started.
    fleet.gateways["g1"] = gateway_fleet.GatewayProcess(
        "g1", "a", fleet_harness.ROOT / "out", 0
    )
    found = recovery.find_unserved_services(fleet, recovery_s=0.5)
    assert len(found) == len(recovery.PATHS), found
    assert all(line.startswith("not served again: g1") for line in found)
