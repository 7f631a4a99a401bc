"""Steps about the keys of teams: admission, withdrawal and secrecy."""

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
def step_team_queues(context):
    context.log, context.raw_keys, context.pending = Log(), {}, PendingWithdrawals()
    context.teams = {"red": {"queues": ["press"]}, "blue": {}}
    context.services = {q: {"pool": "press"} for q in ("press", "still")}
    for team, spec in context.teams.items():
        context.raw_keys[team], key_id, stored = new_key(rng.randbytes(32))
        spec["keys"] = {key_id: msgspec.to_builtins(stored)}


@given("the queue walk-in is open to requests without a key")
def step_open_queue(context):
    context.services["walk-in"] = {"pool": "press", "open": True}
    publish(context)


@given("team red allows a log contact age of {age:d} s")
def step_allowed_age(context, age):
    context.teams["red"]["stale_key_deadline_s"] = float(age)
    publish(context)


@given("team {team} also has a new key")
def step_rotate(context, team):
    context.raw_keys["new"], key_id, spec = new_key(rng.randbytes(32))
    fields = {"team": team, "key_id": key_id, "salt": spec.salt, "digest": spec.digest}
    context.key_given = rec.KeyGiven(record_id="given", by="op", **fields)
    assert context.log.append(context.key_given).void is None


@given("the key of {team} was withdrawn")
def step_was_withdrawn(context, team):
    """Withdraw a key that both a record and a configuration file have added."""
    key_id = split_key(context.raw_keys[team])[0]
    fields = context.teams[team]["keys"][key_id]
    context.key_given = rec.KeyGiven(
        record_id="given", by="op", team=team, key_id=key_id, **fields
    )
    context.log.append(context.key_given)
    withdraw(context, key_id)


def publish(context):
    doc = document(teams=context.teams, services=context.services)
    outcome = context.log.publish(doc)
    assert outcome.void is None, outcome


def withdraw(context, key_id):
    record_id = f"w{len(context.log.records)}"
    context.log.append(rec.KeyWithdrawn(record_id=record_id, by="op", key_id=key_id))


def raw_key(context, description):
    raw = context.raw_keys
    return {
        "no key": "",
        "the key of red": raw["red"],
        "the key of blue": raw["blue"],
        "the new key of red": raw.get("new", ""),
        "a wrong secret for red": raw["red"][:-4] + "0000",
        "an unknown key": "0" * 12 + raw["red"][12:],
        "a malformed key": "red:" + raw["red"],
        "the secret without its id": raw["red"].partition(".")[2],
    }[description]


def admit_request(context, queue, key, contact_age_s=0.0):
    state, raw = context.log.state, raw_key(context, key)
    valid = verify(state, raw)
    return admit(state, queue, split_key(raw)[0], valid, context.pending, contact_age_s)


@when("the key of {team} is withdrawn")
def step_withdraw(context, team):
    withdraw(context, split_key(context.raw_keys[team])[0])


@when("a request to {queue} arrives with {key} and a log contact age of {age:d} s")
def step_request_with_age(context, queue, key, age):
    context.admission = admit_request(context, queue, key, float(age))


@when("a request to {queue:S} arrives with {key}")
def step_request(context, queue, key):
    context.admission = admit_request(context, queue, key)


@then("it is admitted for {team}")
def step_admitted(context, team):
    assert context.admission == (team, ""), context.admission


@then("it is refused with {code}")
def step_refused(context, code):
    assert context.admission == (None, code), context.admission


@when("nothing else happens")
def step_no_event(context):
    pass


@when("the record that added it is appended again")
def step_append_again(context):
    context.log.append(context.key_given)


@when("the key is added again by a new record")
def step_add_again(context):
    context.log.append(msgspec.structs.replace(context.key_given, record_id="again"))


@when("a file that still lists it is published again")
def step_publish_again(context):
    publish(context)


@when("a process starts from a snapshot of the state")
def step_start_from_snapshot(context):
    data = msgspec.msgpack.encode(context.log.state)
    context.log.state = msgspec.msgpack.decode(data, type=FleetState)


@when("a process starts from the first record of the log")
def step_start_from_log(context):
    previous, context.log = context.log, Log()
    for record in previous.records:
        context.log.append(rec.decode_record(rec.encode_record(record)))


@given("entries A, B and C without contact to the log")
def step_entries(context):
    context.entries = {name: PendingWithdrawals() for name in "ABC"}


@when("the key of {team} is withdrawn at A and A notifies B")
def step_withdraw_at_entry(context, team):
    withdrawn, entries = context.log.state.withdrawn, context.entries
    assert entries["A"].merge([split_key(context.raw_keys[team])[0]], withdrawn)
    assert entries["B"].merge(entries["A"], withdrawn)


@when("A is lost and B notifies C")
def step_entry_lost(context):
    del context.entries["A"]
    context.entries["C"].merge(context.entries["B"], context.log.state.withdrawn)


@when("the log is available again and C appends its pending withdrawals")
def step_log_available(context):
    for key_id in context.entries["C"]:
        withdraw(context, key_id)
    context.entries["C"].prune(context.log.state.withdrawn)


@then("C has no pending withdrawals and refuses the key of {team} with {code}")
def step_refuses_and_none_pending(context, team, code):
    assert not len(context.entries["C"])
    step_refuses(context, team, code)


@then("C refuses the key of {team} with {code}")
def step_refuses(context, team, code):
    context.pending = context.entries["C"]
    assert admit_request(context, "press", f"the key of {team}") == (None, code)


@step("a delayed message of B adds no pending withdrawal at C")
def step_delayed_message(context):
    withdrawn = context.log.state.withdrawn
    assert context.entries["C"].merge(context.entries["B"], withdrawn) == []


@when("an entry handles a request with {key} and records it")
def step_record_request(context, key):
    context.secret = context.raw_keys["red"].partition(".")[2]
    raw, file, state = raw_key(context, key), io.BytesIO(), EntryState("s1", "a")
    opened = rec.SessionOpened(
        record_id="o", by="s1", session="s1", role=rec.Role.ENTRY, dc="a",
        instance="e1", peer_address="127.0.0.1:1",
    )  # fmt: skip
    recorded = [
        events.RecordRead(now=1.0, offset=n, record=record)
        for n, record in enumerate([*context.log.records, opened])
    ]
    recorded.append(
        events.RequestArrived(
            now=2.0, seed=1, call=1, queue="press", key_id=split_key(raw)[0],
            key_valid=verify(context.log.state, raw), request_id="r",
            caller_id=False, idempotent=True,
        )
    )  # fmt: skip
    for event in recorded:
        effects = reduce(state, event)
        TraceRecorder(file).write(event, effects)
        file.write(msgspec.json.encode(effects))
    context.trace = file.getvalue().decode()


@then("the trace contains the key id {key} and no part of the secret")
def step_no_secret(context, key):
    key_id = split_key(context.raw_keys["red"])[0] if key == "of red" else key
    assert f'"key_id":"{key_id}"' in context.trace
    parts = [context.secret[i : i + 8] for i in range(0, 56, 8)]
    assert not any(part in context.trace for part in parts)
