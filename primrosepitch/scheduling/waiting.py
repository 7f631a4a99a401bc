"""Logs why lasting and best-effort tasks wait."""

from __future__ import annotations

from collections import Counter

from primrosepitch.events import (
    BEST_EFFORT_TASKS_WAITING,
    LASTING_TASKS_WAITING,
    LogEvent,
)
from primrosepitch.scheduling.effects import Effect, WriteLog
from primrosepitch.scheduling.leases import exclusion
from primrosepitch.scheduling.placement import StepCandidates
from primrosepitch.scheduling.state import Endpoint, ReadyStep, SchedulerState

__all__ = ["log_waits"]

LOG_INTERVAL_S = 2.0
"""Interval between two log lines about a step, and the wait from which it is logged."""

MAX_LOG_LINES = 10
"""Maximum number of steps of each kind that are logged at a time."""


def log_waits(state: SchedulerState, waiting: list[ReadyStep]) -> list[Effect]:
    """Log why the lasting and best-effort tasks that wait longest are not placed.

    :param waiting: steps that the planning pass has left waiting
    """
    if state.now - state.waits_logged_at < LOG_INTERVAL_S:
        return []
    state.waits_logged_at = state.now
    lasting = [r for r in waiting if r.step.spec.lasting]
    best_effort = [r for r in waiting if r.step.spec.fills and not r.step.spec.lasting]
    return [
        *_log_longest(state, LASTING_TASKS_WAITING, lasting),
        *_log_longest(state, BEST_EFFORT_TASKS_WAITING, best_effort),
    ]


def _log_longest(
    state: SchedulerState, event: LogEvent, steps: list[ReadyStep]
) -> list[Effect]:
    waits = [(_longest_wait_s(state, ready), ready) for ready in steps]
    long = [wait for wait in waits if wait[0] > LOG_INTERVAL_S]
    long.sort(key=lambda wait: -wait[0])
    return [
        _log_line(state, event, ready, waited_s, len(long))
        for waited_s, ready in long[:MAX_LOG_LINES]
    ]


def _longest_wait_s(state: SchedulerState, ready: ReadyStep) -> float:
    since = [task.unavailable_since or task.phase_since for task in ready.tasks]
    if ready.uncreated:
        since.append(ready.step.ready_at)
    return state.now - min(since)


def _log_line(
    state: SchedulerState,
    event: LogEvent,
    ready: ReadyStep,
    waited_s: float,
    steps_waiting: int,
) -> WriteLog:
    job = ready.job.spec
    pool = [e for e in state.endpoints.values() if e.report.service == job.service]
    candidates = StepCandidates(ready, pool)
    reasons = Counter(_reason(state, candidates, endpoint) for endpoint in pool)
    fields = {
        "job": job.job,
        "step": ready.number,
        "tasks": ready.task_count,
        "longest_s": round(waited_s, 1),
        "needs": list(ready.step.spec.needs),
        "stopped_by": state.passed_over.get(ready.key, "pass cut short"),
        "endpoints": dict(reasons),
        "steps_waiting": steps_waiting,
    }
    return WriteLog(event, fields)


def _reason(
    state: SchedulerState, candidates: StepCandidates, endpoint: Endpoint
) -> str:
    """Return the first reason that excludes an endpoint; ``usable`` without any."""
    poll_failed = "poll failed" if endpoint.failed_polls else ""
    excluded = exclusion(state, endpoint) or poll_failed
    return excluded or candidates.refusal(endpoint) or "usable"
