"""Ranks waiting steps for a pool that can't hold what is asked of it.

Least slack first starts each job at the last moment at which its estimate fits: under
sustained contention every job waits that long, and half of them run longer than
estimated. While a wait is published for a pool, this ranking starts the jobs first that
are likely to earn most in the capacity that they take. Otherwise all can be served, and
least slack first serves more of the large ones.
"""

from __future__ import annotations

import enum
import math

from primrosepitch.scheduling.ordering import (
    SLACK_FRACTION,
    TASK_OVERHEAD_MS,
    TOO_LATE_FACTOR,
    Occurrence,
    PriorityClass,
    register_ranking,
)
from primrosepitch.scheduling.state import (
    JobRun,
    MeanWork,
    SchedulerState,
    StepRun,
)

__all__ = ["record_work"]

BASE_VALUE = 0.3
"""Part of a job's value that doesn't depend on its work."""

MAX_VALUE = 4.0
"""Maximum value of a job, relative to that of a job of mean work."""

ESTIMATE_EXPONENT = 3.4
"""Steepness of the chance to end in time: a logistic distribution with the spread of
estimates that are off by a half (log-normal, sigma 0.5)."""

MEAN_WORK_JOBS = 50.0
"""Number of jobs over which the mean work of a queue is taken."""

WORK_EXPONENT = 0.9
"""Exponent of the work that a job's value is divided by: below 1, so that large jobs
are served often enough. In trials 0.8 and 0.9 earned more than 0.6 and 1."""

MIN_RELATIVE_WORK = 0.02
"""Least remaining work relative to the mean of the queue that is told apart."""

OVER_SHARE_CLASS = PriorityClass.IN_TIME + 0.5
"""Rank of jobs beyond their workspace's share that can still end in time: behind such
jobs within their share, before work that is late."""


class PlaceOrder(enum.IntEnum):
    """Order of jobs that can end in time, before the value that they may earn."""

    BEGUN = 0
    RETURNED = 1
    NEW = 2


def record_work(state: SchedulerState, job: JobRun) -> None:
    """Add a job's work to the mean of its queue."""
    if job.lasting:
        return
    mean = state.queue_work.setdefault(job.spec.queue, MeanWork())
    mean.jobs = min(MEAN_WORK_JOBS, mean.jobs + 1.0)
    mean.work += (job.work - mean.work) / mean.jobs


@register_ranking("value")
def _by_value(
    state: SchedulerState,
    job: JobRun,
    occurrence: Occurrence,
    number: int,
    step: StepRun,
) -> tuple[float, ...]:
    """Rank by class, and within one by value while the pool is contended.

    Steps of one pool are compared by the same rule, as the wait is that of the pool.
    """
    spec = job.spec
    if step.spec.fills:
        return (float(PriorityClass.BEST_EFFORT), 0.0, 0.0, float(spec.accepted_ms))
    if step.spec.lasting:
        accepted_ms = float(spec.accepted_ms)
        return (float(PriorityClass.LASTING), float(spec.priority), 0.0, accepted_ms)
    begun_ms = spec.due_ms(occurrence.number) or spec.attempted_ms
    span_ms = max(1.0, job.deadline_ms - spec.attempted_ms)
    path_ms = job.remaining_paths_ms[number]
    left_ms = begun_ms + span_ms - state.wall_ms
    slack_ms = left_ms - path_ms
    work, begun = occurrence.waiting_work, occurrence.begun
    order = PlaceOrder.BEGUN if begun else PlaceOrder.NEW
    if spec.first_attempt_ms and not begun:
        order = PlaceOrder.RETURNED
    contended = spec.service in state.waits
    late_ms = (TOO_LATE_FACTOR - 1) * span_ms
    margin_ms = 0.0 if begun else TASK_OVERHEAD_MS + SLACK_FRACTION * path_ms
    if slack_ms >= margin_ms:
        group = OVER_SHARE_CLASS if job.over_share else float(PriorityClass.IN_TIME)
        if not contended:
            return (group, float(spec.priority), float(order), slack_ms)
        density = _density(state, job, work, left_ms, path_ms)
        return (group, float(spec.priority), float(order), -density, slack_ms)
    if slack_ms + late_ms >= margin_ms:
        group = PriorityClass.OVER_SHARE if job.over_share else PriorityClass.LATE
        if not contended:
            return (float(group), 0.0, 0.0, slack_ms)
        density = _density(state, job, work, left_ms + late_ms, path_ms)
        return (float(group), 0.0, 0.0, -density, slack_ms)
    return (float(PriorityClass.TOO_LATE), 0.0, 0.0, 0.0, slack_ms)


def _density(
    state: SchedulerState, job: JobRun, work: float, left_ms: float, path_ms: int
) -> float:
    """Return the value that a job is likely to earn for its remaining work.

    Work counts less than in proportion, so that large jobs are served often enough.
    """
    mean = state.queue_work.get(job.spec.queue)
    mean_work = max(1.0, mean.work) if mean is not None else 1.0
    value = min(MAX_VALUE, BASE_VALUE + (1 - BASE_VALUE) * job.work / mean_work)
    ratio = max(1.0, left_ms - TASK_OVERHEAD_MS) / max(1.0, path_ms)
    chance = 1 / (1 + math.pow(ratio, -ESTIMATE_EXPONENT))
    relative_work = max(MIN_RELATIVE_WORK, work / mean_work)
    return chance * value / math.pow(relative_work, WORK_EXPONENT)
