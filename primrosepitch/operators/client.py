"""Blocking client of the operators' HTTP API with deadlines."""

from __future__ import annotations

import http.client
import time
from typing import Any, TypeVar

import msgspec

from primrosepitch.errors import (
    ERRORS,
    AppendUnconfirmedError,
    EntryUnreachableError,
    PrimroseError,
    VoidCommandError,
)
from primrosepitch.operators.messages import (
    Accepted,
    ConfigView,
    FleetView,
    Publish,
    StatusView,
)

__all__ = ["OperatorClient"]

MAX_RESPONSE_BYTES = 64 << 20
T = TypeVar("T")


class Response(msgspec.Struct, frozen=True):
    """A complete HTTP response.

    :param code: error code of the ``Primrose-Code`` header, or an empty string
    """

    status: int
    code: str
    body: bytes


class OperatorClient:
    """Client that tries entries in turn until one accepts a connection.

    :param entries: ``IP:port`` of entries, in order of preference
    :param timeout_s: timeout for one exchange, including connection set-up
    """

    def __init__(self, entries: list[str], timeout_s: float = 10.0) -> None:
        """Store the addresses without opening a connection."""
        self.entries = entries
        self.timeout_s = timeout_s

    def config(self) -> ConfigView:
        """Return the configuration in force.

        :raises PrimroseError: if there was no usable response; so do all methods
        """
        return self._get("/-/config", ConfigView)

    def fleet(self) -> FleetView:
        """Return instances, waves, leases and sessions."""
        return self._get("/-/fleet", FleetView)

    def status(self) -> StatusView:
        """Return the status of the first entry that can be reached."""
        return self._get("/-/status", StatusView)

    def publish(self, change: Publish) -> Accepted:
        """Publish changed configuration files."""
        return self._post("/-/config", change)

    def command(self, body: dict[str, Any]) -> Accepted:
        """Send a command, which the entry appends to the log as a record."""
        return self._post("/-/records", body)

    def for_address(self, address: str, timeout_s: float) -> OperatorClient:
        """Return a client for the process at one address."""
        return OperatorClient([address], timeout_s)

    def _get(self, path: str, kind: type[T]) -> T:
        reply = self._exchange("GET", path, b"")
        if reply.status != 200:
            raise _error_of(reply)
        return _decode(reply, kind)

    def _post(self, path: str, value: object) -> Accepted:
        reply = self._exchange("POST", path, msgspec.json.encode(value))
        if reply.status not in (200, 202):
            raise _error_of(reply)
        return _decode(reply, Accepted)

    def _exchange(self, method: str, path: str, body: bytes) -> Response:
        """Send a request to the first entry that can be reached.

        A command goes to the next entry only if none of it was sent, so that it is not
        executed twice.
        """
        deadline = time.monotonic() + self.timeout_s
        failures = []
        for entry in self.entries:
            host, _, port = entry.rpartition(":")
            if not host or not port.isdecimal():
                failures.append(f"{entry}: not IP:PORT")
                continue
            conn = http.client.HTTPConnection(host, int(port), _time_left_s(deadline))
            try:
                conn.connect()
            except OSError as exc:
                failures.append(f"{entry}: {exc}")
                continue
            try:
                return _send_request(conn, method, path, body, deadline)
            except (OSError, http.client.HTTPException) as exc:
                failures.append(f"{entry}: {exc!r}")
                if method != "GET":
                    raise AppendUnconfirmedError("; ".join(failures)) from exc
            finally:
                conn.close()
        raise EntryUnreachableError("; ".join(failures))


def _time_left_s(deadline: float) -> float:
    """Return the seconds left; a socket timeout has to be above zero."""
    return max(0.001, deadline - time.monotonic())


def _send_request(
    conn: http.client.HTTPConnection,
    method: str,
    path: str,
    body: bytes,
    deadline: float,
) -> Response:
    conn.request(method, path, body, {"Content-Type": "application/json"})
    conn.sock.settimeout(_time_left_s(deadline))
    response = conn.getresponse()
    parts = []
    size = 0
    while chunk := response.read1(65536):
        size += len(chunk)
        if size > MAX_RESPONSE_BYTES or time.monotonic() > deadline:
            raise http.client.HTTPException("the response is too long or too slow")
        parts.append(chunk)
    if response.length:
        raise http.client.IncompleteRead(b"".join(parts), response.length)
    code = response.headers.get("Primrose-Code", "")
    return Response(response.status, code, b"".join(parts))


def _decode(reply: Response, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.DecodeError as exc:
        raise AppendUnconfirmedError(f"the response cannot be decoded: {exc}") from exc


def _error_of(reply: Response) -> PrimroseError:
    """Return the exception that an error response stands for."""
    text = reply.body.decode("utf-8", "replace").strip()
    try:
        decoded = msgspec.json.decode(reply.body)
    except msgspec.DecodeError:
        decoded = None
    fields: dict[str, Any] = decoded if isinstance(decoded, dict) else {}
    by_status = {409: VoidCommandError.code, 504: AppendUnconfirmedError.code}
    code = fields.get("code") or reply.code or by_status.get(reply.status, "")
    kind = ERRORS.get(code, PrimroseError)
    return kind(_strip_message(kind, fields.get("error") or text))


def _strip_message(kind: type[PrimroseError], message: str) -> str:
    """Return a message without code, summary and remedy, which its class adds again."""
    detail = message.removeprefix(f"{kind.code} {kind.summary}")
    detail = detail.removesuffix(f": {kind.remedy}")
    return detail.strip().removeprefix("(").removesuffix(")")
