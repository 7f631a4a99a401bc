"""Steps for endpoints that run work several times slower than others."""

import functools

import msgspec
from behave import given, then, when
from steps.scheduler_rules import make_world, submit_job

from primrosepitch.events import ENDPOINT_SLOW
from primrosepitch.jobs.model import (
    EndpointId,
    JobId,
    Resources,
    ServiceName,
    StepSpec,
    TaskKey,
)
from primrosepitch.jobs.records import (
    SLOW_KEY,
    OpenMoves,
    SlowEndpoint,
    SlowEndpoints,
    decode_moves,
    decode_runs,
    encode,
)
from primrosepitch.node import slow_record
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.effects import StartRun
from primrosepitch.scheduling.slow_endpoints import count_slow
from primrosepitch.scheduling.speed_record import slow_endpoints_record
from primrosepitch.scheduling.state import Endpoint, SchedulerState

LOAD_S = 15.0
LONG_TASK = TaskKey(JobId("long"), 0, 0, 0)


@given(
    "a pool of {count:d} endpoints with a load of {rate:d} jobs of {width:d} tasks a "
    "second"
)
def step_load(context, count, rate, width):
    make_world(context, count)
    world = context.world
    world.duration_sigma, world.duration_seed = 0.5, 7
    context.step = StepSpec(width, 2000, 512, estimate_ms=600)
    context.starts, context.found = [], set()
    context.most_slow, context.began = 0, world.now
    for number in range(int(LOAD_S * rate)):
        at = number / rate
        world.call_later(
            at, lambda n=number: submit_job(context, f"j{n}", [context.step])
        )
    perform = world.perform

    def watch(node, effect):
        if isinstance(effect, StartRun):
            context.starts.append((world.now - context.began, effect))
        elif getattr(effect, "event", None) is ENDPOINT_SLOW:
            context.found.add(effect.fields["endpoint"])
            slow = count_slow(node.state)
            context.most_slow = max(context.most_slow, slow)
        perform(node, effect)

    world.perform = watch


@given(
    "the data of all jobs is in a rack of {count:d} endpoints, and tasks elsewhere "
    "take {factor:d} times as long"
)
def step_wanted_rack(context, count, factor):
    world = context.world
    for number, worker in enumerate(world.workers.values()):
        worker.rack = "near" if number < count else "far"
        world.publish_report(worker)
    world.remote_factor = factor
    context.step = msgspec.structs.replace(context.step, rack="near")


@given("the tasks of every third job take {factor:d} times their estimates")
def step_underestimated(context, factor):
    for number in range(0, int(LOAD_S), 3):
        context.world.duration_factors[JobId(f"j{number}")] = factor


@when(
    "endpoint {name} runs tasks {factor:d} times slower from {begin:d} s to {end:d} s"
)
def step_slow_down(context, name, factor, begin, end):
    worker = context.world.workers[EndpointId(name)]
    world = context.world
    world.call_later(begin, functools.partial(worker.change_speed, factor))
    world.call_later(end, functools.partial(worker.change_speed, 1.0))


@when("all endpoints run tasks {factor:d} times slower from {begin:d} s to {end:d} s")
def step_slow_down_all(context, factor, begin, end):
    for name in context.world.workers:
        step_slow_down(context, name, factor, begin, end)


@then("at most {most:d} endpoints counted as slow at a time")
def step_most_slow(context, most):
    assert 0 < context.most_slow <= most, context.most_slow


@when("the endpoint of a task of 3 s that saves checkpoints becomes 8 times slower")
def step_long_task(context):
    world = context.world
    step = StepSpec(1, 2000, 512, estimate_ms=3000, checkpoints=True)
    submit_job(context, "long", [step])
    world.run(1.0)
    context.slow = world.worker_running(LONG_TASK)
    context.slow.change_speed(8)


@when("{seconds:d} s of load have passed")
def step_run_load(context, seconds):
    context.world.run(seconds - (context.world.now - context.began))


@when("another node takes the next term")
def step_take_over(context):
    world = context.world
    world.nodes.clear()
    world.take_term("b")


@when("endpoint {name} restarts")
def step_restart(context, name):
    worker = context.world.workers[EndpointId(name)]
    worker.crash()
    worker.restart()
    worker.slower = 1.0


def endpoint_states(context):
    return context.world.nodes[-1].state.endpoints


@then("endpoint {name} counted as slow, and no other one did")
def step_only_slow(context, name):
    assert context.found == {name}, context.found


@then("no endpoint counted as slow")
def step_none_found(context):
    assert len(context.starts) > 100, len(context.starts)
    assert not context.found, context.found


@then("no endpoint counts as slow now")
def step_none_slow(context):
    slow = [e.id for e in endpoint_states(context).values() if e.speed.slow]
    assert not slow, slow


def starts_on(context, name, since):
    return sum(at >= since and s.endpoint == name for at, s in context.starts)


@then("fewer than {most:d} runs started on {name} after {since:d} s")
def step_few_starts(context, most, name, since):
    count = starts_on(context, name, since)
    assert count < most, count


@then("more than {least:d} runs started on {name} after {since:d} s")
def step_many_starts(context, least, name, since):
    count = starts_on(context, name, since)
    assert count > least, count


@then("no rule was broken by the load")
def step_no_violation(context):
    assert not context.world.violations, context.world.violations


@then("that task was stopped once and ended on another endpoint")
def step_moved(context):
    runs = [s for _, s in context.starts if s.task == LONG_TASK]
    assert [s.run for s in runs] == [1, 2], runs
    assert runs[0].endpoint == context.slow.id != runs[1].endpoint, runs
    assert float(runs[1].checkpoint) > 0.5, runs[1]
    assert LONG_TASK in context.world.done_tasks


@then("it knows that {name} is slow when its endpoints have joined")
def step_known(context, name):
    slow = [e.id for e in endpoint_states(context).values() if e.speed.slow]
    assert slow == [name], slow


@given("a state with {count:d} endpoints that count as slow")
def step_many_slow(context, count):
    state = context.state = SchedulerState(now=50.0, wall_ms=1_700_000_000_000)
    for number in range(count):
        report = ev.EndpointReport(
            EndpointId(f"front-enns-cellar-{number}"),
            1_700_000_000_000,
            ServiceName("s"),
            "127.0.0.1:1",
            "a",
            False,
            Resources(16000, 32768, 0),
            ("k", "r"),
            f"m{number}",
            0,
            0.0,
        )
        endpoint = Endpoint(report)
        endpoint.speed.slow, endpoint.speed.evidence = True, 12.0
        endpoint.speed.forget_at = 60.0 + number / 100
        state.add_endpoint(endpoint)


@then("its record names {count:d} of them in less than {size:d} bytes")
def step_record_size(context, count, size):
    ((key, value),) = slow_endpoints_record(context.state)
    record = msgspec.msgpack.decode(value, type=SlowEndpoints)
    assert key == SLOW_KEY
    assert len(record.endpoints) == count, len(record.endpoints)
    assert len(value) < size, len(value)


@then("the next record is not written before {seconds:d} s have passed")
def step_next_record(context, seconds):
    state = context.state
    state.endpoints.popitem()
    next(reversed(state.endpoints.values())).speed.slow = False
    state.now += seconds - 0.01
    assert not slow_endpoints_record(state)
    state.now += 0.02
    assert slow_endpoints_record(state)


GOOD = encode(SlowEndpoints({EndpointId("e1"): SlowEndpoint(1, 1200, 5)}))[1]
CONTENTS = {
    "no MessagePack": b"\xc1\xc1",
    "of another type": msgspec.msgpack.encode({"endpoints": {"e1": "slow"}}),
    "cut off": GOOD[:-3],
    "empty": b"",
}


@given("a record of slow endpoints that is {content}")
def step_unreadable(context, content):
    moves = encode(OpenMoves({"m1": ServiceName("s")}))
    context.records = [moves, (SLOW_KEY, CONTENTS[content])]


@then("a new term begins without slow endpoints, and one line says why")
def step_logged(context):
    emitted = []
    original = slow_record.emit
    slow_record.emit = lambda event, **fields: emitted.append((event.name, fields))
    context.add_cleanup(setattr, slow_record, "emit", original)
    assert slow_record.read_slow_endpoints(context.records) == {}
    assert [name for name, _ in emitted] == ["ledger_record_unreadable"], emitted
    assert emitted[0][1]["key"] == SLOW_KEY, emitted


@then("the other records of the partition are read as before")
def step_others_read(context):
    assert decode_moves(context.records) == {"m1": "s"}
    assert decode_runs(context.records) == {}
