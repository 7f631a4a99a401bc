"""Escrow counts: units that processes share without overdrawing when partitioned."""

from __future__ import annotations

import msgspec

from primrosepitch.ids import CountKey, InstanceId, SessionId, TeamId

__all__ = ["Count", "conns_key", "limit_key", "slots_key"]


def limit_key(team: TeamId) -> CountKey:
    """Return the key of the count for a team's upper limit."""
    return CountKey(f"limit/{team}")


def slots_key(instance: InstanceId) -> CountKey:
    """Return the key of the count for an endpoint's slots."""
    return CountKey(f"slots/{instance}")


def conns_key(instance: InstanceId) -> CountKey:
    """Return the key of the count for an endpoint's connections."""
    return CountKey(f"conns/{instance}")


class Count(msgspec.Struct):
    """Units of one count; ``reserve + sum(held) == total`` always holds.

    :param total: number of units
    :param reserve: units that no session holds
    :param held: units by session; sessions without units are absent
    :param frozen: whether no units can be taken from the reserve
    :param abandoned: whether the configuration no longer names the count; it is
        dropped once all its units are back in the reserve
    :param owed: units by session that a lower total revoked while the session's work
        may still run on them. Until the session clears them, as many units stay in
        the reserve. Otherwise lowering a total and raising it again would let others
        start work on units that are still in use.
    """

    total: int = 0
    reserve: int = 0
    held: dict[SessionId, int] = {}
    frozen: bool = False
    abandoned: bool = False
    owed: dict[SessionId, int] = {}

    @classmethod
    def of(cls, total: int) -> Count:
        """Create a count whose units are all in the reserve."""
        return cls(total=total, reserve=total, held={})

    def held_by(self, session: SessionId) -> int:
        """Return the number of units that a session holds."""
        return self.held.get(session, 0)

    @property
    def available(self) -> int:
        """Units of the reserve that can be taken."""
        return 0 if self.frozen else max(0, self.reserve - sum(self.owed.values()))

    def take(self, session: SessionId, units: int) -> int:
        """Move units from the reserve to a session.

        :returns: units that were moved; fewer than requested if fewer are available
        """
        granted = max(0, min(units, self.available))
        if granted:
            self.reserve -= granted
            self.held[session] = self.held_by(session) + granted
        return granted

    def give(self, session: SessionId, units: int, to: SessionId | None) -> bool:
        """Move units from a session to another session or to the reserve.

        Units of a frozen count go to the reserve even if a session is named.

        :param to: receiving session; ``None`` for the reserve
        :returns: whether the session held that many units
        """
        held = self.held_by(session)
        if units <= 0 or held < units:
            return False
        self._set_held(session, held - units)
        if to is None or self.frozen:
            self.reserve += units
        else:
            self.held[to] = self.held_by(to) + units
        return True

    def clear_owed(self, session: SessionId, units: int) -> int:
        """Clear owed units on which no work of the session runs any more.

        :returns: units that were cleared
        """
        owed = self.owed.get(session, 0)
        cleared = min(units, owed)
        if cleared < owed:
            self.owed[session] = owed - cleared
        else:
            self.owed.pop(session, None)
        return cleared

    def release(self, session: SessionId) -> None:
        """Return all units of a session to the reserve."""
        self.reserve += self.held.pop(session, 0)
        self.owed.pop(session, None)

    def resize(self, total: int) -> None:
        """Change the total; a lower one takes units from the reserve first.

        Units that the reserve lacks are taken from the holders in proportion to their
        holdings, by largest remainder with ties in the order of session ids.
        """
        change = total - self.total
        self.total = total
        if change >= -self.reserve:
            self.reserve += change
            return
        self.reserve = 0
        self._scale_holdings(total)

    def _scale_holdings(self, total: int) -> None:
        """Scale the holdings to a sum of ``total`` and add the losses to ``owed``."""
        held_sum = sum(self.held.values())
        parts = {s: n * total // held_sum for s, n in self.held.items()}
        rest = total - sum(parts.values())
        order = sorted(self.held, key=lambda s: (-(self.held[s] * total % held_sum), s))
        for session in order[:rest]:
            parts[session] += 1
        for session, units in self.held.items():
            if units > parts[session]:
                lost = units - parts[session]
                self.owed[session] = self.owed.get(session, 0) + lost
        self.held = {s: n for s, n in parts.items() if n}

    def _set_held(self, session: SessionId, units: int) -> None:
        """Set the units of a session; remove its entry at zero."""
        if units:
            self.held[session] = units
        else:
            self.held.pop(session, None)
