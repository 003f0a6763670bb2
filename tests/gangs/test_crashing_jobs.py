"""Jobs that crash each backend server that starts them."""

from cardamomdyke.gangs.timing import MAX_MEMBER_FAILURES
from cardamomdyke_standins.backend_state import BackendState
from tests.gangs.model import World

CRASH_ROUNDS = 12
# As on the platform: two more starts after the third crash.
MAX_STARTS = MAX_MEMBER_FAILURES + 2


def test_repeatable_job_that_crashes_each_server_is_given_up() -> None:
    """Guards against a job that takes down one backend server after the other."""
    world = World(1, True, 4.0)
    world.add_planner(fresh=True)
    for boot in range(CRASH_ROUNDS):
        for _ in range(60):
            world.run_until(world.now + 0.1)
            running = [
                run.server for run in world.runs.values() if run.state == "running"
            ]
            if running:
                break
        for name in running:
            world.backends[name] = BackendState(name, f"boot-{name}-{boot}", 2, 8)
            for run in world.runs.values():
                if run.server == name and run.state == "running":
                    run.state, run.ended_at = "crashed", world.now
    assert len(world.runs) <= MAX_STARTS
