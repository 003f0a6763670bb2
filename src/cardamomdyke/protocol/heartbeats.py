"""Packed heartbeats; a Thrift struct for each would take half as much again."""

from collections.abc import Iterable
from math import ceil
from struct import Struct

from cardamomdyke.membership.view import HEARTBEAT_TIMEOUT_SECONDS, KEY_MASK, Heartbeat

# Key with the draining flag as its highest bit, heartbeat, age in steps.
PULSE = Struct("<IIB")
DRAINING_BIT = KEY_MASK + 1
AGE_STEP_SECONDS = 0.025
MAX_AGE_STEPS = 255
assert MAX_AGE_STEPS * AGE_STEP_SECONDS > HEARTBEAT_TIMEOUT_SECONDS


def pack_heartbeats(heartbeats: Iterable[Heartbeat], now: float) -> bytes:
    """Return the packed form of heartbeats; ages are rounded up.

    Parameters
    ----------
    heartbeats : iterable of Heartbeat
        What to send.
    now : float
        Monotonic time, in seconds.

    Returns
    -------
    bytes
        9 bytes for each.
    """
    return b"".join(
        PULSE.pack(
            item.key | (DRAINING_BIT if item.draining else 0),
            item.heartbeat,
            min(ceil((now - item.heard_at) / AGE_STEP_SECONDS), MAX_AGE_STEPS),
        )
        for item in heartbeats
    )


def unpack_heartbeats(data: bytes, received_at: float) -> list[Heartbeat]:
    """Read packed heartbeats; a part of one at the end is left out.

    Parameters
    ----------
    data : bytes
        Result of `pack_heartbeats`.
    received_at : float
        Monotonic time, in seconds, that the ages count back from.

    Returns
    -------
    list of Heartbeat
        The heartbeats.
    """
    whole = data[: len(data) - len(data) % PULSE.size]
    return [
        Heartbeat(
            key=key & KEY_MASK,
            heartbeat=heartbeat,
            heard_at=received_at - steps * AGE_STEP_SECONDS,
            draining=bool(key & DRAINING_BIT),
        )
        for key, heartbeat, steps in PULSE.iter_unpack(whole)
    ]
