"""Estimates the queueing delay of each pool, for admission control.

A queue may demand more than all instances together can handle, for longer than its jobs
can wait. A job that would complete too late to be of use to its caller is rejected at
once, with the time after which to retry.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import NamedTuple

from primrosepitch.jobs.model import JobSpec, Resources, ServiceName, WorkspaceName
from primrosepitch.jobs.records import Backlog
from primrosepitch.scheduling.evacuation import all_evacuated, is_instance_evacuated
from primrosepitch.scheduling.leases import usable
from primrosepitch.scheduling.ordering import TOO_LATE_FACTOR
from primrosepitch.scheduling.runs import critical_path_ms
from primrosepitch.scheduling.state import JobRun, Phase, SchedulerState

__all__ = ["retry_after_s", "estimate_waits"]

MIN_REPORTED_WAIT_MS = 1000
"""Minimum wait that is published: no latency objective is shorter."""


MAX_REPORTED_WAIT_MS = 86_400_000
"""Wait that is published for longer ones; callers' estimates have no upper bound."""

EVACUATED_WAIT_MS = 10_000
"""Wait that is published while all data centres are evacuated. It ends
when an operator cancels an evacuation; jobs that can wait for longer are accepted."""


class Load(NamedTuple):
    """Remaining work of a workspace's jobs, in one pool or in all.

    :param cpu: in thousandths of a core times ms; ``memory`` and ``gpu`` likewise
    """

    cpu: float = 0.0
    memory: float = 0.0
    gpu: float = 0.0

    def add(self, needs: Resources, duration_ms: float) -> Load:
        """Return the load with a task of some needs and duration."""
        return Load(*(a + n * duration_ms for a, n in zip(self, needs, strict=True)))

    def plus(self, other: Load) -> Load:
        """Return the sum of two loads."""
        return Load(*map(sum, zip(self, other, strict=True)))

    def least_ms(self, left: Resources, limit: Resources) -> float:
        """Return the least duration of the work within what an upper limit leaves.

        :param left: what the limit leaves, 0 or negative if it leaves nothing
        :param limit: the limit; amounts of 0 don't limit
        """
        return max(
            (
                amount / have if have > 0 else math.inf
                for amount, have, most in zip(self, left, limit, strict=True)
                if most > 0 and amount > 0
            ),
            default=0.0,
        )


def estimate_waits(state: SchedulerState) -> Backlog:
    """Return the minimum waits of new jobs that are reported, by pool and workspace.

    All instances that could be lent to a pool count as if they belonged to it, so that
    no job is rejected that could have been served. Work that its workspace's upper
    limit keeps waiting leaves capacity to the jobs of others, which don't wait for it.
    """
    loads: dict[ServiceName, dict[WorkspaceName, Load]] = defaultdict(dict)
    totals: dict[WorkspaceName, Load] = {}
    for job in state.jobs.values():
        if job.cancelled or job.failing or job.over_share or job.state.final:
            continue
        workspace, load = job.spec.workspace, _remaining_load(job)
        pool = loads[job.spec.service]
        pool[workspace] = pool.get(workspace, Load()).plus(load)
        totals[workspace] = totals.get(workspace, Load()).plus(load)
    least = _least_durations(state, totals)
    waits = {}
    for service, pool in loads.items():
        cores = _reachable_cpu(state, service)
        work = [(pool[w].cpu, least[w]) for w in pool]
        wait_ms = round(_shared_wait_ms(work, cores)) if cores else 0
        if not cores and all_evacuated(state):
            wait_ms = EVACUATED_WAIT_MS
        if wait_ms >= MIN_REPORTED_WAIT_MS:
            waits[service] = min(wait_ms, MAX_REPORTED_WAIT_MS)
    limited = {
        workspace: round(min(wait_ms, MAX_REPORTED_WAIT_MS))
        for workspace, wait_ms in least.items()
        if MIN_REPORTED_WAIT_MS <= wait_ms < math.inf
    }
    return Backlog(waits, limited)


def _least_durations(
    state: SchedulerState, totals: dict[WorkspaceName, Load]
) -> dict[WorkspaceName, float]:
    """Return how long the work of each workspace takes at least within its limit.

    :returns: times in ms; infinite if its lasting tasks leave nothing of the limit
    """
    lasting: dict[WorkspaceName, Resources] = defaultdict(Resources)
    for endpoint in state.endpoints.values():
        for task in endpoint.tasks.values():
            if task.spec.lasting:
                used = lasting[task.workspace]
                lasting[task.workspace] = used.add(task.spec.quota_request)
    least = {}
    for workspace, load in totals.items():
        spec = state.cfg.workspaces.get(workspace)
        limit = spec.limit if spec is not None else Resources()
        least[workspace] = load.least_ms(limit.subtract(lasting[workspace]), limit)
    return least


def _shared_wait_ms(work: list[tuple[float, float]], cores: float) -> float:
    """Return when a pool has done the work that does not wait for upper limits.

    That is the time t at which ``cores * t`` is the sum of each workspace's work, or of
    the part of it that its limit admits until t.

    :param work: processor time of each workspace, in thousandths of a core times ms,
        and the least time in ms in which its limit admits it
    :param cores: processor capacity, in thousandths of a core
    """
    unlimited, rate, done_ms = sum(cpu for cpu, _ in work), 0.0, 0.0
    for cpu, least_ms in sorted(work, key=lambda row: -row[1]):
        done_ms = unlimited / (cores - rate) if cores > rate else least_ms
        if done_ms >= least_ms:
            return done_ms
        unlimited -= cpu
        rate += cpu / least_ms
    return unlimited / (cores - rate) if cores > rate else done_ms


def _remaining_load(job: JobRun) -> Load:
    """Return the estimated remaining work of a job; none if it is lasting.

    Best-effort tasks keep no other job waiting.
    """
    load = Load()
    if job.spec.lasting:
        return load
    for steps in job.steps.values():
        for step in steps:
            if step.spec.fills:
                continue
            left = 0.0
            for task in step.tasks:
                if task.phase is Phase.RUNNING:
                    left += max(0, 100 - task.progress) / 100
                elif task.phase is not Phase.DONE:
                    left += 1.0
            load = load.add(step.spec.needs, left * step.spec.estimate_ms)
    return load


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
