"""Monotonic and wall-clock time, read in one place."""

import time

__all__ = ["monotonic", "wall"]


def monotonic() -> float:
    """Return the boot-time clock, which also advances while the machine is suspended.

    :returns: seconds from an arbitrary origin; never falls
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return the wall clock, for people only.

    :returns: seconds since the Unix epoch
    """
    return time.time()
