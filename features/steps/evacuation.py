"""Steps for the evacuation of data centres, in virtual time."""

from behave import given, then, when

from primrosepitch.events import EVACUATION_CHANGED, RUN_STOPPING
from primrosepitch.scheduling.state import Phase
from standins.waiting_jobs import all_tasks


def runs_in(context, job, zone):
    return [
        run
        for worker in context.world.workers.values()
        if worker.up and worker.zone == zone
        for run in worker.runs.values()
        if run.task.job == job
    ]


@given("a scheduler with {first:d} endpoints in data centre a and {second:d} in b")
def step_two_data_centres(context, first, second):
    context.execute_steps("Given a scheduler with 0 endpoints")
    for zone, count in (("a", first), ("b", second)):
        for number in range(count):
            join(context, zone, f"{zone}{number}")
    context.world.run(0.5)


def join(context, zone, name):
    worker = context.world.add_worker(name, "s", rack=f"r-{zone}", zone=zone)
    # A report that was read before the announcement changes nothing.
    context.world.publish_report(worker)


@when("an endpoint joins data centre {zone:w}")
def step_join(context, zone):
    join(context, zone, f"{zone}-{len(context.world.workers)}")


@when("data centre {zone:w} is evacuated")
def step_evacuate(context, zone):
    context.world.evacuate(zone)


@when("the evacuation of data centre {zone:w} is cancelled")
def step_cancel(context, zone):
    context.world.cancel_evacuation(zone)


@when("a placement of {job} is durable and its order is not sent")
def step_unsent(context, job):
    state = context.world.nodes[0].state

    def unsent():
        tasks = all_tasks(state, state.jobs[job])
        return all(t.phase is Phase.STARTING and t.order_tries for t in tasks)

    assert context.world.run_until(unsent, 9.0)
    assert not context.world.counts["starts"], context.world.counts


@then("{count:d} tasks of {job} are running in data centre {zone:w}")
def step_running_in(context, count, job, zone):
    found = runs_in(context, job, zone)
    assert len(found) == count, (len(found), count)


@then("no run was stopped")
def step_no_stop(context):
    assert not context.world.events[RUN_STOPPING.number], context.world.events


@then("{count:d} changes of evacuations were logged")
def step_changes_logged(context, count):
    found = context.world.events[EVACUATION_CHANGED.number]
    assert found == count, found


@given(
    "{first:d} switched-off instances in data centre a and {second:d} in b",
)
def step_switched_off(context, first, second):
    for zone, count in (("a", first), ("b", second)):
        for number in range(count):
            context.world.add_instance(f"off-{zone}{number}", "off", "r1", zone)


@then("{second:d} instances of data centre b and {first:d} of a are in pool s")
def step_pool_instances(context, first, second):
    world = context.world
    zones = [world.zone_of(i) for i, pool in world.pool_of.items() if pool == "s"]
    assert (zones.count("a"), zones.count("b")) == (first, second), zones


@then("{count:d} instances of data centre {zone:w} were moved")
def step_moved(context, count, zone):
    world = context.world
    moved = {o.instance for o in world.instance_orders}
    found = [instance for instance in moved if world.zone_of(instance) == zone]
    assert len(found) == count, found


@when("an instance of data centre {zone:w} is on its way to pool s")
def step_on_its_way(context, zone):
    world, state = context.world, context.world.nodes[0].state

    def under_way():
        moves = state.moves.items()
        return any(m.pool == "s" and world.zone_of(i) == zone for i, m in moves)

    assert world.run_until(under_way, 3.0), state.moves


@then("{count:d} endpoints of data centre {zone:w} are up")
def step_up(context, count, zone):
    found = [w.id for w in context.world.workers.values() if w.up and w.zone == zone]
    assert len(found) == count, found


@when("the store is cut off from node {name:w}")
def step_cut_node(context, name):
    context.world.cut_nodes.add(name)


@when("the store serves node {name:w} again")
def step_heal_node(context, name):
    context.world.cut_nodes.discard(name)
