"""Steps for the scheduler under faults, in virtual time."""

import itertools
from collections import Counter

import msgspec
from behave import given, step, then, when

from primrosepitch.events import ENDPOINT_STALLED
from primrosepitch.jobs.model import (
    AdviceSpec,
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
    QueueSpec,
    ServiceSpec,
    WaveSpec,
    WorkspaceSpec,
)
from primrosepitch.scheduling.effects import StartRun
from standins.scheduler_world import SchedulerWorld, is_advised

TASK_MILLICORES = 2000


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


def submit_job(context, name, steps, attempts=4, workspace="w", **options):
    world = context.world
    spec = JobSpec(
        job=JobId(name),
        queue=QueueName("q"),
        service=ServiceName("s"),
        workspace=WorkspaceName(workspace),
        payload="p",
        steps=tuple(steps),
        accepted_ms=world.wall_ms,
        max_attempts=attempts,
        stretch=2.0,
        goal_ms=600,
        **options,
    )
    world.submit(spec)


def parse_steps(text):
    steps = []
    for number, part in enumerate(text.split(" then ")):
        count, _, estimate = part.partition("x")
        after = (number - 1,) if number else ()
        steps.append(
            StepSpec(
                int(count), TASK_MILLICORES, 512, estimate_ms=int(estimate), after=after
            )
        )
    return steps


def find_worker(context, number, job):
    return context.world.worker_running(TaskKey(JobId(job), 0, 0, number))


def find_node(context, name):
    return next(n for n in context.world.nodes if n.name == name)


@given("a scheduler with {count:d} endpoints")
def step_world(context, count):
    make_world(context, count)


@given("a scheduler with {count:d} endpoints and seed {seed:d}")
def step_seeded_world(context, count, seed):
    make_world(context, count, seed)


@given(
    "{lost:g} of the responses to orders are lost and "
    "{late:g} of orders are carried out late"
)
def step_lost_responses(context, lost, late):
    context.world.answer_loss_rate, context.world.late_order_rate = lost, late


@given("every endpoint fails its runs")
def step_all_fail(context):
    for worker in context.world.workers.values():
        worker.fails_all = True


@given("endpoint {name} fails its runs")
def step_endpoint_fails(context, name):
    context.world.workers[name].fails_all = True


@when("runs on endpoint {name} take {factor} times as long")
def step_slow_endpoint(context, name, factor):
    context.world.workers[name].slower = float(factor)


@when("job {name} of steps {steps} that takes {factor:d} times as long is accepted")
def step_accept_long(context, name, steps, factor):
    context.world.duration_factors[JobId(name)] = factor
    submit_job(context, name, parse_steps(steps))


@then("at most {count:d} jobs took longer than {seconds:g} seconds")
def step_max_late(context, count, seconds):
    world = context.world
    took = {
        job: world.completed_at[job] - world.accepted_at[job] for job in world.specs
    }
    late = {job: round(s, 1) for job, s in took.items() if s > seconds}
    assert len(late) <= count, late


@then("no endpoint was reported as stalled")
def step_none_stalled(context):
    assert not context.world.events[ENDPOINT_STALLED.number], context.world.events


@given("task {number:d} of {job} fails everywhere")
def step_task_fails(context, number, job):
    context.world.failing_tasks.add(TaskKey(JobId(job), 0, 0, number))


@given("the store takes {seconds:g} seconds for an append")
def step_slow_store(context, seconds):
    context.world.store_s = seconds


@when("the store takes {seconds:g} seconds for an append again")
def step_store_latency(context, seconds):
    context.world.store_s = seconds


@given("workspace w has an upper limit of {cpu:d} millicores")
def step_limit(context, cpu):
    workspace = WorkspaceName("w")
    spec = WorkspaceSpec(workspace, 100.0, Resources(cpu, 0, 0))
    context.world.cfg.workspaces[workspace] = spec


@given("the entry of instance {name} in the list can't be read")
def step_unreadable_instance(context, name):
    assert name in context.world.pool_of
    context.world.unreadable_instances.add(name)


@when("all entries of the list can be read again")
def step_readable_instances(context):
    context.world.unreadable_instances.clear()


@given("the instance list does not name the endpoints")
def step_list_lacks_endpoints(context):
    context.world.list_names_endpoints = False


@given("queue q requires placement advice")
def step_advice(context):
    queue = context.world.cfg.queues[QueueName("q")]
    advice = AdviceSpec(20, 2, 3000)
    changed = QueueSpec(
        queue.name, queue.host, queue.prefix, queue.service, advice=advice
    )
    context.world.cfg.queues[queue.name] = changed


@when("job {name} of steps {steps} is accepted with {attempts:d} attempts")
def step_accept_attempts(context, name, steps, attempts):
    submit_job(context, name, parse_steps(steps), attempts)


@when("job {name} of steps {steps} that allows duplicate runs is accepted")
def step_accept_duplicates(context, name, steps):
    steps_with_duplicates = [
        msgspec.structs.replace(s, duplicates=True) for s in parse_steps(steps)
    ]
    submit_job(context, name, steps_with_duplicates)


@then("workspace {name} uses no capacity")
def step_no_usage(context, name):
    usage = find_node(context, "a").state.usage[WorkspaceName(name)]
    assert usage == Resources(), usage


@when("job {name} of steps {steps} is accepted while responses to orders are lost")
def step_accept_unanswered(context, name, steps):
    context.world.answer_loss_rate = 1.0
    context.world.poll_delay_s = 1.2
    submit_job(context, name, parse_steps(steps))


@when("responses to orders arrive again")
def step_responses_arrive(context):
    context.world.answer_loss_rate = 0.0


@when("orders are carried out in time again")
def step_orders_in_time(context):
    context.world.late_order_rate = 0.0


@when("the responses to polls are delayed by {seconds:g} seconds")
def step_delay_polls(context, seconds):
    context.world.poll_delay_s = seconds


@when("responses to polls are no longer delayed")
def step_polls_not_delayed(context):
    context.world.poll_delay_s = 0.0


@when("start orders are lost")
def step_orders_lost(context):
    world = context.world
    send = context.send_order = world._send_order

    def lose_starts(node, order, take, kind):
        if isinstance(order, StartRun):
            answer = kind(
                order.task, order.run, order.endpoint, ev.Outcome.UNKNOWN, world.now
            )
            world.call_later(0.25, lambda: node.feed(answer))
        else:
            send(node, order, take, kind)

    world._send_order = lose_starts


@given(
    "start orders of {job} are not sent, carried out after {seconds:d} second, "
    "and refused in turn"
)
def step_order_race(context, job, seconds):
    world = context.world
    send = world._do_startrun
    orders = itertools.count(1)

    def answer(node, order, outcome, delay_s):
        def deliver():
            event = ev.StartAnswered(
                order.task, order.run, order.endpoint, outcome, world.now
            )
            world._deliver_answer(node, node.state.term, event)

        world.call_later(delay_s, deliver)

    def race(node, order):
        number = next(orders) if order.task.job == job else 0
        worker = world.workers[order.endpoint]
        if number == 1:
            answer(node, order, ev.Outcome.NOT_SENT, 0.002)
        elif number == 2:
            answer(node, order, ev.Outcome.UNKNOWN, 0.25)
            world.call_later(seconds, lambda: worker.start(order))
        elif number == 3:
            answer(node, order, ev.Outcome.UNHEALTHY, 0.004)
        else:
            send(node, order)

    world._do_startrun = race


@when("the next {count:d} stop orders are lost")
def step_lose_stops(context, count):
    world = context.world
    send = world._do_stoprun
    left = [count]

    def lose(node, order):
        if not left[0]:
            send(node, order)
            return
        left[0] -= 1
        event = ev.StopAnswered(
            order.task, order.run, order.endpoint, ev.Outcome.UNKNOWN, world.now
        )
        world.call_later(
            0.25, lambda: world._deliver_answer(node, node.state.term, event)
        )

    world._do_stoprun = lose


@when("start orders arrive again")
def step_orders_arrive(context):
    context.world._send_order = context.send_order


@when("job {name} of steps {steps} is accepted")
def step_accept(context, name, steps):
    submit_job(context, name, parse_steps(steps))


@when("{count:d} jobs of steps {steps} are accepted over {seconds:d} seconds")
def step_accept_many(context, count, steps, seconds, attempts=4):
    first = len(context.world.specs)
    for number in range(first, first + count):
        submit_job(context, f"n{number}", parse_steps(steps), attempts)
        context.world.run(seconds / count)


@when(
    "{count:d} jobs of steps {steps} are accepted over {seconds:d} seconds "
    "with {attempts:d} attempts"
)
def step_accept_many_attempts(context, count, steps, seconds, attempts):
    step_accept_many(context, count, steps, seconds, attempts)


@when("job {name} of {count:d} lasting tasks is accepted")
def step_accept_lasting(context, name, count):
    submit_job(context, name, [StepSpec(count, TASK_MILLICORES, 512, lasting=True)])


@when(
    "job {name} of {count:d} lasting tasks with a target of {target:d} ms is accepted"
)
def step_accept_serving(context, name, count, target):
    submit_job(
        context,
        name,
        [StepSpec(count, TASK_MILLICORES, 512, lasting=True, target_ms=target)],
    )


@when("job {name} of {count:d} filling tasks is accepted")
def step_accept_filling(context, name, count):
    submit_job(
        context, name, [StepSpec(count, TASK_MILLICORES, 512, lasting=True, fills=True)]
    )


@when("each filling task adds {part:g} of the target to the latency of serving tasks")
def step_slow_serving(context, part):
    context.world.interference = part


def active_runs(context):
    for worker in context.world.workers.values():
        for run in worker.runs.values():
            yield worker, run


@then("no serving task exceeds its latency target")
def step_under_target(context):
    for worker, run in active_runs(context):
        if run.spec.target_ms:
            assert context.world.tail_latency_ms(worker, run) <= run.spec.target_ms
    assert context.world.counts["paced"]


@then("all filling tasks run at a rate of {percent:d} percent")
def step_full_rate(context, percent):
    rates = [run.rate_percent for _, run in active_runs(context) if run.spec.fills]
    assert rates == [percent] * 3, rates


@when(
    "job {name} of {count:d} lasting tasks on separate endpoints "
    "with an availability budget of {budget:d} is accepted"
)
def step_accept_separate(context, name, count, budget):
    step = StepSpec(
        count,
        TASK_MILLICORES,
        512,
        lasting=True,
        max_unavailable=budget,
        most_per_endpoint=1,
    )
    submit_job(context, name, [step])


@when(
    "job {name} of {count:d} lasting tasks "
    "with an availability budget of {budget:d} is accepted"
)
def step_accept_budget(context, name, count, budget):
    step = StepSpec(count, TASK_MILLICORES, 512, lasting=True, max_unavailable=budget)
    submit_job(context, name, [step])


@when("job {name} of a gang {count:d}x{estimate:d} of {cores:d} cores is accepted")
def step_accept_gang(context, name, count, estimate, cores):
    step = StepSpec(count, cores * 1000, 512, estimate_ms=estimate, gang=True)
    submit_job(context, name, [step])


@when("{seconds:g} seconds pass")
def step_pass(context, seconds):
    context.world.run(seconds)


@when("the endpoint of task {number:d} of {job} is cut off")
def step_cut_off(context, number, job):
    find_worker(context, number, job).cut = True


@when("the endpoint of task {number:d} of {job} is cut off for {seconds:g} seconds")
def step_cut_off_for(context, number, job, seconds):
    worker = find_worker(context, number, job)
    worker.cut = True
    context.world.call_later(seconds, lambda: setattr(worker, "cut", False))


@when(
    "the endpoint of the newest run of task {number:d} of {job} is cut off for "
    "{seconds:g} seconds, {delay:g} seconds from now"
)
def step_cut_off_newest(context, number, job, seconds, delay):
    key = TaskKey(JobId(job), 0, 0, number)
    holding = [w for w in context.world.workers.values() if key in w.runs]
    worker = max(holding, key=lambda w: w.runs[key].run)
    context.world.call_later(delay, lambda: setattr(worker, "cut", True))
    context.world.call_later(delay + seconds, lambda: setattr(worker, "cut", False))


@when("job {name} is cancelled while its placement is being stored")
def step_cancel_early(context, name):
    state = find_node(context, "a").state
    assert context.world.run_until(lambda: state.committing_tasks, 3.0)
    context.world.cancel(JobId(name))


@when("the endpoint of task {number:d} of {job} crashes")
def step_crash(context, number, job):
    find_worker(context, number, job).crash()


@when("the endpoint of task {number:d} of {job} restarts with the same id")
def step_restart(context, number, job):
    worker = find_worker(context, number, job)
    worker.crash()
    worker.restart()
    context.world.publish_report(worker)


def drain(context, worker):
    worker.draining = True
    worker.draining_since = context.world.now
    context.world.publish_report(worker)


@when("the endpoint of task {number:d} of {job} drains")
def step_drain(context, number, job):
    drain(context, find_worker(context, number, job))


@when("endpoint {name:w} begins to drain")
def step_drain_endpoint(context, name):
    drain(context, context.world.workers[name])


@when("endpoint {name:w} is cut off for {seconds:g} seconds")
def step_cut_off_endpoint(context, name, seconds):
    worker = context.world.workers[name]
    worker.cut = True
    context.world.call_later(seconds, lambda: setattr(worker, "cut", False))


@when("node {name} is killed after {seconds:g} seconds")
def step_kill(context, name, seconds):
    context.world.run(seconds)
    killed = find_node(context, name)
    killed.frozen = True
    killed.deferred = []
    context.world.nodes.remove(killed)


@when("node {name} freezes after {seconds:g} seconds")
def step_freeze(context, name, seconds):
    context.world.run(seconds)
    find_node(context, name).frozen = True


@when("node {name} resumes after {seconds:g} seconds")
def step_resume(context, name, seconds):
    context.world.run(seconds)
    find_node(context, name).thaw()


@when("node {name} takes the term after {seconds:g} seconds")
def step_take_term(context, name, seconds):
    context.world.run(seconds)
    context.world.take_term(name)


@step("every endpoint refuses starts")
def step_refuse_starts(context):
    for worker in context.world.workers.values():
        worker.unhealthy = True


@when("every endpoint accepts starts again")
def step_accept_starts(context):
    for worker in context.world.workers.values():
        worker.unhealthy = False


@when("every endpoint works again")
def step_work_again(context):
    for worker in context.world.workers.values():
        worker.unhealthy = worker.fails_all = False


@when("every endpoint restarts with the same id")
def step_restart_all(context):
    for worker in context.world.workers.values():
        worker.crash()
        worker.restart()


@when("every endpoint restarts with the same id, cut off from the store")
def step_restart_all_unreported(context):
    for worker in context.world.workers.values():
        report = worker.report()
        worker.report = lambda report=report: report
        worker.crash()
        worker.restart()


@when("the store persists only the {part} part of commits")
def step_partial_commits(context, part):
    context.world.only_partition = part


@when("the store persists whole commits again")
def step_whole_commits(context):
    context.world.only_partition = ""


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
    worker = find_worker(context, number, job)
    append, poll, order = world._append, world._do_pollendpoint, world._send_order

    def is_cut_off(sender, endpoint):
        return (sender.name == first) != (endpoint == worker.id)

    def append_unless_cut_off(sender, term, effect):
        if sender.name != first:
            append(sender, term, effect)

    def poll_unless_cut_off(sender, effect):
        if is_cut_off(sender, effect.endpoint):
            failed = ev.PollFailed(effect.endpoint, ev.Outcome.UNKNOWN, world.now + 1)
            world.call_later(1.0, lambda: sender.feed(failed))
        else:
            poll(sender, effect)

    def order_unless_cut_off(sender, effect, take, kind):
        if not is_cut_off(sender, effect.endpoint):
            order(sender, effect, take, kind)

    world._append, world._do_pollendpoint = append_unless_cut_off, poll_unless_cut_off
    world._send_order = order_unless_cut_off


@when("job {name} is cancelled")
def step_cancel(context, name):
    context.world.cancel(JobId(name))


@when("a wave over all instances, at most {most:d} at once, is requested")
def step_wave(context, most):
    world = context.world
    world.request_wave(WaveSpec(1, tuple(world.pool_of), world.now + 30, most))


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


def completed_jobs(context):
    world = context.world
    return [j for j in world.specs if world.state_of(j) is JobState.COMPLETED]


@then("all jobs are completed")
def step_all_completed(context):
    missing = set(context.world.specs) - set(completed_jobs(context))
    assert not missing, sorted(missing)


@then("at least {count:d} jobs are completed")
def step_min_completed(context, count):
    assert len(completed_jobs(context)) >= count, len(completed_jobs(context))


@then("no rule was broken")
def step_rules(context):
    assert not context.world.violations, context.world.violations[:5]


@then("no task is running")
def step_none_running(context):
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
def step_max_runs(context, name, count):
    runs = len(context.world.workers[name].highest_runs)
    assert runs <= count, runs


@then("no end of a run was acknowledged")
def step_unacknowledged(context):
    assert not any(w.acked_end for w in context.world.workers.values())
    assert any(w.unacked_ends for w in context.world.workers.values())


@then("node {name} is not the scheduler")
def step_not_scheduling(context, name):
    assert find_node(context, name).state.term == 0


@then("the wave is not completed")
def step_wave_not_completed(context):
    assert context.world.wave_completed == {1: False}, context.world.wave_completed


@then("the wave is completed")
def step_wave_completed(context):
    assert context.world.wave_completed == {1: True}, context.world.wave_completed


@then("every instance was maintained once")
def step_maintained_once(context):
    done = context.world.maintained[1]
    assert sorted(done) == sorted(context.world._waves[1].instances), done


@then("only advised endpoints have had runs")
def step_advised(context):
    for worker in context.world.workers.values():
        assert is_advised(worker.id) or not worker.highest_runs, worker.id


@then("the tasks of {job} run on {count:d} endpoints, at most {most:d} on each")
def step_spread(context, job, count, most):
    found = Counter(w.id for w, run in active_runs(context) if run.task.job == job)
    assert len(found) == count, found
    assert max(found.values()) <= most, found


@then("{count:d} endpoints have runs")
def step_busy_endpoints(context, count):
    busy = [w.id for w in context.world.workers.values() if w.runs]
    assert len(busy) == count, busy
