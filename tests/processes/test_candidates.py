"""Daemons that step in when every candidate is lost, as processes."""

from pathlib import Path

import pytest

from cardamomdyke_standins.deployment import wait_until
from cardamomdyke_standins.nodes import PATH_PREFIX, Nodes, run_nodes
from tests.processes.test_node import JOB, OTHER, make_body

pytestmark = pytest.mark.processes
VMS = 5
# All VMs have the same power, so the first ones of each failure domain stand by:
# vm0 and vm1, then vm2.
CANDIDATES = ["vm0", "vm1", "vm2"]


def list_lines(nodes: Nodes, kind: str) -> list[str]:
    """Return the VM of each log line of a kind."""
    return [
        vm
        for vm in nodes.callers
        for line in nodes.read_log(vm)
        if line["message_type"] == kind
    ]


def serve_job(nodes: Nodes, job_id: str) -> None:
    """Let a job be done through daemons that are no candidates."""
    assert nodes.call("vm3", "POST", PATH_PREFIX + job_id, make_body())[0] == 200
    wait_until(lambda: nodes.read_state("vm4", job_id) == "completed")


def settle(nodes: Nodes) -> None:
    """Wait until the candidates stand by and one of them plans."""
    wait_until(lambda: set(CANDIDATES) <= set(list_lines(nodes, "planner.stands_by")))
    wait_until(lambda: nodes.find_planner() in CANDIDATES)
    serve_job(nodes, OTHER)


def test_others_step_in_when_every_candidate_is_lost(tmp_path: Path) -> None:
    """Guards against a platform on which nobody plans once the candidates are gone."""
    with run_nodes(tmp_path, vms=VMS) as nodes:
        settle(nodes)
        for vm in CANDIDATES:
            nodes.deployment.processes[vm].kill()
        serve_job(nodes, JOB)
        assert nodes.find_planner() not in CANDIDATES


def test_restart_of_another_daemon_leaves_the_planner_alone(tmp_path: Path) -> None:
    """Guards against a planner that moves whenever some VM is replaced."""
    with run_nodes(tmp_path, vms=VMS) as nodes:
        settle(nodes)
        planner = nodes.find_planner()
        terms = len(list_lines(nodes, "planner.took_over"))
        for vm in ("vm3", "vm4"):
            nodes.deployment.processes[vm].terminate()
            nodes.deployment.processes[vm].wait()
            nodes.start_node(vm)
            wait_until(lambda vm=vm: nodes.check_ready(vm))  # type: ignore[misc]
        serve_job(nodes, JOB)
        assert nodes.find_planner() == planner
        assert len(list_lines(nodes, "planner.took_over")) == terms
