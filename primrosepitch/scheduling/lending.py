"""Moves instances between pools, and into the spare pool, where they are switched off.

Demand comes in bursts, at different times for each queue: for some seconds several
times its mean, more than its pool can handle, and almost none in between. Idle
instances of one pool are lent to another; those that no pool needs are switched off.
"""

from __future__ import annotations

import math
import sys
from collections import Counter, defaultdict

import msgspec

from primrosepitch.events import INSTANCE_MOVING, MOVE_ANSWERED, POOLS_REPORTED
from primrosepitch.jobs.model import Resources, ServiceName
from primrosepitch.scheduling.effects import (
    Effect,
    WriteLog,
)
from primrosepitch.scheduling.evacuation import (
    idle_evacuated,
    is_evacuated,
    is_instance_evacuated,
)
from primrosepitch.scheduling.events import (
    InstanceState,
    InstanceView,
    MoveAnswered,
    Outcome,
)
from primrosepitch.scheduling.forecast import (
    expected_cpu,
    log_forecasts,
)
from primrosepitch.scheduling.instance_orders import (
    JOIN_SLACK_S,
    LENDING_REASON,
    leaves_uncertain,
    list_instances,
    may_order_instances,
    move_order,
)
from primrosepitch.scheduling.leases import unreachable_zones, usable
from primrosepitch.scheduling.limits import count_startable
from primrosepitch.scheduling.ordering import PriorityClass
from primrosepitch.scheduling.state import (
    SMALL_JOB_COUNT,
    Endpoint,
    InstanceMove,
    PlannedOrder,
    ReadyStep,
    SchedulerState,
)

__all__ = ["lend_instances", "move_answered"]

LENDING_INTERVAL_S = 0.1
"""Interval between decisions on moves; a move takes fifteen times as long."""

TAKEOVER_SETTLE_S = 0.5
"""Minimum time after a takeover in which no moves are ordered."""

LENDING_INTERVAL_PER_JOB_S = 0.0005
"""Added to ``LENDING_INTERVAL_S`` for each open job beyond ``SMALL_JOB_COUNT``, as each
decision sums the waiting work of all jobs."""

POOL_LOG_INTERVAL_S = 1.0
"""Interval between log lines on the state of all pools."""

LIST_INTERVAL_S = 3.0
"""Interval between listings of the instances; the scheduler's own moves are known
without them."""

IDLE_RELEASE_S = 1.5
"""Idle time after which a surplus instance is switched off: moving it to the spare pool
and back costs as much as keeping it for about 2 s."""

MIN_ENDPOINTS = 2
"""Minimum number of endpoints in a pool: one may be lost, and the first jobs of a burst
can't wait for a move."""

DEMAND_HEADROOM_FACTOR = 1.15
"""Factor on a pool's demand, since tasks don't fill endpoints exactly."""

WAITING_WORK_FRACTION = 0.7
"""Fraction of the waiting work that counts as demand while it can still meet its
objective: the rest can start when running work ends."""

LATE_WORK_FRACTION = 0.25
"""Fraction of the waiting work that counts as demand once it is late: its value hardly
exceeds the cost of the capacity."""

AHEAD_SLACK_S = 0.3
"""Time beyond the duration of a move by which instances are lent ahead of a turn: for
the order to become durable and the endpoint to report."""

MOVE_SLACK_S = 0.2
"""Time beyond the duration of a move after which an instance can be ordered again."""


class Pool(msgspec.Struct):
    """Demand and supply of a pool, in endpoints.

    :param need: endpoints that the pool needs
    :param ahead: endpoints that it needs for a turn that is expected to begin
    :param incoming: instances that are being moved into the pool
    :param endpoints: usable endpoints of the pool
    """

    service: ServiceName
    need: int
    incoming: int
    endpoints: list[Endpoint]
    ahead: int = 0

    @property
    def missing(self) -> int:
        """Return how many endpoints the pool lacks; negative for a surplus."""
        return self.need - self.incoming - len(self.endpoints)

    @property
    def missing_ahead(self) -> int:
        """Return how many endpoints it lacks, including those for an expected turn."""
        return max(self.need, self.ahead) - self.incoming - len(self.endpoints)


def lend_instances(state: SchedulerState, waiting: list[ReadyStep]) -> list[Effect]:
    """Order moves of instances to the pools that need them.

    :param waiting: steps that the planning pass has left waiting, by rank
    """
    spare = state.cfg.spare_pool()
    interval_s = (
        LENDING_INTERVAL_S
        + max(0, len(state.jobs) - SMALL_JOB_COUNT) * LENDING_INTERVAL_PER_JOB_S
    )
    if spare is None or not may_order_instances(state, TAKEOVER_SETTLE_S):
        return []
    if state.now - state.last_lending_at < interval_s:
        return []
    state.last_lending_at = state.now
    effects: list[Effect] = []
    if state.now - state.listed_at >= LIST_INTERVAL_S:
        effects += list_instances(state)
    if state.listed_at < state.term_started_at:
        return effects
    _drop_finished_moves(state, spare)
    effects += _repeat_moves(state)
    pools = _evaluate_pools(state, waiting)
    idle = _surplus_endpoints(state, pools)
    switched_off = _switched_off(state, spare)
    effects += _log_pools(state, pools, idle, switched_off)
    for pool in sorted(pools.values(), key=lambda p: -p.missing):
        effects += _fill_pool(state, pool, pool.missing, pools, idle, switched_off)
    # What pools need now goes first.
    for pool in pools.values():
        lacks = pool.missing_ahead
        effects += _fill_pool(state, pool, lacks, pools, idle, switched_off)
    effects += log_forecasts(state)
    return [*effects, *_switch_off_surplus(state, pools, idle, spare)]


def _log_pools(
    state: SchedulerState,
    pools: dict[ServiceName, Pool],
    idle: dict[ServiceName, list[Endpoint]],
    switched_off: list[InstanceView],
) -> list[Effect]:
    if state.now - state.pools_logged_at < POOL_LOG_INTERVAL_S:
        return []
    state.pools_logged_at = state.now
    rows = {}
    for name, pool in pools.items():
        known = [e for e in state.endpoints.values() if e.report.service == name]
        rows[name] = {
            "need": pool.need,
            "usable": len(pool.endpoints),
            "coming": pool.incoming,
            "known": len(known),
            "idle": len(idle[name]),
            "emptied": sum(bool(e.evacuation_reason) for e in known),
        }
    states = Counter(view.state.value for view in state.instances.values())
    fields = {"pools": rows, "off": len(switched_off), "instances": dict(states)}
    age_s = round(state.now - state.listed_at, 1)
    return [WriteLog(POOLS_REPORTED, {**fields, "list_age_s": age_s})]


def _drop_finished_moves(state: SchedulerState, spare: ServiceName) -> None:
    """Forget the moves that have ended.

    No endpoint joins the spare pool, so the end of such a move is computed. Otherwise
    an instance could be lent again only after the next listing, seconds later.
    """
    joined = {
        e.report.instance: e.report.service
        for e in state.endpoints.values()
        if e.listed and not e.evacuation_reason
    }
    for instance, move in list(state.moves.items()):
        expired = state.now > move.expected_by and not move.uncertain
        if move.pool == spare and state.now >= move.ends_at:
            state.set_instance_state(instance, InstanceState.UP)
            expired = True
        if joined.get(instance) == move.pool or expired:
            del state.moves[instance]
    for endpoint in state.endpoints.values():
        lent = endpoint.evacuation_reason == LENDING_REASON
        if lent and endpoint.listed and endpoint.report.instance not in state.moves:
            # An endpoint that its move has not ended is used again if it answers.
            endpoint.evacuation_reason = ""
            endpoint.reachable = False
            endpoint.next_poll_at = state.now


def _repeat_moves(state: SchedulerState) -> list[Effect]:
    """Repeat the orders that were not answered."""
    effects: list[Effect] = []
    for instance, move in state.moves.items():
        if move.repeat:
            move.repeat = False
            effects.append(move_order(state, instance, move.pool))
    return effects


def _evaluate_pools(
    state: SchedulerState, waiting: list[ReadyStep]
) -> dict[ServiceName, Pool]:
    startable = count_startable(state, waiting)
    demand = _current_demand(state, startable)
    for_waiting = _endpoints_for_waiting(state, startable)
    largest = max((v.capacity.cpu for v in state.instances.values()), default=0)
    state.turns.advance(state.now)
    lead_s = state.limits.migration_s + AHEAD_SLACK_S
    ahead = state.turns.demand_ahead(state.now, lead_s)
    spread = _min_endpoints(state)
    pools = {}
    for service in state.cfg.services.values():
        if service.spare:
            continue
        endpoints = [
            endpoint
            for endpoint in state.endpoints.values()
            if endpoint.report.service == service.name and usable(state, endpoint)
        ]
        size = max((e.report.capacity.cpu for e in endpoints), default=largest)
        cores = demand.get(service.name, 0.0) * DEMAND_HEADROOM_FACTOR
        need = math.ceil(cores / size) if size else 1
        with_lasting = sum(endpoint.has_lasting for endpoint in endpoints)
        need = max(
            need,
            with_lasting + math.ceil(for_waiting[service.name]),
            spread.get(service.name, 1),
            MIN_ENDPOINTS,
        )
        incoming = sum(
            move.pool == service.name and not is_instance_evacuated(state, instance)
            for instance, move in state.moves.items()
        )
        pool = Pool(service.name, need, incoming, endpoints)
        if service.name in ahead:
            lasting = _lasting_cpu(endpoints)
            cores = (ahead[service.name] + lasting) * DEMAND_HEADROOM_FACTOR
            pool.ahead = math.ceil(cores / size) if size else 0
        pools[service.name] = pool
    return pools


def _lasting_cpu(endpoints: list[Endpoint]) -> float:
    """Return the processor capacity of lasting tasks, in thousandths of a core."""
    return sum(
        task.spec.needs.cpu
        for endpoint in endpoints
        for task in endpoint.tasks.values()
        if task.spec.lasting
    )


def _current_demand(
    state: SchedulerState, startable: list[tuple[ReadyStep, int]]
) -> dict[ServiceName, float]:
    """Return the processor capacity that each pool could use, in thousandths of a core.

    Waiting work is added to the arrival rate: a pool that only keeps up with the
    arrivals of a burst never clears the backlog from before its instances joined.
    Arriving work needs capacity besides that of the lasting tasks. Work that its
    workspace's upper limit keeps waiting needs none.

    :param startable: waiting steps, and how many tasks of each may start
    """
    demand: dict[ServiceName, float] = defaultdict(float)
    lasting: dict[ServiceName, float] = defaultdict(float)
    for endpoint in state.endpoints.values():
        if is_evacuated(state, endpoint):
            # What runs there needs no capacity elsewhere until it ends.
            continue
        service = endpoint.report.service
        demand[service] += endpoint.used.cpu
        lasting[service] += sum(
            t.spec.needs.cpu for t in endpoint.tasks.values() if t.spec.lasting
        )
    for service in state.arrival_rates:
        arriving = lasting[service] + expected_cpu(state, service)
        demand[service] = max(demand[service], arriving)
    for ready, tasks in startable:
        waiting = tasks * ready.step.spec.needs.cpu
        in_time = ready.rank[0] <= PriorityClass.IN_TIME
        fraction = WAITING_WORK_FRACTION if in_time else LATE_WORK_FRACTION
        demand[ready.job.spec.service] += waiting * fraction
    return demand


def _endpoints_for_waiting(
    state: SchedulerState, startable: list[tuple[ReadyStep, int]]
) -> dict[ServiceName, float]:
    """Return how many empty endpoints the waiting lasting tasks of each pool fill.

    The planning pass before has found no room for them, be it processor time or memory,
    and no running work ends that would make any.

    :param startable: waiting steps, and how many tasks of each may start
    """
    found: dict[ServiceName, float] = defaultdict(float)
    most_fitting: dict[tuple[Resources, str, int], int] = {}
    for ready, tasks in startable:
        spec, service = ready.step.spec, ready.job.spec.service
        if not spec.lasting or ready.key in state.advice_pending:
            continue
        if found[service] >= len(state.instances):
            # It takes all that there are.
            continue
        # Tasks of other steps may take the rest of an endpoint.
        most = spec.most_per_endpoint or sys.maxsize
        alike = (spec.needs, spec.label, most)
        if alike not in most_fitting:
            most_fitting[alike] = max(
                (
                    view.capacity.count_fitting(spec.needs, most)
                    for view in state.instances.values()
                    if not spec.label or spec.label in view.labels
                ),
                default=0,
            )
        if most_fitting[alike] > 0:
            found[service] += tasks / most_fitting[alike]
    return found


def _min_endpoints(state: SchedulerState) -> dict[ServiceName, int]:
    """Return the number of endpoints over which lasting steps must be spread."""
    found: dict[ServiceName, int] = {}
    for job in state.jobs.values():
        if job.lasting and not job.cancelled:
            service = job.spec.service
            found[service] = max(job.min_endpoints, found.get(service, 1))
    return found


def _surplus_endpoints(
    state: SchedulerState, pools: dict[ServiceName, Pool]
) -> dict[ServiceName, list[Endpoint]]:
    """Return the idle surplus endpoints of each pool, longest idle first."""
    idle = {}
    for pool in pools.values():
        free = [
            e for e in pool.endpoints if not e.tasks and _movable_instance(state, e)
        ]
        free.sort(key=lambda endpoint: endpoint.idle_since)
        idle[pool.service] = free[: max(0, -pool.missing_ahead)]
    return idle


def _switched_off(state: SchedulerState, spare: ServiceName) -> list[InstanceView]:
    selected = set().union(*(w.selected | w.ordered for w in state.waves.values()), ())
    due = set().union(*(set(w.spec.instances) - w.begun for w in state.waves.values()))
    closed = unreachable_zones(state).union(state.evacuated)
    views = [
        view
        for view in state.instances.values()
        if view.pool == spare
        and view.state is InstanceState.UP
        and view.instance not in state.moves
        and view.instance not in selected
        and view.zone not in closed
        and not _in_use(state, view.instance)
    ]
    # The list is consumed from its end: instances that are due for maintenance are lent
    # last, since they can be maintained while they are switched off.
    return sorted(views, key=lambda view: view.instance not in due)


def _in_use(state: SchedulerState, instance: str) -> bool:
    """Return whether an instance has an endpoint with tasks, even if listed as off."""
    endpoint = state.endpoint_on(instance)
    return endpoint is not None and bool(endpoint.tasks)


def _movable_instance(state: SchedulerState, endpoint: Endpoint) -> str:
    """Return the endpoint's instance if it can be moved, or else an empty string."""
    instance = endpoint.report.instance
    view = state.instances.get(instance)
    if view is None or instance in state.moves:
        return ""
    in_maintenance = any(
        instance in w.spec.instances and instance in (w.selected | w.ordered)
        for w in state.waves.values()
    )
    return "" if in_maintenance else instance


def _fill_pool(
    state: SchedulerState,
    pool: Pool,
    count: int,
    pools: dict[ServiceName, Pool],
    idle: dict[ServiceName, list[Endpoint]],
    switched_off: list[InstanceView],
) -> list[Effect]:
    """Move up to a number of idle and switched-off instances to a pool."""
    effects: list[Effect] = []
    for _ in range(max(0, count)):
        lender = max(idle, key=lambda service: len(idle[service]))
        if idle[lender]:
            endpoint = idle[lender].pop(0)
            pools[lender].endpoints.remove(endpoint)
            effects += _move(state, endpoint.report.instance, pool, endpoint)
        elif switched_off:
            effects += _move(state, switched_off.pop().instance, pool, None)
        else:
            break
    return effects


def _move(
    state: SchedulerState, instance: str, pool: Pool, endpoint: Endpoint | None
) -> list[Effect]:
    if (instance, pool.service) in state.immovable:
        return []
    if endpoint is not None:
        endpoint.evacuation_reason = LENDING_REASON
    pool.incoming += 1
    expected_by = state.now + state.limits.migration_s + JOIN_SLACK_S
    state.moves[instance] = InstanceMove(pool.service, expected_by)
    fields = {
        "instance": instance,
        "pool": pool.service,
        "need": pool.need,
        "have": len(pool.endpoints),
        "coming": pool.incoming,
        "from": endpoint.report.service if endpoint is not None else "",
    }
    state.planned_orders.append(PlannedOrder(instance))
    return [WriteLog(INSTANCE_MOVING, fields)]


def _switch_off_surplus(
    state: SchedulerState,
    pools: dict[ServiceName, Pool],
    idle: dict[ServiceName, list[Endpoint]],
    spare: ServiceName,
) -> list[Effect]:
    """Switch off surplus instances that have been idle for ``IDLE_RELEASE_S``."""
    effects: list[Effect] = []
    target = Pool(spare, 0, 0, [])
    for service, endpoints in idle.items():
        for endpoint in endpoints:
            if state.now - endpoint.idle_since < IDLE_RELEASE_S:
                continue
            pools[service].endpoints.remove(endpoint)
            effects += _move(state, endpoint.report.instance, target, endpoint)
    for endpoint in idle_evacuated(state, IDLE_RELEASE_S):
        if _movable_instance(state, endpoint):
            effects += _move(state, endpoint.report.instance, target, endpoint)
    return effects


def move_answered(state: SchedulerState, event: MoveAnswered) -> list[Effect]:
    """Handle the answer to an order to move an instance."""
    fields = {
        "instance": event.instance,
        "pool": event.pool,
        "outcome": event.outcome.value,
    }
    effects: list[Effect] = [WriteLog(MOVE_ANSWERED, fields)]
    move = state.moves.get(event.instance)
    if move is not None and leaves_uncertain(event.outcome, move.uncertain):
        move.uncertain = move.repeat = True
        return effects
    if move is not None:
        move.uncertain = False
    if event.outcome is Outcome.DONE:
        state.set_instance_state(event.instance, InstanceState.MOVING, event.pool)
        if move is not None:
            move.ends_at = event.now + state.limits.migration_s + MOVE_SLACK_S
        return effects
    state.moves.pop(event.instance, None)
    if event.outcome is Outcome.BUSY:
        # The instance is not considered again until a listing shows it as up.
        state.set_instance_state(event.instance, InstanceState.MOVING)
    if event.outcome is Outcome.REFUSED:
        state.immovable.add((event.instance, event.pool))
    for endpoint in state.endpoints.values():
        if endpoint.report.instance == event.instance and (
            endpoint.evacuation_reason == LENDING_REASON
        ):
            endpoint.evacuation_reason = ""
            state.replan = True
    return effects
