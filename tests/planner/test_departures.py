"""Work on servers that are taken away at short notice."""

import pytest

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.test_victims import JOB, count_starts, list_runs, make_world
from tests.planner.world import World

GANG = StepOrder(2, Shape(1000, 100, 8), 4.0, gang=True)
NOTICE_SECONDS = 1.5


def run_gang(seconds: float) -> World:
    """Return a world in which a gang has just begun on two of four servers."""
    world = make_world(4)
    plan = StepPlan(seconds, GANG.count, gang=True)
    world.submit(JOB, [(GANG, plan)], priority=0)
    world.run_for(0.5)
    assert len(list_runs(world, JOB)) == GANG.count
    return world


def announce_departure(world: World, notice: float) -> str:
    """Let a server of the gang drain, and return its name."""
    name = next(server.name for server in world.cluster.servers.values() if server.runs)
    world.list_server(name, draining=True, notice=notice)
    return name


def test_gang_leaves_a_server_before_it_is_taken_away() -> None:
    """Guards against urgent gangs that wait for the leases of a server that left."""
    world = run_gang(4.0)
    name = announce_departure(world, NOTICE_SECONDS)
    world.run_for(NOTICE_SECONDS)
    world.cluster.servers[name].crash(world.now)
    del world.listed[name]
    assert count_starts(world, JOB) == 2
    assert name not in {
        server.name for server in world.cluster.servers.values() if server.runs
    }
    world.run_for(5.0)
    assert world.find_phase(JOB) is JobPhase.COMPLETED
    assert world.violations == []


@pytest.mark.parametrize(("seconds", "notice"), [(1.5, NOTICE_SECONDS), (4.0, 5.0)])
def test_gang_stays_where_it_can_end_or_notice_is_long(
    seconds: float, notice: float
) -> None:
    """Guards against stops of work that would end before its server leaves."""
    world = run_gang(seconds)
    # By the progress seen before the notice, the short gang ends in time.
    world.run_for(0.7)
    announce_departure(world, notice)
    world.run_for(5.0)
    assert count_starts(world, JOB) == 1
    assert world.find_phase(JOB) is JobPhase.COMPLETED
    assert world.violations == []


def test_new_planner_moves_work_that_it_finds_on_a_leaving_server() -> None:
    """Guards against a takeover during the notice that leaves the gang there."""
    world = run_gang(8.0)
    name = announce_departure(world, NOTICE_SECONDS)
    world.take_over()
    world.run_for(1.2)
    assert name not in {
        server.name for server in world.cluster.servers.values() if server.runs
    }
    assert world.violations == []
