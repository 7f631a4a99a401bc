"""State of a planner: the folded state and what it has observed itself."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from primrosepitch.fleet import records as rec
from primrosepitch.fleet.state import FleetState, Instance, Session, SessionState
from primrosepitch.ids import (
    CountKey,
    DcId,
    InstanceId,
    Offset,
    PoolId,
    SessionId,
    TaskId,
    WaveId,
)
from primrosepitch.planning.effects import Append, Effect, LogLine
from primrosepitch.planning.events import ListedInstance, Size, TaskSpec

__all__ = [
    "Failure",
    "ListView",
    "PlannerState",
    "ProbeView",
    "Restart",
    "Sight",
    "Task",
    "TaskState",
    "WaveView",
    "append",
    "log",
    "subject",
]


class Sight(msgspec.Struct):
    """When a planner first saw a renewal or an end in its fold.

    :param offset: offset of the record
    :param at: own boot-time clock when it was read
    """

    offset: Offset
    at: float


class ListView(msgspec.Struct):
    """The newest list that the platform gave.

    :param asked: boot-time clock when its read was started
    :param as_of: wall clock at which it was true
    :param rows: instances by name
    :param since: boot-time clock when the present incarnation was first seen
    """

    asked: float = float("-inf")
    as_of: float = float("-inf")
    rows: dict[InstanceId, ListedInstance] = {}
    since: dict[InstanceId, float] = {}


class ProbeView(msgspec.Struct):
    """Answers of one probed target.

    :param ok_at: boot-time clock when the last accepted probe was started
    :param failures: failed probes since then
    :param failing_since: when the first of them was started
    :param due: when the next probe is to be sent
    :param waiting: whether an answer is outstanding
    """

    ok_at: float = float("-inf")
    failures: int = 0
    failing_since: float = float("-inf")
    due: float = float("-inf")
    waiting: bool = False


class Restart(msgspec.Struct):
    """A reboot or stop that this planner asks the platform for.

    :param asked: boot-time clock of the last request
    :param accepted_wall: wall clock when the platform accepted one
    :param since: boot-time clock when the stop was read from the log
    """

    since: float
    asked: float = float("-inf")
    accepted_wall: float | None = None


class Failure(NamedTuple):
    """An instance that failed, as read from the log.

    :param at: own boot-time clock
    """

    at: float
    instance: InstanceId
    dc: DcId
    rack: str
    image: str


class WaveView(msgspec.Struct):
    """What a planner remembers of a wave.

    :param running_since: boot-time clock when its start or last resume was read
    :param handled: when a stop or return of each instance was read
    """

    running_since: float
    handled: dict[InstanceId, float] = {}


class TaskState(enum.Enum):
    """Life of a task in the planner."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    ENDING = "ending"


class Task(msgspec.Struct):
    """A task of the data centre.

    :param arrived: boot-time clock of its submission
    :param worker: instance on which it is started or runs
    :param attempt: number of starts
    :param changed: boot-time clock of the last command about it
    :param renewed: boot-time clock when its lease was last renewed
    :param peaks: boot-time clock and usage of the last reports
    :param retry_at: earliest time of the next start
    :param dropped: whether it is not to run again once it has ended
    :param throttled: whether it was throttled to make room
    :param ending_by: command by which it was asked to end
    :param stop_at: boot-time clock from which it is stopped without a checkpoint
    :param room_made: boot-time clock when lesser work was asked to make room for it
    :param reserved: worker on which room was made for it
    :param name: name of the present attempt at the platform
    """

    spec: TaskSpec
    arrived: float
    state: TaskState = TaskState.WAITING
    worker: InstanceId | None = None
    attempt: int = 0
    changed: float = float("-inf")
    renewed: float = float("-inf")
    peaks: list[tuple[float, Size]] = []
    retry_at: float = float("-inf")
    dropped: bool = False
    throttled: bool = False
    ending_by: str = ""
    stop_at: float = float("inf")
    room_made: float = float("-inf")
    reserved: InstanceId | None = None
    name: str = ""


class PlannerState(msgspec.Struct):
    """Everything that the reducer of a planner knows.

    :param session: own session
    :param removal_is_final: whether removal from the list proves a session's end
    :param sent: boot-time clock at which the outstanding lease record was sent
    :param lease_valid_until: boot-time clock before which no other planner can take
        the lease
    :param leases: last renewal seen of each data centre's lease
    :param renewals: last renewal seen of each open session
    :param ends: end seen of each ended session
    :param pending: own records that have not been read back, by subject
    :param downs: wall clock at which an instance was last seen to be unavailable
    :param names: task by the name of its present attempt
    :param worker_failures: failed starts in a row by worker
    :param never_fits: tasks that were reported as too large for every worker
    :param gone: when attempts that have ended were last heard of
    :param tasks_seen: when the read of the newest report of tasks was started
    :param full: boot-time clock up to which a worker that refused a task is passed over
    :param idle_since: when units of a count became idle
    :param giving: units that are on their way back to the reserve
    :param policy: name of the placement policy
    :param short_since: when a pool was first seen below its budget
    :param longest_request_s: longest deadline of a request in any configuration seen
    """

    session: SessionId
    dc: DcId
    removal_is_final: bool = False
    fleet: FleetState = msgspec.field(default_factory=FleetState)
    wall: float = 0.0
    wall_read: float = 0.0
    log_up: bool = False
    stopping: bool = False
    finished: bool = False
    sent: float | None = None
    lease_valid_until: float = float("-inf")
    last_sent: float = float("-inf")
    leases: dict[DcId, Sight] = {}
    renewals: dict[SessionId, Sight] = {}
    ends: dict[SessionId, Sight] = {}
    absent: dict[SessionId, float] = {}
    seen_instances: set[InstanceId] = set()
    pending: dict[str, float] = {}
    listing: ListView = msgspec.field(default_factory=ListView)
    list_sent: float = float("-inf")
    probes: dict[str, ProbeView] = {}
    downs: dict[InstanceId, float] = {}
    restarts: dict[InstanceId, Restart] = {}
    drains: dict[InstanceId, float] = {}
    failures: list[Failure] = []
    waves: dict[WaveId, WaveView] = {}
    longest_request_s: float = 0.0
    log_low: Offset = Offset(0)
    log_high: Offset = Offset(-1)
    snapshot_offset: Offset = Offset(-1)
    snapshot_asked: float = float("-inf")
    tasks: dict[TaskId, Task] = {}
    names: dict[str, TaskId] = {}
    worker_failures: dict[InstanceId, int] = {}
    never_fits: set[TaskId] = set()
    tasks_due: float = float("-inf")
    gone: dict[str, float] = {}
    tasks_seen: float = float("-inf")
    full: dict[InstanceId, float] = {}
    idle_since: dict[CountKey, float] = {}
    giving: dict[CountKey, int] = {}
    policy: str = "observed"
    short_since: dict[PoolId, float] = {}

    def wall_at(self, now: float) -> float:
        """Return the wall clock at a time of the boot-time clock."""
        return self.wall + max(0.0, now - self.wall_read)

    def own_session(self) -> Session | None:
        """Return the own session while it is open in the fold."""
        found = self.fleet.sessions.get(self.session)
        open_ = found is not None and found.state is SessionState.OPEN
        return found if open_ else None

    def own_instances(self) -> list[tuple[InstanceId, Instance]]:
        """Return the instances of the own data centre."""
        return [(n, i) for n, i in self.fleet.instances.items() if i.dc == self.dc]


def subject(record: rec.Record) -> str:
    """Return what a record is about; one record a subject is outstanding at a time."""
    for field in ("instance", "wave", "session", "dc"):
        value = getattr(record, field, None)
        if value is not None:
            return f"{type(record).__name__}/{value}"
    return type(record).__name__


def append(state: PlannerState, now: float, record: rec.Record) -> list[Effect]:
    """Append a record unless one about the same subject is outstanding."""
    key = subject(record)
    if key in state.pending:
        return []
    state.pending[key] = now
    return [Append(record=record)]


def log(kind: int, **fields: object) -> LogLine:
    """Return a log line."""
    return LogLine(number=kind, fields=fields)
