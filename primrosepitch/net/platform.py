"""Client of the platform's service."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import quote

import msgspec

from primrosepitch.errors import LogUnavailableError
from primrosepitch.ids import DcId, InstanceId, Offset, TaskId
from primrosepitch.net.http_connection import HttpConnection, HttpConnectionError
from primrosepitch.net.http_messages import HttpRequest, HttpResponse

__all__ = [
    "InstanceList",
    "ListedInstance",
    "LogPage",
    "OffsetGoneError",
    "PlatformClient",
    "TaskReport",
    "TaskSpec",
]

APPEND_S = 3.0
READ_S = 3.0
"""Time allowed for a read, beyond the time that the service may wait."""
LIST_S = 3.0
TASK_S = 3.0

MAX_PAGE_BYTES = 8 << 20
"""Longest page of records; the reader asks for few records at a time."""

MAX_ANSWER_BYTES = 4 << 20

IDLE_LINKS = 2
"""Idle connections kept for requests other than reads."""

GONE = 410
BEYOND_END = 1 << 62
"""Offset that no log reaches; a read from it returns only the bounds."""


class OffsetGoneError(Exception):
    """The log no longer holds the offset that was asked for."""


class LogPage(msgspec.Struct, frozen=True):
    """Answer to a read.

    :param low: lowest offset that the log holds
    :param high: newest offset; -1 when the log is empty
    """

    low: Offset
    high: Offset
    records: list[tuple[Offset, bytes]] = []


class ListedInstance(msgspec.Struct, frozen=True):
    """One instance of the platform's list.

    :param state: ``live`` or ``leaving``
    :param incarnation: boot id
    """

    instance: InstanceId
    dc: DcId
    rack: str
    state: str
    incarnation: str = ""


class InstanceList(msgspec.Struct, frozen=True):
    """The platform's list, which lags.

    :param as_of: wall-clock seconds at which it was true
    """

    as_of: float
    instances: list[ListedInstance]


class TaskSpec(msgspec.Struct, frozen=True):
    """A task to start on a worker."""

    task: TaskId
    instance: InstanceId
    team: str
    cores: float
    memory_gb: float
    accelerators: int
    priority: int
    lease_s: float


class TaskReport(msgspec.Struct, frozen=True):
    """State of a task as the platform reports it, as raw fields."""

    fields: dict[str, Any]


class PlatformClient:
    """Requests to the platform's service, each with a timeout.

    :param address: ``IP:port``
    :param dc: data centre that the requests come from
    """

    def __init__(self, address: str, dc: DcId) -> None:
        """Do not connect yet."""
        self._address = address
        self._headers = [(b"platform-dc", dc.encode())]
        self._reader = HttpConnection(address, MAX_PAGE_BYTES)
        self._idle: list[HttpConnection] = []

    def close(self) -> None:
        """Close all idle connections."""
        for link in [self._reader, *self._idle]:
            link.close()
        self._idle.clear()

    # Log

    async def append(self, stream: str, data: bytes) -> Offset:
        """Append a record.

        :param data: at most 256 KiB
        :returns: its offset
        :raises LogUnavailableError: if there was no answer; it may be in the log
        """
        request = self._request("POST", f"/log/{quote(stream)}", data)
        response = await self._ask(request, APPEND_S)
        found: dict[str, int] = self._decode_json(response, dict[str, int])
        try:
            return Offset(found["offset"])
        except KeyError as exc:
            raise LogUnavailableError("an answer without an offset") from exc

    async def read(
        self, stream: str, start: int, count: int, wait_s: float = 0.0
    ) -> LogPage:
        """Read records in order.

        :param start: first offset
        :param count: most records
        :param wait_s: time that the service may wait for a record
        :raises OffsetGoneError: if ``start`` is below the log's low end
        :raises LogUnavailableError: if there was no answer
        """
        wait_ms = int(wait_s * 1000)
        target = f"/log/{quote(stream)}?from={start}&max={count}&wait_ms={wait_ms}"
        request = self._request("GET", target)
        try:
            response = await self._reader.send_request(request, READ_S + wait_s)
        except HttpConnectionError as exc:
            raise LogUnavailableError(str(exc)) from exc
        if response.status == GONE:
            raise OffsetGoneError(f"offset {start}")
        self._check(response)
        try:
            return msgspec.msgpack.decode(response.body, type=LogPage)
        except msgspec.MsgspecError as exc:
            raise LogUnavailableError(str(exc)) from exc

    async def bounds(self, stream: str) -> LogPage:
        """Return the low and high end of the log, without records.

        :raises LogUnavailableError: if there was no answer
        """
        return await self.read(stream, BEYOND_END, 1)

    # Instances

    async def instances(self) -> InstanceList:
        """Read the list of instances.

        :raises LogUnavailableError: if there was no answer
        """
        response = await self._ask(self._request("GET", "/instances"), LIST_S)
        found: InstanceList = self._decode_json(response, InstanceList)
        return found

    async def reboot(self, instance: InstanceId) -> None:
        """Ask for a reboot; it has begun when this returns.

        :raises LogUnavailableError: if there was no answer; it may have begun
        """
        await self._post(f"/instances/{quote(instance)}/reboot")

    async def stop(self, instance: InstanceId) -> None:
        """Ask for a stop; it has begun when this returns.

        :raises LogUnavailableError: if there was no answer; it may have begun
        """
        await self._post(f"/instances/{quote(instance)}/stop")

    # Tasks

    async def start_task(self, spec: TaskSpec) -> bool:
        """Start a task.

        :returns: whether it fits
        :raises LogUnavailableError: if there was no answer; it may have started
        """
        data = msgspec.json.encode(spec)
        response = await self._ask(
            self._request("POST", "/tasks", data), TASK_S, (409,)
        )
        return response.status != 409

    async def tasks(self, dc: DcId) -> list[TaskReport]:
        """Read the tasks of a data centre.

        :raises LogUnavailableError: if there was no answer
        """
        request = self._request("GET", f"/tasks?dc={quote(dc)}")
        response = await self._ask(request, TASK_S)
        found = self._decode_json(response, Any)
        rows = found.get("tasks", []) if isinstance(found, dict) else found
        return [TaskReport(row) for row in rows]

    async def change_task(self, task: TaskId, verb: str) -> bool:
        """Renew, checkpoint, throttle or stop a task.

        :param verb: last part of the path
        :returns: whether the platform knows the task
        :raises LogUnavailableError: if there was no answer; it may have happened
        """
        request = self._request("POST", f"/tasks/{quote(task)}/{verb}")
        response = await self._ask(request, TASK_S, (404,))
        return response.status != 404

    # Exchange

    async def _post(self, target: str) -> None:
        await self._ask(self._request("POST", target), TASK_S)

    def _request(self, method: str, target: str, body: bytes = b"") -> HttpRequest:
        return HttpRequest(method.encode(), target.encode(), [*self._headers], body)

    async def _ask(
        self, request: HttpRequest, timeout_s: float, allowed: tuple[int, ...] = ()
    ) -> HttpResponse:
        async with self._link() as link:
            try:
                response = await link.send_request(request, timeout_s)
            except HttpConnectionError as exc:
                raise LogUnavailableError(str(exc)) from exc
        if response.status not in allowed:
            self._check(response)
        return response

    @asynccontextmanager
    async def _link(self) -> AsyncIterator[HttpConnection]:
        """Take an idle connection or a new one, and keep it afterwards."""
        link = (
            self._idle.pop()
            if self._idle
            else HttpConnection(self._address, MAX_ANSWER_BYTES)
        )
        try:
            yield link
        finally:
            if len(self._idle) < IDLE_LINKS:
                self._idle.append(link)
            else:
                link.close()

    def _check(self, response: HttpResponse) -> None:
        if not 200 <= response.status < 300:
            raise LogUnavailableError(f"status {response.status}")

    def _decode_json(self, response: HttpResponse, kind: Any) -> Any:
        try:
            return msgspec.json.decode(response.body, type=kind)
        except msgspec.MsgspecError as exc:
            raise LogUnavailableError(str(exc)) from exc
