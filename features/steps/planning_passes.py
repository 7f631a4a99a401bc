"""Steps for planning passes at the size of hundreds of endpoints."""

import random

from behave import given, then, when

from primrosepitch.jobs.model import (
    JobId,
    JobSpec,
    QueueName,
    Resources,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.node.tick_delay import TickDelay
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.ordering import ready_steps
from primrosepitch.scheduling.placement import StepCandidates
from primrosepitch.scheduling.reducer import MAX_PLANNING_INTERVAL_S, step
from primrosepitch.scheduling.runs import place_task
from primrosepitch.scheduling.state import Phase
from standins.waiting_jobs import WALL_MS, all_tasks, build_state

TICK_S = 0.02

POOL = ServiceName("pool-0")


def accept(context, number, spec):
    job = JobSpec(
        JobId(f"{number:016x}"),
        QueueName("queue"),
        POOL,
        WorkspaceName("team"),
        "x",
        (spec,),
        WALL_MS,
        stretch=1.6,
        goal_ms=1000,
    )
    step(context.state, ev.JobAccepted(job))
    return context.state.jobs[job.job]


def placed(job):
    return [task for task in job.tasks() if task.phase is Phase.COMMITTING]


@given(
    "{endpoints:d} empty endpoints and {jobs:d} jobs that have waited for a scheduler"
)
def step_state(context, endpoints, jobs):
    context.state = build_state(endpoints, jobs)
    for job in context.state.jobs.values():
        all_tasks(context.state, job)
    context.placements = []
    context.rankings = 0
    cost = StepCandidates.cost

    def counted_cost(self, endpoint):
        if not self._spec.lasting:
            context.rankings += 1
        return cost(self, endpoint)

    StepCandidates.cost = counted_cost
    context.add_cleanup(setattr, StepCandidates, "cost", cost)


@when("the next planning pass is due")
def step_pass(context):
    pass_after(context, MAX_PLANNING_INTERVAL_S)


def pass_after(context, seconds):
    state = context.state
    now = state.now + seconds
    context.waiting_before = ready_steps(state)
    effects = step(state, ev.Tick(now, WALL_MS + round(now * 1000)))
    names = [getattr(getattr(e, "event", None), "name", "") for e in effects]
    context.placements.append(names.count("run_starting"))


@when("{seconds:g} s of ticks have passed")
def step_ticks(context, seconds):
    for _ in range(round(seconds / TICK_S)):
        pass_after(context, TICK_S)


@then("at most {count:d} tasks were placed by one pass")
def step_bounded(context, count):
    assert 0 < max(context.placements) <= count, context.placements


@then("all tasks are placed that fit")
def step_all_placed(context):
    state = context.state
    for ready in ready_steps(state):
        if ready.step.spec.most_per_endpoint:
            continue
        free = [
            e.id
            for e in state.endpoints.values()
            if e.report.service == ready.job.spec.service
            and e.has_room(ready.step.spec.needs)
        ]
        assert not free, f"{len(ready.tasks)} tasks wait beside {free[:3]}"


@then("no placed step ranks behind one that waits and fits")
def step_ranked(context):
    state = context.state
    ranks = {}
    for ready in context.waiting_before:
        waiting = any(task.phase is Phase.WAITING for task in ready.tasks)
        started = any(task.phase is Phase.COMMITTING for task in ready.tasks)
        fits = any(
            e.report.service == ready.job.spec.service
            and e.has_room(ready.step.spec.needs)
            for e in state.endpoints.values()
        )
        if waiting and fits and not ready.step.spec.most_per_endpoint:
            ranks.setdefault("waits", ready.rank)
        if started:
            ranks["started"] = ready.rank
    assert ranks["started"] < ranks["waits"], ranks


@then("each endpoint was ranked at most once for each step that does not last")
def step_rankings(context):
    state = context.state
    pool_size = len(state.endpoints) / 4
    steps = sum(not job.spec.lasting for job in state.jobs.values())
    # A step may wait in several passes until its pool is known to be full.
    passes = sum(count > 0 for count in context.placements)
    assert context.rankings <= pool_size * (steps + passes), context.rankings


@given("{endpoints:d} endpoints with random load and faults, seed {seed:d}")
def step_random_state(context, endpoints, seed):
    context.state = build_state(endpoints, 0)
    context.placements = []
    rng = context.rng = random.Random(seed)
    for endpoint in context.state.endpoints.values():
        endpoint.fault_score = float(rng.randint(0, 2))
        endpoint.used = Resources(rng.randrange(0, 4000, 100))


def lowest_cost(candidates, task, pool):
    """Return the endpoint with the lowest cost, found by comparing all of them."""
    fitting = [e for e in pool if candidates._admits(e)]
    key = lambda e: (e.id == task.avoid_endpoint, *candidates.cost(e))  # noqa: E731
    return min(fitting, key=key, default=None)


@then("each of {count:d} random tasks goes to the endpoint with the lowest cost")
def step_same_choice(context, count):
    state, rng = context.state, context.rng
    pool = [e for e in state.endpoints.values() if e.report.service == POOL]
    number = done = 0
    while done < count:
        number += 1
        spec = StepSpec(
            rng.randint(1, 12),
            cpu=rng.randint(200, 2000),
            memory=rng.randint(100, 900),
            most_per_endpoint=rng.choice((0, 0, 1, 2)),
            rack=rng.choice(("", "rack-0", "rack-1")),
        )
        job = accept(context, number, spec)
        all_tasks(state, job)
        (ready,) = [r for r in ready_steps(state) if r.job is job]
        candidates = StepCandidates(ready, pool)
        for task in ready.tasks:
            task.avoid_endpoint = rng.choice(pool).id
            expected = lowest_cost(candidates, task, pool)
            chosen = candidates.choose(task)
            key = expected and candidates.cost(expected)
            assert (chosen and candidates.cost(chosen)) == key, (chosen, expected)
            done += 1
            if chosen is None:
                step(state, ev.CancelRequested(job.spec.job))
                for endpoint in pool:
                    endpoint.used = endpoint.used.subtract(endpoint.used)
                break
            place_task(state, task, chosen, {})
            candidates.record_placement(chosen)
        for task in job.tasks():
            task.phase = Phase.DONE


@when(
    "a job of {tasks:d} tasks of {cores:d} cores "
    "that shall stay in one rack is accepted"
)
def step_one_rack(context, tasks, cores):
    spec = StepSpec(tasks, cpu=cores * 1000, estimate_ms=1000, one_rack=True)
    context.job = accept(context, 1, spec)


@then("its tasks are placed on more than one endpoint, in {racks:d} racks")
def step_racks(context, racks):
    tasks = placed(context.job)
    assert len(tasks) == context.job.spec.steps[0].tasks
    assert len({task.endpoint for task in tasks}) > 1
    found = {task.rack for task in tasks}
    assert len(found) == racks, found


def record_ticks(context, times):
    for text in times.split(","):
        context.tick_delay.record(float(text))


@given("ticks at {times} s")
def step_delays(context, times):
    context.tick_delay = TickDelay(TICK_S)
    record_ticks(context, times)


@when("the node does not schedule until {until:g} s, and ticks at {times} s")
def step_not_scheduling(context, until, times):
    context.tick_delay.reset()
    record_ticks(context, times)


@then("the largest delay is {delay:g} s at {now:g} s, and {later:g} s at {end:g} s")
def step_largest(context, delay, now, later, end):
    for seconds, at in ((delay, now), (later, end)):
        found = round(context.tick_delay.largest_s(at), 2)
        assert found == seconds, found
