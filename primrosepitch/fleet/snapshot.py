"""Encoding of the folded state in snapshots, and its transfer to a newer log."""

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
"""Maximum size of one part; the log accepts records of up to 256 KiB."""

MAX_STATE_BYTES = 64 << 20
"""Maximum size of a decompressed state.

A corrupt snapshot must not exhaust the memory.
"""

MAX_COLLECTED = 4
"""Maximum number of incomplete snapshots kept while their parts arrive."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(FleetState)


def encode_state(state: FleetState) -> list[bytes]:
    """Return the compressed encoding of a state, split into parts for records."""
    data = zlib.compress(_encoder.encode(state), 6)
    starts = range(0, len(data), MAX_PART_BYTES)
    return [data[i : i + MAX_PART_BYTES] for i in starts]


def decode_state(data: bytes) -> FleetState:
    """Decode a state from the joined parts of its encoding.

    :raises FrameError: if the bytes are not a valid encoding of a state
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(data, MAX_STATE_BYTES)
        if not decompressor.eof:
            raise FrameError("a snapshot is truncated or too long")
        return _decoder.decode(raw)
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise FrameError(f"a snapshot is corrupt: {exc}") from exc


def pack_state(state: FleetState) -> bytes:
    """Return the uncompressed encoding that the event ``StateLoaded`` carries."""
    return _encoder.encode(state)


def snapshot_records(
    state: FleetState, by: SessionId, generation: int | None = None
) -> list[Snapshot]:
    """Return the records of a snapshot; the appender fills ids and times.

    :param generation: generation of the log, by default that of the state; one above
        it transfers the state to a log that was truncated or restored
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
    """Transfer a state to a log of a newer generation, in place.

    Offsets of the former log are meaningless in the newer one, so every offset in the
    state is replaced by that of the snapshot.

    :param offset: offset of the record that completed the snapshot
    """
    state.generation = generation
    state.offset = offset
    state.recent = dict.fromkeys(state.recent, offset)
    state.config_offset = _rebased(state.config_offset, offset)
    for session in state.sessions.values():
        session.opened = _rebased(session.opened, offset)
        session.renewed = _rebased(session.renewed, offset)
        session.ended = _rebased(session.ended, offset)
    for lease in state.leases.values():
        lease.renewed = _rebased(lease.renewed, offset)
    for inst in state.instances.values():
        inst.changed = _rebased(inst.changed, offset)
        inst.maintained = _rebased(inst.maintained, offset)


def _rebased(old: Offset, offset: Offset) -> Offset:
    """Return the new offset; ``NO_OFFSET`` stays, since nothing has happened yet."""
    return old if old == NO_OFFSET else offset


class WholeSnapshot(msgspec.Struct, frozen=True):
    """A snapshot assembled from its parts, all of which have been read.

    :param offset_seen: last offset folded into the state
    :param offset: offset of the record that completed the snapshot
    :param data: joined parts
    """

    generation: int
    offset_seen: Offset
    offset: Offset
    data: bytes


_SnapshotKey = tuple[SessionId, int, Offset, int]


class SnapshotCollector:
    """Assembles snapshots from their parts as they are read from the log, in order."""

    def __init__(self) -> None:
        """Create a collector without parts."""
        self._parts: dict[_SnapshotKey, dict[int, bytes]] = {}

    def add(self, offset: Offset, r: Snapshot) -> WholeSnapshot | None:
        """Add a part.

        :returns: the snapshot if this part completed it; else ``None``
        """
        key = (r.by, r.generation, r.offset_seen, r.parts)
        parts = self._parts.setdefault(key, {})
        parts[r.part] = r.data
        if len(parts) < r.parts:
            while len(self._parts) > MAX_COLLECTED:
                del self._parts[next(iter(self._parts))]
            return None
        del self._parts[key]
        data = b"".join(parts[i] for i in sorted(parts))
        return WholeSnapshot(r.generation, r.offset_seen, offset, data)
