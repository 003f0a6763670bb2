"""Daemons that run from the binary, with bounded memory."""

import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import psutil
import pytest

from cardamomdyke_standins.deployment import (
    Deployment,
    move_to_free_ports,
    read_example,
    run_deployment,
    shrink_example,
)
from cardamomdyke_standins.example import send_requests
from tests.processes.conftest import ROOT

pytestmark = pytest.mark.processes
BINARY = ROOT / "dist" / "cardamomdyke"
# Memory target of a daemon. Imports alone take more, so it limits the rest.
MAX_ADDED_BYTES = 32 * 1024 * 1024
REQUEST_ROUNDS = 10


@pytest.fixture(scope="module")
def binary() -> Path:
    """Return the binary, built again if a source is newer."""
    sources = [path.stat().st_mtime for path in (ROOT / "src").rglob("*.py")]
    if not BINARY.exists() or BINARY.stat().st_mtime < max(sources):
        subprocess.run(["bash", "scripts/build"], cwd=ROOT, check=True)
    return BINARY


@pytest.fixture
def deployment(
    binary: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[Deployment]:
    """Start 3 daemons at once from the binary, on an empty SHIV_ROOT."""
    for variable in ("SHIV_ROOT", "HOME", "TMPDIR"):
        (tmp_path / variable).mkdir()
        monkeypatch.setenv(variable, str(tmp_path / variable))
    example = read_example(ROOT / "examples" / "federation.json")
    example = move_to_free_ports(shrink_example(example, 2, 1))
    # Only the stand-ins may import from src. env replaces itself by the daemon, so
    # the process ids are those of the daemons.
    command = ["env", "-u", "PYTHONPATH", sys.executable, str(binary)]
    with run_deployment(example, tmp_path / "logs", command) as running:
        yield running


def list_daemons(deployment: Deployment) -> list[psutil.Process]:
    return [
        psutil.Process(deployment.processes[vm["vm"]].pid)
        for vm in deployment.example["vms"]
    ]


def measure_imports(binary: Path, shiv_root: Path) -> int:
    """Return the resident bytes of a process that only imports the daemon."""
    site = next(shiv_root.glob("cardamomdyke_*")) / "site-packages"
    program = (
        "import cardamomdyke.cli.commands, cardamomdyke.daemon.app, sys\n"
        "print(flush=True)\n"
        "sys.stdin.read()\n"
    )
    with subprocess.Popen(
        [sys.executable, "-c", program],
        env={**os.environ, "PYTHONPATH": str(site)},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as process:
        assert process.stdout is not None
        process.stdout.readline()
        resident_bytes: int = psutil.Process(process.pid).memory_info().rss
        process.communicate(b"")
    return resident_bytes


def test_binary_serves_without_children_and_bounded(
    binary: Path, deployment: Deployment, tmp_path: Path
) -> None:
    """Guards against child processes, files outside SHIV_ROOT and growing memory."""
    shiv_root = tmp_path / "SHIV_ROOT"
    assert send_requests(deployment) > 0
    for daemon in list_daemons(deployment):
        assert daemon.children(recursive=True) == []
        maps = [entry.path for entry in daemon.memory_maps()]
        assert any(path.startswith(str(shiv_root)) for path in maps)
        assert not any(str(ROOT / "src") in path for path in maps)
    unpacked = [path for path in shiv_root.iterdir() if path.is_dir()]
    assert len(unpacked) == 1
    assert not unpacked[0].name.endswith(".tmp")
    assert list((tmp_path / "HOME").iterdir()) == []
    assert list((tmp_path / "TMPDIR").iterdir()) == []
    import_bytes = measure_imports(binary, shiv_root)
    for _ in range(REQUEST_ROUNDS):
        send_requests(deployment)
    for daemon in list_daemons(deployment):
        added_bytes = daemon.memory_info().rss - import_bytes
        print(f"imports {import_bytes / 1e6:.1f} MB, added {added_bytes / 1e6:.1f} MB")
        assert added_bytes < MAX_ADDED_BYTES
