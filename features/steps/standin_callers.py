"""Steps for the callers' stand-in."""

import asyncio
import uuid

from behave import given, then, when

from standins import caller
from standins.endpoint import Endpoint
from standins.http import Client, Close, Response, Server

FAULT_COUNTS = ("lost", "doubled", "wrong", "untrue")


class Entry:
    """Entry that forwards requests to an endpoint and has one fault."""

    def __init__(self, fault, address):
        self.fault = fault
        self.address = address
        self.answers = {}

    async def handle(self, request, peer):
        if self.fault == "closes the connection":
            return Close()
        if self.fault == "refuses":
            return Response(503, headers={"Primrose-Outcome": "not-run"})
        if self.fault == "tells that the outcome is unknown":
            return Response(504, headers={"Primrose-Outcome": "unknown"})
        request_id = request.headers.get("primrose-request-id")
        if request_id not in self.answers:
            body = await self.forward(request, request_id or uuid.uuid4().hex)
            if request_id is None:
                return Response(200, body, {"Primrose-Outcome": "answered"})
            self.answers[request_id] = body
        if self.fault == "refuses as not run what it has sent":
            return Response(503, headers={"Primrose-Outcome": "not-run"})
        return Response(200, self.answers[request_id], {"Primrose-Outcome": "answered"})

    async def forward(self, request, request_id):
        """Forward a request to the endpoint and return the body of the answer."""
        client = Client(self.address)
        headers = {"Primrose-Request-Id": request_id}
        body = request.body
        if self.fault == "gives the answer of another request":
            body += b" of another"
        for _ in range(2 if self.fault == "sends each request twice" else 1):
            response = await client.request(request.method, "/x", body, headers)
        client.close()
        return response.body


@given("an entry stand-in that {fault} in front of an endpoint")
def step_entry(context, fault):
    context.fault = fault


@when("{count:d} seeded requests are sent through it")
def step_send_requests(context, count):
    asyncio.run(send(context, count))


async def send(context, count):
    endpoint = Endpoint()
    await endpoint.start()
    address = f"127.0.0.1:{endpoint.port}"

    entry = Server(Entry(context.fault, address).handle)
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


@then("every request has exactly one outcome")
def step_one_outcome(context):
    sums = context.sums
    assert sums["sent"] >= 40
    assert sums["sent"] == sum(sums[e] for e in caller.ENDS)


@then("the count {name} is above 0 and no other fault is counted")
def step_one_count(context, name):
    assert context.sums[name] > 0, context.sums
    others = {f: context.sums[f] for f in FAULT_COUNTS if f != name}
    assert not any(others.values()), context.sums
