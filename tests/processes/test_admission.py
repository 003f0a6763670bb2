"""Refusals for lack of capacity by daemon processes on the platform stand-in."""

import time
from pathlib import Path

import pytest

from cardamomdyke_standins.deployment import wait_until
from cardamomdyke_standins.nodes import PATH_PREFIX, Nodes, run_nodes
from tests.processes.test_node import JOB_ID, OTHER_JOB_ID, make_body

pytestmark = pytest.mark.processes
# Far more than one server runs while an answer of the queue is of use.
TASKS = 1000
HEARTBEAT_SECONDS = 0.8


def has_forecast(nodes: Nodes) -> bool:
    """Return whether the planner has written that work waits."""
    lines = nodes.read_log("vm0")
    return any(line["message_type"] == "forecast.changed" for line in lines)


def test_full_pool_refuses_a_job_that_would_end_too_late(tmp_path: Path) -> None:
    """Guards against a summary that never reaches the decision of a daemon."""
    body = make_body(1.0, count=TASKS, estimated_ms=1000)
    with run_nodes(tmp_path, vms=1, servers=1) as nodes:
        assert nodes.call("vm0", "POST", PATH_PREFIX + JOB_ID, body)[0] == 200
        wait_until(lambda: has_forecast(nodes))
        time.sleep(2 * HEARTBEAT_SECONDS)
        code, answer = nodes.call("vm0", "POST", PATH_PREFIX + OTHER_JOB_ID, body)
        assert code == 429
        assert "the request has not run" in answer["error"]
        # A repeat, and a small job that may start beside it, are served.
        assert nodes.call("vm0", "POST", PATH_PREFIX + JOB_ID, body)[0] == 200
        small = make_body(0.1, estimated_ms=1000)
        assert nodes.call("vm0", "POST", PATH_PREFIX + OTHER_JOB_ID, small)[0] == 200
