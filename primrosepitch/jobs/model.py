"""Data model of jobs, steps and tasks."""

from __future__ import annotations

import enum
import functools
from typing import NamedTuple, NewType

import msgspec

__all__ = [
    "AdviceSpec",
    "DataCentreName",
    "EndpointId",
    "JobId",
    "JobSpec",
    "JobState",
    "QueueName",
    "Resources",
    "ServiceName",
    "StepSpec",
    "TaskKey",
    "WorkspaceName",
    "parse_task_name",
    "task_name",
]

JobId = NewType("JobId", str)
QueueName = NewType("QueueName", str)
ServiceName = NewType("ServiceName", str)
WorkspaceName = NewType("WorkspaceName", str)
EndpointId = NewType("EndpointId", str)
DataCentreName = NewType("DataCentreName", str)


class JobState(enum.Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Return whether the job has ended."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class Resources(NamedTuple):
    """Capacity of an endpoint or demand of a task.

    :param cpu: thousandths of a core
    :param memory: MB
    :param gpu: accelerators
    """

    cpu: int = 0
    memory: int = 0
    gpu: int = 0

    def add(self, other: Resources) -> Resources:
        """Return the element-wise sum."""
        return Resources(
            self.cpu + other.cpu, self.memory + other.memory, self.gpu + other.gpu
        )

    def subtract(self, other: Resources) -> Resources:
        """Return the element-wise difference."""
        return Resources(
            self.cpu - other.cpu, self.memory - other.memory, self.gpu - other.gpu
        )

    def fits(self, available: Resources) -> bool:
        """Return whether every amount is at most that of ``available``."""
        return (
            self.cpu <= available.cpu
            and self.memory <= available.memory
            and self.gpu <= available.gpu
        )

    def count_fitting(self, needs: Resources, most: int) -> int:
        """Return how often ``needs`` fits into these amounts, ``most`` at most."""
        counts = [
            have // need for need, have in zip(needs, self, strict=True) if need > 0
        ]
        return min([most, *counts])


MAX_COUNTED_ESTIMATE_MS = 60_000
"""Estimate of a task from which its work is not counted as more. Callers' estimates may
be in wrong units, and sums of them must fit into a record."""


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True, dict=True):
    """One step of a job.

    :param tasks: number of tasks
    :param estimate_ms: caller's rough estimate of a task's duration
    :param after: indices of earlier steps that must be completed first
    :param checkpoints: whether tasks save checkpoints to resume from
    :param gang: whether the tasks are gang-scheduled: all run at once or none
    :param one_rack: whether the tasks slow down when spread over racks
    :param label: label that the endpoint must have
    :param rack: rack that stores the data of the tasks
    :param most_per_endpoint: maximum number of tasks on one endpoint; 0 for no limit
    :param duplicates: whether duplicates of a task may run at the same time
    :param lasting: whether tasks run until the job is cancelled
    :param target_ms: target for the tail latency of a serving task; 0 for none
    :param fills: whether tasks are best-effort: they use only idle processor time
    :param max_unavailable: tasks of a lasting step that may be unavailable at once
    """

    tasks: int
    cpu: int = 0
    memory: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    one_rack: bool = False
    label: str = ""
    rack: str = ""
    most_per_endpoint: int = 0
    duplicates: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0

    @property
    def reserved_cpu(self) -> int:
        """Return the processor time that one task reserves on its endpoint."""
        return 0 if self.fills else self.cpu

    @property
    def task_work(self) -> int:
        """Return the estimated work of a task, in thousandths of a core times ms."""
        return self.reserved_cpu * min(self.estimate_ms, MAX_COUNTED_ESTIMATE_MS)

    @functools.cached_property
    def needs(self) -> Resources:
        """Return the capacity that one task reserves on its endpoint."""
        return Resources(self.reserved_cpu, self.memory, self.gpu)

    @functools.cached_property
    def quota_request(self) -> Resources:
        """Return the amount that one task counts against its workspace's upper limit.

        Unlike ``needs``, it includes the processor time of best-effort tasks.
        """
        return Resources(self.cpu, self.memory, self.gpu)


class AdviceSpec(msgspec.Struct, frozen=True):
    """Cost and validity of placement advice.

    :param decision_ms: fixed time that a request takes
    :param period_ms: additional time for each endpoint in the request
    :param validity_ms: time for which a ticket is valid
    """

    decision_ms: int = 0
    period_ms: int = 0
    validity_ms: int = 0


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted job, as stored.

    It keeps what its queue and workspace were when it was accepted, see
    docs/design.md; records of earlier versions lack the last four.

    :param payload: opaque text passed to every task
    :param accepted_ms: Unix time of acceptance
    :param first_attempt_ms: Unix time of the first submission, if that was refused; 0
        if the job was accepted at once
    :param stretch: factor on the critical path in the latency objective
    :param goal_ms: constant part of the latency objective
    :param repetitions: number of scheduled occurrences; 0 for a job that runs once
    :param first_run_ms: Unix time of the first scheduled occurrence
    :param interval_ms: time between scheduled occurrences
    :param host: host of the queue
    :param prefix: path prefix of the queue
    :param advice: advice that the queue required; ``None`` if it required none
    :param limit: upper limit of the workspace; an amount of 0 means no limit
    """

    job: JobId
    queue: QueueName
    service: ServiceName
    workspace: WorkspaceName
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_ms: int
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    goal_ms: int = 0
    repetitions: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0
    first_attempt_ms: int = 0
    host: str = ""
    prefix: str = ""
    advice: AdviceSpec | None = None
    limit: Resources = Resources()

    @property
    def attempted_ms(self) -> int:
        """Return the Unix time from which the latency objective counts."""
        return self.first_attempt_ms or self.accepted_ms

    @property
    def occurrences(self) -> int:
        """Return the number of times the steps run."""
        return max(1, self.repetitions)

    @property
    def lasting(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.lasting for step in self.steps)

    def count_due(self, wall_ms: int) -> int:
        """Return how many occurrences are due at a Unix time."""
        if not self.repetitions:
            return 1
        if wall_ms < self.first_run_ms:
            return 0
        if not self.interval_ms:
            return self.occurrences
        passed = (wall_ms - self.first_run_ms) // self.interval_ms
        return min(self.occurrences, passed + 1)

    def due_ms(self, occurrence: int) -> int:
        """Return the earliest start of an occurrence, as Unix time; 0 for at once."""
        if not self.repetitions:
            return 0
        return self.first_run_ms + occurrence * self.interval_ms


class TaskKey(NamedTuple):
    """Identifier of a task, unique within the deployment."""

    job: JobId
    occurrence: int
    step: int
    number: int


def task_name(task: TaskKey) -> str:
    """Return the task's name in calls to endpoints and in log lines."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.number}"


def parse_task_name(name: str) -> TaskKey:
    """Parse a name written by :func:`task_name`.

    :raises ValueError: if the name has another format
    """
    job, occurrence, step, index = name.rsplit(".", 3)
    return TaskKey(JobId(job), int(occurrence), int(step), int(index))
