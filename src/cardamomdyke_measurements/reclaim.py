"""Time from an urgent job's submission to its start in a fully borrowed pool."""

import tempfile
import time
from pathlib import Path
from typing import Any

from fire import Fire
from msgspec.json import decode, encode

from cardamomdyke_standins.deployment import (
    Deployment,
    move_to_free_ports,
    read_example,
    run_deployment,
    send_http,
    shrink_example,
    wait_until,
)

ROOT = Path(__file__).parents[2]
TARGET_SECONDS = 4.2
SERVERS_PER_POOL = 2
BORROWER_RUN_SECONDS = 600


def find_start_time(deployment: Deployment, job_id: str) -> float:
    """Return a job's first start in monotonic seconds; 0 before it."""
    for server in deployment.example["tables"]["pools"][0]["servers"]:
        address = deployment.find_standin_address(server["name"])
        for at, kind, subject, _ in decode(
            send_http("GET", f"http://{address}/v1/events")
        ):
            if kind == "start" and subject == job_id:
                return float(at)
    return 0.0


def submit_job(deployment: Deployment, **fields: object) -> str:
    """Submit a job for the first pool through a VM of the last failure domain."""
    route = deployment.example["tables"]["routes"][0]
    job = {"client_account": "borrower", "service": route["service"], **fields}
    address = deployment.example["vms"][-1]["caller_address"]
    reply = send_http("POST", f"http://{address}/v1/jobs", encode(job))
    job_id: str = decode(reply)["job_id"]
    return job_id


def time_reclaim(deployment: Deployment) -> float:
    """Fill the pool with a borrower; return an urgent job's wait in seconds."""
    borrower = submit_job(
        deployment,
        gang_size=8 * SERVERS_PER_POOL,
        run_seconds=BORROWER_RUN_SECONDS,
        payload=f"sleep={BORROWER_RUN_SECONDS}",
    )
    wait_until(lambda: find_start_time(deployment, borrower) > 0)
    time.sleep(1.0)
    guaranteed_account = deployment.example["tables"]["routes"][0]["client_account"]
    submitted_at = time.monotonic()
    urgent = submit_job(
        deployment,
        client_account=guaranteed_account,
        accelerators_per_task=8,
        run_seconds=1,
        payload="sleep=1",
        urgent=True,
    )
    wait_until(lambda: find_start_time(deployment, urgent) > 0)
    started_at = find_start_time(deployment, urgent)
    address = deployment.example["vms"][-1]["caller_address"]
    send_http("DELETE", f"http://{address}/v1/jobs/{borrower}")
    url = f"http://{address}/v1/jobs/{urgent}/answer?wait=30"
    send_http("GET", url, timeout_seconds=40.0)
    return started_at - submitted_at


def main(count: int = 10) -> None:
    """Print the sorted seconds and their target as JSON.

    Parameters
    ----------
    count : int
        Reclaims, one after another.
    """
    example = read_example(ROOT / "examples" / "federation.json")
    guarantee: dict[str, Any] = example["tables"]["pools"][0]["guarantees"][0]
    example = shrink_example(example, SERVERS_PER_POOL, 1)
    tables = example["tables"]
    tables["pools"][0]["guarantees"] = [{**guarantee, "count": 1}]
    first = tables["pools"][0]["name"]
    tables["routes"][0]["pools"] = [first]
    tables["routes"].append({**tables["routes"][0], "client_account": "borrower"})
    example = move_to_free_ports(example)
    directory = Path(tempfile.mkdtemp(prefix="cardamomdyke-reclaim-"))
    with run_deployment(example, directory) as deployment:
        times = sorted(round(time_reclaim(deployment), 2) for _ in range(count))
    report = {"target_seconds": TARGET_SECONDS, "seconds": times}
    print(encode(report).decode())


if __name__ == "__main__":
    Fire(main)
