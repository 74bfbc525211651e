"""Runs the fleet state machine for a given time from a given seed."""

from __future__ import annotations

import sys
import time

from features.support import machine

EXAMPLES = 100
STEPS = 80


def main(seconds, seed):
    deadline_s = time.monotonic() + seconds
    rounds = 0
    while time.monotonic() < deadline_s:
        machine.check(EXAMPLES, STEPS, seed + rounds)
        rounds += 1
    print(
        f"{rounds} rounds of {EXAMPLES} examples from seed {seed}: no failure"
    )


if __name__ == "__main__":
    main(float(sys.argv[1]), int(sys.argv[2]))
