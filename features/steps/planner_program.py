"""Steps for the planner program over real sockets."""

import asyncio
from contextlib import AsyncExitStack

from behave import given, then, when

from primrosepitch.bin.entry import Entry
from primrosepitch.bin.planner import Planner
from primrosepitch.fleet.records import (
    InstanceUp,
    Role,
    SessionClosed,
    SessionOpened,
    StopRequested,
    decode_record,
)
from primrosepitch.planning import events as ev
from primrosepitch.planning.effects import Finished
from primrosepitch.planning.reducer import step
from primrosepitch.planning.state import PlannerState
from primrosepitch.settings import Settings
from primrosepitch.trace import NullRecorder
from standins.endpoint import Endpoint, EndpointSettings
from standins.http import call
from standins.platform import Limits, Platform

SCENARIO_S = 60


async def until(condition):
    while not condition():
        await asyncio.sleep(0.02)


async def start_program(stack, kind, name, platform):
    settings = Settings(
        name=name,
        dc="dc1",
        instance=f"i-{name}",
        address="127.0.0.1",
        platform=platform,
        http_port=0,
        peer_port=0,
    )
    process = kind(settings, NullRecorder())
    process.task = asyncio.ensure_future(process.run())
    stack.callback(process.task.cancel)
    await until(lambda: process.session in process.fleet().sessions)
    return process


async def publish(entry, port):
    worker = {"dc": "dc1", "rack": "rack1", "pool": "p", "address": "127.0.0.1"}
    document = {
        "pools": {"p": {}},
        "services": {"quotes": {"pool": "p", "open": True}},
        "instances": {"w1": {**worker, "port": port}},
    }
    body = {"base_offset": -1, "documents": {"a.yaml": document}}
    answer = await call(entry.http_address(), "POST", "/-/config", body)
    assert answer.status == 200, answer.body


@given("a platform, an endpoint, an entry and a planner on ephemeral ports")
def step_limits(context):
    context.limits = Limits(list_lag_s=0.2)


@when("an operator requests a reboot of the endpoint and it is up again")
def step_reboot(context):
    asyncio.run(asyncio.wait_for(_reboot(context), SCENARIO_S))


async def _reboot(context):
    async with AsyncExitStack() as stack:
        platform = Platform(context.limits)
        await platform.start()
        stack.push_async_callback(platform.stop)
        address = f"127.0.0.1:{platform.server.port}"
        endpoint = Endpoint(EndpointSettings(instance="w1", platform=address))
        await endpoint.start()
        stack.push_async_callback(endpoint.stop)
        entry = await start_program(stack, Entry, "e1", address)
        await publish(entry, endpoint.port)
        planner = await start_program(stack, Planner, "p1", address)
        fleet = entry.fleet()
        await until(lambda: fleet.instances["w1"].available)
        drain = {
            "type": "DrainStarted",
            "instance": "w1",
            "reason": "reboot",
            "base_offset": fleet.offset,
        }
        answer = await call(entry.http_address(), "POST", "/-/records", drain)
        assert answer.status == 200, answer.body
        await until(lambda: fleet.instances["w1"].maintained > 0)
        planner.stop()
        context.exit_code = await planner.task
        await until(lambda: planner.session not in fleet.sessions)
        entry.stop()
        await entry.task
        data = platform.streams["fleet"].records
        context.records = [decode_record(r) for r in data]


async def _stop_during_request(context):
    async with AsyncExitStack() as stack:
        platform = Platform(context.limits)
        await platform.start()
        stack.push_async_callback(platform.stop)
        address = f"127.0.0.1:{platform.server.port}"
        planner = await start_program(stack, Planner, "p1", address)
        host, _, port = planner.http_address().rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        stack.callback(writer.transport.abort)
        writer.write(b"GET /-/health HTTP/1.1\r\n")
        await until(lambda: planner.server.busy)
        planner.stop()
        await until(lambda: planner.task.done() or planner.server.stopping)
        writer.write(b"Host: planner\r\n\r\n")
        context.status_line = await reader.readline()
        context.exit_code = await planner.task


@when("the planner is stopped while a request of an operator arrives")
def step_stop_during_request(context):
    asyncio.run(asyncio.wait_for(_stop_during_request(context), SCENARIO_S))


@then("the operator gets an answer")
def step_operator_answered(context):
    assert context.status_line.startswith(b"HTTP/1.1 "), context.status_line


@then("the endpoint was rebooted once, after its StopRequested was in the log")
def step_rebooted_once(context):
    kinds = (InstanceUp, StopRequested)
    found = [r for r in context.records if isinstance(r, kinds)]
    assert [type(r) for r in found] == [InstanceUp, StopRequested, InstanceUp], found
    first, stop, second = found
    assert first.incarnation == stop.incarnation != second.incarnation


@then("the planner exited with code 0 and its session is closed")
def step_closed(context):
    assert context.exit_code == 0


def record_read(offset, record):
    return ev.RecordRead(now=2.0, offset=offset, record=record)


@given("a planner that was asked to stop and has finished")
def step_finished(context):
    context.planner = PlannerState("s1", "dc1")
    for offset, name in enumerate(["s1", "s2"]):
        opened = SessionOpened(
            record_id=f"o{name}", by=name, session=name, role=Role.PLANNER, dc="dc1",
            instance=f"i-{name}", peer_address="127.0.0.1:1",
        )  # fmt: skip
        step(context.planner, record_read(offset, opened))
    step(context.planner, ev.StopAsked(now=2.0))
    effects = step(context.planner, ev.Tick(now=2.0, wall=2.0, seed=1))
    assert [type(e) for e in effects] == [Finished], effects


@when("it reads the closing records of an entry and of itself")
def step_read_closings(context):
    context.effects = []
    for offset, name in enumerate(["s2", "s1"], start=2):
        closed = SessionClosed(record_id=f"c{name}", by=name, session=name)
        context.effects += step(context.planner, record_read(offset, closed))


@then("it returns no effects and its state is at the last record")
def step_last_offset(context):
    assert context.effects == [], context.effects
    assert context.planner.fleet.offset == 3, context.planner.fleet.offset
