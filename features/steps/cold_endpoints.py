"""Steps for endpoints that are slow after their start."""

import msgspec
from adapter.directory import decode_report
from behave import given, then, when

from primrosepitch.jobs.model import (
    JobId,
    JobSpec,
    QueueName,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.jobs.store import KeyedRecord
from primrosepitch.scheduling.warmth import MIN_SHARE

TASK_CPU = 2000
SAMPLE_S = 0.05


def submit(context, name, step, stretch, goal_ms):
    world = context.world
    names = QueueName("q"), ServiceName("s"), WorkspaceName("w")
    times = {"stretch": stretch, "goal_ms": goal_ms, "max_attempts": 3}
    world.submit(JobSpec(JobId(name), *names, "p", (step,), world.wall_ms, **times))


def make_cold(context, name, seconds):
    world = context.world
    worker = world.workers[name]
    worker.cold_until = world.now + seconds
    context.cold_since = world.now
    world.publish_report(worker)


@given("a scheduler with a warm endpoint and one that is cold for {seconds:g} s")
def step_warm_and_cold(context, seconds):
    context.execute_steps("Given a scheduler with 0 endpoints")
    context.world.add_worker("warm", "s", rack="r1")
    context.world.add_worker("cold", "s", rack="r1")
    make_cold(context, "cold", seconds)
    context.world.run(0.3)


@when("the warm endpoint is cold for {seconds:g} s as well")
def step_also_cold(context, seconds):
    make_cold(context, "warm", seconds)


@when("the cold endpoint restarts and is cold for {seconds:g} s")
def step_restart_cold(context, seconds):
    worker = context.world.workers["cold"]
    worker.crash()
    worker.restart()
    make_cold(context, "cold", seconds)


@when(
    "more jobs of tasks of {ms:d} ms than both can take are accepted for {seconds:d} s"
)
def step_overload(context, ms, seconds):
    world = context.world
    context.samples = []
    end = world.now + seconds
    while world.now < end:
        if len(context.samples) % 4 == 0:
            step = StepSpec(20, TASK_CPU, 512, estimate_ms=ms)
            submit(context, f"n{len(context.samples)}", step, 2.0, 600)
        world.run(SAMPLE_S)
        elapsed_s = world.now - context.cold_since
        context.samples.append((elapsed_s, len(world.workers["cold"].runs)))


@then(
    "the cold endpoint never had more tasks than its share, which grows over "
    "{seconds:g} s"
)
def step_within_share(context, seconds):
    most = context.world.workers["cold"].capacity.cpu // TASK_CPU
    for elapsed_s, count in context.samples:
        share = min(1.0, MIN_SHARE + (1 - MIN_SHARE) * elapsed_s / seconds)
        assert count <= max(1, int(share * most + 1e-6)), (elapsed_s, count)
    assert max(count for _, count in context.samples) > 1


@then("it had {count:d} tasks at a time in the end")
def step_full_share(context, count):
    assert max(found for _, found in context.samples[-20:]) == count


@when("job {name} of steps 1x{ms:d} with {slack:d} ms to spare is accepted")
def step_urgent_job(context, name, ms, slack):
    submit(context, name, StepSpec(1, TASK_CPU, 512, estimate_ms=ms), 1.0, slack)


@then("endpoint {name:w} got {count:d} runs")
def step_runs(context, name, count):
    found = len(context.world.workers[name].highest_runs)
    assert found == count, found


@given("a report of an endpoint with cold_remaining_ms {value}")
def step_report(context, value):
    entry = {
        "service": "s",
        "address": "127.0.0.1:1",
        "zone": "hall",
        "state": "ready",
        "capacity": {"cpu": 1},
        "labels": [],
        "born": 1_700_000_000_000,
    }
    if value != "absent":
        entry["cold_remaining_ms"] = int(value)
    context.record = KeyedRecord("w1", msgspec.json.encode(entry))


@then("it is cold for {seconds:g} s after the time of its arrival")
def step_cold_until(context, seconds):
    found = decode_report(context.record, 100.0)
    assert found.cold_until == (100.0 + seconds if seconds else 0.0), found
