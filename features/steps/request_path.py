"""Steps that send requests through simulated entries and inject faults."""

import request_random
from behave import given, then, when
from request_world import World

from primrosepitch.request import events as ev


@given("a fleet with seed {seed:d}")
def step_fleet(context, seed):
    context.world = World(seed, other_dc=True)
    context.calls = {}


@given("a fleet of {count:d} entries with seed {seed:d}")
def step_fleet_of(context, count, seed):
    context.world = World(seed, entries=count, slots=5)
    context.calls = {}


@given('a fleet with seed {seed:d} and reuse "{reuse}"')
def step_fleet_reuse(context, seed, reuse):
    context.world = World(seed, other_dc=True, reuse=reuse)
    context.calls = {}


# Requests


@when("entry {entry} receives request {request_id}")
def step_request(context, entry, request_id):
    send(context, entry, request_id)


@when("entry {entry} reads request {request_id} {seconds:g} s after it arrived")
def step_request_unread(context, entry, request_id, seconds):
    send(context, entry, request_id, unread_s=seconds)


@when("entry {entry} receives {request_id} without a caller's id")
def step_request_without_id(context, entry, request_id):
    send(context, entry, request_id, caller_id=False)


@when("entry {entry} receives idempotent request {request_id}")
def step_idempotent_request(context, entry, request_id):
    send(context, entry, request_id, idempotent=True)


@when("entry {entry} receives a repeat of {request_id}")
def step_repeat(context, entry, request_id):
    send(context, entry, request_id, repeat=True)


@when("entry {entry} receives {count:d} requests {request_id} of team {team}")
def step_requests(context, entry, count, request_id, team):
    for n in range(count):
        send(context, entry, f"{request_id}{n}", team=team)


@when("entry {entry} receives {count:d} idempotent requests {request_id}")
def step_idempotent_requests(context, entry, count, request_id):
    for n in range(count):
        send(context, entry, f"{request_id}{n}", idempotent=True, team="ab"[n % 2])


def send(context, entry, request_id, **kw):
    if "timeout_s" in context:
        kw["timeout_s"] = context.timeout_s
    context.calls[request_id] = context.world.call(entry, request_id, **kw)


# Time and faults


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.world.run(seconds)


@given("endpoints respond after {seconds:g} s")
def step_service_time(context, seconds):
    for endpoint in context.world.endpoints.values():
        endpoint.service_time_s = seconds


@given("requests have a timeout of {seconds:g} s")
def step_timeout(context, seconds):
    context.timeout_s = seconds


@given("requests are written {seconds:g} s after dispatch")
def step_write_delay(context, seconds):
    context.world.write_delay_s = seconds


@when("the next request sent has fault {fault}")
def step_next_fault(context, fault):
    context.world.next_fault = fault


@given("all requests sent have fault {fault}")
def step_all_faults(context, fault):
    context.world.faults = [fault]


@when("endpoint {endpoint} is down")
def step_endpoint_down(context, endpoint):
    context.world.endpoints[endpoint].crash()


@when("endpoint {endpoint} is up")
def step_endpoint_up(context, endpoint):
    context.world.endpoints[endpoint].up = True


@when("endpoints {endpoints} answer with status {status:d}")
def step_status(context, endpoints, status):
    for name in endpoints.split(","):
        context.world.endpoints[name].status = status


@when("entry {entry} receives a request every {interval:g} s for {seconds:g} s")
def step_stream(context, entry, interval, seconds):
    stream(context, entry, interval, seconds)


@when(
    "entry {entry} receives an idempotent request every {interval:g} s "
    "for {seconds:g} s"
)
def step_idempotent_stream(context, entry, interval, seconds):
    stream(context, entry, interval, seconds, idempotent=True, timeout_s=interval)


@when(
    "entry {entry} receives a request with a timeout of {timeout:g} s "
    "every {interval:g} s for {seconds:g} s"
)
def step_stream_with_timeout(context, entry, timeout, interval, seconds):
    stream(context, entry, interval, seconds, timeout_s=timeout)
    context.world.run(timeout + 1)


def stream(context, entry, interval, seconds, **kw):
    context.connects_before = context.world.connects
    context.run_counts_before = {
        name: endpoint.run_count for name, endpoint in context.world.endpoints.items()
    }
    context.streamed = []
    for _ in range(round(seconds / interval)):
        context.streamed.append(context.world.call(entry, **kw))
        context.world.run(interval)


@then("at least {least:d} of these requests were answered and none ended as unknown")
def step_goodput(context, least):
    outcomes = [entry.answers[call][0] for entry, call in context.streamed]
    assert outcomes.count("answered") >= least, f"{outcomes.count('answered')} answered"
    assert outcomes.count("unknown") == 0, f"{outcomes.count('unknown')} unknown"


@when("entry {entry} renewed its session {seconds:g} s ago")
def step_renewed(context, entry, seconds):
    renewed, sent = context.world.entries[entry], context.world.now - seconds
    renewed.state.renewal_sent_at = None
    renewed.feed(ev.RenewalConfirmed, sent=sent)


@when("endpoint {endpoint} closes its idle connections")
def step_close_idle(context, endpoint):
    for sock in list(context.world.endpoints[endpoint].sockets):
        context.world.endpoints[endpoint].close(sock)


@when("the open connections to {endpoint} stop responding")
def step_silent_connections(context, endpoint):
    for sock in context.world.endpoints[endpoint].sockets:
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
def step_start_again(context, entry):
    context.world.start(entry)


@when("entry {entry} is started")
def step_start(context, entry):
    context.world.start(entry)


@when("entry {entry} is cut off from its peers")
def step_isolate(context, entry):
    context.world.isolated.add(context.world.entries[entry])


@when("entry {entry} can reach its peers")
def step_reconnect(context, entry):
    context.world.isolated.clear()


@when("entry {entry} is cut off from the log")
def step_log_cut(context, entry):
    context.world.entries[entry].log_cut = True


@when("entry {entry} can read the log")
def step_log_reconnect(context, entry):
    context.world.entries[entry].log_cut = False
    context.world.entries[entry].catch_up()


@when("entry {entry} is asked to stop")
def step_stop(context, entry):
    context.world.entries[entry].feed(ev.StopAsked)


@when("endpoint {endpoint} is listed as leaving")
def step_leaving(context, endpoint):
    context.world.endpoints[endpoint].leaving_at = context.world.now


@when("the platform's instance list is {state}")
def step_list(context, state):
    context.world.list_down = state == "down"


@when("endpoint {endpoint} is draining")
def step_drain(context, endpoint):
    context.world.drain(endpoint)


@when("{events:d} random events happen with seed {seed:d} and reuse {reuse}")
def step_random_events(context, events, seed, reuse):
    context.world = request_random.run_random(seed, events, reuse)


@when(
    "{events:d} random repeats happen while entries are lost and started "
    "with seed {seed:d}"
)
def step_random_repeats(context, events, seed):
    choices = request_random.REPEAT_CHOICES
    context.world = request_random.run_random(seed, events, "fresh", choices=choices)


# Outcomes


@then("request {request_id} has outcome {outcome} and ran {runs:d} times")
def step_outcome(context, request_id, outcome, runs):
    entry, call = context.calls[request_id]
    actual = entry.answers.get(call, ("nothing", ""))[0]
    run_count = context.world.runs[request_id]
    assert (actual, run_count) == (outcome, runs), f"{actual}, {run_count} runs"


@then("request {request_id} has error code {code}")
def step_code(context, request_id, code):
    entry, call = context.calls[request_id]
    assert entry.answers[call][1] == code.replace("none", ""), entry.answers[call]


@then("of {count:d} requests {request_id} at least {least:d} have outcome {outcome}")
def step_outcomes(context, count, request_id, least, outcome):
    calls = [context.calls[f"{request_id}{n}"] for n in range(count)]
    outcomes = [entry.answers.get(call, ("nothing", ""))[0] for entry, call in calls]
    assert outcomes.count(outcome) >= least, outcomes


@then("endpoint {endpoint} ran between {least:d} and {most:d} of these requests")
def step_ran_between(context, endpoint, least, most):
    run_count = (
        context.world.endpoints[endpoint].run_count
        - context.run_counts_before[endpoint]
    )
    assert least <= run_count <= most, f"ran {run_count} requests"


@then("between {least:d} and {most:d} connections were attempted")
def step_connects(context, least, most):
    assert least <= context.world.connects - context.connects_before <= most


@then("endpoint {endpoint} still has idle connections")
def step_idle(context, endpoint):
    assert any(s.current is None for s in context.world.endpoints[endpoint].sockets)


@then("endpoint {endpoint} has no connections")
def step_no_connections(context, endpoint):
    assert not context.world.endpoints[endpoint].sockets


@then("entry {entry} has read the instance list once in the last {seconds:g} s")
def step_reads(context, entry, seconds):
    reads = context.world.entries[entry].list_reads
    assert len([t for t in reads if t > context.world.now - seconds]) == 1, reads


@then("entry {entry} has no units in use")
def step_no_units_in_use(context, entry):
    context.world.check()
    state = context.world.entries[entry].state
    assert not state.conns and not state.running.get("q"), state.conns


@then("entry {entry} {can} grant claims")
def step_grants(context, entry, can):
    complete = context.world.entries[entry].state.claims.complete
    assert complete is (can == "can"), f"claims complete: {complete}"


@then("no request at a live entry is pending")
def step_none_pending(context):
    for entry, call in context.calls.values():
        assert call in entry.answers or not entry.alive, (entry.name, call)


@then("entry {entry} has ended")
def step_ended(context, entry):
    assert not context.world.entries[entry].alive


@then("endpoint {endpoint} has drained")
def step_drained(context, endpoint):
    assert context.world.entries["e0"].state.fleet.drained(endpoint)


@then("every request got one response and no unit is left in use")
def step_all_answered(context):
    for entry, call in context.world.calls:
        assert call in entry.answers or not entry.alive, (entry.name, call)
    for entry in context.world.entries.values():
        running = entry.state.running.get("q") if entry.alive else None
        assert not running, (entry.name, running)
