"""Platform daemons stay within their memory under crowds without limits.

The bounds are the memory and the descriptors in the settings file of each test.
"""

from collections.abc import Iterable
from pathlib import Path

import pytest

from cardamomdyke_standins.deployment import wait_until
from cardamomdyke_standins.nodes import (
    API_KEY,
    OTHER_KEY,
    PATH_PREFIX,
    RESERVED_PORTS,
    ROUTE_HOST,
    Nodes,
    run_nodes,
)
from tests.limits.crowd import (
    CONNECTIONS,
    PRESS_SECONDS,
    Press,
    press,
    send,
    send_and_read,
    send_forever,
    shrink_receive_buffer,
)
from tests.processes.test_node import make_body

pytestmark = pytest.mark.processes
MEMORY_MB = 110
DESCRIPTORS = 400
MEGABYTE = 1_000_000
LIMITS = {"memory_mb": MEMORY_MB, "file_descriptors": DESCRIPTORS}
REQUEST_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 262_144,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 5_000,
}
JOB_PATH = PATH_PREFIX + "00000000000000a1"
HEAD = f"Host: {ROUTE_HOST}\r\nApi-Key: {API_KEY}\r\n"
SILENT_CONNECTIONS = 600


def make_head(length: int, path: str = JOB_PATH, extra: str = "") -> bytes:
    fields = f"{HEAD}{extra}Content-Length: {length}\r\n\r\n"
    return f"POST {path} HTTP/1.1\r\n{fields}".encode()


def make_chunked_head(path: str = JOB_PATH) -> bytes:
    fields = f"{HEAD}Transfer-Encoding: chunked\r\n\r\n"
    return f"POST {path} HTTP/1.1\r\n{fields}".encode()


def make_request(body: bytes, path: str = JOB_PATH) -> bytes:
    return make_head(len(body), path) + body


GET = f"GET {PATH_PREFIX} HTTP/1.1\r\n{HEAD}\r\n".encode()
MANY_FIELDS = "".join(f"a{number:x}:\r\n" for number in range(2200))
MANY_ARGUMENTS = "?" + "&".join(f"{number:x}" for number in range(3000))
FORM = "Content-Type: application/x-www-form-urlencoded\r\n"
STEPS = b'{"specification":"x","steps":[' + b"{}," * 87_000 + b"{}]}"
DEEP = b'{"specification":"x","steps":[{"after":' + b"[" * 250_000
NUMBERS = b'{"specification":"x","steps":[{"count":' + b"9" * 262_000 + b"}]}"
INDICES = b'{"specification":"x","steps":[{"after":[' + b"0," * 130_000 + b"0]}]}"
ESCAPES = b'{"specification":"' + b"\\ud83d\\ude00" * 21_800 + b'","steps":[]}'
UNKNOWN = b'{"specification":"x","steps":[],"x":[' + b'{"a":[]},' * 29_000 + b"0]}"
# A list field of 2**31 - 1 elements, and a field of nested empty lists.
PEER_LISTS = b"\x19\xfc\xff\xff\xff\xff\x07" + b"\x19" * 250_000


def find_peer_address(nodes: Nodes) -> str:
    host = nodes.callers["vm0"].rpartition(":")[0]
    first = int(nodes.store.rpartition(":")[2]) + RESERVED_PORTS // 2
    return f"{host}:{first}"


def check(
    nodes: Nodes,
    address: str,
    act: Press,
    connections: int = CONNECTIONS,
    descriptors: int = DESCRIPTORS,
    pauses: Iterable[float] = (),
    sources: int = 1,
    vm: str = "vm0",
    seconds: float = PRESS_SECONDS,
) -> None:
    """Press a port, and check the process, its footprint and one request.

    The request is one of a client account that takes no part in the crowd.
    """
    process = nodes.deployment.processes[vm]
    footprint = press(address, act, process.pid, connections, pauses, sources, seconds)
    assert process.poll() is None
    path = PATH_PREFIX + "00000000000000b2"
    status, _ = nodes.call(vm, "POST", path, make_body(), OTHER_KEY)
    assert status == 200
    wait_until(lambda: nodes.check_ready(vm))
    footprint.read()
    assert process.poll() is None
    assert footprint.peak_bytes <= MEMORY_MB * MEGABYTE, footprint
    assert footprint.descriptors <= descriptors, footprint


CALLER_CROWDS = {
    "announced_over_the_limit_and_not_sent": send(make_head(1_000_000_000)),
    "announced_over_the_limit_and_stalled": send(make_head(1_000_000), b"x" * 990_000),
    "sent_over_the_limit": send(make_request(b"x" * 1_000_000)),
    "held_under_the_limit": send(make_head(262_000), b"x" * 261_000),
    "trickled": send_forever(make_head(262_000) + b"x" * 261_000, b"x", 0.2),
    "trickled_in_small_pieces": send_forever(
        make_head(262_000), b"x" * 7, pause_seconds=0.0005
    ),
    "endless_chunks": send_forever(
        make_chunked_head(), b"4000\r\n" + b"x" * 16_384 + b"\r\n"
    ),
    "small_chunks": send_forever(make_chunked_head(), b"1\r\nx\r\n" * 1000),
    "endless_chunk_headers": send_forever(make_chunked_head(), b"0" * 10_000),
    "held_chunks": send(make_chunked_head(), (b"ff\r\n" + b"x" * 255 + b"\r\n") * 1000),
    "endless_headers": send_forever(b"GET / HTTP/1.1\r\n", b"a: b\r\n" * 500),
    "headers_not_ended": send(b"GET / HTTP/1.1\r\nX: " + b"x" * 60_000),
    "many_fields_and_no_body": send(make_head(1000, extra=MANY_FIELDS)),
    "many_arguments_and_no_body": send(make_head(1000, JOB_PATH + MANY_ARGUMENTS)),
    "answers_never_read": shrink_receive_buffer(send_forever(b"", GET * 100)),
    "many_steps": send_and_read(make_request(STEPS)),
    "deep": send_and_read(make_request(DEEP)),
    "huge_numbers": send_and_read(make_request(NUMBERS)),
    "many_indices": send_and_read(make_request(INDICES)),
    "long_escapes": send_and_read(make_request(ESCAPES)),
    "unknown_values": send_and_read(make_request(UNKNOWN)),
}
PEER_PATH = "/peer/relay_request"
PEER_CROWDS = {
    "stalled": send(make_head(1_000_000, PEER_PATH), b"x" * 990_000),
    "over": send(make_request(b"x" * 1_040_000, PEER_PATH)),
    "form": send_and_read(make_head(1_000_000, PEER_PATH, FORM) + b"a=1&" * 250_000),
    "chunks": send_forever(
        make_chunked_head(PEER_PATH), b"4000\r\n" + b"x" * 16_384 + b"\r\n"
    ),
    "headers_not_ended": send(b"GET / HTTP/1.1\r\nX: " + b"x" * 60_000),
    "lists": send_and_read(make_request(PEER_LISTS, PEER_PATH)),
}


@pytest.mark.parametrize("crowd", CALLER_CROWDS)
def test_callers_port_withstands(node: Nodes, crowd: str) -> None:
    """Guards against a daemon that runs out of memory under callers."""
    check(node, node.callers["vm0"], CALLER_CROWDS[crowd])


@pytest.mark.parametrize("crowd", PEER_CROWDS)
def test_peer_port_withstands(node: Nodes, crowd: str) -> None:
    """Guards against a daemon that runs out of memory through its peer port."""
    check(node, find_peer_address(node), PEER_CROWDS[crowd])


@pytest.mark.parametrize("port", ["callers", "peers", "readiness"])
def test_silent_connections_leave_descriptors(node: Nodes, port: str) -> None:
    """Guards against silent connections that take all descriptors."""
    addresses = {
        "callers": node.callers["vm0"],
        "peers": find_peer_address(node),
        "readiness": node.readiness["vm0"],
    }
    check(node, addresses[port], send(), SILENT_CONNECTIONS)


def test_readiness_port_withstands_stalled_bodies(node: Nodes) -> None:
    """Guards against a port without bodies that collects them."""
    head = make_head(1_000_000, "/readiness")
    check(node, node.readiness["vm0"], send(head, b"x" * 990_000))


def test_many_bodies_at_once(tmp_path: Path) -> None:
    """Guards against a crowd that is far larger than the budget.

    The descriptors of the smallest VM let 2,000 clients in.
    """
    limits = {**LIMITS, "file_descriptors": 4100}
    act = send(make_head(262_000), b"x" * 261_000)
    with run_nodes(
        tmp_path, 1, 1, vm_limits=limits, request_limits=REQUEST_LIMITS
    ) as nodes:
        check(nodes, nodes.callers["vm0"], act, 2000, limits["file_descriptors"])


def test_pipelined_requests_on_one_connection(node: Nodes) -> None:
    """Guards against one connection that fills a daemon with requests."""
    check(node, node.callers["vm0"], send_forever(b"", GET * 1000), 1)
