"""Program ``primrose-planner``: pools, budgets, waves, placement and settlement."""

from __future__ import annotations

import asyncio
import math
import random
import sys
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from primrosepitch import clock
from primrosepitch.bin.daemon import DRAIN_TIMEOUT_S, Daemon, run_program
from primrosepitch.errors import (
    LogUnavailableError,
    MalformedMessageError,
    NoLeaseError,
    PrimroseError,
    QueueUnknownError,
)
from primrosepitch.events import EVENTS, emit
from primrosepitch.fleet.records import Role
from primrosepitch.fleet.snapshot import snapshot_records
from primrosepitch.fleet.state import FleetState
from primrosepitch.ids import TaskId
from primrosepitch.net.appender import STREAM
from primrosepitch.net.http_messages import HttpResponse
from primrosepitch.net.http_server import Exchange, HttpServer, error_response
from primrosepitch.net.platform import PlatformClient, TaskSpec
from primrosepitch.planning import effects as eff
from primrosepitch.planning import events, lease, placement
from primrosepitch.planning.reducer import step
from primrosepitch.planning.state import PlannerState
from primrosepitch.settings import Settings
from primrosepitch.trace import Recorder

__all__ = ["Planner", "main"]

PROBE_TIMEOUT_S = 2.0
MAX_PARALLEL_PROBES = 16
BOUNDS_INTERVAL_S = 30

Performer = Callable[["Planner", Any], None]
_PERFORMERS: dict[type, Performer] = {}


def performer_for(kind: type) -> Callable[[Performer], Performer]:
    """Register a function that performs effects of one class."""

    def register(performer: Performer) -> Performer:
        _PERFORMERS[kind] = performer
        return performer

    return register


class TaskOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /-/tasks``; cancellations are applied before submissions."""

    submit: list[events.TaskSpec] = []
    cancel: list[TaskId] = []


class Planner(Daemon):
    """One planner process."""

    role = Role.PLANNER
    events = events

    def __init__(self, settings: Settings, trace: Recorder) -> None:
        """Create the components without opening a socket."""
        super().__init__(settings, trace)
        self.state = PlannerState(
            self.session, settings.dc, removal_is_final=settings.removal_is_final
        )
        self.http_port = settings.http_port
        self.server = HttpServer(self._on_exchange, account=self.client_account)
        # Separate, since the tail's client is occupied by long reads of the log.
        self._bounds_client = PlatformClient(settings.platform, settings.dc)
        self._probe_slots = asyncio.Semaphore(MAX_PARALLEL_PROBES)
        self._listing_instances = False
        self._listing_tasks = False
        self._bounds_due_s = 0

    # Hooks of the base class

    def fleet(self) -> FleetState:
        """Return the folded fleet state."""
        return self.state.fleet

    def step(self, event: Any) -> Sequence[Any]:
        """Apply one event to the reducer and return its effects."""
        return step(self.state, event)

    def perform(self, effect: Any) -> None:
        """Perform one effect."""
        _PERFORMERS[type(effect)](self, effect)

    def is_busy(self) -> bool:
        """Return whether an urgent task is waiting; it has to start within 2.3 s."""
        return placement.urgent_task_waiting(self.state)

    def tick(self) -> events.Tick:
        """Return the event for a tick of the clock."""
        return events.Tick(
            now=clock.monotonic(), wall=clock.wall(), seed=random.getrandbits(31)
        )

    async def open(self) -> None:
        """Listen for operators."""
        address = self.settings.address
        self.http_port = await self.server.listen(address, self.http_port)

    async def drain(self) -> None:
        """Let operators read their responses."""
        await self.server.drain(clock.monotonic() + DRAIN_TIMEOUT_S)

    def close(self) -> None:
        """Close the operators' connections."""
        self.server.abort()
        self._bounds_client.close()

    def http_address(self) -> str:
        """Return the address for operators."""
        return f"{self.settings.address}:{self.http_port}"

    def each_second(self) -> None:
        """Read the range of the log periodically, for the snapshots."""
        self._bounds_due_s -= 1
        if self._bounds_due_s <= 0 and lease.holds(self.state):
            self._bounds_due_s = BOUNDS_INTERVAL_S
            self.spawn(self._read_bounds())

    async def _read_bounds(self) -> None:
        try:
            page = await self._bounds_client.bounds(STREAM)
        except LogUnavailableError:
            return
        self.handle(
            events.LogRange(now=clock.monotonic(), low=page.low, high=page.high)
        )

    def _on_exchange(self, exchange: Exchange) -> None:
        path = exchange.request.target.partition(b"?")[0]
        try:
            if path == b"/-/tasks":
                exchange.respond(self._handle_tasks(exchange))
            elif path in (b"/-/status", b"/-/health"):
                exchange.respond(self._overview())
            else:
                raise QueueUnknownError("no such path")
        except PrimroseError as exc:
            exchange.respond(error_response(exc))

    # Platform

    def start_listing(self) -> None:
        """Read the list of instances unless a read is in progress."""
        if not self._listing_instances:
            self._listing_instances = True
            self.spawn(self._list_instances())

    async def _list_instances(self) -> None:
        asked = clock.monotonic()
        try:
            found = await self.platform.instances()
        except LogUnavailableError:
            return
        finally:
            self._listing_instances = False
        rows = [
            events.ListedInstance(
                instance=row.instance,
                dc=row.dc,
                rack=row.rack,
                state=_listed_state(row.state),
                incarnation=row.incarnation,
            )
            for row in found.instances
        ]
        self.handle(
            events.InstancesListed(
                now=clock.monotonic(), asked=asked, as_of=found.as_of, instances=rows
            )
        )

    async def probe(self, effect: eff.Probe) -> None:
        """Probe whether an endpoint or a peer accepts a connection."""
        host, _, port = effect.address.rpartition(":")
        async with self._probe_slots:
            asked = clock.monotonic()
            ok = await _accepts_connection(host, int(port))
        now = clock.monotonic()
        self.handle(
            events.ProbeAnswered(now=now, target=effect.target, asked=asked, ok=ok)
        )

    async def restart(self, effect: eff.RestartInstance) -> None:
        """Request a reboot or stop, unless another planner may hold the lease."""
        ok = False
        if clock.monotonic() < effect.not_after:
            call = self.platform.stop if effect.stop else self.platform.reboot
            try:
                await call(effect.instance)
                ok = True
            except LogUnavailableError:
                ok = False
        now = clock.monotonic()
        answer = events.RestartAnswered(now=now, instance=effect.instance, ok=ok)
        self.handle(answer)

    # Tasks

    def start_listing_tasks(self) -> None:
        """Read the report of tasks unless a read is in progress."""
        if not self._listing_tasks:
            self._listing_tasks = True
            self.spawn(self._list_tasks())

    async def _list_tasks(self) -> None:
        asked = clock.monotonic()
        try:
            found = await self.platform.tasks(self.settings.dc)
        except LogUnavailableError:
            return
        finally:
            self._listing_tasks = False
        rows = [_task_report(row.fields) for row in found]
        self.handle(events.TasksListed(now=clock.monotonic(), asked=asked, tasks=rows))

    async def start_task(self, effect: eff.StartTask) -> None:
        """Start a task unless its latest start time has passed."""
        spec = TaskSpec(
            task=TaskId(effect.task),
            instance=effect.instance,
            team=effect.team,
            cores=effect.size.cores,
            memory_gb=effect.size.memory_gb,
            accelerators=math.ceil(effect.size.accelerators),
            priority=effect.priority,
            lease_s=effect.lease_s,
        )
        ok: bool | None = False
        if clock.monotonic() < effect.not_after:
            try:
                ok = await self.platform.start_task(spec)
            except LogUnavailableError:
                ok = None
        self._task_answered(effect.task, events.TaskAction.START, ok)

    async def change_task(self, effect: eff.ChangeTask) -> None:
        """Send one command for a running task."""
        ok: bool | None
        try:
            verb = effect.action.value
            ok = await self.platform.change_task(TaskId(effect.task), verb)
        except LogUnavailableError:
            ok = None
        self._task_answered(effect.task, effect.action, ok)

    def _task_answered(
        self, task: str, action: events.TaskAction, ok: bool | None
    ) -> None:
        now = clock.monotonic()
        self.handle(events.TaskAnswered(now=now, task=task, action=action, ok=ok))

    def _handle_tasks(self, exchange: Exchange) -> HttpResponse:
        """Handle a request to submit, cancel or list tasks."""
        request = exchange.request
        if request.method == b"GET":
            return json_response(self.state.tasks)
        if not lease.holds(self.state):
            raise NoLeaseError(f"data centre {self.settings.dc}")
        try:
            order = msgspec.json.decode(request.body, type=TaskOrder)
        except msgspec.MsgspecError as exc:
            raise MalformedMessageError(str(exc)) from exc
        now = clock.monotonic()
        self.handle(events.TasksCancelled(now=now, tasks=order.cancel))
        self.handle(events.TasksSubmitted(now=now, tasks=order.submit))
        return json_response({"tasks": len(self.state.tasks)}, 202)

    def _overview(self) -> HttpResponse:
        fleet = self.state.fleet
        found = {
            "session": self.session,
            "dc": self.settings.dc,
            "generation": fleet.generation,
            "offset": fleet.offset,
            "holds_lease": lease.holds(self.state),
            "list_as_of": self.state.listing.as_of,
            "tasks": Counter(t.state.value for t in self.state.tasks.values()),
        }
        return json_response(found)

    def append_snapshot(self) -> None:
        """Append a snapshot of the folded state, if a state has been loaded."""
        for record in snapshot_records(self.fleet(), self.session):
            self.append(record)


def _listed_state(value: str) -> events.ListedState:
    """Return the state of a listed instance; an unknown state counts as leaving."""
    live = events.ListedState.LIVE
    return live if value == live.value else events.ListedState.LEAVING


def _task_report(row: dict[str, Any]) -> events.TaskReport:
    """Convert a row of the platform's report; unknown fields are ignored."""
    usage = row.get("usage")
    return events.TaskReport(
        task=str(row["task"]),
        instance=row["instance"],
        team=row["team"],
        state=str(row["state"]),
        size=_size(row),
        priority=int(row.get("priority", 0)),
        usage=_size(usage) if usage else None,
    )


def _size(row: dict[str, Any]) -> events.Size:
    return events.Size(
        float(row.get("cores", 0)),
        float(row.get("memory_gb", 0)),
        float(row.get("accelerators", 0)),
    )


def json_response(value: Any, status: int = 200) -> HttpResponse:
    """Return a JSON response to an operator."""
    headers = [(b"content-type", b"application/json")]
    return HttpResponse(status, headers, msgspec.json.encode(value) + b"\n")


async def _accepts_connection(host: str, port: int) -> bool:
    """Return whether a TCP port accepts a connection within ``PROBE_TIMEOUT_S``."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


@performer_for(eff.Append)
def _append(planner: Planner, effect: eff.Append) -> None:
    planner.append(effect.record)


@performer_for(eff.ListInstances)
def _list_instances(planner: Planner, effect: eff.ListInstances) -> None:
    planner.start_listing()


@performer_for(eff.Probe)
def _probe(planner: Planner, effect: eff.Probe) -> None:
    planner.spawn(planner.probe(effect))


@performer_for(eff.RestartInstance)
def _restart_instance(planner: Planner, effect: eff.RestartInstance) -> None:
    planner.spawn(planner.restart(effect))


@performer_for(eff.ListTasks)
def _list_tasks(planner: Planner, effect: eff.ListTasks) -> None:
    planner.start_listing_tasks()


@performer_for(eff.StartTask)
def _start_task(planner: Planner, effect: eff.StartTask) -> None:
    planner.spawn(planner.start_task(effect))


@performer_for(eff.ChangeTask)
def _change_task(planner: Planner, effect: eff.ChangeTask) -> None:
    planner.spawn(planner.change_task(effect))


@performer_for(eff.TakeSnapshot)
def _take_snapshot(planner: Planner, effect: eff.TakeSnapshot) -> None:
    planner.append_snapshot()


@performer_for(eff.LogLine)
def _log_line(planner: Planner, effect: eff.LogLine) -> None:
    emit(EVENTS[effect.number], **effect.fields)


@performer_for(eff.Finished)
def _finished(planner: Planner, effect: eff.Finished) -> None:
    planner.finish(close_session=effect.close)


def main(argv: Sequence[str] | None = None) -> int:
    """Run ``primrose-planner`` until SIGTERM and return its exit code."""
    return run_program("primrose-planner", Planner, argv)


if __name__ == "__main__":
    sys.exit(main())
