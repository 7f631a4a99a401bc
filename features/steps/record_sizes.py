"""Steps for the size of the records that the scheduler writes to the store."""

import asyncio
import random

import msgspec
from behave import given, then, when
from steps.scheduler_rules import completed_jobs, make_world, submit_job

from primrosepitch.jobs.model import JobId, StepSpec
from primrosepitch.jobs.store import (
    AppendOutcome,
    Fence,
    KeyedRecord,
    StoreRejectedError,
)
from primrosepitch.node.fenced_log import FencedLog
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


@given("the store refuses the runs of job {job}")
def step_refused_job(context, job):
    context.world.unstorable_jobs.add(job)


@then("{count:d} jobs are completed")
def step_completed_jobs(context, count):
    found = len(completed_jobs(context))
    assert found == count, found


class PickyPartition:
    """Partition that refuses an append as a whole if it has a certain record."""

    def __init__(self, refused_key):
        self.refused_key = refused_key
        self.keys = []
        self.fences = []

    async def append(self, records, deadline, fence=None):
        if any(record.key == self.refused_key for record in records):
            raise StoreRejectedError("400")
        self.keys += [record.key for record in records]
        self.fences.append(fence)
        return AppendOutcome(0, len(self.keys))


@given("a log of term {term:d} whose store refuses the record {key}")
def step_fenced_log(context, term, key):
    context.partition = PickyPartition(key)
    context.log = FencedLog(context.partition, Fence(term, 7))


@when("records k{first:d} to k{last:d} are appended")
def step_append_records(context, first, last):
    context.keys = [f"k{number}" for number in range(first, last + 1)]
    records = [KeyedRecord(key, b"1") for key in context.keys]
    context.rejected = asyncio.run(context.log.append_valid(records, lambda: True))


@then(
    "the store has all records but {key}, in order and under consecutive numbers",
)
def step_others_stored(context, key):
    partition = context.partition
    assert partition.keys == [k for k in context.keys if k != key], partition.keys
    numbers = range(8, 8 + len(partition.fences))
    assert partition.fences == [Fence(3, n) for n in numbers], partition.fences


@then("{key} is reported as rejected")
def step_reported_rejected(context, key):
    assert context.rejected == [key], context.rejected


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
