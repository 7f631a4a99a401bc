"""Stand-in for a worker, as the users' protocol page describes it.

The work of a work item is given by its submission's specification, a JSON object with
``ms``: its duration, and ``cpu``: what it uses, the same for all work items. Those of a
submission whose specification has ``lasts`` work until they are stopped, and those of
one that has ``advised`` start with a ticket only.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from standins.http import Close, HandlerResult, Peer, Request, Response, Server
from standins.http import json_response as _json

__all__ = ["Run", "Worker"]

MAX_HOLD_MS = 6000
STOP_S = 0.05
"""Time that a stop takes; the pages allow 0.4 s."""

MAX_LISTED_ENDS = 500
CHECKPOINT_INTERVAL_S = 1.0
LASTING_STARTUP_S = 0.5

Record = Callable[..., None]


class Run(NamedTuple):
    """A run on a worker.

    :param done: timer of its end, or ``None``
    """

    task: str
    run: int
    cpu: int
    started_at: float
    duration_s: float
    done: asyncio.TimerHandle | None


class Worker:
    """One machine's worker; it may crash and start again under its id.

    While ``sheds`` is set, it is unhealthy: it refuses all starts.

    :param record: called with an event's name and its fields
    """

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        zone: str,
        labels: list[str],
        cpu: int,
        record: Record,
    ) -> None:
        """Create a worker that does not run yet."""
        self.name = name
        self.service = service
        self.zone = zone
        self.labels = labels
        self.cpu = cpu
        self.machine = f"m-{name}"
        self.up = False
        self.draining = False
        self.sheds = False
        self.on_start: Callable[[Worker, Run], None] | None = None
        self._host = host
        self._port = 0
        self._record = record
        self._server: Server | None = None
        self._sequence = 0
        self._reset()

    def _reset(self) -> None:
        self.running: dict[tuple[str, int], Run] = {}
        self._ended: list[list[Any]] = []
        self._ends = 0
        self._fence = 0
        self._highest: dict[str, int] = {}
        self._started = time.monotonic()
        self._lease_until_ms = 0
        self._lease: asyncio.TimerHandle | None = None
        self._end_listed = asyncio.Event()
        self.born = int(time.time() * 1000)

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f"{self._host}:{self._port}"

    def clock_ms(self) -> int:
        """Return its steady clock."""
        return int((time.monotonic() - self._started) * 1000) + 1000

    def used_cpu(self) -> int:
        """Return the processor capacity that its runs use."""
        return sum(run.cpu for run in self.running.values())

    def entry(self) -> bytes:
        """Return what it writes of itself to the store."""
        self._sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "memory_request_mb": 32768, "gpu": 0},
                "labels": self.labels,
                "clock_ms": self.clock_ms(),
                "sequence": self._sequence,
                "born": self.born,
                "machine": self.machine,
            }
        ).encode()

    async def start(self) -> None:
        """Start, or start again under the same id and address."""
        self._reset()
        self._sequence = 0
        self._server = Server(self._handle)
        await self._server.start(self._host, self._port)
        self._port = self._server.port
        self.up = True
        self._record("worker started", worker=self.name, born=self.born)

    async def crash(self) -> None:
        """Crash: it runs nothing any more, and its connections are reset."""
        self.up = False
        lost = [f"{run.task} run {run.run}" for run in self.running.values()]
        for run in self.running.values():
            if run.done is not None:
                run.done.cancel()
        if self._lease is not None:
            self._lease.cancel()
        self.running = {}
        assert self._server is not None
        for peer in self._server.peers:
            peer.writer.transport.abort()
        await self._server.stop(grace_s=0.0)
        self._record("worker crashed", worker=self.name, lost=lost)

    async def stop(self) -> None:
        """End the stand-in at the end of the test."""
        if self.up:
            for run in self.running.values():
                if run.done is not None:
                    run.done.cancel()
            if self._lease is not None:
                self._lease.cancel()
            assert self._server is not None
            await self._server.stop(grace_s=0.0)
        self.up = False

    async def _handle(self, request: Request, peer: Peer) -> HandlerResult:
        if not self.up:
            return Close()
        if request.method == "GET":
            return Response(200)
        intended = request.headers.get("primrosepitch-expected-instance", self.name)
        if intended != self.name:
            return Response(421)
        body = request.json()
        fence = int(body.get("fencing_token", 0))
        if fence < self._fence:
            return self._refuse("fence")
        self._fence = fence
        if request.path == "/run-start" and self.sheds:
            self._record("start refused", worker=self.name, task=body["task"])
            return Response(503)
        if request.path == "/run-start":
            return self._start_run(body)
        if request.path == "/run-stop":
            return self._stop_run(body)
        if request.path == "/hold":
            return await self._hold(body)
        if request.path == "/pace":
            return _json({"clock_ms": self.clock_ms()})
        return Response(400)

    def _refuse(self, reason: str) -> Response:
        return _json({"clock_ms": self.clock_ms(), "reason": reason}, 409)

    def _extend_lease(self, until_ms: int) -> None:
        until_ms = min(until_ms, self.clock_ms() + MAX_HOLD_MS)
        if until_ms <= self._lease_until_ms:
            return
        self._lease_until_ms = until_ms
        if self._lease is not None:
            self._lease.cancel()
        delay_s = max(0.0, (until_ms - self.clock_ms()) / 1000)
        loop = asyncio.get_running_loop()
        self._lease = loop.call_later(delay_s, self._lapse)

    def _lapse(self) -> None:
        for run in list(self.running.values()):
            self._end(run, "lapsed")

    def _start_run(self, body: dict[str, Any]) -> Response:
        task, number = str(body["task"]), int(body["run"])
        if (task, number) in self.running:
            self._extend_lease(int(body["until_ms"]))
            return _json({"clock_ms": self.clock_ms()})
        if number <= self._highest.get(task, 0):
            self._extend_lease(int(body["until_ms"]))
            return self._refuse("old")
        if int(body["until_ms"]) <= self.clock_ms():
            return self._refuse("late")
        self._extend_lease(int(body["until_ms"]))
        work = json.loads(body["specification"])
        if work.get("advised") and body.get("ticket") != f"ticket-{self.name}":
            return self._refuse("ticket")
        cpu = int(work["cpu"])
        if self.used_cpu() + cpu > self.cpu:
            return self._refuse("room")
        loop = asyncio.get_running_loop()
        duration_s = float(work.get("ms", 0)) / 1000
        lasts = bool(work.get("lasts"))
        run = Run(task, number, cpu, time.monotonic(), duration_s, None)
        if not lasts:
            run = run._replace(
                done=loop.call_later(duration_s, self._finish, task, number)
            )
        self.running[task, number] = run
        self._record("run started", worker=self.name, task=task, run=number)
        if self.on_start is not None:
            self.on_start(self, run)
        return _json({"clock_ms": self.clock_ms()})

    def _finish(self, task: str, number: int) -> None:
        run = self.running.get((task, number))
        if run is not None:
            self._end(run, "done")

    def _stop_run(self, body: dict[str, Any]) -> Response:
        task, number = str(body["task"]), int(body["run"])
        self._highest[task] = max(number, self._highest.get(task, 0))
        run = self.running.get((task, number))
        if run is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self._end, run, "stopped")
        return _json({"clock_ms": self.clock_ms()})

    def _end(self, run: Run, how: str) -> None:
        if not self.up or self.running.get((run.task, run.run)) is not run:
            return
        if run.done is not None:
            run.done.cancel()
        del self.running[run.task, run.run]
        self._highest[run.task] = max(run.run, self._highest.get(run.task, 0))
        self._ends += 1
        self._ended.append([self._ends, run.task, run.run, how, ""])
        self._end_listed.set()
        self._end_listed = asyncio.Event()
        self._record("run ended", worker=self.name, task=run.task, run=run.run, how=how)

    async def _hold(self, body: dict[str, Any]) -> Response:
        seen = int(body.get("last_seen", 0))
        self._ended = [end for end in self._ended if end[0] > seen]
        if "until_ms" in body:
            self._extend_lease(int(body["until_ms"]))
        wait_s = min(2000, int(body.get("wait_ms", 0))) / 1000
        if wait_s and not self._ended:
            try:
                async with asyncio.timeout(wait_s):
                    await self._end_listed.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = []
        for run in self.running.values():
            age_s = now - run.started_at
            if run.done is None:
                percent = 100 if age_s > LASTING_STARTUP_S else 0
            else:
                percent = min(99, int(100 * age_s / max(0.001, run.duration_s)))
            running.append([run.task, run.run, "", percent, run.cpu])
        return _json(
            {
                "clock_ms": self.clock_ms(),
                "born": self.born,
                "running": running,
                "ended": self._ended[:MAX_LISTED_ENDS],
            }
        )
