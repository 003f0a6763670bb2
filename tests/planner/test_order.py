"""Order of the planner's jobs within a priority and share."""

from dataclasses import replace
from random import Random

import pytest

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.orders import StepOrder
from cardamomdyke.planner.ordering import (
    MAX_DELIVERY_SECONDS,
    describe_job,
    make_outline,
    rank_jobs,
)
from cardamomdyke.planner.progress import add_job
from cardamomdyke.scheduling.objectives import (
    AGING_FACTOR,
    LATE_FACTOR,
    use_declared,
)
from cardamomdyke.scheduling.ordering import Standing
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.test_planner import JOB, OTHER, THIRD, make_step, make_world
from tests.planner.world import Schedule, World

# Jobs of `World` accept 3 times their run time and 1 s.
AGING_SECONDS = 8.0
LASTING = StepPlan(1e6)
HOUR = 3600.0


def make_busy_world(seconds: float = 1e6) -> World:
    """Return a simulation of one server that is in use for a while."""
    world = make_world(1)
    world.submit(THIRD, [(make_step(1, 8), StepPlan(seconds))])
    world.run_for(0.5)
    return world


def make_timed_step(count: int, accelerators: int, seconds: float) -> StepOrder:
    return replace(make_step(count, accelerators), estimated_seconds=seconds)


def submit(world: World, job_id: str, count: int = 1, **fields: object) -> None:
    steps = [(make_step(count, 8), StepPlan(1.0, count))]
    world.submit(job_id, steps, **fields)


def find_standings(world: World, factor: float = 1.0) -> dict[str, Standing]:
    state = world.planner.state
    jobs = [job for job in state.jobs.values() if job.job_id != THIRD]
    ranks = rank_jobs(state, jobs, world.now, lambda queue, declared: factor * declared)
    return {rank.job_id: rank.standing for rank in ranks.values()}


@pytest.mark.parametrize("offset", [0.0, 0.05, -0.05])
def test_new_planner_knows_how_long_jobs_have_waited(offset: float) -> None:
    """Guards against a takeover that treats all jobs as new."""
    world = make_busy_world()
    submit(world, JOB)
    world.run_for(AGING_SECONDS + 0.1)
    world.planner.alive = False
    world.take_over(unix_offset=offset)
    submit(world, OTHER)
    world.run_for(0.5)
    standings = find_standings(world)
    assert standings == {JOB: Standing.AGED, OTHER: Standing.IN_TIME}
    assert list(standings) == [JOB, OTHER]


@pytest.mark.parametrize("jump", [HOUR, -HOUR])
def test_jump_of_the_clock_changes_no_rank(jump: float) -> None:
    """Guards against jobs that age or grow young when the clock is set."""
    world = make_busy_world()
    submit(world, JOB)
    world.run_for(AGING_SECONDS + 0.1)
    submit(world, OTHER)
    world.run_for(0.5)
    before = find_standings(world)
    world.planner.state.unix_offset += jump
    for job in world.planner.state.jobs.values():
        job.revision += 1
    assert find_standings(world) == before
    assert before == {JOB: Standing.AGED, OTHER: Standing.IN_TIME}


@pytest.mark.parametrize("jump", [HOUR, -HOUR, 0.05, -0.05])
def test_acceptance_by_a_wrong_clock_counts_about_as_read(jump: float) -> None:
    """Guards against a VM whose clock is wrong and whose jobs go first or last."""
    world = make_busy_world()
    submit(world, OTHER)
    record = replace(world.orders[OTHER], job_id=JOB, accepted_at=world.now + jump)
    state = world.planner.state
    add_job(state, record, world.now)
    find_standings(world)
    outline = state.jobs[JOB].outline
    assert outline is not None
    age = world.now - outline.waiting_since
    assert 0.0 <= age <= min(MAX_DELIVERY_SECONDS, max(0.0, -jump)) + 1e-6


@pytest.mark.parametrize("offset", [HOUR, -HOUR])
def test_planner_with_a_wrong_clock_starts_all_jobs(offset: float) -> None:
    """Guards against jobs that wait for ever after a takeover with a wrong clock."""
    world = make_busy_world(seconds=4.0)
    submit(world, JOB)
    world.run_for(0.5)
    world.planner.alive = False
    world.take_over(unix_offset=offset)
    submit(world, OTHER)
    world.run_for(15.0)
    phases = [world.find_phase(job_id) for job_id in (JOB, OTHER)]
    assert phases == [JobPhase.COMPLETED] * 2
    assert world.violations == []


def test_learned_run_times_replace_declared_ones() -> None:
    """Guards against an order that ignores what was learned of a queue."""
    world = make_busy_world()
    submit(world, JOB)
    world.run_for(AGING_SECONDS + 0.1)
    assert find_standings(world) == {JOB: Standing.AGED}
    assert find_standings(world, factor=5.0) == {JOB: Standing.IN_TIME}


def test_job_that_cannot_be_ranked_does_not_end_the_term() -> None:
    """Guards against one odd record that keeps every planner from planning."""
    world = make_busy_world(seconds=1.0)
    for job_id in (JOB, OTHER):
        submit(world, job_id)
    record = world.orders[JOB]
    step = replace(record.order.steps[0], after=(7,))
    odd = replace(record, order=replace(record.order, steps=(step,)))
    add_job(world.planner.state, odd, world.now)
    world.run_for(5.0)
    assert world.find_phase(OTHER) is JobPhase.COMPLETED
    noted = [note.subject for note in world.notes if note.kind == "job.unranked"]
    assert set(noted) == {JOB}


def test_cheap_job_goes_ahead_of_an_older_one_and_the_log_says_so() -> None:
    """Guards against an order that the log does not show."""
    world = make_busy_world(seconds=2.0)
    large = make_timed_step(16, 1, 3.0)
    world.submit(JOB, [(large, StepPlan(3.0, 16))])
    world.run_for(0.2)
    submit(world, OTHER)
    world.run_for(12.0)
    placed = [note for note in world.notes if note.kind == "unit.placed"]
    subjects = list(dict.fromkeys(note.subject for note in placed))
    assert subjects == [THIRD, OTHER, JOB]
    facts = {note.subject: note.facts for note in placed}
    assert facts[OTHER]["ahead_of"] == JOB
    assert facts[OTHER]["standing"] == Standing.IN_TIME.value
    assert facts[JOB]["ahead_of"] == ""


def test_last_tasks_of_a_wide_step_start_before_a_new_one() -> None:
    """Guards against a job that others overtake when only little of it is left."""
    world = make_world(1)
    wide = make_timed_step(10, 1, 3.0)
    world.submit(JOB, [(wide, StepPlan(3.0, 10))])
    world.run_for(1.0)
    state = world.planner.state
    job = describe_job(state, state.jobs[JOB], world.now, use_declared)
    # 2 tasks of 1 core and 1 accelerator, which counts as 8 cores.
    assert job.remaining_core_seconds == 2 * 9.0 * 3.0
    world.submit(OTHER, [(make_timed_step(8, 1, 3.0), StepPlan(3.0, 8))])
    world.run_for(3.5)
    placed = [note.subject for note in world.notes if note.kind == "unit.placed"]
    assert placed[8:10] == [JOB, JOB]


def test_covered_jobs_keep_the_order_of_arrival() -> None:
    """Guards against an order by cost between jobs that a guarantee covers."""
    world = make_world(2, guaranteed=16)
    expensive = make_timed_step(8, 1, 9.0)
    world.submit(JOB, [(expensive, StepPlan(1.0, 8))], priority=0, account="owner")
    submit(world, OTHER, priority=0, account="owner")
    world.run_for(1.0)
    state = world.planner.state
    placed = [note.subject for note in world.notes if note.kind == "unit.placed"]
    assert all(
        unit.attempt is not None and unit.attempt.guaranteed
        for job in state.jobs.values()
        for unit in job.units.values()
    )
    assert list(dict.fromkeys(placed)) == [JOB, OTHER]


def test_occurrence_waits_from_its_due_time() -> None:
    """Guards against scheduled jobs that always go first, being accepted long ago."""
    world = make_busy_world()
    submit(world, JOB, schedule=Schedule(3, delay=20.0, interval=60.0))
    world.run_for(20.5)
    assert find_standings(world) == {JOB: Standing.IN_TIME}
    world.run_for(AGING_SECONDS)
    assert find_standings(world) == {JOB: Standing.AGED}
    world.planner.alive = False
    world.take_over()
    world.run_for(0.2)
    assert find_standings(world) == {JOB: Standing.AGED}


def test_kept_outlines_follow_the_progress() -> None:
    """Guards against a rank by work that has started or ended since."""
    world = make_world(2)
    first = make_step(6, 2)
    gang = make_step(2, 8, gang=True, after=(0,))
    plans = StepPlan(1.0, 6), StepPlan(1.0, 2, gang=True)
    for job_id in (JOB, OTHER, THIRD):
        world.submit(job_id, list(zip((first, gang), plans, strict=True)))
    for number in range(60):
        if number == 20:
            world.planner.alive = False
            world.take_over()
        world.run_for(0.25)
        state = world.planner.state
        jobs = [job for job in state.jobs.values() if not job.is_final]
        rank_jobs(state, jobs, world.now, use_declared)
        for job in jobs:
            kept = job.outline
            assert kept is not None
            assert kept == make_outline(state, job, kept, kept.version, world.now)
    assert world.violations == []


def test_pass_over_a_long_queue_describes_only_changed_jobs() -> None:
    """Guards against a planner that is busy with ranking 300 jobs of 3,000 tasks."""
    world = make_busy_world()
    job_ids = [f"{0x1000 + number:016x}" for number in range(300)]
    for job_id in job_ids:
        submit(world, job_id, count=10)
    world.run_for(0.5)
    state = world.planner.state
    before = {job.job_id: job.outline for job in state.jobs.values()}
    assert len(before) == 301
    state.jobs[job_ids[7]].revision += 1
    world.run_for(1.0)
    changed = [
        job.job_id
        for job in state.jobs.values()
        if job.outline is not before[job.job_id]
    ]
    assert changed == [job_ids[7]]


@pytest.mark.parametrize("seed", range(2))
def test_gang_starts_while_small_jobs_of_its_priority_overload_the_pool(
    seed: int,
) -> None:
    """Guards against a gang that small jobs pass over until its value is lost."""
    random = Random(seed)
    world = make_world(25)
    # 12 tasks of 2 s each 0.1 s are 1.2 times what 200 accelerators can do.
    for number in range(200):
        if number == 50:
            gang = make_step(4, 4, gang=True)
            world.submit(JOB, [(gang, StepPlan(1.0, 4, gang=True))])
        seconds = random.uniform(1.0, 3.0)
        small = make_timed_step(12, 1, seconds * random.uniform(0.6, 1.6))
        world.submit(f"{0x1000 + number:016x}", [(small, StepPlan(seconds, 12))])
        world.run_for(0.1)
    placed = [note for note in world.notes if note.subject == JOB]
    assert placed[0].kind == "unit.placed"
    assert (
        float(str(placed[0].facts["waited"]))
        <= LATE_FACTOR / AGING_FACTOR * AGING_SECONDS
    )
