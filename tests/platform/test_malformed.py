"""Malformed input at each boundary of the platform daemon."""

import asyncio
from collections.abc import Callable
from io import BytesIO
from json import dumps
from typing import Any, cast

import pytest
from expression import Result
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.json import encode
from msgspec.msgpack import encode as encode_record
from tornado.httpclient import HTTPRequest, HTTPResponse

from cardamomdyke.jobs.layout import (
    FRAGMENT_MARK,
    FragmentList,
    read_fragment_list,
)
from cardamomdyke.jobs.ledger import ChangeKind, Ledger, apply_record
from cardamomdyke.jobs.records import (
    JOB_PREFIX,
    UNIT_PREFIX,
    decode_job,
    decode_progress,
    decode_unit,
)
from cardamomdyke.membership.peers import decode_peer
from cardamomdyke.platform.records import decode_page
from cardamomdyke.platform.servers import ServerClient, decode_entry
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
    "unit": decode_unit,
    "fragments": lambda data: read_fragment_list(FRAGMENT_MARK + data),
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


@pytest.mark.parametrize("count", [-1, 1, 10**12])
def test_list_of_missing_fragments_leaves_the_unit_as_it_is(count: int) -> None:
    """Guards against a list that replaces a unit, or uses up the memory."""
    ledger = Ledger()
    key = UNIT_PREFIX + "00000000000000a1.0.0.0"
    value = FRAGMENT_MARK + encode_record(FragmentList("1.1", count))
    assert apply_record(ledger, key, value).kind is ChangeKind.MALFORMED
    assert not ledger.parts["00000000000000a1"].units


SETTINGS: dict[str, Any] = {
    "node_name": "vm0",
    "ip_address": "127.0.0.1",
    "zone": "gent",
    "listen_addresses": {"frontend_addr": "a:1", "readiness_addr": "a:2"},
    "internal_port_range": [7000, 7015],
    "bounds": {
        "hold_max_ms": 10_000,
        "stop_grace_ms": 400,
        "gang_wait_ms": 3000,
        "grace_period_s": 6,
        "status_s": 120,
    },
    "platform": {"address": "a:3", "record_bytes": 1024, "request_bytes": 1028},
}


def test_limits_of_the_store_come_from_the_settings() -> None:
    """Guards against limits that are constants of the daemon."""
    limits = decode_settings(encode(SETTINGS)).ok.store.limits
    assert (limits.record_bytes, limits.append_bytes) == (1024, 1028)


@pytest.mark.parametrize(
    ("fields", "named"),
    [
        ({"platform": {**SETTINGS["platform"], "record_bytes": 1023}}, "record_bytes"),
        (
            {"platform": {**SETTINGS["platform"], "request_bytes": 1027}},
            "request_bytes",
        ),
        ({"platform": {"address": "a:3", "request_bytes": 1028}}, "record_bytes"),
        ({"node_name": "v" * 255}, "node_name"),
    ],
)
def test_settings_with_which_nothing_can_be_recorded_are_refused(
    fields: dict[str, Any], named: str
) -> None:
    """Guards against a daemon whose own records the store never takes."""
    result = decode_settings(encode({**SETTINGS, **fields}))
    assert result.is_error()
    assert named in result.error.message


ENTRY: dict[str, Any] = {
    "service": "pool",
    "address": "127.0.0.1:8080",
    "zone": "gent",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu_millicores": 1000, "task_memory_mb": 1024, "accelerators": 1},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "sequence": 4,
}
ODD_ADDRESSES = [
    "",
    "127.0.0.1",
    ":80",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:99999",
    "127.0.0.1:80/x",
    "127.0.0.1:80\0",
    "127.0.0.1:\u0663",
    "\u0661.example:80",
    "host.example:80",
    "a@127.0.0.1:80",
]
ODD_FIELDS: list[dict[str, Any]] = [
    *({"address": address} for address in ODD_ADDRESSES),
    *({"born": value} for value in (-1, 2**64, 1.5, "1")),
    *({"cold_remaining_ms": value} for value in (-1, 1e300, None)),
    *({"remaining_ms": value} for value in (-1, 1e300, [])),
    *({"capacity": {**ENTRY["capacity"], "accelerators": n}} for n in (-1, 2**64)),
    *({"sequence": value} for value in ("4", None, 2**64)),
    *({"slots": value} for value in ("8", -1)),
    {"version": 1},
    {"state": "odd"},
    {"labels": [1]},
]


def dump(value: object) -> bytes:
    """Encode as JSON, also numbers that the project's encoder refuses."""
    return dumps(value).encode()


@pytest.mark.parametrize("fields", ODD_FIELDS, ids=repr)
def test_entry_with_an_odd_value_names_no_server(fields: dict[str, Any]) -> None:
    """Guards against an entry of another writer that reaches an address or a record."""
    assert decode_entry("s", dump({**ENTRY, **fields})).is_error()


@pytest.mark.parametrize("name", ["", "a\nb", "a\0", " a", "a\t", "\x7f"])
def test_entry_whose_id_no_header_can_carry_names_no_server(name: str) -> None:
    """Guards against an id that no call of the server could name."""
    assert decode_entry(name, dump(ENTRY)).is_error()


@pytest.mark.parametrize("name", ["s", "i-7f3a91c2", "a b", "\u0645\u0643-1"])
@pytest.mark.parametrize(
    "fields",
    [{}, {"born": 1_796_439_878_426}, {"remaining_ms": 0.5}, {"other": [[[]]]}],
    ids=repr,
)
def test_sound_entry_is_used(name: str, fields: dict[str, Any]) -> None:
    """Guards against a server that gets no work since its entry is refused."""
    entry = decode_entry(name, dump({**ENTRY, **fields})).ok
    assert (entry.name, entry.pool, entry.capacity.accelerators) == (name, "pool", 1)


class AnsweringClient:
    """HTTP client that keeps each request and gives one answer."""

    def __init__(self, body: bytes = b"{}") -> None:
        self.body = body
        self.requests: list[HTTPRequest] = []

    async def fetch(self, request: HTTPRequest, raise_error: bool) -> HTTPResponse:
        self.requests.append(request)
        return HTTPResponse(request, 200, buffer=BytesIO(self.body))


def poll(client: AnsweringClient, name: str = "s") -> Result:
    entry = decode_entry(name, dump(ENTRY)).ok
    server_client = ServerClient(cast(Any, client))
    return asyncio.run(server_client.poll(entry, 1, 0, None, 0.0))


def test_id_beyond_ascii_is_sent_in_utf_8() -> None:
    """Guards against calls that a server takes for those of another instance."""
    client = AnsweringClient()
    poll(client, "\u0645\u0643-1")
    sent = client.requests[0].headers["Expected-Instance"].encode("latin-1")
    assert sent == "\u0645\u0643-1".encode()


@pytest.mark.parametrize(
    "fields",
    [
        {"clock_ms": 1e300},
        {"clock_ms": -1},
        {"born": 2**64},
        {"running": [["00000000000000a1.0.0.0", 2**64, "", 0]]},
        {"running": [["00000000000000a1.0.0." + "9" * 5000, 1, "", 0]]},
        {"finished": [[2**64, "00000000000000a1.0.0.0", 1, "done", ""]]},
        {"finished": [[1, "00000000000000a1.0.0.0", 1, "odd", ""]]},
    ],
    ids=lambda fields: repr(fields)[:40],
)
def test_answer_with_an_odd_value_is_a_fault(fields: dict[str, Any]) -> None:
    """Guards against a number of one server that no later request can carry."""
    body = dump({"clock_ms": 1, "running": [], "finished": [], **fields})
    assert poll(AnsweringClient(body)).is_error()


@pytest.mark.parametrize("name", ["count", "cpu_millicores", "may_miss"])
def test_number_that_no_record_can_hold_is_refused(name: str) -> None:
    """Guards against a job that is answered 500 since it cannot be stored."""
    step = {"count": 1, "cpu_millicores": 1000, name: 2**64}
    data = dump({"specification": "x", "steps": [step]})
    assert decode_submission(data).is_error()
