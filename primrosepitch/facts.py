"""Counts of what happened in a replay, from a reducer's events, effects and state.

Counts that must be 0 in every trace:

``sends_twice``             requests that are not idempotent and were sent twice
``sends_then_not_run``      requests refused as "not run" although they were sent
``sends_over_limit``        sends in excess of the units of the team's limit held here
``sends_with_withdrawn_key`` sends for a key whose withdrawal was known on arrival
``sends_to_leaving``        sends to an endpoint known to be leaving or draining
``ends_twice``, ``ends_missing``  requests that ended twice, or not at all
``config_reverts``          reversions to an older generation or configuration
``stops_undrained``         stops of an instance that was not drained
``stops_below_budget``      stops and drains that left a service below its availability
                            budget
``pool_changes_without_move``  pool changes other than by a finished move

The others are ``event.KIND``, ``effect.KIND``, ``record.KIND`` (appended records),
``read.KIND`` (records read from the log), ``outcome.OUTCOME``, ``code.CODE``,
``log_failures`` (failed reads of the log) and ``sends_at_limit`` (sends that used the
last unit held).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from primrosepitch.fleet import records as rec
from primrosepitch.fleet.counts import limit_key
from primrosepitch.fleet.state import FleetState, Instance, Phase
from primrosepitch.ids import CallId, ConnId, InstanceId, PoolId, TeamId
from primrosepitch.request import effects as do
from primrosepitch.request import events as ev

__all__ = ["FACTS_BY_PROGRAM", "EntryFacts", "Facts", "PlannerFacts"]


class Facts(Protocol):
    """Protocol of objects that count facts during a replay."""

    counts: Counter[str]

    def before_event(self, state: Any, event: Any) -> None:
        """Inspect the state before an event is applied."""

    def after_event(self, state: Any, event: Any, effects: Sequence[Any]) -> None:
        """Inspect the state and effects after an event was applied."""

    def finish(self) -> None:
        """Count what is known only at the end of the trace."""


def _count_kinds(counts: Counter[str], event: Any, effects: Sequence[Any]) -> None:
    counts[f"event.{type(event).__name__}"] += 1
    read = _record(event)
    if read is not None:
        counts[f"read.{type(read).__name__}"] += 1
    counts["log_failures"] += getattr(event, "up", True) is False
    for effect in effects:
        counts[f"effect.{type(effect).__name__}"] += 1
        record = getattr(effect, "record", None)
        if record is not None:
            counts[f"record.{type(record).__name__}"] += 1


class _ConfigReversionDetector:
    """Detects reversions to an older configuration."""

    def __init__(self) -> None:
        self._latest = (0, -1)

    def reverted(self, fleet: FleetState) -> bool:
        now = (fleet.generation, fleet.config_offset)
        reverted = now < self._latest
        self._latest = now
        return reverted


class EntryFacts:
    """Counts facts about the requests of an entry."""

    def __init__(self) -> None:
        """Create counters at zero."""
        self.counts: Counter[str] = Counter()
        self._config = _ConfigReversionDetector()
        self._calls: dict[CallId, ev.RequestArrived] = {}
        self._withdrawn: set[CallId] = set()
        self._sends: Counter[CallId] = Counter()
        self._ends: Counter[CallId] = Counter()
        self._running: dict[CallId, TeamId] = {}
        self._conns: dict[ConnId, InstanceId] = {}
        self._leaving: set[InstanceId] = set()

    def before_event(self, state: Any, event: Any) -> None:
        """Record whether the key of an arriving request was known to be withdrawn."""
        if isinstance(event, ev.RequestArrived):
            fleet: FleetState = state.fleet
            service = fleet.config.services.get(event.queue)
            known = event.key_id in fleet.withdrawn
            if known and not (service and service.open):
                self._withdrawn.add(event.call)

    def after_event(self, state: Any, event: Any, effects: Sequence[Any]) -> None:
        """Count the results of an event."""
        _count_kinds(self.counts, event, effects)
        self._track_event(event)
        for effect in effects:
            match effect:
                case do.OpenConnection():
                    self._conns[effect.conn] = effect.instance
                case do.SendRequest():
                    self._count_send(state, effect)
                case do.Refuse():
                    self._count_refusal(effect)
                case do.PassAnswer() | do.RepeatAnswer():
                    self.counts["outcome.answered"] += 1
                    self._count_end(effect.call)
        self.counts["config_reverts"] += self._config.reverted(state.fleet)

    def finish(self) -> None:
        """Count requests that were sent twice, ended twice or did not end."""
        runs: Counter[str] = Counter()
        for call, times in self._sends.items():
            arrived = self._calls[call]
            if not arrived.idempotent:
                runs[arrived.request_id] += times
        self.counts["sends_twice"] = sum(n > 1 for n in runs.values())
        self.counts["ends_twice"] = sum(n > 1 for n in self._ends.values())
        self.counts["ends_missing"] = len(self._calls.keys() - self._ends.keys())

    def _track_event(self, event: Any) -> None:
        match event:
            case ev.RequestArrived():
                self._calls[event.call] = event
            case ev.CallerGone():
                self._ends.setdefault(event.call, 0)
            case ev.InstancesListed():
                self._leaving = set(event.leaving)
            case ev.SendSkipped():
                self._undo_send(event.call)
            case ev.SendFailed():
                self._running.pop(event.call, None)
                if event.failure is ev.Failure.NOT_SENT:
                    self._undo_send(event.call)
            case ev.AnswerReceived():
                self._running.pop(event.call, None)

    def _undo_send(self, call: CallId) -> None:
        """Undo the count of a send of which no byte was written."""
        self._sends[call] -= 1
        self._running.pop(call, None)

    def _count_send(self, state: Any, effect: do.SendRequest) -> None:
        fleet: FleetState = state.fleet
        self._sends[effect.call] += 1
        self._running[effect.call] = effect.team
        running = sum(t == effect.team for t in self._running.values())
        held = fleet.held_by(limit_key(effect.team), state.session)
        instance = self._conns.get(effect.conn, InstanceId(""))
        known = fleet.instances.get(instance)
        draining = known is not None and known.phase is not Phase.ACTIVE
        self.counts["sends_over_limit"] += running > held
        self.counts["sends_at_limit"] += running == held
        self.counts["sends_to_leaving"] += draining or instance in self._leaving
        self.counts["sends_with_withdrawn_key"] += effect.call in self._withdrawn

    def _count_refusal(self, effect: do.Refuse) -> None:
        self.counts[f"outcome.{effect.outcome.value}"] += 1
        self.counts[f"code.{effect.code}"] += 1
        if effect.outcome is do.Outcome.NOT_RUN and self._sends[effect.call] > 0:
            self.counts["sends_then_not_run"] += 1
        self._count_end(effect.call)

    def _count_end(self, call: CallId) -> None:
        self._ends[call] += 1
        self._running.pop(call, None)


class PlannerFacts:
    """Counts facts about the instances that a planner manages."""

    def __init__(self) -> None:
        """Create counters at zero."""
        self.counts: Counter[str] = Counter()
        self._config = _ConfigReversionDetector()
        self._previous: dict[InstanceId, tuple[PoolId, Phase, bool, bool]] = {}

    def before_event(self, state: Any, event: Any) -> None:
        """Record the state of the instances before a record is folded."""
        if _record(event) is not None:
            fleet: FleetState = state.fleet
            self._previous = {
                name: (i.pool, i.phase, i.available, _drained(fleet, name, i))
                for name, i in fleet.instances.items()
            }

    def after_event(self, state: Any, event: Any, effects: Sequence[Any]) -> None:
        """Count the results of an event."""
        _count_kinds(self.counts, event, effects)
        self.counts["config_reverts"] += self._config.reverted(state.fleet)
        record = _record(event)
        if record is not None:
            self._compare_instances(state.fleet, record)

    def finish(self) -> None:
        """Do nothing; every event was counted when it was applied."""

    def _compare_instances(self, fleet: FleetState, record: rec.Record) -> None:
        for name, inst in fleet.instances.items():
            if name not in self._previous:
                continue
            pool, phase, available, drained = self._previous[name]
            moved = pool != inst.pool
            if moved and not isinstance(record, rec.MoveFinished):
                self.counts["pool_changes_without_move"] += 1
            if inst.phase is Phase.STOPPING and phase is not Phase.STOPPING:
                self.counts["stops_undrained"] += not drained
            planned = inst.phase is not Phase.ACTIVE and phase is Phase.ACTIVE
            if planned and available:
                self.counts["stops_below_budget"] += _below_budget(fleet, inst.pool)


def _record(event: Any) -> rec.Record | None:
    """Return the record of a ``RecordRead`` event of either program, if it is one."""
    found = getattr(event, "record", None)
    return found if isinstance(found, rec.Record) else None


def _drained(fleet: FleetState, name: InstanceId, inst: Instance) -> bool:
    return inst.phase is Phase.DRAINING and fleet.drained(name)


def _below_budget(fleet: FleetState, pool: PoolId) -> bool:
    available = fleet.available_in(pool)
    services = fleet.config.services.values()
    return any(s.pool == pool and available < s.min_available for s in services)


FACTS_BY_PROGRAM: dict[str, Callable[[], Facts]] = {
    "entry": EntryFacts,
    "planner": PlannerFacts,
}
"""Fact counters by the program that recorded the trace."""
