"""Length-prefixed frames that carry one Thrift envelope each."""

from __future__ import annotations

import asyncio
import struct
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from primrosepitch.errors import FrameError
from primrosepitch.gen.primrose.ttypes import Body, Envelope

__all__ = [
    "MAX_FRAME_BYTES",
    "decode_envelope",
    "encode_frame",
    "envelope_body",
    "make_envelope",
    "read_envelope",
]

MAX_FRAME_BYTES = 1 << 20
"""Longest frame; the length is checked before anything is read or decoded."""

MAX_ITEMS = 65536
"""Most items of one list or map, so a corrupt size reserves no memory."""

STALL_S = 10.0
"""Time for the rest of a frame once its length has come."""

_LENGTH = struct.Struct(">I")


def make_envelope(call: int, body: Any) -> Envelope:
    """Return an envelope around one message of the IDL.

    :param call: number of the question; 0 when no answer is expected
    :param body: message of a type that ``Body`` lists
    """
    return Envelope(call=call, body=Body(**{_FIELD_OF[type(body)]: body}))


def envelope_body(env: Envelope) -> Any:
    """Return the message inside an envelope that ``decode_envelope`` has checked."""
    return next(v for v in _fields(env.body) if v is not None)


def encode_frame(env: Envelope) -> bytes:
    """Return the frame of an envelope.

    :raises FrameError: if it is longer than a frame may be
    """
    buffer = TMemoryBuffer()
    env.write(TCompactProtocolAccelerated(buffer))
    data: bytes = buffer.getvalue()
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(f"{len(data)} bytes to send, at most {MAX_FRAME_BYTES}")
    return _LENGTH.pack(len(data)) + data


def decode_envelope(data: bytes) -> Envelope:
    """Return the envelope of a frame's payload.

    :raises FrameError: if it is truncated, corrupt or incomplete
    """
    env = Envelope()
    buffer = TMemoryBuffer(data)
    protocol = TCompactProtocolAccelerated(
        buffer, string_length_limit=MAX_FRAME_BYTES, container_length_limit=MAX_ITEMS
    )
    try:
        env.read(protocol)
    except Exception as exc:  # the C decoder raises errors of many types
        raise FrameError(f"{type(exc).__name__}: {exc}") from exc
    if buffer.cstringio_buf.tell() != len(data):
        raise FrameError("bytes follow the envelope")
    _check(env)
    return env


async def read_envelope(reader: asyncio.StreamReader) -> Envelope | None:
    """Read one frame.

    :returns: the envelope; ``None`` when the stream ended between frames
    :raises FrameError: if the frame is too long, truncated, corrupt or stalls
    """
    try:
        head = await reader.readexactly(_LENGTH.size)
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise FrameError("the stream ended inside a length") from exc
        return None
    (length,) = _LENGTH.unpack(head)
    if not 0 < length <= MAX_FRAME_BYTES:
        raise FrameError(f"length {length}, at most {MAX_FRAME_BYTES}")
    try:
        async with asyncio.timeout(STALL_S):
            data = await reader.readexactly(length)
    except asyncio.IncompleteReadError as exc:
        raise FrameError("the stream ended inside a frame") from exc
    except TimeoutError as exc:
        raise FrameError("the stream stalled inside a frame") from exc
    return decode_envelope(data)


def _fields(struct_: Any) -> list[Any]:
    return [getattr(struct_, name) for name in struct_.__slots__]


def _check(env: Envelope) -> None:
    """Check that the envelope carries one message with all its fields.

    :raises FrameError: if a field is missing
    """
    if env.call is None or env.call < 0 or env.body is None:
        raise FrameError("an envelope lacks its call or body")
    bodies = [v for v in _fields(env.body) if v is not None]
    if len(bodies) != 1:
        raise FrameError(f"an envelope carries {len(bodies)} messages")
    _check_whole(bodies[0])


def _check_whole(message: Any) -> None:
    for value in _fields(message):
        if value is None:
            raise FrameError(f"a {type(message).__name__} lacks a field")
        if isinstance(value, list):
            for item in value:
                if hasattr(item, "thrift_spec"):
                    _check_whole(item)


def _fields_by_type() -> dict[type, str]:
    """Return the field of ``Body`` for each message type, from its Thrift spec."""
    body: Any = Body
    specs = [spec for spec in body.thrift_spec if spec is not None]
    return {spec[3][0]: spec[2] for spec in specs}


_FIELD_OF = _fields_by_type()
