"""Commands of operators: publishing, fleet commands and what is in force where."""

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
    "load_base",
    "void_reason",
    "list_places",
    "publish",
    "run_command",
    "save_base",
    "wait_in_force",
]

BASE_FILE = ".primrosepitch-base.json"
"""Keeps, beside the folder's files, the configuration that they were changed from."""

OPERATOR_SESSION = SessionId("operator")
UNASSIGNED_RECORD_ID = RecordId("")
POLL_S = 0.1
PROBE_S = 2.0
PROBES = 16
"""Processes asked at a time, so that unreachable ones do not add up."""

ATTEMPTS = 3


class Published(msgspec.Struct, frozen=True):
    """Result of publishing a folder.

    :param offset: offset from which it is in force
    :param changes: settings that changed
    :param published: false when it was in force already
    """

    offset: Offset
    changes: list[Change]
    published: bool


class Place(msgspec.Struct, frozen=True):
    """How far one open session is.

    :param offset: last offset that it folded; ``None`` when it was not reached
    :param pending: withdrawn keys that it refuses before the log has them
    """

    session: SessionId
    dc: DcId
    role: str
    offset: Offset | None
    pending: tuple[KeyId, ...] = ()

    def __str__(self) -> str:
        """Return the session, its data centre and how far it is."""
        far = "not reached" if self.offset is None else f"at offset {self.offset}"
        return f"{self.role} {self.session} in {self.dc}: {far}"


class Spread(msgspec.Struct, frozen=True):
    """Where something is in force.

    :param reached: sessions where it is in force
    :param lagging: other open sessions
    """

    reached: list[Place]
    lagging: list[Place]

    @property
    def missed_dcs(self) -> list[DcId]:
        """Data centres without a single session where it is in force."""
        reached = {p.dc for p in self.reached}
        return sorted({p.dc for p in self.lagging} - reached)


# Configuration


def load_base(folder: Path) -> ConfigView | None:
    """Return the configuration that a folder was changed from, if it is known."""
    try:
        data = (folder / BASE_FILE).read_bytes()
        return msgspec.json.decode(data, type=ConfigView)
    except (OSError, msgspec.DecodeError):
        return None


def save_base(folder: Path, view: ConfigView) -> None:
    """Remember the configuration that the folder's next change is made from.

    In a folder that cannot be written the base stays unknown, and the next change
    has to name it.
    """
    with suppress(OSError):
        (folder / BASE_FILE).write_bytes(msgspec.json.encode(view))


def publish(
    client: OperatorClient, folder: Path, operator: str, base: Offset | None = None
) -> Published:
    """Publish a folder.

    A publication that is in force already succeeds again, so repeating it after a
    lost answer is harmless.

    :param base: offset of the configuration that the folder was changed from; by
        default the one that was last published from it or written to it
    :raises InvalidConfigError: if the folder has mistakes
    :raises ConfigConflictError: if another operator changed the base, with the changes
    """
    documents = load_folder(folder)
    view = client.config()
    changes = diff(view.documents, documents)
    published = view.documents != documents
    if published:
        _check_base(_base_documents(folder, base, view), view)
        view = _publish_from(client, view, documents, operator)
    save_base(folder, view)
    return Published(view.offset, changes, published)


def _base_documents(
    folder: Path, base: Offset | None, view: ConfigView
) -> dict[str, Document]:
    """Return the documents that a folder was changed from.

    :raises ConfigConflictError: if they are unknown and something is in force
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


def _check_base(base: dict[str, Document], view: ConfigView) -> None:
    """Refuse to overwrite what the operator has not seen."""
    if view.documents != base:
        beneath = diff(base, view.documents)
        lines = "\n  ".join(str(c) for c in beneath) or "only the division into files"
        raise ConfigConflictError(f"changed by offset {view.offset}:\n  {lines}\n")


def _publish_from(
    client: OperatorClient,
    base: ConfigView,
    documents: dict[str, Document],
    operator: str,
) -> ConfigView:
    """Publish until it is in force, for a few lost answers."""
    files, removed = changed_files(base.documents, documents)
    change = Publish(base.offset, files, removed, operator)
    for attempt in range(ATTEMPTS):
        try:
            return ConfigView(client.publish(change).offset, documents)
        except (AppendUnconfirmedError, VoidCommandError, ConfigConflictError) as exc:
            # An earlier attempt may be in force although its answer was lost; then
            # this one is void since the base has changed.
            view = client.config()
            if view.documents == documents:
                return view
            if view.offset != base.offset:
                _check_base(base.documents, view)
            unconfirmed = isinstance(exc, AppendUnconfirmedError)
            if not unconfirmed or attempt == ATTEMPTS - 1:
                raise
    raise AssertionError("the last attempt returns or raises")


# Fleet commands


def void_reason(state: FleetState, record: rec.Record) -> str:
    """Return why a command would be void in this state, or an empty text.

    The record is folded into a copy, so a dry run judges as the log will.
    """
    outcome = fold(copy.deepcopy(state), Offset(state.offset + 1), record)
    if outcome.void is None:
        return ""
    return f"{outcome.void.value} ({outcome.detail})".replace(" ()", "")


def run_command(
    client: OperatorClient, record: rec.Record, done: Callable[[FleetView], bool]
) -> Accepted:
    """Append a command once, even when its answer is lost.

    :param done: whether the command is in force already
    :raises PrimroseError: if it is refused or could not be confirmed
    """
    view = client.fleet()
    if done(view):
        return Accepted(view.offset)
    for attempt in range(ATTEMPTS):
        try:
            return client.command(command_body(record))
        except (AppendUnconfirmedError, VoidCommandError) as exc:
            view = client.fleet()
            if done(view):
                return Accepted(view.offset)
            unconfirmed = isinstance(exc, AppendUnconfirmedError)
            if not unconfirmed or attempt == ATTEMPTS - 1:
                raise
    raise AssertionError("the last attempt returns or raises")


# Spread


def list_places(client: OperatorClient) -> list[Place]:
    """Return how far each open session is, as known to the entry or asked there."""
    sessions = sorted(client.fleet().sessions.items())
    status = client.status()
    opened = [(n, s) for n, s in sessions if s.state is SessionState.OPEN]
    with ThreadPoolExecutor(PROBES) as pool:
        return list(pool.map(lambda row: _place(client, status, *row), opened))


def _place(
    client: OperatorClient, status: StatusView, sid: SessionId, session: Session
) -> Place:
    """Return how far a session is."""
    found = _place_of(sid, session, status) if sid == status.session else None
    if found is None and session.http_address:
        try:
            direct = client.at(session.http_address, PROBE_S).status()
        except PrimroseError:
            direct = None
        # Another process may have taken over the address.
        if direct is not None and direct.session == sid:
            found = _place_of(sid, session, direct)
    known = status.processes.get(sid)
    offset = known.offset if known else None
    return found or Place(sid, session.dc, session.role.value, offset)


def _place_of(sid: SessionId, session: Session, status: StatusView) -> Place:
    pending = tuple(status.pending_withdrawals)
    return Place(sid, session.dc, session.role.value, status.offset, pending)


def wait_in_force(
    client: OperatorClient,
    in_force: Callable[[Place], bool],
    timeout_s: float,
) -> Spread:
    """Wait until something is in force in every open session.

    :returns: where it is in force and where it is not when the time is up
    """
    deadline = time.monotonic() + timeout_s
    while True:
        spread = _spread(client, in_force)
        if (spread.reached and not spread.lagging) or time.monotonic() >= deadline:
            return spread
        time.sleep(POLL_S)


def _spread(client: OperatorClient, in_force: Callable[[Place], bool]) -> Spread:
    try:
        found = list_places(client)
    except (EntryUnreachableError, AppendUnconfirmedError):
        return Spread([], [])
    return Spread(
        reached=[p for p in found if in_force(p)],
        lagging=[p for p in found if not in_force(p)],
    )
