"""Cold endpoints take work according to their capacity, not as warm ones.

An endpoint that has just started, as after an evacuation, reports for how long it will
be slow. Until then it gets a share of its processor capacity that grows to all of it,
and only work for which no warm endpoint of its pool has room.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from primrosepitch.events import ENDPOINT_COLD, ENDPOINT_WARM
from primrosepitch.jobs.model import Resources
from primrosepitch.scheduling.effects import Effect, WriteLog
from primrosepitch.scheduling.state import (
    Endpoint,
    Phase,
    ReadyStep,
    SchedulerState,
    Task,
)

__all__ = [
    "count_cold",
    "free_resources",
    "is_cold",
    "update_warmth",
    "waits_for_warm",
    "warmth_refusal",
]

MIN_SHARE = 0.1
"""Share of its processor capacity that an endpoint gets when it becomes cold. A task
that needs more may start there alone."""

COLD_SLOWDOWN = 1.5
"""Assumed factor on the duration of a task that starts on a cold endpoint. Reports
don't say how slow an endpoint is."""


def update_warmth(state: SchedulerState) -> list[Effect]:
    """Compute the processor capacity that each endpoint may use in a planning pass."""
    effects: list[Effect] = []
    for endpoint in state.endpoints.values():
        cold_until = endpoint.report.cold_until
        if state.now >= cold_until:
            if endpoint.cold_since:
                effects.append(WriteLog(ENDPOINT_WARM, {"endpoint": endpoint.id}))
            endpoint.cold_since, endpoint.cpu_limit = 0.0, inf
            continue
        if not endpoint.cold_since:
            endpoint.cold_since = state.now
            cold_s = round(cold_until - state.now, 2)
            fields = {"endpoint": endpoint.id, "cold_s": cold_s}
            effects.append(WriteLog(ENDPOINT_COLD, fields))
        endpoint.cpu_limit = _share(state, endpoint) * endpoint.report.capacity.cpu
    return effects


def _share(state: SchedulerState, endpoint: Endpoint) -> float:
    """Return the share of its capacity that a cold endpoint may use now."""
    span_s = endpoint.report.cold_until - endpoint.cold_since
    elapsed = (state.now - endpoint.cold_since) / max(0.001, span_s)
    return MIN_SHARE + (1 - MIN_SHARE) * elapsed


def is_cold(endpoint: Endpoint) -> bool:
    """Return whether an endpoint was cold in the newest planning pass."""
    return endpoint.cpu_limit < inf


def count_cold(state: SchedulerState) -> int:
    """Return how many endpoints were cold in the newest planning pass."""
    return sum(map(is_cold, state.endpoints.values()))


def warmth_refusal(endpoint: Endpoint, needs: Resources) -> str:
    """Return why a cold endpoint takes no task with ``needs``, or an empty string."""
    within = endpoint.used.cpu + needs.cpu <= endpoint.cpu_limit
    return "" if within or not endpoint.tasks else "cold"


def free_resources(endpoint: Endpoint) -> Resources:
    """Return the capacity that a gang may use on an endpoint now."""
    free = endpoint.free()
    if not is_cold(endpoint):
        return free
    return free._replace(cpu=min(free.cpu, int(endpoint.cpu_limit) - endpoint.used.cpu))


def waits_for_warm(
    state: SchedulerState, ready: ReadyStep, pool: Iterable[Endpoint], chosen: Endpoint
) -> bool:
    """Return whether a step waits for a warm endpoint instead of a cold one.

    It does if its job would miss its objective there, and would not on a warm endpoint
    that is about to have room. The time left bounds the wait.
    """
    spec = ready.step.spec
    if not is_cold(chosen) or spec.lasting or spec.fills:
        return False
    path_ms = ready.job.remaining_paths_ms[ready.number]
    slack_ms = ready.job.deadline_ms - state.wall_ms - path_ms
    loss_ms = (COLD_SLOWDOWN - 1) * spec.estimate_ms
    if not 0 <= slack_ms < loss_ms:
        return False
    return any(
        not is_cold(endpoint) and _frees_within(state, endpoint, spec.needs, slack_ms)
        for endpoint in pool
    )


def _frees_within(
    state: SchedulerState, endpoint: Endpoint, needs: Resources, wait_ms: float
) -> bool:
    """Return whether a running task is about to make room for another one."""
    return any(
        needs.fits(endpoint.free().add(task.spec.needs))
        and _remaining_ms(state, task) <= wait_ms
        for task in endpoint.tasks.values()
        if task.phase is Phase.RUNNING and not task.spec.lasting
    )


def _remaining_ms(state: SchedulerState, task: Task) -> float:
    """Return the estimated rest of a task; overdue ones may end at any time."""
    elapsed_ms = (state.now - task.started_at) * 1000
    return max(0.0, task.spec.estimate_ms - elapsed_ms)
