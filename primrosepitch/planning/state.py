"""State of a planner: the folded state and the planner's own observations."""

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
    "FirstRead",
    "InstanceFailure",
    "InstanceListing",
    "PlannerState",
    "ProbeStatus",
    "Restart",
    "Task",
    "TaskState",
    "WaveTracking",
    "append_once",
    "log_line",
    "record_subject",
]


class FirstRead(msgspec.Struct):
    """When a planner read the last renewal, or the end, of a session or lease.

    :param offset: offset of the record
    :param read_at: own boot-time clock when it was read
    """

    offset: Offset
    read_at: float


class InstanceListing(msgspec.Struct):
    """The newest list of instances read from the platform.

    :param requested_at: boot-time clock when the read was started
    :param as_of: wall clock at which the platform made the list
    :param rows: instances by name
    :param first_listed_at: boot-time clock when the present incarnation of an instance
        was first listed
    """

    requested_at: float = float("-inf")
    as_of: float = float("-inf")
    rows: dict[InstanceId, ListedInstance] = {}
    first_listed_at: dict[InstanceId, float] = {}


class ProbeStatus(msgspec.Struct):
    """Results of the probes of one target.

    :param ok_at: boot-time clock when the last accepted probe was started
    :param failures: number of failed probes since the last accepted one
    :param failing_since: boot-time clock when the first of them was started
    :param next_due: boot-time clock when the next probe is due
    :param in_flight: whether the result of a probe is outstanding
    """

    ok_at: float = float("-inf")
    failures: int = 0
    failing_since: float = float("-inf")
    next_due: float = float("-inf")
    in_flight: bool = False


class Restart(msgspec.Struct):
    """A reboot or stop that this planner requests from the platform.

    :param requested_at: boot-time clock of the last request
    :param accepted_wall: wall clock when the platform accepted a request
    :param stopping_since: boot-time clock when the stop was read from the log
    """

    stopping_since: float
    requested_at: float = float("-inf")
    accepted_wall: float | None = None


class InstanceFailure(NamedTuple):
    """A failure of an instance, as read from the log.

    :param at: own boot-time clock when it was read
    :param image: image of the instance; empty if the configuration names none
    """

    at: float
    instance: InstanceId
    dc: DcId
    rack: str
    image: str


class WaveTracking(msgspec.Struct):
    """A planner's own observations of a wave.

    :param running_since: boot-time clock when its start or last resume was read
    :param handled: boot-time clock when the last stop or return of each instance was
        read
    """

    running_since: float
    handled: dict[InstanceId, float] = {}


class TaskState(enum.Enum):
    """State of a task in the planner."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    ENDING = "ending"


class Task(msgspec.Struct):
    """A task of the data centre; ``GET /-/tasks`` writes out its fields by name.

    :param arrived: boot-time clock of its submission
    :param worker: instance on which it is started or runs
    :param attempt: number of starts
    :param changed: boot-time clock of the last command about it
    :param renewed: boot-time clock when its lease was last renewed
    :param peaks: boot-time clock and observed usage of recent reports
    :param retry_at: boot-time clock of the earliest next start
    :param dropped: whether it was cancelled and must not start again
    :param throttled: whether it was throttled to make room for an urgent task
    :param ending_by: last command that was sent to end it
    :param stop_at: boot-time clock from which it is stopped without a checkpoint
    :param room_made: boot-time clock when other tasks were last preempted for it
    :param reserved: worker on which they were preempted, which is kept for it
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
    """Complete state of a planner's reducer.

    :param session: id of the own session
    :param fleet: state folded from the log
    :param wall: wall clock of the last tick
    :param wall_read_at: boot-time clock of the last tick
    :param removal_is_final: whether removal of its instance from the platform's list
        proves that a session has ended
    :param lease_pending_since: boot-time clock at which the outstanding lease record
        was sent
    :param lease_valid_until: boot-time clock before which no other planner can take
        the lease
    :param lease_renewals: last renewal read of each data centre's lease
    :param session_renewals: last renewal read of each open session
    :param session_ends: end read of each ended session
    :param unreachable_since: boot-time clock since which the instance of a session is
        both missing from the list and silent
    :param ever_listed: instances that any list has contained
    :param pending: own records that have not been read back, by ``record_subject``
    :param down_wall: wall clock at which an instance was last found unavailable
    :param drain_since: boot-time clock when each drain was read; infinite once a long
        drain was logged
    :param task_by_attempt: task by the name of its present attempt
    :param worker_failures: consecutive failed starts by worker
    :param oversized_tasks: tasks that were logged as too large for every worker
    :param ended_attempts: boot-time clock at which each recent attempt ended
    :param tasks_reported_at: boot-time clock when the read of the newest report of
        tasks was started
    :param refused_until: boot-time clock up to which a worker that refused a task is
        not used
    :param idle_since: boot-time clock since which a count has idle units
    :param returning_units: units of the outstanding ``SliceGive`` record
    :param policy: name of the placement policy
    :param shortage_since: boot-time clock since which a pool is below its budget
    :param longest_request_s: longest ``max_request_s`` of any configuration read so far
    """

    session: SessionId
    dc: DcId
    removal_is_final: bool = False
    fleet: FleetState = msgspec.field(default_factory=FleetState)
    wall: float = 0.0
    wall_read_at: float = 0.0
    log_up: bool = False
    stopping: bool = False
    finished: bool = False
    lease_pending_since: float | None = None
    lease_valid_until: float = float("-inf")
    lease_last_sent_at: float = float("-inf")
    lease_renewals: dict[DcId, FirstRead] = {}
    session_renewals: dict[SessionId, FirstRead] = {}
    session_ends: dict[SessionId, FirstRead] = {}
    unreachable_since: dict[SessionId, float] = {}
    ever_listed: set[InstanceId] = set()
    pending: dict[str, float] = {}
    listing: InstanceListing = msgspec.field(default_factory=InstanceListing)
    list_requested_at: float = float("-inf")
    probes: dict[str, ProbeStatus] = {}
    down_wall: dict[InstanceId, float] = {}
    restarts: dict[InstanceId, Restart] = {}
    drain_since: dict[InstanceId, float] = {}
    failures: list[InstanceFailure] = []
    waves: dict[WaveId, WaveTracking] = {}
    longest_request_s: float = 0.0
    log_low: Offset = Offset(0)
    log_high: Offset = Offset(-1)
    snapshot_offset: Offset = Offset(-1)
    snapshot_requested_at: float = float("-inf")
    tasks: dict[TaskId, Task] = {}
    task_by_attempt: dict[str, TaskId] = {}
    worker_failures: dict[InstanceId, int] = {}
    oversized_tasks: set[TaskId] = set()
    task_report_due: float = float("-inf")
    ended_attempts: dict[str, float] = {}
    tasks_reported_at: float = float("-inf")
    refused_until: dict[InstanceId, float] = {}
    idle_since: dict[CountKey, float] = {}
    returning_units: dict[CountKey, int] = {}
    policy: str = "observed"
    shortage_since: dict[PoolId, float] = {}

    def wall_at(self, now: float) -> float:
        """Convert a boot-time clock to the wall clock, based on the last tick."""
        return self.wall + max(0.0, now - self.wall_read_at)

    def own_session(self) -> Session | None:
        """Return the own session if it is open in the folded state."""
        found = self.fleet.sessions.get(self.session)
        open_ = found is not None and found.state is SessionState.OPEN
        return found if open_ else None

    def own_instances(self) -> list[tuple[InstanceId, Instance]]:
        """Return the instances of the own data centre."""
        return [(n, i) for n, i in self.fleet.instances.items() if i.dc == self.dc]


def record_subject(record: rec.Record) -> str:
    """Return the record type and its subject, the key of ``PlannerState.pending``."""
    for field in ("instance", "wave", "session", "dc"):
        value = getattr(record, field, None)
        if value is not None:
            return f"{type(record).__name__}/{value}"
    return type(record).__name__


def append_once(state: PlannerState, now: float, record: rec.Record) -> list[Effect]:
    """Append a record unless one with the same key is outstanding."""
    key = record_subject(record)
    if key in state.pending:
        return []
    state.pending[key] = now
    return [Append(record=record)]


def log_line(kind: int, **fields: object) -> LogLine:
    """Return the effect that writes a log line.

    :param kind: number of the log event
    """
    return LogLine(number=kind, fields=fields)
