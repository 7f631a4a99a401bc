"""Simulates named load patterns in virtual time and prints the share served."""

from __future__ import annotations

import json
from typing import Annotated, TypeVar

import msgspec
import typer

from primrosepitch.events import ENDPOINT_SLOW
from primrosepitch.jobs.model import JobSpec, JobState
from primrosepitch.scheduling.expansion import critical_path_ms
from primrosepitch.scheduling.ordering import RANKINGS
from standins import contention
from standins.patterns import LOAD_DURATION_S, PATTERNS, SPARE_POOL, build
from standins.scheduler_world import SchedulerWorld

__all__ = ["SETTLE_S", "Played", "app", "main", "mean", "simulate", "simulate_world"]

SETTLE_S = 14.0
"""Time after the last submission for accepted jobs to end."""

SAMPLE_S = 0.1
"""Interval at which instances and lasting tasks are counted."""

UNSERVED_FACTOR = 3.0
"""Multiple of its objective after which a job counts as unserved."""

LATE_VALUE = 0.07
"""Value of a late job relative to one in time, as in both users' score sheets."""


PARTS = ("speeds", "turns")
"""Parts of the scheduler that can be left out to measure what they bring."""

SHOWN = (
    "served",
    "late",
    "unserved",
    "moves",
    "thrown_away",
    "pool_s",
    "slow",
    "broken",
)
"""Figures that are printed of both sides of a comparison."""


class Played(msgspec.Struct):
    """Outcome of one run, or the mean of several.

    :param served: share of the value of all jobs; large jobs count up to four times
    :param late: jobs that ended after their objective
    :param unserved: jobs that took over three objectives, or did not end
    :param lasting: share of the time for which lasting tasks were running
    :param moves: instances moved between pools
    :param refused_moves: moves refused because the instance was down
    :param pool_s: instance-seconds in pools other than the spare pool
    :param thrown_away: runs that ended by a stop, an expired lease or a broken gang
    :param slow: number of times that an endpoint was found slow
    :param broken: number of rule violations; the simulation lists them
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
    slow: float = 0
    broken: float = 0


def simulate(name: str, seed: int, baseline: bool = False, without: str = "") -> Played:
    """Simulate a pattern once.

    :param name: key of ``PATTERNS``
    :param baseline: whether jobs are served in order of arrival and no instance is lent
    :param without: part of the scheduler that is not used
    """
    return simulate_world(build(name, seed, baseline, without))


def simulate_world(world: SchedulerWorld) -> Played:
    """Run a simulation to its end and summarize it."""
    result = Played()
    samples = round((LOAD_DURATION_S + SETTLE_S) / SAMPLE_S)
    lasting = [s for s in world.specs.values() if s.lasting]
    lasting_tasks = sum(step.tasks for spec in lasting for step in spec.steps)
    for _ in range(samples):
        world.run(SAMPLE_S)
        result.pool_s += SAMPLE_S * sum(p != SPARE_POOL for p in world.pool_of.values())
        running = sum(
            run.spec.lasting for w in world.workers.values() for run in w.runs.values()
        )
        result.lasting += running / lasting_tasks / samples
    _count_jobs(world, result)
    result.moves = world.counts["moves done"]
    result.refused_moves = world.counts["moves busy"]
    result.thrown_away = sum(
        world.counts[end] for end in ("stopped", "lapsed", "broken")
    )
    result.slow = world.events[ENDPOINT_SLOW.number]
    result.broken = len(world.violations)
    return result


def _count_jobs(world: SchedulerWorld, result: Played) -> None:
    specs = [spec for spec in world.specs.values() if not spec.lasting]
    mean_work = sum(map(_work_size, specs)) / len(specs)
    total_value = served_value = 0.0
    for spec in specs:
        value = min(4.0, 0.3 + 0.7 * _work_size(spec) / mean_work)
        total_value += value
        objective_s = (spec.stretch * critical_path_ms(spec) + spec.goal_ms) / 1000
        ended = world.completed_at.get(spec.job)
        took_s = ended - world.accepted_at[spec.job] if ended else float("inf")
        done = world.state_of(spec.job) is JobState.COMPLETED
        if not done or took_s > UNSERVED_FACTOR * objective_s:
            result.unserved += 1
        elif took_s > objective_s:
            result.late += 1
            served_value += LATE_VALUE * value
        else:
            served_value += value
    result.jobs = len(specs)
    result.served = served_value / total_value


def _work_size(spec: JobSpec) -> float:
    return sum(s.tasks * s.cpu * s.estimate_ms for s in spec.steps)


app = typer.Typer(add_completion=False)


@app.command()
def run(
    patterns: Annotated[
        list[str] | None, typer.Argument(help=f"Any of: {', '.join(PATTERNS)}.")
    ] = None,
    seeds: Annotated[int, typer.Option(help="Simulate each with seeds 1 to N.")] = 5,
    simplest: Annotated[
        bool,
        typer.Option(help="Baseline: serve in order of arrival and lend no instance."),
    ] = False,
    compare: Annotated[
        str,
        typer.Option(
            help=f"Simulate without and with a part ({', '.join(PARTS)}), or with two "
            "rankings, as urgency,value."
        ),
    ] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON lines.")] = False,
) -> None:
    """Simulate load patterns and print means over the seeds.

    Exit codes: 0 no rule violated; 1 a rule violated; 2 wrong usage.
    """
    names = patterns or list(PATTERNS)
    unknown = [name for name in names if name not in PATTERNS]
    if unknown or seeds < 1:
        problem = f"unknown pattern {unknown[0]}" if unknown else "--seeds is below 1"
        typer.echo(f"{problem}; use any of {', '.join(PATTERNS)}, --seeds 1 or more")
        raise typer.Exit(2)
    if compare and compare not in PARTS and not _is_ranking_pair(compare):
        pair = f"two of {', '.join(RANKINGS)} with a comma"
        typer.echo(f"unknown --compare {compare}; use {', '.join(PARTS)}, or {pair}")
        raise typer.Exit(2)
    broken = False
    for name in names:
        if compare:
            print_outcomes = _print_comparison if compare in PARTS else _print_rankings
            broken = print_outcomes(name, seeds, compare) or broken
            continue
        summary = mean([simulate(name, seed, simplest) for seed in range(1, seeds + 1)])
        broken = broken or summary.broken > 0
        row = msgspec.to_builtins(summary)
        if as_json:
            typer.echo(json.dumps({"pattern": name, "seeds": seeds, **row}))
        else:
            figures = " ".join(f"{key}={value:.3g}" for key, value in row.items())
            typer.echo(f"{name}: seeds={seeds} {figures}")
    if broken:
        raise typer.Exit(1)


def _is_ranking_pair(text: str) -> bool:
    rankings = text.split(",")
    return len(rankings) == 2 and set(rankings) <= RANKINGS.keys()


def _print_rankings(name: str, seeds: int, pair: str) -> bool:
    """Print each seed with two rankings; return whether a rule was violated."""
    rankings = pair.split(",")
    runs: dict[str, list[contention.Outcome]] = {ranking: [] for ranking in rankings}
    for seed in range(1, seeds + 1):
        for ranking in rankings:
            world = build(name, seed, ranking=ranking)
            simulate_world(world)
            runs[ranking].append(contention.outcome(world))
        worths = " ".join(f"{r}={runs[r][-1].worth:.3f}" for r in rankings)
        typer.echo(f"{name}: seed={seed} worth {worths}")
    means = {ranking: msgspec.to_builtins(mean(runs[ranking])) for ranking in rankings}
    for key in contention.Outcome.__struct_fields__:
        figures = " ".join(f"{r}={means[r][key]:.3f}" for r in rankings)
        typer.echo(f"{name}: mean {key} {figures}")
    return any(means[ranking]["broken"] > 0 for ranking in rankings)


def _print_comparison(name: str, seeds: int, part: str) -> bool:
    """Print each seed without and with a part; return whether a rule was violated."""
    pairs = [
        (simulate(name, seed, without=part), simulate(name, seed))
        for seed in range(1, seeds + 1)
    ]
    rows = [(f"seed {seed}", *pair) for seed, pair in enumerate(pairs, 1)]
    rows.append(("mean", mean([p[0] for p in pairs]), mean([p[1] for p in pairs])))
    for label, without, played in rows:
        figures = " ".join(
            f"{key}={getattr(without, key):.3g}/{getattr(played, key):.3g}"
            for key in SHOWN
        )
        typer.echo(f"{name}: without/with {part} {label} {figures}")
    return any(played.broken for pair in pairs for played in pair)


_Result = TypeVar("_Result", bound=msgspec.Struct)


def mean(results: list[_Result]) -> _Result:
    """Return the mean of the outcomes of several runs."""
    rows = [msgspec.to_builtins(result) for result in results]
    means = {key: sum(row[key] for row in rows) / len(rows) for key in rows[0]}
    return msgspec.convert(means, type(results[0]))


def main() -> None:
    """Run ``primrose-model``."""
    app(prog_name="primrose-model")


if __name__ == "__main__":
    main()
