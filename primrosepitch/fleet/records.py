"""Records of the log stream ``fleet`` and their encoding."""

from __future__ import annotations

import enum
import uuid

import msgspec

from primrosepitch.config.model import Document
from primrosepitch.errors import FrameError
from primrosepitch.ids import (
    CountKey,
    DcId,
    InstanceId,
    KeyId,
    Offset,
    PoolId,
    RecordId,
    SessionId,
    TeamId,
    WaveId,
)

__all__ = [
    "ConfigPublished",
    "DrainCancelled",
    "DrainReason",
    "DrainStarted",
    "InstanceDown",
    "InstanceUp",
    "KeyGiven",
    "KeyWithdrawn",
    "MoveFinished",
    "PlannerLease",
    "Proof",
    "Record",
    "Role",
    "SessionClosed",
    "SessionEnded",
    "SessionOpened",
    "SessionRenewed",
    "SessionSettled",
    "SliceGive",
    "SliceTake",
    "Snapshot",
    "StopRequested",
    "WaveCancelled",
    "WavePaused",
    "WaveResumed",
    "WaveStarted",
    "decode_record",
    "encode_record",
    "new_record_id",
]


class Role(enum.Enum):
    """Role of the process that a session belongs to."""

    ENTRY = "entry"
    PLANNER = "planner"


class Proof(enum.Enum):
    """Proof that a session has ended."""

    FENCED = "fenced"
    REMOVED = "removed"
    ISOLATED = "isolated"


class DrainReason(enum.Enum):
    """Purpose of a drain, which is carried out once the instance has drained."""

    REBOOT = "reboot"
    STOP = "stop"
    MOVE = "move"


class Record(msgspec.Struct, frozen=True, tag=True, omit_defaults=True, kw_only=True):
    """Base class of all records.

    :param record_id: unique id; a retried append keeps it, so the record is folded once
    :param by: session that appended the record
    :param at: wall-clock seconds
    """

    record_id: RecordId
    by: SessionId
    at: float = 0.0


class ConfigPublished(Record, frozen=True, kw_only=True):
    """A change of files of the configuration folder was published.

    :param base_offset: offset of the configuration that the change is based on; the
        record is void if a newer one is in force
    :param documents: changed and new documents by file name
    :param removed: names of deleted files
    :param operator: name of the operator, for information only
    """

    base_offset: Offset
    documents: dict[str, Document] = {}
    removed: list[str] = []
    operator: str = ""


class KeyGiven(Record, frozen=True, kw_only=True):
    """A team was given a new key, which is stored as a salted hash."""

    team: TeamId
    key_id: KeyId
    salt: str
    digest: str


class KeyWithdrawn(Record, frozen=True, kw_only=True):
    """A key was withdrawn; it is invalid from here on and can never be given again."""

    key_id: KeyId


class SessionOpened(Record, frozen=True, kw_only=True):
    """A process has started and has bound its peer address.

    The record also ends an open session of the same role with the same peer address,
    since the operating system lets only one process at a time bind an address.
    """

    session: SessionId
    role: Role
    dc: DcId
    instance: InstanceId
    peer_address: str
    http_address: str = ""


class SessionRenewed(Record, frozen=True, kw_only=True):
    """Sessions were alive; their time without contact with the log counts from here."""

    sessions: list[SessionId]


class SessionClosed(Record, frozen=True, kw_only=True):
    """A process has stopped gracefully, after all its work had ended."""

    session: SessionId


class SessionEnded(Record, frozen=True, kw_only=True):
    """A process is proved to have ended; its units are quarantined.

    :param renewed_offset: offset of the last renewal that the proof is based on; a
        newer renewal makes the record void
    """

    session: SessionId
    proof: Proof
    renewed_offset: Offset


class SessionSettled(Record, frozen=True, kw_only=True):
    """No work of an ended session can still run; its units return to the reserve."""

    session: SessionId


class SliceTake(Record, frozen=True, kw_only=True):
    """A session takes units from the reserves, limited to those available."""

    units: dict[CountKey, int]


class SliceGive(Record, frozen=True, kw_only=True):
    """A session gives units to another session, or to the reserve without ``to``."""

    units: dict[CountKey, int]
    to: SessionId | None = None


class PlannerLease(Record, frozen=True, kw_only=True):
    """A planner acquires or renews the lease of a data centre.

    :param term: the current term for a renewal, one more for a takeover
    :param renewed_offset: offset of the last renewal that a takeover is based on; a
        newer renewal makes it void, since the planner may have been paused after it
        decided on the takeover
    """

    dc: DcId
    session: SessionId
    term: int
    renewed_offset: Offset = Offset(-1)


class DrainStarted(Record, frozen=True, kw_only=True):
    """A drain has started; the instance gets no new work.

    :param to_pool: pool to which the instance moves, for reason ``MOVE``
    :param dc: data centre whose planner lease covers the record, with ``term``
    :param term: term of the lease; ``None`` for an operator's command
    :param base_offset: offset of the state that the decision is based on; an operator's
        command is void if the instance has changed since
    :param wave: maintenance wave that the stop belongs to
    """

    instance: InstanceId
    reason: DrainReason
    base_offset: Offset
    to_pool: PoolId | None = None
    dc: DcId | None = None
    term: int | None = None
    wave: WaveId | None = None


class DrainCancelled(Record, frozen=True, kw_only=True):
    """A drain was cancelled; the instance stays active in its pool."""

    instance: InstanceId
    cause: str = ""


class StopRequested(Record, frozen=True, kw_only=True):
    """A drained instance is about to be stopped or rebooted.

    :param incarnation: boot id of the instance before the stop
    """

    instance: InstanceId
    dc: DcId
    term: int
    incarnation: str = ""


class MoveFinished(Record, frozen=True, kw_only=True):
    """A drained instance has moved; it belongs to its new pool from here on."""

    instance: InstanceId
    dc: DcId
    term: int


class InstanceUp(Record, frozen=True, kw_only=True):
    """An instance has been proved available.

    :param incarnation: boot id; after a stop it must differ from the previous one
    """

    instance: InstanceId
    dc: DcId
    term: int
    incarnation: str = ""


class InstanceDown(Record, frozen=True, kw_only=True):
    """An instance has failed, is silent or is missing from the platform's list."""

    instance: InstanceId
    dc: DcId
    term: int
    cause: str = ""


class WaveStarted(Record, frozen=True, kw_only=True):
    """A maintenance wave over instances has started.

    :param max_parallel: maximum number of instances stopped at a time
    """

    wave: WaveId
    instances: list[InstanceId]
    max_parallel: int


class WavePaused(Record, frozen=True, kw_only=True):
    """A wave was paused; it starts no further stops until it is resumed."""

    wave: WaveId
    cause: str = ""


class WaveResumed(Record, frozen=True, kw_only=True):
    """A paused wave was resumed."""

    wave: WaveId


class WaveCancelled(Record, frozen=True, kw_only=True):
    """A wave was cancelled; it starts no further stops and cannot be resumed."""

    wave: WaveId


class Snapshot(Record, frozen=True, kw_only=True):
    """One part of a compressed snapshot of the folded state.

    :param generation: generation of the log that the snapshot is for
    :param offset_seen: last offset folded into the state
    :param part: number of this part, starting at 0
    :param parts: number of parts
    :param data: part of the compressed encoding
    """

    generation: int
    offset_seen: Offset
    part: int
    parts: int
    data: bytes


AnyRecord = (
    ConfigPublished
    | KeyGiven
    | KeyWithdrawn
    | SessionOpened
    | SessionRenewed
    | SessionClosed
    | SessionEnded
    | SessionSettled
    | SliceTake
    | SliceGive
    | PlannerLease
    | DrainStarted
    | DrainCancelled
    | StopRequested
    | MoveFinished
    | InstanceUp
    | InstanceDown
    | WaveStarted
    | WavePaused
    | WaveResumed
    | WaveCancelled
    | Snapshot
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyRecord)


def new_record_id() -> RecordId:
    """Return a random record id; only for I/O shells, as reducers are deterministic."""
    return RecordId(uuid.uuid4().hex)


def encode_record(record: Record) -> bytes:
    """Return the msgpack encoding of a record."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> Record:
    """Decode a record.

    :raises FrameError: if the bytes are not a valid encoding of a known record
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise FrameError(str(exc)) from exc
