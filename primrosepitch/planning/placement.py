"""Placement of tasks on workers, within the units that the planner's session holds."""

from __future__ import annotations

import logging
from collections import Counter
from typing import NamedTuple

from primrosepitch.config.model import PUBLIC_TEAM
from primrosepitch.events import event
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.counts import limit_key
from primrosepitch.fleet.state import Phase
from primrosepitch.ids import CountKey, DcId, InstanceId, RecordId, TeamId
from primrosepitch.planning import lease
from primrosepitch.planning.effects import (
    ChangeTask,
    Effect,
    ListTasks,
    StartTask,
)
from primrosepitch.planning.events import (
    Size,
    TaskAction,
)
from primrosepitch.planning.policies import POLICIES, Worker
from primrosepitch.planning.sessions import TASK_LEASE_S
from primrosepitch.planning.state import (
    PlannerState,
    Task,
    TaskState,
    append_once,
    log_line,
)
from primrosepitch.planning.tasks import MAX_FAILED_STARTS

__all__ = ["occupied_instances", "on_tick", "task_report_fresh", "urgent_task_waiting"]

TASK_LIST_INTERVAL_S = 1.0
"""Interval of task reports while a task starts or ends or an urgent one waits."""

IDLE_TASK_LIST_INTERVAL_S = 5.0
"""Interval of task reports otherwise."""

TASK_RENEWAL_INTERVAL_S = 5.0
"""Interval at which the lease of a running task is renewed."""

END_COMMAND_INTERVAL_S = 0.5
"""Interval of commands to a task that has to end.

Urgent tasks have to start within 2.3 s, so a task that is preempted for one is stopped
if its first checkpoint command is not answered in this time.
"""

CHECKPOINT_TIMEOUT_S = 15.0
"""Seconds allowed for a checkpoint when no urgent task waits for the room."""

ROOM_RESERVATION_S = 1.0
"""Seconds for which a worker is reserved for the urgent task that preempted others.

Otherwise the preempted tasks would be placed there again, one by one.
"""

WORKERS_PER_AVOIDED = 4
"""Number of workers of a pool of which at most one is avoided after failed starts."""

TASK_REPORT_MAX_AGE_S = 15.0
"""Maximum age of a task report that proves a worker free of tasks."""

ACTIVE = frozenset({TaskState.STARTING, TaskState.RUNNING, TaskState.ENDING})

PLACED = event(
    3501, "task_placed", logging.INFO, "The start of a task on a worker was requested."
)
NEVER_FITS = event(
    3502,
    "task_never_fits",
    logging.WARNING,
    "A task is larger than every worker, even an empty one.",
    "correct the size of the task or add larger workers",
)
ROOM_MADE = event(
    3503,
    "room_made",
    logging.INFO,
    "Tasks of lower priority were preempted for an urgent task.",
)


class Victims(NamedTuple):
    """Tasks of lower priority to preempt on one worker.

    :param throttle: whether throttling them frees enough, so that none has to end
    """

    tasks: list[Task]
    throttle: bool


# Queries


def task_report_fresh(state: PlannerState, now: float) -> bool:
    """Return whether all tasks are known, including those of a former planner."""
    return now - state.tasks_reported_at <= TASK_REPORT_MAX_AGE_S


def occupied_instances(state: PlannerState) -> set[InstanceId]:
    """Return the instances on which a task may run."""
    return {t.worker for t in state.tasks.values() if t.worker and t.state in ACTIVE}


def urgent_task_waiting(state: PlannerState) -> bool:
    """Return whether an urgent task waits, so that ticks must be frequent."""
    return any(
        t.spec.urgent
        and t.state is TaskState.WAITING
        and t.spec.task not in state.oversized_tasks
        for t in state.tasks.values()
    )


# Periodic work


def on_tick(state: PlannerState, now: float) -> list[Effect]:
    """End, renew and start tasks; earlier events have handled cancellations."""
    if not lease.holds(state):
        return []
    effects: list[Effect] = []
    if now >= state.task_report_due:
        changing = (TaskState.STARTING, TaskState.ENDING)
        changes = any(t.state in changing for t in state.tasks.values())
        quiet = not changes and not urgent_task_waiting(state)
        state.task_report_due = now + (
            IDLE_TASK_LIST_INTERVAL_S if quiet else TASK_LIST_INTERVAL_S
        )
        effects.append(ListTasks())
    effects += _end_tasks(state, now)
    effects += _renew(state, now)
    effects += _take_units(state, now)
    effects += _return_units(state, now)
    effects += _place_all(state, now)
    return effects


def _end_tasks(state: PlannerState, now: float) -> list[Effect]:
    """End tasks that are cancelled or whose worker drains or stops.

    A task is checkpointed first, and stopped if that is not answered in time.
    """
    effects: list[Effect] = []
    for task in state.tasks.values():
        if task.state is TaskState.RUNNING and _must_end(state, task):
            effects += _end(task, now, CHECKPOINT_TIMEOUT_S)
        elif (
            task.state is TaskState.ENDING
            and now - task.changed >= END_COMMAND_INTERVAL_S
        ):
            effects += _command_end(task, now)
    return effects


def _must_end(state: PlannerState, task: Task) -> bool:
    if task.dropped:
        return True
    inst = state.fleet.instances.get(task.worker) if task.worker else None
    return inst is None or inst.phase is not Phase.ACTIVE


def _end(task: Task, now: float, checkpoint_s: float) -> list[Effect]:
    task.state = TaskState.ENDING
    task.stop_at = now if task.dropped else now + checkpoint_s
    return _command_end(task, now)


def _command_end(task: Task, now: float) -> list[Effect]:
    action = TaskAction.STOP if now >= task.stop_at else TaskAction.CHECKPOINT
    task.ending_by = action.value
    task.changed = now
    return [ChangeTask(task=task.name, action=action)]


def _renew(state: PlannerState, now: float) -> list[Effect]:
    """Renew the leases of as many tasks of each team as units are held."""
    effects: list[Effect] = []
    left: dict[TeamId, int] = {}
    running = [t for t in state.tasks.values() if t.state is TaskState.RUNNING]
    for task in sorted(running, key=lambda t: (-t.spec.priority, t.arrived)):
        team = task.spec.team
        left.setdefault(team, _held_units(state, team))
        if left[team] <= 0:
            continue
        left[team] -= 1
        if now - max(task.renewed, task.changed) >= TASK_RENEWAL_INTERVAL_S:
            task.renewed = now
            effects.append(ChangeTask(task=task.name, action=TaskAction.RENEW))
    return effects


def _held_units(state: PlannerState, team: TeamId) -> int:
    """Return the held units of a team's upper limit, less those being returned."""
    key = limit_key(team)
    return state.fleet.held_by(key, state.session) - state.returning_units.get(key, 0)


def _count_tasks(state: PlannerState) -> tuple[Counter[TeamId], Counter[TeamId]]:
    """Return the numbers of active and of placeable waiting tasks by team."""
    active: Counter[TeamId] = Counter()
    waiting: Counter[TeamId] = Counter()
    for name, task in state.tasks.items():
        if task.state in ACTIVE:
            active[task.spec.team] += 1
        elif name not in state.oversized_tasks:
            waiting[task.spec.team] += 1
    return active, waiting


def _take_units(state: PlannerState, now: float) -> list[Effect]:
    active, waiting = _count_tasks(state)
    units: dict[CountKey, int] = {}
    for team in active.keys() | waiting.keys():
        count = state.fleet.counts.get(limit_key(team))
        if count is None or count.frozen:
            continue
        missing = active[team] + waiting[team] - _held_units(state, team)
        if missing > 0 and count.reserve > 0:
            units[limit_key(team)] = min(missing, count.reserve)
    if not units:
        return []
    take = rec.SliceTake(
        record_id=RecordId(""), by=state.session, units=dict(sorted(units.items()))
    )
    return append_once(state, now, take)


def _return_units(state: PlannerState, now: float) -> list[Effect]:
    """Return units to the reserve that were idle for ``idle_return_s``."""
    if "SliceGive" in state.pending:
        return []
    active, waiting = _count_tasks(state)
    idle_s = state.fleet.config.fleet.idle_return_s
    units: dict[CountKey, int] = {}
    for team in [*state.fleet.config.teams, PUBLIC_TEAM]:
        key = limit_key(team)
        held = state.fleet.held_by(key, state.session)
        surplus = held - active[team] - waiting[team]
        if surplus <= 0:
            state.idle_since.pop(key, None)
        elif now - state.idle_since.setdefault(key, now) >= idle_s:
            units[key] = surplus
    if not units:
        return []
    state.returning_units = units
    give = rec.SliceGive(record_id=RecordId(""), by=state.session, units=dict(units))
    return append_once(state, now, give)


# Placement


class Packing:
    """Workers of the data centre with the free resources of each."""

    def __init__(self, state: PlannerState, now: float) -> None:
        """Sum up the active tasks by worker and rack."""
        self.state = state
        self.size = POLICIES[state.policy].size
        self.capacity: dict[InstanceId, Size] = {}
        self.rack: dict[InstanceId, tuple[DcId, str]] = {}
        self.spare: dict[InstanceId, bool] = {}
        self.open_workers: list[InstanceId] = []
        self.reserved = {
            t.reserved: t.spec.task
            for t in state.tasks.values()
            if t.reserved is not None and now - t.room_made < ROOM_RESERVATION_S
        }
        self.room: dict[InstanceId, Size] = {}
        self.rack_tasks: Counter[tuple[DcId, str]] = Counter()
        self.team_tasks: Counter[tuple[DcId, str, TeamId]] = Counter()
        avoided = _avoided(state)
        cfg = state.fleet.config
        for name, inst in state.own_instances():
            spec = cfg.instances[name]
            self.capacity[name] = Size(spec.cores, spec.memory_gb, spec.accelerators)
            self.room[name] = self.capacity[name]
            self.rack[name] = (inst.dc, inst.rack)
            pool = cfg.pools.get(inst.pool)
            self.spare[name] = pool is not None and pool.spare
            refused = state.refused_until.get(name, float("-inf")) > now
            if inst.available and not refused and name not in avoided:
                self.open_workers.append(name)
        for task in state.tasks.values():
            if task.state in ACTIVE and task.worker in self.room:
                self.add(task, task.worker)

    def add(self, task: Task, worker: InstanceId) -> None:
        """Subtract a task's size from a worker's room and count it in its rack."""
        self.room[worker] = self.room[worker].subtract(self.size(task))
        rack = self.rack[worker]
        self.rack_tasks[rack] += 1
        self.team_tasks[(*rack, task.spec.team)] += 1

    def free_for(self, task: Task, worker: InstanceId) -> bool:
        """Return whether a worker is not reserved for another task."""
        name = task.spec.task
        return self.reserved.get(worker, name) == name

    def fits_empty(self, task: Task) -> bool:
        """Return whether any worker is large enough for a task when empty."""
        need = self.size(task)
        return any(need.fits(size) for size in set(self.capacity.values()))

    def choose(self, task: Task) -> InstanceId | None:
        """Return the policy's worker for a task; ``None`` if none has room."""
        need = self.size(task)
        workers = [
            Worker(
                instance=name,
                dc=self.rack[name][0],
                rack=self.rack[name][1],
                spare=self.spare[name],
                room=self.room[name],
                team_tasks=self.team_tasks[(*self.rack[name], task.spec.team)],
                rack_tasks=self.rack_tasks[self.rack[name]],
            )
            for name in self.open_workers
            if need.fits(self.room[name]) and self.free_for(task, name)
        ]
        if not workers:
            return None
        return POLICIES[self.state.policy].choose(workers).instance


def _avoided(state: PlannerState) -> set[InstanceId]:
    """Return the workers to avoid: the worst ones, at most a quarter of each pool."""
    avoided: set[InstanceId] = set()
    quota: dict[str, int] = {}
    sizes = Counter(inst.pool for _, inst in state.own_instances())
    worst = sorted(state.worker_failures.items(), key=lambda f: (-f[1], f[0]))
    for name, failures in worst:
        inst = state.fleet.instances.get(name)
        if inst is None or failures < MAX_FAILED_STARTS:
            continue
        quota.setdefault(inst.pool, sizes[inst.pool] // WORKERS_PER_AVOIDED)
        if quota[inst.pool] > 0:
            quota[inst.pool] -= 1
            avoided.add(name)
    return avoided


def _place_all(state: PlannerState, now: float) -> list[Effect]:
    waiting = [t for t in state.tasks.values() if t.state is TaskState.WAITING]
    if not waiting:
        return []
    packing = Packing(state, now)
    active, _ = _count_tasks(state)
    effects: list[Effect] = []
    # Room only shrinks during this loop, so a task that is at least as large as one
    # that did not fit does not fit either.
    blocked: list[Size] = []
    order = sorted(
        waiting, key=lambda t: (not t.spec.urgent, -t.spec.priority, t.arrived)
    )
    for task in order:
        if not packing.fits_empty(task):
            effects += _report_never_fits(state, task)
            continue
        state.oversized_tasks.discard(task.spec.task)
        if task.retry_at > now:
            continue
        team = task.spec.team
        if active[team] >= _held_units(state, team):
            effects += _free_unit(state, now, task)
            continue
        need = packing.size(task)
        if not task.spec.urgent and any(size.fits(need) for size in blocked):
            continue
        worker = packing.choose(task)
        if worker is None:
            blocked += [need] * (not task.spec.urgent)
            effects += _make_room(state, now, task, packing)
            continue
        effects += _start(state, now, task, worker)
        packing.add(task, worker)
        active[team] += 1
    return effects


def _report_never_fits(state: PlannerState, task: Task) -> list[Effect]:
    name = task.spec.task
    if name in state.oversized_tasks:
        return []
    state.oversized_tasks.add(name)
    return [log_line(NEVER_FITS.number, task=name, team=task.spec.team)]


def _start(
    state: PlannerState, now: float, task: Task, worker: InstanceId
) -> list[Effect]:
    task.attempt += 1
    task.state = TaskState.STARTING
    task.worker = worker
    task.reserved = None
    task.changed = now
    task.name = f"{task.spec.task}.{task.attempt}"
    state.task_by_attempt[task.name] = task.spec.task
    start = StartTask(
        task=task.name,
        instance=worker,
        team=task.spec.team,
        size=POLICIES[state.policy].size(task),
        priority=task.spec.priority,
        lease_s=TASK_LEASE_S,
        not_after=now + TASK_RENEWAL_INTERVAL_S,
    )
    return [start, log_line(PLACED.number, task=task.name, instance=worker)]


# Preemption for urgent tasks


def _preemptible(state: PlannerState, task: Task) -> list[Task]:
    """Return running tasks below a task's priority, in ascending priority."""
    found = [
        t
        for t in state.tasks.values()
        if t.state is TaskState.RUNNING
        and not t.spec.urgent
        and t.spec.priority < task.spec.priority
    ]
    return sorted(found, key=lambda t: (t.spec.priority, -t.arrived))


def _may_make_room(state: PlannerState, now: float, task: Task) -> bool:
    return task.spec.urgent and now - task.room_made >= ROOM_RESERVATION_S


def _free_unit(state: PlannerState, now: float, task: Task) -> list[Effect]:
    """End the team's least important task if the team's limit has no unit left."""
    count = state.fleet.counts.get(limit_key(task.spec.team))
    if count is None or count.reserve > 0 or not _may_make_room(state, now, task):
        return []
    own = [t for t in _preemptible(state, task) if t.spec.team == task.spec.team]
    if not own:
        return []
    task.room_made = now
    line = log_line(ROOM_MADE.number, task=task.spec.task, ends=[own[0].spec.task])
    return [*_end(own[0], now, END_COMMAND_INTERVAL_S), line]


def _make_room(
    state: PlannerState, now: float, task: Task, packing: Packing
) -> list[Effect]:
    """Throttle or end tasks on the worker where preemption costs least."""
    if not _may_make_room(state, now, task):
        return []
    candidates = _preemptible(state, task)
    best: Victims | None = None
    for worker in packing.open_workers:
        if not packing.free_for(task, worker):
            continue
        own = [t for t in candidates if t.worker == worker]
        found = _choose_victims(packing, task, worker, own)
        if found and (best is None or _preemption_cost(found) < _preemption_cost(best)):
            best = found
    if best is None:
        return []
    task.room_made = now
    task.reserved = best.tasks[0].worker
    if task.reserved is not None:
        packing.reserved[task.reserved] = task.spec.task
    names = [t.spec.task for t in best.tasks]
    if best.throttle:
        line = log_line(ROOM_MADE.number, task=task.spec.task, throttles=names)
        throttle = TaskAction.THROTTLE
        return [*[ChangeTask(task=t.name, action=throttle) for t in best.tasks], line]
    line = log_line(ROOM_MADE.number, task=task.spec.task, ends=names)
    return [
        *[e for t in best.tasks for e in _end(t, now, END_COMMAND_INTERVAL_S)],
        line,
    ]


def _preemption_cost(found: Victims) -> tuple[bool, int, int]:
    highest = max(t.spec.priority for t in found.tasks)
    return (not found.throttle, highest, len(found.tasks))


def _choose_victims(
    packing: Packing, task: Task, worker: InstanceId, candidates: list[Task]
) -> Victims | None:
    """Return the tasks to preempt on a worker; ``None`` if that is not enough."""
    need = packing.size(task)
    room = packing.room[worker]
    freed = room
    halved: list[Task] = []
    for other in candidates:
        if other.throttled:
            continue
        freed = freed.add(Size(cores=packing.size(other).cores / 2))
        halved.append(other)
        if need.fits(freed):
            return Victims(halved, throttle=True)
    freed = room
    ended: list[Task] = []
    for other in candidates:
        freed = freed.add(packing.size(other))
        ended.append(other)
        if need.fits(freed):
            return Victims(
                _without_surplus(packing, need, freed, ended), throttle=False
            )
    return None


def _without_surplus(
    packing: Packing, need: Size, freed: Size, ended: list[Task]
) -> list[Task]:
    """Drop tasks that need not end from the list, the most important ones first."""
    kept = list(ended)
    for other in reversed(ended):
        less = freed.subtract(packing.size(other))
        if need.fits(less) and len(kept) > 1:
            kept.remove(other)
            freed = less
    return kept
