"""Tests of the start of a deployment of stand-ins and daemons."""

from pathlib import Path

import pytest

from cardamomdyke_standins.deployment import (
    Deployment,
    keep_failure_domain,
    move_to_free_ports,
    read_example,
    run_deployment,
    shrink_example,
)

ROOT = Path(__file__).parents[2]
# Longer than the start of a daemon on an idle machine.
LOG_DELAY_SECONDS = 4


@pytest.mark.processes
def test_deployment_starts_although_its_log_starts_late(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a first edit that is refused because the log does not serve yet.

    On a busy machine the log can begin to listen after the daemons.
    """
    start_process = Deployment.start_process

    def start_late(deployment: Deployment, name: str, command: list[str]) -> None:
        if name == "log":
            script = f'sleep {LOG_DELAY_SECONDS}; exec "$@"'
            command = ["bash", "-c", script, "log", *command]
        start_process(deployment, name, command)

    monkeypatch.setattr(Deployment, "start_process", start_late)
    example = read_example(ROOT / "examples" / "federation.json")
    example = keep_failure_domain(shrink_example(example, 1, 1), "gent")
    with run_deployment(move_to_free_ports(example), tmp_path) as deployment:
        status = deployment.read_json(deployment.example["vms"][0], "/v1/status")
        assert status["version"] == 1
