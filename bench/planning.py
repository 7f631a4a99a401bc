"""Processor time of planning passes at several sizes of a deployment."""

from __future__ import annotations

import time

from bench.measure import Measure
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.reducer import step
from primrosepitch.scheduling.state import Phase, SchedulerState
from standins.waiting_jobs import SEED, WALL_MS, build_state

__all__ = ["run"]

COMMAND = "python -m bench planning"

SIZES = ((135, 60), (270, 120), (540, 240), (540, 480), (880, 480))
"""Numbers of endpoints and of waiting jobs."""


def _pass_s(state: SchedulerState, now: float) -> float:
    """Return the processor time of one planning pass."""
    started_at = time.process_time()
    step(state, ev.Tick(now, WALL_MS + round(now * 1000)))
    return time.process_time() - started_at


def run() -> list[Measure]:
    """Measure the passes that place all that fits, and a pass after them."""
    measures = []
    for endpoints, jobs in SIZES:
        size = f"{endpoints} endpoints, {jobs} jobs"
        state = build_state(endpoints, jobs)
        passes = [_pass_s(state, 2.0)]
        while state.pass_cut_short:
            passes.append(_pass_s(state, 2.0 + len(passes)))
        placed = sum(
            task.phase is Phase.COMMITTING
            for job in state.jobs.values()
            for task in job.tasks()
        )
        state.replan = True
        last_s = _pass_s(state, 3.0 + len(passes))
        label = f"{size}, {placed} tasks placed"
        measures += [
            _measure(f"longest planning pass, {label}", max(passes)),
            _measure(f"all {len(passes)} passes, {label}", sum(passes)),
            _measure(f"pass without free capacity, {size}", last_s),
        ]
    return measures


def _measure(name: str, seconds: float) -> Measure:
    value_ms = round(seconds * 1000, 1)
    bound = "250 ms between heartbeats"
    return Measure(name, value_ms, "ms", bound, "-", SEED, COMMAND)
