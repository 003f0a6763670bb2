"""Choice of the work that is stopped for urgent jobs."""

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.orders import Shape, StepOrder, TaskId
from cardamomdyke_standins.platform_server import Run, StepPlan
from tests.planner.world import World

SERVER = Shape(32_000, 65_536, 8)
JOB = "00000000000000a1"
OTHER = "00000000000000b2"
URGENT = "00000000000000c3"


def make_world(servers: int) -> World:
    world = World()
    for number in range(servers):
        world.add_server(f"s{number}", SERVER)
    world.take_over()
    world.run_for(1.0)
    return world


def make_step(count: int, accelerators: int, **fields: object) -> StepOrder:
    return StepOrder(count, Shape(1000, 100, accelerators), 1.0, **fields)


def list_runs(world: World, job_id: str) -> list[Run]:
    return [
        run
        for server in world.cluster.servers.values()
        for run in server.runs.values()
        if run.task.job_id == job_id
    ]


def count_starts(world: World, job_id: str, index: int = 0) -> int:
    return len(world.starts[TaskId(job_id, 0, 0, index)])


def test_work_that_saves_at_a_stop_is_stopped_first() -> None:
    """Guards against stops that lose work although others would lose none.

    Work since the last checkpoint counted as lost, but a stopped run saves it.
    """
    world = make_world(2)
    saving = make_step(1, 8, checkpointing=True)
    world.submit(JOB, [(saving, StepPlan(60.0, saves=True))], priority=1)
    world.run_for(1.5)
    world.submit(OTHER, [(make_step(1, 8), StepPlan(60.0))], priority=1)
    world.run_for(0.4)
    world.submit(URGENT, [(make_step(1, 8), StepPlan(1.0))], priority=0)
    world.run_for(4.5)
    assert count_starts(world, OTHER) == 1
    (run,) = list_runs(world, JOB)
    # Its whole work up to the stop, not only up to the last period of 1 s.
    assert run.saved_work > 1.9
    (note,) = [note for note in world.notes if note.kind == "unit.preempted"]
    assert note.facts["saves"] and note.facts["lost"] == 0
    assert world.violations == []


def test_gang_resumes_from_the_checkpoint_of_its_stop() -> None:
    """Guards against the older checkpoints of members that a stopped one ended."""
    world = make_world(2)
    saving = make_step(2, 8, checkpointing=True, gang=True)
    plan = StepPlan(60.0, 2, True, saves=True)
    world.submit(JOB, [(saving, plan)], priority=1)
    world.run_for(1.5)
    world.submit(URGENT, [(make_step(1, 8), StepPlan(1.0))], priority=0)
    world.run_for(4.0)
    assert {run.run for run in list_runs(world, JOB)} == {2}
    assert min(run.saved_work for run in list_runs(world, JOB)) > 1.5
    assert world.violations == []


def test_work_is_not_stopped_twice_in_a_row() -> None:
    """Guards against a job that starves, since its new run always loses least."""
    world = make_world(2)
    step = make_step(1, 8)
    world.submit(OTHER, [(step, StepPlan(60.0))], priority=1)
    world.run_for(0.3)
    world.submit(JOB, [(step, StepPlan(60.0))], priority=1)
    world.run_for(0.5)
    world.submit(URGENT, [(step, StepPlan(1.0))], priority=0)
    while count_starts(world, JOB) < 2:
        world.run_for(0.1)
    # Its loss is now over half of that of the work that was never stopped.
    world.run_for(6.0)
    world.submit("00000000000000d4", [(step, StepPlan(1.0))], priority=0)
    world.run_for(1.5)
    assert list_runs(world, JOB) and not list_runs(world, OTHER)
    assert world.violations == []


def start_nearly_done(world: World, **fields: object) -> None:
    """Start a run of 3 s, and submit an urgent job 0.2 s before its end."""
    step = make_step(1, 8, **fields)
    world.submit(JOB, [(step, StepPlan(3.0))], priority=1)
    while not list_runs(world, JOB):
        world.run_for(0.05)
    world.run_for(2.8)
    world.submit(URGENT, [(make_step(1, 8), StepPlan(60.0))], priority=0)


def test_work_that_ends_as_soon_as_by_a_stop_is_waited_for() -> None:
    """Guards against whole runs that are thrown away for capacity no sooner free."""
    world = make_world(1)
    start_nearly_done(world)
    world.run_for(0.6)
    assert list_runs(world, URGENT)
    assert count_starts(world, JOB) == 1
    kinds = {note.kind for note in world.notes}
    assert "unit.awaited" in kinds and "unit.preempted" not in kinds
    assert world.violations == []


def test_run_that_stands_still_close_to_its_end_is_stopped() -> None:
    """Guards against an urgent job that waits for an end that does not come."""
    world = make_world(1)
    start_nearly_done(world)
    (run,) = list_runs(world, JOB)
    run.plan.seconds = 60.0
    run.measure_percent = lambda now, slowness: 97.0  # type: ignore[method-assign]
    world.run_for(2.0)
    assert list_runs(world, URGENT)
    assert world.violations == []


def test_stops_under_load_and_over_a_takeover_lose_no_work() -> None:
    """Guards against lost work while enough of what runs saves checkpoints.

    Urgent gangs arrive each 0.8 s on a full pool, and the planner changes halfway.
    """
    world = make_world(8)
    saving = (make_step(32, 1, checkpointing=True), StepPlan(90.0, 32, saves=True))
    world.submit(JOB, [saving], priority=2)
    world.run_for(0.3)
    world.submit(OTHER, [(make_step(32, 1), StepPlan(90.0, 32))], priority=2)
    world.run_for(0.6)
    urgent = [f"{number:016x}" for number in range(1, 9)]
    for number, job_id in enumerate(urgent):
        if number == 4:
            world.planner.alive = False
            world.take_over()
        gang = (make_step(4, 4, gang=True), StepPlan(0.5, 4, True))
        world.submit(job_id, [gang], priority=0)
        world.run_for(0.8)
    world.run_for(6.0)
    assert {world.find_phase(job_id) for job_id in urgent} == {JobPhase.COMPLETED}
    assert [note for note in world.notes if note.kind == "unit.preempted"]
    assert {count_starts(world, OTHER, index) for index in range(32)} == {1}
    assert world.violations == []
