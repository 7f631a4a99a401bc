"""Cost and outcomes of requests through an entry, over sockets within one process."""

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
REQUESTS = 2000
FAULTY = 20
WORK_MS = 100
SLOTS = 8
ENDPOINTS = 2
OVERLOAD_S = 4.0
TIMEOUT_MS = 1000


class Site(NamedTuple):
    """An entry and its endpoints, running in this process."""

    entry: Entry
    endpoints: list[Endpoint]


@asynccontextmanager
async def site(**fleet: object) -> AsyncIterator[Site]:
    """Run an entry with two endpoints and an open queue.

    :param fleet: fleet settings of the published configuration
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
    """Publish a configuration and wait until the entry holds all slots."""
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
    """Send requests sequentially.

    :returns: sorted latencies in ms, and the number of requests by outcome
    """
    client = Client(address)
    body = b"x" * 200 if method == "POST" else b""
    times, outcomes = [], Counter[str]()
    for number in range(REQUESTS):
        all_headers = {"Primrose-Request-Id": f"r{number}", **(headers or {})}
        start = time.perf_counter()
        answer = await client.request(method, path, body, all_headers)
        times.append((time.perf_counter() - start) * 1000)
        outcomes[answer.headers.get("primrose-outcome", "answered")] += 1
    client.close()
    return sorted(times), outcomes


def _quantile(times: list[float], fraction: float) -> float:
    return times[min(len(times) - 1, int(len(times) * fraction))]


async def added_latency() -> list[Measure]:
    """Compare the latency through an entry with that of direct requests."""
    measures = []
    for name, method, reuse in (
        ("GET, pooled connections", "GET", "fresh"),
        ("POST, fresh connections", "POST", "fresh"),
        ("POST, Expect: 100-continue on reuse", "POST", "expect"),
        ("POST, pooled connections", "POST", "pooled"),
    ):
        async with site(reuse=reuse) as running:
            endpoint = f"127.0.0.1:{running.endpoints[0].port}"
            direct, _ = await latencies(endpoint, method, "/direct")
            through, _ = await latencies(
                running.entry.http_address(), method, "/q/quotes/1"
            )
        for label, fraction in (("p50", 0.5), ("p99", 0.99)):
            value = _quantile(through, fraction) - _quantile(direct, fraction)
            base = f"{_quantile(direct, fraction):.2f} ms direct"
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


async def _outcomes_under_fault(
    mode: str, reuse: str, method: str
) -> tuple[Counter[str], int]:
    """Send requests while the endpoints inject a fault into some of them.

    The deadline is short, since a request that may have run keeps its slot until its
    deadline.

    :returns: number of requests by outcome, and of requests that ran more than once
    """
    async with site(reuse=reuse) as running:
        for endpoint in running.endpoints:
            value = {
                "mode": mode,
                "count": FAULTY // ENDPOINTS,
                "seconds": 0.1,
            }
            await call(f"127.0.0.1:{endpoint.port}", "POST", "/mode", value)
        address = running.entry.http_address()
        headers = {"Primrose-Timeout-Ms": "500"}
        _, outcomes = await latencies(address, method, "/q/quotes/1", headers)
        twice = sum(n > 1 for e in running.endpoints for n in e.counts.once.values())
    return outcomes, twice


async def unknown_share() -> list[Measure]:
    """Measure the share of unknown outcomes under each endpoint fault."""
    cases = [("closing", reuse, "POST") for reuse in ("expect", "pooled")]
    modes = ("closing", "silent", "truncated", "crossed", "late", "failing")
    cases += [(mode, "fresh", method) for mode in modes for method in ("POST", "GET")]
    measures = []
    for mode, reuse, method in cases:
        outcomes, twice = await _outcomes_under_fault(mode, reuse, method)
        share = outcomes["unknown"] / REQUESTS * 10_000
        name = f"unknown in 10,000 {method}, {FAULTY} of {REQUESTS} {mode}, {reuse}"
        failed = outcomes["endpoint-failed"]
        bound = f"{FAULTY * 10_000 // REQUESTS}; ran twice {twice}, failed {failed}"
        measures.append(Measure(name, share, "requests", bound, "-", -1, COMMAND))
    return measures


async def goodput(factor: int, routing: str) -> tuple[float, Counter[str]]:
    """Send requests at a multiple of the capacity for ``OVERLOAD_S``.

    :returns: answered requests as a fraction of the capacity, and the number of
        requests by outcome
    """
    rate = ENDPOINTS * SLOTS / (WORK_MS / 1000) * factor
    outcomes: Counter[str] = Counter()
    headers = {"Work-Ms": str(WORK_MS), "Primrose-Timeout-Ms": str(TIMEOUT_MS)}
    async with site(routing=routing) as running:
        address = running.entry.http_address()

        async def send_one(client: Client) -> None:
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
            tasks.append(asyncio.ensure_future(send_one(client)))
        await asyncio.gather(*tasks)
        took = time.perf_counter() - start
        for client in idle:
            client.close()
    capacity = ENDPOINTS * SLOTS / (WORK_MS / 1000) * took
    return outcomes["answered"] / capacity, outcomes


async def overload() -> list[Measure]:
    """Compare the goodput of routing policies at 1, 2 and 5 times the capacity."""
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
    """Measure the processor time of requests with an entry, minus that without."""
    async with site() as running:
        start = time.process_time()
        direct, _ = await latencies(
            f"127.0.0.1:{running.endpoints[0].port}", "GET", "/direct"
        )
        middle = time.process_time()
        await latencies(running.entry.http_address(), "GET", "/q/quotes/1")
        end = time.process_time()
    cost = ((end - middle) - (middle - start)) / REQUESTS
    name = "requests a second a core of an entry, GET"
    base = f"{statistics.mean(direct):.2f} ms direct"
    bound = "3400 to 5400 for h11 alone"
    return [Measure(name, 1 / cost, "requests/s", bound, base, -1, COMMAND)]


def run() -> list[Measure]:
    """Run all benchmarks of requests through an entry."""
    measures: list[Measure] = []
    for part in (throughput, added_latency, unknown_share, overload):
        measures += asyncio.run(part())
    return measures
