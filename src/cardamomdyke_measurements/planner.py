"""Processor time of a planner, by backend servers and running tasks."""

import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from fire import Fire
from msgspec.json import decode, encode
from numpy import array, linalg, ones

from cardamomdyke_measurements.deployments import read_resource_usage, resize_example
from cardamomdyke_standins.deployment import (
    Deployment,
    move_to_free_ports,
    read_example,
    run_deployment,
    send_http,
    wait_until,
)

ROOT = Path(__file__).parents[2]
TASK_RUN_SECONDS = 3600
SETTLE_WAIT_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class PlannerCost:
    """Resource usage of one planner.

    Attributes
    ----------
    servers : int
        Backend servers of its failure domain.
    gangs : int
        Running gangs.
    tasks : int
        Running members, one accelerator each.
    cpu_percent : float
        Percentage of one core.
    resident_mb : float
        Resident memory, in units of 2**20 bytes.
    """

    servers: int
    gangs: int
    tasks: int
    cpu_percent: float
    resident_mb: float


def measure_planner(
    servers: int, gangs: int, gang_size: int, seconds: float
) -> PlannerCost:
    """Run gangs in one failure domain and measure its only VM, the planner."""
    example = read_example(ROOT / "examples" / "federation.json")
    example = resize_example(example, 1, servers)
    tables = example["tables"]
    for pool in tables["pools"][1:]:
        pool["servers"] = pool["servers"][:1]
    tables["routes"][0]["pools"] = [tables["pools"][0]["name"]]
    example = move_to_free_ports(example)
    directory = Path(tempfile.mkdtemp(prefix="cardamomdyke-planner-"))
    with run_deployment(example, directory) as deployment:
        vm = example["vms"][0]
        jobs = [submit_gang(deployment, gang_size) for _ in range(gangs)]
        for job_id in jobs:
            wait_until(lambda job_id=job_id: check_running(deployment, job_id))  # type: ignore[misc]
        time.sleep(SETTLE_WAIT_SECONDS)
        before, started_at = read_resource_usage(deployment, vm), time.monotonic()
        time.sleep(seconds)
        after, ended_at = read_resource_usage(deployment, vm), time.monotonic()
    cpu = (after.cpu_seconds - before.cpu_seconds) / (ended_at - started_at)
    tasks = gangs * gang_size
    return PlannerCost(
        servers, gangs, tasks, round(100 * cpu, 2), round(after.resident_mb, 1)
    )


def submit_gang(deployment: Deployment, size: int) -> str:
    """Submit a one-hour gang, which outlasts the measurement; return its id."""
    route = deployment.example["tables"]["routes"][0]
    job = {
        "client_account": route["client_account"],
        "service": route["service"],
        "gang_size": size,
        "run_seconds": TASK_RUN_SECONDS,
        "payload": f"sleep={TASK_RUN_SECONDS}",
    }
    address = deployment.example["vms"][0]["caller_address"]
    reply = send_http("POST", f"http://{address}/v1/jobs", encode(job))
    job_id: str = decode(reply)["job_id"]
    return job_id


def check_running(deployment: Deployment, job_id: str) -> bool:
    """Return whether the first VM shows a job as running."""
    vm = deployment.example["vms"][0]
    status = deployment.read_json(vm, f"/v1/jobs/{job_id}")
    return status is not None and status["state"] == "running"


def main(seconds: float = 20.0) -> None:
    """Print each size's cost, and a linear fit over servers and tasks, as JSON.

    Parameters
    ----------
    seconds : float
        Length of each measurement.
    """
    sizes = ((8, 0, 0), (8, 2, 8), (8, 8, 8), (32, 8, 8), (32, 32, 8))
    costs = [measure_planner(*size, seconds) for size in sizes]
    rows = array([[cost.servers, cost.tasks] for cost in costs])
    design = array([ones(len(costs)), rows[:, 0], rows[:, 1]]).T
    values = array([cost.cpu_percent for cost in costs])
    fit, *_ = linalg.lstsq(design, values, rcond=None)
    report = {
        "runs": [asdict(cost) for cost in costs],
        "cpu_percent": {
            "intercept": round(float(fit[0]), 3),
            "per_server": round(float(fit[1]), 4),
            "per_task": round(float(fit[2]), 4),
            "residual": round(float(abs(design @ fit - values).max()), 3),
        },
    }
    print(encode(report).decode())


if __name__ == "__main__":
    Fire(main)
