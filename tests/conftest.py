"""Hooks that mark the tests listed in KNOWN-RED.txt as expected failures."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red() -> set[str]:
    """Return the test ids listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", KNOWN_RED.read_text(), re.MULTILINE))


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Mark exactly the listed tests, so that their failure does not fail the run."""
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the ids of the listed tests."""
    for test in sorted(read_known_red()):
        terminalreporter.write_line(f"known red: {test}")
