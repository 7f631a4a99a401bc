"""Write docs/errors.md and docs/events.md from the registries in the code."""

from __future__ import annotations

import importlib
import logging
import pkgutil
from pathlib import Path

import primrosepitch
from primrosepitch.errors import ERRORS
from primrosepitch.events import EVENTS

DOCS = Path(__file__).resolve().parent.parent / "docs"

ERRORS_HEAD = """# Error codes

Every error has a code, a summary and a remedy. Callers see the code in the header
`Primrose-Code` and the whole message in the body. `make catalogues` writes this page
from `primrosepitch/errors.py`.

| code | HTTP status | summary | remedy |
|---|---|---|---|
"""

EVENTS_HEAD = """# Log events

Every log line is one JSON object with `time`, `level`, `number`, `event` and the
event's own fields. Numbers are stable between versions: 1xxx process, log and
configuration; 2xxx requests and teams; 3xxx fleet; 4xxx network. `make catalogues`
writes this page from the registry in `primrosepitch/events.py`.

| number | event | level | meaning | what to do |
|---|---|---|---|---|
"""


def import_all() -> None:
    """Import every module, since each registers its own errors and events."""
    for module in pkgutil.walk_packages(primrosepitch.__path__, "primrosepitch."):
        importlib.import_module(module.name)


def errors_page() -> str:
    """Return the catalogue of error codes as Markdown."""
    rows = [
        f"| {code} | {kind.status} | {kind.summary} | {kind.remedy} |"
        for code, kind in sorted(ERRORS.items())
    ]
    return ERRORS_HEAD + "\n".join(rows) + "\n"


def events_page() -> str:
    """Return the catalogue of log events as Markdown."""
    rows = []
    for number, event in sorted(EVENTS.items()):
        level = logging.getLevelName(event.level).lower()
        columns = [str(number), event.name, level, event.meaning, event.action]
        rows.append("| " + " | ".join(columns) + " |")
    return EVENTS_HEAD + "\n".join(rows) + "\n"


def pages() -> dict[Path, str]:
    """Return the text of both pages by path."""
    import_all()
    return {DOCS / "errors.md": errors_page(), DOCS / "events.md": events_page()}


if __name__ == "__main__":
    for path, text in pages().items():
        path.write_text(text, encoding="utf-8")
