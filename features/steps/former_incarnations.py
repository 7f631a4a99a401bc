"""Steps for messages and facts of the former incarnation of an endpoint."""

from behave import given, then, when
from steps.restarted_endpoints import RestartingEndpoint
from steps.scheduler_rules import find_node, step_kill, submit_job

from primrosepitch.jobs.model import EndpointId, JobId, Resources, StepSpec
from primrosepitch.jobs.records import SlowEndpoint, SlowEndpoints, encode
from primrosepitch.net.http_messages import HttpResponse
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.leases import renewed_order


def restart(world, worker, kind, lag):
    """Restart an endpoint whose report is published after a delay."""
    worker.crash()
    worker.restart()
    worker.kind = kind
    publish_later(world, worker, lag)


def publish_later(world, worker, lag):
    entry = worker.report()
    if not lag:
        world.publish_report(worker)
        return

    def publish():
        for node in world.nodes:
            node.feed(ev.EndpointReported(entry, world.now))

    world.call_later(lag, publish)


@given("endpoint {name} is of kind {kind}")
def step_kind(context, name, kind):
    worker = context.world.workers[name]
    worker.kind = kind
    context.world.publish_report(worker)


@when("endpoint {name} reports kind {kind}")
def step_reports_kind(context, name, kind):
    step_kind(context, name, kind)


@when("job {name} of {count:d} lasting tasks that require kind {kind} is accepted")
def step_accept_kind(context, name, count, kind):
    step = StepSpec(count, 2000, 512, estimate_ms=100, lasting=True, label=kind)
    submit_job(context, name, [step])


@when(
    "endpoint {name} restarts as kind {kind}, and its report is read {lag:g} seconds "
    "later"
)
def step_restart_kind(context, name, kind, lag):
    restart(context.world, context.world.workers[name], kind, lag)


@when("its start order waits for its turn while endpoint {name} reports kind {kind}")
def step_order_waits(context, name, kind):
    world = context.world
    queued = []
    world._do_startrun = lambda node, order: queued.append(order)
    assert world.run_until(lambda: queued, 2.0), "no start was ordered"
    step_kind(context, name, kind)
    context.renewed = renewed_order(find_node(context, "a").state, queued[0], world.now)


@then("the order is not sent")
def step_not_sent(context):
    assert context.renewed is None, context.renewed


@when(
    "node a is killed and node b takes the term, endpoint {name} is back as kind "
    "{kind} {after:g} s after, its report {lag:g} s later"
)
def step_restart_at_takeover(context, name, kind, after, lag):
    world = context.world
    worker = world.workers[name]
    former = worker.report()
    step_kill(context, "a", 0.0)
    world.run(1.2 + min(0.0, after))
    if after < 0:
        worker.crash()
        worker.restart()
        worker.kind = kind
        world.run(-after)
    own_report = worker.report
    if lag:
        # The successor finds the entry of the former incarnation.
        worker.report = lambda: former
    world.take_term("b")
    worker.report = own_report
    if after > 0:
        world.run(after)
        restart(world, worker, kind, lag)
    elif lag:
        publish_later(world, worker, lag)


DELAYED_ANSWERS = {
    "polls": ev.EndpointPolled,
    "starts": ev.StartAnswered,
    "stops": ev.StopAnswered,
}


@when("answers to {messages} arrive {seconds:g} seconds late")
def step_late_answers(context, messages, seconds):
    world = context.world
    deliver = world._deliver_answer

    def deliver_late(node, term, event):
        if isinstance(event, DELAYED_ANSWERS[messages]):
            world.call_later(seconds, lambda: deliver(node, term, event))
        else:
            deliver(node, term, event)

    world._deliver_answer = deliver_late


@when("every endpoint is reported again")
def step_report_all(context):
    for worker in context.world.workers.values():
        context.world.publish_report(worker)


def known_facts(context, name):
    """Return what the scheduler knows of an endpoint and its tasks, without times."""
    endpoint = find_node(context, "a").state.endpoints[name]
    tasks = sorted(endpoint.tasks.values(), key=lambda task: task.key)
    return (
        endpoint.report,
        endpoint.contacted,
        endpoint.reachable,
        endpoint.in_doubt_since,
        endpoint.clock_ms,
        endpoint.clock_read_at,
        endpoint.processed_end,
        endpoint.acked_end,
        endpoint.discarded_end,
        endpoint.poll_connection,
        endpoint.fault_score,
        endpoint.ejected_until,
        endpoint.used,
        endpoint.stopping,
        endpoint.evacuation_reason,
        [
            (t.key, t.run, t.phase, t.born, t.started_at, t.stop_pending, t.crashes)
            for t in tasks
        ],
    )


@when("a late {answer} of the former incarnation of endpoint {name} arrives")
def step_late_answer(context, answer, name):
    world = context.world
    node = find_node(context, "a")
    endpoint = node.state.endpoints[name]
    task = next(iter(endpoint.tasks.values()))
    assert task.run > 1, "the run of the former incarnation was not lost"
    former = (task.key, task.run - 1, endpoint.id)
    events = {
        "poll answer": ev.EndpointPolled(
            endpoint.id,
            endpoint.report.born - 1000,
            world.now - 2.5,
            world.now,
            10**6,
            [ev.ActiveRun(task.key, task.run - 1, "", 100, 0.0)],
            [ev.EndedRun(9, task.key, task.run - 1, ev.EndKind.DONE, "")],
            8,
            10**6,
            lists_all_ends=True,
        ),
        "positive answer to a start": ev.StartAnswered(
            *former, ev.Outcome.DONE, world.now
        ),
        "refusal of a start as unhealthy": ev.StartAnswered(
            *former, ev.Outcome.UNHEALTHY, world.now
        ),
        "refusal of a start without order": ev.StartAnswered(
            *former, ev.Outcome.SUPERSEDED, world.now
        ),
        "answer to a stop": ev.StopAnswered(*former, ev.Outcome.DONE, world.now),
    }
    context.known = known_facts(context, name)
    node.feed(events[answer])


@then("nothing is known otherwise than before of endpoint {name}")
def step_unchanged(context, name):
    known = known_facts(context, name)
    assert known == context.known, (known, context.known)


@when(
    "the endpoint of this order restarts, and its report is read {lag:g} seconds later"
)
def step_restart_ordered(context, lag):
    world = context.world
    instance = context.late_order[1].instance
    worker = next(w for w in world.workers.values() if w.instance == instance)
    restart(world, worker, worker.kind, lag)


@when("endpoint {name} restarts in good order")
def step_restart_sound(context, name):
    worker = context.world.workers[name]
    worker.fails_all = False
    restart(context.world, worker, worker.kind, 0.0)


@when(
    "capacity of endpoint {name} is reserved for the runs of {job} as if they were "
    "stopping"
)
def step_reserve_stopping(context, name, job):
    state = find_node(context, "a").state
    endpoint = state.endpoints[name]
    tasks = state.jobs[JobId(job)].tasks()
    assert tasks
    for task in tasks:
        endpoint.reserve_stopping(task, context.world.now + 60.0)


@then("the capacity reserved on endpoint {name} is that of its tasks")
def step_reserved(context, name):
    endpoint = find_node(context, "a").state.endpoints[name]
    needs = [task.spec.needs for task in endpoint.tasks.values()]
    total = Resources(*map(sum, zip(*needs, strict=True))) if needs else Resources()
    assert endpoint.tasks, "no task was placed"
    assert endpoint.used == total, (endpoint.used, total)
    assert not endpoint.stopping, endpoint.stopping


@when("the record of slow endpoints names {name}")
def step_slow_record(context, name):
    world = context.world
    born = world.workers[name].born
    row = SlowEndpoint(born, 1400, world.wall_ms + 30_000)
    key, value = encode(SlowEndpoints({EndpointId(name): row}))
    world.stored_runs[key] = value


@then("endpoint {name} does not count as slow")
def step_not_slow(context, name):
    endpoint = context.world.nodes[-1].state.endpoints[name]
    assert endpoint.contacted
    assert not endpoint.speed.slow


class AddressedEndpoint(RestartingEndpoint):
    """Endpoint that refuses calls which are meant for another id."""

    id = b"e1"

    def answer(self, exchange):
        headers = {name.lower(): value for name, value in exchange.request.headers}
        if headers[b"primrosepitch-expected-instance"] == self.id:
            super().answer(exchange)
        else:
            exchange.respond(HttpResponse(421, [], b"{}"))


@given("an endpoint that expects calls to its id")
def step_addressed(context):
    context.endpoint = AddressedEndpoint()
    context.add_cleanup(context.endpoint.close)


@when("another endpoint takes its address over")
def step_taken_over(context):
    context.endpoint.restart(silent=False)
    context.endpoint.id = b"e2"


class ClosingEndpoint(RestartingEndpoint):
    """Endpoint that closes its connection after each answer."""

    def answer(self, exchange):
        respond = exchange.respond

        def respond_and_close(response):
            closing = [*response.headers, (b"connection", b"close")]
            respond(HttpResponse(response.status, closing, response.body))

        exchange.respond = respond_and_close
        super().answer(exchange)


@given("an endpoint that closes its connection after each answer")
def step_closing(context):
    context.endpoint = ClosingEndpoint()
    context.add_cleanup(context.endpoint.close)
