"""Steps for following the operators' records."""

import asyncio

import msgspec
from adapter.directory import ChangeFeed, decode_operator_record
from behave import given, then, when

from primrosepitch import clock
from primrosepitch.jobs.store import Batch, KeyedRecord, StoreUnavailableError
from primrosepitch.node.compacted_reader import MAX_READ_GAP_S


def version_record(number):
    return KeyedRecord("config", msgspec.json.encode({"version": number}))


class CountingPartition:
    """Keyed partition that counts the records read from it."""

    def __init__(self):
        self.records = [version_record(1)]
        self.read_records = 0
        self.newest_fails = False
        self.max_batch_records = 1000

    async def read(self, offset, wait_s, deadline):
        rest = self.records[offset : offset + self.max_batch_records]
        self.read_records += len(rest)
        return Batch(rest, offset + len(rest), len(self.records))

    async def read_newest(self, deadline):
        if self.newest_fails:
            raise StoreUnavailableError("503")
        self.read_records += 1
        return Batch([self.records[-1]], len(self.records), len(self.records))


@given("a change feed that was read 3 s ago, and 40 versions since")
def step_behind(context):
    assert MAX_READ_GAP_S < 3
    partition = context.partition = CountingPartition()
    context.feed = ChangeFeed(partition, decode_operator_record)
    asyncio.run(context.feed.changes(0.0))
    context.feed._reader._read_at = clock.monotonic() - 3
    partition.records += [version_record(number) for number in range(2, 42)]
    partition.read_records = 0


@given("a change feed that was read just now, and 40 versions since, 2 in each read")
def step_slow_reader(context):
    step_behind(context)
    context.feed._reader._read_at = clock.monotonic()
    context.partition.max_batch_records = 2


@given("the newest records can't be read")
def step_newest_fails(context):
    context.partition.newest_fails = True


@when("its changes are requested")
def step_changes(context):
    context.changes = asyncio.run(context.feed.changes(0.0))


@then("{count:d} records were read from the store")
def step_records_read(context, count):
    assert context.partition.read_records == count, context.partition.read_records


@then("the newest version is among the changes")
def step_newest_included(context):
    assert [change.version for change in context.changes] == [41], context.changes
