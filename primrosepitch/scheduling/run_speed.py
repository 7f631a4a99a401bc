"""Measures how long runs take compared with what is expected of them.

Only runs are measured that show the speed of their endpoint. A run outside the rack of
its data, a step spread over racks, a run resumed from a checkpoint and a throttled or
best-effort task take longer or shorter for reasons of their own.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import exp, log

from primrosepitch.scheduling.endpoint_speed import Observation, PoolMedian
from primrosepitch.scheduling.state import Endpoint, Phase, SchedulerState, Task

__all__ = ["count_long_runs", "projected_s", "record_end", "running_ratios"]

OVERHEAD_S = 0.15
"""Time for starting a task and noticing its end, in addition to its work."""

MIN_ESTIMATE_MS = 200
"""Estimates below it are not used, since starts and ends are noticed 0.3 s late."""

MAX_NOTICE_S = 0.5
"""Maximum time since the newest report of a run for its end to be used: it may have
ended long before it was noticed."""

MIN_OBSERVED_S = 0.4
"""Time after its start from which a run's progress is used."""

MIN_PERCENT = 3
"""Percentage of the work from which a run's progress is used; it is rounded down."""

MAX_FACTOR = 20.0
"""Multiple of the estimate after which a run isn't used any more: some never end."""

MIN_SUSPICIOUS = 0.4
"""Logarithm of a run's duration by its estimate from which it is compared with others
of its step."""

MIN_ELSEWHERE = 2
"""Number of runs on other endpoints with which a run is compared; fewer say no more
than the estimate."""


def record_end(state: SchedulerState, endpoint: Endpoint, task: Task) -> None:
    """Record the end of the newest run of a task, which has succeeded."""
    if not _shows_speed(state, endpoint, task):
        return
    if state.now - max(task.reported_at, task.started_at) > MAX_NOTICE_S:
        return
    task.ran_on, task.ran_s = endpoint.id, max(0.01, state.now - task.started_at)
    observed = _observe(state, endpoint, task, task.ran_s)
    _median(state, endpoint).add(log(task.ran_s / _expected_s(task)))
    endpoint.speed.add_end(observed, state.now)


def running_ratios(state: SchedulerState, endpoint: Endpoint) -> Iterator[Observation]:
    """Yield what the runs under way show of an endpoint's speed."""
    for task in endpoint.tasks.values():
        if task.phase is not Phase.RUNNING or not _shows_speed(state, endpoint, task):
            continue
        if state.now - task.started_at > MAX_FACTOR * _expected_s(task):
            continue
        duration_s = projected_s(state, task)
        if duration_s:
            yield _observe(state, endpoint, task, duration_s)


def count_long_runs(state: SchedulerState, endpoint: Endpoint) -> int:
    """Return how many runs under way may take long by their estimates.

    Each run that could be evidence of slowness is among them.
    """
    factor = exp(MIN_SUSPICIOUS + _median(state, endpoint).value)
    count = 0
    for task in endpoint.tasks.values():
        if task.spec.estimate_ms < MIN_ESTIMATE_MS:
            continue
        least_s = (task.spec.estimate_ms / 1000 + OVERHEAD_S) * factor
        changed_s = task.last_progress_at - task.started_at
        count += (
            changed_s * 100 >= task.progress * least_s
            and changed_s >= MIN_OBSERVED_S
            or task.reported_at - task.started_at >= least_s
        )
    return count


def projected_s(state: SchedulerState, task: Task) -> float:
    """Return the duration of a run that its progress suggests; 0 if none does.

    A report may be a second old. One that differs from the report before it is fresh,
    so the time of the newest change is used.
    """
    changed_s = task.last_progress_at - task.started_at
    if changed_s >= MIN_OBSERVED_S and task.progress >= MIN_PERCENT:
        return changed_s * 100 / task.progress
    # Without progress, it takes at least the time since its start.
    running_s = task.reported_at - task.started_at
    return running_s if running_s > 2 * _expected_s(task) else 0.0


def _observe(
    state: SchedulerState, endpoint: Endpoint, task: Task, duration_s: float
) -> Observation:
    """Compare a run with its estimate, and a long one with others of its step.

    The estimates of a step may all be off alike, which its runs on other endpoints
    show.
    """
    job = task.key.job
    median = _median(state, endpoint).value
    by_estimate = log(duration_s / _expected_s(task)) - median
    if by_estimate < MIN_SUSPICIOUS:
        return Observation(job, by_estimate)
    elsewhere = sorted(_durations_elsewhere(state, endpoint, task))
    if len(elsewhere) < MIN_ELSEWHERE:
        return Observation(job, by_estimate)
    usual_s = elsewhere[len(elsewhere) // 2]
    return Observation(job, log(duration_s / usual_s), by_step=True)


def _durations_elsewhere(
    state: SchedulerState, endpoint: Endpoint, task: Task
) -> Iterator[float]:
    """Yield the durations of runs of a task's step on other endpoints."""
    step = state.jobs[task.key.job].steps[task.key.occurrence][task.key.step]
    for other in step.tasks:
        if other.ran_s:
            if other.ran_on != endpoint.id:
                yield other.ran_s
        elif other.phase is Phase.RUNNING and other.endpoint != endpoint.id:
            placed_on = state.endpoints.get(other.endpoint)
            if placed_on is not None and _shows_speed(state, placed_on, other):
                duration_s = projected_s(state, other)
                if duration_s:
                    yield duration_s


def _expected_s(task: Task) -> float:
    return task.spec.estimate_ms / 1000 + OVERHEAD_S


def _median(state: SchedulerState, endpoint: Endpoint) -> PoolMedian:
    return state.speed_medians.setdefault(endpoint.report.service, PoolMedian())


def _shows_speed(state: SchedulerState, endpoint: Endpoint, task: Task) -> bool:
    spec = task.spec
    if spec.lasting or spec.gang or spec.fills or spec.estimate_ms < MIN_ESTIMATE_MS:
        return False
    if task.checkpoint or task.unanswered or not task.started_at:
        return False
    if spec.rack and spec.rack != endpoint.rack:
        return False
    if spec.one_rack:
        steps = state.jobs[task.key.job].steps[task.key.occurrence]
        return all(t.rack == task.rack for t in steps[task.key.step].tasks if t.placed)
    return True
