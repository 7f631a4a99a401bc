"""Reports of usage between entries: inside a data centre, and one sum to each other."""

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

ROWS_EVERY = 10
"""Seconds between reports of the positions of other processes."""

FRESH_S = 5.0
"""Age up to which figures of another data centre are passed on."""


class UsageReports:
    """What an entry has been told and what it tells its peers.

    The lowest-named entry of a data centre also tells the sum of its data centre to
    the others, and what those told it to the entries of its own.

    :param session: own session
    :param dc: own data centre
    :param peers: other processes
    """

    def __init__(self, session: SessionId, dc: DcId, peers: Membership) -> None:
        """Start without reports."""
        self._session = session
        self._dc = dc
        self._peers = peers
        self._tables: dict[str, UsageTable] = {}
        self._heard: dict[str, float] = {}
        self._own = UsageSender(session)
        self._dc_sums = UsageSender(dc)
        self._relayed: dict[str, UsageSender] = {}
        self._second = 0
        self._lowest = False

    def receive(self, usage: Usage, now: float) -> UsageTable | None:
        """Take a report.

        :param now: boot-time clock
        :returns: the whole table of its origin; ``None`` for one about this entry
        """
        if usage.origin in (self._session, self._dc):
            return None
        table = apply_report(self._tables.get(usage.origin, {}), usage)
        self._tables[usage.origin] = table
        self._heard[usage.origin] = now
        return table

    def update(self, own: UsageTable, fleet: FleetState) -> None:
        """Prepare the reports of this second.

        :param own: running and waiting requests of this entry
        """
        self._second += 1
        entries = fleet.open_entries(self._dc)
        self._lowest = bool(entries) and entries[0] == self._session
        known = {*fleet.sessions, *fleet.epochs, *self._peers.lowest_named_entries()}
        for origin in [o for o in self._tables if o not in known]:
            del self._tables[origin], self._heard[origin]
        self._own.update(own)
        self._own.forget(self._peers.in_own_dc())
        self._update_relayed()
        if self._lowest:
            peers = set(self._peers.in_own_dc())
            tables = [t for origin, t in self._tables.items() if origin in peers]
            self._dc_sums.update(sum_tables([own, *tables]))
        else:
            self._dc_sums.forget(())

    def _update_relayed(self) -> None:
        """Prepare what other data centres told, for the entries of the own one."""
        for dc in self._peers.lowest_named_entries():
            self._relayed.setdefault(dc, UsageSender(dc))
        for origin, sender in self._relayed.items():
            sender.update(dict(self._tables.get(origin, {})))
            if not self._lowest or not self._is_fresh(origin):
                # Peers that miss a change get the whole table next time.
                sender.forget(())

    def _is_fresh(self, origin: str) -> bool:
        heard = self._heard.get(origin)
        return heard is not None and clock.monotonic() - heard < FRESH_S

    def reports_for_other_dcs(self) -> Iterator[tuple[PeerClient, list[Usage]]]:
        """Return the reports of this second to the other data centres."""
        if not self._lowest:
            return
        for session in self._peers.lowest_named_entries().values():
            client = self._peers.client(session)
            if client is not None and client.ready():
                yield client, [self._dc_sums.report(session, client.connections_opened)]

    def reports_for_peer(self, session: SessionId, connection: int) -> list[Usage]:
        """Return the reports of this second to a peer of the own data centre."""
        usage = [self._own.report(session, connection)]
        if self._lowest:
            fresh = [s for dc, s in self._relayed.items() if self._is_fresh(dc)]
            usage += [sender.report(session, connection) for sender in fresh]
        return usage

    def positions_to_relay(self, own_dc: bool) -> list[SessionId]:
        """Return the processes whose positions are passed on in this second.

        Only the lowest entry passes on positions, and rarely: at the target size, 60
        rows a second to each peer would exceed the 3 KB/s of a node.
        """
        if self._second % ROWS_EVERY or not self._lowest:
            return []
        here = {self._session, *self._peers.in_own_dc()}
        return [sid for sid in self._peers.reports if (sid in here) is own_dc]
