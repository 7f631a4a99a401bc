"""Moves of spare instances to pools that are below their availability budget."""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from primrosepitch.events import event
from primrosepitch.fleet.records import DrainReason
from primrosepitch.fleet.state import FleetState, Instance, Phase
from primrosepitch.ids import InstanceId, PoolId
from primrosepitch.planning import availability, buffer, drains, lease
from primrosepitch.planning.effects import Effect
from primrosepitch.planning.state import PlannerState, log_line

__all__ = ["Donor", "Move", "on_tick", "plan_moves", "shortages"]

SHORTAGE_DELAY_S = 60.0
"""Seconds below the budget until a spare instance moves; a reboot takes less."""

MAX_SEARCH_STEPS = 20_000
"""Limit of the steps of the search for the fewest moves; takes about 20 ms."""

EPSILON = 1e-9

REFILL = event(
    3307,
    "pool_refilled",
    logging.WARNING,
    "A pool is below its availability budget; a spare instance moves to it.",
    "repair the failed instances and move the spare instance back",
)


class Donor(NamedTuple):
    """An instance that may leave its pool.

    :param size: capacity that it adds, in the unit of the demand
    :param spare: whether it is in a spare pool
    """

    instance: InstanceId
    pool: PoolId
    size: float
    spare: bool = False


class Move(NamedTuple):
    """A move of an instance to another pool."""

    instance: InstanceId
    to_pool: PoolId


def plan_moves(demand: Mapping[PoolId, float], donors: Sequence[Donor]) -> list[Move]:
    """Choose the fewest moves that meet a demand, preferring spares of equal size.

    A depth-first search over sizes improves a greedy plan. Its result is optimal unless
    the search ends at ``MAX_SEARCH_STEPS``.

    :param demand: capacity that each pool lacks
    :param donors: instances that may leave; the caller has to observe their budgets
    :returns: moves; those of the greedy plan if the donors cannot meet the demand
    """
    gaps = {pool: gap for pool, gap in demand.items() if gap > 0}
    order = sorted(donors, key=lambda d: (-d.size, not d.spare, d.instance))
    greedy = _greedy(dict(gaps), list(order))
    by_size: dict[float, list[Donor]] = {}
    for donor in order:
        by_size.setdefault(donor.size, []).append(donor)
    search = _Search(gaps, {size: len(found) for size, found in by_size.items()})
    best = search.run(len(greedy) if _closes_all_gaps(gaps, greedy, donors) else None)
    if best is None:
        return greedy
    moves: list[Move] = []
    for pool, cover in best:
        moves += [Move(by_size[size].pop(0).instance, pool) for size in cover]
    return moves


def _closes_all_gaps(
    gaps: Mapping[PoolId, float], moves: list[Move], donors: Sequence[Donor]
) -> bool:
    """Return whether the moves close all gaps."""
    sizes = {d.instance: d.size for d in donors}
    assigned = dict.fromkeys(gaps, 0.0)
    for move in moves:
        assigned[move.to_pool] += sizes[move.instance]
    return all(assigned[pool] >= gap - EPSILON for pool, gap in gaps.items())


def _greedy(gaps: dict[PoolId, float], left: list[Donor]) -> list[Move]:
    """Repeatedly assign the smallest donor that closes the largest closable gap.

    If no donor can close a gap alone, the largest donor goes to the largest gap.
    """
    moves: list[Move] = []
    while gaps and left:
        pool, donor = _next_assignment(gaps, left)
        left.remove(donor)
        moves.append(Move(donor.instance, pool))
        gaps[pool] -= donor.size
        if gaps[pool] <= EPSILON:
            del gaps[pool]
    return moves


def _next_assignment(
    gaps: Mapping[PoolId, float], left: list[Donor]
) -> tuple[PoolId, Donor]:
    """Return the next pool and donor; ``left`` is sorted by descending size."""
    for pool in sorted(gaps, key=lambda p: (-gaps[p], p)):
        closing = [d for d in left if d.size >= gaps[pool] - EPSILON]
        if closing:
            least = closing[-1].size
            return pool, next(d for d in closing if d.size == least)
    return max(sorted(gaps), key=lambda p: gaps[p]), left[0]


Cover = tuple[PoolId, tuple[float, ...]]


class _Search:
    """Depth-first search for the fewest donors, by size, that close all gaps."""

    def __init__(self, gaps: Mapping[PoolId, float], counts: dict[float, int]) -> None:
        self.pools = sorted(gaps, key=lambda p: (-gaps[p], p))
        self.gaps = gaps
        self.counts = counts
        self.sizes = sorted(counts, reverse=True)
        self.steps = 0
        self.best: list[Cover] | None = None
        self.fewest = float("inf")

    def run(self, fewest: int | None) -> list[Cover] | None:
        """Return a plan with fewer than ``fewest`` moves, if the search finds one."""
        if fewest is not None:
            self.fewest = fewest
        self._try_pool(0, 0, [])
        return self.best

    def _try_pool(self, number: int, used: int, covers: list[Cover]) -> None:
        """Try all covers of the next pool's gap."""
        if number == len(self.pools):
            if used < self.fewest:
                self.fewest = used
                self.best = list(covers)
            return
        largest = self.sizes[0] if self.sizes else 0.0
        if not largest:
            return
        least = sum(
            math.ceil((self.gaps[p] - EPSILON) / largest) for p in self.pools[number:]
        )
        if used + least >= self.fewest:
            return
        self._extend_cover(number, used, covers, self.gaps[self.pools[number]], 0, ())

    def _extend_cover(
        self,
        number: int,
        used: int,
        covers: list[Cover],
        gap: float,
        first: int,
        cover: tuple[float, ...],
    ) -> None:
        """Extend a cover by sizes from index ``first`` until it closes the gap."""
        self.steps += 1
        if self.steps > MAX_SEARCH_STEPS or used >= self.fewest:
            return
        if gap <= EPSILON:
            self._try_pool(number + 1, used, [*covers, (self.pools[number], cover)])
            return
        for i in range(first, len(self.sizes)):
            size = self.sizes[i]
            if self.counts[size]:
                self.counts[size] -= 1
                self._extend_cover(
                    number, used + 1, covers, gap - size, i, (*cover, size)
                )
                self.counts[size] += 1


def shortages(fleet: FleetState) -> dict[PoolId, int]:
    """Return how many instances each pool lacks, counting those on their way to it."""
    present: Counter[PoolId | None] = Counter()
    for inst in fleet.instances.values():
        if inst.available:
            present[inst.pool] += 1
        elif inst.phase is not Phase.ACTIVE:
            present[_target(inst)] += 1
    needed = buffer.required_available(fleet).items()
    return {p: budget - present[p] for p, budget in needed if budget > present[p]}


def _target(inst: Instance) -> PoolId | None:
    """Return the pool in which a draining or stopping instance will be available."""
    if inst.reason is DrainReason.MOVE:
        return inst.to_pool
    return inst.pool if inst.reason is DrainReason.REBOOT else None


def spare_donors(fleet: FleetState) -> list[Donor]:
    """Return the available instances that spare pools can give within their budgets."""
    donors: list[Donor] = []
    budget = buffer.required_available(fleet)
    for pool, spec in sorted(fleet.config.pools.items()):
        if not spec.spare:
            continue
        own = [n for n, i in fleet.instances.items() if i.pool == pool and i.available]
        keep = budget.get(pool, 0)
        donors += [Donor(n, pool, 1, True) for n in sorted(own)[keep:]]
    return donors


def on_tick(state: PlannerState, now: float) -> list[Effect]:
    """Move spare instances to pools below their budget for ``SHORTAGE_DELAY_S``.

    All planners compute the same plan from the same state, and each moves only the
    instances of its own data centre.
    """
    if not lease.in_force(state, now):
        return []
    short = shortages(state.fleet)
    for pool in [p for p in state.shortage_since if p not in short]:
        del state.shortage_since[pool]
    demand: dict[PoolId, float] = {}
    for pool, lacking in short.items():
        if now - state.shortage_since.setdefault(pool, now) >= SHORTAGE_DELAY_S:
            demand[pool] = float(lacking)
    if not demand or availability.down_records_pending(state):
        return []
    effects: list[Effect] = []
    for move in plan_moves(demand, spare_donors(state.fleet)):
        if state.fleet.instances[move.instance].dc != state.dc:
            continue
        started = drains.start_drain(
            state, now, move.instance, DrainReason.MOVE, to_pool=move.to_pool
        )
        line = log_line(REFILL.number, instance=move.instance, to_pool=move.to_pool)
        effects += [*started, *[line] * bool(started)]
    return effects
