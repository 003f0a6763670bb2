"""Transfer of the folded state between VMs."""

from dataclasses import replace

from expression import Error, Ok, Result
from msgspec.json import Decoder, encode

from cardamomdyke.configuration.fold import FoldState
from cardamomdyke.configuration.records import DECODE_ERRORS
from cardamomdyke.configuration.validation import find_table_faults

_STATE_DECODER = Decoder(FoldState)


def choose_state_to_send(state: FoldState, known_version: int) -> FoldState | None:
    """Return the state to send to another VM, or None if it would not help.

    Parameters
    ----------
    state : FoldState
        State of this VM.
    known_version : int
        The other VM needs a higher version.

    Returns
    -------
    FoldState or None
        None without a higher version, or while this VM is behind.
    """
    if state.behind or state.configuration is None:
        return None
    return state if state.version > known_version else None


def adopt_state(state: FoldState, received: FoldState) -> FoldState:
    """Return a received state if it helps, else the own one.

    The offset is adopted too: the received state includes the records before it, and
    folding them again could decide on them differently.

    Parameters
    ----------
    state : FoldState
        State of this VM.
    received : FoldState
        State of another VM.

    Returns
    -------
    FoldState
        The received state if it has folded more records or fills this VM's gap.
    """
    if received.behind or received.version < max(state.version, 1):
        return state
    if received.next_offset < state.gap_end:
        return state
    if not state.behind and received.next_offset <= state.next_offset:
        return state
    return replace(
        received, carried_at=max(received.carried_at, find_carried_at(state, received))
    )


def find_carried_at(state: FoldState, received: FoldState) -> float:
    """Return the state's ``carried_at`` if both versions are equal, else 0."""
    return state.carried_at if state.version == received.version else 0.0


def encode_state(state: FoldState) -> bytes:
    """Encode a state as JSON for another VM."""
    return encode(state)


def decode_state(data: bytes) -> Result[FoldState, str]:
    """Decode a state from another VM; the error says why it is invalid."""
    try:
        state = _STATE_DECODER.decode(data)
    except DECODE_ERRORS as error:
        return Error(str(error))
    if state.configuration is None or state.version > state.next_offset:
        return Error(
            "the state has no configuration or its version is above its offset"
        )
    faults = find_table_faults(state.configuration.tables)
    return Error("; ".join(faults)) if faults else Ok(state)
