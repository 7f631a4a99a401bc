"""Life cycle of tasks: submission, reports, end of an attempt, retry, adoption."""

from __future__ import annotations

import logging

from primrosepitch.events import event
from primrosepitch.ids import TaskId
from primrosepitch.planning import lease
from primrosepitch.planning.effects import ChangeTask, Effect
from primrosepitch.planning.events import Size, TaskAction, TaskReport, TaskSpec
from primrosepitch.planning.policies import PEAK_HEADROOM_FACTOR, POLICIES
from primrosepitch.planning.state import PlannerState, Task, TaskState, log_line

__all__ = [
    "MAX_FAILED_STARTS",
    "cancel",
    "on_command_answer",
    "on_task_report",
    "submit",
]

PEAK_WINDOW_S = 300.0
"""Seconds for which a report counts for the observed peak usage of a task."""

MISSING_TASK_GRACE_S = 5.0
"""Seconds since the last command after which a report without the task proves that
the task does not run."""

MIN_RETRY_S = 1.0
"""Backoff after the first failed start; it doubles with each attempt."""

MAX_RETRY_S = 60.0

REFUSAL_BACKOFF_S = 2.0
"""Seconds for which a worker that refused a start gets no tasks."""

MAX_FAILED_STARTS = 3
"""Consecutive failed starts after which a worker is avoided."""

ENDED_RETENTION_S = 120.0
"""Seconds for which an ended attempt is remembered."""

LIVE_STATES = frozenset({"running", "throttled"})

DONE_STATES = frozenset({"done", "finished", "completed", "succeeded"})

WORKER_AVOIDED = event(
    3504,
    "worker_avoided",
    logging.WARNING,
    "The last starts on a worker failed; it gets no new tasks for now.",
    "check the worker",
)

ENDED = event(3505, "task_ended", logging.INFO, "An attempt of a task has ended.")
ADOPTED = event(
    3506,
    "task_adopted",
    logging.INFO,
    "A running task of a former planner was adopted.",
)


def submit(state: PlannerState, now: float, specs: list[TaskSpec]) -> None:
    """Add new tasks; resubmission of a known task has no effect."""
    for spec in specs:
        if spec.task not in state.tasks:
            state.tasks[spec.task] = Task(spec=spec, arrived=now)


def cancel(state: PlannerState, now: float, names: list[TaskId]) -> None:
    """Remove waiting tasks and mark started ones to be ended on the next tick."""
    for name in names:
        task = state.tasks.get(name)
        if task is None:
            continue
        if task.state is TaskState.WAITING:
            _forget(state, name)
        else:
            task.dropped = True


def on_command_answer(
    state: PlannerState, now: float, name: str, action: TaskAction, ok: bool | None
) -> list[Effect]:
    """Handle the result of a command about a task."""
    task = _by_name(state, name)
    if task is None or ok is None:
        return []
    if action is TaskAction.START:
        if ok:
            task.state = TaskState.RUNNING
            return []
        if task.worker is not None:
            state.refused_until[task.worker] = now + REFUSAL_BACKOFF_S
        return _end_attempt(state, now, task, "refused")
    if action is TaskAction.THROTTLE and ok:
        size = POLICIES[state.policy].size(task).scale(1 / PEAK_HEADROOM_FACTOR)
        halved = Size(size.cores / 2, size.memory_gb, size.accelerators)
        task.throttled = True
        task.peaks = [(now, halved)]
        return []
    if action in (TaskAction.CHECKPOINT, TaskAction.STOP) or not ok:
        return _end_attempt(state, now, task, action.value)
    return []


def on_task_report(
    state: PlannerState, now: float, asked: float, rows: list[TaskReport]
) -> list[Effect]:
    """Handle the platform's report on all tasks of the data centre."""
    effects: list[Effect] = []
    found = {row.task: row for row in rows}
    for name in list(state.task_by_attempt):
        task = _by_name(state, name)
        row = found.get(name)
        if task is not None and (row is not None or _is_disproved(task, asked)):
            effects += _update_task(state, now, task, row)
    if not lease.holds(state):
        return effects
    state.tasks_reported_at = max(state.tasks_reported_at, asked)
    state.ended_attempts = {
        n: at for n, at in state.ended_attempts.items() if now - at <= ENDED_RETENTION_S
    }
    for row in rows:
        if row.task not in state.task_by_attempt and row.state in LIVE_STATES:
            effects += _handle_unknown(state, now, asked, row)
    return effects


def _is_disproved(task: Task, asked: float) -> bool:
    """Return whether a report without the task proves that it does not run."""
    return asked > max(task.changed, task.renewed) + MISSING_TASK_GRACE_S


def _update_task(
    state: PlannerState, now: float, task: Task, row: TaskReport | None
) -> list[Effect]:
    if row is None or row.state not in LIVE_STATES:
        outcome = row.state if row else "missing"
        return _end_attempt(state, now, task, outcome)
    if task.state is TaskState.STARTING:
        task.state = TaskState.RUNNING
    if row.usage is not None:
        if task.worker is not None:
            state.worker_failures.pop(task.worker, None)
        recent = [p for p in task.peaks if now - p[0] <= PEAK_WINDOW_S]
        task.peaks = [*recent, (now, row.usage)][-60:]
    return []


def _handle_unknown(
    state: PlannerState, now: float, asked: float, row: TaskReport
) -> list[Effect]:
    """Stop an attempt that should have ended, or adopt a former planner's task.

    A report that was requested before the attempt ended proves nothing.
    """
    base, _, attempt = row.task.rpartition(".")
    name = TaskId(base or row.task)
    known = state.tasks.get(name)
    ended = state.ended_attempts.get(
        row.task, known.changed if known else float("-inf")
    )
    if asked <= ended:
        return []
    if known is not None or row.task in state.ended_attempts:
        return [ChangeTask(task=row.task, action=TaskAction.STOP)]
    return _adopt(state, now, name, attempt, row)


def _adopt(
    state: PlannerState, now: float, name: TaskId, attempt: str, row: TaskReport
) -> list[Effect]:
    """Add a running task of a former planner to the state."""
    spec = TaskSpec(task=name, team=row.team, size=row.size, priority=row.priority)
    state.tasks[name] = Task(
        spec=spec,
        arrived=now,
        state=TaskState.RUNNING,
        worker=row.instance,
        attempt=int(attempt) if attempt.isdigit() else 0,
        changed=now,
        name=row.task,
        peaks=[(now, row.usage)] if row.usage else [],
    )
    state.task_by_attempt[row.task] = name
    return [log_line(ADOPTED.number, task=name, instance=row.instance)]


def _end_attempt(
    state: PlannerState, now: float, task: Task, outcome: str
) -> list[Effect]:
    """Remove a finished or cancelled task, or queue it for another attempt."""
    effects: list[Effect] = [
        log_line(ENDED.number, task=task.spec.task, instance=task.worker, how=outcome)
    ]
    state.task_by_attempt.pop(task.name, None)
    state.ended_attempts[task.name] = now
    worker = task.worker
    if outcome == "failed" and worker is not None:
        failures = state.worker_failures.get(worker, 0) + 1
        state.worker_failures[worker] = failures
        if failures == MAX_FAILED_STARTS:
            effects.append(log_line(WORKER_AVOIDED.number, instance=worker))
    stopped = outcome == "stopped" and not task.ending_by
    if task.dropped or stopped or outcome in DONE_STATES:
        _forget(state, task.spec.task)
        return effects
    delay = 0.0
    if outcome in ("failed", "refused"):
        delay = min(MAX_RETRY_S, MIN_RETRY_S * 2 ** min(task.attempt - 1, 6))
    task.state = TaskState.WAITING
    task.worker = None
    task.name = ""
    task.ending_by = ""
    if task.throttled:
        # Usage under throttling does not predict the next attempt.
        task.peaks = []
    task.throttled = False
    task.retry_at = now + delay
    return effects


def _forget(state: PlannerState, name: TaskId) -> None:
    state.tasks.pop(name, None)
    state.oversized_tasks.discard(name)


def _by_name(state: PlannerState, name: str) -> Task | None:
    task = state.task_by_attempt.get(name)
    return state.tasks.get(task) if task is not None else None
