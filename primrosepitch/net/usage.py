"""Usage that entries report to each other: changes only, whole to new connections."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from primrosepitch.gen.primrose.ttypes import TeamUsage, Usage
from primrosepitch.ids import QueueId, TeamId

__all__ = ["Figures", "Sender", "Table", "add_up", "by_queue", "figures", "take"]

Figures = tuple[int, int]
"""Running and waiting requests."""

Table = dict[tuple[str, str], Figures]
"""Figures by queue and team; pairs without requests are absent."""

ByTeam = Mapping[QueueId, Mapping[TeamId, int]]


def figures(running: ByTeam, waiting: ByTeam) -> Table:
    """Return the table of running and waiting requests."""
    found: Table = {}
    for queue, teams in running.items():
        for team, count in teams.items():
            found[queue, team] = (count, 0)
    for queue, teams in waiting.items():
        for team, count in teams.items():
            found[queue, team] = (found.get((queue, team), (0, 0))[0], count)
    return {pair: row for pair, row in found.items() if row != (0, 0)}


def by_queue(table: Table, column: int) -> dict[QueueId, dict[TeamId, int]]:
    """Return one column of a table by queue and team."""
    found: dict[QueueId, dict[TeamId, int]] = {}
    for (queue, team), row in table.items():
        if row[column]:
            found.setdefault(QueueId(queue), {})[TeamId(team)] = row[column]
    return found


def add_up(tables: Iterable[Table]) -> Table:
    """Return the sums of tables."""
    found: Table = {}
    for table in tables:
        for pair, (running, waiting) in table.items():
            old = found.get(pair, (0, 0))
            found[pair] = (old[0] + running, old[1] + waiting)
    return found


def take(table: Table, usage: Usage) -> Table:
    """Return the table after a report."""
    found = {} if usage.whole else table
    for row in usage.teams:
        pair = (row.queue, row.team)
        if row.running or row.waiting:
            found[pair] = (row.running, row.waiting)
        else:
            found.pop(pair, None)
    return found


class Sender:
    """One stream of reports to several peers.

    :param origin: session or data centre that the figures are of
    """

    def __init__(self, origin: str) -> None:
        """Start with an empty table."""
        self.origin = origin
        self._changed: dict[tuple[str, str], Figures] = {}
        self._table: Table = {}
        self._known: dict[str, int] = {}

    def update(self, table: Table) -> None:
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
