"""Steps for claims whose responses are lost, and for leases after a takeover."""

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


class MemoryPartition:
    """Keyed partition in memory that can lose the response to an append."""

    def __init__(self, records=()):
        self.records = list(records)
        self.loses_responses = False

    async def append(self, records, deadline, fence=None):
        offset = len(self.records)
        self.records += records
        if self.loses_responses:
            raise StoreUnknownError("no response")
        return AppendOutcome(offset, len(self.records))

    async def read(self, offset, wait_s, deadline):
        end = len(self.records)
        return Batch(self.records[offset:], end, end)

    async def read_newest(self, deadline):
        return await self.read(0, 0.0, deadline)


class MemoryPlatform:
    """Platform that has only the partitions a claim uses."""

    def __init__(self, ledger):
        self.ledger = ledger
        self.runs = MemoryPartition()

    def open_endpoint_feed(self):
        return self

    async def changes(self, wait_s):
        return []


@given("a scheduler {name:w} whose last heartbeat is {age:g} s old")
def step_scheduler(context, name, age):
    ledger = MemoryPartition([KeyedRecord(*encode(Term(1, name, 5)))])
    context.platform = MemoryPlatform(ledger)
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


@when("node a claims the next term without a response")
def step_claim_unanswered(context):
    context.platform.ledger.loses_responses = True
    asyncio.run(context.runner._claim())
    asyncio.run(context.follower.catch_up())
    assert context.follower.ledger.term.holder == "a"
    context.platform.ledger.loses_responses = False


@when("node a claims the term after it")
def step_claim(context):
    asyncio.run(context.runner._claim())
    assert context.runner.leading


@then("a replaces no run of {name:w} before its grants and leases have expired")
def step_takeover_wait(context, name):
    wait_s = context.runner.state.prior_leases_until - context.heartbeat_at
    assert wait_s > takeover_wait_s(Limits()) - ROUNDING_S, wait_s


@given("a scheduler whose queue waits have changed")
def step_waits_changed(context):
    context.state = SchedulerState(node="a", limits=Limits())
    taken = ev.TermTaken(10.0, 1, {}, {}, 10.0, {})
    step(context.state, taken)
    context.state.waits = {"pressing": 900}


@when("its renewal is due")
def step_renewal(context):
    effects = step(context.state, ev.Tick(11.0, 0))
    context.commit = next(e for e in effects if isinstance(e, Commit))


@then("it commits a heartbeat with the waits")
def step_heartbeat(context):
    keys = {record.key for record in context.commit.shared}
    assert keys >= {"backlog", "term"}, keys
