"""Steps for a scheduler that gets too little processor time."""

from collections import Counter

from behave import given, then, when

from primrosepitch.events import ENDPOINT_EJECTED, RUN_STOPPING
from primrosepitch.jobs.model import EndpointId, JobId, TaskKey
from primrosepitch.node.order_queue import OrderQueue
from primrosepitch.scheduling import effects as ef
from primrosepitch.scheduling import events as ev
from standins.slow_scheduler import (
    TASKS_PER_JOB,
    URGENT_JOB,
    SlowDay,
    play_slow_day,
)


@given("{jobs:d} jobs a second, of {tasks:d} tasks each, for {seconds:d} s")
def step_load(context, jobs, tasks, seconds):
    assert tasks == TASKS_PER_JOB
    context.load = jobs, seconds


@when(
    "the scheduler gets {part:g} of the time that its orders need, "
    "from {first:d} to {end:d} s"
)
def step_slow(context, part, first, end):
    jobs, seconds = context.load
    context.day = SlowDay(jobs, part, first, end, seconds)
    context.world, context.ended = play_slow_day(context.day)


@when(
    "the scheduler gets {part:g} of the time that its orders need, "
    "from {first:d} to {end:d} s, and an urgent job is accepted at {at:d} s"
)
def step_slow_with_urgent(context, part, first, end, at):
    jobs, seconds = context.load
    context.day = SlowDay(jobs, part, first, end, seconds, urgent_at_s=at)
    context.world, _ = play_slow_day(context.day)


@then("the urgent job is completed within {seconds:d} s")
def step_urgent_completed(context, seconds):
    world = context.world
    took_s = world.completed_at[URGENT_JOB] - world.accepted_at[URGENT_JOB]
    assert took_s <= seconds, took_s


@then("at least {count:d} tasks end in each {span:d} s from {first:d} s on")
def step_progress(context, count, span, first):
    ended = context.ended
    sums = [sum(ended[s : s + span]) for s in range(first, len(ended) - span + 1)]
    assert min(sums) >= count, ended


@then(
    "from {first:d} s on, tasks end at {part:g} of the rate at which they come, "
    "or faster"
)
def step_recovered(context, first, part):
    rates = context.ended[first:]
    rate = sum(rates) / len(rates)
    assert rate >= part * context.day.tasks_per_s, context.ended


@given(
    "start orders are not sent for {seconds:d} seconds, since they wait for too long"
)
def step_expired(context, seconds):
    world = context.world
    send, until = world._do_startrun, world.now + seconds

    def expire(node, order):
        if world.now >= until:
            send(node, order)
            return
        event = ev.StartAnswered(
            order.task, order.run, order.endpoint, ev.Outcome.EXPIRED, world.now + 0.2
        )
        world.call_later(0.2, lambda: node.feed(event))

    world._do_startrun = expire


@then("no endpoint was ejected and no run was stopped")
def step_no_fault(context):
    events = context.world.events
    assert not events[ENDPOINT_EJECTED.number], events
    assert not events[RUN_STOPPING.number], events
    assert not any(
        e.fault_score for e in context.world.nodes[0].state.endpoints.values()
    )


@given("stop orders take {seconds:g} seconds")
def step_slow_stops(context, seconds):
    world = context.world
    send = world._do_stoprun
    context.stops = Counter()

    def delay(node, order):
        context.stops[order.task] += 1
        world.call_later(seconds, lambda: send(node, order))

    world._do_stoprun = delay


@then("each of the {count:d} runs got at most {most:d} stop orders")
def step_max_stops(context, count, most):
    assert len(context.stops) == count, context.stops
    assert max(context.stops.values()) <= most, context.stops


@given("a queue of orders")
def step_queue(context):
    context.queue = OrderQueue()


def make_order(kind, run, task=0, endpoint="e1"):
    key = TaskKey(JobId("j"), 0, 0, task)
    endpoint = EndpointId(endpoint)
    if kind == "start":
        return ef.StartRun(endpoint, "a:1", 1, key, run, "p", 0, "", "", 1)
    if kind == "stop":
        return ef.StopRun(endpoint, "a:1", 1, key, run, 1)
    return ef.ThrottleRun(endpoint, "a:1", 1, key, run, 50, 1)


@when("{orders} are issued for a task")
def step_issue(context, orders):
    for number, text in enumerate(orders.split(", ")):
        kind, run = text.split()
        context.queue.put(make_order(kind, int(run)), float(number))


def take_all(queue):
    taken = []
    while (queued := queue.take()) is not None:
        taken.append(queued.order)
    return taken


KINDS = {ef.StartRun: "start", ef.StopRun: "stop", ef.ThrottleRun: "throttle"}


@then("the queue has {orders}")
def step_left(context, orders):
    taken = take_all(context.queue)
    found = ", ".join(f"{KINDS[type(order)]} {order.run}" for order in taken)
    assert found == orders, found


@when(
    "{count:d} starts are issued for endpoint {first}, "
    "and then {few:d} for endpoint {other}"
)
def step_issue_many(context, count, first, few, other):
    for number in range(count):
        context.queue.put(make_order("start", 1, number, first), 0.0)
    for number in range(few):
        context.queue.put(make_order("start", 1, number, other), 1.0)


@then("the orders that may be sent go to {endpoints}")
def step_turns(context, endpoints):
    context.taken = take_all(context.queue)
    found = ", ".join(order.endpoint for order in context.taken)
    assert found == endpoints, found


@when("the first of them has been answered")
def step_first_answered(context):
    context.queue.finish(context.taken[0])
