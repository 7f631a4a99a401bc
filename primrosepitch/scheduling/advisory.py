"""Keeps a failure of what is only advice from ending the scheduler's term."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from primrosepitch.events import ADVISORY_FAILED
from primrosepitch.scheduling.effects import Effect, WriteLog

__all__ = ["advisory"]


@contextlib.contextmanager
def advisory(effects: list[Effect], part: str) -> Iterator[None]:
    """Log an exception of a part that no decision or record depends on.

    What the part would have written or logged is left out; the next pass tries again.

    :param effects: list that the log line is added to
    :param part: name of the part in the log line
    """
    try:
        yield
    except Exception as exc:
        fields = {"part": part, "error": repr(exc)}
        effects.append(WriteLog(ADVISORY_FAILED, fields))
