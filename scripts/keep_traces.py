"""Store traces of a recorded demo with the outcomes that scripts/ states for them.

Arguments: name of the fault, folder of the run, folder to store in.
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


def session_of(trace: Path, process: str, program: str) -> SessionId:
    """Return the session that a process opened first in its own trace.

    :raises ValueError: if it opened none
    """
    for event, _ in read_trace(trace, EVENTS[program]):
        record = getattr(event, "record", None)
        if isinstance(record, SessionOpened) and record.session.startswith(process):
            return record.session
    raise ValueError(f"{trace}: no session of {process} was opened")


def keep(fault: str, run: Path, outcome: dict[str, Any], folder: Path) -> list[str]:
    """Store one trace if the outcomes stated for it hold; returns what does not."""
    process = outcome["trace"]
    dc, program, _ = process.split("-")
    trace = run / f"{process}.trace"
    stated = {
        "property": outcome["property"],
        "program": program,
        "session": session_of(trace, process, program),
        "dc": dc,
        "fault": fault,
        "expected": outcome["expected"],
    }
    problems = replay(trace, msgspec.convert(stated, Statement)).problems
    if problems:
        return [f"{trace}: {p}" for p in problems]
    folder.mkdir(parents=True, exist_ok=True)
    # Without a time stamp the same trace gives the same file.
    packed = gzip.compress(trace.read_bytes(), mtime=0)
    (folder / f"{process}.trace.gz").write_bytes(packed)
    text = yaml.safe_dump(stated, sort_keys=False)
    (folder / f"{process}.yaml").write_text(text, encoding="utf-8")
    return []


def main() -> int:
    """Store the traces of one fault in place of the former ones."""
    fault, run, root = sys.argv[1], Path(sys.argv[2]), Path(sys.argv[3])
    outcomes = yaml.safe_load(OUTCOMES.read_text(encoding="utf-8"))[fault]
    new = run / "kept"
    shutil.rmtree(new, ignore_errors=True)
    problems = [p for one in outcomes for p in keep(fault, run, one, new)]
    if problems:
        print("\n".join(problems), file=sys.stderr)
        return 1
    shutil.rmtree(root / fault, ignore_errors=True)
    root.mkdir(exist_ok=True)
    shutil.copytree(new, root / fault)
    return 0


if __name__ == "__main__":
    sys.exit(main())
