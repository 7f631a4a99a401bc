"""Steps about the scheduler under faults, in virtual time."""

import itertools
from collections import Counter

import msgspec
from behave import given, then, when

from primrosepitch.events import ENDPOINT_STALLED
from primrosepitch.jobs.model import (
    JobId,
    JobSpec,
    JobState,
    QueueName,
    Resources,
    ServiceName,
    StepSpec,
    TaskKey,
    WorkspaceName,
)
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import (
    AdviceSpec,
    QueueSpec,
    ServiceSpec,
    WaveSpec,
    WorkspaceSpec,
)
from standins.scheduler_world import SchedulerWorld, hash_even

CPU = 2000


def make_world(context, endpoints, seed=1):
    world = context.world = SchedulerWorld(seed)
    queue = QueueSpec(QueueName("q"), "h", "/q/", ServiceName("s"), max_attempts=4)
    world.cfg.queues[queue.name] = queue
    world.cfg.services[queue.service] = ServiceSpec(queue.service)
    workspace = WorkspaceName("w")
    world.cfg.workspaces[workspace] = WorkspaceSpec(workspace, weight=100.0)
    for number in range(1, endpoints + 1):
        world.add_worker(f"e{number}", "s", rack=f"r{number % 2}")
    world.take_term("a")
    world.run(0.5)


def accept(context, name, steps, attempts=4, **options):
    world = context.world
    spec = JobSpec(
        job=JobId(name),
        queue=QueueName("q"),
        service=ServiceName("s"),
        workspace=WorkspaceName("w"),
        payload="p",
        steps=tuple(steps),
        accepted_ms=world.wall_ms,
        max_attempts=attempts,
        stretch=2.0,
        goal_ms=600,
    )
    world.submit(spec)


def chain(text):
    steps = []
    for number, part in enumerate(text.split(" then ")):
        count, _, estimate = part.partition("x")
        after = (number - 1,) if number else ()
        steps.append(
            StepSpec(int(count), CPU, 512, estimate_ms=int(estimate), after=after)
        )
    return steps


def worker_of(context, number, job):
    key = TaskKey(JobId(job), 0, 0, number)
    return next(w for w in context.world.workers.values() if key in w.runs)


def node(context, name):
    return next(n for n in context.world.nodes if n.name == name)


@given("a scheduler with {count:d} endpoints")
def step_world(context, count):
    make_world(context, count)


@given("a scheduler with {count:d} endpoints and seed {seed:d}")
def step_seeded_world(context, count, seed):
    make_world(context, count, seed)


@given("{lost:g} of the answers to orders are lost and {late:g} are carried out late")
def step_lossy(context, lost, late):
    context.world.lose, context.world.late = lost, late


@given("every endpoint fails what it starts")
def step_all_fail(context):
    for worker in context.world.workers.values():
        worker.fails_all = True


@given("endpoint {name} fails what it starts")
def step_fails(context, name):
    context.world.workers[name].fails_all = True


@when("everything on endpoint {name} takes {factor} times as long")
def step_slow_endpoint(context, name, factor):
    context.world.workers[name].slower = float(factor)


@when("job {name} of steps {steps} is accepted that takes {factor:d} times as long")
def step_accept_long(context, name, steps, factor):
    context.world.long_jobs[JobId(name)] = factor
    accept(context, name, chain(steps))


@then("at most {count:d} jobs took longer than {seconds:g} seconds")
def step_few_late(context, count, seconds):
    world = context.world
    took = {
        job: world.completed_at[job] - world.accepted_at[job] for job in world.specs
    }
    late = {job: round(s, 1) for job, s in took.items() if s > seconds}
    assert len(late) <= count, late


@then("no endpoint was found stalled")
def step_none_stalled(context):
    assert not context.world.events[ENDPOINT_STALLED.number], context.world.events


@given("task {number:d} of {job} fails everywhere")
def step_task_fails(context, number, job):
    context.world.failing_tasks.add(TaskKey(JobId(job), 0, 0, number))


@given("the store takes {seconds:g} seconds for an append")
def step_slow_store(context, seconds):
    context.world.store_s = seconds


@when("the store takes {seconds:g} seconds for an append again")
def step_quick_store(context, seconds):
    context.world.store_s = seconds


@given("workspace w may have {cpu:d} thousandths of a core")
def step_limit(context, cpu):
    workspace = WorkspaceName("w")
    spec = WorkspaceSpec(workspace, 100.0, Resources(cpu, 0, 0))
    context.world.cfg.workspaces[workspace] = spec


@given("the list of instances does not name their endpoints")
def step_old_list(context):
    context.world.list_names_endpoints = False


@given("queue q has advice")
def step_advice(context):
    queue = context.world.cfg.queues[QueueName("q")]
    advice = AdviceSpec(20, 2, 3000)
    changed = QueueSpec(
        queue.name, queue.host, queue.prefix, queue.service, advice=advice
    )
    context.world.cfg.queues[queue.name] = changed


@when("job {name} of steps {steps} is accepted with {attempts:d} attempts")
def step_accept_attempts(context, name, steps, attempts):
    accept(context, name, chain(steps), attempts)


@when("job {name} of steps {steps} that may have copies is accepted")
def step_accept_copies(context, name, steps):
    copies = [msgspec.structs.replace(s, duplicates=True) for s in chain(steps)]
    accept(context, name, copies)


@then("workspace {name} has nothing running")
def step_no_usage(context, name):
    usage = node(context, "a").state.usage[WorkspaceName(name)]
    assert usage == Resources(), usage


@when("job {name} of steps {steps} is accepted while answers to orders are lost")
def step_accept_unanswered(context, name, steps):
    context.world.lose = 1.0
    context.world.hold_s = 1.2
    accept(context, name, chain(steps))


@when("answers to orders come again")
def step_answered(context):
    context.world.lose = 0.0


@when("answers to holds come at once again")
def step_held_at_once(context):
    context.world.hold_s = 0.0


@when("job {name} of steps {steps} is accepted")
def step_accept(context, name, steps):
    accept(context, name, chain(steps))


@when("{count:d} jobs of steps {steps} are accepted over {seconds:d} seconds")
def step_accept_many(context, count, steps, seconds, attempts=4):
    first = len(context.world.specs)
    for number in range(first, first + count):
        accept(context, f"n{number}", chain(steps), attempts)
        context.world.run(seconds / count)


@when(
    "{count:d} jobs of steps {steps} are accepted over {seconds:d} seconds "
    "with {attempts:d} attempts"
)
def step_accept_many_attempts(context, count, steps, seconds, attempts):
    step_accept_many(context, count, steps, seconds, attempts)


@when("job {name} of lasting tasks {count:d} is accepted")
def step_accept_lasting(context, name, count):
    accept(context, name, [StepSpec(count, CPU, 512, lasting=True)])


@when(
    "job {name} of lasting tasks {count:d} with a target of {target:d} ms is accepted"
)
def step_accept_serving(context, name, count, target):
    accept(context, name, [StepSpec(count, CPU, 512, lasting=True, target_ms=target)])


@when("job {name} of filling tasks {count:d} is accepted")
def step_accept_filling(context, name, count):
    accept(context, name, [StepSpec(count, CPU, 512, lasting=True, fills=True)])


@when("filling tasks begin to disturb serving ones by {part:g} each")
def step_disturb(context, part):
    context.world.disturbance = part


def runs(context):
    for worker in context.world.workers.values():
        for run in worker.runs.values():
            yield worker, run


@then("no serving task is over its target")
def step_under_target(context):
    for worker, run in runs(context):
        if run.spec.target_ms:
            assert context.world.tail_ms(worker, run) <= run.spec.target_ms
    assert context.world.counts["paced"]


@then("all filling tasks work at {percent:d} percent")
def step_full_pace(context, percent):
    paces = [run.pace for _, run in runs(context) if run.spec.fills]
    assert paces == [percent] * 3, paces


@when(
    "job {name} of lasting tasks {count:d} apart that may miss {missed:d} is accepted"
)
def step_accept_apart(context, name, count, missed):
    step = StepSpec(
        count, CPU, 512, lasting=True, max_unavailable=missed, most_per_endpoint=1
    )
    accept(context, name, [step])


@when("job {name} of lasting tasks {count:d} that may miss {missed:d} is accepted")
def step_accept_budget(context, name, count, missed):
    step = StepSpec(count, CPU, 512, lasting=True, max_unavailable=missed)
    accept(context, name, [step])


@when("job {name} of a gang {count:d}x{estimate:d} of {cores:d} cores is accepted")
def step_accept_gang(context, name, count, estimate, cores):
    step = StepSpec(count, cores * 1000, 512, estimate_ms=estimate, gang=True)
    accept(context, name, [step])


@when("{seconds:g} seconds pass")
def step_pass(context, seconds):
    context.world.run(seconds)


@when("the endpoint of task {number:d} of {job} is cut off")
def step_cut(context, number, job):
    worker_of(context, number, job).cut = True


@when("the endpoint of task {number:d} of {job} is cut off for {seconds:g} seconds")
def step_cut_for(context, number, job, seconds):
    worker = worker_of(context, number, job)
    worker.cut = True
    context.world.later(seconds, lambda: setattr(worker, "cut", False))


@when(
    "the endpoint of the newest run of task {number:d} of {job} is cut off for "
    "{seconds:g} seconds after {delay:g} more"
)
def step_cut_newest(context, number, job, seconds, delay):
    key = TaskKey(JobId(job), 0, 0, number)
    holding = [w for w in context.world.workers.values() if key in w.runs]
    worker = max(holding, key=lambda w: w.runs[key].run)
    context.world.later(delay, lambda: setattr(worker, "cut", True))
    context.world.later(delay + seconds, lambda: setattr(worker, "cut", False))


@when("job {name} is cancelled while its placement is being stored")
def step_cancel_early(context, name):
    state = node(context, "a").state
    assert context.world.until(lambda: state.committing_tasks, 3.0)
    context.world.cancel(JobId(name))


@when("the endpoint of task {number:d} of {job} goes dark")
def step_dark(context, number, job):
    worker_of(context, number, job).crash()


@when("the endpoint of task {number:d} of {job} restarts under its id")
def step_reborn(context, number, job):
    worker = worker_of(context, number, job)
    worker.crash()
    worker.reborn()
    context.world.report(worker)


@when("the endpoint of task {number:d} of {job} drains")
def step_drain(context, number, job):
    worker = worker_of(context, number, job)
    worker.draining = True
    worker.drained_at = context.world.now
    context.world.report(worker)


@when("node {name} is killed after {seconds:g} seconds")
def step_kill(context, name, seconds):
    context.world.run(seconds)
    killed = node(context, name)
    killed.frozen = True
    killed.held_back = []
    context.world.nodes.remove(killed)


@when("node {name} freezes after {seconds:g} seconds")
def step_freeze(context, name, seconds):
    context.world.run(seconds)
    node(context, name).frozen = True


@when("node {name} wakes after {seconds:g} seconds")
def step_wake(context, name, seconds):
    context.world.run(seconds)
    node(context, name).thaw()


@when("node {name} takes the term after {seconds:g} seconds")
def step_take(context, name, seconds):
    context.world.run(seconds)
    context.world.take_term(name)


@when("every endpoint refuses starts")
def step_unhealthy(context):
    for worker in context.world.workers.values():
        worker.unhealthy = True


@when("every endpoint takes starts again")
def step_healthy(context):
    for worker in context.world.workers.values():
        worker.unhealthy = False


@when("every endpoint restarts under its id")
def step_all_reborn(context):
    for worker in context.world.workers.values():
        worker.crash()
        worker.reborn()


@when("the store does only the {part} of commits")
def step_partial(context, part):
    context.world.takes_only = part


@when("the store does all of commits again")
def step_whole(context):
    context.world.takes_only = ""


@when("the store goes down")
def step_store_down(context):
    context.world.store_up = False


@when("the store comes back")
def step_store_up(context):
    context.world.store_up = True


@when(
    "node {first} reaches only the endpoint of task {number:d} of {job}, "
    "which node {second} does not reach"
)
def step_partition(context, first, number, job, second):
    world = context.world
    worker = worker_of(context, number, job)
    append, hold, order = world._append, world._do_pollendpoint, world._order

    def cut(at, endpoint):
        return (at.name == first) != (endpoint == worker.id)

    def append_unless_cut(at, term, effect):
        if at.name != first:
            append(at, term, effect)

    def hold_unless_cut(at, effect):
        if cut(at, effect.endpoint):
            failed = ev.PollFailed(effect.endpoint, ev.Outcome.UNKNOWN, world.now + 1)
            world.later(1.0, lambda: at.feed(failed))
        else:
            hold(at, effect)

    def order_unless_cut(at, effect, take, kind):
        if not cut(at, effect.endpoint):
            order(at, effect, take, kind)

    world._append, world._do_pollendpoint = append_unless_cut, hold_unless_cut
    world._order = order_unless_cut


@when("job {name} is cancelled")
def step_cancel(context, name):
    context.world.cancel(JobId(name))


@when("a wave of all instances, {most:d} at once, is asked for")
def step_wave(context, most):
    world = context.world
    world.ask_wave(WaveSpec(1, tuple(world.pools), world.now + 30, most))


@then("job {name} is {state} in the ledger")
def step_state_in_ledger(context, name, state):
    assert context.world.state_of(JobId(name)) is JobState(state)


@then("job {name} is completed")
def step_completed(context, name):
    state = context.world.state_of(JobId(name))
    assert state is JobState.COMPLETED, state


@then("job {name} is failed")
def step_failed(context, name):
    state = context.world.state_of(JobId(name))
    assert state is JobState.FAILED, state


def completed(context):
    world = context.world
    return [j for j in world.specs if world.state_of(j) is JobState.COMPLETED]


@then("all jobs are completed")
def step_all_completed(context):
    missing = set(context.world.specs) - set(completed(context))
    assert not missing, sorted(missing)


@then("at least {count:d} jobs are completed")
def step_most_completed(context, count):
    assert len(completed(context)) >= count, len(completed(context))


@then("no rule was broken")
def step_rules(context):
    assert not context.world.broken, context.world.broken[:5]


@then("nothing runs")
def step_nothing(context):
    running = [w.runs for w in context.world.workers.values() if w.runs]
    assert not running, running


@then("{count:d} lasting tasks of {job} are running")
def step_running(context, count, job):
    workers = context.world.workers.values()
    tasks = itertools.chain.from_iterable(w.runs for w in workers if w.up)
    found = {task for task in tasks if task.job == job}
    assert len(found) == count, found


@then("{count:d} runs were started")
def step_starts(context, count):
    assert context.world.counts["starts"] == count, context.world.counts


@then("endpoint {name} got at most {count:d} runs")
def step_few_runs(context, name, count):
    runs = len(context.world.workers[name].highest)
    assert runs <= count, runs


@then("no end was confirmed")
def step_unconfirmed(context):
    assert not any(w.confirmed for w in context.world.workers.values())
    assert any(w.ended for w in context.world.workers.values())


@then("node {name} does not schedule")
def step_not_scheduling(context, name):
    assert node(context, name).state.term == 0


@then("the wave is completed")
def step_wave_done(context):
    assert context.world.wave_states == {1: True}, context.world.wave_states


@then("every instance was maintained once")
def step_once(context):
    done = context.world.upkept[1]
    assert sorted(done) == sorted(context.world._waves[1].instances), done


@then("only advised endpoints ran something")
def step_advised(context):
    for worker in context.world.workers.values():
        assert hash_even(worker.id) or not worker.highest, worker.id


@then("the tasks of {job} run on {count:d} endpoints, at most {most:d} on one")
def step_spread(context, job, count, most):
    found = Counter(w.id for w, run in runs(context) if run.task.job == job)
    assert len(found) == count, found
    assert max(found.values()) <= most, found


@then("{count:d} endpoints run something")
def step_hosts(context, count):
    busy = [w.id for w in context.world.workers.values() if w.runs]
    assert len(busy) == count, busy
