"""Events that drive the reducer of an entry process."""

from __future__ import annotations

import enum

import msgspec

from primrosepitch.fleet.records import AnyRecord
from primrosepitch.ids import (
    CallId,
    ConnId,
    CountKey,
    InstanceId,
    KeyId,
    Offset,
    QueueId,
    RequestId,
    SessionId,
    TeamId,
)

__all__ = [
    "AnswerReceived",
    "CallerGone",
    "ClaimAnswered",
    "ClaimAsked",
    "ClaimEnded",
    "ClaimsSynced",
    "ClaimVerdict",
    "ConnectionClosed",
    "ConnectionFailed",
    "ConnectionOpened",
    "EntryEvent",
    "Event",
    "Failure",
    "InstancesListed",
    "LogContact",
    "RecordRead",
    "RequestArrived",
    "RenewalConfirmed",
    "Resumed",
    "SendSkipped",
    "SendFailed",
    "StateLoaded",
    "StopAsked",
    "SyncAsked",
    "Tick",
    "UnitsAsked",
    "UsageReported",
    "WithdrawalsPending",
]


class ClaimVerdict(enum.Enum):
    """What a peer knows about a request id; values are those of the IDL."""

    CLAIMED = 1
    RUNNING = 2
    DONE = 3
    LOST = 4
    WRONG_EPOCH = 5
    INCOMPLETE = 6


class Failure(enum.Enum):
    """How an exchange with an endpoint failed."""

    NOT_SENT = "not_sent"
    CLOSED = "closed"
    TRUNCATED = "truncated"
    CROSSED = "crossed"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


class Event(msgspec.Struct, frozen=True, tag=True, omit_defaults=True, kw_only=True):
    """Base of all events.

    :param now: boot-time clock in seconds
    """

    now: float


class RequestArrived(Event, frozen=True, kw_only=True):
    """A whole request of a caller has been read.

    :param seed: random number for ties
    :param call: number given by the shell
    :param key_id: public part of the key; empty without a key
    :param key_valid: whether the secret part matches the stored hash
    :param request_id: id of the caller, or one made by the shell
    :param caller_id: whether the id came from the caller
    :param repeat: whether the caller says that it is a repeat
    :param timeout_s: time left; 0 when the caller names none
    """

    seed: int
    call: CallId
    queue: QueueId
    key_id: KeyId
    key_valid: bool
    request_id: RequestId
    caller_id: bool
    idempotent: bool
    urgent: bool = False
    repeat: bool = False
    timeout_s: float = 0.0
    size: int = 0


class CallerGone(Event, frozen=True, kw_only=True):
    """The caller closed its connection before it had an answer."""

    call: CallId


class Tick(Event, frozen=True, kw_only=True):
    """Time has passed; the shell sends one every 50 ms.

    :param seed: random number for ties
    """

    seed: int


class Resumed(Event, frozen=True, kw_only=True):
    """The process was paused.

    :param gap: seconds between two turns of the loop
    """

    gap: float


class ConnectionOpened(Event, frozen=True, kw_only=True):
    """A connection to an endpoint is open."""

    conn: ConnId


class ConnectionFailed(Event, frozen=True, kw_only=True):
    """A connection to an endpoint could not be opened."""

    conn: ConnId


class ConnectionClosed(Event, frozen=True, kw_only=True):
    """An idle connection was closed by the endpoint, or a close has finished."""

    conn: ConnId


class SendSkipped(Event, frozen=True, kw_only=True):
    """The shell did not write a request since its ``not_after`` had passed."""

    call: CallId
    conn: ConnId


class SendFailed(Event, frozen=True, kw_only=True):
    """An exchange failed without a usable answer; the connection is closed.

    :param failure: ``NOT_SENT`` only if not one byte of the request was written, or
        the endpoint refused it by its answer to ``Expect: 100-continue``
    """

    call: CallId
    conn: ConnId
    failure: Failure


class AnswerReceived(Event, frozen=True, kw_only=True):
    """A whole answer with the id of its request has come.

    :param status: HTTP status of the endpoint
    :param size: length of the body in bytes
    :param reusable: whether the connection may carry another request
    """

    call: CallId
    conn: ConnId
    status: int
    size: int = 0
    reusable: bool = True


class RecordRead(Event, frozen=True, kw_only=True):
    """A record was read from the log, or from a peer while the log is down."""

    offset: Offset
    record: AnyRecord


class StateLoaded(Event, frozen=True, kw_only=True):
    """A snapshot from the log or a peer is to replace an older state.

    :param data: encoding of the folded state
    """

    data: bytes


class LogContact(Event, frozen=True, kw_only=True):
    """The state of the link to the log.

    :param up: whether the last read succeeded
    """

    up: bool


class RenewalConfirmed(Event, frozen=True, kw_only=True):
    """The record that opened or renewed the own session was read back.

    :param sent: boot-time clock before the record was first appended or handed to a
        peer; the session may use its units for ``isolation_window_s`` from then
    """

    sent: float


class WithdrawalsPending(Event, frozen=True, kw_only=True):
    """Keys were withdrawn by an operator or a peer and are not yet in the log."""

    keys: list[KeyId]


class InstancesListed(Event, frozen=True, kw_only=True):
    """The platform's list was read.

    :param asked: boot-time clock when the read was started
    :param leaving: instances that leave
    """

    asked: float
    leaving: list[InstanceId]


class UsageReported(Event, frozen=True, kw_only=True):
    """A peer reported what runs and waits.

    :param origin: session or data centre that the figures are of
    :param running: running requests by queue and team
    :param waiting: waiting requests by queue and team
    """

    origin: str
    running: dict[QueueId, dict[TeamId, int]]
    waiting: dict[QueueId, dict[TeamId, int]]


class UnitsAsked(Event, frozen=True, kw_only=True):
    """A peer asks for units of counts."""

    session: SessionId
    units: dict[CountKey, int]


class ClaimAsked(Event, frozen=True, kw_only=True):
    """A peer claims a request id.

    :param token: number by which the shell finds the peer's question
    """

    token: int
    session: SessionId
    request_id: RequestId
    epoch: int


class ClaimAnswered(Event, frozen=True, kw_only=True):
    """A peer answered a claim, or did not before the shell's deadline.

    :param verdict: ``None`` without an answer
    :param holder: session that runs or ran the request
    """

    call: CallId
    session: SessionId
    verdict: ClaimVerdict | None
    epoch: int = 0
    holder: SessionId = SessionId("")


class ClaimEnded(Event, frozen=True, kw_only=True):
    """A peer reports how a claimed request ended.

    :param outcome: verdict that repeats get from now on
    """

    session: SessionId
    request_id: RequestId
    outcome: ClaimVerdict


class ClaimRow(msgspec.Struct, frozen=True):
    """One claim in a synchronisation.

    :param age_s: seconds since the claim was made
    """

    request_id: RequestId
    holder: SessionId
    outcome: ClaimVerdict
    age_s: float


class SyncAsked(Event, frozen=True, kw_only=True):
    """A fresh peer asks for all claims."""

    token: int
    session: SessionId
    min_epoch: int


class ClaimsSynced(Event, frozen=True, kw_only=True):
    """A peer sent its claims."""

    session: SessionId
    epoch: int
    complete: bool
    claims: list[ClaimRow]


class StopAsked(Event, frozen=True, kw_only=True):
    """The process is to stop gracefully."""


EntryEvent = (
    RequestArrived
    | CallerGone
    | Tick
    | Resumed
    | ConnectionOpened
    | ConnectionFailed
    | ConnectionClosed
    | SendSkipped
    | SendFailed
    | AnswerReceived
    | RecordRead
    | StateLoaded
    | LogContact
    | RenewalConfirmed
    | WithdrawalsPending
    | InstancesListed
    | UsageReported
    | UnitsAsked
    | ClaimAsked
    | ClaimAnswered
    | ClaimEnded
    | SyncAsked
    | ClaimsSynced
    | StopAsked
)
