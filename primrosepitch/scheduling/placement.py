"""Chooses the endpoints on which waiting tasks run."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter, defaultdict

from primrosepitch.jobs.model import Resources, ServiceName, StepSpec, WorkspaceName
from primrosepitch.scheduling.crashes import (
    IsolatedTrials,
    is_held,
    needs_isolation,
    starts_with_job,
    trial_cost,
)
from primrosepitch.scheduling.effects import Effect, RequestAdvice
from primrosepitch.scheduling.expansion import waiting_tasks
from primrosepitch.scheduling.leases import usable
from primrosepitch.scheduling.limits import within_limit
from primrosepitch.scheduling.ordering import (
    log_unplaceable,
    next_ready,
    still_waiting,
)
from primrosepitch.scheduling.runs import EJECTION_FAULT_SCORE, place_task
from primrosepitch.scheduling.state import (
    Endpoint,
    Phase,
    PlanningPass,
    ReadyStep,
    SchedulerState,
    Task,
)
from primrosepitch.scheduling.warmth import (
    free_resources,
    is_cold,
    update_warmth,
    waits_for_warm,
    warmth_refusal,
)

__all__ = [
    "StepCandidates",
    "leave_waiting",
    "may_be_advised",
    "requires_advice",
    "start_waiting",
    "usable_pools",
]

MAX_PLACEMENTS = 250
"""Number of placements after which a planning pass is cut short. They take 20 to 40 ms
with hundreds of endpoints."""

MAX_VISITS = 3000
"""Number of steps after which a slice of a planning pass ends. Most of them take no
time, as steps with the same needs were looked at before."""

MAX_WAITING = 2000
"""Number of steps left waiting that a planning pass keeps, in the order of their ranks:
room is made and instances are lent for them."""

TICKET_MARGIN_S = 0.3
"""Minimum remaining validity of a ticket; longer than a start order takes to arrive."""

MAX_ADVICE_REQUESTS = 16
"""Maximum number of requests for advice under way. The service handles one at a time
and rejects what 32 wait before; steps of higher rank shall not wait behind many."""

MAX_ADVICE_ENDPOINTS = 20
"""Maximum number of endpoints in a request for advice; the service takes time for
each."""


MIN_LASTING_ENDPOINTS = 2
"""Minimum number of endpoints over which a pool's lasting tasks are spread, as one may
be lost."""


MIN_STARTS_PER_ENDPOINT = 32
"""Number of starts that may always be under way at one endpoint."""


class PlanningCapacity:
    """Endpoints on which a planning pass may place tasks, by pool.

    ``full`` contains pool, needs and label of tasks that fit on no endpoint, and
    ``full_gangs`` what gangs don't fit. Capacity only shrinks during a pass, so what no
    endpoint has free at its begin is not looked for again.
    """

    def __init__(self, state: SchedulerState) -> None:
        """Group the usable endpoints by pool, but for those that may be lost."""
        self.pools = usable_pools(state)
        _limit_starts(state)
        self.isolated = IsolatedTrials(state, self.pools)
        self.full: set[tuple[ServiceName, Resources, str]] = set()
        self.full_gangs: set[tuple[ServiceName, StepSpec, int]] = set()
        self.capped: set[tuple[WorkspaceName, Resources]] = set()
        self._most_free: dict[ServiceName, Resources] = {}
        self._labels: dict[ServiceName, set[str]] = {}
        self._alike: tuple[object, ...] | None = None
        self._candidates: StepCandidates | None = None

    def offers(self, service: ServiceName, spec: StepSpec) -> bool:
        """Return whether endpoints of a pool may have the room and label for a step.

        Each amount is compared with the most that any endpoint has free.
        """
        most = self._most_free.get(service)
        if most is None:
            pool = self.pools.get(service, [])
            free = [endpoint.free() for endpoint in pool]
            most = Resources(*map(max, zip(*free, strict=True))) if free else _NOTHING
            self._most_free[service] = most
            self._labels[service] = {label for e in pool for label in e.report.labels}
        labelled = not spec.label or spec.label in self._labels[service]
        return labelled and spec.needs.fits(most)

    def record_full(self, demand: tuple[ServiceName, Resources, str]) -> None:
        """Record that tasks with a pool, needs and label fit on no endpoint."""
        self.full.add(demand)
        self._most_free.pop(demand[0], None)

    def candidates(self, ready: ReadyStep, pool: list[Endpoint]) -> StepCandidates:
        """Return the candidates of a step; the last ones if the same endpoints suit it.

        Of many independent steps that are alike, only the first one ranks the pool.
        """
        spec = ready.step.spec
        whole_pool = pool is self.pools.get(ready.job.spec.service)
        own = spec.lasting or spec.one_rack or spec.most_per_endpoint or not whole_pool
        alike = (ready.job.spec.service, spec.needs, spec.label, spec.rack, spec.fills)
        if own or alike != self._alike or self._candidates is None:
            self._candidates = StepCandidates(ready, pool)
            self._alike = None if own else alike
        return self._candidates

    def forget_candidates(self) -> None:
        """Rank endpoints anew, since tasks have been placed on others of them."""
        self._candidates = None


_NOTHING = Resources(-1, -1, -1)
"""Less than any task needs."""


def usable_pools(state: SchedulerState) -> dict[ServiceName, list[Endpoint]]:
    """Return the endpoints on which tasks may be placed now, by pool."""
    pools: dict[ServiceName, list[Endpoint]] = defaultdict(list)
    for endpoint in state.endpoints.values():
        if usable(state, endpoint) and not endpoint.failed_polls:
            pools[endpoint.report.service].append(endpoint)
    return pools


def start_waiting(state: SchedulerState, plan: PlanningPass) -> list[Effect]:
    """Place the tasks of waiting steps in the order of their ranks.

    After ``MAX_PLACEMENTS`` or ``MAX_VISITS`` the pass is cut short. The next one goes
    on after the answers that have arrived meanwhile; polls would time out during a
    longer pass. One that was ranked in several slices goes on where it was cut short.
    """
    effects = update_warmth(state)
    state.pass_cut_short = False
    if not plan.waiting:
        state.passed_over.clear()
    capacity: PlanningCapacity | None = None
    visits = 0
    while len(effects) < MAX_PLACEMENTS and visits < MAX_VISITS:
        ready = next_ready(plan)
        if ready is None:
            return effects
        visits += 1
        capacity = capacity or PlanningCapacity(state)
        if ready.step.spec.gang:
            started = _start_gang(state, capacity, ready)
        else:
            most = MAX_PLACEMENTS - len(effects)
            started = _start_tasks(state, capacity, ready, most)
        effects += started
        waits = still_waiting(ready) if started else ready
        if waits is None:
            continue
        if len(effects) >= MAX_PLACEMENTS:
            # It may have been cut short itself, so it comes before those behind it.
            plan.order = itertools.chain((waits,), plan.order or ())
        elif len(plan.waiting) < MAX_WAITING:
            plan.waiting.append(waits)
    state.pass_cut_short = True
    return effects


def leave_waiting(plan: PlanningPass) -> None:
    """Count the steps of a pass that was cut short as waiting."""
    while len(plan.waiting) < MAX_WAITING:
        ready = next_ready(plan)
        if ready is None:
            return
        plan.waiting.append(ready)


def _limit_starts(state: SchedulerState) -> None:
    """Compute how many starts this pass may decide on, see ``order_window``."""
    for endpoint in state.endpoints.values():
        starting = sum(
            task.phase in (Phase.COMMITTING, Phase.STARTING)
            for task in endpoint.tasks.values()
        )
        limit = endpoint.window.limit(state.now, MIN_STARTS_PER_ENDPOINT)
        endpoint.starts_left = limit - starting


def _start_tasks(
    state: SchedulerState, capacity: PlanningCapacity, ready: ReadyStep, most: int
) -> list[Effect]:
    """Place the tasks of a step, or ``most`` of them."""
    spec = ready.step.spec
    service = ready.job.spec.service
    demand = (service, spec.needs, spec.label)
    isolated = [
        t for t in ready.tasks if t.crashes and (needs_isolation(t) or is_held(t))
    ]
    effects: list[Effect] = []
    if isolated:
        effects += _start_isolated(state, capacity, ready, isolated)
    if len(isolated) == ready.task_count:
        if len(isolated) > sum(task.placed for task in isolated):
            _pass_over(state, ready, "isolation")
        return effects
    if demand in capacity.full:
        _pass_over(state, ready, "pool full")
        return effects
    workspace = ready.job.spec.workspace
    if (workspace, spec.quota_request) in capacity.capped:
        _pass_over(state, ready, "upper limit")
        return effects
    if state.now < ready.step.not_before:
        _pass_over(state, ready, "starts refused")
        return effects
    if not (requires_advice(ready) or capacity.offers(service, spec)):
        capacity.full.add(demand)
        _pass_over(state, ready, "no endpoint")
        return effects + log_unplaceable(state, ready.job)
    whole_pool = capacity.pools.get(service, [])
    pool, requests = _restrict_to_advised(state, ready, whole_pool)
    effects += requests
    candidates = capacity.candidates(ready, pool)
    for task in waiting_tasks(state, ready):
        if task in isolated:
            continue
        if not within_limit(state, workspace, spec.quota_request):
            capacity.capped.add((workspace, spec.quota_request))
            _pass_over(state, ready, "upper limit")
            break
        endpoint = candidates.choose(task)
        if endpoint is None:
            advised = pool is not whole_pool
            _pass_over(state, ready, "advice" if advised else "no endpoint")
            # A step may also wait because of its advice or its most_per_endpoint, which
            # do not concern other steps.
            if not requests and all(_common_refusal(spec, e) for e in whole_pool):
                capacity.record_full(demand)
            effects += log_unplaceable(state, ready.job)
            break
        if waits_for_warm(state, ready, pool, endpoint):
            break
        effects += place_task(
            state, task, endpoint, _decision_fields(state, endpoint, pool, ready)
        )
        candidates.record_placement(endpoint)
        if len(effects) >= most:
            break
    return effects


def _pass_over(state: SchedulerState, ready: ReadyStep, obstacle: str) -> None:
    """Record what keeps a step waiting in this pass, if its waits are logged."""
    if ready.step.spec.lasting or ready.step.spec.fills:
        state.passed_over[ready.key] = obstacle


def _start_isolated(
    state: SchedulerState,
    capacity: PlanningCapacity,
    ready: ReadyStep,
    tasks: list[Task],
) -> list[Effect]:
    """Place tasks that may only start alone on the endpoints reserved for them."""
    reserved = capacity.isolated.reserved(ready.job.spec.service)
    if not reserved:
        return []
    pool, effects = _restrict_to_advised(state, ready, list(reserved))
    candidates = StepCandidates(ready, pool)
    capacity.forget_candidates()
    quota_request = ready.step.spec.quota_request
    for task in tasks:
        endpoint = candidates.choose(task)
        if (
            endpoint is None
            or is_held(task)
            or not capacity.isolated.may_start(task, endpoint)
            or not within_limit(state, ready.job.spec.workspace, quota_request)
        ):
            continue
        inputs = _decision_fields(state, endpoint, pool, ready)
        effects += place_task(state, task, endpoint, inputs)
        candidates.record_placement(endpoint)
        capacity.isolated.record_start(task, endpoint)
        if not starts_with_job(task):
            break
    return effects


def _decision_fields(
    state: SchedulerState, endpoint: Endpoint, pool: list[Endpoint], ready: ReadyStep
) -> dict[str, object]:
    """Return the inputs of a placement decision as fields of its log line."""
    fields: dict[str, object] = {"cold": True} if is_cold(endpoint) else {}
    return fields | {
        "over": len(pool),
        "free_cpu": endpoint.free().cpu,
        "look_age_ms": round((state.now - endpoint.clock_read_at) * 1000),
        "slack_ms": round(ready.rank[-1]),
        "rank": [round(part, 2) for part in ready.rank[:-1]],
    }


class StepCandidates:
    """Endpoints of a pool from which those of a step's waiting tasks are chosen.

    Placing a task changes the costs of its own endpoint only, unless the step is spread
    over racks or kept in one. The endpoints are therefore ranked once for all tasks of
    the step: with hundreds of endpoints, ranking them for each task took up to 0.7 s
    in a planning pass.
    """

    def __init__(self, ready: ReadyStep, pool: list[Endpoint]) -> None:
        """Count the tasks of the step that are placed already."""
        self._spec = ready.step.spec
        self._pool = pool
        placed = [task for task in ready.step.tasks if task.placed]
        self._on_endpoint = Counter(task.endpoint for task in placed)
        self._in_rack = Counter(task.rack for task in placed)
        self._ranked: list[Endpoint] | None = None
        self._with_lasting: list[Endpoint] = []
        if self._spec.lasting:
            self._with_lasting = [e for e in pool if e.has_lasting]

    def choose(self, task: Task) -> Endpoint | None:
        """Return the best endpoint that has the capacity for a task and may run it."""
        if task.crashes:
            return min(
                (endpoint for endpoint in self._pool if self._admits(endpoint)),
                key=lambda e: (*trial_cost(task, e), *self.cost(e)),
                default=None,
            )
        if self._spec.lasting and len(self._with_lasting) >= MIN_LASTING_ENDPOINTS:
            # Lasting tasks are packed onto few endpoints, so that the others can be
            # lent.
            found = self._cheapest(task, self._with_lasting)
            if found is not None:
                return found
        if self._spec.lasting or self._spec.one_rack:
            return self._cheapest(task, self._pool)
        return self._first_ranked(task)

    def record_placement(self, endpoint: Endpoint) -> None:
        """Record that a task of the step has been placed on an endpoint."""
        self._on_endpoint[endpoint.id] += 1
        self._in_rack[endpoint.rack] += 1
        if self._ranked and endpoint is not self._ranked[-1]:
            # A task avoided the first endpoint, which may not be the fullest any more.
            self._ranked = None
        if self._spec.lasting and endpoint not in self._with_lasting:
            self._with_lasting.append(endpoint)

    def cost(self, endpoint: Endpoint) -> tuple[float, ...]:
        """Return the cost of placing a task of the step on an endpoint."""
        spec = self._spec
        remote = bool(spec.rack) and endpoint.rack != spec.rack
        if spec.one_rack and not remote:
            remote = bool(self._in_rack) and endpoint.rack not in self._in_rack
        colocated = 0.0
        if spec.lasting and not spec.one_rack:
            # Spread a step, so that the loss of an endpoint or rack doesn't end all of
            # it.
            in_rack = self._in_rack[endpoint.rack]
            colocated = self._on_endpoint[endpoint.id] + in_rack / 2
        cold = is_cold(endpoint)
        # Fullest endpoints first (bin packing): empty ones can be lent to another pool.
        load = -endpoint.used.cpu / max(1, endpoint.report.capacity.cpu)
        # A lasting task outlasts the time in which an endpoint is cold.
        avoided = float(cold and not spec.lasting)
        return (
            float(endpoint.speed.slow),
            avoided,
            float(remote),
            colocated,
            endpoint.fault_score,
            float(cold),
            load,
        )

    def _cheapest(self, task: Task, endpoints: list[Endpoint]) -> Endpoint | None:
        return min(
            (endpoint for endpoint in endpoints if self._admits(endpoint)),
            key=lambda e: (e.id == task.avoid_endpoint, *self.cost(e)),
            default=None,
        )

    def _first_ranked(self, task: Task) -> Endpoint | None:
        if self._ranked is None:
            self._ranked = [e for e in self._pool if self._admits(e)]
            self._ranked.sort(key=self.cost, reverse=True)
        ranked = self._ranked
        while ranked and not self._admits(ranked[-1]):
            ranked.pop()
        for endpoint in reversed(ranked):
            if endpoint.id != task.avoid_endpoint and self._admits(endpoint):
                return endpoint
        return ranked[-1] if ranked else None

    def _admits(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has the capacity for a task and may run it."""
        return not self.refusal(endpoint)

    def refusal(self, endpoint: Endpoint) -> str:
        """Return why an endpoint may not run a task, or an empty string."""
        return _common_refusal(self._spec, endpoint) or self._own_refusal(endpoint)

    def condition_refusal(self, endpoint: Endpoint) -> str:
        """Return why the condition of an endpoint or its labels exclude it."""
        return _condition_refusal(self._spec, endpoint)

    def admitted(self, endpoint: Endpoint, waiting: int) -> int:
        """Return how many of the waiting tasks an endpoint may run if it has room."""
        if self.condition_refusal(endpoint):
            return 0
        most = self._spec.most_per_endpoint or waiting
        return max(0, min(waiting, most - self._on_endpoint[endpoint.id]))

    def _own_refusal(self, endpoint: Endpoint) -> str:
        """Return why an endpoint refuses tasks of this step only."""
        most = self._spec.most_per_endpoint
        over_most = 0 < most <= self._on_endpoint[endpoint.id]
        return "most per endpoint" if over_most else ""


def _common_refusal(spec: StepSpec, endpoint: Endpoint) -> str:
    """Return why an endpoint refuses all tasks with a step's needs and label."""
    if not endpoint.has_room(spec.needs):
        return "no room"
    if spec.fills and endpoint.room_kept:
        # Tasks that yielded would take the room again, a part at a time.
        return "room kept"
    if endpoint.starts_left <= 0:
        return "orders waiting"
    return _condition_refusal(spec, endpoint)


def _condition_refusal(spec: StepSpec, endpoint: Endpoint) -> str:
    """Return why an endpoint refuses tasks because of its condition or its labels."""
    if endpoint.fault_score >= EJECTION_FAULT_SCORE and any(
        not task.started_at or task.started_at > endpoint.last_fault_at
        for task in endpoint.tasks.values()
    ):
        # After its newest failure, an endpoint gets one task at a time.
        return "on probation"
    if (
        not spec.lasting
        and endpoint.speed.slow
        and not all(
            task.spec.lasting or task.spec.fills for task in endpoint.tasks.values()
        )
    ):
        # One task at a time shows whether the endpoint is still slow.
        return "slow"
    if spec.label and spec.label not in endpoint.report.labels:
        return "no label"
    return warmth_refusal(endpoint, spec.needs)


def _start_gang(
    state: SchedulerState, capacity: PlanningCapacity, ready: ReadyStep
) -> list[Effect]:
    """Place all members of a gang under one run number, or none."""
    spec = ready.step.spec
    service = ready.job.spec.service
    if state.now < ready.step.not_before:
        _pass_over(state, ready, "starts refused")
        return []
    if not (requires_advice(ready) or capacity.offers(service, spec)):
        _pass_over(state, ready, "no endpoint")
        return log_unplaceable(state, ready.job)
    demand = (service, spec, ready.task_count)
    if demand in capacity.full_gangs:
        _pass_over(state, ready, "no endpoint")
        return []
    whole_pool = capacity.pools.get(service, [])
    pool, effects = _restrict_to_advised(state, ready, whole_pool)
    each = spec.quota_request
    total = Resources(*(amount * ready.task_count for amount in each))
    if not within_limit(state, ready.job.spec.workspace, total):
        _pass_over(state, ready, "upper limit")
        return effects
    chosen = _gang_endpoints(ready, pool)
    if chosen is None:
        advised = pool is not whole_pool
        _pass_over(state, ready, "advice" if advised else "no endpoint")
        if not advised:
            capacity.full_gangs.add(demand)
        return [*effects, *log_unplaceable(state, ready.job)]
    capacity.forget_candidates()
    tasks = [*waiting_tasks(state, ready)]
    run = max(task.run for task in ready.step.tasks)
    checkpoint = max((task.checkpoint for task in ready.step.tasks), default="")
    for task, endpoint in zip(tasks, chosen, strict=True):
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
    members = ready.task_count
    most = spec.most_per_endpoint or members
    left = [free_resources(endpoint) for endpoint in group]
    fitting = [
        free.count_fitting(spec.needs, most) if spec.needs.fits(free) else 0
        for free in left
    ]
    if sum(fitting) < members:
        return None
    # Each member takes the endpoint with the most processor time left.
    by_cpu = [(-free.cpu, i) for i, free in enumerate(left) if fitting[i]]
    heapq.heapify(by_cpu)
    chosen = []
    for _ in range(members):
        negative_cpu, i = heapq.heappop(by_cpu)
        chosen.append(group[i])
        fitting[i] -= 1
        if fitting[i]:
            heapq.heappush(by_cpu, (negative_cpu + spec.needs.cpu, i))
    return chosen


def _restrict_to_advised(
    state: SchedulerState, ready: ReadyStep, pool: list[Endpoint]
) -> tuple[list[Endpoint], list[Effect]]:
    """Restrict a pool to endpoints with a valid ticket, if its queue requires them.

    :returns: the endpoints, and a request for more advice if they are too few
    """
    advice = ready.job.advice
    if advice is None:
        return pool, []
    step = ready.key
    tickets = state.tickets.get(step, {})
    limit = state.now + TICKET_MARGIN_S
    allowed = [
        endpoint
        for endpoint in pool
        if endpoint.id in tickets and tickets[endpoint.id].valid_until > limit
    ]
    fitting = sum(_count_fitting(ready, endpoint) for endpoint in allowed)
    if fitting >= ready.task_count or step in state.advice_pending:
        return allowed, []
    if len(state.advice_pending) >= MAX_ADVICE_REQUESTS:
        return allowed, []
    already_requested = state.advice_requested.setdefault(step, set())
    expired = [e for e in pool if e.id in tickets and e not in allowed]
    fresh = [
        e
        for e in pool
        if e.id not in already_requested and e.has_room(ready.step.spec.needs)
    ]
    fresh.sort(key=StepCandidates(ready, pool).cost)
    requested = [*expired, *fresh][:MAX_ADVICE_ENDPOINTS]
    if not requested:
        return allowed, []
    state.advice_pending.add(step)
    ids = tuple(endpoint.id for endpoint in requested)
    return allowed, [RequestAdvice(step, ids, advice.validity_ms / 1000)]


def requires_advice(ready: ReadyStep) -> bool:
    """Return whether a step runs only where the advice of its queue allows it."""
    return ready.job.advice is not None


def may_be_advised(state: SchedulerState, ready: ReadyStep, endpoint: Endpoint) -> bool:
    """Return whether a step has a ticket for an endpoint or may still get one.

    While requests for advice remain unanswered, only tickets count.
    """
    if not requires_advice(ready):
        return True
    if endpoint.id in state.tickets.get(ready.key, {}):
        return True
    if ready.key in state.advice_failed:
        return False
    return endpoint.id not in state.advice_requested.get(ready.key, set())


def _count_fitting(ready: ReadyStep, endpoint: Endpoint) -> int:
    spec = ready.step.spec
    most = spec.most_per_endpoint or ready.task_count
    return endpoint.free().count_fitting(spec.needs, most)
