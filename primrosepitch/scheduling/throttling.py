"""Paces tasks that fill an endpoint down when they disturb those that serve there.

The pattern it answers: filling tasks slow serving ones by amounts that change within
seconds, so the tail latency that an endpoint reports decides, not the room.
"""

from __future__ import annotations

from primrosepitch.events import RUN_PACED
from primrosepitch.jobs.model import task_name
from primrosepitch.scheduling.effects import Effect, ThrottleRun, WriteLog
from primrosepitch.scheduling.state import Endpoint, Phase, SchedulerState, Task

__all__ = ["pace_filling"]

SLOWER = 0.5
"""Factor on the pace of filling tasks while a target is missed."""

FASTER = 20
"""Percent added to the pace when targets are kept again."""

LEAST_PERCENT = 10
"""Pace below which a filling task stands still instead."""

NEAR_TARGET = 0.7
"""Part of the target below which the pace may rise."""

REACT_S = 0.6
"""Pause between two changes; reports average half a second."""

CALM_S = 2.0
"""Time below the target before the pace rises."""


def pace_filling(state: SchedulerState) -> list[Effect]:
    """Change the pace of filling tasks where serving ones need it."""
    effects: list[Effect] = []
    for endpoint in state.endpoints.values():
        if not endpoint.reachable or not any(
            task.spec.fills for task in endpoint.tasks.values()
        ):
            continue
        running = [t for t in endpoint.tasks.values() if t.phase is Phase.RUNNING]
        filling = [t for t in running if t.spec.fills]
        worst = max((_strain(task) for task in running), default=0.0)
        for task in filling:
            effects += _adjust(state, endpoint, task, worst)
    return effects


def _strain(task: Task) -> float:
    """Return a serving task's tail latency as a part of its target."""
    if not task.spec.target_ms or task.spec.fills or not task.working:
        return 0.0
    return task.load / task.spec.target_ms


def _adjust(
    state: SchedulerState, endpoint: Endpoint, task: Task, worst: float
) -> list[Effect]:
    if worst >= NEAR_TARGET:
        task.over_since = state.now
    if state.now - task.paced_at < REACT_S:
        return []
    pace = task.pace
    if worst > 1.0:
        pace = int(pace * SLOWER)
        pace = pace if pace >= LEAST_PERCENT else 0
    elif worst < NEAR_TARGET and state.now - task.over_since >= CALM_S:
        pace = min(100, pace + FASTER)
    if pace == task.pace:
        return []
    task.pace, task.paced_at = pace, state.now
    fields = {
        "job": task.key.job,
        "task": task_name(task.key),
        "endpoint": endpoint.id,
        "percent": pace,
        "strain": round(worst, 2),
    }
    address = endpoint.report.address
    order = ThrottleRun(endpoint.id, address, task.key, task.run, pace, state.term)
    return [WriteLog(RUN_PACED, fields), order]
