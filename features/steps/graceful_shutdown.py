"""Steps for nodes that run as processes and are stopped while callers use them."""

import asyncio
import contextlib
import itertools
import signal
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
from primrosepitch.jobs.records import (
    TERM_KEY,
    Cancellation,
    Ledger,
    NodeAddress,
    Term,
    encode,
)
from standins.log_store import Refusal
from standins.node_process import GRACE_S, open_store, started_node
from standins.stop_callers import JOB_KEY_PREFIX, Caller, CallRecords

LIMITS = {"memory_mb": 160, "file_descriptors": 1024}
ROLES = ("beside the scheduler", "that holds the term", "beside no other")
OTHER_SCHEDULER = Term(1, "n0", 1)
RENEWAL_S = 0.25

SHOWN_CALLS = 12
"""Requests that a failed check describes."""

SCENARIO_S = 40.0
"""Time after which a scenario fails, whatever hangs."""

LEDGER_TOPIC = "keyed.jobs"
SLOW_CALLERS = 12
SLOW_CALLER_INTERVAL_S = 0.1
SENDING_S = 0.8
SENDING_PARTS = 8
SPECIFICATION = "x" * 3000
LONG_SPECIFICATION = "x" * 100_000
SMALL_BUFFER_BYTES = 2048
MANY_REQUESTS = 200
MUCH_BYTES = 40_000
"""Bytes beyond what a node reads ahead, and less than the socket holds."""

SLOW_READ_BYTES = 256
SLOW_READ_PAUSE_S = 0.01
HALF_A_HEAD = 40
"""Bytes of a request up to the middle of a header."""

SHORT_DELAY_S = 0.1
SIGNAL_INTERVAL_S = 0.002
SLOW_STORE_S = 0.3
BUSY_STORE_S = 0.05
SLOW_CLAIM_S = 1.0
STEADY_CALLERS = 8
STEADY_INTERVAL_S = 0.02
LOAD_INTERVAL_S = 0.01
LOAD_S = 1.0


class Play:
    """A node, its store, and the requests of its callers.

    ``stopped`` is the node that is stopped, the same one unless a step names another.
    """

    def __init__(self, store, node):
        self.store, self.node = store, node
        self.records = CallRecords(store)
        self.ending = None
        self.stopped = node
        self.term_released_after_s = None

    def connect(self, buffer_bytes=0):
        return Caller.connect(self.node.front, self.records, buffer_bytes)

    async def stop(self):
        """Stop the node and record how it ends."""
        self.records.stopped_at = time.monotonic()
        self.ending = await self.stopped.shut_down()

    async def begin_stop(self):
        """Begin to stop the node; return the task that waits for its end."""
        stop = asyncio.ensure_future(self.stop())
        await self.stopped.wait_until_logged("process_stopping")
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
    """Start the node of the scenario, and let callers and signals act on it."""

    async def play():
        async with contextlib.AsyncExitStack() as stack:
            store = await stack.enter_async_context(open_store())
            if context.role == "beside the scheduler":
                await stack.enter_async_context(_in_background(_renew_term(store)))
            node = await stack.enter_async_context(
                started_node(store, LIMITS, grace_s=context.grace_s)
            )
            context.play = Play(store, node)
            if context.role != "beside no other":
                assert await node.answers(), "the node doesn't become ready"
            if context.role == "that holds the term":
                await node.wait_until_logged("term_taken")
            await act(context.play)
            await store.wait_until_settled()
            context.log = node.log()

    asyncio.run(asyncio.wait_for(play(), SCENARIO_S))


@given("a node {role}, with a grace period of {grace_s:g} s")
def step_node(context, role, grace_s):
    assert role in ROLES, role
    context.role, context.grace_s = role, grace_s


# Requests that arrive slowly, and ahead


async def _submit_slowly(play):
    call = play.records.submission(SPECIFICATION)
    async with play.connect() as caller:
        if await caller.send_slowly(call, SENDING_PARTS, SENDING_S):
            await caller.read_answer(call)


async def _stop_slow_callers(play, *signals):
    """Stop the node while requests arrive, and send it further signals meanwhile."""
    callers = []
    for _ in range(SLOW_CALLERS):
        callers.append(asyncio.ensure_future(_submit_slowly(play)))
        await asyncio.sleep(SLOW_CALLER_INTERVAL_S)
    stop = await play.begin_stop()
    for number in signals:
        play.node.send_signal(number)
        await asyncio.sleep(SHORT_DELAY_S)
    await asyncio.gather(stop, *callers)


@when("it is stopped while callers take 0.8 s each to send a submission")
def step_slow_callers(context):
    _run(context, _stop_slow_callers)


async def _stop_with_signals(play):
    await _stop_slow_callers(
        play, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM
    )


@when("it is stopped while callers take 0.8 s each, and gets SIGHUP and SIGTERM again")
def step_signals(context):
    _run(context, _stop_with_signals)


async def _send_signals_until_end(play):
    stop = await play.begin_stop()
    for number in itertools.cycle((signal.SIGHUP, signal.SIGTERM)):
        if not play.node.alive:
            break
        play.node.send_signal(number)
        await asyncio.sleep(SIGNAL_INTERVAL_S)
    await stop


@when("it is stopped, and gets SIGHUP and SIGTERM again and again until it ends")
def step_signals_until_end(context):
    _run(context, _send_signals_until_end)


async def _split_heads(play):
    async with contextlib.AsyncExitStack() as stack:
        begun = []
        for size in (1, HALF_A_HEAD):
            caller = await stack.enter_async_context(play.connect())
            call = play.records.submission()
            await caller.write(call.data[:size])
            begun.append((caller, call, size))
        # The node has read these bytes when it has answered a later request.
        last = await stack.enter_async_context(play.connect())
        await last.exchange(play.records.waiting_request())
        stop = await play.begin_stop()
        await asyncio.sleep(SHORT_DELAY_S)
        for caller, call, size in begun:
            if await caller.send_rest(call.data[size:], call):
                await caller.read_answer(call)
    await stop


@when("it is stopped between two parts of the heads of requests")
def step_split_heads(context):
    _run(context, _split_heads)


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
        stop = asyncio.ensure_future(play.stop())
        await asyncio.gather(*(_read_answers(*pair) for pair in sent))
    await stop


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
        stop = await play.begin_stop()
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
        stop = await play.begin_stop()
        await asyncio.sleep(SHORT_DELAY_S)
        calls = [play.records.submission() for _ in callers[1:]]
        for caller, call in zip(callers[1:], calls, strict=True):
            await caller.send(call)
        answers = [
            caller.read_answer(call)
            for caller, call in zip(callers, [under_way, *calls], strict=True)
            if call.sent_at
        ]
        await asyncio.gather(*answers)
    await stop


@when("it is stopped, and kept-alive connections are used 0.1 s later")
def step_kept_alive(context):
    _run(context, _use_kept_alive)


# Idle and unfinished


async def _leave_idle(play):
    async with play.connect() as used, play.connect():
        await used.exchange(play.records.submission())
        await play.stop()


@when("it is stopped while connections are idle")
def step_idle(context):
    _run(context, _leave_idle)


async def _send_for_ever(caller):
    """Send a request byte by byte that has no end."""
    while await caller.write(b"x"):
        await asyncio.sleep(STEADY_INTERVAL_S)


async def _leave_unfinished(play):
    """Leave requests unfinished: one without a further byte, one byte by byte."""
    async with play.connect() as silent, play.connect() as steady:
        calls = [play.records.submission(LONG_SPECIFICATION) for _ in range(2)]
        for caller, call in zip((silent, steady), calls, strict=True):
            await caller.write(call.data[: len(call.data) // 2])
        async with _in_background(_send_for_ever(steady)):
            await asyncio.gather(
                play.stop(),
                silent.read_answer(calls[0]),
                steady.read_answer(calls[1]),
            )
    play.unfinished = calls


@when("it is stopped while callers don't finish their requests")
def step_unfinished(context):
    _run(context, _leave_unfinished)


@then("the unfinished requests are refused with 503")
def step_refused(context):
    play = context.play
    for call in play.unfinished:
        assert call.status == 503, call.describe(play.records.stopped_at)
    assert not play.records.untrue()


# A slow store


async def _submit(play, call):
    async with play.connect() as caller:
        await caller.exchange(call)


async def _wait_for_store(play, delay_s, silent):
    """Stop the node while one append is under way, and others wait for it."""
    play.store.append_delay_s[play.node.name] = delay_s
    calls = [play.records.submission() for _ in range(1 + STEADY_CALLERS)]
    callers = [asyncio.ensure_future(_submit(play, calls[0]))]
    await play.store.wait_until_received(JOB_KEY_PREFIX + calls[0].job)
    callers += [asyncio.ensure_future(_submit(play, call)) for call in calls[1:]]
    # These arrive after the SIGTERM.
    callers += [asyncio.ensure_future(_submit_slowly(play))]
    await asyncio.sleep(SHORT_DELAY_S)
    if silent:
        play.store.silent_appends.add(play.node.name)
    await asyncio.gather(play.stop(), *callers)


@when(
    "it is stopped while requests wait for a store that answers appends after "
    "{delay_s:g} s"
)
def step_slow_store(context, delay_s):
    _run(context, lambda play: _wait_for_store(play, delay_s, silent=False))


@when("it is stopped while requests wait for a store that is silent from then on")
def step_silent_store(context):
    _run(context, lambda play: _wait_for_store(play, SLOW_STORE_S, silent=True))


# Slow readers


async def _read_slowly(caller, calls):
    caller.read_bytes, caller.read_pause_s = SLOW_READ_BYTES, SLOW_READ_PAUSE_S
    await _read_answers(caller, calls)


async def _send_on(caller, calls):
    """Send bytes of another request after the answers, and then read these."""
    async with _in_background(_send_for_ever(caller)):
        await asyncio.sleep(LOAD_S)
        await _read_answers(caller, calls)


async def _read_later(caller, calls):
    """Read when the node has long closed its side with bytes unread."""
    await asyncio.sleep(LOAD_S)
    await _read_answers(caller, calls)


READERS = {
    "reads slowly": (_read_slowly, 0),
    "sends on before it reads": (_send_on, 0),
    "sends much and reads later": (_read_later, MUCH_BYTES),
}


async def _stop_slow_reader(play, read, further_bytes):
    """Stop the node while a submission is under way behind many answers.

    The answers don't fit into the caller's receive buffer.
    """
    play.store.append_delay_s[play.node.name] = SLOW_STORE_S
    async with play.connect(SMALL_BUFFER_BYTES) as caller:
        calls = [play.records.waiting_request() for _ in range(MANY_REQUESTS)]
        calls.append(play.records.submission())
        await caller.send(*calls)
        await play.store.wait_until_received(JOB_KEY_PREFIX + calls[-1].job)
        if further_bytes:
            # More than a node reads ahead: the rest stays in the socket.
            await caller.write(b"GET /" + b"x" * further_bytes)
        stop = await play.begin_stop()
        await read(caller, calls)
    await stop


@when("it is stopped while a caller with a small buffer {behaviour}")
def step_slow_reader(context, behaviour):
    read, further_bytes = READERS[behaviour]
    _run(context, lambda play: _stop_slow_reader(play, read, further_bytes))


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


async def _stop_loaded_scheduler(play, signals):
    play.store.append_delay_s[play.node.name] = BUSY_STORE_S
    async with _in_background(_submit_and_cancel(play.store)):
        await asyncio.sleep(LOAD_S)
        stop = asyncio.ensure_future(play.stop())
        watch = asyncio.ensure_future(_watch_term(play))
        for number in signals:
            await asyncio.sleep(SHORT_DELAY_S)
            if play.node.alive:
                play.node.send_signal(number)
        await stop
        await play.store.wait_until_settled()
    await asyncio.wait([watch], timeout=2 * STEADY_INTERVAL_S)
    watch.cancel()


@when(
    "it is stopped, with {signals} further signals, while jobs are submitted and "
    "cancelled through other nodes"
)
def step_loaded_scheduler(context, signals):
    further = {"no": (), "two": (signal.SIGHUP, signal.SIGTERM)}[signals]
    _run(context, lambda play: _stop_loaded_scheduler(play, further))


async def _stop_claimer(play):
    delays = play.store.append_delay_s
    delays[play.node.name] = SLOW_CLAIM_S
    await play.store.wait_until_received(TERM_KEY)
    delays.clear()
    await play.stop()


@when("it is stopped while the store takes 1 s for its claim of the term")
def step_claimer(context):
    _run(context, _stop_claimer)


@then("it doesn't hold the term")
def step_not_held(context):
    term = context.play.term()
    assert term.holder != context.play.node.name, term


@then("the term is released within {seconds:g} s")
def step_released(context, seconds):
    after_s = context.play.term_released_after_s
    reasons = [
        line for line in context.log if line["event"] in ("term_lost", "task_failed")
    ]
    assert after_s is not None, f"the term was not released: {reasons}"
    assert after_s <= seconds, f"the term was released after {after_s:.2f} s"


# Relayed appends


@given("nodes a and b, of which the store refuses a")
def step_two_nodes(context):
    context.grace_s = GRACE_S


async def _stop_in_relayed_append(context, part):
    async with (
        open_store() as store,
        _in_background(_renew_term(store)),
        started_node(store, LIMITS, "b") as b,
        contextlib.AsyncExitStack() as stack,
    ):
        assert await b.answers(), "node b doesn't become ready"
        # Node a reads this record when it starts.
        store.write(LEDGER_TOPIC, *encode(NodeAddress("b", b.peers)))
        a = await stack.enter_async_context(started_node(store, LIMITS, "a"))
        assert await a.answers(), "node a doesn't become ready"
        play = context.play = Play(store, a)
        play.stopped = {"makes": b, "awaits": a}[part]
        store.refuse("a", Refusal.BUSY)
        await a.wait_until_logged("relay_on")
        async with play.connect() as caller:
            # This append shows that the relay works.
            await caller.exchange(play.records.submission())
            store.append_delay_s["b"] = SLOW_STORE_S
            call = play.records.submission()
            await caller.send(call)
            await store.wait_until_received(JOB_KEY_PREFIX + call.job)
            stop = await play.begin_stop()
            await caller.read_answer(call)
        await stop
        await store.wait_until_settled()
        context.log = play.stopped.log()


@when(
    "the node that {part} an append for a caller of a is stopped, and the store takes "
    "0.3 s"
)
def step_relayed(context, part):
    play = _stop_in_relayed_append(context, part)
    asyncio.run(asyncio.wait_for(play, SCENARIO_S))


@then("the caller of a is told that its submission is accepted")
def step_relayed_answer(context):
    records = context.play.records
    for call in records.calls:
        assert call.status == 200, call.describe(records.stopped_at)


# Outcomes


def _assert_none(found, what, records):
    lines = "\n".join(found[:SHOWN_CALLS])
    assert not found, f"{len(found)} of {len(records.calls)} {what}:\n{lines}"


@then("every request is answered")
def step_all_answered(context):
    records = context.play.records
    _assert_none(records.unanswered(), "unanswered", records)


@then("no answer is lost or untrue")
def step_truthful(context):
    records = context.play.records
    _assert_none(records.lost(), "lost", records)
    _assert_none(records.untrue(), "untrue", records)


@then("the process ends by itself in half of that time")
def step_ended_soon(context):
    step_ended(context)
    took_s = context.play.ending.took_s
    assert took_s < context.grace_s / 2, f"it took {took_s:.2f} s"


@then("the process ends by itself in time")
def step_ended(context):
    ending = context.play.ending
    assert ending.exit_code == 0, f"exit code {ending.exit_code}"
    assert ending.took_s < context.grace_s, f"it took {ending.took_s:.2f} s"
    assert context.log[-1]["event"] == "process_stopped", context.log[-1]
