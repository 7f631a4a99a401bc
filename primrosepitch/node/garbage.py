"""Keeps the pauses of the garbage collector short.

A full collection looks at every object that could be part of a reference cycle. With
the records of thousands of jobs that takes 0.1 s, in which the loop serves nothing.
"""

from __future__ import annotations

import contextlib
import gc
import time
from collections.abc import Iterator

__all__ = ["short_collections"]

FULL_COLLECTION = 2
"""Number of the oldest generation, which a full collection looks at."""

LONG_PAUSE_S = 0.01
"""Duration of a full collection after which its survivors are exempt from later ones.
They are freed by their reference counts like all objects; records are no cycles."""


@contextlib.contextmanager
def short_collections() -> Iterator[None]:
    """Exempt the survivors of each long collection from the following ones."""
    began_at = 0.0

    def observe(phase: str, info: dict[str, int]) -> None:
        nonlocal began_at
        now = time.perf_counter()
        if phase == "start":
            began_at = now
        elif info["generation"] == FULL_COLLECTION and now - began_at > LONG_PAUSE_S:
            gc.freeze()

    gc.callbacks.append(observe)
    try:
        yield
    finally:
        gc.callbacks.remove(observe)
        gc.unfreeze()
