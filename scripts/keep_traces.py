"""Store traces of a recorded demo with their outcomes from trace_outcomes.yaml.

Arguments: name of the fault, folder of the run, folder of the stored traces.
"""

from __future__ import annotations

import gzip
import shutil
import sys
from pathlib import Path
from typing import Any

import msgspec
import yaml

from primrosepitch.bin.replay import Statement, replay
from primrosepitch.fleet.records import SessionOpened
from primrosepitch.ids import SessionId
from primrosepitch.planning.events import PlannerEvent
from primrosepitch.request.events import EntryEvent
from primrosepitch.trace import read_trace

OUTCOMES = Path(__file__).with_name("trace_outcomes.yaml")
EVENTS = {"entry": EntryEvent, "planner": PlannerEvent}


def first_session(trace: Path, process: str, program: str) -> SessionId:
    """Return the first session that a process opened, from its own trace.

    :raises ValueError: if it opened no session
    """
    for event, _ in read_trace(trace, EVENTS[program]):
        record = getattr(event, "record", None)
        if isinstance(record, SessionOpened) and record.session.startswith(process):
            return record.session
    raise ValueError(f"{trace}: no session opened by process {process}")


def store_trace(
    fault: str, run: Path, outcome: dict[str, Any], folder: Path
) -> list[str]:
    """Store one trace if its stated outcomes hold.

    :returns: the problems found; nothing is stored if there are any
    """
    process = outcome["trace"]
    dc, program, _ = process.split("-")
    trace = run / f"{process}.trace"
    statement = {
        "property": outcome["property"],
        "program": program,
        "session": first_session(trace, process, program),
        "dc": dc,
        "fault": fault,
        "expected": outcome["expected"],
    }
    problems = replay(trace, msgspec.convert(statement, Statement)).problems
    if problems:
        return [f"{trace}: {p}" for p in problems]
    folder.mkdir(parents=True, exist_ok=True)
    # A fixed time stamp makes the compressed file reproducible.
    packed = gzip.compress(trace.read_bytes(), mtime=0)
    (folder / f"{process}.trace.gz").write_bytes(packed)
    text = yaml.safe_dump(statement, sort_keys=False)
    (folder / f"{process}.yaml").write_text(text, encoding="utf-8")
    return []


def main() -> int:
    """Replace the stored traces of one fault."""
    fault, run, root = sys.argv[1], Path(sys.argv[2]), Path(sys.argv[3])
    outcomes = yaml.safe_load(OUTCOMES.read_text(encoding="utf-8"))[fault]
    staging = run / "kept"
    shutil.rmtree(staging, ignore_errors=True)
    problems = [p for one in outcomes for p in store_trace(fault, run, one, staging)]
    if problems:
        print("\n".join(problems), file=sys.stderr)
        return 1
    shutil.rmtree(root / fault, ignore_errors=True)
    root.mkdir(exist_ok=True)
    shutil.copytree(staging, root / fault)
    return 0


if __name__ == "__main__":
    sys.exit(main())
