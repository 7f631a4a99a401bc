"""Run behave and print a last line with the numbers of scenarios.

Scenarios named in KNOWN-RED.txt also run; their failures are printed, not counted.
"""

from __future__ import annotations

import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.model_type import Status
from behave.runner import Runner

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_failures() -> set[str]:
    """Return the names of scenarios that are known to fail.

    Each entry of the file starts with a line ``scenario: NAME``.
    """
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    prefix = "scenario: "
    return {s[len(prefix) :].strip() for s in lines if s.startswith(prefix)}


def main() -> int:
    """Run the named features, or all, and return the exit code."""
    args = [*sys.argv[1:], "--format", "progress", "--no-capture", "--no-color"]
    paths = [] if any(not a.startswith("-") for a in sys.argv[1:]) else ["features"]
    runner = Runner(Configuration([*args, *paths]))
    broken = runner.run()
    passed = failed = skipped = 0
    known_failures = read_known_failures()
    for feature in runner.features:
        for scenario in feature.walk_scenarios():
            if scenario.status is Status.passed:
                passed += 1
            elif scenario.status is Status.skipped:
                skipped += 1
            elif scenario.name in known_failures:
                skipped += 1
                print(f"known red: {scenario.name}")
            else:
                failed += 1
                print(f"failed: {feature.filename}: {scenario.name}")
    if broken and not failed and not skipped:
        failed += 1
    skipped_part = f", {skipped} skipped" if skipped else ""
    print(f"{passed} passed, {failed} failed{skipped_part}")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
