"""Chooses the endpoints on which waiting tasks run."""

from __future__ import annotations

from collections import defaultdict

from primrosepitch.events import JOB_UNPLACEABLE
from primrosepitch.jobs.model import JobId, Resources, ServiceName
from primrosepitch.scheduling.effects import Effect, RequestAdvice, WriteLog
from primrosepitch.scheduling.leases import usable
from primrosepitch.scheduling.limits import within_limit
from primrosepitch.scheduling.ordering import ReadyStep, ready_steps
from primrosepitch.scheduling.runs import EJECTION_FAULT_SCORE, place_task
from primrosepitch.scheduling.state import Endpoint, SchedulerState, Task

__all__ = ["start_waiting"]

TICKET_MARGIN_S = 0.3
"""Minimum remaining validity of a ticket; longer than a start order takes to arrive."""

MAX_ADVICE_ENDPOINTS = 20
"""Maximum number of endpoints in a request for advice; the service takes time for
each."""


MIN_LASTING_ENDPOINTS = 2
"""Minimum number of endpoints over which a pool's lasting tasks are spread, as one may
be lost."""


class PlanningCapacity:
    """Endpoints on which a planning pass may place tasks, by pool.

    ``full`` contains pool, needs and label of tasks that fit on no endpoint.
    """

    def __init__(self, state: SchedulerState) -> None:
        """Group the usable endpoints by pool."""
        self.pools: dict[ServiceName, list[Endpoint]] = defaultdict(list)
        for endpoint in state.endpoints.values():
            if usable(state, endpoint):
                self.pools[endpoint.report.service].append(endpoint)
        self.full: set[tuple[ServiceName, Resources, str]] = set()
        self.capped: set[object] = set()


def start_waiting(state: SchedulerState) -> list[Effect]:
    """Place the tasks of waiting steps in the order of their ranks."""
    effects: list[Effect] = []
    capacity = PlanningCapacity(state)
    for ready in ready_steps(state):
        if ready.step.spec.gang:
            effects += _start_gang(state, capacity, ready)
        else:
            effects += _start_tasks(state, capacity, ready)
    return effects


def _start_tasks(
    state: SchedulerState, capacity: PlanningCapacity, ready: ReadyStep
) -> list[Effect]:
    spec = ready.step.spec
    service = ready.job.spec.service
    demand = (service, spec.needs, spec.label)
    if demand in capacity.full and not spec.most_per_endpoint:
        return []
    workspace = ready.job.spec.workspace
    effects: list[Effect] = []
    pool = capacity.pools.get(service, [])
    pool, requests = _restrict_to_advised(state, ready, pool)
    effects += requests
    endpoint: Endpoint | None = None
    for task in ready.tasks:
        if not within_limit(state, workspace, spec.quota_request):
            break
        # The chosen endpoint, the fullest that fits, has become fuller and so remains
        # the best while it still fits.
        if endpoint is None or spec.lasting or not _suits_next_task(task, endpoint):
            endpoint = _choose_endpoint(task, ready, pool)
        if endpoint is None:
            if not requests:
                capacity.full.add(demand)
            effects += _log_unplaceable(state, ready)
            break
        effects += place_task(
            state, task, endpoint, _decision_fields(state, endpoint, pool, ready)
        )
    return effects


def _decision_fields(
    state: SchedulerState, endpoint: Endpoint, pool: list[Endpoint], ready: ReadyStep
) -> dict[str, object]:
    """Return the inputs of a placement decision as fields of its log line."""
    return {
        "over": len(pool),
        "free_cpu": endpoint.free().cpu,
        "look_age_ms": round((state.now - endpoint.clock_read_at) * 1000),
        "slack_ms": round(ready.rank[-1]),
    }


def _choose_endpoint(
    task: Task, ready: ReadyStep, pool: list[Endpoint]
) -> Endpoint | None:
    if task.spec.lasting:
        # Lasting tasks are packed onto few endpoints, so that the others can be lent.
        lasting_endpoints = [
            e for e in pool if any(t.spec.lasting for t in e.tasks.values())
        ]
        found = (
            _best_endpoint(task, ready, lasting_endpoints)
            if len(lasting_endpoints) >= MIN_LASTING_ENDPOINTS
            else None
        )
        if found is not None:
            return found
    return _best_endpoint(task, ready, pool)


def _best_endpoint(
    task: Task, ready: ReadyStep, pool: list[Endpoint]
) -> Endpoint | None:
    best: Endpoint | None = None
    best_cost: tuple[float, ...] = ()
    for endpoint in pool:
        if not _admits(task, endpoint):
            continue
        cost = _cost(task, ready, endpoint)
        if best is None or cost < best_cost:
            best, best_cost = endpoint, cost
    return best


def _admits(task: Task, endpoint: Endpoint) -> bool:
    """Return whether an endpoint has the capacity for a task and may run it."""
    spec = task.spec
    if not spec.needs.fits(endpoint.free()):
        return False
    if endpoint.fault_score >= EJECTION_FAULT_SCORE and endpoint.tasks:
        # On probation after an ejection, an endpoint gets one task at a time.
        return False
    if spec.label and spec.label not in endpoint.report.labels:
        return False
    most = spec.most_per_endpoint
    return not most or _step_tasks_on(endpoint, task) < most


def _suits_next_task(task: Task, endpoint: Endpoint) -> bool:
    """Return whether the last endpoint chosen in a step also suits its next task."""
    return task.avoid_endpoint != endpoint.id and _admits(task, endpoint)


def _step_tasks_on(endpoint: Endpoint, task: Task) -> int:
    return sum(key[:3] == task.key[:3] for key in endpoint.tasks)


def _step_tasks_in_rack(ready: ReadyStep, endpoint: Endpoint) -> int:
    """Return how many tasks of a step are placed in an endpoint's rack."""
    return sum(task.placed and task.rack == endpoint.rack for task in ready.step.tasks)


def _cost(task: Task, ready: ReadyStep, endpoint: Endpoint) -> tuple[float, ...]:
    """Return the cost of placing a task on an endpoint; lower is better."""
    spec = task.spec
    remote = bool(spec.rack) and endpoint.rack != spec.rack
    if spec.one_rack and not remote:
        racks = {t.endpoint for t in ready.step.tasks if t.placed}
        remote = bool(racks) and endpoint.id not in racks
    avoided = endpoint.id == task.avoid_endpoint
    capacity = max(1, endpoint.report.capacity.cpu)
    colocated = 0.0
    if spec.lasting and not spec.one_rack:
        # Spread a step, so that the loss of an endpoint or rack doesn't end all of it.
        colocated = (
            _step_tasks_on(endpoint, task) + _step_tasks_in_rack(ready, endpoint) / 2
        )
    # Fullest endpoints first (bin packing): empty ones can be lent to another pool.
    load = -endpoint.used.cpu / capacity
    return (float(avoided), float(remote), colocated, endpoint.fault_score, load)


def _start_gang(
    state: SchedulerState, capacity: PlanningCapacity, ready: ReadyStep
) -> list[Effect]:
    """Place all members of a gang under one run number, or none."""
    spec = ready.step.spec
    pool, effects = _restrict_to_advised(
        state, ready, capacity.pools.get(ready.job.spec.service, [])
    )
    each = spec.quota_request
    total = Resources(*(amount * len(ready.tasks) for amount in each))
    if not within_limit(state, ready.job.spec.workspace, total):
        return effects
    chosen = _gang_endpoints(ready, pool)
    if chosen is None:
        return [*effects, *_log_unplaceable(state, ready)]
    run = max(task.run for task in ready.step.tasks)
    checkpoint = max((task.checkpoint for task in ready.step.tasks), default="")
    for task, endpoint in zip(ready.tasks, chosen, strict=True):
        task.run = run
        task.checkpoint = checkpoint
        inputs = _decision_fields(state, endpoint, pool, ready)
        effects += place_task(state, task, endpoint, inputs)
    return effects


def _gang_endpoints(ready: ReadyStep, pool: list[Endpoint]) -> list[Endpoint] | None:
    """Return an endpoint for each member, in one rack if it is preferred and possible.

    :returns: ``None`` if not all members fit
    """
    spec = ready.step.spec
    racks: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in pool:
        if not spec.label or spec.label in endpoint.report.labels:
            racks[endpoint.rack].append(endpoint)
    groups = list(racks.values()) if spec.one_rack or spec.rack else []
    groups.sort(key=lambda group: group[0].rack != spec.rack)
    for group in [*groups, [e for g in racks.values() for e in g]]:
        chosen = _fit_gang(ready, group)
        if chosen is not None:
            return chosen
    return None


def _fit_gang(ready: ReadyStep, group: list[Endpoint]) -> list[Endpoint] | None:
    spec = ready.step.spec
    left = {endpoint.id: endpoint.free() for endpoint in group}
    count: dict[str, int] = defaultdict(int)
    chosen = []
    for _ in ready.tasks:
        fitting = [
            endpoint
            for endpoint in group
            if spec.needs.fits(left[endpoint.id])
            and not 0 < spec.most_per_endpoint <= count[endpoint.id]
        ]
        if not fitting:
            return None
        best = max(fitting, key=lambda endpoint: left[endpoint.id].cpu)
        left[best.id] = left[best.id].subtract(spec.needs)
        count[best.id] += 1
        chosen.append(best)
    return chosen


def _restrict_to_advised(
    state: SchedulerState, ready: ReadyStep, pool: list[Endpoint]
) -> tuple[list[Endpoint], list[Effect]]:
    """Restrict a pool to endpoints with a valid ticket, if its queue requires them.

    :returns: the endpoints, and a request for more advice if they are too few
    """
    queue = state.cfg.queues.get(ready.job.spec.queue)
    if queue is None or queue.advice is None:
        return pool, []
    first = ready.tasks[0].key
    step: tuple[JobId, int, int] = first[:3]
    tickets = state.tickets.get(step, {})
    limit = state.now + TICKET_MARGIN_S
    allowed = [
        endpoint
        for endpoint in pool
        if endpoint.id in tickets and tickets[endpoint.id].valid_until > limit
    ]
    fitting = sum(_count_fitting(ready, endpoint) for endpoint in allowed)
    if fitting >= len(ready.tasks) or step in state.advice_pending:
        return allowed, []
    already_requested = state.advice_requested.setdefault(step, set())
    expired = [e for e in pool if e.id in tickets and e not in allowed]
    fresh = [
        e
        for e in pool
        if e.id not in already_requested and ready.step.spec.needs.fits(e.free())
    ]
    fresh.sort(key=lambda endpoint: _cost(ready.tasks[0], ready, endpoint))
    requested = [*expired, *fresh][:MAX_ADVICE_ENDPOINTS]
    if not requested:
        return allowed, []
    state.advice_pending.add(step)
    ids = tuple(endpoint.id for endpoint in requested)
    return allowed, [RequestAdvice(step, ids, queue.advice.validity_ms / 1000)]


def _count_fitting(ready: ReadyStep, endpoint: Endpoint) -> int:
    needs, free = ready.step.spec.needs, endpoint.free()
    counts = [have // need for need, have in zip(needs, free, strict=True) if need > 0]
    most = ready.step.spec.most_per_endpoint or len(ready.tasks)
    return min([most, *counts])


def _log_unplaceable(state: SchedulerState, ready: ReadyStep) -> list[Effect]:
    """Log once per job that a task fits no endpoint of its pool, even an empty one."""
    job, spec = ready.job, ready.step.spec
    if job.unplaceable:
        return []
    pool = [
        endpoint
        for endpoint in state.endpoints.values()
        if endpoint.report.service == job.spec.service
    ]
    if not pool or any(
        spec.needs.fits(endpoint.report.capacity)
        and (not spec.label or spec.label in endpoint.report.labels)
        for endpoint in pool
    ):
        return []
    job.unplaceable = True
    fields = {"job": job.spec.job, "step": ready.number, "label": spec.label}
    return [WriteLog(JOB_UNPLACEABLE, {**fields, "needs": list(spec.needs)})]
