"""Claims terms, and runs the scheduler while this node holds one."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from math import inf
from typing import Any

import msgspec

from primrosepitch import clock
from primrosepitch.decoding import unreadable_as_decode_error
from primrosepitch.events import (
    LEDGER_INCOMPLETE,
    SCHEDULER_HELD,
    SCHEDULER_LATE,
    TASK_FAILED,
    TERM_CLAIMED,
    TERM_HANDED_OVER,
    TERM_LOST,
    TERM_NOT_RELEASED,
    TERM_RELEASED,
    TERM_RELEASING,
    emit,
)
from primrosepitch.jobs.model import (
    DataCentreName,
    EndpointId,
    JobId,
    JobSpec,
    ServiceName,
)
from primrosepitch.jobs.records import (
    Cancellation,
    JobStatus,
    Record,
    SlowEndpoint,
    StoredRuns,
    Term,
    WaveProgress,
    decode_moves,
    decode_runs,
    encode,
)
from primrosepitch.jobs.store import (
    Fence,
    KeyedRecord,
    StoreFencedError,
    StoreUnavailableError,
    StoreUnknownError,
)
from primrosepitch.node.dependency import DependencyMonitor
from primrosepitch.node.fenced_log import (
    APPEND_RETRY_DELAY_S,
    APPEND_TIMEOUT_S,
    FencedLog,
)
from primrosepitch.node.follower import LedgerFollower
from primrosepitch.node.order_queue import MAX_ORDER_AGE_S, Order, OrderQueue
from primrosepitch.node.platform_api import Platform
from primrosepitch.node.recent_maximum import RecentMaximum
from primrosepitch.node.slow_record import read_slow_endpoints
from primrosepitch.node.term import (
    CLAIM_RECONNECTED_SILENCE_S,
    CLAIM_SILENCE_S,
    TermObservation,
    claim_delay_s,
    is_small,
)
from primrosepitch.node.tick_delay import TickDelay
from primrosepitch.scheduling import effects as ef
from primrosepitch.scheduling import events as ev
from primrosepitch.scheduling.configuration import Configuration, WaveSpec
from primrosepitch.scheduling.evacuation import count_evacuated_tasks, precludes_start
from primrosepitch.scheduling.instance_orders import instance_orders_expire_at
from primrosepitch.scheduling.leases import renewed_order, takeover_wait_s
from primrosepitch.scheduling.reducer import step
from primrosepitch.scheduling.state import Limits, SchedulerState
from primrosepitch.scheduling.warmth import count_cold

__all__ = ["SchedulerRunner"]

TICK_INTERVAL_S = 0.02
"""Interval between ticks of the reducer."""

LATE_TICK_S = 0.25
"""Delay of a tick that is logged: the interval between two heartbeats."""

SMALL_JOB_STEPS = 64
"""Number of steps up to which a job is added as soon as it is read."""

LONG_HOLD_S = 0.05
"""Time for one event from which it is logged; the loop serves nothing else then."""

WATCH_INTERVAL_S = 0.05
"""Interval at which a node that does not schedule checks whether to claim the term."""

CLAIM_PAUSE_S = 0.3
"""Pause after a failed claim, in which the winner's record is read."""

FAILURE_PAUSE_S = 3.0
"""Time after an unexpected exception in which this node claims no term, so that another
one does."""

HANDOVER_CHECK_INTERVAL_S = 1.0
"""Interval at which a scheduler on a small node looks for a larger one."""

HANDOVER_PAUSE_S = 3.0
"""Time after a handover in which this node claims no term, so that another one does."""

CLAIM_REPEAT_S = 2.5
"""Time for which an unanswered claim is repeated: the store carries out what waits for
up to 2 s, and rejects more."""

CLAIM_RUNS_TIMEOUT_S = 0.8
"""Time for which the claim of the runs partition is retried; other nodes claim the next
term after 1.1 s."""

READ_RUNS_TIMEOUT_S = 1.5
"""Timeout of reading the runs of all open jobs at the start of a term."""

READ_OPERATORS_TIMEOUT_S = 2.0
"""Timeout of reading the operators' records before a claim. A read that waits for a
change and has lost its connection ends within 1.6 s."""

MAX_UNREAD_S = 2.0
"""Time for which no claim is made because the operators' records can't be read. The
store may refuse their partition alone, and without a scheduler no job starts."""

FORGOTTEN_UNREAD_S = 5.0
"""Time after that at which a failed read counts as the first one again: another node
has scheduled meanwhile."""

REPORTS_READ_PAUSE_S = 0.1
"""Pause between reads of the endpoints' reports."""

MAX_CONCURRENT_MOVES = 16
"""Maximum concurrent moves sent to the instance service, which accepts 64 a second."""


class SchedulerRunner:
    """Claims terms, passes events to the reducer and carries out its effects.

    :param node: name of this node
    :param cores: processor time available to this node, in cores; larger nodes claim
        first
    :param may_claim: whether the store serves this node directly
    :param find_larger_node: returns the name of a larger node that answers and reads
        the store, or an empty string
    :param catch_up_operators: waits until the operators' records that the store has are
        applied, and returns whether they were by the given boot-time clock
    :param append_latency: returns how many seconds this node's appends take now
    """

    def __init__(
        self,
        node: str,
        platform: Platform,
        follower: LedgerFollower,
        limits: Limits,
        rng: random.Random,
        cores: float,
        may_claim: Callable[[], bool],
        find_larger_node: Callable[[], Awaitable[str]],
        append_latency: Callable[[], float] = lambda: 0.0,
        catch_up_operators: Callable[[float], Awaitable[bool]] | None = None,
    ) -> None:
        """Start without a term."""
        self.state = SchedulerState(node=node, limits=limits)
        self._node = node
        self._platform = platform
        self._follower = follower
        self._limits = limits
        self._rng = rng
        self._cores = cores
        self._may_claim = may_claim
        self._find_larger_node = find_larger_node
        self._append_latency = append_latency
        self._catch_up_operators = catch_up_operators
        self._handover: asyncio.Task[None] | None = None
        self._handover_check_at = 0.0
        self._cfg = Configuration()
        self._waves: dict[int, WaveSpec] = {}
        self._evacuated: set[DataCentreName] = set()
        self._configured_at = 0.0
        self._heartbeat_at = 0.0
        self._ledger_log = FencedLog(platform.ledger, Fence(0, 0))
        self._runs_log = FencedLog(platform.runs, Fence(0, 0))
        self._started_at = clock.monotonic()
        self._claim_not_before = 0.0
        self._claim_unread_at = inf
        self._claim_nonces: set[int] = set()
        self._tick_delay = TickDelay(TICK_INTERVAL_S)
        self._holds = RecentMaximum()
        self._start_orders = 0
        self._stopping = False
        self._claiming = False
        self._claimed: Term | None = None
        self._claim_open = False
        self._predecessor_until = 0.0
        self._release_task: asyncio.Task[None] | None = None
        self._release_waits_for = ""
        self._order_queue = OrderQueue()
        self._arrivals: deque[ev.JobAccepted | ev.CancelRequested] = deque()
        self._move_slots = asyncio.Semaphore(MAX_CONCURRENT_MOVES)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._instance_orders: set[asyncio.Task[Any]] = set()
        self._instances_monitor = DependencyMonitor("list of instances")
        self._advice_monitor = DependencyMonitor("advice")
        self._effect_handlers: dict[type, Callable[[Any], None]] = {
            ef.Commit: self._commit,
            ef.StartRun: self._start_run,
            ef.StopRun: self._stop_run,
            ef.PollEndpoint: self._poll_endpoint,
            ef.ThrottleRun: self._throttle_run,
            ef.ListInstances: self._list_instances,
            ef.StartMaintenance: self._start_maintenance,
            ef.MoveInstance: self._move_instance,
            ef.ReportWaveStatus: self._report_wave_status,
            ef.RequestAdvice: self._request_advice,
            ef.StepDown: self._step_down,
            ef.WriteLog: self._write_log,
        }

    @property
    def leading(self) -> bool:
        """Return whether this node is the scheduler."""
        return self.state.term > 0

    def count_open_jobs(self) -> int:
        """Return how many jobs have not ended; 0 on a node that does not schedule."""
        return len(self.state.jobs)

    def count_waiting_tasks(self) -> int:
        """Return how many ready tasks wait for capacity."""
        return sum(
            len(step.waiting) + step.uncreated
            for job in self.state.jobs.values()
            for steps in job.ready.values()
            for step in steps.values()
        )

    def count_start_orders(self) -> int:
        """Return how many orders to start a run this process has sent."""
        return self._start_orders

    def count_outlived_runs(self) -> int:
        """Return how many runs of this term were active after they counted as lost."""
        return self.state.outlived_runs

    def tick_delay_s(self) -> float:
        """Return the largest recent delay of a tick; 0 without a term."""
        return self._tick_delay.largest_s(clock.monotonic()) if self.leading else 0.0

    def longest_hold_s(self) -> float:
        """Return the longest recent time for which one event kept the loop."""
        return self._holds.largest(clock.monotonic())

    def count_unreachable_endpoints(self) -> int:
        """Return how many endpoints that answered in this term do not answer now."""
        endpoints = self.state.endpoints.values()
        return sum(e.contacted and not e.reachable for e in endpoints)

    def count_cold_endpoints(self) -> int:
        """Return how many endpoints are slow after their start."""
        return count_cold(self.state)

    def count_evacuations(self) -> int:
        """Return how many data centres are evacuated."""
        return len(self._evacuated)

    def count_evacuated_tasks(self) -> int:
        """Return how many tasks are placed in evacuated data centres."""
        return count_evacuated_tasks(self.state)

    # Inputs

    def configure(self, cfg: Configuration) -> None:
        """Pass a new configuration to the reducer."""
        self._configured_at = self._configured_at or clock.monotonic()
        self._cfg = cfg
        self._dispatch(ev.ConfigurationChanged(cfg))

    def add_wave(self, wave: WaveSpec) -> None:
        """Pass a maintenance wave to the reducer, unless it requests nothing new."""
        known = self._waves.get(wave.wave)
        if known is None or not known.asks_same(wave):
            self._waves[wave.wave] = wave
            self._dispatch(ev.WaveRequested(wave))

    def set_evacuation(self, change: ev.EvacuationChanged) -> None:
        """Pass an evacuation or its cancellation to the reducer and to later terms."""
        if change.active:
            self._evacuated.add(change.data_centre)
        else:
            self._evacuated.discard(change.data_centre)
        self._dispatch(change)

    def handle_record(self, record: Record) -> None:
        """Handle a record that the follower has applied."""
        if isinstance(record, JobStatus | Term | WaveProgress):
            own_claim = isinstance(record, Term) and record.holder == self._node
            if not own_claim:
                self._heartbeat_at = clock.monotonic()
            if isinstance(record, Term) and record.number > self.state.term > 0:
                self._step_down(ef.StepDown("a newer term is in the ledger"))
        elif isinstance(record, JobSpec):
            self._handle_arrival(ev.JobAccepted(record), len(record.steps))
        elif isinstance(record, Cancellation):
            self._handle_arrival(ev.CancelRequested(record.job), 1)

    def _handle_arrival(
        self, event: ev.JobAccepted | ev.CancelRequested, steps: int
    ) -> None:
        """Dispatch what was read of a job; large jobs follow one after the other.

        A page of the ledger may have several of them, and each takes up to 50 ms.
        """
        if not self.leading:
            return
        if steps <= SMALL_JOB_STEPS and not self._arrivals:
            self._dispatch(event)
            return
        self._arrivals.append(event)
        if len(self._arrivals) == 1:
            asyncio.get_running_loop().call_soon(self._dispatch_arrivals)

    def _dispatch_arrivals(self) -> None:
        """Dispatch the arrivals that wait, up to the first large job."""
        while self._arrivals:
            event = self._arrivals[0]
            self._dispatch(event)
            # The dispatch may have ended the term, and with it all that waits.
            if self._arrivals:
                self._arrivals.popleft()
            if isinstance(event, ev.JobAccepted) and (
                len(event.spec.steps) > SMALL_JOB_STEPS
            ):
                break
        if self._arrivals:
            asyncio.get_running_loop().call_soon(self._dispatch_arrivals)

    # Claims and terms

    async def run(self) -> None:
        """Watch the term, claim it and schedule until cancelled."""
        jitter = self._rng.random()
        while True:
            if self.leading:
                self._tick()
                self._check_handover()
                # The leases of the runs that are being restored are about to expire.
                pause_s = 0.0 if self.state.unrestored else TICK_INTERVAL_S
                await asyncio.sleep(pause_s)
                continue
            self._tick_delay.reset()
            await asyncio.sleep(WATCH_INTERVAL_S)
            observation = TermObservation(
                self._node,
                self._follower.ledger.term,
                self._heartbeat_at,
                self._follower.connected_at,
                self._follower.read_at,
                self._follower.latency_s,
                self._append_latency(),
                claim_delay_s(self._cores, jitter, self._largest_cores()),
                self._configured_at,
            )
            if (
                self._follower.loaded
                and self._cfg.version
                and not self._stopping
                and clock.monotonic() >= self._claim_not_before
                and self._may_claim()
                and observation.should_claim(clock.monotonic())
            ):
                with self._mark_claiming():
                    await self._claim()

    @contextlib.contextmanager
    def _mark_claiming(self) -> Iterator[None]:
        self._claiming = True
        try:
            yield
        finally:
            self._claiming = False

    def _tick(self) -> None:
        now = clock.monotonic()
        late_s = self._tick_delay.record(now)
        if late_s > LATE_TICK_S:
            jobs, endpoints = len(self.state.jobs), len(self.state.endpoints)
            emit(
                SCHEDULER_LATE,
                term=self.state.term,
                late_s=round(late_s, 2),
                jobs=jobs,
                endpoints=endpoints,
            )
        self._dispatch(ev.Tick(now, round(clock.wall() * 1000)))

    async def _claim(self) -> None:
        """Claim the next term, which belongs to its first claim in the ledger.

        No claim is made if the scheduler, or another node's claim, shows in the records
        that this node had not read yet.
        """
        heartbeat_at = self._heartbeat_at
        previous = self._follower.ledger.term
        try:
            _, operators_read = await asyncio.gather(
                self._follower.catch_up(), self._read_operators()
            )
        except StoreUnavailableError:
            # The follower logs that the store is unavailable.
            return
        if not operators_read and clock.monotonic() < self._claim_unread_at:
            number = previous.number + 1
            emit(TERM_LOST, term=number, reason="the operators' records were not read")
            await asyncio.sleep(CLAIM_PAUSE_S)
            return
        newest = self._follower.ledger.term
        if newest.holder and (self._heartbeat_at, newest) != (heartbeat_at, previous):
            return
        if self._stopping:
            return
        previous = newest
        number = previous.number + 1
        term = Term(number, self._node, self._rng.getrandbits(48))
        fence = Fence(number, self._rng.getrandbits(40))
        self._claim_nonces.add(term.nonce)
        emit(
            TERM_CLAIMED,
            term=number,
            silent_s=round(self._heartbeat_age_s(), 2),
            previous=previous.holder,
        )
        record = KeyedRecord(*encode(term))
        claimed_at = clock.monotonic()
        self._claimed, self._claim_open = term, False
        self._predecessor_until = inf if previous.holder else 0.0
        self._ledger_log = FencedLog(self._platform.ledger, fence)
        try:
            await self._append_claim(record, fence)
        except StoreFencedError as exc:
            # The record of the claim that came first may take long to appear. If its
            # node has failed, the next claim is due after a silence.
            emit(TERM_LOST, term=number, reason=str(exc))
            self._claim_not_before = clock.monotonic() + CLAIM_SILENCE_S
            return
        except (StoreUnavailableError, StoreUnknownError) as exc:
            self._claim_open = isinstance(exc, StoreUnknownError)
            emit(TERM_LOST, term=number, reason=str(exc))
            await asyncio.sleep(CLAIM_PAUSE_S)
            return
        if self._follower.ledger.term != term:
            emit(TERM_LOST, term=number, reason="another claim of the term came first")
            return
        if self._stopping:
            return
        try:
            records = await self._claim_runs(record, fence)
            with unreadable_as_decode_error():
                runs, moves = decode_runs(records), decode_moves(records)
            await self._require_jobs(number, runs)
        except (
            StoreUnavailableError,
            StoreUnknownError,
            StoreFencedError,
            msgspec.DecodeError,
        ) as exc:
            emit(
                TERM_LOST,
                term=number,
                reason=f"the runs partition was not claimed or read: {exc}",
            )
            await asyncio.sleep(CLAIM_PAUSE_S)
            return
        self._runs_log = FencedLog(self._platform.runs, fence)
        slow = read_slow_endpoints(records)
        self._begin_term(term, previous, runs, moves, claimed_at, slow)

    async def _read_operators(self) -> bool:
        """Read the operators' records, so that no request precedes the term unseen.

        The scheduler before this one may have known of an evacuation that has been
        confirmed for longer than this node would take to learn of it.
        """
        if self._catch_up_operators is None:
            return True
        started_at = clock.monotonic()
        read = await self._catch_up_operators(started_at + READ_OPERATORS_TIMEOUT_S)
        if read:
            self._claim_unread_at = inf
        elif not 0 <= self._claim_unread_at - started_at + FORGOTTEN_UNREAD_S < inf:
            self._claim_unread_at = started_at + MAX_UNREAD_S
        return read

    async def _append_claim(self, record: KeyedRecord, fence: Fence) -> None:
        """Append a claim, and read the ledger up to it.

        A claim that was not answered is repeated, since no other node can win this
        term if the store has taken it. A repeat with the same sequence number gets the
        answer to the first.

        :raises StoreFencedError: if the store has taken another claim
        :raises StoreUnavailableError: if nothing was appended
        :raises StoreUnknownError: if no answer came within ``CLAIM_REPEAT_S``
        """
        repeat_until = clock.monotonic() + CLAIM_REPEAT_S
        sent = False
        while self._follower.ledger.term.number < fence.epoch:
            try:
                deadline = clock.monotonic() + APPEND_TIMEOUT_S
                outcome = await self._platform.ledger.append([record], deadline, fence)
                sent = True
                await self._follower.catch_up(outcome.offset + 1)
                return
            except (StoreUnavailableError, StoreUnknownError) as exc:
                sent = sent or isinstance(exc, StoreUnknownError)
                if not sent or clock.monotonic() > repeat_until:
                    raise
                await asyncio.sleep(APPEND_RETRY_DELAY_S)

    async def _claim_runs(self, record: KeyedRecord, fence: Fence) -> list[KeyedRecord]:
        """Fence the previous scheduler off the runs partition, and read it."""
        retry_until = clock.monotonic() + CLAIM_RUNS_TIMEOUT_S
        while True:
            try:
                deadline = clock.monotonic() + APPEND_TIMEOUT_S
                await self._platform.runs.append([record], deadline, fence)
                break
            except (StoreUnavailableError, StoreUnknownError):
                if clock.monotonic() > retry_until:
                    raise
                await asyncio.sleep(APPEND_RETRY_DELAY_S)
        batch = await self._platform.runs.read_newest(
            clock.monotonic() + READ_RUNS_TIMEOUT_S
        )
        return batch.records

    async def _require_jobs(self, term: int, runs: dict[JobId, StoredRuns]) -> None:
        """Read the ledger again if it lacks a job that has runs.

        Runs of a job are deleted before the job is.
        """
        ledger = self._follower.ledger
        missing = [job for job in runs if ledger.accepted_entry(job) is None]
        if missing:
            emit(LEDGER_INCOMPLETE, term=term, jobs=len(missing), job=missing[0])
            await self._follower.read_again()

    def _heartbeat_age_s(self) -> float:
        return clock.monotonic() - max(self._heartbeat_at, self._follower.connected_at)

    def _begin_term(
        self,
        term: Term,
        previous: Term,
        runs: dict[JobId, StoredRuns],
        moves: dict[str, ServiceName],
        claimed_at: float,
        slow_endpoints: dict[EndpointId, SlowEndpoint],
    ) -> None:
        now = clock.monotonic()
        state = self.state = SchedulerState(node=self._node, limits=self._limits)
        state.nonce = term.nonce
        state.wall_ms = round(clock.wall() * 1000)
        self._dispatch(ev.ConfigurationChanged(self._cfg))
        for wave in self._waves.values():
            self._dispatch(ev.WaveRequested(wave))
        for data_centre in sorted(self._evacuated):
            self._dispatch(ev.EvacuationChanged(data_centre, active=True))
        self._follower.leading = True
        ledger = self._follower.ledger
        # The previous scheduler's last append came before this node read it, or
        # before this node could read the ledger.
        heartbeat_at = max(self._heartbeat_at, self._follower.connected_at)
        # A holder that released its term, or was an earlier process of this node, has
        # ended. A lost claim of this process does not show that the scheduler before
        # it has ended.
        own_claim = previous.nonce in self._claim_nonces
        holder_ended = previous.holder in ("", self._node) and not own_claim
        self._claim_nonces.clear()
        # An earlier process may have ended before it had waited for the scheduler
        # before it, which may still grant leases. A release follows that wait.
        grants_ended = holder_ended and (not previous.holder or previous.number == 1)
        prior_leases_until = now
        if previous.number:
            wait_s = takeover_wait_s(self._limits, grants_ended)
            prior_leases_until = heartbeat_at + wait_s
        # A release follows the answers to all orders. Where fencing tokens are checked,
        # a late order of an earlier scheduler is refused.
        if not previous.holder or self._limits.fencing_required:
            prior_orders_until = now
        elif holder_ended:
            # The orders of the earlier process ended with its connections. Those of the
            # scheduler before it expire by the time that it had to wait for: it claimed
            # before this process started, after a silence.
            prior_orders_until = instance_orders_expire_at(
                self._started_at - CLAIM_RECONNECTED_SILENCE_S
            )
        else:
            prior_orders_until = instance_orders_expire_at(heartbeat_at)
        # A successor that finds a release takes this scheduler, and with it the one
        # before, for ended.
        self._predecessor_until = max(
            prior_orders_until,
            prior_leases_until - takeover_wait_s(self._limits, ended=True),
        )
        event = ev.TermTaken(
            now,
            claimed_at,
            term.number,
            ledger.jobs,
            runs,
            prior_leases_until,
            ledger.waves,
            moves,
            prior_orders_until,
            slow_endpoints,
        )
        self._dispatch(event)
        self._spawn(self._read_reports(term.number))

    def _largest_cores(self) -> float:
        return self._follower.ledger.largest_node_cores()

    def _check_handover(self) -> None:
        """Look for a larger node from time to time, and hand the term over to it."""
        now = clock.monotonic()
        if now < max(self._handover_check_at, self.state.prior_orders_until):
            return
        self._handover_check_at = now + HANDOVER_CHECK_INTERVAL_S
        under_way = self._handover is not None and not self._handover.done()
        if self._stopping or under_way:
            return
        if is_small(self._cores, self._largest_cores()):
            self._handover = self._spawn(self._hand_over(self.state.term))

    async def _hand_over(self, term: int) -> None:
        """Release the term if a larger node can claim it."""
        name = await self._find_larger_node()
        if not name or self.state.term != term or self._stopping:
            return
        emit(TERM_HANDED_OVER, term=term, to=name, cores=self._cores)
        self._claim_not_before = clock.monotonic() + HANDOVER_PAUSE_S
        await self._start_release(f"{name} is larger")

    async def _read_reports(self, term: int) -> None:
        """Read the endpoints' reports while the term lasts."""
        while self.state.term == term and self.state.unrestored:
            await asyncio.sleep(TICK_INTERVAL_S)
        feed = self._platform.open_endpoint_feed()
        monitor = DependencyMonitor("endpoints' reports")
        while self.state.term == term:
            try:
                changes = await feed.changes(REPORTS_READ_PAUSE_S)
            except StoreUnavailableError as exc:
                monitor.record_failure(str(exc))
                await asyncio.sleep(REPORTS_READ_PAUSE_S)
                continue
            monitor.record_success()
            for change in changes:
                now = clock.monotonic()
                if isinstance(change, ev.EndpointReport):
                    self._dispatch(ev.EndpointReported(change, now))
                elif isinstance(change, str):
                    self._dispatch(ev.EndpointRemoved(change, now))
            await asyncio.sleep(REPORTS_READ_PAUSE_S)

    async def release_term(self, deadline: float = inf) -> None:
        """Release the term, so that another node claims it without a timeout.

        The release follows the answers to all orders to instances, since the next
        scheduler may order the same instances at once. A claim under way ends first,
        and its term is released too.

        :param deadline: boot-time clock at which the release is given up
        """
        self._stopping = True
        timeout_s = None if deadline == inf else max(0.0, deadline - clock.monotonic())
        try:
            async with asyncio.timeout(timeout_s):
                self._release_waits_for = "a claim of the term"
                while self._claiming:
                    await asyncio.sleep(TICK_INTERVAL_S)
                await self._wait_for_open_claim()
                if self.leading or self._releasing:
                    await self._start_release("the process is stopping")
                elif self._claimed and self._claimed == self._follower.ledger.term:
                    await self._finish_release(self._claimed, self._ledger_log)
        except TimeoutError:
            emit(
                TERM_NOT_RELEASED,
                term=self._claimed.number if self._claimed else 0,
                reason="the deadline of the stop has passed",
                waits_for=self._release_waits_for,
            )

    async def close(self) -> None:
        """End the term, if this node still holds it, and all that was begun in it."""
        self._stopping = True
        if self.leading:
            self._step_down(ef.StepDown("the process ends"))
        tasks = [*self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait_for_open_claim(self) -> None:
        """Wait for a claim without an answer, which the store may carry out later."""
        claimed = self._claimed
        if not claimed or not self._claim_open or self._predecessor_until == inf:
            return
        self._release_waits_for = "the outcome of a claim"
        while self._follower.ledger.term.number < claimed.number:
            await asyncio.sleep(TICK_INTERVAL_S)

    @property
    def _releasing(self) -> bool:
        return self._release_task is not None and not self._release_task.done()

    def _start_release(self, reason: str) -> asyncio.Task[None]:
        """Return the task that releases the term, which is started unless it runs."""
        if self._release_task is None or self._release_task.done():
            self._release_task = self._spawn(self._release(reason))
        return self._release_task

    async def _release(self, reason: str) -> None:
        state, log = self.state, self._ledger_log
        number, began_at = state.term, clock.monotonic()
        emit(
            TERM_RELEASING,
            term=number,
            reason=reason,
            commit=state.committing,
            instance_orders=len(self._instance_orders),
            predecessor_s=round(max(0.0, self._predecessor_until - began_at), 2),
        )
        self._release_waits_for = "the leases and orders of an earlier scheduler"
        while self._predecessor_until > clock.monotonic() and self.state is state:
            await asyncio.sleep(TICK_INTERVAL_S)
        # Under load, each commit is followed by the next one until none may begin.
        state.closing = True
        self._release_waits_for = f"commit {state.committing}"
        while state.committing and self.state is state:
            await asyncio.sleep(TICK_INTERVAL_S)
        if self.state is not state:
            emit(TERM_NOT_RELEASED, term=number, reason="the term ended meanwhile")
            return
        self._step_down(ef.StepDown(reason))
        committed_s = round(clock.monotonic() - began_at, 3)
        await self._finish_release(
            Term(number, self._node, state.nonce), log, committed_s=committed_s
        )

    async def _finish_release(
        self, term: Term, log: FencedLog, **fields: float
    ) -> None:
        """Release a term in which nothing is ordered any more.

        :param fields: further fields of the log line
        """
        began_at = clock.monotonic()
        if self._predecessor_until == inf:
            reason = "the scheduler before may grant leases, and its orders may arrive"
            emit(TERM_NOT_RELEASED, term=term.number, reason=reason)
            return
        self._release_waits_for = f"{len(self._instance_orders)} orders to instances"
        if self._instance_orders:
            await asyncio.wait(self._instance_orders)
        await asyncio.sleep(max(0.0, self._predecessor_until - clock.monotonic()))
        ordered_at = clock.monotonic()
        if await self._append_release(term, log):
            emit(
                TERM_RELEASED,
                term=term.number,
                **fields,
                orders_s=round(ordered_at - began_at, 3),
                append_s=round(clock.monotonic() - ordered_at, 3),
            )

    async def _append_release(self, term: Term, log: FencedLog) -> bool:
        """Append the release of a term until it is stored.

        It may show in the ledger before the store answers.

        :returns: whether it was stored; if not, another node has claimed a newer term
        """
        self._release_waits_for = "the append of the release"
        release = Term(term.number, "", term.nonce)
        record = KeyedRecord(*encode(release))
        try:
            rejected = await log.append_valid(
                [record], lambda: self._follower.ledger.term != release
            )
        except StoreFencedError as exc:
            emit(TERM_NOT_RELEASED, term=term.number, reason=str(exc))
            return False
        if rejected:
            emit(TERM_NOT_RELEASED, term=term.number, reason="the store rejects it")
        return not rejected

    # Effects

    def _dispatch(self, event: ev.Event) -> None:
        with self._measure_hold(event):
            try:
                for effect in step(self.state, event):
                    self._effect_handlers[type(effect)](effect)
            except Exception as exc:
                self._handle_failure(type(event).__name__, exc)

    @contextlib.contextmanager
    def _measure_hold(self, event: ev.Event) -> Iterator[None]:
        """Measure for how long an event and its effects keep the loop."""
        began_at = clock.monotonic()
        yield
        now = clock.monotonic()
        held_s = now - began_at
        self._holds.record(held_s, now)
        if held_s > LONG_HOLD_S:
            emit(
                SCHEDULER_HELD,
                term=self.state.term,
                what=type(event).__name__,
                held_ms=round(held_s * 1000),
                jobs=len(self.state.jobs),
                waiting=self.count_waiting_tasks(),
            )

    def _handle_failure(self, source: str, exc: Exception) -> None:
        """End the term after an unexpected exception.

        The state may be inconsistent, while the next scheduler builds it from the
        ledger; the process goes on serving callers.
        """
        emit(TASK_FAILED, part=f"scheduler: {source}", error=repr(exc))
        if self.leading:
            self._claim_not_before = clock.monotonic() + FAILURE_PAUSE_S
            self._step_down(ef.StepDown(f"unexpected exception: {exc!r}"))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        name = getattr(work, "__name__", "task")
        task = asyncio.ensure_future(self._run_in_term(self.state.term, name, work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run_in_term(
        self, term: int, name: str, work: Coroutine[Any, Any, None]
    ) -> None:
        try:
            await work
        except Exception as exc:
            if self.state.term == term:
                self._handle_failure(name, exc)
            else:
                emit(TASK_FAILED, part=f"scheduler: {name}", error=repr(exc))

    def _dispatch_in_term(self, term: int, event: ev.Event) -> None:
        """Dispatch an event, unless the term it belongs to has ended."""
        if self.state.term == term:
            self._dispatch(event)

    def _write_log(self, effect: ef.WriteLog) -> None:
        emit(effect.event, **{"term": self.state.term, **effect.fields})

    def _commit(self, effect: ef.Commit) -> None:
        term = self.state.term
        appends = [
            self._append(log, records, term)
            for log, records in (
                (self._runs_log, effect.runs),
                (self._ledger_log, effect.shared),
            )
            if records
        ]
        self._spawn(self._append_all(effect.number, term, appends))

    async def _append_all(
        self,
        number: int,
        term: int,
        appends: list[Coroutine[Any, Any, list[str] | None]],
    ) -> None:
        """Append to both partitions concurrently, since neither depends on the other.

        If only the state becomes durable, a job recorded as ended has ended; if only
        the runs do, the next scheduler resolves them.
        """
        rejected: list[str] = []
        for keys in await asyncio.gather(*appends):
            if keys is None:
                return
            rejected += keys
        now = clock.monotonic()
        self._dispatch_in_term(term, ev.Committed(number, now, frozenset(rejected)))

    async def _append(
        self, log: FencedLog, records: list[KeyedRecord], term: int
    ) -> list[str] | None:
        """Retry an append until the store acknowledges or fences it, or the term ends.

        :returns: keys of the records that the store rejects; ``None`` if the term has
            ended
        """
        try:
            return await log.append_valid(records, lambda: self.state.term == term)
        except StoreFencedError as exc:
            if self.state.term == term:
                self._step_down(ef.StepDown(f"the store fenced an append: {exc}"))
            return None

    def _step_down(self, effect: ef.StepDown) -> None:
        emit(TERM_LOST, term=self.state.term, reason=effect.reason)
        nonce = self.state.nonce
        self.state = SchedulerState(node=self._node, limits=self._limits)
        self.state.nonce = nonce
        self._order_queue = OrderQueue()
        self._arrivals.clear()
        self._follower.leading = False
        self._heartbeat_at = clock.monotonic()

    def _start_run(self, order: ef.StartRun) -> None:
        self._start_orders += 1
        self._issue_order(order)

    def _stop_run(self, order: ef.StopRun) -> None:
        self._issue_order(order)

    def _throttle_run(self, order: ef.ThrottleRun) -> None:
        self._issue_order(order)

    def _issue_order(self, order: Order) -> None:
        unsent = self._order_queue.put(order, clock.monotonic())
        if unsent is not None:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._answer_order, unsent, ev.Outcome.EXPIRED)
        self._send_orders()

    def _send_orders(self) -> None:
        """Send the queued orders whose turn it is."""
        if not self.leading:
            return
        queue = self._order_queue
        while (queued := queue.take()) is not None:
            self._spawn(self._send_order(queue, *queued))

    async def _send_order(
        self, queue: OrderQueue, order: Order, issued_at: float
    ) -> None:
        try:
            if self.state.term != order.token:
                return
            now = clock.monotonic()
            timely: Order | None = order
            if now - issued_at > MAX_ORDER_AGE_S:
                timely = renewed_order(self.state, order, now)
            elif isinstance(order, ef.StartRun) and precludes_start(
                self.state, order.endpoint
            ):
                timely = None
            outcome = ev.Outcome.EXPIRED
            if timely is not None:
                outcome = await _SENDERS[type(order)](self._platform, timely)
        finally:
            queue.finish(order)
            self._send_orders()
        if outcome is ev.Outcome.FENCED and self.state.term == order.token:
            reason = f"{order.endpoint} has a higher fencing token"
            self._step_down(ef.StepDown(reason))
            return
        self._answer_order(order, outcome)

    def _answer_order(self, order: Order, outcome: ev.Outcome) -> None:
        """Dispatch the answer to an order to start or stop a run."""
        answered = _ANSWERS.get(type(order))
        if answered is not None:
            event = answered(
                order.task, order.run, order.endpoint, outcome, clock.monotonic()
            )
            self._dispatch_in_term(order.token, event)

    def _poll_endpoint(self, order: ef.PollEndpoint) -> None:
        self._spawn(self._send_poll(order))

    async def _send_poll(self, order: ef.PollEndpoint) -> None:
        answer = await self._platform.poll_endpoint(order)
        if isinstance(answer, ev.EndpointPolled):
            self._dispatch_in_term(order.token, answer)
        else:
            now = clock.monotonic()
            self._dispatch_in_term(
                order.token, ev.PollFailed(order.endpoint, answer, now)
            )

    def _list_instances(self, effect: ef.ListInstances) -> None:
        self._spawn(self._fetch_instances(self.state.term))

    async def _fetch_instances(self, term: int) -> None:
        listing = await self._platform.list_instances()
        if listing is None:
            self._instances_monitor.record_failure("no valid answer")
        else:
            self._instances_monitor.record_success()
        self._dispatch_in_term(term, ev.InstancesListed(listing, clock.monotonic()))

    def _start_maintenance(self, order: ef.StartMaintenance) -> None:
        self._spawn_instance_order(self._send_maintenance(order))

    async def _send_maintenance(self, order: ef.StartMaintenance) -> None:
        outcome = ev.Outcome.NOT_SENT
        if self.state.term == order.token:
            outcome = await self._platform.start_maintenance(order)
        now = clock.monotonic()
        answer = ev.MaintenanceAnswered(order.instance, order.wave, outcome, now)
        self._dispatch_in_term(order.token, answer)

    def _spawn_instance_order(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._spawn(work)
        self._instance_orders.add(task)
        task.add_done_callback(self._instance_orders.discard)

    def _move_instance(self, order: ef.MoveInstance) -> None:
        self._spawn_instance_order(self._send_move(order))

    async def _send_move(self, order: ef.MoveInstance) -> None:
        outcome = ev.Outcome.NOT_SENT
        async with self._move_slots:
            if self.state.term == order.token:
                outcome = await self._platform.move_instance(order)
        now = clock.monotonic()
        answer = ev.MoveAnswered(order.instance, order.pool, outcome, now)
        self._dispatch_in_term(order.token, answer)

    def _report_wave_status(self, effect: ef.ReportWaveStatus) -> None:
        self._spawn(self._send_wave_status(self.state.term, effect))

    async def _send_wave_status(self, term: int, effect: ef.ReportWaveStatus) -> None:
        while self.state.term == term:
            if await self._platform.report_wave_status(effect.wave, effect.completed):
                return
            await asyncio.sleep(APPEND_RETRY_DELAY_S)

    def _request_advice(self, request: ef.RequestAdvice) -> None:
        self._spawn(self._send_advice_request(self.state.term, request))

    async def _send_advice_request(self, term: int, request: ef.RequestAdvice) -> None:
        answer = await self._platform.request_advice(request)
        if answer.allowed is None:
            self._advice_monitor.record_failure("no valid answer")
        else:
            self._advice_monitor.record_success()
        self._dispatch_in_term(term, answer)


_SENDERS: dict[type, Callable[[Platform, Any], Awaitable[ev.Outcome]]] = {
    ef.StartRun: lambda platform, order: platform.start_run(order),
    ef.StopRun: lambda platform, order: platform.stop_run(order),
    ef.ThrottleRun: lambda platform, order: platform.throttle_run(order),
}

_ANSWERS: dict[type, Callable[..., ev.Event]] = {
    ef.StartRun: ev.StartAnswered,
    ef.StopRun: ev.StopAnswered,
}
