"""Steps about the replay of traces."""

import gzip
import re
import shutil
import tempfile
from pathlib import Path
from types import SimpleNamespace

import yaml
from behave import given, then, when
from typer.testing import CliRunner

from primrosepitch.bin.replay import PROPERTIES, app
from primrosepitch.config.model import Config, Document, PoolSpec, ServiceSpec
from primrosepitch.facts import EntryFacts, PlannerFacts
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.counts import Count
from primrosepitch.fleet.state import FleetState, Instance, Phase
from primrosepitch.request import effects as do
from primrosepitch.request import events as ev
from primrosepitch.request.reducer import step
from primrosepitch.request.state import EntryState
from primrosepitch.trace import TraceRecorder

TRACES = Path(__file__).resolve().parents[2] / "traces"

OPENED = rec.SessionOpened(
    record_id="r1", by="s1", session="s1", role=rec.Role.ENTRY, dc="linz",
    instance="i1", peer_address="127.0.0.1:1",
)  # fmt: skip

PUBLISHED = rec.ConfigPublished(
    record_id="r2", by="s1", base_offset=-1,
    documents={
        "a.yaml": Document(
            pools={"press": PoolSpec()},
            services={"press": ServiceSpec(pool="press", open=True)},
        )
    },
)  # fmt: skip


def arrived(call, key_id="", idempotent=False, request_id="id"):
    return ev.RequestArrived(
        now=1.0, seed=1, call=call, queue="press", key_id=key_id, key_valid=True,
        request_id=request_id, caller_id=True, idempotent=idempotent,
    )  # fmt: skip


@given("a trace of an entry that refuses 3 requests since it has no state")
def step_trace(context):
    holder = tempfile.TemporaryDirectory()
    context.add_cleanup(holder.cleanup)
    context.trace = Path(holder.name) / "one.trace"
    state = EntryState("s1", "linz")
    events = [arrived(n, request_id=f"id{n}") for n in range(3)]
    events.append(ev.RecordRead(now=1.5, offset=0, record=OPENED))
    events.append(ev.RecordRead(now=1.5, offset=1, record=PUBLISHED))
    events.append(arrived(3, idempotent=True, request_id="id3"))
    with context.trace.open("wb") as file:
        recorder = TraceRecorder(file)
        for event in [*events, ev.Tick(now=2.0, seed=2)]:
            recorder.write(event, step(state, event))
    context.statement = {
        "property": "not_run_is_true", "program": "entry", "session": "s1",
        "dc": "linz", "fault": "no state",
        "expected": {"code.PRP-1204": 3, "effect.Refuse": {"at_least": 3}},
    }  # fmt: skip


@given("its statement has {defect}")
def step_defect(context, defect):
    lines = context.trace.read_bytes().splitlines(keepends=True)
    expected = context.statement["expected"]
    if defect == "a digest of other effects":
        lines[1] = lines[1].replace(b'"effects":"', b'"effects":"0')
    elif defect == "a fact that is not so":
        expected["code.PRP-1204"] = 2
    elif defect == "a bound that is not kept":
        expected["effect.Refuse"] = {"at_most": 2}
    elif defect == "no expected facts":
        expected.clear()
    elif defect == "no events":
        lines = []
        expected.clear()
        expected["code.PRP-1204"] = 0
    elif defect == "another session's reducer":
        context.statement["session"] = "s2"
    elif defect == "another property":
        context.statement["property"] = "at_most_twice"
    context.trace.write_bytes(b"".join(lines))
    path = context.trace.with_suffix(".yaml")
    path.write_text(yaml.safe_dump(context.statement), encoding="utf-8")


@given("its statement is missing")
def step_missing(context):
    assert not context.trace.with_suffix(".yaml").exists()


@given("the trace is compressed and {state}")
def step_compressed(context, state):
    data = gzip.compress(context.trace.read_bytes())
    data = data[:-12] if state == "truncated" else data
    context.trace.with_suffix(".trace.gz").write_bytes(data)
    context.trace.unlink()


@when("the traces of the repository are replayed")
def step_recorded(context):
    context.result = CliRunner().invoke(app, [str(TRACES)])


@when("the traces of the repository are replayed with a changed outcome")
def step_changed(context):
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(shutil.copytree(TRACES, Path(folder, "traces")))
        path = sorted(copy.rglob("*.yaml"))[0]
        stated = yaml.safe_load(path.read_text(encoding="utf-8"))
        zero = next(k for k, v in stated["expected"].items() if v == 0)
        stated["expected"][zero] = 1
        path.write_text(yaml.safe_dump(stated), encoding="utf-8")
        context.result = CliRunner().invoke(app, [str(copy)])


def counts(output):
    """Return traces and held traces by property."""
    line = re.compile(r"^property (\w+): traces=(\d+) held=(\d+)$", re.MULTILINE)
    return {name: (int(n), int(held)) for name, n, held in line.findall(output)}


@then("each of the ten properties has traces and all of them hold")
def step_all_hold(context):
    found = counts(context.result.output)
    assert tuple(found) == PROPERTIES, context.result.output
    assert all(n == held > 0 for n, held in found.values()), context.result.output


@then("one trace does not hold")
def step_one_fails(context):
    found = counts(context.result.output).values()
    assert sum(n - held for n, held in found) == 1, context.result.output


@when("the trace is replayed")
def step_replay(context):
    context.result = CliRunner().invoke(app, [str(context.trace.parent)])


@then('the last line is "{line}"')
def step_line(context, line):
    assert line in context.result.output.splitlines(), context.result.output


@then("the exit code is {code:d}")
def step_code(context, code):
    assert context.result.exit_code == code, context.result.output


SEND = do.SendRequest(
    call=1, conn=1, request_id="id", team="t", not_after=9.0, deadline=9.0
)
SEND_AGAIN = do.SendRequest(
    call=2, conn=1, request_id="id", team="t", not_after=9.0, deadline=9.0
)
OPEN = do.OpenConnection(conn=1, instance="i1", address="", port=1, deadline=9.0)
PASS = do.PassAnswer(call=1)
NOT_RUN = do.Refuse(call=1, outcome=do.Outcome.NOT_RUN, code="PRP-2202")
UNSENT = ev.SendSkipped(now=2.0, call=1, conn=1)
FAILED = ev.SendFailed(now=2.0, call=1, conn=1, failure=ev.Failure.CLOSED)
NOT_SENT = ev.SendFailed(now=2.0, call=1, conn=1, failure=ev.Failure.NOT_SENT)
LEAVING = ev.InstancesListed(now=1.0, asked=1.0, leaving=["i1"])
ANSWERED = ev.AnswerReceived(now=2.0, call=1, conn=1, status=200)
GONE = ev.CallerGone(now=2.0, call=1)


def fleet(config_offset=0, held=1, withdrawn=()):
    """Return a state with one instance and one unit of the limit of team t."""
    counts = {
        "limit/t": Count(total=9, reserve=9 - held, held={"s1": held}),
        "slots/i1": Count.of(8),
        "conns/i1": Count.of(64),
    }
    return FleetState(
        config=Config(services={"press": ServiceSpec(pool="press", min_available=1)}),
        config_offset=config_offset,
        counts=counts,
        withdrawn=dict.fromkeys(withdrawn, 0.0),
        instances={"i1": Instance(pool="press", dc="linz", rack="r1", up=True)},
    )


# For each fact two runs: one in which it is 1 and a similar one in which it is 0. A
# step of a run is an event with its effects; a dictionary changes the state before.
RUNS = {
    "sends_twice": (
        [(arrived(1), [SEND]), (FAILED, []), (arrived(2), [SEND_AGAIN])],
        [(arrived(1), [SEND]), (NOT_SENT, []), (arrived(2), [SEND_AGAIN])],
    ),
    "sends_then_not_run": (
        [(arrived(1), [SEND]), (FAILED, [NOT_RUN])],
        [(arrived(1), [SEND]), (UNSENT, [NOT_RUN])],
    ),
    "sends_over_limit": (
        [(arrived(1), [SEND]), (arrived(2), [SEND_AGAIN])],
        [(arrived(1), [SEND]), (ANSWERED, [PASS]), (arrived(2), [SEND_AGAIN])],
    ),
    "sends_with_withdrawn_key": (
        [{"withdrawn": ["k"]}, (arrived(1, key_id="k"), [SEND])],
        [(arrived(1, key_id="k"), []), {"withdrawn": ["k"]}, (ANSWERED, [SEND])],
    ),
    "sends_to_leaving": (
        [(LEAVING, []), (arrived(1), [OPEN, SEND])],
        [(arrived(1), [OPEN, SEND]), (LEAVING, [])],
    ),
    "ends_twice": (
        [(arrived(1), [SEND]), (ANSWERED, [PASS]), (FAILED, [NOT_RUN])],
        [(arrived(1), [SEND]), (ANSWERED, [PASS])],
    ),
    "ends_missing": (
        [(arrived(1), [SEND]), (ANSWERED, [])],
        [(arrived(1), [SEND]), (GONE, [])],
    ),
    "config_reverts": (
        [{"config_offset": 5}, (LEAVING, []), {"config_offset": 4}, (LEAVING, [])],
        [{"config_offset": 5}, (LEAVING, []), {"config_offset": 6}, (LEAVING, [])],
    ),
}

BY = {"record_id": "r", "by": "s1"}
STOP = rec.StopRequested(instance="i1", dc="linz", term=1, **BY)
DRAIN = rec.DrainStarted(
    instance="i1", reason=rec.DrainReason.STOP, base_offset=0, **BY
)
RUNS["sends_at_limit"] = (
    [(arrived(1), [SEND])],
    [{"held": 2}, (arrived(1), [SEND])],
)
RUNS["log_failures"] = (
    [(ev.LogContact(now=1.0, up=False), [])],
    [(ev.LogContact(now=1.0, up=True), [])],
)
RUNS["read.DrainStarted"] = (
    [(ev.RecordRead(now=1.0, offset=1, record=DRAIN), [])],
    [(ev.RecordRead(now=1.0, offset=1, record=STOP), [])],
)
MOVED = rec.MoveFinished(instance="i1", dc="linz", term=1, **BY)


def planner_run(fact, bad):
    """Return the fact after one record that a planner reads."""
    state = SimpleNamespace(fleet=fleet(held=0))
    inst = state.fleet.instances["i1"]
    facts = PlannerFacts()
    record, change = DRAIN, {"phase": Phase.DRAINING}
    if fact == "stops_undrained":
        inst.phase = Phase.DRAINING
        record, change = STOP, {"phase": Phase.STOPPING, "up": False}
        state.fleet.counts["slots/i1"].reserve -= bad
    elif fact == "stops_below_budget":
        inst.up = bad
    else:
        record, change = (STOP if bad else MOVED), {"pool": "spare"}
    event = ev.RecordRead(now=1.0, offset=1, record=record)
    facts.before(state, event)
    for name, value in change.items():
        setattr(inst, name, value)
    facts.after(state, event, [])
    facts.finish()
    return facts.counts[fact]


def entry_run(fact, steps):
    state = SimpleNamespace(session="s1", fleet=fleet())
    facts = EntryFacts()
    for one in steps:
        if isinstance(one, dict):
            state.fleet = fleet(**one)
            continue
        event, effects = one
        facts.before(state, event)
        facts.after(state, event, effects)
    facts.finish()
    return facts.counts[fact]


@then("the fact {fact} is 1 when {what}, and 0 otherwise")
def step_fact(context, fact, what):
    if fact in RUNS:
        found = [entry_run(fact, steps) for steps in RUNS[fact]]
    else:
        found = [planner_run(fact, True), planner_run(fact, False)]
    assert found == [1, 0], found
