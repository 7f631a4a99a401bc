"""Effects that the reducer of an entry returns for its shell to carry out."""

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
    """Policy for reusing connections for non-idempotent requests.

    ``FRESH``: only a new connection; ``EXPECT``: also a used one, on which a body is
    sent only after ``100 Continue``; ``POOLED``: any connection.
    """

    FRESH = "fresh"
    EXPECT = "expect"
    POOLED = "pooled"


class Effect(msgspec.Struct, frozen=True, tag=True, omit_defaults=True, kw_only=True):
    """Base of all effects."""


class Refuse(Effect, frozen=True, kw_only=True):
    """Respond to a caller with an error.

    :param code: error code registered in ``primrosepitch.errors``
    """

    call: CallId
    outcome: Outcome
    code: str
    detail: str = ""


class PassAnswer(Effect, frozen=True, kw_only=True):
    """Forward the endpoint's response, which the shell buffers, to the caller.

    :param keep: whether to store it for repeats of the request id
    """

    call: CallId
    keep: bool = False


class RepeatAnswer(Effect, frozen=True, kw_only=True):
    """Send the caller the stored response of its request id.

    The shell responds "unknown" if neither this entry nor the holder has it.

    :param holder: session that stores the response
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
    """Close a connection; the shell confirms with ``ConnectionClosed``."""

    conn: ConnId


class SendRequest(Effect, frozen=True, kw_only=True):
    """Write a request to a connection.

    :param not_after: boot-time clock after which the request must not be written
    :param deadline: deadline of the request
    :param expect: whether to send a body only after ``100 Continue``
    """

    call: CallId
    conn: ConnId
    request_id: RequestId
    team: TeamId
    not_after: float
    deadline: float
    expect: bool = False


class Append(Effect, frozen=True, kw_only=True):
    """Append a record to the log; the shell sets id and time and retries the append."""

    record: Record


class ListInstances(Effect, frozen=True, kw_only=True):
    """Read the platform's list of instances."""


class AskUnits(Effect, frozen=True, kw_only=True):
    """Request units of counts from a peer."""

    to: SessionId
    units: dict[CountKey, int]


class SendClaim(Effect, frozen=True, kw_only=True):
    """Claim a request id at a peer.

    :param epoch: membership epoch of the home data centre of the id
    """

    to: SessionId
    call: CallId
    request_id: RequestId
    epoch: int


class SendClaimEnd(Effect, frozen=True, kw_only=True):
    """Notify a peer how a claimed request ended."""

    to: SessionId
    request_id: RequestId
    outcome: ClaimVerdict


class ReplyClaim(Effect, frozen=True, kw_only=True):
    """Reply to a peer's claim.

    :param token: number of the ``ClaimAsked`` event
    :param epoch: membership epoch of the home data centre of the id, at this entry
    :param holder: session that runs or ran the request; empty if unknown
    """

    token: int
    verdict: ClaimVerdict
    epoch: int
    holder: SessionId = SessionId("")


class SendSync(Effect, frozen=True, kw_only=True):
    """Request all claims of a peer.

    :param min_epoch: membership epoch that the reply must have reached
    """

    to: SessionId
    min_epoch: int


class ReplySync(Effect, frozen=True, kw_only=True):
    """Reply to a peer's request for all claims.

    :param token: number of the ``SyncAsked`` event
    :param epoch: membership epoch of the own data centre
    :param complete: whether the own table is complete
    """

    token: int
    epoch: int
    complete: bool
    claims: list[ClaimRow]


class LogLine(Effect, frozen=True, kw_only=True):
    """Write a log line for a registered log event."""

    number: int
    fields: dict[str, object]


class Finished(Effect, frozen=True, kw_only=True):
    """End of all work; the process closes its session and exits."""
