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
    """Program that a session runs."""

    ENTRY = "entry"
    PLANNER = "planner"


class Proof(enum.Enum):
    """Why a session is known to have ended."""

    FENCED = "fenced"
    REMOVED = "removed"
    ISOLATED = "isolated"


class DrainReason(enum.Enum):
    """What follows when an instance has drained."""

    REBOOT = "reboot"
    STOP = "stop"
    MOVE = "move"


class Record(msgspec.Struct, frozen=True, tag=True, omit_defaults=True, kw_only=True):
    """Base of all records.

    :param record_id: unique id; a repeated append keeps it and folds once
    :param by: session that appended it
    :param at: wall-clock seconds, for people only
    """

    record_id: RecordId
    by: SessionId
    at: float = 0.0


class ConfigPublished(Record, frozen=True, kw_only=True):
    """Changed files of the configuration folder.

    :param base_offset: offset of the configuration that the change was made from;
        the record is void if a newer one is in force
    :param documents: changed and new documents by file name
    :param removed: names of deleted files
    :param operator: name of the operator, for people
    """

    base_offset: Offset
    documents: dict[str, Document] = {}
    removed: list[str] = []
    operator: str = ""


class KeyGiven(Record, frozen=True, kw_only=True):
    """A new key of a team, as a salted hash."""

    team: TeamId
    key_id: KeyId
    salt: str
    digest: str


class KeyWithdrawn(Record, frozen=True, kw_only=True):
    """A key that no longer works; it can never be given again."""

    key_id: KeyId


class SessionOpened(Record, frozen=True, kw_only=True):
    """A process has started and has bound its peer address.

    An open session of the same role with the same peer address has ended, since the
    operating system gives an address to one process at a time.
    """

    session: SessionId
    role: Role
    dc: DcId
    instance: InstanceId
    peer_address: str
    http_address: str = ""


class SessionRenewed(Record, frozen=True, kw_only=True):
    """Sessions that are alive; their contact with the log counts from here."""

    sessions: list[SessionId]


class SessionClosed(Record, frozen=True, kw_only=True):
    """A process has stopped gracefully; all its work has ended."""

    session: SessionId


class SessionEnded(Record, frozen=True, kw_only=True):
    """A process is known to run no more; its units are quarantined.

    :param renewed_offset: last renewal that the judgement is based on; a newer one
        makes the record void
    """

    session: SessionId
    proof: Proof
    renewed_offset: Offset


class SessionSettled(Record, frozen=True, kw_only=True):
    """Nothing that an ended session started can still run; its units return."""

    session: SessionId


class SliceTake(Record, frozen=True, kw_only=True):
    """A session takes units from reserves, as many as there are."""

    units: dict[CountKey, int]


class SliceGive(Record, frozen=True, kw_only=True):
    """A session gives units to another one, or to the reserve when ``to`` is absent."""

    units: dict[CountKey, int]
    to: SessionId | None = None


class PlannerLease(Record, frozen=True, kw_only=True):
    """A planner takes or renews the lease of a data centre.

    :param term: the current term to renew, one more to take over
    :param renewed_offset: last renewal that a takeover is based on; a newer one makes
        it void, since the planner that judged it may have been paused
    """

    dc: DcId
    session: SessionId
    term: int
    renewed_offset: Offset = Offset(-1)


class DrainStarted(Record, frozen=True, kw_only=True):
    """An instance is to get no new work.

    :param to_pool: pool to which it moves, for reason ``MOVE``
    :param dc: data centre whose planner lease covers the record, with ``term``
    :param term: term of the lease; ``None`` for an operator's command
    :param base_offset: offset at which it was decided; for an operator's command the
        record is void if the instance has changed since
    :param wave: wave to which the stop belongs
    """

    instance: InstanceId
    reason: DrainReason
    base_offset: Offset
    to_pool: PoolId | None = None
    dc: DcId | None = None
    term: int | None = None
    wave: WaveId | None = None


class DrainCancelled(Record, frozen=True, kw_only=True):
    """A drain is given up; the instance goes on in its pool."""

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
    """A drained instance belongs to its new pool from here on."""

    instance: InstanceId
    dc: DcId
    term: int


class InstanceUp(Record, frozen=True, kw_only=True):
    """An instance has been proved available.

    :param incarnation: boot id; after a stop it must differ from the one before
    """

    instance: InstanceId
    dc: DcId
    term: int
    incarnation: str = ""


class InstanceDown(Record, frozen=True, kw_only=True):
    """An instance failed, is silent or is missing from the platform's list."""

    instance: InstanceId
    dc: DcId
    term: int
    cause: str = ""


class WaveStarted(Record, frozen=True, kw_only=True):
    """A maintenance wave over instances.

    :param max_parallel: most instances stopped at a time
    """

    wave: WaveId
    instances: list[InstanceId]
    max_parallel: int


class WavePaused(Record, frozen=True, kw_only=True):
    """A wave starts no further stops."""

    wave: WaveId
    cause: str = ""


class WaveResumed(Record, frozen=True, kw_only=True):
    """A paused wave goes on."""

    wave: WaveId


class WaveCancelled(Record, frozen=True, kw_only=True):
    """A wave starts no further stops and never resumes."""

    wave: WaveId


class Snapshot(Record, frozen=True, kw_only=True):
    """A part of a compressed folded state.

    :param generation: generation of the state's log
    :param offset_seen: last offset folded into the state
    :param part: number of this part, from 0
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
    """Return a fresh random record id; for I/O shells, never for reducers."""
    return RecordId(uuid.uuid4().hex)


def encode_record(record: Record) -> bytes:
    """Return the msgpack encoding of a record."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> Record:
    """Return the record of an encoding.

    :raises FrameError: if the bytes are no known record
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise FrameError(str(exc)) from exc
