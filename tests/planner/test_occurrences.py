"""Scheduled jobs, tasks that last, and work that waits for its data's rack."""

from itertools import pairwise

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.orders import Shape, StepOrder, TaskId
from cardamomdyke.planner.seeking import MAX_RACK_WAIT_SECONDS
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.test_planner import JOB, OTHER, SERVER, make_step, make_world
from tests.planner.world import Schedule, World

# How long a lasting task may be away in calm times, by the platform's rules.
AWAY_SECONDS = 3.0
LASTING = StepPlan(1e6)


def list_starts(world: World, occurrence: int) -> list[float]:
    return world.starts.get(TaskId(JOB, occurrence, 0, 0), [])


def make_lasting(count: int = 1, accelerators: int = 8, **fields: object) -> StepOrder:
    return make_step(count, accelerators, long_running=True, **fields)


def test_occurrences_start_when_they_are_due() -> None:
    """Guards against occurrences that start early, late or not at all."""
    world = make_world()
    schedule = Schedule(3, delay=2.0, interval=4.0)
    began = world.now
    steps = [(make_step(1, 1), StepPlan(1.0))]
    world.submit(JOB, steps, schedule=schedule)
    world.run_for(1.5)
    assert world.find_phase(JOB) is JobPhase.QUEUED
    world.run_for(13.0)
    for occurrence in range(3):
        (start,) = list_starts(world, occurrence)
        assert 0.0 <= start - began - 2.0 - 4.0 * occurrence <= 0.5
    assert world.find_phase(JOB) is JobPhase.COMPLETED
    assert world.violations == []


def test_occurrences_overlap_a_takeover() -> None:
    """Guards against a new planner that repeats or forgets occurrences."""
    world = make_world()
    steps = [(make_step(1, 1), StepPlan(3.0))]
    world.submit(JOB, steps, schedule=Schedule(4, interval=2.0))
    world.run_for(4.5)
    world.planner.alive = False
    world.take_over()
    world.run_for(12.0)
    assert [len(list_starts(world, number)) for number in range(4)] == [1, 1, 1, 1]
    assert world.find_phase(JOB) is JobPhase.COMPLETED
    assert world.violations == []


def test_planner_with_a_late_clock_keeps_open_occurrences() -> None:
    """Guards against runs that a planner with a later clock takes for unknown."""
    world = make_world()
    steps = [(make_step(1, 1), StepPlan(6.0))]
    world.submit(JOB, steps, schedule=Schedule(2, interval=3.0))
    world.run_for(4.0)
    world.planner.alive = False
    planner = world.take_over(unix_offset=-5.0)
    world.run_for(1.0)
    assert planner.state.jobs[JOB].next_occurrence == 2
    world.run_for(12.0)
    assert [len(list_starts(world, number)) for number in range(2)] == [1, 1]
    assert world.find_phase(JOB) is JobPhase.COMPLETED


def test_lasting_task_starts_again_however_it_ends() -> None:
    """Guards against an end that counts as done or as a failed attempt."""
    world = make_world()
    plan = StepPlan(2.0, failing_runs=2)
    world.submit(JOB, [(make_lasting(), plan)], attempt_limit=1)
    world.run_for(12.0)
    starts = list_starts(world, 0)
    assert len(starts) >= 4
    gaps = [later - earlier - 2.0 for earlier, later in pairwise(starts)]
    assert max(gaps) < AWAY_SECONDS
    assert world.find_phase(JOB) is JobPhase.RUNNING
    world.cancel(JOB)
    world.run_for(3.0)
    assert world.find_phase(JOB) is JobPhase.CANCELLED
    assert not any(server.runs for server in world.hall.servers.values())


def test_lasting_task_displaces_other_work() -> None:
    """Guards against a lasting task that waits while its pool is full."""
    world = make_world(1)
    world.submit(OTHER, [(make_step(8, 1), StepPlan(60.0, 8))], priority=1)
    world.run_for(2.0)
    world.submit(JOB, [(make_lasting(1, 4), LASTING)], priority=2)
    world.run_for(AWAY_SECONDS)
    assert len(list_starts(world, 0)) == 1
    world.run_for(4.0)
    runs = world.hall.servers["s0"].runs.values()
    assert sum(run.task.job_id == OTHER for run in runs) == 4
    assert len(list_starts(world, 0)) == 1


def test_lasting_task_with_a_limit_of_absences_is_not_displaced() -> None:
    """Guards against stops that take away more tasks than the job allows."""
    world = make_world(1, guaranteed=8)
    steps = [(make_lasting(1, 8, absence_limit=1), LASTING)]
    world.submit(JOB, steps, priority=2)
    world.run_for(2.0)
    urgent = [(make_step(1, 8), StepPlan(1.0))]
    world.submit(OTHER, urgent, priority=0, account="owner")
    world.run_for(4.0)
    (run,) = world.hall.servers["s0"].runs.values()
    assert run.task.job_id == JOB


def test_lasting_task_leaves_a_draining_server() -> None:
    """Guards against a lasting task that waits for its server's end."""
    world = make_world(2)
    world.submit(JOB, [(make_lasting(), LASTING)])
    world.run_for(2.0)
    (first,) = [name for name, item in world.hall.servers.items() if item.runs]
    world.list_server(first, draining=True)
    world.run_for(AWAY_SECONDS)
    (second,) = [name for name, item in world.hall.servers.items() if item.runs]
    assert second != first
    assert world.violations == []


def make_racks() -> World:
    world = World()
    world.add_server("near", SERVER, "r1")
    world.add_server("far", SERVER, "r2")
    world.take_over(remote_factor=3.0)
    world.run_for(1.0)
    return world


def find_place(world: World, job_id: str) -> str:
    return next(
        name
        for name, server in world.hall.servers.items()
        for run in server.runs.values()
        if run.task.job_id == job_id
    )


def test_work_runs_in_the_rack_of_its_data() -> None:
    """Guards against work far from its data while its rack has room."""
    world = make_racks()
    step = StepOrder(1, Shape(1000, 100, 1), 2.0, data_rack="r1")
    world.submit(OTHER, [(make_step(1, 1), StepPlan(60.0))])
    world.run_for(0.5)
    for job_id in (JOB, "00000000000000c3"):
        world.submit(job_id, [(step, StepPlan(60.0))])
    world.run_for(1.0)
    assert find_place(world, JOB) == "near"
    assert find_place(world, "00000000000000c3") == "near"


def test_work_waits_for_the_rack_of_its_data_but_not_for_good() -> None:
    """Guards against work that waits for its rack longer than that can save."""
    world = make_racks()
    full = StepOrder(1, Shape(1000, 100, 8), 60.0, data_rack="r1")
    step = StepOrder(1, Shape(1000, 100, 1), 2.0, data_rack="r1")
    world.submit(OTHER, [(full, StepPlan(60.0))])
    world.run_for(1.0)
    world.submit(JOB, [(step, StepPlan(60.0))])
    world.run_for(MAX_RACK_WAIT_SECONDS - 0.5)
    assert list_starts(world, 0) == []
    world.run_for(1.0)
    assert find_place(world, JOB) == "far"
