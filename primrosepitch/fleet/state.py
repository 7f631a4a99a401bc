"""Fleet state that every process folds from the log."""

from __future__ import annotations

import enum

import msgspec

from primrosepitch.config.model import Config, Document, KeySpec
from primrosepitch.fleet.counts import Count, conns_key, slots_key
from primrosepitch.fleet.records import DrainReason, Proof, Role
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
    "FleetState",
    "Instance",
    "Key",
    "Lease",
    "Phase",
    "Session",
    "SessionState",
    "Wave",
    "WaveState",
]

NO_OFFSET = Offset(-1)
"""Offset before the first record; stands for an event that has not happened."""


class SessionState(enum.Enum):
    """State of a session."""

    OPEN = "open"
    ENDED = "ended"


class Phase(enum.Enum):
    """Phase of an instance between drain, stop and return."""

    ACTIVE = "active"
    DRAINING = "draining"
    STOPPING = "stopping"


class WaveState(enum.Enum):
    """State of a maintenance wave."""

    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"
    DONE = "done"


class Session(msgspec.Struct):
    """One run of a process.

    :param opened: offset at which it was opened
    :param renewed: offset of its last renewal
    :param ended: offset at which it ended
    :param proof: proof of its end; ``None`` if a process at the same peer address
        succeeded it
    """

    role: Role
    dc: DcId
    instance: InstanceId
    peer_address: str
    http_address: str
    opened: Offset
    renewed: Offset
    state: SessionState = SessionState.OPEN
    ended: Offset = NO_OFFSET
    proof: Proof | None = None


class Lease(msgspec.Struct):
    """Planner lease of a data centre.

    :param term: number, increased by each takeover
    :param renewed: offset of the last renewal
    """

    session: SessionId
    term: int
    renewed: Offset


class Key(msgspec.Struct, frozen=True):
    """A key of a team with its salted hash."""

    team: TeamId
    spec: KeySpec


class Instance(msgspec.Struct):
    """An endpoint instance.

    :param up: whether it has been proved available
    :param changed: offset of its last change
    :param incarnation: boot id; in phase ``STOPPING`` the one before the stop
    :param maintained: offset at which it returned from its last planned stop
    """

    pool: PoolId
    dc: DcId
    rack: str
    up: bool = False
    phase: Phase = Phase.ACTIVE
    reason: DrainReason | None = None
    to_pool: PoolId | None = None
    wave: WaveId | None = None
    changed: Offset = NO_OFFSET
    incarnation: str = ""
    maintained: Offset = NO_OFFSET

    @property
    def available(self) -> bool:
        """Whether it counts as available in availability budgets."""
        return self.up and self.phase is Phase.ACTIVE


class Wave(msgspec.Struct):
    """A maintenance wave.

    :param instances: instances in the order in which they are stopped
    :param max_parallel: maximum number of instances stopped at a time
    :param done: instances that have returned from their stop
    :param cause: why it was paused
    """

    instances: list[InstanceId]
    max_parallel: int
    state: WaveState = WaveState.RUNNING
    done: list[InstanceId] = []
    cause: str = ""


class FleetState(msgspec.Struct):
    """State that is the same in all processes at the same offset.

    :param generation: generation of the log, which a truncation or restore increases
    :param offset: offset of the last folded record
    :param recent: offsets by record id of the newest records, oldest first
    :param documents: configuration files by name
    :param config: configuration merged from them
    :param config_offset: offset of the configuration in force
    :param given_keys: keys given by records, not by the configuration
    :param withdrawn: wall-clock seconds of each withdrawal by key id
    :param epochs: number of changes of the set of entry sessions by data centre
    """

    generation: int = 0
    offset: Offset = NO_OFFSET
    recent: dict[RecordId, Offset] = {}
    documents: dict[str, Document] = {}
    config: Config = msgspec.field(default_factory=Config)
    config_offset: Offset = NO_OFFSET
    given_keys: dict[KeyId, Key] = {}
    withdrawn: dict[KeyId, float] = {}
    sessions: dict[SessionId, Session] = {}
    epochs: dict[DcId, int] = {}
    counts: dict[CountKey, Count] = {}
    leases: dict[DcId, Lease] = {}
    instances: dict[InstanceId, Instance] = {}
    waves: dict[WaveId, Wave] = {}

    def open_entries(self, dc: DcId | None = None) -> list[SessionId]:
        """Return the open entry sessions of one data centre or of all, sorted."""
        return sorted(
            sid
            for sid, s in self.sessions.items()
            if s.state is SessionState.OPEN
            and s.role is Role.ENTRY
            and (dc is None or s.dc == dc)
        )

    def find_key(self, key_id: KeyId) -> Key | None:
        """Return a valid key; ``None`` if it is unknown or withdrawn."""
        if key_id in self.withdrawn:
            return None
        given = self.given_keys.get(key_id)
        if given is not None:
            return given if given.team in self.config.teams else None
        for team, spec in self.config.teams.items():
            if key_id in spec.keys:
                return Key(team, spec.keys[key_id])
        return None

    def held_by(self, key: CountKey, session: SessionId) -> int:
        """Return the number of units of a count that a session holds; 0 if unknown."""
        count = self.counts.get(key)
        return count.held_by(session) if count else 0

    def drained(self, instance: InstanceId) -> bool:
        """Return whether all units of a draining instance are back in the reserve."""
        if self.instances[instance].phase is not Phase.DRAINING:
            return False
        counts = (self.counts[slots_key(instance)], self.counts[conns_key(instance)])
        return all(c.reserve == c.total and not c.owed for c in counts)

    def available_in(self, pool: PoolId) -> int:
        """Return the number of available instances of a pool."""
        return sum(1 for i in self.instances.values() if i.pool == pool and i.available)
