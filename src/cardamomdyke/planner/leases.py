"""Clocks and leases of backend servers, as estimated by the planner.

A lease expires by the server's own clock, which may run slow. The planner knows that
clock only from readings in answers, each at least as old as its answer.
"""

from dataclasses import dataclass

# The platform's servers measure leases with clocks that may be 2% slow.
MIN_CLOCK_RATE = 0.98
# Covers rounding, and the time between lease expiry and the end of the runs.
EXPIRY_MARGIN_SECONDS = 0.15


@dataclass(frozen=True, slots=True)
class ClockReading:
    """Reading of a server's clock.

    Attributes
    ----------
    server_seconds : float
        The server's clock, in seconds.
    read_at : float
        Steady-clock seconds at which the reading arrived.
    """

    server_seconds: float
    read_at: float


def estimate_clock(reading: ClockReading, now: float) -> float:
    """Return the server's clock, behind by at most the answer's transit time."""
    return reading.server_seconds + (now - reading.read_at)


def find_lease_expiry(reading: ClockReading, lease_until: float) -> float:
    """Return the time by which a lease has certainly expired.

    Parameters
    ----------
    reading : ClockReading
        Newest reading of the server's clock.
    lease_until : float
        Expiry of the longest lease granted, on the server's clock.

    Returns
    -------
    float
        Steady-clock seconds.
    """
    remaining = max(0.0, lease_until - reading.server_seconds)
    return reading.read_at + remaining / MIN_CLOCK_RATE + EXPIRY_MARGIN_SECONDS


def find_inherited_expiry(granted_before: float, lease_limit: float) -> float:
    """Return the time by which leases granted by earlier planners have expired.

    Parameters
    ----------
    granted_before : float
        Steady-clock seconds after which no earlier planner granted a lease.
    lease_limit : float
        Longest possible lease, in seconds.

    Returns
    -------
    float
        Steady-clock seconds.
    """
    return granted_before + lease_limit / MIN_CLOCK_RATE + EXPIRY_MARGIN_SECONDS
