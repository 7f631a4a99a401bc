"""Steps for load that exceeds what the pools can hold."""

import re

from behave import given, then, when
from steps.scheduler_rules import parse_steps
from typer.testing import CliRunner

from primrosepitch.jobs.model import (
    JobId,
    JobSpec,
    QueueName,
    ServiceName,
    WorkspaceName,
)
from primrosepitch.scheduling.ordering import RANKINGS, ready_steps
from primrosepitch.scheduling.runs import add_job, release_task
from primrosepitch.scheduling.state import Phase, SchedulerState
from standins import contention, model
from standins.patterns import build
from standins.waiting_jobs import all_tasks


@when("pattern {name} is compared for {rankings} with {seeds:d} seeds")
def step_compare(context, name, rankings, seeds):
    arguments = [name, "--compare", rankings, "--seeds", str(seeds)]
    context.result = CliRunner().invoke(model.app, arguments)


@then("the comparison has {seeds:d} seeds and both sides are equal")
def step_sides(context, seeds):
    assert context.result.exit_code == 0, context.result.output
    lines = context.result.output.splitlines()
    assert sum("seed=" in line for line in lines) == seeds, lines
    assert len(lines) == seeds + len(contention.Outcome.__struct_fields__), lines
    for line in lines:
        first, second = re.findall(r"urgency=(\S+)", line)
        assert first == second, line


@then("the comparison exits with 2 and lists the rankings")
def step_unknown_ranking(context):
    assert context.result.exit_code == 2
    assert all(name in context.result.output for name in RANKINGS)


@given("a pattern whose admission refuses each job once")
def step_admission(context):
    context.world = build("turns", 1)
    context.world.admission = lambda world, spec: int(spec.job not in world.refused)


@when("the contended load has been simulated for {seconds:g} s")
def step_simulate(context, seconds):
    context.world.run(seconds)


@then("each refused job was accepted, and its time counts from its first attempt")
def step_came_back(context):
    world = context.world
    back = [s for s in world.specs.values() if not s.lasting]
    assert len(back) > 10
    for spec in back:
        waited = world.accepted_at[spec.job] - world.first_attempt_at[spec.job]
        assert abs(waited - 1.0) < 0.01, waited
    assert contention.outcome(world).refusals >= len(back)


WALL_MS = 1_700_000_000_000


def add(state, name, steps, age_ms, flags):
    returned = age_ms if "returned" in flags else 0
    spec = JobSpec(
        job=JobId(name),
        queue=QueueName("q"),
        service=ServiceName("s"),
        workspace=WorkspaceName("w"),
        payload="",
        steps=tuple(parse_steps(steps)),
        accepted_ms=WALL_MS - age_ms + returned,
        priority=-1 if "urgent" in flags else 0,
        stretch=2.0,
        goal_ms=600,
        first_attempt_ms=WALL_MS - age_ms if returned else 0,
    )
    job = add_job(state, spec)
    job.over_share = "hot" in flags
    if "begun" in flags:
        all_tasks(state, job)
        for task in job.steps[0][0].tasks:
            release_task(state, task, Phase.DONE)


@given("a pool ranked by value whose jobs have a mean work of {steps}")
def step_pool(context, steps):
    context.state = SchedulerState(node="a", ranking="value", wall_ms=WALL_MS)
    for number in range(50):
        add(context.state, f"earlier{number}", steps, 0, "")
    context.state.jobs.clear()


@given("job {name:w} of steps {steps}, {age:d} ms old{flags}")
def step_job(context, name, steps, age, flags):
    add(context.state, name, steps, age, flags)


@given("job {name:w} of steps {steps}, {age:d} ms old")
def step_plain_job(context, name, steps, age):
    add(context.state, name, steps, age, "")


@then("job {first:w} ranks before job {second:w}")
def step_order(context, first, second):
    order = [ready.job.spec.job for ready in ready_steps(context.state)]
    assert order == [first, second], order


@given("a wait is published for the pool")
def step_contended(context):
    context.state.waits[ServiceName("s")] = 2000


@when("pattern {name} with seed {seed:d} has been played under the ranking value")
def step_play(context, name, seed):
    world = build(name, seed, ranking="value")
    model.simulate_world(world)
    context.outcome = contention.outcome(world)


@then("at least {part:g} of the value is earned, and no rule was broken")
def step_earned(context, part):
    assert context.outcome.worth >= part, context.outcome
    assert not context.outcome.broken, context.outcome
