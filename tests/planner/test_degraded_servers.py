"""Servers that the planner finds degraded by the progress of their runs."""

import pytest

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.world import World

SERVER = Shape(32_000, 65_536, 8)
SERVERS = 12
# With the lowest name of all that are free, so that best fit would take it.
DEGRADED = "s00"
SPREAD = StepOrder(24, Shape(1000, 100, 1), 8.0, server_limit=2)
URGENT = StepOrder(4, Shape(1000, 100, 6), 1.0, gang=True)
FIRST, SECOND, THIRD = (f"{number:016x}" for number in (1, 2, 3))


def make_world(step: StepOrder = SPREAD, seconds: float = 14.0) -> World:
    """Return a world in which a step runs on all servers."""
    world = World()
    for number in range(SERVERS):
        world.add_server(f"s{number:02}", SERVER)
    world.take_over()
    world.run_for(1.0)
    world.submit(FIRST, [(step, StepPlan(seconds, step.count))], priority=2)
    world.run_for(4.0)
    return world


def change_speed(world: World, slowness: float, names: tuple[str, ...]) -> None:
    for name in names:
        world.cluster.servers[name].change_speed(slowness, world.now)


def list_notes(world: World, kind: str) -> list[tuple[str, str]]:
    return [
        (note.subject, str(note.facts["by"]))
        for note in world.notes
        if note.kind == kind
    ]


def submit_urgent(world: World, job_id: str) -> set[str]:
    """Submit an urgent gang and return its servers."""
    world.submit(job_id, [(URGENT, StepPlan(1.0, 4, gang=True))], priority=0)
    world.run_for(0.8)
    servers = {
        server.name
        for server in world.cluster.servers.values()
        for run in server.runs.values()
        if run.task.job_id == job_id
    }
    assert len(servers) == URGENT.count
    return servers


def test_urgent_gang_avoids_a_server_that_has_just_slowed() -> None:
    """Guards against urgent work on a degraded server, and against a lasting mark."""
    world = make_world()
    assert DEGRADED in submit_urgent(world, SECOND)
    world.run_for(2.0)
    change_speed(world, 7.0, (DEGRADED,))
    world.run_for(2.7)
    assert list_notes(world, "server.slow") == [(DEGRADED, "progress")]
    assert world.planner.state.learning.count_slow() == 1
    assert DEGRADED not in submit_urgent(world, THIRD)
    change_speed(world, 1.0, (DEGRADED,))
    world.run_for(2.7)
    assert list_notes(world, "server.usual") == [(DEGRADED, "progress")]
    world.run_for(10.0)
    assert world.find_phase(FIRST) is JobPhase.COMPLETED
    assert world.violations == []


def test_new_planner_finds_it_by_inherited_runs() -> None:
    """Guards against a planner that only learns from the runs that it started."""
    world = make_world(seconds=30.0)
    change_speed(world, 7.0, (DEGRADED,))
    world.take_over()
    world.run_for(4.5)
    assert list_notes(world, "server.slow")[-1] == (DEGRADED, "progress")
    assert world.planner.state.learning.count_slow() == 1


def test_mark_ends_without_runs() -> None:
    """Guards against a server that stays last, since it gets no work to recover."""
    world = make_world()
    change_speed(world, 7.0, (DEGRADED,))
    world.run_for(2.7)
    assert list_notes(world, "server.slow") == [(DEGRADED, "progress")]
    world.cancel(FIRST)
    world.run_for(7.0)
    assert list_notes(world, "server.usual") == [(DEGRADED, "progress")]


def test_server_that_is_gone_is_forgotten() -> None:
    """Guards against marks of servers that no longer exist."""
    world = make_world()
    change_speed(world, 7.0, (DEGRADED,))
    world.run_for(2.7)
    world.cluster.servers[DEGRADED].restart(world.now)
    world.set_capacity(DEGRADED, 4)
    world.list_server(DEGRADED)
    world.run_for(1.0)
    assert list_notes(world, "server.usual") == [(DEGRADED, "progress")]
    assert world.planner.state.learning.progress.marks == {}


@pytest.mark.parametrize("fault", ["all", "frozen", "cut"])
def test_faults_that_are_no_slowness_mark_no_server(fault: str) -> None:
    """Guards against a pool, a pause or lost answers taken for a degraded server."""
    world = make_world(seconds=20.0)
    names = tuple(world.cluster.servers)
    if fault == "all":
        change_speed(world, 7.0, names)
    elif fault == "frozen":
        world.planner.frozen_until = world.now + 2.0
    else:
        world.planner.cut.add(DEGRADED)
        world.run_for(1.5)
        world.planner.cut.clear()
    world.run_for(6.0)
    assert list_notes(world, "server.slow") == []
    assert world.find_phase(FIRST) is not None


def test_restored_and_long_running_tasks_are_no_evidence() -> None:
    """Guards against percentages that tell no rate."""
    long_running = StepOrder(24, Shape(1000, 100, 1), 8.0, long_running=True)
    world = make_world(long_running, 2e5)
    assert world.planner.state.learning.progress.servers == {}
    world = make_world(seconds=30.0)
    for job in world.planner.state.jobs.values():
        for unit in job.units.values():
            assert unit.attempt is not None
            unit.attempt.checkpoint = "saved"
    change_speed(world, 7.0, (DEGRADED,))
    world.run_for(5.0)
    assert list_notes(world, "server.slow") == []
