"""Jobs that the planner cannot plan because of an unexpected error."""

import pytest

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.orders import Shape, StepOrder
from cardamomdyke.planner import planning
from cardamomdyke.planner.drafts import Draft
from cardamomdyke.planner.state import Job, Unit
from cardamomdyke.scheduling.placement import PoolCapacity
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.world import World

FAULTY = "00000000000000f1"
SOUND = "00000000000000a1"


def test_job_that_cannot_be_planned_stops_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one job that ends the term of each planner."""
    choose = planning.choose_unit_servers

    def fail_for_one(
        draft: Draft, pool_capacity: PoolCapacity, job: Job, unit: Unit
    ) -> list[str] | None:
        if job.job_id == FAULTY:
            raise ZeroDivisionError
        return choose(draft, pool_capacity, job, unit)

    monkeypatch.setattr(planning, "choose_unit_servers", fail_for_one)
    world = World()
    world.add_server("s0", Shape(32_000, 65_536, 8))
    world.take_over()
    step = StepOrder(1, Shape(1000, 100, 1), 1.0)
    for job_id in (FAULTY, SOUND):
        world.submit(job_id, [(step, StepPlan(1.0))])
    world.run_for(3.0)
    assert world.find_phase(SOUND) is JobPhase.COMPLETED
    assert world.find_phase(FAULTY) is JobPhase.QUEUED


@pytest.mark.parametrize("name", ["report_pending", "close_before_guaranteed"])
def test_error_beside_the_placement_ends_no_term(
    monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    """Guards against a report or a reservation of one job that ends each term."""

    def fail(draft: Draft, job: Job) -> None:
        if job.job_id == FAULTY:
            raise ZeroDivisionError

    monkeypatch.setattr(planning, name, fail)
    world = World()
    world.add_server("s0", Shape(32_000, 65_536, 8))
    world.take_over()
    step = StepOrder(1, Shape(1000, 100, 1), 1.0)
    for job_id in (FAULTY, SOUND):
        world.submit(job_id, [(step, StepPlan(1.0))])
    world.run_for(0.2)
    world.planner.state.suspect_units.add((FAULTY, (0, 0, 0)))
    world.run_for(5.0)
    assert world.find_phase(SOUND) is JobPhase.COMPLETED
