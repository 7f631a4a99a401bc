"""Packs keyed records for the way between nodes."""

from __future__ import annotations

import zlib

import msgspec

from primrosepitch.jobs.store import KeyedRecord

__all__ = ["PackedRecordsError", "pack", "unpack"]

LEVEL = 1
"""Compression level of zlib: a manifest of 384 KB becomes 30 KB in a few ms."""

MAX_UNPACKED_BYTES = 8 << 20
"""Most bytes that packed records may have when unpacked."""


class PackedRecordsError(Exception):
    """Packed records are corrupt or too large."""


def pack(records: dict[str, bytes]) -> bytes:
    """Return records as compressed MessagePack."""
    return zlib.compress(msgspec.msgpack.encode(list(records.items())), LEVEL)


def unpack(data: bytes) -> list[KeyedRecord]:
    """Return what :func:`pack` was given.

    :raises PackedRecordsError: if the data is corrupt or too large
    """
    inflate = zlib.decompressobj()
    try:
        raw = inflate.decompress(data, MAX_UNPACKED_BYTES)
        if inflate.unconsumed_tail or not inflate.eof:
            raise PackedRecordsError(
                f"truncated, or more than {MAX_UNPACKED_BYTES} bytes"
            )
        rows = msgspec.msgpack.decode(raw, type=list[tuple[str, bytes]])
    except (zlib.error, msgspec.DecodeError) as exc:
        raise PackedRecordsError(str(exc)) from exc
    return [KeyedRecord(key, value) for key, value in rows]
