"""Decisions of the scheduler: order, placement, limits, maintenance."""
