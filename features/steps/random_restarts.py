"""Steps for endpoints that restart and are cut off at random, with takeovers."""

import random

from behave import given, then, when
from steps.random_faults import build_world, submit

from primrosepitch.jobs.model import StepSpec

CYCLES = 4
"""Rounds of restarts, starts and cuts in a day."""


class RestartDay:
    """A day on which endpoints restart under their ids as jobs arrive.

    :param seed: seed of the world and of its faults
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.world = build_world(seed * 2)
        self.terms = 1
        for worker in self.world.workers.values():
            worker.slow_clock = self.rng.choice([0, 0.02, 0.02])
        # Endpoints are idle by then, so that a restart is noticed late.
        self.world.run(10)

    def run(self):
        for cycle in range(CYCLES):
            self.run_cycle(cycle)

    def run_cycle(self, cycle):
        rng, world = self.rng, self.world
        world.answer_loss_rate = rng.choice([0, 0, 0.3, 1])
        world.late_order_rate = rng.choice([0, 0, 0.1])
        workers = list(world.workers.values())
        for worker in workers:
            if rng.random() < 0.7:
                self.restart(worker)
        for number in range(rng.randint(1, 3)):
            step = StepSpec(
                rng.randint(2, 12),
                2000,
                512,
                estimate_ms=rng.choice([20000, 20000, 3000]),
                lasting=rng.random() < 0.3,
            )
            submit(world, f"c{cycle}-{number}", "s", step)
        for worker in workers:
            if rng.random() < 0.4:
                self.cut_off(worker)
            elif rng.random() < 0.2:
                world.call_later(rng.uniform(0, 1), lambda w=worker: self.restart(w))
        if rng.random() < 0.6:
            delay_s = rng.uniform(0.05, 1.5)
            world.call_later(delay_s, self.replace_scheduler)
            if rng.random() < 0.4:
                world.call_later(delay_s + 2, self.replace_scheduler)
        world.run(20)
        world.answer_loss_rate = world.late_order_rate = 0
        world.run(5)

    def restart(self, worker):
        worker.crash()
        worker.restart()
        if self.rng.random() < 0.5:
            delay_s = self.rng.uniform(0, 1.5)
            self.world.call_later(delay_s, lambda: self.world.publish_report(worker))

    def cut_off(self, worker):
        delay_s = self.rng.choice([0.05, 0.08, 0.1, 0.2, 0.5, 1.0])
        delay_s *= self.rng.uniform(0.7, 1.3)
        back_s = delay_s + self.rng.uniform(4, 10)
        self.world.call_later(delay_s, lambda: setattr(worker, "cut", True))
        self.world.call_later(back_s, lambda: setattr(worker, "cut", False))

    def replace_scheduler(self):
        """Kill or freeze the scheduler, and let another node take its term."""
        world = self.world
        holders = [n for n in world.nodes if n.state.term == world.newest_term]
        if not holders or holders[0].frozen:
            return
        holder, newest_heartbeat_at = holders[0], world.now
        kind = self.rng.choice(["frozen", "killed", "known to have ended"])
        holder.frozen = True
        if kind == "frozen":
            world.call_later(self.rng.uniform(0.1, 5), holder.thaw)
        else:
            world.nodes.remove(holder)

        def take():
            self.terms += 1
            ended = kind == "known to have ended" and world.newest_term == 1
            world.take_term(f"n{self.terms}", newest_heartbeat_at, ended)

        delay_s = self.rng.uniform(1.1, 1.6) if kind == "frozen" else 0.0
        world.call_later(delay_s or self.rng.uniform(0.3, 1.3), take)


@given("restarts, cuts and takeovers at random, of seeds {first:d} to {last:d}")
def step_days(context, first, last):
    context.days = [RestartDay(seed) for seed in range(first, last + 1)]


@when("these days have passed")
def step_run_days(context):
    for day in context.days:
        day.run()


@then("no rule was broken on these days")
def step_no_violation(context):
    broken = {n: day.world.violations for n, day in enumerate(context.days)}
    assert not any(broken.values()), broken
