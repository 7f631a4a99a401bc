"""Steps for endpoints that restart under the same id."""

from collections import Counter

import msgspec
from behave import then, when

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
