"""Load patterns that exceed what the pools can hold, and the figures to compare them.

Jobs are submitted through the admission control that callers meet: a refused caller
comes back after its Retry-After.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable

import msgspec
from msgspec.structs import replace

from primrosepitch.jobs.model import JobSpec, JobState, QueueName, WorkspaceName
from primrosepitch.scheduling.backlog import retry_after_s
from primrosepitch.scheduling.configuration import QueueSpec
from primrosepitch.scheduling.ordering import TOO_LATE_FACTOR
from standins.patterns import (
    GAP_S,
    KINDS,
    POOLS,
    SHORT,
    TURN_S,
    WORKSPACES,
    JobKind,
    build_job,
    draw_steps,
    pattern,
    send_later,
)
from standins.scheduler_world import SchedulerWorld, objective_ms

__all__ = ["CONTENDED", "HOT", "Outcome", "outcome"]

HOT = WORKSPACES[0]
"""Workspace that sends many times its usual load in pattern ``hot-workspace``."""

LATE_VALUE = 0.07
"""Value of a late job relative to one in time, as in both users' score sheets."""

MAX_VALUE = 4.0
"""Maximum value of a job, in values of a job of mean work."""

CONTENDED = ("overload", "hot-workspace", "urgent-burst", "large-burst", "misestimated")


def admit(world: SchedulerWorld, spec: JobSpec) -> int:
    """Return the Retry-After of a job as an intake does, 0 to accept it."""
    return retry_after_s(spec, world.ledger.backlog.waits.get(spec.service, 0))


def _turn_begin(turn: int) -> float:
    return 1.0 + turn * (TURN_S + GAP_S)


def _add_jobs(
    world: SchedulerWorld,
    turn: int,
    kind: JobKind,
    rate: float,
    name: str,
    adapt: Callable[[JobSpec], JobSpec] = lambda spec: spec,
) -> None:
    """Submit further jobs in a turn, to the pool whose turn it is.

    :param rate: jobs per second
    """
    rng = random.Random(world.rng.random())
    at = rng.expovariate(rate)
    number = 0
    while at < TURN_S:
        spec = build_job(
            world, f"{name}-{turn}-{number}", POOLS[turn], draw_steps(rng, kind)
        )
        send_later(world, _turn_begin(turn) + at, adapt(spec))
        at += rng.expovariate(rate)
        number += 1


@pattern("overload")
def _overload(world: SchedulerWorld) -> None:
    """Ask in each turn for nine times the mean, more than all instances hold."""
    world.admission = admit
    for turn, pool in enumerate(POOLS):
        _add_jobs(world, turn, KINDS[pool], KINDS[pool].rate * 5, "more")


@pattern("hot-workspace")
def _hot_workspace(world: SchedulerWorld) -> None:
    """Let one workspace send seven times its usual load in each turn."""
    world.admission = admit
    for turn, pool in enumerate(POOLS):
        rate = KINDS[pool].rate * 4 / len(WORKSPACES) * 6
        _add_jobs(
            world, turn, KINDS[pool], rate, "hot", lambda s: replace(s, workspace=HOT)
        )


@pattern("urgent-burst")
def _urgent_burst(world: SchedulerWorld) -> None:
    """Add urgent short jobs to two turns: a higher priority and a tight objective."""
    world.admission = admit
    for turn in (0, 1):
        pool = POOLS[turn]
        queue = QueueSpec(QueueName(f"urgent-{pool}"), "h", f"/u{pool}/", pool)
        world.cfg.queues[queue.name] = queue

        def urgent(spec: JobSpec, name: QueueName = queue.name) -> JobSpec:
            return replace(spec, queue=name, priority=-1, goal_ms=400)

        _add_jobs(world, turn, SHORT, SHORT.rate * 3, "urgent", urgent)


@pattern("large-burst")
def _large_burst(world: SchedulerWorld) -> None:
    """Add jobs of three times the usual width to two turns."""
    world.admission = admit
    for turn in (0, 1):
        kind = KINDS[POOLS[turn]]
        wide = kind._replace(width=kind.width * 3)
        _add_jobs(world, turn, wide, kind.rate * 1.5, "large")


@pattern("misestimated")
def _misestimated(world: SchedulerWorld) -> None:
    """Ask for six times the mean in each turn, with estimates off by a half."""
    world.admission = admit
    world.duration_sigma = 0.5
    for turn, pool in enumerate(POOLS):
        _add_jobs(world, turn, KINDS[pool], KINDS[pool].rate * 2, "more")


class Outcome(msgspec.Struct):
    """Outcome of one run for the callers, or the mean of several.

    Values count within each queue: 0.3 and 0.7 times the work relative to the mean.

    :param worth: share of the value of all jobs, late ones count ``LATE_VALUE``
    :param in_time: share of the jobs that ended within their objective
    :param useful: share of the jobs that ended within three objectives
    :param largest: served share of the largest tenth of a queue's jobs relative to all
        of the queue, in the mean of the queues
    :param upper: the same for the fifth of the jobs below
    :param smallest: the same for the smaller half
    :param others: share in time of the jobs of all workspaces but ``HOT``
    :param hot: share in time of the jobs of ``HOT``
    :param refusals: refused submissions
    :param never_ran: jobs that were refused for good
    :param thrown_away: runs that ended by a stop, an expired lease or a broken gang
    :param broken: number of rule violations
    """

    worth: float = 0
    in_time: float = 0
    useful: float = 0
    largest: float = 0
    upper: float = 0
    smallest: float = 0
    others: float = 0
    hot: float = 0
    refusals: float = 0
    never_ran: float = 0
    thrown_away: float = 0
    broken: float = 0


class _Job(msgspec.Struct):
    """A job and what became of it.

    :param ratio: time from the first attempt to the end in objectives
    """

    workspace: WorkspaceName
    work: float
    ratio: float

    @property
    def earned(self) -> float:
        """Return the share of its value that the job has earned."""
        if self.ratio <= 1.0:
            return 1.0
        return LATE_VALUE if self.ratio <= TOO_LATE_FACTOR else 0.0


def outcome(world: SchedulerWorld) -> Outcome:
    """Summarize a simulation that has ended."""
    queues: dict[QueueName, list[_Job]] = defaultdict(list)
    for spec in [*world.specs.values(), *world.refused.values()]:
        if not spec.lasting:
            queues[spec.queue].append(_result(world, spec))
    jobs = [job for queue in queues.values() for job in queue]
    result = Outcome()
    total = earned = 0.0
    for queue in queues.values():
        mean_work = sum(job.work for job in queue) / len(queue)
        for job in queue:
            value = min(MAX_VALUE, 0.3 + 0.7 * job.work / mean_work)
            total += value
            earned += value * job.earned
    result.worth = earned / total
    result.in_time = _share(jobs, 1.0)
    result.useful = _share(jobs, TOO_LATE_FACTOR)
    for queue in queues.values():
        queue.sort(key=lambda job: -job.work)
        tenth, third = -(-len(queue) // 10), -(-len(queue) * 3 // 10)
        reached = max(_share(queue, 1.0), 1e-9) * len(queues)
        result.largest += _share(queue[:tenth], 1.0) / reached
        result.upper += _share(queue[tenth:third], 1.0) / reached
        result.smallest += _share(queue[len(queue) // 2 :], 1.0) / reached
    result.hot = _share([job for job in jobs if job.workspace == HOT], 1.0)
    result.others = _share([job for job in jobs if job.workspace != HOT], 1.0)
    result.refusals = world.counts["refused"]
    result.never_ran = len(world.refused)
    ends = ("stopped", "lapsed", "broken")
    result.thrown_away = sum(world.counts[end] for end in ends)
    result.broken = len(world.violations)
    return result


def _share(jobs: list[_Job], limit: float) -> float:
    return sum(job.ratio <= limit for job in jobs) / len(jobs) if jobs else 0.0


def _result(world: SchedulerWorld, spec: JobSpec) -> _Job:
    work = sum(s.tasks * s.cpu * s.estimate_ms for s in spec.steps)
    ended = world.completed_at.get(spec.job)
    if ended is None or world.state_of(spec.job) is not JobState.COMPLETED:
        return _Job(spec.workspace, work, float("inf"))
    took_ms = (ended - world.first_attempt_at[spec.job]) * 1000
    return _Job(spec.workspace, work, took_ms / objective_ms(spec))
