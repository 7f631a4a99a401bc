"""Steps for the time limits of orders to instances."""

import asyncio
import json
import os
import tempfile
from contextlib import ExitStack
from pathlib import Path

from adapter.settings import SETTINGS_VARIABLE, load_settings
from behave import given, then, when
from steps.scheduler_rules import make_world

from primrosepitch import clock
from primrosepitch.errors import SettingsError
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
from primrosepitch.scheduling.configuration import Configuration, ServiceSpec
from primrosepitch.scheduling.effects import MoveInstance, StartMaintenance
from primrosepitch.scheduling.reducer import step
from primrosepitch.scheduling.state import Limits, SchedulerState
from standins.instance_service import NODE_IP, SERVICE_IP, OrderWorld
from standins.network import CutMode, VirtualLoop
from standins.scheduler_world import SchedulerWorld

TICK_S = 0.02


def open_order_world(context):
    loop = VirtualLoop()
    stack = ExitStack()
    stack.enter_context(loop.as_clock())
    context.world = OrderWorld(loop)
    stack.callback(context.world.close)
    context.add_cleanup(stack.close)
    return context.world


@given("a node with an open connection to the service of machines")
def step_connected(context):
    world = open_order_world(context)
    world.run(world.order_move("first"))
    assert world.outcomes == [ev.Outcome.DONE], world.outcomes


@given("a node without a connection to the service of machines")
def step_not_connected(context):
    open_order_world(context)


@when("their path is cut and the node orders a move")
def step_order_in_cut(context):
    world = context.world
    world.network.cut(NODE_IP, SERVICE_IP, CutMode.SILENT)
    context.order = world.order_move("second")


@when("the node is {state:w} {after:g} s later")
def step_node_state(context, state, after):
    world = context.world
    world.run(asyncio.sleep(after))
    if state == "frozen":
        world.network.freeze(NODE_IP)
    elif state == "killed":
        world.network.kill(NODE_IP)


@when("the path heals {after:g} s later")
def step_heal(context, after):
    world = context.world
    world.run(asyncio.sleep(after))
    world.network.heal(NODE_IP, SERVICE_IP)
    world.run(asyncio.sleep(0.5))
    if NODE_IP in world.network.frozen:
        world.network.thaw(NODE_IP)
    world.run(asyncio.sleep(3.0))


@then("the service has not received the order")
def step_not_received(context):
    machines = [move.machine for move in context.world.service.moves]
    assert machines == ["first"], context.world.service.moves


@when(
    "the node orders a move within {valid:g} s and is frozen for {pause:g} s while it "
    "connects"
)
def step_frozen_while_connecting(context, valid, pause):
    world = context.world
    world.order_move("first", valid)
    world.run(asyncio.sleep(0.0005))
    world.network.freeze(NODE_IP)
    world.run(asyncio.sleep(pause))
    world.network.thaw(NODE_IP)
    world.run(asyncio.sleep(5.0))


@then("the service has received {count:d} orders")
def step_received(context, count):
    assert len(context.world.service.moves) == count, context.world.service.moves


@given("the platform {checks} fencing tokens")
def step_fencing(context, checks):
    context.limits = Limits(fencing_required=checks == "checks")


def lending_configuration():
    services = (ServiceSpec(ServiceName("pressing")), ServiceSpec(ServiceName("off")))
    spare = ServiceSpec(ServiceName("spare"), spare=True)
    return Configuration(1, services={s.name: s for s in (*services, spare)})


def first_order_at(state, end):
    """Return when the reducer sends its first order to an instance."""
    now = state.term_started_at
    step(state, ev.ConfigurationChanged(lending_configuration()))
    while now < end:
        now += TICK_S
        effects = step(state, ev.Tick(now, round(now * 1000)))
        if state.committing:
            effects += step(state, ev.Committed(state.committing, now))
        if any(isinstance(effect, MoveInstance) for effect in effects):
            return now
        if not state.instances:
            view = ev.InstanceView(
                "m1",
                ServiceName("spare"),
                ev.InstanceState.UP,
                "hall",
                (),
                Resources(16000, 32000, 0),
                "",
            )
            step(state, ev.InstancesListed(ev.InstanceListing([view], True), now))
    raise AssertionError("no instance was ordered")


@then("a orders no instance before {seconds:g} s after that heartbeat")
def step_first_order(context, seconds):
    state = context.runner.state
    at = first_order_at(state, state.term_started_at + 10) - context.heartbeat_at
    assert seconds <= at < seconds + 0.3, at


@then("a orders no instance before {seconds:g} s after its claim, but then it does")
def step_first_order_after_release(context, seconds):
    state = context.runner.state
    at = first_order_at(state, state.term_started_at + 10) - state.term_started_at
    assert seconds <= at < seconds + 0.3, at


@when("a is stopped gracefully at once")
def step_stop_at_once(context):
    appended = []
    append = context.platform.ledger.append

    async def append_and_record(records, deadline, fence=None):
        appended.append(clock.monotonic())
        return await append(records, deadline, fence)

    context.platform.ledger.append = append_and_record
    asyncio.run(context.runner.release_term())
    context.released_at = appended[-1]


@then("the release is written {seconds:g} s after that heartbeat, or later")
def step_released_late(context, seconds):
    assert context.released_at - context.heartbeat_at >= seconds


@given(
    "scheduler a lends instances in turns, with orders that arrive {delay:g} s late in "
    "a cut"
)
def step_lending_in_turns(context, delay):
    world = context.lending = SchedulerWorld(7, context.limits)
    world.cfg = lending_configuration()
    for number in range(12):
        world.add_instance(f"i{number}", "spare", "r1")
    world.take_term("a")
    world.instance_order_delay_s = delay
    world.run(1.0)


def submit_burst(world, number, service):
    for index in range(6):
        spec = StepSpec(tasks=8, cpu=4000, memory=256, estimate_ms=600)
        world.submit(
            JobSpec(
                job=JobId(f"{number * 100 + index:016x}"),
                queue=QueueName(service),
                service=ServiceName(service),
                workspace=WorkspaceName("w"),
                steps=(spec,),
                payload="",
                accepted_ms=world.wall_ms,
                goal_ms=600,
            )
        )


@when("a can't write to the store and b claims {silence:g} s after its last heartbeat")
def step_cut_off(context, silence):
    world = context.lending
    node = next(n for n in world.nodes if n.name == "a")
    for number in range(4):
        submit_burst(world, number, ("pressing", "off")[number % 2])
        world.run(2.0)
    # The instances return to the spare pool, so that both bursts need them again.
    world.run(14.0)
    # What has no answer 0.7 s later is repeated while the term is confirmed.
    world.instance_answer_loss_rate = 1.0
    delay_s, world.instance_order_delay_s = world.instance_order_delay_s, 0.7
    world.delayed_nodes.add("a")
    submit_burst(world, 4, "pressing")
    submit_burst(world, 5, "off")
    world.run(0.6)
    world.instance_order_delay_s = delay_s
    world.cut_nodes.add("a")
    heartbeat_at = node.state.confirmed_at
    world.run(heartbeat_at + silence - world.now)
    world.instance_answer_loss_rate = 0.0
    world.take_term("b", heartbeat_at=heartbeat_at)
    for number in range(6, 10):
        submit_burst(world, number, ("pressing", "off")[number % 2])
        world.run(1.0)
    world.run(6.0)
    context.heartbeat_at = heartbeat_at


@then("no instance gets an order of a after one of b")
def step_in_order(context):
    world = context.lending
    late = [text for text in world.violations if text.startswith("one")]
    assert not late, late
    tokens = {order.token for order in world.instance_orders}
    assert tokens == {1, 2}, tokens
    last_a = max(o.sent_at for o in world.instance_orders if o.token == 1)
    assert last_a > context.heartbeat_at + 0.5, "a ordered nothing after the cut"


@given("node settings with bounds {bounds}")
def step_settings(context, bounds):
    settings = {
        "node_name": "n1",
        "ip_address": "127.0.0.1",
        "zone": "hall",
        "listen_addresses": {"front": "127.0.0.1:1"},
        "platform": {"address": "127.0.0.1:2"},
        "bounds": json.loads(bounds),
    }
    handle, path = tempfile.mkstemp(suffix=".json")
    os.close(handle)
    Path(path).write_text(json.dumps(settings), encoding="utf-8")
    context.add_cleanup(os.unlink, path)
    context.settings_path = path


@when("the settings are loaded")
def step_load_settings(context):
    saved = os.environ.get(SETTINGS_VARIABLE)
    os.environ[SETTINGS_VARIABLE] = context.settings_path
    context.error = None
    try:
        load_settings()
    except SettingsError as exc:
        context.error = exc
    finally:
        if saved is None:
            del os.environ[SETTINGS_VARIABLE]
        else:
            os.environ[SETTINGS_VARIABLE] = saved


@then("they are refused with a message that names {name:w} and a remedy")
def step_settings_refused(context, name):
    assert context.error is not None, "the settings were accepted"
    message = context.error.message()
    assert name in message and "correct the named setting" in message, message


class LendingReducer:
    """Scheduler with one idle endpoint more than its pool needs."""

    def __init__(self):
        self.state = SchedulerState(node="a", limits=Limits())
        self.now = 100.0
        self.commits = True
        self.orders = []
        step(self.state, ev.ConfigurationChanged(lending_configuration()))
        step(self.state, ev.TermTaken(100.0, 100.0, 1, {}, {}, 100.0, {}, {}, 100.0))
        world = SchedulerWorld(1)
        reports = [world.add_worker(f"w{n}", "off").report() for n in range(3)]
        for report in reports:
            self.feed(ev.EndpointReported(report, self.now))
            polled = ev.EndpointPolled(
                report.endpoint, report.born, 100.0, 100.0, 1, [], [], 0, 0, True
            )
            self.feed(polled)
        self.run(0.5)
        self.feed(ev.InstancesListed(world.list_instances(), self.now))
        # The pool keeps two endpoints; the third is switched off when it has been idle.
        while not self.orders:
            self.run(TICK_S)
            assert self.now < 110.0, "no order was sent"
        self.endpoint = self.state.endpoint_on(self.orders[0][1].instance)

    def feed(self, event):
        for effect in step(self.state, event):
            if isinstance(effect, MoveInstance):
                self.orders.append((self.now, effect))

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            self.feed(ev.Tick(self.now, round(self.now * 1000)))
            if self.commits and self.state.committing:
                self.feed(ev.Committed(self.state.committing, self.now))

    def answer(self, outcome):
        order = self.orders[-1][1]
        self.feed(ev.MoveAnswered(order.instance, order.pool, outcome, self.now))
        self.answered_at = self.now


@given("an idle instance that a scheduler moves to another pool")
def step_moving(context):
    context.reducer = LendingReducer()


@when("its orders end as {outcomes}")
def step_outcomes(context, outcomes):
    reducer = context.reducer
    for number, name in enumerate(outcomes.split(", ")):
        if number:
            sent = len(reducer.orders)
            reducer.run(0.3)
            assert len(reducer.orders) == sent + 1, reducer.orders
        reducer.answer(ev.Outcome[name.upper().replace(" ", "_")])


@then("its endpoint {use}")
def step_instance_use(context, use):
    evacuated = bool(context.reducer.endpoint.evacuation_reason)
    assert evacuated is (use == "may not be used"), use


@then("the order is repeated once within {seconds:g} s")
def step_repeated(context, seconds):
    reducer = context.reducer
    reducer.run(seconds)
    assert len(reducer.orders) == 2, reducer.orders
    assert reducer.orders[-1][0] > reducer.answered_at, reducer.orders


@then("it is not repeated while the store answers no commit for {seconds:g} s")
def step_not_repeated(context, seconds):
    reducer = context.reducer
    reducer.commits = False
    reducer.run(1.2)
    sent = len(reducer.orders)
    reducer.answer(ev.Outcome.UNKNOWN)
    reducer.run(seconds - 1.2)
    assert len(reducer.orders) == sent, reducer.orders


@given("a scheduler with {count:d} endpoints that may be switched off")
def step_switchable(context, count):
    make_world(context, count)
    spare = ServiceSpec(ServiceName("spare"), spare=True)
    context.world.cfg.services[spare.name] = spare


@given("the first order to instances is carried out late and not answered")
def step_late_first_order(context):
    world = context.world
    context.late_order = None
    handlers = {
        StartMaintenance: world._do_startmaintenance,
        MoveInstance: world._do_moveinstance,
    }
    answers = {StartMaintenance: ev.MaintenanceAnswered, MoveInstance: ev.MoveAnswered}
    context.instance_handlers = handlers

    def order_instance(node, order):
        if context.late_order is not None:
            handlers[type(order)](node, order)
            return
        context.late_order = (node, order)
        term = node.state.term
        answer = answers[type(order)](*order[:2], ev.Outcome.UNKNOWN, world.now + 1.5)
        world.call_later(1.5, lambda: world._deliver_answer(node, term, answer))

    world._do_startmaintenance = world._do_moveinstance = order_instance


@when("the first order to instances has been sent")
def step_first_order_sent(context):
    sent = context.world.run_until(lambda: context.late_order is not None, 20.0)
    assert sent, "no order was sent"


@when("endpoints other than that of this order refuse starts for {seconds:g} seconds")
def step_others_refuse(context, seconds):
    world = context.world
    instance = context.late_order[1].instance
    for worker in world.workers.values():
        worker.unhealthy = worker.instance != instance
        world.call_later(seconds, lambda w=worker: setattr(w, "unhealthy", False))


@when("the first order to instances is carried out")
def step_carry_out_late(context):
    node, order = context.late_order
    # The node has sent it in time.
    order = order._replace(send_by=context.world.now)
    context.instance_handlers[type(order)](node, order)


@when("the first order to instances is carried out when another one has been")
def step_carry_out_after_another(context):
    world = context.world
    assert world.run_until(lambda: any(world.maintained.values()), 20.0)
    step_carry_out_late(context)


@then("no run was ended by an order to its instance")
def step_none_killed(context):
    killed = context.world.counts["killed by a planned stop"]
    assert not killed, killed


@then("no instance got an order")
def step_no_order(context):
    assert not context.world.instance_orders, context.world.instance_orders
