"""Steps for concurrent reads of the ledger."""

import asyncio
import random

from behave import given, then, when
from steps.intake import spec

from primrosepitch.jobs.model import JobId, JobState
from primrosepitch.jobs.records import JobStatus, encode
from primrosepitch.jobs.store import Batch, KeyedRecord, StoreTruncatedError
from primrosepitch.node.follower import LedgerFollower

PAGE_RECORDS = 5


class DeferredStore:
    """Keyed partition that answers each read when it is told to."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.waiting = []

    def append(self, record):
        self.records.append(KeyedRecord(*encode(record)))

    def forget(self):
        self.first = len(self.records)

    async def turn(self):
        fut = asyncio.get_running_loop().create_future()
        self.waiting.append(fut)
        await fut

    async def answer(self, number):
        self.waiting.pop(number).set_result(None)
        for _ in range(5):
            await asyncio.sleep(0)

    async def read(self, offset, wait_s, deadline):
        await self.turn()
        end = len(self.records)
        if offset < self.first:
            raise StoreTruncatedError(self.first)
        records = self.records[offset : offset + PAGE_RECORDS]
        return Batch(records, offset + len(records), end)

    async def read_newest(self, deadline):
        await self.turn()
        newest = dict(self.records)
        end = len(self.records)
        records = [KeyedRecord(key, newest[key]) for key in sorted(newest)]
        return Batch(records, end, end)


def new_follower():
    store = DeferredStore()
    follower = LedgerFollower(store, lambda record: None)
    follower.loaded = True
    return store, follower


def job_id(number):
    """Return an id that sorts before those of earlier jobs."""
    return JobId(f"{0xFFFF - number:016x}")


def accept(store, number):
    store.append(spec(job_id(number)))


def known(follower):
    jobs = follower.ledger.jobs.items()
    return {int(job, 16): entry.state for job, entry in jobs if entry.spec is not None}


async def read_to_end(store, follower):
    reading = asyncio.ensure_future(follower.catch_up())
    while not reading.done():
        await asyncio.sleep(0)
        while store.waiting:
            await store.answer(0)


def run(context, work):
    return context.loop.run_until_complete(work)


@given("a ledger of jobs 0 to {last:d}, of which a node has read 0 to {read:d}")
def step_ledger(context, last, read):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.store, context.follower = new_follower()
    for number in range(last + 1):
        if number == read + 1:
            run(context, read_to_end(context.store, context.follower))
        accept(context.store, number)


@given("the store has forgotten its history")
def step_forget(context):
    context.store.forget()


@when("the node begins two reads")
def step_begin_reads(context):
    async def begin():
        context.reads = [
            asyncio.ensure_future(context.follower.catch_up()) for _ in range(2)
        ]
        await asyncio.sleep(0)
        for _ in range(2):
            await context.store.answer(0)

    run(context, begin())
    assert len(context.store.waiting) == 2, context.store.waiting


@when("the {which:w} one is answered")
def step_answer(context, which):
    run(context, context.store.answer(0))


@when("jobs {first:d} to {last:d} are accepted")
def step_accept(context, first, last):
    for number in range(first, last + 1):
        accept(context.store, number)


@then("the node knows all jobs")
def step_knows_all(context):
    run(context, read_to_end(context.store, context.follower))
    jobs = {number for number, _ in expected(context.store)}
    assert set(known(context.follower)) == jobs, known(context.follower)


def expected(store):
    """Return each job of the ledger with its newest state."""
    newest = dict(store.records)
    for key in newest:
        if key.startswith("j/"):
            job = JobId(key[2:])
            status = newest.get(f"s/{job}")
            done = status == encode(JobStatus(job, JobState.COMPLETED))[1]
            running = status == encode(JobStatus(job, JobState.RUNNING))[1]
            state = JobState.RUNNING if running else JobState.QUEUED
            yield int(job, 16), JobState.COMPLETED if done else state


async def play(seed, steps):
    rng = random.Random(seed)
    store, follower = new_follower()
    reads = []
    states = (JobState.RUNNING, JobState.COMPLETED)
    accepted = 0
    for _ in range(steps):
        action = rng.choice(["accept", "accept", "state", "forget", "read", "answer"])
        if action == "accept":
            accept(store, accepted)
            accepted += 1
        elif action == "state" and accepted:
            job = job_id(rng.randrange(accepted))
            store.append(JobStatus(job, rng.choice(states)))
        elif action == "forget":
            store.forget()
        elif action == "read":
            reads.append(asyncio.ensure_future(follower.catch_up()))
            await asyncio.sleep(0)
        elif store.waiting:
            await store.answer(rng.randrange(len(store.waiting)))
    while any(not read.done() for read in reads):
        await asyncio.sleep(0)
        if store.waiting:
            await store.answer(rng.randrange(len(store.waiting)))
    await read_to_end(store, follower)
    return known(follower), dict(expected(store))


@given("generated orders of {steps:d} steps with seeds {first:d} to {last:d}")
def step_generated(context, steps, first, last):
    context.orders = [(seed, steps) for seed in range(first, last + 1)]


@when("each of them is played, and the node has read to the end")
def step_play(context):
    context.outcomes = {order: asyncio.run(play(*order)) for order in context.orders}


@then("the node knows all jobs in their newest state, in each of them")
def step_newest_states(context):
    for order, (found, wanted) in context.outcomes.items():
        assert found == wanted, (order, found, wanted)
