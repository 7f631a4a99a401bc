"""Exchange of usage between entries, within a data centre and across data centres."""

from __future__ import annotations

from collections.abc import Iterator

from primrosepitch import clock
from primrosepitch.fleet.state import FleetState
from primrosepitch.gen.primrose.ttypes import Usage
from primrosepitch.ids import DcId, SessionId
from primrosepitch.net.membership import Membership
from primrosepitch.net.peers import PeerClient
from primrosepitch.net.usage import UsageSender, UsageTable, apply_report, sum_tables

__all__ = ["UsageReports"]

POSITIONS_INTERVAL_S = 10
"""Interval in seconds at which the positions of other processes are relayed."""

MAX_RELAY_AGE_S = 5.0
"""Maximum age of another data centre's counts for them to be relayed."""


class UsageReports:
    """Usage tables received from peers and the reports to send to them.

    The entry with the lowest session id in a data centre also sends the sum of its data
    centre to the other data centres, and relays their sums to the entries of its own.

    :param session: own session
    :param dc: own data centre
    :param peers: other processes
    """

    def __init__(self, session: SessionId, dc: DcId, peers: Membership) -> None:
        """Create empty tables."""
        self._session = session
        self._dc = dc
        self._peers = peers
        self._tables: dict[str, UsageTable] = {}
        self._received_at: dict[str, float] = {}
        self._own_sender = UsageSender(session)
        self._dc_sender = UsageSender(dc)
        self._relay_senders: dict[str, UsageSender] = {}
        self._seconds = 0
        self._is_lowest_named = False

    def receive(self, usage: Usage, now: float) -> UsageTable | None:
        """Apply a received report.

        :param now: boot-time clock
        :returns: the full table of its origin; ``None`` for a report about this entry
            or its data centre
        """
        if usage.origin in (self._session, self._dc):
            return None
        table = apply_report(self._tables.get(usage.origin, {}), usage)
        self._tables[usage.origin] = table
        self._received_at[usage.origin] = now
        return table

    def update(self, own: UsageTable, fleet: FleetState) -> None:
        """Prepare the reports of this second.

        :param own: running and waiting requests of this entry
        """
        self._seconds += 1
        entries = fleet.open_entries(self._dc)
        self._is_lowest_named = bool(entries) and entries[0] == self._session
        known = {*fleet.sessions, *fleet.epochs, *self._peers.lowest_named_entries()}
        for origin in [o for o in self._tables if o not in known]:
            del self._tables[origin], self._received_at[origin]
        self._own_sender.update(own)
        self._own_sender.forget(self._peers.in_own_dc())
        self._update_relay_senders()
        if self._is_lowest_named:
            peers = set(self._peers.in_own_dc())
            tables = [t for origin, t in self._tables.items() if origin in peers]
            self._dc_sender.update(sum_tables([own, *tables]))
        else:
            self._dc_sender.forget(())

    def _update_relay_senders(self) -> None:
        """Prepare the sums of other data centres for the entries of the own one."""
        for dc in self._peers.lowest_named_entries():
            self._relay_senders.setdefault(dc, UsageSender(dc))
        for origin, sender in self._relay_senders.items():
            sender.update(dict(self._tables.get(origin, {})))
            if not self._is_lowest_named or not self._is_fresh(origin):
                # Peers that missed a change get the full table with the next report.
                sender.forget(())

    def _is_fresh(self, origin: str) -> bool:
        received_at = self._received_at.get(origin)
        return (
            received_at is not None
            and clock.monotonic() - received_at < MAX_RELAY_AGE_S
        )

    def reports_for_other_dcs(self) -> Iterator[tuple[PeerClient, list[Usage]]]:
        """Return the reports of this second to the other data centres."""
        if not self._is_lowest_named:
            return
        for session in self._peers.lowest_named_entries().values():
            client = self._peers.client(session)
            if client is not None and client.ready():
                yield (
                    client,
                    [self._dc_sender.report(session, client.connections_opened)],
                )

    def reports_for_peer(self, session: SessionId, connection: int) -> list[Usage]:
        """Return the reports of this second to a peer of the own data centre."""
        usage = [self._own_sender.report(session, connection)]
        if self._is_lowest_named:
            fresh_senders = [
                s for dc, s in self._relay_senders.items() if self._is_fresh(dc)
            ]
            usage += [sender.report(session, connection) for sender in fresh_senders]
        return usage

    def positions_to_relay(self, own_dc: bool) -> list[SessionId]:
        """Return the processes whose positions are relayed in this second.

        Only the lowest-named entry relays positions, and only at intervals: at the
        target size, 60 rows a second to each peer would exceed the 3 KB/s of a node.

        :param own_dc: whether to return processes of the own data centre or the others
        """
        if self._seconds % POSITIONS_INTERVAL_S or not self._is_lowest_named:
            return []
        here = {self._session, *self._peers.in_own_dc()}
        return [sid for sid in self._peers.reports if (sid in here) is own_dc]
