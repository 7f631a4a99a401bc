"""Replay of recorded traces through the reducers, with their stated outcomes.

Beside ``NAME.trace`` or ``NAME.trace.gz`` lies ``NAME.yaml``::

    property: at_most_once        # one of PROPERTIES
    program: entry                # or planner
    session: linz-entry-1-0a1b    # session and data centre of the recorded process
    dc: linz
    fault: answers of an endpoint were lost
    expected:                     # facts of primrosepitch/facts.py
      sends_twice: 0
      outcome.unknown: {at_least: 1}
"""

from __future__ import annotations

import importlib
import sys
import zlib
from collections import Counter
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import msgspec
import typer
import yaml

from primrosepitch import __version__
from primrosepitch.facts import FACTS_BY_PROGRAM
from primrosepitch.trace import digest, read_trace

__all__ = ["PROPERTIES", "Bounds", "Replayed", "Statement", "app", "main", "replay"]

SUFFIXES = (".trace", ".trace.gz")

PROPERTIES = (
    "availability_budget",
    "one_pool",
    "keys",
    "upper_limit",
    "whole_answer",
    "not_run_is_true",
    "at_most_once",
    "leaving_endpoint",
    "graceful_stop",
    "configuration_in_force",
)
"""Properties of section 1.2 of docs/design.md, in its order."""


class Program(NamedTuple):
    """Where the reducer of a program is; loaded only when a trace needs it."""

    reducer: str
    events: str
    union: str
    state_module: str
    state: str


PROGRAMS = {
    "entry": Program(
        "primrosepitch.request.reducer",
        "primrosepitch.request.events",
        "EntryEvent",
        "primrosepitch.request.state",
        "EntryState",
    ),
    "planner": Program(
        "primrosepitch.planning.reducer",
        "primrosepitch.planning.events",
        "PlannerEvent",
        "primrosepitch.planning.state",
        "PlannerState",
    ),
}


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Least and most value of a fact."""

    at_least: int = 0
    at_most: int = sys.maxsize

    def hold(self, value: int) -> bool:
        """Whether a value is within the bounds."""
        return self.at_least <= value <= self.at_most


class Statement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is stated beside a trace.

    :param property: name of the property that it shows
    :param expected: facts that must hold
    :param options: further settings of the reducer's state
    """

    property: str
    program: str
    session: str
    dc: str
    expected: dict[str, int | Bounds]
    fault: str = ""
    options: dict[str, bool] = {}


class Replayed(msgspec.Struct, frozen=True):
    """Result of one replay.

    :param events: number of events
    :param problems: what did not hold
    """

    events: int
    facts: Counter[str]
    problems: list[str]


def replay(trace: Path, statement: Statement) -> Replayed:
    """Feed a trace to its reducer and compare.

    :raises ValueError: if the program is unknown
    :raises msgspec.DecodeError: if a line of the trace is malformed
    """
    program = PROGRAMS.get(statement.program)
    if program is None:
        raise ValueError(f"unknown program {statement.program}")
    step = importlib.import_module(program.reducer).step
    union = getattr(importlib.import_module(program.events), program.union)
    make = getattr(importlib.import_module(program.state_module), program.state)
    state = make(statement.session, statement.dc, **statement.options)
    facts = FACTS_BY_PROGRAM[statement.program]()
    problems = []
    number = 0
    for number, (event, recorded) in enumerate(read_trace(trace, union), start=1):
        facts.before_event(state, event)
        effects = step(state, event)
        facts.after_event(state, event, effects)
        if digest(effects) != recorded:
            kind = type(event).__name__
            problems.append(f"line {number}: other effects of {kind}: {effects}")
            break
    facts.finish()
    if not number:
        problems.append("the trace has no events")
    problems += _differences(statement, facts.counts)
    return Replayed(number, facts.counts, problems)


def _differences(statement: Statement, facts: Counter[str]) -> list[str]:
    """Return the stated facts that do not hold."""
    found = []
    for name, expected in statement.expected.items():
        bounds = expected
        if isinstance(bounds, int):
            bounds = Bounds(bounds, bounds)
        if not bounds.hold(facts[name]):
            found.append(f"{name} is {facts[name]}, stated is {expected}")
    if not statement.expected:
        found.append("no outcome is stated")
    return found


def _read_statement(trace: Path) -> Statement:
    """Read the file beside a trace.

    :raises ValueError: if it is missing or wrong
    """
    plain = trace.with_suffix("") if trace.suffix == ".gz" else trace
    path = plain.with_suffix(".yaml")
    try:
        raw: Any = yaml.safe_load(path.read_text(encoding="utf-8"))
        statement = msgspec.convert(raw, Statement)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as exc:
        raise ValueError(f"{path.name}: {exc}") from exc
    if statement.property not in PROPERTIES:
        raise ValueError(f"{path.name}: unknown property {statement.property}")
    return statement


def _traces(paths: list[Path]) -> list[Path]:
    """Return the named traces and those in the named folders."""
    found = []
    for path in paths:
        if path.is_dir():
            found += sorted(f for f in path.rglob("*") if f.name.endswith(SUFFIXES))
        else:
            found.append(path)
    return found


app = typer.Typer(pretty_exceptions_enable=False, rich_markup_mode=None)


def _version(wanted: bool) -> None:
    if wanted:
        print(f"primrose-replay {__version__}")
        raise typer.Exit


@app.command()
def run(
    traces: Annotated[list[Path], typer.Argument(help="Traces or folders of them.")],
    facts: Annotated[
        bool, typer.Option("--facts", help="Print all facts of each trace.")
    ] = False,
    check: Annotated[
        bool, typer.Option("--check", help="Check the statements; replay nothing.")
    ] = False,
    version: Annotated[
        bool, typer.Option("--version", callback=_version, is_eager=True)
    ] = False,
) -> None:
    """Replay traces and check the outcomes stated beside them.

    Exit codes: 0 all hold; 1 one does not hold or cannot be read; 2 wrong usage.
    """
    if check:
        _check_statements(_traces(traces))
        return
    total: Counter[str] = Counter()
    held: Counter[str] = Counter()
    for trace in _traces(traces):
        name, problems = _check(trace, facts)
        total[name] += 1
        held[name] += not problems
        for problem in problems:
            print(f"{trace}: {problem}", file=sys.stderr)
    for name in [*PROPERTIES, *sorted(total.keys() - set(PROPERTIES))]:
        print(f"property {name}: traces={total[name]} held={held[name]}")
    if not total:
        print("no traces were found", file=sys.stderr)
    if not total or held != total:
        raise typer.Exit(1)


def _check_statements(traces: list[Path]) -> None:
    """Print what is wrong with the files beside traces; exits with 1 if anything is."""
    wrong = 0
    for trace in traces:
        try:
            _read_statement(trace)
        except ValueError as exc:
            print(f"{trace}: {exc}", file=sys.stderr)
            wrong += 1
    print(f"{len(traces)} traces, {wrong} with a wrong statement")
    if wrong or not traces:
        raise typer.Exit(1)


def _check(trace: Path, show: bool) -> tuple[str, list[str]]:
    """Replay one trace; returns its property and what did not hold."""
    name = "unreadable"
    try:
        statement = _read_statement(trace)
        name = statement.property
        result = replay(trace, statement)
    except (OSError, EOFError, zlib.error, ValueError, TypeError) as exc:
        return name, [str(exc)]
    if show:
        for fact, value in sorted(result.facts.items()):
            print(f"{trace.name}: {fact}: {value}")
    return name, result.problems


def main() -> None:
    """Run ``primrose-replay``."""
    app(prog_name="primrose-replay")


if __name__ == "__main__":
    main()
