"""Steps for the sums of reserved capacity under random faults, in virtual time."""

import random
from collections import defaultdict

import msgspec
from behave import then, when

from primrosepitch.jobs.model import (
    JobId,
    JobSpec,
    QueueName,
    Resources,
    ServiceName,
    StepSpec,
    WorkspaceName,
)

MAX_LASTING_JOBS = 3

PLAIN = StepSpec(6, 2000, 512, estimate_ms=800)
STEPS = (
    (PLAIN,),
    (PLAIN, StepSpec(2, 2000, 512, estimate_ms=500, after=(0,))),
    (msgspec.structs.replace(PLAIN, duplicates=True),),
    (StepSpec(3, 2000, 512, estimate_ms=700, gang=True),),
)
LASTING = StepSpec(3, 2000, 512, lasting=True)


class Chaos:
    """Random submissions and faults; one seed determines them."""

    def __init__(self, world):
        self.world = world
        self.rng = random.Random(world.rng.random())
        self.lasting = []

    def submit(self, steps):
        world = self.world
        spec = JobSpec(
            JobId(f"n{len(world.specs)}"),
            QueueName("q"),
            ServiceName("s"),
            WorkspaceName("w"),
            "p",
            steps,
            world.wall_ms,
            max_attempts=4,
            stretch=2.0,
            goal_ms=600,
        )
        world.submit(spec)
        return spec.job

    def worker(self):
        return self.rng.choice(list(self.world.workers.values()))

    def fault(self, name, max_s):
        """Set an attribute of a worker for a while."""
        worker = self.worker()
        setattr(worker, name, True)
        delay_s = self.rng.uniform(0.3, max_s)
        self.world.call_later(delay_s, lambda: setattr(worker, name, False))

    def do_submit(self):
        self.submit(self.rng.choice(STEPS))

    def do_lasting(self):
        if len(self.lasting) < MAX_LASTING_JOBS:
            self.lasting.append(self.submit((LASTING,)))

    def do_cancel(self):
        world = self.world
        running = [j for j in world.specs if j not in world.cancelled_at]
        plain = [j for j in running if j not in self.lasting]
        if plain:
            world.cancel(self.rng.choice(plain))

    def do_cut(self):
        self.fault("cut", 8.0)

    def do_mute(self):
        self.fault("mute", 8.0)

    def do_fail(self):
        self.fault("fails_all", 4.0)

    def do_refuse(self):
        self.fault("unhealthy", 4.0)

    def do_restart(self):
        worker = self.worker()
        if worker.up:
            worker.crash()
            delay_s = self.rng.uniform(0.5, 4.0)
            self.world.call_later(delay_s, lambda: self.restart(worker))

    def restart(self, worker):
        worker.restart()
        self.publish(worker)

    def publish(self, worker):
        if worker.up:
            self.world.publish_report(worker)

    def do_shrink(self):
        worker = self.worker()
        worker.capacity = Resources(4000, 32768, 0)
        self.publish(worker)
        self.world.call_later(self.rng.uniform(0.3, 5.0), lambda: self.grow(worker))

    def grow(self, worker):
        worker.capacity = Resources(16000, 32768, 0)
        self.publish(worker)

    def do_unlist(self):
        worker = self.worker()
        self.world.remove_report(worker)
        self.world.call_later(self.rng.uniform(0.3, 5.0), lambda: self.publish(worker))

    def do_store(self):
        self.world.store_up = False
        self.world.call_later(
            self.rng.uniform(0.3, 4.0), lambda: setattr(self.world, "store_up", True)
        )

    def do_takeover(self):
        world = self.world
        name = "b" if any(n.name == "a" for n in world.nodes) else "a"
        world.nodes = []
        world.run(self.rng.uniform(0.0, 1.5))
        world.take_term(name)

    WEIGHTS = {
        "submit": 30, "lasting": 4, "cancel": 4, "cut": 5, "mute": 3, "fail": 2,
        "refuse": 2, "restart": 3, "shrink": 2, "unlist": 2, "store": 1.5,
        "takeover": 1.5,
    }  # fmt: skip

    def run(self, count):
        kinds, weights = zip(*self.WEIGHTS.items(), strict=True)
        for kind in self.rng.choices(kinds, weights, k=count):
            getattr(self, f"do_{kind}")()
            self.world.run(self.rng.uniform(0.02, 0.4))
            check_sums(self.world)


def check_sums(world):
    """Compare the sums of each scheduler with those over its placed tasks."""
    for node in world.nodes:
        state = node.state
        usage = defaultdict(Resources)
        placed = [t for job in state.jobs.values() for t in job.tasks() if t.placed]
        for task in placed + [task for _, task in state.duplicate_runs]:
            usage[task.workspace] = usage[task.workspace].add(task.spec.quota_request)
        for workspace in state.usage | usage:
            charged = state.usage.get(workspace, Resources())
            assert charged == usage[workspace], (world.now, charged, usage)
        held = {}
        for endpoint in state.endpoints.values():
            used = Resources()
            for task in endpoint.tasks.values():
                held[task.key] = endpoint.id
                used = used.add(task.spec.needs)
            for needs, _ in endpoint.stopping.values():
                used = used.add(needs)
            assert endpoint.used == used, (world.now, endpoint.id, endpoint.used, used)
        unattached = {t.key for tasks in state.unattached.values() for t in tasks}
        expected = {t.key: t.endpoint for t in placed if t.key not in unattached}
        held = {key: name for key, name in held.items() if key not in unattached}
        assert held == expected, (world.now, held.items() ^ expected.items())


@when("{count:d} random submissions and faults happen, checked after each")
def step_chaos(context, count):
    world = context.world
    world.answer_loss_rate = world.poll_loss_rate = world.failure_rate = 0.05
    world.late_order_rate = 0.02
    context.chaos = Chaos(world)
    context.chaos.run(count)


@when("all faults end and {seconds:d} seconds pass")
def step_calm(context, seconds):
    world = context.world
    world.answer_loss_rate = world.poll_loss_rate = world.failure_rate = 0.0
    world.late_order_rate = 0.0
    world.run(8.0)
    world.run(seconds)


@then("each lasting task is running, and the sums are right")
def step_all_lasting(context):
    world = context.world
    running = {key for worker in world.workers.values() for key in worker.runs}
    missing = [
        (job, number)
        for job in context.chaos.lasting
        for number in range(LASTING.tasks)
        if not any(key.job == job and key.number == number for key in running)
    ]
    assert context.chaos.lasting and not missing, missing
    check_sums(world)
    for node in world.nodes:
        stopping = [e.id for e in node.state.endpoints.values() if e.stopping]
        assert not stopping, stopping
