"""Encoding of the folded state for snapshots, and its change to another log."""

from __future__ import annotations

import zlib

import msgspec

from primrosepitch.errors import FrameError
from primrosepitch.fleet.records import Snapshot
from primrosepitch.fleet.state import NO_OFFSET, FleetState
from primrosepitch.ids import Offset, RecordId, SessionId

__all__ = [
    "MAX_PART_BYTES",
    "SnapshotCollector",
    "WholeSnapshot",
    "decode_state",
    "encode_state",
    "pack_state",
    "rebase",
    "snapshot_records",
]

MAX_PART_BYTES = 64 * 1024
"""Bytes of one part; the log takes records of up to 256 KiB."""

MAX_STATE_BYTES = 64 << 20
"""Longest decompressed state, so a corrupt snapshot cannot exhaust the memory."""

MAX_COLLECTED = 4
"""Incomplete snapshots kept while their parts arrive."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(FleetState)


def encode_state(state: FleetState) -> list[bytes]:
    """Return the compressed encoding of a state, split into parts for records."""
    data = zlib.compress(_encoder.encode(state), 6)
    starts = range(0, len(data), MAX_PART_BYTES)
    return [data[i : i + MAX_PART_BYTES] for i in starts]


def decode_state(data: bytes) -> FleetState:
    """Return the state of joined parts.

    :raises FrameError: if the bytes are no state
    """
    inflate = zlib.decompressobj()
    try:
        raw = inflate.decompress(data, MAX_STATE_BYTES)
        if not inflate.eof:
            raise FrameError("a snapshot is truncated or too long")
        return _decoder.decode(raw)
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise FrameError(f"a snapshot is corrupt: {exc}") from exc


def pack_state(state: FleetState) -> bytes:
    """Return the plain encoding that the event ``StateLoaded`` carries."""
    return _encoder.encode(state)


def snapshot_records(
    state: FleetState, by: SessionId, generation: int | None = None
) -> list[Snapshot]:
    """Return the records of a snapshot; the appender fills ids and times.

    :param generation: one above the state's own to carry the state over to a log that
        went back; by default that of the state
    """
    parts = encode_state(state)
    return [
        Snapshot(
            record_id=RecordId(""),
            by=by,
            generation=state.generation if generation is None else generation,
            offset_seen=state.offset,
            part=number,
            parts=len(parts),
            data=data,
        )
        for number, data in enumerate(parts)
    ]


def rebase(state: FleetState, generation: int, offset: Offset) -> None:
    """Move a state to a log of a newer generation, in place.

    Offsets of the former log mean nothing in the newer one, so every offset in the
    state becomes the snapshot's own.

    :param offset: offset of the record that completed the snapshot
    """
    state.generation = generation
    state.offset = offset
    state.recent = dict.fromkeys(state.recent, offset)
    state.config_offset = _moved(state.config_offset, offset)
    for session in state.sessions.values():
        session.opened = _moved(session.opened, offset)
        session.renewed = _moved(session.renewed, offset)
        session.ended = _moved(session.ended, offset)
    for lease in state.leases.values():
        lease.renewed = _moved(lease.renewed, offset)
    for inst in state.instances.values():
        inst.changed = _moved(inst.changed, offset)
        inst.maintained = _moved(inst.maintained, offset)


def _moved(old: Offset, offset: Offset) -> Offset:
    """Return the new offset; -1 goes on to mean that nothing has happened."""
    return old if old == NO_OFFSET else offset


class WholeSnapshot(msgspec.Struct, frozen=True):
    """A snapshot whose parts have all been read.

    :param offset: offset of the record that completed it
    :param data: joined parts
    """

    generation: int
    offset_seen: Offset
    offset: Offset
    data: bytes


_Key = tuple[SessionId, int, Offset, int]


class SnapshotCollector:
    """Collects the parts of snapshots as they are read from the log, in order."""

    def __init__(self) -> None:
        """Start without parts."""
        self._found: dict[_Key, dict[int, bytes]] = {}

    def add(self, offset: Offset, r: Snapshot) -> WholeSnapshot | None:
        """Take a part.

        :returns: the snapshot if this part completed it
        """
        key = (r.by, r.generation, r.offset_seen, r.parts)
        parts = self._found.setdefault(key, {})
        parts[r.part] = r.data
        if len(parts) < r.parts:
            while len(self._found) > MAX_COLLECTED:
                del self._found[next(iter(self._found))]
            return None
        del self._found[key]
        data = b"".join(parts[i] for i in sorted(parts))
        return WholeSnapshot(r.generation, r.offset_seen, offset, data)
