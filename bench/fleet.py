"""Benchmarks of the planner: maintenance, moves, buffer, urgent work, cost, memory.

All but the costs are simulated in virtual time, with the durations assumed below.
"""

from __future__ import annotations

import itertools
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator

from bench.measure import Measure
from primrosepitch.config.model import (
    Document,
    InstanceSpec,
    PoolSpec,
    ServiceSpec,
    TeamSpec,
)
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.fold import fold
from primrosepitch.fleet.state import FleetState, WaveState
from primrosepitch.planning import effects as out
from primrosepitch.planning import events as ev
from primrosepitch.planning import lease, waves
from primrosepitch.planning.buffer import capacity_buffer, survives_rack_loss
from primrosepitch.planning.moves import Donor, Move, plan_moves
from primrosepitch.planning.reducer import step
from primrosepitch.planning.state import PlannerState

COMMAND = "python -m bench fleet"
SEED = 1
INSTANCES, POOLS, INSTANCES_PER_RACK, DCS, TEAMS = 880, 34, 4, 7, 370

DAY_S = 86400.0
STOP_S = 600.0
"""Assumed duration of a planned stop: drain, reboot, and proof of availability."""

REPAIR_S = 4 * 3600.0
"""Assumed time until a failed instance is available again."""

RESTART_S = 300.0
"""Assumed duration of an unplanned restart."""

OPERATOR_S = 1800.0
"""Assumed time until an operator resumes a paused wave."""

FAILURES_PER_DAY, RESTARTS_PER_DAY = 15, 71


class Log:
    """A log whose records are folded into a planner's state immediately.

    :param state: state of a planner that holds the lease of ``dc0``
    """

    def __init__(self, state: PlannerState) -> None:
        """Initialize a log that continues after the state's last record."""
        self.state = state
        self.number = 0

    def append(self, now: float, record: rec.Record) -> bool:
        """Fold a record and pass it to the waves; return whether it was accepted."""
        self.number += 1
        fields = {k: getattr(record, k) for k in record.__struct_fields__}
        fields["record_id"] = f"r{self.number}"
        numbered = type(record)(**fields)
        prior = waves.prior_state(self.state.fleet, numbered)
        outcome = fold(self.state.fleet, self.state.fleet.offset + 1, numbered)
        waves.on_record(self.state, now, outcome, prior)
        return outcome.void is None


def documents(
    instances: int, pools: int, dcs: int, teams: int, budget: float, spare_interval: int
) -> dict[str, Document]:
    """Return a configuration with spare instances spread over racks.

    :param budget: fraction of each pool that must be available
    :param spare_interval: one instance in this many is spare
    """
    spare = {f"i{n:03}" for n in range(0, instances, spare_interval)}
    names = [f"pool{i:02}" for i in range(pools - 1)]
    members: dict[str, int] = dict.fromkeys([*names, "spare"], 0)
    specs: dict[str, InstanceSpec] = {}
    for n in range(instances):
        rack = n // INSTANCES_PER_RACK
        pool = "spare" if f"i{n:03}" in spare else names[n % len(names)]
        members[pool] += 1
        specs[f"i{n:03}"] = InstanceSpec(
            dc=f"dc{rack % dcs}",
            rack=f"r{rack}",
            pool=pool,
            address=f"127.1.{n // 250}.{n % 250 + 1}",
            port=9000,
        )
    doc = Document(
        pools={p: PoolSpec(spare=p == "spare") for p in members},
        services={
            p: ServiceSpec(pool=p, min_available=max(1, int(members[p] * budget)))
            for p in names
        },
        teams={f"team{i:03}": TeamSpec(limit=100) for i in range(teams)},
        instances=specs,
    )
    return {"fleet.yaml": doc}


def planner(
    instances: int,
    pools: int,
    dcs: int,
    teams: int,
    budget: float = 0.8,
    spare_interval: int = 25,
) -> tuple[PlannerState, Log]:
    """Return a planner of ``dc0``, with all leases held and all instances available."""
    state = PlannerState("p0", "dc0")
    log = Log(state)
    docs = documents(instances, pools, dcs, teams, budget, spare_interval)
    log.append(
        0, rec.ConfigPublished(record_id="", by="op", base_offset=-1, documents=docs)
    )
    for i in range(dcs):
        opened = rec.SessionOpened(
            record_id="",
            by=f"p{i}",
            session=f"p{i}",
            role=rec.Role.PLANNER,
            dc=f"dc{i}",
            instance=f"h{i}",
            peer_address=f"127.2.0.{i + 1}:1",
        )
        log.append(0, opened)
        held = rec.PlannerLease(
            record_id="", by=f"p{i}", dc=f"dc{i}", session=f"p{i}", term=1
        )
        log.append(0, held)
    for name in state.fleet.instances:
        append_up(log, 0, name, "b0")
    lease.on_state_loaded(state, 0)
    return state, log


def fenced_fields(state: PlannerState, name: str) -> dict[str, object]:
    """Return the fields of an instance's record that the lease of its ``dc`` fences."""
    dc = state.fleet.instances[name].dc
    session = state.fleet.leases[dc].session
    return {"record_id": "", "by": session, "instance": name, "dc": dc, "term": 1}


def append_up(log: Log, now: float, name: str, boot: str) -> None:
    """Append the record that an instance is available."""
    log.append(now, rec.InstanceUp(**fenced_fields(log.state, name), incarnation=boot))  # type: ignore[arg-type]


# Maintenance


def maintenance_days(parallel: int, seed: int) -> tuple[float, int]:
    """Return the duration in days of a wave over all instances, and its pauses."""
    rng = random.Random(seed)
    state, log = planner(INSTANCES, POOLS, DCS, 1)
    names = list(state.fleet.instances)
    wave = rec.WaveStarted(
        record_id="", by="op", wave="w", instances=names, max_parallel=parallel
    )
    log.append(0, wave)
    current_wave = state.fleet.waves["w"]
    back_at: dict[str, float] = {}
    now, pauses, resume_at = 0.0, 0, 0.0
    tick_s = 60.0
    while current_wave.state is not WaveState.DONE and now < 60 * DAY_S:
        now += tick_s
        for name in [n for n, at in back_at.items() if at <= now]:
            del back_at[name]
            append_up(log, now, name, f"b{now}")
        _inject_failures(rng, log, now, back_at, tick_s)
        state.failures = [f for f in state.failures if now - f.at <= 600]
        if current_wave.state is WaveState.PAUSED:
            if now >= resume_at:
                log.append(now, rec.WaveResumed(record_id="", by="op", wave="w"))
            continue
        if waves.correlation_cause(state, now, "w"):
            log.append(now, rec.WavePaused(record_id="", by="p0", wave="w"))
            pauses += 1
            resume_at = now + OPERATOR_S
            continue
        room = parallel - sum(1 for i in state.fleet.instances.values() if i.wave)
        if room > 0:
            _stop_next(log, now, back_at)
    return now / DAY_S, pauses


def _inject_failures(
    rng: random.Random, log: Log, now: float, back_at: dict[str, float], tick_s: float
) -> None:
    """Make instances fail or restart at random."""
    kinds = ((FAILURES_PER_DAY, REPAIR_S), (RESTARTS_PER_DAY, RESTART_S))
    for rate, repair_s in kinds:
        if rng.random() < rate * tick_s / DAY_S:
            name = rng.choice(list(log.state.fleet.instances))
            if name not in back_at:
                log.append(now, rec.InstanceDown(**fenced_fields(log.state, name)))  # type: ignore[arg-type]
                back_at[name] = now + repair_s


def _stop_next(log: Log, now: float, back_at: dict[str, float]) -> None:
    """Start the stops that the wave allows now."""
    fleet = log.state.fleet
    for one in waves.next_steps(fleet, fleet.waves["w"], "w"):
        if one.kind is not waves.StepKind.STOP or one.instance in back_at:
            continue
        fields = fenced_fields(log.state, one.instance)
        drain = rec.DrainStarted(
            **fields,  # type: ignore[arg-type]
            reason=rec.DrainReason.REBOOT,
            base_offset=fleet.offset,
            wave="w",
        )
        if log.append(now, drain):
            log.append(now, rec.StopRequested(**fields))  # type: ignore[arg-type]
            back_at[one.instance] = now + STOP_S


def measure_maintenance() -> Iterator[Measure]:
    """Compare four instances in parallel, the default, with one at a time."""
    days, pauses = maintenance_days(4, SEED)
    single, _ = maintenance_days(1, SEED)
    base = f"{single:.2f} one by one"
    yield _measure("days to maintain 880 instances once", days, "d", "28", base)
    yield _measure("pauses of that wave", pauses, "count", "-", "-")


# Moves


def random_cases(
    count: int, seed: int
) -> Iterator[tuple[dict[str, float], list[Donor]]]:
    """Yield small random demands, with donors that suffice for them."""
    rng = random.Random(seed)
    while count:
        demand = {f"p{i}": float(rng.randrange(1, 40)) for i in range(3)}
        sizes = [float(rng.choice([4, 8, 16, 32])) for _ in range(7)]
        donors = [Donor(f"i{i}", "s", size) for i, size in enumerate(sizes)]
        if optimal_moves(demand, donors):
            count -= 1
            yield demand, donors


def optimal_moves(demand: dict[str, float], donors: list[Donor]) -> int:
    """Return the least number of moves by exhaustive search; 0 if none suffices."""
    best = 0
    for targets in itertools.product([None, *demand], repeat=len(donors)):
        supply = dict.fromkeys(demand, 0.0)
        for donor, pool in zip(donors, targets, strict=True):
            if pool is not None:
                supply[pool] += donor.size
        count = sum(t is not None for t in targets)
        if all(supply[p] >= demand[p] for p in demand):
            best = min(best or count, count)
    return best


def baseline_moves(demand: dict[str, float], donors: list[Donor]) -> list[Move]:
    """Return the moves of the baseline policy: donors in order, pool by pool."""
    left = list(donors)
    moves: list[Move] = []
    for pool, gap in demand.items():
        while gap > 0 and left:
            donor = left.pop(0)
            gap -= donor.size
            moves.append(Move(donor.instance, pool))
    return moves


def measure_moves() -> Iterator[Measure]:
    """Compare the planned moves with the optimum and the baseline policy."""
    planned = least = simple = 0
    for demand, donors in random_cases(20, SEED):
        planned += len(plan_moves(demand, donors))
        least += optimal_moves(demand, donors)
        simple += len(baseline_moves(demand, donors))
    bound = f"{least} exhaustive"
    yield _measure(
        "moves for 20 demands", planned, "count", bound, f"{simple} in order"
    )


# Buffer


def optimal_spares(fleet: FleetState) -> int:
    """Return the least spare instances with which the loss of any rack is survived.

    It depends on the racks of the instances, so every set of each size is tried.
    """
    spares = [n for n, i in fleet.instances.items() if i.pool == "spare"]
    for size in range(len(spares) + 1):
        for kept in itertools.combinations(spares, size):
            for name in spares:
                fleet.instances[name].up = name in kept
            if survives_rack_loss(fleet):
                return size
    return len(spares) + 1


def measure_buffer() -> Iterator[Measure]:
    """Compare the required spare instances with one spare instance per pool."""
    state, _ = planner(40, 4, 2, 1, budget=1.0, spare_interval=5)
    small = capacity_buffer(state.fleet, {}).needed
    least = optimal_spares(state.fleet)
    yield _measure(
        "spare instances, 40 instances in 4 pools, all needed",
        small,
        "count",
        f"{least} exhaustive",
        "4, one a pool",
    )
    state, _ = planner(INSTANCES, POOLS, DCS, 1, budget=1.0)
    result = capacity_buffer(state.fleet, {})
    fraction = result.needed / (INSTANCES - result.spare)
    base = f"{POOLS / (INSTANCES - result.spare):.4f}, one a pool"
    yield _measure(
        "buffer as a fraction of the instances in use, 880 in 34 pools, all needed",
        fraction,
        "fraction",
        f"{4 / (INSTANCES - result.spare):.4f}, the largest rack",
        base,
    )


# Urgent work


class Workers:
    """Simulated platform that answers task commands after 20 to 200 ms."""

    def __init__(self, rng: random.Random) -> None:
        """Initialize without tasks."""
        self.rng = rng
        self.due: list[tuple[float, ev.Event]] = []
        self.started: dict[str, float] = {}

    def schedule(self, now: float, effect: out.Effect) -> None:
        """Schedule the answer to an effect, if it is a task command."""
        at = now + self.rng.uniform(0.02, 0.2)
        if isinstance(effect, out.StartTask):
            answer = ev.TaskAnswered(
                now=at, task=effect.task, action=ev.TaskAction.START, ok=True
            )
            self.started.setdefault(effect.task.rpartition(".")[0], at)
        elif isinstance(effect, out.ChangeTask):
            answer = ev.TaskAnswered(
                now=at, task=effect.task, action=effect.action, ok=True
            )
        else:
            return
        self.due.append((at, answer))


def urgent_waits_s(policy: str, seed: int) -> list[float]:
    """Return the waiting times of urgent tasks on full workers of one data centre.

    The planner ticks every 50 ms while urgent tasks wait, otherwise once a second.
    """
    rng = random.Random(seed)
    state, log = planner(INSTANCES, POOLS, DCS, 2)
    state.policy = policy
    state.lease_valid_until = float("inf")
    workers = Workers(rng)
    now, next_tick, arrived = 0.0, 0.0, {}
    own = len(state.own_instances())
    low_priority = [
        ev.TaskSpec(f"low{i}", f"team{i % 2:03}", ev.Size(2, 2), i % 3)
        for i in range(own * 8)
    ]
    for spec in low_priority:
        state.fleet.counts[f"limit/{spec.team}"].resize(10_000)
    handle(state, log, workers, ev.TasksSubmitted(now=now, tasks=low_priority))
    while now < 120:
        now = round(now + 0.05, 3)
        if 40 < now < 100 and rng.random() < 0.1:
            name = f"urgent{len(arrived)}"
            spec = ev.TaskSpec(name, "team000", ev.Size(6, 6), 9, urgent=True)
            arrived[name] = now
            handle(state, log, workers, ev.TasksSubmitted(now=now, tasks=[spec]))
            next_tick = now
        for row in [d for d in workers.due if d[0] <= now]:
            workers.due.remove(row)
            handle(state, log, workers, row[1])
        if now >= next_tick:
            handle(state, log, workers, ev.Tick(now=now, wall=now))
            urgent_waiting = any(
                t.spec.urgent and t.state.value == "waiting"
                for t in state.tasks.values()
            )
            next_tick = now + (0.05 if urgent_waiting else 1.0)
    return sorted(workers.started.get(n, 1e9) - at for n, at in arrived.items())


def handle(state: PlannerState, log: Log, workers: Workers, event: ev.Event) -> None:
    """Pass an event to the reducer and read back its own records immediately."""
    for effect in step(state, event):
        if isinstance(effect, out.Append):
            record = effect.record
            log.number += 1
            fields = {k: getattr(record, k) for k in record.__struct_fields__}
            fields["record_id"] = f"x{log.number}"
            offset = state.fleet.offset + 1
            read = ev.RecordRead(
                now=event.now, offset=offset, record=type(record)(**fields)
            )
            for follow_up in step(state, read):
                workers.schedule(event.now, follow_up)
        else:
            workers.schedule(event.now, effect)


def measure_urgent() -> Iterator[Measure]:
    """Compare the waiting time of urgent tasks with the baseline policy."""
    waits_s = urgent_waits_s("observed", SEED)
    base = urgent_waits_s("declared", SEED)
    p99 = waits_s[int(len(waits_s) * 0.99)]
    text = f"{base[int(len(base) * 0.99)]:.2f} declared first fit"
    yield _measure(f"start of {len(waits_s)} urgent tasks, p99", p99, "s", "2.3", text)


# Cost


def measure_cost() -> Iterator[Measure]:
    """Measure the processor time and memory of the reducer at the target size."""
    tracemalloc.start()
    state, log = planner(INSTANCES, POOLS, DCS, TEAMS)
    rows = [
        ev.ListedInstance(n, i.dc, i.rack, ev.ListedState.LIVE, "b0")
        for n, i in state.fleet.instances.items()
    ]
    listed = ev.InstancesListed(now=1, asked=1, as_of=1, instances=rows)
    step(state, listed)
    step(state, ev.Tick(now=1, wall=1))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    name = "planner's state, 880 instances and 370 teams"
    yield _measure(name, used / 1e6, "MB", "32 a node", "-")
    state.lease_valid_until = float("inf")
    yield _measure(
        "one tick, 880 instances, 126 own",
        _cost_us(lambda n: step(state, ev.Tick(now=1 + n / 1000, wall=1)), 200),
        "us",
        "13000 a second is 1.3 % of a core",
        "-",
    )
    for label, record in _records():
        yield _measure(
            f"fold of one {label} record, 880 instances",
            _cost_us(lambda n, r=record: log.append(1, r(n)), 2000),  # type: ignore[misc]
            "us",
            "-",
            "-",
        )


def _records() -> list[tuple[str, Callable[[int], rec.Record]]]:
    """Return factories of common records, by label."""
    names = [f"i{n:03}" for n in range(INSTANCES)]

    def fields(n: int) -> dict[str, object]:
        rack = n % INSTANCES // INSTANCES_PER_RACK
        dc = f"dc{rack % DCS}"
        session = f"p{rack % DCS}"
        return {
            "record_id": "",
            "by": session,
            "instance": names[n % INSTANCES],
            "dc": dc,
            "term": 1,
        }

    return [
        (
            "lease",
            lambda n: rec.PlannerLease(
                record_id="", by="p0", dc="dc0", session="p0", term=1
            ),
        ),
        (
            "instance",
            lambda n: rec.InstanceUp(**fields(n), incarnation=f"c{n}"),  # type: ignore[arg-type]
        ),
        (
            "drain",
            lambda n: rec.DrainStarted(
                **fields(n),  # type: ignore[arg-type]
                reason=rec.DrainReason.REBOOT,
                base_offset=-1,
            ),
        ),
    ]


def _cost_us(body: Callable[[int], object], count: int) -> float:
    """Return the processor time of one call, in microseconds."""
    start = time.process_time()
    for n in range(count):
        body(n)
    return (time.process_time() - start) / count * 1e6


def _measure(name: str, value: float, unit: str, bound: str, base: str) -> Measure:
    return Measure(name, value, unit, bound, base, SEED, COMMAND)


def run() -> list[Measure]:
    """Run all benchmarks of the planner."""
    parts = (
        measure_maintenance,
        measure_moves,
        measure_buffer,
        measure_urgent,
        measure_cost,
    )
    return [measure for part in parts for measure in part()]
