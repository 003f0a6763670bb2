"""Planning passes over jobs with many tasks."""

import time

from cardamomdyke.planner.planning import plan_starts
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.test_planner import JOB, make_step, make_world

WIDTHS = (400, 1600)


def measure_pass(tasks: int) -> float:
    """Return the least processor time of a pass over a step after one that is done."""
    world = make_world(2)
    first = (make_step(1, 8), StepPlan(0.1))
    step = make_step(tasks, 8, after=(0,))
    world.submit(JOB, [first, (step, StepPlan(1000.0, tasks))])
    world.run_for(2.0)
    assert sum(len(item.runs) for item in world.cluster.servers.values()) == 2
    times = []
    for _ in range(5):
        began_at = time.process_time()
        plan_starts(world.planner.state, world.now)
        times.append(time.process_time() - began_at)
    return min(times)


def test_pass_over_a_dependent_step_takes_time_in_proportion_to_its_tasks() -> None:
    """Guards against passes that outlast the planner's membership, so nothing starts.

    Four times the tasks take four times as long; they took sixteen times as long.
    """
    narrow, wide = map(measure_pass, WIDTHS)
    assert wide < 9 * narrow
