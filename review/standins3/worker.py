"""Stand-in for a worker, as PROTOCOL.md describes it.

What a work item does follows from the submission's ``specification``, a JSON object:
``work_s`` is how long it works, ``fails`` makes it end as failed.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from advice import Advice
from deployment import LOOPBACK, SERVICE, Deployment

from standins.http import HandlerResult, Peer, Request, Server, json_response

__all__ = ["Run", "Worker"]

MAX_HOLD_MS = 6000
HEARTBEAT_S = 1.5
STARTUP_S = 0.3
CHECK_S = 0.01
MAX_ENDS = 500


class Run:
    """One run of a work item."""

    def __init__(self, task: str, number: int, specification: str) -> None:
        """Start now."""
        text = json.loads(specification or "{}")
        self.task = task
        self.number = number
        self.started_at = time.monotonic()
        self.work_s = float(text.get("work_s", 0.5))
        self.lasts = bool(text.get("lasts", False))
        self.fails = bool(text.get("fails", False))
        self.cpu = int(text.get("cpu", 1000))

    def percent(self) -> int:
        """Return the share of its work that is done."""
        age_s = time.monotonic() - self.started_at
        if self.lasts:
            return 100 if age_s >= STARTUP_S else 0
        return min(99, int(100 * age_s / max(0.001, self.work_s)))


class Worker:
    """A worker on a machine, which may crash and start again.

    ``starts`` and ``ends`` are what it has begun and listed: time since the start of
    the case, work item, run, and how the run ended. ``advice`` is set for workers of
    queues with advice, and checks their tickets.
    """

    def __init__(self, world: Deployment, number: int, cpu: int = 16000) -> None:
        """Choose a name; nothing listens yet."""
        self.id = f"i-{number:04x}"
        self.machine = f"m-{number:04x}"
        self.service = SERVICE
        self.capacity = {"cpu": cpu, "memory_request_mb": 32768, "gpu": 0}
        self.labels = ["a", f"r1-{1 + number // 4}"]
        self.up = False
        self.starts: list[tuple[float, str, int]] = []
        self.ends: list[tuple[float, str, int, str]] = []
        self.refused: list[tuple[float, str, str]] = []
        self.advice: Advice | None = None
        self.crashes = 0
        self._world = world
        self._server = Server(self._handle)
        self._port = 0
        self._born = 0
        self._reset()

    def _reset(self) -> None:
        self.runs: dict[str, Run] = {}
        self._begun_at = time.monotonic()
        self._token = 0
        self._lease_ms = 0
        self._highest: dict[str, int] = {}
        self._listed: list[list[Any]] = []
        self._count = 0
        self._sequence = 0
        self._ended = asyncio.Event()

    # Life

    async def start(self) -> None:
        """Start, or start again under the same id and address."""
        self._reset()
        self._born = max(self._born + 1, round(time.time() * 1000))
        self._server = Server(self._handle)
        await self._server.start(LOOPBACK, self._port)
        self._port = self._server.port
        self.up = True
        self._tasks = [
            asyncio.ensure_future(self._beat()),
            asyncio.ensure_future(self._work()),
        ]
        self._world.record.write(f"worker {self.id}: up, born {self._born}")

    async def crash(self) -> None:
        """End at once; connections are reset and all runs are gone."""
        self.up = False
        self.crashes += 1
        running = sorted(self.runs)
        for task in self._tasks:
            task.cancel()
        for peer in self._server.peers:
            peer.writer.transport.abort()
        await self._server.stop(grace_s=0.0)
        self._world.record.write(f"worker {self.id}: crashes with {running}")
        self.runs = {}

    async def stop(self) -> None:
        """End at the end of the case."""
        if self.up:
            await self.crash()

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            entry = {
                "service": self.service,
                "address": f"{LOOPBACK}:{self._port}",
                "zone": "steyr-hall",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "clock_ms": self._clock_ms(),
                "sequence": self._sequence,
                "born": self._born,
                "machine": self.machine,
            }
            value = json.dumps(entry).encode()
            self._world.store.write("keyed.servers", self.id, value)
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            lapsed = self.runs and self._clock_ms() > self._lease_ms
            for run in list(self.runs.values()):
                if lapsed:
                    self._end(run, "lapsed")
                elif not run.lasts and time.monotonic() >= run.started_at + run.work_s:
                    self._end(run, "failed" if run.fails else "done")

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._begun_at) * 1000)

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.number)
        self._count += 1
        self._listed.append([self._count, run.task, run.number, how, ""])
        self.ends.append((self._world.record.now(), run.task, run.number, how))
        line = f"worker {self.id}: {run.task} run {run.number} ends {how}"
        self._world.record.write(line)
        self._ended.set()
        self._ended = asyncio.Event()

    # Calls

    async def _handle(self, request: Request, peer: Peer) -> HandlerResult:
        expected = request.headers.get("primrosepitch-expected-instance", self.id)
        if expected != self.id:
            return json_response({"clock_ms": self._clock_ms()}, 421)
        if request.method == "GET":
            return json_response({})
        body = request.json()
        token = int(body.get("fencing_token", 0))
        if token < self._token:
            return self._refuse("fence")
        self._token = token
        if request.path == "/hold":
            return await self._hold(body)
        if request.path == "/run-start":
            return self._start(body)
        if request.path == "/run-stop":
            return self._stop(body)
        return json_response({"clock_ms": self._clock_ms()})

    def _refuse(self, reason: str) -> HandlerResult:
        return json_response({"clock_ms": self._clock_ms(), "reason": reason}, 409)

    def _extend(self, until_ms: int) -> None:
        latest = self._clock_ms() + MAX_HOLD_MS
        self._lease_ms = max(self._lease_ms, min(until_ms, latest))

    async def _hold(self, body: dict[str, Any]) -> HandlerResult:
        seen = int(body.get("last_seen", 0))
        self._listed = [end for end in self._listed if end[0] > seen]
        self._extend(int(body.get("until_ms", 0)))
        wait_ms = int(body.get("wait_ms", 0))
        if wait_ms and not self._listed:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._ended.wait()
            except TimeoutError:
                pass
        rows = [[r.task, r.number, "", r.percent(), r.cpu] for r in self.runs.values()]
        lists = {"running": rows, "ended": self._listed[:MAX_ENDS]}
        return json_response(
            {"clock_ms": self._clock_ms(), "born": self._born, **lists}
        )

    def _start(self, body: dict[str, Any]) -> HandlerResult:
        task, number = str(body["task"]), int(body["run"])
        until_ms = int(body["until_ms"])
        run = self.runs.get(task)
        if run is not None and run.number == number:
            self._extend(until_ms)
            return json_response({"clock_ms": self._clock_ms()})
        if run is not None or number <= self._highest.get(task, 0):
            self._extend(until_ms)
            return self._refuse("old")
        if until_ms <= self._clock_ms():
            return self._refuse("late")
        if self.advice is not None:
            ticket = str(body.get("ticket", ""))
            step = task.rpartition(".")[0]
            if not self.advice.is_valid(step, self.id, ticket):
                self.refused.append((self._world.record.now(), task, "ticket"))
                return self._refuse("ticket")
        self._extend(until_ms)
        new = Run(task, number, str(body.get("specification", "")))
        used = sum(other.cpu for other in self.runs.values())
        if used + new.cpu > self.capacity["cpu"]:
            return self._refuse("room")
        self.runs[task] = new
        self.starts.append((self._world.record.now(), task, number))
        self._world.record.write(f"worker {self.id}: {task} run {number} starts")
        return json_response({"clock_ms": self._clock_ms()})

    def _stop(self, body: dict[str, Any]) -> HandlerResult:
        task, number = str(body["task"]), int(body["run"])
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            self._end(run, "stopped")
        self._highest[task] = max(self._highest.get(task, 0), number)
        return json_response({"clock_ms": self._clock_ms()})
