"""Stand-in for an endpoint: a worker with slots and connections over HTTP/1.1.

The duration of a request comes from the header ``Work-Ms``, the query value ``work_ms``
or the setting ``--work-ms``, in this order. The response repeats
``Primrose-Request-Id``; its body is a JSON object with ``request_id``, ``instance``,
``team``, the SHA-256 of the request's body, and ``pad`` of ``?size=N`` bytes.

``GET /counts`` returns the number of runs by request id and the largest numbers of
concurrent requests and connections; ``GET /intervals`` returns the monotonic start and
end, team and id of each run. ``POST /mode {"mode", "seconds", "count"}`` injects a
fault into the next ``count`` requests, or into all until the mode changes:

``normal``     no fault
``slow``       the request takes ``seconds`` longer
``silent``     the request runs; its connection gets no response from then on
``stale``      connections open at present get no responses and drop what is sent over
               them; new connections work
``failing``    the request runs; the response has status 500
``truncated``  the request runs; the connection closes after half of the response body
``crossed``    the request runs; it gets the response to another request
``late``       the response is sent ``seconds`` after ``Primrose-Timeout-Ms`` expires
``closing``    a connection closes without a response when it is reused
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import signal
import sys
import time
from contextlib import suppress
from typing import Any

import msgspec

from standins.http import (
    Close,
    ConnectionLostError,
    HandlerResult,
    Hang,
    Peer,
    Request,
    Response,
    Server,
    call,
    json_response,
)

__all__ = ["Endpoint", "EndpointSettings", "main"]

CONTROL_PATHS = ("/counts", "/intervals", "/mode")
MODES = (
    "normal",
    "slow",
    "silent",
    "stale",
    "failing",
    "truncated",
    "crossed",
    "late",
    "closing",
)
MAX_INTERVALS = 200_000
POLL_WAIT_MS = 1000
RETRY_S = 0.2
DEFAULT_FAULT_S = 1.0


class EndpointSettings(msgspec.Struct, frozen=True):
    """Settings of one endpoint stand-in.

    :param slots: maximum of concurrent requests; more get status 503
    :param connections: maximum of open connections; more are closed
    :param platform: ``IP:port`` of the platform stand-in; empty to run without one
    :param reboot_s: time between the stop and the start of a reboot
    """

    instance: str = "endpoint"
    dc: str = "dc1"
    rack: str = "rack1"
    address: str = "127.0.0.1"
    port: int = 0
    slots: int = 8
    connections: int = 64
    work_ms: float = 0.0
    platform: str = ""
    reboot_s: float = 0.5


DEFAULTS = EndpointSettings()


class Counts(msgspec.Struct):
    """Counters of one endpoint.

    :param runs: number of runs by request id
    :param once: number of runs of requests that are not idempotent, by request id
    :param teams: largest number of concurrent requests by team
    :param over_slots: requests rejected because all slots were in use
    :param over_connections: connections closed because of the limit
    """

    instance: str
    incarnation: str = ""
    mode: str = "normal"
    requests: int = 0
    running: int = 0
    max_running: int = 0
    connections: int = 0
    max_connections: int = 0
    over_slots: int = 0
    over_connections: int = 0
    runs: dict[str, int] = {}
    once: dict[str, int] = {}
    teams: dict[str, int] = {}


class Mode(msgspec.Struct):
    """Fault to inject.

    :param seconds: additional delay of ``slow`` and ``late``
    :param left: number of requests still to affect; ``None`` until the mode changes
    """

    mode: str = "normal"
    seconds: float = DEFAULT_FAULT_S
    left: int | None = None


class Endpoint:
    """One endpoint worker."""

    def __init__(self, settings: EndpointSettings = DEFAULTS) -> None:
        """Initialize an endpoint that does not listen yet."""
        self.settings = settings
        self.server = Server(self._handle, self._on_head)
        self.counts = Counts(settings.instance, runs={}, once={}, teams={})
        self.mode = Mode()
        self.stopped = asyncio.Event()
        self._intervals: list[tuple[float, float, str, str]] = []
        self._running_by_team: dict[str, int] = {}
        self._last_response: tuple[str, Response] | None = None
        self._platform_task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """Port that the endpoint listens on."""
        return self.server.port

    async def start(self) -> None:
        """Start listening and, if configured, register with the platform."""
        await self.server.start(self.settings.address, self.port or self.settings.port)
        if self.settings.platform:
            self._platform_task = asyncio.create_task(self._follow_platform())

    async def stop(self) -> None:
        """Stop gracefully, after running requests have ended."""
        if self._platform_task is not None:
            self._platform_task.cancel()
        await self.server.stop()
        if self.settings.platform:
            with suppress(OSError, ConnectionLostError):
                await self._call_platform("POST", f"/ended/{self.settings.instance}")
        self.stopped.set()

    # Requests

    def _on_head(self, req: Request, peer: Peer) -> HandlerResult | None:
        """Return a result before the body is read if a fault or limit applies."""
        if peer.silent:
            return Hang()
        if req.path in CONTROL_PATHS:
            peer.counted = False
            return None
        self.counts.requests += 1
        open_count = sum(p.counted for p in self.server.peers)
        self.counts.max_connections = max(self.counts.max_connections, open_count)
        if peer.requests == 1 and open_count > self.settings.connections:
            self.counts.over_connections += 1
            return Close()
        if self.mode.mode == "closing" and peer.requests > 1:
            self._consume_mode()
            return Close()
        return None

    async def _handle(self, req: Request, peer: Peer) -> HandlerResult:
        if req.path in CONTROL_PATHS:
            return self._control(req)
        request_id = req.headers.get("primrose-request-id", "")
        team = req.headers.get("primrose-team", "")
        mode = self._consume_mode()
        running = self.counts.running + 1
        self.counts.max_running = max(self.counts.max_running, running)
        if running > self.settings.slots:
            self.counts.over_slots += 1
            return self._answer(req, request_id, team, 503)
        self._begin_run(request_id, team, _idempotent(req))
        started = time.monotonic()
        try:
            await asyncio.sleep(self._work_s(req, mode))
        finally:
            self._end_run(request_id, team, started)
        answer = self._answer(req, request_id, team, 200)
        return self._apply_fault(answer, mode, request_id)

    def _begin_run(self, request_id: str, team: str, idempotent: bool) -> None:
        counts = self.counts
        counts.running += 1
        counts.runs[request_id] = counts.runs.get(request_id, 0) + 1
        if not idempotent:
            counts.once[request_id] = counts.once.get(request_id, 0) + 1
        self._running_by_team[team] = self._running_by_team.get(team, 0) + 1
        counts.teams[team] = max(counts.teams.get(team, 0), self._running_by_team[team])

    def _end_run(self, request_id: str, team: str, started: float) -> None:
        self.counts.running -= 1
        self._running_by_team[team] -= 1
        if len(self._intervals) < MAX_INTERVALS:
            self._intervals.append((started, time.monotonic(), team, request_id))

    def _consume_mode(self) -> Mode:
        """Return the fault for this request; reduce the number of requests left."""
        mode = self.mode
        if mode.left is not None:
            mode.left -= 1
            if mode.left <= 0:
                self.mode = Mode()
        return mode

    def _work_s(self, req: Request, mode: Mode) -> float:
        text = req.headers.get("work-ms") or req.query.get("work_ms")
        work_s = float(text if text else self.settings.work_ms) / 1000
        if mode.mode == "slow":
            work_s += mode.seconds
        if mode.mode == "late":
            timeout_ms = float(req.headers.get("primrose-timeout-ms", "0"))
            work_s = timeout_ms / 1000 + mode.seconds
        return work_s

    def _answer(
        self, req: Request, request_id: str, team: str, status: int
    ) -> Response:
        body = {
            "request_id": request_id,
            "instance": self.settings.instance,
            "team": team,
            "body_sha256": hashlib.sha256(req.body).hexdigest(),
            "pad": "x" * int(req.query.get("size", "0")),
        }
        resp = json_response(body, status)
        headers = {**resp.headers, "Primrose-Request-Id": request_id}
        return msgspec.structs.replace(resp, headers=headers)

    def _apply_fault(
        self, answer: Response, mode: Mode, request_id: str
    ) -> HandlerResult:
        """Return the response with the fault applied."""
        previous = self._last_response
        self._last_response = (request_id, answer)
        if mode.mode == "silent":
            return Hang()
        if mode.mode == "failing":
            return msgspec.structs.replace(answer, status=500)
        if mode.mode == "truncated":
            return msgspec.structs.replace(answer, truncated=True)
        if mode.mode == "crossed":
            if previous is not None and previous[0] != request_id:
                return previous[1]
            headers = {**answer.headers, "Primrose-Request-Id": "another-request"}
            return msgspec.structs.replace(answer, headers=headers)
        return answer

    # Control

    def _control(self, req: Request) -> HandlerResult:
        if req.path == "/intervals":
            return json_response(self._intervals)
        if req.path == "/mode":
            return self._set_mode(req)
        self.counts.mode = self.mode.mode
        self.counts.connections = sum(p.counted for p in self.server.peers)
        return json_response(msgspec.to_builtins(self.counts))

    def _set_mode(self, req: Request) -> HandlerResult:
        try:
            value = req.json()
            name = value["mode"]
            seconds = float(value.get("seconds", DEFAULT_FAULT_S))
            left = int(value["count"]) if "count" in value else None
        except (ValueError, KeyError, TypeError) as exc:
            return json_response({"error": repr(exc)}, 400)
        if name not in MODES:
            return json_response({"error": f"modes: {', '.join(MODES)}"}, 400)
        if name != "stale":
            self.mode = Mode(name, seconds, left)
            return json_response({})
        for peer in self.server.peers:
            peer.silent = peer.silent or peer.counted
        return json_response({})

    # Platform

    async def _call_platform(
        self, method: str, target: str, value: object = None
    ) -> Any:
        headers = {"Platform-Dc": self.settings.dc}
        address = self.settings.platform
        answer = await call(address, method, target, value, headers)
        if answer.status >= 300:
            raise ConnectionLostError(f"platform returned HTTP status {answer.status}")
        return answer.json()

    async def _follow_platform(self) -> None:
        """Stay registered with the platform and carry out its signals."""
        registered = False
        while True:
            try:
                if not registered:
                    await self._register()
                registered = await self._poll_signal()
            except (OSError, ConnectionLostError):
                await asyncio.sleep(RETRY_S)

    async def _register(self) -> None:
        cfg = self.settings
        row = {"instance": cfg.instance, "dc": cfg.dc, "rack": cfg.rack}
        registration = await self._call_platform("POST", "/register", row)
        self.counts.incarnation = registration["incarnation"]

    async def _poll_signal(self) -> bool:
        """Poll for a signal once and carry it out.

        :returns: whether the platform still lists the instance
        """
        name = self.settings.instance
        poll = await self._call_platform(
            "GET", f"/signals/{name}?wait_ms={POLL_WAIT_MS}"
        )
        if not poll["signal"]:
            return bool(poll["registered"])
        await self.server.stop()
        await self._call_platform("POST", f"/ended/{name}")
        if poll["signal"] == "stop":
            self.stopped.set()
            await asyncio.Event().wait()
        await asyncio.sleep(self.settings.reboot_s)
        await self.server.start(self.settings.address, self.port)
        return False


def _idempotent(req: Request) -> bool:
    """Return whether a request is idempotent, by its header, else by its method."""
    header = req.headers.get("primrose-idempotent")
    return req.method not in ("POST", "PATCH") if header is None else header == "1"


async def _run(settings: EndpointSettings) -> None:
    endpoint = Endpoint(settings)
    term = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, term.set)
    await endpoint.start()
    print(f"listening {settings.address}:{endpoint.port}", flush=True)
    waits = [asyncio.create_task(e.wait()) for e in (term, endpoint.stopped)]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    await endpoint.stop()


def main(argv: list[str] | None = None) -> int:
    """Run one endpoint until SIGTERM, SIGINT or a stop by the platform."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    for name in DEFAULTS.__struct_fields__:
        value = getattr(DEFAULTS, name)
        option = "--" + name.replace("_", "-")
        parser.add_argument(
            option, type=type(value), default=value, help=f"default {value!r}"
        )
    values = vars(parser.parse_args(argv))
    asyncio.run(_run(EndpointSettings(**values)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
