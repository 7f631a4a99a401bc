"""Keeps work from endpoints that run it several times slower than others.

A slow endpoint answers polls as healthy and looks the least loaded, so that each job
with a task there is late. Placement uses it last, for one task at a time, which shows
when it has recovered. Tasks that it would end too late start elsewhere.
"""

from __future__ import annotations

from primrosepitch.events import ENDPOINT_SLOW, ENDPOINT_SPEED_NORMAL
from primrosepitch.jobs.model import ServiceName
from primrosepitch.scheduling.effects import Effect, WriteLog
from primrosepitch.scheduling.endpoint_speed import MAX_EVIDENCE, SLOW_EVIDENCE
from primrosepitch.scheduling.leases import usable
from primrosepitch.scheduling.run_speed import (
    count_long_runs,
    projected_s,
    running_ratios,
)
from primrosepitch.scheduling.runs import stop_task
from primrosepitch.scheduling.state import (
    Endpoint,
    JobRun,
    Phase,
    SchedulerState,
    Task,
)

__all__ = ["assess_endpoints", "count_slow"]

RESTART_S = 0.5
"""Time to stop a run and start it elsewhere."""

MAX_SLOW_MOVES = 1
"""Maximum number of runs of a task that are stopped on slow endpoints, so that no work
is thrown away twice."""


MIN_POOL_PER_SLOW = 3
"""Number of endpoints in a pool for each that may count as slow. One of two may, but
not the only one."""


def assess_endpoints(state: SchedulerState) -> list[Effect]:
    """Decide which endpoints are slow, and move tasks that they would end too late."""
    effects: list[Effect] = []
    if not state.learns_speeds:
        return effects
    assessed_at, state.speeds_assessed_at = state.speeds_assessed_at, state.now
    for endpoint in state.endpoints.values():
        speed = endpoint.speed
        if not speed.slow and (
            endpoint.clock_read_at < assessed_at or not _may_be_slow(state, endpoint)
        ):
            continue
        before = speed.slow
        evidence = speed.decide(running_ratios(state, endpoint), state.now)
        if speed.slow and not before and not _may_be_limited(state, endpoint):
            speed.slow = False
        if speed.slow is not before:
            event = ENDPOINT_SLOW if speed.slow else ENDPOINT_SPEED_NORMAL
            fields = {
                "endpoint": endpoint.id,
                "evidence": round(evidence, 1),
                "jobs": len(speed.recent),
                "tasks": len(endpoint.tasks),
            }
            effects.append(WriteLog(event, fields))
        if speed.slow:
            effects += _move_tasks(state, endpoint)
    return effects


def _may_be_slow(state: SchedulerState, endpoint: Endpoint) -> bool:
    """Return whether an endpoint is slow if each long run is the most evidence.

    It spares the exact sum for most endpoints, which took 20 ms in a planning pass with
    2,300 running tasks.
    """
    missing = SLOW_EVIDENCE - endpoint.speed.evidence
    if missing > 0:
        missing -= MAX_EVIDENCE * count_long_runs(state, endpoint)
    return missing <= 0


def _may_be_limited(state: SchedulerState, endpoint: Endpoint) -> bool:
    """Return whether one more endpoint of a pool may count as slow.

    If most of them take long, as with estimates that are all too low, the cause isn't
    the endpoints, and the pool needs their capacity.
    """
    service = endpoint.report.service
    pool = [e for e in state.endpoints.values() if e.report.service == service]
    slow = sum(other.speed.slow for other in pool)
    if len(pool) < MIN_POOL_PER_SLOW:
        return slow < len(pool)
    return slow <= len(pool) // MIN_POOL_PER_SLOW


def count_slow(state: SchedulerState) -> int:
    """Return how many endpoints count as slow; 0 on a node that does not schedule."""
    return sum(endpoint.speed.slow for endpoint in state.endpoints.values())


def _move_tasks(state: SchedulerState, slow: Endpoint) -> list[Effect]:
    effects: list[Effect] = []
    late = [
        task
        for task in slow.tasks.values()
        if _movable(task) and _gains_by_move(state, task)
    ]
    if not late:
        return effects
    room = _room_elsewhere(state, slow.report.service)
    for task in late:
        target = next((e for e in room if _fits(e, task, room)), None)
        if target is None:
            continue
        room[target] -= task.spec.cpu
        task.avoid_endpoint = slow.id
        task.slow_moves += 1
        effects += stop_task(state, task, "its endpoint is slow")
    return effects


def _room_elsewhere(state: SchedulerState, service: ServiceName) -> dict[Endpoint, int]:
    """Return the free processor time of a pool's endpoints that are not slow."""
    return {
        e: e.free().cpu
        for e in state.endpoints.values()
        if e.report.service == service and not e.speed.slow and usable(state, e)
    }


def _fits(endpoint: Endpoint, task: Task, room: dict[Endpoint, int]) -> bool:
    spec = task.spec
    return (
        endpoint.has_room(spec.needs)
        and room[endpoint] >= spec.cpu
        and (not spec.label or spec.label in endpoint.report.labels)
    )


def _movable(task: Task) -> bool:
    spec = task.spec
    plain = not (spec.lasting or spec.gang or spec.fills)
    running = task.phase is Phase.RUNNING and task.started_at > 0
    return plain and running and task.slow_moves < MAX_SLOW_MOVES


def _gains_by_move(state: SchedulerState, task: Task) -> bool:
    """Return whether a task ends too late for its job here, and sooner elsewhere."""
    duration_s = projected_s(state, task)
    if not duration_s:
        return False
    job = state.jobs[task.key.job]
    here_s = task.started_at + duration_s - state.now
    estimate_s = task.spec.estimate_ms / 1000
    if task.spec.checkpoints:
        estimate_s *= 1 - task.progress / 100
    elsewhere_s = estimate_s + RESTART_S
    return here_s > 1.5 * elsewhere_s and here_s > _left_s(state, job, task)


def _left_s(state: SchedulerState, job: JobRun, task: Task) -> float:
    """Return the time within which a task must end for its job to be in time."""
    span_ms = job.deadline_ms - job.spec.accepted_ms
    begun_ms = job.spec.due_ms(task.key.occurrence) or job.spec.accepted_ms
    later_ms = job.remaining_paths_ms[task.key.step] - task.spec.estimate_ms
    return (begun_ms + span_ms - later_ms - state.wall_ms) / 1000
