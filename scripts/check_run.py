"""Check what endpoints ran in a demo against limits, slots and connections."""

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
    """Return the JSON document at a path of an endpoint stand-in."""
    conn = http.client.HTTPConnection(address, timeout=10)
    conn.request("GET", path)
    return json.loads(conn.getresponse().read())


def largest_overlap(intervals: list[Interval]) -> dict[str, int]:
    """Return the most runs at the same time by team."""
    changes = defaultdict(list)
    for start, end, team in intervals:
        changes[team] += [(start, 1), (end, -1)]
    most = {}
    for team, points in changes.items():
        running = peak = 0
        # At equal times an end goes first: its unit may be used again.
        for _, change in sorted(points):
            running += change
            peak = max(peak, running)
        most[team] = peak
    return most


def check(
    cfg: Config, lost_allowed: bool, caller: dict[str, int], since: float
) -> list[str]:
    """Return the violations of a run.

    :param since: monotonic clock; runs that started before are left out, since what
        runs when a limit is lowered may end
    """
    bad = [f"{k}={caller[k]}" for k in ("doubled", "wrong", "untrue") if caller[k]]
    if caller["lost"] and not lost_allowed:
        bad.append(f"lost={caller['lost']}")
    intervals: list[Interval] = []
    for name, spec in cfg.instances.items():
        address = f"{spec.address}:{spec.port}"
        try:
            counts, runs = fetch(address, "/counts"), fetch(address, "/intervals")
        except OSError:
            continue
        if counts["max_running"] > spec.slots:
            bad.append(f"{name}: {counts['max_running']} requests at a time")
        if counts["max_connections"] > spec.connections:
            bad.append(f"{name}: {counts['max_connections']} connections")
        intervals += [
            (start, end, team) for start, end, team, _ in runs if start >= since
        ]
    peaks = largest_overlap(intervals)
    print("most at a time:", ", ".join(f"{t} {n}" for t, n in sorted(peaks.items())))
    for team, peak in peaks.items():
        if team in cfg.teams and peak > cfg.teams[team].limit:
            bad.append(f"{team}: {peak} of {cfg.teams[team].limit} running")
    return bad


def main() -> int:
    """Check a run; arguments: folder, caller's sums, whether answers may be lost."""
    cfg = merge(load_folder(Path(sys.argv[1])))
    caller = json.loads(Path(sys.argv[2]).read_text(encoding="utf-8"))
    lowered = Path(sys.argv[2]).with_name("lowered_at")
    since = float(lowered.read_text(encoding="utf-8")) if lowered.exists() else 0.0
    bad = check(cfg, sys.argv[3] == "1", caller, since)
    print("violations:", "; ".join(bad) or "none")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
