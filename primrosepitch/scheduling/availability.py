"""Which tasks of lasting steps may be taken away now."""

from __future__ import annotations

from primrosepitch.scheduling.state import Phase, SchedulerState, StepRun, Task

__all__ = ["is_unavailable", "may_disrupt"]


def step_of(state: SchedulerState, task: Task) -> StepRun:
    """Return the step that a task belongs to."""
    return state.jobs[task.key.job].steps[task.key.occurrence][task.key.step]


def is_unavailable(state: SchedulerState, task: Task) -> bool:
    """Return whether a task must be counted as not at work.

    Nobody knows what runs on an endpoint that does not answer.
    """
    endpoint = state.endpoints.get(task.endpoint)
    silent = endpoint is None or not endpoint.reachable
    return task.phase is not Phase.RUNNING or not task.at_full_rate or silent


def may_disrupt(state: SchedulerState, task: Task) -> bool:
    """Return whether a planned stop may end a task's run.

    Steps without an allowance have no availability budget. A task that was not at work
    when its endpoint last reported may be by now, so it counts like one that is.
    """
    if task.spec.max_unavailable <= 0:
        return True
    endpoint = state.endpoints.get(task.endpoint)
    if endpoint is not None and not endpoint.reachable:
        # It may be at work there, and how many others are away is not known.
        return False
    others = sum(
        is_unavailable(state, other)
        for other in step_of(state, task).tasks
        if other is not task
    )
    return others < task.spec.max_unavailable
