"""Interfaces of the platform services that a node uses."""

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
    EvacuationChanged,
    InstanceListing,
    Outcome,
)

__all__ = ["EndpointChangeFeed", "Platform"]


class EndpointChangeFeed(Protocol):
    """Change feed of the endpoints' reports."""

    async def changes(self, wait_s: float) -> list[EndpointReport | EndpointId]:
        """Return the changes since the last call; a bare id is a removed endpoint.

        The first call returns all reports.

        :param wait_s: time for which the store may wait for a change

        :raises StoreUnavailableError: if the store can't be read
        """


class Platform(Protocol):
    """The platform services.

    :param ledger: partition that every node reads
    :param runs: partition of the runs of open jobs
    :param operators: partition that operators write; it is never relayed
    """

    ledger: LedgerStore
    runs: LedgerStore
    operators: LedgerStore

    def decode_operator_record(
        self, record: KeyedRecord
    ) -> Configuration | WaveSpec | EvacuationChanged | None:
        """Decode a record that an operator has written or removed.

        :returns: ``None`` if it requests nothing, or can't be decoded, which is logged
        """

    def open_endpoint_feed(self) -> EndpointChangeFeed:
        """Open a feed of the endpoints' reports that starts with all of them."""

    async def start_run(self, order: StartRun) -> Outcome:
        """Order an endpoint to start a run."""

    async def stop_run(self, order: StopRun) -> Outcome:
        """Order an endpoint to stop a run."""

    async def poll_endpoint(self, order: PollEndpoint) -> EndpointPolled | Outcome:
        """Poll an endpoint: list its runs and extend their leases.

        :returns: the running and ended runs, or the outcome of the failed call
        """

    async def throttle_run(self, order: ThrottleRun) -> Outcome:
        """Order an endpoint to throttle a run to a percentage of its full rate."""

    async def list_instances(self) -> InstanceListing | None:
        """List the instances; return ``None`` if the list can't be read."""

    async def start_maintenance(self, order: StartMaintenance) -> Outcome:
        """Start the maintenance of an instance."""

    async def move_instance(self, order: MoveInstance) -> Outcome:
        """Move an instance to another pool."""

    async def request_advice(self, request: RequestAdvice) -> AdviceReceived:
        """Request advice on which endpoints may run a step."""

    async def report_wave_status(self, wave: int, completed: bool) -> bool:
        """Report the status of a wave to the operators.

        :returns: whether the status was stored
        """
