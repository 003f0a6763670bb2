"""Order of waiting jobs by what a delay costs their callers."""

from hypothesis import given
from hypothesis.strategies import (
    booleans,
    builds,
    composite,
    floats,
    integers,
    lists,
    none,
    sampled_from,
)

from cardamomdyke.scheduling.objectives import AGING_FACTOR, make_objective
from cardamomdyke.scheduling.ordering import (
    Rank,
    Standing,
    WaitingJob,
    rank_waiting,
)

NOW = 100.0


def make_job(
    job_id: str, age: float, objective: float = 10.0, run: float = 4.0, **facts: object
) -> WaitingJob:
    """Return a job that arrived `age` seconds ago; its objective may be 0 for none."""
    usual = {
        "pool": "p",
        "priority": 1,
        "beyond_share": False,
        "remaining_core_seconds": run,
        **facts,
    }
    arrived_at = NOW - age
    return WaitingJob(
        job_id,
        arrived_at=arrived_at,
        objective=make_objective(arrived_at, 0.0, objective, 0.0),
        remaining_seconds=run,
        **usual,  # type: ignore[arg-type]
    )


@composite
def draw_jobs(draw):
    """Draw jobs of two pools and priorities, with and without objectives."""
    make = builds(
        make_job,
        job_id=none(),
        age=floats(-1.0, 100.0),
        objective=sampled_from([0.0, 0.5, 3.0, 10.0, 40.0]),
        run=floats(0.0, 50.0),
        pool=sampled_from(["p", "q"]),
        priority=integers(0, 1),
        beyond_share=booleans(),
        remaining_core_seconds=floats(0.0, 1e6),
        running_cores=floats(0.0, 1e3),
        is_ready=booleans(),
        long_running=sampled_from([False] * 9 + [True]),
    )
    return {
        str(number): WaitingJob(str(number), *list_facts(job))
        for number, job in enumerate(draw(lists(make, max_size=12)))
    }


def list_facts(job: WaitingJob) -> list[object]:
    return [getattr(job, name) for name in WaitingJob.__slots__ if name != "job_id"]


def list_ids(jobs: list[WaitingJob]) -> list[str]:
    return [rank.job_id for rank in rank_waiting(jobs, NOW)]


@given(draw_jobs(), sampled_from([0.5, 1.0]))
def test_priority_and_share_come_first(
    jobs: dict[str, WaitingJob], aged_share: float
) -> None:
    """Guards against work that overtakes a higher priority, or drops out."""
    ranks = rank_waiting(jobs.values(), NOW, aged_share)
    assert sorted(rank.job_id for rank in ranks) == sorted(jobs)
    keys = [(jobs[r.job_id].priority, jobs[r.job_id].beyond_share) for r in ranks]
    assert keys == sorted(keys)


@given(draw_jobs())
def test_nothing_passes_a_job_that_has_waited_for_twice_its_objective(
    jobs: dict[str, WaitingJob],
) -> None:
    """Guards against work that starves: only jobs that aged before precede it."""
    ranked = [jobs[rank.job_id] for rank in rank_waiting(jobs.values(), NOW)]
    for place, job in enumerate(ranked):
        if job.objective is None or NOW < job.objective.ages_at:
            continue
        for earlier in ranked[:place]:
            if earlier.group == job.group and not earlier.long_running:
                assert earlier.arrived_at <= job.objective.ages_at


@given(
    lists(
        builds(
            lambda gap, objective, run, work: (gap, objective, run, work),
            floats(0.0, 3.0),
            sampled_from([1.0, 3.0, 20.0]),
            sampled_from([0.5, 1.0, 5.0]),
            sampled_from([1.0, 40.0]),
        ),
        min_size=1,
        max_size=30,
    ),
    booleans(),
)
def test_wait_is_bounded_however_much_arrives(
    arrivals: list[tuple[float, float, float, float]], states_all: bool
) -> None:
    """Guards against a stream of cheap jobs that keeps an expensive one waiting."""
    at, jobs = 0.0, {}
    longest = max(objective for _, objective, _, _ in arrivals)
    for number, (gap, objective, run, work) in enumerate(arrivals):
        at += gap
        stated = states_all or number % 3
        jobs[str(number)] = WaitingJob(
            str(number),
            "p",
            1,
            False,
            at,
            make_objective(at, 0.0, objective, 0.0) if stated else None,
            run,
            work,
        )
    waiting = dict(jobs)
    now = 0.0
    while waiting:
        here = [job for job in waiting.values() if job.arrived_at <= now]
        if not here:
            now = min(job.arrived_at for job in waiting.values())
            continue
        first = waiting.pop(rank_waiting(here, now)[0].job_id)
        for job in waiting.values():
            objective = job.objective.seconds if job.objective else longest
            if now >= job.arrived_at + AGING_FACTOR * objective:
                assert first.arrived_at <= job.arrived_at + AGING_FACTOR * objective
        now += first.remaining_seconds


@given(draw_jobs())
def test_aged_jobs_are_deferred_only_while_they_hold_their_share(
    jobs: dict[str, WaitingJob],
) -> None:
    """Guards against aged jobs that wait although others hold the capacity."""
    ranks = {rank.job_id: rank for rank in rank_waiting(jobs.values(), NOW, 0.5)}
    aged = (Standing.AGED, Standing.DEFERRED)
    for job_id, rank in ranks.items():
        if rank.standing is not Standing.DEFERRED:
            continue
        group = [x for x in jobs.values() if x.group == jobs[job_id].group]
        held = sum(x.running_cores for x in group if ranks[x.job_id].standing in aged)
        total = sum(x.running_cores for x in group if not x.long_running)
        assert held > 0.0 and held >= 0.5 * total * (1.0 - 1e-9)


def test_aged_jobs_go_first_below_their_share_and_last_above() -> None:
    """Guards against an overload in which all capacity goes to work that is late."""
    new = make_job("new", 0.0, running_cores=2.0)
    for cores, expected in ((1.0, ["aged", "new"]), (3.0, ["new", "aged"])):
        jobs = [new, make_job("aged", 50.0, running_cores=cores)]
        ranks = rank_waiting(jobs, NOW, 0.5)
        assert [rank.job_id for rank in ranks] == expected


@given(draw_jobs())
def test_pool_without_objectives_keeps_the_order_of_arrival(
    jobs: dict[str, WaitingJob],
) -> None:
    """Guards against a changed order where no route states an objective."""
    plain = [
        WaitingJob(
            job.job_id, "p", 1, False, job.arrived_at, None, *list_facts(job)[5:]
        )
        for job in jobs.values()
    ]
    expected = sorted(plain, key=lambda job: job.arrived_at)
    assert list_ids(plain) == [job.job_id for job in expected]


def test_job_that_can_be_in_time_goes_before_a_late_one() -> None:
    """Guards against capacity for late work while other work becomes late."""
    late = make_job("late", 9.0, run=4.0, remaining_core_seconds=0.1)
    assert list_ids([late, make_job("new", 0.0, remaining_core_seconds=90.0)]) == [
        "new",
        "late",
    ]


def test_last_tasks_of_a_wide_step_go_before_a_new_one() -> None:
    """Guards against a nearly finished job that waits behind new ones."""
    new = make_job("new", 0.0, remaining_core_seconds=39 * 4.0)
    rest = make_job("rest", 4.0, remaining_core_seconds=2 * 4.0)
    assert list_ids([new, rest]) == ["rest", "new"]


def test_job_with_much_slack_waits_for_an_urgent_one() -> None:
    """Guards against a job that becomes late behind one that could wait."""
    patient = make_job("patient", 0.0, objective=60.0, remaining_core_seconds=4.0)
    urgent = make_job("urgent", 0.0, objective=5.0, remaining_core_seconds=40.0)
    assert list_ids([patient, urgent]) == ["urgent", "patient"]


def test_long_running_work_goes_first() -> None:
    """Guards against a service that waits behind work which it would stop at once."""
    service = make_job("service", 0.0, objective=0.0, long_running=True)
    assert list_ids([make_job("aged", 50.0), service]) == ["service", "aged"]


def test_rank_names_the_oldest_job_that_it_precedes() -> None:
    """Guards against a log that hides which job was passed over."""
    jobs = [
        make_job("old", 5.0, remaining_core_seconds=90.0),
        make_job("idle", 6.0, remaining_core_seconds=95.0, is_ready=False),
        make_job("new", 0.0, objective=5.0),
    ]
    ranks = rank_waiting(jobs, NOW)
    assert ranks[0] == Rank("new", Standing.IN_TIME, "old", 1.0)
    assert [rank.ahead_of for rank in ranks[1:]] == ["", ""]
