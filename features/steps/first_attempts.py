"""Steps for refused callers that come back."""

import asyncio
import json
from unittest import mock

import msgspec
from adapter.submissions import decode_submission
from behave import given, then, when
from msgspec.structs import replace
from steps.backlog import step_published
from steps.intake import RECORD_BYTES, run_with_appender, spec
from steps.scheduler_rules import parse_steps, submit_job

from primrosepitch import clock
from primrosepitch.jobs.model import JobId, JobSpec, ServiceName, WorkspaceName
from primrosepitch.jobs.records import FirstAttempt, encode
from primrosepitch.jobs.store import KeyedRecord, StoreUnavailableError
from primrosepitch.node import first_attempts
from primrosepitch.node.follower import Appender, LedgerFollower
from primrosepitch.node.job_intake import IntakeOutcome, JobIntake, Rejection
from primrosepitch.scheduling.configuration import QueueSpec
from primrosepitch.scheduling.ordering import ready_steps

NOW_MS = 1_700_000_000_000


def make_intake(context, leading=False):
    """Return the intake of another node that has read the store to its end."""
    follower = LedgerFollower(context.store, lambda record: None)
    context.appender = Appender(context.store)
    intake = JobIntake(follower, context.appender, RECORD_BYTES)
    follower._on_record = lambda record: (
        intake.first_attempts.received(record.job)
        if isinstance(record, FirstAttempt)
        else None
    )
    follower.leading = leading
    asyncio.run(follower._load())
    return intake


def submit_at(context, intake, jobs, at_ms):
    async def session():
        writing = asyncio.ensure_future(intake.first_attempts.run())
        deadline = clock.monotonic() + 3
        specs = [replace(spec(job), accepted_ms=at_ms) for job in jobs]
        replies = await asyncio.gather(*(intake.submit(s, deadline) for s in specs))
        await asyncio.sleep(2.5 * first_attempts.WRITE_INTERVAL_S)
        writing.cancel()
        return replies

    return run_with_appender(context, session)


def stored_attempts(context):
    newest = {record.key: record.value for record in context.store.records}
    return [key for key, value in newest.items() if key.startswith("f/") and value]


@when("job {job} is refused {seconds:d} seconds ago")
def step_refused(context, job, seconds):
    (reply,) = submit_at(context, context.intake, [job], NOW_MS - seconds * 1000)
    assert isinstance(reply, Rejection), reply


@when("another node reads the store and refuses job {job}")
def step_refused_again(context, job):
    context.intake = make_intake(context)
    step_published(context, 60)
    (reply,) = submit_at(context, context.intake, [job], NOW_MS - 1000)
    assert isinstance(reply, Rejection), reply


@when("another node reads the store and accepts job {job}")
def step_accepted(context, job):
    intake = make_intake(context)
    intake._follower.ledger.backlog.waits.clear()
    (reply,) = submit_at(context, intake, [job], NOW_MS)
    assert reply is IntakeOutcome.ACCEPTED, reply


def stored_spec(context, job):
    (value,) = [r.value for r in context.store.records if r.key == f"j/{job}"]
    return msgspec.msgpack.decode(value, type=JobSpec)


@then(
    "the spec of {job} has a first attempt of {seconds:d} seconds before its acceptance"
)
def step_first_attempt(context, job, seconds):
    found = stored_spec(context, job)
    assert found.accepted_ms - found.first_attempt_ms == seconds * 1000, found


@then("the spec of {job} has no first attempt")
def step_no_first_attempt(context, job):
    assert stored_spec(context, job).first_attempt_ms == 0


@when("{seconds:d} seconds pass for a node that {schedules}")
def step_pass(context, seconds, schedules):
    intake = make_intake(context, leading=schedules == "schedules")
    later = clock.monotonic() + seconds
    with mock.patch.object(first_attempts.clock, "monotonic", lambda: later):
        expired = intake.first_attempts._expired()
    with mock.patch.object(intake.first_attempts, "_expired", lambda: expired):
        submit_at(context, intake, [], NOW_MS)


@then("the store has {count:d} first attempts")
def step_stored(context, count):
    assert len(stored_attempts(context)) == count, stored_attempts(context)


@given("the store refuses records of first attempts")
def step_refuses(context):
    append = context.store.append

    async def refuse(records, deadline, fence=None):
        if any(record.key.startswith("f/") for record in records):
            raise StoreUnavailableError("refused")
        return await append(records, deadline, fence)

    context.store.append = refuse


@then("{count:d} first attempts were dropped")
def step_dropped(context, count):
    assert context.intake.first_attempts.dropped == count


@when("{count:d} jobs are refused within 1 second")
def step_storm(context, count):
    begun_at = clock.monotonic()

    async def session():
        writing = asyncio.ensure_future(context.intake.first_attempts.run())
        deadline = clock.monotonic() + 3
        for number in range(count):
            reply = await context.intake.submit(spec(f"j{number}"), deadline)
            assert isinstance(reply, Rejection), reply
            await asyncio.sleep(max(0, begun_at + number / count - clock.monotonic()))
        await asyncio.sleep(first_attempts.WRITE_INTERVAL_S)
        writing.cancel()

    run_with_appender(context, session)
    context.count = count


@then("the store has at most {count:d} first attempts, and the others were dropped")
def step_bounded(context, count):
    # The end of the second may fall into one more write.
    stored = len(stored_attempts(context))
    assert 0 < stored <= count + first_attempts.MAX_RECORDS_PER_WRITE, stored
    assert stored + context.intake.first_attempts.dropped == context.count, stored


@given("the store has an unreadable first attempt")
def step_unreadable(context):
    context.store.records.append(KeyedRecord("f/j1", b"\xc1"))


@when("a submission names a first attempt of {at_ms:d}")
def step_forged(context, at_ms):
    body = {"steps": [{"count": 1}], "first_attempt_ms": at_ms, "accepted_ms": at_ms}
    queue = QueueSpec("q", "h", "/q/", ServiceName("s"))
    context.spec = decode_submission(
        json.dumps(body).encode(), JobId("j1"), queue, WorkspaceName("w"), NOW_MS
    )


@then("its spec has no first attempt")
def step_not_forged(context):
    assert context.spec.first_attempt_ms == 0
    assert context.spec.attempted_ms == NOW_MS


@then("a spec stored without a first attempt decodes to the same spec")
def step_earlier_spec(context):
    stored = msgspec.to_builtins(spec("j1"))
    assert "first_attempt_ms" not in stored, stored
    assert msgspec.convert(stored, JobSpec) == spec("j1")
    assert b"first_attempt" not in encode(spec("j1"))[1]


@when("a job accepted after a refusal {seconds:g} seconds ago waits beside one without")
def step_beside(context, seconds):
    world = context.world
    for worker in world.workers.values():
        worker.unhealthy = True
    submit_job(context, "new", parse_steps("4x1000"))
    first_ms = world.wall_ms - round(seconds * 1000)
    world.submit(
        replace(world.specs[JobId("new")], job=JobId("old"), first_attempt_ms=first_ms)
    )


@then("its deadline is {early:d} ms earlier, and it ranks first")
def step_ranks(context, early):
    state = context.world.nodes[-1].state
    jobs = state.jobs
    assert state.term
    ahead = jobs[JobId("new")].deadline_ms - jobs[JobId("old")].deadline_ms
    assert ahead == early, ahead
    assert ready_steps(state)[0].job.spec.job == "old"
