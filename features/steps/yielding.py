"""Steps for best-effort tasks that yield to jobs."""

from collections import Counter

from behave import then, when
from steps.scheduler_rules import submit_job

from primrosepitch.jobs.model import JobId, StepSpec
from standins.scheduler_world import objective_ms


@when(
    "{count:d} filling tasks of {memory:d} MB and {seconds:d} s {kept} checkpoints "
    "fill the endpoints"
)
def step_fill(context, count, memory, seconds, kept):
    world = context.world
    context.stops, context.resumed = Counter(), {}
    end = world.run_ended

    def run_ended(worker, run, kind):
        if run.spec.fills:
            context.stops[run.task] += kind.value == "stopped"
        end(worker, run, kind)

    start = world.start_run

    def start_run(worker, order, spec):
        run = start(worker, order, spec)
        if order.run > 1:
            context.resumed[order.task] = run.resumed_s
        return run

    world.run_ended, world.start_run = run_ended, start_run
    checkpoints = kept == "with"
    spec = StepSpec(
        count,
        0,
        memory,
        estimate_ms=seconds * 1000,
        fills=True,
        checkpoints=checkpoints,
    )
    submit_job(context, "fill", [spec])
    world.run(1.0)
    assert sum(len(w.runs) for w in world.workers.values()) == count


@when("{count:d} more filling tasks of {memory:d} MB are accepted")
def step_more_filling(context, count, memory):
    spec = StepSpec(count, 0, memory, estimate_ms=1000, fills=True)
    submit_job(context, "more", [spec])


def accept(context, name, count, memory, seconds):
    submit_job(
        context, name, [StepSpec(count, 1000, memory, estimate_ms=seconds * 1000)]
    )


@when("a job of {count:d} tasks of {memory:d} MB and {seconds:d} s is accepted")
def step_job(context, count, memory, seconds):
    accept(context, "large", count, memory, seconds)


@when(
    "{jobs:d} jobs of {count:d} tasks of {memory:d} MB and {seconds:d} s are accepted, "
    "{apart:d} seconds apart"
)
def step_jobs(context, jobs, count, memory, seconds, apart):
    for number in range(jobs):
        accept(context, f"large{number}", count, memory, seconds)
        context.world.run(apart)


@then("the job met its objective")
def step_in_time(context):
    world, job = context.world, JobId("large")
    took_ms = (world.completed_at[job] - world.accepted_at[job]) * 1000
    assert took_ms <= objective_ms(world.specs[job]), took_ms


@then("{count:d} filling tasks were stopped, and each went on from its checkpoint")
def step_stopped(context, count):
    stopped = [task for task, stops in context.stops.items() if stops]
    assert len(stopped) == count, context.stops
    assert all(context.resumed[task] > 0.5 for task in stopped), context.resumed


@then("each filling task was stopped at most once, and some were")
def step_once(context):
    assert max(context.stops.values()) == 1, context.stops
