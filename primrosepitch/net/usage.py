"""Usage reports between entries: changes, and the full table on new connections."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from primrosepitch.gen.primrose.ttypes import TeamUsage, Usage
from primrosepitch.ids import QueueId, TeamId

__all__ = [
    "RequestCounts",
    "UsageSender",
    "UsageTable",
    "apply_report",
    "column_by_queue",
    "sum_tables",
    "usage_table",
]

RequestCounts = tuple[int, int]
"""Numbers of running and waiting requests."""

UsageTable = dict[tuple[str, str], RequestCounts]
"""Counts by queue and team; pairs without requests are absent."""

ByTeam = Mapping[QueueId, Mapping[TeamId, int]]


def usage_table(running: ByTeam, waiting: ByTeam) -> UsageTable:
    """Build a table from the running and waiting requests."""
    found: UsageTable = {}
    for queue, teams in running.items():
        for team, count in teams.items():
            found[queue, team] = (count, 0)
    for queue, teams in waiting.items():
        for team, count in teams.items():
            found[queue, team] = (found.get((queue, team), (0, 0))[0], count)
    return {pair: row for pair, row in found.items() if row != (0, 0)}


def column_by_queue(table: UsageTable, column: int) -> dict[QueueId, dict[TeamId, int]]:
    """Return one column of a table by queue and team, without zeros.

    :param column: 0 for running, 1 for waiting requests
    """
    found: dict[QueueId, dict[TeamId, int]] = {}
    for (queue, team), row in table.items():
        if row[column]:
            found.setdefault(QueueId(queue), {})[TeamId(team)] = row[column]
    return found


def sum_tables(tables: Iterable[UsageTable]) -> UsageTable:
    """Return the sum of several tables."""
    found: UsageTable = {}
    for table in tables:
        for pair, (running, waiting) in table.items():
            old = found.get(pair, (0, 0))
            found[pair] = (old[0] + running, old[1] + waiting)
    return found


def apply_report(table: UsageTable, usage: Usage) -> UsageTable:
    """Return the table after a report; ``table`` itself unless the report is full."""
    found = {} if usage.whole else table
    for row in usage.teams:
        pair = (row.queue, row.team)
        if row.running or row.waiting:
            found[pair] = (row.running, row.waiting)
        else:
            found.pop(pair, None)
    return found


class UsageSender:
    """Builds the reports on one origin for several peers.

    :param origin: session or data centre to which the counts belong
    """

    def __init__(self, origin: str) -> None:
        """Create a sender with an empty table."""
        self.origin = origin
        self._changed: dict[tuple[str, str], RequestCounts] = {}
        self._table: UsageTable = {}
        self._connection_by_peer: dict[str, int] = {}

    def update(self, table: UsageTable) -> None:
        """Replace the table and compute the changes since the previous one."""
        removed = {pair: (0, 0) for pair in self._table if pair not in table}
        changed = {p: row for p, row in table.items() if self._table.get(p) != row}
        self._changed = removed | changed
        self._table = table

    def report(self, peer: str, connection: int) -> Usage:
        """Build the report for a peer.

        :param connection: number of the connection to the peer; the first report on a
            connection contains the full table
        """
        whole = self._connection_by_peer.get(peer) != connection
        self._connection_by_peer[peer] = connection
        rows = self._table if whole else self._changed
        teams = [
            TeamUsage(queue=queue, team=team, running=running, waiting=waiting)
            for (queue, team), (running, waiting) in rows.items()
        ]
        return Usage(origin=self.origin, teams=teams, whole=whole)

    def forget(self, peers: Iterable[str]) -> None:
        """Forget all peers except the given ones.

        The next report to a forgotten peer contains the full table.
        """
        kept = set(peers)
        for peer in [p for p in self._connection_by_peer if p not in kept]:
            del self._connection_by_peer[peer]
