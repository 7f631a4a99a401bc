"""Stand-in for a worker (PROTOCOL, "Running work items" and "Service discovery").

Its clock counts from its start. It keeps a history of all runs and of what was taken
note of, from which the rule TWICE is checked.
"""

from __future__ import annotations

import asyncio
import json
import time
import zlib
from collections.abc import Callable

from parts.http import Answer, Request, Server, json_answer
from parts.store import Store

__all__ = ["Run", "Worker"]

MAX_HOLD_MS = 6000
ENDS_AT_A_TIME = 500


class Run:
    """One run of a work item, with its history in seconds of the steady clock."""

    def __init__(self, worker: Worker, task: str, number: int) -> None:
        """Start the run now."""
        self.worker = worker
        self.task = task
        self.number = number
        self.started = time.monotonic()
        self.ended = 0.0
        self.how = ""
        self.end_number = 0
        self.noted = 0.0

    def saved(self, interval_s: float) -> str:
        """Return the newest checkpoint, 16 characters; empty if there is none."""
        until = self.ended or time.monotonic()
        count = int((until - self.started) / interval_s) if interval_s else 0
        return f"{self.number:04x}{count:04x}{zlib.crc32(self.task.encode()):08x}" * (
            count > 0
        )


class Worker:
    """A worker of one service.

    :param duration_s: returns how long a work item takes
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        capacity: dict[str, int],
        rack: str,
        store: Store,
        duration_s: Callable[[str], float],
    ) -> None:
        """Create a worker that does not listen yet."""
        self.id = f"i-{name}"
        self.machine = f"m-{name}"
        self.service, self.zone, self.rack = service, zone, rack
        self.capacity = capacity
        self.needs: dict[str, dict[str, int]] = {}
        self.used: dict[str, int] = {}
        self.saving: set[str] = set()
        self.save_interval_s = 1.0
        self.history: list[Run] = []
        self.lapses: list[float] = []
        self.calls: dict[str, int] = {}
        self._store = store
        self._duration_s = duration_s
        self._born = round(time.time() * 1000)
        self._zero = time.monotonic()
        self._until_ms = 0
        self._fence = 0
        self._running: dict[str, Run] = {}
        self._highest: dict[str, int] = {}
        self._ends: list[Run] = []
        self._end_count = 0
        self._ended = asyncio.Event()
        self._sequence = 0
        self.gone = False
        self.server = Server(self._handle)

    async def start(self) -> None:
        """Listen, and register in the store from now on."""
        await self.server.start()
        asyncio.ensure_future(self._register())
        asyncio.ensure_future(self._watch_lease())

    def leave(self) -> None:
        """End as the machine does: nothing answers, and all that runs terminates."""
        self.gone = True
        for run in list(self._running.values()):
            run.ended, run.how = time.monotonic(), "machine"
        self._running.clear()
        self.used.clear()
        self._store.write("keyed.servers", self.id, b"")

    async def crash_and_start_again(self, down_s: float) -> None:
        """Lose power, and start again under the same id and address.

        It knows nothing of before. Connections of before are silent, not reset.
        """
        self.gone = True
        self.server.silence()
        for run in list(self._running.values()):
            run.ended, run.how = time.monotonic(), "crash"
        self._running.clear()
        self.used.clear()
        self._highest.clear()
        self._ends.clear()
        self._end_count = self._fence = self._until_ms = 0
        await asyncio.sleep(down_s)
        self.server.silence()
        self._born = round(time.time() * 1000)
        self._zero = time.monotonic()
        self.gone = False

    def running_tasks(self) -> list[str]:
        """Return the work items that run now."""
        return list(self._running)

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._zero) * 1000)

    async def _register(self) -> None:
        while True:
            if self.gone:
                await asyncio.sleep(0.01)
                continue
            self._sequence += 1
            entry = {
                "service": self.service,
                "address": self.server.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": self.capacity,
                "labels": ["a", self.rack],
                "machine": self.machine,
                "clock_ms": self._clock_ms(),
                "sequence": self._sequence,
                "born": self._born,
            }
            self._store.write("keyed.servers", self.id, json.dumps(entry).encode())
            await asyncio.sleep(1.5)

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            if self._running and self._clock_ms() > self._until_ms:
                for run in list(self._running.values()):
                    self._end(run, "lapsed")
            if self._until_ms and self._clock_ms() > self._until_ms:
                self.lapses.append(time.monotonic())
                self._until_ms = 0

    def _extend(self, until_ms: int) -> None:
        limit = self._clock_ms() + MAX_HOLD_MS
        self._until_ms = max(self._until_ms, min(until_ms, limit))

    def _end(self, run: Run, how: str) -> None:
        if run.ended:
            return
        run.ended, run.how = time.monotonic(), how
        self._running.pop(run.task, None)
        self._use(run.task, -1)
        self._end_count += 1
        run.end_number = self._end_count
        self._ends.append(run)
        self._ended.set()
        self._ended = asyncio.Event()

    def _reply(self, status: int, fields: dict[str, object] | None = None) -> Answer:
        return json_answer(status, {"clock_ms": self._clock_ms(), **(fields or {})})

    async def _handle(self, request: Request) -> Answer:
        if self.gone:
            return Answer(0)
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        if request.path == "/health":
            return Answer(200)
        wanted = request.headers.get("primrosepitch-expected-instance", self.id)
        if wanted != self.id:
            return self._reply(421)
        order = request.json()
        token = order.get("fencing_token", 0)
        if token < self._fence:
            return self._reply(409, {"reason": "fence"})
        self._fence = token
        if request.path == "/run-start":
            return self._start(order)
        if request.path == "/run-stop":
            return self._stop(order)
        if request.path == "/hold":
            return await self._hold(order)
        return self._reply(200)

    def _start(self, order: dict) -> Answer:
        task, number, until_ms = order["task"], order["run"], order["until_ms"]
        present = self._running.get(task)
        if present is not None and present.number == number:
            self._extend(until_ms)
            return self._reply(200)
        if until_ms <= self._clock_ms():
            return self._reply(409, {"reason": "late"})
        if number <= self._highest.get(task, 0) or present is not None:
            self._extend(until_ms)
            return self._reply(409, {"reason": "old"})
        if not self._fits(task):
            self._extend(until_ms)
            return self._reply(409, {"reason": "room"})
        self._extend(until_ms)
        run = Run(self, task, number)
        self._running[task] = run
        self._use(task, 1)
        self._highest[task] = number
        self.history.append(run)
        loop = asyncio.get_running_loop()
        loop.call_later(self._duration_s(task), self._end, run, "done")
        return self._reply(200)

    def _fits(self, task: str) -> bool:
        needs = self._needs(task)
        return all(
            self.used.get(kind, 0) + needs.get(kind, 0) <= amount
            for kind, amount in self.capacity.items()
        )

    def _use(self, task: str, sign: int) -> None:
        for kind, amount in self._needs(task).items():
            self.used[kind] = self.used.get(kind, 0) + sign * amount

    def _needs(self, task: str) -> dict[str, int]:
        return self.needs.get(task.partition(".")[0], {})

    def _stop(self, order: dict) -> Answer:
        task, number = order["task"], order["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._running.get(task)
        if run is not None and run.number <= number:
            asyncio.get_running_loop().call_later(0.1, self._end, run, "stopped")
        return self._reply(200)

    async def _hold(self, order: dict) -> Answer:
        if "until_ms" in order:
            self._extend(order["until_ms"])
        seen = order.get("last_seen", 0)
        for run in self._ends:
            if run.end_number <= seen:
                run.noted = time.monotonic()
        self._ends = [run for run in self._ends if run.end_number > seen]
        if not self._ends and order.get("wait_ms"):
            try:
                async with asyncio.timeout(min(2.0, order["wait_ms"] / 1000)):
                    await self._ended.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [r.task, r.number, self._saved(r), min(99, self._percent(r, now)), 0]
            for r in self._running.values()
        ]
        ended = [
            [r.end_number, r.task, r.number, r.how, self._saved(r)]
            for r in self._ends[:ENDS_AT_A_TIME]
        ]
        return self._reply(
            200, {"running": running, "ended": ended, "born": self._born}
        )

    def _saved(self, run: Run) -> str:
        saving = run.task.partition(".")[0] in self.saving
        return run.saved(self.save_interval_s) if saving else ""

    def _percent(self, run: Run, now: float) -> int:
        return int(100 * (now - run.started) / self._duration_s(run.task))
