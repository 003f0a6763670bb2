"""Quotas of client accounts over all backend servers."""

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.model.queues import Account
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.world import World

JOB = "00000000000000a1"
OTHER = "00000000000000b2"
SERVER = Shape(32_000, 65_536, 8)
# The shortest limit of the sites, from acceptance to the start of the last member.
RECLAIM_SECONDS = 2.7


def make_world(quota: int, servers: int = 4, guaranteed: int = 0) -> World:
    world = World()
    world.accounts = (Account("owner", frozenset(), guaranteed),)
    world.set_quota("owner", quota)
    for number in range(servers):
        world.add_server(f"s{number}", SERVER)
    world.take_over()
    world.run_for(1.0)
    return world


def submit_tasks(world: World, job_id: str, count: int, priority: int = 2) -> None:
    """Submit tasks of one accelerator that run for a minute."""
    step = StepOrder(count, Shape(1000, 100, 1), 1.0)
    world.submit(job_id, [(step, StepPlan(60.0, count))], priority, account="owner")


def count_running(world: World, job_id: str) -> int:
    return sum(
        run.task.job_id == job_id
        for server in world.cluster.servers.values()
        for run in server.runs.values()
    )


def test_account_uses_no_more_than_its_quota() -> None:
    """Guards against an account that fills idle servers beyond its quota."""
    world = make_world(quota=10)
    submit_tasks(world, JOB, 20)
    world.run_for(3.0)
    assert count_running(world, JOB) == 10
    assert world.violations == []


def test_higher_quota_lets_waiting_tasks_start() -> None:
    """Guards against tasks that keep waiting after their quota was raised."""
    world = make_world(quota=4)
    submit_tasks(world, JOB, 20)
    world.run_for(2.0)
    world.set_quota("owner", 0)
    world.run_for(2.0)
    assert count_running(world, JOB) == 20


def test_new_planner_counts_what_an_earlier_one_started() -> None:
    """Guards against a quota that is used again after a takeover."""
    world = make_world(quota=6)
    submit_tasks(world, JOB, 20)
    world.run_for(2.0)
    world.planner.alive = False
    world.take_over()
    world.run_for(2.0)
    assert count_running(world, JOB) == 6
    assert world.violations == []


def test_guaranteed_gang_displaces_its_own_accounts_work() -> None:
    """Guards against a guarantee that waits for the account's own borrowed work.

    The quota is full while servers are idle, so no other work is worth stopping.
    """
    world = make_world(quota=16, guaranteed=8)
    submit_tasks(world, JOB, 16)
    world.run_for(2.0)
    gang = StepOrder(2, Shape(1000, 100, 4), 1.0, gang=True)
    plan = StepPlan(1.0, 2, gang=True)
    world.submit(OTHER, [(gang, plan)], priority=0, account="owner")
    world.run_for(RECLAIM_SECONDS)
    assert count_running(world, OTHER) == 2 or (
        world.find_phase(OTHER) is JobPhase.COMPLETED
    )
    assert world.violations == []


def test_job_beyond_its_quota_stops_nothing() -> None:
    """Guards against preemption for a job that its quota keeps from starting."""
    world = make_world(quota=6, servers=1)
    world.accounts += (Account("a", frozenset()),)
    step = StepOrder(8, Shape(1000, 100, 1), 1.0)
    world.submit(JOB, [(step, StepPlan(60.0, 8))], priority=2, account="a")
    world.run_for(2.0)
    whole_server = StepOrder(1, Shape(1000, 100, 8), 1.0)
    world.submit(OTHER, [(whole_server, StepPlan(1.0))], priority=0, account="owner")
    world.run_for(3.0)
    assert count_running(world, JOB) == 8
