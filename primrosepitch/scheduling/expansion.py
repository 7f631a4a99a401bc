"""Creates the steps and tasks of jobs when they may start.

A job may have thousands of occurrences, steps and tasks that wait. Memory and time are
spent on those only that are about to start or have started.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from primrosepitch.jobs.model import AdviceSpec, JobSpec, TaskKey
from primrosepitch.jobs.records import TASKS_PER_RECORD
from primrosepitch.scheduling.state import (
    JobRun,
    Phase,
    ReadyStep,
    SchedulerState,
    StepRun,
    Task,
)

__all__ = [
    "assess_servability",
    "create_tasks",
    "critical_path_ms",
    "expand_job",
    "find_task",
    "has_servable_work",
    "open_due_occurrences",
    "open_occurrence",
    "record_phase",
    "waiting_tasks",
]

MAX_READY_STEPS = 64
"""Number of ready steps of a job from which no further occurrence is opened, so that a
schedule that is long overdue takes little memory."""

DEMANDED_ADVICE = AdviceSpec(validity_ms=1000)
"""Advice of a queue that has none as far as is known, although an endpoint has refused
a start without a ticket. For how long its tickets are valid is not known either."""


def expand_job(state: SchedulerState, spec: JobSpec) -> JobRun:
    """Return a job with what is derived from its steps, without any occurrence."""
    ordinals = [0]
    for step in spec.steps:
        ordinals.append(ordinals[-1] + step.tasks)
    dependents: dict[int, list[int]] = {}
    for number, step in enumerate(spec.steps):
        for earlier in step.after:
            dependents.setdefault(earlier, []).append(number)
    job = JobRun(
        spec,
        lasting=spec.lasting,
        min_endpoints=max(
            (
                math.ceil(step.tasks / step.most_per_endpoint)
                for step in spec.steps
                if step.most_per_endpoint
            ),
            default=1,
        ),
        dependents=dependents,
        first_ordinals=tuple(ordinals),
        critical_path_ms=critical_path_ms(spec),
        remaining_paths_ms=remaining_paths_ms(spec),
        has_gang=any(step.gang for step in spec.steps),
    )
    job.deadline_ms = (
        spec.attempted_ms + spec.stretch * job.critical_path_ms + spec.goal_ms
    )
    assess_servability(state, job)
    return job


def critical_path_ms(spec: JobSpec) -> int:
    """Return the estimated duration of the longest chain of steps."""
    ends: list[int] = []
    for step in spec.steps:
        begin = max([ends[i] for i in step.after]) if step.after else 0
        ends.append(begin + (0 if step.lasting else step.estimate_ms))
    return max(ends, default=0)


def remaining_paths_ms(spec: JobSpec) -> tuple[int, ...]:
    """Return the estimated duration of the longest chain that starts with each step."""
    paths = [step.estimate_ms for step in spec.steps]
    for number, step in reversed([*enumerate(spec.steps)]):
        # All later steps have been added to the chain of this one.
        for earlier in step.after:
            through_ms = spec.steps[earlier].estimate_ms + paths[number]
            paths[earlier] = max(paths[earlier], through_ms)
    return tuple(paths)


def assess_servability(state: SchedulerState, job: JobRun) -> None:
    """Find the steps of a job that the known endpoints can run, and its advice."""
    job.servability_epoch = state.servability.epoch(job.has_gang)
    job.advice = state.cfg.advice_for(job.spec)
    if job.advice is None and state.now < job.demand_until:
        job.advice = job.spec.advice or DEMANDED_ADVICE
    limit = state.limit_of(job.spec.workspace)
    unservable = state.servability.unservable_steps(job.spec, limit)
    job.work = sum(
        step.tasks * step.task_work
        for number, step in enumerate(job.spec.steps)
        if number not in unservable and not step.lasting
    )
    if unservable == job.unservable:
        return
    job.unservable = unservable
    job.ready.clear()
    job.ready_count = 0
    for occurrence, steps in job.steps.items():
        if occurrence >= job.done_occurrences:
            _mark_ready_steps(state, job, occurrence, steps)


def has_servable_work(job: JobRun) -> bool:
    """Return whether an occurrence of a job has a step that could start."""
    return len(job.unservable) < len(job.spec.steps)


def open_due_occurrences(state: SchedulerState, job: JobRun) -> None:
    """Open the next occurrences of a job that are due, as many as may soon start.

    All of them are owed, and start in their order. Those without a step that the known
    endpoints could run wait without being opened.
    """
    while (
        job.next_occurrence < job.spec.occurrences
        and job.ready_count < MAX_READY_STEPS
        and has_servable_work(job)
        and job.spec.due_ms(job.next_occurrence) <= state.wall_ms
    ):
        open_occurrence(state, job, job.next_occurrence)


def open_occurrence(state: SchedulerState, job: JobRun, occurrence: int) -> None:
    """Create the steps of an occurrence, unless it has been opened."""
    if occurrence not in job.steps:
        steps = job.steps[occurrence] = [StepRun(step) for step in job.spec.steps]
        _mark_ready_steps(state, job, occurrence, steps)
    while job.next_occurrence in job.steps:
        job.next_occurrence += 1


def _mark_ready_steps(
    state: SchedulerState, job: JobRun, occurrence: int, steps: list[StepRun]
) -> None:
    ready: dict[int, StepRun] = {}
    for number, step in enumerate(steps):
        if (step.waiting or step.uncreated) and (
            not step.spec.after or step.may_begin(steps)
        ):
            step.ready_at = step.ready_at or state.now
            if number not in job.unservable:
                ready[number] = step
    job.ready[occurrence] = ready
    job.ready_count += len(ready)


def _mark_ready(
    state: SchedulerState, job: JobRun, occurrence: int, number: int
) -> None:
    """Let planning passes look at a step, unless no known endpoint can run it."""
    step = job.steps[occurrence][number]
    step.ready_at = step.ready_at or state.now
    if number in job.unservable:
        return
    ready = job.ready.setdefault(occurrence, {})
    if number not in ready:
        ready[number] = step
        job.ready_count += 1


def create_tasks(
    state: SchedulerState, job: JobRun, occurrence: int, number: int, count: int
) -> None:
    """Create the tasks of a step up to a number of tasks."""
    step = job.steps[occurrence][number]
    ordinal = occurrence * job.first_ordinals[-1] + job.first_ordinals[number]
    for index in range(len(step.tasks), min(count, step.spec.tasks)):
        task = Task(
            TaskKey(job.spec.job, occurrence, number, index),
            step.spec,
            job.spec.workspace,
            part=(ordinal + index) // TASKS_PER_RECORD,
            phase_since=step.ready_at or state.now,
        )
        step.tasks.append(task)
        step.waiting[index] = task
        job.parts.setdefault(task.part, []).append(task)


def waiting_tasks(state: SchedulerState, ready: ReadyStep) -> Iterator[Task]:
    """Yield the waiting tasks of a step, and create those that do not exist yet."""
    yield from ready.tasks
    step = ready.step
    while step.uncreated:
        count = len(step.tasks) + 1
        create_tasks(state, ready.job, ready.occurrence, ready.number, count)
        yield step.tasks[-1]


def find_step(state: SchedulerState, key: TaskKey) -> StepRun | None:
    """Return the step of a task, if its occurrence has been opened."""
    job = state.jobs.get(key.job)
    steps = job.steps.get(key.occurrence) if job is not None else None
    return steps[key.step] if steps is not None and key.step < len(steps) else None


def find_task(state: SchedulerState, key: TaskKey) -> Task | None:
    """Return a task of a job that has not ended, if it was created."""
    step = find_step(state, key)
    if step is None:
        return None
    return step.tasks[key.number] if 0 <= key.number < len(step.tasks) else None


def record_phase(state: SchedulerState, task: Task, earlier: Phase) -> None:
    """Update what its job and step know of a task whose phase has changed.

    :param earlier: phase before the change
    """
    step, job = find_step(state, task.key), state.jobs.get(task.key.job)
    if step is None or job is None:
        return
    key, number = task.key, task.key.number
    if task.phase is Phase.WAITING:
        step.waiting[number] = task
        _mark_ready(state, job, key.occurrence, key.step)
    else:
        step.waiting.pop(number, None)
    if task.placed:
        job.placed[key] = task
    else:
        job.placed.pop(key, None)
    if task.phase is Phase.DONE and earlier is not Phase.DONE:
        job.done_work += task.spec.task_work
        if step.done:
            _complete_step(state, job, key.occurrence, key.step)


def _complete_step(
    state: SchedulerState, job: JobRun, occurrence: int, number: int
) -> None:
    """Let the steps begin that have waited for a step."""
    job.done_in[occurrence] = job.done_in.get(occurrence, 0) + 1
    steps = job.steps[occurrence]
    for dependent in job.dependents.get(number, ()):
        if steps[dependent].may_begin(steps):
            _mark_ready(state, job, occurrence, dependent)
