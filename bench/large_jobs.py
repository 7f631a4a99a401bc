"""Benchmark of how long one large job keeps the scheduler from its event loop."""

from __future__ import annotations

import time

from bench.measure import Measure
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.effects import Commit, Effect, StartRun
from primrosepitch.scheduling.reducer import step
from standins.large_jobs import KINDS, build_pools, large_job
from standins.waiting_jobs import WALL_MS

COMMAND = "python -m bench large_jobs"

LARGEST = 40
"""Largest number of tasks in a job of the users' sites: five steps of eight tasks."""

ENDPOINTS = 64

DURATION_S = 1.0

TICK_S = 0.02


def longest_hold_ms(kind: str, count: int, room: str) -> float:
    """Return the longest time in ms that the scheduler took for one event."""
    state = build_pools(kind, room, ENDPOINTS)
    end = state.now + DURATION_S
    longest_s = 0.0

    def timed(event: ev.Event) -> list[Effect]:
        nonlocal longest_s
        begin = time.perf_counter()
        effects = step(state, event)
        longest_s = max(longest_s, time.perf_counter() - begin)
        return effects

    effects = timed(ev.JobAccepted(large_job(kind, count)))
    while state.now < end:
        now = state.now + TICK_S
        effects += timed(ev.Tick(now, WALL_MS + round(now * 1000)))
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, Commit):
                effects += timed(ev.Committed(effect.number, now))
            elif isinstance(effect, StartRun):
                done = (effect.task, effect.run, effect.endpoint, ev.Outcome.DONE)
                effects += timed(ev.StartAnswered(*done, now))
    return longest_s * 1000


def run() -> list[Measure]:
    """Return the longest holds at 1, 10 and 100 times the sites' largest job."""
    measures = []
    for kind in KINDS:
        for room in ("enough", "no"):
            for factor in (1, 10, 100):
                count = factor * LARGEST
                held_ms = longest_hold_ms(kind, count, room)
                bound = "<= 50" if factor == 10 else "< 1100" if factor == 100 else ""
                name = f"longest hold, {count} {kind}, {room} room"
                measures.append(Measure(name, held_ms, "ms", bound, "", -1, COMMAND))
    return measures
