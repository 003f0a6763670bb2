"""Small deployments of real processes, and steps of all features."""

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, then, when

from cardamomdyke_standins.deployment import (
    Deployment,
    keep_failure_domain,
    move_to_free_ports,
    read_example,
    run_deployment,
    shrink_example,
)
from cardamomdyke_standins.faults import Faults
from tests.processes.world import World

ROOT = Path(__file__).parents[2]
DEPLOYMENT_STEP = "a deployment with {servers:d} backend servers and {vms:d} VMs"


@pytest.fixture
def small_federation(tmp_path: Path) -> Iterator[Deployment]:
    """Run the federation example with 2 backend servers and 1 VM per failure domain."""
    example = read_example(ROOT / "examples" / "federation.json")
    example = move_to_free_ports(shrink_example(example, 2, 1))
    with run_deployment(example, tmp_path) as deployment:
        yield deployment


@pytest.fixture
def two_vms(tmp_path: Path) -> Iterator[Deployment]:
    """Run failure domain gent with 3 backend servers and 2 VMs."""
    example = read_example(ROOT / "examples" / "federation.json")
    example = keep_failure_domain(shrink_example(example, 3, 2), "gent")
    with run_deployment(move_to_free_ports(example), tmp_path) as deployment:
        yield deployment


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    """Create a scenario's state, and stop its processes afterwards."""
    state = World(tmp_path)
    yield state
    state.stop()


@given(parsers.parse(DEPLOYMENT_STEP + " in each failure domain"))
def start_deployment(world: World, servers: int, vms: int) -> None:
    world.start(servers, vms)


@given(
    parsers.parse(
        "a deployment with guarantees and {servers:d} backend servers in each "
        "failure domain"
    )
)
def start_deployment_with_guarantees(world: World, servers: int) -> None:
    world.start(servers, 1, guarantees=True)


@given("callers send requests and gangs")
@when("callers send requests and gangs")
def start_callers(world: World) -> None:
    world.run(world.start_load())
    time.sleep(2.0)


@when(parsers.parse("{seconds:d} seconds pass"))
def wait_seconds(seconds: int) -> None:
    time.sleep(seconds)


@when(parsers.parse('VM "{vm}" is frozen'))
def freeze_vm(world: World, vm: str) -> None:
    world.deployment.processes[vm].send_signal(signal.SIGSTOP)


@when(parsers.parse('VM "{vm}" resumes'))
def resume_vm(world: World, vm: str) -> None:
    world.deployment.processes[vm].send_signal(signal.SIGCONT)


@when(parsers.parse("every backend server loses its next {count:d} answers"))
def lose_answers(world: World, count: int) -> None:
    for pool in world.deployment.example["tables"]["pools"]:
        for server in pool["servers"]:
            world.deployment.set_faults(server["name"], Faults(lose_answers=count))


@when(parsers.parse('operators take failure domain "{domain}" out through "{vm}"'))
def take_domain_out(world: World, domain: str, vm: str) -> None:
    row = world.find_vm(vm)
    world.replies.append(world.run(world.recorder.order_domain(domain, "out", row)))


@when(parsers.parse('operators bring failure domain "{domain}" back through "{vm}"'))
def bring_domain_in(world: World, domain: str, vm: str) -> None:
    row = world.find_vm(vm)
    reply = world.run(world.recorder.order_domain(domain, "in", row))
    assert "version" in reply, reply
    world.restored_at = time.monotonic()


@then("the history violates no guarantee")
def check_history(world: World) -> None:
    world.stop_load()
    violations = world.run(world.recorder.check_history())
    assert violations == []
