"""One node: the parts and how they are tied together."""

from __future__ import annotations

import asyncio
import contextlib
import random

from primrosepitch import clock
from primrosepitch.events import MANIFEST_IN_FORCE, TASK_FAILED, emit
from primrosepitch.jobs.model import JobSpec
from primrosepitch.jobs.records import NodeAddress, Record, encode
from primrosepitch.jobs.store import (
    KeyedRecord,
    StoreUnavailableError,
    StoreUnknownError,
)
from primrosepitch.metrics import Metrics
from primrosepitch.node.follower import Appender, LedgerFollower
from primrosepitch.node.job_intake import JobIntake
from primrosepitch.node.operators import OperatorsFollower
from primrosepitch.node.peer_pool import PeerPool
from primrosepitch.node.platform_api import Platform
from primrosepitch.node.relay import StoreRelay
from primrosepitch.node.scheduler import SchedulerRunner
from primrosepitch.scheduling.configuration import Configuration, WaveSpec
from primrosepitch.scheduling.state import Limits

__all__ = ["Node"]

INTRODUCE_S = 1.0
"""Pause before this node's address is written, and written again if that failed."""

STORE_SILENT_S = 2.5
"""Time without the store after which callers are better served by another node."""


class Node:
    """A node of the deployment.

    :param itself: unique name, also of the holder of a term, and address
    :param pool: the other nodes
    :param cores: processor time that it has, in cores
    :param link_bytes_per_s: rate of its link
    """

    def __init__(
        self,
        itself: NodeAddress,
        platform: Platform,
        relay: StoreRelay,
        pool: PeerPool,
        limits: Limits,
        rng: random.Random,
        metrics: Metrics,
        cores: float,
        link_bytes_per_s: float,
    ) -> None:
        """Do nothing yet."""
        self.cfg: Configuration | None = None
        self.stopping = False
        self._itself = itself
        self._platform = platform
        self._follower = LedgerFollower(platform.ledger, self._record_seen)
        self._appender = Appender(platform.ledger)
        self.intake = JobIntake(self._follower, self._appender)
        self.scheduler = SchedulerRunner(
            itself.name,
            platform,
            self._follower,
            limits,
            rng,
            cores,
            lambda: relay.store_reachable,
        )
        self._operators = OperatorsFollower(
            platform.operators,
            relay,
            pool,
            link_bytes_per_s,
            self._operators_changed,
            metrics,
        )
        pool.set_address_source(lambda: self._follower.ledger.nodes)
        self._observe(metrics)

    def _observe(self, metrics: Metrics) -> None:
        """Register the gauges of what this node believes."""
        scheduler, follower = self.scheduler, self._follower
        metrics.observe("primrose.term", "1", lambda: scheduler.state.term)
        metrics.observe("primrose.ledger.age", "s", follower.age_s)
        metrics.observe("primrose.ledger.jobs", "1", lambda: len(follower.ledger.jobs))
        metrics.observe("primrose.scheduler.jobs", "1", scheduler.open_jobs)
        metrics.observe("primrose.scheduler.waiting", "1", scheduler.waiting_tasks)
        metrics.observe("primrose.endpoints.silent", "1", scheduler.silent_endpoints)
        metrics.observe(
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
        """Return whether callers should be sent here."""
        fresh = clock.monotonic() - self._follower.read_at < STORE_SILENT_S
        usable = self.cfg is not None and not self.outdated
        return usable and not self.stopping and fresh

    @property
    def outdated(self) -> bool:
        """Return whether a newer configuration has been out of reach for too long."""
        return self._operators.outdated

    def config_age_s(self) -> float:
        """Return the seconds since the configuration was surely the newest one."""
        return self._operators.age_s()

    async def wait_until_current(self, deadline: float) -> bool:
        """Wait a moment for a configuration that is known to be newer.

        :param deadline: boot-time clock at which the caller leaves
        :returns: whether the one in force is surely recent, so that what it lacks
            does not exist
        """
        return await self._operators.wait_until_current(deadline)

    async def run(self) -> None:
        """Run all parts for good."""
        parts = [
            self._operators.run(),
            self._follower.run(),
            self._appender.run(),
            self.scheduler.run(),
            self._introduce(),
        ]
        try:
            await asyncio.gather(*parts)
        except Exception as exc:
            emit(TASK_FAILED, error=repr(exc))
            raise

    async def prepare_shutdown(self, deadline: float) -> None:
        """Take no new callers, and let another node schedule."""
        self.stopping = True
        try:
            async with asyncio.timeout(max(0.0, deadline - clock.monotonic())):
                await self.scheduler.release_term()
        except TimeoutError:
            emit(TASK_FAILED, error="the term was not released in time")

    async def _introduce(self) -> None:
        """Tell the other nodes where this one answers them."""
        record = KeyedRecord(*encode(self._itself))
        while self._follower.ledger.nodes.get(self._itself.name) != (
            self._itself.address
        ):
            await asyncio.sleep(INTRODUCE_S)
            if self._follower.loaded:
                # It is written again; the follower logs that the store is away.
                with contextlib.suppress(StoreUnavailableError, StoreUnknownError):
                    deadline = clock.monotonic() + INTRODUCE_S
                    await self._appender.append(record, deadline)

    def _record_seen(self, record: Record) -> None:
        if isinstance(record, JobSpec):
            self.intake.forget_accepted(record.job)
        self.scheduler.handle_record(record)

    def _operators_changed(self, records: list[KeyedRecord]) -> None:
        for record in records:
            change = self._platform.decode_operator_record(record)
            if isinstance(change, Configuration):
                self._configure(change)
            elif isinstance(change, WaveSpec):
                self.scheduler.add_wave(change)

    def _configure(self, cfg: Configuration) -> None:
        if self.cfg is not None and cfg.version <= self.cfg.version:
            return
        self.cfg = cfg
        emit(MANIFEST_IN_FORCE, version=cfg.version, queues=len(cfg.queues))
        self.scheduler.configure(cfg)
