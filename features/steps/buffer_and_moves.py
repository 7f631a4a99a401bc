"""Steps for spare instances, move plans and dry runs."""

import itertools
import random

from behave import then, when

from features.fleet_world import running_log
from primrosepitch.planning.buffer import (
    capacity_buffer,
    replacements_needed,
    survives_rack_loss,
)
from primrosepitch.planning.moves import Donor, plan_moves
from primrosepitch.planning.waves import dry_run


def minimum_moves(demand, donors):
    """Return the minimum number of moves, or ``None`` if no assignment fits."""
    pools = sorted(demand)
    best = None
    for assignment in itertools.product([None, *pools], repeat=len(donors)):
        received = dict.fromkeys(pools, 0.0)
        for donor, pool in zip(donors, assignment, strict=True):
            if pool is not None:
                received[pool] += donor.size
        count = sum(t is not None for t in assignment)
        if all(received[p] >= demand[p] for p in pools):
            best = count if best is None else min(best, count)
    return best


@when("{n:d} random demands of up to 3 pools and 7 donors are planned with seed {s:d}")
def step_plan_demands(context, n, s):
    rng = random.Random(s)
    context.plans = []
    for _ in range(n):
        demand = {f"p{i}": rng.randrange(1, 40) for i in range(rng.randrange(1, 4))}
        sizes = [rng.choice([4, 8, 16, 32]) for _ in range(rng.randrange(1, 8))]
        donors = [Donor(f"i{i}", "s", size) for i, size in enumerate(sizes)]
        plan = plan_moves(demand, donors)
        met = dict.fromkeys(demand, 0.0)
        for move in plan:
            met[move.to_pool] += next(
                d.size for d in donors if d.instance == move.instance
            )
        reached = all(met[p] >= demand[p] for p in demand)
        context.plans.append((len(plan), reached, minimum_moves(demand, donors)))


@then("each plan meets its demand where that is possible")
def step_demand_met(context):
    missed = [p for p in context.plans if p[2] is not None and not p[1]]
    assert not missed, (
        f"{len(missed)} of {len(context.plans)} plans miss a demand: {missed[:5]}"
    )


@then("the plans need at most {percent:d} % more moves than the minimum")
def step_move_count(context, percent):
    possible = [p for p in context.plans if p[2] is not None]
    assert len(possible) > 50
    planned, minimum = sum(p[0] for p in possible), sum(p[2] for p in possible)
    assert planned <= minimum * (1 + percent / 100), (planned, minimum)


@when("{n:d} random fleets with failed instances are built with seed {s:d}")
def step_build_fleets(context, n, s):
    rng = random.Random(s)
    context.fleets = []
    for _ in range(n):
        racks, per_rack = rng.randrange(1, 4), rng.randrange(1, 5)
        total = 3 * racks * per_rack
        spare = {"pool": "spare", "rack": "r1", "address": "127.0.9.99", "port": 80}
        same_rack = {f"instances__{dc}s": spare | {"dc": dc} for dc in "abc"}
        log = running_log(
            rng.randrange(total // 2, total + 1),
            racks=racks,
            per_rack=per_rack,
            **(same_rack if rng.random() < 0.5 else {}),
        )
        for name in [x for x in log.state.instances if rng.random() < 0.15]:
            log.run(f"p{name[0]}", f"down {name}")
        context.fleets.append(log.state)


@then("a fleet survives exactly if it has the needed spares outside every rack")
def step_survives(context):
    seen = set()
    for fleet in context.fleets:
        survived = []
        for rack in {(i.dc, i.rack) for i in fleet.instances.values()}:
            remaining = [i for i in fleet.instances.values() if (i.dc, i.rack) != rack]
            up = [i for i in remaining if i.available]
            press = sum(i.pool == "press" for i in up)
            minimum = fleet.config.services["press"].min_available
            assert replacements_needed(fleet, rack) == max(0, minimum - press)
            survived.append(press + sum(i.pool == "spare" for i in up) >= minimum)
        assert survives_rack_loss(fleet) is all(survived)
        buffer = capacity_buffer(fleet, {})
        seen.add((survives_rack_loss(fleet), buffer.spare >= buffer.needed))
    assert {(True, True), (False, False)} <= seen, seen


@then("{count:d} instances of pool {pool} are available")
def step_available(context, count, pool):
    assert context.world.fleet.available_in(pool) == count


@when("a wave over {names} with {parallel:d} in parallel is dry-run")
def step_dry_run(context, names, parallel):
    before = str(context.log.state)
    context.steps = dry_run(context.log.state, names.split(), parallel)
    assert str(context.log.state) == before


@then("the steps are")
def step_dry_run_steps(context):
    rows = [(r["instance"], r["kind"], r["why"]) for r in context.table]
    assert [(s.instance, s.kind.value, s.reason) for s in context.steps] == rows, (
        context.steps
    )
