"""A node started as a process of its own, beside a stand-in of the platform's store."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

from standins.http import ConnectionLostError, call
from standins.log_store import LogStore

__all__ = [
    "GRACE_S",
    "HOST",
    "Ending",
    "NodeProcess",
    "open_store",
    "running_node",
    "started_node",
]

ROOT = Path(__file__).resolve().parent.parent
HOST = "jobs.example"
JOB = "00000000000000aa"
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 10.0
GRACE_S = 3.0
"""Default time between SIGTERM and SIGKILL."""

LOG_POLL_S = 0.005
LOOPBACK = "127.0.0.1"

PORTS = 6
"""Successive ports of a node: callers, readiness checks, metrics, peers, and spares."""

MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "host": HOST,
            "path_prefix": "/press/",
            "service": "press",
            "allow_anonymous": True,
        }
    ],
    "services": [{"name": "press", "admission_check": False}],
}


def _free_ports(count: int) -> int:
    """Return the first of several successive ports that are free now."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            first: int = probe.getsockname()[1]
        try:
            for port in range(first, first + count):
                with socket.socket() as trial:
                    trial.bind(("127.0.0.1", port))
        except (OSError, OverflowError):
            continue
        return first


class Ending(NamedTuple):
    """End of a process after SIGTERM.

    :param exit_code: negative number of the signal that ended it, if one did
    """

    exit_code: int
    took_s: float


class NodeProcess:
    """A node's process, and what the system reports about it.

    :param folder: temporary folder of the settings file and the log
    :param grace_s: time between SIGTERM and SIGKILL
    """

    def __init__(
        self, folder: Path, name: str = "n1", grace_s: float = GRACE_S
    ) -> None:
        """Choose the ports; nothing runs yet."""
        self.name = name
        self.grace_s = grace_s
        first = _free_ports(PORTS)
        self.front, self.readiness, self.metrics, self.peers = (
            f"127.0.0.1:{first + number}" for number in range(4)
        )
        self._internal_ports = [first + 2, first + PORTS - 1]
        self._folder = folder
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, store: str, limits: dict[str, float]) -> None:
        """Write the settings and start the process.

        :param limits: resources that the platform grants the process
        """
        settings = {
            "node_name": self.name,
            "ip_address": "127.0.0.1",
            "zone": "z",
            "listen_addresses": {"front": self.front, "readiness": self.readiness},
            "internal_port_range": self._internal_ports,
            "platform": {"address": store},
            "bounds": {"fencing_required": True, "grace_s": self.grace_s},
            "limits": limits,
        }
        path = self._folder / "settings.json"
        path.write_text(json.dumps(settings))
        environment = dict(os.environ, PRIMROSEPITCH_SETTINGS=str(path))
        with (self._folder / "log").open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "platform/node.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def alive(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def peak_mb(self) -> float:
        """Return the greatest resident memory so far, in MB."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert found is not None, "the process has ended"
        return int(found[1]) / 1024

    def descriptors(self) -> int:
        """Return the number of open descriptors."""
        assert self.process is not None
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def log(self) -> list[dict[str, object]]:
        """Return the lines of the log so far."""
        lines = (self._folder / "log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    async def answers(self, timeout_s: float = START_TIMEOUT_S) -> bool:
        """Return whether an ordinary submission, its state and readiness are answered.

        Each call is repeated until the timeout, as callers do after a refusal.
        """
        body = {"specification": "", "steps": [{"count": 1}]}
        host = {"Host": HOST}
        calls: tuple[tuple[str, str, str, object, dict[str, str]], ...] = (
            (self.front, "POST", f"/press/{JOB}", body, host),
            (self.front, "GET", f"/press/{JOB}", None, host),
            (self.readiness, "GET", "/ready", None, {}),
        )
        end = time.monotonic() + timeout_s
        for address, method, path, content, headers in calls:
            if not await _ask(address, method, path, content, headers, end):
                return False
        return True

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_until_logged(self, event: str) -> None:
        """Wait until the log has a line of an event, or the process has ended."""
        path, name = self._folder / "log", f'"{event}"'.encode()
        while self.alive and name not in path.read_bytes():
            await asyncio.sleep(LOG_POLL_S)

    async def shut_down(self) -> Ending:
        """Stop the process as the platform does: by SIGTERM, and SIGKILL after that."""
        assert self.process is not None
        started_at = time.monotonic()
        self.send_signal(signal.SIGTERM)
        try:
            exit_code = await asyncio.to_thread(self.process.wait, self.grace_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            exit_code = await asyncio.to_thread(self.process.wait)
        return Ending(exit_code, time.monotonic() - started_at)

    def end(self) -> bool:
        """Ask the process to end; return whether it did without being killed."""
        if self.process is None:
            return True
        self.process.terminate()
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return False
        return True


async def _ask(
    address: str,
    method: str,
    path: str,
    body: object,
    headers: dict[str, str],
    end: float,
) -> bool:
    """Repeat a call until it is answered with 200; return whether it was in time."""
    while (left := end - time.monotonic()) > 0:
        try:
            async with asyncio.timeout(min(left, 5.0)):
                answer = await call(address, method, path, body, headers)
            if answer.status == 200:
                return True
        except (OSError, TimeoutError, ConnectionLostError):
            pass
        await asyncio.sleep(0.1)
    return False


@asynccontextmanager
async def open_store() -> AsyncIterator[LogStore]:
    """Run a store that has a manifest."""
    store = LogStore()
    await store.start(LOOPBACK, 0)
    store.write("keyed.op", "config", json.dumps(MANIFEST).encode())
    try:
        yield store
    finally:
        await store.stop()


@asynccontextmanager
async def started_node(
    store: LogStore,
    limits: dict[str, float],
    name: str = "n1",
    grace_s: float = GRACE_S,
) -> AsyncIterator[NodeProcess]:
    """Start a node with a port of the store for itself, and end it.

    The node need not be ready yet.
    """
    port = await store.open_port(name, LOOPBACK)
    with tempfile.TemporaryDirectory() as folder:
        node = NodeProcess(Path(folder), name, grace_s)
        node.start(f"{LOOPBACK}:{port}", limits)
        try:
            yield node
        finally:
            if node.alive:
                await asyncio.to_thread(node.end)


@asynccontextmanager
async def running_node(limits: dict[str, float]) -> AsyncIterator[NodeProcess]:
    """Run a store and a node that is ready, and end both."""
    async with open_store() as store, started_node(store, limits) as node:
        if not await node.answers():
            raise RuntimeError("the node doesn't become ready")
        yield node
