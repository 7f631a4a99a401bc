"""Steps about claims whose answers are lost."""

import asyncio
import random

from behave import given, then, when

from primrosepitch import clock
from primrosepitch.jobs.records import Term, encode
from primrosepitch.jobs.store import (
    AppendOutcome,
    Batch,
    KeyedRecord,
    StoreUnknownError,
)
from primrosepitch.node.follower import LedgerFollower
from primrosepitch.node.scheduler import SchedulerRunner
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.effects import Commit
from primrosepitch.scheduling.leases import takeover_wait_s
from primrosepitch.scheduling.reducer import step
from primrosepitch.scheduling.state import Limits, SchedulerState

ROUNDING_S = 1e-6


class Partition:
    """Keyed partition in memory that may lose the answer to an append."""

    def __init__(self, records=()):
        self.records = list(records)
        self.loses = False

    async def append(self, records, deadline, fence=None):
        offset = len(self.records)
        self.records += records
        if self.loses:
            raise StoreUnknownError("no answer")
        return AppendOutcome(offset, len(self.records))

    async def read(self, offset, wait_s, deadline):
        end = len(self.records)
        return Batch(self.records[offset:], end, end)

    async def newest(self, deadline):
        return await self.read(0, 0.0, deadline)


class Platform:
    """The partitions that a claim needs."""

    def __init__(self, ledger):
        self.ledger = ledger
        self.runs = Partition()

    def open_endpoint_feed(self):
        return self

    async def changes(self, wait_s):
        return []


@given("a scheduler {name:w} whose last sign is {age:g} s old")
def step_scheduler(context, name, age):
    ledger = Partition([KeyedRecord(*encode(Term(1, name, 5)))])
    context.platform = Platform(ledger)
    context.follower = LedgerFollower(
        ledger, lambda record: runner.handle_record(record)
    )
    runner = context.runner = SchedulerRunner(
        "a",
        context.platform,
        context.follower,
        Limits(),
        random.Random(1),
        1.0,
        lambda: True,
    )
    context.follower.loaded = True
    asyncio.run(context.follower.catch_up())
    context.heartbeat_at = runner._heartbeat_at = clock.monotonic() - age


@when("node a claims the next term without an answer")
def step_lost(context):
    context.platform.ledger.loses = True
    asyncio.run(context.runner._claim())
    asyncio.run(context.follower.catch_up())
    assert context.follower.ledger.term.holder == "a"
    context.platform.ledger.loses = False


@when("node a claims the term after it")
def step_claim(context):
    asyncio.run(context.runner._claim())
    assert context.runner.leading


@then("a gives up no run of {name:w} before its grants and leases have lapsed")
def step_quiet(context, name):
    quiet = context.runner.state.prior_leases_until - context.heartbeat_at
    assert quiet > takeover_wait_s(Limits()) - ROUNDING_S, quiet


@given("a scheduler whose waits have changed")
def step_waits(context):
    context.state = SchedulerState(node="a", limits=Limits())
    taken = ev.TermTaken(10.0, 1, {}, {}, 10.0, {})
    step(context.state, taken)
    context.state.waits = {"pressing": 900}


@when("its renewal is due")
def step_renewal(context):
    effects = step(context.state, ev.Tick(11.0, 0))
    context.commit = next(e for e in effects if isinstance(e, Commit))


@then("it commits a sign of life with the waits")
def step_sign(context):
    keys = {record.key for record in context.commit.shared}
    assert keys >= {"backlog", "term"}, keys
