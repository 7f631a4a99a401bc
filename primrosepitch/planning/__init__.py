"""Planner: instance availability, drains, maintenance waves, placement of tasks."""
