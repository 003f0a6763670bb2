"""Use of run times and server speeds that the planner has learned."""

from dataclasses import replace

import pytest

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.orders import JobOrder, Shape, StepOrder, TaskId
from cardamomdyke.model.queues import Account
from cardamomdyke.planner.drafts import Draft
from cardamomdyke.planner.ordering import rank_jobs
from cardamomdyke.planner.slack import prefers_usual_servers
from cardamomdyke.planner.state import Job, PlannerState, make_units
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.test_headroom import make_job
from tests.planner.world import World

SERVER = Shape(32_000, 65_536, 8)
RACKS = 3
RACK_SERVERS = 5
SLOW_RACK = "r0"
# Wider than two racks: a step that fits into one is placed there, so that its tasks
# say nothing about the servers of others.
WIDE = StepOrder(100, Shape(1000, 100, 1), 1.0)
URGENT = StepOrder(4, Shape(1000, 100, 8), 1.0, gang=True, rack_sensitive=True)
FIRST, SECOND, THIRD, FOURTH = (f"{number:016x}" for number in (1, 2, 3, 4))


def make_world() -> World:
    """Return a world in which the servers of the first rack are slow."""
    world = World()
    world.accounts = (Account("a", frozenset(), 0),)
    for number in range(RACKS * RACK_SERVERS):
        rack = f"r{number % RACKS}"
        server = world.add_server(f"s{number:02}", SERVER, rack)
        server.slowness = 1.5 if rack == SLOW_RACK else 1.0
    world.take_over()
    world.run_for(1.0)
    return world


def run_wide_steps(world: World) -> None:
    """Run wide steps that fill all servers several times over."""
    for number in range(18):
        plan = StepPlan(1.5 + 0.1 * (number % 5), WIDE.count)
        world.submit(f"{number + 256:016x}", [(WIDE, plan)], priority=2)
        world.run_for(0.3)
    world.run_for(40.0)


def submit_urgent(world: World, job_id: str) -> set[str]:
    """Submit an urgent gang and return the racks in which it runs."""
    world.submit(job_id, [(URGENT, StepPlan(1.0, 4, gang=True))], priority=0)
    world.run_for(0.8)
    racks = [
        server.rack
        for server in world.cluster.servers.values()
        for run in server.runs.values()
        if run.task.job_id == job_id
    ]
    assert len(racks) == URGENT.count
    return set(racks)


def list_notes(world: World, kind: str) -> list[str]:
    return [note.subject for note in world.notes if note.kind == kind]


@pytest.fixture(scope="module")
def learned_world() -> World:
    world = make_world()
    run_wide_steps(world)
    return world


def test_slow_servers_are_logged_once(learned_world: World) -> None:
    """Guards against slowness that does not reach the planner, or floods the log."""
    slow = [f"s{number:02}" for number in range(0, RACKS * RACK_SERVERS, RACKS)]
    assert sorted(list_notes(learned_world, "server.slow")) == slow
    assert list_notes(learned_world, "server.usual") == []
    learning = learned_world.planner.state.learning
    assert learning.count_slow() == RACK_SERVERS
    estimate = learning.runtimes.estimate("q", 1.0)
    assert 1.4 < estimate.seconds < 2.2


def test_urgent_gang_avoids_slow_servers_and_uses_them_at_need() -> None:
    """Guards against urgent gangs that run slowly beside room, or wait beside it."""
    world = make_world()
    run_wide_steps(world)
    assert SLOW_RACK not in submit_urgent(world, FIRST)
    world.run_for(3.0)
    for server in world.cluster.servers.values():
        server.draining = server.rack != SLOW_RACK
        world.list_server(server.name, server.draining)
    world.run_for(0.5)
    assert submit_urgent(world, SECOND) == {SLOW_RACK}
    assert world.violations == []


def test_after_a_takeover_nothing_is_known_and_all_work_starts() -> None:
    """Guards against a new planner that needs what the former one had learned."""
    world = make_world()
    run_wide_steps(world)
    world.take_over()
    assert world.planner.state.learning.speeds == {}
    world.run_for(1.0)
    submit_urgent(world, THIRD)
    world.submit(FOURTH, [(WIDE, StepPlan(1.0, WIDE.count))], priority=2)
    world.run_for(2.0)
    started = [
        TaskId(FOURTH, 0, 0, index) in world.starts for index in range(WIDE.count)
    ]
    assert all(started)
    assert world.violations == []


def test_runs_of_unknown_duration_teach_nothing() -> None:
    """Guards against runs that seem short, since a takeover hides their start."""
    world = make_world()
    world.submit(FIRST, [(WIDE, StepPlan(6.0, WIDE.count))], priority=2)
    world.run_for(1.0)
    world.take_over()
    world.run_for(12.0)
    learning = world.planner.state.learning
    assert world.find_phase(FIRST) is JobPhase.COMPLETED
    assert learning.speeds == {}
    assert learning.runtimes.errors == {}


def test_replaced_server_is_forgotten() -> None:
    """Guards against a server that inherits the slowness of another machine."""
    world = make_world()
    run_wide_steps(world)
    world.cluster.servers["s00"].restart(world.now)
    world.list_server("s00")
    world.run_for(1.0)
    assert list_notes(world, "server.usual") == []
    world.cluster.servers["s00"].restart(world.now)
    world.set_capacity("s00", 4)
    world.list_server("s00")
    del world.listed["s03"]
    world.run_for(1.0)
    assert sorted(list_notes(world, "server.usual")) == ["s00", "s03"]
    assert world.planner.state.learning.count_slow() == RACK_SERVERS - 2


def test_work_with_little_slack_prefers_usual_servers() -> None:
    """Guards against a preference for work with time to spare, or late anyway."""
    state: PlannerState = make_world().planner.state
    step = StepOrder(1, Shape(1000, 100, 1), 8.0)
    later = replace(step, after=(0,))
    job = make_job(step, 2)
    record = replace(
        job.record, order=JobOrder("", (step, later)), accepted_at=state.unix_offset
    )
    units = make_units(record, 0)
    chain = Job(record, 0.0, units)
    unit = units[0, 0, 0]

    def prefers(now: float) -> bool:
        ranks = rank_jobs(state, [chain], now, state.learning.estimate_seconds)
        return prefers_usual_servers(Draft(state, now, ranks=ranks), chain, unit)

    # Due at 3 times 16 s and 1 s; 16 s remain, and a slow server takes 4 s more.
    assert [prefers(now) for now in (0.0, 28.0, 30.0, 32.0, 34.0)] == [
        False,
        False,
        True,
        True,
        False,
    ]
    assert prefers_usual_servers(Draft(state, 0.0), make_job(step, 0), unit)
