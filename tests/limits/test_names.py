"""Names that clients choose and that occur once leave nothing behind in a daemon."""

from collections.abc import Callable
from pathlib import Path
from urllib.request import urlopen

import pytest

from cardamomdyke_standins.deployment import Deployment, send_http
from cardamomdyke_standins.nodes import API_KEY, PATH_PREFIX, ROUTE_HOST, Nodes
from tests.limits.crowd import exchange, press
from tests.limits.test_crowds import check
from tests.limits.test_daemon_crowds import MEGABYTE, MEMORY_MB

pytestmark = pytest.mark.processes
PRESS_SECONDS = 3.0
CLIENTS = 40
NAME = "n" * 2000
# Kinds of events and refusals that the crowd meets for the first time.
MOST_NEW_SERIES = 40
MOST_LOG_BYTES = 5 * MEGABYTE


def make_get(host: str, path: str, key: str, extra: str = "") -> bytes:
    fields = f"Host: {host}\r\nApi-Key: {key}\r\n{extra}"
    return f"GET {path} HTTP/1.1\r\n{fields}\r\n".encode()


NAMES: dict[str, Callable[[int], bytes]] = {
    "keys": lambda n: make_get(ROUTE_HOST, PATH_PREFIX, f"{NAME}{n}"),
    "hosts": lambda n: make_get(f"h{n}.example", PATH_PREFIX, API_KEY),
    "paths": lambda n: make_get(ROUTE_HOST, f"/{NAME}/{n}", API_KEY),
    "ids": lambda n: make_get(ROUTE_HOST, f"{PATH_PREFIX}{NAME}{n}", API_KEY),
    "methods": lambda n: f"M{n} {PATH_PREFIX} HTTP/1.1\r\nHost: x\r\n\r\n".encode(),
    "fields": lambda n: make_get(ROUTE_HOST, PATH_PREFIX, API_KEY, f"X-{n}: {n}\r\n"),
}


def read_series(nodes: Nodes) -> set[str]:
    """Return the names and labels of all series, without those of buckets."""
    with urlopen(f"http://{nodes.metrics['vm0']}/metrics") as answer:
        lines = answer.read().decode().splitlines()
    series = {line.rpartition(" ")[0] for line in lines if not line.startswith("#")}
    return {name for name in series if "_bucket{" not in name}


@pytest.mark.parametrize("kind", NAMES)
def test_names_that_occur_once(node: Nodes, kind: str) -> None:
    """Guards against tables, series or log lines that grow with names of clients."""
    before = read_series(node)
    check(
        node, node.callers["vm0"], exchange(NAMES[kind]), CLIENTS, seconds=PRESS_SECONDS
    )
    assert len(read_series(node) - before) <= MOST_NEW_SERIES
    log = node.directory / "vm0.log"
    assert log.stat().st_size <= MOST_LOG_BYTES


def make_post(path: str, account: str, extra: str = "") -> bytes:
    fields = f"Host: x\r\nClient-Account: {account}\r\nContent-Length: 1\r\n{extra}"
    return f"POST {path} HTTP/1.1\r\n{fields}\r\nx".encode()


ORDER_DESK = "/v1/services/order-desk/requests"
DAEMON_NAMES: dict[str, Callable[[int], bytes]] = {
    "accounts": lambda n: make_post(ORDER_DESK, f"{NAME}{n}"),
    "services": lambda n: make_post(f"/v1/services/{NAME}{n}/requests", "x"),
    "jobs": lambda n: make_get("x", f"/v1/jobs/{NAME}{n}", ""),
    "request_keys": lambda n: make_post(
        ORDER_DESK, "koffie-invoer", f"Idempotency-Key: {NAME[:100]}{n}\r\n"
    ),
}


@pytest.mark.parametrize("kind", DAEMON_NAMES)
def test_names_of_the_product_daemon(
    daemon: Deployment, kind: str, tmp_path: Path
) -> None:
    """Guards against the same in the product's own daemon."""
    (vm,) = daemon.example["vms"]
    process = daemon.processes[vm["vm"]]
    act = exchange(DAEMON_NAMES[kind])
    footprint = press(
        vm["caller_address"], act, process.pid, CLIENTS, seconds=PRESS_SECONDS
    )
    url = f"http://{vm['caller_address']}{ORDER_DESK}"
    assert send_http("POST", url, b"x", {"Client-Account": "aardappel-telers"})
    footprint.read()
    assert process.poll() is None
    assert footprint.peak_bytes <= MEMORY_MB * MEGABYTE, footprint
    logs = [path for path in tmp_path.glob("*.log") if vm["vm"] in path.name]
    assert logs
    assert sum(path.stat().st_size for path in logs) <= MOST_LOG_BYTES
