"""Steps for the work that one large job causes in the scheduler."""

import sys

from behave import given, then, when

from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.reducer import MAX_PLANNING_INTERVAL_S, step
from primrosepitch.scheduling.runs import release_task, settle_job
from primrosepitch.scheduling.state import Phase
from standins.large_jobs import build_pools, large_job
from standins.waiting_jobs import WALL_MS, all_tasks

ENDPOINTS = 80


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


@given("jobs of {small:d} and of {large:d} steps that are {kind}")
def step_jobs(context, small, large, kind):
    context.kind, context.ranking = kind, "urgency"
    context.jobs = [large_job(kind, count) for count in (small, large)]


@given("gangs of {small:d} and of {large:d} members")
def step_gangs(context, small, large):
    step_jobs(context, small, large, "one gang")


@given("jobs are ranked by value")
def step_ranking(context):
    context.ranking = "value"


def build(context, room):
    state = build_pools(context.kind, room, ENDPOINTS)
    state.ranking = context.ranking
    return state


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
            for task in all_tasks(state, large):
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
