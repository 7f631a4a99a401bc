"""Messages about claims and kept answers, and what they carry."""

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

SYNC_ROWS = 4096
"""Claims in one frame; a frame has at most 1 MiB."""

MORE_FOLLOWS = -1
"""Epoch of all frames of claims but the last."""


def encode_claims(effect: ReplySync) -> Iterator[SyncedClaims]:
    """Return the frames that answer a request for all claims."""
    rows = [
        ClaimEntry(
            request_id=row.request_id,
            holder=row.holder,
            outcome=row.outcome.value,
            age_ms=int(row.age_s * 1000),
        )
        for row in effect.claims
    ]
    while len(rows) > SYNC_ROWS:
        part, rows = rows[:SYNC_ROWS], rows[SYNC_ROWS:]
        yield SyncedClaims(epoch=MORE_FOLLOWS, complete=False, claims=part)
    yield SyncedClaims(epoch=effect.epoch, complete=effect.complete, claims=rows)


def decode_verdict(value: int) -> events.ClaimVerdict | None:
    """Return a verdict; ``None`` for one of a newer version."""
    try:
        return events.ClaimVerdict(value)
    except ValueError:
        return None


def more_claims_follow(part: Any) -> bool:
    """Whether another frame of claims follows."""
    return isinstance(part, SyncedClaims) and part.epoch == MORE_FOLLOWS


def decode_claim(row: ClaimEntry) -> events.ClaimRow | None:
    """Return a claim; ``None`` for an outcome of a newer version."""
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
    """Return a kept answer as a message; repeated fields are joined by line ends."""
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
    """Return the answer that a peer has kept, if it has one."""
    if not isinstance(reply, FetchedAnswer) or not reply.found:
        return None
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, values in reply.headers.items()
        for value in values.split("\n")
    ]
    return HttpResponse(reply.status, headers, reply.body)
