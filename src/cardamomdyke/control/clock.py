"""Clocks of a platform daemon."""

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field
from statistics import median


def read_clock() -> float:
    """Return seconds of a steady clock that also counts suspended time.

    Authority that expires, such as the planner's, must not last longer because the VM
    was suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_unix_time() -> float:
    """Return the VM's Unix time, in seconds; it may jump."""
    return time.time()


# One reading per second. A jump of the Unix time that lasts for less than half of
# the kept readings does not change their median.
MAX_READINGS = 61
READING_PERIOD_SECONDS = 1.0


@dataclass
class UnixClock:
    """Unix clock that keeps an even pace while the VM's own Unix time jumps.

    Attributes
    ----------
    offsets : deque of float
        Readings of Unix time minus the steady clock, in seconds, newest last.
    """

    offsets: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_READINGS))

    def record_reading(self) -> None:
        """Record the difference between the VM's Unix time and the steady clock."""
        self.offsets.append(read_unix_time() - read_clock())

    @property
    def offset(self) -> float:
        """Median of Unix time minus the steady clock, in seconds."""
        return median(self.offsets)

    def read(self) -> float:
        """Return Unix time, in seconds."""
        return read_clock() + self.offset

    async def record_readings_forever(self) -> None:
        """Take a reading every second, until cancelled."""
        while True:
            await asyncio.sleep(READING_PERIOD_SECONDS)
            self.record_reading()


def make_unix_clock() -> UnixClock:
    """Create a clock with one reading."""
    clock = UnixClock()
    clock.record_reading()
    return clock
