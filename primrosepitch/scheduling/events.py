"""Events that the scheduler's reducer handles: answers, records read, ticks."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from primrosepitch.jobs.model import (
    DataCentreName,
    EndpointId,
    JobId,
    JobSpec,
    Resources,
    ServiceName,
    TaskKey,
)
from primrosepitch.jobs.records import (
    JobEntry,
    SlowEndpoint,
    StoredRuns,
    WaveProgress,
)
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
    "EvacuationChanged",
    "Event",
    "EndpointPolled",
    "PollFailed",
    "InstanceListing",
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
    """Outcome of a call to an endpoint or to the instance service.

    An endpoint answers ``SUPERSEDED`` to a start or stop order whose run number is not
    higher than that of a run that was stopped or has ended there. ``NOT_SENT`` means
    that the call was certainly not made, ``UNKNOWN`` that it may have been. ``EXPIRED``
    means that it was not made because it had waited for too long.
    """

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
    EXPIRED = "expired"
    UNKNOWN = "unknown"


class EndKind(enum.Enum):
    """Reason why a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


class InstanceState(enum.Enum):
    """State of an instance as listed by the platform."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"


class EndpointReport(msgspec.Struct, frozen=True):
    """Report of an endpoint in the platform's store.

    :param born: Unix time of its start in ms, which identifies its incarnation
    :param labels: kind and rack
    :param leaves_at: boot-time clock before which a draining endpoint does not stop; 0
        if it is not draining
    :param cold_until: boot-time clock until which it is slow after its start
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
    cold_until: float = 0.0


class ActiveRun(NamedTuple):
    """A run that an endpoint lists as in progress.

    :param percent: percentage of its work that is done; for a lasting task, percentage
        of its full rate (100: it serves in full)
    :param load: tail latency in ms of a serving task; cpu in use of any other task
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: float


class EndedRun(NamedTuple):
    """A run that an endpoint lists as ended.

    :param number: sequence number of the end, counted from 1 in each incarnation of the
        endpoint
    """

    number: int
    task: TaskKey
    run: int
    kind: EndKind
    checkpoint: str


class InstanceView(NamedTuple):
    """An instance as listed by the platform."""

    instance: str
    pool: ServiceName
    state: InstanceState
    zone: str
    labels: tuple[str, ...]
    capacity: Resources
    endpoint: EndpointId


class Tick(NamedTuple):
    """Periodic tick, which carries the time.

    :param now: boot-time clock
    :param wall_ms: Unix time in ms
    """

    now: float
    wall_ms: int


class TermTaken(NamedTuple):
    """This node has become the scheduler.

    :param claimed_at: boot-time clock at which the claim was sent
    :param term: fencing token of all its orders
    :param jobs: jobs in the ledger up to the claim
    :param runs: runs of the jobs that have not ended
    :param prior_leases_until: boot-time clock until which runs of an earlier term may
        continue on endpoints that do not answer
    :param waves: progress of each wave
    :param moves: orders of earlier terms to move instances, which may take effect at
        any time
    :param prior_orders_until: boot-time clock until which orders of an earlier term may
        reach instances
    :param slow_endpoints: endpoints that counted as slow in the earlier term
    """

    now: float
    claimed_at: float
    term: int
    jobs: dict[JobId, JobEntry]
    runs: dict[JobId, StoredRuns]
    prior_leases_until: float
    waves: dict[int, WaveProgress]
    moves: dict[str, ServiceName]
    prior_orders_until: float
    slow_endpoints: dict[EndpointId, SlowEndpoint] | None = None


class JobAccepted(NamedTuple):
    """A job was accepted."""

    spec: JobSpec


class CancelRequested(NamedTuple):
    """A caller has cancelled a job."""

    job: JobId


class ConfigurationChanged(NamedTuple):
    """Another configuration is in force."""

    cfg: Configuration


class EndpointReported(NamedTuple):
    """An endpoint's report was added or updated in the store."""

    report: EndpointReport
    now: float


class EndpointRemoved(NamedTuple):
    """An endpoint's report was removed from the store."""

    endpoint: EndpointId
    now: float


class EndpointPolled(NamedTuple):
    """An endpoint has answered a poll.

    :param sent_at: boot-time clock at which the poll was sent
    :param clock_ms: endpoint's clock
    :param running: all runs in progress
    :param ended: ends that have not been acknowledged, oldest first
    :param acked_end: number up to which the poll let the endpoint discard ends
    :param connection: number of the connection that carried the answer, which no other
        incarnation can be reached by; 0 if it is not kept open
    :param lists_all_ends: whether ``ended`` is complete; an endpoint lists a limited
        number at a time, and the next ones after these have been acknowledged
    """

    endpoint: EndpointId
    born: int
    sent_at: float
    now: float
    clock_ms: int
    running: list[ActiveRun]
    ended: list[EndedRun]
    acked_end: int
    connection: int
    lists_all_ends: bool


class PollFailed(NamedTuple):
    """A poll failed, so that the endpoint's lists of runs were not received."""

    endpoint: EndpointId
    outcome: Outcome
    now: float


class StartAnswered(NamedTuple):
    """A start order was answered, or failed."""

    task: TaskKey
    run: int
    endpoint: EndpointId
    outcome: Outcome
    now: float


class StopAnswered(NamedTuple):
    """A stop order was answered, or failed."""

    task: TaskKey
    run: int
    endpoint: EndpointId
    outcome: Outcome
    now: float


class Committed(NamedTuple):
    """All records of a commit have become durable, or were rejected for good.

    :param rejected: keys of the records that the store rejects
    """

    number: int
    now: float
    rejected: frozenset[str] = frozenset()


class WaveRequested(NamedTuple):
    """An operator has requested a maintenance wave."""

    wave: WaveSpec


class EvacuationChanged(NamedTuple):
    """An operator has requested or cancelled the evacuation of a data centre."""

    data_centre: DataCentreName
    active: bool


class InstanceListing(NamedTuple):
    """The platform's list of instances.

    :param complete: whether every instance of the list could be read
    """

    instances: list[InstanceView]
    complete: bool


class InstancesListed(NamedTuple):
    """The platform has listed its instances; ``None`` if the list couldn't be read."""

    listing: InstanceListing | None
    now: float


class MaintenanceAnswered(NamedTuple):
    """A maintenance order was answered, or failed."""

    instance: str
    wave: int
    outcome: Outcome
    now: float


class MoveAnswered(NamedTuple):
    """An order to move an instance was answered, or failed."""

    instance: str
    pool: ServiceName
    outcome: Outcome
    now: float


class AdviceReceived(NamedTuple):
    """The advice service has answered which endpoints may run a step, or failed to.

    :param requested: endpoints that were named in the request
    :param allowed: tickets of the permitted endpoints; ``None`` if the request failed
    """

    step: tuple[JobId, int, int]
    requested: tuple[EndpointId, ...]
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
    | EvacuationChanged
    | InstancesListed
    | MaintenanceAnswered
    | MoveAnswered
    | AdviceReceived
)
