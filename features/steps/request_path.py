"""Steps about the path of a request through several entries."""

import request_random
from behave import given, then, when
from request_world import World

from primrosepitch.request import events as ev


@given("a fleet with seed {seed:d}")
def step_fleet(context, seed):
    context.world = World(seed, other_dc=True)
    context.placed = {}


@given("a fleet of {count:d} entries with seed {seed:d}")
def step_fleet_of(context, count, seed):
    context.world = World(seed, entries=count, slots=5)
    context.placed = {}


@given('a fleet with seed {seed:d} and reuse "{reuse}"')
def step_fleet_reuse(context, seed, reuse):
    context.world = World(seed, other_dc=True, reuse=reuse)
    context.placed = {}


# Requests


@when("entry {entry} gets request {ident}")
def step_request(context, entry, ident):
    place(context, entry, ident)


@when("entry {entry} gets {ident} without an id of its caller")
def step_own_id(context, entry, ident):
    place(context, entry, ident, caller_id=False)


@when("entry {entry} gets idempotent request {ident}")
def step_idempotent(context, entry, ident):
    place(context, entry, ident, idempotent=True)


@when("entry {entry} gets a repeat of {ident}")
def step_repeat(context, entry, ident):
    place(context, entry, ident, repeat=True)


@when("entry {entry} gets {count:d} requests {ident} of team {team}")
def step_requests(context, entry, count, ident, team):
    for n in range(count):
        place(context, entry, f"{ident}{n}", team=team)


@when("entry {entry} gets {count:d} idempotent requests {ident}")
def step_idempotents(context, entry, count, ident):
    for n in range(count):
        place(context, entry, f"{ident}{n}", idempotent=True, team="ab"[n % 2])


def place(context, entry, ident, **kw):
    if "timeout_s" in context:
        kw["timeout_s"] = context.timeout_s
    context.placed[ident] = context.world.call(entry, ident, **kw)


# Time and faults


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.world.run(seconds)


@given("endpoints take {seconds:g} s")
def step_took(context, seconds):
    for end in context.world.endpoints.values():
        end.took_s = seconds


@given("calls may take {seconds:g} s")
def step_call_s(context, seconds):
    context.timeout_s = seconds


@given("writes start {seconds:g} s after their decision")
def step_write(context, seconds):
    context.world.write_s = seconds


@when("the next request sent is {fault}")
def step_fault(context, fault):
    context.world.next_fault = fault


@given("all requests sent are {fault}")
def step_faults(context, fault):
    context.world.faults = [fault]


@when("endpoint {end} is down")
def step_down(context, end):
    context.world.endpoints[end].lose()


@when("endpoint {end} is up")
def step_up(context, end):
    context.world.endpoints[end].up = True


@when("endpoints {ends} answer with status {status:d}")
def step_status(context, ends, status):
    for end in ends.split(","):
        context.world.endpoints[end].status = status


@when("entry {entry} gets a request every {gap:g} s for {seconds:g} s")
def step_stream(context, entry, gap, seconds):
    stream(context, entry, gap, seconds)


@when("entry {entry} gets an idempotent request every {gap:g} s for {seconds:g} s")
def step_idempotent_stream(context, entry, gap, seconds):
    stream(context, entry, gap, seconds, idempotent=True, timeout_s=gap)


@when("entry {entry} gets a request with {left:g} s left every {gap:g} s for {n:g} s")
def step_overload(context, entry, left, gap, n):
    stream(context, entry, gap, n, timeout_s=left)
    context.world.run(left + 1)


def stream(context, entry, gap, seconds, **kw):
    context.connects_before = context.world.connects
    context.ran_before = {n: e.ran for n, e in context.world.endpoints.items()}
    context.streamed = []
    for _ in range(round(seconds / gap)):
        context.streamed.append(context.world.call(entry, **kw))
        context.world.run(gap)


@then("at least {least:d} of them were answered and none is unknown")
def step_goodput(context, least):
    got = [entry.answers[call][0] for entry, call in context.streamed]
    assert got.count("answered") >= least, got.count("answered")
    assert got.count("unknown") == 0, got.count("unknown")


@when("entry {entry} has renewed its session {seconds:g} s ago")
def step_renewed(context, entry, seconds):
    found, sent = context.world.entries[entry], context.world.now - seconds
    found.state.renewal_sent_at = None
    found.feed(ev.RenewalConfirmed, sent=sent)


@when("endpoint {end} closes its idle connections")
def step_close(context, end):
    for sock in list(context.world.endpoints[end].sockets):
        context.world.endpoints[end].shut(sock)


@when("the open connections to {end} are mute")
def step_silent(context, end):
    for sock in context.world.endpoints[end].sockets:
        sock.silent = True


@when("entry {entry} pauses for {seconds:g} s")
def step_pause(context, entry, seconds):
    context.world.entries[entry].pause(seconds)


@when("entry {entry} is killed")
def step_kill(context, entry):
    context.world.entries[entry].kill()


@when("entry {entry} is fenced")
def step_fence(context, entry):
    context.world.fence(context.world.entries[entry])


@when("entry {entry} is started again")
def step_start(context, entry):
    context.world.start(entry)


@when("entry {entry} is started")
def step_new(context, entry):
    context.world.start(entry)


@when("entry {entry} is cut off from its peers")
def step_isolate(context, entry):
    context.world.isolated.add(context.world.entries[entry])


@when("entry {entry} can reach its peers")
def step_join(context, entry):
    context.world.isolated.clear()


@when("entry {entry} is cut off from the log")
def step_cut(context, entry):
    context.world.entries[entry].cut = True


@when("entry {entry} can read the log")
def step_uncut(context, entry):
    context.world.entries[entry].cut = False
    context.world.entries[entry].catch_up()


@when("entry {entry} is asked to stop")
def step_stop(context, entry):
    context.world.entries[entry].feed(ev.StopAsked)


@when("endpoint {end} is listed as leaving")
def step_leaving(context, end):
    context.world.endpoints[end].leaving_at = context.world.now


@when("the platform's list is {state}")
def step_list(context, state):
    context.world.list_down = state == "down"


@when("endpoint {end} is draining")
def step_drain(context, end):
    context.world.drain(end)


@when("{events:d} random events happen with seed {seed:d} and reuse {reuse}")
def step_random(context, events, seed, reuse):
    context.world = request_random.interleave(seed, events, reuse)


@when("{events:d} random repeats happen while entries come and go with seed {seed:d}")
def step_random_claims(context, events, seed):
    choices = request_random.CLAIM_CHOICES
    context.world = request_random.interleave(seed, events, "fresh", choices=choices)


# Results


@then("request {ident} got {result} and ran {runs:d} times")
def step_result(context, ident, result, runs):
    entry, call = context.placed[ident]
    got = entry.answers.get(call, ("nothing", ""))[0]
    ran = context.world.runs[ident]
    assert (got, ran) == (result, runs), f"{got}, {ran} runs"


@then("request {ident} got code {code}")
def step_code(context, ident, code):
    entry, call = context.placed[ident]
    assert entry.answers[call][1] == code.replace("none", ""), entry.answers[call]


@then("of {count:d} requests {ident} at least {some:d} got {result}")
def step_some(context, count, ident, some, result):
    placed = [context.placed[f"{ident}{n}"] for n in range(count)]
    got = [entry.answers.get(call, ("nothing", ""))[0] for entry, call in placed]
    assert got.count(result) >= some, got


@then("endpoint {end} ran between {least:d} and {most:d} of them")
def step_ran_between(context, end, least, most):
    ran = context.world.endpoints[end].ran - context.ran_before[end]
    assert least <= ran <= most, ran


@then("between {least:d} and {most:d} connections were tried")
def step_connects(context, least, most):
    assert least <= context.world.connects - context.connects_before <= most


@then("endpoint {end} still has idle connections")
def step_idle(context, end):
    assert any(s.current is None for s in context.world.endpoints[end].sockets)


@then("endpoint {end} has no connections")
def step_no_connections(context, end):
    assert not context.world.endpoints[end].sockets


@then("entry {entry} has asked for the list once in the last {seconds:g} s")
def step_reads(context, entry, seconds):
    reads = context.world.entries[entry].list_reads
    assert len([t for t in reads if t > context.world.now - seconds]) == 1, reads


@then("entry {entry} has no units in use")
def step_unused(context, entry):
    context.world.check()
    state = context.world.entries[entry].state
    assert not state.conns and not state.running.get("q"), state.conns


@then("entry {entry} {can} grant claims")
def step_grants(context, entry, can):
    settled = context.world.entries[entry].state.claims.complete
    assert settled is (can == "can"), settled


@then("no caller of a living entry waits")
def step_none_waits(context):
    for entry, call in context.placed.values():
        assert call in entry.answers or not entry.alive, (entry.name, call)


@then("entry {entry} has ended")
def step_ended(context, entry):
    assert not context.world.entries[entry].alive


@then("endpoint {end} has drained")
def step_drained(context, end):
    assert context.world.entries["e0"].state.fleet.drained(end)


@then("every call got one answer and no unit is left in use")
def step_all_answered(context):
    for entry, call in context.world.placed:
        assert call in entry.answers or not entry.alive, (entry.name, call)
    for entry in context.world.entries.values():
        running = entry.state.running.get("q") if entry.alive else None
        assert not running, (entry.name, running)
