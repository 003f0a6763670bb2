"""Claims that tell a later planner what an earlier one does not know."""

import math

import pytest

from cardamomdyke.gangs.machine import step
from cardamomdyke.gangs.state import Gang, Phase, RequestClaim, Stage, Ticked
from tests.gangs.test_machine import begin, list_counted, run_to


def test_successor_of_a_waiting_planner_starts_nothing_unread() -> None:
    """Guards against a second run of a gang whose claim was lost.

    The planner after the loss waits for a server that it cannot read. The one after it
    took its new claim for that of a job that nobody had started.
    """
    world, _ = begin()
    run_to(world, world.planners[0], Phase.RUNNING)
    world.home.claims.clear()
    world.cut.add("a")
    waiting = world.add_planner(fresh=False)
    world.run_until(world.now + 1.0)
    assert waiting.gang is not None and waiting.gang.phase is Phase.QUEUED
    waiting.alive = False
    world.add_planner(fresh=False)
    world.run_until(world.now + 15.0)
    assert len(list_counted(world)) == 1
    world.cut.clear()
    world.run_until(world.now + 40.0)
    assert world.ended is not None
    assert len(list_counted(world)) == 1
    assert max(run.ended_at for run in world.runs.values()) < math.inf


@pytest.mark.parametrize(
    ("unknown", "stage"), [(False, Stage.QUEUED), (True, Stage.STARTING)]
)
def test_first_claim_tells_whether_the_job_is_new(unknown: bool, stage: Stage) -> None:
    """Guards against a claim that hides what a planner could not learn."""
    gang = Gang("gent.job", 2, False, "vm1:1", unknown_history=unknown)
    _, actions = step(gang, Ticked(), 50.0)
    assert actions == (RequestClaim(1, stage, (), take=False),)
