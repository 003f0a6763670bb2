"""Crowds at the metrics, readiness and peer ports of both daemons."""

import pytest

from cardamomdyke_standins.deployment import Deployment, send_http
from cardamomdyke_standins.nodes import Nodes
from tests.limits.crowd import Press, exchange, press, send, send_forever
from tests.limits.test_crowds import (
    CALLER_CROWDS,
    MANY_FIELDS,
    PEER_LISTS,
    SILENT_CONNECTIONS,
    check,
    find_peer_address,
    make_chunked_head,
    make_head,
    make_request,
)
from tests.limits.test_daemon_crowds import DESCRIPTORS, MEGABYTE, MEMORY_MB

pytestmark = pytest.mark.processes
PRESS_SECONDS = 3.0
METRICS = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
READINESS = METRICS.replace(b"metrics", b"readiness")
CHUNK = b"4000\r\n" + b"x" * 16_384 + b"\r\n"


def make_port_crowds(path: str, get: bytes) -> dict[str, Press]:
    return {
        "stalled_bodies": send(make_head(1_000_000, path), b"x" * 990_000),
        "endless_chunks": send_forever(make_chunked_head(path), CHUNK),
        "endless_headers": send_forever(get[:-2], b"a: b\r\n" * 500),
        "headers_not_ended": send(get[:-2] + b"X: " + b"x" * 60_000),
        "many_fields": send(make_head(1000, path, MANY_FIELDS)),
        "answers_never_read": send_forever(b"", get * 100),
        "pipelined": send_forever(b"", get * 1000),
        "valid_requests": exchange(lambda _: get),
    }


METRICS_CROWDS = make_port_crowds("/metrics", METRICS)
READINESS_CROWDS = make_port_crowds("/readiness", READINESS)


@pytest.mark.parametrize("crowd", METRICS_CROWDS)
def test_metrics_port_withstands(node: Nodes, crowd: str) -> None:
    """Guards against a daemon that runs out of memory through its metrics port."""
    check(node, node.metrics["vm0"], METRICS_CROWDS[crowd], seconds=PRESS_SECONDS)


def test_metrics_port_withstands_silent_connections(node: Nodes) -> None:
    """Guards against silent connections that take all descriptors."""
    check(node, node.metrics["vm0"], send(), SILENT_CONNECTIONS)


@pytest.mark.parametrize("crowd", ["endless_chunks", "answers_never_read"])
def test_readiness_port_withstands(node: Nodes, crowd: str) -> None:
    """Guards against a daemon that runs out of memory through its readiness port."""
    check(node, node.readiness["vm0"], READINESS_CROWDS[crowd], seconds=PRESS_SECONDS)


@pytest.mark.parametrize("crowd", ["trickled", "held_chunks"])
def test_peer_port_withstands_crowds_of_callers(node: Nodes, crowd: str) -> None:
    """Guards against callers that reach the peer port by mistake."""
    check(node, find_peer_address(node), CALLER_CROWDS[crowd], seconds=PRESS_SECONDS)


PEER_PATH = "/peer/exchange_gossip"
GET_STATUS = b"GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n"
CALLER_PATH = "/v1/jobs"
DAEMON_CROWDS: dict[str, dict[str, Press]] = {
    "caller_address": {
        "endless_chunks": send_forever(make_chunked_head(CALLER_PATH), CHUNK),
        "answers_never_read": send_forever(b"", GET_STATUS * 100),
        "bodies": send(make_request(b"x" * 1_000_000, CALLER_PATH)),
        "silent": send(),
    },
    "peer_address": {
        "endless_chunks": send_forever(make_chunked_head(PEER_PATH), CHUNK),
        "headers_not_ended": send(GET_STATUS[:-2] + b"X: " + b"x" * 60_000),
        "lists": send(make_request(PEER_LISTS, PEER_PATH)),
        "silent": send(),
    },
}


@pytest.mark.parametrize(
    ("port", "crowd"),
    [(port, crowd) for port, crowds in DAEMON_CROWDS.items() for crowd in crowds],
)
def test_product_daemon_withstands(daemon: Deployment, port: str, crowd: str) -> None:
    """Guards against the product's own daemon running out of memory."""
    (vm,) = daemon.example["vms"]
    process = daemon.processes[vm["vm"]]
    footprint = press(
        vm[port], DAEMON_CROWDS[port][crowd], process.pid, seconds=PRESS_SECONDS
    )
    assert process.poll() is None
    url = f"http://{vm['caller_address']}/v1/services/order-desk/requests"
    assert send_http("POST", url, b"x", {"Client-Account": "koffie-invoer"})
    footprint.read()
    assert process.poll() is None
    assert footprint.peak_bytes <= MEMORY_MB * MEGABYTE, footprint
    assert footprint.descriptors <= DESCRIPTORS, footprint
