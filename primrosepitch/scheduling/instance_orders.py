"""Time limits of orders to instances, so that those of two terms never overlap.

Where the platform does not check fencing tokens, an order of an ended term that arrives
late takes effect after one of its successor. Each order is therefore sent within
``TERM_CONFIRMATION_S`` of the newest durable heartbeat, and delivered or discarded
within ``ORDER_TIMEOUT_S`` of being sent; a successor sends its first one after both.

Where it checks them, an order without an answer may take effect seconds later, if its
instance has got no order of a newer term. The intention is therefore durable before an
order is sent. A successor repeats what has not been answered before it uses or orders
the instance otherwise.
"""

from __future__ import annotations

from primrosepitch.jobs.model import ServiceName
from primrosepitch.scheduling.effects import (
    Effect,
    ListInstances,
    MoveInstance,
    StartMaintenance,
)
from primrosepitch.scheduling.events import Outcome
from primrosepitch.scheduling.state import (
    TERM_CONFIRMATION_S,
    InstanceMove,
    SchedulerState,
    WaveRun,
)

__all__ = [
    "JOIN_SLACK_S",
    "LENDING_REASON",
    "MAINTENANCE_REASON",
    "ORDER_TIMEOUT_S",
    "instance_orders_expire_at",
    "has_open_order",
    "leaves_uncertain",
    "list_instances",
    "maintenance_order",
    "may_order_instances",
    "move_order",
    "prior_order",
    "restore_moves",
    "restore_wave",
    "send_stored_orders",
]

ORDER_TIMEOUT_S = 1.5
"""Timeout of an order to an instance. When it expires, the connection is reset and the
kernel discards what it has not delivered."""

DELIVERY_SLACK_S = 0.1
"""Time for the last bytes of an order to arrive, and for delayed timers."""


JOIN_SLACK_S = 3.0
"""Time beyond the duration of a move after which the new endpoint is no longer
expected."""

LENDING_REASON = "lending"
MAINTENANCE_REASON = "maintenance"


def instance_orders_expire_at(heartbeat_at: float) -> float:
    """Return when the last order of a scheduler has been delivered or discarded.

    :param heartbeat_at: boot-time clock at which its newest durable heartbeat was read
    """
    return heartbeat_at + TERM_CONFIRMATION_S + ORDER_TIMEOUT_S + DELIVERY_SLACK_S


def may_order_instances(state: SchedulerState, settle_s: float) -> bool:
    """Return whether orders to instances may be sent now.

    :param settle_s: minimum time after a takeover
    """
    first_at = max(state.term_started_at + settle_s, state.prior_orders_until)
    return state.term_confirmed and state.now >= first_at


def list_instances(state: SchedulerState) -> list[Effect]:
    """Request the list of instances, unless a request is under way."""
    if state.listing_pending:
        return []
    state.listing_pending = True
    state.listing_began_at = state.now
    return [ListInstances()]


def move_order(state: SchedulerState, instance: str, pool: ServiceName) -> MoveInstance:
    """Return an order to move an instance to a pool."""
    return MoveInstance(instance, pool, state.term, _send_by(state))


def maintenance_order(
    state: SchedulerState, instance: str, wave: int
) -> StartMaintenance:
    """Return an order to start the maintenance of an instance."""
    return StartMaintenance(instance, wave, state.term, _send_by(state))


def send_stored_orders(state: SchedulerState) -> list[Effect]:
    """Send the orders whose intention has become durable.

    Those that may not be sent now are sent like the repeat of one without an answer.
    """
    effects: list[Effect] = []
    permitted = may_order_instances(state, 0.0)
    for instance, number in state.committing_orders:
        move, wave = state.moves.get(instance), state.waves.get(number or 0)
        if number is None and move is not None:
            move.repeat = not permitted
            if permitted:
                effects.append(move_order(state, instance, move.pool))
        elif number is not None and wave is not None and instance in wave.ordered:
            if permitted:
                effects.append(maintenance_order(state, instance, number))
            else:
                wave.repeat.add(instance)
    state.committing_orders = []
    return effects


def restore_moves(state: SchedulerState, moves: dict[str, ServiceName]) -> None:
    """Restore the orders of earlier terms to move instances, which are repeated."""
    state.stored_moves = moves
    expected_by = state.now + state.limits.migration_s + JOIN_SLACK_S
    for instance, pool in moves.items():
        state.moves[instance] = InstanceMove(
            pool, expected_by, uncertain=True, repeat=True
        )


def restore_wave(state: SchedulerState, wave: WaveRun) -> None:
    """Restore the progress of a wave in earlier terms, and repeat its open orders."""
    progress = state.stored_waves.get(wave.spec.wave)
    if progress is not None:
        wave.begun.update(progress.begun)
        wave.seen.update(progress.seen)
        wave.gone.update(progress.gone)
        open_orders = set(progress.ordered) - wave.begun
        wave.ordered |= open_orders
        wave.uncertain |= open_orders
        wave.repeat |= open_orders


def prior_order(state: SchedulerState, instance: str, pool: ServiceName) -> str:
    """Return why an endpoint is not used because of an order of an earlier term.

    :param pool: pool of the endpoint
    :returns: the reason of the order that may still end it, or an empty string
    """
    move = state.moves.get(instance)
    if move is not None and move.uncertain and move.pool != pool:
        return LENDING_REASON
    waves = state.waves.values()
    return MAINTENANCE_REASON if any(instance in w.uncertain for w in waves) else ""


def has_open_order(state: SchedulerState, instance: str) -> bool:
    """Return whether an order to an instance may still be carried out."""
    move = state.moves.get(instance)
    if move is not None and move.open:
        return True
    waves = state.waves.values()
    return any(instance in w.ordered or instance in w.uncertain for w in waves)


def leaves_uncertain(outcome: Outcome, uncertain: bool) -> bool:
    """Return whether an order may still take effect after an answer.

    :param uncertain: whether an earlier order for the same was not answered
    """
    if outcome is Outcome.UNKNOWN:
        return True
    return uncertain and outcome in (Outcome.NOT_SENT, Outcome.UNHEALTHY)


def _send_by(state: SchedulerState) -> float:
    return state.confirmed_at + TERM_CONFIRMATION_S
