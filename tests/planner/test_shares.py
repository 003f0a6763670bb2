"""Shares of client accounts when a pool is full."""

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.model.queues import Account
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.world import World

SERVER = Shape(32_000, 65_536, 8)
USUAL = "00000000000000ff"
HOT_JOBS = 24


def make_world(weight: float) -> World:
    """Return a simulation of two servers, and two accounts of the same weight."""
    world = World()
    world.accounts = tuple(
        Account(name, frozenset(), weight=weight) for name in ("hot", "usual")
    )
    for number in range(2):
        world.add_server(f"s{number}", SERVER)
    world.take_over()
    world.run_for(1.0)
    return world


def submit(world: World, job_id: str, account: str) -> None:
    step = StepOrder(1, Shape(1000, 100, 8), 1.0)
    world.submit(job_id, [(step, StepPlan(1.0))], priority=1, account=account)


def count_done(world: World) -> int:
    return sum(
        world.find_phase(f"{number:016x}") is JobPhase.COMPLETED
        for number in range(HOT_JOBS)
    )


def test_job_of_a_usual_account_passes_those_of_a_hot_one() -> None:
    """Guards against one account that delays all others.

    The load: an account sends twelve times its agreed rate of one job a second, for
    twelve seconds of work on each server, and another sends a single job after it.
    """
    world = make_world(weight=1.0)
    for number in range(HOT_JOBS):
        submit(world, f"{number:016x}", "hot")
        world.run_for(0.08)
    submit(world, USUAL, "usual")
    world.run_for(3.0)
    assert world.find_phase(USUAL) is JobPhase.COMPLETED
    assert count_done(world) < HOT_JOBS / 2


def test_jobs_beyond_the_share_are_served_in_the_end() -> None:
    """Guards against jobs that are never served because of their account's rate."""
    world = make_world(weight=1.0)
    for number in range(HOT_JOBS):
        submit(world, f"{number:016x}", "hot")
    world.run_for(30.0)
    assert count_done(world) == HOT_JOBS


def test_accounts_without_a_weight_are_served_in_order() -> None:
    """Guards against a limit where none was agreed."""
    world = make_world(weight=0.0)
    for number in range(HOT_JOBS):
        submit(world, f"{number:016x}", "hot")
    world.run_for(1.0)
    assert not any(job.beyond_share for job in world.planner.state.jobs.values())
