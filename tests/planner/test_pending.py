"""What the log says of units that wait."""

from cardamomdyke.model.orders import StepOrder
from cardamomdyke.planner.pending import REPORT_AFTER_SECONDS
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.test_planner import JOB, OTHER, make_step, make_world
from tests.planner.world import World


def list_reasons(world: World, job_id: str) -> list[str]:
    return [
        str(note.facts["reason"])
        for note in world.notes
        if note.kind == "unit.pending" and note.subject == job_id
    ]


def submit(world: World, job_id: str, step: StepOrder, seconds: float) -> None:
    plan = StepPlan(seconds, step.count, step.gang)
    world.submit(job_id, [(step, plan)], account="owner")


def test_log_names_a_full_pool_once() -> None:
    """Guards against waits of which the log does not tell the reason."""
    world = make_world()
    submit(world, JOB, make_step(16, 1), 60.0)
    submit(world, OTHER, make_step(16, 1), 60.0)
    world.run_for(REPORT_AFTER_SECONDS - 1.0)
    assert list_reasons(world, OTHER) == []
    world.run_for(20.0)
    assert list_reasons(world, OTHER) == ["placement"]


def test_log_names_a_quota() -> None:
    """Guards against a full quota that looks like a full pool."""
    world = make_world()
    world.set_quota("owner", 4)
    submit(world, JOB, make_step(8, 1), 60.0)
    world.run_for(6.0)
    assert list_reasons(world, JOB) == ["quota"]


def test_log_names_the_silent_server_of_a_previous_run() -> None:
    """Guards against a lease on a silent server that looks like a full pool."""
    world = make_world()
    submit(world, JOB, make_step(1, 1), 60.0)
    world.run_for(1.0)
    name = next(name for name, server in world.cluster.servers.items() if server.runs)
    world.cluster.servers[name].crash(world.now)
    world.run_for(6.0)
    pending = [note for note in world.notes if note.kind == "unit.pending"]
    assert [note.facts["reason"] for note in pending] == ["previous_run"]
    assert pending[0].facts["held_by"] == [name]
