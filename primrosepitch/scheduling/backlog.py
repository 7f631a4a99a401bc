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
from primrosepitch.scheduling.leases import usable
from primrosepitch.scheduling.ordering import TOO_LATE_FACTOR
from primrosepitch.scheduling.runs import critical_path_ms
from primrosepitch.scheduling.state import JobRun, Phase, SchedulerState

__all__ = ["retry_after_s", "estimate_waits"]

MIN_REPORTED_WAIT_MS = 1000
"""Minimum wait that is published: no latency objective is shorter."""


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
        if not (job.cancelled or job.failing or job.over_share or job.state.final):
            work[job.spec.service] += _remaining_work(job)
    waits = {}
    for service, core_ms in work.items():
        cores = _reachable_cpu(state, service)
        wait_ms = round(core_ms / cores) if cores else 0
        if not cores and all_evacuated(state):
            wait_ms = EVACUATED_WAIT_MS
        if wait_ms >= MIN_REPORTED_WAIT_MS:
            waits[service] = wait_ms
    return waits


def _remaining_work(job: JobRun) -> float:
    """Return the estimated remaining work, in thousandths of a core times ms."""
    if job.spec.lasting:
        return 0.0
    total = 0.0
    for steps in job.steps.values():
        for step in steps:
            task_work = step.spec.needs.cpu * step.spec.estimate_ms
            for task in step.tasks:
                if task.phase is Phase.RUNNING:
                    total += task_work * max(0, 100 - task.progress) / 100
                elif task.phase is not Phase.DONE:
                    total += task_work
    return total


def _reachable_cpu(state: SchedulerState, service: ServiceName) -> float:
    """Return the processor capacity that a pool has or could be lent.

    It is in thousandths of a core, and excludes what lasting tasks use.
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
            lasting = sum(
                t.spec.needs.cpu for t in endpoint.tasks.values() if t.spec.lasting
            )
            cores += endpoint.report.capacity.cpu - lasting
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
