"""What the scheduler wants done."""

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
    """Make records durable under the term's fence.

    :param runs: for the partition of runs
    :param shared: for the partition that every node reads
    """

    number: int
    runs: list[KeyedRecord]
    shared: list[KeyedRecord]


class StartRun(NamedTuple):
    """Start a task.

    :param until_ms: end of the lease on the endpoint's clock
    """

    endpoint: EndpointId
    address: str
    task: TaskKey
    run: int
    payload: str
    until_ms: int
    checkpoint: str
    ticket: str
    token: int


class StopRun(NamedTuple):
    """Stop a run."""

    endpoint: EndpointId
    address: str
    task: TaskKey
    run: int
    token: int


class PollEndpoint(NamedTuple):
    """Extend the lease of what runs on an endpoint, and look.

    :param until_ms: on the endpoint's clock; 0 only looks
    :param acked_end: ends up to this number are durable
    """

    endpoint: EndpointId
    address: str
    until_ms: int
    acked_end: int
    wait_ms: int
    token: int


class ThrottleRun(NamedTuple):
    """Slow a run down to a share of its pace."""

    endpoint: EndpointId
    address: str
    task: TaskKey
    run: int
    percent: int
    token: int


class ListInstances(NamedTuple):
    """Read the platform's list of instances."""


class StartMaintenance(NamedTuple):
    """Begin the maintenance of an instance."""

    instance: str
    wave: int
    token: int


class MoveInstance(NamedTuple):
    """Move an instance into a pool."""

    instance: str
    pool: ServiceName
    token: int


class ReportWaveStatus(NamedTuple):
    """Tell the operator of a wave."""

    wave: int
    completed: bool


class RequestAdvice(NamedTuple):
    """Ask which endpoints may run a step."""

    step: tuple[JobId, int, int]
    endpoints: tuple[EndpointId, ...]
    validity_s: float


class StepDown(NamedTuple):
    """Give up the term: another node has a higher one."""

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
