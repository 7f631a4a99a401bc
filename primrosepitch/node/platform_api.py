"""What a node needs of the platform, in the product's words."""

from __future__ import annotations

from typing import Protocol

from primrosepitch.jobs.model import EndpointId
from primrosepitch.jobs.store import KeyedRecord, LedgerStore
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

__all__ = ["EndpointChangeFeed", "Platform"]


class EndpointChangeFeed(Protocol):
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

    def decode_operator_record(
        self, record: KeyedRecord
    ) -> Configuration | WaveSpec | None:
        """Return the meaning of an operators' record.

        :returns: ``None`` if it is none of these, or can't be read, which is logged
        """

    def open_endpoint_feed(self) -> EndpointChangeFeed:
        """Return the endpoints' reports, read from their begin."""

    async def start_run(self, order: Start) -> Outcome:
        """Order a start."""

    async def stop_run(self, order: Stop) -> Outcome:
        """Order a stop."""

    async def renew_leases(self, order: Hold) -> Held | Outcome:
        """Extend leases, and look.

        :returns: the lists, or why there are none
        """

    async def set_run_pace(self, order: Pace) -> Outcome:
        """Change a run's pace."""

    async def list_instances(self) -> list[InstanceView] | None:
        """Return all instances, or ``None`` if they can't be read."""

    async def start_maintenance(self, order: Upkeep) -> Outcome:
        """Begin the maintenance of an instance."""

    async def move_instance(self, order: MoveInstance) -> Outcome:
        """Move an instance."""

    async def request_advice(self, question: AskAdvice) -> AdviceGiven:
        """Ask which endpoints may run a step."""

    async def publish_wave_status(self, wave: int, completed: bool) -> bool:
        """Tell the operator of a wave.

        :returns: whether that is stored
        """
