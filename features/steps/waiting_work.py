"""Steps for the work that much waiting work causes in the scheduler."""

import asyncio

from behave import given, then, when
from steps.claims_of_terms import build_runner
from steps.intake import RECORD_BYTES, FailingStore
from steps.large_jobs import count_instructions
from steps.scheduler_rules import submit_job

from bench.waiting_work import OBSTACLES, Shape, waiting_jobs
from primrosepitch import clock
from primrosepitch.jobs.model import (
    EndpointId,
    JobId,
    JobSpec,
    JobState,
    QueueName,
    Resources,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.jobs.records import Cancellation, JobEntry, JobStatus, encode
from primrosepitch.node.follower import Appender, LedgerFollower
from primrosepitch.node.job_intake import IntakeOutcome, JobIntake, Overload
from primrosepitch.node.scheduler import SchedulerRunner
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import WorkspaceSpec
from primrosepitch.scheduling.effects import Commit, StartRun, StopRun
from primrosepitch.scheduling.reducer import step
from primrosepitch.scheduling.state import Phase
from standins.large_jobs import build_pools
from standins.memory_platform import MemoryPartition, MemoryPlatform, run_virtually
from standins.waiting_jobs import WALL_MS, all_tasks, build_state

TICK_S = 0.02

SHAPES = {
    "3 jobs of 20,000 occurrences": Shape("", 3, 1, 1, 20_000),
    "30 jobs of 20,000 occurrences": Shape("", 30, 1, 1, 20_000),
    "30 jobs of 20,000 tasks": Shape("", 30, 1, 20_000),
    "30 jobs of 2,000 steps": Shape("", 30, 2_000, 10),
    "6,000 jobs of 100 tasks": Shape("", 6_000, 1, 100),
}

TRACED_TICKS = 4


def apply(state, event):
    """Apply an event; commits become durable and starts are carried out at once."""
    effects = step(state, event)
    while effects:
        effect = effects.pop()
        if isinstance(effect, Commit):
            effects += step(state, ev.Committed(effect.number, state.now))
        elif isinstance(effect, StartRun):
            done = (effect.task, effect.run, effect.endpoint, ev.Outcome.DONE)
            effects += step(state, ev.StartAnswered(*done, state.now))


def tick(state):
    now = state.now + TICK_S
    apply(state, ev.Tick(now, WALL_MS + round(now * 1000)))


@given("{shape} that wait because of {obstacle}")
def step_waiting(context, shape, obstacle):
    obstacle = "each different, no room" if "different" in obstacle else obstacle
    assert obstacle in OBSTACLES, obstacle
    kind = "beyond a limit" if "limit" in obstacle else "one step"
    room = "no" if "no room" in obstacle else "enough"
    context.state = build_pools(kind, room, 16)
    list_instances(context.state)
    context.specs = waiting_jobs(SHAPES[shape], obstacle)


def list_instances(state):
    """Let the scheduler read the list of instances, which it may lend."""
    views = [
        ev.InstanceView(
            e.report.instance,
            e.report.service,
            ev.InstanceState.UP,
            e.report.zone,
            e.report.labels,
            e.report.capacity,
            e.id,
        )
        for e in state.endpoints.values()
    ]
    listing = ev.InstanceListing(views, complete=True)
    step(state, ev.InstancesListed(listing, state.now))


@then("no event of the scheduler or of its successor executes over {most} instructions")
def step_bounded(context, most):
    state, specs = context.state, context.specs
    work = []

    def count(function):
        work.append(count_instructions(function))

    for number, spec in enumerate(specs[:-1]):
        apply(state, ev.JobAccepted(spec))
        if number % 100 == 0:
            tick(state)
    count(lambda: apply(state, ev.JobAccepted(specs[-1])))
    for _ in range(50):
        tick(state)
    for _ in range(TRACED_TICKS):
        count(lambda: tick(state))
    entries = {spec.job: JobEntry(spec=spec) for spec in specs}
    successor = build_state(0, 0)
    successor.term = 0
    taken = ev.TermTaken(2.0, 2.0, 2, entries, {}, 5.0, {}, {}, 2.0)
    count(lambda: apply(successor, taken))
    for _ in range(TRACED_TICKS):
        count(lambda: tick(successor))
    assert max(work) <= int(most.replace(",", "")), work


@then("the count of waiting tasks is {tasks} and takes under {most} instructions")
def step_count(context, tasks, most):
    for spec in context.specs:
        step(context.state, ev.JobAccepted(spec))
    runner = SchedulerRunner.__new__(SchedulerRunner)
    runner.state = context.state
    found = []
    work = count_instructions(lambda: found.append(runner.count_waiting_tasks()))
    assert found == [int(tasks.replace(",", ""))], found
    assert work < int(most.replace(",", "")), work


SMALL = StepSpec(1, 500, 100, estimate_ms=500)

LARGE = StepSpec(1, 12_000, 100, estimate_ms=500)


@when("half of each endpoint is in use by lasting tasks")
def step_half_used(context):
    half = StepSpec(6, 8_000, 100, lasting=True, most_per_endpoint=1)
    submit_job(context, "half", [half])
    context.world.run(2.0)


@when(
    "a job of {steps:d} steps is accepted, of which only the last {count:d} have room"
)
def step_last_have_room(context, steps, count):
    submit_job(context, "many", [LARGE] * (steps - count) + [SMALL] * count)


@then("the last {count:d} steps of that job are done or running")
def step_last_done(context, count):
    state = context.world.nodes[0].state
    steps = state.jobs[JobId("many")].steps[0][-count:]
    phases = [task.phase for s in steps for task in s.tasks]
    assert len(phases) == count, len(phases)
    assert Phase.WAITING not in phases, phases


@when("{count:d} jobs of {steps:d} steps are accepted that have no room")
def step_large_no_room(context, count, steps):
    for number in range(count):
        submit_job(context, f"large{number}", [LARGE] * steps)


@when("{count:d} jobs are accepted that have no room")
def step_no_room(context, count):
    for number in range(count):
        submit_job(context, f"large{number}", [LARGE])


@then("job {name} has begun")
def step_begun(context, name):
    state = context.world.state_of(JobId(name))
    assert state is not JobState.QUEUED, state


@when("a schedule of {count:d} overdue occurrences of one task is accepted")
def step_schedule(context, count):
    submit_schedule(context, count, [SMALL])


def submit_schedule(context, count, steps):
    first_ms = context.world.wall_ms - count * 1000
    schedule = {"repetitions": count, "interval_ms": 1000, "first_run_ms": first_ms}
    context.begun = []
    start = context.world.start_run

    def start_run(worker, order, spec):
        context.begun.append(order.task.occurrence)
        return start(worker, order, spec)

    context.world.start_run = start_run
    submit_job(context, "schedule", steps, **schedule)


@then("its occurrences have begun in their order")
def step_in_order(context):
    # Those that are placed in one planning pass start in any order.
    late = [a - b for a, b in zip(context.begun, sorted(context.begun), strict=True)]
    assert max(map(abs, late)) <= 64, late


CANT_RUN = StepSpec(1, 500, 100, estimate_ms=500, label="none")


@when(
    "a schedule of {count:d} overdue occurrences is accepted, "
    "one of whose steps can't run"
)
def step_half_servable(context, count):
    context.occurrences = count
    submit_schedule(context, count, [CANT_RUN, SMALL])


@then("the other step of each occurrence is done")
def step_others_done(context):
    done = [t for t in context.world.done_tasks if t.job == "schedule" and t.step == 1]
    assert len(done) == context.occurrences, len(done)


@when("work that needs {need} is accepted")
def step_needs(context, need):
    spec = SMALL
    if need.startswith("label"):
        spec = StepSpec(1, 500, 100, estimate_ms=500, label="special")
    elif need.startswith("a gang"):
        # Eight members fit on each of the six endpoints.
        spec = StepSpec(50, 2000, 100, estimate_ms=500, gang=True)
    elif need.endswith("cores"):
        spec = StepSpec(1, 32_000, 100, estimate_ms=500)
    else:
        limit_workspace(context, 100)
    submit_job(context, "special", [spec])


def limit_workspace(context, cpu):
    name = WorkspaceName("w")
    limited = WorkspaceSpec(name, 1.0, Resources(cpu, 0, 0))
    context.world.cfg.workspaces[name] = limited
    for node in context.world.nodes:
        node.feed(ev.ConfigurationChanged(context.world.cfg))


@then("that work waits")
def step_work_waits(context):
    assert not context.world.counts["starts"], context.world.counts


@then("that work has begun")
def step_work_begun(context):
    step_begun(context, "special")


@when("an endpoint of kind special joins")
def step_special_joins(context):
    worker = context.world.add_worker("special", "s")
    worker.kind = "special"
    context.world.publish_report(worker)


@when("an endpoint restarts as kind special")
def step_special_restarts(context):
    world = context.world
    worker = next(iter(world.workers.values()))
    worker.kind = "special"
    world.crash_worker(worker)


@when("2 endpoints of 16 cores join")
def step_more_join(context):
    for number in range(2):
        context.world.add_worker(f"more{number}", "s")


@when("an endpoint of 64 cores joins")
def step_large_joins(context):
    context.world.add_worker("large", "s", cpu=64_000)


@when("its workspace's limit is raised")
def step_limit_raised(context):
    limit_workspace(context, 10_000)


@given("a job of {tasks} tasks that run on {endpoints:d} endpoints")
def step_running_tasks(context, tasks, endpoints):
    count = int(tasks.replace(",", ""))
    state = context.state = build_state(endpoints * 4, 0)
    each = StepSpec(count, 20, 8, estimate_ms=90_000)
    context.job = JobSpec(
        JobId("running"),
        QueueName("queue"),
        ServiceName("pool-0"),
        WorkspaceName("team"),
        "x",
        (each,),
        WALL_MS,
    )
    apply(state, ev.JobAccepted(context.job))
    for _ in range(200):
        tick(state)
    tasks = all_tasks(state, state.jobs[context.job.job])
    assert all(task.phase is Phase.RUNNING for task in tasks)


@when("it is cancelled and all runs end")
def step_cancel_all(context):
    state, job = context.state, context.job.job
    context.work = []
    stops = []

    def count(event):
        context.work.append(
            count_instructions(lambda: stops.extend(step(state, event)))
        )

    count(ev.CancelRequested(job))
    number = 0
    while state.jobs and state.now < 60.0:
        orders = [order for order in stops if isinstance(order, StopRun)]
        commits = [effect for effect in stops if isinstance(effect, Commit)]
        stops.clear()
        for commit in commits:
            count(ev.Committed(commit.number, state.now))
        by_endpoint = {}
        for order in orders:
            number += 1
            end = ev.EndedRun(number, order.task, order.run, ev.EndKind.STOPPED, "")
            by_endpoint.setdefault(order.endpoint, []).append(end)
        for endpoint, ended in by_endpoint.items():
            count(polled(state, endpoint, ended))
        now = state.now + TICK_S
        count(ev.Tick(now, WALL_MS + round(now * 1000)))


def polled(state, endpoint, ended):
    now = state.now
    return ev.EndpointPolled(
        EndpointId(endpoint), 1, now, now, 1000, [], ended, 0, 0, True
    )


@when(
    "a job of {tasks} tasks that run on {endpoints:d} endpoints is cancelled "
    "and all runs end"
)
def step_cancel_larger(context, tasks, endpoints):
    context.smaller = sum(context.work)
    step_running_tasks(context, tasks, endpoints)
    step_cancel_all(context)


@then("that took at most {factor:g} times the work")
def step_proportional(context, factor):
    larger = sum(context.work)
    assert larger <= factor * context.smaller, (larger, context.smaller)


@then("it is cancelled, and no event executed over {most} instructions")
def step_cancelled(context, most):
    state = context.state
    assert state.finished, "the job has not ended"
    assert not any(endpoint.tasks for endpoint in state.endpoints.values())
    assert max(context.work) <= int(most.replace(",", "")), max(context.work)


def job_spec(number, workspace, steps):
    return JobSpec(
        JobId(f"{number:016x}"),
        QueueName("queue"),
        ServiceName("pool"),
        WorkspaceName(workspace),
        "x",
        (StepSpec(1, 100, 8),) * steps,
        WALL_MS,
    )


@given(
    "an intake whose ledger has {jobs:d} open jobs of {steps} steps "
    "of workspace {workspace}"
)
def step_open_jobs(context, jobs, steps, workspace):
    context.store = FailingStore()
    context.follower = LedgerFollower(context.store, lambda record: None)
    context.follower.loaded = True
    context.open = [
        job_spec(n, workspace, int(steps.replace(",", ""))) for n in range(jobs)
    ]
    for spec in context.open:
        context.follower.ledger.apply(*encode(spec))
    context.submitted = jobs


def submit(context, spec):
    async def body():
        appender = Appender(context.store)
        sending = asyncio.ensure_future(appender.run())
        intake = JobIntake(context.follower, appender, RECORD_BYTES)
        context.outcome = await intake.submit(spec, clock.monotonic() + 2.0)
        sending.cancel()

    asyncio.run(body())


@when("workspace {workspace} submits a job of {steps} steps")
def step_submit(context, workspace, steps):
    context.submitted += 1
    count = int(steps.replace(",", ""))
    submit(context, job_spec(context.submitted, workspace, count))


@when("workspace {workspace} submits the first of those jobs again")
def step_submit_again(context, workspace):
    submit(context, context.open[0])


@when("{count:d} of those jobs end")
def step_jobs_end(context, count):
    for spec in context.open[:count]:
        status = JobStatus(spec.job, JobState.COMPLETED, WALL_MS)
        context.follower.ledger.apply(*encode(status))


@then("it is refused as not accepted, with a time to return")
def step_refused(context):
    assert isinstance(context.outcome, Overload), context.outcome
    assert context.outcome.retry_after_s > 0
    assert not context.store.records


@then("it is accepted")
def step_accepted(context):
    assert context.outcome is IntakeOutcome.ACCEPTED, context.outcome


@given(
    "a node that schedules, and a page with {jobs:d} jobs of {steps} steps, "
    "each cancelled"
)
def step_page(context, jobs, steps):
    count = int(steps.replace(",", ""))
    context.page = []
    for number in range(jobs):
        spec = job_spec(number, "w", count)
        context.page += [spec, Cancellation(spec.job, WALL_MS)]


@when("the page is read")
def step_read_page(context):
    async def body():
        with asyncio.get_running_loop().as_clock():
            runner = context.runner = build_runner(MemoryPlatform(MemoryPartition()))
            runner.state.term = 1
            for record in context.page:
                runner.handle_record(record)
            context.added = [len(runner.state.jobs)]
            for _ in range(2 * len(context.page)):
                await asyncio.sleep(0)
                context.added.append(len(runner.state.jobs))

    run_virtually(body())


@then("no more than one job has been added in any iteration of the loop")
def step_one_by_one(context):
    added = context.added
    assert max(b - a for a, b in zip([0, *added], added, strict=False)) <= 1, added


@then("all {count:d} jobs have been added and cancelled")
def step_all_cancelled(context, count):
    states = [job.state for job in context.runner.state.jobs.values()]
    assert states == [JobState.CANCELLED] * count, states
