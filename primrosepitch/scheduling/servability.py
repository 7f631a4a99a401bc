"""Tells which tasks none of the known endpoints could run, even if it were empty.

Such tasks are not looked at in planning passes until an endpoint or instance of another
kind appears, or the configuration changes.
"""

from __future__ import annotations

from collections.abc import Iterable

from primrosepitch.jobs.model import JobSpec, Resources, ServiceName, StepSpec

__all__ = ["Servability"]

Kind = tuple[Resources, frozenset[str]]
"""Capacity and labels of an endpoint."""


class Servability:
    """Kinds of endpoints that were known in this term, by pool, and their instances."""

    def __init__(self) -> None:
        """Start without endpoints; every task may be served by those to come."""
        self._epoch = 0
        self._instances_seen = 0
        self._own: dict[ServiceName, dict[Kind, set[str]]] = {}
        self._lendable: dict[Kind, set[str]] = {}
        self._lending = False
        self._known: dict[tuple[ServiceName, int, int, int, str], bool] = {}
        self._known_gangs: dict[tuple[ServiceName, StepSpec], bool] = {}

    def epoch(self, has_gang: bool) -> int:
        """Return a number that changes when a job that could not run may be able to.

        :param has_gang: whether the job has a gang, which may need further instances
        """
        return self._epoch + (self._instances_seen if has_gang else 0)

    def add_endpoint(
        self,
        service: ServiceName,
        capacity: Resources,
        labels: Iterable[str],
        instance: str,
    ) -> None:
        """Add an endpoint of a pool.

        :param instance: its instance, or another name that it keeps
        """
        kinds = self._own.setdefault(service, {})
        self._add(kinds, (capacity, frozenset(labels)), instance)

    def add_instance(
        self, capacity: Resources, labels: Iterable[str], instance: str
    ) -> None:
        """Add an instance, which may be lent to any pool."""
        self._add(self._lendable, (capacity, frozenset(labels)), instance)

    def set_lending(self, enabled: bool) -> None:
        """Set whether instances are lent to other pools."""
        if enabled != self._lending:
            self._lending = enabled
            self.invalidate()

    def invalidate(self) -> None:
        """Let the servability of all tasks be found anew."""
        self._epoch += 1
        self._known.clear()
        self._known_gangs.clear()

    def _add(self, kinds: dict[Kind, set[str]], kind: Kind, instance: str) -> None:
        instances = kinds.get(kind)
        if instances is None:
            instances = kinds[kind] = set()
            self.invalidate()
        if instance not in instances:
            instances.add(instance)
            self._instances_seen += 1
            self._known_gangs.clear()

    def may_run(self, service: ServiceName, spec: StepSpec) -> bool:
        """Return whether a known endpoint could run a task, or none is known yet."""
        demand = (service, spec.reserved_cpu, spec.memory, spec.gpu, spec.label)
        found = self._known.get(demand)
        if found is None:
            found = self._known[demand] = self._find(service, spec.needs, spec.label)
        return found

    def _find(self, service: ServiceName, needs: Resources, label: str) -> bool:
        if not self._is_known(service):
            return True
        return any(
            needs.fits(capacity) and (not label or label in labels)
            for capacity, labels in self._kinds(service)
        )

    def _is_known(self, service: ServiceName) -> bool:
        """Return whether the endpoints that a pool has or could be lent are known."""
        lendable = not self._lending or bool(self._lendable)
        return bool(self._own.get(service)) and lendable

    def _kinds(self, service: ServiceName) -> set[Kind]:
        own = self._own[service].keys()
        return set(own | self._lendable.keys()) if self._lending else set(own)

    def _has_room_for_gang(self, service: ServiceName, spec: StepSpec) -> bool:
        """Return whether all members of a gang fit if the endpoints were empty."""
        found = self._known_gangs.get((service, spec))
        if found is None:
            found = self._find_room_for_gang(service, spec)
            self._known_gangs[service, spec] = found
        return found

    def _find_room_for_gang(self, service: ServiceName, spec: StepSpec) -> bool:
        if not self._is_known(service):
            return True
        most = spec.most_per_endpoint or spec.tasks
        members = 0
        for kind in self._kinds(service):
            capacity, labels = kind
            if spec.needs.fits(capacity) and (not spec.label or spec.label in labels):
                instances = set(self._own[service].get(kind, ()))
                if self._lending:
                    instances |= self._lendable.get(kind, set())
                members += len(instances) * capacity.count_fitting(spec.needs, most)
        return members >= spec.tasks

    def unservable_steps(self, spec: JobSpec, limit: Resources) -> frozenset[int]:
        """Return the numbers of a job's steps that can't run, or depend on such a step.

        :param limit: upper limit of the job's workspace; amounts of 0 mean no limit
        """
        found: set[int] = set()
        limited = any(limit)
        for number, step in enumerate(spec.steps):
            if (
                not self.may_run(spec.service, step)
                or (step.gang and not self._has_room_for_gang(spec.service, step))
                or (limited and _exceeds(step, limit))
                or (found and not found.isdisjoint(step.after))
            ):
                found.add(number)
        return frozenset(found)


def _exceeds(step: StepSpec, limit: Resources) -> bool:
    """Return whether the tasks that start together exceed an upper limit."""
    together = step.tasks if step.gang else 1
    return any(
        0 < most < amount * together
        for most, amount in zip(limit, step.quota_request, strict=True)
    )
