"""End-to-end runs of the shipped examples, each with separate processes."""

import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from msgspec.json import encode

from cardamomdyke_standins.deployment import (
    move_to_free_ports,
    read_example,
    release_ports,
)

ROOT = Path(__file__).parents[2]
COMMAND = [sys.executable, "-m", "cardamomdyke_standins.example"]


@pytest.mark.processes
@pytest.mark.parametrize("example", ["federation", "trust"])
def test_example_runs_to_a_clean_stop(example: str, tmp_path: Path) -> None:
    """Guards against faults anywhere between callers and backend servers."""
    result = subprocess.run(
        [
            sys.executable,
            "-m",
            "cardamomdyke_standins.example",
            example,
            f"--logs={tmp_path}",
            "--free_ports",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=300,
        check=False,
    )
    assert result.returncode == 0, result.stdout + result.stderr
    assert "finished, 16 answers" in result.stdout
    assert "exit codes [0]" in result.stdout


@pytest.fixture
def moved_example(tmp_path: Path) -> Iterator[Path]:
    """Write the federation example with reserved ports; return its path.

    The path has no suffix, as the command adds it.
    """
    example = move_to_free_ports(read_example(ROOT / "examples" / "federation.json"))
    (tmp_path / "moved.json").write_bytes(encode(example))
    yield tmp_path / "moved"
    release_ports(example)


def run_refused(example: Path) -> str:
    """Run an example whose ports are taken; return its standard error."""
    logs = example.parent / "refused"
    result = subprocess.run(
        [*COMMAND, str(example), f"--logs={logs}", "--keep"],
        cwd=ROOT,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert result.returncode == 1, result.stdout + result.stderr
    assert "Traceback" not in result.stderr
    assert not logs.exists(), "a process was started"
    return result.stderr


@pytest.mark.processes
def test_taken_port_is_named(moved_example: Path) -> None:
    """Guards against daemons of one deployment that join another one.

    A second example put its tables into force on the daemons of the first, and
    ended in a traceback.
    """
    example = read_example(moved_example.with_suffix(".json"))
    host, _, port = example["log_address"].rpartition(":")
    with socket.create_server((host, int(port))):
        text = run_refused(moved_example)
    assert text.startswith(f"invalid_setting: {host}:{port} is in use; ")
    assert "--free_ports" in text
