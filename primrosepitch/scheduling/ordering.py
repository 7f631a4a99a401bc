"""Ranks waiting steps for the capacity of their pool.

When a queue demands several times the capacity of its pool for some seconds, some work
misses its objective in any case. It must not take capacity from work that can still
meet its objective.
"""

from __future__ import annotations

import enum
import functools
import heapq
import math
import sys
from collections.abc import Callable

from primrosepitch.events import JOB_UNPLACEABLE
from primrosepitch.scheduling.effects import Effect, WriteLog
from primrosepitch.scheduling.expansion import (
    assess_servability,
    open_due_occurrences,
)
from primrosepitch.scheduling.state import (
    JobRun,
    Phase,
    PlanningPass,
    ReadyStep,
    SchedulerState,
    StepRun,
)

__all__ = [
    "TOO_LATE_FACTOR",
    "RANKINGS",
    "Occurrence",
    "PriorityClass",
    "begin_pass",
    "log_unplaceable",
    "next_ready",
    "rank_steps",
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


MAX_RANKED = 1500
"""Number of jobs and steps that one slice of a planning pass looks at."""

MAX_WINDOW = 512
"""Maximum number of a job's ready steps that are ranked in a planning pass. The others
follow in turn in the next passes."""


class Occurrence:
    """Progress of one occurrence of a job, computed once for all of its ready steps.

    :ivar number: number of the occurrence
    :ivar steps: its steps
    :ivar any_step_done: whether any of them is done
    """

    def __init__(
        self, number: int, steps: list[StepRun], any_step_done: bool = False
    ) -> None:
        """Compute nothing yet."""
        self.number = number
        self.steps = steps
        self.any_step_done = any_step_done

    @functools.cached_property
    def waiting_work(self) -> float:
        """Return the work of waiting tasks, in thousandths of a core times ms."""
        return float(
            sum(
                step.spec.task_work * (len(step.waiting) + step.uncreated)
                for step in self.steps
            )
        )

    @functools.cached_property
    def begun(self) -> bool:
        """Return whether any task is placed or done."""
        return any(
            task.phase is not Phase.WAITING for s in self.steps for task in s.tasks
        )


def begin_pass(state: SchedulerState) -> PlanningPass:
    """Return a planning pass over all open jobs."""
    return PlanningPass([*reversed(state.jobs.values())], state.replan)


def rank_steps(state: SchedulerState, plan: PlanningPass) -> list[Effect]:
    """Rank the ready steps of the next jobs of a planning pass.

    The pass goes on with the next call. Its order is known once all jobs are ranked.
    """
    effects: list[Effect] = []
    ranked: list[ReadyStep] = []
    left = MAX_RANKED
    while plan.jobs and left > 0:
        job = plan.jobs.pop()
        plan.turns = max(plan.turns, math.ceil(job.ready_count / MAX_WINDOW))
        steps = _ready_steps_of(state, job, MAX_WINDOW)
        effects += log_unplaceable(state, job)
        ranked += steps
        left -= 1 + len(steps)
    ranked.sort(key=_rank)
    plan.ranked.append(ranked)
    if not plan.jobs:
        plan.order = heapq.merge(*plan.ranked, key=_rank)
    return effects


def _rank(ready: ReadyStep) -> tuple[float, ...]:
    return ready.rank


def next_ready(plan: PlanningPass) -> ReadyStep | None:
    """Return the next step of a planning pass by rank that waits still, if any."""
    for ready in plan.order or ():
        if not plan.sliced:
            return ready
        current = _as_it_waits(ready)
        if current is not None:
            return current
    return None


def ready_steps(state: SchedulerState) -> list[ReadyStep]:
    """Return all steps with waiting tasks whose dependencies are done, in order.

    Takes time in proportion to the ready steps of open jobs.
    """
    found = [
        ready
        for job in state.jobs.values()
        for ready in _ready_steps_of(state, job, sys.maxsize)
    ]
    found.sort(key=_rank)
    return found


def _ready_steps_of(state: SchedulerState, job: JobRun, window: int) -> list[ReadyStep]:
    """Return the ready steps of a job, ``window`` at most.

    Those that are returned are the last ones to be returned again.
    """
    if job.ending or job.state.final:
        return []
    _refresh(state, job)
    found: list[ReadyStep] = []
    rank_of = RANKINGS[state.ranking]
    rotates = job.ready_count > window
    for occurrence_number, ready in list(job.ready.items()):
        steps = job.steps[occurrence_number]
        any_done = job.done_in.get(occurrence_number, 0) > 0
        occurrence = Occurrence(occurrence_number, steps, any_done)
        for number in [*ready][: window - len(found)]:
            step = ready.pop(number)
            tasks = [t for t in step.waiting.values() if t.phase is Phase.WAITING]
            uncreated = step.uncreated
            if not (tasks or uncreated):
                job.ready_count -= 1
                continue
            ready[number] = step
            if step.spec.gang and not _gang_waiting(step):
                continue
            rank = rank_of(state, job, occurrence, number, step)
            found.append(
                ReadyStep(rank, job, step, occurrence_number, number, tasks, uncreated)
            )
        if not ready:
            del job.ready[occurrence_number]
        elif rotates:
            job.ready[occurrence_number] = job.ready.pop(occurrence_number)
        if len(found) >= window:
            break
    return found


def _refresh(state: SchedulerState, job: JobRun) -> None:
    """Update what of a job may start now."""
    demand_ends = 0.0 < job.demand_until <= state.now
    if demand_ends:
        job.demand_until = 0.0
    if demand_ends or job.servability_epoch != state.servability.epoch(job.has_gang):
        assess_servability(state, job)
    open_due_occurrences(state, job)


def _as_it_waits(ready: ReadyStep) -> ReadyStep | None:
    """Return a step with the tasks that may start now, or ``None`` without any."""
    job, step = ready.job, ready.step
    if job.ending or job.state.final or (step.spec.gang and not _gang_waiting(step)):
        return None
    return still_waiting(ready)


def still_waiting(ready: ReadyStep) -> ReadyStep | None:
    """Return a step with the tasks that wait now, or ``None`` without any."""
    step = ready.step
    uncreated = step.spec.tasks - len(step.tasks)
    if not (step.waiting or ready.tasks) and uncreated == ready.uncreated > 0:
        return ready
    tasks = [task for task in step.waiting.values() if task.phase is Phase.WAITING]
    if not (tasks or uncreated):
        return None
    return ready._replace(tasks=tasks, uncreated=uncreated)


def _gang_waiting(step: StepRun) -> bool:
    """Return whether no member of a gang has capacity, so that all can start."""
    return not any(task.placed for task in step.tasks)


def log_unplaceable(state: SchedulerState, job: JobRun) -> list[Effect]:
    """Log once per job that no known endpoint can run one of its steps."""
    if job.unplaceable or not job.unservable:
        return []
    job.unplaceable = True
    number = min(job.unservable)
    step = job.spec.steps[number]
    fields = {"job": job.spec.job, "step": number, "label": step.label}
    return [WriteLog(JOB_UNPLACEABLE, {**fields, "needs": list(step.needs)})]


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
