"""Availability budgets: which tasks of lasting steps a planned stop may end now."""

from __future__ import annotations

from primrosepitch.scheduling.state import Phase, SchedulerState, StepRun, Task

__all__ = ["is_unavailable", "may_disrupt", "step_of"]


def step_of(state: SchedulerState, task: Task) -> StepRun:
    """Return the step that a task belongs to."""
    return state.jobs[task.key.job].steps[task.key.occurrence][task.key.step]


def is_unavailable(state: SchedulerState, task: Task) -> bool:
    """Return whether a task counts as unavailable.

    A task on an unreachable endpoint does, since its state is unknown.
    """
    endpoint = state.endpoints.get(task.endpoint)
    unreachable = endpoint is None or not endpoint.reachable
    return task.phase is not Phase.RUNNING or not task.at_full_rate or unreachable


def may_disrupt(state: SchedulerState, task: Task) -> bool:
    """Return whether a planned stop may end a task's run.

    Steps whose ``max_unavailable`` is 0 have no availability budget. The task itself
    counts as available, since it may have become so after its endpoint's last report.
    """
    if task.spec.max_unavailable <= 0:
        return True
    endpoint = state.endpoints.get(task.endpoint)
    if endpoint is not None and not endpoint.reachable:
        # The task may be available there, and the state of others is unknown as well.
        return False
    step = step_of(state, task)
    others = sum(
        is_unavailable(state, other) for other in step.tasks if other is not task
    )
    others += step.uncreated
    return others < task.spec.max_unavailable
