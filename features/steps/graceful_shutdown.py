"""Steps for nodes that run as processes and are stopped while callers use them."""

import asyncio
import contextlib
import itertools
import time

from behave import given, then, when

from primrosepitch.jobs.model import (
    JobId,
    JobSpec,
    QueueName,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.jobs.records import TERM_KEY, Cancellation, Ledger, Term, encode
from standins.node_process import open_store, started_node
from standins.stop_callers import JOB_KEY_PREFIX, Caller, CallRecords

LIMITS = {"memory_mb": 160, "file_descriptors": 1024}
OTHER_SCHEDULER = Term(1, "n0", 1)
RENEWAL_S = 0.25

SCENARIO_S = 40.0
"""Time after which a scenario fails, whatever hangs."""

LEDGER_TOPIC = "keyed.jobs"
SLOW_CALLERS = 12
SLOW_CALLER_INTERVAL_S = 0.1
SENDING_S = 0.8
SENDING_PARTS = 8
SPECIFICATION = "x" * 3000
SHORT_DELAY_S = 0.1
SLOW_STORE_S = 0.3
BUSY_STORE_S = 0.05
STEADY_CALLERS = 8
STEADY_INTERVAL_S = 0.02
LOAD_INTERVAL_S = 0.01
LOAD_S = 1.0


class Play:
    """A node that is stopped, its store, and the requests of its callers."""

    def __init__(self, store, node):
        self.store, self.node = store, node
        self.records = CallRecords(store)
        self.ending = None
        self.term_released_after_s = None

    def connect(self, buffer_bytes=0):
        return Caller.connect(self.node.front, self.records, buffer_bytes)

    async def stop(self):
        """Stop the node and record how it ends."""
        self.records.stopped_at = time.monotonic()
        self.ending = await self.node.shut_down()

    async def stop_and_begin(self):
        """Begin to stop the node; return the task that waits for its end."""
        stop = asyncio.ensure_future(self.stop())
        await self.node.wait_until_logged("process_stopping")
        return stop

    def term(self):
        """Return the term as the records in the store tell it."""
        ledger = Ledger()
        for key, value in self.store.records(LEDGER_TOPIC):
            if key == TERM_KEY:
                ledger.apply(key, value)
        return ledger.term


@contextlib.asynccontextmanager
async def _in_background(work):
    task = asyncio.ensure_future(work)
    try:
        yield
    finally:
        task.cancel()


async def _renew_term(store):
    """Hold the term as another node does."""
    while True:
        store.write(LEDGER_TOPIC, *encode(OTHER_SCHEDULER))
        await asyncio.sleep(RENEWAL_S)


async def _submit_and_cancel(store):
    """Submit and cancel jobs through other nodes, so that there are ends to commit.

    The jobs arrive faster than a scheduler reads, and it reads faster than it commits.
    """
    for number in itertools.count():
        job = JobId(f"ff{number:014x}")
        spec = JobSpec(
            job=job,
            queue=QueueName("r"),
            service=ServiceName("press"),
            workspace=WorkspaceName(""),
            payload="",
            steps=(StepSpec(1),),
            accepted_ms=round(time.time() * 1000),
        )
        store.write(LEDGER_TOPIC, *encode(spec))
        store.write(LEDGER_TOPIC, *encode(Cancellation(job, spec.accepted_ms)))
        await asyncio.sleep(LOAD_INTERVAL_S)


def _run(context, act):
    async def play():
        async with contextlib.AsyncExitStack() as stack:
            store = await stack.enter_async_context(open_store())
            if not context.holds_term:
                await stack.enter_async_context(_in_background(_renew_term(store)))
            node = await stack.enter_async_context(
                started_node(store, LIMITS, grace_s=context.grace_s)
            )
            assert await node.answers(), "the node doesn't become ready"
            if context.holds_term:
                await node.wait_until_logged("term_taken")
            context.play = Play(store, node)
            await act(context.play)
            await store.wait_until_settled()
            context.log = node.log()

    asyncio.run(asyncio.wait_for(play(), SCENARIO_S))


@given("a node {role}, with a grace period of {grace_s:g} s")
def step_node(context, role, grace_s):
    context.holds_term = {"beside the scheduler": False, "that holds the term": True}[
        role
    ]
    context.grace_s = grace_s


# Requests that arrive slowly, and ahead


async def _submit_slowly(play):
    call = play.records.submission(SPECIFICATION)
    async with play.connect() as caller:
        if await caller.send_slowly(call, SENDING_PARTS, SENDING_S):
            await caller.read_answer(call)


async def _stop_slow_callers(play):
    callers = []
    for _ in range(SLOW_CALLERS):
        callers.append(asyncio.ensure_future(_submit_slowly(play)))
        await asyncio.sleep(SLOW_CALLER_INTERVAL_S)
    await asyncio.gather(play.stop(), *callers)


@when("it is stopped while callers take 0.8 s each to send a submission")
def step_slow_callers(context):
    _run(context, _stop_slow_callers)


async def _read_answers(caller, calls):
    for call in calls:
        await caller.read_answer(call)


async def _send_ahead_before(play):
    play.store.append_delay_s[play.node.name] = SLOW_STORE_S
    async with play.connect() as first, play.connect() as second:
        sent = []
        for caller, count in ((first, 2), (second, 5)):
            submission = play.records.submission()
            calls = [submission, *_requests(play, submission.job, count - 1)]
            await caller.send(*calls)
            sent.append((caller, calls))
        # The store's answer is due after the stop, and so is that to the first request.
        first_job = sent[0][1][0].job
        await play.store.wait_until_received(JOB_KEY_PREFIX + first_job)
        answers = [_read_answers(caller, calls) for caller, calls in sent]
        await asyncio.gather(play.stop(), *answers)


def _requests(play, job, count):
    """Return requests whose answers differ from those to their neighbours."""
    records = play.records
    kinds = (lambda: records.state_request(job), records.waiting_request)
    return [kinds[number % 2]() for number in range(count)]


async def _send_ahead_after(play):
    async with play.connect() as first, play.connect() as second:
        begun = []
        for caller, count in ((first, 2), (second, 5)):
            submission = play.records.submission()
            await caller.exchange(submission)
            # The connection isn't idle: a part of this request has arrived.
            partial = play.records.waiting_request(b"{}")
            await caller.write(partial.data[:-1])
            calls = [partial, *_requests(play, submission.job, count - 1)]
            begun.append((caller, calls))
        stop = await play.stop_and_begin()
        await asyncio.sleep(SHORT_DELAY_S)
        for caller, calls in begun:
            rest = b"".join(call.data for call in calls[1:])
            await caller.send_rest(calls[0].data[-1:] + rest, *calls)
            await _read_answers(caller, calls)
        await stop


@when(
    "2 and 5 requests are sent ahead on one connection each just {moment} it is stopped"
)
def step_sent_ahead(context, moment):
    _run(context, {"before": _send_ahead_before, "after": _send_ahead_after}[moment])


# Kept-alive connections


async def _use_kept_alive(play):
    async with contextlib.AsyncExitStack() as stack:
        callers = [
            await stack.enter_async_context(play.connect())
            for _ in range(STEADY_CALLERS)
        ]
        for caller in callers:
            await caller.exchange(play.records.submission())
        play.store.append_delay_s[play.node.name] = SLOW_STORE_S
        under_way = play.records.submission()
        await callers[0].send(under_way)
        await play.store.wait_until_received(JOB_KEY_PREFIX + under_way.job)
        stop = await play.stop_and_begin()
        await asyncio.sleep(SHORT_DELAY_S)
        calls = [play.records.submission() for _ in callers[1:]]
        for caller, call in zip(callers[1:], calls, strict=True):
            await caller.send(call)
        answers = [
            caller.read_answer(call)
            for caller, call in zip(callers, [under_way, *calls], strict=True)
            if call.sent_at
        ]
        await asyncio.gather(stop, *answers)


@when("it is stopped, and kept-alive connections are used 0.1 s later")
def step_kept_alive(context):
    _run(context, _use_kept_alive)


# Requests until the end


def _next_request(play, number):
    """Return a submission and a state request by turns."""
    if number % 2:
        return play.records.waiting_request()
    return play.records.submission()


async def _call_steadily(play, keep_alive):
    """Send requests until the node ends, on one connection while it is kept alive."""
    number = 0
    while play.node.alive:
        with contextlib.suppress(OSError):
            async with play.connect() as caller:
                while play.node.alive and not caller.closed:
                    number += 1
                    if not await caller.exchange(_next_request(play, number)):
                        break
                    await asyncio.sleep(STEADY_INTERVAL_S)
                    if not keep_alive:
                        break
        await asyncio.sleep(STEADY_INTERVAL_S)


async def _stop_steady_callers(play):
    play.store.append_delay_s[play.node.name] = BUSY_STORE_S
    callers = [
        asyncio.ensure_future(_call_steadily(play, bool(number % 2)))
        for number in range(STEADY_CALLERS)
    ]
    async with _in_background(_submit_and_cancel(play.store)):
        await asyncio.sleep(LOAD_S)
        await asyncio.gather(play.stop(), *callers)


@when("it is stopped, and requests keep arriving until it ends")
def step_steady_callers(context):
    _run(context, _stop_steady_callers)


# The term


async def _watch_term(play):
    while play.term().holder:
        await asyncio.sleep(STEADY_INTERVAL_S)
    play.term_released_after_s = time.monotonic() - play.records.stopped_at


async def _stop_loaded_scheduler(play):
    play.store.append_delay_s[play.node.name] = BUSY_STORE_S
    async with _in_background(_submit_and_cancel(play.store)):
        await asyncio.sleep(LOAD_S)
        stop = asyncio.ensure_future(play.stop())
        watch = asyncio.ensure_future(_watch_term(play))
        await stop
        await play.store.wait_until_settled()
    await asyncio.wait([watch], timeout=2 * STEADY_INTERVAL_S)
    watch.cancel()


@when("it is stopped while jobs are submitted and cancelled through other nodes")
def step_loaded_scheduler(context):
    _run(context, _stop_loaded_scheduler)


@then("the term is released within {seconds:g} s")
def step_released(context, seconds):
    after_s = context.play.term_released_after_s
    reasons = [
        line for line in context.log if line["event"] in ("term_lost", "task_failed")
    ]
    assert after_s is not None, f"the term was not released: {reasons}"
    assert after_s <= seconds, f"the term was released after {after_s:.2f} s"


# Outcomes


@then("every request is answered")
def step_all_answered(context):
    records = context.play.records
    missing = records.unanswered()
    lines = "\n".join(missing)
    assert not missing, f"{len(missing)} of {len(records.calls)} not:\n{lines}"


@then("no answer is lost or untrue")
def step_truthful(context):
    records = context.play.records
    for found, what in ((records.lost(), "lost"), (records.untrue(), "untrue")):
        lines = "\n".join(found)
        assert not found, f"{len(found)} of {len(records.calls)} {what}:\n{lines}"


@then("the process ends by itself in time")
def step_ended(context):
    ending = context.play.ending
    assert ending.exit_code == 0, f"exit code {ending.exit_code}"
    assert ending.took_s < context.grace_s, f"it took {ending.took_s:.2f} s"
    assert context.log[-1]["event"] == "process_stopped", context.log[-1]
