"""Time limits of orders to instances, so that those of two terms never overlap.

Where the platform does not check fencing tokens, an order of an ended term that arrives
late takes effect after one of its successor. Each order is therefore sent within
``TERM_CONFIRMATION_S`` of the newest durable heartbeat, and delivered or discarded
within ``ORDER_TIMEOUT_S`` of being sent; a successor sends its first one after both.
"""

from __future__ import annotations

from primrosepitch.jobs.model import ServiceName
from primrosepitch.scheduling.effects import MoveInstance, StartMaintenance
from primrosepitch.scheduling.events import Outcome
from primrosepitch.scheduling.state import TERM_CONFIRMATION_S, SchedulerState

__all__ = [
    "ORDER_TIMEOUT_S",
    "instance_orders_expire_at",
    "leaves_uncertain",
    "maintenance_order",
    "may_order_instances",
    "move_order",
]

ORDER_TIMEOUT_S = 1.5
"""Timeout of an order to an instance. When it expires, the connection is reset and the
kernel discards what it has not delivered."""

DELIVERY_SLACK_S = 0.1
"""Time for the last bytes of an order to arrive, and for delayed timers."""


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


def move_order(state: SchedulerState, instance: str, pool: ServiceName) -> MoveInstance:
    """Return an order to move an instance to a pool."""
    return MoveInstance(instance, pool, state.term, _send_by(state))


def maintenance_order(
    state: SchedulerState, instance: str, wave: int
) -> StartMaintenance:
    """Return an order to start the maintenance of an instance."""
    return StartMaintenance(instance, wave, state.term, _send_by(state))


def leaves_uncertain(outcome: Outcome, uncertain: bool) -> bool:
    """Return whether an order may still take effect after an answer.

    :param uncertain: whether an earlier order for the same was not answered
    """
    if outcome is Outcome.UNKNOWN:
        return True
    return uncertain and outcome in (Outcome.NOT_SENT, Outcome.UNHEALTHY)


def _send_by(state: SchedulerState) -> float:
    return state.confirmed_at + TERM_CONFIRMATION_S
