"""Steps for the growth of a pool at the begin of a burst."""

import math

from behave import given, then, when

from primrosepitch.jobs.model import (
    EndpointId,
    JobId,
    JobSpec,
    QueueName,
    Resources,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import WorkspaceSpec
from primrosepitch.scheduling.effects import Commit, MoveInstance
from primrosepitch.scheduling.lending import _evaluate_pools
from primrosepitch.scheduling.ordering import ready_steps
from primrosepitch.scheduling.reducer import step
from primrosepitch.scheduling.state import InstanceMove
from primrosepitch.scheduling.turns import PoolTurns, Prediction
from standins.waiting_jobs import CAPACITY, WALL_MS, build_state

TICK_S = 0.02

POOL = ServiceName("pool-0")
OTHER_POOL = ServiceName("pool-1")
SPARE = ServiceName("spare")

JOB_CORES = 16
"""Processor time of one job of the burst: 8 tasks of 2 cores."""


def accept(context, name, spec):
    job = JobSpec(
        JobId(name),
        QueueName("queue"),
        POOL,
        WorkspaceName("team"),
        "x",
        (spec,),
        WALL_MS + round(context.state.now * 1000),
        stretch=1.6,
        goal_ms=1000,
    )
    step(context.state, ev.JobAccepted(job))


def tick_until(context, at):
    """Advance to a time; commits are durable at once, and moves are recorded."""
    state = context.state
    while state.now < at:
        now = state.now + TICK_S
        effects = step(state, ev.Tick(now, WALL_MS + round(now * 1000)))
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, Commit):
                effects += step(state, ev.Committed(effect.number, now))
            elif isinstance(effect, MoveInstance) and effect.pool == POOL:
                context.moves.append((state.now, effect.instance))


@given("a pool of {endpoints:d} endpoints whose lasting tasks use {cores:d} cores")
def step_pool(context, endpoints, cores):
    context.state = state = build_state(4 * endpoints, 0)
    context.moves = []
    views = [
        ev.InstanceView(
            endpoint.report.instance,
            endpoint.report.service,
            ev.InstanceState.UP,
            "hall",
            ("a", endpoint.rack),
            CAPACITY,
            endpoint.id,
        )
        for endpoint in state.endpoints.values()
        if endpoint.report.service == POOL
    ]
    for endpoint in list(state.endpoints.values()):
        if endpoint.report.service != POOL:
            state.drop_endpoint(endpoint)
    step(state, ev.InstancesListed(ev.InstanceListing(views, True), 1.0))
    tasks = cores // 8
    spec = StepSpec(tasks, cpu=8000, memory=512, lasting=True, most_per_endpoint=1)
    accept(context, "f" * 16, spec)
    tick_until(context, 9.5)
    used = sum(endpoint.used.cpu for endpoint in state.endpoints.values())
    assert used == cores * 1000, used


@given(
    "{count:d} idle instances whose move to the spare pool was {outcome} at {at:g} s"
)
def step_switched_off(context, count, outcome, at):
    state = context.state
    tick_until(context, at)
    for number in range(count):
        name = f"off-{number}"
        state.instances[name] = ev.InstanceView(
            name, POOL, ev.InstanceState.UP, "hall", (), CAPACITY, EndpointId("")
        )
        state.moves[name] = InstanceMove(SPARE, state.now + 4.5)
        result = ev.Outcome.DONE if outcome == "carried out" else ev.Outcome.UNKNOWN
        step(state, ev.MoveAnswered(name, SPARE, result, state.now))


@when("jobs of {cores:d} cores for 1 s arrive within {seconds:g} s")
def step_burst(context, cores, seconds):
    count = cores // JOB_CORES
    for number in range(count):
        spec = StepSpec(8, cpu=JOB_CORES * 125, memory=512, estimate_ms=1000)
        context.state.now += seconds / count
        accept(context, f"{number:016x}", spec)


@when("jobs of {cores:d} cores for 1 s arrive at {at:g} s")
def step_burst_at(context, cores, at):
    tick_until(context, at - 0.2)
    context.moves_before = list(context.moves)
    step_burst(context, cores, 0.2)
    tick_until(context, at + 1.5)


def need(context):
    # Waiting tasks would add to the demand.
    state = context.state
    for job in state.jobs.values():
        if not job.spec.lasting:
            job.cancelled = True
    return _evaluate_pools(state, ready_steps(state))[POOL].need


@given("the workspace has an upper limit of {cores:d} cores")
def step_limit(context, cores):
    team = WorkspaceName("team")
    limit = Resources(cores * 1000)
    context.state.cfg.workspaces[team] = WorkspaceSpec(team, limit=limit)


@when(
    "a lasting job of {tasks:d} tasks of {cores:d} core and {memory:d} MB "
    "is accepted at {at:g} s"
)
def step_lasting_job(context, tasks, cores, memory, at):
    tick_until(context, at)
    spec = StepSpec(tasks, cpu=1000 * cores, memory=memory, lasting=True)
    accept(context, "e" * 16, spec)


@when(
    "{jobs:d} lasting jobs of {tasks:d} tasks of {cores:d} core and {memory:d} MB "
    "are accepted at {at:g} s"
)
def step_lasting_jobs(context, jobs, tasks, cores, memory, at):
    tick_until(context, at)
    spec = StepSpec(tasks, cpu=1000 * cores, memory=memory, lasting=True)
    for number in range(jobs):
        accept(context, f"e{number:015x}", spec)


@when("jobs of {cores:d} cores for 60 s arrive within {seconds:g} s")
def step_long_burst(context, cores, seconds):
    for number in range(cores // JOB_CORES):
        spec = StepSpec(8, cpu=JOB_CORES * 125, memory=512, estimate_ms=60_000)
        accept(context, f"{number:016x}", spec)
    tick_until(context, context.state.now + seconds)


@when("the arrivals have been forgotten")
def step_no_arrivals(context):
    context.state.arrival_rates.clear()


@then("the pool needs {endpoints:d} endpoints with its waiting work")
def step_need_with_waiting(context, endpoints):
    state = context.state
    found = _evaluate_pools(state, ready_steps(state))[POOL].need
    assert found == endpoints, found


@given("a turn with {cores:d} cores is expected in {pool} pool at {at:g} s")
def step_expected_turn(context, cores, pool, at):
    service = POOL if pool == "the" else OTHER_POOL
    turns = context.state.turns
    turns.enabled = True
    turns.pools[service] = PoolTurns(context.state.now)
    turns.prediction = Prediction(service, at, 0.1, cores * 1000.0)


@when("time advances to {at:g} s")
def step_advance_to(context, at):
    tick_until(context, at)


@when("{seconds:d} second passes")
def step_wait(context, seconds):
    tick_until(context, context.state.now + seconds)


@then("{count:d} instances have been moved to the pool")
@then("{count:d} instance has been moved to the pool")
def step_moved_so_far(context, count):
    moved = {instance for _, instance in context.moves}
    assert len(moved) == count, context.moves


@then("the pool needs at least {endpoints:d} endpoints")
def step_need(context, endpoints):
    context.need = need(context)
    assert context.need >= endpoints, context.need


@then("the need is at most that of {cores:d} cores")
def step_max_need(context, cores):
    assert context.need <= math.ceil(cores * 1.15 * 1000 / CAPACITY.cpu), context.need


@then("no instance is moved before {at:g} s")
def step_not_before(context, at):
    early = [move for move in context.moves if move[0] < at]
    assert not early, early


@then("{count:d} instances are moved to the pool by {at:g} s")
def step_moved(context, count, at):
    moved = {instance for moved_at, instance in context.moves if moved_at <= at}
    assert len(moved) == count, context.moves
