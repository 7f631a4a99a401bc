"""Steps for instances that come back from a move under the id that they had."""

import contextlib
from unittest import mock

from behave import then, when

from primrosepitch.jobs.model import ServiceName
from standins import model
from standins.patterns import build
from standins.scheduler_world import SchedulerWorld

USED_AGAIN_S = 0.5


def check_used(world, worker, returned):
    """Record why an endpoint is not used, unless it has left again."""
    scheduler = next((n.state for n in world.nodes if n.state.term), None)
    if scheduler is None or not worker.up or worker.id not in scheduler.endpoints:
        return
    endpoint = scheduler.endpoints[worker.id]
    move = scheduler.moves.get(worker.instance)
    leaves_again = move is not None and move.pool != worker.service
    for wave in scheduler.waves.values():
        leaves_again |= worker.instance in wave.selected | wave.ordered
    if endpoint.report.service == worker.service:
        reason = "" if leaves_again else endpoint.evacuation_reason
        returned.append((world.now, worker.id, reason))


@contextlib.contextmanager
def kept_ids(returned):
    """Let moved instances come back under the ids that their endpoints had.

    :param returned: list to which each such endpoint is added, with the reason for
        which it is not used after ``USED_AGAIN_S``
    """
    join_under_new_id = SchedulerWorld.join_worker

    def join(world, instance, pool):
        workers = world.workers.values()
        former = [w for w in workers if w.instance == instance and not w.up]
        if not former:
            join_under_new_id(world, instance, pool)
            return
        worker = former[-1]
        worker.service = ServiceName(pool)
        worker.restart()
        world.publish_report(worker)
        world.call_later(USED_AGAIN_S, lambda: check_used(world, worker, returned))

    with mock.patch.object(SchedulerWorld, "join_worker", join):
        yield


@when("the pattern has been simulated with instances that keep their ids")
def step_simulate_kept_ids(context):
    context.returned = []
    with kept_ids(context.returned):
        world = build(context.pattern, context.seeds[0])
        model.simulate_world(world)
    context.violations = world.violations


@then("each endpoint that came back from a move was used again within 0.5 s")
def step_used_again(context):
    assert context.returned
    unused = [row for row in context.returned if row[2]]
    assert not unused, (len(unused), len(context.returned), unused[:5])
