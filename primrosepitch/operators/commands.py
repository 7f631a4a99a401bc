"""Operators' commands: publishing, fleet commands and their propagation."""

from __future__ import annotations

import copy
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path

import msgspec

from primrosepitch.config.diff import Change, changed_files, diff
from primrosepitch.config.loader import load_folder
from primrosepitch.config.model import Document
from primrosepitch.errors import (
    AppendUnconfirmedError,
    ConfigConflictError,
    EntryUnreachableError,
    PrimroseError,
    VoidCommandError,
)
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.fold import fold
from primrosepitch.fleet.state import FleetState, Session, SessionState
from primrosepitch.ids import DcId, KeyId, Offset, RecordId, SessionId
from primrosepitch.operators.client import OperatorClient
from primrosepitch.operators.messages import (
    Accepted,
    ConfigView,
    FleetView,
    Publish,
    StatusView,
    command_body,
)

__all__ = [
    "Place",
    "Published",
    "Spread",
    "list_places",
    "load_base",
    "publish",
    "run_command",
    "save_base",
    "void_reason",
    "wait_in_force",
]

BASE_FILE = ".primrosepitch-base.json"
"""File in a folder that stores the configuration from which the folder was changed."""

OPERATOR_SESSION = SessionId("operator")
UNASSIGNED_RECORD_ID = RecordId("")
POLL_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 2.0
MAX_PARALLEL_PROBES = 16
"""Processes queried in parallel, so that the timeouts of unreachable ones do not add
up."""

MAX_ATTEMPTS = 3


class Published(msgspec.Struct, frozen=True):
    """Result of publishing a folder.

    :param offset: offset from which the configuration is in force
    :param changes: settings that changed
    :param published: whether this call published it; false if it was already in force
    """

    offset: Offset
    changes: list[Change]
    published: bool


class Place(msgspec.Struct, frozen=True):
    """Position of one open session in the log.

    :param offset: last offset that the process folded; ``None`` if it was not reached
    :param pending: withdrawn keys that the process refuses before the log has them
    """

    session: SessionId
    dc: DcId
    role: str
    offset: Offset | None
    pending: tuple[KeyId, ...] = ()

    def __str__(self) -> str:
        """Return the session, its data centre and its offset."""
        position = "not reached" if self.offset is None else f"at offset {self.offset}"
        return f"{self.role} {self.session} in {self.dc}: {position}"


class Spread(msgspec.Struct, frozen=True):
    """Sessions in which a change is and is not in force.

    :param reached: open sessions where it is in force
    :param lagging: other open sessions
    """

    reached: list[Place]
    lagging: list[Place]

    @property
    def missed_dcs(self) -> list[DcId]:
        """Data centres where the change is in force in no session."""
        reached = {p.dc for p in self.reached}
        return sorted({p.dc for p in self.lagging} - reached)


# Configuration


def load_base(folder: Path) -> ConfigView | None:
    """Return the configuration from which a folder was changed, if known."""
    try:
        data = (folder / BASE_FILE).read_bytes()
        return msgspec.json.decode(data, type=ConfigView)
    except (OSError, msgspec.DecodeError):
        return None


def save_base(folder: Path, view: ConfigView) -> None:
    """Store the configuration from which the folder's next change is made.

    If the folder is not writable, the base stays unknown and the next publication has
    to name it.
    """
    with suppress(OSError):
        (folder / BASE_FILE).write_bytes(msgspec.json.encode(view))


def publish(
    client: OperatorClient, folder: Path, operator: str, base: Offset | None = None
) -> Published:
    """Publish a folder.

    Publishing is idempotent: it succeeds if the folder is already in force, so it can
    be repeated after a lost response.

    :param base: offset of the configuration from which the folder was changed; by
        default the one last published from the folder or written to it
    :raises InvalidConfigError: if the folder is invalid
    :raises ConfigConflictError: if another operator changed the base; lists the changes
    """
    documents = load_folder(folder)
    view = client.config()
    changes = diff(view.documents, documents)
    published = view.documents != documents
    if published:
        _check_base_unchanged(_base_documents(folder, base, view), view)
        view = _publish_changes(client, view, documents, operator)
    save_base(folder, view)
    return Published(view.offset, changes, published)


def _base_documents(
    folder: Path, base: Offset | None, view: ConfigView
) -> dict[str, Document]:
    """Return the documents from which a folder was changed.

    :raises ConfigConflictError: if they are unknown and a configuration is in force
    """
    known = load_base(folder)
    if base == view.offset or view.offset < 0:
        return view.documents
    if known is None or base not in (None, known.offset):
        raise ConfigConflictError(
            f"offset {view.offset} is in force and the folder's base is unknown; "
            f"after 'primrosectl diff', pass --base {view.offset}"
        )
    return known.documents


def _check_base_unchanged(base: dict[str, Document], view: ConfigView) -> None:
    """Raise an error if another operator changed the base since."""
    if view.documents != base:
        conflicting = diff(base, view.documents)
        lines = (
            "\n  ".join(str(c) for c in conflicting)
            or "only the distribution of settings over files"
        )
        raise ConfigConflictError(f"changed by offset {view.offset}:\n  {lines}\n")


def _publish_changes(
    client: OperatorClient,
    base: ConfigView,
    documents: dict[str, Document],
    operator: str,
) -> ConfigView:
    """Publish, with up to ``MAX_ATTEMPTS`` attempts if responses are lost."""
    files, removed = changed_files(base.documents, documents)
    change = Publish(base.offset, files, removed, operator)
    for attempt in range(MAX_ATTEMPTS):
        try:
            return ConfigView(client.publish(change).offset, documents)
        except (AppendUnconfirmedError, VoidCommandError, ConfigConflictError) as exc:
            # An earlier attempt may be in force although its response was lost; this
            # one is then void, since the base has changed.
            view = client.config()
            if view.documents == documents:
                return view
            if view.offset != base.offset:
                _check_base_unchanged(base.documents, view)
            unconfirmed = isinstance(exc, AppendUnconfirmedError)
            if not unconfirmed or attempt == MAX_ATTEMPTS - 1:
                raise
    raise AssertionError("the last attempt returns or raises")


# Fleet commands


def void_reason(state: FleetState, record: rec.Record) -> str:
    """Return why a command would be void in this state, or an empty string.

    The record is folded into a copy, so a dry run applies the same checks as the log.
    """
    outcome = fold(copy.deepcopy(state), Offset(state.offset + 1), record)
    if outcome.void is None:
        return ""
    return f"{outcome.void.value} ({outcome.detail})".replace(" ()", "")


def run_command(
    client: OperatorClient, record: rec.Record, done: Callable[[FleetView], bool]
) -> Accepted:
    """Append a command exactly once, even if its response is lost.

    :param done: predicate whether the command is already in force
    :raises PrimroseError: if it is refused or could not be confirmed
    """
    view = client.fleet()
    if done(view):
        return Accepted(view.offset)
    for attempt in range(MAX_ATTEMPTS):
        try:
            return client.command(command_body(record))
        except (AppendUnconfirmedError, VoidCommandError) as exc:
            view = client.fleet()
            if done(view):
                return Accepted(view.offset)
            unconfirmed = isinstance(exc, AppendUnconfirmedError)
            if not unconfirmed or attempt == MAX_ATTEMPTS - 1:
                raise
    raise AssertionError("the last attempt returns or raises")


# Propagation


def list_places(client: OperatorClient) -> list[Place]:
    """Return the position of each open session, queried there or as the entry knows."""
    sessions = sorted(client.fleet().sessions.items())
    status = client.status()
    opened = [(n, s) for n, s in sessions if s.state is SessionState.OPEN]
    with ThreadPoolExecutor(MAX_PARALLEL_PROBES) as pool:
        return list(pool.map(lambda row: _query_place(client, status, *row), opened))


def _query_place(
    client: OperatorClient, status: StatusView, sid: SessionId, session: Session
) -> Place:
    """Return the position of one session."""
    found = _place_from_status(sid, session, status) if sid == status.session else None
    if found is None and session.http_address:
        try:
            direct = client.for_address(session.http_address, PROBE_TIMEOUT_S).status()
        except PrimroseError:
            direct = None
        # Another process may use the address by now.
        if direct is not None and direct.session == sid:
            found = _place_from_status(sid, session, direct)
    known = status.processes.get(sid)
    offset = known.offset if known else None
    return found or Place(sid, session.dc, session.role.value, offset)


def _place_from_status(sid: SessionId, session: Session, status: StatusView) -> Place:
    pending = tuple(status.pending_withdrawals)
    return Place(sid, session.dc, session.role.value, status.offset, pending)


def wait_in_force(
    client: OperatorClient,
    in_force: Callable[[Place], bool],
    timeout_s: float,
) -> Spread:
    """Wait until a change is in force in every open session.

    :param in_force: predicate whether the change is in force in a session
    :returns: the sessions where it is and is not in force after the wait
    """
    deadline = time.monotonic() + timeout_s
    while True:
        spread = _current_spread(client, in_force)
        if (spread.reached and not spread.lagging) or time.monotonic() >= deadline:
            return spread
        time.sleep(POLL_INTERVAL_S)


def _current_spread(
    client: OperatorClient, in_force: Callable[[Place], bool]
) -> Spread:
    try:
        found = list_places(client)
    except (EntryUnreachableError, AppendUnconfirmedError):
        return Spread([], [])
    return Spread(
        reached=[p for p in found if in_force(p)],
        lagging=[p for p in found if not in_force(p)],
    )
