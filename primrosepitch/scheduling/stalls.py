"""Takes work off endpoints on which everything stands still.

The pattern it answers: an endpoint hangs while it reports well and looks the least
loaded, so that each job that has one task there is late. Reports give the progress of
each task.
"""

from __future__ import annotations

from primrosepitch.events import ENDPOINT_STALLED
from primrosepitch.scheduling.effects import Effect, WriteLog
from primrosepitch.scheduling.runs import stop_task
from primrosepitch.scheduling.state import Phase, SchedulerState, Task

__all__ = ["evict_stalled", "record_progress"]

STALL_S = 0.9
"""Time without any progress after which a task stands still: two reports lie a second
apart, and a task of 4 s that runs six times slower gains a percent in 0.25 s."""

AVOID_S = 2.0
"""Time for which a stalled endpoint gets nothing new; then it is tried again."""

MAX_STALL_MOVES = 2
"""Runs of a task that may be taken off stalled endpoints: some tasks never end."""


def record_progress(state: SchedulerState, task: Task, percent: int) -> None:
    """Take the progress that an endpoint reports of a running task."""
    if not task.progress_since:
        task.progress_since = state.now
    elif percent != task.progress:
        task.progress_since = task.last_progress_at = state.now
    task.progress = percent
    task.reported_at = state.now


def evict_stalled(state: SchedulerState) -> list[Effect]:
    """Put endpoints aside on which nothing moves, and start their tasks elsewhere."""
    effects: list[Effect] = []
    for endpoint in state.endpoints.values():
        if not endpoint.reachable or not endpoint.tasks:
            continue
        observed = [task for task in endpoint.tasks.values() if _observed(task)]
        stalled_s = _stalled_s(state, observed)
        if not stalled_s:
            continue
        if state.now >= endpoint.ejected_until:
            fields = {
                "endpoint": endpoint.id,
                "stalled_s": round(stalled_s, 2),
                "tasks": len(observed),
                "for_s": AVOID_S,
            }
            effects.append(WriteLog(ENDPOINT_STALLED, fields))
        endpoint.ejected_until = max(endpoint.ejected_until, state.now + AVOID_S)
        for task in observed:
            if task.stall_moves < MAX_STALL_MOVES:
                task.avoid_endpoint = endpoint.id
                task.stall_moves += 1
                effects += stop_task(state, task, "its endpoint stands still")
    return effects


def _stalled_s(state: SchedulerState, observed: list[Task]) -> float:
    """Return for how long an endpoint has stood still; 0 if it hasn't."""
    if any(state.now - task.last_progress_at < STALL_S for task in observed):
        return 0.0
    still = [
        task for task in observed if task.reported_at - task.progress_since > STALL_S
    ]
    stalled_s = max((t.reported_at - t.progress_since for t in still), default=0.0)
    # A single job may stand still by itself.
    alone = len({task.key.job for task in still}) < 2
    return 0.0 if alone and stalled_s < 2 * STALL_S else stalled_s


def _observed(task: Task) -> bool:
    """Return whether a task's progress tells of its endpoint.

    What lasts reports its pace instead; a gang waits for its members.
    """
    spec = task.spec
    plain = not (spec.lasting or spec.gang or spec.fills)
    return plain and task.phase is Phase.RUNNING and task.progress_since > 0
