"""Fold of the log: the deterministic function that applies records to the state."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import TypeVar

import msgspec

from primrosepitch.config.model import PUBLIC_TEAM, Config, KeySpec, merge
from primrosepitch.errors import ConfigError
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.counts import Count, conns_key, limit_key, slots_key
from primrosepitch.fleet.state import (
    FleetState,
    Instance,
    Key,
    Lease,
    Phase,
    Session,
    SessionState,
    Wave,
    WaveState,
)
from primrosepitch.ids import (
    CountKey,
    DcId,
    InstanceId,
    Offset,
    PoolId,
    SessionId,
    WaveId,
)

__all__ = ["Outcome", "Void", "budget_violation", "fold"]

MAX_RECENT_RECORDS = 4096
"""Number of record ids stored so that a retried append is folded only once."""

WITHDRAWN_RETENTION_S = 400 * 86400.0
"""Seconds for which the id of a withdrawn key is remembered."""

MAX_FINISHED_WAVES = 16
"""Number of ended waves kept for operators; older ones are removed."""

PROBE_CONNECTIONS = 2
"""Number of connections of each endpoint reserved for probes.

One is for the planner that holds the lease, the other for a planner that was paused
while it held the lease before.
"""

DEFAULT_PUBLIC_LIMIT = 1_000_000
"""Upper limit of the built-in team if the configuration sets none."""


class Void(enum.Enum):
    """Why a record has no effect."""

    REPEATED = "repeated append"
    STALE_BASE = "the state has changed since the base offset"
    STALE_TERM = "the planner lease has another term"
    BUDGET = "an availability budget does not allow it"
    NOT_DRAINED = "the instance has not drained"
    WRONG_PHASE = "the instance is in another phase"
    UNKNOWN_NAME = "no such name"
    NOT_HELD = "the session does not hold the units"
    SESSION_STATE = "the session is in another state"
    WITHDRAWN = "the key was withdrawn"
    INVALID = "the merged configuration is invalid"
    WAVE_STATE = "the wave is in another state"
    OLDER = "the state in force is newer"


class Outcome(msgspec.Struct, frozen=True):
    """Result of folding one record.

    :param void: why the record has no effect; ``None`` if it was accepted
    :param detail: details of the reason
    """

    offset: Offset
    record: rec.Record
    void: Void | None = None
    detail: str = ""


class RejectedError(Exception):
    """Raised by a handler if its record does not fit the state."""

    def __init__(self, void: Void, detail: str = "") -> None:
        """Store the reason and its details."""
        super().__init__(void.value)
        self.void = void
        self.detail = detail


_LeasedRecord = rec.StopRequested | rec.MoveFinished | rec.InstanceUp
R = TypeVar("R", bound=rec.Record)
Handler = Callable[[FleetState, Offset, R], None]
_HANDLERS: dict[type, Callable[..., None]] = {}


def handles(kind: type[R]) -> Callable[[Handler[R]], Handler[R]]:
    """Register the handler of a record type.

    A handler completes all checks before it changes the state, and raises
    ``RejectedError`` if the record does not fit.
    """

    def register(handler: Handler[R]) -> Handler[R]:
        _HANDLERS[kind] = handler
        return handler

    return register


def fold(state: FleetState, offset: Offset, record: rec.Record) -> Outcome:
    """Fold one record into the state, in place.

    :param state: state at the previous offset
    :param offset: offset of the record
    :param record: record to fold
    :returns: the outcome, with the reason if the record is void
    """
    if offset <= state.offset:
        return Outcome(offset, record, Void.OLDER)
    state.offset = offset
    if record.record_id in state.recent:
        return Outcome(offset, record, Void.REPEATED)
    _remember_id(state, offset, record)
    handler = _HANDLERS.get(type(record))
    if handler is None:
        return Outcome(offset, record)
    try:
        handler(state, offset, record)
    except RejectedError as exc:
        return Outcome(offset, record, exc.void, exc.detail)
    return Outcome(offset, record)


def _remember_id(state: FleetState, offset: Offset, record: rec.Record) -> None:
    """Store the record id and drop the oldest one beyond the bound."""
    state.recent[record.record_id] = offset
    if len(state.recent) > MAX_RECENT_RECORDS:
        del state.recent[next(iter(state.recent))]


# Configuration and keys


@handles(rec.ConfigPublished)
def _config_published(
    state: FleetState, offset: Offset, r: rec.ConfigPublished
) -> None:
    if r.base_offset != state.config_offset:
        raise RejectedError(
            Void.STALE_BASE, f"in force since offset {state.config_offset}"
        )
    documents = {k: v for k, v in state.documents.items() if k not in r.removed}
    documents.update(r.documents)
    try:
        cfg = merge(documents)
    except ConfigError as exc:
        raise RejectedError(Void.INVALID, exc.detail) from exc
    _check_removed_pools(state, cfg)
    _check_removed_instances(state, cfg)
    state.documents = documents
    state.config = cfg
    state.config_offset = offset
    _apply_instances(state, offset)
    _apply_totals(state)


def _check_removed_pools(state: FleetState, cfg: Config) -> None:
    """Reject a configuration that removes a pool with instances in or moving to it."""
    removed = state.config.pools.keys() - cfg.pools.keys()
    for name, inst in state.instances.items():
        used = removed & {inst.pool, inst.to_pool}
        if used and name in cfg.instances:
            raise RejectedError(
                Void.INVALID, f"pool {min(used, key=str)} still has instance {name}"
            )


def _check_removed_instances(state: FleetState, cfg: Config) -> None:
    """Reject a configuration that removes instances needed by availability budgets."""
    for name, service in cfg.services.items():
        previous = state.available_in(service.pool)
        left = sum(
            1
            for key, inst in state.instances.items()
            if inst.pool == service.pool and inst.available and key in cfg.instances
        )
        if left < previous and left < service.min_available:
            raise RejectedError(
                Void.BUDGET,
                f"service {name} needs {service.min_available}, {left} would be left",
            )


def _apply_instances(state: FleetState, offset: Offset) -> None:
    """Add new instances of the configuration and drop those that it no longer names."""
    specs = state.config.instances
    for name, spec in specs.items():
        found = state.instances.get(name)
        if found is None:
            state.instances[name] = Instance(
                pool=spec.pool, dc=spec.dc, rack=spec.rack, changed=offset
            )
        else:
            found.dc = spec.dc
            found.rack = spec.rack
    for name in [n for n in state.instances if n not in specs]:
        del state.instances[name]
        _drop_from_waves(state, name)


def _drop_from_waves(state: FleetState, name: InstanceId) -> None:
    """Remove an instance from all waves, so that they can finish without it."""
    for wave in state.waves.values():
        if name in wave.instances:
            wave.instances = [i for i in wave.instances if i != name]
            wave.done = [i for i in wave.done if i != name]
            _finish_wave(wave)


def _apply_totals(state: FleetState) -> None:
    """Set the totals of all counts from the configuration.

    A count that is no longer named is frozen and kept until all its units are back. If
    it were dropped at once and then named again, its units would exist twice.
    """
    totals: dict[CountKey, int] = {limit_key(PUBLIC_TEAM): DEFAULT_PUBLIC_LIMIT}
    for team, spec in state.config.teams.items():
        totals[limit_key(team)] = spec.limit
    for name, inst in state.config.instances.items():
        totals[slots_key(name)] = inst.slots
        totals[conns_key(name)] = _connections_for_entries(inst.connections)
    for key, total in totals.items():
        if key in state.counts:
            state.counts[key].resize(total)
            state.counts[key].abandoned = False
        else:
            state.counts[key] = Count.of(total)
    for key in [k for k in state.counts if k not in totals]:
        state.counts[key].abandoned = True
        _drop_if_returned(state, key)
    for name, found in state.instances.items():
        _set_frozen(state, name, frozen=found.phase is not Phase.ACTIVE)
    for team in state.config.teams:
        state.counts[limit_key(team)].frozen = False


def _connections_for_entries(connections: int) -> int:
    """Return how many of an endpoint's connections entries may hold."""
    return max(connections - PROBE_CONNECTIONS, min(connections, 1))


def _drop_if_returned(state: FleetState, key: CountKey) -> None:
    """Freeze an abandoned count and drop it once all its units are back."""
    count = state.counts[key]
    if not count.abandoned:
        return
    count.frozen = True
    if count.reserve == count.total and not count.owed:
        del state.counts[key]


@handles(rec.KeyGiven)
def _key_given(state: FleetState, offset: Offset, r: rec.KeyGiven) -> None:
    if r.key_id in state.withdrawn:
        raise RejectedError(Void.WITHDRAWN, r.key_id)
    if r.team not in state.config.teams:
        raise RejectedError(Void.UNKNOWN_NAME, f"team {r.team}")
    if state.find_key(r.key_id) is not None:
        raise RejectedError(Void.INVALID, f"key {r.key_id} exists already")
    state.given_keys[r.key_id] = Key(r.team, KeySpec(salt=r.salt, digest=r.digest))


@handles(rec.KeyWithdrawn)
def _key_withdrawn(state: FleetState, offset: Offset, r: rec.KeyWithdrawn) -> None:
    state.withdrawn.setdefault(r.key_id, r.at)
    state.given_keys.pop(r.key_id, None)
    _prune_withdrawn(state, r.at)


def _prune_withdrawn(state: FleetState, at: float) -> None:
    """Drop old withdrawals of keys that no configuration file lists any more."""
    old = [k for k, t in state.withdrawn.items() if t < at - WITHDRAWN_RETENTION_S]
    if not old:
        return
    listed = {k for team in state.config.teams.values() for k in team.keys}
    for key in old:
        if key not in listed:
            del state.withdrawn[key]


# Sessions and slices


def _open_session(state: FleetState, session: SessionId) -> Session:
    found = state.sessions.get(session)
    if found is None or found.state is not SessionState.OPEN:
        raise RejectedError(Void.SESSION_STATE, session)
    return found


def _increment_epoch(state: FleetState, dc: DcId) -> None:
    state.epochs[dc] = state.epochs.get(dc, 0) + 1


@handles(rec.SessionOpened)
def _session_opened(state: FleetState, offset: Offset, r: rec.SessionOpened) -> None:
    if r.session in state.sessions:
        raise RejectedError(Void.SESSION_STATE, r.session)
    for found in state.sessions.values():
        same = found.peer_address == r.peer_address and found.role is r.role
        if r.peer_address and same and found.state is SessionState.OPEN:
            found.state = SessionState.ENDED
            found.ended = offset
            if found.role is rec.Role.ENTRY and found.dc != r.dc:
                _increment_epoch(state, found.dc)
    state.sessions[r.session] = Session(
        role=r.role,
        dc=r.dc,
        instance=r.instance,
        peer_address=r.peer_address,
        http_address=r.http_address,
        opened=offset,
        renewed=offset,
    )
    if r.role is rec.Role.ENTRY:
        _increment_epoch(state, r.dc)


@handles(rec.SessionRenewed)
def _session_renewed(state: FleetState, offset: Offset, r: rec.SessionRenewed) -> None:
    for session in r.sessions:
        found = state.sessions.get(session)
        if found is not None and found.state is SessionState.OPEN:
            found.renewed = offset


@handles(rec.SessionClosed)
def _session_closed(state: FleetState, offset: Offset, r: rec.SessionClosed) -> None:
    found = _open_session(state, r.session)
    _remove_session(state, r.session)
    if found.role is rec.Role.ENTRY:
        _increment_epoch(state, found.dc)


@handles(rec.SessionEnded)
def _session_ended(state: FleetState, offset: Offset, r: rec.SessionEnded) -> None:
    found = _open_session(state, r.session)
    if found.renewed > r.renewed_offset:
        raise RejectedError(Void.STALE_BASE, f"renewed at offset {found.renewed}")
    found.state = SessionState.ENDED
    found.ended = offset
    found.proof = r.proof
    if found.role is rec.Role.ENTRY:
        _increment_epoch(state, found.dc)


@handles(rec.SessionSettled)
def _session_settled(state: FleetState, offset: Offset, r: rec.SessionSettled) -> None:
    found = state.sessions.get(r.session)
    if found is None or found.state is not SessionState.ENDED:
        raise RejectedError(Void.SESSION_STATE, r.session)
    _remove_session(state, r.session)


def _remove_session(state: FleetState, session: SessionId) -> None:
    """Remove a session and return all its units to the reserves."""
    for key, count in list(state.counts.items()):
        if session in count.held or session in count.owed:
            count.release(session)
            _drop_if_returned(state, key)
    del state.sessions[session]


@handles(rec.SliceTake)
def _slice_take(state: FleetState, offset: Offset, r: rec.SliceTake) -> None:
    _open_session(state, r.by)
    for key, units in r.units.items():
        if key in state.counts:
            state.counts[key].take(r.by, units)


@handles(rec.SliceGive)
def _slice_give(state: FleetState, offset: Offset, r: rec.SliceGive) -> None:
    _open_session(state, r.by)
    to = r.to
    if to is not None:
        receiver = state.sessions.get(to)
        if receiver is None or receiver.state is not SessionState.OPEN:
            to = None
    # A lower limit may have reduced the holding after the giver decided. So owed
    # units are cleared first, and then as many are moved as are still held.
    for key, units in r.units.items():
        count = state.counts.get(key)
        if count is not None:
            rest = units - count.clear_owed(r.by, units)
            count.give(r.by, min(rest, count.held_by(r.by)), to)
            _drop_if_returned(state, key)


# Planner leases, drains, moves and stops


@handles(rec.PlannerLease)
def _planner_lease(state: FleetState, offset: Offset, r: rec.PlannerLease) -> None:
    found = _open_session(state, r.session)
    if found.role is not rec.Role.PLANNER or found.dc != r.dc or r.by != r.session:
        raise RejectedError(Void.SESSION_STATE, f"no planner of data centre {r.dc}")
    lease = state.leases.get(r.dc)
    term = lease.term if lease else 0
    renewal = lease is not None and lease.session == r.session and r.term == term
    if not renewal and r.term != term + 1:
        raise RejectedError(Void.STALE_TERM, f"term {term} is in force")
    if not renewal and lease is not None and _renewed_since(state, lease, r):
        raise RejectedError(Void.STALE_BASE, f"renewed at offset {lease.renewed}")
    state.leases[r.dc] = Lease(session=r.session, term=r.term, renewed=offset)


def _renewed_since(state: FleetState, lease: Lease, r: rec.PlannerLease) -> bool:
    """Return whether the holder, still open, renewed after the takeover was decided."""
    holder = state.sessions.get(lease.session)
    open_ = holder is not None and holder.state is SessionState.OPEN
    return open_ and lease.renewed > r.renewed_offset


def _check_term(state: FleetState, dc: DcId, term: int, by: SessionId) -> None:
    lease = state.leases.get(dc)
    if lease is None or lease.term != term or lease.session != by:
        raise RejectedError(Void.STALE_TERM, f"data centre {dc}")
    _open_session(state, by)


def _check_owner(state: FleetState, inst: Instance, r: _LeasedRecord) -> None:
    """Check that a record comes from the lease holder of the instance's data centre."""
    _check_term(state, r.dc, r.term, r.by)
    if r.dc != inst.dc:
        raise RejectedError(Void.STALE_TERM, f"the instance is in {inst.dc}")


def _find_instance(state: FleetState, name: InstanceId) -> Instance:
    found = state.instances.get(name)
    if found is None:
        raise RejectedError(Void.UNKNOWN_NAME, f"instance {name}")
    return found


def budget_violation(state: FleetState, pool: PoolId, losses: int = 1) -> str:
    """Return which availability budget of a pool's services would be violated.

    :param losses: number of available instances that would become unavailable
    :returns: the violated budget; empty if all hold
    """
    left = state.available_in(pool) - losses
    for name, service in state.config.services.items():
        if service.pool == pool and left < service.min_available:
            return f"service {name} needs {service.min_available}, {left} would be left"
    return ""


@handles(rec.DrainStarted)
def _drain_started(state: FleetState, offset: Offset, r: rec.DrainStarted) -> None:
    inst = _find_instance(state, r.instance)
    if r.term is None:
        if inst.changed > r.base_offset:
            raise RejectedError(Void.STALE_BASE, f"changed at offset {inst.changed}")
    else:
        _check_term(state, inst.dc, r.term, r.by)
    if inst.phase is not Phase.ACTIVE:
        raise RejectedError(Void.WRONG_PHASE, inst.phase.value)
    if r.reason is rec.DrainReason.MOVE and r.to_pool not in state.config.pools:
        raise RejectedError(Void.UNKNOWN_NAME, f"pool {r.to_pool}")
    if r.reason is rec.DrainReason.MOVE and r.to_pool == inst.pool:
        raise RejectedError(Void.INVALID, f"the instance is in {inst.pool} already")
    if r.wave is not None:
        _check_wave_step(state, r)
    problem = budget_violation(state, inst.pool) if inst.available else ""
    if problem:
        raise RejectedError(Void.BUDGET, problem)
    inst.phase = Phase.DRAINING
    inst.reason = r.reason
    inst.to_pool = r.to_pool
    inst.wave = r.wave
    inst.changed = offset
    _set_frozen(state, r.instance, frozen=True)


def _check_wave_step(state: FleetState, r: rec.DrainStarted) -> None:
    wave = state.waves.get(r.wave) if r.wave else None
    if wave is None or wave.state is not WaveState.RUNNING:
        raise RejectedError(Void.WAVE_STATE, r.wave or "")
    if r.instance not in wave.instances or r.instance in wave.done:
        raise RejectedError(Void.WAVE_STATE, f"{r.instance} is not pending")
    stopped = [
        i
        for i in (state.instances[name] for name in wave.instances)
        if i.wave == r.wave and i.phase is not Phase.ACTIVE
    ]
    if len(stopped) >= wave.max_parallel:
        raise RejectedError(
            Void.WAVE_STATE, f"{len(stopped)} instances are stopped already"
        )
    # Planners of several data centres run one wave, so only the fold can limit it to
    # one rack at a time.
    inst = state.instances[r.instance]
    for other in stopped:
        if (other.dc, other.rack) != (inst.dc, inst.rack):
            raise RejectedError(
                Void.WAVE_STATE, f"rack {other.dc}/{other.rack} is in work"
            )


def _set_frozen(state: FleetState, instance: InstanceId, frozen: bool) -> None:
    """Forbid or allow taking units of an instance."""
    for key in (slots_key(instance), conns_key(instance)):
        if key in state.counts:
            state.counts[key].frozen = frozen


def _reactivate(state: FleetState, name: InstanceId, offset: Offset) -> None:
    """Make an instance active again and allow taking its units."""
    inst = state.instances[name]
    inst.phase = Phase.ACTIVE
    inst.reason = None
    inst.to_pool = None
    inst.changed = offset
    _set_frozen(state, name, frozen=False)


@handles(rec.DrainCancelled)
def _drain_cancelled(state: FleetState, offset: Offset, r: rec.DrainCancelled) -> None:
    inst = _find_instance(state, r.instance)
    if inst.phase is not Phase.DRAINING:
        raise RejectedError(Void.WRONG_PHASE, inst.phase.value)
    _reactivate(state, r.instance, offset)
    inst.wave = None


@handles(rec.StopRequested)
def _stop_requested(state: FleetState, offset: Offset, r: rec.StopRequested) -> None:
    inst = _find_instance(state, r.instance)
    _check_owner(state, inst, r)
    if not state.drained(r.instance):
        raise RejectedError(Void.NOT_DRAINED, r.instance)
    if inst.reason is rec.DrainReason.MOVE:
        raise RejectedError(Void.WRONG_PHASE, "the instance is moving")
    _check_not_needed(state, inst)
    if not r.incarnation and not inst.incarnation:
        raise RejectedError(Void.WRONG_PHASE, "the incarnation is unknown")
    inst.phase = Phase.STOPPING
    inst.up = False
    inst.changed = offset
    if r.incarnation:
        inst.incarnation = r.incarnation


def _check_not_needed(state: FleetState, inst: Instance) -> None:
    """Reject the removal of an instance that is needed after failures of others.

    The drain can still be cancelled, which returns the instance to its pool.
    """
    problem = budget_violation(state, inst.pool, losses=0) if inst.up else ""
    if problem:
        raise RejectedError(Void.BUDGET, problem)


@handles(rec.MoveFinished)
def _move_finished(state: FleetState, offset: Offset, r: rec.MoveFinished) -> None:
    inst = _find_instance(state, r.instance)
    _check_owner(state, inst, r)
    if inst.reason is not rec.DrainReason.MOVE or inst.to_pool is None:
        raise RejectedError(Void.WRONG_PHASE, inst.phase.value)
    if not state.drained(r.instance):
        raise RejectedError(Void.NOT_DRAINED, r.instance)
    _check_not_needed(state, inst)
    inst.pool = inst.to_pool
    inst.up = False
    _reactivate(state, r.instance, offset)


@handles(rec.InstanceUp)
def _instance_up(state: FleetState, offset: Offset, r: rec.InstanceUp) -> None:
    inst = _find_instance(state, r.instance)
    _check_owner(state, inst, r)
    if inst.up and inst.incarnation == r.incarnation:
        return
    if inst.phase is Phase.STOPPING:
        if r.incarnation == inst.incarnation:
            raise RejectedError(Void.WRONG_PHASE, "the instance has not restarted yet")
        inst.maintained = offset
        _reactivate(state, r.instance, offset)
        _finish_wave_step(state, r.instance, inst)
    inst.up = True
    inst.incarnation = r.incarnation
    inst.changed = offset


def _finish_wave_step(state: FleetState, name: InstanceId, inst: Instance) -> None:
    """Mark the instance as done in its wave."""
    wave = state.waves.get(inst.wave) if inst.wave else None
    inst.wave = None
    if wave is None or name in wave.done:
        return
    wave.done = [*wave.done, name]
    _finish_wave(wave)


def _finish_wave(wave: Wave) -> None:
    """End a running wave once all its instances are done."""
    if wave.state is WaveState.RUNNING and set(wave.done) >= set(wave.instances):
        wave.state = WaveState.DONE


@handles(rec.InstanceDown)
def _instance_down(state: FleetState, offset: Offset, r: rec.InstanceDown) -> None:
    inst = _find_instance(state, r.instance)
    _check_term(state, r.dc, r.term, r.by)
    if inst.up:
        inst.up = False
        inst.changed = offset


# Waves


@handles(rec.WaveStarted)
def _wave_started(state: FleetState, offset: Offset, r: rec.WaveStarted) -> None:
    if r.wave in state.waves:
        raise RejectedError(Void.WAVE_STATE, r.wave)
    if r.max_parallel < 1:
        raise RejectedError(Void.INVALID, "max_parallel must be at least 1")
    for name in r.instances:
        _find_instance(state, name)
    _prune_waves(state)
    wave = Wave(
        instances=list(dict.fromkeys(r.instances)),
        max_parallel=r.max_parallel,
        done=[],
    )
    state.waves[r.wave] = wave
    _finish_wave(wave)


def _prune_waves(state: FleetState) -> None:
    """Drop the oldest ended waves that no instance is in, beyond the bound."""
    used = {i.wave for i in state.instances.values()}
    final_states = {WaveState.DONE, WaveState.CANCELLED}
    ended = [
        n for n, w in state.waves.items() if w.state in final_states and n not in used
    ]
    for name in ended[: max(0, len(ended) - MAX_FINISHED_WAVES)]:
        del state.waves[name]


def _change_wave(
    state: FleetState, name: WaveId, allowed: set[WaveState], to: WaveState
) -> Wave:
    wave = state.waves.get(name)
    if wave is None or wave.state not in allowed:
        raise RejectedError(Void.WAVE_STATE, name)
    wave.state = to
    return wave


@handles(rec.WavePaused)
def _wave_paused(state: FleetState, offset: Offset, r: rec.WavePaused) -> None:
    wave = _change_wave(state, r.wave, {WaveState.RUNNING}, WaveState.PAUSED)
    wave.cause = r.cause


@handles(rec.WaveResumed)
def _wave_resumed(state: FleetState, offset: Offset, r: rec.WaveResumed) -> None:
    wave = _change_wave(state, r.wave, {WaveState.PAUSED}, WaveState.RUNNING)
    wave.cause = ""
    _finish_wave(wave)


@handles(rec.WaveCancelled)
def _wave_cancelled(state: FleetState, offset: Offset, r: rec.WaveCancelled) -> None:
    live = {WaveState.RUNNING, WaveState.PAUSED}
    _change_wave(state, r.wave, live, WaveState.CANCELLED)
