"""What the entry and the planner share: settings, log, session, peers and stop."""

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
    LOG_BACK,
    LOG_DOWN,
    RESUMED,
    SESSION_LOST,
    SESSION_OPENED,
    STARTED,
    STOP_FORCED,
    STOPPED,
    STOPPING,
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
from primrosepitch.net.log_reader import LogReader
from primrosepitch.net.membership import Membership
from primrosepitch.net.peers import PeerRequest, PeerServer
from primrosepitch.net.platform import PlatformClient
from primrosepitch.settings import Settings, load_settings
from primrosepitch.trace import Recorder, recorder

__all__ = ["Daemon", "run_program"]

FAST_TICK_S = 0.05
SLOW_TICK_S = 1.0
BEAT_S = 0.5
PAUSE_S = 1.0
"""A gap between two turns of the loop that counts as a pause; the loop turns at least
every ``BEAT_S`` otherwise."""

STATUS_S = 1.0
CLOSE_S = 5.0
"""Time for the last record of a session to be read back."""

STOP_S = 60.0
"""Time for a graceful stop; above the longest deadline of a request (30 s)."""

RELAY_S = 2.0
RELAY_EVERY_S = 10.0


class Daemon:
    """Base of a program that follows the log and drives a reducer.

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
        """Create the parts without opening a socket."""
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
            self._confirmed,
            self.tail.check_accepted_offset,
        )
        self._trace = trace
        self._peer_server = PeerServer(self._peer_message)
        self._queue: deque[Any] = deque()
        self._handling = False
        self._last_turn = clock.monotonic()
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

    def fleet(self) -> FleetState:
        """Return the folded state that the reducer owns."""
        raise NotImplementedError

    def step(self, event: Any) -> Sequence[Any]:
        """Feed one event to the reducer and return its effects."""
        raise NotImplementedError

    def perform(self, effect: Any) -> None:
        """Carry out one effect."""
        raise NotImplementedError

    def tick(self) -> Any:
        """Return the event of a passing moment."""
        return self.events.Tick(now=clock.monotonic(), seed=random.getrandbits(31))

    def is_busy(self) -> bool:
        """Whether something waits, so that ticks have to come every 50 ms."""
        return False

    async def open(self) -> None:
        """Open further sockets, after the peer address has been bound."""

    async def drain(self) -> None:
        """Let callers take what was written, at the end of a graceful stop."""

    def close(self) -> None:
        """Close them."""

    def http_address(self) -> str:
        """Return the address for callers or operators, for the log."""
        return f"{self.settings.address}:{self.settings.http_port}"

    def peer_message(self, question: PeerRequest) -> None:
        """Handle a message of a peer that the base does not know."""

    def status_for(self, session: SessionId, connection: int) -> Status:
        """Return the report that a peer of the data centre gets each second.

        :param connection: number of the connection to the peer; a new one has got no
            reports before
        """
        return self.status([], [])

    def pending_withdrawals(self) -> list[bytes]:
        """Return the withdrawn keys that the log does not have yet."""
        return []

    def status(self, usage: list[Usage], rows: list[SessionId]) -> Status:
        """Return a report.

        :param rows: processes whose positions are passed on
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
        """Do what is due once a second."""

    def record_folded(self, offset: Offset, record: AnyRecord) -> None:
        """Look at a record that the reducer has folded."""

    # Reducer

    def handle(self, event: Any) -> None:
        """Feed an event to the reducer, after a pause if there was one.

        Effects can cause further events; those wait until all effects are carried out.
        """
        self._note_turn()
        self._queue.append(event)
        self._run_queue()
        if self.is_busy():
            self._wake.set()

    def _note_turn(self) -> None:
        """Queue ``Resumed`` if the process was paused since the last turn."""
        now = clock.monotonic()
        gap = now - self._last_turn
        self._last_turn = now
        if gap > PAUSE_S:
            emit(RESUMED, gap_s=round(gap, 3))
            self.tail.require_check()
            self._queue.append(self.events.Resumed(now=now, gap=gap))

    def _run_queue(self) -> None:
        if self._handling:
            return
        self._handling = True
        try:
            while self._queue:
                self._step(self._queue.popleft())
        finally:
            self._handling = False

    def _step(self, event: Any) -> None:
        effects = self.step(event)
        self._trace.write(event, effects)
        for effect in effects:
            self.perform(effect)

    def append(self, record: Record) -> RecordId:
        """Append a record; its id, session and time are filled in."""
        return self.appender.append(record)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine beside the loop; a failure of it is logged."""
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
        """Hand a record to the reducer and its outcome to whoever waits."""
        outcome = None
        if self.appender.waits_for_outcome(record.record_id):
            outcome = _outcome(self.fleet(), offset, record)
        read = self.events.RecordRead
        self.handle(read(now=clock.monotonic(), offset=offset, record=record))
        self.appender.confirm(record, outcome)
        if isinstance(record, SessionOpened | SessionClosed | SessionEnded):
            self.peers.update(self.fleet())
            self._check_session()
        self.record_folded(offset, record)

    def state_loaded(self, data: bytes) -> None:
        """Hand a newer state to the reducer."""
        self.handle(self.events.StateLoaded(now=clock.monotonic(), data=data))
        self.peers.update(self.fleet())

    def log_contact(self, up: bool) -> None:
        """Tell the reducer about the link to the log."""
        if up is not self._log_up:
            emit(LOG_BACK if up else LOG_DOWN, platform=self.settings.platform)
            self._log_up = up
        self.handle(self.events.LogContact(now=clock.monotonic(), up=up))
        self._check_session()

    def _confirmed(self, record: Record, sent: float) -> None:
        """Tell the reducer when a confirmed renewal of the session was sent."""
        if not isinstance(record, SessionOpened | SessionRenewed):
            return
        if isinstance(record, SessionOpened):
            emit(SESSION_OPENED, session=self.session)
        kind = getattr(self.events, "RenewalConfirmed", None)
        if kind is not None:
            self.handle(kind(now=clock.monotonic(), sent=sent))

    # Session

    def _check_session(self) -> None:
        """Open, renew or give up the session, as the fold has it."""
        if not self.tail.ready.is_set() or self._finished.is_set():
            return
        now = clock.monotonic()
        own = self.fleet().sessions.get(self.session)
        if own is None:
            if not self.stopping and not self.appender.pending(SessionOpened):
                self._renew_at = now + self.settings.renew_s
                self.append(self._opening())
        elif own.state is SessionState.ENDED:
            if not self.stopping:
                emit(SESSION_LOST, session=self.session)
                self._exit_code = 1
                self.stop()
        elif now >= self._renew_at:
            self._renew(now)

    def _opening(self) -> SessionOpened:
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
        """Renew the session, through a peer while the own link to the log is down."""
        waiting = self.appender.pending(SessionRenewed)
        if not waiting:
            self._renew_at = now + self.settings.renew_s
            renewal = SessionRenewed(
                record_id=RecordId(""), by=self.session, sessions=[self.session]
            )
            self.append(renewal)
        elif not self.tail.up and now >= self._relay_at:
            peers = self.peers.with_log_contact()
            # Entries of other data centres report to the lowest entry here only.
            peers = peers or list(self.peers.lowest_named_entries().values())
            if peers:
                self._relay_at = now + RELAY_EVERY_S
                self.spawn(self._relay(waiting[0], peers))

    async def _relay(self, record: Record, peers: list[SessionId]) -> None:
        """Ask peers that have contact with the log, in turn, to append a record."""
        question = RelayAppend(record=encode_record(record))
        for session in peers:
            self.appender.mark_relayed(record.record_id)
            with contextlib.suppress(PeerUnavailableError):
                answer = await self.peers.request(session, question, RELAY_S)
                if isinstance(answer, RelayAppended) and answer.accepted:
                    return

    # Peers

    def _peer_message(self, question: PeerRequest) -> None:
        body = question.body
        fleet = self.fleet()
        if isinstance(body, Status):
            self.peers.record_status(body)
            self.tail.record_peer_generation(body.generation)
            self.peer_message(question)
        elif isinstance(body, Hello):
            question.reply(
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
            question.reply(Fetched(generation=fleet.generation, records=records))
        elif isinstance(body, FetchState):
            self._answer_state(question, fleet)
        elif isinstance(body, RelayAppend):
            self.spawn(self._append_for_peer(question, body.record))
        else:
            self.peer_message(question)

    def _answer_state(self, question: PeerRequest, fleet: FleetState) -> None:
        data = b"".join(encode_state(fleet))
        state = FetchedState(
            generation=fleet.generation, offset=fleet.offset, data=data
        )
        with contextlib.suppress(FrameError):
            question.reply(state)

    async def _append_for_peer(self, question: PeerRequest, data: bytes) -> None:
        accepted = True
        try:
            decode_record(data)
            await self.platform.append(STREAM, data)
        except (FrameError, LogUnavailableError):
            accepted = False
        question.reply(RelayAppended(accepted=accepted))

    # Life

    async def run(self) -> int:
        """Run until a graceful stop has ended.

        :returns: exit code
        :raises OSError: if an address is in use
        """
        address = self.settings.address
        self.peer_port = await self._peer_server.listen(address, self.peer_port)
        await self.open()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        emit(
            STARTED,
            session=self.session,
            dc=self.settings.dc,
            http=self.http_address(),
            peers=f"{address}:{self.peer_port}",
        )
        loops = (
            self.tail.run,
            self.appender.run,
            self._ticks,
            self._beats,
            self._seconds,
        )
        tasks = [asyncio.ensure_future(self._forever(body)) for body in loops]
        await self._finished.wait()
        if self._close_session:
            await self._append_closing()
        await self.drain()
        await self._end(tasks)
        emit(STOPPED, session=self.session, exit_code=self._exit_code)
        return self._exit_code

    def stop(self) -> None:
        """Begin a graceful stop; further calls change nothing."""
        if self.stopping:
            return
        self.stopping = True
        emit(STOPPING, session=self.session)
        asyncio.get_running_loop().call_later(STOP_S, self._force_stop)
        self.handle(self.events.StopAsked(now=clock.monotonic()))

    def finish(self, close_session: bool = True) -> None:
        """End the process, since all its work has ended."""
        self._close_session = close_session
        self._finished.set()

    def _force_stop(self) -> None:
        if not self._finished.is_set():
            emit(STOP_FORCED, session=self.session)
            self._exit_code = 1
            self.finish(close_session=False)

    async def _forever(self, body: Callable[[], Any]) -> None:
        """Run a loop of the process; end the process if it fails."""
        try:
            await body()
        except Exception as exc:
            emit(TASK_FAILED, cause=repr(exc))
            self._exit_code = 1
            self.finish(close_session=False)
            raise

    async def _append_closing(self) -> None:
        """Close the session; one whose opening is under way is waited for."""
        deadline = clock.monotonic() + CLOSE_S
        while self.appender.pending(SessionOpened) and clock.monotonic() < deadline:
            await asyncio.sleep(FAST_TICK_S)
        own = self.fleet().sessions.get(self.session)
        if own is None or own.state is not SessionState.OPEN:
            return
        closing = SessionClosed(
            record_id=RecordId(""), by=self.session, session=self.session
        )
        with contextlib.suppress(AppendUnconfirmedError):
            await self.appender.append_and_confirm(closing, CLOSE_S)

    async def _end(self, tasks: list[asyncio.Task[None]]) -> None:
        for task in [*tasks, *self._tasks]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.close()
        self._peer_server.close()
        self.peers.close()
        self.platform.close()

    async def _ticks(self) -> None:
        """Tick every 50 ms while something waits, else about once a second."""
        while True:
            self._wake.clear()
            if self.is_busy():
                await asyncio.sleep(FAST_TICK_S)
            else:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(SLOW_TICK_S):
                        await self._wake.wait()
                if self._wake.is_set():
                    continue
            self.handle(self.tick())

    async def _beats(self) -> None:
        """Turn the loop often enough to notice any pause above ``PAUSE_S``."""
        while True:
            await asyncio.sleep(BEAT_S)
            self._note_turn()
            self._run_queue()

    async def _seconds(self) -> None:
        """Report to peers and look after the session each second."""
        while True:
            await asyncio.sleep(STATUS_S)
            self._check_session()
            self.each_second()
            self._tell_status()

    def _tell_status(self) -> None:
        peers = self.peers.in_own_dc()
        if not peers or not self.tail.ready.is_set():
            return
        for session in peers:
            client = self.peers.client(session)
            if client is not None and client.ready():
                client.notify(self.status_for(session, client.connections_opened))


def _outcome(state: FleetState, offset: Offset, record: AnyRecord) -> Outcome:
    """Return the outcome of a fold, found on a copy, since the reducer folds."""
    data = msgspec.msgpack.encode(state)
    return fold(msgspec.msgpack.decode(data, type=FleetState), offset, record)


def run_program(
    program: str,
    make: Callable[[Settings, Recorder], Daemon],
    argv: Sequence[str] | None = None,
) -> int:
    """Parse the command line and run a daemon.

    :param make: constructor of the daemon
    :returns: exit code; 2 for wrong settings
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
    with recorder(options.record) as trace:
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
    """Ignore further signals to stop, since closing the loop would reset them.

    A second SIGTERM during the last moments of a graceful stop would otherwise kill
    the process, which then does not exit with 0.
    """
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _parse(program: str, argv: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog=program)
    parser.add_argument("--settings", type=Path, required=True, help="YAML file")
    parser.add_argument("--check", action="store_true", help="check the settings only")
    parser.add_argument("--record", type=Path, help="write the reducer's trace")
    parser.add_argument(
        "--version", action="version", version=f"%(prog)s {__version__}"
    )
    return parser.parse_args(argv)
