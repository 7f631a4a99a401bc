"""State that every process folds from the log."""

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


class SessionState(enum.Enum):
    """Life of a session."""

    OPEN = "open"
    ENDED = "ended"


class Phase(enum.Enum):
    """What the system has decided about an instance."""

    ACTIVE = "active"
    DRAINING = "draining"
    STOPPING = "stopping"


class WaveState(enum.Enum):
    """Life of a maintenance wave."""

    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"
    DONE = "done"


class Session(msgspec.Struct):
    """One run of one process.

    :param opened: offset at which it opened
    :param renewed: offset of its last renewal
    :param proof: why it is known to have ended; ``None`` for a successor
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

    :param renewed: offset of the last renewal
    """

    session: SessionId
    term: int
    renewed: Offset


class Key(msgspec.Struct, frozen=True):
    """A valid key of a team."""

    team: TeamId
    spec: KeySpec


class Instance(msgspec.Struct):
    """An endpoint instance.

    :param up: whether it has been proved available
    :param changed: offset of its last change
    :param incarnation: boot id; before a stop while the phase is ``STOPPING``
    :param maintained: offset at which its last planned stop had ended
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
        """Whether it counts as available for budgets."""
        return self.up and self.phase is Phase.ACTIVE


class Wave(msgspec.Struct):
    """A maintenance wave.

    :param instances: instances in the order in which they are to be stopped
    :param done: instances whose stop has ended
    """

    instances: list[InstanceId]
    max_parallel: int
    state: WaveState = WaveState.RUNNING
    done: list[InstanceId] = []
    cause: str = ""


class FleetState(msgspec.Struct):
    """Everything that all processes agree about at an offset.

    :param generation: raised when the log was truncated or restored
    :param offset: last folded offset
    :param recent: offsets by record id of the newest records, oldest first
    :param config_offset: offset of the configuration in force
    :param epochs: number of changes of the entry sessions by data centre
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
        """Return the open entry sessions, of one data centre or of all, sorted."""
        return sorted(
            sid
            for sid, s in self.sessions.items()
            if s.state is SessionState.OPEN
            and s.role is Role.ENTRY
            and (dc is None or s.dc == dc)
        )

    def find_key(self, key_id: KeyId) -> Key | None:
        """Return a key that is not withdrawn."""
        if key_id in self.withdrawn:
            return None
        given = self.given_keys.get(key_id)
        if given is not None:
            return given if given.team in self.config.teams else None
        for team, spec in self.config.teams.items():
            if key_id in spec.keys:
                return Key(team, spec.keys[key_id])
        return None

    def holding(self, key: CountKey, session: SessionId) -> int:
        """Return the units of a count that a session holds."""
        count = self.counts.get(key)
        return count.held_by(session) if count else 0

    def drained(self, instance: InstanceId) -> bool:
        """Whether every unit of a draining instance is back in the reserve."""
        if self.instances[instance].phase is not Phase.DRAINING:
            return False
        counts = (self.counts[slots_key(instance)], self.counts[conns_key(instance)])
        return all(c.reserve == c.total and not c.owed for c in counts)

    def available_in(self, pool: PoolId) -> int:
        """Return how many instances of a pool are available."""
        return sum(1 for i in self.instances.values() if i.pool == pool and i.available)
