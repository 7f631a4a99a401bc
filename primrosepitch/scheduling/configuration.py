"""The part of the operators' configuration that scheduling needs."""

from __future__ import annotations

import functools

import msgspec

from primrosepitch.jobs.model import (
    AdviceSpec,
    JobSpec,
    QueueName,
    Resources,
    ServiceName,
    WorkspaceName,
)

__all__ = [
    "Configuration",
    "QueueSpec",
    "ServiceSpec",
    "WaveSpec",
    "WorkspaceSpec",
]


class QueueSpec(msgspec.Struct, frozen=True):
    """A queue and the requests that are routed to it.

    :param prefix: path prefix; the longest one that matches selects the queue
    :param stretch: factor on the critical path in the latency objective
    :param goal_ms: constant part of the latency objective
    :param open: whether requests without a key are accepted
    """

    name: QueueName
    host: str
    prefix: str
    service: ServiceName
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    goal_ms: int = 0
    open: bool = False
    advice: AdviceSpec | None = None


class ServiceSpec(msgspec.Struct, frozen=True):
    """A pool of endpoints.

    :param admission_check: whether endpoints refuse tasks that exceed their capacity
    :param spare: whether its instances are switched off until they are lent to others
    """

    name: ServiceName
    admission_check: bool = True
    spare: bool = False


class WorkspaceSpec(msgspec.Struct, frozen=True):
    """A team on the users' platform: callers with common keys.

    :param weight: share, in jobs a second; jobs beyond it run only when no other jobs
        wait for the capacity. 0 means no bound.
    :param limit: upper limit on the resources in use; an amount of 0 means no limit
    """

    name: WorkspaceName
    weight: float = 1.0
    limit: Resources = Resources()


class WaveSpec(msgspec.Struct, frozen=True):
    """Maintenance of a set of instances.

    :param instances: instances to be maintained
    :param due: boot-time clock by which the maintenance of all instances must have
        begun
    :param most_at_once: maximum number of instances in maintenance at a time
    """

    wave: int
    instances: tuple[str, ...]
    due: float
    most_at_once: int

    def asks_same(self, other: WaveSpec) -> bool:
        """Return whether another record of the wave requests the same.

        The time by which it is due follows from the time at which the record was read.
        """
        return (self.instances, self.most_at_once) == (
            other.instances,
            other.most_at_once,
        )


class Configuration(msgspec.Struct, dict=True):
    """Configuration in force; it may contain thousands of queues.

    :param keys: workspace that each key belongs to
    """

    version: int = 0
    queues: dict[QueueName, QueueSpec] = msgspec.field(default_factory=dict)
    services: dict[ServiceName, ServiceSpec] = msgspec.field(default_factory=dict)
    workspaces: dict[WorkspaceName, WorkspaceSpec] = msgspec.field(default_factory=dict)
    keys: dict[str, WorkspaceName] = msgspec.field(default_factory=dict)

    def queue_for(self, host: str, path: str) -> QueueSpec | None:
        """Return the queue of a host with the longest matching path prefix, if any."""
        for length in self._prefix_lengths:
            queue = self._by_prefix.get((host, path[:length]))
            if queue is not None:
                return queue
        return None

    def current_queue(
        self, name: QueueName, host: str, prefix: str
    ) -> QueueSpec | None:
        """Return the queue that jobs accepted under a queue belong to now, if any.

        Callers ask for a job under the address at which it was accepted, so that
        decides. Names are free: a version may give a queue another name, or its name to
        another queue.
        """
        return self._by_prefix.get((host, prefix)) or self.queues.get(name)

    def advice_for(self, job: JobSpec) -> AdviceSpec | None:
        """Return the advice that the starts of an accepted job need, if any.

        The newest version of its queue decides. Without one, or if that sends its jobs
        to another pool, the job keeps the advice under which it was accepted.
        """
        queue = self.current_queue(job.queue, job.host, job.prefix)
        if queue is None or queue.service != job.service:
            return job.advice
        return queue.advice

    @functools.cached_property
    def _by_prefix(self) -> dict[tuple[str, str], QueueSpec]:
        return {(q.host, q.prefix): q for q in self.queues.values()}

    @functools.cached_property
    def _prefix_lengths(self) -> list[int]:
        return sorted({len(q.prefix) for q in self.queues.values()}, reverse=True)

    def spare_pool(self) -> ServiceName | None:
        """Return the pool of the instances that are switched off, if there is one."""
        for service in self.services.values():
            if service.spare:
                return service.name
        return None
