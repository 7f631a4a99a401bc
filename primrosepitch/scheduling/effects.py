"""Effects that the scheduler's reducer requests from its node."""

from __future__ import annotations

from typing import Any, NamedTuple

from primrosepitch.events import LogEvent
from primrosepitch.jobs.model import EndpointId, JobId, ServiceName, TaskKey
from primrosepitch.jobs.store import KeyedRecord

__all__ = [
    "RequestAdvice",
    "Commit",
    "Effect",
    "PollEndpoint",
    "ListInstances",
    "MoveInstance",
    "WriteLog",
    "ThrottleRun",
    "StartRun",
    "StepDown",
    "StopRun",
    "StartMaintenance",
    "ReportWaveStatus",
]


class Commit(NamedTuple):
    """Append records to the store, fenced by the term.

    :param runs: records for the runs partition
    :param shared: records for the partition that every node reads
    """

    number: int
    runs: list[KeyedRecord]
    shared: list[KeyedRecord]


class StartRun(NamedTuple):
    """Start a run of a task.

    :param born: incarnation of the endpoint that the order is meant for; no other may
        get it
    :param until_ms: end of the lease, on the endpoint's clock
    :param token: fencing token
    """

    endpoint: EndpointId
    address: str
    born: int
    task: TaskKey
    run: int
    payload: str
    until_ms: int
    checkpoint: str
    ticket: str
    token: int


class StopRun(NamedTuple):
    """Stop a run of a task.

    :param born: incarnation of the endpoint that the order is meant for
    """

    endpoint: EndpointId
    address: str
    born: int
    task: TaskKey
    run: int
    token: int


class PollEndpoint(NamedTuple):
    """Poll an endpoint: list its runs and extend their leases.

    :param until_ms: end of the leases, on the endpoint's clock; 0 extends none
    :param acked_end: number up to which the endpoint may discard run ends, since their
        effects are durable
    :param connection: number of the connection over which ``until_ms`` and
        ``acked_end`` are sent; if it has been closed, 0 is sent over another one
    :param wait_ms: time for which the endpoint may delay its answer (long poll)
    """

    endpoint: EndpointId
    address: str
    until_ms: int
    acked_end: int
    connection: int
    wait_ms: int
    token: int


class ThrottleRun(NamedTuple):
    """Throttle a run to a percentage of its full rate.

    :param born: incarnation of the endpoint that the order is meant for
    """

    endpoint: EndpointId
    address: str
    born: int
    task: TaskKey
    run: int
    percent: int
    token: int


class ListInstances(NamedTuple):
    """Read the platform's list of instances."""


class StartMaintenance(NamedTuple):
    """Start the maintenance of an instance.

    :param send_by: boot-time clock after which the order must not be sent, since
        another node may hold the term
    """

    instance: str
    wave: int
    token: int
    send_by: float


class MoveInstance(NamedTuple):
    """Move an instance to another pool.

    :param send_by: boot-time clock after which the order must not be sent, since
        another node may hold the term
    """

    instance: str
    pool: ServiceName
    token: int
    send_by: float


class ReportWaveStatus(NamedTuple):
    """Report the progress of a wave to the operators."""

    wave: int
    completed: bool


class RequestAdvice(NamedTuple):
    """Request advice on which endpoints may run a step.

    :param validity_s: validity of the tickets unless the answer contains another
    """

    step: tuple[JobId, int, int]
    endpoints: tuple[EndpointId, ...]
    validity_s: float


class StepDown(NamedTuple):
    """Stop scheduling, since a newer term exists or the node stops."""

    reason: str


class WriteLog(NamedTuple):
    """Write a log line."""

    event: LogEvent
    fields: dict[str, Any]


Effect = (
    Commit
    | StartRun
    | StopRun
    | PollEndpoint
    | ThrottleRun
    | ListInstances
    | StartMaintenance
    | MoveInstance
    | ReportWaveStatus
    | RequestAdvice
    | StepDown
    | WriteLog
)
