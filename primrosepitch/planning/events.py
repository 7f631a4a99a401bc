"""Events that drive the reducer of a planner process."""

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
    """What the platform was asked to do with a task."""

    START = "start"
    RENEW = "renew"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


class Size(msgspec.Struct, frozen=True):
    """Resources of a task or a worker.

    :param cores: processors
    :param memory_gb: memory in GB
    :param accelerators: accelerators
    """

    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: float = 0.0

    def plus(self, other: Size) -> Size:
        """Return the sum."""
        return Size(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Size) -> Size:
        """Return the difference."""
        return self.plus(other.times(-1))

    def times(self, factor: float) -> Size:
        """Return every resource times a factor."""
        return Size(
            self.cores * factor, self.memory_gb * factor, self.accelerators * factor
        )

    def fits(self, room: Size) -> bool:
        """Whether it is within ``room`` in every resource."""
        return (
            self.cores <= room.cores + 1e-9
            and self.memory_gb <= room.memory_gb + 1e-9
            and self.accelerators <= room.accelerators + 1e-9
        )

    def componentwise_max(self, other: Size) -> Size:
        """Return the higher of both in every resource."""
        return Size(
            max(self.cores, other.cores),
            max(self.memory_gb, other.memory_gb),
            max(self.accelerators, other.accelerators),
        )


class ListedInstance(msgspec.Struct, frozen=True):
    """One row of the platform's list."""

    instance: InstanceId
    dc: DcId
    rack: str
    state: ListedState
    incarnation: str = ""


class TaskSpec(msgspec.Struct, frozen=True):
    """A task that is to run on a worker.

    :param size: declared size, which may be far off
    :param priority: higher is more important
    :param urgent: whether lesser work makes room for it
    """

    task: TaskId
    team: TeamId
    size: Size
    priority: int = 0
    urgent: bool = False


class TaskReport(msgspec.Struct, frozen=True):
    """What the platform reports of a task.

    :param task: name given at its start, with the number of the attempt
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
    """Base of all events.

    :param now: boot-time clock in seconds
    """

    now: float


class Tick(Event, frozen=True, kw_only=True):
    """Time has passed; the shell sends one every 250 ms.

    :param wall: wall clock in seconds, compared with the age of the platform's list
    :param seed: random number for ties
    """

    wall: float
    seed: int = 0


class Resumed(Event, frozen=True, kw_only=True):
    """The process was paused.

    :param gap: seconds between two turns of the loop
    """

    gap: float


class RecordRead(Event, frozen=True, kw_only=True):
    """A record was read from the log."""

    offset: Offset
    record: AnyRecord


class StateLoaded(Event, frozen=True, kw_only=True):
    """A snapshot from the log or a peer is to replace an older state.

    :param data: plain encoding of the folded state (``pack_state``)
    """

    data: bytes


class LogContact(Event, frozen=True, kw_only=True):
    """The state of the link to the log.

    :param up: whether the last read succeeded
    """

    up: bool


class LogRange(Event, frozen=True, kw_only=True):
    """Offsets that the log retains."""

    low: Offset
    high: Offset


class InstancesListed(Event, frozen=True, kw_only=True):
    """The platform's list was read.

    :param asked: boot-time clock when the read was started
    :param as_of: wall-clock seconds at which the list was true
    """

    asked: float
    as_of: float
    instances: list[ListedInstance]


class ProbeAnswered(Event, frozen=True, kw_only=True):
    """A connection to an endpoint or a peer was tried.

    :param target: name given by the effect
    :param asked: boot-time clock when it was started
    :param ok: whether the target accepted it
    """

    target: str
    asked: float
    ok: bool


class RestartAnswered(Event, frozen=True, kw_only=True):
    """The platform answered a request to reboot or stop an instance.

    :param ok: whether it accepted; false also without an answer
    """

    instance: InstanceId
    ok: bool


class TasksSubmitted(Event, frozen=True, kw_only=True):
    """Tasks are to run on workers of the data centre."""

    tasks: list[TaskSpec]


class TasksCancelled(Event, frozen=True, kw_only=True):
    """Tasks are no longer wanted."""

    tasks: list[TaskId]


class TasksListed(Event, frozen=True, kw_only=True):
    """The platform's report of the tasks of the data centre was read.

    :param asked: boot-time clock when the read was started
    """

    asked: float
    tasks: list[TaskReport]


class TaskAnswered(Event, frozen=True, kw_only=True):
    """The platform answered a command about a task.

    :param ok: ``None`` when there was no answer, so that it may have taken effect
    """

    task: str
    action: TaskAction
    ok: bool | None


class StopAsked(Event, frozen=True, kw_only=True):
    """The process is to stop gracefully."""


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
