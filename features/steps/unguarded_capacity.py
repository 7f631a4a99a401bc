"""Steps for endpoints that start whatever they are ordered to, in virtual time."""

import msgspec
from behave import given, then, when

from primrosepitch.jobs.model import Resources


@given("no endpoint guards its capacity")
def step_unguarded(context):
    services = context.world.cfg.services
    for name, service in services.items():
        services[name] = msgspec.structs.replace(service, admission_check=False)
    for worker in context.world.workers.values():
        worker.guards_capacity = False


@when("every endpoint {changes} to {cpu:d} millicores")
def step_change_capacity(context, changes, cpu):
    for worker in context.world.workers.values():
        worker.set_capacity(Resources(cpu, worker.capacity.memory, 0))


@when("endpoint {name} shrinks to {cpu:d} millicores")
def step_shrink(context, name, cpu):
    worker = context.world.workers[name]
    worker.set_capacity(Resources(cpu, worker.capacity.memory, 0))


@then("no run waited alone")
def step_no_partial_gang(context):
    world = context.world
    started = {
        key: worker.highest_runs[key]
        for worker in world.workers.values()
        for key in worker.highest_runs
    }
    assert len(started) == 4, started
    assert world.counts["starts"] == 4, world.counts


@when(
    "endpoint {name} restarts with {cpu:d} millicores "
    "and reports it after {seconds:g} seconds"
)
def step_restart_smaller(context, name, cpu, seconds):
    world = context.world
    worker = world.workers[name]
    worker.crash()
    worker.restart()
    worker.capacity = Resources(cpu, worker.capacity.memory, 0)
    world.call_later(seconds, lambda: world.publish_report(worker))
