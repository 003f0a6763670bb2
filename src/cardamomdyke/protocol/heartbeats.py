"""Binary encoding of heartbeats; one Thrift struct each would be 50 % larger."""

from collections.abc import Iterable
from math import ceil
from struct import Struct

from cardamomdyke.membership.view import HEARTBEAT_TIMEOUT_SECONDS, KEY_MASK, Heartbeat

# Key with the draining flag as its highest bit, heartbeat, age in steps of
# AGE_STEP_SECONDS.
HEARTBEAT_FORMAT = Struct("<IIB")
DRAINING_BIT = KEY_MASK + 1
AGE_STEP_SECONDS = 0.025
MAX_AGE_STEPS = 255
assert MAX_AGE_STEPS * AGE_STEP_SECONDS > HEARTBEAT_TIMEOUT_SECONDS


def pack_heartbeats(heartbeats: Iterable[Heartbeat], now: float) -> bytes:
    """Encode heartbeats; ages are rounded up and capped at ``MAX_AGE_STEPS``.

    Parameters
    ----------
    heartbeats : iterable of Heartbeat
        Heartbeats to encode.
    now : float
        Steady-clock seconds.

    Returns
    -------
    bytes
        9 bytes per heartbeat.
    """
    return b"".join(
        HEARTBEAT_FORMAT.pack(
            item.key | (DRAINING_BIT if item.draining else 0),
            item.heartbeat,
            min(ceil((now - item.heard_at) / AGE_STEP_SECONDS), MAX_AGE_STEPS),
        )
        for item in heartbeats
    )


def unpack_heartbeats(data: bytes, received_at: float) -> list[Heartbeat]:
    """Decode packed heartbeats; an incomplete last one is ignored.

    Parameters
    ----------
    data : bytes
        Result of `pack_heartbeats`.
    received_at : float
        Steady-clock seconds from which the ages are subtracted.

    Returns
    -------
    list of Heartbeat
        The heartbeats, in the order of the data.
    """
    complete = data[: len(data) - len(data) % HEARTBEAT_FORMAT.size]
    return [
        Heartbeat(
            key=key & KEY_MASK,
            heartbeat=heartbeat,
            heard_at=received_at - steps * AGE_STEP_SECONDS,
            draining=bool(key & DRAINING_BIT),
        )
        for key, heartbeat, steps in HEARTBEAT_FORMAT.iter_unpack(complete)
    ]
