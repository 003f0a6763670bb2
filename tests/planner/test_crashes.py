"""Tasks that crash backend servers, and sound tasks beside them."""

import pytest

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.crash_world import CrashWorld

SERVER = Shape(32_000, 65_536, 8)
DEADLY = "00000000000000d1"
SOUND = "00000000000000a1"


def make_world(servers: int = 6, **fields: object) -> CrashWorld:
    world = CrashWorld(**fields)
    for number in range(servers):
        world.add_server(f"s{number}", SERVER)
    world.take_over()
    world.run_for(1.0)
    return world


def make_step(count: int, accelerators: int, **fields: object) -> StepOrder:
    return StepOrder(count, Shape(1000, 100, accelerators), 1.0, **fields)


@pytest.mark.parametrize("renames_servers", [False, True])
def test_task_that_crashes_each_server_is_given_up(renames_servers: bool) -> None:
    """Guards against a task that takes down one backend server after the other."""
    world = make_world(renames_servers=renames_servers)
    world.submit(DEADLY, [(make_step(1, 1), StepPlan(1.0, crashing_index=0))])
    world.run_for(60.0)
    assert world.violations == []
    assert world.find_phase(DEADLY) is JobPhase.FAILED
