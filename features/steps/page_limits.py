"""Steps for answers, records and calls that exceed a limit of the platform."""

import asyncio
import json

from adapter.store import KeyedPartition
from behave import given, then, when

from primrosepitch import clock
from primrosepitch.jobs.store import Fence, KeyedRecord, StoreRejectedError
from primrosepitch.net.http_messages import HttpRequest
from primrosepitch.net.http_pool import PooledHttpClient
from primrosepitch.node.fenced_log import FencedLog
from standins.log_store import LogStore

TOPIC, PAGE_KB = "limits", 64


def run_with_store(context, work):
    """Run a coroutine function with a partition of the store."""

    async def session():
        await context.store.start("127.0.0.1", 0)
        client = PooledHttpClient()
        address = f"127.0.0.1:{context.store.port}"
        try:
            return await work(KeyedPartition(client, address, TOPIC, 0, PAGE_KB))
        finally:
            client.close()
            await context.store.stop()

    return asyncio.run(session())


def value_of(number, size):
    return f"{number}:".encode().ljust(size, b"x")


@given("a store without records")
def step_empty_store(context):
    context.store = LogStore()


@given("a store with {count:d} keys of {size:d} bytes")
def step_store(context, count, size):
    context.store = LogStore()
    context.written = {f"k{n:05}": value_of(n, size) for n in range(count)}
    for key, value in context.written.items():
        context.store.write(f"keyed.{TOPIC}", key, value)


@when("a node reads all newest records")
def step_read_newest(context):
    async def read(partition):
        return (await partition.read_newest(clock.monotonic() + 5)).records

    context.records = run_with_store(context, read)


@when("a node reads the log from its begin, in reads of {size:d} KB")
def step_read_log(context, size):
    assert size == PAGE_KB

    async def read(partition):
        records, offset, end = [], 0, 1
        while offset < end:
            batch = await partition.read(offset, 0.0, clock.monotonic() + 5)
            records += batch.records
            offset, end = batch.next_offset, batch.end_offset
        return records

    context.records = run_with_store(context, read)


@then("it gets each of them")
def step_all_read(context):
    assert len(context.records) == len(context.written), len(context.records)
    assert dict(context.records) == context.written


@when(
    "a scheduler appends {count:d} records of {size:d} bytes, and {few:d} of 100 bytes"
)
def step_append(context, count, size, few):
    def record(number, size):
        key = f"k{number:05}"
        content_bytes = 1 + len(key)
        return KeyedRecord(key, value_of(number, size - content_bytes))

    large = [record(number, size) for number in range(count)]
    small = [record(number, 100) for number in range(count, count + few)]
    context.written = dict([*large, *small])

    async def append(partition):
        log = FencedLog(partition, Fence(1, 0))
        await partition.append([], clock.monotonic() + 5, Fence(1, 0))
        rejected = await log.append_valid([*large, *small], lambda: True)
        stored = await partition.read_newest(clock.monotonic() + 5)
        return rejected, stored.records

    context.rejected, context.records = run_with_store(context, append)


@then("{count:d} records are rejected, and the store has the others in order")
def step_appended(context, count):
    assert len(context.rejected) == count, context.rejected
    for key in context.rejected:
        del context.written[key]
    assert list(context.records) == list(context.written.items())


@when("a node appends {count:d} records of {size:d} bytes in one call")
def step_append_call(context, count, size):
    records = [KeyedRecord(f"k{n}", value_of(n, size - 3)) for n in range(count)]

    async def append(partition):
        try:
            await partition.append(records, clock.monotonic() + 5)
        except StoreRejectedError:
            return "refuses"
        return "takes"

    context.answer = run_with_store(context, append)


@then("the store {answer:w} them")
def step_call_answer(context, answer):
    assert context.answer == answer, context.answer


@when("a page of newest records is read")
def step_newest_page(context):
    async def read(partition):
        target = f"/log-newest?topic=keyed.{TOPIC}&part=0".encode()
        request = HttpRequest(b"GET", target, [])
        address = f"127.0.0.1:{context.store.port}"
        client = PooledHttpClient()
        response = await client.call(address, request, clock.monotonic() + 5)
        client.close()
        return json.loads(response.body)

    context.page = run_with_store(context, read)


@then("it has {count:d} of them, and there are more")
def step_page(context, count):
    assert len(context.page["items"]) == count, len(context.page["items"])
    assert context.page["has_more"]
