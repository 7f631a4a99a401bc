"""Stand-in for callers: requests of several teams through real sockets.

The plan is a text file with one line for each kind of caller: a name, its queues
separated by commas, its key or ``-``, and its weight. Half of the requests are not
idempotent (POST); some of these carry a request id chosen by the caller, and some of
those are sent again with the same id, like a retry after a lost response.

Each request has one of these outcomes: answered; refused (the entry reports "not run");
unknown (the entry reports that the request may have run, or that the endpoint's
response is unusable); lost (no complete response from the entry). The endpoints'
counters show how many requests that are not idempotent ran more than once (doubled) and
how many ran that were refused as "not run" (untrue). Responses to another request are
counted as wrong.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import random
import sys
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import msgspec

from standins.http import Client, ConnectionLostError, Response, call

__all__ = ["Caller", "Plan", "Totals", "main"]

OUTCOMES = {
    "answered": "answered",
    "not-run": "refused",
    "unknown": "unknown",
    "endpoint-failed": "unknown",
}
ENDS = ("answered", "refused", "unknown", "lost")
POST_SHARE = 0.5
OWN_ID_SHARE = 0.5
REPEAT_SHARE = 0.2
STOPPING_CODE = "PRP-2401"
"""Code of a stopping entry; a load balancer would no longer choose it."""

GRACE_S = 5.0
"""Time after the deadline at which a request without a response counts as lost."""


class Kind(msgspec.Struct, frozen=True):
    """One kind of caller."""

    name: str
    queues: list[str]
    key: str
    weight: float


class Plan(msgspec.Struct, frozen=True):
    """Requests to send.

    :param entries: ``IP:port`` of the entries of each data centre; a repeated request
        goes to another entry of the same data centre
    :param requests: number of requests, without repeated ones
    :param concurrency: number of concurrent requests
    """

    kinds: list[Kind]
    entries: list[list[str]]
    requests: int = 1000
    concurrency: int = 16
    seed: int = 1
    work_ms: int = 5
    timeout_ms: int = 5000


class Totals(msgspec.Struct):
    """Counters of a run.

    :param ends: number of requests by kind of caller and outcome
    :param codes: number of requests by error code
    :param wrong: number of responses that belong to another request
    :param refused_ids: callers' request ids that were refused as "not run"
    :param other_ids: callers' request ids that had another outcome
    :param latencies: latencies of answered requests in seconds
    """

    ends: dict[str, Counter[str]] = {}
    codes: Counter[str] = msgspec.field(default_factory=Counter)
    wrong: int = 0
    refused_ids: set[str] = set()
    other_ids: set[str] = set()
    latencies: list[float] = []

    def total(self, end: str) -> int:
        """Return the number of requests with an outcome."""
        return sum(c[end] for c in self.ends.values())


class Request(msgspec.Struct, frozen=True):
    """One request to send.

    :param request_id: id chosen by the caller; if empty, the entry generates one
    """

    number: int
    kind: Kind
    entries: list[str]
    queue: str
    post: bool
    request_id: str
    repeat: bool


class Caller:
    """Sends the requests of a plan and counts their outcomes."""

    def __init__(self, plan: Plan) -> None:
        """Draw all requests in advance, so that a seed always gives the same ones."""
        rng = random.Random(plan.seed)
        run = f"{plan.seed}-{time.time_ns():x}"
        weights = [k.weight for k in plan.kinds]
        self.plan = plan
        self.sent = 0
        self._stopping: set[str] = set()
        self.totals = Totals(
            ends={k.name: Counter() for k in plan.kinds},
            refused_ids=set(),
            other_ids=set(),
            latencies=[],
        )
        self._requests = [
            self._draw(rng, run, number, rng.choices(plan.kinds, weights)[0])
            for number in range(plan.requests)
        ]

    def _draw(self, rng: random.Random, run: str, number: int, kind: Kind) -> Request:
        post = rng.random() < POST_SHARE
        dc = rng.choice(self.plan.entries)
        own = post and rng.random() < OWN_ID_SHARE
        return Request(
            number=number,
            kind=kind,
            entries=rng.sample(dc, len(dc)),
            queue=rng.choice(kind.queues),
            post=post,
            request_id=f"{run}-{number}" if own else "",
            repeat=own and rng.random() < REPEAT_SHARE,
        )

    async def run(self) -> Totals:
        """Send all requests and wait until every one has an outcome."""
        waiting = iter(self._requests)
        workers = [self._work(waiting) for _ in range(self.plan.concurrency)]
        await asyncio.gather(*workers)
        return self.totals

    async def _work(self, waiting: Iterator[Request]) -> None:
        clients = {e: Client(e) for dc in self.plan.entries for e in dc}
        for request in waiting:
            await self._send(self._preferred(clients, request.entries), request)
            if request.repeat:
                reverse = self._preferred(clients, request.entries[::-1])
                await self._send(reverse, request)
        for client in clients.values():
            client.close()

    def _preferred(
        self, clients: dict[str, Client], entries: list[str]
    ) -> list[Client]:
        """Return the clients of entries, with stopping entries last."""
        order = sorted(entries, key=lambda e: e in self._stopping)
        return [clients[e] for e in order]

    async def _send(self, clients: list[Client], request: Request) -> None:
        """Send a request to the first entry that accepts a connection.

        Trying the next entry stands for the platform's load balancer.
        """
        self.sent += 1
        plan = self.plan
        body = f"request {request.number}".encode() if request.post else b""
        headers = {"Primrose-Timeout-Ms": str(plan.timeout_ms)}
        headers["Work-Ms"] = str(plan.work_ms)
        if request.kind.key != "-":
            headers["Primrose-Key"] = request.kind.key
        if request.request_id:
            headers["Primrose-Request-Id"] = request.request_id
        target = f"/q/{request.queue}/n/{request.number}"
        method = "POST" if request.post else "GET"
        began = time.monotonic()
        timeout_s = plan.timeout_ms / 1000 + GRACE_S
        try:
            client = await _connect_first(clients)
            answer = await client.request(method, target, body, headers, timeout_s)
        except (OSError, ConnectionLostError):
            self.totals.ends[request.kind.name]["lost"] += 1
            self.totals.other_ids.add(request.request_id)
            return
        if answer.headers.get("primrose-code") == STOPPING_CODE:
            self._stopping.add(client.address)
        self._count(request, answer, body, time.monotonic() - began)

    def _count(
        self, request: Request, answer: Response, body: bytes, took_s: float
    ) -> None:
        totals = self.totals
        end = OUTCOMES.get(answer.headers.get("primrose-outcome", ""), "lost")
        totals.ends[request.kind.name][end] += 1
        if end != "answered":
            totals.codes[answer.headers.get("primrose-code", "none")] += 1
        if request.request_id:
            ids = totals.refused_ids if end == "refused" else totals.other_ids
            ids.add(request.request_id)
        if end == "answered":
            totals.latencies.append(took_s)
            totals.wrong += not _belongs_to(answer, request, body)


async def _connect_first(clients: list[Client]) -> Client:
    """Return the first client that can connect.

    :raises OSError: if none can
    """
    for client in clients[:-1]:
        with suppress(OSError):
            await client.connect()
            return client
    await clients[-1].connect()
    return clients[-1]


def _belongs_to(answer: Response, request: Request, body: bytes) -> bool:
    """Return whether a response is valid and belongs to the request."""
    try:
        content = answer.json()
    except ValueError:
        return False
    if request.request_id and content.get("request_id") != request.request_id:
        return False
    return bool(content.get("body_sha256") == hashlib.sha256(body).hexdigest())


async def fetch_runs(endpoints: list[str]) -> tuple[Counter[str], Counter[str]]:
    """Return the runs by request id, of all requests and of non-idempotent ones."""
    runs: Counter[str] = Counter()
    once: Counter[str] = Counter()
    for endpoint in endpoints:
        try:
            counts = (await call(endpoint, "GET", "/counts")).json()
        except OSError:
            print(f"endpoint {endpoint} does not answer; its counts are left out")
            continue
        runs.update(counts["runs"])
        once.update(counts["once"])
    return runs, once


def read_kinds(path: Path) -> list[Kind]:
    """Read a plan file.

    :raises ValueError: if a line does not have four columns
    """
    kinds = []
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.strip() and not line.startswith("#"):
            name, queues, key, weight = line.split()
            kinds.append(Kind(name, queues.split(","), key, float(weight)))
    return kinds


def report(caller: Caller, doubled: int, untrue: int) -> dict[str, int]:
    """Print a table by kind of caller and return the totals."""
    totals = caller.totals
    print(f"{'CALLER':<20}" + "".join(f"{e.upper():>10}" for e in ENDS))
    for name, ends in totals.ends.items():
        print(f"{name:<20}" + "".join(f"{ends[e]:>10}" for e in ENDS))
    codes = ", ".join(f"{code} {n}" for code, n in sorted(totals.codes.items()))
    print(f"codes: {codes or 'none'}")
    times = sorted(totals.latencies)
    if times:
        p50, p99 = times[len(times) // 2], times[len(times) * 99 // 100]
        print(f"answered in ms: p50 {p50 * 1000:.1f}, p99 {p99 * 1000:.1f}")
    print(f"wrong answers: {totals.wrong}; refused as not run, but run: {untrue}")
    sums = {"sent": caller.sent, **{e: totals.total(e) for e in ENDS}}
    return {**sums, "doubled": doubled, "wrong": totals.wrong, "untrue": untrue}


async def _run(plan: Plan, endpoints: list[str]) -> dict[str, int]:
    caller = Caller(plan)
    totals = await caller.run()
    runs, once = await fetch_runs(endpoints)
    doubled = sum(n > 1 for n in once.values())
    untrue = sum(runs[i] > 0 for i in totals.refused_ids - totals.other_ids)
    return report(caller, doubled, untrue)


def main(argv: list[str] | None = None) -> int:
    """Send the requests of a plan.

    :returns: 1 if a request was lost, doubled, wrong, untrue or not counted, else 0
    """
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--plan", type=Path, required=True, help="plan file")
    parser.add_argument(
        "--entry",
        action="append",
        required=True,
        help="IP:port of a data centre's entries, separated by commas; repeatable",
    )
    parser.add_argument("--endpoint", action="append", default=[], help="IP:port")
    parser.add_argument("--requests", type=int, default=1000)
    parser.add_argument("--concurrency", type=int, default=16)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--work-ms", type=int, default=5)
    parser.add_argument("--timeout-ms", type=int, default=5000)
    parser.add_argument("--json", type=Path, help="output file for the totals")
    args = parser.parse_args(argv)
    plan = Plan(
        kinds=read_kinds(args.plan),
        entries=[dc.split(",") for dc in args.entry],
        requests=args.requests,
        concurrency=args.concurrency,
        seed=args.seed,
        work_ms=args.work_ms,
        timeout_ms=args.timeout_ms,
    )
    sums = asyncio.run(_run(plan, args.endpoint))
    if args.json:
        args.json.write_text(json.dumps(sums), encoding="utf-8")
    columns = ("sent", *ENDS, "doubled")
    print("caller: " + " ".join(f"{k}={sums[k]}" for k in columns))
    complete = sums["sent"] == sum(sums[e] for e in ENDS)
    faults = sums["lost"] + sums["doubled"] + sums["wrong"] + sums["untrue"]
    return 0 if complete and not faults else 1


if __name__ == "__main__":
    sys.exit(main())
