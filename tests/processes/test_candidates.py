"""Daemons that become planner when every permanent candidate is lost."""

from pathlib import Path

import pytest

from cardamomdyke_standins.deployment import wait_until
from cardamomdyke_standins.nodes import PATH_PREFIX, Nodes, run_nodes
from tests.processes.test_node import JOB_ID, OTHER_JOB_ID, make_body

pytestmark = pytest.mark.processes
VMS = 5
# All VMs have the same power, so the permanent candidates are the first of each
# failure domain, vm0 and vm1, then vm2.
CANDIDATES = ["vm0", "vm1", "vm2"]


def list_log_vms(nodes: Nodes, kind: str) -> list[str]:
    """Return the VM of each log line of a kind."""
    return [
        vm
        for vm in nodes.callers
        for line in nodes.read_log(vm)
        if line["message_type"] == kind
    ]


def complete_job(nodes: Nodes, job_id: str) -> None:
    """Run a job to completion through daemons that are no candidates."""
    assert nodes.call("vm3", "POST", PATH_PREFIX + job_id, make_body())[0] == 200
    wait_until(lambda: nodes.read_state("vm4", job_id) == "completed")


def wait_for_candidate_planner(nodes: Nodes) -> None:
    """Wait until all candidates have joined and one is the planner."""
    wait_until(lambda: set(CANDIDATES) <= set(list_log_vms(nodes, "planner.stands_by")))
    wait_until(lambda: nodes.find_planner() in CANDIDATES)
    complete_job(nodes, OTHER_JOB_ID)


def test_others_step_in_when_every_candidate_is_lost(tmp_path: Path) -> None:
    """Guards against having no planner after all candidates are lost."""
    with run_nodes(tmp_path, vms=VMS) as nodes:
        wait_for_candidate_planner(nodes)
        for vm in CANDIDATES:
            nodes.deployment.processes[vm].kill()
        complete_job(nodes, JOB_ID)
        assert nodes.find_planner() not in CANDIDATES


def test_restart_of_another_daemon_leaves_the_planner_alone(tmp_path: Path) -> None:
    """Guards against a planner change when a non-candidate VM restarts."""
    with run_nodes(tmp_path, vms=VMS) as nodes:
        wait_for_candidate_planner(nodes)
        planner = nodes.find_planner()
        takeover_count = len(list_log_vms(nodes, "planner.took_over"))
        for vm in ("vm3", "vm4"):
            nodes.deployment.processes[vm].terminate()
            nodes.deployment.processes[vm].wait()
            nodes.start_node(vm)
            wait_until(lambda vm=vm: nodes.check_ready(vm))  # type: ignore[misc]
        complete_job(nodes, JOB_ID)
        assert nodes.find_planner() == planner
        assert len(list_log_vms(nodes, "planner.took_over")) == takeover_count
