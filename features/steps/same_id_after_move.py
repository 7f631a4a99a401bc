"""Steps for instances that come back from a move under the id that they had."""

from unittest import mock

from behave import given

from primrosepitch.jobs.model import ServiceName
from standins.scheduler_world import SchedulerWorld


@given("moved instances come back under their ids")
def step_same_ids(context):
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

    patcher = mock.patch.object(SchedulerWorld, "join_worker", join)
    patcher.start()
    context.add_cleanup(patcher.stop)
