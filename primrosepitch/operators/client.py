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

MAX_ANSWER_BYTES = 64 << 20
T = TypeVar("T")


class Answer(msgspec.Struct, frozen=True):
    """A whole HTTP answer."""

    status: int
    code: str
    body: bytes


class OperatorClient:
    """Asks entries in turn until one accepts a connection.

    :param entries: ``IP:port`` of entries, in the order of preference
    :param timeout_s: time for one exchange, connection set-up included
    """

    def __init__(self, entries: list[str], timeout_s: float = 10.0) -> None:
        """Keep the addresses; nothing is opened yet."""
        self.entries = entries
        self.timeout_s = timeout_s

    def config(self) -> ConfigView:
        """Return the configuration in force.

        :raises PrimroseError: if there was no usable answer; so for all methods
        """
        return self._get("/-/config", ConfigView)

    def fleet(self) -> FleetView:
        """Return instances, waves, leases and sessions."""
        return self._get("/-/fleet", FleetView)

    def status(self) -> StatusView:
        """Return the status of the entry that answers first."""
        return self._get("/-/status", StatusView)

    def publish(self, change: Publish) -> Accepted:
        """Publish changed files."""
        return self._post("/-/config", change)

    def command(self, body: dict[str, Any]) -> Accepted:
        """Append a record of an operator."""
        return self._post("/-/records", body)

    def at(self, address: str, timeout_s: float) -> OperatorClient:
        """Return a client of one process."""
        return OperatorClient([address], timeout_s)

    def _get(self, path: str, kind: type[T]) -> T:
        answer = self._exchange("GET", path, b"")
        if answer.status != 200:
            raise _error(answer)
        return _decode(answer, kind)

    def _post(self, path: str, value: object) -> Accepted:
        answer = self._exchange("POST", path, msgspec.json.encode(value))
        if answer.status not in (200, 202):
            raise _error(answer)
        return _decode(answer, Accepted)

    def _exchange(self, method: str, path: str, body: bytes) -> Answer:
        """Exchange with the first entry that can be reached.

        A command goes to the next entry only when nothing of it was sent.
        """
        deadline = time.monotonic() + self.timeout_s
        tried = []
        for entry in self.entries:
            host, _, port = entry.rpartition(":")
            if not host or not port.isdecimal():
                tried.append(f"{entry}: no IP:PORT")
                continue
            conn = http.client.HTTPConnection(host, int(port), _left(deadline))
            try:
                conn.connect()
            except OSError as exc:
                tried.append(f"{entry}: {exc}")
                continue
            try:
                return _talk(conn, method, path, body, deadline)
            except (OSError, http.client.HTTPException) as exc:
                tried.append(f"{entry}: {exc!r}")
                if method != "GET":
                    raise AppendUnconfirmedError("; ".join(tried)) from exc
            finally:
                conn.close()
        raise EntryUnreachableError("; ".join(tried))


def _left(deadline: float) -> float:
    """Return the time left; a socket needs a timeout above zero."""
    return max(0.001, deadline - time.monotonic())


def _talk(
    conn: http.client.HTTPConnection,
    method: str,
    path: str,
    body: bytes,
    deadline: float,
) -> Answer:
    conn.request(method, path, body, {"Content-Type": "application/json"})
    conn.sock.settimeout(_left(deadline))
    response = conn.getresponse()
    parts = []
    size = 0
    while chunk := response.read1(65536):
        size += len(chunk)
        if size > MAX_ANSWER_BYTES or time.monotonic() > deadline:
            raise http.client.HTTPException("the answer is too long or too slow")
        parts.append(chunk)
    if response.length:
        raise http.client.IncompleteRead(b"".join(parts), response.length)
    code = response.headers.get("Primrose-Code", "")
    return Answer(response.status, code, b"".join(parts))


def _decode(answer: Answer, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.DecodeError as exc:
        raise AppendUnconfirmedError(f"the answer cannot be read: {exc}") from exc


def _error(answer: Answer) -> PrimroseError:
    """Return the typed error of an answer."""
    text = answer.body.decode("utf-8", "replace").strip()
    try:
        found = msgspec.json.decode(answer.body)
    except msgspec.DecodeError:
        found = None
    row: dict[str, Any] = found if isinstance(found, dict) else {}
    by_status = {409: VoidCommandError.code, 504: AppendUnconfirmedError.code}
    code = row.get("code") or answer.code or by_status.get(answer.status, "")
    kind = ERRORS.get(code, PrimroseError)
    return kind(_detail(kind, row.get("error") or text))


def _detail(kind: type[PrimroseError], message: str) -> str:
    """Return the detail of a message, since the kind adds summary and remedy again."""
    inner = message.removeprefix(f"{kind.code} {kind.summary}")
    inner = inner.removesuffix(f": {kind.remedy}")
    return inner.strip().removeprefix("(").removesuffix(")")
