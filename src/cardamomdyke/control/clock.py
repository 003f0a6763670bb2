"""Clocks of a daemon on the platform."""

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field
from statistics import median


def read_clock() -> float:
    """Return seconds of a steady clock that also counts suspended time.

    Rights that end by time, such as that of the planner, must not last longer
    because the VM was suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_unix_time() -> float:
    """Return the time of day, in seconds since 1970; it may jump."""
    return time.time()


# One reading a second. A jump of the time of day that lasts less than half of
# the kept readings does not show in their median.
READINGS_KEPT = 61
READING_PERIOD_SECONDS = 1.0


@dataclass
class UnixClock:
    """Time of day that keeps an even pace while the VM's own time of day jumps.

    Attributes
    ----------
    offsets : deque of float
        Readings of the time of day less the steady clock, in seconds, newest last.
    """

    offsets: deque[float] = field(default_factory=lambda: deque(maxlen=READINGS_KEPT))

    def take_reading(self) -> None:
        """Compare the VM's time of day with the steady clock."""
        self.offsets.append(read_unix_time() - read_clock())

    @property
    def offset(self) -> float:
        """Unix time less the time of the steady clock, in seconds."""
        return median(self.offsets)

    def read(self) -> float:
        """Return seconds since 1970."""
        return read_clock() + self.offset

    async def take_readings_forever(self) -> None:
        """Keep the readings current, until cancelled."""
        while True:
            await asyncio.sleep(READING_PERIOD_SECONDS)
            self.take_reading()


def make_unix_clock() -> UnixClock:
    """Build a clock with a first reading."""
    clock = UnixClock()
    clock.take_reading()
    return clock
