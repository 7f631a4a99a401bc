"""Steps for published waits and the rejections that follow from them."""

import msgspec
from behave import given, then, when
from steps.intake import spec

from primrosepitch import clock
from primrosepitch.jobs.model import ServiceName
from primrosepitch.jobs.records import Backlog, encode
from primrosepitch.jobs.store import KeyedRecord
from primrosepitch.node.job_intake import Rejection
from primrosepitch.scheduling.backlog import retry_after_s


@then("no wait is published")
def step_no_wait(context):
    assert context.world.ledger.backlog.waits == {}, context.world.ledger.backlog


@then("a wait of {least:d} to {most:d} seconds is published")
def step_wait(context, least, most):
    waits = context.world.ledger.backlog.waits
    assert least * 1000 <= waits[ServiceName("s")] <= most * 1000, waits


@given(
    "a job of one step of {chain:d} ms, with an objective of {stretch:d} times that "
    "plus {goal:d} ms"
)
def step_job(context, chain, stretch, goal):
    job = spec("j1")
    step = msgspec.structs.replace(job.steps[0], estimate_ms=chain)
    context.spec = msgspec.structs.replace(
        job, steps=(step,), stretch=float(stretch), goal_ms=goal
    )


@when("the wait is {wait:d} ms")
def step_retry_for_wait(context, wait):
    context.retry_after_s = retry_after_s(context.spec, wait)


@then("its Retry-After is {seconds:d} seconds")
def step_retry_after(context, seconds):
    assert context.retry_after_s == seconds, context.retry_after_s


def store_backlog(context, seconds):
    record = Backlog({ServiceName("s"): seconds * 1000})
    context.store.records.append(KeyedRecord(*encode(record)))


@given("the scheduler publishes a wait of {seconds:d} seconds")
def step_published(context, seconds):
    store_backlog(context, seconds)
    follower = context.intake._follower
    follower.ledger.apply(*context.store.records[-1])
    follower.backlog_received_at = clock.monotonic()


@given("the scheduler published a wait of {seconds:d} seconds {age:d} seconds ago")
def step_published_earlier(context, seconds, age):
    step_published(context, seconds)
    context.intake._follower.backlog_received_at -= age


@then("it is rejected with a Retry-After of {seconds:d} seconds")
def step_rejected(context, seconds):
    wait_ms = context.intake._follower.ledger.backlog.waits[ServiceName("s")]
    expected = Rejection(seconds, ServiceName("s"), wait_ms)
    assert context.reply == expected, context.reply
    keys = [record.key for record in context.store.records]
    assert "j/j1" not in keys, keys


@then('the refusal says "{text}"')
def step_refusal_text(context, text):
    assert context.response.status == 503
    assert (b"retry-after", b"60") in context.response.headers
    assert text in context.response.body.decode(), context.response.body
