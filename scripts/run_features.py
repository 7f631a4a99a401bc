"""Run behave and close with one line that counts scenarios.

Scenarios named in KNOWN-RED.txt run too; their failures are printed and not counted.
"""

from __future__ import annotations

import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.model_type import Status
from behave.runner import Runner

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red() -> set[str]:
    """Return the names of scenarios that may fail.

    An entry starts with a line ``scenario: NAME``.
    """
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    prefix = "scenario: "
    return {s[len(prefix) :].strip() for s in lines if s.startswith(prefix)}


def main() -> int:
    """Run all features and return the exit code."""
    args = [*sys.argv[1:], "--format", "progress", "--no-capture", "--no-color"]
    paths = [] if any(not a.startswith("-") for a in sys.argv[1:]) else ["features"]
    runner = Runner(Configuration([*args, *paths]))
    broken = runner.run()
    passed = failed = skipped = 0
    red = known_red()
    for feature in runner.features:
        for scenario in feature.walk_scenarios():
            if scenario.status is Status.passed:
                passed += 1
            elif scenario.status is Status.skipped:
                skipped += 1
            elif scenario.name in red:
                skipped += 1
                print(f"known red: {scenario.name}")
            else:
                failed += 1
                print(f"failed: {feature.filename}: {scenario.name}")
    if broken and not failed and not skipped:
        failed += 1
    tail = f", {skipped} skipped" if skipped else ""
    print(f"{passed} passed, {failed} failed{tail}")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
