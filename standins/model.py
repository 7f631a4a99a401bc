"""Plays named patterns of load in virtual time and prints who was served."""

from __future__ import annotations

import json
from typing import Annotated

import msgspec
import typer

from primrosepitch.jobs.model import JobSpec, JobState
from primrosepitch.scheduling.runs import critical_path_ms
from standins.patterns import LOAD_DURATION_S, PATTERNS, SPARE_POOL, build
from standins.scheduler_world import SchedulerWorld

__all__ = ["SETTLE_S", "Played", "app", "main", "mean", "simulate", "simulate_world"]

SETTLE_S = 14.0
"""Time after the last job for what was accepted to end."""

SAMPLE_S = 0.1
"""Interval at which instances in pools are counted."""

LATE_FACTOR = 3.0
"""Objectives after which a job counts as unserved."""

LATE_WORTH = 0.07
"""Worth of a late job relative to one in time, as the sheets of both users have it."""


class Played(msgspec.Struct):
    """Outcome of one run, or the mean of several.

    :param served: share of the worth of all jobs; large jobs count up to four times
    :param late: jobs that ended after their objective
    :param unserved: jobs that took over three objectives, or did not end
    :param lasting: share of the time for which lasting tasks were at work
    :param pool_s: seconds of instances in pools that are not the spare one
    :param broken: number of broken rules; ``world`` tells them
    """

    jobs: float = 0
    served: float = 0
    late: float = 0
    unserved: float = 0
    lasting: float = 0
    moves: float = 0
    refused_moves: float = 0
    pool_s: float = 0
    thrown_away: float = 0
    broken: float = 0


def simulate(name: str, seed: int, simplest: bool = False) -> Played:
    """Play a pattern once.

    :param name: key of ``PATTERNS``
    :param simplest: whether jobs are served by arrival and no instance is lent
    """
    return simulate_world(build(name, seed, simplest))


def simulate_world(world: SchedulerWorld) -> Played:
    """Play what is about to happen in a world, and count."""
    result = Played()
    samples = round((LOAD_DURATION_S + SETTLE_S) / SAMPLE_S)
    lasting = [s for s in world.specs.values() if s.lasting]
    wanted = sum(step.tasks for spec in lasting for step in spec.steps)
    for _ in range(samples):
        world.run(SAMPLE_S)
        result.pool_s += SAMPLE_S * sum(p != SPARE_POOL for p in world.pool_of.values())
        running = sum(
            run.spec.lasting for w in world.workers.values() for run in w.runs.values()
        )
        result.lasting += running / wanted / samples
    _count_jobs(world, result)
    result.moves = world.counts["moves done"]
    result.refused_moves = world.counts["moves busy"]
    result.thrown_away = sum(
        world.counts[how] for how in ("stopped", "lapsed", "broken")
    )
    result.broken = len(world.violations)
    return result


def _count_jobs(world: SchedulerWorld, result: Played) -> None:
    specs = [spec for spec in world.specs.values() if not spec.lasting]
    mean = sum(map(_work, specs)) / len(specs)
    owed = earned = 0.0
    for spec in specs:
        worth = min(4.0, 0.3 + 0.7 * _work(spec) / mean)
        owed += worth
        objective_s = (spec.stretch * critical_path_ms(spec) + spec.goal_ms) / 1000
        ended = world.completed_at.get(spec.job)
        took_s = ended - world.accepted_at[spec.job] if ended else float("inf")
        done = world.state_of(spec.job) is JobState.COMPLETED
        if not done or took_s > LATE_FACTOR * objective_s:
            result.unserved += 1
        elif took_s > objective_s:
            result.late += 1
            earned += LATE_WORTH * worth
        else:
            earned += worth
    result.jobs = len(specs)
    result.served = earned / owed


def _work(spec: JobSpec) -> float:
    return sum(s.tasks * s.cpu * s.estimate_ms for s in spec.steps)


app = typer.Typer(add_completion=False)


@app.command()
def run(
    patterns: Annotated[
        list[str] | None, typer.Argument(help=f"Any of: {', '.join(PATTERNS)}.")
    ] = None,
    seeds: Annotated[int, typer.Option(help="Play each with seeds 1 to N.")] = 5,
    simplest: Annotated[
        bool, typer.Option(help="Serve by arrival and lend nothing, to compare.")
    ] = False,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON lines.")] = False,
) -> None:
    """Play patterns of load and print means over the seeds.

    Exit codes: 0 no rule was broken; 1 one was; 2 wrong usage.
    """
    names = patterns or list(PATTERNS)
    unknown = [name for name in names if name not in PATTERNS]
    if unknown or seeds < 1:
        what = f"unknown pattern {unknown[0]}" if unknown else "--seeds is below 1"
        typer.echo(f"{what}; use any of {', '.join(PATTERNS)}, --seeds 1 or more")
        raise typer.Exit(2)
    broken = False
    for name in names:
        played = mean([simulate(name, seed, simplest) for seed in range(1, seeds + 1)])
        broken = broken or played.broken > 0
        row = msgspec.to_builtins(played)
        if as_json:
            typer.echo(json.dumps({"pattern": name, "seeds": seeds, **row}))
        else:
            figures = " ".join(f"{key}={value:.3g}" for key, value in row.items())
            typer.echo(f"{name}: seeds={seeds} {figures}")
    if broken:
        raise typer.Exit(1)


def mean(results: list[Played]) -> Played:
    """Return the mean of several runs."""
    rows = [msgspec.to_builtins(result) for result in results]
    means = {key: sum(row[key] for row in rows) / len(rows) for key in rows[0]}
    return msgspec.convert(means, Played)


def main() -> None:
    """Run ``primrose-model``."""
    app(prog_name="primrose-model")


if __name__ == "__main__":
    main()
