"""Randomized fault soak of the scheduler in virtual time."""
