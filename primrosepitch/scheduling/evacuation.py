"""Evacuation of data centres: no task starts there until the operator cancels it.

Tasks that run there continue; what ends there starts elsewhere. A task whose start
order has not been sent is placed elsewhere at once. If its order was sent and not
answered, it may run there, so the order is not repeated and the next poll decides: a
run that it lists goes on, another one is stopped, since its order may still arrive.
"""

from __future__ import annotations

from collections import Counter

from primrosepitch.events import EVACUATION_CHANGED, EVACUATION_STATUS
from primrosepitch.jobs.model import DataCentreName, EndpointId
from primrosepitch.scheduling.effects import Effect, WriteLog
from primrosepitch.scheduling.events import EvacuationChanged
from primrosepitch.scheduling.runs import run_lost
from primrosepitch.scheduling.state import Endpoint, Phase, SchedulerState, Task

__all__ = [
    "EVACUATED",
    "all_evacuated",
    "count_evacuated_tasks",
    "evacuation_changed",
    "idle_evacuated",
    "is_evacuated",
    "is_instance_evacuated",
    "log_evacuations",
    "precludes_start",
    "withhold_start",
]

EVACUATED = "data centre evacuated"
"""Reason for which an endpoint gets no tasks and those placed there start elsewhere."""

STATUS_INTERVAL_S = 5.0
"""Interval between log lines on what is left in the evacuated data centres."""

MAX_STATUS_LINES = 10
"""Maximum number of data centres that are logged each time."""


def evacuation_changed(state: SchedulerState, event: EvacuationChanged) -> list[Effect]:
    """Begin or cancel the evacuation of a data centre.

    One that has no endpoints yet is evacuated when its first endpoint appears.
    """
    if (event.data_centre in state.evacuated) == event.active:
        return []
    if event.active:
        state.evacuated.add(event.data_centre)
    else:
        state.evacuated.discard(event.data_centre)
    state.replan = True
    fields = _status_fields(state, event.data_centre)
    return [WriteLog(EVACUATION_CHANGED, {"active": event.active, **fields})]


def is_evacuated(state: SchedulerState, endpoint: Endpoint) -> bool:
    """Return whether an endpoint is in an evacuated data centre."""
    return endpoint.report.zone in state.evacuated


def count_evacuated_tasks(state: SchedulerState) -> int:
    """Return how many tasks are placed in evacuated data centres."""
    endpoints = state.endpoints.values()
    return sum(len(e.tasks) for e in endpoints if is_evacuated(state, e))


def is_instance_evacuated(state: SchedulerState, instance: str) -> bool:
    """Return whether an instance is listed in an evacuated data centre."""
    view = state.instances.get(instance)
    return view is not None and view.zone in state.evacuated


def all_evacuated(state: SchedulerState) -> bool:
    """Return whether every endpoint and instance is in an evacuated data centre."""
    zones = {e.report.zone for e in state.endpoints.values() if e.listed}
    zones |= {view.zone for view in state.instances.values()}
    return bool(zones) and zones.issubset(state.evacuated)


def idle_evacuated(state: SchedulerState, idle_s: float) -> list[Endpoint]:
    """Return the endpoints in evacuated data centres that have been idle for a time."""
    return [
        endpoint
        for endpoint in state.endpoints.values()
        if is_evacuated(state, endpoint)
        and endpoint.listed
        and endpoint.reachable
        and not (endpoint.tasks or endpoint.stopping or endpoint.evacuation_reason)
        and state.now - endpoint.idle_since >= idle_s
    ]


def precludes_start(state: SchedulerState, endpoint_id: EndpointId) -> bool:
    """Return whether a start order that is already queued must not be sent."""
    endpoint = state.endpoints.get(endpoint_id)
    return endpoint is not None and is_evacuated(state, endpoint)


def withhold_start(state: SchedulerState, task: Task) -> list[Effect]:
    """Decide on a task whose start in an evacuated data centre is not confirmed."""
    if task.order_pending:
        # Its answer decides.
        return []
    if task.unanswered:
        # A poll that is sent from now on decides, as after a refused repeat.
        task.refused_at = task.refused_at or state.now
        return []
    effects: list[Effect] = []
    for member in _started_together(state, task):
        if _unsent(member):
            effects += run_lost(state, member, EVACUATED)
    return effects


def _unsent(task: Task) -> bool:
    """Return whether the endpoint of a durable placement was never told of the run.

    After a takeover this is unknown, and the next poll shows whether the run exists.
    """
    told = task.order_pending or task.unanswered or task.order_tries < 0
    return task.phase is Phase.STARTING and not told


def _started_together(state: SchedulerState, task: Task) -> list[Task]:
    """Return a task, or all members of its gang, which must not start without it."""
    if not task.spec.gang:
        return [task]
    job = state.jobs[task.key.job]
    return list(job.steps[task.key.occurrence][task.key.step].tasks)


def log_evacuations(state: SchedulerState) -> list[Effect]:
    """Log from time to time what is left in the evacuated data centres."""
    due = state.now - state.evacuations_logged_at >= STATUS_INTERVAL_S
    if not state.evacuated or not due:
        return []
    state.evacuations_logged_at = state.now
    return [
        WriteLog(EVACUATION_STATUS, _status_fields(state, data_centre))
        for data_centre in sorted(state.evacuated)[:MAX_STATUS_LINES]
    ]


def _status_fields(
    state: SchedulerState, data_centre: DataCentreName
) -> dict[str, object]:
    endpoints = [e for e in state.endpoints.values() if e.report.zone == data_centre]
    phases = Counter(t.phase.value for e in endpoints for t in e.tasks.values())
    views = state.instances.values()
    return {
        "data_centre": data_centre,
        "endpoints": len(endpoints),
        "instances": sum(view.zone == data_centre for view in views),
        "tasks": dict(phases),
    }
