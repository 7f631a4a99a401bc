"""Header fields and paths of callers' requests."""

from __future__ import annotations

import re
from urllib.parse import unquote

from primrosepitch.errors import MessageError
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

IDEMPOTENT = frozenset((b"GET", b"HEAD", b"PUT", b"DELETE", b"OPTIONS"))

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
"""Fields of callers that endpoints do not get, or get with another value."""

ENTRY_RESPONSE_HEADERS = frozenset((b"primrose-outcome", b"primrose-code"))
"""Fields that only an entry may set."""

REQUEST_ID_PATTERN = re.compile(r"[!-~]{1,128}")


def header_text(headers: Headers, name: bytes) -> str:
    """Return a header field as text; empty without one."""
    value = header(headers, name)
    return value.decode("latin-1") if value is not None else ""


def header_flag(headers: Headers, name: bytes) -> bool:
    """Whether a header field is ``1``."""
    return header(headers, name) == b"1"


def queue_from_target(target: bytes) -> QueueId:
    """Return the queue of ``/q/{queue}/...``."""
    path = target.partition(b"?")[0]
    return QueueId(unquote(path.split(b"/", 3)[2].decode("latin-1")))


def is_idempotent(request: HttpRequest) -> bool:
    """Whether a request may run more than once, by its header or its method."""
    said = header(request.headers, b"primrose-idempotent")
    return request.method in IDEMPOTENT if said is None else said == b"1"


def header_timeout_s(headers: Headers) -> float:
    """Return the time left; 0 without the header.

    :raises MessageError: if it is no positive number
    """
    raw = header_text(headers, b"primrose-timeout-ms")
    if not raw:
        return 0.0
    if not raw.isascii() or not raw.isdecimal() or len(raw) > 9 or int(raw) == 0:
        raise MessageError("Primrose-Timeout-Ms: a positive number of milliseconds")
    return int(raw) / 1000
