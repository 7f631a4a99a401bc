"""Base of the entry and the planner: settings, log, session, peers and shutdown."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import signal
import sys
import uuid
from collections import deque
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any

import msgspec

from primrosepitch import __version__, clock
from primrosepitch.errors import (
    AppendUnconfirmedError,
    FrameError,
    LogUnavailableError,
    PeerUnavailableError,
    SettingsError,
)
from primrosepitch.events import (
    LOG_AVAILABLE,
    LOG_UNAVAILABLE,
    PROCESS_RESUMED,
    PROCESS_STARTED,
    PROCESS_STOPPED,
    PROCESS_STOPPING,
    SESSION_LOST,
    SESSION_OPENED,
    STOP_FORCED,
    TASK_FAILED,
    emit,
    setup_logging,
)
from primrosepitch.fleet.fold import Outcome, fold
from primrosepitch.fleet.records import (
    AnyRecord,
    Record,
    Role,
    SessionClosed,
    SessionEnded,
    SessionOpened,
    SessionRenewed,
    decode_record,
    encode_record,
)
from primrosepitch.fleet.snapshot import encode_state
from primrosepitch.fleet.state import FleetState, SessionState
from primrosepitch.gen.primrose.ttypes import (
    Fetch,
    Fetched,
    FetchedState,
    FetchState,
    Hello,
    LogEntry,
    ProcessStatus,
    RelayAppend,
    RelayAppended,
    Status,
    Usage,
)
from primrosepitch.ids import Offset, RecordId, SessionId
from primrosepitch.net.appender import STREAM, Appender
from primrosepitch.net.client_account import ClientAccount, CutOff
from primrosepitch.net.log_reader import LogReader
from primrosepitch.net.membership import Membership
from primrosepitch.net.peers import PeerRequest, PeerServer
from primrosepitch.net.platform import PlatformClient
from primrosepitch.settings import Settings, load_settings
from primrosepitch.trace import Recorder, open_recorder

__all__ = ["DRAIN_TIMEOUT_S", "Daemon", "run_program"]

BUSY_TICK_S = 0.05
IDLE_TICK_S = 1.0
PAUSE_CHECK_INTERVAL_S = 0.5
MIN_PAUSE_S = 1.0
"""Gap between two iterations of the loop that counts as a pause of the process; without
a pause the loop runs at least every ``PAUSE_CHECK_INTERVAL_S``."""

PAUSE_BACKLOG_S = 0.5
"""Time after a pause in which the messages that arrived during it are read."""

STATUS_INTERVAL_S = 1.0
SESSION_CLOSE_TIMEOUT_S = 5.0
"""Timeout for the last record of a session to be read back from the log."""

STOP_TIMEOUT_S = 60.0
"""Timeout of a graceful stop; longer than the longest deadline of a request (30 s)."""

DRAIN_TIMEOUT_S = 2.0
"""Time at the end of a graceful stop for open connections to end."""

RELAY_TIMEOUT_S = 2.0
RELAY_INTERVAL_S = 10.0


class Daemon:
    """Base class of programs that follow the log and drive a reducer.

    A subclass sets ``role`` and ``events`` (the module of its reducer's events) and
    overrides the hooks ``fleet``, ``step``, ``perform``, and, if needed, ``tick``,
    ``open``, ``drain``, ``close``, ``is_busy``, ``peer_message``, ``status_for``,
    ``pending_withdrawals``, ``each_second``, ``record_folded``. It calls ``finish``
    when its reducer reports that all work has ended.

    :param settings: settings of the process
    :param trace: recorder of the reducer's events
    """

    role: Role
    events: Any

    def __init__(self, settings: Settings, trace: Recorder) -> None:
        """Create the components without opening a socket."""
        self.settings = settings
        self.session = SessionId(f"{settings.name}-{uuid.uuid4().hex[:12]}")
        self.stopping = False
        self.peer_port = settings.peer_port
        self.peers = Membership(self.session, settings.dc, settings.seeds)
        self.platform = PlatformClient(settings.platform, settings.dc)
        self.tail = LogReader(self.platform, self, self.peers, self.session)
        self.appender = Appender(
            self.platform,
            self.session,
            self._append_confirmed,
            self.tail.check_accepted_offset,
        )
        self._trace = trace
        self.client_account = ClientAccount(on_cut_off=self.client_cut_off)
        self._peer_server = PeerServer(self._peer_message, self.client_account)
        self._queue: deque[Any] = deque()
        self._handling = False
        self._last_iteration = clock.monotonic()
        self._resumed_at = float("-inf")
        self._pause_s = 0.0
        self._finished = asyncio.Event()
        self._wake = asyncio.Event()
        self._close_session = False
        self._exit_code = 0
        self._log_up: bool | None = None
        self._was_open = False
        self._renew_at = 0.0
        self._relay_at = 0.0
        self._tasks: set[asyncio.Task[Any]] = set()

    # Hooks

    def client_cut_off(self, reason: CutOff) -> None:
        """Count a client that was cut off, in a process with metrics."""

    def fleet(self) -> FleetState:
        """Return the folded fleet state, which the reducer owns."""
        raise NotImplementedError

    def step(self, event: Any) -> Sequence[Any]:
        """Apply one event to the reducer and return its effects."""
        raise NotImplementedError

    def perform(self, effect: Any) -> None:
        """Perform one effect."""
        raise NotImplementedError

    def tick(self) -> Any:
        """Return the event for a tick of the clock."""
        return self.events.Tick(now=clock.monotonic(), seed=random.getrandbits(31))

    def is_busy(self) -> bool:
        """Return whether work is waiting, so that ticks are needed every 50 ms."""
        return False

    async def open(self) -> None:
        """Open further sockets after the peer address was bound."""

    async def drain(self) -> None:
        """Let callers read their responses at the end of a graceful stop."""

    def close(self) -> None:
        """Close the sockets that ``open`` opened."""

    def http_address(self) -> str:
        """Return the address for callers or operators that is published in the log."""
        return f"{self.settings.address}:{self.settings.http_port}"

    def peer_message(self, peer_request: PeerRequest) -> None:
        """Handle a peer's message that the base class does not handle."""

    def status_for(self, session: SessionId, connection: int) -> Status:
        """Return the report that is sent to a peer of the data centre each second.

        :param connection: number of the connection to the peer; no report was sent
            before on a new one
        """
        return self.status([], [])

    def pending_withdrawals(self) -> list[bytes]:
        """Return the withdrawn keys that are not yet in the log."""
        return []

    def status(self, usage: list[Usage], rows: list[SessionId]) -> Status:
        """Return a report of this process.

        :param rows: processes whose positions are forwarded
        """
        fleet = self.fleet()
        now = clock.monotonic()
        return Status(
            session=self.session,
            generation=fleet.generation,
            offset=fleet.offset,
            usage=usage,
            processes=[
                ProcessStatus(
                    session=sid,
                    generation=r.generation,
                    offset=r.offset,
                    age_ms=int(min((now - r.observed_at) * 1000, 2**31 - 1)),
                )
                for sid, r in self.peers.reports.items()
                if sid in rows
            ],
            pending_withdrawals=self.pending_withdrawals(),
            log_contact=self.tail.up,
        )

    def each_second(self) -> None:
        """Run periodic work, once a second."""

    def record_folded(self, offset: Offset, record: AnyRecord) -> None:
        """Handle a record after the reducer has folded it."""

    # Reducer

    def handle(self, event: Any) -> None:
        """Apply an event to the reducer, after ``Resumed`` if there was a pause.

        Effects can cause further events; these are queued until all effects are
        performed.
        """
        self._detect_pause()
        self._queue.append(event)
        self._run_queue()
        if self.is_busy():
            self._wake.set()

    def _detect_pause(self) -> None:
        """Queue ``Resumed`` if the process was paused since the last iteration."""
        now = clock.monotonic()
        gap = now - self._last_iteration
        self._last_iteration = now
        if gap > MIN_PAUSE_S:
            emit(PROCESS_RESUMED, gap_s=round(gap, 3))
            self._resumed_at, self._pause_s = now, gap
            self.tail.require_check()
            self._queue.append(self.events.Resumed(now=now, gap=gap))

    def unread_s(self) -> float:
        """Return for how long a message that is read now may have waited.

        It is the length of the newest pause while the messages that arrived during it
        are read, and 0 otherwise.
        """
        self._detect_pause()
        reading = clock.monotonic() - self._resumed_at < PAUSE_BACKLOG_S
        return self._pause_s if reading else 0.0

    def _run_queue(self) -> None:
        if self._handling:
            return
        self._handling = True
        try:
            while self._queue:
                self._apply(self._queue.popleft())
        finally:
            self._handling = False

    def _apply(self, event: Any) -> None:
        effects = self.step(event)
        self._trace.write(event, effects)
        for effect in effects:
            self.perform(effect)

    def append(self, record: Record) -> RecordId:
        """Append a record; the appender sets its id, session and time."""
        return self.appender.append(record)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a background task; its failure is logged."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            emit(TASK_FAILED, cause=repr(task.exception()))

    # Log

    def record_read(self, offset: Offset, record: AnyRecord) -> None:
        """Apply a record to the reducer and report its outcome to a waiting append."""
        outcome = None
        if self.appender.waits_for_outcome(record.record_id):
            outcome = _fold_outcome(self.fleet(), offset, record)
        read = self.events.RecordRead
        self.handle(read(now=clock.monotonic(), offset=offset, record=record))
        self.appender.confirm(record, outcome)
        if isinstance(record, SessionOpened | SessionClosed | SessionEnded):
            self.peers.update(self.fleet())
            self._check_session()
        self.record_folded(offset, record)

    def state_loaded(self, data: bytes) -> None:
        """Apply a newer state to the reducer."""
        self.handle(self.events.StateLoaded(now=clock.monotonic(), data=data))
        self.peers.update(self.fleet())

    def log_contact(self, up: bool) -> None:
        """Report to the reducer whether the log can be read."""
        if up is not self._log_up:
            emit(
                LOG_AVAILABLE if up else LOG_UNAVAILABLE,
                platform=self.settings.platform,
            )
            self._log_up = up
        self.handle(self.events.LogContact(now=clock.monotonic(), up=up))
        self._check_session()

    def _append_confirmed(self, record: Record, sent: float) -> None:
        """Report a confirmed renewal of the session to the reducer.

        :param sent: boot-time clock when the renewal was sent
        """
        if not isinstance(record, SessionOpened | SessionRenewed):
            return
        if isinstance(record, SessionOpened):
            emit(SESSION_OPENED, session=self.session)
        kind = getattr(self.events, "RenewalConfirmed", None)
        if kind is not None:
            self.handle(kind(now=clock.monotonic(), sent=sent))

    # Session

    def _check_session(self) -> None:
        """Open or renew the session, or stop if the folded state has ended it."""
        if not self.tail.ready.is_set() or self._finished.is_set():
            return
        now = clock.monotonic()
        own = self.fleet().sessions.get(self.session)
        if own is None:
            if not self.stopping and not self.appender.pending(SessionOpened):
                self._renew_at = now + self.settings.renew_s
                self.append(self._session_opened())
        elif own.state is SessionState.ENDED:
            if not self.stopping:
                emit(SESSION_LOST, session=self.session)
                self._exit_code = 1
                self.stop()
        elif now >= self._renew_at:
            self._renew(now)

    def _session_opened(self) -> SessionOpened:
        return SessionOpened(
            record_id=RecordId(""),
            by=self.session,
            session=self.session,
            role=self.role,
            dc=self.settings.dc,
            instance=self.settings.instance,
            peer_address=f"{self.settings.address}:{self.peer_port}",
            http_address=self.http_address(),
        )

    def _renew(self, now: float) -> None:
        """Renew the session, through a peer while this process cannot reach the log."""
        waiting = self.appender.pending(SessionRenewed)
        if not waiting:
            self._renew_at = now + self.settings.renew_s
            renewal = SessionRenewed(
                record_id=RecordId(""), by=self.session, sessions=[self.session]
            )
            self.append(renewal)
        elif not self.tail.up and now >= self._relay_at:
            peers = self.peers.with_log_contact()
            # Entries of other data centres report only to the lowest entry of this one.
            peers = peers or list(self.peers.lowest_named_entries().values())
            if peers:
                self._relay_at = now + RELAY_INTERVAL_S
                self.spawn(self._relay(waiting[0], peers))

    async def _relay(self, record: Record, peers: list[SessionId]) -> None:
        """Send a record to peers in turn until one has appended it for this process."""
        message = RelayAppend(record=encode_record(record))
        for session in peers:
            self.appender.mark_relayed(record.record_id)
            with contextlib.suppress(PeerUnavailableError):
                answer = await self.peers.request(session, message, RELAY_TIMEOUT_S)
                if isinstance(answer, RelayAppended) and answer.accepted:
                    return

    # Peers

    def _peer_message(self, peer_request: PeerRequest) -> None:
        body = peer_request.body
        fleet = self.fleet()
        if isinstance(body, Status):
            self.peers.record_status(body)
            self.tail.record_peer_generation(body.generation)
            self.peer_message(peer_request)
        elif isinstance(body, Hello):
            peer_request.reply(
                Hello(
                    session=self.session,
                    dc=self.settings.dc,
                    generation=fleet.generation,
                    offset=fleet.offset,
                )
            )
        elif isinstance(body, Fetch):
            same = body.generation == fleet.generation
            rows = self.tail.records_from(Offset(body.from_offset)) if same else []
            records = [LogEntry(offset=o, data=d) for o, d in rows]
            peer_request.reply(Fetched(generation=fleet.generation, records=records))
        elif isinstance(body, FetchState):
            self._answer_state(peer_request, fleet)
        elif isinstance(body, RelayAppend):
            self.spawn(self._append_for_peer(peer_request, body.record))
        else:
            self.peer_message(peer_request)

    def _answer_state(self, peer_request: PeerRequest, fleet: FleetState) -> None:
        data = b"".join(encode_state(fleet))
        state = FetchedState(
            generation=fleet.generation, offset=fleet.offset, data=data
        )
        with contextlib.suppress(FrameError):
            peer_request.reply(state)

    async def _append_for_peer(self, peer_request: PeerRequest, data: bytes) -> None:
        accepted = True
        try:
            decode_record(data)
            await self.platform.append(STREAM, data)
        except (FrameError, LogUnavailableError):
            accepted = False
        peer_request.reply(RelayAppended(accepted=accepted))

    # Lifecycle

    async def run(self) -> int:
        """Run until a graceful stop has ended.

        :returns: exit code
        :raises OSError: if it cannot listen on an address
        """
        address = self.settings.address
        self.peer_port = await self._peer_server.listen(address, self.peer_port)
        await self.open()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        emit(
            PROCESS_STARTED,
            session=self.session,
            dc=self.settings.dc,
            http=self.http_address(),
            peers=f"{address}:{self.peer_port}",
        )
        loops = (
            self.tail.run,
            self.appender.run,
            self._run_ticks,
            self._check_pauses,
            self._run_seconds,
        )
        tasks = [asyncio.ensure_future(self._run_loop(body)) for body in loops]
        await self._finished.wait()
        if self._close_session:
            await self._append_session_closed()
        await self.drain()
        await self._shut_down(tasks)
        emit(PROCESS_STOPPED, session=self.session, exit_code=self._exit_code)
        return self._exit_code

    def stop(self) -> None:
        """Begin a graceful stop; further calls have no effect."""
        if self.stopping:
            return
        self.stopping = True
        emit(PROCESS_STOPPING, session=self.session)
        asyncio.get_running_loop().call_later(STOP_TIMEOUT_S, self._force_stop)
        self.handle(self.events.StopAsked(now=clock.monotonic()))

    def finish(self, close_session: bool = True) -> None:
        """End the process after all its work has ended.

        :param close_session: whether to append the end of the session to the log
        """
        self._close_session = close_session
        self._finished.set()

    def _force_stop(self) -> None:
        if not self._finished.is_set():
            emit(STOP_FORCED, session=self.session)
            self._exit_code = 1
            self.finish(close_session=False)

    async def _run_loop(self, body: Callable[[], Any]) -> None:
        """Run a main loop; end the process if it fails."""
        try:
            await body()
        except Exception as exc:
            emit(TASK_FAILED, cause=repr(exc))
            self._exit_code = 1
            self.finish(close_session=False)
            raise

    async def _append_session_closed(self) -> None:
        """Close the session in the log, after waiting for a pending opening."""
        deadline = clock.monotonic() + SESSION_CLOSE_TIMEOUT_S
        while self.appender.pending(SessionOpened) and clock.monotonic() < deadline:
            await asyncio.sleep(BUSY_TICK_S)
        own = self.fleet().sessions.get(self.session)
        if own is None or own.state is not SessionState.OPEN:
            return
        closing = SessionClosed(
            record_id=RecordId(""), by=self.session, session=self.session
        )
        with contextlib.suppress(AppendUnconfirmedError):
            await self.appender.append_and_confirm(closing, SESSION_CLOSE_TIMEOUT_S)

    async def _shut_down(self, tasks: list[asyncio.Task[None]]) -> None:
        for task in [*tasks, *self._tasks]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.close()
        self._peer_server.close()
        self.peers.close()
        self.platform.close()

    async def _run_ticks(self) -> None:
        """Tick every 50 ms while work is waiting, otherwise about once a second."""
        while True:
            self._wake.clear()
            if self.is_busy():
                await asyncio.sleep(BUSY_TICK_S)
            else:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(IDLE_TICK_S):
                        await self._wake.wait()
                if self._wake.is_set():
                    continue
            self.handle(self.tick())

    async def _check_pauses(self) -> None:
        """Check for pauses often enough to detect any longer than ``MIN_PAUSE_S``."""
        while True:
            await asyncio.sleep(PAUSE_CHECK_INTERVAL_S)
            self._detect_pause()
            self._run_queue()

    async def _run_seconds(self) -> None:
        """Check the session, run periodic work and report to peers each second."""
        while True:
            await asyncio.sleep(STATUS_INTERVAL_S)
            self._check_session()
            self.each_second()
            self._send_status()

    def _send_status(self) -> None:
        peers = self.peers.in_own_dc()
        if not peers or not self.tail.ready.is_set():
            return
        for session in peers:
            client = self.peers.client(session)
            if client is not None and client.ready():
                client.notify(self.status_for(session, client.connections_opened))


def _fold_outcome(state: FleetState, offset: Offset, record: AnyRecord) -> Outcome:
    """Return the outcome of folding a record into a copy of the state.

    The reducer folds the record into the state itself.
    """
    data = msgspec.msgpack.encode(state)
    return fold(msgspec.msgpack.decode(data, type=FleetState), offset, record)


def run_program(
    program: str,
    make: Callable[[Settings, Recorder], Daemon],
    argv: Sequence[str] | None = None,
) -> int:
    """Parse the command line and run a daemon.

    :param make: constructor of the daemon
    :returns: exit code; 2 for invalid settings or an address that cannot be bound
    """
    options = _parse(program, argv)
    try:
        settings = load_settings(options.settings)
    except SettingsError as exc:
        print(f"{program}: {exc}", file=sys.stderr)
        return 2
    if options.check:
        print(f"{program}: settings of {settings.name} are valid")
        return 0
    setup_logging(settings.log_level)
    with open_recorder(options.record) as trace:
        return asyncio.run(_run(program, make, settings, trace))


async def _run(
    program: str,
    make: Callable[[Settings, Recorder], Daemon],
    settings: Settings,
    trace: Recorder,
) -> int:
    try:
        return await make(settings, trace).run()
    except OSError as exc:
        print(f"{program}: cannot listen: {exc}", file=sys.stderr)
        return 2
    finally:
        _ignore_signals()


def _ignore_signals() -> None:
    """Ignore further stop signals, since closing the loop would reset their handlers.

    Otherwise a second SIGTERM at the end of a graceful stop would kill the process,
    which would then not exit with 0.
    """
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _parse(program: str, argv: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog=program)
    parser.add_argument(
        "--settings", type=Path, required=True, help="YAML file of settings"
    )
    parser.add_argument("--check", action="store_true", help="only check the settings")
    parser.add_argument(
        "--record", type=Path, help="file to write the reducer's trace to"
    )
    parser.add_argument(
        "--version", action="version", version=f"%(prog)s {__version__}"
    )
    return parser.parse_args(argv)
