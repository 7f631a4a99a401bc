"""Steps for records that are folded one by one."""

import msgspec
from behave import given, then, when

from features.fleet_world import command_record, document, running_log, stamp
from primrosepitch.config.model import Document
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.counts import conns_key
from primrosepitch.fleet.fold import fold
from primrosepitch.fleet.state import FleetState, WaveState


@given("a fleet with budget {minimum:d}")
def step_fleet_log(context, minimum):
    context.log = running_log(minimum)
    context.minimum = minimum


@when("the records are folded")
def step_fold_records(context):
    for row in context.table:
        outcome = context.log.run(row["by"], row["command"])
        got = outcome.void.name if outcome.void else "ok"
        assert got == row["outcome"], (row["command"], got, outcome.detail)


@when("the configuration is published without instances {name} and teams {team}")
def step_publish_without(context, name, team):
    without = {f"instances__{name}": None, f"teams__{team}": None}
    outcome = context.log.publish(document(minimum=context.minimum, **without))
    assert outcome.void is None, outcome


@when("the configuration is published in full")
def step_publish(context):
    outcome = context.log.publish(document(minimum=context.minimum))
    assert outcome.void is None, outcome


@when("the configuration without {section} {name} is published with outcome {void}")
def step_publish_void(context, section, name, void):
    doc = document(minimum=context.minimum, **{f"{section}__{name}": None})
    outcome = context.log.publish(doc)
    assert outcome.void and outcome.void.name == void, outcome


@when("key {key} is withdrawn {days:d} days later")
def step_withdraw_later(context, key, days):
    record = stamp(
        command_record(context.log.state, "op", f"withdraw {key}"), "op", "later"
    )
    context.log.append(msgspec.structs.replace(record, at=days * 86400.0))


@then("session {session} holds {held:d} of {total:d} units of {key}")
def step_holds(context, session, held, total, key):
    count = context.log.state.counts[key]
    assert (count.held_by(session), count.total) == (held, total), count
    assert count.reserve == total - held and not count.frozen


@then("there is no count {key}")
def step_no_count(context, key):
    assert key not in context.log.state.counts


@then("wave {wave} is done")
def step_wave_done(context, wave):
    assert context.log.state.waves[wave].state is WaveState.DONE


@then("instance {name} is in pool {pool}")
def step_in_pool(context, name, pool):
    assert context.log.state.instances[name].pool == pool


@then("key {one} is not valid and key {two} is valid")
def step_key_validity(context, one, two):
    assert context.log.state.find_key(one) is None
    assert context.log.state.find_key(two) is not None


@when("the last record is folded again at the same, an earlier and the next offset")
def step_fold_again(context):
    state, last = context.log.state, context.log.records[-1]
    context.offset = state.offset
    context.refolded = [fold(state, state.offset + n, last) for n in (0, -3, 1)]


@then("all are void and the offset has not decreased")
def step_offset_not_decreased(context):
    voids = [outcome.void.name for outcome in context.refolded]
    assert voids == ["OLDER", "OLDER", "REPEATED"], voids
    assert context.log.state.offset == context.offset + 1


@given("an endpoint of {total:d} connections is configured")
def step_configure_endpoint(context, total):
    spec = {"dc": "d", "rack": "r", "pool": "p", "address": "127.0.0.1", "port": 1}
    document = msgspec.convert(
        {"pools": {"p": {}}, "instances": {"i": {**spec, "connections": total}}},
        Document,
    )
    record = rec.ConfigPublished(
        record_id="c", by="op", base_offset=-1, documents={"a.yaml": document}
    )
    context.fleet = FleetState()
    fold(context.fleet, 0, record)


@then("entries can hold {units:d} connections of it")
def step_entry_connections(context, units):
    assert context.fleet.counts[conns_key("i")].total == units
