"""Connections that are opened and ended as fast as it goes."""

import pytest

from cardamomdyke_standins.nodes import PATH_PREFIX, Nodes
from tests.limits.crowd import (
    CONNECTIONS,
    Press,
    repeat_connection,
    send,
    send_and_read,
)
from tests.limits.test_crowds import (
    DESCRIPTORS,
    GET,
    HEAD,
    check,
    find_peer_address,
    make_head,
)
from tests.limits.test_names import MOST_LOG_BYTES

pytestmark = pytest.mark.processes
PRESS_SECONDS = 3.0
LAST_GET = f"GET {PATH_PREFIX} HTTP/1.1\r\n{HEAD}Connection: close\r\n\r\n".encode()
BODY = make_head(100_000) + b"x" * 50_000
CHURN: dict[str, Press] = {
    "opened_and_reset": repeat_connection(send(), is_reset=True),
    "reset_in_the_headers": repeat_connection(send(GET[:20]), is_reset=True),
    "reset_in_the_body": repeat_connection(send(BODY), is_reset=True),
    "one_request_each": repeat_connection(send_and_read(LAST_GET)),
}


@pytest.mark.parametrize("churn", CHURN)
def test_churn_of_callers(node: Nodes, churn: str) -> None:
    """Guards against connections that leave memory, descriptors or log lines behind."""
    check(node, node.callers["vm0"], CHURN[churn], seconds=PRESS_SECONDS)
    assert (node.directory / "vm0.log").stat().st_size <= MOST_LOG_BYTES


@pytest.mark.parametrize("port", ["peers", "metrics"])
def test_churn_of_other_ports(node: Nodes, port: str) -> None:
    """Guards against the same at ports that are not for callers."""
    addresses = {
        "peers": find_peer_address(node),
        "metrics": node.metrics["vm0"],
    }
    check(node, addresses[port], CHURN["reset_in_the_headers"], seconds=PRESS_SECONDS)
    assert (node.directory / "vm0.log").stat().st_size <= MOST_LOG_BYTES


def test_churn_from_many_addresses(node: Nodes) -> None:
    """Guards against accounts of client addresses that stay after their connections."""
    churn = CHURN["reset_in_the_body"]
    check(node, node.callers["vm0"], churn, CONNECTIONS, DESCRIPTORS, (), CONNECTIONS)
