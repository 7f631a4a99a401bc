"""Conversion between claims, cached responses and their Thrift messages."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from primrosepitch.gen.primrose.ttypes import ClaimEntry, FetchedAnswer, SyncedClaims
from primrosepitch.ids import RequestId, SessionId
from primrosepitch.net.http_messages import HttpResponse
from primrosepitch.request import events
from primrosepitch.request.effects import ReplySync

__all__ = [
    "decode_cached_response",
    "decode_claim",
    "decode_verdict",
    "encode_cached_response",
    "encode_claims",
    "more_claims_follow",
]

MAX_CLAIMS_PER_FRAME = 4096
"""Maximum number of claims in one frame; a frame has at most 1 MiB."""

MORE_FOLLOWS_EPOCH = -1
"""Value of ``epoch`` in all frames of a claim table but the last."""


def encode_claims(effect: ReplySync) -> Iterator[SyncedClaims]:
    """Split a claim table into the messages that reply to a sync request."""
    rows = [
        ClaimEntry(
            request_id=row.request_id,
            holder=row.holder,
            outcome=row.outcome.value,
            age_ms=int(row.age_s * 1000),
        )
        for row in effect.claims
    ]
    while len(rows) > MAX_CLAIMS_PER_FRAME:
        part, rows = rows[:MAX_CLAIMS_PER_FRAME], rows[MAX_CLAIMS_PER_FRAME:]
        yield SyncedClaims(epoch=MORE_FOLLOWS_EPOCH, complete=False, claims=part)
    yield SyncedClaims(epoch=effect.epoch, complete=effect.complete, claims=rows)


def decode_verdict(value: int) -> events.ClaimVerdict | None:
    """Return a verdict; ``None`` if the value belongs to a newer version."""
    try:
        return events.ClaimVerdict(value)
    except ValueError:
        return None


def more_claims_follow(part: Any) -> bool:
    """Whether another frame of the claim table follows."""
    return isinstance(part, SyncedClaims) and part.epoch == MORE_FOLLOWS_EPOCH


def decode_claim(row: ClaimEntry) -> events.ClaimRow | None:
    """Return a claim; ``None`` if its outcome belongs to a newer version."""
    outcome = decode_verdict(row.outcome)
    if outcome is None:
        return None
    return events.ClaimRow(
        request_id=RequestId(row.request_id),
        holder=SessionId(row.holder),
        outcome=outcome,
        age_s=row.age_ms / 1000,
    )


def encode_cached_response(response: HttpResponse | None) -> FetchedAnswer:
    """Encode a cached response; repeated header fields are joined by newlines."""
    if response is None:
        return FetchedAnswer(found=False, status=0, headers={}, body=b"")
    headers: dict[str, str] = {}
    for name, value in response.headers:
        key = name.decode("latin-1")
        text = value.decode("latin-1")
        headers[key] = f"{headers[key]}\n{text}" if key in headers else text
    return FetchedAnswer(
        found=True, status=response.status, headers=headers, body=response.body
    )


def decode_cached_response(reply: Any) -> HttpResponse | None:
    """Decode the cached response of a peer; ``None`` if it has none."""
    if not isinstance(reply, FetchedAnswer) or not reply.found:
        return None
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, values in reply.headers.items()
        for value in values.split("\n")
    ]
    return HttpResponse(reply.status, headers, reply.body)
