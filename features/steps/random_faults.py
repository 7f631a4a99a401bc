"""Steps for lasting tasks, which must run again after any faults."""

import functools
import random

from behave import given, then, when

from primrosepitch.jobs.model import (
    JobId,
    JobSpec,
    QueueName,
    Resources,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import (
    QueueSpec,
    ServiceSpec,
    WorkspaceSpec,
)
from primrosepitch.scheduling.leases import LEASE_GRANT_WINDOW_S
from standins.scheduler_faults import (
    ENTRY_FAULTS,
    EVACUATIONS,
    FAULTS,
    FaultDay,
    LastingTaskCheck,
)
from standins.scheduler_world import SchedulerWorld

CHECK_S = 20.0
SAMPLE_S = 0.1

LASTING_STEPS = {
    "plain": StepSpec(8, 2000, 512, lasting=True),
    "spread": StepSpec(
        4, 2000, 512, lasting=True, most_per_endpoint=1, max_unavailable=1
    ),
    "memory": StepSpec(4, 500, 8192, lasting=True, max_unavailable=1),
    "filling": StepSpec(3, 2000, 512, lasting=True, fills=True),
    "limited": StepSpec(4, 2000, 1024, lasting=True),
}


def submit(world, name, service, step, workspace="w"):
    world.submit(
        JobSpec(
            job=JobId(name),
            queue=QueueName(f"q-{service}"),
            service=ServiceName(service),
            workspace=WorkspaceName(workspace),
            payload="p",
            steps=(step,),
            accepted_ms=world.wall_ms,
            max_attempts=4,
            stretch=2.0,
            goal_ms=600,
        )
    )


def build_world(seed):
    """Return a world with a pool, or with two of them that lend each other instances.

    :param seed: lending if it is odd
    """
    rng = random.Random(seed)
    world = SchedulerWorld(seed)
    world.upkeep_once = True
    pools = ["s", "t"] if seed % 2 else ["s"]
    for pool in pools:
        name = ServiceName(pool)
        queue = QueueSpec(QueueName(f"q-{pool}"), "h", f"/{pool}/", name, 0, 4)
        world.cfg.queues[queue.name] = queue
        world.cfg.services[name] = ServiceSpec(name)
        for number in range(rng.randint(6, 9)):
            world.add_worker(f"{pool}{number}", pool, rack=f"r{number % 3}")
    if len(pools) > 1:
        spare = ServiceName("off")
        world.cfg.services[spare] = ServiceSpec(spare, spare=True)
        for number in range(6):
            world.add_instance(f"off{number}", "off", f"r{number % 3}")
    for workspace, limit in (("w", Resources()), ("v", Resources(18000, 0, 0))):
        spec = WorkspaceSpec(WorkspaceName(workspace), 100.0, limit)
        world.cfg.workspaces[spec.name] = spec
    world.take_term("n1")
    world.run(1.0)
    for pool in pools:
        for kind in rng.sample(sorted(LASTING_STEPS), 4):
            workspace = "v" if kind == "limited" else "w"
            submit(world, f"{kind}-{pool}", pool, LASTING_STEPS[kind], workspace)
    count = rng.choice([0, 20, 80])
    for number in range(count):
        at = rng.uniform(0.0, 40.0)
        step = StepSpec(4, 2000, 512, estimate_ms=rng.choice([200, 500, 1500]))
        pool = rng.choice(pools)
        world.call_later(
            at, lambda n=number, p=pool, s=step: submit(world, f"n{n}", p, s)
        )
    return world


def run_day(seed, entry_faults=0, evacuations=0):
    """Return a day's world, its faults, and the tasks that waited for too long.

    :param entry_faults: number of faults of the endpoints' entries
    :param evacuations: number of evacuations of one of three data centres
    """
    world = build_world(seed)
    if evacuations:
        spread_over_data_centres(world)
    world.run(2.0)
    faults = FaultDay(world, seed)
    faults.schedule(random.Random(seed).choice([2, 6, 15, 30]), FAULTS)
    faults.schedule(entry_faults, ENTRY_FAULTS)
    faults.schedule(evacuations, EVACUATIONS)
    world.run(faults.ends_at - world.now)
    check = LastingTaskCheck(world)
    end = world.now + CHECK_S
    while world.now < end:
        world.run(SAMPLE_S)
        check.sample()
    return world, faults, check


def spread_over_data_centres(world):
    for number, instance in enumerate(sorted(world.zones)):
        world.zones[instance] = "abc"[number % 3]
    for worker in world.workers.values():
        world.publish_report(worker)
    # A node that was paused may send orders before it learns of a request, but only as
    # long as it may grant leases.
    world.evacuation_s = LEASE_GRANT_WINDOW_S + 0.5


@given("random faults of seeds {first:d} to {last:d}")
def step_seeds(context, first, last):
    context.seeds = range(first, last + 1)
    context.entry_faults = context.evacuations = 0


@given("{count:d} faults of the endpoints' entries")
def step_entry_faults(context, count):
    context.entry_faults = count


@given("{count:d} evacuations of data centres")
def step_evacuations(context, count):
    context.evacuations = count


@when("all faults of each seed have ended")
def step_run_days(context):
    context.days = {
        seed: run_day(seed, context.entry_faults, context.evacuations)
        for seed in context.seeds
    }


@then("each lasting task runs where there is room for it")
def step_lasting_tasks_run(context):
    for seed, (_, faults, check) in context.days.items():
        assert not check.found, (seed, faults.log, *check.found.values())


@then("no seed broke a rule")
def step_no_seed_broke_rule(context):
    for seed, (world, faults, _) in context.days.items():
        assert not world.violations, (seed, faults.log, world.violations[:5])


@when(
    "every endpoint is cut off for {cut_s:g} seconds "
    "and refuses starts for {refuses_s:g} seconds"
)
def step_cut_and_refuse(context, cut_s, refuses_s):
    for worker in context.world.workers.values():
        worker.cut = worker.unhealthy = True
        context.world.call_later(
            cut_s, functools.partial(setattr, worker, "cut", False)
        )
        context.world.call_later(
            refuses_s, functools.partial(setattr, worker, "unhealthy", False)
        )


@given("a spare pool")
def step_spare_pool(context):
    spare = ServiceName("off")
    context.world.cfg.services[spare] = ServiceSpec(spare, spare=True)


@then("{count:d} instances are in the spare pool")
def step_in_spare_pool(context, count):
    found = [name for name, pool in context.world.pool_of.items() if pool == "off"]
    assert len(found) == count, found


@given("moves of instances that are confirmed and not carried out")
def step_empty_moves(context):
    world = context.world

    def confirm(node, order, sent_at):
        world._answer_move(node, order, ev.Outcome.DONE)

    world._move = confirm
