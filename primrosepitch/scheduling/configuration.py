"""The part of the operators' configuration that scheduling needs."""

from __future__ import annotations

import functools

import msgspec

from primrosepitch.jobs.model import (
    QueueName,
    Resources,
    ServiceName,
    WorkspaceName,
)

__all__ = [
    "AdviceSpec",
    "Configuration",
    "QueueSpec",
    "ServiceSpec",
    "WaveSpec",
    "WorkspaceSpec",
]


class AdviceSpec(msgspec.Struct, frozen=True):
    """Cost and validity of advice on placement.

    :param decision_ms: fixed time of one question
    :param period_ms: time for each endpoint in it
    :param validity_ms: time for which a ticket is valid
    """

    decision_ms: int = 0
    period_ms: int = 0
    validity_ms: int = 0


class QueueSpec(msgspec.Struct, frozen=True):
    """A queue and the requests that belong to it.

    :param prefix: longest path prefix that matches selects the queue
    :param open: whether no key is needed
    :param goal_ms: constant part of the latency objective
    :param stretch: factor on the longest chain of work in the objective
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

    :param admission_check: whether endpoints refuse what does not fit
    :param spare: whether its instances are off and lent to others
    """

    name: ServiceName
    admission_check: bool = True
    spare: bool = False


class WorkspaceSpec(msgspec.Struct, frozen=True):
    """Callers with common keys.

    :param weight: share when all capacity is in use
    :param limit: most that may be running; 0 means no limit
    """

    name: WorkspaceName
    weight: float = 1.0
    limit: Resources = Resources()


class WaveSpec(msgspec.Struct, frozen=True):
    """Maintenance of a set of instances.

    :param instances: instances that need it
    :param due: boot-time clock by which all must have begun
    :param most_at_once: instances that may be down for it together
    """

    wave: int
    instances: tuple[str, ...]
    due: float
    most_at_once: int


class Configuration(msgspec.Struct, dict=True):
    """Configuration in force; it may have thousands of queues.

    :param keys: workspace of each key
    """

    version: int = 0
    queues: dict[QueueName, QueueSpec] = msgspec.field(default_factory=dict)
    services: dict[ServiceName, ServiceSpec] = msgspec.field(default_factory=dict)
    workspaces: dict[WorkspaceName, WorkspaceSpec] = msgspec.field(default_factory=dict)
    keys: dict[str, WorkspaceName] = msgspec.field(default_factory=dict)

    def queue_for(self, host: str, path: str) -> QueueSpec | None:
        """Return the queue of a request: same host, longest matching prefix."""
        for length in self._prefix_lengths:
            queue = self._by_prefix.get((host, path[:length]))
            if queue is not None:
                return queue
        return None

    @functools.cached_property
    def _by_prefix(self) -> dict[tuple[str, str], QueueSpec]:
        return {(q.host, q.prefix): q for q in self.queues.values()}

    @functools.cached_property
    def _prefix_lengths(self) -> list[int]:
        return sorted({len(q.prefix) for q in self.queues.values()}, reverse=True)

    def spare_pool(self) -> ServiceName | None:
        """Return the pool whose instances are off."""
        for service in self.services.values():
            if service.spare:
                return service.name
        return None
