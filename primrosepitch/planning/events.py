"""Events that the planner's reducer handles."""

from __future__ import annotations

import enum

import msgspec

from primrosepitch.fleet.records import AnyRecord
from primrosepitch.ids import DcId, InstanceId, Offset, TaskId, TeamId

__all__ = [
    "Event",
    "InstancesListed",
    "ListedInstance",
    "ListedState",
    "LogContact",
    "LogRange",
    "PlannerEvent",
    "ProbeAnswered",
    "RecordRead",
    "RestartAnswered",
    "Resumed",
    "Size",
    "StateLoaded",
    "StopAsked",
    "TaskAction",
    "TaskAnswered",
    "TaskReport",
    "TaskSpec",
    "TasksCancelled",
    "TasksListed",
    "TasksSubmitted",
    "Tick",
]


class ListedState(enum.Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class TaskAction(enum.Enum):
    """Command to the platform about a task."""

    START = "start"
    RENEW = "renew"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


class Size(msgspec.Struct, frozen=True):
    """Resources of a task or a worker.

    :param cores: processor cores
    :param memory_gb: memory in GB
    :param accelerators: number of accelerators
    """

    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: float = 0.0

    def add(self, other: Size) -> Size:
        """Return the sum of each resource."""
        return Size(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def subtract(self, other: Size) -> Size:
        """Return the difference of each resource."""
        return self.add(other.scale(-1))

    def scale(self, factor: float) -> Size:
        """Return each resource multiplied by a factor."""
        return Size(
            self.cores * factor, self.memory_gb * factor, self.accelerators * factor
        )

    def fits(self, available: Size) -> bool:
        """Return whether no resource exceeds that of ``available``."""
        return (
            self.cores <= available.cores + 1e-9
            and self.memory_gb <= available.memory_gb + 1e-9
            and self.accelerators <= available.accelerators + 1e-9
        )

    def componentwise_max(self, other: Size) -> Size:
        """Return the maximum of each resource."""
        return Size(
            max(self.cores, other.cores),
            max(self.memory_gb, other.memory_gb),
            max(self.accelerators, other.accelerators),
        )


class ListedInstance(msgspec.Struct, frozen=True):
    """One row of the platform's list of instances."""

    instance: InstanceId
    dc: DcId
    rack: str
    state: ListedState
    incarnation: str = ""


class TaskSpec(msgspec.Struct, frozen=True):
    """A task submitted for placement on a worker.

    :param size: declared size, which may be far from the actual usage
    :param priority: a higher number is more important
    :param urgent: whether it may preempt tasks of lower priority
    """

    task: TaskId
    team: TeamId
    size: Size
    priority: int = 0
    urgent: bool = False


class TaskReport(msgspec.Struct, frozen=True):
    """The platform's report on one task.

    :param task: name given at its start, which includes the attempt number
    :param state: ``running``, ``throttled``, or how it ended
    :param usage: observed usage; ``None`` before the first report
    """

    task: str
    instance: InstanceId
    team: TeamId
    state: str
    size: Size = Size()
    priority: int = 0
    usage: Size | None = None


class Event(msgspec.Struct, frozen=True, tag=True, omit_defaults=True, kw_only=True):
    """Base class of all events.

    :param now: boot-time clock in seconds
    """

    now: float


class Tick(Event, frozen=True, kw_only=True):
    """Timer event, every 50 ms while an urgent task waits, else about once a second.

    :param wall: wall clock in seconds, compared with the time of the platform's list
    :param seed: random number to break ties
    """

    wall: float
    seed: int = 0


class Resumed(Event, frozen=True, kw_only=True):
    """The process ran again after a pause.

    :param gap: seconds between two iterations of the event loop
    """

    gap: float


class RecordRead(Event, frozen=True, kw_only=True):
    """A record was read from the log."""

    offset: Offset
    record: AnyRecord


class StateLoaded(Event, frozen=True, kw_only=True):
    """A snapshot from the log or a peer is to replace an older state.

    :param data: uncompressed encoding of the folded state (see ``pack_state``)
    """

    data: bytes


class LogContact(Event, frozen=True, kw_only=True):
    """Result of the latest read of the log.

    :param up: whether the last read succeeded
    """

    up: bool


class LogRange(Event, frozen=True, kw_only=True):
    """Lowest and highest offset that the log retains."""

    low: Offset
    high: Offset


class InstancesListed(Event, frozen=True, kw_only=True):
    """The platform's list of instances was read.

    :param asked: boot-time clock when the read was started
    :param as_of: wall-clock seconds at which the platform made the list
    """

    asked: float
    as_of: float
    instances: list[ListedInstance]


class ProbeAnswered(Event, frozen=True, kw_only=True):
    """A probe of an endpoint or a peer has finished.

    :param target: target named in the ``Probe`` effect
    :param asked: boot-time clock when the probe was started
    :param ok: whether the target accepted the connection
    """

    target: str
    asked: float
    ok: bool


class RestartAnswered(Event, frozen=True, kw_only=True):
    """A request to reboot or stop an instance has finished.

    :param ok: whether the platform accepted it; false also without an answer
    """

    instance: InstanceId
    ok: bool


class TasksSubmitted(Event, frozen=True, kw_only=True):
    """Tasks were submitted to run on workers of the data centre."""

    tasks: list[TaskSpec]


class TasksCancelled(Event, frozen=True, kw_only=True):
    """Submitted tasks were cancelled."""

    tasks: list[TaskId]


class TasksListed(Event, frozen=True, kw_only=True):
    """The platform's report on the tasks of the data centre was read.

    :param asked: boot-time clock when the read was started
    """

    asked: float
    tasks: list[TaskReport]


class TaskAnswered(Event, frozen=True, kw_only=True):
    """A command about a task has finished.

    :param ok: whether the platform accepted it; ``None`` without an answer, in which
        case it may have taken effect
    """

    task: str
    action: TaskAction
    ok: bool | None


class StopAsked(Event, frozen=True, kw_only=True):
    """A graceful stop of the process was requested."""


PlannerEvent = (
    Tick
    | Resumed
    | RecordRead
    | StateLoaded
    | LogContact
    | LogRange
    | InstancesListed
    | ProbeAnswered
    | RestartAnswered
    | TasksSubmitted
    | TasksCancelled
    | TasksListed
    | TaskAnswered
    | StopAsked
)
