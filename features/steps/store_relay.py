"""Steps for reaching the store through another node."""

import asyncio
import random

from behave import given, then, when

from primrosepitch import clock
from primrosepitch.jobs.store import (
    AppendOutcome,
    Batch,
    Fence,
    KeyedRecord,
    StoreFencedError,
    StoreRejectedError,
    StoreUnavailableError,
    StoreUnknownError,
)
from primrosepitch.metrics import Metrics
from primrosepitch.node.peer_pool import PeerPool
from primrosepitch.node.relay import StoreRelay

RECORD_BYTES = 500_000


class SharedLedger:
    """Records and the highest epoch that the store has seen."""

    def __init__(self):
        self.records = []
        self.epoch = 0


class StoreConnection:
    """Connection of one node to the store, which may refuse it or lose responses."""

    def __init__(self, ledger):
        self.ledger = ledger
        self.refused = self.loses_responses = False
        self.append_s = 0.0

    async def append(self, records, deadline, fence=None):
        await asyncio.sleep(self.append_s)
        if self.refused:
            raise StoreUnavailableError("503")
        if any(len(record.value) > RECORD_BYTES for record in records):
            raise StoreRejectedError("400")
        if fence is not None and fence.epoch < self.ledger.epoch:
            raise StoreFencedError("beaten")
        offset = len(self.ledger.records)
        self.ledger.records += records
        if self.loses_responses:
            raise StoreUnknownError("no response")
        return AppendOutcome(offset, len(self.ledger.records))

    async def read(self, offset, wait_s, deadline):
        if self.refused or self.loses_responses:
            raise StoreUnavailableError("503")
        records = self.ledger.records[offset:]
        end = len(self.ledger.records)
        return Batch(records, end, end)

    async def read_newest(self, deadline):
        return await self.read(0, 0.0, deadline)

    async def read_end_offset(self, deadline):
        return (await self.read(len(self.ledger.records), 0.0, deadline)).end_offset


class Nodes:
    """Nodes a and b, with a relay each, on loopback sockets."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.ledger = SharedLedger()
        self.connections = {name: StoreConnection(self.ledger) for name in "ab"}
        self.pools = {}
        self.relays = {}
        self.stores = {}
        self.addresses = addresses = {}
        for name in "ab":
            pool = self.pools[name] = PeerPool(name, random.Random(1))
            relay = StoreRelay(pool, Metrics())
            pool.set_address_source(lambda: addresses)
            self.stores[name] = relay.wrap(
                "jobs", self.connections[name], self.connections[name]
            )
            port = self.run(pool.listen("127.0.0.1", 0))
            addresses[name] = f"127.0.0.1:{port}"
            self.relays[name] = relay

    def run(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    def stop(self, name):
        self.pools[name].close()
        self.relays[name].close()

    def close(self):
        for name in self.relays:
            self.stop(name)
        self.run(asyncio.sleep(0))
        self.loop.close()


@given("nodes a and b")
def step_nodes(context):
    context.nodes = Nodes()
    context.add_cleanup(context.nodes.close)


@when("the store refuses node {name:w}")
def step_refuse(context, name):
    context.nodes.connections[name].refused = True


@when("the store serves node {name:w}")
def step_serve(context, name):
    context.nodes.connections[name].refused = False


@when("the store's responses to node {name:w} are lost")
def step_lose_responses(context, name):
    context.nodes.connections[name].loses_responses = True


@when("node {name:w} is stopped")
def step_stop(context, name):
    context.nodes.stop(name)
    context.nodes.run(asyncio.sleep(0.05))


@when("the store refuses node a, and answers node b after {seconds:g} s")
def step_slow(context, seconds):
    step_refuse(context, "a")
    context.nodes.connections["b"].append_s = seconds


async def stop_gracefully(nodes, name):
    relay, pool = nodes.relays[name], nodes.pools[name]
    while not relay.serving:
        await asyncio.sleep(0.01)
    relay.stop_serving()
    while relay.serving:
        await asyncio.sleep(0.01)
    relay.close()
    await pool.drain(clock.monotonic() + 1.0)


@when("a appends record x, and b is stopped gracefully meanwhile")
def step_stop_relaying(context):
    stop = context.nodes.loop.create_task(stop_gracefully(context.nodes, "b"))
    append(context, "a", [KeyedRecord("x", b"1")])
    context.nodes.run(stop)


@when("{seconds:g} seconds elapse")
def step_wait(context, seconds):
    context.nodes.run(asyncio.sleep(seconds))


@when("a higher epoch has appended")
def step_epoch(context):
    context.nodes.ledger.epoch = 2


def append(context, name, records, fence=None):
    loop = context.nodes.loop
    store = context.nodes.stores[name]
    context.error = context.outcome = None
    try:
        context.outcome = context.nodes.run(
            store.append(records, loop.time() + 1.0, fence)
        )
    except (StoreUnavailableError, StoreUnknownError, StoreFencedError) as exc:
        context.error = exc


@when("{name:w} appends record {key:w} under epoch {epoch:d}")
def step_append_fenced(context, name, key, epoch):
    append(context, name, [KeyedRecord(key, b"1")], Fence(epoch, 1))


@when("{name:w} appends record {key:w}")
def step_append(context, name, key):
    append(context, name, [KeyedRecord(key, b"1")])


@when("{name:w} appends {count:d} records of {size:d} bytes in one call")
def step_append_large(context, name, count, size):
    records = [KeyedRecord(f"k{n}", b"1" * size) for n in range(count)]
    append(context, name, records)


@when("{name:w} reads from {offset:d}")
def step_read(context, name, offset):
    store = context.nodes.stores[name]
    context.batch = context.nodes.run(store.read(offset, 0.0, 0.0))


@when("{name:w} finds that it can't read")
def step_read_fails(context, name):
    try:
        step_read(context, name, 0)
    except StoreUnavailableError:
        return
    raise AssertionError(f"{name} can read")


@when("{name:w} reads the newest records")
def step_read_newest(context, name):
    context.batch = context.nodes.run(context.nodes.stores[name].read_newest(0.0))


@given("the ledger has record {key:w} of {size:d} KB")
def step_large_record(context, key, size):
    record = KeyedRecord(key, b"1" * size * 1024)
    context.nodes.ledger.records.append(record)


@then("{name:w} gets the offset {offset:d}")
def step_offset(context, name, offset):
    assert context.outcome is not None, context.error
    assert context.outcome.offset == offset, context.outcome


@then("{name:w} reads {key:w}")
def step_reads(context, name, key):
    assert [record.key for record in context.batch.records] == [key], context.batch


@then("the ledger holds {key:w} once")
def step_once(context, key):
    step_times(context, key, 1)


@then("the ledger holds {key:w} {count:d} times")
def step_times(context, key, count):
    found = [r for r in context.nodes.ledger.records if r.key == key]
    assert len(found) == count, found


@then("{name:w} gets an unknown outcome")
def step_unknown(context, name):
    assert isinstance(context.error, StoreUnknownError), context.error


@then("{name:w} gets a refusal")
def step_refused(context, name):
    assert isinstance(context.error, StoreUnavailableError), context.error


@then("{name:w} gets a rejection")
def step_rejected(context, name):
    assert isinstance(context.error, StoreRejectedError), context.error


@then("{name:w} gets the error that its epoch is outdated")
def step_fenced(context, name):
    assert isinstance(context.error, StoreFencedError), context.error


@when("{count:d} more addresses of stopped nodes are known")
def step_stopped_nodes(context, count):
    for number in range(count):
        context.nodes.addresses[f"gone{number}"] = f"127.0.0.{number + 2}:9"


@when("{name:w} appends {count:d} records at once")
def step_append_many(context, name, count):
    store, loop = context.nodes.stores[name], context.nodes.loop

    async def append_all():
        return await asyncio.gather(
            *(
                store.append([KeyedRecord(f"k{n}", b"1")], loop.time() + 1.0)
                for n in range(count)
            ),
            return_exceptions=True,
        )

    context.outcomes = context.nodes.run(append_all())


@then("each of the {count:d} appends is refused or has an unknown outcome")
def step_each_refused_or_unknown(context, count):
    expected_errors = (StoreUnavailableError, StoreUnknownError)
    assert len(context.outcomes) == count
    assert all(isinstance(outcome, expected_errors) for outcome in context.outcomes), (
        context.outcomes
    )
