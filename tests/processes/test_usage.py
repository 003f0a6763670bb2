"""Usage from backend servers' reports to every VM's bills."""

import time
from pathlib import Path
from typing import Any

import pytest
from msgspec.json import decode

from cardamomdyke_standins.deployment import (
    Deployment,
    move_to_free_ports,
    read_example,
    run_deployment,
    send_http,
    shrink_example,
    wait_until,
)
from cardamomdyke_standins.example import run_gang, send_requests

ROOT = Path(__file__).parents[2]


def sum_reported(deployment: Deployment) -> list[int]:
    """Return the sums of reported accelerator milliseconds and requests."""
    reports: list[dict[str, Any]] = []
    for pool in deployment.example["tables"]["pools"]:
        for server in pool["servers"]:
            url = f"http://{server['address']}/v1/usage?after=0"
            reports += decode(send_http("GET", url))["reports"]
    return [
        sum(round(report["accelerator_seconds"] * 1000) for report in reports),
        sum(report["requests"] for report in reports),
    ]


def sum_billed(deployment: Deployment, vm: dict[str, str]) -> list[int]:
    """Return the same sums as a VM bills them; empty while unreachable."""
    view = deployment.read_json(vm, "/v1/usage")
    if view is None:
        return []
    assert view["phase"] == "complete"
    hours = sum(bill["accelerator_hours"] for bill in view["bills"])
    return [round(hours * 3_600_000), sum(bill["requests"] for bill in view["bills"])]


@pytest.mark.processes
def test_every_vm_bills_what_the_servers_report(tmp_path: Path) -> None:
    """Guards against lost or repeated usage, and bills lost by restarts."""
    example = read_example(ROOT / "examples" / "federation.json")
    example = move_to_free_ports(shrink_example(example, 8, 1))
    example["vms"] = [{**vm, "usage_period_seconds": "0.5"} for vm in example["vms"]]
    with run_deployment(example, tmp_path) as deployment:
        sent = send_requests(deployment)
        assert run_gang(deployment)["state"] == "finished"
        time.sleep(2.0)  # The stand-in reports with a lag of 1 s.
        reported = sum_reported(deployment)
        assert reported[0] > 0
        assert reported[1] == sent
        for vm in example["vms"]:
            wait_until(lambda vm=vm: sum_billed(deployment, vm) == reported)  # type: ignore[misc]
        for vm in example["vms"]:
            deployment.processes[vm["vm"]].kill()
            deployment.processes[vm["vm"]].wait()
            deployment.start_daemon(vm)
        for vm in example["vms"]:
            wait_until(lambda vm=vm: sum_billed(deployment, vm) == reported)  # type: ignore[misc]
