"""Platform daemons under a crowd while the store is down, and while they shut down."""

import signal
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from cardamomdyke_standins.deployment import set_faults
from cardamomdyke_standins.nodes import Nodes, run_nodes
from tests.limits.crowd import press, send, send_and_read
from tests.limits.test_crowds import (
    LIMITS,
    MEGABYTE,
    MEMORY_MB,
    REQUEST_LIMITS,
    check,
    make_head,
    make_request,
)
from tests.processes.test_node import make_body

pytestmark = pytest.mark.processes
VALID = make_body() + b" " * 250_000
STALLED = send(make_head(262_000), b"x" * 261_000)


@pytest.fixture
def nodes(tmp_path: Path) -> Iterator[Nodes]:
    with run_nodes(
        tmp_path, 2, 1, vm_limits=LIMITS, request_limits=REQUEST_LIMITS
    ) as running:
        yield running


def test_requests_that_wait_for_the_store_stay_small(nodes: Nodes) -> None:
    """Guards against bodies without bound that wait for the store or are relayed."""
    process = nodes.deployment.processes["vm0"]
    for cut in (True, False):
        if cut:
            nodes.cut_store("vm0")
        else:
            nodes.cut_store()
            set_faults(nodes.store, down=True)
        address = nodes.callers["vm0"]
        footprint = press(address, send_and_read(make_request(VALID)), process.pid)
        assert process.poll() is None
        assert footprint.peak_bytes <= MEMORY_MB * MEGABYTE, footprint
    set_faults(nodes.store)
    nodes.cut_store()
    check(nodes, nodes.callers["vm0"], STALLED)


def test_crowd_does_not_delay_a_shutdown(nodes: Nodes) -> None:
    """Guards against a daemon that waits for bodies which never arrive."""
    process = nodes.deployment.processes["vm0"]
    address = nodes.callers["vm0"]
    crowd = threading.Thread(target=press, args=(address, STALLED, process.pid))
    crowd.start()
    timer = threading.Timer(1.5, process.send_signal, [signal.SIGTERM])
    timer.start()
    assert process.wait(30) == 0
    kinds = [line["message_type"] for line in nodes.read_log("vm0")]
    assert kinds[-1] == "daemon.stopped"
    crowd.join()
