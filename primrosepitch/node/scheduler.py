"""Runs the scheduler while this node has the term."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec

from primrosepitch import clock
from primrosepitch.events import TERM_CLAIMED, TERM_LOST, emit
from primrosepitch.jobs.model import EndpointId, JobId, JobSpec
from primrosepitch.jobs.records import (
    Cancellation,
    JobStatus,
    Progress,
    Record,
    Term,
    WaveProgress,
    decode_runs,
    encode,
)
from primrosepitch.jobs.store import (
    Fence,
    KeyedRecord,
    LedgerStore,
    StoreFencedError,
    StoreUnavailableError,
    StoreUnknownError,
)
from primrosepitch.node.dependency import Dependency
from primrosepitch.node.follower import Follower
from primrosepitch.node.ports import Platform
from primrosepitch.node.term import TermWatch, claim_delay_s
from primrosepitch.scheduling import effects as ef
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import Configuration, WaveSpec
from primrosepitch.scheduling.leases import takeover_wait_s
from primrosepitch.scheduling.ordering import ready_steps
from primrosepitch.scheduling.reducer import step
from primrosepitch.scheduling.state import Limits, SchedulerState

__all__ = ["SchedulerRunner"]

TICK_S = 0.02
"""Interval of the reducer's ticks."""

WATCH_S = 0.05
"""Interval at which a node that does not schedule looks for silence."""

CLAIM_PAUSE_S = 0.3
"""Pause after a lost claim, in which the winner's record is read."""

COMMIT_TRY_S = 0.6
"""Time for one try of a commit; it is repeated under the same sequence number. A slow
store answers in 0.3 s; one that comes back gets the next try before others claim."""

CLAIM_RUNS_S = 0.8
"""Time for which the claim of the runs is repeated; others claim the next term after
1.1 s."""

RUNS_S = 1.5
"""Time for reading the runs of all open jobs at the begin of a term."""

COMMIT_RETRY_S = 0.1
"""Pause before a commit is repeated."""

REPORTS_GAP_S = 0.1
"""Pause between readings of the endpoints' reports."""

ORDERS_AT_ONCE = 3
"""Orders under way to one endpoint; more wait, and use the same connections."""

ORDERS_IN_ALL = 48
"""Orders under way in all: when a thousand tasks start at once, commits and looks must
not wait for them. An answer takes 5 ms, so that is 9,000 orders a second."""

MOVES_AT_ONCE = 16
"""Orders to the instances' service under way; it takes 64 a second."""

STALE_ORDER_S = 1.0
"""Age at which an order is dropped unsent: the process was paused meanwhile."""


class SchedulerRunner:
    """Claims terms, feeds the reducer and carries out its effects.

    :param node: name of this node
    :param cores: processor time that this node has; larger nodes claim first
    :param may_claim: whether the store serves this node itself
    """

    def __init__(
        self,
        node: str,
        platform: Platform,
        follower: Follower,
        limits: Limits,
        rng: random.Random,
        cores: float,
        may_claim: Callable[[], bool],
    ) -> None:
        """Follow another node's term at first."""
        self.state = SchedulerState(node=node, limits=limits)
        self._node = node
        self._platform = platform
        self._follower = follower
        self._limits = limits
        self._rng = rng
        self._cores = cores
        self._may_claim = may_claim
        self._cfg = Configuration()
        self._waves: dict[int, WaveSpec] = {}
        self._sign_at = 0.0
        self._sequence = 0
        self._runs_sequence = 0
        self._claiming = False
        self._claims: set[int] = set()
        self._stopping = False
        self._orders: dict[EndpointId, asyncio.Semaphore] = defaultdict(
            lambda: asyncio.Semaphore(ORDERS_AT_ONCE)
        )
        self._all_orders = asyncio.Semaphore(ORDERS_IN_ALL)
        self._all_moves = asyncio.Semaphore(MOVES_AT_ONCE)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._instances_list = Dependency("list of instances")
        self._advice_service = Dependency("advice")
        self._perform: dict[type, Callable[[Any], None]] = {
            ef.Commit: self._commit,
            ef.StartRun: self._start,
            ef.StopRun: self._stop,
            ef.PollEndpoint: self._hold,
            ef.ThrottleRun: self._pace,
            ef.ListInstances: self._list,
            ef.StartMaintenance: self._upkeep,
            ef.MoveInstance: self._move,
            ef.ReportWaveStatus: self._wave_status,
            ef.RequestAdvice: self._advice,
            ef.StepDown: self._step_down,
            ef.WriteLog: self._note,
        }

    @property
    def leading(self) -> bool:
        """Return whether this node schedules."""
        return self.state.term > 0

    def open_jobs(self) -> int:
        """Return how many jobs have not ended, as far as this node schedules them."""
        return len(self.state.jobs)

    def waiting_tasks(self) -> int:
        """Return how many tasks could start now if they had room."""
        return sum(len(ready.tasks) for ready in ready_steps(self.state))

    def silent_endpoints(self) -> int:
        """Return how many endpoints do not answer."""
        endpoints = self.state.endpoints.values()
        return sum(e.contacted and not e.reachable for e in endpoints)

    # What happens

    def configure(self, cfg: Configuration) -> None:
        """Take a configuration."""
        self._cfg = cfg
        self._feed(ev.ConfigurationChanged(cfg))

    def add_wave(self, wave: WaveSpec) -> None:
        """Take a maintenance wave."""
        if wave.wave not in self._waves:
            self._waves[wave.wave] = wave
            self._feed(ev.WaveRequested(wave))

    def record_seen(self, record: Record) -> None:
        """Take a record that the follower has folded."""
        if isinstance(record, JobStatus | Term | WaveProgress):
            own_claim = isinstance(record, Term) and record.holder == self._node
            if not own_claim:
                self._sign_at = clock.monotonic()
            if isinstance(record, Term) and record.number > self.state.term > 0:
                self._step_down(ef.StepDown("a newer term is in the ledger"))
        elif isinstance(record, JobSpec):
            self._feed(ev.JobAccepted(record))
        elif isinstance(record, Cancellation):
            self._feed(ev.CancelRequested(record.job))

    # Programs

    async def run(self) -> None:
        """Watch, claim and schedule for good."""
        jitter_s = claim_delay_s(self._cores, self._rng.random())
        while True:
            if self.leading:
                wall_ms = round(clock.wall() * 1000)
                self._feed(ev.Tick(clock.monotonic(), wall_ms))
                await asyncio.sleep(TICK_S)
                continue
            await asyncio.sleep(WATCH_S)
            watch = TermWatch(
                self._node,
                self._follower.ledger.term,
                self._sign_at,
                self._follower.connected_at,
                self._follower.read_at,
                self._follower.latency_s,
                jitter_s,
            )
            if (
                self._follower.loaded
                and self._cfg.version
                and not self._stopping
                and self._may_claim()
                and watch.should_claim(clock.monotonic())
            ):
                await self._claim()

    async def _claim(self) -> None:
        """Claim the next term; it is won when the ledger shows this claim first."""
        number = self._follower.ledger.term.number + 1
        earlier = self._follower.ledger.term
        term = Term(number, self._node, self._rng.getrandbits(48))
        fence = Fence(number, self._rng.getrandbits(40))
        self._claims.add(term.nonce)
        emit(TERM_CLAIMED, term=number, silent_s=round(self._silent_s(), 2))
        record = KeyedRecord(*encode(term))
        try:
            deadline = clock.monotonic() + COMMIT_TRY_S
            outcome = await self._platform.ledger.append([record], deadline, fence)
            await self._follower.catch_up(outcome.offset + 1)
        except (StoreUnavailableError, StoreUnknownError, StoreFencedError) as exc:
            emit(TERM_LOST, term=number, reason=str(exc))
            await asyncio.sleep(CLAIM_PAUSE_S)
            return
        if self._follower.ledger.term != term:
            emit(TERM_LOST, term=number, reason="another claim came first")
            return
        try:
            runs = await self._claim_runs(record, fence)
        except (
            StoreUnavailableError,
            StoreUnknownError,
            StoreFencedError,
            msgspec.DecodeError,
        ) as exc:
            emit(TERM_LOST, term=number, reason=f"runs: {exc}")
            await asyncio.sleep(CLAIM_PAUSE_S)
            return
        self._sequence = self._runs_sequence = fence.sequence
        self._begin(term, earlier, runs)

    async def _claim_runs(
        self, record: KeyedRecord, fence: Fence
    ) -> dict[JobId, Progress]:
        """Keep the earlier scheduler from writing runs, and read them."""
        limit = clock.monotonic() + CLAIM_RUNS_S
        while True:
            try:
                deadline = clock.monotonic() + COMMIT_TRY_S
                await self._platform.runs.append([record], deadline, fence)
                break
            except (StoreUnavailableError, StoreUnknownError):
                if clock.monotonic() > limit:
                    raise
                await asyncio.sleep(COMMIT_RETRY_S)
        batch = await self._platform.runs.newest(clock.monotonic() + RUNS_S)
        return decode_runs(batch.records)

    def _silent_s(self) -> float:
        return clock.monotonic() - max(self._sign_at, self._follower.connected_at)

    def _begin(self, term: Term, earlier: Term, runs: dict[JobId, Progress]) -> None:
        now = clock.monotonic()
        state = self.state = SchedulerState(node=self._node, limits=self._limits)
        state.nonce = term.nonce
        state.wall_ms = round(clock.wall() * 1000)
        self._feed(ev.ConfigurationChanged(self._cfg))
        for wave in self._waves.values():
            self._feed(ev.WaveRequested(wave))
        self._follower.leading = True
        ledger = self._follower.ledger
        # The earlier scheduler's newest append came before this node read it, or
        # before this node could read at all.
        sign_at = max(self._sign_at, self._follower.connected_at)
        # A holder that released its term, or was a process of this node, has ended.
        # A claim of this process says nothing of the scheduler before it.
        own_claim = earlier.nonce in self._claims
        ended = earlier.holder in ("", self._node) and not own_claim
        self._claims.clear()
        quiet_until = (
            sign_at + takeover_wait_s(self._limits, ended) if earlier.number else now
        )
        waves = {number: w.begun for number, w in ledger.waves.items()}
        taken = ev.TermTaken(now, term.number, ledger.jobs, runs, quiet_until, waves)
        self._feed(taken)
        self._spawn(self._read_reports(term.number))

    async def _read_reports(self, term: int) -> None:
        """Follow the endpoints' reports while the term lasts."""
        directory = self._platform.endpoints()
        reports = Dependency("endpoints' reports")
        while self.state.term == term:
            try:
                changes = await directory.changes(REPORTS_GAP_S)
            except StoreUnavailableError as exc:
                reports.lost(str(exc))
                await asyncio.sleep(REPORTS_GAP_S)
                continue
            reports.back()
            for change in changes:
                now = clock.monotonic()
                if isinstance(change, ev.EndpointReport):
                    self._feed(ev.EndpointReported(change, now))
                elif isinstance(change, str):
                    self._feed(ev.EndpointRemoved(change, now))
            await asyncio.sleep(REPORTS_GAP_S)

    async def release(self) -> None:
        """Give up the term so that another node claims it at once."""
        self._stopping = True
        if not self.leading:
            return
        while self.state.committing and self.leading:
            await asyncio.sleep(TICK_S)
        number = self.state.term
        self._step_down(ef.StepDown("the process stops"))
        self._sequence += 1
        record = KeyedRecord(*encode(Term(number, "", self.state.nonce)))
        try:
            await self._platform.ledger.append(
                [record],
                clock.monotonic() + COMMIT_TRY_S,
                Fence(number, self._sequence),
            )
        except (StoreUnavailableError, StoreUnknownError, StoreFencedError) as exc:
            emit(TERM_LOST, term=number, reason=f"not released: {exc}")

    # Effects

    def _feed(self, event: ev.Event) -> None:
        for effect in step(self.state, event):
            self._perform[type(effect)](effect)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _in_term(self, term: int, event: ev.Event) -> None:
        """Feed an answer, unless the term it belongs to has ended."""
        if self.state.term == term:
            self._feed(event)

    def _note(self, effect: ef.WriteLog) -> None:
        emit(effect.event, **{"term": self.state.term, **effect.fields})

    def _commit(self, effect: ef.Commit) -> None:
        term = self.state.term
        appends = []
        if effect.runs:
            self._runs_sequence += 1
            fence = Fence(term, self._runs_sequence)
            appends.append(self._append(self._platform.runs, effect.runs, fence))
        if effect.shared:
            self._sequence += 1
            fence = Fence(term, self._sequence)
            appends.append(self._append(self._platform.ledger, effect.shared, fence))
        self._spawn(self._append_all(effect.number, term, appends))

    async def _append_all(
        self, number: int, term: int, appends: list[Coroutine[Any, Any, bool]]
    ) -> None:
        """Append to both partitions at once: neither depends on the other.

        A state that is durable without the runs ends a job that has ended; runs
        without the state are settled by the next scheduler.
        """
        if all(await asyncio.gather(*appends)):
            self._in_term(term, ev.Committed(number, clock.monotonic()))

    async def _append(
        self, store: LedgerStore, records: list[KeyedRecord], fence: Fence
    ) -> bool:
        """Append until the store says that it is done, or that the term is over.

        :returns: whether it is done
        """
        while self.state.term == fence.epoch:
            deadline = clock.monotonic() + COMMIT_TRY_S
            try:
                await store.append(records, deadline, fence)
            except (StoreUnavailableError, StoreUnknownError):
                await asyncio.sleep(COMMIT_RETRY_S)
                continue
            except StoreFencedError as exc:
                if self.state.term == fence.epoch:
                    self._step_down(ef.StepDown(f"fenced by the store: {exc}"))
                return False
            return True
        return False

    def _step_down(self, effect: ef.StepDown) -> None:
        emit(TERM_LOST, term=self.state.term, reason=effect.reason)
        nonce = self.state.nonce
        self.state = SchedulerState(node=self._node, limits=self._limits)
        self.state.nonce = nonce
        self._follower.leading = False
        self._sign_at = clock.monotonic()

    def _start(self, order: ef.StartRun) -> None:
        def answered(outcome: ev.Outcome) -> ev.Event:
            now = clock.monotonic()
            return ev.StartAnswered(order.task, order.run, order.endpoint, outcome, now)

        self._order(order, self._platform.start, answered)

    def _stop(self, order: ef.StopRun) -> None:
        def answered(outcome: ev.Outcome) -> ev.Event:
            now = clock.monotonic()
            return ev.StopAnswered(order.task, order.run, order.endpoint, outcome, now)

        self._order(order, self._platform.stop, answered)

    def _pace(self, order: ef.ThrottleRun) -> None:
        self._order(order, self._platform.pace, lambda _: None)

    def _order(
        self,
        order: Any,
        send: Callable[[Any], Awaitable[ev.Outcome]],
        answered: Callable[[ev.Outcome], ev.Event | None],
    ) -> None:
        self._spawn(self._send_order(order, send, answered, clock.monotonic()))

    async def _send_order(
        self,
        order: Any,
        send: Callable[[Any], Awaitable[ev.Outcome]],
        answered: Callable[[ev.Outcome], ev.Event | None],
        decided: float,
    ) -> None:
        async with self._orders[order.endpoint], self._all_orders:
            if self.state.term != order.token:
                return
            if clock.monotonic() - decided > STALE_ORDER_S:
                outcome = ev.Outcome.NOT_SENT
            else:
                outcome = await send(order)
        if outcome is ev.Outcome.FENCED and self.state.term == order.token:
            reason = f"{order.endpoint} has a higher fencing token"
            self._step_down(ef.StepDown(reason))
            return
        event = answered(outcome)
        if event is not None:
            self._in_term(order.token, event)

    def _hold(self, order: ef.PollEndpoint) -> None:
        self._spawn(self._send_hold(order))

    async def _send_hold(self, order: ef.PollEndpoint) -> None:
        answer = await self._platform.hold(order)
        if isinstance(answer, ev.EndpointPolled):
            self._in_term(order.token, answer)
        else:
            now = clock.monotonic()
            self._in_term(order.token, ev.PollFailed(order.endpoint, answer, now))

    def _list(self, effect: ef.ListInstances) -> None:
        self._spawn(self._read_instances(self.state.term))

    async def _read_instances(self, term: int) -> None:
        instances = await self._platform.instances()
        if instances is None:
            self._instances_list.lost("no readable answer")
        else:
            self._instances_list.back()
        self._in_term(term, ev.InstancesListed(instances, clock.monotonic()))

    def _upkeep(self, order: ef.StartMaintenance) -> None:
        self._spawn(self._send_upkeep(order, clock.monotonic()))

    async def _send_upkeep(self, order: ef.StartMaintenance, decided: float) -> None:
        outcome = ev.Outcome.NOT_SENT
        if clock.monotonic() - decided <= STALE_ORDER_S:
            outcome = await self._platform.upkeep(order)
        now = clock.monotonic()
        answer = ev.MaintenanceAnswered(order.instance, order.wave, outcome, now)
        self._in_term(order.token, answer)

    def _move(self, order: ef.MoveInstance) -> None:
        self._spawn(self._send_move(order, clock.monotonic()))

    async def _send_move(self, order: ef.MoveInstance, decided: float) -> None:
        outcome = ev.Outcome.NOT_SENT
        async with self._all_moves:
            if clock.monotonic() - decided <= STALE_ORDER_S:
                outcome = await self._platform.move(order)
        now = clock.monotonic()
        answer = ev.MoveAnswered(order.instance, order.pool, outcome, now)
        self._in_term(order.token, answer)

    def _wave_status(self, effect: ef.ReportWaveStatus) -> None:
        self._spawn(self._tell_wave(self.state.term, effect))

    async def _tell_wave(self, term: int, effect: ef.ReportWaveStatus) -> None:
        while self.state.term == term:
            if await self._platform.tell_wave(effect.wave, effect.completed):
                return
            await asyncio.sleep(COMMIT_RETRY_S)

    def _advice(self, question: ef.RequestAdvice) -> None:
        self._spawn(self._ask(self.state.term, question))

    async def _ask(self, term: int, question: ef.RequestAdvice) -> None:
        answer = await self._platform.advice(question)
        if answer.allowed is None:
            self._advice_service.lost("no readable answer")
        else:
            self._advice_service.back()
        self._in_term(term, answer)
