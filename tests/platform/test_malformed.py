"""Malformed input at each boundary of the platform daemon."""

from collections.abc import Callable

import pytest
from expression import Result
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.json import encode

from cardamomdyke.jobs.ledger import ChangeKind, Ledger, apply_record
from cardamomdyke.jobs.records import JOB_PREFIX, decode_job, decode_progress
from cardamomdyke.membership.peers import decode_peer
from cardamomdyke.platform.records import decode_page
from cardamomdyke.platform.servers import decode_entry
from cardamomdyke.platform.settings import decode_settings
from cardamomdyke.platform.submissions import decode_submission
from cardamomdyke.platform.tables import decode_tables

DECODERS: dict[str, Callable[[bytes], Result]] = {
    "settings": decode_settings,
    "configuration": decode_tables,
    "server": lambda data: decode_entry("s", data),
    "submission": decode_submission,
    "job": decode_job,
    "progress": decode_progress,
    "peer": decode_peer,
    "page": lambda data: decode_page(data, 0),
}
# Field names of the inputs above, so that values of a wrong type are reached.
NAMES = st.sampled_from(
    ["service", "address", "state", "capacity", "version", "routes", "steps", "count"]
)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(NAMES, inner, max_size=4)
    ),
    max_leaves=12,
)
DEPTH = 100_000
DEEP = b'{"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}"


@pytest.mark.parametrize("name", DECODERS)
@settings(max_examples=60, deadline=None)
@given(data=st.binary(max_size=200) | VALUES.map(encode))
def test_any_input_is_decoded_or_refused(name: str, data: bytes) -> None:
    """Guards against input that ends the task which reads it."""
    assert isinstance(DECODERS[name](data), Result)


@pytest.mark.parametrize("name", [name for name in DECODERS if name != "page"])
def test_deeply_nested_input_is_refused(name: str) -> None:
    """Guards against a nested value in an ignored field that ends the reading task.

    One such entry among the backend servers stopped the planner's list of servers.
    """
    assert DECODERS[name](DEEP).is_error()


def test_malformed_record_leaves_the_ledger_as_it_is() -> None:
    """Guards against a malformed record that removes or replaces a job."""
    ledger = Ledger()
    change = apply_record(ledger, JOB_PREFIX + "00000000000000a1", DEEP)
    assert change.kind is ChangeKind.MALFORMED
    assert ledger == Ledger()
