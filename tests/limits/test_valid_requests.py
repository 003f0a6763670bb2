"""Crowds of requests with a valid key, each of which is inside all limits."""

import pytest
from msgspec.json import encode

from cardamomdyke_standins.deployment import set_faults
from cardamomdyke_standins.nodes import PATH_PREFIX, Nodes
from cardamomdyke_standins.platform_server import StepPlan, encode_plan
from tests.limits.crowd import Press, exchange, press
from tests.limits.test_crowds import (
    DESCRIPTORS,
    HEAD,
    MEGABYTE,
    MEMORY_MB,
    check,
    make_request,
)
from tests.processes.test_node import make_body

pytestmark = pytest.mark.processes
CLIENTS = 40
LASTING_SECONDS = 60.0
# The longest specification that is accepted.
LARGE_SPECIFICATION = encode_plan([StepPlan(LASTING_SECONDS)]).ljust(4000)
STEP = {"count": 1, "cpu_millicores": 100, "estimated_ms": 1000}


def make_path(number: int) -> str:
    return f"{PATH_PREFIX}{number:016x}"


def submit(body: bytes) -> Press:
    """Return an act that submits one job after the other, each with its own id."""
    return exchange(lambda number: make_request(body, make_path(number)))


def call(method: str) -> Press:
    """Return an act of calls without a body, each for an id that does not exist."""

    def make_call(number: int) -> bytes:
        return f"{method} {make_path(number)} HTTP/1.1\r\n{HEAD}\r\n".encode()

    return exchange(make_call)


def make_order(specification: str, *steps: dict[str, object]) -> bytes:
    return encode({"specification": specification, "steps": list(steps)})


SUBMISSIONS = {
    "short_jobs": make_body(0.1),
    "lasting_jobs": make_body(LASTING_SECONDS),
    "large_specifications": make_order(LARGE_SPECIFICATION, STEP),
    "many_tasks": make_order("[]", {**STEP, "count": 2950}),
    "many_steps": make_order("[]", *[STEP] * 300),
    "long_lists": make_order("[]", STEP, {**STEP, "after": [0] * 100_000}),
}
CROWDS = {
    **{name: submit(body) for name, body in SUBMISSIONS.items()},
    "cancels_of_unknown_ids": call("DELETE"),
    "reads_of_unknown_ids": call("GET"),
    "counts": exchange(lambda _: f"GET {PATH_PREFIX} HTTP/1.1\r\n{HEAD}\r\n".encode()),
}


@pytest.mark.parametrize("crowd", CROWDS)
def test_valid_requests(node: Nodes, crowd: str) -> None:
    """Guards against jobs, records and answers that are kept without bound."""
    act = CROWDS[crowd]
    address = node.callers["vm0"]
    check(node, address, act, CLIENTS, DESCRIPTORS)


@pytest.mark.parametrize("crowd", ["short_jobs", "large_specifications"])
def test_submissions_that_wait_for_the_store(node: Nodes, crowd: str) -> None:
    """Guards against jobs without bound that wait for a store which is down."""
    set_faults(node.store, down=True)
    pid = node.deployment.processes["vm0"].pid
    footprint = press(node.callers["vm0"], CROWDS[crowd], pid, CLIENTS)
    set_faults(node.store)
    assert footprint.peak_bytes <= MEMORY_MB * MEGABYTE, footprint
    check(node, node.callers["vm0"], CROWDS[crowd], CLIENTS, DESCRIPTORS)
