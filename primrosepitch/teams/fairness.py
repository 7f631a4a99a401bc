"""Weighted max-min fairness in whole units."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from primrosepitch.ids import TeamId

__all__ = ["POLICIES", "Policy", "fair_shares", "next_team", "policy"]

Policy = Callable[[Mapping[TeamId, int], Mapping[TeamId, float]], TeamId]

POLICIES: dict[str, Policy] = {}
"""Policies that choose the waiting team that gets a free unit, by name."""

DEFAULT_WEIGHT = 1.0
"""Weight of a team without a share, such as the public team."""


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a policy under a name.

    :raises ValueError: if the name is taken
    """

    def register(function: Policy) -> Policy:
        if name in POLICIES:
            raise ValueError(f"policy {name} is registered twice")
        POLICIES[name] = function
        return function

    return register


def next_team(
    candidates: Mapping[TeamId, int],
    weights: Mapping[TeamId, float],
    policy: str = "max_min",
) -> TeamId:
    """Choose the waiting team that gets a free unit.

    :param candidates: units running in the fleet by waiting team, in the order of
        each team's oldest waiting request
    :param weights: weights above 0; a missing one counts as 1
    :param policy: name of a registered policy
    :raises ValueError: if no team waits
    :raises KeyError: if no policy has the name
    """
    if not candidates:
        raise ValueError("no team waits")
    return POLICIES[policy](candidates, weights)


@policy("max_min")
def _max_min(
    candidates: Mapping[TeamId, int], weights: Mapping[TeamId, float]
) -> TeamId:
    """Choose the team that is lowest by weight after it got the unit."""
    return min(
        candidates,
        key=lambda t: ((candidates[t] + 1) / weights.get(t, DEFAULT_WEIGHT), t),
    )


@policy("static")
def _static(
    candidates: Mapping[TeamId, int], weights: Mapping[TeamId, float]
) -> TeamId:
    """Choose the team that runs least, without weights."""
    return min(candidates, key=lambda t: (candidates[t], t))


@policy("fifo")
def _fifo(candidates: Mapping[TeamId, int], weights: Mapping[TeamId, float]) -> TeamId:
    """Choose the team whose oldest request has waited longest."""
    return next(iter(candidates))


def fair_shares(
    demand: Mapping[TeamId, int], weights: Mapping[TeamId, float], capacity: int
) -> dict[TeamId, float]:
    """Return the weighted max-min fair share of each team.

    Teams whose demand is below their part get it whole; the rest is divided among
    the others by weight.

    :param demand: units that each team would use
    :param capacity: units that exist
    """
    shares = dict.fromkeys(demand, 0.0)
    left = float(capacity)
    weight = sum(weights.get(t, DEFAULT_WEIGHT) for t in demand)
    by_level = sorted(demand, key=lambda t: demand[t] / weights.get(t, DEFAULT_WEIGHT))
    for team in by_level:
        own = weights.get(team, DEFAULT_WEIGHT)
        shares[team] = min(float(demand[team]), left * own / weight)
        left -= shares[team]
        weight -= own
    return shares
