"""Recording and reading of the events of a reducer, one JSON object a line."""

from __future__ import annotations

import gzip
import hashlib
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Protocol

import msgspec

__all__ = [
    "NullRecorder",
    "Recorder",
    "TraceRecorder",
    "digest",
    "read_trace",
    "open_recorder",
]

_encoder = msgspec.json.Encoder()


class TraceLine(msgspec.Struct, frozen=True):
    """One line of a trace.

    :param event: encoding of the event
    :param effects: digest of its effects
    """

    event: msgspec.Raw
    effects: str


class Recorder(Protocol):
    """Something that takes the events and effects of a reducer."""

    def write(self, event: Any, effects: Sequence[Any]) -> None:
        """Take one event with its effects."""


class NullRecorder:
    """Recorder that keeps nothing."""

    def write(self, event: Any, effects: Sequence[Any]) -> None:
        """Ignore the event."""


class TraceRecorder:
    """Recorder that writes a trace file."""

    def __init__(self, file: Any) -> None:
        """Write to a binary file."""
        self._file = file

    def write(self, event: Any, effects: Sequence[Any]) -> None:
        """Write one line and flush it, since the process may be killed."""
        line = {"event": event, "effects": digest(effects)}
        self._file.write(_encoder.encode(line) + b"\n")
        self._file.flush()


def digest(effects: Sequence[Any]) -> str:
    """Return a short digest of effects for comparison in a replay."""
    return hashlib.sha256(_encoder.encode(effects)).hexdigest()[:12]


@contextmanager
def open_recorder(path: Path | None) -> Iterator[Recorder]:
    """Open a recorder for a path, or one that keeps nothing.

    :raises OSError: if the file cannot be written
    """
    if path is None:
        yield NullRecorder()
        return
    with path.open("wb") as file:
        yield TraceRecorder(file)


def read_trace(path: Path, kind: Any) -> Iterator[tuple[Any, str]]:
    """Read the events of a trace; one whose name ends in ``.gz`` is decompressed.

    :param kind: type or union of the events
    :returns: pairs of event and digest of the effects
    :raises msgspec.DecodeError: if a line is malformed
    :raises OSError, EOFError, zlib.error: if the file cannot be read
    """
    lines = msgspec.json.Decoder(TraceLine)
    events = msgspec.json.Decoder(kind)
    with gzip.open(path) if path.suffix == ".gz" else path.open("rb") as file:
        for raw in file:
            line = lines.decode(raw)
            yield events.decode(line.event), line.effects
