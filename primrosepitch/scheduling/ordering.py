"""Order in which waiting steps are given room.

The pattern it answers: one queue asks several times what its pool holds, for some
seconds. Some work then misses its objective whatever is done; it must not take room
from work that can still make it.
"""

from __future__ import annotations

from typing import NamedTuple

from primrosepitch.scheduling.state import (
    JobRun,
    Phase,
    SchedulerState,
    StepRun,
    Task,
)

__all__ = ["ReadyStep", "ready_steps"]

LATE_FACTOR = 3.0
"""A job that takes longer than this times its objective is worth nothing to its
caller any more, but still has to be done."""


class ReadyStep(NamedTuple):
    """Tasks of one step that may start.

    :param rank: lower ranks get room first
    """

    rank: tuple[float, ...]
    job: JobRun
    step: StepRun
    number: int
    tasks: list[Task]


def ready_steps(state: SchedulerState) -> list[ReadyStep]:
    """Return all steps with tasks that wait and may start, in order."""
    found = []
    for job in state.jobs.values():
        if job.cancelled or job.failing or job.state.final:
            continue
        for occurrence, steps in job.steps.items():
            for number, step in enumerate(steps):
                tasks = [t for t in step.tasks if t.phase is Phase.WAITING]
                if not tasks or not all(steps[i].done for i in step.spec.after):
                    continue
                if step.spec.gang and not _whole(step):
                    continue
                rank = _rank(state, job, occurrence, number, step)
                found.append(ReadyStep(rank, job, step, number, tasks))
    found.sort(key=lambda ready: ready.rank)
    return found


def _whole(step: StepRun) -> bool:
    """Return whether no member of a gang has a run, so that all can start."""
    return not any(task.placed for task in step.tasks)


def _rank(
    state: SchedulerState, job: JobRun, occurrence: int, number: int, step: StepRun
) -> tuple[float, ...]:
    if step.spec.fills:
        return (9.0, 0.0, float(job.spec.accepted_ms))
    if step.spec.lasting:
        return (0.0, float(job.spec.priority), float(job.spec.accepted_ms))
    begun_ms = job.spec.due_ms(occurrence) or job.spec.accepted_ms
    span_ms = max(1.0, job.due_by_ms - job.spec.accepted_ms)
    left_ms = remaining_chain_ms(job, number)
    slack_ms = begun_ms + span_ms - state.wall_ms - left_ms
    if slack_ms >= 0:
        group = 1.0
    elif slack_ms + (LATE_FACTOR - 1) * span_ms >= 0:
        group = 2.0
    else:
        group = 3.0
    return (float(job.spec.priority) if group < 2 else 5.0 + group, group, slack_ms)


def remaining_chain_ms(job: JobRun, number: int) -> int:
    """Return the estimated work of the longest chain that begins with a step."""
    steps = job.spec.steps
    longest = [0] * len(steps)
    for i in range(len(steps) - 1, -1, -1):
        behind = [longest[j] for j in range(i + 1, len(steps)) if i in steps[j].after]
        longest[i] = steps[i].estimate_ms + max(behind, default=0)
    return longest[number]
