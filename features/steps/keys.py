"""Steps about keys of teams."""

import io
import random

import msgspec
from behave import given, step, then, when
from fleet_world import Log, document

from primrosepitch.fleet import records as rec
from primrosepitch.fleet.state import FleetState
from primrosepitch.request import events
from primrosepitch.request.reducer import step as reduce
from primrosepitch.request.state import EntryState
from primrosepitch.teams.keys import admit, new_key, split_key, verify
from primrosepitch.teams.withdrawals import PendingWithdrawals
from primrosepitch.trace import TraceRecorder

rng = random.Random(8)


@given("team red may use the queue press and team blue every queue")
def step_teams(context):
    context.log, context.raw, context.pending = Log(), {}, PendingWithdrawals()
    context.teams = {"red": {"queues": ["press"]}, "blue": {}}
    context.services = {q: {"pool": "press"} for q in ("press", "still")}
    for team, spec in context.teams.items():
        context.raw[team], key_id, stored = new_key(rng.randbytes(32))
        spec["keys"] = {key_id: msgspec.to_builtins(stored)}


@given("the queue walk-in is open to all")
def step_open(context):
    context.services["walk-in"] = {"pool": "press", "open": True}
    publish(context)


@given("team red allows a contact age of {age:d} s")
def step_allowed_age(context, age):
    context.teams["red"]["stale_key_deadline_s"] = float(age)
    publish(context)


@given("team {team} also has a new key")
def step_rotate(context, team):
    context.raw["new"], key_id, spec = new_key(rng.randbytes(32))
    fields = {"team": team, "key_id": key_id, "salt": spec.salt, "digest": spec.digest}
    context.given = rec.KeyGiven(record_id="given", by="op", **fields)
    assert context.log.append(context.given).void is None


@given("the key of {team} was withdrawn")
def step_was_withdrawn(context, team):
    """The key is both given by a record and named by a file."""
    key_id = split_key(context.raw[team])[0]
    fields = context.teams[team]["keys"][key_id]
    context.given = rec.KeyGiven(
        record_id="given", by="op", team=team, key_id=key_id, **fields
    )
    context.log.append(context.given)
    withdraw(context, key_id)


def publish(context):
    doc = document(teams=context.teams, services=context.services)
    outcome = context.log.publish(doc)
    assert outcome.void is None, outcome


def withdraw(context, key_id):
    number = f"w{len(context.log.records)}"
    context.log.append(rec.KeyWithdrawn(record_id=number, by="op", key_id=key_id))


def raw_key(context, name):
    raw = context.raw
    return {
        "no key": "",
        "the key of red": raw["red"],
        "the key of blue": raw["blue"],
        "the new key of red": raw.get("new", ""),
        "a wrong secret for red": raw["red"][:-4] + "0000",
        "an unknown key": "0" * 12 + raw["red"][12:],
        "a malformed key": "red:" + raw["red"],
        "the secret without its id": raw["red"].partition(".")[2],
    }[name]


def decide(context, queue, name, age_s=0.0):
    state, raw = context.log.state, raw_key(context, name)
    valid = verify(state, raw)
    return admit(state, queue, split_key(raw)[0], valid, context.pending, age_s)


@when("the key of {team} is withdrawn")
def step_withdraw(context, team):
    withdraw(context, split_key(context.raw[team])[0])


@when("a request to {queue} comes with {key} and a contact age of {age:d} s")
def step_aged_request(context, queue, key, age):
    context.admission = decide(context, queue, key, float(age))


@when("a request to {queue:S} comes with {key}")
def step_request(context, queue, key):
    context.admission = decide(context, queue, key)


@then("it is admitted for {team}")
def step_admitted(context, team):
    assert context.admission == (team, ""), context.admission


@then("it is refused with {code}")
def step_refused(context, code):
    assert context.admission == (None, code), context.admission


@when("nothing else happens")
def step_nothing(context):
    pass


@when("the record that gave it is appended again")
def step_again(context):
    context.log.append(context.given)


@when("it is given again by a new record")
def step_given_again(context):
    context.log.append(msgspec.structs.replace(context.given, record_id="again"))


@when("a file that still names it is published again")
def step_file(context):
    publish(context)


@when("a process starts from a snapshot of the state")
def step_snapshot(context):
    data = msgspec.msgpack.encode(context.log.state)
    context.log.state = msgspec.msgpack.decode(data, type=FleetState)


@when("a process starts from the first record of the log")
def step_fresh(context):
    old, context.log = context.log, Log()
    for record in old.records:
        context.log.append(rec.decode_record(rec.encode_record(record)))


@given("entries A, B and C without contact to the log")
def step_entries(context):
    context.entries = {name: PendingWithdrawals() for name in "ABC"}


@when("the key of {team} is withdrawn at A and A tells B")
def step_withdrawn_at(context, team):
    folded, entries = context.log.state.withdrawn, context.entries
    assert entries["A"].merge([split_key(context.raw[team])[0]], folded)
    assert entries["B"].merge(entries["A"], folded)


@when("A is lost and B tells C")
def step_lost(context):
    del context.entries["A"]
    context.entries["C"].merge(context.entries["B"], context.log.state.withdrawn)


@when("the log is back and C appends what is pending")
def step_back(context):
    for key_id in context.entries["C"]:
        withdraw(context, key_id)
    context.entries["C"].prune(context.log.state.withdrawn)


@then("C has nothing pending and refuses the key of {team} with {code}")
def step_settled(context, team, code):
    assert not len(context.entries["C"])
    step_refuses(context, team, code)


@then("C refuses the key of {team} with {code}")
def step_refuses(context, team, code):
    context.pending = context.entries["C"]
    assert decide(context, "press", f"the key of {team}") == (None, code)


@step("an old message of B makes nothing pending at C")
def step_old_message(context):
    withdrawn = context.log.state.withdrawn
    assert context.entries["C"].merge(context.entries["B"], withdrawn) == []


@when("an entry handles a request with {key} and records it")
def step_recorded(context, key):
    context.secret = context.raw["red"].partition(".")[2]
    raw, file, state = raw_key(context, key), io.BytesIO(), EntryState("s1", "a")
    opened = rec.SessionOpened(
        record_id="o", by="s1", session="s1", role=rec.Role.ENTRY, dc="a",
        instance="e1", peer_address="127.0.0.1:1",
    )  # fmt: skip
    happened = [
        events.RecordRead(now=1.0, offset=n, record=record)
        for n, record in enumerate([*context.log.records, opened])
    ]
    happened.append(
        events.RequestArrived(
            now=2.0, seed=1, call=1, queue="press", key_id=split_key(raw)[0],
            key_valid=verify(context.log.state, raw), request_id="r",
            caller_id=False, idempotent=True,
        )
    )  # fmt: skip
    for event in happened:
        effects = reduce(state, event)
        TraceRecorder(file).write(event, effects)
        file.write(msgspec.json.encode(effects))
    context.trace = file.getvalue().decode()


@then("the trace has the key id {name} and no part of the secret")
def step_no_secret(context, name):
    key_id = split_key(context.raw["red"])[0] if name == "of red" else name
    assert f'"key_id":"{key_id}"' in context.trace
    parts = [context.secret[i : i + 8] for i in range(0, 56, 8)]
    assert not any(part in context.trace for part in parts)
