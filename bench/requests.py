"""Cost and outcomes of requests through an entry over real sockets in one process."""

from __future__ import annotations

import asyncio
import statistics
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from bench.measure import Measure
from primrosepitch.bin.entry import Entry
from primrosepitch.settings import Settings
from primrosepitch.trace import NullRecorder
from standins.endpoint import Endpoint, EndpointSettings
from standins.http import Client, call
from standins.platform import Platform

COMMAND = "python -m bench requests"
SEQUENTIAL = 2000
FAULTS = 20
WORK_MS = 100
SLOTS = 8
ENDPOINTS = 2
OVERLOAD_S = 4.0
TIMEOUT_MS = 1000


class Site(NamedTuple):
    """A platform, endpoints and one entry in this process."""

    entry: Entry
    endpoints: list[Endpoint]


@asynccontextmanager
async def site(**fleet: object) -> AsyncIterator[Site]:
    """Run an entry with two endpoints and an open queue.

    :param fleet: settings of the fleet
    """
    platform = Platform()
    await platform.start()
    endpoints = [Endpoint(EndpointSettings(instance=f"w{i}")) for i in range(ENDPOINTS)]
    for endpoint in endpoints:
        await endpoint.start()
    entry = Entry(
        Settings(
            name="bench",
            dc="dc1",
            instance="e1",
            address="127.0.0.1",
            platform=f"127.0.0.1:{platform.server.port}",
            http_port=0,
            peer_port=0,
        ),
        NullRecorder(),
    )
    task = asyncio.ensure_future(entry.run())
    while not entry.state.may_dispatch:
        await asyncio.sleep(0.01)
    await _publish(entry, endpoints, fleet)
    try:
        yield Site(entry, endpoints)
    finally:
        entry.stop()
        await task
        for endpoint in endpoints:
            await endpoint.stop()
        await platform.stop()


async def _publish(
    entry: Entry, endpoints: list[Endpoint], fleet: dict[str, object]
) -> None:
    """Put a configuration in force and wait until all slots are held."""
    worker = {"dc": "dc1", "rack": "r1", "pool": "p", "address": "127.0.0.1"}
    document = {
        "pools": {"p": {}},
        "services": {"quotes": {"pool": "p", "open": True}},
        "instances": {
            e.settings.instance: {**worker, "port": e.port} for e in endpoints
        },
        "fleet": fleet,
    }
    body = {"base_offset": -1, "documents": {"a.yaml": document}}
    answer = await call(entry.http_address(), "POST", "/-/config", body)
    assert answer.status == 200, answer.body
    counts = entry.fleet().counts
    while any(c.reserve for k, c in counts.items() if k.startswith("slots/")):
        await asyncio.sleep(0.05)


async def latencies(
    address: str, method: str, path: str, headers: dict[str, str] | None = None
) -> tuple[list[float], Counter[str]]:
    """Send requests one after the other.

    :returns: sorted latencies in ms, and the outcomes
    """
    client = Client(address)
    body = b"x" * 200 if method == "POST" else b""
    times, outcomes = [], Counter[str]()
    for number in range(SEQUENTIAL):
        found = {"Primrose-Request-Id": f"r{number}", **(headers or {})}
        start = time.perf_counter()
        answer = await client.request(method, path, body, found)
        times.append((time.perf_counter() - start) * 1000)
        outcomes[answer.headers.get("primrose-outcome", "answered")] += 1
    client.close()
    return sorted(times), outcomes


def _p(times: list[float], part: float) -> float:
    return times[min(len(times) - 1, int(len(times) * part))]


async def added_latency() -> list[Measure]:
    """Compare requests through an entry with direct ones in the same run."""
    measures = []
    for name, method, reuse in (
        ("GET, pooled connections", "GET", "fresh"),
        ("POST, fresh connections", "POST", "fresh"),
        ("POST, Expect: 100-continue on reuse", "POST", "expect"),
        ("POST, pooled connections", "POST", "pooled"),
    ):
        async with site(reuse=reuse) as found:
            endpoint = f"127.0.0.1:{found.endpoints[0].port}"
            direct, _ = await latencies(endpoint, method, "/direct")
            through, _ = await latencies(
                found.entry.http_address(), method, "/q/quotes/1"
            )
        for label, part in (("p50", 0.5), ("p99", 0.99)):
            value = _p(through, part) - _p(direct, part)
            base = f"{_p(direct, part):.2f} ms direct"
            measures.append(
                Measure(
                    f"added latency {label}, {name}",
                    value,
                    "ms",
                    "-",
                    base,
                    -1,
                    COMMAND,
                )
            )
    return measures


async def _faulty(mode: str, reuse: str, method: str) -> tuple[Counter[str], int]:
    """Send requests while endpoints have a fault for some of them.

    A request that may have run keeps its slot until its deadline, so the deadline is
    short here.

    :returns: outcomes, and how many requests ran more than once
    """
    async with site(reuse=reuse) as found:
        for endpoint in found.endpoints:
            value = {"mode": mode, "count": FAULTS // ENDPOINTS, "seconds": 0.1}
            await call(f"127.0.0.1:{endpoint.port}", "POST", "/mode", value)
        address = found.entry.http_address()
        headers = {"Primrose-Timeout-Ms": "500"}
        _, outcomes = await latencies(address, method, "/q/quotes/1", headers)
        twice = sum(n > 1 for e in found.endpoints for n in e.counts.once.values())
    return outcomes, twice


async def unknown_share() -> list[Measure]:
    """Count unknown outcomes under each fault of an endpoint."""
    cases = [("closing", reuse, "POST") for reuse in ("expect", "pooled")]
    modes = ("closing", "silent", "truncated", "crossed", "late", "failing")
    cases += [(mode, "fresh", method) for mode in modes for method in ("POST", "GET")]
    measures = []
    for mode, reuse, method in cases:
        outcomes, twice = await _faulty(mode, reuse, method)
        share = outcomes["unknown"] / SEQUENTIAL * 10_000
        name = f"unknown in 10,000 {method}, {FAULTS} of {SEQUENTIAL} {mode}, {reuse}"
        failed = outcomes["endpoint-failed"]
        bound = f"{FAULTS * 10_000 // SEQUENTIAL}; ran twice {twice}, failed {failed}"
        measures.append(Measure(name, share, "requests", bound, "-", -1, COMMAND))
    return measures


async def goodput(factor: int, routing: str) -> tuple[float, Counter[str]]:
    """Offer a multiple of the capacity for some seconds.

    :returns: answers in time as a part of the capacity, and the outcomes
    """
    rate = ENDPOINTS * SLOTS / (WORK_MS / 1000) * factor
    outcomes: Counter[str] = Counter()
    headers = {"Work-Ms": str(WORK_MS), "Primrose-Timeout-Ms": str(TIMEOUT_MS)}
    async with site(routing=routing) as found:
        address = found.entry.http_address()

        async def one(client: Client) -> None:
            answer = await client.request("GET", "/q/quotes/1", b"", headers)
            outcomes[answer.headers.get("primrose-outcome", "lost")] += 1
            idle.append(client)

        idle: list[Client] = []
        tasks = []
        start = time.perf_counter()
        for number in range(int(rate * OVERLOAD_S)):
            delay = start + number / rate - time.perf_counter()
            if delay > 0:
                await asyncio.sleep(delay)
            client = idle.pop() if idle else Client(address)
            tasks.append(asyncio.ensure_future(one(client)))
        await asyncio.gather(*tasks)
        took = time.perf_counter() - start
        for client in idle:
            client.close()
    capacity = ENDPOINTS * SLOTS / (WORK_MS / 1000) * took
    return outcomes["answered"] / capacity, outcomes


async def overload() -> list[Measure]:
    """Compare the routing policies at 1, 2 and 5 times the capacity."""
    measures = []
    for factor in (1, 2, 5):
        value, outcomes = await goodput(factor, "least_loaded")
        base, _ = await goodput(factor, "random")
        bound = f"1; not run {outcomes['not-run']}, unknown {outcomes['unknown']}"
        name = f"goodput at {factor} times capacity, part of capacity"
        measures.append(
            Measure(name, value, "-", bound, f"{base:.3f} random", -1, COMMAND)
        )
    return measures


async def throughput() -> list[Measure]:
    """Measure processor time of this process for requests, with and without entry."""
    async with site() as found:
        start = time.process_time()
        direct, _ = await latencies(
            f"127.0.0.1:{found.endpoints[0].port}", "GET", "/direct"
        )
        middle = time.process_time()
        await latencies(found.entry.http_address(), "GET", "/q/quotes/1")
        end = time.process_time()
    cost = ((end - middle) - (middle - start)) / SEQUENTIAL
    name = "requests a second a core of an entry, GET"
    base = f"{statistics.mean(direct):.2f} ms direct"
    bound = "3400 to 5400 for h11 alone"
    return [Measure(name, 1 / cost, "requests/s", bound, base, -1, COMMAND)]


def run() -> list[Measure]:
    """Measure requests through an entry."""
    measures: list[Measure] = []
    for part in (throughput, added_latency, unknown_share, overload):
        measures += asyncio.run(part())
    return measures
