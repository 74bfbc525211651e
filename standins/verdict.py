"""Sums up a run of all checks in one line.

Scenarios that KNOWN-RED.txt lists are printed and passed over; a listed one
that passes is printed too, so that its entry can be removed.
"""

from __future__ import annotations

import json
import pathlib
import sys

from standins import fleet

VERDICT = fleet.ROOT / "out" / "verdict.json"
KNOWN_RED = fleet.ROOT / "KNOWN-RED.txt"
_ENTRY = "test: "


def known_red(file: pathlib.Path) -> set[str]:
    """Reads the names of the scenarios that are known to fail."""
    lines = file.read_text().splitlines() if file.exists() else []
    return {li[len(_ENTRY) :].strip() for li in lines if li.startswith(_ENTRY)}


def main(checks: dict[str, int], behave: int) -> int:
    """Prints the verdict.

    Args:
        checks: The exit codes of the formatter and the linter.
        behave: The exit code of behave.

    Returns:
        0 where all that counts passed, else 1.
    """
    if not VERDICT.exists():
        print(f"behave ended with {behave} and without a verdict")
        print("0 passed, 1 failed")
        return 1
    verdict = json.loads(VERDICT.read_text())
    passed = list(verdict["passed"])
    listed = known_red(KNOWN_RED)
    failed = [name for name in verdict["failed"] if name not in listed]
    for name in sorted(listed & set(verdict["failed"])):
        print(f"known red: {name}")
    for name in sorted(listed & set(passed)):
        print(f"known red, but passed: {name}")
    for name, code in checks.items():
        (failed if code else passed).append(name)
    if behave and not verdict["failed"]:
        failed.append(f"behave (exit code {behave})")
    for name in failed:
        print(f"failed: {name}")
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if failed or not verdict["passed"] else 0


if __name__ == "__main__":
    codes = [int(argument) for argument in sys.argv[1:4]]
    sys.exit(main({"format": codes[0], "lint": codes[1]}, codes[2]))
