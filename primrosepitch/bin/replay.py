"""Program ``primrose-replay``: replay traces through the reducers and check facts.

The statement of ``NAME.trace`` or ``NAME.trace.gz`` is in ``NAME.yaml`` beside it::

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
    """Modules and names of a program's reducer, imported only if a trace needs them."""

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
    """Bounds of the value of a fact, both inclusive."""

    at_least: int = 0
    at_most: int = sys.maxsize

    def contains(self, value: int) -> bool:
        """Return whether a value is within the bounds."""
        return self.at_least <= value <= self.at_most


class Statement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Statement about a trace, read from the YAML file beside it.

    :param property: name of the property that the trace shows
    :param expected: values or bounds of facts
    :param options: further arguments of the reducer's state
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

    :param events: number of replayed events
    :param problems: descriptions of what did not hold
    """

    events: int
    facts: Counter[str]
    problems: list[str]


def replay(trace: Path, statement: Statement) -> Replayed:
    """Feed a trace to its reducer and compare effects and facts.

    :raises ValueError: if the program is unknown
    :raises msgspec.DecodeError: if a line of the trace is malformed
    """
    program = PROGRAMS.get(statement.program)
    if program is None:
        raise ValueError(f"unknown program {statement.program}")
    step = importlib.import_module(program.reducer).step
    union = getattr(importlib.import_module(program.events), program.union)
    make_state = getattr(importlib.import_module(program.state_module), program.state)
    state = make_state(statement.session, statement.dc, **statement.options)
    facts = FACTS_BY_PROGRAM[statement.program]()
    problems = []
    number = 0
    for number, (event, recorded) in enumerate(read_trace(trace, union), start=1):
        facts.before_event(state, event)
        effects = step(state, event)
        facts.after_event(state, event, effects)
        if digest(effects) != recorded:
            kind = type(event).__name__
            problems.append(
                f"line {number}: effects of {kind} differ from the trace: {effects}"
            )
            break
    facts.finish()
    if not number:
        problems.append("the trace has no events")
    problems += _unmet_expectations(statement, facts.counts)
    return Replayed(number, facts.counts, problems)


def _unmet_expectations(statement: Statement, facts: Counter[str]) -> list[str]:
    """Return descriptions of the stated facts that do not hold."""
    found = []
    for name, expected in statement.expected.items():
        bounds = expected
        if isinstance(bounds, int):
            bounds = Bounds(bounds, bounds)
        if not bounds.contains(facts[name]):
            found.append(f"{name} is {facts[name]}, expected {expected}")
    if not statement.expected:
        found.append("no expected facts are stated")
    return found


def _read_statement(trace: Path) -> Statement:
    """Read the statement beside a trace.

    :raises ValueError: if it is missing or invalid
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


def _find_traces(paths: list[Path]) -> list[Path]:
    """Return the given traces and those in the given folders."""
    found = []
    for path in paths:
        if path.is_dir():
            found += sorted(f for f in path.rglob("*") if f.name.endswith(SUFFIXES))
        else:
            found.append(path)
    return found


app = typer.Typer(pretty_exceptions_enable=False, rich_markup_mode=None)


def _version(requested: bool) -> None:
    if requested:
        print(f"primrose-replay {__version__}")
        raise typer.Exit


@app.command()
def run(
    traces: Annotated[
        list[Path], typer.Argument(help="Traces or folders with traces.")
    ],
    facts: Annotated[
        bool, typer.Option("--facts", help="Print all facts of each trace.")
    ] = False,
    check: Annotated[
        bool,
        typer.Option("--check", help="Check only the statements, without a replay."),
    ] = False,
    version: Annotated[
        bool, typer.Option("--version", callback=_version, is_eager=True)
    ] = False,
) -> None:
    """Replay traces and check the facts stated beside them.

    Exit codes: 0 all hold; 1 one does not hold or cannot be read; 2 wrong usage.
    """
    if check:
        _check_statements(_find_traces(traces))
        return
    total: Counter[str] = Counter()
    held: Counter[str] = Counter()
    for trace in _find_traces(traces):
        name, problems = _check_trace(trace, facts)
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
    """Print the errors of the statements; exit with 1 if there are any."""
    invalid = 0
    for trace in traces:
        try:
            _read_statement(trace)
        except ValueError as exc:
            print(f"{trace}: {exc}", file=sys.stderr)
            invalid += 1
    print(f"{len(traces)} traces, {invalid} with an invalid statement")
    if invalid or not traces:
        raise typer.Exit(1)


def _check_trace(trace: Path, show: bool) -> tuple[str, list[str]]:
    """Replay one trace and return its property and what did not hold."""
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
