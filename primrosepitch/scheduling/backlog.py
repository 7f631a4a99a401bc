"""Estimates the queueing delay of each pool, for admission control.

A queue may demand more than all instances together can handle, for longer than its jobs
can wait. A job that would complete too late to be of use to its caller is rejected at
once, with the time after which to retry.
"""

from __future__ import annotations

import math
from collections import defaultdict

from primrosepitch.jobs.model import JobSpec, ServiceName
from primrosepitch.scheduling.evacuation import all_evacuated, is_instance_evacuated
from primrosepitch.scheduling.expansion import critical_path_ms
from primrosepitch.scheduling.leases import usable
from primrosepitch.scheduling.ordering import TOO_LATE_FACTOR
from primrosepitch.scheduling.state import JobRun, Phase, SchedulerState, Task

__all__ = ["retry_after_s", "estimate_waits"]

MIN_REPORTED_WAIT_MS = 1000
"""Minimum wait that is published: no latency objective is shorter."""


MAX_REPORTED_WAIT_MS = 3_600_000
"""Maximum wait that is published; a record holds integers of 64 bits."""

LONG_ESTIMATE_MS = 10_000
"""Estimate of a task from which it counts as a lasting one: the rest of the pool serves
new jobs meanwhile."""

MAX_SLACK_MS = 30_000
"""Slack of a job from which its waiting work delays no new job: jobs with less slack
start first."""

EVACUATED_WAIT_MS = 10_000
"""Wait that is published while all data centres are evacuated. It ends
when an operator cancels an evacuation; jobs that can wait for longer are accepted."""


def estimate_waits(state: SchedulerState) -> dict[ServiceName, int]:
    """Return the minimum wait of a new job in ms, for each pool where it is reported.

    All instances that could be lent to the pool count as if they belonged to it, so
    that no job is rejected that could have been served.
    """
    work: dict[ServiceName, float] = defaultdict(float)
    for job in state.jobs.values():
        if _counts(job):
            work[job.spec.service] += _remaining_work(state, job)
    waits = {}
    for service, core_ms in work.items():
        cores = _reachable_cpu(state, service)
        wait_ms = round(core_ms / cores) if cores else 0
        if not cores and all_evacuated(state):
            wait_ms = EVACUATED_WAIT_MS
        if wait_ms >= MIN_REPORTED_WAIT_MS:
            waits[service] = min(wait_ms, MAX_REPORTED_WAIT_MS)
    return waits


def _counts(job: JobRun) -> bool:
    """Return whether a new job waits behind the work of a job."""
    return not (job.lasting or job.ending or job.over_share or job.state.final)


def _remaining_work(state: SchedulerState, job: JobRun) -> float:
    """Return the work of a job for which new jobs may have to wait.

    It is in thousandths of a core times ms, and without unservable steps.
    """
    placed_work = remaining = 0.0
    for task in job.placed.values():
        work = task.spec.task_work
        placed_work += work
        if not _is_long(task):
            progress = task.progress if task.phase is Phase.RUNNING else 0
            remaining += work * max(0, 100 - progress) / 100
    if _slack_ms(state, job) <= MAX_SLACK_MS:
        due = job.spec.count_due(state.wall_ms)
        waiting = max(0.0, due * job.work - job.done_work - placed_work)
        remaining += min(waiting, (due - _count_too_late(state, job)) * job.work)
    return remaining


def _count_too_late(state: SchedulerState, job: JobRun) -> int:
    """Return how many occurrences of a schedule start only when nothing else waits."""
    if not job.spec.repetitions:
        return 0
    useful_ms = TOO_LATE_FACTOR * (job.deadline_ms - job.spec.attempted_ms)
    return job.spec.count_due(state.wall_ms - math.ceil(useful_ms))


def _is_long(task: Task) -> bool:
    """Return whether a task holds its capacity for longer than any new job waits."""
    return task.spec.lasting or task.spec.estimate_ms > LONG_ESTIMATE_MS


def _slack_ms(state: SchedulerState, job: JobRun) -> float:
    """Return the time by which the begin of a job's waiting work may be delayed."""
    if job.spec.repetitions:
        # Some occurrence may be late.
        return 0.0
    return job.deadline_ms - state.wall_ms - job.critical_path_ms


def _reachable_cpu(state: SchedulerState, service: ServiceName) -> float:
    """Return the processor capacity that a pool has or could be lent.

    It is in thousandths of a core, and excludes what lasting and long tasks use.
    """
    spare = state.cfg.spare_pool()
    largest = max((v.capacity.cpu for v in state.instances.values()), default=0)
    switched_off = sum(
        view.pool == spare and view.zone not in state.evacuated
        for view in state.instances.values()
    )
    incoming = sum(
        move.pool == service and not is_instance_evacuated(state, instance)
        for instance, move in state.moves.items()
    )
    cores = float((switched_off + incoming) * largest)
    for endpoint in state.endpoints.values():
        if not usable(state, endpoint):
            continue
        own = endpoint.report.service == service
        if own or not endpoint.tasks:
            held = sum(t.spec.needs.cpu for t in endpoint.tasks.values() if _is_long(t))
            cores += endpoint.report.capacity.cpu - held
    return cores


def retry_after_s(spec: JobSpec, wait_ms: int) -> int:
    """Return the seconds after which a job should be retried; 0 to accept it now.

    A job that would complete after ``TOO_LATE_FACTOR`` times its objective is rejected,
    as its result would be of no use to the caller.
    """
    if spec.lasting or spec.repetitions:
        return 0
    chain_ms = critical_path_ms(spec)
    useful_ms = TOO_LATE_FACTOR * (spec.stretch * chain_ms + spec.goal_ms)
    excess_ms = wait_ms + chain_ms - useful_ms
    return max(0, math.ceil(excess_ms / 1000))
