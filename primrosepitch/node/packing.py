"""Compresses keyed records for transfer between nodes."""

from __future__ import annotations

import zlib

import msgspec

from primrosepitch.decoding import decode_msgpack
from primrosepitch.jobs.store import KeyedRecord

__all__ = ["PackedRecordsError", "pack", "unpack"]

COMPRESSION_LEVEL = 1
"""zlib compression level; a manifest of 384 KB is compressed to 30 KB in a few ms."""

MAX_UNPACKED_BYTES = 8 << 20
"""Maximum size of packed records after decompression."""


class PackedRecordsError(Exception):
    """The packed records are corrupt, truncated or too large."""


def pack(records: dict[str, bytes]) -> bytes:
    """Return records as compressed MessagePack."""
    return zlib.compress(
        msgspec.msgpack.encode(list(records.items())), COMPRESSION_LEVEL
    )


def unpack(data: bytes) -> list[KeyedRecord]:
    """Return the records that :func:`pack` compressed.

    :raises PackedRecordsError: if the data is corrupt, truncated or too large
    """
    inflate = zlib.decompressobj()
    try:
        raw = inflate.decompress(data, MAX_UNPACKED_BYTES)
        if inflate.unconsumed_tail or not inflate.eof:
            raise PackedRecordsError(
                f"packed records are truncated or exceed {MAX_UNPACKED_BYTES} bytes"
            )
        rows = decode_msgpack(raw, list[tuple[str, bytes]])
    except (zlib.error, msgspec.DecodeError) as exc:
        raise PackedRecordsError(str(exc)) from exc
    return [KeyedRecord(key, value) for key, value in rows]
