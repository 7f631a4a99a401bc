"""Decodes messages of other processes, with one error for all unreadable ones."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import TypeVar

import msgspec

__all__ = ["decode_json", "decode_msgpack", "unreadable_as_decode_error"]

T = TypeVar("T")


@contextlib.contextmanager
def unreadable_as_decode_error() -> Iterator[None]:
    """Raise ``msgspec.DecodeError`` for each way in which bytes can be unreadable.

    msgspec raises other exceptions for invalid UTF-8 and for deep nesting, and so do
    conversions of decoded values.

    :raises msgspec.DecodeError: if the bytes can't be decoded or converted
    """
    try:
        yield
    except msgspec.DecodeError:
        raise
    except (ValueError, OverflowError, RecursionError) as exc:
        raise msgspec.DecodeError(f"{type(exc).__name__}: {exc}") from exc


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON that another process wrote.

    :raises msgspec.DecodeError: if it can't be decoded
    """
    with unreadable_as_decode_error():
        return msgspec.json.decode(data, type=kind)


def decode_msgpack(data: bytes, kind: type[T]) -> T:
    """Decode MessagePack that another process wrote.

    :raises msgspec.DecodeError: if it can't be decoded
    """
    with unreadable_as_decode_error():
        return msgspec.msgpack.decode(data, type=kind)
