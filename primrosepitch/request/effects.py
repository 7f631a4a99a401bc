"""Effects that the reducer of an entry asks its shell to carry out."""

from __future__ import annotations

import enum

import msgspec

from primrosepitch.fleet.records import Record
from primrosepitch.ids import (
    CallId,
    ConnId,
    CountKey,
    InstanceId,
    RequestId,
    SessionId,
    TeamId,
)
from primrosepitch.request.events import ClaimRow, ClaimVerdict

__all__ = [
    "Append",
    "AskUnits",
    "CloseConnection",
    "Effect",
    "Finished",
    "ListInstances",
    "LogLine",
    "OpenConnection",
    "Outcome",
    "PassAnswer",
    "Refuse",
    "RepeatAnswer",
    "ReplyClaim",
    "ReplySync",
    "Reuse",
    "SendClaim",
    "SendClaimEnd",
    "SendRequest",
    "SendSync",
]


class Outcome(enum.Enum):
    """Value of the header ``Primrose-Outcome``."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ENDPOINT_FAILED = "endpoint-failed"


class Reuse(enum.Enum):
    """How a non-idempotent request uses connections."""

    FRESH = "fresh"
    EXPECT = "expect"
    POOLED = "pooled"


class Effect(msgspec.Struct, frozen=True, tag=True, omit_defaults=True, kw_only=True):
    """Base of all effects."""


class Refuse(Effect, frozen=True, kw_only=True):
    """Answer a caller with an error of the registry.

    :param code: code of ``primrosepitch.errors``
    """

    call: CallId
    outcome: Outcome
    code: str
    detail: str = ""


class PassAnswer(Effect, frozen=True, kw_only=True):
    """Give the endpoint's answer, which the shell holds, to the caller.

    :param keep: whether to keep it for repeats of the request id
    """

    call: CallId
    keep: bool = False


class RepeatAnswer(Effect, frozen=True, kw_only=True):
    """Give the caller the first answer, held here or by a peer; else "unknown".

    :param holder: session that keeps the answer
    """

    call: CallId
    request_id: RequestId
    holder: SessionId


class OpenConnection(Effect, frozen=True, kw_only=True):
    """Open a connection to an endpoint."""

    conn: ConnId
    instance: InstanceId
    address: str
    port: int
    deadline: float


class CloseConnection(Effect, frozen=True, kw_only=True):
    """Close a connection; the shell answers with ``ConnectionClosed``."""

    conn: ConnId


class SendRequest(Effect, frozen=True, kw_only=True):
    """Write a request to a connection.

    :param not_after: boot-time clock after which it must not be written any more
    :param deadline: deadline of the request
    :param expect: whether to ask by ``Expect: 100-continue`` before the body
    """

    call: CallId
    conn: ConnId
    request_id: RequestId
    team: TeamId
    not_after: float
    deadline: float
    expect: bool = False


class Append(Effect, frozen=True, kw_only=True):
    """Append a record to the log; the shell fills id and time and repeats lost ones."""

    record: Record


class ListInstances(Effect, frozen=True, kw_only=True):
    """Read the platform's list."""


class AskUnits(Effect, frozen=True, kw_only=True):
    """Ask a peer for units."""

    to: SessionId
    units: dict[CountKey, int]


class SendClaim(Effect, frozen=True, kw_only=True):
    """Claim a request id at a peer."""

    to: SessionId
    call: CallId
    request_id: RequestId
    epoch: int


class SendClaimEnd(Effect, frozen=True, kw_only=True):
    """Tell a peer how a claimed request ended."""

    to: SessionId
    request_id: RequestId
    outcome: ClaimVerdict


class ReplyClaim(Effect, frozen=True, kw_only=True):
    """Answer a peer's claim."""

    token: int
    verdict: ClaimVerdict
    epoch: int
    holder: SessionId = SessionId("")


class SendSync(Effect, frozen=True, kw_only=True):
    """Ask a peer for all its claims."""

    to: SessionId
    min_epoch: int


class ReplySync(Effect, frozen=True, kw_only=True):
    """Answer a peer's request for all claims."""

    token: int
    epoch: int
    complete: bool
    claims: list[ClaimRow]


class LogLine(Effect, frozen=True, kw_only=True):
    """Write a numbered log line."""

    number: int
    fields: dict[str, object]


class Finished(Effect, frozen=True, kw_only=True):
    """All work has ended; the process closes its session and exits."""
