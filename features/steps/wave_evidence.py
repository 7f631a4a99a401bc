"""Steps for the evidence by which a wave is complete."""

from behave import given, then, when

from primrosepitch.jobs.model import ServiceName
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import WaveSpec
from primrosepitch.scheduling.reducer import step
from standins.scheduler_world import LATENCY_S

DURATION_S = 30.0


def instances_of(names):
    return [f"m-{name}" for name in names.split(",")]


def watch_statuses(context):
    """Record the reports on waves, and what had been maintained at each."""
    if hasattr(context, "statuses"):
        return
    world = context.world
    context.statuses = []

    def report(node, effect):
        maintained = list(world.maintained[effect.wave])
        context.statuses.append((effect.wave, effect.completed, maintained))

    world._do_reportwavestatus = report


@when("wave {wave:d} over {names} is requested and {seconds:g} seconds pass")
def step_request(context, wave, names, seconds):
    request(context, wave, names)
    context.world.run(seconds)


def request(context, wave, names):
    watch_statuses(context)
    world = context.world
    due = world.now + DURATION_S
    world.request_wave(WaveSpec(wave, tuple(instances_of(names)), due, 1))
    context.wave_instances = instances_of(names)


@when("wave {wave:d} over {names} is requested while node b takes the term")
def step_request_at_takeover(context, wave, names):
    world = context.world
    world.nodes.clear()
    request(context, wave, names)
    world.take_term("b")


@when("instances {names} come")
def step_come(context, names):
    for name in names.split(","):
        context.world.add_worker(name, "s")


@when("instances {names} come and {seconds:g} seconds pass")
def step_come_and_pass(context, names, seconds):
    step_come(context, names)
    context.world.run(seconds)


def leave(context, name):
    world = context.world
    instance = f"m-{name}"
    for worker in [w for w in world.workers.values() if w.instance == instance]:
        worker.crash()
        world.remove_report(worker)
    del world.pool_of[instance]


@when("wave {wave:d} over {names} is requested while {name} leaves the platform")
def step_request_and_leave(context, wave, names, name):
    request(context, wave, names)
    leave(context, name)


@when("instance {name} leaves the platform")
def step_leave(context, name):
    leave(context, name)


@given("lists of instances take {seconds:g} seconds")
def step_slow_lists(context, seconds):
    world = context.world

    def list_instances(node, effect):
        term, listing = node.state.term, world.list_instances()

        def answer():
            listed = ev.InstancesListed(listing, world.now)
            world._deliver_answer(node, term, listed)

        world.call_later(seconds, answer)

    world._do_listinstances = list_instances


@given("every second list lacks instance {name}, which has no endpoint")
def step_lacking_list(context, name):
    world = context.world
    instance = f"m-{name}"
    for worker in [w for w in world.workers.values() if w.instance == instance]:
        worker.crash()
        world.remove_report(worker)
    world.run(3.0)
    lists = world.list_instances
    context.lists = 0

    def list_instances():
        context.lists += 1
        listing = lists()
        views = [v for v in listing.instances if v.instance != instance]
        if world.maintained[1] or context.lists % 2:
            return listing
        return listing._replace(instances=views)

    world.list_instances = list_instances


@given("orders for maintenance are answered with {outcome} for {seconds:g} seconds")
def step_refused_orders(context, outcome, seconds):
    world = context.world
    context.orders = 0
    start = world._do_startmaintenance
    until = world.now + seconds

    def start_maintenance(node, order):
        if world.now >= until:
            start(node, order)
            return
        context.orders += 1
        answer = ev.MaintenanceAnswered(
            order.instance, order.wave, ev.Outcome(outcome), world.now
        )
        term = node.state.term
        world.call_later(LATENCY_S, lambda: world._deliver_answer(node, term, answer))

    world._do_startmaintenance = start_maintenance


@then("at most {count:d} orders for maintenance were sent")
def step_few_orders(context, count):
    assert 0 < context.orders <= count, context.orders


@then("{names} have had their maintenance for wave {wave:d}")
def step_maintained(context, names, wave):
    maintained = context.world.maintained[wave]
    missing = set(instances_of(names)) - set(maintained)
    assert not missing, (missing, maintained)


@then("each of {names} had it once")
def step_once(context, names):
    maintained = context.world.maintained[1]
    assert sorted(maintained) == sorted(instances_of(names)), maintained


@then("wave {wave:d} is said to be completed, and was not before")
def step_completed(context, wave):
    reports = [report for report in context.statuses if report[0] == wave]
    assert reports and reports[-1][1], reports
    here = set(context.world.pool_of)
    for _, completed, maintained in reports:
        missing = here.intersection(context.wave_instances) - set(maintained)
        assert not (completed and missing), (reports, missing)


@then("wave {wave:d} is not said to be completed")
def step_not_completed(context, wave):
    assert not any(r[1] for r in context.statuses if r[0] == wave), context.statuses


@then("wave {wave:d} was never said to be running after that")
def step_not_running(context, wave):
    completed = [report[1] for report in context.statuses if report[0] == wave]
    assert completed == sorted(completed), context.statuses


@when("an instance is moved while a list is under way that shows it in its old pool")
def step_moved_meanwhile(context):
    world = context.world
    world.run(1.0)
    node = world.nodes[0]
    state = node.state
    listing = world.list_instances()
    step(state, ev.InstancesListed(listing, state.now))
    context.instance = listing.instances[0].instance
    state.listing_pending, state.listing_began_at = True, state.now
    world.run(0.1)
    target = ServiceName("other")
    moved = ev.MoveAnswered(context.instance, target, ev.Outcome.DONE, state.now)
    step(state, moved)
    step(state, ev.InstancesListed(listing, state.now))


@then("the scheduler knows it in its new pool")
def step_new_pool(context):
    view = context.world.nodes[0].state.instances[context.instance]
    assert view.pool == "other", view
