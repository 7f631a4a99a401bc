"""Steps for the work that one large job causes in the scheduler."""

import sys

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
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import (
    AdviceSpec,
    QueueSpec,
    WorkspaceSpec,
)
from primrosepitch.scheduling.effects import Commit, StartRun
from primrosepitch.scheduling.reducer import MAX_PLANNING_INTERVAL_S, step
from primrosepitch.scheduling.runs import release_task, settle_job
from primrosepitch.scheduling.state import Phase
from standins.waiting_jobs import WALL_MS, build_state

ENDPOINTS = 80

TEAM = WorkspaceName("team")

PLAIN = StepSpec(1, cpu=100, memory=8, estimate_ms=200)

LASTING = StepSpec(1, cpu=100, memory=8, lasting=True)


def varied(count):
    return [StepSpec(1, 100 + n, 8 + n % 13, estimate_ms=200 + n) for n in range(count)]


def after(count, earlier):
    """Return steps that depend on those whose numbers a function names."""
    return [
        StepSpec(1, cpu=100, memory=8, estimate_ms=200, after=tuple(earlier(number)))
        for number in range(count)
    ]


KINDS = {
    "independent": lambda n: [PLAIN] * n,
    "different from each other": varied,
    "lasting": lambda n: [LASTING] * n,
    "best-effort": lambda n: [StepSpec(1, 100, 8, estimate_ms=200, fills=True)] * n,
    "gangs": lambda n: [StepSpec(1, 100, 8, estimate_ms=200, gang=True)] * n,
    "spread": lambda n: [StepSpec(1, 100, 8, lasting=True, most_per_endpoint=1)] * n,
    "kept in one rack": lambda n: (
        [StepSpec(1, 100, 8, estimate_ms=200, one_rack=True)] * n
    ),
    "a chain": lambda n: after(n, lambda i: range(max(0, i - 1), i)),
    "after 30 earlier steps": lambda n: after(n, lambda i: range(max(0, i - 30), i)),
    "after one of ten": lambda n: after(n, lambda i: (i % 10,) if i >= 10 else ()),
    "repetitions": lambda n: [PLAIN],
    "without a matching label": lambda n: [
        StepSpec(1, 100, 8, estimate_ms=200, label=f"none-{i}") for i in range(n)
    ],
    "beyond a limit": varied,
    "lasting beyond a limit": lambda n: [LASTING] * n,
    "in need of advice": lambda n: [PLAIN] * n,
    "lasting beside filling": lambda n: [LASTING] * n,
    "spread beside filling": lambda n: (
        [StepSpec(1, 100, 8, lasting=True, most_per_endpoint=1)] * n
    ),
}
"""Steps of a job of a number of steps, by kind of job."""


def count_instructions(function):
    """Return how many bytecode instructions a call executes."""
    count = 0

    def trace(frame, event, argument):
        nonlocal count
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        count += event == "opcode"
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(previous)
    return count


def job(name, steps, workspace=TEAM, **options):
    return JobSpec(
        JobId(name),
        QueueName("queue"),
        ServiceName("pool-0"),
        workspace,
        "x",
        tuple(steps),
        WALL_MS,
        stretch=1.6,
        goal_ms=1000,
        **options,
    )


@given("jobs of {small:d} and of {large:d} steps that are {kind}")
def step_jobs(context, small, large, kind):
    context.kind, context.ranking = kind, "urgency"
    context.jobs = []
    for count in (small, large):
        options = {}
        if kind == "repetitions":
            begin_ms = WALL_MS - count
            options = {
                "repetitions": count,
                "interval_ms": 1,
                "first_run_ms": begin_ms,
            }
        context.jobs.append(job("large", KINDS[kind](count), **options))


@given("gangs of {small:d} and of {large:d} members")
def step_gangs(context, small, large):
    context.kind, context.ranking = "gang", "urgency"
    context.jobs = [
        job("large", [StepSpec(count, 100, 8, estimate_ms=200, gang=True)])
        for count in (small, large)
    ]


@given("jobs are ranked by value")
def step_ranking(context):
    context.ranking = "value"


def build(context, room):
    state = build_state(ENDPOINTS, 0)
    state.ranking = context.ranking
    if "limit" in context.kind:
        limit = Resources(cpu=1000)
        state.cfg.workspaces[TEAM] = WorkspaceSpec(TEAM, 100.0, limit)
    if "advice" in context.kind:
        name = QueueName("queue")
        advice = AdviceSpec(150, 20, 3000)
        queue = QueueSpec(name, "h", "/q/", ServiceName("pool-0"), advice=advice)
        state.cfg.queues[name] = queue
    endpoints = list(state.endpoints.values())
    if "filling" in context.kind:
        filling = StepSpec(len(endpoints), 0, 1000, estimate_ms=60_000, fills=True)
        step(state, ev.JobAccepted(job("filling", [filling], WorkspaceName("other"))))
        advance(state, 0.5)
    if room == "no":
        for endpoint in endpoints:
            free = endpoint.free()
            endpoint.used = endpoint.used.add(Resources(free.cpu, free.memory - 4))
    return state


def advance(state, seconds):
    """Advance the time; placements become durable and starts are carried out."""
    end = state.now + seconds
    while state.now < end:
        now = state.now + MAX_PLANNING_INTERVAL_S
        effects = step(state, ev.Tick(now, WALL_MS + round(now * 1000)))
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, Commit):
                effects += step(state, ev.Committed(effect.number, now))
            elif isinstance(effect, StartRun):
                answered = (effect.task, effect.run, effect.endpoint, ev.Outcome.DONE)
                effects += step(state, ev.StartAnswered(*answered, now))


@when("each waits in a pool with {room} room")
def step_wait(context, room):
    context.states = [build(context, room) for _ in context.jobs]
    for state, spec in zip(context.states, context.jobs, strict=True):
        step(state, ev.JobAccepted(spec))


def check_growth(work, factor):
    small, large = work
    assert large <= factor * small, f"{small} and {large}: {large / small:.1f} times"


@then("a planning pass with the larger job takes at most {factor:g} times the work")
def step_pass(context, factor):
    work = []
    for state in context.states:
        now = state.now + MAX_PLANNING_INTERVAL_S
        tick = ev.Tick(now, WALL_MS + round(now * 1000))
        work.append(count_instructions(lambda s=state, t=tick: step(s, t)))
    check_growth(work, factor)


@then("the ends of all runs of the larger job take at most {factor:g} times the work")
def step_ends(context, factor):
    work = []
    for state in context.states:
        (large,) = state.jobs.values()

        def end_all(state=state, large=large):
            for task in large.tasks():
                release_task(state, task, Phase.DONE)
                settle_job(state, large)

        work.append(count_instructions(end_all))
        assert large.state.final
    check_growth(work, factor)


@then("accepting the larger job takes at most {factor:g} times the work")
def step_accept(context, factor):
    work = []
    for spec in context.jobs:
        state = build(context, "enough")
        event = ev.JobAccepted(spec)
        work.append(count_instructions(lambda s=state, e=event: step(s, e)))
    check_growth(work, factor)
