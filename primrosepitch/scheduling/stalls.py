"""Evicts tasks from stalled endpoints.

A stalled endpoint still answers polls as healthy and appears the least loaded, but its
tasks make no progress, so each job with a task there is late. Polls return the progress
of each task.
"""

from __future__ import annotations

from primrosepitch.events import ENDPOINT_STALLED
from primrosepitch.scheduling.effects import Effect, WriteLog
from primrosepitch.scheduling.runs import stop_task
from primrosepitch.scheduling.state import Phase, SchedulerState, Task

__all__ = ["evict_stalled", "record_progress"]

STALL_TIMEOUT_S = 0.9
"""Time without progress after which a task counts as stalled: two reports are a second
apart, and a task of 4 s that runs six times slower gains a percent in 0.25 s."""

STALL_EJECTION_S = 2.0
"""Duration of the ejection of a stalled endpoint, in which it gets no tasks."""

MAX_STALL_MOVES = 2
"""Maximum number of evictions of a task from stalled endpoints: some tasks never
end."""


def record_progress(state: SchedulerState, task: Task, percent: int) -> None:
    """Record the progress that an endpoint reports for a running task."""
    if not task.progress_since:
        task.progress_since = state.now
    elif percent != task.progress:
        task.progress_since = task.last_progress_at = state.now
    task.progress = percent
    task.reported_at = state.now


def evict_stalled(state: SchedulerState) -> list[Effect]:
    """Eject stalled endpoints, and stop their tasks to start them elsewhere."""
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
                "for_s": STALL_EJECTION_S,
            }
            effects.append(WriteLog(ENDPOINT_STALLED, fields))
        endpoint.ejected_until = max(
            endpoint.ejected_until, state.now + STALL_EJECTION_S
        )
        for task in observed:
            if task.stall_moves < MAX_STALL_MOVES:
                task.avoid_endpoint = endpoint.id
                task.stall_moves += 1
                effects += stop_task(state, task, "its endpoint is stalled")
    return effects


def _stalled_s(state: SchedulerState, observed: list[Task]) -> float:
    """Return how long an endpoint has been stalled; 0 if it isn't."""
    if any(state.now - task.last_progress_at < STALL_TIMEOUT_S for task in observed):
        return 0.0
    stalled = [
        task
        for task in observed
        if task.reported_at - task.progress_since > STALL_TIMEOUT_S
        # One that has stalled on several endpoints shows nothing about this one.
        and task.stall_moves < MAX_STALL_MOVES
    ]
    stalled_s = max((t.reported_at - t.progress_since for t in stalled), default=0.0)
    # Tasks of a single job may stall for reasons of their own.
    single_job = len({task.key.job for task in stalled}) < 2
    return 0.0 if single_job and stalled_s < 2 * STALL_TIMEOUT_S else stalled_s


def _observed(task: Task) -> bool:
    """Return whether a task's progress indicates the health of its endpoint.

    It does not for lasting tasks, which report their rate instead, for best-effort
    tasks, and for members of a gang, which wait for each other.
    """
    spec = task.spec
    plain = not (spec.lasting or spec.gang or spec.fills)
    return plain and task.phase is Phase.RUNNING and task.progress_since > 0
