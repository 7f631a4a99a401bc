"""Steps for records of operators, read by whole nodes in virtual time."""

import asyncio
import logging
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when
from steps.claims_of_terms import build_runner

from primrosepitch import clock
from primrosepitch.events import OPERATOR_RECORD_UNKNOWN
from primrosepitch.jobs.model import (
    DataCentreName,
    EndpointId,
    JobId,
    JobSpec,
    QueueName,
    Resources,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.jobs.store import Batch, KeyedRecord, StoreUnavailableError
from primrosepitch.metrics import Metrics
from primrosepitch.node.operators import OperatorRecordsFollower
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.leases import start_order
from primrosepitch.scheduling.runs import add_job, place_task
from primrosepitch.scheduling.state import Endpoint, Phase
from standins.memory_platform import (
    MemoryPartition,
    MemoryPlatform,
    run_virtually,
)
from standins.waiting_jobs import all_tasks

LOGGER = logging.getLogger("primrosepitch")
TOPIC = "keyed.op"


class EventCounter(logging.Handler):
    """Counts the log lines of an event by the value of a field."""

    def __init__(self, event, field):
        super().__init__()
        self.event, self.field = event, field
        self.counts = Counter()

    def emit(self, record):
        if getattr(record, "number", 0) == self.event.number:
            self.counts[record.fields[self.field]] += 1


@when("the operator writes the record {key} at {at:g} s")
def step_write(context, key, at):
    unknown = context.unknown = EventCounter(OPERATOR_RECORD_UNKNOWN, "key")
    LOGGER.addHandler(unknown)
    context.add_cleanup(LOGGER.removeHandler, unknown)
    context.world.call_at(at, context.world.store.write, TOPIC, key, b"{}")


@when("the operator deletes the record {key} at {at:g} s")
def step_delete(context, key, at):
    context.world.call_at(at, context.world.store.write, TOPIC, key, b"")


@then("each node has logged and counted {count:d} changes of {key}")
def step_counted(context, count, key):
    programs = context.world.programs.values()
    found = dict(context.unknown.counts)
    assert found == {key: count * len(programs)}, found
    line = f"primrose_operators_unknown {count}\n"
    for program in programs:
        assert line in program._platform._metrics.as_prometheus_text().decode()


@when("the store compacts the operators' records at {at:g} s")
def step_compact(context, at):
    context.world.call_at(at, context.world.store.compact, TOPIC)


@then("{count:d} nodes have the evacuation of {zone} in force")
def step_in_force(context, count, zone):
    programs = context.world.programs.values()
    found = [zone in p.node.scheduler._evacuated for p in programs]
    assert sum(found) == count, found
    leaders = [p.node.scheduler for p in programs if p.node.scheduler.leading]
    assert leaders
    assert all((zone in s.state.evacuated) == bool(count) for s in leaders)


@then("no record was reported as unknown")
def step_none_unknown(context):
    assert not context.unknown.counts, context.unknown.counts


class HeldOrders(MemoryPlatform):
    """Platform whose endpoints answer start orders only when they are released."""

    def __init__(self):
        super().__init__(MemoryPartition())
        self.released = asyncio.Event()
        self.sent = []

    async def start_run(self, order):
        self.sent.append(order.task)
        await self.released.wait()
        return ev.Outcome.DONE

    async def stop_run(self, order):
        return ev.Outcome.DONE


@given("a scheduler whose endpoint in data centre b has {count:d} orders under way")
def step_busy_endpoint(context, count):
    context.under_way = count


@given("{count:d} start orders that wait for their turn")
def step_waiting_orders(context, count):
    context.orders = context.under_way + count


def give_orders(runner, count):
    """Give start orders for durable placements on an endpoint in data centre b."""
    state = runner.state
    state.term, state.now = 1, clock.monotonic()
    state.confirmed_at = state.now
    capacity = Resources(16000, 32768, 0)
    report = ev.EndpointReport(
        EndpointId("e"), 1, ServiceName("s"), "e:1", "b", False, capacity, ()
    )
    endpoint = Endpoint(report, contacted=True, reachable=True)
    state.add_endpoint(endpoint)
    step = StepSpec(count, 1000, 1, estimate_ms=1000)
    names = QueueName("q"), ServiceName("s"), WorkspaceName("w")
    job = add_job(state, JobSpec(JobId("1" * 16), *names, "", (step,), 0))
    for task in all_tasks(state, job):
        place_task(state, task, endpoint, {})
        task.phase = Phase.STARTING
        runner._start_run(start_order(state, task, endpoint))
    return job.tasks()


@when("the evacuation of data centre b reaches the scheduler")
def step_reaches_scheduler(context):
    async def body():
        with asyncio.get_running_loop().as_clock():
            context.platform = HeldOrders()
            runner = build_runner(context.platform)
            context.tasks = give_orders(runner, context.orders)
            await asyncio.sleep(0.1)
            assert len(context.platform.sent) == context.under_way
            change = ev.EvacuationChanged(DataCentreName("b"), active=True)
            runner.set_evacuation(change)
            context.platform.released.set()
            await asyncio.sleep(0.1)

    run_virtually(body())


@when("the orders under way are answered")
def step_answered(context):
    assert context.platform.released.is_set()


@then("{count:d} start orders have been sent")
def step_sent(context, count):
    assert len(context.platform.sent) == count, context.platform.sent


@then("the tasks of the other {count:d} wait")
def step_others_wait(context, count):
    phases = Counter(task.phase for task in context.tasks)
    assert phases[Phase.WAITING] == count, phases


CATCH_UP_S = 0.5


async def claim(context, read, for_s=0.0):
    with asyncio.get_running_loop().as_clock():
        platform = MemoryPlatform(MemoryPartition())

        async def catch_up(deadline):
            await asyncio.sleep(CATCH_UP_S)
            context.appended_before = len(platform.ledger.records)
            if read:
                change = ev.EvacuationChanged(DataCentreName("b"), active=True)
                context.runner.set_evacuation(change)
            return read

        context.platform = platform
        context.runner = build_runner(platform, catch_up)
        started_at = clock.monotonic()
        await context.runner._claim()
        while not context.runner.leading and clock.monotonic() < started_at + for_s:
            await context.runner._claim()
        context.claimed_after_s = clock.monotonic() - started_at


@given("a node without a term whose operators' records are {read}")
def step_node_without_term(context, read):
    context.read = read != "not read"


@when("it claims the next term")
def step_claim(context):
    run_virtually(claim(context, context.read))


@when("it claims the next term again and again for {seconds:g} s")
def step_claim_repeatedly(context, seconds):
    run_virtually(claim(context, context.read, seconds))


@then(
    "it has claimed the term between {least:g} and {most:g} s after the first attempt"
)
def step_claimed_late(context, least, most):
    assert context.runner.leading
    assert least <= context.claimed_after_s <= most, context.claimed_after_s


@then("its claim is {claim}")
def step_claimed(context, claim):
    made = claim != "not made"
    assert context.appended_before == 0
    assert bool(context.platform.ledger.records) == made
    assert context.runner.leading == made
    assert ("b" in context.runner.state.evacuated) == made


class DeafPartition(MemoryPartition):
    """Partition whose waiting reads miss the changes that come meanwhile."""

    answers_reads = True
    answers_end = True

    async def read(self, offset, wait_s, deadline):
        end = len(self.records)
        await asyncio.sleep(0.0 if offset < end else wait_s)
        if not self.answers_reads:
            raise StoreUnavailableError("no answer")
        return Batch(self.records[offset:end], end, end)

    async def read_end_offset(self, deadline):
        if not self.answers_end:
            await asyncio.sleep(deadline - clock.monotonic())
            raise StoreUnavailableError("no answer")
        return len(self.records)


async def catch_up(context):
    store, applied = context.store, []
    relay = SimpleNamespace(store_reachable=True, mark_unreachable=lambda *args: None)
    pool = SimpleNamespace(ranked_peers=list, register_handler=lambda *args: None)
    with asyncio.get_running_loop().as_clock():
        follower = OperatorRecordsFollower(
            store, relay, pool, 1e9, applied.extend, Metrics()
        )
        running = asyncio.ensure_future(follower.run())
        await asyncio.sleep(1.0)
        store.answers_end, store.answers_reads = context.store_answers
        store.records.append(KeyedRecord("evacuate/b", b"{}"))
        started_at = clock.monotonic()
        follower.confirmed_at = started_at - context.confirmed_age_s
        context.done = await follower.catch_up(started_at + 2.0)
        context.applied = bool(applied)
        context.took_s = clock.monotonic() - started_at
        running.cancel()


@given("a store whose reads miss changes for 0.8 s and that {answers}")
def step_deaf_store(context, answers):
    context.store = DeafPartition()
    context.store_answers = (
        answers != "does not answer",
        answers == "answers",
    )


@given("records of operators that were confirmed {seconds:g} s ago")
def step_confirmed(context, seconds):
    context.confirmed_age_s = seconds


@when("a record is written and a node waits 2 s for the newest ones")
def step_catch_up(context):
    run_virtually(catch_up(context))


@then("they are {result} within {seconds:g} s")
def step_caught_up(context, result, seconds):
    assert context.done == (result != "not applied")
    assert context.applied == (result == "applied")
    assert context.took_s <= seconds, context.took_s
