"""Clocks and leases of backend servers, as seen from outside.

A lease ends at a time on the server's own clock, which may run slow. What is
known of that clock are readings in answers, each at least as old as its answer.
"""

from dataclasses import dataclass

# The platform's servers measure leases on clocks that may be 2% slow.
MIN_CLOCK_RATE = 0.98
# Covers rounding and the time between an expiry and the end of the runs.
LAPSE_MARGIN_SECONDS = 0.15


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A server's clock at a moment.

    Attributes
    ----------
    server_seconds : float
        What the server's clock showed.
    read_at : float
        When the answer that told it arrived, in seconds of this process's clock.
    """

    server_seconds: float
    read_at: float


def estimate_clock(reading: ClockReading, now: float) -> float:
    """Return the server's clock now; at most the time of an answer behind."""
    return reading.server_seconds + (now - reading.read_at)


def find_lapse(reading: ClockReading, lease_until: float) -> float:
    """Return when a lease is certainly over, in this process's clock.

    Parameters
    ----------
    reading : ClockReading
        Newest reading of the server's clock.
    lease_until : float
        End of the longest lease granted, on the server's clock.

    Returns
    -------
    float
        Seconds of this process's clock.
    """
    left = max(0.0, lease_until - reading.server_seconds)
    return reading.read_at + left / MIN_CLOCK_RATE + LAPSE_MARGIN_SECONDS


def find_unread_lapse(granted_before: float, lease_limit: float) -> float:
    """Return when leases granted by someone else are certainly over.

    Parameters
    ----------
    granted_before : float
        Time after which nobody else granted a lease, in this process's clock.
    lease_limit : float
        Longest lease, in seconds.

    Returns
    -------
    float
        Seconds of this process's clock.
    """
    return granted_before + lease_limit / MIN_CLOCK_RATE + LAPSE_MARGIN_SECONDS
