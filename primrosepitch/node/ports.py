"""What a node needs of the platform, in the product's words."""

from __future__ import annotations

from typing import Protocol

from primrosepitch.jobs.model import EndpointId
from primrosepitch.jobs.store import KeyedRecord, LedgerStore
from primrosepitch.scheduling.configuration import Configuration, WaveSpec
from primrosepitch.scheduling.effects import (
    MoveInstance,
    PollEndpoint,
    RequestAdvice,
    StartMaintenance,
    StartRun,
    StopRun,
    ThrottleRun,
)
from primrosepitch.scheduling.events import (
    AdviceReceived,
    EndpointPolled,
    EndpointReport,
    InstanceView,
    Outcome,
)

__all__ = ["Directory", "Platform"]


class Directory(Protocol):
    """A keyed partition that others write; only read here."""

    async def changes(self, wait_s: float) -> list[EndpointReport | EndpointId]:
        """Return what has changed since the last call; a bare id has been removed.

        The first call returns all there is.

        :raises StoreUnavailableError: if the store can't be read
        """


class Platform(Protocol):
    """The platform's services.

    :param ledger: partition that every node reads
    :param runs: partition of the runs of jobs that have not ended
    :param operators: partition that operators write, reached directly only
    """

    ledger: LedgerStore
    runs: LedgerStore
    operators: LedgerStore

    def operators_change(self, record: KeyedRecord) -> Configuration | WaveSpec | None:
        """Return the meaning of an operators' record.

        :returns: ``None`` if it is none of these, or can't be read, which is logged
        """

    def endpoints(self) -> Directory:
        """Return the endpoints' reports, read from their begin."""

    async def start(self, order: StartRun) -> Outcome:
        """Order a start."""

    async def stop(self, order: StopRun) -> Outcome:
        """Order a stop."""

    async def hold(self, order: PollEndpoint) -> EndpointPolled | Outcome:
        """Extend leases, and look.

        :returns: the lists, or why there are none
        """

    async def pace(self, order: ThrottleRun) -> Outcome:
        """Change a run's pace."""

    async def instances(self) -> list[InstanceView] | None:
        """Return all instances, or ``None`` if they can't be read."""

    async def upkeep(self, order: StartMaintenance) -> Outcome:
        """Begin the maintenance of an instance."""

    async def move(self, order: MoveInstance) -> Outcome:
        """Move an instance."""

    async def advice(self, question: RequestAdvice) -> AdviceReceived:
        """Ask which endpoints may run a step."""

    async def tell_wave(self, wave: int, completed: bool) -> bool:
        """Tell the operator of a wave.

        :returns: whether that is stored
        """
