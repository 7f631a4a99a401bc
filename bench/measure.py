"""One measured figure with its bound, baseline, seed and command."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Measure"]


class Measure(NamedTuple):
    """A measured figure.

    :param name: what was measured, and at which size
    :param value: the figure
    :param unit: its unit
    :param bound: bound from the requirements or from arithmetic, as text
    :param baseline: figure of the simplest policy in the same run, as text
    :param seed: seed of the random source, or -1 where nothing is random
    :param command: command that prints it
    """

    name: str
    value: float
    unit: str
    bound: str
    baseline: str
    seed: int
    command: str
