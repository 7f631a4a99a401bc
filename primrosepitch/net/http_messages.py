"""HTTP messages with complete bodies, and size limits shared by all HTTP code."""

from __future__ import annotations

import msgspec

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_HEADER_BYTES",
    "MAX_LOGGED_CHARS",
    "Headers",
    "HttpRequest",
    "HttpResponse",
    "header",
    "header_bytes",
    "logged_target",
    "without_hop_headers",
]

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 1 << 20

MAX_LOGGED_CHARS = 200
"""Longest part of a caller's text in a log line; a target may have 16 KB."""

Headers = list[tuple[bytes, bytes]]
"""Header fields in order, with names in lower case as h11 returns them."""

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
"""Hop-by-hop fields (RFC 9110, 7.6.1) and fields that h11 sets."""


class HttpRequest(msgspec.Struct):
    """HTTP request with its complete body."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class HttpResponse(msgspec.Struct):
    """HTTP response with its complete body.

    :param connection: number of the connection that carried it, unique in its client;
        0 if it is not kept open
    """

    status: int
    headers: Headers
    body: bytes = b""
    connection: int = 0


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header field; ``None`` if it is absent.

    :param name: field name in lower case
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def logged_target(target: bytes) -> str:
    """Return the part of a request's target that a log line may have."""
    return target[:MAX_LOGGED_CHARS].decode("latin-1")


def header_bytes(headers: Headers) -> int:
    """Return the size of a header section in bytes.

    h11 limits only incomplete heads, so a head that arrives in a single read can exceed
    ``MAX_HEADER_BYTES`` and has to be checked with this function.
    """
    return sum(len(name) + len(value) + 4 for name, value in headers)


def without_hop_headers(headers: Headers) -> Headers:
    """Return the header fields that a proxy forwards, without hop-by-hop fields."""
    listed_by_connection = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    return [
        (k, v)
        for k, v in headers
        if k not in HOP_HEADERS and k not in listed_by_connection
    ]
