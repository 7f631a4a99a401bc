"""Messages of the operators' HTTP API, shared by processes and ``primrosectl``."""

from __future__ import annotations

from typing import Any

import msgspec

from primrosepitch.config.model import Document, merge
from primrosepitch.errors import MalformedMessageError
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.state import FleetState, Instance, Lease, Session, Wave
from primrosepitch.ids import (
    DcId,
    InstanceId,
    KeyId,
    Offset,
    RecordId,
    SessionId,
    TeamId,
    WaveId,
)

__all__ = [
    "Accepted",
    "ConfigView",
    "FleetView",
    "ProcessView",
    "Publish",
    "StatusView",
    "TeamView",
    "command_body",
    "command_record",
    "config_view",
    "fleet_view",
]

COMMANDS = (
    rec.KeyGiven,
    rec.KeyWithdrawn,
    rec.SessionEnded,
    rec.DrainStarted,
    rec.DrainCancelled,
    rec.WaveStarted,
    rec.WavePaused,
    rec.WaveResumed,
    rec.WaveCancelled,
)
"""Records that operators may append by ``POST /-/records``."""

PROCESS_FIELDS = ("record_id", "by", "at")
"""Fields of a record that the process sets instead of the operator."""


class ConfigView(msgspec.Struct):
    """Response to ``GET /-/config``.

    :param offset: offset of the configuration in force; -1 before the first
    """

    offset: Offset
    documents: dict[str, Document] = {}


class FleetView(msgspec.Struct):
    """Response to ``GET /-/fleet``.

    :param offset: offset of the state that the view shows
    :param withdrawn: ids of withdrawn keys
    :param keys: teams by the ids of their valid keys
    """

    offset: Offset
    instances: dict[InstanceId, Instance] = {}
    waves: dict[WaveId, Wave] = {}
    leases: dict[DcId, Lease] = {}
    sessions: dict[SessionId, Session] = {}
    withdrawn: list[KeyId] = []
    keys: dict[KeyId, TeamId] = {}

    def state(self, config: ConfigView) -> FleetState:
        """Return a fleet state without counts, for dry runs of commands."""
        return FleetState(
            offset=self.offset,
            documents=config.documents,
            config=merge(config.documents),
            config_offset=config.offset,
            sessions=self.sessions,
            leases=self.leases,
            instances=self.instances,
            waves=self.waves,
        )


class TeamView(msgspec.Struct):
    """Requests of a team in one entry.

    :param held: units of the upper limit that the entry holds
    """

    running: int = 0
    waiting: int = 0
    held: int = 0


class ProcessView(msgspec.Struct):
    """A process as last reported to this one.

    :param offset: last offset that it had folded in its last report
    :param age_s: seconds since its last report
    """

    dc: DcId
    offset: Offset | None = None
    age_s: float | None = None
    role: str = ""


class StatusView(msgspec.Struct):
    """Response to ``GET /-/status``.

    :param log_contact: whether the last read of the log succeeded
    :param processes: processes by session
    :param pending_withdrawals: keys that are refused here although their withdrawal is
        not yet in the log
    """

    session: SessionId
    dc: DcId
    generation: int
    offset: Offset
    role: str = ""
    log_contact: bool = False
    endpoints: dict[InstanceId, Any] = {}
    teams: dict[TeamId, TeamView] = {}
    processes: dict[SessionId, ProcessView] = {}
    pending_withdrawals: list[KeyId] = []


class Publish(msgspec.Struct):
    """Body of ``POST /-/config``."""

    base_offset: Offset
    documents: dict[str, Document] = {}
    removed: list[str] = []
    operator: str = ""


class Accepted(msgspec.Struct):
    """Response to a command.

    :param offset: offset at which the command was accepted
    :param pending: whether the command is in force but not yet in the log
    """

    offset: Offset = Offset(-1)
    pending: bool = False


def config_view(state: FleetState) -> ConfigView:
    """Return the response to ``GET /-/config``."""
    return ConfigView(offset=state.config_offset, documents=state.documents)


def fleet_view(state: FleetState) -> FleetView:
    """Return the response to ``GET /-/fleet``; it shares objects with the state."""
    keys = {k: key.team for k, key in state.given_keys.items()}
    for team, spec in state.config.teams.items():
        keys.update({k: team for k in spec.keys if k not in state.withdrawn})
    return FleetView(
        offset=state.offset,
        instances=state.instances,
        waves=state.waves,
        leases=state.leases,
        sessions=state.sessions,
        withdrawn=sorted(state.withdrawn),
        keys=keys,
    )


def command_body(record: rec.Record) -> dict[str, Any]:
    """Return the body of ``POST /-/records`` for a record."""
    fields: dict[str, Any] = msgspec.to_builtins(record)
    return {k: v for k, v in fields.items() if k not in PROCESS_FIELDS}


def command_record(
    raw: dict[str, Any], record_id: RecordId, by: SessionId, at: float
) -> rec.Record:
    """Return the record in the body of ``POST /-/records``.

    :raises MalformedMessageError: if it is not a record that operators may append
    """
    stamped = {**raw, "record_id": record_id, "by": by, "at": at}
    try:
        record: rec.Record = msgspec.convert(stamped, rec.AnyRecord)
    except msgspec.ValidationError as exc:
        raise MalformedMessageError(str(exc)) from exc
    if not isinstance(record, COMMANDS):
        raise MalformedMessageError(
            f"{type(record).__name__} is not an operator's command"
        )
    return record
