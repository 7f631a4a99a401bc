"""Steps for endpoints that restart under the same id."""

import asyncio
import json
from collections import Counter

import msgspec
from behave import given, then, when

from features.scripted_client import platform_client
from primrosepitch.jobs.model import EndpointId, JobId, TaskKey
from primrosepitch.net.http_messages import HttpResponse
from primrosepitch.net.http_pool import PooledHttpClient
from primrosepitch.net.http_server import HttpServer
from primrosepitch.scheduling import effects as ef
from primrosepitch.scheduling import events as ev


def report(context, entry):
    for node in context.world.nodes:
        node.feed(ev.EndpointReported(entry, context.world.now))


@when(
    "an entry by another writer gives endpoint {name} a later start "
    "for {seconds:g} seconds"
)
def step_other_writer(context, name, seconds):
    world = context.world
    worker = world.workers[name]
    entry = worker.report()
    context.polls = Counter()
    poll = world._do_pollendpoint

    def count_poll(node, order):
        context.polls[order.endpoint] += 1
        poll(node, order)

    world._do_pollendpoint = count_poll
    report(context, msgspec.structs.replace(entry, born=entry.born + 10**9))
    world.call_later(seconds, lambda: world.publish_report(worker))


@when("endpoint {name} crashes")
def step_crash(context, name):
    context.world.workers[name].crash()


@when("endpoint {name} restarts with its time of day set back by {seconds:d} seconds")
def step_time_set_back(context, name, seconds):
    worker = context.world.workers[name]
    worker.crash()
    worker.restart()
    worker.born -= seconds * 1000
    context.world.publish_report(worker)


@when(
    "endpoint {name} restarts with its time of day set back by {seconds:d} seconds "
    "and drains"
)
def step_time_set_back_and_drains(context, name, seconds):
    worker = context.world.workers[name]
    worker.crash()
    worker.restart()
    worker.born -= seconds * 1000
    worker.draining, worker.draining_since = True, context.world.now
    context.world.publish_report(worker)


@when("endpoint {name} restarts after {seconds:g} seconds at address {address}")
def step_new_address(context, name, seconds, address):
    world = context.world
    worker = world.workers[name]
    poll = world._do_pollendpoint

    def poll_address(node, order):
        if order.endpoint != name or order.address == address:
            poll(node, order)
            return
        event = ev.PollFailed(order.endpoint, ev.Outcome.NOT_SENT, world.now)
        world.call_later(
            0.01, lambda: world._deliver_answer(node, node.state.term, event)
        )

    worker.crash()
    world._do_pollendpoint = poll_address
    world.run(seconds)
    worker.restart()
    report = msgspec.structs.replace(worker.report(), address=address)
    worker.report = lambda: report
    world.publish_report(worker)


@when("endpoint {name} restarts and its older entry is removed for {seconds:g} seconds")
def step_older_entry(context, name, seconds):
    world = context.world
    worker = world.workers[name]
    entry = worker.report()
    worker.crash()
    worker.restart()
    world.run(1.5)
    world.remove_report(worker)
    world.call_later(seconds, lambda: report(context, entry))


@when(
    "responses of endpoint {name} are lost for {seconds:g} seconds, "
    "{delay:g} seconds from now"
)
def step_mute(context, name, seconds, delay):
    world = context.world
    worker = world.workers[name]
    world.call_later(delay, lambda: setattr(worker, "mute", True))
    world.call_later(delay + seconds, lambda: setattr(worker, "mute", False))


@given("the clock of every endpoint runs {percent:g} % slow")
def step_slow_clocks(context, percent):
    for worker in context.world.workers.values():
        worker.slow_clock = percent / 100


@when("node {name} takes the term of an ended process after {seconds:g} seconds")
def step_take_term_of_ended(context, name, seconds):
    context.world.run(seconds)
    context.world.take_term(name, ended=True)


@when("another endpoint lives on the instance of endpoint {name}, which then restarts")
def step_other_endpoint(context, name):
    world = context.world
    worker = world.workers[name]
    worker.crash()
    world.join_worker(worker.instance, worker.service)
    world.run(1.0)
    living = [w for w in world.workers.values() if w.up]
    next(w for w in living if w.instance == worker.instance).crash()
    worker.restart()
    world.publish_report(worker)
    world.run(1.0)


@then("endpoint {name} was polled at most {count:d} times")
def step_max_polls(context, name, count):
    assert context.polls[name] <= count, context.polls


BORN = 1_700_000_000_000


class RestartingEndpoint:
    """Endpoint on a loopback socket that may restart, and a client that calls it."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.client = PooledHttpClient()
        self.platform = platform_client(b"", client=self.client)
        self.server = HttpServer(self.answer)
        self.silent = set()
        self.born = BORN
        self.received = []
        self.leases = []
        self.orders = []
        port = self.loop.run_until_complete(self.server.listen("127.0.0.1", 0))
        self.address = f"127.0.0.1:{port}"

    def answer(self, exchange):
        if exchange._conn in self.silent:
            return
        body = json.loads(exchange.request.body)
        if exchange.request.target != b"/hold":
            path = exchange.request.target.decode()
            self.orders.append((path, self.born))
            exchange.respond(HttpResponse(200, [], b"{}"))
            return
        self.received.append(body["last_seen"])
        self.leases.append(body.get("until_ms", 0))
        lists = {"clock_ms": 1, "running": [], "ended": [], "born": self.born}
        exchange.respond(HttpResponse(200, [], json.dumps(lists).encode()))

    def restart(self, silent):
        self.born += 1
        if silent:
            self.silent |= self.server.connections
            return
        for conn in list(self.server.connections):
            conn.abort()
        self.loop.run_until_complete(asyncio.sleep(0.01))

    def poll(self, acked_end, connection, until_ms=0):
        order = ef.PollEndpoint(
            EndpointId("e1"), self.address, until_ms, acked_end, connection, 0, 1
        )
        return self.loop.run_until_complete(self.platform.poll_endpoint(order))

    def order(self, kind):
        """Send an order that is meant for the first incarnation."""
        to_first = (EndpointId("e1"), self.address, BORN)
        task = TaskKey(JobId("0" * 16), 0, 0, 0)
        calls = {
            "start": lambda: self.platform.start_run(
                ef.StartRun(*to_first, task, 1, "p", 9000, "", "", 1)
            ),
            "stop": lambda: self.platform.stop_run(ef.StopRun(*to_first, task, 1, 1)),
            "throttle": lambda: self.platform.throttle_run(
                ef.ThrottleRun(*to_first, task, 1, 50, 1)
            ),
        }
        return self.loop.run_until_complete(calls[kind]())

    def close(self):
        self.client.close()
        self.server.abort()
        self.loop.run_until_complete(asyncio.sleep(0.01))
        self.loop.close()


@given("an endpoint that has answered a poll")
def step_answered_poll(context):
    context.endpoint = RestartingEndpoint()
    context.add_cleanup(context.endpoint.close)
    context.connection = context.endpoint.poll(0, 0).connection
    context.endpoint.received.clear()


@when("the endpoint goes on")
def step_goes_on(context):
    assert context.connection


@when("the endpoint restarts")
def step_restarts(context):
    context.endpoint.restart(silent=False)


@when("the endpoint restarts, and the old one is silent")
def step_restarts_silently(context):
    context.endpoint.restart(silent=True)


@when("a poll acknowledges end {number:d} over the connection of that answer")
def step_acknowledge(context, number):
    context.endpoint.poll(number, context.connection)


@when("a poll extends the leases over the connection of that answer")
def step_extend(context):
    context.endpoint.leases.clear()
    context.endpoint.poll(0, context.connection, until_ms=9000)


@then("the endpoint gets the lease ends {leases}")
def step_lease_ends(context, leases):
    expected = [int(lease) for lease in leases.split(",")]
    assert context.endpoint.leases == expected, context.endpoint.leases


@when("an order to {kind} a run is sent to the endpoint")
def step_order(context, kind):
    context.outcome = context.endpoint.order(kind)


@then("{count:d} orders have reached the endpoint, all of the incarnation meant")
def step_orders_received(context, count):
    orders = context.endpoint.orders
    assert len(orders) == count, orders
    assert all(born == BORN for _, born in orders), orders


@then("the outcome of the last order is {outcome}")
def step_last_outcome(context, outcome):
    assert context.outcome.name == outcome, context.outcome


@then("the endpoint gets the acknowledged ends {numbers}")
def step_received(context, numbers):
    expected = [int(number) for number in numbers.split(",")]
    assert context.endpoint.received == expected, context.endpoint.received
