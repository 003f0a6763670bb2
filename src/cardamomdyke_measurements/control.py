"""Idle cost of a daemon, and time until an edit is in force on every VM."""

import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from fire import Fire
from msgspec.json import encode
from numpy import median, polyfit

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
SETTLE_WAIT_SECONDS = 5.0
EDIT_COUNT = 10


@dataclass(frozen=True, slots=True)
class ControlCost:
    """Medians over the daemons of one deployment without requests or jobs.

    Attributes
    ----------
    vms : int
        Entry VMs.
    servers : int
        Backend servers.
    cpu_percent : float
        Percentage of one core.
    resident_mb : float
        Resident memory, in units of 2**20 bytes.
    gossip_bytes_per_second : float
        Gossip bodies sent and received.
    edit_in_force_seconds : float
        Longest time from an edit's acceptance until every VM had it in force.
    """

    vms: int
    servers: int
    cpu_percent: float
    resident_mb: float
    gossip_bytes_per_second: float
    edit_in_force_seconds: float


def measure_control(
    vms_per_domain: int, servers_per_pool: int, seconds: float
) -> ControlCost:
    """Run one deployment and measure its daemons for some seconds."""
    example = read_example(ROOT / "examples" / "federation.json")
    example = move_to_free_ports(
        resize_example(example, vms_per_domain, servers_per_pool)
    )
    directory = Path(tempfile.mkdtemp(prefix="cardamomdyke-control-"))
    with run_deployment(example, directory) as deployment:
        time.sleep(SETTLE_WAIT_SECONDS)
        vms = example["vms"]
        before = [read_resource_usage(deployment, vm) for vm in vms]
        started_at = time.monotonic()
        time.sleep(seconds)
        after = [read_resource_usage(deployment, vm) for vm in vms]
        elapsed_seconds = time.monotonic() - started_at
        samples = list(zip(before, after, strict=True))
        cpu_shares = [
            (b.cpu_seconds - a.cpu_seconds) / elapsed_seconds for a, b in samples
        ]
        gossip_rates = [
            (b.gossip_bytes - a.gossip_bytes) / elapsed_seconds for a, b in samples
        ]
        slowest_edit_seconds = max(time_edit(deployment) for _ in range(EDIT_COUNT))
    return ControlCost(
        vms=len(vms),
        servers=3 * servers_per_pool,
        cpu_percent=round(100 * float(median(cpu_shares)), 2),
        resident_mb=round(float(median([f.resident_mb for f in after])), 1),
        gossip_bytes_per_second=round(float(median(gossip_rates)), 0),
        edit_in_force_seconds=round(slowest_edit_seconds, 2),
    )


def time_edit(deployment: Deployment) -> float:
    """Submit an edit; return the seconds from its acceptance to use by all VMs."""
    first = deployment.example["vms"][0]
    current = deployment.read_json(first, "/v1/tables")
    body = encode({"base_version": current["version"], "tables": current["tables"]})
    send_http("PUT", f"http://{first['caller_address']}/v1/tables", body)
    accepted_at = time.monotonic()

    def check_in_force(vm: dict[str, str]) -> bool:
        status = deployment.read_json(vm, "/v1/status")
        return status is not None and status["version"] > current["version"]

    for vm in deployment.example["vms"]:
        wait_until(lambda vm=vm: check_in_force(vm))  # type: ignore[misc]
    return time.monotonic() - accepted_at


def main(seconds: float = 20.0) -> None:
    """Print costs of sizes up to 4 times apart, and linear fits over VMs, as JSON.

    Parameters
    ----------
    seconds : float
        Length of each measurement.
    """
    sizes = ((2, 2), (8, 2), (2, 8), (4, 4))
    costs = [measure_control(vms, servers, seconds) for vms, servers in sizes]
    report: dict[str, Any] = {"runs": [asdict(cost) for cost in costs]}
    by_vms = [costs[0], costs[3], costs[1]]
    for name in ("cpu_percent", "gossip_bytes_per_second", "resident_mb"):
        values = [getattr(cost, name) for cost in by_vms]
        slope, intercept = polyfit([cost.vms for cost in by_vms], values, 1)
        fitted = [intercept + slope * cost.vms for cost in by_vms]
        residual = max(abs(v - f) for v, f in zip(values, fitted, strict=True))
        report[f"{name}_by_vm"] = {
            "intercept": round(float(intercept), 3),
            "slope": round(float(slope), 4),
            "residual": round(float(residual), 3),
        }
    print(encode(report).decode())


if __name__ == "__main__":
    Fire(main)
