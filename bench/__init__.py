"""Measures of the project against their bounds and baselines."""
