"""Result of one measurement, with its bound, baseline, seed and command."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Measure"]


class Measure(NamedTuple):
    """Result of one measurement.

    :param name: measured quantity, and the size at which it was measured
    :param value: measured value
    :param unit: unit of the value
    :param bound: required or calculated limit, as text
    :param baseline: value of the simplest policy in the same run, as text
    :param seed: seed of the random generator, or -1 if nothing is random
    :param command: command that prints it
    """

    name: str
    value: float
    unit: str
    bound: str
    baseline: str
    seed: int
    command: str
