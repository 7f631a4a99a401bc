"""Named patterns of load for the virtual-time model of endpoints, store and callers."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

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

__all__ = ["PATTERNS", "SPARE_POOL", "Pattern", "build"]

LOAD_DURATION_S = 36.0
"""Time in which jobs are sent; four turns."""

TURN_S = 5.0
"""Length of a queue's turn; the next queue's begins ``GAP_S`` later."""

GAP_S = 3.0

PEAK = 4.0
"""Factor on a queue's mean rate in its turn."""

TROUGH = 0.05
"""The same outside its turn."""

INSTANCES_A_POOL = 6
RACK = 4
SPARE_POOL = ServiceName("spare")
WORKSPACES = tuple(WorkspaceName(f"w{n}") for n in range(6))
POOLS = tuple(ServiceName(f"s{n}") for n in range(4))


class Kind(NamedTuple):
    """One kind of job.

    :param rate: mean number a second
    :param steps: mean number of steps
    :param width: mean number of tasks of a step
    :param work_ms: mean time of a task
    :param cpu: mean size of a task in thousandths of a core
    """

    rate: float
    steps: float
    width: float
    work_ms: float
    cpu: float


SHORT = Kind(5.8, 1.6, 6.0, 1000.0, 880.0)
LONG = Kind(1.1, 2.0, 8.0, 1700.0, 1900.0)
KINDS = dict(zip(POOLS, (SHORT, LONG, SHORT, LONG), strict=True))


class Pattern(NamedTuple):
    """A pattern of load.

    :param disturb: adds what happens besides the turns
    """

    name: str
    summary: str
    disturb: Callable[[SchedulerWorld], None]


PATTERNS: dict[str, Pattern] = {}

Disturb = Callable[[SchedulerWorld], None]


def pattern(name: str) -> Callable[[Disturb], Disturb]:
    """Register a function as a pattern; its docstring is the summary."""

    def register(disturb: Disturb) -> Disturb:
        summary = (disturb.__doc__ or "").strip().splitlines()[0]
        PATTERNS[name] = Pattern(name, summary, disturb)
        return disturb

    return register


def build(name: str, seed: int, simplest: bool = False) -> SchedulerWorld:
    """Return a world in which a pattern's jobs are about to come.

    :param simplest: whether jobs are served by arrival and no instance is lent
    """
    world = SchedulerWorld(seed)
    if simplest:
        world.queue_order = "arrival"
    world.duration_sigma = 0.15
    for pool in POOLS:
        queue = QueueSpec(QueueName(f"q-{pool}"), "h", f"/{pool}/", pool)
        world.cfg.queues[queue.name] = queue
        world.cfg.services[pool] = ServiceSpec(pool)
    world.cfg.services[SPARE_POOL] = ServiceSpec(SPARE_POOL, spare=not simplest)
    for workspace in WORKSPACES:
        world.cfg.workspaces[workspace] = WorkspaceSpec(workspace, weight=2.0)
    number = 0
    for pool in (*POOLS, SPARE_POOL):
        for _ in range(INSTANCES_A_POOL):
            rack = f"r{number // RACK}"
            if pool == SPARE_POOL:
                world.add_instance(f"i{number}", pool, rack)
            else:
                world.add_worker(f"i{number}", pool, rack)
            number += 1
    world.take_term("a")
    world.run(6.0)
    _send_lasting(world)
    _send_turns(world)
    PATTERNS[name].disturb(world)
    return world


def _send_lasting(world: SchedulerWorld) -> None:
    for pool in POOLS:
        for number in range(3):
            step = StepSpec(
                5, 700, 2000, lasting=True, max_unavailable=1, most_per_endpoint=3
            )
            spec = _job(world, f"last-{pool}-{number}", pool, (step,), 2500)
            world.submit(spec)


def _send_turns(world: SchedulerWorld) -> None:
    for turn, pool in enumerate(POOLS):
        kind = KINDS[pool]
        begin = 1.0 + turn * (TURN_S + GAP_S)
        at = 0.0
        for number in itertools.count():
            busy = begin <= at < begin + TURN_S
            at += world.rng.expovariate(kind.rate * (PEAK if busy else TROUGH))
            if at > LOAD_DURATION_S:
                break
            world.call_later(at, _sender(world, pool, kind, f"{pool}-{number}"))


def _sender(
    world: SchedulerWorld, pool: ServiceName, kind: Kind, name: str
) -> Callable[[], None]:
    def send() -> None:
        steps = _chain(world.rng, kind)
        world.submit(_job(world, name, pool, steps, 600))

    return send


def _chain(rng: random.Random, kind: Kind) -> tuple[StepSpec, ...]:
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


def _job(
    world: SchedulerWorld,
    name: str,
    pool: ServiceName,
    steps: tuple[StepSpec, ...],
    goal_ms: int,
) -> JobSpec:
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
    """Let each queue in turn ask four times its mean, and a twentieth in between."""


@pattern("wave")
def _wave(world: SchedulerWorld) -> None:
    """Let half of the instances be due for maintenance within 26 s."""
    instances = sorted(world.pool_of)[::2]

    def ask() -> None:
        world.request_wave(WaveSpec(1, tuple(instances), world.now + 26.0, 6))

    world.call_later(2.0, ask)


@pattern("rack-lost")
def _rack_lost(world: SchedulerWorld) -> None:
    """Let the rack that carries most of the second turn go dark."""

    def lose() -> None:
        busy = max(world.workers.values(), key=lambda w: w.used_resources().cpu)
        for worker in list(world.workers.values()):
            if worker.rack == busy.rack and worker.up:
                worker.crash()

    world.call_later(1.0 + TURN_S + GAP_S + 2.0, lose)


@pattern("takeover")
def _takeover(world: SchedulerWorld) -> None:
    """Let the scheduling node die in two turns, and another one take over."""

    def replace(name: str) -> None:
        def take() -> None:
            world.take_term(name)

        world.nodes.clear()
        world.call_later(1.0, take)

    world.call_later(4.0, lambda: replace("b"))
    world.call_later(1.0 + 2 * (TURN_S + GAP_S) + 2.0, lambda: replace("c"))


@pattern("unanswered")
def _unanswered(world: SchedulerWorld) -> None:
    """Let 6 % of orders be carried out late, and 6 % of holds get no answer."""
    world.late_order_rate = world.poll_loss_rate = 0.06


@pattern("heaviest")
def _heaviest(world: SchedulerWorld) -> None:
    """Let all of that happen together."""
    for name in ("wave", "rack-lost", "takeover"):
        PATTERNS[name].disturb(world)
