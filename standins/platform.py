"""Stand-in of the platform: log service, list of instances, tasks and faults.

Beyond the table of the design page it offers, for the stand-ins and for tests:

``POST /control/instance {"instance", "dc", "rack", "cores", "memory_gb",
"accelerators"}`` adds an instance without a process; its reboots take ``reboot_s``.
``POST /control/lose_answers {"count", "of"}`` loses answers of ``log`` (the default),
``instances`` (reboot and stop) or ``tasks`` after the write took effect.
``POST /control/remove {"instance"}`` makes an instance vanish.
``POST /control/retention {"records"}`` sets how many records of a stream are kept.
``POST /control/task {"task", "cores", "memory_gb", "accelerators", "state"}`` sets what
a task really uses, or its state; ``POST /control/failing {"instance", "failing"}``
makes an instance fail every task that it starts.
``POST /register {"instance", "dc", "rack"}`` is how an endpoint stand-in announces its
start; it returns the incarnation. ``GET /signals/{instance}?wait_ms=W`` is its long
poll and its heartbeat; an instance that does not poll for ``heartbeat_s`` vanishes.
``POST /ended/{instance}`` announces the end of its process.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import time
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from standins.http import (
    Close,
    HandlerResult,
    Peer,
    Request,
    Response,
    Server,
    json_response,
)

__all__ = ["Platform", "main"]

MAX_RECORD_BYTES = 256 * 1024
MAX_READ_BYTES = 512 * 1024
MAX_WAIT_S = 30.0
CHECK_S = 0.1
"""Seconds between checks of heartbeats, reboots and leases."""


class Stream(msgspec.Struct):
    """One append-only stream.

    :param low: offset of the first record that is kept
    """

    low: int = 0
    records: list[bytes] = []

    @property
    def high(self) -> int:
        """Offset of the newest record, ``low - 1`` when none is kept."""
        return self.low + len(self.records) - 1


class Machine(msgspec.Struct):
    """An instance as the platform knows it.

    :param managed: whether a stand-in process reports for it
    :param seen: monotonic seconds of its last poll
    :param signal: what its process is to do: empty, ``reboot`` or ``stop``
    :param back_at: monotonic seconds at which an instance without a process returns
    """

    instance: str
    dc: str
    rack: str
    cores: float = 16
    memory_gb: float = 32
    accelerators: float = 0
    managed: bool = False
    state: str = "live"
    incarnation: str = ""
    seen: float = 0.0
    signal: str = ""
    back_at: float | None = None
    failing: bool = False


class Usage(msgspec.Struct):
    """Resources that a task uses."""

    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: float = 0.0


class Task(msgspec.Struct):
    """A task on a worker.

    :param started: monotonic seconds; usage is reported ``usage_lag_s`` later
    :param deadline: monotonic seconds at which its lease lapses
    :param usage: what it really uses
    """

    task: str
    instance: str
    team: str
    cores: float
    memory_gb: float
    accelerators: float
    priority: int
    lease_s: float
    started: float
    deadline: float
    usage: Usage
    state: str = "running"


class Faults(msgspec.Struct):
    """Faults that are switched on."""

    log: bool = False
    list: bool = False
    lose_answers: dict[str, int] = {}
    list_lag_s: float = 2.0
    slow_s: float = 0.0
    cut: set[str] = set()


class Limits(msgspec.Struct, frozen=True):
    """Settings of the platform.

    :param retention: records kept in a stream
    :param appends_per_s: appends beyond this rate are answered with 503
    :param list_lag_s: age of the list of instances
    """

    retention: int = 10_000
    appends_per_s: float = 500.0
    list_lag_s: float = 2.0
    usage_lag_s: float = 1.0
    reboot_s: float = 0.5
    heartbeat_s: float = 3.0


DEFAULTS = Limits()


class BadRequestError(Exception):
    """A request that the protocol does not allow."""


class Platform:
    """The platform's state and its HTTP interface."""

    def __init__(self, limits: Limits = DEFAULTS) -> None:
        """Start with an empty log and no instances."""
        self.limits = limits
        self.faults = Faults(list_lag_s=limits.list_lag_s, cut=set(), lose_answers={})
        self.streams: dict[str, Stream] = {}
        self.machines: dict[str, Machine] = {}
        self.tasks: dict[str, Task] = {}
        self.server = Server(self.handle)
        self._retention = limits.retention
        self._lists: list[tuple[float, list[dict[str, str]]]] = [(0.0, [])]
        self._changed = asyncio.Event()
        self._tokens = limits.appends_per_s
        self._refilled = time.monotonic()
        self._checker: asyncio.Task[None] | None = None
        self._controls: dict[str, Callable[[dict[str, Any]], None]] = {
            "outage": self._outage,
            "lose_answers": self._lose_answers,
            "list_lag": self._list_lag,
            "leaving": self._leaving,
            "cut": self._cut,
            "truncate": self._truncate,
            "slow": self._slow,
            "instance": self._add,
            "remove": self._remove,
            "retention": self._retain,
            "task": self._set_task,
            "failing": self._failing,
        }

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen and check leases and heartbeats in the background."""
        await self.server.start(host, port)
        self._checker = asyncio.create_task(self._check())

    async def stop(self) -> None:
        """Stop; long polls are not waited for."""
        if self._checker is not None:
            self._checker.cancel()
        await self.server.stop(grace_s=0.2)

    async def handle(self, req: Request, peer: Peer) -> HandlerResult:
        """Handle one request of the platform interface or a control request."""
        parts = [p for p in req.path.split("/") if p]
        if parts[:1] == ["control"]:
            return self._control(req, parts)
        peer.dc = req.headers.get("platform-dc", "")
        if peer.dc in self.faults.cut:
            return Close()
        try:
            answer = await self._route(req, parts)
        except (BadRequestError, ValueError, KeyError, TypeError) as exc:
            answer = json_response({"error": repr(exc)}, 400)
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if isinstance(answer, Response) and answer.status < 300:
            return self._lose(req.method, parts[0]) or answer
        return answer

    def _lose(self, method: str, what: str) -> HandlerResult | None:
        """Lose the answer of a write that took effect, as often as was asked for."""
        if method != "POST" or self.faults.lose_answers.get(what, 0) <= 0:
            return None
        self.faults.lose_answers[what] -= 1
        return Close()

    async def _route(self, req: Request, parts: list[str]) -> HandlerResult:
        match [req.method, *parts]:
            case ["POST", "log", stream]:
                return self._append(stream, req.body)
            case ["GET", "log", stream]:
                return await self._read(stream, req.query)
            case ["GET", "instances"]:
                return self._list()
            case ["POST", "instances", name, "reboot" | "stop" as what]:
                return self._signal(name, what)
            case ["POST", "tasks"]:
                return self._start_task(req.json())
            case ["GET", "tasks"]:
                return self._list_tasks(req.query.get("dc", ""))
            case ["POST", "tasks", name, what]:
                return self._change_task(name, what)
            case ["POST", "register"]:
                return self._register(req.json())
            case ["GET", "signals", name]:
                return await self._poll(name, req.query)
            case ["POST", "ended", name]:
                return self._ended(name)
        return json_response({"error": "no such path"}, 404)

    # Log

    def _append(self, name: str, data: bytes) -> HandlerResult:
        if self.faults.log or not self._take_token():
            return json_response({"error": "unavailable"}, 503)
        if not 0 < len(data) <= MAX_RECORD_BYTES:
            return json_response({"error": "record size"}, 413)
        stream = self.streams.setdefault(name, Stream(records=[]))
        stream.records.append(data)
        offset = stream.high
        self._forget(stream)
        self._wake()
        return json_response({"offset": offset})

    def _take_token(self) -> bool:
        """Whether the append rate allows one more."""
        now = time.monotonic()
        rate = self.limits.appends_per_s
        self._tokens = min(rate, self._tokens + (now - self._refilled) * rate)
        self._refilled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _forget(self, stream: Stream) -> None:
        """Drop the records beyond the retention."""
        surplus = len(stream.records) - self._retention
        if surplus > 0:
            del stream.records[:surplus]
            stream.low += surplus

    def _wake(self) -> None:
        """Wake every long poll."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait(self, deadline: float) -> bool:
        """Wait for a change; false when the deadline has passed."""
        try:
            async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def _read(self, name: str, query: dict[str, str]) -> HandlerResult:
        first = int(query.get("from", "0"))
        most = int(query.get("max", "1000"))
        wait_s = min(int(query.get("wait_ms", "0")) / 1000, MAX_WAIT_S)
        deadline = time.monotonic() + wait_s
        while True:
            if self.faults.log:
                return json_response({"error": "unavailable"}, 503)
            stream = self.streams.get(name, Stream(records=[]))
            if first < stream.low:
                body = {"low": stream.low, "high": stream.high}
                return json_response(body, 410)
            if first <= stream.high or not await self._wait(deadline):
                return self._page(stream, first, most)

    def _page(self, stream: Stream, first: int, most: int) -> HandlerResult:
        """Return records from an offset on, bounded by number and size."""
        start = first - stream.low
        page: list[tuple[int, bytes]] = []
        size = 0
        for i, data in enumerate(stream.records[start : start + most]):
            size += len(data)
            if page and size > MAX_READ_BYTES:
                break
            page.append((first + i, data))
        body = {"low": stream.low, "high": stream.high, "records": page}
        headers = {"Content-Type": "application/msgpack"}
        return Response(200, msgspec.msgpack.encode(body), headers)

    # Instances

    def _list(self) -> HandlerResult:
        if self.faults.list:
            return json_response({"error": "unavailable"}, 503)
        as_of = time.time() - self.faults.list_lag_s
        found = [rows for at, rows in self._lists if at <= as_of]
        return json_response({"as_of": as_of, "instances": found[-1] if found else []})

    def _note(self) -> None:
        """Remember the list of now, which readers see after the lag."""
        rows = [
            {
                "instance": m.instance,
                "dc": m.dc,
                "rack": m.rack,
                "state": m.state,
                "incarnation": m.incarnation,
            }
            for m in self.machines.values()
            if m.state != "gone"
        ]
        if rows != self._lists[-1][1]:
            self._lists.append((time.time(), rows))
            del self._lists[:-10_000]
        self._wake()

    def _machine(self, name: str) -> Machine:
        if name not in self.machines:
            raise BadRequestError(f"no instance {name}")
        return self.machines[name]

    def _signal(self, name: str, what: str) -> HandlerResult:
        if name not in self.machines or self.machines[name].state == "gone":
            return json_response({"error": "no such instance"}, 404)
        machine = self.machines[name]
        machine.state = "leaving"
        machine.signal = what
        if not machine.managed:
            machine.back_at = time.monotonic() + self.limits.reboot_s
        self._note()
        return json_response({}, 202)

    def _register(self, value: dict[str, Any]) -> HandlerResult:
        name = value["instance"]
        known = self.machines.get(name)
        machine = known or Machine(name, value["dc"], value["rack"])
        for key in ("cores", "memory_gb", "accelerators"):
            setattr(machine, key, value.get(key, getattr(machine, key)))
        machine.managed = True
        machine.state = "live"
        machine.signal = ""
        machine.incarnation = uuid.uuid4().hex[:8]
        machine.seen = time.monotonic()
        self.machines[name] = machine
        self._note()
        return json_response({"incarnation": machine.incarnation})

    async def _poll(self, name: str, query: dict[str, str]) -> HandlerResult:
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            machine = self._machine(name)
            machine.seen = time.monotonic()
            if machine.signal or not await self._wait(deadline):
                break
        machine.seen = time.monotonic()
        registered = machine.state != "gone"
        return json_response({"signal": machine.signal, "registered": registered})

    def _ended(self, name: str) -> HandlerResult:
        self._gone(self._machine(name))
        self._note()
        return json_response({})

    def _gone(self, machine: Machine) -> None:
        """Take an instance off the list; its tasks are lost."""
        machine.state = "gone"
        for task in self.tasks.values():
            if task.instance == machine.instance and task.state != "stopped":
                task.state = "lost"

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            now = time.monotonic()
            for machine in self.machines.values():
                self._check_machine(machine, now)
            for task in self.tasks.values():
                if task.deadline < now and task.state in ("running", "throttled"):
                    task.state = "lapsed"
            self._note()

    def _check_machine(self, machine: Machine, now: float) -> None:
        silent = now - machine.seen > self.limits.heartbeat_s
        if machine.managed and silent and machine.state != "gone":
            self._gone(machine)
        if machine.back_at is None or now < machine.back_at:
            return
        machine.back_at = None
        self._gone(machine)
        if machine.signal == "reboot":
            machine.state = "live"
            machine.incarnation = uuid.uuid4().hex[:8]
        machine.signal = ""

    # Tasks

    def _start_task(self, value: dict[str, Any]) -> HandlerResult:
        machine = self._machine(value["instance"])
        need = Usage(value["cores"], value["memory_gb"], value["accelerators"])
        if value["task"] in self.tasks:
            return json_response({"error": "the task exists"}, 409)
        if machine.state != "live" or not self._fits(machine, need):
            return json_response({"error": "does not fit"}, 409)
        now = time.monotonic()
        self.tasks[value["task"]] = Task(
            task=value["task"],
            instance=value["instance"],
            team=value["team"],
            cores=need.cores,
            memory_gb=need.memory_gb,
            accelerators=need.accelerators,
            priority=value.get("priority", 0),
            lease_s=value["lease_s"],
            started=now,
            deadline=now + value["lease_s"],
            usage=need,
            state="failed" if machine.failing else "running",
        )
        return json_response({}, 201)

    def _fits(self, machine: Machine, need: Usage) -> bool:
        """Whether what runs and the new task fit by their real usage."""
        running = [
            t.usage
            for t in self.tasks.values()
            if t.instance == machine.instance and t.state in ("running", "throttled")
        ]
        for key in ("cores", "memory_gb", "accelerators"):
            used = sum(getattr(u, key) for u in running)
            if used + getattr(need, key) > getattr(machine, key):
                return False
        return True

    def _list_tasks(self, dc: str) -> HandlerResult:
        if self.faults.list:
            return json_response({"error": "unavailable"}, 503)
        now = time.monotonic()
        rows = []
        for task in self.tasks.values():
            where = self.machines[task.instance].dc
            if dc and where != dc:
                continue
            row = msgspec.to_builtins(task)
            del row["started"], row["deadline"]
            row["dc"] = where
            if now - task.started < self.limits.usage_lag_s:
                row["usage"] = None
            rows.append(row)
        return json_response({"as_of": time.time(), "tasks": rows})

    def _change_task(self, name: str, what: str) -> HandlerResult:
        task = self.tasks.get(name)
        live = ("running", "throttled")
        if task is None or task.state not in live:
            return json_response({"error": "no such running task"}, 404)
        if what == "renew":
            task.deadline = time.monotonic() + task.lease_s
        elif what == "checkpoint":
            task.state = "checkpointed"
        elif what == "throttle":
            task.state = "throttled"
            task.usage = msgspec.structs.replace(task.usage, cores=task.usage.cores / 2)
        elif what == "stop":
            task.state = "stopped"
        else:
            return json_response({"error": "no such command"}, 404)
        return json_response({})

    # Faults

    def _control(self, req: Request, parts: list[str]) -> HandlerResult:
        name = parts[1] if len(parts) == 2 else ""
        if req.method != "POST" or name not in self._controls:
            return json_response({"error": "no such control"}, 404)
        try:
            self._controls[name](req.json())
        except (BadRequestError, ValueError, KeyError, TypeError) as exc:
            return json_response({"error": repr(exc)}, 400)
        self._wake()
        return json_response({})

    def _outage(self, value: dict[str, Any]) -> None:
        self.faults.log = bool(value.get("log", self.faults.log))
        self.faults.list = bool(value.get("list", self.faults.list))

    def _lose_answers(self, value: dict[str, Any]) -> None:
        what = value.get("of", "log")
        if what not in ("log", "instances", "tasks"):
            raise BadRequestError(f"no answers of {what}")
        self.faults.lose_answers[what] = int(value["count"])

    def _list_lag(self, value: dict[str, Any]) -> None:
        self.faults.list_lag_s = float(value["seconds"])

    def _leaving(self, value: dict[str, Any]) -> None:
        self._machine(value["instance"]).state = "leaving"
        self._note()

    def _cut(self, value: dict[str, Any]) -> None:
        dc = str(value["dc"])
        if not value["cut"]:
            self.faults.cut.discard(dc)
            return
        self.faults.cut.add(dc)
        # Answers to requests that are being worked on are lost.
        for peer in self.server.peers:
            if peer.dc == dc:
                peer.writer.close()

    def _truncate(self, value: dict[str, Any]) -> None:
        high = int(value["high"])
        for stream in self.streams.values():
            del stream.records[max(0, high + 1 - stream.low) :]
            stream.low = min(stream.low, high + 1)

    def _slow(self, value: dict[str, Any]) -> None:
        self.faults.slow_s = float(value["seconds"])

    def _add(self, value: dict[str, Any]) -> None:
        machine = msgspec.convert(value, Machine)
        machine.incarnation = uuid.uuid4().hex[:8]
        self.machines[machine.instance] = machine
        self._note()

    def _remove(self, value: dict[str, Any]) -> None:
        self._gone(self._machine(value["instance"]))
        self._note()

    def _retain(self, value: dict[str, Any]) -> None:
        self._retention = int(value["records"])
        for stream in self.streams.values():
            self._forget(stream)

    def _set_task(self, value: dict[str, Any]) -> None:
        task = self.tasks[value["task"]]
        task.state = str(value.get("state", task.state))
        known = {k: float(value[k]) for k in Usage.__struct_fields__ if k in value}
        task.usage = msgspec.structs.replace(task.usage, **known)

    def _failing(self, value: dict[str, Any]) -> None:
        self._machine(value["instance"]).failing = bool(value["failing"])


async def _run(args: argparse.Namespace) -> None:
    limits = Limits(
        retention=args.retention,
        appends_per_s=args.appends_per_s,
        list_lag_s=args.list_lag_s,
        usage_lag_s=args.usage_lag_s,
        reboot_s=args.reboot_s,
        heartbeat_s=args.heartbeat_s,
    )
    platform = Platform(limits)
    if args.instances:
        for row in json.loads(Path(args.instances).read_text(encoding="utf-8")):
            platform._add(row)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await platform.start(args.address, args.port)
    print(f"listening {args.address}:{platform.server.port}", flush=True)
    await stop.wait()
    await platform.stop()


def main(argv: list[str] | None = None) -> int:
    """Run the platform until SIGTERM."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--address", default="127.0.0.1", help="IP to listen on")
    parser.add_argument("--port", type=int, default=0, help="0 takes a free port")
    parser.add_argument("--instances", help="JSON file with a list of instances")
    for name in DEFAULTS.__struct_fields__:
        value = getattr(DEFAULTS, name)
        option = "--" + name.replace("_", "-")
        parser.add_argument(
            option, type=type(value), default=value, help=f"default {value}"
        )
    asyncio.run(_run(parser.parse_args(argv)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
