"""Reports the result of all checks; the last line has the totals.

A failed scenario that KNOWN-RED.txt lists is printed, but doesn't count as
failed. A listed scenario that passes is printed too, so that its entry can be
removed.
"""

from __future__ import annotations

import json
import pathlib
import sys

from standins import fleet

VERDICT_FILE = fleet.ROOT / "out" / "verdict.json"
KNOWN_FAILURES_FILE = fleet.ROOT / "KNOWN-RED.txt"
_ENTRY_PREFIX = "test: "


def read_known_failures(file: pathlib.Path) -> set[str]:
    """Reads the names of the scenarios that are known to fail.

    Args:
        file: The list; without it, no scenario is known to fail.
    """
    lines = file.read_text().splitlines() if file.exists() else []
    return {
        line[len(_ENTRY_PREFIX) :].strip()
        for line in lines
        if line.startswith(_ENTRY_PREFIX)
    }


def main(checks: dict[str, int], behave_code: int) -> int:
    """Prints failures, known failures and the totals.

    Args:
        checks: The exit codes of the formatter and the linter.
        behave_code: The exit code of behave.

    Returns:
        0 if no check failed except known failures, else 1. Also 1 if no
        scenario passed.
    """
    if not VERDICT_FILE.exists():
        print(f"behave ended with exit code {behave_code} and wrote no results")
        print("0 passed, 1 failed")
        return 1
    verdict = json.loads(VERDICT_FILE.read_text())
    passed = list(verdict["passed"])
    known = read_known_failures(KNOWN_FAILURES_FILE)
    failed = [name for name in verdict["failed"] if name not in known]
    for name in sorted(known & set(verdict["failed"])):
        print(f"known red: {name}")
    for name in sorted(known & set(passed)):
        print(f"known red, but passed: {name}")
    for name, code in checks.items():
        (failed if code else passed).append(name)
    if behave_code and not verdict["failed"]:
        failed.append(f"behave (exit code {behave_code})")
    for name in failed:
        print(f"failed: {name}")
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if failed or not verdict["passed"] else 0


if __name__ == "__main__":
    codes = [int(argument) for argument in sys.argv[1:4]]
    sys.exit(main({"format": codes[0], "lint": codes[1]}, codes[2]))
