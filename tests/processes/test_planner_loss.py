"""Takeover of a gang after its planner is killed or frozen."""

import signal
from typing import Any

import pytest
from msgspec.json import decode, encode

from cardamomdyke.membership.hashing import choose_node
from cardamomdyke_standins.deployment import (
    Deployment,
    send_http,
    set_faults,
    try_http,
    wait_until,
)
from cardamomdyke_standins.faults import Faults
from cardamomdyke_standins.gang_history import Run, list_partial_seconds, read_events

GANG_SIZE = 6
START_LEASE_SECONDS = 2.0
RUN_SECONDS = 12
# Leaves time to act between the first start and the last, within a start lease.
START_DELAY_SECONDS = 0.7
FINAL_STATES = ("finished", "not_known", "not_run", "cancelled")


def find_planner(deployment: Deployment) -> tuple[dict[str, str], dict[str, str]]:
    """Return the planner of gent and the other VM."""
    vms = {vm["vm"]: vm for vm in deployment.example["vms"]}
    name = choose_node("planner:gent", vms)
    assert name is not None
    return vms.pop(name), next(iter(vms.values()))


def list_servers(deployment: Deployment) -> list[dict[str, Any]]:
    servers: list[dict[str, Any]] = deployment.example["tables"]["pools"][0]["servers"]
    return servers


def submit_gang(vm: dict[str, str], **changes: object) -> str:
    """Submit a gang that needs all 3 backend servers and may run only once."""
    job = {
        "client_account": "koffie-invoer",
        "service": "order-desk",
        "accelerators_per_task": 4,
        "gang_size": GANG_SIZE,
        "payload": f"sleep={RUN_SECONDS}",
        "run_seconds": RUN_SECONDS,
        **changes,
    }
    url = f"http://{vm['caller_address']}/v1/jobs"
    job_id: str = decode(send_http("POST", url, encode(job)))["job_id"]
    return job_id


def read_state(deployment: Deployment, vm: dict[str, str], job_id: str) -> str:
    status = deployment.read_json(vm, f"/v1/jobs/{job_id}")
    return status["state"] if status else "unreachable"


def read_runs(deployment: Deployment, job_id: str) -> list[Run]:
    """Return the runs of a job's members on all backend servers."""
    servers = list_servers(deployment)
    return [run for server in servers for run in read_server_runs(server, job_id)]


def read_server_runs(server: dict[str, Any], job_id: str) -> list[Run]:
    reply = try_http("GET", f"http://{server['address']}/v1/events")
    return list(read_events(server["name"], decode(reply or b"[]"), job_id))


def wait_for_first_start(deployment: Deployment, job_id: str) -> None:
    """Wait for a start on the first server; the last one's is then in transit."""
    first = list_servers(deployment)[0]
    wait_until(lambda: bool(read_server_runs(first, job_id)))


def check_history(deployment: Deployment, job_id: str) -> list[Run]:
    """Check that each member finished once and no partial gang outlived its lease."""
    runs = read_runs(deployment, job_id)
    finished = sorted(run.member for run in runs if run.state == "finished")
    assert finished == list(range(GANG_SIZE)), runs
    latest = max(run.ended_at for run in runs)
    assert max(list_partial_seconds(runs, GANG_SIZE, latest)) <= START_LEASE_SECONDS, (
        runs
    )
    return runs


def check_released(deployment: Deployment) -> bool:
    """Return whether no backend server holds a task."""
    urls = [f"http://{s['address']}/v1/inventory" for s in list_servers(deployment)]
    return not any(decode(send_http("GET", url))["tasks"] for url in urls)


def delay_last_server(deployment: Deployment, seconds: float) -> None:
    address = list_servers(deployment)[-1]["address"]
    set_faults(address, delay_seconds=seconds)


@pytest.mark.processes
def test_running_gang_is_adopted_after_kill(two_vms: Deployment) -> None:
    """Guards against a gang that stops or restarts when its planner is killed."""
    planner, other = find_planner(two_vms)
    job_id = submit_gang(other)
    wait_until(lambda: read_state(two_vms, other, job_id) == "running")
    waiting = submit_gang(other, gang_size=2, payload="sleep=1")
    two_vms.processes[planner["vm"]].kill()
    wait_until(lambda: read_state(two_vms, other, job_id) == "finished")
    wait_until(lambda: read_state(two_vms, other, waiting) == "finished")
    assert len(check_history(two_vms, job_id)) == GANG_SIZE
    wait_until(lambda: check_released(two_vms))


@pytest.mark.processes
def test_gang_starts_again_after_kill_between_its_starts(two_vms: Deployment) -> None:
    """Guards against a lost job, or members that run on, after a partial start."""
    planner, other = find_planner(two_vms)
    # Without this start, the gang cannot be extended, however late the kill is.
    two_vms.set_faults(list_servers(two_vms)[-1]["name"], Faults(hold_starts=True))
    job_id = submit_gang(other, run_seconds=5, payload="sleep=5")
    wait_for_first_start(two_vms, job_id)
    two_vms.processes[planner["vm"]].kill()
    two_vms.set_faults(list_servers(two_vms)[-1]["name"], Faults())
    wait_until(lambda: read_state(two_vms, other, job_id) in FINAL_STATES)
    assert read_state(two_vms, other, job_id) == "finished"
    check_history(two_vms, job_id)


@pytest.mark.processes
def test_frozen_planner_that_wakes_does_no_harm(two_vms: Deployment) -> None:
    """Guards against a resumed planner that still acts on its gang after takeover."""
    planner, other = find_planner(two_vms)
    delay_last_server(two_vms, START_DELAY_SECONDS)
    job_id = submit_gang(other)
    wait_for_first_start(two_vms, job_id)
    frozen = two_vms.processes[planner["vm"]]
    frozen.send_signal(signal.SIGSTOP)
    try:
        delay_last_server(two_vms, 0.0)
        wait_until(lambda: read_state(two_vms, other, job_id) == "running")
    finally:
        frozen.send_signal(signal.SIGCONT)
    wait_until(lambda: read_state(two_vms, other, job_id) == "finished")
    check_history(two_vms, job_id)
    wait_until(lambda: read_state(two_vms, planner, job_id) == "finished")
    wait_until(lambda: check_released(two_vms))
