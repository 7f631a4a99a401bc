"""What a node needs of the platform, in the product's words."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from primrosepitch.jobs.model import EndpointId
from primrosepitch.jobs.store import LedgerStore
from primrosepitch.scheduling.configuration import Configuration, WaveSpec
from primrosepitch.scheduling.effects import (
    AskAdvice,
    Hold,
    MoveInstance,
    Pace,
    Start,
    Stop,
    Upkeep,
)
from primrosepitch.scheduling.events import (
    AdviceGiven,
    EndpointReport,
    Held,
    InstanceView,
    Outcome,
)

__all__ = ["Directory", "Platform", "Reading"]


class Reading(NamedTuple):
    """What the newest reading of a directory cost.

    :param size: bytes of the records' values
    :param offset: where the next one starts
    :param passed: records of the partition since the reading before
    :param newest: whether only the newest record of each key was read
    """

    records: int = 0
    size: int = 0
    offset: int = 0
    passed: int = 0
    newest: bool = False
    took_s: float = 0.0


class Directory(Protocol):
    """A keyed partition that others write; only read here."""

    reading: Reading

    async def changes(
        self, wait_s: float
    ) -> list[Configuration | WaveSpec | EndpointReport | EndpointId]:
        """Return what has changed since the last call; a bare id has been removed.

        The first call returns all there is.

        :raises StoreUnavailableError: if the store can't be read
        """


class Platform(Protocol):
    """The platform's services.

    :param ledger: partition that every node reads
    :param runs: partition of the runs of jobs that have not ended
    """

    ledger: LedgerStore
    runs: LedgerStore

    def operators(self) -> Directory:
        """Return the operators' configuration and waves."""

    def endpoints(self) -> Directory:
        """Return the endpoints' reports, read from their begin."""

    async def start(self, order: Start) -> Outcome:
        """Order a start."""

    async def stop(self, order: Stop) -> Outcome:
        """Order a stop."""

    async def hold(self, order: Hold) -> Held | Outcome:
        """Extend leases, and look.

        :returns: the lists, or why there are none
        """

    async def pace(self, order: Pace) -> Outcome:
        """Change a run's pace."""

    async def instances(self) -> list[InstanceView] | None:
        """Return all instances, or ``None`` if they can't be read."""

    async def upkeep(self, order: Upkeep) -> Outcome:
        """Begin the maintenance of an instance."""

    async def move(self, order: MoveInstance) -> Outcome:
        """Move an instance."""

    async def advice(self, question: AskAdvice) -> AdviceGiven:
        """Ask which endpoints may run a step."""

    async def tell_wave(self, wave: int, completed: bool) -> bool:
        """Tell the operator of a wave.

        :returns: whether that is stored
        """
