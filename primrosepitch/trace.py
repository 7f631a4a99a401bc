"""Recording and reading of reducer traces, one JSON object per line."""

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

    :param event: JSON encoding of the event
    :param effects: digest of the effects that the event caused
    """

    event: msgspec.Raw
    effects: str


class Recorder(Protocol):
    """Protocol of objects that record the events and effects of a reducer."""

    def write(self, event: Any, effects: Sequence[Any]) -> None:
        """Record one event with its effects."""


class NullRecorder:
    """Recorder that discards everything."""

    def write(self, event: Any, effects: Sequence[Any]) -> None:
        """Discard the event."""


class TraceRecorder:
    """Recorder that writes a trace file."""

    def __init__(self, file: Any) -> None:
        """Create a recorder that writes to a binary file."""
        self._file = file

    def write(self, event: Any, effects: Sequence[Any]) -> None:
        """Write one line and flush it, so that it survives a kill of the process."""
        line = {"event": event, "effects": digest(effects)}
        self._file.write(_encoder.encode(line) + b"\n")
        self._file.flush()


def digest(effects: Sequence[Any]) -> str:
    """Return a short digest of effects, compared in a replay."""
    return hashlib.sha256(_encoder.encode(effects)).hexdigest()[:12]


@contextmanager
def open_recorder(path: Path | None) -> Iterator[Recorder]:
    """Open a recorder that writes to a path, or discards everything without one.

    :raises OSError: if the file cannot be written
    """
    if path is None:
        yield NullRecorder()
        return
    with path.open("wb") as file:
        yield TraceRecorder(file)


def read_trace(path: Path, kind: Any) -> Iterator[tuple[Any, str]]:
    """Yield the events of a trace; a ``.gz`` file is decompressed.

    :param kind: type or union type of the events
    :returns: pairs of an event and the digest of its effects
    :raises msgspec.DecodeError: if a line is malformed
    :raises OSError, EOFError, zlib.error: if the file cannot be read
    """
    lines = msgspec.json.Decoder(TraceLine)
    events = msgspec.json.Decoder(kind)
    with gzip.open(path) if path.suffix == ".gz" else path.open("rb") as file:
        for raw in file:
            line = lines.decode(raw)
            yield events.decode(line.event), line.effects
