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


def submit_work(context, seconds):
    """Submit jobs for a time that keep every endpoint busy."""
    world = context.world
    count = round(seconds)
    for number in range(count):
        # Two tasks of eight cores on each instance, and each takes 1 s.
        step = StepSpec(2 * context.instances, 8000, 512, estimate_ms=1000)
        job = JobSpec(
            JobId(f"job-{number}"),
            QUEUE,
            POOL,
            WORKSPACE,
            "",
            (step,),
            world.wall_ms,
            max_attempts=3,
            stretch=1.6,
            goal_ms=600,
        )
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
    context.node = world.take_term("a")
    world.run(6.0)
    submit_work(context, 60.0)
    world.run(2.0)


def is_drained(state, endpoint):
    return endpoint in state.endpoints and bool(
        state.endpoints[endpoint].evacuation_reason
    )


@when(
    "maintenance of the others is requested within {due:d} s, at most {most:d} at once"
)
def step_wave(context, due, most):
    world = context.world
    instances = tuple(sorted(world.pool_of)[context.instances // 4 :])
    wave = WaveSpec(1, instances, world.now + due, most)
    world.request_wave(wave)
    context.out = context.complete_at = 0
    while world.now < wave.due:
        world.run(SAMPLE_S)
        in_service = {
            worker.instance
            for worker in world.workers.values()
            if worker.up and not is_drained(context.node.state, worker.id)
        }
        context.out = max(context.out, len(set(instances) - in_service))
        if not context.complete_at and len(set(world.maintained[1])) == len(instances):
            context.complete_at = world.now
    context.due = wave.due


@then("at most {count:d} instances are drained or down at any time")
def step_out_of_service(context, count):
    assert context.out <= count, (context.out, context.complete_at, context.due)


@then("all of them have been maintained {margin:d} s before the due time")
def step_in_time(context, margin):
    assert 0 < context.complete_at <= context.due - margin, context.complete_at
    assert not context.world.violations, context.world.violations
