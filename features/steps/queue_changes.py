"""Steps for accepted jobs whose queue, workspace or service a version changes."""

import msgspec
from behave import given, then, when
from steps.scheduler_rules import parse_steps, submit_job

from primrosepitch.events import RUN_START_ANSWERED
from primrosepitch.jobs.model import (
    AdviceSpec,
    JobId,
    JobSpec,
    QueueName,
    Resources,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.jobs.records import encode
from primrosepitch.node.follower import LedgerFollower
from primrosepitch.node.job_intake import JobIntake
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import Configuration, QueueSpec
from standins.scheduler_world import Worker

ADVICE = AdviceSpec(20, 2, 3000)

Q = QueueName("q")


def publish(context, **changes):
    """Publish a version of the configuration, which replaces the one in force."""
    world = context.world
    cfg = world.cfg
    kept = {
        "queues": dict(cfg.queues),
        "services": dict(cfg.services),
        "workspaces": dict(cfg.workspaces),
        "keys": dict(cfg.keys),
    }
    world.cfg = Configuration(version=cfg.version + 1, **(kept | changes))
    for node in world.nodes:
        node.feed(ev.ConfigurationChanged(world.cfg))


def refuse_without_tickets(context):
    world = context.world
    world.always_tickets = True
    context.refused = 0
    start = Worker.start

    def counted(worker, order):
        outcome = start(worker, order)
        context.refused += outcome is ev.Outcome.NO_TICKET
        return outcome

    Worker.start = counted
    context.add_cleanup(setattr, Worker, "start", start)


@given("queue q requires placement advice, and endpoints refuse starts without tickets")
def step_advised(context):
    queue = context.world.cfg.queues[Q]
    publish(context, queues={Q: msgspec.structs.replace(queue, advice=ADVICE)})
    refuse_without_tickets(context)


@when("{count:d} jobs of steps {steps} are accepted on queue q")
def step_accept_on_queue(context, count, steps):
    queue = context.world.cfg.queues[Q]
    kept = {"host": queue.host, "prefix": queue.prefix, "advice": queue.advice}
    for number in range(count):
        submit_job(context, f"job{number}", parse_steps(steps), **kept)


@when("{count:d} jobs of steps {steps} are accepted on queue q by the version before")
def step_accept_earlier(context, count, steps):
    for number in range(count):
        submit_job(context, f"job{number}", parse_steps(steps))


def named(queue, name):
    return msgspec.structs.replace(queue, name=QueueName(name))


@when("nothing changes")
def step_nothing(context):
    pass


@when("a version replaces it by a queue of another name")
def step_renamed(context):
    queue = named(context.world.cfg.queues[Q], "q2")
    publish(context, queues={queue.name: queue})


@when("a version removes it")
def step_removed(context):
    publish(context, queues={})


@when("a version moves it to another path")
def step_moved(context):
    queue = context.world.cfg.queues[Q]
    publish(context, queues={Q: msgspec.structs.replace(queue, prefix="/moved/")})


@when("a version gives its name to a queue of another pool")
def step_name_reused(context):
    other = QueueSpec(Q, "h", "/other/", ServiceName("other"))
    publish(context, queues={Q: other})


@when("a version swaps its name with a queue without advice")
def step_swapped(context):
    queue = context.world.cfg.queues[Q]
    plain = QueueSpec(Q, "h", "/plain/", queue.service)
    publish(context, queues={QueueName("q2"): named(queue, "q2"), Q: plain})


@when("a version takes its advice away")
def step_no_advice(context):
    queue = context.world.cfg.queues[Q]
    publish(context, queues={Q: msgspec.structs.replace(queue, advice=None)})


@when("a version takes its advice away and gives it back")
def step_advice_back(context):
    step_no_advice(context)
    context.world.run(1.0)
    queue = context.world.cfg.queues[Q]
    publish(context, queues={Q: msgspec.structs.replace(queue, advice=ADVICE)})


@when("a version adds advice to queue q, and endpoints refuse starts without tickets")
def step_add_advice(context):
    queue = context.world.cfg.queues[Q]
    publish(context, queues={Q: msgspec.structs.replace(queue, advice=ADVICE)})
    refuse_without_tickets(context)


@then("at most {count:d} starts were refused")
def step_refused(context, count):
    assert context.refused <= count, context.refused


@then("between {least:d} and {most:d} starts were refused")
def step_refused_between(context, least, most):
    refused = context.world.events[RUN_START_ANSWERED.number]
    assert least <= refused <= most, refused


class _Appender:
    """Appender that is not used."""


@given("3 queued jobs that were accepted on queue q at /q/")
def step_queued(context):
    context.follower = LedgerFollower(None, lambda record: None)
    for number in range(3):
        spec = JobSpec(
            JobId(f"{number:016x}"),
            Q,
            ServiceName("s"),
            WorkspaceName("w"),
            "",
            (StepSpec(1),),
            0,
            host="h",
            prefix="/q/",
        )
        context.follower.ledger.apply(*encode(spec))


QUEUES = {
    "is unchanged": [("q", "/q/")],
    "gets the name renamed": [("renamed", "/q/")],
    "moves to /moved/": [("q", "/moved/")],
    "is at /q/ no longer, but queue new": [("q", "/elsewhere/"), ("new", "/q/")],
}


@when("the queue {change}")
def step_change(context, change):
    service = ServiceName("s")
    specs = [QueueSpec(QueueName(n), "h", p, service) for n, p in QUEUES[change]]
    context.cfg = Configuration(version=2, queues={spec.name: spec for spec in specs})


@then("queue {name} counts {count:d} of them as waiting")
def step_waiting(context, name, count):
    intake = JobIntake(context.follower, _Appender(), 262_144)
    found = intake.count_queued(QueueName(name), context.cfg)
    assert found == count, found


@when("a job of {count:d} tasks is accepted with the limit of its workspace")
def step_limited(context, count):
    limit = context.world.cfg.workspaces[WorkspaceName("w")].limit
    tasks = StepSpec(count, 1000, 100, estimate_ms=500)
    submit_job(context, "many", [tasks], limit=limit)


@when("a version removes workspace w")
def step_no_workspace(context):
    world = context.world
    context.most_used = 0
    start = world.start_run

    def start_run(worker, order, spec):
        runs = [run for w in world.workers.values() for run in w.runs.values()]
        used = spec.cpu + sum(run.spec.cpu for run in runs)
        context.most_used = max(context.most_used, used)
        return start(worker, order, spec)

    world.start_run = start_run
    publish(context, workspaces={})


@then("the workspace never had more than {most:d} millicores in use")
def step_within(context, most):
    assert context.most_used <= most, context.most_used


@when("a version removes the service")
def step_no_service(context):
    publish(context, services={})


@when("an endpoint is back as another kind before it reports")
def step_other_kind(context):
    world = context.world
    worker = next(iter(world.workers.values()))
    context.endpoint = worker.id
    world.run(1.0)
    report = world.nodes[0].state.endpoints[worker.id].report
    worker.born = report.born + 1
    node = world.nodes[0]
    answer = ev.EndpointPolled(
        worker.id, worker.born, world.now, world.now, 1000, [], [], 0, 1, True
    )
    node.state.endpoints[worker.id].polling = True
    node.feed(answer)


@then("nothing is placed on it")
def step_not_placed(context):
    endpoint = context.world.nodes[0].state.endpoints[context.endpoint]
    assert endpoint.report.capacity == Resources(), endpoint.report.capacity
