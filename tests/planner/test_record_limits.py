"""Jobs whose progress exceeds the store's largest record, and takeovers of them."""

from collections.abc import Callable

import pytest

from cardamomdyke.jobs.layout import RecordLimits
from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.orders import TaskId
from cardamomdyke.planner import recording
from cardamomdyke.planner.recording import REFUSED_WAIT_SECONDS
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.test_planner import JOB, OTHER, make_step, make_world
from tests.planner.world import Schedule, World

SERVER_NAME = "s0"
LIMITS = RecordLimits(160, 1000)


def make_small_world(servers: int = 4) -> World:
    world = make_world(servers)
    world.record_limits = LIMITS
    return world


def submit_wide(world: World) -> None:
    steps = [
        (make_step(24, 1), StepPlan(4.0, 24)),
        (make_step(8, 1, after=(0,)), StepPlan(2.0, 8)),
    ]
    world.submit(JOB, steps)


def submit_saving(world: World, length: int) -> None:
    plan = StepPlan(6.0, 8, saves=True, checkpoint_length=length)
    world.submit(JOB, [(make_step(8, 2, checkpointing=True), plan)])


def submit_gang(world: World) -> None:
    step = make_step(24, 1, gang=True)
    world.submit(JOB, [(step, StepPlan(5.0, 24, gang=True))])


def submit_scheduled(world: World) -> None:
    """Submit occurrences of which the first lasts, so that each later one is listed."""
    schedule = Schedule(200, interval=0.05)
    world.submit(JOB, [(make_step(1, 0), StepPlan(0.3))], schedule=schedule)


@pytest.mark.parametrize(
    "submit",
    [
        pytest.param(submit_wide, id="width"),
        pytest.param(lambda world: submit_saving(world, 300), id="checkpoints"),
        pytest.param(lambda world: submit_saving(world, 3000), id="one checkpoint"),
        pytest.param(submit_gang, id="members"),
        pytest.param(submit_scheduled, id="occurrences"),
    ],
)
@pytest.mark.parametrize("compacts", [False, True])
def test_large_job_goes_on_through_takeovers(
    submit: Callable[[World], None], compacts: bool
) -> None:
    """Guards against a job above the limit that stops, repeats or loses work.

    Planners change while it runs, and the store may keep the newest records only.
    """
    world = make_small_world()
    submit(world)
    for _ in range(4):
        world.run_for(1.3)
        if compacts:
            world.compact()
        world.planner.alive = False
        world.take_over()
    world.run_for(30.0)
    assert any(note.kind == "progress.split" for note in world.notes)
    assert world.find_phase(JOB) is JobPhase.COMPLETED
    assert world.violations == []


def test_checkpoint_above_the_limit_survives_a_takeover() -> None:
    """Guards against work that is done again since its checkpoint is too long."""
    world = make_small_world()
    plan = StepPlan(20.0, 1, saves=True, checkpoint_length=5000)
    world.submit(JOB, [(make_step(1, 8, checkpointing=True), plan)])
    world.run_for(6.0)
    # The stop of the run leaves its checkpoint in the planner's records only.
    task = TaskId(JOB, 0, 0, 0)
    (server,) = [item for item in world.cluster.servers.values() if task in item.runs]
    world.list_server(server.name, draining=True)
    server.crash(world.now)
    world.run_for(15.0)
    world.planner.alive = False
    world.take_over()
    world.run_for(5.0)
    runs = [
        item.runs[task] for item in world.cluster.servers.values() if task in item.runs
    ]
    assert [run.saved_work >= 3.0 for run in runs] == [True]
    assert world.violations == []


def test_job_written_over_several_appends_holds_up_no_other() -> None:
    """Guards against records of others that wait for all those of one large job.

    The large one needs a hundred appends, of 0.1 s each in this simulation.
    """
    world = make_small_world()
    plan = StepPlan(2.5, 1, saves=True, checkpoint_length=100_000)
    world.submit(JOB, [(make_step(1, 1, checkpointing=True), plan)])
    world.run_for(3.0)
    world.submit(OTHER, [(make_step(1, 1), StepPlan(0.5))])
    world.run_for(3.0)
    assert world.find_phase(OTHER) is JobPhase.COMPLETED
    assert world.find_phase(JOB) is JobPhase.RUNNING
    world.run_for(15.0)
    assert world.find_phase(JOB) is JobPhase.COMPLETED
    assert world.violations == []


def test_refused_progress_holds_up_no_other_job() -> None:
    """Guards against one job whose records the store refuses and all others wait for.

    The refused job holds no capacity meanwhile, and goes on once the store takes it.
    """
    world = make_small_world(servers=1)
    world.refused_jobs.add(JOB)
    world.submit(JOB, [(make_step(1, 8), StepPlan(1.0))])
    world.run_for(0.5)
    world.submit(OTHER, [(make_step(1, 8), StepPlan(1.0))])
    world.run_for(3.0)
    assert world.find_phase(OTHER) is JobPhase.COMPLETED
    notes = [note for note in world.notes if note.kind == "progress.refused"]
    assert [note.subject for note in notes] == [JOB]
    assert not world.cluster.servers[SERVER_NAME].runs
    world.refused_jobs.clear()
    world.run_for(REFUSED_WAIT_SECONDS + 3.0)
    assert world.find_phase(JOB) is JobPhase.COMPLETED
    assert world.violations == []


def test_end_whose_effect_is_refused_is_not_acknowledged() -> None:
    """Guards against a task that runs again, since its end was acknowledged unrecorded.

    The ends of other jobs before it on the same server are acknowledged.
    """
    world = make_small_world(servers=1)
    world.submit(OTHER, [(make_step(1, 1), StepPlan(0.5))])
    world.submit(JOB, [(make_step(1, 1), StepPlan(1.5))])
    world.run_for(1.0)
    world.refused_jobs.add(JOB)
    world.run_for(3.0)
    server = world.planner.state.servers[SERVER_NAME]
    assert server.processed_end == 2
    assert server.acknowledged == 1
    world.planner.alive = False
    world.take_over()
    world.refused_jobs.clear()
    world.run_for(8.0)
    assert world.find_phase(JOB) is JobPhase.COMPLETED
    assert world.violations == []


def test_progress_that_cannot_be_encoded_holds_up_no_other_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an unexpected error in one job's record that ends each term."""
    plan_records = recording.plan_records

    def fail_for_one(job_id: str, *arguments: object) -> object:
        if job_id == JOB:
            raise OverflowError("an integer is too large")
        return plan_records(job_id, *arguments)  # type: ignore[arg-type]

    monkeypatch.setattr(recording, "plan_records", fail_for_one)
    world = make_small_world(servers=1)
    world.submit(JOB, [(make_step(1, 8), StepPlan(1.0))])
    world.submit(OTHER, [(make_step(1, 8), StepPlan(1.0))])
    world.run_for(4.0)
    assert world.find_phase(OTHER) is JobPhase.COMPLETED
