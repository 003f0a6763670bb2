"""The stand-in of the second review's cases still fits the project's stand-ins."""

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from cardamomdyke_standins.deployment import (
    release_ports,
    reserve_ports,
    send_http,
    try_http,
    wait_until,
)

pytestmark = pytest.mark.processes
ROOT = Path(__file__).parents[2]
SERVER = "i-0000000001"
TASK = "11aa7a21d94b36f8.0.0.0"
CHECKPOINT_LENGTH = 40


@pytest.fixture
def server(tmp_path: Path) -> Iterator[str]:
    """Run the stand-in with one backend server; yield the server's address."""
    first = reserve_ports(3)
    store, control, address = (f"127.0.0.1:{first + number}" for number in range(3))
    plan = {
        "limits": {"record_bytes": 262_144, "request_bytes": 2_097_152},
        "checkpoint_length": CHECKPOINT_LENGTH,
        "rack_servers": 8,
        "store": store,
        "control": control,
        "servers": {SERVER: address},
        "capacity": {
            "cpu_millicores": 32_000,
            "task_memory_mb": 65_536,
            "accelerators": 8,
        },
        "zones": ["gent"],
        "tables": {"version": 7},
    }
    path = tmp_path / "plan.json"
    path.write_text(json.dumps(plan))
    script = ROOT / "review" / "second" / "standin.py"
    environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
    process = subprocess.Popen(
        [sys.executable, str(script), str(path)], env=environment
    )
    try:
        url = f"http://{control}/events/all"
        wait_until(lambda: try_http("GET", url) is not None)
        yield address
        assert process.poll() is None
    finally:
        process.kill()
        process.wait()
        release_ports({"store": store})


def call(server: str, name: str, **fields: object) -> Any:
    body = json.dumps({"fencing_token": 1, **fields}).encode()
    headers = {"Expected-Instance": SERVER}
    return json.loads(send_http("POST", f"http://{server}/{name}", body, headers))


@pytest.mark.parametrize("stops", [False, True])
def test_run_ends(server: str, stops: bool) -> None:
    """Guards against a stand-in that fails whenever a run ends.

    Each case in which a run ends then proves nothing.
    """
    seconds = 60.0 if stops else 2.5
    plan = json.dumps([{"seconds": seconds, "saves": True}])
    lease = {"deadline_ms": 10**15}
    call(server, "hold", last_seen=0, **lease)
    call(server, "run-start", task=TASK, run=1, specification=plan, **lease)
    ended: list[list[Any]] = []

    def poll() -> bool:
        ended[:] = call(server, "hold", last_seen=0, **lease)["finished"]
        return bool(ended)

    if stops:
        call(server, "hold", last_seen=0, wait_ms=1200, **lease)
        call(server, "run-stop", task=TASK, run=1)
    wait_until(poll)
    ((_, task, run, kind, checkpoint),) = ended
    assert (task, run, kind) == (TASK, 1, "stopped" if stops else "done")
    assert len(checkpoint) == CHECKPOINT_LENGTH
