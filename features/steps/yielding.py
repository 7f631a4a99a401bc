"""Steps for best-effort tasks that yield to jobs."""

from collections import Counter

from behave import then, when
from steps.scheduler_rules import submit_job

from primrosepitch.jobs.model import (
    AdviceSpec,
    JobId,
    JobSpec,
    QueueName,
    Resources,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.jobs.records import RunCrash
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import (
    QueueSpec,
    WorkspaceSpec,
)
from standins.scheduler_world import objective_ms
from standins.waiting_jobs import all_tasks

HOT = WorkspaceName("hot")


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


WAITING = {}
"""Functions that let work wait in the pool, by its description."""


def waiting_work(name):
    def register(function):
        WAITING[name] = function
        return function

    return register


@when("{waiting} wait in the pool")
def step_waiting(context, waiting):
    WAITING[waiting](context.world)
    context.world.run(1.0)
    state = context.world.nodes[0].state
    hot = [j for j in state.jobs.values() if j.spec.workspace == HOT]
    assert any(not task.placed for job in hot for task in all_tasks(state, job))


def submit_hot(world, name, *steps, queue="q"):
    spec = JobSpec(
        JobId(name),
        QueueName(queue),
        ServiceName("s"),
        HOT,
        "p",
        steps,
        world.wall_ms,
        max_attempts=4,
        stretch=2.0,
        goal_ms=600,
    )
    world.submit(spec)


def limit_hot(world, cpu=0, memory=0):
    world.cfg.workspaces[HOT] = WorkspaceSpec(HOT, 100.0, Resources(cpu, memory, 0))
    for node in world.nodes:
        node.feed(ev.ConfigurationChanged(world.cfg))


@waiting_work("lasting tasks beyond their limit")
def lasting_beyond_limit(world):
    limit_hot(world, cpu=12 * 1300)
    submit_hot(world, "hot", StepSpec(45, 1300, 4300, lasting=True))


@waiting_work("lasting tasks without any share of limit")
def lasting_without_limit(world):
    limit_hot(world, cpu=1000)
    submit_hot(world, "hot", StepSpec(5, 1300, 4300, lasting=True))


@waiting_work("spread lasting tasks beyond their limit")
def spread_beyond_limit(world):
    limit_hot(world, cpu=12 * 1300)
    step = StepSpec(5, 1300, 4300, lasting=True, most_per_endpoint=1)
    for number in range(9):
        submit_hot(world, f"hot{number}", step)


@waiting_work("large lasting tasks beyond their memory limit")
def large_beyond_limit(world):
    limit_hot(world, memory=24_000)
    submit_hot(world, "hot", StepSpec(30, 100, 12_000, lasting=True))


@waiting_work("many single-task jobs beyond their limit")
def single_tasks_beyond_limit(world):
    limit_hot(world, cpu=2600)
    for number in range(40):
        submit_hot(world, f"hot{number}", StepSpec(1, 1300, 4300, lasting=True))


@waiting_work("tasks in time beyond their limit")
def in_time_beyond_limit(world):
    limit_hot(world, cpu=12 * 1300)
    submit_hot(world, "hot", StepSpec(45, 1300, 4300, estimate_ms=60_000))


@waiting_work("a gang beyond its limit")
def gang_beyond_limit(world):
    limit_hot(world, cpu=39 * 1300)
    submit_hot(world, "hot", StepSpec(40, 1300, 4300, estimate_ms=60_000, gang=True))


@waiting_work("a gang larger than the pool")
def gang_too_large(world):
    submit_hot(world, "hot", StepSpec(13, 1000, 16_000, estimate_ms=60_000, gang=True))


@waiting_work("a lasting gang larger than the pool")
def lasting_gang_too_large(world):
    submit_hot(world, "hot", StepSpec(13, 1000, 16_000, lasting=True, gang=True))


@waiting_work("lasting tasks beyond their most per endpoint")
def beyond_most_per_endpoint(world):
    step = StepSpec(45, 1000, 4300, lasting=True, most_per_endpoint=1)
    submit_hot(world, "hot", step)


def require_advice(world):
    advice = AdviceSpec(20, 2, 3000)
    name = QueueName("advised")
    queue = QueueSpec(name, "h", "/advised/", ServiceName("s"), advice=advice)
    world.cfg.queues[name] = queue
    step = StepSpec(40, 1000, 16_000, lasting=True)
    submit_hot(world, "hot", step, queue="advised")


@waiting_work("lasting tasks that advice keeps off")
def kept_off_by_advice(world):
    require_advice(world)


@waiting_work("lasting tasks without an answer to their request")
def advice_unanswered(world):
    def request_advice(node, request):
        answer = ev.AdviceReceived(
            request.step, request.endpoints, None, world.now, world.now
        )
        term = node.state.term
        world.call_later(0.3, lambda: world._deliver_answer(node, term, answer))

    world._do_requestadvice = request_advice
    require_advice(world)


@waiting_work("lasting tasks held until a crash is explained")
def held_tasks(world):
    state = world.nodes[0].state
    limit_hot(world, cpu=1)
    submit_hot(world, "hot", StepSpec(40, 1000, 4300, lasting=True))
    world.run(0.1)
    for task in all_tasks(state, state.jobs[JobId("hot")]):
        task.crashes = tuple(RunCrash(n, "unknown", 1) for n in range(5))
        state.crashed_tasks[task.key] = task
    limit_hot(world)


@when(
    "{jobs:d} single-task jobs of {memory:d} MB arrive, "
    "{count:d} of which the limit admits"
)
def step_few_admitted(context, jobs, memory, count):
    world = context.world
    limit_hot(world, cpu=1300 * count)
    for number in range(jobs):
        submit_hot(world, f"hot{number}", StepSpec(1, 1300, memory, lasting=True))


@when("{count:d} jobs of {kind} are accepted over {seconds:g} seconds")
def step_filling_jobs(context, count, kind, seconds):
    lasting = kind == "lasting tasks that fill"
    step = StepSpec(1, 900, 910, estimate_ms=1000, lasting=lasting, fills=True)
    context.filling = [JobId(f"filling{number}") for number in range(count)]
    for name in context.filling:
        submit_job(context, name, [step])
        context.world.run(seconds / count)


@then("all best-effort tasks start within {seconds:g} seconds")
def step_all_fill(context, seconds):
    context.world.run(seconds)
    state = context.world.nodes[0].state
    waiting = [
        job for job in context.filling if job in state.jobs and not _started(state, job)
    ]
    assert not waiting, f"{len(waiting)} of {len(context.filling)} wait"


def _started(state, job):
    return all(task.run for task in all_tasks(state, state.jobs[job]))
