"""Daemons on the platform, as they announce themselves in the store."""

from dataclasses import dataclass

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder, encode

PEER_PREFIX = "d"
# Key by which the daemon that plans shows that it does.
HEARTBEAT_KEY = "t"


@dataclass(frozen=True, slots=True)
class Peer:
    """One daemon.

    Attributes
    ----------
    vm : str
        Name of its VM.
    address : str
        ``host:port`` for the other daemons.
    failure_domain : str
        Failure domain that it is in.
    power : float
        Processor of its VM, in cores of usual speed.
    """

    vm: str
    address: str
    failure_domain: str
    power: float = 0.0


_DECODER = Decoder(Peer)


def encode_peer(peer: Peer) -> bytes:
    """Encode what a daemon announces."""
    return encode(peer)


def decode_peer(data: bytes) -> Result[Peer, str]:
    """Decode what a daemon announces; the error says why it cannot be read."""
    try:
        return Ok(_DECODER.decode(data))
    except (DecodeError, ValidationError) as error:
        return Error(str(error))
