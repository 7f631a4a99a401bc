"""Spare capacity that a fleet needs to survive the loss of any one rack."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from primrosepitch.fleet.state import FleetState, Instance
from primrosepitch.ids import DcId, InstanceId, PoolId
from primrosepitch.planning.events import Size

__all__ = [
    "Buffer",
    "capacity_buffer",
    "replacements_needed",
    "required_available",
    "survives_rack_loss",
]


class Buffer(NamedTuple):
    """Spare capacity that a fleet needs and has.

    :param needed: spare instances that the loss of a rack requires outside it, as the
        maximum over all racks
    :param spare: available instances of spare pools
    :param resources: free resources that the tasks of one rack need elsewhere, as the
        maximum of each resource over all racks
    :param free: free resources of available instances
    """

    needed: int
    spare: int
    resources: Size
    free: Size


def replacements_needed(fleet: FleetState, rack: tuple[DcId, str]) -> int:
    """Return how many instances the availability budgets lack if a rack is lost."""
    left: Counter[PoolId] = Counter()
    for inst in fleet.instances.values():
        if inst.available and (inst.dc, inst.rack) != rack:
            left[inst.pool] += 1
    lacking = 0
    for pool, budget in required_available(fleet).items():
        lacking += max(0, budget - left[pool])
    return lacking


def required_available(fleet: FleetState) -> dict[PoolId, int]:
    """Return the minimum of available instances by pool that the services require."""
    budgets: dict[PoolId, int] = {}
    for service in fleet.config.services.values():
        previous = budgets.get(service.pool, 0)
        budgets[service.pool] = max(previous, service.min_available)
    return budgets


def survives_rack_loss(fleet: FleetState) -> bool:
    """Return whether, for each rack, the spares outside it can replace its loss."""
    spares = [
        i for i in fleet.instances.values() if i.available and _in_spare_pool(fleet, i)
    ]
    for rack in _racks(fleet):
        outside = sum(1 for i in spares if (i.dc, i.rack) != rack)
        if outside < replacements_needed(fleet, rack):
            return False
    return True


def capacity_buffer(fleet: FleetState, used: Mapping[InstanceId, Size]) -> Buffer:
    """Return the spare capacity that a fleet needs and has.

    :param used: resources in use by instance
    """
    lost: dict[tuple[DcId, str], Size] = defaultdict(Size)
    free = Size()
    for name, inst in fleet.instances.items():
        use = used.get(name, Size())
        lost[(inst.dc, inst.rack)] = lost[(inst.dc, inst.rack)].add(use)
        spec = fleet.config.instances.get(name)
        if inst.available and spec is not None:
            whole = Size(spec.cores, spec.memory_gb, spec.accelerators)
            free = free.add(whole.subtract(use))
    largest = Size()
    for size in lost.values():
        largest = largest.componentwise_max(size)
    found = fleet.instances.values()
    return Buffer(
        needed=max((replacements_needed(fleet, r) for r in _racks(fleet)), default=0),
        spare=sum(1 for i in found if i.available and _in_spare_pool(fleet, i)),
        resources=largest,
        free=free,
    )


def _racks(fleet: FleetState) -> set[tuple[DcId, str]]:
    return {(i.dc, i.rack) for i in fleet.instances.values()}


def _in_spare_pool(fleet: FleetState, inst: Instance) -> bool:
    pool = fleet.config.pools.get(inst.pool)
    return pool is not None and pool.spare
