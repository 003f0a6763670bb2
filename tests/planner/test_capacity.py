"""Backend servers whose capacity changes while they run."""

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.model.queues import Account
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.rule_checker import SHRINK_SECONDS
from tests.planner.world import World

SERVER = Shape(32_000, 65_536, 8)
JOB = "00000000000000a1"
OTHER = "00000000000000b2"


def make_world() -> World:
    world = World()
    world.accounts = (Account("a", frozenset(), 0), Account("owner", frozenset(), 8))
    world.add_server("s0", SERVER)
    world.take_over()
    world.run_for(1.0)
    return world


def make_step(count: int, accelerators: int) -> StepOrder:
    return StepOrder(count, Shape(1000, 100, accelerators), 1.0)


def test_shrunk_server_is_not_filled_again() -> None:
    """Guards against starts on a server whose runs exceed its smaller capacity."""
    world = make_world()
    world.submit(JOB, [(make_step(8, 2), StepPlan(5.0, 8))])
    world.run_for(1.0)
    world.set_capacity("s0", 4)
    world.run_for(SHRINK_SECONDS)
    world.run_for(20.0)
    assert world.violations == []
    assert world.find_phase(JOB) is JobPhase.COMPLETED


def test_reservation_does_not_outlive_a_shrink() -> None:
    """Guards against a guaranteed task that starts on capacity that has gone."""
    world = make_world()
    world.submit(JOB, [(make_step(4, 2), StepPlan(60.0, 4))], priority=2)
    world.run_for(1.0)
    world.set_capacity("s0", 4)
    world.run_for(SHRINK_SECONDS)
    step = make_step(1, 8)
    world.submit(OTHER, [(step, StepPlan(1.0))], priority=0, account="owner")
    world.run_for(8.0)
    assert world.violations == []
    world.set_capacity("s0", 8)
    world.run_for(8.0)
    assert world.find_phase(OTHER) is JobPhase.COMPLETED
