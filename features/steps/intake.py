"""Steps for the intake of jobs."""

import asyncio
import json
import time
from collections import Counter

from adapter.intake import SETTLE_S, HttpIntake
from behave import given, then, when
from steps.denials import ActiveConfiguration, Connection

from primrosepitch import clock
from primrosepitch.jobs.model import (
    JobId,
    JobSpec,
    QueueName,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.jobs.records import JobEntry, encode
from primrosepitch.jobs.store import (
    AppendOutcome,
    Batch,
    KeyedRecord,
    StoreRejectedError,
    StoreUnavailableError,
    StoreUnknownError,
)
from primrosepitch.metrics import Metrics
from primrosepitch.net.http_messages import HttpRequest
from primrosepitch.net.http_server import Exchange
from primrosepitch.node.follower import Appender, LedgerFollower
from primrosepitch.node.job_intake import IntakeOutcome, JobIntake
from primrosepitch.scheduling.configuration import Configuration, QueueSpec

RECORD_BYTES = 262_144


class FailingStore:
    """Keyed partition in memory whose appends fail as scripted."""

    def __init__(self):
        self.records = []
        self.script = []
        self.refuses = False
        self.rejected_job = None
        self.appends = 0
        self.largest_append_bytes = 0

    async def append(self, records, deadline, fence=None):
        self.appends += 1
        self.largest_append_bytes = max(
            self.largest_append_bytes, sum(len(r.value) for r in records)
        )
        await asyncio.sleep(0)
        if self.refuses:
            raise StoreUnavailableError("refused")
        if any(record.key == f"j/{self.rejected_job}" for record in records):
            raise StoreRejectedError("400")
        answer = self.script.pop(0) if self.script else "answer"
        if answer == "lost":
            self.records += records
            raise StoreUnknownError("no response")
        if answer == "refuse":
            self.script.append("refuse")
            raise StoreUnavailableError("refused")
        self.records += records
        return AppendOutcome(len(self.records) - len(records), len(self.records))

    async def read(self, offset, wait_s, deadline):
        if self.refuses:
            raise StoreUnavailableError("refused")
        end = len(self.records)
        return Batch(self.records[offset:], end, end)

    async def read_newest(self, deadline):
        return Batch(list(self.records), len(self.records), len(self.records))


def spec(job, payload=""):
    return JobSpec(
        job=JobId(job),
        queue=QueueName("q"),
        service=ServiceName("s"),
        workspace=WorkspaceName("w"),
        payload=payload,
        steps=(StepSpec(1),),
        accepted_ms=0,
    )


def run_with_appender(context, operation):
    async def session():
        appending = asyncio.ensure_future(context.appender.run())
        try:
            return await operation()
        finally:
            appending.cancel()

    return asyncio.run(session())


@given("a job intake and a store")
def step_intake(context):
    context.store = FailingStore()
    follower = LedgerFollower(context.store, lambda record: None)
    follower.loaded = True
    context.appender = Appender(context.store)
    context.intake = JobIntake(follower, context.appender, RECORD_BYTES)


@given("the store performs one append without a response, then refuses")
def step_lost_then_refused(context):
    context.store.script = ["lost", "refuse"]


@given("the store responds only to the second append")
def step_only_second_answered(context):
    context.store.script = ["lost"]


@given("the store refuses")
def step_refuses(context):
    context.store.refuses = True


@given("the store rejects an append that has job {job}")
def step_rejects_job(context, job):
    context.store.rejected_job = job


@then("all jobs but {job} are accepted, and that one is invalid")
def step_one_invalid(context, job):
    invalid = int(job.removeprefix("j"))
    replies = Counter(context.replies)
    assert replies[IntakeOutcome.ACCEPTED] == len(context.replies) - 1, replies
    assert context.replies[invalid] is IntakeOutcome.INVALID, replies


@when("a job with a payload of {size:d} bytes is submitted over HTTP")
def step_submit_large(context, size):
    body = {"specification": "x" * size, "steps": [{"count": 1}]}
    headers = [(b"host", b"h"), (b"authorization", b"Bearer right")]
    target = b"/old/" + b"0" * 16
    request = HttpRequest(b"POST", target, headers, json.dumps(body).encode())
    intake = HttpIntake(context.intake, ActiveConfiguration("recent"), Metrics())
    conn = Connection()

    async def answer():
        intake.handle(Exchange(request, conn))
        while intake.busy:
            await asyncio.sleep(0)

    run_with_appender(context, answer)
    context.response = conn.response


@given("the store does not answer")
def step_silent(context):
    async def never_answer(records, deadline, fence=None):
        await asyncio.Event().wait()

    context.store.append = never_answer


def stall_in_iteration(number):
    if number:
        asyncio.get_running_loop().call_soon(stall_in_iteration, number - 1)
    else:
        time.sleep(2 * SETTLE_S)


@when(
    "a job is submitted over HTTP, and the loop stalls in iteration {number:d} of the "
    "end of the process"
)
def step_interrupted(context, number):
    body = json.dumps({"specification": "x", "steps": [{"count": 1}]}).encode()
    headers = [(b"host", b"h"), (b"authorization", b"Bearer right")]
    request = HttpRequest(b"POST", b"/old/" + b"0" * 16, headers, body)
    intake = HttpIntake(context.intake, ActiveConfiguration("recent"), Metrics())
    conn = Connection()

    async def interrupt():
        intake.handle(Exchange(request, conn))
        await asyncio.sleep(SETTLE_S)
        closing = asyncio.ensure_future(intake.close())
        asyncio.get_running_loop().call_soon(stall_in_iteration, number)
        await closing

    run_with_appender(context, interrupt)
    context.response = conn.response


@given("another node has stored job {job}")
def step_stored(context, job):
    context.store.records.append(KeyedRecord(*encode(spec(job))))


@when("job {job} is submitted with a deadline in {seconds:d} seconds")
def step_submit(context, job, seconds):
    deadline = clock.monotonic() + seconds
    context.reply = run_with_appender(
        context, lambda: context.intake.submit(spec(job), deadline)
    )


@when("{count:d} jobs of {size:d} bytes are submitted at once")
def step_submit_many(context, count, size):
    deadline = clock.monotonic() + 5
    specs = [spec(f"j{number}", "x" * size) for number in range(count)]

    async def submit():
        return await asyncio.gather(
            *(context.intake.submit(s, deadline) for s in specs)
        )

    context.replies = run_with_appender(context, submit)


@then("the store has {count:d} jobs")
def step_job_count(context, count):
    assert len(context.store.records) == count, len(context.store.records)


@then("no append took more than {seconds:g} s at {rate:g} Mbit/s")
def step_append_size(context, seconds, rate):
    max_bytes = seconds * rate * 1e6 / 8
    assert context.store.largest_append_bytes <= max_bytes, (
        context.store.largest_append_bytes
    )


@when("job {job} is submitted twice at once")
def step_submit_twice(context, job):
    deadline = clock.monotonic() + 5

    async def both():
        submit = context.intake.submit
        first, second = submit(spec(job), deadline), submit(spec(job), deadline)
        return await asyncio.gather(first, second)

    context.replies = run_with_appender(context, both)


@when("job {job} is looked up")
def step_find(context, job):
    context.found = run_with_appender(context, lambda: context.intake.find(JobId(job)))


@then("the reply is {reply}")
def step_reply(context, reply):
    assert context.reply is IntakeOutcome(reply), context.reply


@then("both replies are accepted")
def step_replies(context):
    assert context.replies == [IntakeOutcome.ACCEPTED, IntakeOutcome.ACCEPTED], (
        context.replies
    )


@then("the store got one append")
def step_one_append(context):
    assert context.store.appends == 1


@then("the store has job {job}")
def step_job_stored(context, job):
    assert [record.key for record in context.store.records] == [f"j/{job}"]


@then("the job is found")
def step_found(context):
    assert isinstance(context.found, JobEntry)


@then("the lookup returns {reply}")
def step_lookup_outcome(context, reply):
    assert context.found is IntakeOutcome(reply), context.found


@given("queues a at h/x/, b at h/x/y/ and c at i/x/y/")
def step_queues(context):
    rows = (("a", "h", "/x/"), ("b", "h", "/x/y/"), ("c", "i", "/x/y/"))
    context.cfg = Configuration(version=1)
    for name, host, prefix in rows:
        queue = QueueSpec(QueueName(name), host, prefix, ServiceName("s"))
        context.cfg.queues[queue.name] = queue


@then("a request for {path} at {host} goes to {name}")
def step_queue(context, path, host, name):
    queue = context.cfg.queue_for(host, path)
    assert (queue.name if queue is not None else "nothing") == name, queue
