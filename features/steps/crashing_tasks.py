"""Steps for tasks that crash the endpoints that start them, in virtual time."""

import msgspec
from behave import given, then, when
from steps.scheduler_rules import submit_job

from primrosepitch.events import CRASH_COUNTED
from primrosepitch.jobs.model import EndpointId, JobId, JobState, StepSpec, TaskKey
from primrosepitch.jobs.records import RunCrash, TaskRecord
from primrosepitch.scheduling.state import Phase


class RecordWithoutCrashes(msgspec.Struct, array_like=True):
    """Layout of a task's record before crashes were counted."""

    occurrence: int
    step: int
    index: int
    run: int = 0
    placed: str = ""
    born: int = 0
    failed: tuple[int, ...] = ()
    done: bool = False
    checkpoint: str = ""


@given("crashed endpoints restart after {seconds:g} seconds with {which} id")
def step_restart_after(context, seconds, which):
    context.world.restart_s = seconds
    context.world.restart_with_new_id = which == "a new"


@given("tasks {numbers} of {job} are deadly")
def step_deadly(context, numbers, job):
    for number in numbers.split(","):
        context.world.deadly_tasks.add(TaskKey(JobId(job), 0, 0, int(number)))


@when(
    "{share:g} of the endpoints crash every {every:g} seconds for {seconds:g} seconds"
)
def step_random_crashes(context, share, every, seconds):
    world = context.world

    def crash_some():
        up = [worker for worker in world.workers.values() if worker.up]
        for worker in world.rng.sample(up, round(len(up) * share)):
            world.crash_worker(worker)

    for number in range(int(seconds / every)):
        world.call_later((number + 1) * every, crash_some)


@when("endpoint {name} joins with {count:d} lasting tasks of its own")
def step_join_with_tasks(context, name, count):
    world = context.world
    world.add_worker(name, "s", rack="own")
    world.run(1.0)
    for number in range(count):
        step = StepSpec(1, 1000, 100, lasting=True, label="own")
        submit_job(context, f"own{number}", [step])
    world.run(4.0)


@when(
    "the endpoint of task {number:d} of {job} is lost, "
    "and two endpoints have crashed under the task"
)
def step_task_with_crashes(context, number, job):
    world = context.world
    state = world.nodes[0].state
    task = state.jobs[JobId(job)].steps[0][0].tasks[number]
    world.workers[task.endpoint].crash()
    task.crashes = tuple(
        RunCrash(900 + i, EndpointId(f"x{i}"), 1, f"m-x{i}", 3, False, "restarted")
        for i in (1, 2)
    )
    state.crashed_tasks[task.key] = task


@when(
    "the endpoints of {job} crash twice, "
    "{seconds:g} s after all of its tasks have started"
)
def step_crash_twice(context, job, seconds):
    world = context.world
    count = world.specs[JobId(job)].steps[0].tasks

    def endpoints():
        running = [(w, k) for w in world.workers.values() if w.up for k in w.runs]
        return [worker for worker, key in running if key.job == job]

    for _ in range(2):
        assert world.run_until(lambda: len(endpoints()) == count, 20)
        world.run(seconds)
        for worker in {w.id: w for w in endpoints()}.values():
            world.crash_worker(worker)


@when("rack {rack} crashes {delay:g} seconds from now")
def step_rack_lost(context, rack, delay):
    world = context.world

    def crash():
        for worker in list(world.workers.values()):
            if worker.up and worker.rack == rack:
                world.crash_worker(worker)

    world.call_later(delay, crash)


@when("endpoint {name} crashes every {every:g} seconds for {seconds:g} seconds")
def step_unstable(context, name, every, seconds):
    world = context.world

    def crash():
        world.crash_worker(world.workers[name])

    for number in range(int(seconds / every)):
        world.call_later(number * every, crash)


@when("every endpoint crashes and node {second} takes over from node {first}")
def step_power_loss(context, second, first):
    world = context.world
    for worker in list(world.workers.values()):
        if worker.up:
            world.crash_worker(worker)
    context.execute_steps(
        f"""
        When node {first} is killed after 0 seconds
        And node {second} takes the term after 1.5 seconds
        """
    )


@when("node {name} is killed {seconds:g} seconds after crash {number:d}")
def step_kill_after_crash(context, name, seconds, number):
    world = context.world
    crashes = world.deadly_crashes
    assert world.run_until(lambda: crashes.total() >= number, 30.0), crashes
    context.execute_steps(f"When node {name} is killed after {seconds} seconds")


@then("all other jobs are completed")
def step_others_completed(context):
    world = context.world
    deadly = {task.job for task in world.deadly_tasks}
    states = {
        job: world.state_of(job)
        for job, spec in world.specs.items()
        if job not in deadly and not spec.lasting
    }
    missing = {job for job, state in states.items() if state != JobState.COMPLETED}
    assert not missing, {job: states[job] for job in missing}


@then("at least {count:d} endpoints were up all the time")
def step_fewest_up(context, count):
    assert context.world.fewest_up >= count, context.world.fewest_up


@then("no crash was counted")
def step_no_crash(context):
    assert not context.world.events[CRASH_COUNTED.number], context.world.events


@when("{count:d} crashes are proved under task {number:d} of {job}, which is done")
def step_prove_late(context, count, number, job):
    state = context.world.nodes[0].state
    task = state.jobs[JobId(job)].steps[0][0].tasks[number]
    assert task.phase is Phase.DONE, task.phase
    crash = RunCrash(1, EndpointId("e1"), 7, "m1", proof="endpoint restarted")
    task.crashes = (crash,) * count
    state.crashed_tasks[task.key] = task


@when("a record of a task with {count:d} crashes is written")
def step_write_record(context, count):
    crash = RunCrash(1, EndpointId("e1"), 7, "m1", 3, True, "instance restarted")
    context.record = TaskRecord(
        0, 1, 2, run=4, checkpoint="c", crashes=(crash,) * count
    )


@then("the layout without crashes reads it")
def step_old_layout_reads(context):
    value = msgspec.msgpack.encode(context.record)
    assert msgspec.msgpack.decode(value, type=TaskRecord) == context.record
    old = msgspec.msgpack.decode(value, type=RecordWithoutCrashes)
    assert old == RecordWithoutCrashes(0, 1, 2, run=4, checkpoint="c"), old


@then("a record in the layout without crashes is read with {count:d} crashes")
def step_old_record(context, count):
    value = msgspec.msgpack.encode(RecordWithoutCrashes(0, 1, 2, run=4))
    record = msgspec.msgpack.decode(value, type=TaskRecord)
    assert (record.run, len(record.crashes)) == (4, count), record
