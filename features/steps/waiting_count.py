"""Steps for the number of jobs that wait, in virtual time."""

from behave import given, then, when
from steps.scheduler_rules import TASK_MILLICORES, submit_job

from primrosepitch.jobs.model import JobId, JobState, StepSpec
from primrosepitch.scheduling.effects import StartRun
from primrosepitch.scheduling.events import Outcome
from standins.scheduler_world import TICK_INTERVAL_S

ANSWER_S = 0.01
"""Time until a start order is answered."""

STATUS_DELAY_S = 0.4
"""Time in which a job's state is stored: one heartbeat, and one append."""


def steps_of(kind):
    """Return the steps and options of a kind of job."""
    task = StepSpec(1, TASK_MILLICORES, 512, estimate_ms=500)
    several = StepSpec(30, 200, 16, estimate_ms=500)
    kinds = {
        "one task": ([task], {}),
        "30 tasks": ([several], {}),
        "two steps": ([task, StepSpec(1, 500, 16, estimate_ms=500, after=(0,))], {}),
        "lasting tasks": ([StepSpec(2, 500, 16, lasting=True)], {}),
        "best-effort tasks": ([StepSpec(2, 500, 16, estimate_ms=500, fills=True)], {}),
        "a gang": ([StepSpec(3, 500, 16, estimate_ms=500, gang=True)], {}),
        "repeated tasks": ([task], {"repetitions": 3, "interval_ms": 100}),
    }
    return kinds[kind]


@given("starts are answered with {outcome}")
def step_failing_starts(context, outcome):
    world = context.world
    context.send_order = send = world._send_order

    def answer(node, order, take, kind):
        if not isinstance(order, StartRun):
            send(node, order, take, kind)
            return
        term = node.state.term
        event = kind(
            order.task,
            order.run,
            order.endpoint,
            Outcome(outcome),
            world.now + ANSWER_S,
        )
        world.call_later(ANSWER_S, lambda: world._deliver_answer(node, term, event))

    world._send_order = answer


@when("{count:d} jobs of {kind} are accepted for endpoints that fail their starts")
def step_accept(context, count, kind):
    steps, options = steps_of(kind)
    context.jobs = [JobId(f"j{number}") for number in range(count)]
    for name in context.jobs:
        submit_job(context, name, steps, **options)
        context.world.run(0.1)


@when("starts are carried out again")
def step_carried_out(context):
    context.world._send_order = context.send_order


def count_queued(context):
    states = [context.world.state_of(job) for job in context.jobs]
    return states.count(JobState.QUEUED)


@then("{count:d} jobs are queued at any time of {seconds:g} seconds")
def step_queued(context, count, seconds):
    end = context.world.now + seconds
    while context.world.now < end:
        assert count_queued(context) == count, count_queued(context)
        context.world.run(TICK_INTERVAL_S)


@then("{count:d} jobs are queued after {seconds:g} seconds")
def step_queued_after(context, count, seconds):
    context.world.run(seconds + STATUS_DELAY_S)
    assert count_queued(context) == count, count_queued(context)
