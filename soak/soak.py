"""Plays patterns of load with faults drawn from a seed, and reports broken rules."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Annotated

import typer

from standins.model import SETTLE_S
from standins.patterns import LOAD_DURATION_S, PATTERNS, build
from standins.scheduler_world import Node, SchedulerWorld, Worker

__all__ = ["FAULTS", "app", "main", "run_soak"]

FAULT_GAP_S = 2.5
"""Mean time between two faults; the users' days have one in 2 to 5 s."""

TAKEOVER_S = (1.1, 2.5)
"""Shortest and longest time until another node schedules."""

Fault = Callable[[SchedulerWorld, random.Random], None]
FAULTS: dict[str, Fault] = {}


def fault(inject: Fault) -> Fault:
    """Register a fault under its function's name."""
    FAULTS[inject.__name__] = inject
    return inject


def _someone(world: SchedulerWorld, rng: random.Random) -> Worker | None:
    up = [worker for worker in world.workers.values() if worker.up]
    busy = [worker for worker in up if worker.runs]
    return rng.choice(busy or up) if up else None


def _replace(world: SchedulerWorld, rng: random.Random) -> None:
    """Let another node take the term in a while."""
    name = f"n{world.newest_term + 1}"

    def take() -> None:
        world.take_term(name)

    world.call_later(rng.uniform(*TAKEOVER_S), take)


def _holder(world: SchedulerWorld) -> Node | None:
    return next((n for n in world.nodes if n.state.term == world.newest_term), None)


@fault
def node_killed(world: SchedulerWorld, rng: random.Random) -> None:
    """Kill the scheduling node; another one takes over."""
    node = _holder(world)
    if node is not None and world.store_up:
        world.nodes.remove(node)
        _replace(world, rng)


@fault
def node_frozen(world: SchedulerWorld, rng: random.Random) -> None:
    """Freeze the scheduling node past its term, and wake it."""
    node = _holder(world)
    if node is None or node.frozen or not world.store_up:
        return
    node.frozen = True
    _replace(world, rng)
    world.call_later(rng.uniform(2.6, 7.0), node.thaw)


@fault
def endpoint_cut(world: SchedulerWorld, rng: random.Random) -> None:
    """Cut an endpoint off; it runs on."""
    worker = _someone(world, rng)
    if worker is not None:
        worker.cut = True
        world.call_later(rng.uniform(0.3, 8.0), lambda: setattr(worker, "cut", False))


@fault
def endpoint_reborn(world: SchedulerWorld, rng: random.Random) -> None:
    """Restart an endpoint under its id."""
    worker = _someone(world, rng)
    if worker is not None and worker.lease_expiry_ms:
        worker.crash()
        worker.restart()
        world.publish_report(worker)


@fault
def endpoint_hangs(world: SchedulerWorld, rng: random.Random) -> None:
    """Let nothing move on an endpoint for what it starts from now on."""
    worker = _someone(world, rng)
    if worker is not None:
        worker.slower = float("inf")
        world.call_later(rng.uniform(2.0, 6.0), lambda: setattr(worker, "slower", 1.0))


@fault
def endpoint_fails(world: SchedulerWorld, rng: random.Random) -> None:
    """Let an endpoint fail all that it starts."""
    worker = _someone(world, rng)
    if worker is not None:
        worker.fails_all = True
        world.call_later(
            rng.uniform(1.0, 4.0), lambda: setattr(worker, "fails_all", False)
        )


@fault
def store_down(world: SchedulerWorld, rng: random.Random) -> None:
    """Take the store away for a while."""
    if world.store_up:
        world.store_up = False
        world.call_later(
            rng.uniform(0.2, 3.0), lambda: setattr(world, "store_up", True)
        )


@fault
def store_slow(world: SchedulerWorld, rng: random.Random) -> None:
    """Slow the store down."""
    usual, world.store_s = world.store_s, rng.uniform(0.1, 0.3)
    world.call_later(rng.uniform(1.0, 4.0), lambda: setattr(world, "store_s", usual))


@fault
def answers_lost(world: SchedulerWorld, rng: random.Random) -> None:
    """Lose answers of endpoints, and carry orders out late."""
    world.answer_loss_rate, world.late_order_rate, world.poll_loss_rate = (
        0.1,
        0.05,
        0.06,
    )

    def calm() -> None:
        world.answer_loss_rate = world.late_order_rate = world.poll_loss_rate = 0.0

    world.call_later(rng.uniform(1.0, 5.0), calm)


@fault
def jobs_cancelled(world: SchedulerWorld, rng: random.Random) -> None:
    """Cancel a few jobs that have not ended."""
    open_jobs = [job for job in world.specs if not world.ledger.jobs[job].state.final]
    for job in rng.sample(open_jobs, min(3, len(open_jobs))):
        if not world.specs[job].lasting:
            world.cancel(job)


def run_soak(seed: int) -> tuple[list[str], list[str]]:
    """Play one run.

    :returns: the broken rules, and the faults with their times
    """
    rng = random.Random(seed)
    world = build(rng.choice(list(PATTERNS)), seed)
    done: list[str] = []
    end = world.now + LOAD_DURATION_S
    while world.now < end:
        world.run(rng.expovariate(1 / FAULT_GAP_S))
        name = rng.choice(list(FAULTS))
        done.append(f"{world.now:.2f} {name}")
        FAULTS[name](world, rng)
    world.run(SETTLE_S)
    return world.violations, done


app = typer.Typer(add_completion=False)


@app.command()
def run(
    runs: Annotated[int, typer.Option(help="How many runs.")] = 20,
    seed: Annotated[int, typer.Option(help="Seed of the first run.")] = 1,
) -> None:
    """Play runs with consecutive seeds.

    Exit codes: 0 no rule was broken; 1 one was.
    """
    failed = 0
    for number in range(seed, seed + runs):
        broken, faults = run_soak(number)
        if broken:
            failed += 1
            typer.echo(f"seed {number}: {broken[:3]}; faults: {', '.join(faults)}")
    typer.echo(f"soak: runs={runs} first_seed={seed} broken={failed}")
    if failed:
        raise typer.Exit(1)


def main() -> None:
    """Run the soak."""
    app(prog_name="python -m soak")
