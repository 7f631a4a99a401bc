"""Builds commits from what has changed since the last one.

A commit has a limited size, so that it takes a limited time over a slow link: the next
one carries the scheduler's heartbeat to the other nodes. What does not fit follows with
later commits. Ends of runs are acknowledged with the commit that stores them.
"""

from __future__ import annotations

from primrosepitch.events import CHECKPOINTS_NOT_STORED
from primrosepitch.jobs.model import EndpointId, JobId
from primrosepitch.jobs.records import (
    Backlog,
    JobStatus,
    OpenMoves,
    Progress,
    RunsPart,
    TaskRecord,
    Term,
    WaveProgress,
    encode,
    job_tombstones,
    record_size,
    runs_part_of,
    runs_tombstone,
)
from primrosepitch.jobs.store import MAX_APPEND_BYTES, KeyedRecord
from primrosepitch.scheduling.advisory import advisory
from primrosepitch.scheduling.backlog import estimate_waits
from primrosepitch.scheduling.effects import Commit, Effect, WriteLog
from primrosepitch.scheduling.runs import settle_job
from primrosepitch.scheduling.speed_record import slow_endpoints_record
from primrosepitch.scheduling.state import (
    Endpoint,
    JobRun,
    Phase,
    SchedulerState,
    Task,
)

__all__ = [
    "acknowledge_ends",
    "commit_changes",
    "fail_unstorable_jobs",
    "forget_ended_job",
]

TERM_RENEWAL_INTERVAL_S = 0.25
"""Maximum time without an append, which is the scheduler's heartbeat to other nodes."""

WAITS_REFRESH_INTERVAL_S = 0.5
"""Interval at which unchanged waits are published again; nodes consider them valid for
four times as long."""

EXTRA_RETENTION_S = 60.0
"""Time beyond ``Limits.status_s`` for which the state of an ended job is kept."""

MAX_SMALL_RECORDS = 1000
"""Number of job states, and of tombstones, in one commit; each takes up to 80 bytes."""


def commit_changes(state: SchedulerState) -> list[Effect]:
    """Commit the changes since the last commit, one commit at a time."""
    if state.committing:
        return []
    renewal = state.now - state.renewed_at >= TERM_RENEWAL_INTERVAL_S
    waves = any(wave.dirty for wave in state.waves.values())
    # That a job has begun may wait for the next heartbeat.
    ended = any(state.jobs[job].state.final for job in state.changed_jobs)
    jobs = state.dirty_runs or ended or state.ended_runs
    if not (jobs or waves or state.planned_orders or renewal):
        return []
    effects: list[Effect] = []
    runs = [*_runs_records(state, effects), *_open_moves(state, renewal)]
    with advisory(effects, "slow endpoints"):
        runs += slow_endpoints_record(state)
    shared = _shared_records(state, renewal)
    if renewal:
        with advisory(effects, "waits"):
            shared += _backlog(state)
    state.committing_acks = _stored_ends(state)
    state.committing_orders, state.planned_orders = state.planned_orders, []
    state.commit_count += 1
    state.committing = state.commit_count
    commit = Commit(state.commit_count, _keyed_records(runs), _keyed_records(shared))
    return [*effects, commit]


def forget_ended_job(state: SchedulerState, job: JobRun) -> None:
    """Let the records of a job's runs be deleted, since its final state is durable."""
    for occurrence, steps in job.steps.items():
        for number in range(len(steps)):
            state.drop_advice((job.spec.job, occurrence, number))
    for part in job.parts:
        state.dirty_runs.pop(RunsPart(job.spec.job, part), None)
    state.ended_runs += [RunsPart(job.spec.job, p) for p in sorted(job.stored_parts)]


def fail_unstorable_jobs(
    state: SchedulerState, rejected: frozenset[str]
) -> list[Effect]:
    """Let the jobs fail whose runs the store does not take.

    Nothing more of them is started, since a successor would not know of it. Their
    final state is stored in another, small record.

    :param rejected: keys of the records that the store has rejected
    """
    effects: list[Effect] = []
    for key in sorted(rejected):
        runs = runs_part_of(key)
        job = state.jobs.get(runs.job) if runs is not None else None
        if job is not None:
            job.unstorable = job.failing = True
            effects += settle_job(state, job)
    return effects


def _runs_records(
    state: SchedulerState, effects: list[Effect]
) -> list[tuple[str, bytes]]:
    """Return the records of changed runs, and tombstones of ended jobs' runs."""
    records = [runs_tombstone(runs) for runs in state.ended_runs[:MAX_SMALL_RECORDS]]
    del state.ended_runs[:MAX_SMALL_RECORDS]
    state.committing_tasks = []
    size = sum(record_size(*record) for record in records)
    for first in list(state.dirty_runs):
        job = state.jobs.get(first.job)
        if job is None or job.unstorable:
            state.dirty_runs.pop(first, None)
            continue
        if size >= MAX_APPEND_BYTES:
            break
        for runs in _committed_together(state, job, first):
            del state.dirty_runs[runs]
            job.stored_parts.add(runs.part)
            tasks = job.parts[runs.part]
            record = _runs_record(state, runs, tasks, effects)
            size += record_size(*record)
            records.append(record)
            state.committing_tasks += [
                (task, task.run) for task in tasks if task.phase is Phase.COMMITTING
            ]
    return records


def _open_moves(state: SchedulerState, renewal: bool) -> list[tuple[str, bytes]]:
    """Return the record of the orders to move instances if it has changed.

    New orders wait for it. The answers to others are stored with the next heartbeat.
    """
    planned = any(order.wave is None for order in state.planned_orders)
    moves = {i: move.pool for i, move in state.moves.items() if move.open}
    if not (planned or renewal) or moves == state.stored_moves:
        return []
    state.stored_moves = moves
    return [encode(OpenMoves(moves))]


def _committed_together(
    state: SchedulerState, job: JobRun, first: RunsPart
) -> list[RunsPart]:
    """Return the changed parts of a job that are committed together.

    The members of a gang start together, so their placements are one commit.
    """
    if first not in state.dirty_runs:
        return []
    if not job.has_gang:
        return [first]
    return [runs for runs in state.dirty_runs if runs.job == first.job]


def _runs_record(
    state: SchedulerState, runs: RunsPart, tasks: list[Task], effects: list[Effect]
) -> tuple[str, bytes]:
    """Return the record of a part's runs, without checkpoints that don't fit.

    A task whose checkpoint is not stored starts again from its begin if a successor
    does not get the end of its run.
    """
    records = [_task_record(task) for task in tasks if task.run]
    encoded = encode(Progress(runs.job, records, runs.part))
    left_out = 0
    for record in sorted(records, key=_checkpoint_length, reverse=True):
        if record_size(*encoded) <= state.limits.record_bytes or not record.checkpoint:
            break
        record.checkpoint = ""
        left_out += 1
        encoded = encode(Progress(runs.job, records, runs.part))
    if left_out:
        fields = {"job": runs.job, "part": runs.part, "left_out": left_out}
        effects.append(WriteLog(CHECKPOINTS_NOT_STORED, fields))
    return encoded


def _checkpoint_length(record: TaskRecord) -> int:
    return len(record.checkpoint)


def _task_record(task: Task) -> TaskRecord:
    placed = task.endpoint if task.placed else EndpointId("")
    return TaskRecord(
        *task.key[1:],
        run=task.run,
        placed=placed,
        born=task.born if placed else 0,
        failed=task.failed,
        done=task.phase is Phase.DONE,
        checkpoint=task.checkpoint,
        crashes=task.crashes,
        failures=task.failures,
    )


def _stored_ends(state: SchedulerState) -> dict[EndpointId, tuple[int, int]]:
    """Return the ends that can be acknowledged once the commit is durable.

    :returns: incarnation and number of the newest such end, by endpoint
    """
    ends = {}
    for endpoint in state.endpoints.values():
        if endpoint.processed_end > endpoint.acked_end:
            stored_end = _newest_stored_end(state, endpoint)
            if stored_end > endpoint.acked_end:
                ends[endpoint.id] = (endpoint.report.born, stored_end)
    return ends


def _newest_stored_end(state: SchedulerState, endpoint: Endpoint) -> int:
    """Return the newest end that, with all before it, is in this or earlier commits."""
    left_out = (n for n, runs in endpoint.unstored_ends if runs in state.dirty_runs)
    return min(left_out, default=endpoint.processed_end + 1) - 1


def acknowledge_ends(state: SchedulerState) -> None:
    """Let the next polls acknowledge the ends that the newest commit has stored."""
    for endpoint_id, (born, number) in state.committing_acks.items():
        endpoint = state.endpoints.get(endpoint_id)
        if endpoint is not None and endpoint.report.born == born:
            endpoint.acked_end = max(endpoint.acked_end, number)
            endpoint.next_poll_at = state.now
            endpoint.unstored_ends = [
                end for end in endpoint.unstored_ends if end[0] > endpoint.acked_end
            ]
    state.committing_acks = {}


def _shared_records(state: SchedulerState, renewal: bool) -> list[tuple[str, bytes]]:
    """Return the records for all nodes, with the heartbeat if it is due."""
    changed = sorted(state.changed_jobs)[:MAX_SMALL_RECORDS]
    state.changed_jobs.difference_update(changed)
    records = [encode(_job_status(state, job)) for job in changed]
    for wave in state.waves.values():
        if wave.dirty:
            wave.dirty = False
            progress = WaveProgress(
                wave.spec.wave,
                sorted(wave.begun),
                sorted(wave.ordered),
                sorted(wave.seen),
                sorted(wave.gone),
            )
            records.append(encode(progress))
    if renewal and not records:
        records.append(encode(Term(state.term, state.node, state.nonce)))
    # The records that follow are no heartbeat to other nodes.
    if records:
        state.renewed_at = state.now
    return records + _expired_job_records(state)


def _job_status(state: SchedulerState, job_id: JobId) -> JobStatus:
    return JobStatus(job_id, state.jobs[job_id].state, state.finished.get(job_id, 0))


def _backlog(state: SchedulerState) -> list[tuple[str, bytes]]:
    """Return the record of the waits if they have changed or must be refreshed."""
    estimated = estimate_waits(state)
    if not estimated and not state.waits:
        return []
    if (
        estimated == state.waits
        and state.now - state.waits_sent_at < WAITS_REFRESH_INTERVAL_S
    ):
        return []
    record = encode(Backlog(estimated))
    state.waits, state.waits_sent_at = estimated, state.now
    return [record]


def _expired_job_records(state: SchedulerState) -> list[tuple[str, bytes]]:
    """Return the tombstones of ended jobs whose state need not be kept any longer."""
    limit = state.wall_ms - int((state.limits.status_s + EXTRA_RETENTION_S) * 1000)
    old = [job for job, ended in state.finished.items() if ended and ended < limit]
    records: list[tuple[str, bytes]] = []
    for job in old:
        if len(records) >= MAX_SMALL_RECORDS:
            break
        del state.finished[job]
        records += job_tombstones(job)
    return records


def _keyed_records(records: list[tuple[str, bytes]]) -> list[KeyedRecord]:
    return [KeyedRecord(key, value) for key, value in records]
