"""Announcements of daemons in the platform's store."""

from dataclasses import dataclass

from expression import Error, Ok, Result
from msgspec.json import Decoder, encode

from cardamomdyke.model.errors import DECODE_ERRORS

# Prefix of announcements' keys.
PEER_PREFIX = "d"
# Key of the planner's heartbeat.
HEARTBEAT_KEY = "t"


@dataclass(frozen=True, slots=True)
class Peer:
    """Announcement of one daemon.

    Attributes
    ----------
    vm : str
        Name of its VM.
    address : str
        ``host:port`` for the other daemons.
    failure_domain : str
        Failure domain of its VM.
    power : float
        Processor power of its VM, in cores of usual speed.
    """

    vm: str
    address: str
    failure_domain: str
    power: float = 0.0


_DECODER = Decoder(Peer)


def encode_peer(peer: Peer) -> bytes:
    """Encode an announcement as JSON for the store."""
    return encode(peer)


def decode_peer(data: bytes) -> Result[Peer, str]:
    """Decode an announcement; the error says why it cannot be read."""
    try:
        return Ok(_DECODER.decode(data))
    except DECODE_ERRORS as error:
        return Error(str(error))
