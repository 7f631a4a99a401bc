"""Steps for publications and the processes that read them."""

import msgspec
from behave import then, when

from features.fleet_world import document
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.fold import fold
from primrosepitch.fleet.snapshot import decode_state, encode_state, pack_state
from primrosepitch.fleet.state import FleetState
from primrosepitch.planning import events as ev
from primrosepitch.planning.reducer import step
from primrosepitch.planning.state import PlannerState


def publication(world, record_id, minimum):
    return rec.ConfigPublished(
        record_id=record_id,
        by="op",
        base_offset=world.fleet.config_offset,
        documents={"f": document(minimum=minimum)},
    )


@when("two operators publish budgets {one:d} and {two:d} from the same configuration")
def step_publish_both(context, one, two):
    world = context.world
    records = [publication(world, f"race{n}", n) for n in (one, two)]
    context.race = [world.append(r) for r in records]


@then("the first was accepted and the second is void as {void}")
def step_second_void(context, void):
    first, second = context.race
    assert first.void is None and second.void.name == void
    assert str(first.offset) in second.detail


@when("budget {one:d} is published, then {two:d}, then the first record again")
def step_publish_repeat(context, one, two):
    world = context.world
    first = publication(world, "one", one)
    world.append(first)
    world.append(publication(world, "two", two))
    assert world.append(first).void.name == "REPEATED"


@when("every process reads the first {count:d} records again")
def step_reread(context, count):
    world = context.world
    for offset, (_, record) in enumerate(world.log[:count]):
        for actor in world.planners:
            actor.handle(ev.RecordRead(now=world.now, offset=offset, record=record))
        for actor in world.entries:
            fold(actor.fleet, offset, record)


@then("within {seconds:d} seconds every process has budget {minimum:d}")
def step_budget_everywhere(context, seconds, minimum):
    world = context.world

    def fleets():
        return [a.state.fleet for a in world.planners] + [
            a.fleet for a in world.entries
        ]

    def all_equal():
        return {s.config.services["press"].min_available for s in fleets()} == {minimum}

    assert world.run(seconds, all_equal)
    assert not world.problems, world.problems[:3]


@when("a process loads a snapshot made at each tenth offset and folds the rest")
def step_snapshots(context):
    records = [record for _, record in context.world.log]
    context.compared = 0
    full = FleetState()
    loaded = {}
    for offset, record in enumerate(records):
        for state in loaded.values():
            fold(state, offset, record)
        fold(full, offset, record)
        if offset == len(records) // 2:
            planner = PlannerState("px", "a")
            loaded_event = ev.StateLoaded(now=0, data=pack_state(full))
            step(planner, loaded_event)
            loaded["planner"] = planner.fleet
        if offset % 10 == 0:
            loaded[offset] = decode_state(b"".join(encode_state(full)))
    context.states = [msgspec.msgpack.encode(s) for s in loaded.values()]
    context.full = msgspec.msgpack.encode(full)


@then("each state equals that of the full fold")
def step_states_equal(context):
    assert len(context.states) > 10
    assert all(state == context.full for state in context.states)
