"""Stops best-effort tasks whose memory or accelerators a job in time needs.

Best-effort tasks reserve no processor time, but memory and accelerators. They continue
from their checkpoints where there is room.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from primrosepitch.jobs.model import EndpointId, Resources, ServiceName
from primrosepitch.scheduling.crashes import is_held, needs_isolation
from primrosepitch.scheduling.effects import Effect
from primrosepitch.scheduling.limits import LimitedDemand
from primrosepitch.scheduling.ordering import PriorityClass
from primrosepitch.scheduling.placement import (
    StepCandidates,
    may_be_advised,
    usable_pools,
)
from primrosepitch.scheduling.runs import stop_task
from primrosepitch.scheduling.state import (
    Endpoint,
    Phase,
    ReadyStep,
    SchedulerState,
    Task,
)

__all__ = ["yield_best_effort"]

INTERVAL_S = 0.1
"""Interval between decisions; a stop takes twice as long."""

MAX_STOPS = 50
"""Maximum number of tasks that are stopped at a time."""

MAX_PLANNED = 250
"""Maximum number of tasks for which room is made at a time, as many as a planning pass
places; the next decision follows when these have started."""

MAX_EXAMINED = 1000
"""Maximum number of steps for which room is looked for at a time."""

REASON = "yields to a job in time"


class _RoomPlan(NamedTuple):
    """How room is made for tasks of a step.

    :param left: free capacity that is left on each endpoint that gets any of them
    :param stops: best-effort tasks to be stopped
    :param tasks: number of tasks that have room then
    :param own_refusal: whether an endpoint refuses tasks of this step only
    """

    left: dict[EndpointId, Resources]
    stops: list[Task]
    tasks: int
    own_refusal: bool


def yield_best_effort(
    state: SchedulerState, waiting_steps: list[ReadyStep]
) -> list[Effect]:
    """Stop the best-effort tasks in whose place waiting tasks fit.

    Each task without checkpoints is stopped once at most, so that none loses its work
    twice. Room is made and kept only for tasks that wait for nothing else: best-effort
    tasks would wait as long as one that its workspace's upper limit keeps waiting.

    :param waiting_steps: what the planning pass has left waiting, by rank
    """
    if state.now - state.yielded_at < INTERVAL_S:
        return []
    state.yielded_at = state.now
    filled = False
    kept = False
    for endpoint in state.endpoints.values():
        kept = kept or endpoint.room_kept
        endpoint.room_kept = False
        filled = filled or any(task.spec.fills for task in endpoint.tasks.values())
    if not filled and not kept:
        return []
    effects: list[Effect] = []
    pools = usable_pools(state)
    freed = {e.id: _being_freed(e) for e in state.endpoints.values()}
    demand = LimitedDemand(state)
    planned = examined = 0
    full: set[tuple[ServiceName, Resources, str, bool]] = set()
    for ready in waiting_steps:
        if ready.rank[0] > PriorityClass.IN_TIME or planned >= MAX_PLANNED:
            break
        if len(effects) >= 2 * MAX_STOPS or examined >= MAX_EXAMINED:
            break
        waiting = sum(not (needs_isolation(t) or is_held(t)) for t in ready.tasks)
        waiting += ready.uncreated
        waiting = demand.admitted(ready, waiting)
        if not waiting:
            continue
        spec = ready.step.spec
        alike = (ready.job.spec.service, spec.needs, spec.label, spec.lasting)
        if alike in full:
            continue
        examined += 1
        pool = pools.get(ready.job.spec.service, [])
        plan = _plan_room(state, ready, waiting, pool, freed)
        if not (plan.tasks or plan.own_refusal):
            full.add(alike)
        if spec.gang and plan.tasks < waiting:
            # A gang starts when all of its members have room.
            continue
        demand.count(ready, plan.tasks)
        planned += plan.tasks
        freed.update(plan.left)
        for endpoint_id in plan.left:
            state.endpoints[endpoint_id].room_kept = True
        for task in plan.stops:
            task.yields += 1
            effects += stop_task(state, task, REASON)
    return effects


def _being_freed(endpoint: Endpoint) -> Resources:
    """Return the capacity that is free once the tasks being stopped have ended."""
    free = endpoint.free()
    for task in endpoint.tasks.values():
        if task.phase is Phase.STOPPING:
            free = free.add(task.spec.needs)
    return free


def _plan_room(
    state: SchedulerState,
    ready: ReadyStep,
    waiting: int,
    pool: list[Endpoint],
    freed: dict[EndpointId, Resources],
) -> _RoomPlan:
    """Plan room for tasks of a step, first without stopping best-effort tasks.

    :param waiting: number of tasks that wait for room
    :param pool: usable endpoints of the step's pool
    :param freed: free capacity by endpoint, which other steps have left
    """
    needs = ready.step.spec.needs
    candidates = StepCandidates(ready, pool)
    left: dict[EndpointId, Resources] = {}
    stops: list[Task] = []
    given: Counter[EndpointId] = Counter()
    lacking = waiting
    own_refusal = False
    for may_stop in (False, True):
        for endpoint in pool:
            if not lacking:
                break
            admitted = candidates.admitted(endpoint, lacking + given[endpoint.id])
            admitted -= given[endpoint.id]
            if not (admitted and may_be_advised(state, ready, endpoint)):
                own_refusal = own_refusal or not candidates.condition_refusal(endpoint)
                continue
            free = left.get(endpoint.id, freed[endpoint.id])
            stopped = _choose_stops(endpoint, needs, free) if may_stop else []
            for task in stopped:
                free = free.add(task.spec.needs)
            if needs.fits(free):
                count = free.count_fitting(needs, admitted)
                given[endpoint.id] += count
                lacking -= count
                taken = Resources(*(amount * count for amount in needs))
                left[endpoint.id] = free.subtract(taken)
                stops += stopped
    return _RoomPlan(left, stops, waiting - lacking, own_refusal)


def _choose_stops(endpoint: Endpoint, needs: Resources, free: Resources) -> list[Task]:
    """Return the tasks of an endpoint to be stopped for one that needs their room."""
    stops: list[Task] = []
    for task in endpoint.tasks.values():
        if _may_yield(task) and _lacking(needs, free, task):
            free = free.add(task.spec.needs)
            stops.append(task)
    return stops


def _lacking(needs: Resources, free: Resources, task: Task) -> bool:
    """Return whether a task holds any of what is lacking."""
    held = task.spec.needs
    return any(
        need > have and amount
        for need, have, amount in zip(needs, free, held, strict=True)
    )


def _may_yield(task: Task) -> bool:
    """Return whether a task may be stopped without losing its work twice."""
    return (
        task.spec.fills
        and task.phase is Phase.RUNNING
        and (task.spec.checkpoints or not task.yields)
    )
