"""End-to-end runs of the shipped examples, each with separate processes."""

import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import psutil
import pytest
from msgspec.json import encode

from cardamomdyke_standins.deployment import (
    move_to_free_ports,
    read_example,
    release_ports,
    wait_until,
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


@contextmanager
def keep_example(example: Path) -> Iterator[subprocess.Popen[str]]:
    """Run an example with ``--keep``; end what is left of it afterwards."""
    process = subprocess.Popen(
        [*COMMAND, str(example), f"--logs={example.parent / 'logs'}", "--keep"],
        cwd=ROOT,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    children: list[psutil.Process] = []
    try:
        yield process
    finally:
        if process.poll() is None:
            children = psutil.Process(process.pid).children(recursive=True)
            process.kill()
        for child in children:
            child.kill()
        process.communicate()


def check_stopped(children: list[psutil.Process]) -> None:
    """Check that no process is left; end those that are."""
    left = [child for child in children if child.is_running()]
    names = [" ".join(child.cmdline()) for child in left]
    for child in left:
        child.kill()
    assert names == []


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


@pytest.mark.processes
def test_second_example_is_refused_and_the_first_stops_on_a_signal(
    moved_example: Path,
) -> None:
    """Guards against processes that outlive an example ended by SIGTERM."""
    with keep_example(moved_example) as process:
        assert process.stdout is not None
        for line in process.stdout:
            if "serving callers" in line:
                break
        text = run_refused(moved_example)
        words = text.split()
        assert words[1] in moved_example.with_suffix(".json").read_text()
        assert "--free_ports" in words
        assert process.poll() is None, "the first deployment was disturbed"
        children = psutil.Process(process.pid).children(recursive=True)
        assert children
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=120)
        check_stopped(children)
    assert process.returncode == 0, output
    assert "exit codes [0]" in output
    assert (moved_example.parent / "logs" / "timeline.txt").exists()


@pytest.mark.processes
def test_example_stops_on_a_signal_while_it_starts(moved_example: Path) -> None:
    """Guards against processes that outlive an example that was not yet up."""
    with keep_example(moved_example) as process:
        wait_until((moved_example.parent / "logs" / "vmlist.log").exists)
        # Stopped, so that it starts no process that the list does not hold.
        process.send_signal(signal.SIGSTOP)
        children = psutil.Process(process.pid).children(recursive=True)
        assert children
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGCONT)
        output, _ = process.communicate(timeout=120)
        check_stopped(children)
    assert process.returncode == 130, output
    assert "Traceback" not in output
