"""Parsing of the header fields and paths of callers' requests."""

from __future__ import annotations

import re
from urllib.parse import unquote

from primrosepitch.errors import MalformedMessageError
from primrosepitch.ids import QueueId
from primrosepitch.net.http_messages import Headers, HttpRequest, header

__all__ = [
    "ENTRY_RESPONSE_HEADERS",
    "PRIVATE_HEADERS",
    "REQUEST_ID_PATTERN",
    "header_flag",
    "header_text",
    "header_timeout_s",
    "is_idempotent",
    "queue_from_target",
]

IDEMPOTENT_METHODS = frozenset((b"GET", b"HEAD", b"PUT", b"DELETE", b"OPTIONS"))

PRIVATE_HEADERS = frozenset(
    (
        b"primrose-key",
        b"primrose-request-id",
        b"primrose-timeout-ms",
        b"primrose-team",
        b"primrose-urgent",
        b"primrose-idempotent",
        b"primrose-repeat",
    )
)
"""Request fields that are not forwarded to endpoints with the caller's value."""

ENTRY_RESPONSE_HEADERS = frozenset((b"primrose-outcome", b"primrose-code"))
"""Response fields that only an entry may set; removed from endpoints' responses."""

REQUEST_ID_PATTERN = re.compile(r"[!-~]{1,128}")


def header_text(headers: Headers, name: bytes) -> str:
    """Return a header field as text; empty if it is absent."""
    value = header(headers, name)
    return value.decode("latin-1") if value is not None else ""


def header_flag(headers: Headers, name: bytes) -> bool:
    """Whether a header field is ``1``."""
    return header(headers, name) == b"1"


def queue_from_target(target: bytes) -> QueueId:
    """Return the queue named in a target ``/q/{queue}/...``."""
    path = target.partition(b"?")[0]
    return QueueId(unquote(path.split(b"/", 3)[2].decode("latin-1")))


def is_idempotent(request: HttpRequest) -> bool:
    """Whether a request is idempotent, by its header or else by its method."""
    declared = header(request.headers, b"primrose-idempotent")
    return (
        request.method in IDEMPOTENT_METHODS if declared is None else declared == b"1"
    )


def header_timeout_s(headers: Headers) -> float:
    """Return the caller's timeout in seconds; 0 if the header is absent.

    :raises MalformedMessageError: if it is not a positive integer of at most 9 digits
    """
    raw = header_text(headers, b"primrose-timeout-ms")
    if not raw:
        return 0.0
    if not raw.isascii() or not raw.isdecimal() or len(raw) > 9 or int(raw) == 0:
        raise MalformedMessageError(
            "Primrose-Timeout-Ms must be a positive integer of at most 9 digits"
        )
    return int(raw) / 1000
