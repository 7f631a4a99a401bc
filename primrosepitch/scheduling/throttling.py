"""Throttles best-effort tasks that slow down serving tasks on their endpoint.

The interference changes within seconds, so the rate follows the tail latency that the
endpoint reports rather than its free capacity.
"""

from __future__ import annotations

from primrosepitch.events import RUN_PACED
from primrosepitch.jobs.model import task_name
from primrosepitch.scheduling.effects import Effect, ThrottleRun, WriteLog
from primrosepitch.scheduling.state import Endpoint, Phase, SchedulerState, Task

__all__ = ["throttle_best_effort"]

DECREASE_FACTOR = 0.5
"""Factor on the rate of best-effort tasks at each change while a latency target is
missed."""

INCREASE_PERCENT = 20
"""Percentage points by which the rate rises at each change when all latencies are below
``NEAR_TARGET_RATIO``."""

MIN_PERCENT = 10
"""Rate in percent below which a best-effort task is paused instead."""

NEAR_TARGET_RATIO = 0.7
"""Ratio of the tail latency to its target below which the rate may rise."""

CHANGE_INTERVAL_S = 0.6
"""Minimum time between two changes: reported latencies are averages over 0.5 s."""

RECOVERY_S = 2.0
"""Time for which the latency must stay below ``NEAR_TARGET_RATIO`` of its target before
the rate rises."""


def throttle_best_effort(state: SchedulerState) -> list[Effect]:
    """Adjust the rate of best-effort tasks to the latency of serving ones."""
    effects: list[Effect] = []
    for endpoint in state.endpoints.values():
        if not endpoint.reachable or not any(
            task.spec.fills for task in endpoint.tasks.values()
        ):
            continue
        running = [t for t in endpoint.tasks.values() if t.phase is Phase.RUNNING]
        best_effort = [t for t in running if t.spec.fills]
        worst_ratio = max((_latency_ratio(task) for task in running), default=0.0)
        for task in best_effort:
            effects += _adjust(state, endpoint, task, worst_ratio)
    return effects


def _latency_ratio(task: Task) -> float:
    """Return a serving task's tail latency divided by its target; 0 for other tasks."""
    if not task.spec.target_ms or task.spec.fills or not task.at_full_rate:
        return 0.0
    return task.load / task.spec.target_ms


def _adjust(
    state: SchedulerState, endpoint: Endpoint, task: Task, worst_ratio: float
) -> list[Effect]:
    if worst_ratio >= NEAR_TARGET_RATIO:
        task.near_target_at = state.now
    if state.now - task.throttled_at < CHANGE_INTERVAL_S:
        return []
    rate = task.rate_percent
    if worst_ratio > 1.0:
        rate = int(rate * DECREASE_FACTOR)
        rate = rate if rate >= MIN_PERCENT else 0
    elif (
        worst_ratio < NEAR_TARGET_RATIO
        and state.now - task.near_target_at >= RECOVERY_S
    ):
        rate = min(100, rate + INCREASE_PERCENT)
    if rate == task.rate_percent:
        return []
    task.rate_percent, task.throttled_at = rate, state.now
    fields = {
        "job": task.key.job,
        "task": task_name(task.key),
        "endpoint": endpoint.id,
        "percent": rate,
        "strain": round(worst_ratio, 2),
    }
    report = endpoint.report
    order = ThrottleRun(
        endpoint.id, report.address, report.born, task.key, task.run, rate, state.term
    )
    return [WriteLog(RUN_PACED, fields), order]
