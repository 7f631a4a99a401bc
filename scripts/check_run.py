"""Check the runs that endpoints report after a demo against the configuration.

Checks the limits of teams, and the slots and connections of instances.
"""

from __future__ import annotations

import http.client
import json
import sys
from collections import defaultdict
from pathlib import Path
from typing import Any

from primrosepitch.config.loader import load_folder
from primrosepitch.config.model import Config, merge

Interval = tuple[float, float, str]


def fetch(address: str, path: str) -> Any:
    """Fetch a JSON document from an endpoint stand-in."""
    conn = http.client.HTTPConnection(address, timeout=10)
    conn.request("GET", path)
    return json.loads(conn.getresponse().read())


def largest_overlap(intervals: list[Interval]) -> dict[str, int]:
    """Return the maximum number of concurrent runs by team."""
    points_by_team = defaultdict(list)
    for start, end, team in intervals:
        points_by_team[team] += [(start, 1), (end, -1)]
    peaks = {}
    for team, points in points_by_team.items():
        running = peak = 0
        # At equal times ends sort before starts, since a freed unit may be reused.
        for _, change in sorted(points):
            running += change
            peak = max(peak, running)
        peaks[team] = peak
    return peaks


def check(
    cfg: Config, lost_allowed: bool, totals: dict[str, int], since: float
) -> list[str]:
    """Return the violations of a run.

    :param since: monotonic time; runs that started earlier are ignored, since those in
        progress may end when a limit is lowered
    """
    violations = [
        f"{k}={totals[k]}" for k in ("doubled", "wrong", "untrue") if totals[k]
    ]
    if totals["lost"] and not lost_allowed:
        violations.append(f"lost={totals['lost']}")
    intervals: list[Interval] = []
    for name, spec in cfg.instances.items():
        address = f"{spec.address}:{spec.port}"
        try:
            counts, runs = fetch(address, "/counts"), fetch(address, "/intervals")
        except OSError:
            continue
        if counts["max_running"] > spec.slots:
            violations.append(f"{name}: {counts['max_running']} concurrent requests")
        if counts["max_connections"] > spec.connections:
            violations.append(
                f"{name}: {counts['max_connections']} concurrent connections"
            )
        intervals += [
            (start, end, team) for start, end, team, _ in runs if start >= since
        ]
    peaks = largest_overlap(intervals)
    print("most at a time:", ", ".join(f"{t} {n}" for t, n in sorted(peaks.items())))
    for team, peak in peaks.items():
        if team in cfg.teams and peak > cfg.teams[team].limit:
            violations.append(f"{team}: {peak} of {cfg.teams[team].limit} running")
    return violations


def main() -> int:
    """Check a run.

    Arguments: folder of the configuration, file with the callers' totals, and 1 if
    responses may be lost.
    """
    cfg = merge(load_folder(Path(sys.argv[1])))
    totals = json.loads(Path(sys.argv[2]).read_text(encoding="utf-8"))
    lowered_file = Path(sys.argv[2]).with_name("lowered_at")
    since = (
        float(lowered_file.read_text(encoding="utf-8"))
        if lowered_file.exists()
        else 0.0
    )
    violations = check(cfg, sys.argv[3] == "1", totals, since)
    print("violations:", "; ".join(violations) or "none")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
