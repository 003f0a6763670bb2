"""Runs every command of the operators' page as written."""

import os
import re
import shlex
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from msgspec.json import decode, encode

from cardamomdyke_standins.deployment import (
    Deployment,
    check_port,
    send_http,
    wait_until,
)
from tests.processes.conftest import ROOT
from tests.processes.test_operations import send_request

PAGE = (ROOT / "docs" / "operators.md").read_text()
BLOCKS = re.findall(r"^```sh\n(.*?)^```$", PAGE, re.DOTALL | re.MULTILINE)
MIN_BLOCKS = 10


def find_free_address() -> str:
    """Return a loopback address that nothing listens on."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


def make_environment(deployment: Deployment, directory: Path) -> dict[str, str]:
    """Put the command on the path, and set the page's variables."""
    wrapper = directory / "cardamomdyke"
    wrapper.write_text(
        f"#!/bin/sh\nexec {shlex.quote(sys.executable)} "
        '-m cardamomdyke.cli.commands "$@"\n'
    )
    wrapper.chmod(0o755)
    address = deployment.example["vms"][0]["caller_address"]
    job = {"client_account": "koffie-invoer", "service": "order-desk"}
    job = {**job, "accelerators_per_task": 1, "payload": "sleep=30"}
    accepted = send_http("POST", f"http://{address}/v1/jobs", encode(job))
    return {
        **os.environ,
        "PATH": f"{directory}:{os.environ['PATH']}",
        "PYTHONPATH": str(ROOT / "src"),
        "VM_ADDRESS": address,
        "CARDAMOMDYKE_CLIENT_VM": address,
        "CALLER_ADDRESS": find_free_address(),
        "PEER_ADDRESS": find_free_address(),
        "LOG_URL": f"http://{deployment.example['log_address']}",
        "VMLIST_URL": f"http://{deployment.example['vmlist_address']}",
        "REQUEST_ID": send_request(deployment)[0],
        "JOB_ID": decode(accepted)["job_id"],
    }


def run_daemon_block(block: str, environment: dict[str, str], directory: Path) -> None:
    """Run a block that starts a daemon; stop it once it listens."""
    host, _, port = environment["CALLER_ADDRESS"].rpartition(":")
    process = subprocess.Popen(
        ["bash", "-c", f"exec {block}"], env=environment, cwd=directory
    )
    try:
        wait_until(lambda: check_port(host, int(port)))
        process.terminate()
        assert process.wait(60) == 0
    finally:
        process.kill()


def check_removed(deployment: Deployment, name: str) -> bool:
    """Return whether the first VM no longer lists a VM as live."""
    status = deployment.read_json(deployment.example["vms"][0], "/v1/status")
    return status is not None and name not in status["live_vms"]


@pytest.mark.processes
def test_commands_on_the_page_work(
    small_federation: Deployment, tmp_path: Path
) -> None:
    """Guards against documented commands that fail in an incident."""
    assert len(BLOCKS) >= MIN_BLOCKS
    directory = tmp_path / "operator"
    directory.mkdir()
    environment = make_environment(small_federation, directory)
    for block in BLOCKS:
        if block.startswith("cardamomdyke daemon"):
            run_daemon_block(block, environment, directory)
            wait_until(lambda: check_removed(small_federation, "gent-e9"))
            continue
        tables = small_federation.read_json(
            small_federation.example["vms"][0], "/v1/tables"
        )
        result = subprocess.run(
            ["bash", "-euo", "pipefail", "-c", block],
            env={**environment, "VERSION": str(tables["version"])},
            cwd=directory,
            capture_output=True,
            text=True,
            timeout=120,
            check=False,
        )
        assert result.returncode == 0, block + result.stdout + result.stderr
        assert result.stdout, block
