"""Clock functions shared by all modules."""

import time

__all__ = ["monotonic", "wall"]


def monotonic() -> float:
    """Return the boot-time clock, which also advances while the machine is suspended.

    :returns: seconds since an arbitrary origin; never decreases
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return the wall-clock time, for display only.

    :returns: seconds since the Unix epoch
    """
    return time.time()
