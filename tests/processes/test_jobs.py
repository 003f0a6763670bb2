"""Job calls through the daemons of several VMs."""

from concurrent.futures import ThreadPoolExecutor
from typing import Any
from urllib.error import HTTPError

import pytest
from msgspec.json import decode, encode

from cardamomdyke_standins.deployment import (
    Deployment,
    send_http,
    set_faults,
    wait_until,
)

JOB = {
    "client_account": "koffie-invoer",
    "service": "order-desk",
    "accelerators_per_task": 2,
    "gang_size": 2,
    "payload": "sleep=0.5",
    "run_seconds": 0.5,
}


def call_vm(
    vm: dict[str, str], method: str, path: str, body: object = None
) -> tuple[int, str, Any]:
    """Call a VM; return the status code, an error's outcome and the JSON."""
    url = f"http://{vm['caller_address']}{path}"
    data = encode(body) if body is not None else None
    try:
        return 200, "", decode(send_http(method, url, data))
    except HTTPError as error:
        return error.code, error.headers["Outcome"], decode(error.read())


@pytest.mark.processes
def test_jobs_through_two_vms(two_vms: Deployment) -> None:
    """Guards against two jobs of one key, lost records and undone cancellations."""
    first, second = two_vms.example["vms"]
    keyed = {**JOB, "idempotency_key": "k1"}
    with ThreadPoolExecutor(4) as pool:
        replies = list(
            pool.map(
                lambda vm: call_vm(vm, "POST", "/v1/jobs", keyed)[2]["job_id"],
                [first, second, first, second],
            )
        )
    assert len(set(replies)) == 1, replies
    reused = call_vm(second, "POST", "/v1/jobs", {**keyed, "gang_size": 1})
    assert reused[1] == "not_run" and reused[2]["kind"] == "key_reused"

    impossible = call_vm(first, "POST", "/v1/jobs", {**JOB, "gang_size": 900})
    assert impossible[1] == "not_run" and impossible[2]["kind"] == "impossible_shape"
    unknown = call_vm(first, "GET", "/v1/jobs/gent.0000")
    assert unknown[1] == "not_run" and unknown[2]["kind"] == "unknown_job"

    path = f"/v1/jobs/{replies[0]}"
    wait_until(lambda: call_vm(second, "GET", path)[2]["state"] == "finished")

    long_job = {**JOB, "payload": "sleep=600", "run_seconds": 600}
    job_id = call_vm(first, "POST", "/v1/jobs", long_job)[2]["job_id"]
    path = f"/v1/jobs/{job_id}"
    wait_until(lambda: call_vm(second, "GET", path)[2]["state"] == "running")
    for vm in (first, second, first):
        assert call_vm(vm, "DELETE", path)[2]["state"] == "cancelled"

    log = two_vms.example["log_address"]
    set_faults(log, down=True)
    accepted = call_vm(first, "POST", "/v1/jobs", JOB)[2]
    assert accepted["recorded"] is False
    set_faults(log)
    path = f"/v1/jobs/{accepted['job_id']}"
    wait_until(lambda: call_vm(second, "GET", path)[2]["recorded"] is True)
    wait_until(lambda: call_vm(first, "GET", path)[2]["state"] == "finished")


@pytest.mark.processes
def test_unknown_id_while_a_failure_domain_is_silent(
    small_federation: Deployment,
) -> None:
    """Guards against "unknown job" for a job whose planner cannot be reached."""
    vms = {vm["failure_domain"]: vm for vm in small_federation.example["vms"]}
    path = "/v1/jobs/gent.0000"
    assert call_vm(vms["gent"], "GET", path)[2]["kind"] == "unknown_job"
    small_federation.processes[vms["kortrijk"]["vm"]].kill()
    wait_until(lambda: call_vm(vms["gent"], "GET", path)[1] == "not_known")
    assert call_vm(vms["gent"], "GET", "/v1/jobs/kortrijk.0000")[1] == "not_known"
