"""Steps for planners, entries and a simulated platform on a virtual clock."""

from behave import given, then, when

from features.fleet_world import document
from features.planner_world import World
from primrosepitch.fleet import records as rec


@given("a running fleet with budget {minimum:d} and seed {seed:d}")
def step_running(context, minimum, seed):
    context.minimum = minimum
    context.world = World(seed=seed, minimum=minimum, entries=2, planners=2)
    assert context.world.run(60, context.world.all_up)


@given("{instances:d} instances of pool press in {racks:d} racks a data centre")
def step_fleet_size(context, instances, racks):
    context.world = World(
        seed=7,
        minimum=context.minimum,
        entries=2,
        planners=2,
        racks=racks,
        per_rack=instances // racks // 3,
    )
    assert context.world.run(60, context.world.all_up)


@given("the instance list lags {seconds:g} s and a reboot takes {reboot:g} s")
def step_list_lag(context, seconds, reboot):
    context.world.list_lag_s = seconds
    context.world.reboot_s = reboot


@given("{share:d} % of the append answers are lost")
def step_append_answers_lost(context, share):
    context.world.lost_answer_rate = share / 100


@when('the command "{text}" is given')
def step_command(context, text):
    context.outcome = context.world.run_command("op", text)
    assert context.outcome.void is None, context.outcome


@when('the command "{text}" is void as {void}')
def step_command_void(context, text, void):
    outcome = context.world.run_command("op", text)
    assert outcome.void is not None and outcome.void.name == void, outcome


@when("{seconds:d} seconds pass")
def step_time_passes(context, seconds):
    context.world.run(seconds)


@when("time passes until the log holds {kind} of {name}")
def step_until_record(context, kind, name):
    start = len(context.world.outcomes)

    def appended():
        new = context.world.outcomes[start:]
        return any(
            type(o.record).__name__ == kind
            and o.void is None
            and getattr(o.record, "instance", None) == name
            for o in new
        )

    assert context.world.run(200, appended), f"no {kind} of {name} in 200 s"


@when("process {name} stops responding")
def step_unresponsive(context, name):
    context.world[name].paused_until = float("inf")


@when("process {name} is paused for {seconds:d} seconds")
def step_paused(context, name, seconds):
    context.world[name].paused_until = context.world.now + seconds


@when("process {name} reads no records for {seconds:d} seconds")
def step_log_unreachable(context, name, seconds):
    context.world[name].log_cut_until = context.world.now + seconds


@when("the platform is {state} for process {name}")
def step_platform_reachable(context, state, name):
    context.world[name].platform_down = state == "down"


@given("process {name} calls the platform {seconds:d} seconds late")
def step_call_delay(context, name, seconds):
    context.world[name].call_delay_s = seconds


@when("data centre {dc} is cut off")
def step_cut_off(context, dc):
    context.world.cut_dcs.add(dc)


@when("data centre {dc} is reconnected")
def step_reconnected(context, dc):
    context.world.cut_dcs.discard(dc)


@when("instance {name} fails")
def step_instance_fails(context, name):
    context.world.fail(name)


@when("rack {rack} of data centre {dc} fails")
def step_rack_fails(context, rack, dc):
    for name, inst in context.world.fleet.instances.items():
        if (inst.dc, inst.rack) == (dc, rack):
            context.world.fail(name)


@then("instance {name} is available in pool {pool} within {seconds:d} seconds")
def step_available_in_pool(context, name, pool, seconds):
    inst = context.world.fleet.instances[name]
    ok = context.world.run(seconds, lambda: inst.pool == pool and inst.available)
    assert ok, inst


@then("wave {wave} is {state} within {seconds:d} seconds")
def step_wave_state(context, wave, state, seconds):
    current = context.world.fleet.waves[wave]
    assert context.world.run(seconds, lambda: current.state.value == state), current


@then("instance {name} is {phase} after {seconds:d} seconds")
def step_phase(context, name, phase, seconds):
    context.world.run(seconds)
    assert context.world.fleet.instances[name].phase.value == phase


@then("{count:d} stops followed the failure")
def step_stops_after_failure(context, count):
    kinds = [type(o.record) for o in context.world.outcomes if o.void is None]
    paused = max(i for i, k in enumerate(kinds) if k is rec.WavePaused)
    assert kinds[paused:].count(rec.DrainStarted) == count


@then("{count:d} restarts were requested")
def step_restarts(context, count):
    assert len(context.world.restarts) == count, context.world.restarts


@then("the invariants held at every offset")
def step_invariants(context):
    assert not context.world.problems, context.world.problems[:5]
    accepted = [o for o in context.world.outcomes if o.void is None]
    assert len({o.record.record_id for o in accepted}) == len(accepted)


@when("{count:d} random faults and commands follow over {seconds:d} seconds")
def step_random_faults(context, count, seconds):
    world, rng = context.world, context.world.rng
    world.lost_answer_rate = 0.1
    for _ in range(count):
        _inject_random(world, rng, context.minimum)
        world.run(seconds / count * 2 * rng.random())
    world.cut_dcs.clear()
    for actor in world.actors:
        actor.paused_until = 0.0
    for host in world.hosts.values():
        if not host.live and host.back_at is None:
            host.back_at = world.now + 1


def _inject_random(world, rng, minimum):
    names = sorted(world.fleet.instances)
    name = rng.choice(names)
    kind = rng.randrange(10)
    if kind < 3:
        pool = rng.choice(["press", "spare", "still"])
        text = rng.choice([f"drain {name} reboot", f"drain {name} move to_pool={pool}"])
        base = world.fleet.offset - rng.randrange(3)
        world.run_command("op", f"{text} base={base}")
    elif kind == 3:
        members = rng.sample(names, 4)
        wave = f"w{len(world.log)}"
        world.run_command("op", f"wave {wave} 2 {' '.join(members)}")
    elif kind == 4:
        for wave in world.fleet.waves:
            world.run_command("op", f"resume {wave}")
    elif kind == 5:
        world.fail(name, rng.random() * 30)
    elif kind == 6:
        actor = rng.choice(world.actors)
        actor.paused_until = world.now + rng.random() * 40
    elif kind == 7:
        world.cut_dcs ^= {rng.choice("abc")}
    elif kind == 8:
        world.list_lag_s = rng.random() * 8
    else:
        actor = rng.choice(world.entries)
        if actor.name in world.fleet.sessions:
            actor.paused_until = float("inf")
            world.run_command("op", f"end {actor.name}")


@then("all instances are available within {seconds:d} seconds")
def step_all_available(context, seconds):
    assert context.world.run(seconds, context.world.all_up), [
        (n, i.phase, i.up)
        for n, i in context.world.fleet.instances.items()
        if not i.available
    ]


@when("the budget is raised to {minimum:d}")
def step_raise_budget(context, minimum):
    assert context.world.publish(document(minimum=minimum)).void is None


@when("instance {name} restarts by itself")
def step_restarts_itself(context, name):
    context.world.fail(name, 1.0)


@when("units of {instance} are held by {name}, which stops responding")
def step_units_held(context, name, instance):
    record = rec.SliceTake(record_id="", by=name, units={f"slots/{instance}": 2})
    context.world[name].send(record)
    key = f"slots/{instance}"
    counts = context.world.fleet.counts
    assert context.world.run(10, lambda: counts[key].held_by(name) >= 1)
    context.world[name].paused_until = float("inf")
