"""Benchmark of a scheduler that gets a tenth of its processor time for a while."""

from __future__ import annotations

from bench.measure import Measure
from standins.slow_scheduler import SlowDay, play_slow_day

COMMAND = "python -m bench starved"

DAY = SlowDay(jobs_per_s=10, fraction=0.1, slow_from_s=15, slow_until_s=35, end_s=60)
CALM_FROM_S = 5
SETTLE_S = 2
RECOVERY_S = 5


def run() -> list[Measure]:
    """Return the rates of ended tasks before, during and after the slow time."""
    world, ended = play_slow_day(DAY)

    def rate(first: int, end: int) -> float:
        return sum(ended[first:end]) / (end - first)

    calm = rate(CALM_FROM_S, DAY.slow_from_s)
    first_slow, last_slow = DAY.slow_from_s + SETTLE_S, DAY.slow_until_s - RECOVERY_S
    slow = [rate(s, s + RECOVERY_S) for s in range(first_slow, last_slow + 1)]
    back_from_s = DAY.slow_until_s + RECOVERY_S
    back = rate(back_from_s, back_from_s + RECOVERY_S)
    rows: list[tuple[str, float, str, str]] = [
        ("ended tasks a second, calm", calm, "1/s", ""),
        ("ended tasks a second, slow, worst 5 s", min(slow), "1/s", "> 0"),
        ("ended tasks a second, 5 s after", back, "1/s", f">= {0.9 * calm:.0f}"),
        ("longest queue of orders", world.longest_queue, "orders", ""),
        ("started runs", world.counts["starts"], "", ""),
        ("orders sent or dropped", world.counts["handled"], "", ""),
        ("rules broken", len(world.violations), "", "0"),
    ]
    return [Measure(*row, "", 1, COMMAND) for row in rows]
