"""Usage that entries report to each other: changes only, whole to new connections."""

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
"""Running and waiting requests."""

UsageTable = dict[tuple[str, str], RequestCounts]
"""Counts by queue and team; pairs without requests are absent."""

ByTeam = Mapping[QueueId, Mapping[TeamId, int]]


def usage_table(running: ByTeam, waiting: ByTeam) -> UsageTable:
    """Return the table of running and waiting requests."""
    found: UsageTable = {}
    for queue, teams in running.items():
        for team, count in teams.items():
            found[queue, team] = (count, 0)
    for queue, teams in waiting.items():
        for team, count in teams.items():
            found[queue, team] = (found.get((queue, team), (0, 0))[0], count)
    return {pair: row for pair, row in found.items() if row != (0, 0)}


def column_by_queue(table: UsageTable, column: int) -> dict[QueueId, dict[TeamId, int]]:
    """Return one column of a table by queue and team."""
    found: dict[QueueId, dict[TeamId, int]] = {}
    for (queue, team), row in table.items():
        if row[column]:
            found.setdefault(QueueId(queue), {})[TeamId(team)] = row[column]
    return found


def sum_tables(tables: Iterable[UsageTable]) -> UsageTable:
    """Return the sums of tables."""
    found: UsageTable = {}
    for table in tables:
        for pair, (running, waiting) in table.items():
            old = found.get(pair, (0, 0))
            found[pair] = (old[0] + running, old[1] + waiting)
    return found


def apply_report(table: UsageTable, usage: Usage) -> UsageTable:
    """Return the table after a report."""
    found = {} if usage.whole else table
    for row in usage.teams:
        pair = (row.queue, row.team)
        if row.running or row.waiting:
            found[pair] = (row.running, row.waiting)
        else:
            found.pop(pair, None)
    return found


class UsageSender:
    """One stream of reports to several peers.

    :param origin: session or data centre that the figures are of
    """

    def __init__(self, origin: str) -> None:
        """Start with an empty table."""
        self.origin = origin
        self._changed: dict[tuple[str, str], RequestCounts] = {}
        self._table: UsageTable = {}
        self._known: dict[str, int] = {}

    def update(self, table: UsageTable) -> None:
        """Take the figures of this second."""
        gone = {pair: (0, 0) for pair in self._table if pair not in table}
        new = {p: row for p, row in table.items() if self._table.get(p) != row}
        self._changed = gone | new
        self._table = table

    def report(self, peer: str, connection: int) -> Usage:
        """Return the report for a peer.

        :param connection: number of the connection to the peer; on a new one the peer
            gets the whole table
        """
        whole = self._known.get(peer) != connection
        self._known[peer] = connection
        rows = self._table if whole else self._changed
        teams = [
            TeamUsage(queue=queue, team=team, running=running, waiting=waiting)
            for (queue, team), (running, waiting) in rows.items()
        ]
        return Usage(origin=self.origin, teams=teams, whole=whole)

    def forget(self, peers: Iterable[str]) -> None:
        """Forget all peers but those named."""
        kept = set(peers)
        for peer in [p for p in self._known if p not in kept]:
            del self._known[peer]
