"""What happens to the scheduler: calls answered, records read, time passed."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from primrosepitch.jobs.model import (
    EndpointId,
    JobId,
    JobSpec,
    Resources,
    ServiceName,
    TaskKey,
)
from primrosepitch.jobs.records import JobEntry, Progress
from primrosepitch.scheduling.configuration import Configuration, WaveSpec

__all__ = [
    "AdviceReceived",
    "CancelRequested",
    "Committed",
    "ConfigurationChanged",
    "EndKind",
    "EndpointRemoved",
    "EndpointReport",
    "EndpointReported",
    "EndedRun",
    "Event",
    "EndpointPolled",
    "PollFailed",
    "InstanceState",
    "InstanceView",
    "InstancesListed",
    "JobAccepted",
    "MoveAnswered",
    "Outcome",
    "ActiveRun",
    "StartAnswered",
    "StopAnswered",
    "TermTaken",
    "Tick",
    "MaintenanceAnswered",
    "WaveRequested",
]


class Outcome(enum.Enum):
    """How a call to an endpoint or to the instances' service went."""

    DONE = "done"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    LEASE_EXPIRED = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_life"
    REFUSED = "refused"
    BUSY = "busy"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


class InstanceState(enum.Enum):
    """State of an instance at the platform."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"


class EndpointReport(msgspec.Struct, frozen=True):
    """What an endpoint says of itself in the platform's store.

    :param born: Unix millisecond of its start; tells its lives apart
    :param labels: kind and rack
    :param leaves_at: boot-time clock until which it stays at least; 0 if not leaving
    """

    endpoint: EndpointId
    born: int
    service: ServiceName
    address: str
    zone: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    instance: str = ""
    clock_ms: int = 0
    leaves_at: float = 0.0


class ActiveRun(NamedTuple):
    """One run that an endpoint lists as going on.

    :param percent: share of its pace at which it works; 100 when it serves in full
    :param load: tail latency in ms of a serving task, else the cpu in use
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: float


class EndedRun(NamedTuple):
    """One run that an endpoint lists as ended.

    :param number: counts the ends of one life of the endpoint from 1
    """

    number: int
    task: TaskKey
    run: int
    kind: EndKind
    checkpoint: str


class InstanceView(NamedTuple):
    """One instance as the platform lists it."""

    instance: str
    pool: ServiceName
    state: InstanceState
    zone: str
    labels: tuple[str, ...]
    capacity: Resources
    endpoint: EndpointId


class Tick(NamedTuple):
    """Time has passed.

    :param now: boot-time clock
    :param wall_ms: Unix time
    """

    now: float
    wall_ms: int


class TermTaken(NamedTuple):
    """This node schedules from now on.

    :param term: fencing token of all its orders
    :param jobs: jobs of the ledger up to the claim
    :param runs: of those that have not ended
    :param prior_leases_until: boot-time clock until which orders of an earlier term
        may run on endpoints that do not answer
    :param waves: instances of each wave whose maintenance has begun
    """

    now: float
    term: int
    jobs: dict[JobId, JobEntry]
    runs: dict[JobId, Progress]
    prior_leases_until: float
    waves: dict[int, list[str]]


class JobAccepted(NamedTuple):
    """A job was accepted."""

    spec: JobSpec


class CancelRequested(NamedTuple):
    """A job is to be stopped."""

    job: JobId


class ConfigurationChanged(NamedTuple):
    """A configuration is in force."""

    cfg: Configuration


class EndpointReported(NamedTuple):
    """An endpoint has reported."""

    report: EndpointReport
    now: float


class EndpointRemoved(NamedTuple):
    """An endpoint's report has been removed."""

    endpoint: EndpointId
    now: float


class EndpointPolled(NamedTuple):
    """An endpoint has answered a hold.

    :param sent: boot-time clock when the hold was sent
    """

    endpoint: EndpointId
    born: int
    sent: float
    now: float
    clock_ms: int
    running: list[ActiveRun]
    ended: list[EndedRun]


class PollFailed(NamedTuple):
    """A hold was not answered with the lists."""

    endpoint: EndpointId
    outcome: Outcome
    now: float


class StartAnswered(NamedTuple):
    """The outcome of an order to start."""

    task: TaskKey
    run: int
    endpoint: EndpointId
    outcome: Outcome
    now: float


class StopAnswered(NamedTuple):
    """The outcome of an order to stop."""

    task: TaskKey
    run: int
    endpoint: EndpointId
    outcome: Outcome
    now: float


class Committed(NamedTuple):
    """The records of a commit are durable."""

    number: int
    now: float


class WaveRequested(NamedTuple):
    """A maintenance wave is asked for."""

    wave: WaveSpec


class InstancesListed(NamedTuple):
    """The platform's whole list of instances; ``None`` if it couldn't be read."""

    instances: list[InstanceView] | None
    now: float


class MaintenanceAnswered(NamedTuple):
    """The outcome of an order to maintain an instance."""

    instance: str
    wave: int
    outcome: Outcome
    now: float


class MoveAnswered(NamedTuple):
    """The outcome of an order to move an instance."""

    instance: str
    pool: ServiceName
    outcome: Outcome
    now: float


class AdviceReceived(NamedTuple):
    """The endpoints that may run a step, of those asked about.

    :param allowed: ticket of each; ``None`` if the question was not answered
    """

    step: tuple[JobId, int, int]
    asked: tuple[EndpointId, ...]
    allowed: dict[EndpointId, str] | None
    valid_until: float
    now: float


Event = (
    Tick
    | TermTaken
    | JobAccepted
    | CancelRequested
    | ConfigurationChanged
    | EndpointReported
    | EndpointRemoved
    | EndpointPolled
    | PollFailed
    | StartAnswered
    | StopAnswered
    | Committed
    | WaveRequested
    | InstancesListed
    | MaintenanceAnswered
    | MoveAnswered
    | AdviceReceived
)
