"""Named load patterns for the simulation of endpoints, store and callers."""

from __future__ import annotations

import functools
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from msgspec.structs import replace

from primrosepitch.jobs.model import (
    JobId,
    JobSpec,
    QueueName,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.scheduling.configuration import (
    QueueSpec,
    ServiceSpec,
    WaveSpec,
    WorkspaceSpec,
)
from standins.scheduler_world import SchedulerWorld

__all__ = [
    "PATTERNS",
    "SPARE_POOL",
    "JobKind",
    "Pattern",
    "build",
    "build_job",
    "draw_steps",
    "pattern",
    "send_later",
]

LOAD_DURATION_S = 36.0
"""Time during which jobs are submitted; four turns."""

TURN_S = 5.0
"""Length of a queue's load peak; the next queue's begins ``GAP_S`` after its end."""

GAP_S = 3.0

PEAK_FACTOR = 4.0
"""Factor on a queue's mean rate during its turn."""

OFF_PEAK_FACTOR = 0.05
"""Factor on a queue's mean rate outside its turn."""

RECURRING_FACTOR = 2.5
"""Peak factor of recurring turns: over twice what a pool's own instances hold, but no
more than all instances together do, so that the time of moves decides."""
SLOW_SHARE = 0.12
"""Share of the endpoints that are slow at a time."""

SLOW_S = 6.5
"""Time for which an endpoint is slow."""

WANTED_RACK_SHARE = 0.7
"""Share of the jobs whose data is in the same rack."""

INSTANCES_PER_POOL = 6
RACK_SIZE = 4
SPARE_POOL = ServiceName("spare")
WORKSPACES = tuple(WorkspaceName(f"w{n}") for n in range(6))
POOLS = tuple(ServiceName(f"s{n}") for n in range(4))
WANTED_RACKS = dict(zip(POOLS, ("r0", "r2", "r3", "r5"), strict=True))
"""Rack of four of the six instances that each pool has at the begin."""


class JobKind(NamedTuple):
    """One kind of job.

    :param rate: mean number of jobs per second
    :param steps: mean number of steps
    :param width: mean number of tasks in a step
    :param work_ms: mean duration of a task
    :param cpu: mean request of a task in thousandths of a core
    """

    rate: float
    steps: float
    width: float
    work_ms: float
    cpu: float


SHORT = JobKind(5.8, 1.6, 6.0, 1000.0, 880.0)
LONG = JobKind(1.1, 2.0, 8.0, 1700.0, 1900.0)
KINDS = dict(zip(POOLS, (SHORT, LONG, SHORT, LONG), strict=True))


class LoadPhase(NamedTuple):
    """A time during which a pool's jobs arrive at one rate.

    :param factor: factor on the mean rate of the pool's kind of job
    """

    pool: ServiceName
    begin: float
    end: float
    factor: float = PEAK_FACTOR


Plan = Callable[[random.Random], list[LoadPhase]]


class Pattern(NamedTuple):
    """A load pattern.

    :param add_faults: schedules the faults and waves that occur besides the turns
    :param plan: returns the phases of the load instead of the default turns
    """

    name: str
    summary: str
    add_faults: Callable[[SchedulerWorld], None]
    plan: Plan | None = None


PATTERNS: dict[str, Pattern] = {}

AddFaults = Callable[[SchedulerWorld], None]


def pattern(name: str, plan: Plan | None = None) -> Callable[[AddFaults], AddFaults]:
    """Register a function as a pattern; its docstring is the summary."""

    def register(add_faults: AddFaults) -> AddFaults:
        summary = (add_faults.__doc__ or "").strip().splitlines()[0]
        PATTERNS[name] = Pattern(name, summary, add_faults, plan)
        return add_faults

    return register


def build(
    name: str,
    seed: int,
    baseline: bool = False,
    without: str = "",
    ranking: str = "",
) -> SchedulerWorld:
    """Return a simulation with a pattern's jobs and faults scheduled.

    :param baseline: whether jobs are served in order of arrival and no instance is lent
    :param without: part of the scheduler that is not used
    :param ranking: ranking of waiting steps; empty for the default
    """
    world = SchedulerWorld(seed)
    world.without = without
    world.queue_order = ranking or world.queue_order
    if baseline:
        world.queue_order = "arrival"
    world.duration_sigma = 0.15
    for pool in POOLS:
        queue = QueueSpec(QueueName(f"q-{pool}"), "h", f"/{pool}/", pool)
        world.cfg.queues[queue.name] = queue
        world.cfg.services[pool] = ServiceSpec(pool)
    world.cfg.services[SPARE_POOL] = ServiceSpec(SPARE_POOL, spare=not baseline)
    for workspace in WORKSPACES:
        world.cfg.workspaces[workspace] = WorkspaceSpec(workspace, weight=2.0)
    number = 0
    for pool in (*POOLS, SPARE_POOL):
        for _ in range(INSTANCES_PER_POOL):
            rack = f"r{number // RACK_SIZE}"
            if pool == SPARE_POOL:
                world.add_instance(f"i{number}", pool, rack)
            else:
                world.add_worker(f"i{number}", pool, rack)
            number += 1
    world.take_term("a")
    world.run(6.0)
    _submit_lasting_jobs(world)
    plan = PATTERNS[name].plan
    if plan is None:
        _schedule_turns(world)
    else:
        _schedule_phases(world, plan(world.rng))
    PATTERNS[name].add_faults(world)
    return world


def _submit_lasting_jobs(world: SchedulerWorld) -> None:
    for pool in POOLS:
        for number in range(3):
            step = StepSpec(
                5, 700, 2000, lasting=True, max_unavailable=1, most_per_endpoint=3
            )
            spec = build_job(world, f"last-{pool}-{number}", pool, (step,), 2500)
            world.submit(spec)


def _schedule_turns(world: SchedulerWorld) -> None:
    for turn, pool in enumerate(POOLS):
        kind = KINDS[pool]
        begin = 1.0 + turn * (TURN_S + GAP_S)
        at = 0.0
        for number in itertools.count():
            busy = begin <= at < begin + TURN_S
            at += world.rng.expovariate(
                kind.rate * (PEAK_FACTOR if busy else OFF_PEAK_FACTOR)
            )
            if at > LOAD_DURATION_S:
                break
            steps = draw_steps(world.rng, kind)
            send_later(world, at, build_job(world, f"{pool}-{number}", pool, steps))


def _schedule_phases(world: SchedulerWorld, phases: list[LoadPhase]) -> None:
    """Schedule jobs at the rate of each phase, and at the off-peak rate between them.

    Each change of the rate begins a new draw: a gap drawn at the off-peak rate would
    otherwise span a large part of a turn.
    """
    for pool, kind in KINDS.items():
        own = [phase for phase in phases if phase.pool == pool]
        edges = {0.0, LOAD_DURATION_S, *(p.begin for p in own), *(p.end for p in own)}
        numbers = itertools.count()
        for begin, end in itertools.pairwise(sorted(edges)):
            factor = max(
                (p.factor for p in own if p.begin <= begin < p.end),
                default=OFF_PEAK_FACTOR,
            )
            at = begin + world.rng.expovariate(kind.rate * factor)
            while at < min(end, LOAD_DURATION_S):
                name = f"{pool}-{next(numbers)}"
                steps = draw_steps(world.rng, kind)
                send_later(world, at, build_job(world, name, pool, steps))
                at += world.rng.expovariate(kind.rate * factor)


def recurring_turns(turn_s: float, gap_s: float, order: tuple[int, ...]) -> Plan:
    """Return a plan of turns that recur in a fixed order.

    :param turn_s: length of each turn
    :param gap_s: time from the end of a turn to the begin of the next one
    :param order: indexes of the pools, in the order of their turns
    """

    def plan(rng: random.Random) -> list[LoadPhase]:
        phases: list[LoadPhase] = []
        begin = 1.0
        for index in itertools.cycle(order):
            if begin >= LOAD_DURATION_S:
                return phases
            phases.append(
                LoadPhase(POOLS[index], begin, begin + turn_s, RECURRING_FACTOR)
            )
            begin += turn_s + gap_s
        return phases

    return plan


def _irregular_turns(rng: random.Random) -> list[LoadPhase]:
    phases = []
    begin = 1.0
    while begin < LOAD_DURATION_S:
        end = begin + rng.uniform(2.0, 7.0)
        phases.append(LoadPhase(rng.choice(POOLS), begin, end, RECURRING_FACTOR))
        begin = end + rng.uniform(0.0, 5.0)
    return phases


def _steady_load(rng: random.Random) -> list[LoadPhase]:
    return [LoadPhase(pool, 0.0, LOAD_DURATION_S, 1.0) for pool in POOLS]


def _random_load(rng: random.Random) -> list[LoadPhase]:
    """Draw each pool's rate anew every second."""
    return [
        LoadPhase(pool, second, second + 1.0, rng.lognormvariate(-0.5, 1.0))
        for pool in POOLS
        for second in range(int(LOAD_DURATION_S))
    ]


def send_later(world: SchedulerWorld, delay_s: float, spec: JobSpec) -> None:
    """Submit a job after a delay; it has been drawn before the simulation begins.

    Draws during the simulation would give each ranking other jobs.
    """

    def send() -> None:
        steps = spec.steps
        rng = random.Random(f"{world.duration_seed} {spec.job}")
        if world.remote_factor > 1.0 and rng.random() < WANTED_RACK_SHARE:
            rack = WANTED_RACKS[spec.service]
            steps = tuple(replace(step, rack=rack) for step in steps)
        world.submit(replace(spec, steps=steps, accepted_ms=world.wall_ms))

    world.call_later(delay_s, send)


def draw_steps(rng: random.Random, kind: JobKind) -> tuple[StepSpec, ...]:
    """Draw the steps of one job."""
    count = max(1, round(rng.lognormvariate(0, 0.4) * kind.steps))
    width = max(1, round(rng.lognormvariate(0, 0.6) * kind.width))
    cpu = int(min(kind.cpu * 3, rng.lognormvariate(0, 0.45) * kind.cpu))
    return tuple(
        StepSpec(
            min(width, 24),
            cpu,
            900,
            estimate_ms=int(min(2.5, rng.lognormvariate(0, 0.5)) * kind.work_ms),
            after=(number - 1,) if number else (),
            checkpoints=kind is LONG,
        )
        for number in range(min(count, 4))
    )


def build_job(
    world: SchedulerWorld,
    name: str,
    pool: ServiceName,
    steps: tuple[StepSpec, ...],
    goal_ms: int = 600,
) -> JobSpec:
    """Return a job of a random workspace."""
    return JobSpec(
        job=JobId(name),
        queue=QueueName(f"q-{pool}"),
        service=pool,
        workspace=world.rng.choice(WORKSPACES),
        payload="",
        steps=steps,
        accepted_ms=world.wall_ms,
        max_attempts=3,
        stretch=1.6,
        goal_ms=goal_ms,
    )


@pattern("turns")
def _turns(world: SchedulerWorld) -> None:
    """Load each queue in turn with four times its mean rate, else a twentieth."""


@pattern("wave")
def _wave(world: SchedulerWorld) -> None:
    """Request maintenance of half of the instances within 26 s."""
    instances = sorted(world.pool_of)[::2]

    def request() -> None:
        world.request_wave(WaveSpec(1, tuple(instances), world.now + 26.0, 6))

    world.call_later(2.0, request)


@pattern("rack-lost")
def _rack_lost(world: SchedulerWorld) -> None:
    """Crash all endpoints of the rack with the busiest one in the second turn."""

    def crash_rack() -> None:
        busy = max(world.workers.values(), key=lambda w: w.used_resources().cpu)
        for worker in list(world.workers.values()):
            if worker.rack == busy.rack and worker.up:
                worker.crash()

    world.call_later(1.0 + TURN_S + GAP_S + 2.0, crash_rack)


@pattern("takeover")
def _takeover(world: SchedulerWorld) -> None:
    """Kill the scheduling node in two turns; another node takes over."""

    def replace(name: str) -> None:
        def take() -> None:
            world.take_term(name)

        world.nodes.clear()
        world.call_later(1.0, take)

    world.call_later(4.0, lambda: replace("b"))
    world.call_later(1.0 + 2 * (TURN_S + GAP_S) + 2.0, lambda: replace("c"))


@pattern("unanswered")
def _unanswered(world: SchedulerWorld) -> None:
    """Carry out 6 % of orders late, and leave 6 % of polls without an answer."""
    world.late_order_rate = world.poll_loss_rate = 0.06


@pattern("heaviest")
def _heaviest(world: SchedulerWorld) -> None:
    """Combine a wave, the loss of a rack and the takeovers."""
    for name in ("wave", "rack-lost", "takeover"):
        PATTERNS[name].add_faults(world)


@pattern("recurring", recurring_turns(4.5, 0.0, (0, 1, 2, 3)))
def _recurring(world: SchedulerWorld) -> None:
    """Load the queues in turns of 4.5 s without gaps, which recur after 18 s."""


@pattern("recurring-gaps", recurring_turns(3.0, 1.5, (2, 1, 0, 3)))
def _recurring_gaps(world: SchedulerWorld) -> None:
    """Load the queues in turns of 3 s with gaps of 1.5 s, in another order."""


@pattern("recurring-takeover", recurring_turns(4.5, 0.0, (0, 1, 2, 3)))
def _recurring_takeover(world: SchedulerWorld) -> None:
    """Kill the scheduling node at the begin of the second round of recurring turns."""

    def take() -> None:
        world.take_term("b")

    def kill() -> None:
        world.nodes.clear()
        world.call_later(1.0, take)

    world.call_later(20.0, kill)


@pattern("irregular", _irregular_turns)
def _irregular(world: SchedulerWorld) -> None:
    """Load queues drawn at random, in turns of 2 to 7 s with gaps of up to 5 s."""


@pattern("steady", _steady_load)
def _steady(world: SchedulerWorld) -> None:
    """Load all queues with their mean rates."""


@pattern("random", _random_load)
def _random(world: SchedulerWorld) -> None:
    """Load all queues with rates that are drawn anew every second."""


def _misestimate(world: SchedulerWorld) -> None:
    """Let estimates be off by a half, alike in each simulation of a seed."""
    world.duration_sigma = 0.5
    world.duration_seed = world.rng.randrange(1, 1 << 30)


@pattern("sound")
def _sound(world: SchedulerWorld) -> None:
    """Let each task's estimate be off by a half; all endpoints are sound."""
    _misestimate(world)


@pattern("sound-steps")
def _sound_steps(world: SchedulerWorld) -> None:
    """Let the estimate of each step be off by a half; all endpoints are sound."""
    _misestimate(world)
    world.errs_by_step = True


@pattern("slow")
def _slow(world: SchedulerWorld) -> None:
    """Slow down an eighth of the endpoints 5 to 8 times, others every 6.5 s."""
    _misestimate(world)
    rng = random.Random(world.duration_seed)

    def slow_down() -> None:
        up = [w for w in world.workers.values() if w.up]
        for worker in rng.sample(up, round(SLOW_SHARE * len(up))):
            worker.change_speed(rng.uniform(5.0, 8.0))
            world.call_later(SLOW_S, functools.partial(worker.change_speed, 1.0))

    for number in range(int(LOAD_DURATION_S / SLOW_S)):
        world.call_later(1.0 + number * SLOW_S, slow_down)


@pattern("slow-steps")
def _slow_steps(world: SchedulerWorld) -> None:
    """Slow endpoints as in pattern slow, with estimates that are off by step."""
    _slow(world)
    world.errs_by_step = True


@pattern("wanted-rack")
def _wanted_rack(world: SchedulerWorld) -> None:
    """Let most jobs want the same rack; tasks elsewhere take twice as long."""
    _misestimate(world)
    world.remote_factor = 2.0
