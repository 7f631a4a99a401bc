"""A small deployment on loopback: the project's program, and stand-ins around it.

The program runs with the command of the deploy file. The stand-ins of the store, the
workers, the machines' service, the platform (settings, readiness, restarts) and the
clients run in the process of the script.
"""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import signal
import socket
import subprocess
import tempfile
import time
import traceback
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from parts.http import Answer, Request, Server, call, json_answer
from parts.store import Store
from parts.worker import Run, Worker

__all__ = ["Deployment", "Node", "play", "twice"]

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "platform/node.py"]
LIMIT_S = 115.0
"""Time after which a case is given up; it may run for 120 s."""

PASSED_ON = ("PATH", "HOME", "JAVA_HOME", "LANG")

BOUNDS = {
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "grace_s": 6.0,
    "config_apply_ms": 2000,
    "max_hold_ms": 6000,
    "stop_ms": 400,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "notice_ms": 4500,
    "migration_s": 1.5,
    "maintenance_s": 2.0,
    "fencing_required": True,
    "lease_ms": 3000,
}


def free_ports(count: int) -> int:
    """Return the first of several successive ports that are free now."""
    while True:
        first = 20000 + secrets.randbelow(12000)
        try:
            for port in range(first, first + count):
                with socket.socket() as trial:
                    trial.bind(("127.0.0.1", port))
        except OSError:
            continue
        return first


class Node:
    """One process of the project on a front machine."""

    def __init__(self, name: str, zone: str, folder: Path) -> None:
        """Choose ports and write nothing yet."""
        self.name, self.zone = name, zone
        self.ports = free_ports(18)
        self.front = f"127.0.0.1:{self.ports}"
        self.readiness = f"127.0.0.1:{self.ports + 1}"
        self.file = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.ended_by_itself = 0
        self.stopped_by_script = False

    def start(self, settings: dict[str, Any]) -> None:
        """Start the process as the deploy file says."""
        own = {
            "node_name": self.name,
            "role": "node",
            "machine_class": "front",
            "serves": ["front"],
            "ip_address": "127.0.0.1",
            "zone": self.zone,
            "listen_addresses": {"front": self.front, "readiness": self.readiness},
            "internal_port_range": [self.ports + 2, self.ports + 17],
        }
        self.file.write_text(json.dumps({**settings, **own}))
        env = {name: os.environ[name] for name in PASSED_ON if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["PRIMROSEPITCH_SETTINGS"] = str(self.file)
        self.stopped_by_script = False
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Deployment:
    """Nodes and stand-ins; ``record`` writes what happened.

    :param names: names of the nodes, each with its zone
    """

    def __init__(
        self,
        names: dict[str, str],
        folder: Path,
        keep_s: float = 300.0,
        services: tuple[str, ...] = ("press",),
    ) -> None:
        """Create the parts; nothing runs yet."""
        self.folder = folder
        self.store = Store(keep_s)
        self.services = services
        self.workers: list[Worker] = []
        self.cloud = Server(self._machines)
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.nodes = [Node(name, zone, self.temporary) for name, zone in names.items()]
        self.store_address: dict[str, str] = {}
        self.zero = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self._host = "jobs.example"
        self._key = "key-of-tenant-1"
        self._keeper: asyncio.Task[None] | None = None
        self.restart_after_s = 1.0

    def record(self, text: str) -> None:
        """Write a line with the time since the start."""
        self._record.write(f"{time.monotonic() - self.zero:8.3f} {text}\n")
        self._record.flush()

    # Set-up

    async def start(self, manifest_extra: dict[str, Any] | None = None) -> None:
        """Start everything, and wait until all nodes are ready."""
        await self.store.server.start()
        await self.cloud.start()
        for worker in self.workers:
            await worker.start()
        routes = [
            {
                "name": f"r-{service}",
                "host": self._host,
                "path_prefix": f"/{service}/",
                "kind": "unsafe",
                "timeout_ms": 3000,
                "target_duration_ms": 600,
                "priority": 0,
                "service": service,
                "max_attempts": 2,
                "stretch": 1.6,
                "allow_anonymous": False,
            }
            for service in self.services
        ]
        manifest = {
            "version": 3,
            "routes": routes,
            "services": [
                {
                    "name": service,
                    "health_path": "/health",
                    "admission_check": True,
                    "spare": False,
                }
                for service in self.services
            ],
            "limits": {},
            "tenants": [{"name": "t1", "api_keys": [self._key], "weight": 10}],
            **(manifest_extra or {}),
        }
        self.store.write("keyed.op", "config", json.dumps(manifest).encode())
        for node in self.nodes:
            node.start(self.settings(node))
        self._keeper = asyncio.ensure_future(self._restart_ended())
        await self.until(self.all_ready, 30.0, "all nodes are ready")

    def settings(self, node: Node) -> dict[str, Any]:
        """Return the fields that are alike on all machines."""
        address = self.store_address.get(node.name, self.store.server.address)
        return {
            "region": "r-1",
            "bootstrap": True,
            "limits": {"cpu_share": 0.537, "cpu_cores": 2, "memory_mb": 300},
            "heartbeat_interval_ms": 1500,
            "bounds": BOUNDS,
            "orders": "call",
            "platform": {
                "address": address,
                "form": "log",
                "parts": 24,
                "keep_s": self.store.keep_s,
                "record_bytes": 262144,
                "call_bytes": 2097152,
            },
            "cloud": {
                "address": self.cloud.address,
                "rate_per_s": 64.0,
                "duties": [],
                "duty_per_s": 64.0,
            },
        }

    async def _machines(self, request: Request) -> Answer:
        if request.path != "/machines":
            return json_answer(409, {"reason": "busy"})
        rows = [
            {
                "machine": worker.machine,
                "pool": worker.service,
                "state": "up",
                "zone": worker.zone,
                "labels": ["a", worker.rack],
                "capacity": worker.capacity,
                "id": worker.id,
            }
            for worker in self.workers
        ]
        return json_answer(200, {"machines": rows, "next_token": None})

    async def all_ready(self) -> bool:
        """Return whether every node says that it is ready."""
        answers = await asyncio.gather(
            *(call(n.readiness, "GET", "/readiness") for n in self.nodes)
        )
        return all(answer.status == 200 for answer in answers)

    async def until(self, check: Any, limit_s: float, what: str) -> bool:
        """Wait until a check holds; return whether it does in time."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await check():
                self.record(f"{what}: yes")
                return True
            await asyncio.sleep(0.05)
        self.record(f"{what}: not within {limit_s} s")
        return False

    # The platform

    async def _restart_ended(self) -> None:
        """Restart processes after a short delay, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            for node in self.nodes:
                if node.process is None or node.process.poll() is None:
                    continue
                if not node.stopped_by_script:
                    node.ended_by_itself += 1
                code = node.process.returncode
                self.record(f"{node.name} ended with {code}; it starts again")
                node.process = None
                loop = asyncio.get_running_loop()
                loop.call_later(self.restart_after_s, node.start, self.settings(node))

    def kill(self, node: Node) -> None:
        """Kill a process (SIGKILL); the platform starts it again."""
        self.record(f"{node.name}: SIGKILL")
        node.stopped_by_script = True
        node.signal(signal.SIGKILL)

    def holder(self) -> Node | None:
        """Return the node that last wrote to the store under a condition."""
        term = self.store.term()
        found = [node for node in self.nodes if node.name.encode() in term]
        return found[0] if found else None

    # Clients

    async def send(
        self, node: Node, method: str, path: str, body: object | None = None
    ) -> Answer:
        """Send a client's request to a node, and record both."""
        headers = {
            "host": self._host,
            "authorization": f"Bearer {self._key}",
            "content-type": "application/json",
            "primrosepitch-deadline-milliseconds": "3000",
        }
        data = json.dumps(body).encode() if body is not None else b""
        answer = await call(node.front, method, path, headers, data, timeout_s=3.0)
        text = answer.body.decode(errors="replace")[:80]
        self.record(f"{method} {path} at {node.name} -> {answer.status} {text}")
        return answer

    async def submit(
        self,
        node: Node,
        service: str,
        steps: list[dict],
        saves: bool = False,
        job: str = "",
    ) -> str:
        """Hand a submission in until it is accepted; return its ID.

        :param saves: whether its work items save checkpoints
        """
        job = job or secrets.token_hex(8)
        for worker in self.workers:
            if saves:
                worker.saving.add(job)
            worker.needs[job] = {
                kind: steps[0].get(kind, 0) for kind in ("cpu", "memory_request_mb")
            }
        body = {"specification": "(text)", "steps": steps}
        order = [node, *(other for other in self.nodes if other is not node)]
        for attempt in range(8):
            at = order[attempt % len(order)]
            answer = await self.send(at, "POST", f"/{service}/{job}", body)
            if answer.status == 200:
                return job
            await asyncio.sleep(0.5)
        return ""

    async def state(self, node: Node, service: str, job: str) -> tuple[int, str]:
        """Return status and state that a node answers for a submission."""
        answer = await self.send(node, "GET", f"/{service}/{job}")
        try:
            return answer.status, json.loads(answer.body).get("state", "")
        except ValueError:
            return answer.status, ""

    # The end

    def history(self) -> list[Run]:
        """Return all runs that workers have begun."""
        return [run for worker in self.workers for run in worker.history]

    async def stop(self) -> None:
        """End all processes, and write down all runs."""
        if self._keeper is not None:
            self._keeper.cancel()
        for node in self.nodes:
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        for run in sorted(self.history(), key=lambda r: r.started):
            times = [run.started, run.ended, run.noted]
            start, end, noted = (f"{t - self.zero:.3f}" if t else "-" for t in times)
            self.record(
                f"run {run.task} {run.number} at {run.worker.id}: {start} to {end}"
                f" {run.how or 'running'}, end {run.end_number} noted {noted}"
            )
        for file in self.temporary.iterdir():
            if file.suffix != ".log" or not os.environ.get("KEEP_LOGS"):
                file.unlink()
        if not os.environ.get("KEEP_LOGS"):
            self.temporary.rmdir()


def play(main: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Run a case; return its exit code, 2 if it couldn't run or was ended."""

    async def run() -> int:
        task = asyncio.ensure_future(main())
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(LIMIT_S):
            return await task

    try:
        return asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt):
        traceback.print_exc()
        return 2


def twice(runs: list[Run]) -> list[str]:
    """Return the breaks of TWICE (RULES, "Submissions"), without `allow_duplicates`.

    Two runs of one work item at the same time, or a start after a run has ended `done`,
    if that end is taken note of, and the worker's lease did not lapse between the two.
    """
    found = []
    by_task: dict[str, list[Run]] = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    for task, own in by_task.items():
        own.sort(key=lambda run: run.started)
        for number, run in enumerate(own):
            lapsed = any(run.ended <= at <= run.noted for at in run.worker.lapses)
            for later in own[number + 1 :]:
                if not run.ended or later.started < run.ended:
                    found.append(
                        f"{task}: runs {run.number} and {later.number} at once"
                    )
                elif run.how == "done" and run.noted and not lapsed:
                    found.append(
                        f"{task}: run {later.number} started"
                        f" {later.started - run.ended:.2f} s after run {run.number}"
                        " had ended done, which was taken note of"
                    )
    return found
