"""Steps that hold the bounds of leases against generated cases, in virtual time."""

import asyncio
import random

from behave import given, then, when

from primrosepitch import clock
from primrosepitch.events import RUN_LOST
from primrosepitch.jobs.model import (
    JobId,
    JobSpec,
    QueueName,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.jobs.records import Term, encode
from primrosepitch.jobs.store import KeyedRecord
from primrosepitch.node.follower import LedgerFollower
from primrosepitch.node.scheduler import SchedulerRunner
from primrosepitch.node.term import CLAIM_SILENCE_S
from primrosepitch.scheduling.configuration import (
    QueueSpec,
    ServiceSpec,
    WorkspaceSpec,
)
from primrosepitch.scheduling.leases import EXPIRY_SLACK_S, LEASE_GRANT_WINDOW_S
from standins.memory_platform import MemoryPartition, MemoryPlatform, find_no_node
from standins.scheduler_world import SchedulerWorld

LOST_FOR_LEASE = ("lease expired", "its endpoint sent no report after the takeover")

MAX_READING_AGE_S = 9.9
"""Endpoints without tasks are polled every 10 s."""

SLOW_CLOCK = 0.02

SLACK_S = EXPIRY_SLACK_S - 0.003
"""Least margin: nothing but rounding may use up the time for timers and kills."""

WATCHED_S = 6.5
"""Time for which a case goes on after the last takeover: the longest wait is 6.3 s."""

LATE_CALLS_S = 15.0
"""The same where calls matter that are carried out late, after 12 s at most."""


class Case:
    """A generated case: a world, its random numbers, and the leases waited for.

    :param restarts: "", "known" or "unknown", whether the endpoint that falls silent
        has restarted before, and whether the scheduler can have learned of it
    :ivar margins: by how much the time waited for, at which runs count as lost, was
        later than the end of their lease on the clock of their endpoint
    """

    def __init__(self, seed, restarts):
        self.rng = random.Random(f"{seed} {restarts}")
        self.restarts = restarts
        self.margins = []
        self.log = [f"seed {seed}"]
        world = self.world = SchedulerWorld(seed)
        service = ServiceName("s")
        world.cfg.queues[QueueName("q")] = QueueSpec(
            QueueName("q"), "h", "/q/", service, max_attempts=4
        )
        world.cfg.services[service] = ServiceSpec(service)
        workspace = WorkspaceName("w")
        world.cfg.workspaces[workspace] = WorkspaceSpec(workspace, weight=100.0)
        self.victim = world.add_worker("e1", "s")
        world.add_worker("e2", "s", rack="r2")
        for worker in world.workers.values():
            worker.slow_clock = SLOW_CLOCK
        self.holder = world.take_term("a")
        self._watch_losses()

    def _watch_losses(self):
        write_log = self.world._do_writelog

        def check(node, effect):
            lost = effect.event is RUN_LOST
            current = node.state.term == self.world.newest_term
            if lost and current and effect.fields["why"] in LOST_FOR_LEASE:
                worker = self.world.workers[effect.fields["endpoint"]]
                ends_at = worker.lease_ends_at()
                if ends_at:
                    bound = self.world.now - effect.fields.get("expired_s", 0.0)
                    self.margins.append(bound - ends_at)
            write_log(node, effect)

        self.world._do_writelog = check

    def note(self, text):
        self.log.append(f"{self.world.now:.3f} {text}")

    def submit(self):
        """Submit a job whose tasks occupy both endpoints for longer than the case."""
        self.world.submit(
            JobSpec(
                job=JobId("j1"),
                queue=QueueName("q"),
                service=ServiceName("s"),
                workspace=WorkspaceName("w"),
                payload="p",
                steps=(StepSpec(6, 2000, 512, estimate_ms=60_000, rack="r1"),),
                accepted_ms=self.world.wall_ms,
                max_attempts=4,
                stretch=2.0,
                goal_ms=600,
            )
        )
        self.note("job submitted")

    def prepare(self):
        """Let the endpoint take starts, after a restart if the case has one."""
        world, rng = self.world, self.rng
        world.run(rng.choice([MAX_READING_AGE_S, rng.uniform(0.5, MAX_READING_AGE_S)]))
        world.answer_loss_rate = rng.choice([0.0, 0.5, 1.0])
        world.late_order_rate = rng.choice([0.0, 0.0, 0.3])
        world.late_poll_rate = rng.choice([0.0, 0.0, 0.3])
        world.poll_delay_s = rng.choice([0.0, 0.0, rng.uniform(0.0, 0.25)])
        self.note(
            f"answers lost {world.answer_loss_rate}, orders late "
            f"{world.late_order_rate}, polls late {world.late_poll_rate}, "
            f"answers to polls delayed {world.poll_delay_s:.3f}"
        )
        if self.restarts == "known":
            self.submit()
            world.run(rng.uniform(0.0, 2.0))
            self.restart()
            world.publish_report(self.victim)
            world.run(rng.uniform(0.7, 3.0))
            if rng.random() < 0.3:
                self.restart()
        elif self.restarts == "unknown":
            # The restart comes before the order, or while it is under way.
            before = rng.random() < 0.7
            if before:
                self.restart()
            self.submit()
            world.run(rng.uniform(0.0, 0.05))
            if not before:
                self.restart()
        else:
            self.submit()
        # A lease on an old reading counts most if nothing extends it.
        world.run(rng.choice([rng.uniform(0.0, 0.09), rng.uniform(0.0, 1.5)]))
        if rng.random() < 0.5:
            self.run_to_grant()

    def learn_late(self):
        """Let late calls arrive between a restart and the poll that shows it."""
        world, rng = self.world, self.rng
        world.run(MAX_READING_AGE_S)
        world.late_order_rate, world.late_poll_rate = 0.5, 0.3
        world.late_s = (0.05, 0.25)
        self.submit()
        world.run(rng.uniform(0.01, 0.05))
        self.restart()
        world.late_order_rate = world.late_poll_rate = 0.0
        # Until all late calls have arrived, no answer shows the restart.
        self.victim.mute = True
        world.run(rng.uniform(world.late_s[1], 0.3))
        self.victim.mute = False
        endpoint = self.holder.state.endpoints[self.victim.id]
        assert world.run_until(lambda: endpoint.report.born == self.victim.born, 2.0)

    def run_to_grant(self):
        """Go on until the endpoint's lease has been extended, for a while at most."""
        lease = self.victim.lease_expiry_ms
        self.world.run_until(lambda: self.victim.lease_expiry_ms != lease, 0.4)

    def restart(self):
        self.victim.crash()
        self.victim.restart()
        self.note("e1 restarts")

    def cut(self):
        self.victim.cut = True
        self.note("e1 is cut off")

    def kill(self, node):
        node.frozen = True
        self.world.nodes.remove(node)
        self.note(f"{node.name} ends")

    def sever(self, name, endpoints):
        self.world.severed |= {(name, worker.id) for worker in endpoints}

    def take_term(self, name, terms, heartbeat_at, started_at, seen_later=()):
        """Let a node take the term, with the wait that a real scheduler computes."""
        now = self.world.now
        until = leases_until(now, terms, heartbeat_at, started_at, seen_later)
        self.note(f"{name} takes the term and waits until {until:.3f}")
        return self.world.take_term(name, leases_until=until)

    def watch(self):
        late = self.world.late_calls_outlive_restart
        self.world.run(LATE_CALLS_S if late else WATCHED_S)


def leases_until(now, terms, heartbeat_at, started_at, seen_later=()):
    """Return until when a new scheduler of node a waits for leases of earlier terms.

    :param terms: terms in the ledger when its process begins to read it
    :param heartbeat_at: when it read the newest append of another node
    :param started_at: when its process started and could read the ledger
    :param seen_later: terms that reach the ledger afterwards
    """
    ledger = MemoryPartition([KeyedRecord(*encode(term)) for term in terms])
    follower = LedgerFollower(ledger, lambda record: None)
    follower.loaded = True
    runner = SchedulerRunner(
        "a",
        MemoryPlatform(ledger),
        follower,
        SchedulerWorld().limits,
        random.Random(1),
        1.0,
        lambda: True,
        find_no_node,
    )
    asyncio.run(follower.catch_up())
    ledger.records += [KeyedRecord(*encode(term)) for term in seen_later]
    asyncio.run(follower.catch_up())
    offset = clock.monotonic() - now
    runner._heartbeat_at = heartbeat_at + offset
    runner._started_at = follower.connected_at = started_at + offset
    asyncio.run(runner._claim())
    assert runner.leading
    return runner.state.prior_leases_until - offset


def wait_alone(case):
    case.cut()
    case.watch()


def succeed_ended(case, terms):
    """Let the endpoint be cut off, and the scheduler end at about the same time."""
    world, rng = case.world, case.rng
    if rng.random() < 0.5:
        case.cut()
        world.run(rng.uniform(0.0, 0.3))
    case.kill(case.holder)
    ended_at = world.now
    if not case.victim.cut:
        world.run(rng.uniform(0.0, 0.01))
        case.cut()
    world.run(rng.uniform(0.0, 1.0))
    # The end is read, or the ledger can be read again, at its time at the earliest.
    case.take_term("n1", terms, ended_at, ended_at)
    case.watch()


def succeed_released(case):
    succeed_ended(case, [Term(1, "", 5)])


def succeed_process(case):
    succeed_ended(case, [Term(1, "a", 5)])


def claim_beside(case, name, claim, silence_s=CLAIM_SILENCE_S):
    """Let a node claim that can't reach the endpoints, beside a scheduler that can."""
    world, rng = case.world, case.rng
    heartbeat_at = world.newest_append_at
    world.run(max(0.0, heartbeat_at + silence_s - world.now))
    world.run(rng.uniform(0.0, 0.6))
    case.sever(name, world.workers.values())
    claim(heartbeat_at)
    world.run(max(0.0, heartbeat_at + LEASE_GRANT_WINDOW_S + 0.05 - world.now))
    # The first scheduler has been fenced by none of the endpoints until now.
    case.cut()
    world.severed.clear()
    case.watch()


def succeed_without_store(case):
    case.world.cut_nodes.add("a")
    case.note("a is cut off from the store")
    claim_beside(
        case,
        "n1",
        lambda heartbeat_at: case.take_term("n1", [Term(1, "b", 5)], heartbeat_at, 0),
    )


def succeed_suspended(case):
    case.holder.frozen = True
    case.note("a is suspended")

    def claim(heartbeat_at):
        case.take_term("n1", [Term(1, "b", 5)], heartbeat_at, 0)
        left_s = heartbeat_at + LEASE_GRANT_WINDOW_S - case.world.now
        thaw_s = case.rng.choice(
            [case.rng.uniform(0.0, left_s), case.rng.uniform(left_s, 4.0)]
        )
        case.note(f"a is resumed in {thaw_s:.3f}")
        case.world.call_later(thaw_s, case.holder.thaw)

    claim_beside(case, "n1", claim)


def succeed_chain(case):
    """Let a process claim and end, and the next process of its node claim.

    The first scheduler may act longer than the time between these two claims.
    """
    world, rng = case.world, case.rng
    world.cut_nodes.add("a")
    case.note("a is cut off from the store")

    def claim(heartbeat_at):
        first = case.take_term("n1", [Term(1, "b", 5)], heartbeat_at, 0)
        world.run(rng.uniform(0.0, 0.2))
        case.kill(first)
        world.run(rng.uniform(0.0, 0.3))
        started_at = world.now
        case.sever("n2", world.workers.values())
        terms = [Term(1, "b", 5), Term(2, "a", 6)]
        case.take_term("n2", terms, started_at, started_at)

    claim_beside(case, "n1", claim)


def succeed_late_claim(case):
    """Let the store carry out a claim of a process that has ended seconds before.

    The next process of its node has read appends of the first scheduler since its
    start, and claims as soon as it reads that late claim.
    """
    case.world.cut_nodes.add("a")
    case.note("a is cut off from the store")
    before_s = case.rng.uniform(2.0, 10.0)

    def claim(heartbeat_at):
        case.take_term(
            "n1",
            [Term(1, "b", 5)],
            heartbeat_at,
            heartbeat_at - before_s,
            [Term(2, "a", 6)],
        )

    claim_beside(case, "n1", claim, silence_s=0.0)


WAITS = {
    "the scheduler itself": wait_alone,
    "a successor of a released term": succeed_released,
    "a successor of an ended process": succeed_process,
    "a successor of a scheduler without the store": succeed_without_store,
    "a successor of a suspended scheduler": succeed_suspended,
    "a successor of a chain": succeed_chain,
    "a successor of a late claim": succeed_late_claim,
}

RESTARTS = {
    "falls silent": "",
    "restarts, which is known": "known",
    "restarts, which isn't known": "unknown",
}


@given("{count:d} generated cases in which an endpoint {what}")
def step_cases(context, count, what):
    context.cases = [Case(seed, RESTARTS[what]) for seed in range(1, count + 1)]


@given("late orders and polls are carried out by a later incarnation as well")
def step_late_calls_outlive(context):
    for case in context.cases:
        case.world.late_calls_outlive_restart = True


@when("late calls arrive after a restart that the scheduler learns of then")
def step_learn_late(context):
    for case in context.cases:
        case.learn_late()
        wait_alone(case)


@when("{who} waits for the leases")
def step_wait(context, who):
    for case in context.cases:
        case.prepare()
        WAITS[who](case)


@then("no run was lost before the lease of its endpoint had ended")
def step_none_early(context):
    broken = [
        (case.log, case.world.violations[:2], min(case.margins, default=SLACK_S))
        for case in context.cases
        if case.world.violations or min(case.margins, default=SLACK_S) < SLACK_S
    ]
    assert not broken, (len(broken), broken[0])


@then("at least {count:d} leases were waited for")
def step_not_vacuous(context, count):
    waited = sum(bool(case.margins) for case in context.cases)
    assert waited >= count, waited
