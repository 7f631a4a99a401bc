"""Weighted max-min fairness between teams, and estimates of their running requests."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping

from primrosepitch.ids import QueueId, TeamId

__all__ = [
    "POLICIES",
    "Policy",
    "RunningEstimate",
    "fair_shares",
    "next_team",
    "policy",
]

Policy = Callable[[Mapping[TeamId, float], Mapping[TeamId, float]], TeamId]

POLICIES: dict[str, Policy] = {}
"""Policies for the choice of the waiting team that gets a free unit, by name."""

REPORT_WEIGHT = 0.5
"""Weight (0 to 1) of a new report in the exponential moving average. Without smoothing,
that is at 1, all entries correct the same deviation at once, and the shares of the
teams oscillate."""

OWN_CHANGE_WEIGHT = 2.0
"""Factor for the change of an entry's own usage after the last report. It is above 1
because the other entries react to the same reports, too, and their changes are not
reported yet."""

DEFAULT_WEIGHT = 1.0
"""Weight of a team without a share, such as the public team."""


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a fairness policy.

    :raises ValueError: if the name is taken
    """

    def register(function: Policy) -> Policy:
        if name in POLICIES:
            raise ValueError(f"fairness policy {name} is registered twice")
        POLICIES[name] = function
        return function

    return register


def next_team(
    candidates: Mapping[TeamId, float],
    weights: Mapping[TeamId, float],
    policy: str = "max_min",
) -> TeamId:
    """Choose the waiting team that gets a free unit.

    :param candidates: units in use in the fleet by waiting team, in the order of the
        oldest waiting request of each team
    :param weights: weights by team, all above 0; the default is 1
    :param policy: name of a registered policy
    :raises ValueError: if no team waits
    :raises KeyError: if no policy has the name
    """
    if not candidates:
        raise ValueError("no team waits")
    return POLICIES[policy](candidates, weights)


@policy("max_min")
def _max_min(
    candidates: Mapping[TeamId, float], weights: Mapping[TeamId, float]
) -> TeamId:
    """Choose the team with the lowest units per weight after it got the unit."""
    return min(
        candidates,
        key=lambda t: ((candidates[t] + 1) / weights.get(t, DEFAULT_WEIGHT), t),
    )


@policy("static")
def _static(
    candidates: Mapping[TeamId, float], weights: Mapping[TeamId, float]
) -> TeamId:
    """Choose the team with the fewest units in use, ignoring weights."""
    return min(candidates, key=lambda t: (candidates[t], t))


@policy("fifo")
def _fifo(
    candidates: Mapping[TeamId, float], weights: Mapping[TeamId, float]
) -> TeamId:
    """Choose the team whose oldest request has waited longest."""
    return next(iter(candidates))


def fair_shares(
    demand: Mapping[TeamId, int], weights: Mapping[TeamId, float], capacity: int
) -> dict[TeamId, float]:
    """Return the weighted max-min fair share of each team.

    A team whose demand is below its share gets its whole demand; the rest is divided
    among the others by weight.

    :param demand: units that each team would use
    :param capacity: total number of units
    """
    shares = dict.fromkeys(demand, 0.0)
    remaining = float(capacity)
    total_weight = sum(weights.get(t, DEFAULT_WEIGHT) for t in demand)
    by_demand_level = sorted(
        demand, key=lambda t: demand[t] / weights.get(t, DEFAULT_WEIGHT)
    )
    for team in by_demand_level:
        team_weight = weights.get(team, DEFAULT_WEIGHT)
        shares[team] = min(float(demand[team]), remaining * team_weight / total_weight)
        remaining -= shares[team]
        total_weight -= team_weight
    return shares


Usage = Mapping[QueueId, Mapping[TeamId, int]]


class RunningEstimate:
    """Estimate of the running requests of each team in the fleet.

    Reports of other entries are up to a second old.

    :param own: origin of the own reports
    :param report_weight: weight of a new report in the moving average
    :param own_change_weight: factor for a change of the own usage since the last report
    """

    def __init__(
        self,
        own: str,
        report_weight: float = REPORT_WEIGHT,
        own_change_weight: float = OWN_CHANGE_WEIGHT,
    ) -> None:
        """Initialise an estimate without reports."""
        self._own = own
        self._report_weight = report_weight
        self._own_change_weight = own_change_weight
        self._estimates: dict[str, dict[tuple[QueueId, TeamId], float]] = {}
        self._total: dict[tuple[QueueId, TeamId], float] = defaultdict(float)

    def report(self, origin: str, usage: Usage) -> None:
        """Record the whole usage of an origin; called each second, also for the own."""
        estimates = self._estimates.setdefault(origin, {})
        reported = {(q, t): n for q, teams in usage.items() for t, n in teams.items()}
        for key in estimates.keys() | reported.keys():
            old = estimates.get(key, 0.0)
            new = old + self._report_weight * (reported.get(key, 0) - old)
            self._set_estimate(estimates, key, new if new > 0.01 else 0.0)

    def forget(self, origin: str) -> None:
        """Remove the reports of an origin that has gone or no longer reports."""
        estimates = self._estimates.pop(origin, {})
        for key in list(estimates):
            self._set_estimate(estimates, key, 0.0)

    def running(self, queue: QueueId, team: TeamId, own_running: int) -> float:
        """Return the estimated running requests of a team in the fleet.

        :param own_running: current running requests of the own entry
        """
        key = (queue, team)
        own = self._estimates.get(self._own, {}).get(key, 0.0)
        return max(
            0.0,
            self._total.get(key, 0.0) + self._own_change_weight * (own_running - own),
        )

    def _set_estimate(
        self,
        estimates: dict[tuple[QueueId, TeamId], float],
        key: tuple[QueueId, TeamId],
        new: float,
    ) -> None:
        """Set one estimate and update the total of its queue and team."""
        self._total[key] += new - estimates.get(key, 0.0)
        if new:
            estimates[key] = new
        else:
            estimates.pop(key, None)
        if self._total[key] < 0.01:
            del self._total[key]
