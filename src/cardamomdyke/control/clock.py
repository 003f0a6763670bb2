"""Clocks of a daemon on the platform."""

import time


def read_clock() -> float:
    """Return seconds of a steady clock that also counts suspended time.

    Rights that end by time, such as that of the planner, must not last longer
    because the VM was suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_unix_time() -> float:
    """Return the time of day, in seconds since 1970; it may jump."""
    return time.time()
