"""Steps for claims whose responses are lost, and for leases after a takeover."""

import asyncio
import contextlib
import itertools
import random
from math import inf

import msgspec
from behave import given, then, when

from primrosepitch import clock
from primrosepitch.jobs.model import (
    EndpointId,
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
    Progress,
    TaskRecord,
    Term,
    encode,
)
from primrosepitch.jobs.store import (
    Fence,
    KeyedRecord,
    StoreUnavailableError,
    StoreUnknownError,
)
from primrosepitch.node.fenced_log import FencedLog
from primrosepitch.node.follower import LedgerFollower
from primrosepitch.node.scheduler import SchedulerRunner
from primrosepitch.node.term import (
    CLAIM_RECONNECTED_SILENCE_S,
    TermObservation,
    claim_delay_s,
)
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import Configuration
from primrosepitch.scheduling.effects import Commit, MoveInstance, StepDown
from primrosepitch.scheduling.leases import may_grant_leases, takeover_wait_s
from primrosepitch.scheduling.reducer import step
from primrosepitch.scheduling.state import Limits, SchedulerState
from standins.memory_platform import (
    MemoryPartition,
    MemoryPlatform,
    QueuedPartition,
    SequencedPartition,
    find_no_node,
    run_virtually,
)

ROUNDING_S = 1e-6


def build_runner(platform, catch_up_operators=None):
    """Return a scheduler of node a that follows the ledger of a platform."""
    follower = LedgerFollower(platform.ledger, lambda record: None)
    follower.loaded = True
    return SchedulerRunner(
        "a",
        platform,
        follower,
        Limits(),
        random.Random(1),
        1.0,
        lambda: True,
        find_no_node,
        catch_up_operators=catch_up_operators,
    )


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
        getattr(context, "limits", Limits()),
        random.Random(1),
        1.0,
        lambda: True,
        find_no_node,
    )
    context.follower.loaded = True
    asyncio.run(context.follower.catch_up())
    context.heartbeat_at = runner._heartbeat_at = clock.monotonic() - age


@given("an earlier process of node a that has claimed the term after it and ended")
def step_earlier_process(context):
    runner, ledger = context.runner, context.platform.ledger
    ledger.records.append(KeyedRecord(*encode(Term(2, "a", 6))))
    asyncio.run(context.follower.catch_up())
    # The earlier process claimed once the scheduler had been silent for this time, and
    # this process read the ledger after its end.
    runner._heartbeat_at = context.heartbeat_at + CLAIM_RECONNECTED_SILENCE_S


@when("node a loses its term and claims the next one")
def step_claim_again(context):
    context.runner._step_down(StepDown("an endpoint has a higher fencing token"))
    asyncio.run(context.runner._claim())
    assert context.runner.leading


@given("a lasting job that runs, whose record node a has missed")
def step_missed_job(context):
    job = JobId("1" * 16)
    spec = JobSpec(
        job,
        QueueName("q"),
        ServiceName("s"),
        WorkspaceName("w"),
        "",
        (StepSpec(1, lasting=True),),
        0,
    )
    runs = Progress(job, [TaskRecord(0, 0, 0, 1, EndpointId("e1"), 1)])
    platform, follower = context.platform, context.follower
    platform.ledger.records.append(KeyedRecord(*encode(spec)))
    platform.runs.records.append(KeyedRecord(*encode(runs)))
    follower.offset = len(platform.ledger.records)
    assert job not in follower.ledger.jobs


@then("node a schedules the job")
def step_schedules_job(context):
    jobs = context.runner.state.jobs
    assert list(jobs) == ["1" * 16], jobs


@when("node a claims the next term without a response")
def step_claim_unanswered(context):
    context.platform.ledger.loses_responses = True
    asyncio.run(context.runner._claim())
    asyncio.run(context.follower.catch_up())
    assert context.follower.ledger.term.holder == "a"
    context.platform.ledger.loses_responses = False


@when("node a claims the term after it")
@when("node a claims the next term")
def step_claim(context):
    asyncio.run(context.runner._claim())
    assert context.runner.leading


@then("a replaces no run of {name:w} before its grants and leases have expired")
def step_takeover_wait(context, name):
    wait_s = context.runner.state.prior_leases_until - context.heartbeat_at
    assert wait_s > takeover_wait_s(Limits()) - ROUNDING_S, wait_s


@when("{name:w} releases its term")
def step_release(context, name):
    released = Term(1, "", context.follower.ledger.term.nonce)
    context.platform.ledger.records.append(KeyedRecord(*encode(released)))
    asyncio.run(context.follower.catch_up())
    context.released_at = clock.monotonic()


@then("node a claims the next term after its claim delay")
def step_claims_after_delay(context):
    delay_s = claim_delay_s(1.0, 1.0)
    for elapsed_s, claims in ((0.9 * delay_s, False), (1.1 * delay_s, True)):
        now = context.released_at + elapsed_s
        observation = TermObservation(
            "a",
            context.follower.ledger.term,
            context.runner._heartbeat_at,
            connected_at=now - 60,
            read_at=now,
            latency_s=0.0,
            append_s=0.0,
            jitter_s=delay_s,
            configured_at=now - 60,
        )
        assert observation.should_claim(now) is claims, elapsed_s


UNREAD_RECORDS = {
    "a claim of c": Term(2, "c", 6),
    "a heartbeat of b": Term(1, "b", 5),
    "a release of b": Term(1, "", 5),
}


@given("{record} is in the ledger, unread by node a")
def step_unread(context, record):
    if record in UNREAD_RECORDS:
        term = UNREAD_RECORDS[record]
        context.platform.ledger.records.append(KeyedRecord(*encode(term)))


@when("node a finds that it should claim")
def step_finds_claim_due(context):
    asyncio.run(context.runner._claim())


@then("the ledger has {count:d} claims of node a")
def step_claim_count(context, count):
    records = context.platform.ledger.records
    terms = [msgspec.msgpack.decode(r.value, type=Term) for r in records]
    claims = {t.number for t in terms if t.holder == "a"}
    assert len(claims) == count, terms


HOLDERS = {"nobody": ""}


@given("a ledger in which {holder:w} holds term {number:d} with nonce {nonce:d}")
def step_ledger(context, holder, number, nonce):
    context.ledger = Ledger()
    context.ledger.apply(*encode(Term(number, holder, nonce)))


@when("the ledger gets term {number:d} of {holder:w} with nonce {nonce:d}")
@when(
    "the ledger gets the renewal of term {number:d} of {holder:w} "
    "with nonce {nonce:d} again"
)
def step_term_record(context, number, holder, nonce):
    term = Term(number, HOLDERS.get(holder, holder), nonce)
    context.ledger.apply(*encode(term))


@then("the term in the ledger is {number:d}, {holder:w} and nonce {nonce:d}")
def step_term_in_ledger(context, number, holder, nonce):
    expected = Term(number, HOLDERS.get(holder, holder), nonce)
    assert context.ledger.term == expected, context.ledger.term


class SlowInstances(MemoryPlatform):
    """Platform whose instance service answers late; records the order of events."""

    def __init__(self, ledger, answer_s):
        super().__init__(ledger)
        self.answer_s = answer_s
        self.history = []

    async def move_instance(self, order):
        self.history.append("sent")
        await asyncio.sleep(self.answer_s)
        self.history.append("answered")
        return ev.Outcome.DONE


async def claim_while_paused(context, seconds):
    """Pause a node between the answer to its claim and the start of its term."""
    loop = asyncio.get_running_loop()
    ledger = MemoryPartition()
    platform = MemoryPlatform(ledger)
    context.runner = build_runner(platform)
    read_newest = platform.runs.read_newest

    async def read_late(deadline):
        await asyncio.sleep(seconds)
        return await read_newest(deadline)

    platform.runs.read_newest = read_late
    with loop.as_clock():
        await context.runner._claim()
        assert context.runner.leading
        context.now = clock.monotonic()


@given("a node that is paused for {seconds:g} s after the store has taken its claim")
def step_paused_claim(context, seconds):
    run_virtually(claim_while_paused(context, seconds))


@then("it {may_order} instances, and it {may_grant} leases, before its first commit")
def step_permissions(context, may_order, may_grant):
    state = context.runner.state
    step(state, ev.Tick(context.now + 0.02, 0))
    assert state.term_confirmed is (may_order == "may order"), state.confirmed_at
    assert may_grant_leases(state) is (may_grant == "may grant"), state.confirmed_at


@then("after its first commit it may do both")
def step_permissions_after_commit(context):
    state = context.runner.state
    step(state, ev.Committed(state.committing, context.now + 0.03))
    assert state.term_confirmed
    assert may_grant_leases(state)


async def stop_with_open_order(context, answer_s, fails=False):
    """Stop a scheduler with one order under way and one that waits for its turn.

    :param fails: whether an unexpected exception ends its term before
    """
    loop = asyncio.get_running_loop()
    ledger = MemoryPartition()
    platform = context.platform = SlowInstances(ledger, answer_s)
    runner = build_runner(platform)
    with loop.as_clock():
        await runner._claim()
        assert runner.leading
        runner._move_slots = asyncio.Semaphore(1)
        for instance in ("m1", "m2"):
            order = MoveInstance(
                instance, ServiceName("pressing"), runner.state.term, inf
            )
            runner._move_instance(order)
        await asyncio.sleep(0.1)
        append = ledger.append

        async def append_and_record(records, deadline, fence=None):
            platform.history.append("released")
            return await append(records, deadline, fence)

        ledger.append = append_and_record
        await runner._follower.catch_up()
        if fails:
            runner._handle_failure("test", ValueError("unexpected"))
        await runner.release_term()
        await asyncio.sleep(5.0)


@given("a scheduler a whose order to move an instance is not answered for {answer:g} s")
def step_open_order(context, answer):
    context.answer_s = answer


@when("a is stopped gracefully")
def step_stop_gracefully(context):
    run_virtually(stop_with_open_order(context, context.answer_s))


@when("a ends its term after an unexpected exception and is stopped gracefully")
def step_stop_after_failure(context):
    run_virtually(stop_with_open_order(context, context.answer_s, fails=True))


@given("the partition of runs can't be claimed")
def step_runs_refuse(context):
    async def refuse(records, deadline, fence=None):
        raise StoreUnavailableError("refused")

    context.platform.runs.append = refuse


@when("node a claims the next term, and is stopped gracefully")
def step_claim_and_stop(context):
    async def claim_and_stop():
        await context.runner._claim()
        assert not context.runner.leading
        await context.runner.release_term()

    asyncio.run(claim_and_stop())


@then("the ledger has no release of the term")
def step_no_release(context):
    term = newest_term(context.platform.ledger)
    assert term.holder == "a", term


@then("the release is written after the answer")
def step_release_after_answer(context):
    history = context.platform.history
    assert history.index("answered") < history.index("released"), history


@then("no order is sent after the release")
def step_no_order_after_release(context):
    history = context.platform.history
    assert "sent" not in history[history.index("released") :], history
    assert history.count("sent") == 1, history


def spec_of(job):
    return JobSpec(
        job,
        QueueName("q"),
        ServiceName("s"),
        WorkspaceName("w"),
        "",
        (StepSpec(1),),
        0,
    )


async def submit_and_cancel(runner):
    """Submit and cancel jobs, so that each commit has records."""
    for number in itertools.count():
        job = JobId(f"{number:016x}")
        runner.handle_record(spec_of(job))
        runner.handle_record(Cancellation(job, 0))
        await asyncio.sleep(0.01)


async def stop_under_load(context, append_s, after_s, left_s):
    loop = asyncio.get_running_loop()
    ledger = context.ledger = SequencedPartition(append_s)
    runner = build_runner(MemoryPlatform(ledger))
    with loop.as_clock():
        await runner._claim()
        assert runner.leading
        load = asyncio.ensure_future(submit_and_cancel(runner))
        run = asyncio.ensure_future(runner.run())
        await asyncio.sleep(after_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left_s):
                await runner.release_term()
        for task in (load, run):
            task.cancel()


@given(
    "a scheduler a whose appends take {append:g} s, and jobs that arrive every 0.01 s"
)
def step_loaded_scheduler(context, append):
    context.append_s = append


@when("a is stopped gracefully after {after:g} s, with {left:g} s for it")
def step_stop_loaded(context, after, left):
    run_virtually(stop_under_load(context, context.append_s, after, left))


def newest_term(ledger):
    found = Ledger()
    for key, value in ledger.records:
        found.apply(key, value)
    return found.term


@then("the newest record of the term is its release")
def step_released(context):
    term = newest_term(context.ledger)
    assert term.number == 1 and not term.holder, term


@given("a scheduler's log in which the answer to an append is lost {times:d} times")
def step_lost_answer(context, times):
    context.lost = times


async def append_release(context):
    store = context.ledger = SequencedPartition()
    claim = KeyedRecord(*encode(Term(1, "a", 5)))
    await store.append([claim], clock.monotonic() + 1, Fence(1, 7))
    log = FencedLog(store, Fence(1, 7))
    store.loses_responses = True
    with contextlib.suppress(StoreUnknownError):
        await log.append([KeyedRecord("x", b"x")])
    lost = 1

    async def answer_after(records, deadline, fence):
        nonlocal lost
        if lost < context.lost:
            lost += 1
            raise StoreUnknownError("no response")
        return await append(records, deadline, fence)

    store.loses_responses = False
    append, store.append = store.append, answer_after
    await log.append_valid([KeyedRecord(*encode(Term(1, "", 5)))], lambda: True)


@when("the release of the term is appended to it")
def step_append_release(context):
    asyncio.run(append_release(context))


@then("the store has both, in this order")
def step_both_stored(context):
    assert [record.key for record in context.ledger.records[1:]] == ["x", TERM_KEY]
    assert not newest_term(context.ledger).holder


async def stop_while_claiming(context, delay_s, stopped_s):
    loop = asyncio.get_running_loop()
    ledger = context.ledger = SequencedPartition(delay_s)
    runner = build_runner(MemoryPlatform(ledger))
    runner._cfg = Configuration(version=1)
    with loop.as_clock():
        runner._follower.connected_at = runner._follower.read_at = clock.monotonic()
        follower = asyncio.ensure_future(runner._follower.run())
        run = asyncio.ensure_future(runner.run())
        while not ledger.appends_begun:
            await asyncio.sleep(0.01)
        await asyncio.sleep(stopped_s)
        await runner.release_term()
        for task in (follower, run):
            task.cancel()
        await asyncio.sleep(5.0)


@given("a node a whose claim the store carries out after {delay:g} s")
def step_slow_claim(context, delay):
    context.delay_s = delay


@when("a is stopped gracefully {stopped:g} s after the claim")
def step_stop_claimer(context, stopped):
    run_virtually(stop_while_claiming(context, context.delay_s, stopped))


@then("no record says that a holds the newest term")
def step_not_held(context):
    term = newest_term(context.ledger)
    assert term.holder != "a", term


async def stop_at_slow_store(context, answer_s, left_s):
    loop = asyncio.get_running_loop()
    ledger = context.ledger = SequencedPartition()
    runner = build_runner(MemoryPlatform(ledger))
    with loop.as_clock():
        await runner._claim()
        follower = asyncio.ensure_future(runner._follower.run())
        ledger.append_s = answer_s
        began_at = clock.monotonic()
        await runner.release_term(began_at + left_s)
        context.took_s = clock.monotonic() - began_at
        follower.cancel()


@given("a scheduler a whose store answers after {answer:g} s from now on")
def step_store_slows(context, answer):
    context.answer_s = answer


@when("a is stopped gracefully with {left:g} s for it")
def step_stop_at_slow_store(context, left):
    run_virtually(stop_at_slow_store(context, context.answer_s, left))


@then("its stop takes at most {most:g} s")
def step_stop_took(context, most):
    assert not newest_term(context.ledger).holder
    assert context.took_s <= most, context.took_s


@given("a node a that has claimed no term")
def step_no_claim(context):
    context.ledger = SequencedPartition()


@when("a is stopped gracefully before its first claim")
def step_stop_unclaimed(context):
    runner = build_runner(MemoryPlatform(context.ledger))
    asyncio.run(runner.release_term())


@then("the store has no record of a term")
def step_nothing_appended(context):
    assert not context.ledger.appends_begun


@given("a scheduler whose queue waits have changed")
def step_waits_changed(context):
    context.state = SchedulerState(node="a", limits=Limits())
    taken = ev.TermTaken(10.0, 10.0, 1, {}, {}, 10.0, {}, {}, 10.0)
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


@given("a scheduler of {cores:g} cores, and a node of {larger:g} cores that {answers}")
def step_sizes(context, cores, larger, answers):
    context.cores, context.larger = cores, larger
    context.answers = answers == "answers"
    context.prior_orders_s = 0.0


@given("orders of an earlier scheduler that expire in {seconds:g} s")
def step_prior_orders(context, seconds):
    context.prior_orders_s = seconds


async def schedule_beside_larger(context, seconds):
    loop = asyncio.get_running_loop()
    sizes = {"a": context.cores, "b": context.larger}
    nodes = [NodeAddress(name, f"{name}:1", size) for name, size in sizes.items()]
    ledger = MemoryPartition([KeyedRecord(*encode(node)) for node in nodes])
    follower = context.follower = LedgerFollower(ledger, lambda record: None)
    follower.loaded = True

    async def find_larger_node():
        await asyncio.sleep(0.1)
        return "b" if context.answers else ""

    runner = context.runner = SchedulerRunner(
        "a",
        MemoryPlatform(ledger),
        follower,
        Limits(),
        random.Random(1),
        context.cores,
        lambda: True,
        find_larger_node,
    )
    with loop.as_clock():
        await runner._claim()
        assert runner.leading
        runner.state.prior_orders_until = clock.monotonic() + context.prior_orders_s
        running = asyncio.ensure_future(runner.run())
        await asyncio.sleep(seconds)
        context.leading = runner.leading
        running.cancel()
        await follower.catch_up()


@when("{seconds:g} s have passed with the scheduler")
def step_schedule(context, seconds):
    run_virtually(schedule_beside_larger(context, seconds))


@then("the term was released once")
def step_released(context):
    assert not context.leading
    term = context.follower.ledger.term
    assert (term.number, term.holder) == (1, ""), term


@then("the term is held by the first")
def step_still_held(context):
    assert context.leading
    term = context.follower.ledger.term
    assert (term.number, term.holder) == (1, "a"), term


@given("a store in which a claim waits for {seconds:g} s")
def step_queued_claims(context, seconds):
    context.wait_s = seconds


@when("node a claims the next term there")
def step_claim_queued(context):
    async def body():
        loop = asyncio.get_running_loop()
        runner = build_runner(MemoryPlatform(QueuedPartition(context.wait_s)))
        with loop.as_clock():
            began = loop.time()
            await runner._claim()
            context.took_s = loop.time() - began
            context.leading = runner.leading

    run_virtually(body())


@then("it schedules after at most {seconds:g} s")
def step_schedules_by(context, seconds):
    assert context.leading
    assert context.took_s <= seconds, context.took_s


@when("node c claims the next term there, and node a watches it")
def step_watch_claim(context):
    async def body():
        loop = asyncio.get_running_loop()
        ledger = QueuedPartition(context.wait_s)
        with loop.as_clock():
            runner = build_runner(MemoryPlatform(ledger))
            runner.configure(Configuration(version=1))
            claim = KeyedRecord(*encode(Term(1, "c", 7)))
            asyncio.ensure_future(ledger.append([claim], inf, Fence(1, 5)))
            await asyncio.sleep(0.01)
            ledger.appends = 0
            parts = [runner.run(), runner._follower.run()]
            running = [asyncio.ensure_future(part) for part in parts]
            await asyncio.sleep(context.wait_s)
            for task in running:
                task.cancel()
            context.appends = ledger.appends

    run_virtually(body())


@then("node a has claimed at most twice in 3 s")
def step_few_claims(context):
    assert 1 <= context.appends <= 2, context.appends
