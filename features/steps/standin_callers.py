"""Steps about the callers' stand-in."""

import asyncio
import uuid

from behave import given, then, when

from standins import caller
from standins.endpoint import Endpoint
from standins.http import Client, Close, Response, Server

FAULTS = ("lost", "doubled", "wrong", "untrue")


class Entry:
    """Passes requests on to an endpoint and does something wrong on the way."""

    def __init__(self, does, address):
        self.does = does
        self.address = address
        self.kept = {}

    async def handle(self, request, peer):
        if self.does == "closes the connection":
            return Close()
        if self.does == "refuses":
            return Response(503, headers={"Primrose-Outcome": "not-run"})
        if self.does == "tells that the outcome is unknown":
            return Response(504, headers={"Primrose-Outcome": "unknown"})
        own = request.headers.get("primrose-request-id")
        if own not in self.kept:
            body = await self.forward(request, own or uuid.uuid4().hex)
            if own is None:
                return Response(200, body, {"Primrose-Outcome": "answered"})
            self.kept[own] = body
        if self.does == "refuses as not run what it has sent":
            return Response(503, headers={"Primrose-Outcome": "not-run"})
        return Response(200, self.kept[own], {"Primrose-Outcome": "answered"})

    async def forward(self, request, request_id):
        """Send a request to the endpoint and return the body of its answer."""
        client = Client(self.address)
        headers = {"Primrose-Request-Id": request_id}
        body = request.body
        if self.does == "gives the answer of another request":
            body += b" of another"
        for _ in range(2 if self.does == "sends each request twice" else 1):
            found = await client.request(request.method, "/x", body, headers)
        client.close()
        return found.body


@given("an entry stand-in before an endpoint that {does}")
def step_entry(context, does):
    context.does = does


@when("{count:d} seeded requests are sent through it")
def step_send(context, count):
    asyncio.run(send(context, count))


async def send(context, count):
    endpoint = Endpoint()
    await endpoint.start()
    address = f"127.0.0.1:{endpoint.port}"

    entry = Server(Entry(context.does, address).handle)
    await entry.start("127.0.0.1", 0)
    plan = caller.Plan(
        kinds=[caller.Kind("team", ["press"], "-", 1.0)],
        entries=[[f"127.0.0.1:{entry.port}"]],
        requests=count,
        concurrency=4,
        work_ms=0,
    )
    try:
        context.sums = await caller._run(plan, [address])
    finally:
        await entry.stop()
        await endpoint.stop()


@then("every request ended in one way")
def step_ended(context):
    sums = context.sums
    assert sums["sent"] >= 40
    assert sums["sent"] == sum(sums[e] for e in caller.ENDS)


@then("the count {name} is above 0 and no other fault is counted")
def step_counted(context, name):
    assert context.sums[name] > 0, context.sums
    others = {f: context.sums[f] for f in FAULTS if f != name}
    assert not any(others.values()), context.sums
