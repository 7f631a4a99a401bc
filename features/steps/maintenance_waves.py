"""Steps for maintenance waves over busy instances."""

from behave import given, then, when

from primrosepitch.jobs.model import (
    JobId,
    JobSpec,
    QueueName,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.scheduling.configuration import (
    QueueSpec,
    ServiceSpec,
    WaveSpec,
    WorkspaceSpec,
)
from standins.scheduler_world import SchedulerWorld

POOL = ServiceName("pool")
QUEUE = QueueName("queue")
WORKSPACE = WorkspaceName("workspace")

SAMPLE_S = 0.1


def build_job(world, name, step, goal_ms):
    return JobSpec(
        name,
        QUEUE,
        POOL,
        WORKSPACE,
        "",
        (step,),
        world.wall_ms,
        max_attempts=3,
        stretch=1.6,
        goal_ms=goal_ms,
    )


def submit_work(context, seconds):
    """Submit jobs for a time that keep every endpoint busy."""
    world = context.world
    count = round(seconds)
    for number in range(count):
        # Two tasks of eight cores on each instance, and each takes 1 s.
        step = StepSpec(2 * context.instances, 8000, 512, estimate_ms=1000)
        job = build_job(world, JobId(f"job-{number}"), step, 600)
        world.call_later(float(number), lambda job=job: world.submit(job))


@given("{count:d} busy instances, a quarter of them not in the wave")
def step_busy_instances(context, count):
    context.instances = count
    context.world = world = SchedulerWorld(3)
    world.cfg.queues[QUEUE] = QueueSpec(QUEUE, "h", "/q/", POOL)
    world.cfg.services[POOL] = ServiceSpec(POOL)
    world.cfg.workspaces[WORKSPACE] = WorkspaceSpec(WORKSPACE, weight=1.0)
    for number in range(count):
        world.add_worker(f"i{number}", POOL, f"r{number // 4}")
    world.take_term("a")
    world.run(6.0)
    submit_work(context, 60.0)
    world.run(2.0)


@given("{count:d} jobs of 12 lasting tasks, of which one may be unavailable at a time")
def step_lasting_jobs(context, count):
    world = context.world
    for number in range(count):
        step = StepSpec(
            12, 700, 512, lasting=True, max_unavailable=1, most_per_endpoint=1
        )
        name = JobId(f"lasting-{number}")
        world.submit(build_job(world, name, step, 2500))
    world.run(3.0)


@when(
    "maintenance of the others is requested within {due:d} s, at most {most:d} at once"
)
def step_wave(context, due, most):
    world = context.world
    context.instances_due = tuple(sorted(world.pool_of)[context.instances // 4 :])
    context.due = world.now + due
    world.request_wave(WaveSpec(1, context.instances_due, context.due, most))
    context.complete_at = 0


@when("nobody schedules from {before:d} s before the due time for {seconds:d} s")
def step_nobody_schedules(context, before, seconds):
    world = context.world

    def take():
        world.take_term("b")

    stop_s = context.due - before - world.now
    world.call_later(stop_s, world.nodes.clear)
    world.call_later(stop_s + seconds, take)


@then("all of them have been maintained {margin:d} s before the due time")
def step_in_time(context, margin):
    world, instances = context.world, set(context.instances_due)
    while world.now < context.due:
        world.run(SAMPLE_S)
        if not context.complete_at and set(world.maintained[1]) == instances:
            context.complete_at = world.now
    assert 0 < context.complete_at <= context.due - margin, context.complete_at
    assert not world.violations, world.violations
