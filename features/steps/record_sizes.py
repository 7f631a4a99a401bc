"""Steps for the size of the records that the scheduler writes to the store."""

import random

import msgspec
from behave import given, then
from steps.scheduler_rules import make_world, submit_job

from primrosepitch.jobs.model import JobId, StepSpec
from primrosepitch.scheduling import commits
from standins.scheduler_faults import FAULTS, FaultDay


def limit_records(context, size):
    context.world.limits = msgspec.structs.replace(
        context.world.limits, record_bytes=size
    )
    context.world.take_term("a")


@given(
    "a scheduler with {count:d} endpoints whose store takes records of {size:d} bytes"
)
def step_small_records(context, count, size):
    make_world(context, count)
    limit_records(context, size)


@given("commits of at most {size:d} bytes, and one record")
def step_small_commits(context, size):
    normal = commits.MAX_APPEND_BYTES
    commits.MAX_APPEND_BYTES = size
    context.add_cleanup(setattr, commits, "MAX_APPEND_BYTES", normal)


@given("checkpoints have {length:d} characters")
def step_long_checkpoints(context, length):
    context.world.checkpoint_length = length


@given(
    "random faults of seed {seed:d} around jobs of up to {tasks:d} tasks, "
    "with records of up to {size:d} bytes"
)
def step_random_jobs(context, seed, tasks, size):
    make_world(context, 6, seed)
    limit_records(context, size)
    world = context.world
    rng = random.Random(seed)
    world.failure_rate = rng.choice([0.0, 0.1, 0.5])
    world.checkpoint_length = rng.choice([0, 100, 2000])
    for number in range(6):
        steps = [draw_step(rng, tasks)]
        if rng.random() < 0.5:
            later = draw_step(rng, tasks // 4)
            steps.append(msgspec.structs.replace(later, after=(0,)))
        submit_job(context, f"j{number}", steps, attempts=rng.choice([1, 4, 100]))
    faults = FaultDay(world, seed)
    faults.schedule(rng.choice([4, 10]), FAULTS)
    for at in (5.0, 14.0):
        world.call_later(at, lambda name=f"n{at}": world.take_term(name))
    world.run(faults.ends_at - world.now + 10.0)


def draw_step(rng, tasks):
    kind = rng.choice(["short", "short", "checkpoints", "lasting", "gang"])
    return StepSpec(
        rng.randint(1, tasks // 8 if kind == "gang" else tasks),
        cpu=20,
        memory=8,
        estimate_ms=rng.choice([200, 1000, 4000]),
        checkpoints=kind == "checkpoints",
        lasting=kind == "lasting",
        gang=kind == "gang",
    )


@then("every task of {job} has failed at least {count:d} times")
def step_failures(context, job, count):
    failed = {k.number: n for k, n in context.world.failed_runs.items() if k.job == job}
    tasks = context.world.specs[JobId(job)].steps[0].tasks
    assert len(failed) == tasks and min(failed.values()) >= count, failed


@then("no append was larger than {size:d} bytes")
def step_largest_append(context, size):
    assert context.world.largest_append <= size, context.world.largest_append


@then("the store refused no record")
def step_none_refused(context):
    assert not context.world.refused_records, context.world.refused_records
