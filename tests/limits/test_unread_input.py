"""Bytes that daemons have received and not read stay within the memory of the VM.

The kernel keeps them while a request is served, an answer is blocked, the process is
suspended, or a connection waits to be accepted.
"""

import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from cardamomdyke_standins.deployment import Deployment, send_http
from cardamomdyke_standins.nodes import Nodes, run_nodes
from tests.limits.crowd import (
    Press,
    press,
    send_forever,
    shrink_receive_buffer,
    start_together,
)
from tests.limits.test_crowds import (
    GET,
    LIMITS,
    REQUEST_LIMITS,
    check,
    find_peer_address,
    make_head,
    make_request,
)
from tests.limits.test_daemon_crowds import MEGABYTE, MEMORY_MB
from tests.processes.test_node import make_body

pytestmark = pytest.mark.processes
PIECE = b"x" * 65_536
ENDLESS_BODY = send_forever(make_head(1_000_000_000), PIECE)
BYTES_AFTER_A_REQUEST = send_forever(make_request(make_body()), PIECE)
BLOCKED_ANSWERS = shrink_receive_buffer(send_forever(GET * 1000, PIECE))
# Descriptors of the smallest VM of the users, which admit the whole crowd.
DESCRIPTORS = 4100
VM_LIMITS = {**LIMITS, "file_descriptors": DESCRIPTORS}
PAUSED_CONNECTIONS = 600
# Suspended before the clients connect, and once they are connected.
PAUSES = {"accept_queue": (0.0, 5.5), "connected": (3.0, 5.9)}
REPEATED_PAUSES = (0.2, 1.2, 1.6, 2.6, 3.0, 4.5, 4.6, 5.5)
CROWDS = {
    "endless_body": ENDLESS_BODY,
    "bytes_after_a_request": BYTES_AFTER_A_REQUEST,
    "blocked_answers": BLOCKED_ANSWERS,
}


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Nodes]:
    with run_nodes(
        tmp_path, 1, 1, vm_limits=VM_LIMITS, request_limits=REQUEST_LIMITS
    ) as nodes:
        yield nodes


def press_paused(
    nodes: Nodes,
    address: str,
    act: Press,
    pauses: tuple[float, ...] = PAUSES["connected"],
) -> None:
    """Press a port of a daemon that is suspended meanwhile, and check it."""
    together = start_together(act, PAUSED_CONNECTIONS)
    check(nodes, address, together, PAUSED_CONNECTIONS, DESCRIPTORS, pauses)


@pytest.mark.parametrize("crowd", CROWDS)
def test_unread_bytes_of_callers(node: Nodes, crowd: str) -> None:
    """Guards against bytes that no read of the daemon bounds."""
    check(node, node.callers["vm0"], CROWDS[crowd], descriptors=DESCRIPTORS)


@pytest.mark.parametrize("pause", PAUSES)
@pytest.mark.parametrize("crowd", CROWDS)
def test_unread_bytes_of_a_suspended_daemon(
    node: Nodes, crowd: str, pause: str
) -> None:
    """Guards against bytes that arrive while the process does not run."""
    press_paused(node, node.callers["vm0"], CROWDS[crowd], PAUSES[pause])


@pytest.mark.parametrize("port", ["peers", "readiness", "metrics"])
def test_unread_bytes_of_other_ports(node: Nodes, port: str) -> None:
    """Guards against another port whose connections hold bytes without bound."""
    addresses = {
        "peers": find_peer_address(node),
        "readiness": node.readiness["vm0"],
        "metrics": node.metrics["vm0"],
    }
    press_paused(node, addresses[port], ENDLESS_BODY)


def test_unread_bytes_under_repeated_pauses(node: Nodes) -> None:
    """Guards against bytes that add up from one pause to the next."""
    press_paused(node, node.callers["vm0"], BYTES_AFTER_A_REQUEST, REPEATED_PAUSES)


def test_unread_bytes_on_all_ports_at_once(node: Nodes) -> None:
    """Guards against bounds of single ports that exceed the memory together."""
    process = node.deployment.processes["vm0"]
    others = [
        threading.Thread(target=press, args=(address, ENDLESS_BODY, process.pid))
        for address in (
            find_peer_address(node),
            node.readiness["vm0"],
            node.metrics["vm0"],
        )
    ]
    for thread in others:
        thread.start()
    press_paused(node, node.callers["vm0"], ENDLESS_BODY)
    for thread in others:
        thread.join()


@pytest.mark.parametrize("port", ["caller_address", "peer_address"])
def test_unread_bytes_of_a_suspended_product_daemon(
    daemon: Deployment, port: str
) -> None:
    """Guards against the same in the product's own daemon."""
    (vm,) = daemon.example["vms"]
    process = daemon.processes[vm["vm"]]
    path = "/v1/jobs" if port == "caller_address" else "/peer/handle_job"
    act = send_forever(make_head(1_000_000_000, path), PIECE)
    footprint = press(vm[port], act, process.pid, pauses=PAUSES["connected"])
    url = f"http://{vm['caller_address']}/v1/services/order-desk/requests"
    assert send_http("POST", url, b"x", {"Client-Account": "koffie-invoer"})
    footprint.read()
    assert process.poll() is None
    assert footprint.peak_bytes <= MEMORY_MB * MEGABYTE, footprint
