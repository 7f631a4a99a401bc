"""Steps for lasting tasks that wait, in virtual time."""

import msgspec
from behave import given, then, when

from primrosepitch.events import BEST_EFFORT_TASKS_WAITING, LASTING_TASKS_WAITING
from primrosepitch.jobs.model import (
    AdviceSpec,
    JobId,
    JobSpec,
    QueueName,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.scheduling.configuration import QueueSpec


@when("{count:d} jobs of {tasks:d} lasting tasks are accepted")
def step_accept_many_lasting(context, count, tasks):
    for number in range(count):
        context.execute_steps(
            f"When job j{number} of {tasks} lasting tasks is accepted"
        )


@then(
    "the log says that lasting tasks wait because of {obstacle}, "
    "with endpoints {reasons}"
)
def step_logged_wait(context, obstacle, reasons):
    check_logged_wait(context, LASTING_TASKS_WAITING, obstacle, reasons)


@then(
    "the log says that best-effort tasks wait because of {obstacle}, "
    "with endpoints {reasons}"
)
def step_logged_best_effort_wait(context, obstacle, reasons):
    check_logged_wait(context, BEST_EFFORT_TASKS_WAITING, obstacle, reasons)


def check_logged_wait(context, event, obstacle, reasons):
    expected = {}
    for part in reasons.split(", "):
        reason, _, count = part.rpartition(" ")
        expected[reason] = int(count)
    fields = context.world.newest_fields.get(event.number)
    assert fields is not None, f"no line {event.name}"
    assert fields["stopped_by"] == obstacle, fields
    assert fields["endpoints"] == expected, fields


@then("{count:d} lines on waits of lasting tasks were logged")
def step_logged_lines(context, count):
    found = context.world.events[LASTING_TASKS_WAITING.number]
    assert found == count, found


@given("queue {name} of the same pool requires none")
def step_plain_queue(context, name):
    queue = QueueSpec(QueueName(name), "h", f"/{name}/", ServiceName("s"))
    context.world.cfg.queues[queue.name] = queue


@when("job {name} of {count:d} lasting tasks is accepted in queue {queue}")
def step_accept_in_queue(context, name, count, queue):
    world = context.world
    spec = JobSpec(
        JobId(name),
        QueueName(queue),
        ServiceName("s"),
        WorkspaceName("w"),
        "p",
        (StepSpec(count, 2000, 512, lasting=True),),
        world.wall_ms,
    )
    world.submit(spec)


@given("every endpoint refuses starts at first")
def step_refuse_first(context):
    for worker in context.world.workers.values():
        worker.unhealthy = True


@when("every endpoint runs its tasks again")
def step_all_sound(context):
    for worker in context.world.workers.values():
        worker.fails_all = False


@when("every endpoint is replaced by a process with the same id")
def step_replace_all(context):
    for worker in context.world.workers.values():
        worker.crash()
        worker.restart()
        context.world.publish_report(worker)


@then("endpoint {name} started at most {count:d} runs")
def step_max_started(context, name, count):
    found = context.world.workers[name].end_count
    assert found <= count, found


@when("endpoint {name} begins to fail its runs")
def step_begins_to_fail(context, name):
    context.world.workers[name].fails_all = True


@given("the platform maintains each instance once in a wave")
def step_upkeep_once(context):
    context.world.upkeep_once = True


@when("node {name} is killed as soon as the first maintenance has begun")
def step_kill_in_wave(context, name):
    world = context.world
    start_maintenance = world._do_startmaintenance

    def start_and_kill(node, order):
        start_maintenance(node, order)
        if node.name == name:
            world.nodes = [other for other in world.nodes if other is not node]
            node.frozen = True

    world._do_startmaintenance = start_and_kill
    world.run(6.0)
    assert world.maintained[1] and not world.nodes, world.maintained


@given("queue q requires placement advice that is valid for {seconds:d} seconds")
def step_lasting_advice(context, seconds):
    queues = context.world.cfg.queues
    advice = AdviceSpec(20, 2, seconds * 1000)
    name = QueueName("q")
    queues[name] = msgspec.structs.replace(queues[name], advice=advice)


@then("at most {count:d} runs were started or refused")
def step_max_numbers(context, count):
    workers = context.world.workers.values()
    found = sum(sum(worker.highest_runs.values()) for worker in workers)
    assert found <= count, found


@given("endpoint {name} does not answer starts")
def step_hanging_starts(context, name):
    context.world.workers[name].hangs_on_start = True


@when("endpoint {name} refuses starts")
def step_refuses_starts(context, name):
    worker = context.world.workers[name]
    worker.hangs_on_start, worker.unhealthy = False, True
