"""Claims of gangs that a planner adopted before the claim home answered."""

from cardamomdyke.gangs.state import Phase, Stage
from tests.gangs.model import JOB, Fault, MessageFault
from tests.gangs.test_machine import begin, run_to


def test_woken_planner_marks_no_end_of_an_adopted_gang() -> None:
    """Guards against "not known" for a gang that runs on under its adopter.

    A frozen planner finds its leases ended when it wakes. The adopter's claim call was
    lost, so the claim home still has the frozen planner's claim.
    """
    world, planner = begin()
    run_to(world, planner, Phase.RUNNING)
    planner.frozen_until = world.now + 12.0
    world.run_until(world.now + 5.0)
    adopter = world.add_planner(fresh=False)
    world.faults.append(MessageFault(Fault.LOSE_REQUEST))
    run_to(world, adopter, Phase.RUNNING)
    world.run_until(world.now + 9.0)
    assert planner.gang is None
    assert adopter.gang is not None and adopter.gang.phase is Phase.RUNNING
    assert world.home.claims[JOB]["stage"] is not Stage.ENDED
