"""Steps for endpoints that are silent for a while."""

from behave import then, when

from primrosepitch.jobs.model import JobId, TaskKey


@when(
    "the endpoint of task {number:d} of {job} is silent, {way}, for {seconds:g} seconds"
)
def step_silent(context, number, job, way, seconds):
    worker = context.world.worker_running(TaskKey(JobId(job), 0, 0, number))
    mode = "cut" if way == "both ways" else "mute"
    setattr(worker, mode, True)
    context.world.call_later(seconds, lambda: setattr(worker, mode, False))


@when(
    "the entry of the endpoint of task {number:d} of {job} is missing "
    "for {seconds:g} seconds"
)
def step_entry_missing(context, number, job, seconds):
    world = context.world
    worker = world.worker_running(TaskKey(JobId(job), 0, 0, number))
    world.remove_report(worker)
    world.call_later(seconds, lambda: world.publish_report(worker))


def failed_runs(context, job):
    return {k: n for k, n in context.world.failed_runs.items() if k.job == JobId(job)}


@then("each task of {job} ran once, and no attempt failed")
def step_ran_once(context, job):
    world = context.world
    runs = {
        key: run
        for worker in world.workers.values()
        for key, run in worker.highest_runs.items()
        if key.job == JobId(job)
    }
    assert len(runs) == 8, runs
    assert set(runs.values()) == {1}, runs
    step_no_failures(context, job)


@then("no attempt of {job} failed")
def step_no_failures(context, job):
    failed = failed_runs(context, job)
    assert not failed, failed
    recorded = [
        task.key
        for node in context.world.nodes
        for run in node.state.jobs.values()
        for task in run.tasks()
        if task.failed
    ]
    assert not recorded, recorded


@then("task {number:d} of {job} runs elsewhere")
def step_runs_elsewhere(context, number, job):
    key = TaskKey(JobId(job), 0, 0, number)
    running = [w for w in context.world.workers.values() if key in w.runs and not w.cut]
    assert running, "no endpoint that answers runs it"
