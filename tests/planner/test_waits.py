"""Each rule that keeps accepted work from starting has an end."""

import pytest

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.orders import TaskId
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.crash_world import CrashWorld
from tests.planner.test_planner import JOB, SERVER, make_step

LASTING = StepPlan(1e6)


def make_used_racks() -> CrashWorld:
    """Return 22 servers in three racks, each with lasting work and much room."""
    world = CrashWorld()
    for number in range(22):
        world.add_server(f"s{number:02}", SERVER, f"r{number // 8}")
    world.take_over(remote_factor=3.0)
    world.run_for(1.0)
    spread = make_step(22, 1, long_running=True, server_limit=1)
    world.submit("00000000000000c1", [(spread, LASTING)])
    world.run_for(2.0)
    for number in range(2):
        step = make_step(
            2, 4, long_running=True, data_rack=f"r{number}", server_limit=1
        )
        world.submit(f"00000000000000c{number + 2}", [(step, LASTING)])
    world.run_for(4.0)
    return world


def crash_server_of(world: CrashWorld, job_id: str) -> None:
    """Crash one server that runs a task of a job."""
    name = next(
        name
        for name, server in world.cluster.servers.items()
        for run in server.runs.values()
        if run.task.job_id == job_id
    )
    world.crash_server(name)


@pytest.mark.parametrize("loses_all_vms", [False, True])
@pytest.mark.parametrize("priority", [0, 1])
def test_suspect_gang_does_not_wait_for_one_rack(
    priority: int, loses_all_vms: bool
) -> None:
    """Guards against a gang that never starts again after a crash of its server."""
    world = make_used_racks()
    gang = make_step(7, 4, gang=True, rack_sensitive=True)
    world.submit(JOB, [(gang, StepPlan(6.0, 7, gang=True))], priority)
    while not world.starts.get(TaskId(JOB, 0, 0, 0)):
        world.run_for(0.1)
    world.run_for(0.3)
    crash_server_of(world, JOB)
    if loses_all_vms:
        world.run_for(1.0)
        world.planner.alive = False
        world.take_over(remote_factor=3.0)
    world.run_for(40.0)
    assert world.find_phase(JOB) is JobPhase.COMPLETED
    assert world.violations == []
