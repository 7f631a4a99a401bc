"""Steps for endpoints with more ends of runs than they list at a time."""

import asyncio
import json

from behave import then, when
from steps.scheduler_rules import submit_job

from features.scripted_client import platform_client
from primrosepitch.jobs.model import EndpointId, StepSpec
from primrosepitch.scheduling import effects as ef


def submit_small_tasks(context, count, estimate_ms, tasks_per_job, **options):
    for number, first in enumerate(range(0, count, tasks_per_job)):
        tasks = min(tasks_per_job, count - first)
        step = StepSpec(tasks, cpu=1, memory=4, estimate_ms=estimate_ms, **options)
        submit_job(context, f"j{number}", [step])


@when(
    "{count:d} small tasks of {estimate_ms:d} ms are accepted, "
    "in jobs of up to {tasks:d}"
)
def step_accept_small(context, count, estimate_ms, tasks):
    submit_small_tasks(context, count, estimate_ms, tasks)


@when(
    "{count:d} small checkpointing tasks of {estimate_ms:d} ms are accepted, "
    "in jobs of up to {tasks:d}"
)
def step_accept_checkpointing(context, count, estimate_ms, tasks):
    submit_small_tasks(context, count, estimate_ms, tasks, checkpoints=True)


@then("every run that is not the first of its task resumes from a checkpoint")
def step_all_resumed(context):
    workers = context.world.workers.values()
    repeated = [r for w in workers for r in w.runs.values() if r.run > 1]
    assert len(repeated) > 500, len(repeated)
    from_begin = [r.task for r in repeated if not r.resumed_s]
    assert not from_begin, (len(from_begin), len(repeated))


@when("a worker answers a poll with {count:d} ends")
def step_answer_with_ends(context, count):
    task = "0123456789abcdef.0.0"
    rows = [[n, f"{task}.{n}", 1, "done", ""] for n in range(1, count + 1)]
    lists = {"clock_ms": 1, "running": [], "ended": rows, "born": 1_700_000_000_000}
    order = ef.PollEndpoint(EndpointId("w1"), "a:1", 0, 0, 0, 0, 1)
    client = platform_client(json.dumps(lists).encode())
    context.answer = asyncio.run(client.poll_endpoint(order))


@then("the answer counts as {kind:w}")
def step_answer_kind(context, kind):
    assert context.answer.lists_all_ends == (kind == "complete"), context.answer
