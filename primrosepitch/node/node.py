"""Composition of a node from its parts."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable

from primrosepitch import clock
from primrosepitch.events import MANIFEST_IN_FORCE, TASK_FAILED, emit
from primrosepitch.jobs.model import JobSpec
from primrosepitch.jobs.records import FirstAttempt, NodeAddress, Record, encode
from primrosepitch.jobs.store import (
    KeyedRecord,
    StoreUnavailableError,
    StoreUnknownError,
)
from primrosepitch.metrics import Metrics
from primrosepitch.node.follower import Appender, LedgerFollower
from primrosepitch.node.job_intake import JobIntake
from primrosepitch.node.operators import OperatorRecordsFollower
from primrosepitch.node.peer_pool import PeerPool
from primrosepitch.node.platform_api import Platform
from primrosepitch.node.relay import StoreRelay
from primrosepitch.node.scheduler import SchedulerRunner
from primrosepitch.node.stopping import HealthReports
from primrosepitch.node.term import larger_nodes
from primrosepitch.scheduling.configuration import Configuration, WaveSpec
from primrosepitch.scheduling.events import EvacuationChanged
from primrosepitch.scheduling.slow_endpoints import count_slow
from primrosepitch.scheduling.state import Limits

__all__ = ["Node"]

ADDRESS_RETRY_S = 1.0
"""Pause before this node's address is written, and before each retry."""

RESTART_DELAY_S = 0.5
"""Pause before a part of the node is restarted after an unexpected exception."""

MAX_READ_AGE_S = 2.5
"""Age of the last ledger read beyond which the node reports itself not ready, so that
callers are sent to another node."""

MAX_UNREACHABLE_READ_AGE_S = 1.5
"""The same while the store is known not to serve this node directly. A read through
another node succeeds within 1.4 s of the last direct one."""


class Node:
    """A node of the deployment.

    :param identity: address, size, and the unique name that also identifies a term's
        holder
    :param pool: connections to the other nodes
    :param link_bytes_per_s: bandwidth of the node's link
    """

    def __init__(
        self,
        identity: NodeAddress,
        platform: Platform,
        relay: StoreRelay,
        pool: PeerPool,
        limits: Limits,
        rng: random.Random,
        metrics: Metrics,
        link_bytes_per_s: float,
    ) -> None:
        """Compose the parts; nothing runs before :meth:`run`."""
        self.cfg: Configuration | None = None
        self.stopping = False
        self.health_reports = HealthReports()
        self._metrics = metrics
        self._relay = relay
        self._identity = identity
        self._platform = platform
        self._follower = LedgerFollower(platform.ledger, self._handle_record)
        self._appender = Appender(platform.ledger)
        self.intake = JobIntake(self._follower, self._appender, limits.record_bytes)
        self.scheduler = SchedulerRunner(
            identity.name,
            platform,
            self._follower,
            limits,
            rng,
            identity.cores,
            lambda: relay.store_reachable,
            self._find_larger_node,
            self._appender.latency_s,
            self._catch_up_operators,
        )
        self._operators = OperatorRecordsFollower(
            platform.operators,
            relay,
            pool,
            link_bytes_per_s,
            self._apply_operator_records,
            metrics,
        )
        pool.set_address_source(self._addresses)
        self._register_gauges(metrics)

    def _register_gauges(self, metrics: Metrics) -> None:
        """Register the gauges of this node's view of the deployment."""
        scheduler, follower = self.scheduler, self._follower
        metrics.add_gauge("primrose.term", "1", lambda: scheduler.state.term)
        metrics.add_gauge("primrose.ledger.age", "s", follower.last_read_age_s)
        metrics.add_gauge(
            "primrose.ledger.jobs", "1", lambda: len(follower.ledger.jobs)
        )
        attempts = self.intake.first_attempts
        metrics.add_gauge(
            "primrose.pools.contended",
            "1",
            lambda: len(follower.ledger.backlog.waits),
            "Pools for which the scheduler has published a wait.",
        )
        metrics.add_gauge(
            "primrose.first_attempts.known",
            "1",
            lambda: len(follower.ledger.first_attempts),
        )
        metrics.add_gauge(
            "primrose.first_attempts.dropped", "1", lambda: attempts.dropped
        )
        metrics.add_gauge("primrose.scheduler.jobs", "1", scheduler.count_open_jobs)
        metrics.add_gauge(
            "primrose.scheduler.waiting", "1", scheduler.count_waiting_tasks
        )
        metrics.add_gauge(
            "primrose.scheduler.starts", "1", scheduler.count_start_orders
        )
        metrics.add_gauge("primrose.runs.outlived", "1", scheduler.count_outlived_runs)
        metrics.add_gauge(
            "primrose.endpoints.cold", "1", scheduler.count_cold_endpoints
        )
        metrics.add_gauge("primrose.evacuations", "1", scheduler.count_evacuations)
        metrics.add_gauge(
            "primrose.evacuations.tasks", "1", scheduler.count_evacuated_tasks
        )
        metrics.add_gauge("primrose.scheduler.delay", "s", scheduler.tick_delay_s)
        metrics.add_gauge(
            "primrose.scheduler.hold",
            "s",
            scheduler.longest_hold_s,
            "Longest time of the last 10 s for which one event kept the loop.",
        )
        metrics.add_gauge(
            "primrose.turns.right", "1", lambda: scheduler.state.turns.right
        )
        metrics.add_gauge(
            "primrose.turns.wrong", "1", lambda: scheduler.state.turns.wrong
        )
        metrics.add_gauge(
            "primrose.endpoints.silent", "1", scheduler.count_unreachable_endpoints
        )
        metrics.add_gauge(
            "primrose.endpoints.slow", "1", lambda: count_slow(scheduler.state)
        )
        metrics.add_gauge(
            "primrose.configuration.version",
            "1",
            lambda: self.cfg.version if self.cfg is not None else 0,
        )

    @property
    def ledger_offset(self) -> int:
        """Return the offset up to which the ledger has been read."""
        return self._follower.offset

    @property
    def ready(self) -> bool:
        """Return whether callers should be sent to this node."""
        max_age_s = (
            MAX_READ_AGE_S
            if self._relay.store_reachable
            else MAX_UNREACHABLE_READ_AGE_S
        )
        fresh = clock.monotonic() - self._follower.read_at < max_age_s
        usable = self.cfg is not None and not self.outdated
        return usable and not self.stopping and fresh

    @property
    def outdated(self) -> bool:
        """Return whether a newer configuration has been unavailable for too long."""
        return self._operators.outdated

    def config_age_s(self) -> float:
        """Return the seconds since the configuration was confirmed as the newest."""
        return self._operators.confirmed_age_s()

    async def wait_until_current(self, deadline: float) -> bool:
        """Wait briefly for a configuration that is known to be newer.

        :param deadline: boot-time clock by which the caller needs the answer
        :returns: whether the configuration in force is confirmed as recent, so that a
            queue or key that it lacks does not exist
        """
        return await self._operators.wait_until_current(deadline)

    async def run(self) -> None:
        """Run all parts until cancelled."""
        parts = {
            "operators": self._operators.run,
            "follower": self._follower.run,
            "appender": self._appender.run,
            "first attempts": self.intake.first_attempts.run,
            "scheduler": self.scheduler.run,
            "address": self._publish_address,
        }
        await asyncio.gather(*(self._supervise(*part) for part in parts.items()))

    async def _supervise(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a part, and restart it after an unexpected exception."""
        while True:
            try:
                await run()
            except Exception as exc:
                emit(TASK_FAILED, part=name, error=repr(exc))
                self._metrics.count("primrose.tasks.failed", part=name)
                await asyncio.sleep(RESTART_DELAY_S)
            else:
                return

    async def _find_larger_node(self) -> str:
        """Return the name of a larger node that answers, or an empty string."""
        larger = larger_nodes(self._follower.ledger.nodes, self._identity.cores)
        return await self._operators.find_store_reader(larger)

    async def _catch_up_operators(self, deadline: float) -> bool:
        return await self._operators.catch_up(deadline)

    async def release_term(self, deadline: float) -> None:
        """Release the term, if this node holds it, to another node.

        :param deadline: boot-time clock after which the process can't release it
        """
        try:
            await self.scheduler.release_term(deadline)
        except Exception as exc:
            emit(TASK_FAILED, part="release of the term", error=repr(exc))

    async def close(self) -> None:
        """End what the scheduler has begun; the parts of :meth:`run` end before."""
        await self.scheduler.close()

    async def _publish_address(self) -> None:
        """Write this node's address to the ledger until it is found there."""
        record = KeyedRecord(*encode(self._identity))
        name = self._identity.name
        while self._follower.ledger.nodes.get(name) != self._identity:
            await asyncio.sleep(ADDRESS_RETRY_S)
            if self._follower.loaded:
                # The loop retries; the follower logs that the store is unavailable.
                with contextlib.suppress(StoreUnavailableError, StoreUnknownError):
                    deadline = clock.monotonic() + ADDRESS_RETRY_S
                    await self._appender.append(record, deadline)

    def _addresses(self) -> dict[str, str]:
        nodes = self._follower.ledger.nodes.values()
        return {node.name: node.address for node in nodes}

    def _handle_record(self, record: Record) -> None:
        if isinstance(record, JobSpec):
            self.intake.forget_accepted(record.job)
        elif isinstance(record, FirstAttempt):
            self.intake.first_attempts.received(record.job)
            return
        self.scheduler.handle_record(record)

    def _apply_operator_records(self, records: list[KeyedRecord]) -> None:
        for record in records:
            change = self._platform.decode_operator_record(record)
            if isinstance(change, Configuration):
                self._apply_configuration(change)
            elif isinstance(change, WaveSpec):
                self.scheduler.add_wave(change)
            elif isinstance(change, EvacuationChanged):
                self.scheduler.set_evacuation(change)

    def _apply_configuration(self, cfg: Configuration) -> None:
        if self.cfg is not None and cfg.version <= self.cfg.version:
            return
        self.cfg = cfg
        emit(MANIFEST_IN_FORCE, version=cfg.version, queues=len(cfg.queues))
        self.scheduler.configure(cfg)
