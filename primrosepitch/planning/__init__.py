"""Pools, availability budgets, waves and placement."""
