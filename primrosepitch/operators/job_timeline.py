"""Timeline of one job, assembled from the log lines of all nodes."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

__all__ = ["LogLine", "job_timeline", "parse_log_lines"]

OMITTED_FIELDS = ("time", "level", "number", "event", "job", "term")
"""Fields that are not repeated in the rows of a timeline."""


class LogLine(NamedTuple):
    """One parsed log line.

    :param source: text before the JSON object, such as the node's name
    """

    time: float
    source: str
    fields: dict[str, Any]


def parse_log_lines(lines: Iterable[str]) -> Iterator[LogLine | str]:
    """Parse log lines, with or without a prefix before the JSON object.

    :returns: parsed lines, and the text of lines that cannot be parsed
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
    """Return the log lines about a job in order, with the time since the previous one.

    Lines about changes of the term, an unavailable store and the job's endpoints
    during its lifetime are included.
    """
    chosen = sorted(_select_lines(job, list(lines)), key=lambda line: line.time)
    rows = []
    previous = chosen[0].time if chosen else 0.0
    for line in chosen:
        elapsed_ms = round((line.time - previous) * 1000)
        previous = line.time
        fields = line.fields
        details = " ".join(
            f"{key}={value}"
            for key, value in fields.items()
            if key not in OMITTED_FIELDS
        )
        term = f" term={fields['term']}" if fields.get("term") else ""
        rows.append(f"+{elapsed_ms:>6} ms  {fields['event']}{term} {details}".rstrip())
    return rows


def _select_lines(job: str, lines: list[LogLine]) -> list[LogLine]:
    own = [line for line in lines if line.fields.get("job") == job]
    if not own:
        return []
    first = min(line.time for line in own)
    last = max(line.time for line in own)
    endpoints = {line.fields.get("endpoint") for line in own} - {None}
    related = [
        line
        for line in lines
        if first <= line.time <= last and line.fields.get("job") is None
        if line.fields["event"] in ("term_taken", "term_lost", "store_unavailable")
        or line.fields.get("endpoint") in endpoints
    ]
    return own + related
