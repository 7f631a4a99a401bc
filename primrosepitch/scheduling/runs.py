"""State transitions of tasks and jobs."""

from __future__ import annotations

from math import inf

from primrosepitch.events import (
    ENDPOINT_EJECTED,
    JOB_ENDED,
    RUN_ENDED,
    RUN_LOST,
    RUN_STARTING,
    RUN_STOPPING,
    RUN_WITHDRAWN,
)
from primrosepitch.jobs.model import (
    EndpointId,
    JobId,
    JobSpec,
    JobState,
    Resources,
    TaskKey,
    task_name,
)
from primrosepitch.jobs.records import JobEntry, StoredRuns, TaskRecord
from primrosepitch.scheduling.availability import step_of
from primrosepitch.scheduling.contention import record_work
from primrosepitch.scheduling.crashes import clear_survivor, in_trial, refute_listed
from primrosepitch.scheduling.effects import Effect, StopRun, WriteLog
from primrosepitch.scheduling.events import EndedRun, EndKind, Outcome
from primrosepitch.scheduling.expansion import (
    assess_servability,
    create_tasks,
    expand_job,
    find_task,
    open_due_occurrences,
    open_occurrence,
    record_phase,
)
from primrosepitch.scheduling.run_speed import record_end
from primrosepitch.scheduling.shares import exceeds_share
from primrosepitch.scheduling.state import (
    Endpoint,
    JobRun,
    Phase,
    SchedulerState,
    Task,
)

__all__ = [
    "CAPACITY_SHRUNK",
    "EJECTION_FAULT_SCORE",
    "abandon_start",
    "add_job",
    "cancel_job",
    "charge_duplicate",
    "run_lost",
    "place_task",
    "record_begun",
    "release_task",
    "release_duplicates",
    "restore_job",
    "run_ended",
    "settle_job",
    "stop_ending_jobs",
    "stop_task",
    "reserve_capacity",
    "confirm_soundness",
]

EJECTION_FAULT_SCORE = 3.0
"""Fault score at which an endpoint is ejected. Each failure adds 1 to the score, each
success subtracts 1. Single failures are normal, as up to 3 % of the tasks of some jobs
fail. The score never exceeds it, so that one success ends the probation."""

MAX_LISTED_FAILURES = 32
"""Number of failed runs of a task that are remembered, so that none counts twice when
its endpoint lists its end again."""

EJECTION_S = 4.0
"""Duration of an ejection after failures; about that of the grey failures that the
platform documents."""


LASTING_PROOF_S = 1.5
"""Time after which a lasting run at its full rate proves its endpoint sound."""

SLOW_LASTING_PROOF_S = 5.0
"""Time after which a lasting run below its full rate, as a throttled one, does so."""

REFUSAL_EJECTION_S = 0.4
"""Duration of an ejection after a refused start. Capacity is freed when a run ends, and
a stop takes at most ``stop_ms``."""


CAPACITY_SHRUNK = "its endpoint's capacity has shrunk"
"""Reason for which a task whose start order was not answered runs elsewhere."""


def set_job_state(state: SchedulerState, job: JobRun, new: JobState) -> None:
    """Change a job's state, which is reported to callers."""
    job.state = new
    state.changed_jobs.add(job.spec.job)


def record_begun(state: SchedulerState, job_id: JobId) -> None:
    """Record that an endpoint has begun a run of a job, which is not queued any more.

    A start order proves nothing, as it may be refused.
    """
    job = state.jobs.get(job_id)
    if job is not None and job.state is JobState.QUEUED:
        set_job_state(state, job, JobState.RUNNING)


def add_job(state: SchedulerState, spec: JobSpec) -> JobRun:
    """Add an accepted job and open the occurrences that are due."""
    if spec.workspace not in state.cfg.workspaces and any(spec.limit):
        state.former_limits.setdefault(spec.workspace, spec.limit)
    job = expand_job(state, spec)
    job.over_share = exceeds_share(state, spec)
    record_work(state, job)
    state.jobs[spec.job] = job
    open_due_occurrences(state, job)
    state.replan = True
    return job


def restore_job(
    state: SchedulerState, entry: JobEntry, runs: StoredRuns | None
) -> JobRun | None:
    """Restore a job from the ledger at the start of a term.

    :returns: the job, or ``None`` if it has ended
    """
    spec, status = entry.spec, entry.status
    if spec is None:
        if entry.cancelled is not None:
            state.finished[entry.cancelled.job] = entry.cancelled.at_ms
        return None
    if status is not None and status.state.final:
        state.finished[spec.job] = status.finished_ms
        return None
    job = add_job(state, spec)
    if status is not None:
        job.state = status.state
    if runs is not None:
        if any(map(_shows_begun, runs.tasks)):
            # The job's state may not have been committed together with the runs.
            record_begun(state, spec.job)
        job.stored_parts |= runs.parts
        for record in runs.tasks:
            _restore_task(state, job, record)
    if entry.cancelled is not None:
        job.cancelled = True
    if job.ending:
        job.to_stop = dict(job.placed)
        state.ending_jobs[spec.job] = job
    return job


def _shows_begun(record: TaskRecord) -> bool:
    """Return whether the stored state of a task shows that a run of it has begun."""
    ended = record.done or record.failures > 0 or bool(record.failed)
    listed = any(crash.listed for crash in record.crashes)
    return ended or listed or bool(record.checkpoint)


def _restore_task(state: SchedulerState, job: JobRun, record: TaskRecord) -> None:
    if record.step >= len(job.spec.steps) or record.occurrence >= job.spec.occurrences:
        return
    # An occurrence that has run once is due, even if the time of day of the earlier
    # scheduler was ahead of this one's.
    open_occurrence(state, job, record.occurrence)
    create_tasks(state, job, record.occurrence, record.step, record.index + 1)
    task = find_task(state, record.key(job.spec.job))
    if task is None:
        return
    task.run = record.run
    task.failed = record.failed
    task.failures = max(record.failures, len(record.failed))
    task.checkpoint = record.checkpoint
    task.crashes = record.crashes
    if task.crashes and not record.done:
        state.crashed_tasks[task.key] = task
    if _exhausted(job, task) and not record.done:
        job.failing = True
    if record.done:
        task.phase = Phase.DONE
        record_phase(state, task, Phase.WAITING)
    elif record.placed:
        task.phase = Phase.STARTING
        record_phase(state, task, Phase.WAITING)
        task.endpoint, task.born = record.placed, record.born
        # The order may not have been sent; the first poll of the endpoint shows whether
        # the run exists.
        task.order_tries = -1
        charge_usage(state, task, 1)
        state.unattached.setdefault(record.placed, []).append(task)


def _exhausted(job: JobRun, task: Task) -> bool:
    """Return whether a task has used up its attempts; lasting tasks have no limit."""
    return not task.spec.lasting and task.failures >= job.spec.max_attempts


def charge_usage(state: SchedulerState, task: Task, sign: int) -> None:
    """Add a task to its workspace's usage, or subtract it if ``sign`` is negative."""
    used = state.usage.get(task.workspace, Resources())
    amount = task.spec.quota_request
    state.usage[task.workspace] = (
        used.add(amount) if sign > 0 else used.subtract(amount)
    )


def charge_duplicate(state: SchedulerState, task: Task, until: float) -> None:
    """Charge a run that may continue while a duplicate of it is started elsewhere."""
    charge_usage(state, task, 1)
    state.duplicate_runs.append((until, task))


def release_duplicates(state: SchedulerState) -> None:
    """Stop charging duplicate runs whose leases have expired."""
    for until, task in [run for run in state.duplicate_runs if state.now > run[0]]:
        state.duplicate_runs.remove((until, task))
        charge_usage(state, task, -1)


def reserve_capacity(endpoint: Endpoint, task: Task) -> None:
    """Reserve capacity of an endpoint for a task."""
    if task.key not in endpoint.tasks:
        endpoint.tasks[task.key] = task
        endpoint.used = endpoint.used.add(task.spec.needs)
        task.rack = endpoint.rack


def place_task(
    state: SchedulerState, task: Task, endpoint: Endpoint, inputs: dict[str, object]
) -> list[Effect]:
    """Place the next run of a task; its start order is sent once this is durable.

    :param inputs: inputs of the decision, for the log
    """
    task.run += 1
    task.phase = Phase.COMMITTING
    task.endpoint, task.born = endpoint.id, endpoint.report.born
    task.phase_since = state.now
    task.at_full_rate = False
    task.progress = 0
    task.progress_since = task.last_progress_at = task.reported_at = 0.0
    task.started_at = task.refused_at = 0.0
    task.rate_percent = 100
    task.order_tries = 0
    task.unanswered = task.order_pending = task.stop_pending = task.listed = False
    record_phase(state, task, Phase.WAITING)
    charge_usage(state, task, 1)
    reserve_capacity(endpoint, task)
    endpoint.starts_left -= 1
    state.mark_dirty(task)
    fields = {
        "job": task.key.job,
        "task": task_name(task.key),
        "run": task.run,
        "endpoint": endpoint.id,
        "born": task.born,
        **inputs,
    }
    return [WriteLog(RUN_STARTING, fields)]


def release_task(state: SchedulerState, task: Task, phase: Phase) -> None:
    """Release a task's capacity on its endpoint and set its phase."""
    endpoint = state.endpoints.get(task.endpoint)
    if endpoint is not None and endpoint.tasks.get(task.key) is task:
        del endpoint.tasks[task.key]
        endpoint.used = endpoint.used.subtract(task.spec.needs)
        if not endpoint.tasks:
            endpoint.idle_since = state.now
    if task.placed:
        charge_usage(state, task, -1)
    if task.at_full_rate or not task.unavailable_since:
        task.unavailable_since = state.now
    task.at_full_rate = False
    earlier, task.phase = task.phase, phase
    record_phase(state, task, earlier)
    task.endpoint = EndpointId("")
    task.phase_since = state.now
    state.replan = True


def stop_task(state: SchedulerState, task: Task, reason: str) -> list[Effect]:
    """Stop a task's run; its capacity is freed when the endpoint lists the end."""
    if task.phase is Phase.COMMITTING:
        release_task(state, task, Phase.WAITING)
        return []
    endpoint = state.endpoints.get(task.endpoint)
    if task.phase is Phase.STOPPING or endpoint is None:
        return []
    task.phase = Phase.STOPPING
    task.phase_since = state.now
    fields = {"job": task.key.job, "task": task_name(task.key), "run": task.run}
    log = WriteLog(RUN_STOPPING, {**fields, "endpoint": endpoint.id, "why": reason})
    return [log, stop_order(state, task, endpoint)]


def abandon_start(
    state: SchedulerState, task: Task, endpoint: Endpoint
) -> list[Effect]:
    """Stop a run whose start remains unanswered, so that it starts elsewhere."""
    task.avoid_endpoint = endpoint.id
    _add_fault(state, endpoint)
    endpoint.ejected_until = max(endpoint.ejected_until, state.now + EJECTION_S)
    return stop_task(state, task, "its start is not answered")


def stop_order(state: SchedulerState, task: Task, endpoint: Endpoint) -> StopRun:
    """Return the order that stops a task's run."""
    task.stop_pending = True
    report = endpoint.report
    return StopRun(
        endpoint.id, report.address, report.born, task.key, task.run, state.term
    )


def run_ended(
    state: SchedulerState, endpoint: Endpoint, ended: EndedRun
) -> list[Effect]:
    """Handle the end of a run that an endpoint lists."""
    task = find_task(state, ended.task)
    current = (
        task is not None
        and task.run == ended.run
        and task.endpoint == endpoint.id
        and task.placed
    )
    fields = {
        "job": ended.task.job,
        "task": task_name(ended.task),
        "run": ended.run,
        "endpoint": endpoint.id,
        "how": ended.kind.value,
        "end": ended.number,
        "current": current,
    }
    effects: list[Effect] = [WriteLog(RUN_ENDED, fields)]
    effects += _count_faults(state, endpoint, ended.kind)
    if task is None:
        return effects
    record_begun(state, ended.task.job)
    job = state.jobs[ended.task.job]
    endpoint.unstored_ends.append((ended.number, task.stored_in))
    effects += refute_listed(state, task, ended.run)
    if ended.kind is EndKind.FAILED and ended.run not in task.failed:
        # A failure counts even if the run is no longer the current one.
        task.failed = (*task.failed, ended.run)[-MAX_LISTED_FAILURES:]
        task.failures += 1
        task.avoid_endpoint = endpoint.id
        state.mark_dirty(task)
        if _exhausted(job, task) and task.phase is not Phase.DONE:
            job.failing = True
    if not current:
        if ended.kind is EndKind.DONE and task.spec.duplicates:
            effects += _complete_duplicated(state, job, task)
        return effects + settle_job(state, job)
    state.mark_dirty(task)
    if ended.kind is EndKind.DONE:
        record_end(state, endpoint, task)
    if ended.checkpoint:
        task.checkpoint = ended.checkpoint
    done = ended.kind is EndKind.DONE
    by_itself = ended.kind in (EndKind.DONE, EndKind.FAILED)
    clear_survivor(state, task, ended=by_itself or not in_trial(task))
    release_task(state, task, Phase.DONE if done else Phase.WAITING)
    if done and task.spec.gang:
        _complete_gang(state, job, task)
    return effects + settle_job(state, job)


MAX_STOP_S = 1.0
"""Time after which a stopped duplicate has ended; a stop takes 0.4 s at the most."""


def _complete_duplicated(
    state: SchedulerState, job: JobRun, task: Task
) -> list[Effect]:
    """Complete a task whose earlier run has succeeded, and stop its duplicate."""
    if task.phase is Phase.DONE:
        return []
    effects: list[Effect] = []
    endpoint = state.endpoints.get(task.endpoint)
    begun = endpoint is not None and task.phase not in (Phase.WAITING, Phase.COMMITTING)
    if task.placed:
        charge_duplicate(state, task, state.now + MAX_STOP_S)
    # A start order that was not answered may arrive shortly before the stop order.
    since = state.now + (0.0 if task.phase is Phase.RUNNING else MAX_STOP_S)
    release_task(state, task, Phase.DONE)
    if endpoint is not None and begun:
        effects.append(stop_order(state, task, endpoint))
        endpoint.reserve_stopping(task, since)
    state.mark_dirty(task)
    return effects


def _complete_gang(state: SchedulerState, job: JobRun, task: Task) -> None:
    """Mark the other members as done, since the end of one is that of the gang."""
    step = job.steps[task.key.occurrence][task.key.step]
    for other in step.tasks:
        if other is not task and other.run == task.run:
            release_task(state, other, Phase.DONE)
            state.mark_dirty(other)


def _count_faults(
    state: SchedulerState, endpoint: Endpoint, kind: EndKind
) -> list[Effect]:
    """Update an endpoint's fault score, and eject it if the score is too high."""
    if kind is EndKind.DONE:
        endpoint.fault_score = max(0.0, endpoint.fault_score - 1.0)
    if kind is not EndKind.FAILED:
        return []
    _add_fault(state, endpoint)
    if endpoint.fault_score < EJECTION_FAULT_SCORE:
        return []
    endpoint.ejected_until = state.now + EJECTION_S
    fields = {
        "endpoint": endpoint.id,
        "faults": endpoint.fault_score,
        "for_s": EJECTION_S,
    }
    return [WriteLog(ENDPOINT_EJECTED, fields)]


def _add_fault(state: SchedulerState, endpoint: Endpoint) -> None:
    endpoint.fault_score = min(EJECTION_FAULT_SCORE, endpoint.fault_score + 1.0)
    endpoint.last_fault_at = state.now


def confirm_soundness(state: SchedulerState, endpoint: Endpoint, task: Task) -> None:
    """End an endpoint's probation if a lasting run there proves that it is sound.

    Lasting runs have no end that counts as a success. One that had started before the
    newest failure proves nothing about later starts.
    """
    if not task.spec.lasting or endpoint.fault_score < EJECTION_FAULT_SCORE:
        return
    proof_s = LASTING_PROOF_S if task.at_full_rate else SLOW_LASTING_PROOF_S
    if (
        task.phase is Phase.RUNNING
        and task.started_at > endpoint.last_fault_at
        and state.now - task.started_at >= proof_s
    ):
        endpoint.fault_score = EJECTION_FAULT_SCORE - 1.0
        state.replan = True


def settle_job(state: SchedulerState, job: JobRun) -> list[Effect]:
    """Finish a job if it is complete, or cancelled or failing with all tasks stopped.

    The tasks of a cancelled or failing job are stopped by :func:`stop_ending_jobs`.
    """
    if not job.ending:
        return _finish_job(state, job, JobState.COMPLETED) if job.complete else []
    effects: list[Effect] = []
    if job.spec.job not in state.ending_jobs:
        state.ending_jobs[job.spec.job] = job
        job.to_stop = dict(job.placed)
        effects += _stop_tasks(state, job, MAX_STOPS)
    if not job.placed:
        del state.ending_jobs[job.spec.job]
        final = JobState.CANCELLED if job.cancelled else JobState.FAILED
        effects += _finish_job(state, job, final)
    return effects


MAX_STOPS = 250
"""Number of tasks that are stopped in one event, which takes some milliseconds."""


def stop_ending_jobs(state: SchedulerState) -> list[Effect]:
    """Stop tasks of cancelled and failing jobs that still run.

    Endpoints of some may have been unknown when their job was cancelled or failed.
    """
    effects: list[Effect] = []
    for job in list(state.ending_jobs.values()):
        left = MAX_STOPS - len(effects) // EFFECTS_PER_STOP
        if left <= 0:
            break
        effects += _stop_tasks(state, job, left)
        effects += settle_job(state, job)
    return effects


EFFECTS_PER_STOP = 2
"""Number of effects by which a task is stopped: a log line and the order."""


def _stop_tasks(state: SchedulerState, job: JobRun, most: int) -> list[Effect]:
    effects: list[Effect] = []
    reason = "cancelled" if job.cancelled else "failed"
    unknown: dict[TaskKey, Task] = {}
    while job.to_stop and len(effects) < most * EFFECTS_PER_STOP:
        key, task = job.to_stop.popitem()
        effects += stop_task(state, task, reason) if task.placed else []
        if task.placed and task.phase is not Phase.STOPPING:
            unknown[key] = task
    job.to_stop |= unknown
    return effects


def _finish_job(state: SchedulerState, job: JobRun, final: JobState) -> list[Effect]:
    if job.state is final:
        return []
    set_job_state(state, job, final)
    state.finished[job.spec.job] = state.wall_ms
    fields = {
        "job": job.spec.job,
        "state": final.value,
        "took_ms": state.wall_ms - job.spec.accepted_ms,
        "objective_ms": round(job.deadline_ms - job.spec.accepted_ms),
    }
    return [WriteLog(JOB_ENDED, fields)]


def cancel_job(state: SchedulerState, job_id: JobId) -> list[Effect]:
    """Cancel a job at a caller's request.

    One that the ledger lacks counts as ended, so that it does not run if it comes late.
    """
    job = state.jobs.get(job_id)
    if job is None:
        state.finished.setdefault(job_id, state.wall_ms)
        return []
    if job.cancelled or job.state.final:
        return []
    job.cancelled = True
    state.replan = True
    return settle_job(state, job)


def run_lost(
    state: SchedulerState,
    task: Task,
    reason: str,
    inputs: dict[str, object] | None = None,
) -> list[Effect]:
    """Mark a run as lost; its task waits for the next run.

    :param inputs: inputs of the decision, for the log
    """
    fields = {
        "job": task.key.job,
        "task": task_name(task.key),
        "run": task.run,
        "endpoint": task.endpoint,
        "why": reason,
        **(inputs or {}),
    }
    task.lost_run, task.lost_at = task.run, state.now
    release_task(state, task, Phase.WAITING)
    job = state.jobs[task.key.job]
    state.mark_dirty(task)
    return [WriteLog(RUN_LOST, fields), *settle_job(state, job)]


def start_answered(
    state: SchedulerState, task: Task, endpoint: Endpoint, outcome: Outcome
) -> list[Effect]:
    """Handle the answer to a start order.

    ``SUPERSEDED`` means that an earlier order, whose answer was lost, has started the
    run. The run may have ended or been stopped since; the next poll lists its end.
    """
    not_told = outcome is Outcome.EXPIRED and not task.unanswered
    if not_told and task.phase in (Phase.STARTING, Phase.STOPPING):
        return _withdraw_run(state, task)
    if outcome is Outcome.DONE:
        record_begun(state, task.key.job)
        step_of(state, task).refusals = 0
        job = state.jobs[task.key.job]
        if job.demand_until:
            job.demand_until = inf
    if outcome in (Outcome.DONE, Outcome.SUPERSEDED):
        task.started_at = state.now
        if task.phase is Phase.STARTING:
            task.phase = Phase.RUNNING
            task.phase_since = state.now
        return []
    if task.phase is Phase.STOPPING:
        return []
    if outcome in (Outcome.UNKNOWN, Outcome.NOT_SENT, Outcome.EXPIRED):
        task.unanswered = task.unanswered or outcome is Outcome.UNKNOWN
        return []
    if outcome is Outcome.UNHEALTHY:
        _add_fault(state, endpoint)
    if outcome in (Outcome.UNHEALTHY, Outcome.NO_ROOM, Outcome.REFUSED):
        endpoint.ejected_until = state.now + REFUSAL_EJECTION_S
        task.avoid_endpoint = endpoint.id
    if outcome is Outcome.NO_TICKET:
        _record_missing_ticket(state, task, endpoint)
    if outcome in STEP_REFUSALS:
        _delay_step(state, task)
    if task.unanswered:
        # The earlier order may have been carried out: the next poll shows whether the
        # run exists. It is stopped only if it does not.
        task.refused_at = state.now
        return []
    return run_lost(state, task, f"start refused: {outcome.value}")


STEP_REFUSALS = (Outcome.NO_TICKET, Outcome.LEASE_EXPIRED, Outcome.REFUSED)
"""Answers to a start that other endpoints may give as well. The first one is followed
by another start at once."""

TICKET_DEMAND_S = 3.0
"""Time for which a job's starts get tickets that only an endpoint has demanded, until
one of them has been carried out."""

REFUSAL_PAUSE_S = 0.05
"""Pause after the second refusal of a step's starts in succession; it doubles with each
further one."""

MAX_REFUSAL_PAUSE_S = 1.6


def _delay_step(state: SchedulerState, task: Task) -> None:
    """Let a step wait whose starts are refused again and again."""
    step = step_of(state, task)
    step.refusals += 1
    if step.refusals > 1:
        pause_s = REFUSAL_PAUSE_S * 2 ** min(step.refusals - 2, 10)
        step.not_before = state.now + min(pause_s, MAX_REFUSAL_PAUSE_S)


def _record_missing_ticket(
    state: SchedulerState, task: Task, endpoint: Endpoint
) -> None:
    """Request advice again, also if the configuration does not require any."""
    job = state.jobs[task.key.job]
    if job.advice is None:
        job.demand_until = state.now + TICKET_DEMAND_S
        assess_servability(state, job)
    state.forget_advice(task.key[:3], endpoint.id)


def _withdraw_run(state: SchedulerState, task: Task) -> list[Effect]:
    """Release a task whose endpoint was never told of its run."""
    fields = {
        "job": task.key.job,
        "task": task_name(task.key),
        "run": task.run,
        "endpoint": task.endpoint,
    }
    release_task(state, task, Phase.WAITING)
    state.mark_dirty(task)
    job = state.jobs[task.key.job]
    return [WriteLog(RUN_WITHDRAWN, fields), *settle_job(state, job)]
