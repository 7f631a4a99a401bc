"""Steps for appends that the store carries out late and never answers."""

import asyncio

from behave import given, then, when

from primrosepitch import clock
from primrosepitch.jobs.model import (
    EndpointId,
    JobId,
    JobSpec,
    JobState,
    QueueName,
    Resources,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.jobs.records import Backlog, Cancellation, Ledger, encode
from primrosepitch.jobs.store import (
    AppendOutcome,
    Batch,
    KeyedRecord,
    StoreUnavailableError,
    StoreUnknownError,
)
from primrosepitch.node.follower import Appender, LedgerFollower
from primrosepitch.node.job_intake import IntakeOutcome, JobIntake
from primrosepitch.scheduling import effects as ef
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.reducer import step
from primrosepitch.scheduling.state import SchedulerState

JOB = JobId("000000000000d00d")

WALL_MS = 1_700_000_000_000

TIMEOUT_S = 0.3


def spec():
    return JobSpec(
        JOB,
        QueueName("q"),
        ServiceName("s"),
        WorkspaceName("w"),
        "p",
        (StepSpec(2, 1000, 64, estimate_ms=500),),
        WALL_MS,
        goal_ms=600,
    )


class LateStore:
    """Partition that carries out the appends of a job late, without any answer."""

    def __init__(self):
        self.records = []
        self.late = []
        self.silent = False
        self.refuses = False

    async def append(self, records, deadline, fence=None):
        await asyncio.sleep(0)
        if self.refuses:
            raise StoreUnavailableError("refused")
        if self.silent:
            raise StoreUnknownError("no response")
        if any(record.key == f"j/{JOB}" for record in records):
            self.late += records
            await asyncio.sleep(0.02)
            raise StoreUnknownError("no response")
        self.records += records
        return AppendOutcome(len(self.records) - len(records), len(self.records))

    def carry_out(self):
        self.records += self.late
        self.late = []

    async def read(self, offset, wait_s, deadline):
        end = len(self.records)
        return Batch(self.records[offset:], end, end)

    async def read_newest(self, deadline):
        newest = {record.key: record for record in self.records}
        end = len(self.records)
        return Batch([newest[key] for key in sorted(newest)], end, end)


class Node:
    """A node's intake, with a ledger of its own."""

    def __init__(self, store):
        self.store = store
        self.follower = LedgerFollower(store, lambda record: None)
        self.follower.loaded = True
        self.intake = JobIntake(self.follower, Appender(store), 262_144)

    async def run(self, work):
        # Each call runs in an event loop of its own.
        appender = Appender(self.store)
        self.intake._appender = appender
        sending = asyncio.ensure_future(appender.run())
        try:
            return await work
        finally:
            sending.cancel()


def submit(node):
    return node.intake.submit(spec(), clock.monotonic() + TIMEOUT_S)


def cancel(node):
    return node.intake.cancel(JOB, clock.monotonic() + TIMEOUT_S)


@given("two nodes and a store that carries out the append of a job late")
def step_nodes(context):
    context.store = LateStore()
    context.nodes = [Node(context.store), Node(context.store)]


@when("the job is submitted at node 1 and gets no answer in time")
def step_submit(context):
    node = context.nodes[0]
    outcome = asyncio.run(node.run(submit(node)))
    assert outcome is IntakeOutcome.UNKNOWN, outcome
    assert context.store.late


@when("it is cancelled at the same node")
def step_cancel_same(context):
    cancel_at(context, context.nodes[0])


@when("it is cancelled at the other node")
def step_cancel_other(context):
    cancel_at(context, context.nodes[1])


@when("it is cancelled after the node has restarted")
def step_cancel_restarted(context):
    context.nodes[0] = Node(context.store)
    cancel_at(context, context.nodes[0])


@when("it is cancelled twice, at both nodes")
def step_cancel_twice(context):
    cancel_at(context, context.nodes[1])
    cancel_at(context, context.nodes[0])


def cancel_at(context, node):
    context.cancelled = asyncio.run(node.run(cancel(node)))


@when("the job is submitted at node 1 and cancelled there before it is answered")
def step_cancel_waiting(context):
    node = context.nodes[0]

    async def both():
        submitting = asyncio.ensure_future(submit(node))
        await asyncio.sleep(0.01)
        context.cancelled = await cancel(node)
        assert await submitting is IntakeOutcome.UNKNOWN

    asyncio.run(node.run(both()))


@when("the store answers no append, and it is cancelled at the same node")
def step_cancel_silent(context):
    context.store.silent = True
    step_cancel_same(context)


ACKNOWLEDGED = (IntakeOutcome.ACCEPTED, IntakeOutcome.NO_SUCH_JOB)


@then("the cancelling is acknowledged")
def step_acknowledged(context):
    assert context.cancelled in ACKNOWLEDGED, context.cancelled


@then("the cancelling is not acknowledged")
def step_not_acknowledged(context):
    assert context.cancelled not in ACKNOWLEDGED, context.cancelled


@when("the store carries out the append")
def step_carry_out(context):
    context.store.carry_out()


def state_at(node):
    found = asyncio.run(node.intake.find(JOB))
    return found if isinstance(found, IntakeOutcome) else found.state


@then("both nodes show the job as cancelled")
def step_both_cancelled(context):
    states = [state_at(node) for node in context.nodes]
    assert states == [JobState.CANCELLED] * 2, states


@then("node {number:d} shows the job as queued")
def step_queued(context, number):
    state = state_at(context.nodes[number - 1])
    assert state is JobState.QUEUED, state


@then("node {number:d} can't tell whether the job exists")
def step_cannot_tell(context, number):
    state = state_at(context.nodes[number - 1])
    assert state is IntakeOutcome.UNAVAILABLE, state


@then("node {number:d} denies that the job exists")
def step_denied(context, number):
    state = state_at(context.nodes[number - 1])
    assert state is IntakeOutcome.NO_SUCH_JOB, state


@then("no scheduler starts it, neither the present one nor a successor")
def step_never_started(context):
    store = context.store
    for records in (store.records, asyncio.run(store.read_newest(0.0)).records):
        ledger = Ledger()
        present = scheduler(ledger)
        for record in records:
            changed = ledger.apply(record.key, record.value)
            if isinstance(changed, JobSpec):
                step(present, ev.JobAccepted(changed))
            elif isinstance(changed, Cancellation):
                step(present, ev.CancelRequested(changed.job))
        for state in (present, scheduler(ledger)):
            assert not starts(state), "the job is started"


def scheduler(ledger):
    """Return a scheduler that has taken the term, with one endpoint."""
    state = SchedulerState(node="a", wall_ms=WALL_MS)
    step(state, ev.TermTaken(1.0, 1.0, 1, ledger.jobs, {}, 1.0, {}, {}, 1.0))
    capacity = Resources(16_000, 32_768, 0)
    report = ev.EndpointReport(
        EndpointId("e"), 1, ServiceName("s"), "e:1", "z", False, capacity, ("k", "r")
    )
    step(state, ev.EndpointReported(report, 1.0))
    polled = ev.EndpointPolled(report.endpoint, 1, 1.0, 1.0, 1, [], [], 0, 1, True)
    step(state, polled)
    return state


def starts(state):
    found = []
    for tick in range(100):
        now = 2.0 + tick * 0.1
        effects = step(state, ev.Tick(now, WALL_MS + round(now * 1000)))
        while effects:
            effect = effects.pop()
            if isinstance(effect, ef.Commit):
                effects += step(state, ev.Committed(effect.number, now))
            elif isinstance(effect, ef.StartRun):
                found.append(effect)
    return found


@when("the job is submitted again at node {number:d} {when}")
def step_again(context, number, when):
    node = context.nodes[number - 1]
    if "read" in when:
        asyncio.run(node.follower.catch_up())
    context.again = asyncio.run(node.run(submit(node)))


@then("that is not accepted, as it never runs")
def step_was_cancelled(context):
    assert context.again is IntakeOutcome.WAS_CANCELLED, context.again


@when("it is repeated at node 1 while it {obstacle}")
def step_again_obstacle(context, obstacle):
    node = context.nodes[0]
    if "refused" in obstacle:
        context.store.refuses = True
    else:
        node.follower.ledger.apply(*encode(Backlog({ServiceName("s"): 60_000})))
        node.follower.backlog_received_at = clock.monotonic()
    context.again = asyncio.run(node.run(submit(node)))


@then("its outcome is unknown")
def step_unknown(context):
    assert context.again is IntakeOutcome.UNKNOWN, context.again


@given("a scheduler that has read the cancelling of an unknown job {how}")
def step_unknown_cancelled(context, how):
    context.ledger = ledger = Ledger()
    record = Cancellation(JOB, WALL_MS + 1000)
    if how == "before its term":
        ledger.apply(*encode(record))
    context.state = scheduler(ledger)
    if how == "during its term":
        ledger.apply(*encode(record))
        step(context.state, ev.Tick(1.1, WALL_MS + 1100))
        step(context.state, ev.CancelRequested(JOB))


@when("{seconds:d} seconds have passed")
def step_passed(context, seconds):
    state = context.state
    for number in range(3):
        now = 2.0 + seconds + number
        effects = step(state, ev.Tick(now, WALL_MS + 1000 + seconds * 1000))
        for effect in effects:
            if isinstance(effect, ef.Commit):
                for key, value in effect.shared:
                    context.ledger.apply(key, value)
                step(state, ev.Committed(effect.number, now))


@then("the ledger {holds} the cancelling")
def step_holds(context, holds):
    assert (JOB in context.ledger.jobs) == (holds == "still has"), holds


@given("a ledger whose newest records are read in the order of their keys")
def step_key_order(context):
    context.store = LateStore()


@when("a scheduler reads the cancelling of a job, and the job after it")
def step_read_in_order(context):
    records = [encode(spec()), encode(Cancellation(JOB, WALL_MS))]
    context.store.records = [KeyedRecord(*record) for record in records]
