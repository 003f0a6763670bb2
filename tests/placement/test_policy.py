"""Single decisions of the cell policy."""

from collections.abc import Sequence
from dataclasses import replace

from cardamomdyke.model.tables import Pool
from cardamomdyke.placement.plan import (
    PlacedGang,
    PoolPlan,
    PoolState,
    QueuedJob,
    plan_pool,
)
from cardamomdyke.placement.policy import make_default_policy
from tests.placement.pools import (
    make_gang,
    make_guarantee,
    make_pool,
    make_specification,
)

NOW = 10_000.0
ONE_SERVER_EACH = make_guarantee("a", "server", 1), make_guarantee("b", "server", 1)


def plan(
    pool: Pool,
    queued: Sequence[QueuedJob],
    placed: Sequence[PlacedGang] = (),
    unusable: frozenset[str] = frozenset(),
    now: float = NOW,
) -> PoolPlan:
    """Plan under the default policy."""
    state = PoolState(pool, tuple(queued), tuple(placed), unusable)
    return plan_pool(make_default_policy(), state, now)


def make_job(
    job_id: str, account: str, at: float = NOW, urgent: bool = False, **shape: int
) -> QueuedJob:
    """Return a queued job whose gang must stay in one rack."""
    specification = make_specification(
        account, shape.get("size", 1), shape.get("gang", 1), "rack", urgent
    )
    return QueuedJob(job_id, specification, at)


def make_borrowed_gang(
    job_id: str, server: str, age: float, **changes: float
) -> PlacedGang:
    """Return a borrowed gang on a whole server of 8."""
    changes.setdefault("checkpoint_age_seconds", age)
    return make_gang(job_id, "c", [(server, range(8))], borrowed=True, **changes)


def test_victims_lose_the_least_work() -> None:
    """Guards against preempting gangs that lose more work than others."""
    pool = make_pool([[8, 8, 8]], *ONE_SERVER_EACH)
    placed = [
        make_borrowed_gang("old", "r0s0", 500.0),
        make_borrowed_gang("fresh", "r0s1", 2.0),
        make_borrowed_gang("middle", "r0s2", 50.0),
    ]
    first = plan(pool, [make_job("1", "a", size=8)], placed)
    assert [p.job_id for p in first.preemptions] == ["fresh"]
    both = plan(pool, [make_job("1", "a", size=8), make_job("2", "b", size=8)], placed)
    assert sorted(p.job_id for p in both.preemptions) == ["fresh", "middle"]


def test_stopping_victim_is_used_again() -> None:
    """Guards against a second victim while the first is still stopping."""
    pool = make_pool([[8, 8]], *ONE_SERVER_EACH)
    placed = [
        make_borrowed_gang("stopping", "r0s0", 900.0, stopping=1),
        make_borrowed_gang("running", "r0s1", 0.0),
    ]
    decided = plan(pool, [make_job("1", "a", size=8)], placed)
    assert decided.preemptions == ()
    assert decided.starts == ()


def test_reported_age_above_the_run_time_is_not_believed() -> None:
    """Guards against a late report that makes a new gang seem expensive."""
    pool = make_pool([[8, 8]], *ONE_SERVER_EACH)
    placed = [
        make_borrowed_gang("new", "r0s0", 1e6, started_at=NOW - 1.0),
        make_borrowed_gang("old", "r0s1", 100.0),
    ]
    decided = plan(pool, [make_job("1", "a", size=8)], placed)
    assert [p.job_id for p in decided.preemptions] == ["new"]


def test_reclaim_avoids_unusable_servers() -> None:
    """Guards against preempting work on a backend server that accepts no new tasks."""
    pool = make_pool([[8, 8]], make_guarantee("a", "server", 1))
    placed = [
        make_borrowed_gang("left", "r0s0", 0.0),
        make_borrowed_gang("live", "r0s1", 800.0),
    ]
    decided = plan(pool, [make_job("1", "a", size=8)], placed, frozenset({"r0s0"}))
    assert [p.job_id for p in decided.preemptions] == ["live"]


def test_urgent_job_goes_first_within_its_guarantee() -> None:
    """Guards against urgent work that waits for older work of its account."""
    pool = make_pool([[8]], make_guarantee("a", "accelerators", 1, 4))
    held = make_gang("c", "c", [("r0s0", range(4, 8))], borrowed=True)
    jobs = [
        make_job("old", "a", 0.0, size=4),
        make_job("urgent", "a", urgent=True, size=4),
    ]
    decided = plan(pool, jobs, [held])
    assert [start.job_id for start in decided.starts] == ["urgent"]


def test_small_work_keeps_whole_cells_together() -> None:
    """Guards against small jobs that spread over all cells of their guarantee."""
    pool = make_pool([[8, 8, 8]], make_guarantee("a", "server", 2))
    jobs = [make_job(str(n), "a") for n in range(8)]
    decided = plan(pool, jobs)
    assert len({start.placements[0].server for start in decided.starts}) == 1
    assert not any(start.borrowed for start in decided.starts)


def test_free_cells_are_lent_while_a_large_job_waits() -> None:
    """Guards against free accelerators kept idle for a job that cannot start yet."""
    pool = make_pool([[8, 8]])
    held = make_gang("held", "b", [("r0s0", range(4))], True, started_at=0.0)
    jobs = [make_job("large", "a", 10.0, gang=16), make_job("small", "c", 20.0, size=8)]
    decided = plan(pool, jobs, [held])
    assert [start.job_id for start in decided.starts] == ["small"]
    assert decided.preemptions == ()


def test_backfilled_work_gives_way_to_the_oldest_large_job() -> None:
    """Guards against small jobs that starve a large job."""
    pool = make_pool([[8, 8]])
    small = make_borrowed_gang("small", "r0s0", 100.0, started_at=500.0)
    small = replace(small, queued_at=400.0)
    jobs = [make_job("large", "a", 10.0, gang=16)]
    decided = plan(pool, jobs, [small])
    assert [p.job_id for p in decided.preemptions] == ["small"]


def test_large_jobs_do_not_stop_each_other_in_turn() -> None:
    """Guards against two large jobs that preempt each other in turn."""
    pool = make_pool([[8, 8]])
    places = [(f"r0s{n}", range(8)) for n in range(2)]
    older = make_gang("older", "a", places, True, started_at=600.0)
    older = replace(older, queued_at=10.0)
    younger = QueuedJob(
        "younger", make_job("", "b", gang=16).specification, 50.0, 599.0
    )
    assert plan(pool, [younger], [older]).preemptions == ()


def test_impossible_job_gets_no_reservation() -> None:
    """Guards against a reservation for a job that can never fit."""
    pool = make_pool([[8, 8]])
    held = make_gang("held", "b", [("r0s0", range(8))], True, started_at=NOW - 100.0)
    held = replace(held, queued_at=800.0)
    jobs = [
        make_job("impossible", "a", 1.0, gang=17),
        make_job("large", "a", 2.0, gang=16),
        make_job("small", "c", 3.0, size=8),
    ]
    decided = plan(pool, jobs, [held])
    assert [(p.job_id, p.for_job_id) for p in decided.preemptions] == [
        ("held", "large")
    ]
