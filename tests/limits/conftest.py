"""Daemons with the limits of the crowd tests."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from cardamomdyke_standins.deployment import Deployment
from cardamomdyke_standins.nodes import Nodes, run_nodes
from tests.limits.test_crowds import LIMITS, REQUEST_LIMITS
from tests.limits.test_daemon_crowds import run_small_example


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Nodes]:
    """Run one daemon of the platform."""
    with run_nodes(
        tmp_path, 1, 1, vm_limits=LIMITS, request_limits=REQUEST_LIMITS
    ) as nodes:
        yield nodes


@pytest.fixture
def daemon(tmp_path: Path) -> Iterator[Deployment]:
    """Run one daemon of the product."""
    with run_small_example(tmp_path) as deployment:
        yield deployment
