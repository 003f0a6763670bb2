"""The product's own daemon stays within its memory under crowds without limits."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from cardamomdyke_standins.deployment import (
    Deployment,
    keep_failure_domain,
    move_to_free_ports,
    read_example,
    run_deployment,
    send_http,
    shrink_example,
)
from tests.limits.crowd import Press, press, send

pytestmark = pytest.mark.processes
ROOT = Path(__file__).parents[2]
# Defaults of the daemon's settings.
MEMORY_MB = 200
DESCRIPTORS = 4100
MEGABYTE = 1_000_000
BODY = b"Content-Length: 1000000\r\n\r\n" + b"x" * 990_000
CROWDS: dict[str, tuple[str, Press]] = {
    "stalled_callers": (
        "caller_address",
        send(b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" + BODY),
    ),
    "headers_of_callers": (
        "caller_address",
        send(b"GET /v1/status HTTP/1.1\r\n" + b"a: b\r\n" * 10_000),
    ),
    "stalled_peers": (
        "peer_address",
        send(b"POST /peer/handle_job HTTP/1.1\r\nHost: x\r\n" + BODY),
    ),
}


@contextmanager
def run_small_example(directory: Path) -> Iterator[Deployment]:
    """Run one daemon of the product with two backend servers."""
    example = read_example(ROOT / "examples" / "federation.json")
    example = keep_failure_domain(shrink_example(example, 2, 1), "gent")
    with run_deployment(move_to_free_ports(example), directory) as deployment:
        yield deployment


@pytest.mark.parametrize("crowd", CROWDS)
def test_daemon_withstands(daemon: Deployment, crowd: str) -> None:
    """Guards against a daemon that runs out of memory."""
    (vm,) = daemon.example["vms"]
    process = daemon.processes[vm["vm"]]
    port, act = CROWDS[crowd]
    footprint = press(vm[port], act, process.pid)
    assert process.poll() is None
    url = f"http://{vm['caller_address']}/v1/services/order-desk/requests"
    assert send_http("POST", url, b"x", {"Client-Account": "koffie-invoer"})
    footprint.read()
    seen = f"{footprint.peak_bytes} bytes, {footprint.descriptors} descriptors"
    assert process.poll() is None
    assert footprint.peak_bytes <= MEMORY_MB * MEGABYTE, seen
    assert footprint.descriptors <= DESCRIPTORS, seen
