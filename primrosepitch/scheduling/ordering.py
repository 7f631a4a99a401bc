"""Ranks waiting steps for the capacity of their pool.

When a queue demands several times the capacity of its pool for some seconds, some work
misses its objective in any case. It must not take capacity from work that can still
meet its objective.
"""

from __future__ import annotations

import enum
import functools
from collections.abc import Callable
from typing import NamedTuple

from primrosepitch.jobs.model import JobId
from primrosepitch.scheduling.state import (
    JobRun,
    Phase,
    SchedulerState,
    StepRun,
    Task,
)

__all__ = [
    "TOO_LATE_FACTOR",
    "RANKINGS",
    "Occurrence",
    "PriorityClass",
    "ReadyStep",
    "ready_steps",
    "still_waiting",
]

TOO_LATE_FACTOR = 3.0
"""Multiple of its latency objective after which a job's result is of no use to its
caller; the job must still be completed."""


TASK_OVERHEAD_MS = 150.0
"""Time for starting a task and reporting its end, in addition to its work."""

SLACK_FRACTION = 0.1
"""Slack that a job must have when it begins, as a fraction of the remaining work: later
steps may have to wait for capacity."""


class PriorityClass(enum.IntEnum):
    """Priority classes of steps, highest first; least slack ranks first within one."""

    LASTING = 0
    BEGUN = 1
    IN_TIME = 2
    LATE = 3
    OVER_SHARE = 4
    TOO_LATE = 5
    BEST_EFFORT = 6


class ReadyStep(NamedTuple):
    """Tasks of one step that may start.

    :param rank: sort key; lower ranks get capacity first
    :param number: index of the step in its job
    """

    rank: tuple[float, ...]
    job: JobRun
    step: StepRun
    number: int
    tasks: list[Task]

    @property
    def key(self) -> tuple[JobId, int, int]:
        """Return the job, occurrence and number of the step."""
        return self.tasks[0].key[:3]


class Occurrence:
    """Progress of one occurrence of a job, computed once for all of its ready steps.

    :ivar number: number of the occurrence
    :ivar steps: its steps
    """

    def __init__(self, number: int, steps: list[StepRun]) -> None:
        """Compute nothing yet."""
        self.number = number
        self.steps = steps

    @functools.cached_property
    def any_step_done(self) -> bool:
        """Return whether any step is done."""
        return any(step.done for step in self.steps)

    @functools.cached_property
    def waiting_work(self) -> float:
        """Return the work of waiting tasks, in thousandths of a core times ms."""
        return float(
            sum(
                step.spec.needs.cpu * step.spec.estimate_ms
                for step in self.steps
                for task in step.tasks
                if task.phase is Phase.WAITING
            )
        )

    @functools.cached_property
    def begun(self) -> bool:
        """Return whether any task is placed or done."""
        return any(
            task.phase is not Phase.WAITING for s in self.steps for task in s.tasks
        )


def ready_steps(state: SchedulerState) -> list[ReadyStep]:
    """Return the steps with waiting tasks whose dependencies are done, in order.

    Takes time in proportion to the tasks of open jobs; a planning pass calls it once.
    """
    found = []
    rank_of = RANKINGS[state.ranking]
    for job in state.jobs.values():
        if job.cancelled or job.failing or job.state.final:
            continue
        for occurrence_number, steps in job.steps.items():
            if occurrence_number < job.done_occurrences:
                continue
            occurrence = Occurrence(occurrence_number, steps)
            for number, step in enumerate(steps):
                if not step.may_begin(steps):
                    continue
                tasks = [t for t in step.tasks if t.phase is Phase.WAITING]
                if not tasks:
                    continue
                if step.spec.gang and not _gang_waiting(step):
                    continue
                rank = rank_of(state, job, occurrence, number, step)
                found.append(ReadyStep(rank, job, step, number, tasks))
    found.sort(key=lambda ready: ready.rank)
    return found


def still_waiting(steps: list[ReadyStep]) -> list[ReadyStep]:
    """Return the steps with the tasks that wait still, in the same order."""
    found = []
    for ready in steps:
        tasks = [task for task in ready.tasks if task.phase is Phase.WAITING]
        if tasks:
            found.append(ready._replace(tasks=tasks))
    return found


def _gang_waiting(step: StepRun) -> bool:
    """Return whether no member of a gang has capacity, so that all can start."""
    return not any(task.placed for task in step.tasks)


RankFunction = Callable[
    [SchedulerState, JobRun, Occurrence, int, StepRun], tuple[float, ...]
]
RANKINGS: dict[str, RankFunction] = {}


def register_ranking(name: str) -> Callable[[RankFunction], RankFunction]:
    """Register a ranking of steps under a name."""

    def register(rank: RankFunction) -> RankFunction:
        RANKINGS[name] = rank
        return rank

    return register


@register_ranking("arrival")
def _by_arrival(
    state: SchedulerState,
    job: JobRun,
    occurrence: Occurrence,
    number: int,
    step: StepRun,
) -> tuple[float, ...]:
    """Rank first come, first served, as the baseline for comparison of rankings."""
    priority_class = (
        PriorityClass.BEST_EFFORT if step.spec.fills else PriorityClass.IN_TIME
    )
    return (float(priority_class), 0.0, 0.0, float(job.spec.attempted_ms))


@register_ranking("urgency")
def _by_urgency(
    state: SchedulerState,
    job: JobRun,
    occurrence: Occurrence,
    number: int,
    step: StepRun,
) -> tuple[float, ...]:
    if step.spec.fills:
        return (float(PriorityClass.BEST_EFFORT), 0.0, 0.0, float(job.spec.accepted_ms))
    if step.spec.lasting:
        priority = float(job.spec.priority)
        return (
            float(PriorityClass.LASTING),
            priority,
            0.0,
            float(job.spec.accepted_ms),
        )
    begun_ms = job.spec.due_ms(occurrence.number) or job.spec.attempted_ms
    span_ms = max(1.0, job.deadline_ms - job.spec.attempted_ms)
    left_ms = job.remaining_paths_ms[number]
    slack_ms = begun_ms + span_ms - state.wall_ms - left_ms
    begun = occurrence.any_step_done
    margin_ms = 0.0 if begun else TASK_OVERHEAD_MS + SLACK_FRACTION * left_ms
    if slack_ms >= margin_ms:
        priority_class = PriorityClass.BEGUN if begun else PriorityClass.IN_TIME
    elif slack_ms + (TOO_LATE_FACTOR - 1) * span_ms >= margin_ms:
        priority_class = PriorityClass.LATE
    else:
        priority_class = PriorityClass.TOO_LATE
    if job.over_share:
        priority_class = PriorityClass.OVER_SHARE
    priority = (
        float(job.spec.priority) if priority_class <= PriorityClass.IN_TIME else 0.0
    )
    return (
        float(max(priority_class, PriorityClass.IN_TIME)),
        priority,
        float(priority_class),
        slack_ms,
    )
