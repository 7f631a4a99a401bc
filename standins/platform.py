"""Stand-in for the platform: log service, list of instances, tasks and faults.

In addition to the table of the design page it offers to stand-ins and tests:

``POST /control/instance {"instance", "dc", "rack", "cores", "memory_gb",
"accelerators"}`` adds an instance without a process; its reboots take ``reboot_s``.
``POST /control/lose_answers {"count", "of"}`` drops the next responses of ``log`` (the
default), ``instances`` (reboot and stop) or ``tasks`` after the write took effect.
``POST /control/remove {"instance"}`` removes an instance.
``POST /control/retention {"records"}`` sets how many records of a stream are kept.
``POST /control/task {"task", "cores", "memory_gb", "accelerators", "state"}`` sets the
actual usage of a task, or its state; ``POST /control/failing {"instance", "failing"}``
makes an instance fail every task that it starts.
``POST /register {"instance", "dc", "rack"}`` registers an endpoint stand-in that has
started; it returns the incarnation. ``GET /signals/{instance}?wait_ms=W`` is its long
poll and its heartbeat; an instance that does not poll for ``heartbeat_s`` is removed.
``POST /ended/{instance}`` reports the end of its process.
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
"""Interval of the checks of heartbeats, reboots and leases."""


class Stream(msgspec.Struct):
    """One append-only stream.

    :param low: offset of the oldest record kept
    """

    low: int = 0
    records: list[bytes] = []

    @property
    def high(self) -> int:
        """Offset of the newest record, or ``low - 1`` if none is kept."""
        return self.low + len(self.records) - 1


class Machine(msgspec.Struct):
    """The platform's record of an instance.

    :param managed: whether a stand-in process runs for it
    :param seen: monotonic time of its last poll, in seconds
    :param signal: signal pending for its process: empty, ``reboot`` or ``stop``
    :param back_at: monotonic time at which the reboot of an instance without a process
        ends, in seconds
    :param failing: whether every task that it starts fails
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
    """Resources in use by a task."""

    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: float = 0.0


class Task(msgspec.Struct):
    """A task on a worker.

    :param started: monotonic time in seconds; usage is listed ``usage_lag_s`` later
    :param deadline: monotonic time at which its lease expires, in seconds
    :param usage: actual usage, unlike the requested amounts above
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
    """Faults in effect.

    :param log: whether the log service is unavailable
    :param list: whether the lists of instances and tasks are unavailable
    :param lose_answers: number of responses to drop, by first part of the path
    :param list_lag_s: age of the list of instances
    :param slow_s: delay added to every response
    :param cut: data centres whose connections are closed without a response
    """

    log: bool = False
    list: bool = False
    lose_answers: dict[str, int] = {}
    list_lag_s: float = 2.0
    slow_s: float = 0.0
    cut: set[str] = set()


class Limits(msgspec.Struct, frozen=True):
    """Settings of the platform.

    :param retention: maximum of records kept in a stream
    :param appends_per_s: appends beyond this rate get status 503
    :param list_lag_s: age of the list of instances
    :param usage_lag_s: age of a task at which its usage is first listed
    :param reboot_s: duration of a reboot of an instance without a process
    :param heartbeat_s: time without a poll after which an instance is removed
    """

    retention: int = 10_000
    appends_per_s: float = 500.0
    list_lag_s: float = 2.0
    usage_lag_s: float = 1.0
    reboot_s: float = 0.5
    heartbeat_s: float = 3.0


DEFAULTS = Limits()


class BadRequestError(Exception):
    """A request that the protocol does not allow; answered with status 400."""


class Platform:
    """The platform's state and its HTTP interface."""

    def __init__(self, limits: Limits = DEFAULTS) -> None:
        """Initialize an empty log without instances; nothing listens yet."""
        self.limits = limits
        self.faults = Faults(list_lag_s=limits.list_lag_s, cut=set(), lose_answers={})
        self.streams: dict[str, Stream] = {}
        self.machines: dict[str, Machine] = {}
        self.tasks: dict[str, Task] = {}
        self.server = Server(self.handle)
        self._retention = limits.retention
        self._list_history: list[tuple[float, list[dict[str, str]]]] = [(0.0, [])]
        self._change_event = asyncio.Event()
        self._tokens = limits.appends_per_s
        self._refilled = time.monotonic()
        self._check_task: asyncio.Task[None] | None = None
        self._controls: dict[str, Callable[[dict[str, Any]], None]] = {
            "outage": self._set_outage,
            "lose_answers": self._set_lose_answers,
            "list_lag": self._set_list_lag,
            "leaving": self._set_leaving,
            "cut": self._set_cut,
            "truncate": self._truncate,
            "slow": self._set_slow,
            "instance": self._add_instance,
            "remove": self._remove_instance,
            "retention": self._set_retention,
            "task": self._set_task,
            "failing": self._set_failing,
        }

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start listening and checking leases and heartbeats in the background."""
        await self.server.start(host, port)
        self._check_task = asyncio.create_task(self._check_periodically())

    async def stop(self) -> None:
        """Stop without waiting for long polls to end."""
        if self._check_task is not None:
            self._check_task.cancel()
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
            return self._drop_response(req.method, parts[0]) or answer
        return answer

    def _drop_response(self, method: str, what: str) -> HandlerResult | None:
        """Drop the response to a write that took effect, if a fault requires it."""
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
            return json_response(
                {"error": "record is empty or exceeds the maximum size"}, 413
            )
        stream = self.streams.setdefault(name, Stream(records=[]))
        stream.records.append(data)
        offset = stream.high
        self._apply_retention(stream)
        self._notify_waiters()
        return json_response({"offset": offset})

    def _take_token(self) -> bool:
        """Take a token for one append; return false if the rate limit is reached."""
        now = time.monotonic()
        rate = self.limits.appends_per_s
        self._tokens = min(rate, self._tokens + (now - self._refilled) * rate)
        self._refilled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _apply_retention(self, stream: Stream) -> None:
        """Delete the oldest records beyond the retention."""
        surplus = len(stream.records) - self._retention
        if surplus > 0:
            del stream.records[:surplus]
            stream.low += surplus

    def _notify_waiters(self) -> None:
        """Wake every long poll."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def _wait_for_change(self, deadline: float) -> bool:
        """Wait for a change; return false once the deadline has passed."""
        try:
            async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
                await self._change_event.wait()
        except TimeoutError:
            return False
        return True

    async def _read(self, name: str, query: dict[str, str]) -> HandlerResult:
        first = int(query.get("from", "0"))
        max_records = int(query.get("max", "1000"))
        wait_s = min(int(query.get("wait_ms", "0")) / 1000, MAX_WAIT_S)
        deadline = time.monotonic() + wait_s
        while True:
            if self.faults.log:
                return json_response({"error": "unavailable"}, 503)
            stream = self.streams.get(name, Stream(records=[]))
            if first < stream.low:
                body = {"low": stream.low, "high": stream.high}
                return json_response(body, 410)
            if first <= stream.high or not await self._wait_for_change(deadline):
                return self._page(stream, first, max_records)

    def _page(self, stream: Stream, first: int, max_records: int) -> HandlerResult:
        """Return the records from an offset on, limited in number and size."""
        start = first - stream.low
        page: list[tuple[int, bytes]] = []
        size = 0
        for i, data in enumerate(stream.records[start : start + max_records]):
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
        visible = [rows for at, rows in self._list_history if at <= as_of]
        return json_response(
            {"as_of": as_of, "instances": visible[-1] if visible else []}
        )

    def _store_list(self) -> None:
        """Store the current list, which readers get once the lag has passed."""
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
        if rows != self._list_history[-1][1]:
            self._list_history.append((time.time(), rows))
            del self._list_history[:-10_000]
        self._notify_waiters()

    def _machine(self, name: str) -> Machine:
        if name not in self.machines:
            raise BadRequestError(f"no such instance: {name}")
        return self.machines[name]

    def _signal(self, name: str, what: str) -> HandlerResult:
        if name not in self.machines or self.machines[name].state == "gone":
            return json_response({"error": "no such instance"}, 404)
        machine = self.machines[name]
        machine.state = "leaving"
        machine.signal = what
        if not machine.managed:
            machine.back_at = time.monotonic() + self.limits.reboot_s
        self._store_list()
        return json_response({}, 202)

    def _register(self, value: dict[str, Any]) -> HandlerResult:
        name = value["instance"]
        present = self.machines.get(name)
        machine = present or Machine(name, value["dc"], value["rack"])
        for key in ("cores", "memory_gb", "accelerators"):
            setattr(machine, key, value.get(key, getattr(machine, key)))
        machine.managed = True
        machine.state = "live"
        machine.signal = ""
        machine.incarnation = uuid.uuid4().hex[:8]
        machine.seen = time.monotonic()
        self.machines[name] = machine
        self._store_list()
        return json_response({"incarnation": machine.incarnation})

    async def _poll(self, name: str, query: dict[str, str]) -> HandlerResult:
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            machine = self._machine(name)
            machine.seen = time.monotonic()
            if machine.signal or not await self._wait_for_change(deadline):
                break
        machine.seen = time.monotonic()
        registered = machine.state != "gone"
        return json_response({"signal": machine.signal, "registered": registered})

    def _ended(self, name: str) -> HandlerResult:
        self._remove_machine(self._machine(name))
        self._store_list()
        return json_response({})

    def _remove_machine(self, machine: Machine) -> None:
        """Remove an instance from the list and mark its tasks as lost."""
        machine.state = "gone"
        for task in self.tasks.values():
            if task.instance == machine.instance and task.state != "stopped":
                task.state = "lost"

    async def _check_periodically(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            now = time.monotonic()
            for machine in self.machines.values():
                self._check_machine(machine, now)
            for task in self.tasks.values():
                if task.deadline < now and task.state in ("running", "throttled"):
                    task.state = "lapsed"
            self._store_list()

    def _check_machine(self, machine: Machine, now: float) -> None:
        silent = now - machine.seen > self.limits.heartbeat_s
        if machine.managed and silent and machine.state != "gone":
            self._remove_machine(machine)
        if machine.back_at is None or now < machine.back_at:
            return
        machine.back_at = None
        self._remove_machine(machine)
        if machine.signal == "reboot":
            machine.state = "live"
            machine.incarnation = uuid.uuid4().hex[:8]
        machine.signal = ""

    # Tasks

    def _start_task(self, value: dict[str, Any]) -> HandlerResult:
        machine = self._machine(value["instance"])
        need = Usage(value["cores"], value["memory_gb"], value["accelerators"])
        if value["task"] in self.tasks:
            return json_response({"error": "a task with this name exists"}, 409)
        if machine.state != "live" or not self._fits(machine, need):
            return json_response(
                {"error": "instance is not live or lacks free resources"}, 409
            )
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
        """Return whether a task fits beside the actual usage of running tasks."""
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
            task_dc = self.machines[task.instance].dc
            if dc and task_dc != dc:
                continue
            row = msgspec.to_builtins(task)
            del row["started"], row["deadline"]
            row["dc"] = task_dc
            if now - task.started < self.limits.usage_lag_s:
                row["usage"] = None
            rows.append(row)
        return json_response({"as_of": time.time(), "tasks": rows})

    def _change_task(self, name: str, what: str) -> HandlerResult:
        task = self.tasks.get(name)
        active = ("running", "throttled")
        if task is None or task.state not in active:
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
        self._notify_waiters()
        return json_response({})

    def _set_outage(self, value: dict[str, Any]) -> None:
        self.faults.log = bool(value.get("log", self.faults.log))
        self.faults.list = bool(value.get("list", self.faults.list))

    def _set_lose_answers(self, value: dict[str, Any]) -> None:
        what = value.get("of", "log")
        if what not in ("log", "instances", "tasks"):
            raise BadRequestError(f"unknown kind of response to drop: {what}")
        self.faults.lose_answers[what] = int(value["count"])

    def _set_list_lag(self, value: dict[str, Any]) -> None:
        self.faults.list_lag_s = float(value["seconds"])

    def _set_leaving(self, value: dict[str, Any]) -> None:
        self._machine(value["instance"]).state = "leaving"
        self._store_list()

    def _set_cut(self, value: dict[str, Any]) -> None:
        dc = str(value["dc"])
        if not value["cut"]:
            self.faults.cut.discard(dc)
            return
        self.faults.cut.add(dc)
        # Closing also drops the responses to requests in progress.
        for peer in self.server.peers:
            if peer.dc == dc:
                peer.writer.close()

    def _truncate(self, value: dict[str, Any]) -> None:
        high = int(value["high"])
        for stream in self.streams.values():
            del stream.records[max(0, high + 1 - stream.low) :]
            stream.low = min(stream.low, high + 1)

    def _set_slow(self, value: dict[str, Any]) -> None:
        self.faults.slow_s = float(value["seconds"])

    def _add_instance(self, value: dict[str, Any]) -> None:
        machine = msgspec.convert(value, Machine)
        machine.incarnation = uuid.uuid4().hex[:8]
        self.machines[machine.instance] = machine
        self._store_list()

    def _remove_instance(self, value: dict[str, Any]) -> None:
        self._remove_machine(self._machine(value["instance"]))
        self._store_list()

    def _set_retention(self, value: dict[str, Any]) -> None:
        self._retention = int(value["records"])
        for stream in self.streams.values():
            self._apply_retention(stream)

    def _set_task(self, value: dict[str, Any]) -> None:
        task = self.tasks[value["task"]]
        task.state = str(value.get("state", task.state))
        changes = {k: float(value[k]) for k in Usage.__struct_fields__ if k in value}
        task.usage = msgspec.structs.replace(task.usage, **changes)

    def _set_failing(self, value: dict[str, Any]) -> None:
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
            platform._add_instance(row)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await platform.start(args.address, args.port)
    print(f"listening {args.address}:{platform.server.port}", flush=True)
    await stop.wait()
    await platform.stop()


def main(argv: list[str] | None = None) -> int:
    """Run the platform until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--address", default="127.0.0.1", help="IP to listen on")
    parser.add_argument("--port", type=int, default=0, help="0 selects a free port")
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
