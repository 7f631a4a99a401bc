"""HTTP client of the platform's service: log, instances and tasks."""

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

APPEND_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 3.0
"""Timeout of a read, in addition to the time that the service may wait."""

LIST_TIMEOUT_S = 3.0
TASK_TIMEOUT_S = 3.0

MAX_PAGE_BYTES = 8 << 20
"""Maximum size of a page; the reader requests few records at a time."""

MAX_RESPONSE_BYTES = 4 << 20

MAX_IDLE_CONNECTIONS = 2
"""Maximum number of idle connections kept for requests other than reads."""

GONE = 410
BEYOND_END = 1 << 62
"""Offset beyond the end of any log; a read from it returns only the bounds."""


class OffsetGoneError(Exception):
    """The requested offset is below the low end of the log."""


class LogPage(msgspec.Struct, frozen=True):
    """Result of a read.

    :param low: lowest offset in the log
    :param high: highest offset in the log; -1 if it is empty
    """

    low: Offset
    high: Offset
    records: list[tuple[Offset, bytes]] = []


class ListedInstance(msgspec.Struct, frozen=True):
    """An instance in the platform's list.

    :param state: ``live`` or ``leaving``
    :param incarnation: boot id
    """

    instance: InstanceId
    dc: DcId
    rack: str
    state: str
    incarnation: str = ""


class InstanceList(msgspec.Struct, frozen=True):
    """The platform's list of instances, which may be out of date.

    :param as_of: wall-clock time in seconds at which the list was current
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
    """Unparsed fields of a task as reported by the platform."""

    fields: dict[str, Any]


class PlatformClient:
    """Client of the platform's service with a timeout for each request.

    :param address: ``IP:port``
    :param dc: data centre that is sent as the origin of requests
    """

    def __init__(self, address: str, dc: DcId) -> None:
        """Create the client without connecting."""
        self._address = address
        self._headers = [(b"platform-dc", dc.encode())]
        self._read_conn = HttpConnection(address, MAX_PAGE_BYTES)
        self._idle: list[HttpConnection] = []

    def close(self) -> None:
        """Close all idle connections."""
        for conn in [self._read_conn, *self._idle]:
            conn.close()
        self._idle.clear()

    # Log

    async def append(self, stream: str, data: bytes) -> Offset:
        """Append a record.

        :param data: at most 256 KiB
        :returns: its offset
        :raises LogUnavailableError: if there was no response; the record may be in the
            log
        """
        request = self._request("POST", f"/log/{quote(stream)}", data)
        response = await self._send(request, APPEND_TIMEOUT_S)
        found: dict[str, int] = self._decode_json(response, dict[str, int])
        try:
            return Offset(found["offset"])
        except KeyError as exc:
            raise LogUnavailableError("append response has no offset") from exc

    async def read(
        self, stream: str, start: int, count: int, wait_s: float = 0.0
    ) -> LogPage:
        """Read records in order, with long polling.

        :param start: first offset
        :param count: maximum number of records
        :param wait_s: time for which the service may wait for a record
        :raises OffsetGoneError: if ``start`` is below the low end of the log
        :raises LogUnavailableError: if there was no response
        """
        wait_ms = int(wait_s * 1000)
        target = f"/log/{quote(stream)}?from={start}&max={count}&wait_ms={wait_ms}"
        request = self._request("GET", target)
        try:
            response = await self._read_conn.send_request(
                request, READ_TIMEOUT_S + wait_s
            )
        except HttpConnectionError as exc:
            raise LogUnavailableError(str(exc)) from exc
        if response.status == GONE:
            raise OffsetGoneError(f"offset {start} is below the low end of the log")
        self._check_status(response)
        try:
            return msgspec.msgpack.decode(response.body, type=LogPage)
        except msgspec.MsgspecError as exc:
            raise LogUnavailableError(str(exc)) from exc

    async def bounds(self, stream: str) -> LogPage:
        """Return the lowest and highest offset of the log, without records.

        :raises LogUnavailableError: if there was no response
        """
        return await self.read(stream, BEYOND_END, 1)

    # Instances

    async def instances(self) -> InstanceList:
        """Read the list of instances.

        :raises LogUnavailableError: if there was no response
        """
        response = await self._send(self._request("GET", "/instances"), LIST_TIMEOUT_S)
        found: InstanceList = self._decode_json(response, InstanceList)
        return found

    async def reboot(self, instance: InstanceId) -> None:
        """Reboot an instance; the reboot has started when this returns.

        :raises LogUnavailableError: if there was no response; it may have started
        """
        await self._post(f"/instances/{quote(instance)}/reboot")

    async def stop(self, instance: InstanceId) -> None:
        """Stop an instance; the stop has started when this returns.

        :raises LogUnavailableError: if there was no response; it may have started
        """
        await self._post(f"/instances/{quote(instance)}/stop")

    # Tasks

    async def start_task(self, spec: TaskSpec) -> bool:
        """Start a task.

        :returns: whether the task fits on the instance
        :raises LogUnavailableError: if there was no response; it may have started
        """
        data = msgspec.json.encode(spec)
        response = await self._send(
            self._request("POST", "/tasks", data), TASK_TIMEOUT_S, (409,)
        )
        return response.status != 409

    async def tasks(self, dc: DcId) -> list[TaskReport]:
        """Read the tasks of a data centre.

        :raises LogUnavailableError: if there was no response
        """
        request = self._request("GET", f"/tasks?dc={quote(dc)}")
        response = await self._send(request, TASK_TIMEOUT_S)
        found = self._decode_json(response, Any)
        rows = found.get("tasks", []) if isinstance(found, dict) else found
        return [TaskReport(row) for row in rows]

    async def change_task(self, task: TaskId, verb: str) -> bool:
        """Renew, checkpoint, throttle or stop a task.

        :param verb: last segment of the path
        :returns: whether the task exists on the platform
        :raises LogUnavailableError: if there was no response; it may have taken effect
        """
        request = self._request("POST", f"/tasks/{quote(task)}/{verb}")
        response = await self._send(request, TASK_TIMEOUT_S, (404,))
        return response.status != 404

    # Requests

    async def _post(self, target: str) -> None:
        await self._send(self._request("POST", target), TASK_TIMEOUT_S)

    def _request(self, method: str, target: str, body: bytes = b"") -> HttpRequest:
        return HttpRequest(method.encode(), target.encode(), [*self._headers], body)

    async def _send(
        self, request: HttpRequest, timeout_s: float, allowed: tuple[int, ...] = ()
    ) -> HttpResponse:
        async with self._connection() as conn:
            try:
                response = await conn.send_request(request, timeout_s)
            except HttpConnectionError as exc:
                raise LogUnavailableError(str(exc)) from exc
        if response.status not in allowed:
            self._check_status(response)
        return response

    @asynccontextmanager
    async def _connection(self) -> AsyncIterator[HttpConnection]:
        """Yield an idle connection or a new one, and return it to the idle ones."""
        conn = (
            self._idle.pop()
            if self._idle
            else HttpConnection(self._address, MAX_RESPONSE_BYTES)
        )
        try:
            yield conn
        finally:
            if len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(conn)
            else:
                conn.close()

    def _check_status(self, response: HttpResponse) -> None:
        if not 200 <= response.status < 300:
            raise LogUnavailableError(
                f"platform responded with status {response.status}"
            )

    def _decode_json(self, response: HttpResponse, kind: Any) -> Any:
        try:
            return msgspec.json.decode(response.body, type=kind)
        except msgspec.MsgspecError as exc:
            raise LogUnavailableError(str(exc)) from exc
