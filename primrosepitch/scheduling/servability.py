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
    """Kinds of endpoints that were known in this term, by pool.

    ``epoch`` changes whenever a task that could not be run may be able to.
    """

    def __init__(self) -> None:
        """Start without endpoints; every task may be served by those to come."""
        self.epoch = 0
        self._kinds: dict[ServiceName, set[Kind]] = {}
        self._lendable: set[Kind] = set()
        self._lending = False
        self._known: dict[tuple[ServiceName, int, int, int, str], bool] = {}

    def add_endpoint(
        self, service: ServiceName, capacity: Resources, labels: Iterable[str]
    ) -> None:
        """Add the kind of an endpoint."""
        kinds = self._kinds.setdefault(service, set())
        self._add(kinds, (capacity, frozenset(labels)))

    def add_instance(self, capacity: Resources, labels: Iterable[str]) -> None:
        """Add the kind of an instance, which may be lent to any pool."""
        self._add(self._lendable, (capacity, frozenset(labels)))

    def set_lending(self, enabled: bool) -> None:
        """Set whether instances are lent to other pools."""
        if enabled != self._lending:
            self._lending = enabled
            self.invalidate()

    def invalidate(self) -> None:
        """Let the servability of all tasks be found anew."""
        self.epoch += 1
        self._known.clear()

    def _add(self, kinds: set[Kind], kind: Kind) -> None:
        if kind not in kinds:
            kinds.add(kind)
            self.invalidate()

    def may_run(self, service: ServiceName, spec: StepSpec) -> bool:
        """Return whether a known endpoint could run a task, or none is known yet."""
        demand = (service, spec.reserved_cpu, spec.memory, spec.gpu, spec.label)
        found = self._known.get(demand)
        if found is None:
            found = self._known[demand] = self._find(service, spec.needs, spec.label)
        return found

    def _find(self, service: ServiceName, needs: Resources, label: str) -> bool:
        own = self._kinds.get(service)
        if not own or (self._lending and not self._lendable):
            return True
        kinds = own | self._lendable if self._lending else own
        return any(
            needs.fits(capacity) and (not label or label in labels)
            for capacity, labels in kinds
        )

    def unservable_steps(self, spec: JobSpec, limit: Resources) -> frozenset[int]:
        """Return the numbers of a job's steps that can't run, or depend on such a step.

        :param limit: upper limit of the job's workspace; amounts of 0 mean no limit
        """
        found: set[int] = set()
        limited = any(limit)
        for number, step in enumerate(spec.steps):
            if (
                not self.may_run(spec.service, step)
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
