"""Steps for numbers at their limits."""

import json
import logging
from unittest import mock

import msgspec
from adapter.configuration import decode_configuration, decode_wave
from adapter.directory import decode_report
from adapter.intake import _rejection_text
from adapter.submissions import decode_submission
from behave import then, when
from hypothesis import HealthCheck, seed, settings, strategies
from hypothesis import given as generate
from steps.scheduler_rules import submit_job

from primrosepitch.events import ADVISORY_FAILED, JsonFormatter
from primrosepitch.jobs.model import (
    JobId,
    Resources,
    ServiceName,
    StepSpec,
    WorkspaceName,
)
from primrosepitch.jobs.records import Ledger, decode_runs, encode
from primrosepitch.jobs.store import KeyedRecord
from primrosepitch.node.job_intake import Rejection
from primrosepitch.scheduling import commits, reducer
from primrosepitch.scheduling import effects as ef
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.backlog import MAX_REPORTED_WAIT_MS, retry_after_s
from primrosepitch.scheduling.configuration import WorkspaceSpec
from primrosepitch.scheduling.reducer import step
from primrosepitch.scheduling.state import SchedulerState

WALL_MS = 1_700_000_000_000

HOT = WorkspaceName("hot")

LARGEST = (1 << 53) - 1


@when("a job of {tasks:d} tasks of {cpu:d} cpu and {estimate:d} ms is accepted")
def step_wrong_units(context, tasks, cpu, estimate):
    spec = StepSpec(tasks, cpu, 64, estimate_ms=estimate)
    context.wrong_units = spec
    submit_job(context, "units", [spec], workspace=HOT)


@when("the limit of its workspace admits {count:d} of them")
def step_limit(context, count):
    limit = Resources(count * context.wrong_units.cpu, 0, 0)
    context.world.cfg.workspaces[HOT] = WorkspaceSpec(HOT, 100.0, limit)
    for node in context.world.nodes:
        node.feed(ev.ConfigurationChanged(context.world.cfg))


@then("no wait over {most:d} ms is published")
def step_short_wait(context, most):
    waits = context.world.ledger.backlog.waits
    assert all(wait <= most for wait in waits.values()), waits


@then("the arrival rate of its pool is 0")
def step_no_arrivals(context):
    rates = context.world.nodes[0].state.arrival_rates[ServiceName("s")]
    assert not any(rate.rate for rate in rates), rates


@then("node {name} still has its first term")
def step_first_term(context, name):
    node = next(n for n in context.world.nodes if n.name == name)
    assert node.state.term == 1, node.state.term


PARTS = {
    "waits": (commits, "estimate_waits"),
    "slow endpoints": (commits, "slow_endpoints_record"),
    "log of waits": (reducer, "log_waits"),
    "arrival rates": (reducer, "record_arrival"),
}


@when("the computation of {part} raises an exception")
def step_fails(context, part):
    module, name = PARTS[part]
    failing = mock.patch.object(module, name, side_effect=OverflowError("too large"))
    failing.start()
    context.add_cleanup(failing.stop)


@then("the log names {part} as failed")
def step_part_logged(context, part):
    assert context.world.newest_fields[ADVISORY_FAILED.number]["part"] == part


numbers = strategies.one_of(
    strategies.sampled_from(
        [0, 1, 2, 500, 1000, 60_000, 1 << 31, 1 << 52, LARGEST - 1, LARGEST]
    ),
    strategies.integers(0, LARGEST),
)
small = strategies.sampled_from([1, 2, 31, 33, 250])
flags = strategies.booleans()
labels = strategies.sampled_from(["", "k", "none"])
plain_step = {
    "count": small,
    "cpu": numbers,
    "memory_request_mb": numbers,
    "gpu": numbers,
    "estimated_ms": numbers,
}
options = {
    "anti_affinity": numbers,
    "may_miss": numbers,
    "target_ms": numbers,
    "requirements": labels,
    "affinity": labels,
    "gang": flags,
    "same_rack": flags,
    "long_running": flags,
    "fills": flags,
    "checkpointing": flags,
    "allow_duplicates": flags,
}
submissions = strategies.fixed_dictionaries(
    {
        "steps": strategies.lists(
            strategies.fixed_dictionaries(plain_step, optional=options),
            min_size=1,
            max_size=3,
        ),
    },
    optional={
        "repetitions": small,
        "first_run_ms": numbers,
        "interval_ms": numbers,
    },
)
amounts = strategies.fixed_dictionaries(
    {}, optional=dict.fromkeys(("cpu", "memory_request_mb", "gpu"), numbers)
)
factors = strategies.one_of(
    numbers, strategies.floats(0, LARGEST, allow_nan=False, allow_subnormal=False)
)
deployments = strategies.fixed_dictionaries(
    {
        "route": strategies.fixed_dictionaries(
            {
                "priority": numbers,
                "max_attempts": numbers,
                "stretch": factors,
                "target_duration_ms": numbers,
            }
        ),
        "advised": flags,
        "tenant": strategies.fixed_dictionaries({"weight": factors, "cap": amounts}),
        "submissions": strategies.lists(submissions, min_size=1, max_size=6),
        "capacities": strategies.lists(amounts, min_size=1, max_size=3),
        "clock_ms": numbers,
        "duration_s": numbers,
        "percent": numbers,
        "load": factors,
        "ranking": strategies.sampled_from(["urgency", "value"]),
    }
)

formatter = JsonFormatter()


def decoded_configuration(drawn):
    route = {"name": "q", "host": "h", "path_prefix": "/q/", "service": "s"}
    if drawn["advised"]:
        route["advice"] = {"decision_ms": 1, "period_ms": 1, "validity_ms": 1000}
    tenant = {"name": "w", "api_keys": ["k"], **drawn["tenant"]}
    manifest = {
        "version": 1,
        "routes": [route | drawn["route"]],
        "services": [{"name": "s"}, {"name": "spare", "spare": True}],
        "tenants": [tenant],
    }
    return decode_configuration(json.dumps(manifest).encode())


class Term:
    """A scheduler whose effects are encoded as they would be sent and logged."""

    def __init__(self, cfg, drawn, ledger, runs):
        self.state = SchedulerState(node="a", ranking=drawn["ranking"])
        self.drawn = drawn
        self.ledger = ledger
        self.runs = runs
        self.feed(ev.ConfigurationChanged(cfg))
        wave = {"wave": 1, "machines": ["m-0"], "duration_s": drawn["duration_s"]}
        spec = decode_wave(json.dumps(wave).encode(), 1.0)
        self.feed(ev.WaveRequested(spec))
        self.state.wall_ms = WALL_MS
        stored = decode_runs((key, value) for key, value in runs.items() if value)
        self.feed(ev.TermTaken(1.0, 1.0, 1, ledger.jobs, stored, 1.0, {}, {}, 1.0))

    def feed(self, event):
        effects = step(self.state, event)
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, ef.WriteLog):
                assert effect.event is not ADVISORY_FAILED, effect
                log = logging.LogRecord("x", 20, "", 0, "x", None, None)
                log.fields = {"event": effect.event.name, **effect.fields}
                json.loads(formatter.format(log))
            elif isinstance(effect, ef.Commit):
                effects += self.commit(effect)
            else:
                msgspec.json.encode(tuple(effect))
            if isinstance(effect, ef.StartRun):
                done = (effect.task, effect.run, effect.endpoint, ev.Outcome.DONE)
                effects += step(self.state, ev.StartAnswered(*done, self.state.now))
            if isinstance(effect, ef.RequestAdvice):
                allowed = dict.fromkeys(effect.endpoints, "t")
                valid_until = self.state.now + 5
                advice = (effect.step, effect.endpoints, allowed, valid_until)
                answer = ev.AdviceReceived(*advice, self.state.now)
                effects += step(self.state, answer)

    def commit(self, commit):
        for key, value in commit.shared:
            self.ledger.apply(key, value)
        self.runs.update(commit.runs)
        decode_runs((k, v) for k, v in commit.runs if v)
        return step(self.state, ev.Committed(commit.number, self.state.now))

    def report(self):
        for number, capacity in enumerate(self.drawn["capacities"]):
            entry = {
                "born": 1,
                "service": "s",
                "address": "10.0.0.1:1",
                "zone": "z",
                "state": "ready",
                "capacity": capacity,
                "labels": ["k", "r"],
                "machine": f"m-{number}",
                "clock_ms": self.drawn["clock_ms"],
            }
            record = KeyedRecord(f"e{number}", json.dumps(entry).encode())
            found = decode_report(record, self.state.now)
            assert found is not None
            self.feed(ev.EndpointReported(found, self.state.now))

    def poll(self):
        for endpoint in list(self.state.endpoints.values()):
            running = [
                ev.ActiveRun(
                    t.key, t.run, "", self.drawn["percent"], self.drawn["load"]
                )
                for t in endpoint.tasks.values()
            ]
            ended = []
            if len(running) > 1:
                row = running.pop()
                number = endpoint.processed_end + 1
                end = ev.EndedRun(number, row.task, row.run, ev.EndKind.DONE, "")
                ended.append(end)
            now = self.state.now
            answer = ev.EndpointPolled(
                endpoint.id,
                1,
                now,
                now,
                self.drawn["clock_ms"],
                running,
                ended,
                endpoint.acked_end,
                1,
                True,
            )
            self.feed(answer)

    def advance(self, seconds):
        for _ in range(round(seconds / 0.1)):
            now = self.state.now + 0.1
            self.feed(ev.Tick(now, WALL_MS + round(now * 1000)))
            self.poll()


def play(drawn):
    cfg = decoded_configuration(drawn)
    queue = cfg.queues["q"]
    ledger, runs = Ledger(), {}
    term = Term(cfg, drawn, ledger, runs)
    term.report()
    term.advance(0.3)
    for number, submission in enumerate(drawn["submissions"]):
        body = json.dumps(submission).encode()
        job = JobId(f"{number:016x}")
        try:
            spec = decode_submission(body, job, queue, WorkspaceName("w"), WALL_MS)
        except msgspec.DecodeError:
            continue
        after_s = retry_after_s(spec, MAX_REPORTED_WAIT_MS)
        _rejection_text(Rejection(after_s, spec.service, MAX_REPORTED_WAIT_MS))
        ledger.apply(*encode(spec))
        term.feed(ev.JobAccepted(spec))
    term.advance(1.2)
    waits = ledger.backlog.waits
    assert all(0 < wait <= MAX_REPORTED_WAIT_MS for wait in waits.values()), waits
    successor = Term(cfg, drawn, ledger, runs)
    successor.report()
    successor.advance(1.0)


@then(
    "{count:d} generated deployments raise nothing and write what can be read, "
    "with seed {number:d}"
)
def step_generated(context, count, number):
    checks = settings(
        max_examples=count,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    seed(number)(checks(generate(deployments)(play)))()
