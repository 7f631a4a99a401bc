"""Steps for published waits and the rejections that follow from them."""

import msgspec
from behave import given, then, when
from steps.intake import spec

from primrosepitch import clock
from primrosepitch.jobs.model import (
    JobId,
    JobSpec,
    JobState,
    QueueName,
    Resources,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.jobs.records import Backlog, encode
from primrosepitch.jobs.store import KeyedRecord
from primrosepitch.node.job_intake import Rejection
from primrosepitch.scheduling.backlog import retry_after_s
from primrosepitch.scheduling.configuration import WorkspaceSpec


@then("no wait is published")
def step_no_wait(context):
    assert context.world.ledger.backlog == Backlog({}), context.world.ledger.backlog


@then("a wait of {least:d} to {most:d} seconds is published")
def step_wait(context, least, most):
    waits = context.world.ledger.backlog.waits
    assert least * 1000 <= waits[ServiceName("s")] <= most * 1000, waits


@then("no wait is published for the pool")
def step_no_pool_wait(context):
    assert context.world.ledger.backlog.waits == {}, context.world.ledger.backlog


@then(
    "a wait of {least:d} to {most:d} seconds is published for workspace {workspace:w}"
)
def step_workspace_wait(context, least, most, workspace):
    limited = context.world.ledger.backlog.limited
    found = limited.get(WorkspaceName(workspace), 0)
    assert least * 1000 <= found <= most * 1000, limited


@given("the limit of workspace {workspace:w} is {amount:d} {unit:w}")
def step_workspace_limit(context, workspace, amount, unit):
    limit = Resources(amount * 1000) if unit == "cores" else Resources(0, amount)
    name = WorkspaceName(workspace)
    context.world.cfg.workspaces[name] = WorkspaceSpec(name, 100.0, limit)


@when(
    "workspace {workspace:w} submits {count:d} tasks of {cores:d} core and "
    "{seconds:d} s"
)
@when(
    "workspace {workspace:w} submits {count:d} tasks of {cores:d} cores and "
    "{seconds:d} s"
)
def step_workspace_submits(context, workspace, count, cores, seconds):
    task = StepSpec(count, cores * 1000, 512, estimate_ms=seconds * 1000)
    job = JobSpec(
        JobId(f"job-{workspace}"),
        QueueName("q"),
        ServiceName("s"),
        WorkspaceName(workspace),
        "p",
        (task,),
        context.world.wall_ms,
        stretch=2.0,
        goal_ms=600,
    )
    context.world.submit(job)


@then("all jobs of workspace {workspace:w} are completed")
def step_workspace_completed(context, workspace):
    world = context.world
    jobs = [job for job, s in world.specs.items() if s.workspace == workspace]
    states = {world.state_of(job) for job in jobs}
    assert states == {JobState.COMPLETED}, states


@then("node {name:w} is still the scheduler")
def step_still_scheduler(context, name):
    (node,) = [node for node in context.world.nodes if node.name == name]
    assert node.state.term


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


def store_backlog(context, record):
    context.store.records.append(KeyedRecord(*encode(record)))


@given("the scheduler publishes a wait of {seconds:d} seconds")
def step_published(context, seconds):
    publish(context, Backlog({ServiceName("s"): seconds * 1000}))


@given(
    "the scheduler publishes a wait of {seconds:d} seconds for workspace {workspace:w}"
)
def step_published_for_workspace(context, seconds, workspace):
    publish(context, Backlog({}, {WorkspaceName(workspace): seconds * 1000}))


def publish(context, record):
    store_backlog(context, record)
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
    check_rejected(context, Rejection(seconds, ServiceName("s"), wait_ms))


@then("it is rejected with a Retry-After of {seconds:d} seconds for its workspace")
def step_rejected_for_workspace(context, seconds):
    workspace = WorkspaceName("w")
    wait_ms = context.intake._follower.ledger.backlog.limited[workspace]
    expected = Rejection(seconds, ServiceName("s"), wait_ms, workspace)
    check_rejected(context, expected)


def check_rejected(context, expected):
    assert context.reply == expected, context.reply
    keys = [record.key for record in context.store.records]
    assert "j/j1" not in keys, keys


@then('the refusal says "{text}"')
def step_refusal_text(context, text):
    assert context.response.status == 503
    assert (b"retry-after", b"60") in context.response.headers
    assert text in context.response.body.decode(), context.response.body
