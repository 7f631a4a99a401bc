"""Jobs, steps and tasks."""

from __future__ import annotations

import enum
import functools
from typing import NamedTuple, NewType

import msgspec

__all__ = [
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


class JobState(enum.Enum):
    """What a caller is told of a job."""

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
    """Amounts of what an endpoint has or a task needs.

    :param cpu: thousandths of a core
    :param memory: MB
    :param gpu: accelerators
    """

    cpu: int = 0
    memory: int = 0
    gpu: int = 0

    def plus(self, other: Resources) -> Resources:
        """Return the sum."""
        return Resources(
            self.cpu + other.cpu, self.memory + other.memory, self.gpu + other.gpu
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference."""
        return Resources(
            self.cpu - other.cpu, self.memory - other.memory, self.gpu - other.gpu
        )

    def fits(self, room: Resources) -> bool:
        """Return whether this fits into the room."""
        return (
            self.cpu <= room.cpu and self.memory <= room.memory and self.gpu <= room.gpu
        )


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True, dict=True):
    """One step of a job.

    :param tasks: number of tasks
    :param estimate_ms: caller's rough estimate of a task's duration
    :param after: earlier steps that must be done first
    :param checkpoints: whether tasks save their progress
    :param gang: whether the tasks work only together
    :param one_rack: whether the tasks slow down when spread over racks
    :param label: label that the endpoint must have
    :param rack: rack that holds the data
    :param most_per_endpoint: most tasks on one endpoint; 0 for no bound
    :param duplicates: whether copies of a task may run at the same time
    :param lasting: whether tasks run until the job is cancelled
    :param target_ms: bound for the tail latency of a serving task; 0 for none
    :param fills: whether tasks take only the processor time that others leave
    :param max_unavailable: tasks of a lasting step that may be away at once
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

    @functools.cached_property
    def needs(self) -> Resources:
        """Return what one task takes of an endpoint's capacity."""
        return Resources(0 if self.fills else self.cpu, self.memory, self.gpu)

    @functools.cached_property
    def quota_request(self) -> Resources:
        """Return what one task counts against its workspace's upper limit."""
        return Resources(self.cpu, self.memory, self.gpu)


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted job, as stored.

    :param payload: opaque text handed to every task
    :param accepted_ms: Unix time of acceptance
    :param stretch: factor on the longest chain of work for the latency objective
    :param goal_ms: constant part of the latency objective
    :param repetitions: number of timed occurrences; 0 for a job that runs once
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

    @property
    def occurrences(self) -> int:
        """Return how often the steps run."""
        return max(1, self.repetitions)

    @property
    def lasting(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.lasting for step in self.steps)

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix time before which an occurrence must not start."""
        if not self.repetitions:
            return 0
        return self.first_run_ms + occurrence * self.interval_ms


class TaskKey(NamedTuple):
    """Identity of a task within the deployment."""

    job: JobId
    occurrence: int
    step: int
    number: int


def task_name(task: TaskKey) -> str:
    """Return the name under which endpoints know a task."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.number}"


def parse_task_name(name: str) -> TaskKey:
    """Return the task of a name.

    :raises ValueError: if it isn't one
    """
    job, occurrence, step, index = name.rsplit(".", 3)
    return TaskKey(JobId(job), int(occurrence), int(step), int(index))
