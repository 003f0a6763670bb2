"""Operators' commands and the timeline on a small deployment."""

import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any
from urllib.request import Request, urlopen

import pytest
from msgspec.json import decode, encode

from cardamomdyke_standins.deployment import Deployment, wait_until
from tests.processes.conftest import ROOT

pytestmark = pytest.mark.processes


def run_command(
    deployment: Deployment, *words: str
) -> subprocess.CompletedProcess[str]:
    """Run one command against the first VM."""
    address = deployment.example["vms"][0]["caller_address"]
    environment = {
        **os.environ,
        "PYTHONPATH": str(ROOT / "src"),
        "CARDAMOMDYKE_CLIENT_VM": address,
    }
    return subprocess.run(
        [sys.executable, "-m", "cardamomdyke.cli.commands", *words],
        env=environment,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )


def read_json(deployment: Deployment, *words: str) -> Any:
    """Run one command and return its decoded JSON output."""
    result = run_command(deployment, *words, "--output", "json")
    assert result.returncode == 0, result.stderr
    return decode(result.stdout)


def send_request(
    deployment: Deployment, key: str = "", account: str = "koffie-invoer"
) -> tuple[str, str]:
    """Send a short request; return its id and the answer."""
    address = deployment.example["vms"][0]["caller_address"]
    headers = {"Client-Account": account}
    if key:
        headers["Idempotency-Key"] = key
    url = f"http://{address}/v1/services/order-desk/requests"
    with urlopen(Request(url, b"hello", headers), timeout=30) as reply:
        return reply.headers["Request-Id"], reply.read().decode()


def restrict_route(
    deployment: Deployment, directory: Path, account: str, pool: str
) -> None:
    """Limit a client account's route to one pool, on all VMs."""
    shown = read_json(deployment, "tables", "show")
    for route in shown["tables"]["routes"]:
        if route["client_account"] == account:
            route["pools"] = [pool]
    (directory / "tables.json").write_bytes(encode(shown))
    words = ("tables", "edit", str(directory / "tables.json"))
    edited = read_json(deployment, *words, "--base", str(shown["version"]))
    for vm in deployment.example["vms"]:
        wait_until(
            lambda vm=vm: (
                deployment.read_json(vm, "/v1/status")["version"] >= edited["version"]
            )  # type: ignore[misc]
        )


def read_timeline(deployment: Deployment, subject: str) -> list[dict[str, Any]]:
    """Return a subject's events on all VMs, in time order."""
    events: list[dict[str, Any]] = read_json(
        deployment, "timeline", "--subject", subject
    )
    assert [e["at"] for e in events] == sorted(e["at"] for e in events)
    return events


def test_requests_and_jobs_are_traced_by_one_id(
    small_federation: Deployment, tmp_path: Path
) -> None:
    """Guards against a timeline without the events of some process."""
    deployment = small_federation
    # The first VM is in gent, so it forwards requests of this route to lokeren.
    restrict_route(deployment, tmp_path, "zakkenmakers", "order-desk-lokeren")
    request_id, answer = send_request(deployment, account="zakkenmakers")
    events = read_timeline(deployment, request_id)
    kinds = [event["kind"] for event in events]
    assert kinds[0] == "request.taken"
    assert kinds[-1] == "request.answered"
    assert f"answered {request_id}" in answer
    by_kind = {event["kind"]: event for event in events}
    assert by_kind["request.forwarded"]["vm"] == "gent-e1"
    assert by_kind["request.received"]["vm"] == "lokeren-e1"
    assert by_kind["request.started"]["vm"] == "lokeren-e1"
    assert by_kind["request.started"]["detail"] == answer.split()[0]
    keyed, _ = send_request(deployment, key="order-7")
    kinds = [event["kind"] for event in read_timeline(deployment, keyed)]
    assert {"request.linked", "request.claimed", "request.started"} <= set(kinds)
    job = {"client_account": "koffie-invoer", "service": "order-desk", "gang_size": 2}
    job = {**job, "accelerators_per_task": 1, "payload": "sleep=0.5"}
    (tmp_path / "job.json").write_bytes(encode(job))
    job_id = read_json(deployment, "job", "submit", str(tmp_path / "job.json"))[
        "job_id"
    ]
    wait_until(
        lambda: read_json(deployment, "job", "show", job_id)["state"] == "finished"
    )
    kinds = [event["kind"] for event in read_timeline(deployment, job_id)]
    for kind in ("queued", "claimed", "reserve", "start", "running", "finished"):
        assert f"job.{kind}" in kinds
    limited = run_command(deployment, "timeline", "--limit", "2")
    assert "older events are left out" in limited.stderr
    assert len(limited.stdout.splitlines()) <= 2 * len(deployment.example["vms"])


def test_loser_of_a_race_is_told_the_remedy(
    small_federation: Deployment, tmp_path: Path
) -> None:
    """Guards against an edit that overwrites a concurrent one."""
    deployment = small_federation
    shown = read_json(deployment, "tables", "show")
    file = tmp_path / "tables.json"
    shown["tables"]["routes"][0]["burst"] += 1
    file.write_bytes(encode(shown))
    base = str(shown["version"])
    diff = run_command(deployment, "tables", "diff", str(file))
    assert "+" in diff.stdout
    edited = run_command(deployment, "tables", "edit", str(file), "--base", base)
    assert edited.returncode == 0, edited.stderr
    late = run_command(deployment, "tables", "edit", str(file), "--base", base)
    assert late.returncode == 4
    assert late.stderr.startswith("edit_lost_race: ")
    assert "redo the edit" in late.stderr
    last = deployment.example["vms"][-1]["vm"]
    deployment.processes[last].kill()
    deployment.processes[last].wait()
    status = run_command(deployment, "status")
    assert status.returncode == 6
    assert "vm_unreachable" in status.stderr


def test_counters_reach_statsd(small_federation: Deployment) -> None:
    """Guards against counters that are not sent to StatsD."""
    deployment = small_federation
    vm = deployment.example["vms"][0]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(30.0)
        deployment.processes[vm["vm"]].terminate()
        deployment.processes[vm["vm"]].wait(60)
        port = receiver.getsockname()[1]
        deployment.start_daemon({**vm, "statsd_address": f"127.0.0.1:{port}"})
        wait_until(lambda: deployment.check_ready(vm))
        send_request(deployment)
        received: set[str] = set()
        while "cardamomdyke.request.finished:1|c" not in received:
            received.add(receiver.recv(1024).decode())
    assert "cardamomdyke.request.taken:1|c" in received
