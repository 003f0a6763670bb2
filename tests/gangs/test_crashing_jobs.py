"""Jobs that crash each backend server that starts them."""

from cardamomdyke.gangs.state import Phase
from cardamomdyke.gangs.timing import MAX_MEMBER_FAILURES
from cardamomdyke_standins.backend_state import BackendState
from tests.gangs.model import World
from tests.gangs.test_machine import begin, run_to

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


def crash_servers(world: World) -> None:
    """Replace each server that runs a member by one of another boot."""
    for run in world.runs.values():
        if run.state == "running":
            run.state, run.ended_at = "crashed", world.now
            boot_id = f"boot-{run.server}-{world.now}"
            world.backends[run.server] = BackendState(run.server, boot_id, 2, 8)


def test_job_whose_servers_crash_after_its_starts_goes_on() -> None:
    """Guards against a job that fails since its servers crash for other reasons."""
    world, planner = begin(1, repeatable=True)
    for _ in range(MAX_STARTS + 1):
        run_to(world, planner, Phase.RUNNING)
        world.run_until(world.now + 6.5)
        crash_servers(world)
        run_to(world, planner, Phase.QUEUED)
    assert planner.gang is not None and not planner.gang.crashed_servers


def test_start_that_is_outlived_clears_the_crashes_before() -> None:
    """Guards against crashes that add up over the days of a job."""
    world, planner = begin(1, repeatable=True)
    for _ in range(MAX_MEMBER_FAILURES - 1):
        run_to(world, planner, Phase.RUNNING)
        crash_servers(world)
        run_to(world, planner, Phase.QUEUED)
    gang = run_to(world, planner, Phase.RUNNING)
    assert len(gang.crashed_servers) == MAX_MEMBER_FAILURES - 1
    world.run_until(world.now + 6.5)
    assert planner.gang is not None and planner.gang.phase is Phase.RUNNING
    assert not planner.gang.crashed_servers


def test_member_that_is_lost_without_a_crash_is_no_crash() -> None:
    """Guards against members that end early and are taken for crashes."""
    world, planner = begin(1, repeatable=True)
    for _ in range(MAX_STARTS + 1):
        run_to(world, planner, Phase.RUNNING)
        for backend in world.backends.values():
            backend.tasks.clear()
        gang = run_to(world, planner, Phase.QUEUED)
        assert not gang.crashed_servers
