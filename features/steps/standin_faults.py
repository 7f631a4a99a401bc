"""Steps for the platform and endpoint stand-ins."""

import asyncio
import json
import time

import msgspec
from behave import given, then, when

from standins.endpoint import Endpoint, EndpointSettings
from standins.http import Client, ConnectionLostError, call
from standins.platform import Limits, Platform

TIMEOUT_MS = 20000


def run(context, coroutine):
    """Run a coroutine on the scenario's event loop, which is closed after it."""
    if "standin_runner" not in context:
        context.standin_runner = runner = asyncio.Runner()
        context.add_cleanup(runner.close)
    return context.standin_runner.run(coroutine)


def start_server(context, server):
    run(context, server.start())
    context.add_cleanup(lambda: run(context, server.stop()))
    return server


def call_platform(context, method, target, value=None):
    """Call the platform; return ``None`` if it closed the connection."""
    return run(context, _call_platform(context, method, target, value))


async def _call_platform(context, method, target, value=None):
    address = f"127.0.0.1:{context.platform.server.port}"
    try:
        return await call(
            address, method, target, value, {"Platform-Dc": "dc1"}, TIMEOUT_MS / 1000
        )
    except ConnectionLostError:
        return None


def call_endpoint(context, method, target, value=None, headers=None):
    address = f"127.0.0.1:{context.endpoint.port}"
    return run(context, call(address, method, target, value, headers))


@given("a platform stand-in that keeps {records:d} records")
def step_platform(context, records):
    limits = Limits(retention=records, reboot_s=0.0)
    context.platform = start_server(context, Platform(limits))


@given('the platform fault "{name}" with {value}')
@when('the platform fault "{name}" ends with {value}')
def step_fault(context, name, value):
    assert (
        call_platform(context, "POST", f"/control/{name}", json.loads(value)).status
        == 200
    )


@when("{count:d} records are appended to its log")
def step_append(context, count):
    answers = [call_platform(context, "POST", "/log/fleet", i) for i in range(count)]
    context.offsets = [a.json()["offset"] for a in answers]


@when("a record is appended without an answer")
def step_append_lost(context):
    assert call_platform(context, "POST", "/log/fleet", 0) is None


@then("the offsets were 0 to {last:d}")
def step_offsets(context, last):
    assert context.offsets == list(range(last + 1))


@then("a read from {first:d} returns the records {low:d} to {high:d}")
def step_read(context, first, low, high):
    page = msgspec.msgpack.decode(
        call_platform(context, "GET", f"/log/fleet?from={first}").body
    )
    assert [offset for offset, _ in page["records"]] == list(range(low, high + 1))
    assert page["high"] == high


@then("a read from {first:d} is answered with {status:d}")
def step_read_status(context, first, status):
    assert call_platform(context, "GET", f"/log/fleet?from={first}").status == status


@then("the next record gets offset {offset:d}")
def step_next_offset(context, offset):
    assert call_platform(context, "POST", "/log/fleet", 1).json() == {"offset": offset}


@when("a long poll waits for offset 0 and then {change}")
def step_long_poll(context, change):
    target, value = "/log/fleet", 1
    if change.startswith("the fault"):
        name, text = change.removeprefix('the fault "').split('" is set to ')
        target, value = f"/control/{name}", json.loads(text)

    async def poll_and_change():
        read = f"/log/fleet?from=0&wait_ms={TIMEOUT_MS}"
        poll = asyncio.create_task(_call_platform(context, "GET", read))
        while not any(p.busy for p in context.platform.server.peers):
            await asyncio.sleep(0)
        await _call_platform(context, "POST", target, value)
        return await poll

    context.answer = run(context, poll_and_change())


@then("the long poll got {answer}")
def step_long_poll_answer(context, answer):
    response = context.answer
    if answer == "a close":
        assert response is None
    elif answer == "503":
        assert response.status == 503
    else:
        assert len(msgspec.msgpack.decode(response.body)["records"]) == 1


@then("an append is answered with {status:d}")
def step_append_status(context, status):
    assert call_platform(context, "POST", "/log/fleet", 1).status == status


@then("the instance list is answered with {status:d}")
def step_list_status(context, status):
    assert call_platform(context, "GET", "/instances").status == status


def listed(context):
    rows = call_platform(context, "GET", "/instances").json()["instances"]
    return {row["instance"]: row["state"] for row in rows}


@then("the instance list shows no instance")
def step_list_empty(context):
    assert listed(context) == {}


@then('the instance list shows "{name}" as "{state}"')
def step_listed(context, name, state):
    assert listed(context) == {name: state}


def start_endpoint(context, name, **settings):
    """Start an endpoint stand-in."""
    settings = EndpointSettings(instance=name, **settings)
    context.endpoint = start_server(context, Endpoint(settings))


@given('an endpoint stand-in "{name}" that registers with it')
def step_endpoint_registered(context, name):
    address = f"127.0.0.1:{context.platform.server.port}"
    start_endpoint(context, name, platform=address, reboot_s=0.0)
    run(context, until(lambda: context.endpoint.counts.incarnation))


@given('an endpoint stand-in "{name}" that runs alone')
def step_endpoint_alone(context, name):
    start_endpoint(context, name)


@given('an endpoint stand-in "{name}" with {slots:d} slots and {conns:d} connections')
def step_endpoint_limits(context, name, slots, conns):
    start_endpoint(context, name, slots=slots, connections=conns)


async def until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(TIMEOUT_MS / 1000):
        while not condition():
            await asyncio.sleep(0.001)


@when('a request of 200 ms runs while the platform reboots "{name}"')
def step_reboot(context, name):
    counts = context.endpoint.counts
    context.incarnation = counts.incarnation

    async def work_and_reboot():
        address = f"127.0.0.1:{context.endpoint.port}"
        work = asyncio.create_task(call(address, "GET", "/x?work_ms=200"))
        await until(lambda: counts.running)
        assert (
            await _call_platform(context, "POST", f"/instances/{name}/reboot")
        ).status == 202
        return await work

    context.answer = run(context, work_and_reboot())


@then("the request was answered with {status:d}")
def step_answered(context, status):
    assert context.answer.status == status


@then("the endpoint came back with another incarnation")
def step_incarnation(context):
    counts = context.endpoint.counts
    run(context, until(lambda: counts.incarnation != context.incarnation))
    assert call_endpoint(context, "GET", "/counts").status == 200


@then('a task "{name}" of {cores:d} cores with a lease of {lease:d} s {answer}')
def step_task(context, name, cores, lease, answer):
    task = {"task": name, "instance": "i1", "team": "t", "cores": cores}
    task |= {"memory_gb": 1, "accelerators": 0, "lease_s": lease}
    found = call_platform(context, "POST", "/tasks", task)
    status = f"is answered with {found.status}" if found else "gets no answer"
    assert answer == status, status


@then('a stop of "{name}" gets no answer')
def step_stop_lost(context, name):
    assert call_platform(context, "POST", f"/instances/{name}/stop") is None


@then("the instance list shows no instance in the end")
def step_list_empties(context):
    async def emptied():
        while (await _call_platform(context, "GET", "/instances")).json()["instances"]:
            await asyncio.sleep(0.001)

    run(context, asyncio.wait_for(emptied(), TIMEOUT_MS / 1000))


@then('the command "{command}" for task "{name}" is answered with {status:d}')
def step_task_command(context, command, name, status):
    assert call_platform(context, "POST", f"/tasks/{name}/{command}").status == status


@then('task "{name}" gets the state "{state}"')
def step_task_state(context, name, state):
    run(context, until(lambda: context.platform.tasks[name].state == state))


@given('a request with id "{request_id}" was answered')
def step_request(context, request_id):
    context.client = Client(f"127.0.0.1:{context.endpoint.port}")
    context.add_cleanup(context.client.close)
    assert send(context, request_id).status == 200


def send(context, request_id, timeout_s=TIMEOUT_MS / 1000):
    headers = {"Primrose-Request-Id": request_id, "Primrose-Timeout-Ms": "20"}
    try:
        request = context.client.request("POST", "/x", b"body", headers, timeout_s)
        return run(context, request)
    except (ConnectionLostError, TimeoutError) as exc:
        return exc


@when('the endpoint is set to the mode "{mode}"')
def step_mode(context, mode):
    value = {"mode": mode, "count": 1, "seconds": 0.02}
    assert call_endpoint(context, "POST", "/mode", value).status == 200


@then("the next request on the same connection gets {answer} and ran {runs:d} times")
def step_next_request(context, answer, runs):
    started = time.monotonic()
    timeout_s = 0.3 if answer == "no answer" else TIMEOUT_MS / 1000
    found = send(context, "r2", timeout_s)
    if answer == "no answer":
        assert isinstance(found, TimeoutError), found
    elif answer == "a close":
        assert isinstance(found, ConnectionLostError), found
    elif answer == 'the answer of "r1"':
        assert found.headers["primrose-request-id"] == "r1"
        assert found.json()["request_id"] == "r1"
    elif answer == "200 after its timeout":
        assert found.status == 200
        assert time.monotonic() - started > 0.04
    else:
        assert found.status == int(answer)
        assert found.headers["primrose-request-id"] == "r2"
    counts = call_endpoint(context, "GET", "/counts").json()
    assert counts["runs"].get("r2", 0) == runs


@when("3 requests run at a time over 5 connections")
def step_overload(context):
    address = f"127.0.0.1:{context.endpoint.port}"

    async def overload():
        clients = [Client(address) for _ in range(5)]
        statuses = []
        for client in clients:
            try:
                statuses.append((await client.request("GET", "/x")).status)
            except ConnectionLostError:
                statuses.append(0)
        work = [c.request("GET", "/x?work_ms=500") for c in clients[:3]]
        statuses += [r.status for r in await asyncio.gather(*work)]
        for client in clients:
            client.close()
        return statuses

    context.statuses = run(context, overload())


@then("one request was answered with 503 and one connection was closed")
def step_overloaded(context):
    assert sorted(context.statuses) == [0, 200, 200, 200, 200, 200, 200, 503]


@then("the counts report {running:d} concurrent requests and {conns:d} connections")
def step_counts(context, running, conns):
    counts = call_endpoint(context, "GET", "/counts").json()
    assert counts["max_running"] == running
    assert counts["max_connections"] == conns
