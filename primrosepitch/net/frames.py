"""Length-prefixed frames, each with one Thrift envelope."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
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
"""Maximum payload of a frame, checked before the payload is read or decoded."""

MAX_ITEMS = 65536
"""Maximum size of a list or map, so that a corrupt size allocates no memory."""

READ_TIMEOUT_S = 10.0
"""Timeout for the payload of a frame after its length was received."""

_LENGTH = struct.Struct(">I")


def make_envelope(call: int, body: Any) -> Envelope:
    """Wrap one message of the IDL in an envelope.

    :param call: number of the request; 0 if no reply is expected
    :param body: message of a type that ``Body`` has a field for
    """
    return Envelope(call=call, body=Body(**{_BODY_FIELD_BY_TYPE[type(body)]: body}))


def envelope_body(env: Envelope) -> Any:
    """Return the message of an envelope that ``decode_envelope`` has validated."""
    return next(v for v in _field_values(env.body) if v is not None)


def encode_frame(env: Envelope) -> bytes:
    """Encode an envelope as a frame.

    :raises FrameError: if it exceeds ``MAX_FRAME_BYTES``
    """
    buffer = TMemoryBuffer()
    env.write(TCompactProtocolAccelerated(buffer))
    data: bytes = buffer.getvalue()
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(
            f"frame of {len(data)} bytes exceeds the maximum of {MAX_FRAME_BYTES}"
        )
    return _LENGTH.pack(len(data)) + data


def decode_envelope(data: bytes) -> Envelope:
    """Decode and validate the payload of a frame.

    :raises FrameError: if it is truncated, corrupt or incomplete
    """
    env = Envelope()
    buffer = TMemoryBuffer(data)
    protocol = TCompactProtocolAccelerated(
        buffer, string_length_limit=MAX_FRAME_BYTES, container_length_limit=MAX_ITEMS
    )
    try:
        env.read(protocol)
    except Exception as exc:  # the C decoder raises many exception types
        raise FrameError(f"{type(exc).__name__}: {exc}") from exc
    if buffer.cstringio_buf.tell() != len(data):
        raise FrameError("trailing bytes after the envelope")
    _validate(env)
    return env


async def read_envelope(
    reader: asyncio.StreamReader,
    hold: Callable[[int], AbstractContextManager[None]] = lambda size: nullcontext(),
) -> Envelope | None:
    """Read one frame.

    :param hold: entered with the length of a payload while it is read and decoded
    :returns: the envelope; ``None`` if the stream ended between frames
    :raises FrameError: if the frame is too long, truncated, corrupt or stalled
    """
    try:
        head = await reader.readexactly(_LENGTH.size)
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise FrameError("stream ended within the length of a frame") from exc
        return None
    (length,) = _LENGTH.unpack(head)
    if not 0 < length <= MAX_FRAME_BYTES:
        raise FrameError(
            f"frame length {length} is 0 or exceeds the maximum of {MAX_FRAME_BYTES}"
        )
    with hold(length):
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                data = await reader.readexactly(length)
        except asyncio.IncompleteReadError as exc:
            raise FrameError("stream ended within a frame") from exc
        except TimeoutError as exc:
            raise FrameError("timed out while reading a frame") from exc
        return decode_envelope(data)


def _field_values(struct_: Any) -> list[Any]:
    return [getattr(struct_, name) for name in struct_.__slots__]


def _validate(env: Envelope) -> None:
    """Validate that an envelope has a call number and exactly one complete message.

    :raises FrameError: if anything is missing
    """
    if env.call is None or env.call < 0 or env.body is None:
        raise FrameError("envelope without a call number or body")
    bodies = [v for v in _field_values(env.body) if v is not None]
    if len(bodies) != 1:
        raise FrameError(f"envelope with {len(bodies)} messages instead of 1")
    _require_all_fields(bodies[0])


def _require_all_fields(message: Any) -> None:
    for value in _field_values(message):
        if value is None:
            raise FrameError(f"{type(message).__name__} with a missing field")
        if isinstance(value, list):
            for item in value:
                if hasattr(item, "thrift_spec"):
                    _require_all_fields(item)


def _body_fields_by_type() -> dict[type, str]:
    """Map each message type to its field of ``Body``, from the Thrift spec."""
    body: Any = Body
    specs = [spec for spec in body.thrift_spec if spec is not None]
    return {spec[3][0]: spec[2] for spec in specs}


_BODY_FIELD_BY_TYPE = _body_fields_by_type()
