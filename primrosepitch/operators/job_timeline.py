"""The story of one job, put together from the log lines of all nodes."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

__all__ = ["LogLine", "parse_log_lines", "job_timeline"]

HIDDEN = ("time", "level", "number", "event", "job", "term")
"""Fields that a story does not repeat."""


class LogLine(NamedTuple):
    """One log line.

    :param source: what stood before the JSON object, as the node's name
    """

    time: float
    source: str
    fields: dict[str, Any]


def parse_log_lines(lines: Iterable[str]) -> Iterator[LogLine | str]:
    """Read log lines, with or without a prefix.

    :returns: lines, and the text of those that are torn
    """
    for text in lines:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            yield LogLine(float(fields["time"]), text[:start].strip(), fields)
        except (ValueError, KeyError, TypeError):
            yield text.rstrip("\n")


def job_timeline(job: str, lines: Iterable[LogLine]) -> list[str]:
    """Return the decisions about a job, in order, with the time between them.

    Changes of the term and silent endpoints in its lifetime belong to it.
    """
    chosen = sorted(_relevant(job, list(lines)), key=lambda line: line.time)
    told = []
    before = chosen[0].time if chosen else 0.0
    for line in chosen:
        passed_ms = round((line.time - before) * 1000)
        before = line.time
        fields = line.fields
        rest = " ".join(
            f"{key}={value}" for key, value in fields.items() if key not in HIDDEN
        )
        term = f" term={fields['term']}" if fields.get("term") else ""
        told.append(f"+{passed_ms:>6} ms  {fields['event']}{term} {rest}".rstrip())
    return told


def _relevant(job: str, lines: list[LogLine]) -> list[LogLine]:
    own = [line for line in lines if line.fields.get("job") == job]
    if not own:
        return []
    first = min(line.time for line in own)
    last = max(line.time for line in own)
    endpoints = {line.fields.get("endpoint") for line in own} - {None}
    around = [
        line
        for line in lines
        if first <= line.time <= last and line.fields.get("job") is None
        if line.fields["event"] in ("term_taken", "term_lost", "store_unavailable")
        or line.fields.get("endpoint") in endpoints
    ]
    return own + around
