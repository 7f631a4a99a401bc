"""Simulates load patterns with seeded random faults and reports rule violations."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Annotated

import typer
from msgspec import structs

from primrosepitch.jobs.model import JobId, QueueName, StepSpec
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import Configuration
from standins.model import SETTLE_S
from standins.patterns import LOAD_DURATION_S, PATTERNS, build
from standins.scheduler_world import Node, SchedulerWorld, Worker

__all__ = ["FAULTS", "app", "main", "run_soak"]

FAULT_GAP_S = 2.5
"""Mean time between two faults; the users' workloads have one every 2 to 5 s."""

TAKEOVER_RANGE_S = (1.1, 2.5)
"""Minimum and maximum time until another node takes the term."""

Fault = Callable[[SchedulerWorld, random.Random], None]
FAULTS: dict[str, Fault] = {}


def fault(inject: Fault) -> Fault:
    """Register a fault under its function's name."""
    FAULTS[inject.__name__] = inject
    return inject


def _pick_worker(world: SchedulerWorld, rng: random.Random) -> Worker | None:
    up = [worker for worker in world.workers.values() if worker.up]
    busy = [worker for worker in up if worker.runs]
    return rng.choice(busy or up) if up else None


def _schedule_takeover(world: SchedulerWorld, rng: random.Random) -> None:
    """Let another node take the term after a random delay."""
    name = f"n{world.newest_term + 1}"

    def take() -> None:
        world.take_term(name)

    world.call_later(rng.uniform(*TAKEOVER_RANGE_S), take)


def _scheduling_node(world: SchedulerWorld) -> Node | None:
    return next((n for n in world.nodes if n.state.term == world.newest_term), None)


@fault
def node_killed(world: SchedulerWorld, rng: random.Random) -> None:
    """Kill the scheduling node; another node takes over."""
    node = _scheduling_node(world)
    if node is not None and world.store_up:
        world.nodes.remove(node)
        _schedule_takeover(world, rng)


@fault
def node_frozen(world: SchedulerWorld, rng: random.Random) -> None:
    """Suspend the scheduling node beyond its term, then resume it."""
    node = _scheduling_node(world)
    if node is None or node.frozen or not world.store_up:
        return
    node.frozen = True
    _schedule_takeover(world, rng)
    world.call_later(rng.uniform(2.6, 7.0), node.thaw)


@fault
def endpoint_cut(world: SchedulerWorld, rng: random.Random) -> None:
    """Cut an endpoint off from the nodes while it continues to run."""
    worker = _pick_worker(world, rng)
    if worker is not None:
        worker.cut = True
        world.call_later(rng.uniform(0.3, 8.0), lambda: setattr(worker, "cut", False))


@fault
def endpoint_reborn(world: SchedulerWorld, rng: random.Random) -> None:
    """Crash an endpoint and restart it under the same id."""
    worker = _pick_worker(world, rng)
    if worker is not None and worker.lease_expiry_ms:
        worker.crash()
        worker.restart()
        world.publish_report(worker)


@fault
def endpoint_hangs(world: SchedulerWorld, rng: random.Random) -> None:
    """Make new runs on an endpoint hang."""
    worker = _pick_worker(world, rng)
    if worker is not None:
        worker.slower = float("inf")
        world.call_later(rng.uniform(2.0, 6.0), lambda: setattr(worker, "slower", 1.0))


@fault
def endpoint_fails(world: SchedulerWorld, rng: random.Random) -> None:
    """Make all new runs on an endpoint fail."""
    worker = _pick_worker(world, rng)
    if worker is not None:
        worker.fails_all = True
        world.call_later(
            rng.uniform(1.0, 4.0), lambda: setattr(worker, "fails_all", False)
        )


@fault
def store_down(world: SchedulerWorld, rng: random.Random) -> None:
    """Make the store unavailable for a while."""
    if world.store_up:
        world.store_up = False
        world.call_later(
            rng.uniform(0.2, 3.0), lambda: setattr(world, "store_up", True)
        )


@fault
def store_slow(world: SchedulerWorld, rng: random.Random) -> None:
    """Slow down appends to the store."""
    normal_s, world.store_s = world.store_s, rng.uniform(0.1, 0.3)
    world.call_later(rng.uniform(1.0, 4.0), lambda: setattr(world, "store_s", normal_s))


@fault
def answers_lost(world: SchedulerWorld, rng: random.Random) -> None:
    """Drop answers of endpoints, and delay the execution of orders."""
    world.answer_loss_rate, world.late_order_rate, world.poll_loss_rate = (
        0.1,
        0.05,
        0.06,
    )

    def clear_faults() -> None:
        world.answer_loss_rate = world.late_order_rate = world.poll_loss_rate = 0.0

    world.call_later(rng.uniform(1.0, 5.0), clear_faults)


@fault
def jobs_cancelled(world: SchedulerWorld, rng: random.Random) -> None:
    """Cancel a few jobs that have not ended."""
    open_jobs = [job for job in world.specs if not world.ledger.jobs[job].state.final]
    for job in rng.sample(open_jobs, min(3, len(open_jobs))):
        if not world.specs[job].lasting:
            world.cancel(job)


def _submit_large(
    world: SchedulerWorld, rng: random.Random, step: StepSpec, **options: int
) -> JobId | None:
    """Submit a job of one step beside the load; return its id."""
    if not world.specs:
        return None
    like = rng.choice(list(world.specs.values()))
    job = JobId(f"{rng.getrandbits(64):016x}")
    accepted_ms = world.wall_ms
    changes = {"job": job, "steps": (step,), "accepted_ms": accepted_ms, **options}
    world.submit(structs.replace(like, **changes))
    return job


@fault
def schedule_overdue(world: SchedulerWorld, rng: random.Random) -> None:
    """Submit a schedule of many overdue occurrences; half of them can never run."""
    label = rng.choice(("", "unknown"))
    step = StepSpec(1, cpu=100, memory=64, estimate_ms=200, label=label)
    count = 2000 if label else 100
    first_ms = world.wall_ms - count * 1000
    options = {"repetitions": count, "interval_ms": 1000, "first_run_ms": first_ms}
    _submit_large(world, rng, step, **options)


@fault
def large_job_cancelled(world: SchedulerWorld, rng: random.Random) -> None:
    """Submit a job of many small tasks, and cancel it while they run."""
    step = StepSpec(500, cpu=20, memory=16, estimate_ms=20_000)
    job = _submit_large(world, rng, step)
    if job is not None:
        world.call_later(rng.uniform(0.1, 4.0), lambda: world.cancel(job))


@fault
def queues_renamed(world: SchedulerWorld, rng: random.Random) -> None:
    """Publish a version in which every queue has another name."""
    cfg = world.cfg
    version = cfg.version + 1
    queues = [
        structs.replace(queue, name=QueueName(f"{queue.service}-v{version}"))
        for queue in cfg.queues.values()
    ]
    world.cfg = Configuration(
        version,
        {queue.name: queue for queue in queues},
        cfg.services,
        cfg.workspaces,
        cfg.keys,
    )
    for node in world.nodes:
        if not node.frozen:
            node.feed(ev.ConfigurationChanged(world.cfg))


def run_soak(seed: int) -> tuple[list[str], list[str]]:
    """Simulate one run.

    :returns: rule violations, and injected faults with their times
    """
    rng = random.Random(seed)
    world = build(rng.choice(list(PATTERNS)), seed)
    injected: list[str] = []
    end = world.now + LOAD_DURATION_S
    while world.now < end:
        world.run(rng.expovariate(1 / FAULT_GAP_S))
        name = rng.choice(list(FAULTS))
        injected.append(f"{world.now:.2f} {name}")
        FAULTS[name](world, rng)
    world.run(SETTLE_S)
    return world.violations, injected


app = typer.Typer(add_completion=False)


@app.command()
def run(
    runs: Annotated[int, typer.Option(help="Number of runs.")] = 20,
    seed: Annotated[int, typer.Option(help="Seed of the first run.")] = 1,
) -> None:
    """Simulate runs with consecutive seeds.

    Exit codes: 0 no rule violated; 1 a rule violated.
    """
    failed = 0
    for number in range(seed, seed + runs):
        violations, faults = run_soak(number)
        if violations:
            failed += 1
            typer.echo(f"seed {number}: {violations[:3]}; faults: {', '.join(faults)}")
    typer.echo(f"soak: runs={runs} first_seed={seed} broken={failed}")
    if failed:
        raise typer.Exit(1)


def main() -> None:
    """Run the soak."""
    app(prog_name="python -m soak")
