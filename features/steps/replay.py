"""Steps about the replay of traces and the facts that it counts."""

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

SESSION_OPENED = rec.SessionOpened(
    record_id="r1", by="s1", session="s1", role=rec.Role.ENTRY, dc="linz",
    instance="i1", peer_address="127.0.0.1:1",
)  # fmt: skip

CONFIG_PUBLISHED = rec.ConfigPublished(
    record_id="r2", by="s1", base_offset=-1,
    documents={
        "a.yaml": Document(
            pools={"press": PoolSpec()},
            services={"press": ServiceSpec(pool="press", open=True)},
        )
    },
)  # fmt: skip


def request_arrived(call, key_id="", idempotent=False, request_id="id"):
    return ev.RequestArrived(
        now=1.0, seed=1, call=call, queue="press", key_id=key_id, key_valid=True,
        request_id=request_id, caller_id=True, idempotent=idempotent,
    )  # fmt: skip


@given("a trace of an entry that refuses 3 requests because it has no state")
def step_trace(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.trace = Path(folder.name) / "one.trace"
    state = EntryState("s1", "linz")
    events = [request_arrived(n, request_id=f"id{n}") for n in range(3)]
    events.append(ev.RecordRead(now=1.5, offset=0, record=SESSION_OPENED))
    events.append(ev.RecordRead(now=1.5, offset=1, record=CONFIG_PUBLISHED))
    events.append(request_arrived(3, idempotent=True, request_id="id3"))
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
def step_no_statement(context):
    assert not context.trace.with_suffix(".yaml").exists()


@given("the trace is compressed and {state}")
def step_compressed(context, state):
    data = gzip.compress(context.trace.read_bytes())
    data = data[:-12] if state == "truncated" else data
    context.trace.with_suffix(".trace.gz").write_bytes(data)
    context.trace.unlink()


@when("the traces of the repository are replayed")
def step_replay_recorded(context):
    context.result = CliRunner().invoke(app, [str(TRACES)])


@when("the traces of the repository are replayed with a changed outcome")
def step_replay_changed(context):
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(shutil.copytree(TRACES, Path(folder, "traces")))
        path = sorted(copy.rglob("*.yaml"))[0]
        statement = yaml.safe_load(path.read_text(encoding="utf-8"))
        zero_fact = next(k for k, v in statement["expected"].items() if v == 0)
        statement["expected"][zero_fact] = 1
        path.write_text(yaml.safe_dump(statement), encoding="utf-8")
        context.result = CliRunner().invoke(app, [str(copy)])


def parse_output(output):
    """Return the numbers of traces and of those that hold, by property."""
    line = re.compile(r"^property (\w+): traces=(\d+) held=(\d+)$", re.MULTILINE)
    return {name: (int(n), int(held)) for name, n, held in line.findall(output)}


@then("each of the ten properties has traces and all of them hold")
def step_all_hold(context):
    traces = parse_output(context.result.output)
    assert tuple(traces) == PROPERTIES, context.result.output
    assert all(n == held > 0 for n, held in traces.values()), context.result.output


@then("one trace does not hold")
def step_one_fails(context):
    traces = parse_output(context.result.output).values()
    assert sum(n - held for n, held in traces) == 1, context.result.output


@when("the trace is replayed")
def step_replay(context):
    context.result = CliRunner().invoke(app, [str(context.trace.parent)])


@then('the last line is "{line}"')
def step_output_line(context, line):
    assert line in context.result.output.splitlines(), context.result.output


@then("the exit code is {code:d}")
def step_exit_code(context, code):
    assert context.result.exit_code == code, context.result.output


SEND_REQUEST = do.SendRequest(
    call=1, conn=1, request_id="id", team="t", not_after=9.0, deadline=9.0
)
SEND_REPEAT = do.SendRequest(
    call=2, conn=1, request_id="id", team="t", not_after=9.0, deadline=9.0
)
OPEN_CONNECTION = do.OpenConnection(
    conn=1, instance="i1", address="", port=1, deadline=9.0
)
PASS_ANSWER = do.PassAnswer(call=1)
REFUSE_NOT_RUN = do.Refuse(call=1, outcome=do.Outcome.NOT_RUN, code="PRP-2202")
SEND_SKIPPED = ev.SendSkipped(now=2.0, call=1, conn=1)
SEND_FAILED = ev.SendFailed(now=2.0, call=1, conn=1, failure=ev.Failure.CLOSED)
SEND_FAILED_UNSENT = ev.SendFailed(now=2.0, call=1, conn=1, failure=ev.Failure.NOT_SENT)
LEAVING_LISTED = ev.InstancesListed(now=1.0, asked=1.0, leaving=["i1"])
ANSWER_RECEIVED = ev.AnswerReceived(now=2.0, call=1, conn=1, status=200)
CALLER_GONE = ev.CallerGone(now=2.0, call=1)


def fleet_state(config_offset=0, held=1, withdrawn=()):
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


# Two runs for each fact: one in which it is 1 and a similar one in which it is 0. A
# step of a run is an event with its effects, or a dictionary with the arguments of the
# fleet state for the steps after it.
RUNS = {
    "sends_twice": (
        [
            (request_arrived(1), [SEND_REQUEST]),
            (SEND_FAILED, []),
            (request_arrived(2), [SEND_REPEAT]),
        ],
        [
            (request_arrived(1), [SEND_REQUEST]),
            (SEND_FAILED_UNSENT, []),
            (request_arrived(2), [SEND_REPEAT]),
        ],
    ),
    "sends_then_not_run": (
        [(request_arrived(1), [SEND_REQUEST]), (SEND_FAILED, [REFUSE_NOT_RUN])],
        [(request_arrived(1), [SEND_REQUEST]), (SEND_SKIPPED, [REFUSE_NOT_RUN])],
    ),
    "sends_over_limit": (
        [(request_arrived(1), [SEND_REQUEST]), (request_arrived(2), [SEND_REPEAT])],
        [
            (request_arrived(1), [SEND_REQUEST]),
            (ANSWER_RECEIVED, [PASS_ANSWER]),
            (request_arrived(2), [SEND_REPEAT]),
        ],
    ),
    "sends_with_withdrawn_key": (
        [{"withdrawn": ["k"]}, (request_arrived(1, key_id="k"), [SEND_REQUEST])],
        [
            (request_arrived(1, key_id="k"), []),
            {"withdrawn": ["k"]},
            (ANSWER_RECEIVED, [SEND_REQUEST]),
        ],
    ),
    "sends_to_leaving": (
        [(LEAVING_LISTED, []), (request_arrived(1), [OPEN_CONNECTION, SEND_REQUEST])],
        [(request_arrived(1), [OPEN_CONNECTION, SEND_REQUEST]), (LEAVING_LISTED, [])],
    ),
    "ends_twice": (
        [
            (request_arrived(1), [SEND_REQUEST]),
            (ANSWER_RECEIVED, [PASS_ANSWER]),
            (SEND_FAILED, [REFUSE_NOT_RUN]),
        ],
        [(request_arrived(1), [SEND_REQUEST]), (ANSWER_RECEIVED, [PASS_ANSWER])],
    ),
    "ends_missing": (
        [(request_arrived(1), [SEND_REQUEST]), (ANSWER_RECEIVED, [])],
        [(request_arrived(1), [SEND_REQUEST]), (CALLER_GONE, [])],
    ),
    "config_reverts": (
        [
            {"config_offset": 5},
            (LEAVING_LISTED, []),
            {"config_offset": 4},
            (LEAVING_LISTED, []),
        ],
        [
            {"config_offset": 5},
            (LEAVING_LISTED, []),
            {"config_offset": 6},
            (LEAVING_LISTED, []),
        ],
    ),
}

HEADER = {"record_id": "r", "by": "s1"}
STOP_REQUESTED = rec.StopRequested(instance="i1", dc="linz", term=1, **HEADER)
DRAIN_STARTED = rec.DrainStarted(
    instance="i1", reason=rec.DrainReason.STOP, base_offset=0, **HEADER
)
RUNS["sends_at_limit"] = (
    [(request_arrived(1), [SEND_REQUEST])],
    [{"held": 2}, (request_arrived(1), [SEND_REQUEST])],
)
RUNS["log_failures"] = (
    [(ev.LogContact(now=1.0, up=False), [])],
    [(ev.LogContact(now=1.0, up=True), [])],
)
RUNS["read.DrainStarted"] = (
    [(ev.RecordRead(now=1.0, offset=1, record=DRAIN_STARTED), [])],
    [(ev.RecordRead(now=1.0, offset=1, record=STOP_REQUESTED), [])],
)
MOVE_FINISHED = rec.MoveFinished(instance="i1", dc="linz", term=1, **HEADER)


def planner_run(fact, violated):
    """Return the value of a fact after a planner has read one record."""
    state = SimpleNamespace(fleet=fleet_state(held=0))
    inst = state.fleet.instances["i1"]
    facts = PlannerFacts()
    record, change = DRAIN_STARTED, {"phase": Phase.DRAINING}
    if fact == "stops_undrained":
        inst.phase = Phase.DRAINING
        record, change = STOP_REQUESTED, {"phase": Phase.STOPPING, "up": False}
        state.fleet.counts["slots/i1"].reserve -= violated
    elif fact == "stops_below_budget":
        inst.up = violated
    else:
        record, change = (
            (STOP_REQUESTED if violated else MOVE_FINISHED),
            {"pool": "spare"},
        )
    event = ev.RecordRead(now=1.0, offset=1, record=record)
    facts.before(state, event)
    for name, value in change.items():
        setattr(inst, name, value)
    facts.after(state, event, [])
    facts.finish()
    return facts.counts[fact]


def entry_run(fact, steps):
    """Return the value of a fact after a run of an entry."""
    state = SimpleNamespace(session="s1", fleet=fleet_state())
    facts = EntryFacts()
    for run_step in steps:
        if isinstance(run_step, dict):
            state.fleet = fleet_state(**run_step)
            continue
        event, effects = run_step
        facts.before(state, event)
        facts.after(state, event, effects)
    facts.finish()
    return facts.counts[fact]


@then("the fact {fact} is 1 when {what}, and 0 otherwise")
def step_fact(context, fact, what):
    if fact in RUNS:
        values = [entry_run(fact, steps) for steps in RUNS[fact]]
    else:
        values = [planner_run(fact, True), planner_run(fact, False)]
    assert values == [1, 0], f"values of the fact: {values}"
