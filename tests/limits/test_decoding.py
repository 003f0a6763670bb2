"""Input within the limit of a body stays small when it is decoded."""

import tracemalloc
from collections.abc import Callable

import pytest

from cardamomdyke.platform.submissions import decode_submission
from cardamomdyke.protocol.codec import MalformedMessageError, decode_message
from cardamomdyke.protocol.gen.ttypes import Gossip, RelayCall

MOST_BYTES = 16_000_000
HEAD = b'{"specification":"x","steps":['
STEP = b'{"count":1,"accelerators":1},'


def measure_peak(run: Callable[[], object]) -> int:
    tracemalloc.start()
    try:
        run()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize(
    "steps",
    [
        b"{}," * 87_000,
        b'{"after":[' + b"1000," * 52_000 + b"0]},",
        b'{"x":' + b'{"a":[]},' * 29_000 + b'"y":0},',
        b"[" * 250_000,
    ],
)
def test_small_values_do_not_grow(steps: bytes) -> None:
    """Guards against a body whose decoded form takes the memory of the VM."""
    body = HEAD + steps + b"{}]}"
    assert measure_peak(lambda: decode_submission(body)) <= MOST_BYTES


def test_most_steps_are_still_decoded() -> None:
    """Guards against a limit that refuses a job within the limits."""
    order = decode_submission(HEAD + STEP * 2999 + STEP[:-1] + b"]}")
    assert len(order.ok.steps) == 3000
    padded = HEAD + STEP + b" " * 200_000 + STEP[:-1] + b"]}"
    assert len(decode_submission(padded).ok.steps) == 2


@pytest.mark.parametrize("kind", [RelayCall, Gossip])
@pytest.mark.parametrize("field", range(1, 16))
def test_lists_of_a_message_do_not_grow(kind: type, field: int) -> None:
    """Guards against a list of empty structs, of one byte each in a message."""
    # Field header, list header for structs, 1,000,000 elements.
    data = bytes([field << 4 | 9, 0xFC, 0xC0, 0x84, 0x3D]) + b"\0" * 1_000_000

    def decode() -> None:
        with pytest.raises(MalformedMessageError):
            decode_message(data, kind)

    assert measure_peak(decode) <= MOST_BYTES
