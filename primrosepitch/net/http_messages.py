"""Whole HTTP messages and the limits that all HTTP code shares."""

from __future__ import annotations

import msgspec

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_HEADER_BYTES",
    "Headers",
    "HttpRequest",
    "HttpResponse",
    "header",
    "header_bytes",
    "without_hop_headers",
]

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 1 << 20

Headers = list[tuple[bytes, bytes]]
"""Header fields in order, with lower-case names as h11 gives them."""

HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Fields that hold for one connection only (RFC 9110, 7.6.1) or that h11 sets."""


class HttpRequest(msgspec.Struct):
    """A request whose body has been read whole."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class HttpResponse(msgspec.Struct):
    """A response whose body has been read whole."""

    status: int
    headers: Headers
    body: bytes = b""


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header field.

    :param name: name in lower case
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def header_bytes(headers: Headers) -> int:
    """Return the bytes of a header section.

    h11 bounds only heads that are incomplete, so one that arrives in a single read can
    be longer than its limit.
    """
    return sum(len(name) + len(value) + 4 for name, value in headers)


def without_hop_headers(headers: Headers) -> Headers:
    """Return the fields that may be passed on, without those of one connection."""
    named = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    return [(k, v) for k, v in headers if k not in HOP_HEADERS and k not in named]
