"""Each rule that keeps accepted work from starting has an end."""

import pytest

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.orders import Shape, StepOrder, TaskId
from cardamomdyke.model.queues import Account
from cardamomdyke.model.servers import RunReport
from cardamomdyke.planner import isolation, planning
from cardamomdyke.planner.drafts import Draft
from cardamomdyke.planner.leases import EXPIRY_MARGIN_SECONDS, MIN_CLOCK_RATE
from cardamomdyke.planner.polls import add_unknown_run
from cardamomdyke.planner.state import Job, Unit
from cardamomdyke.planner.suspicion import MAX_SUSPENSION_SECONDS
from cardamomdyke.scheduling.placement import PoolCapacity
from cardamomdyke_standins.platform_server import MAX_LEASE_SECONDS, StepPlan
from tests.planner.crash_world import CrashWorld
from tests.planner.test_planner import JOB, OTHER, SERVER, make_step
from tests.planner.waiting import check_waits

LASTING = StepPlan(1e6)
# The platform counts work as lost that waits for longer beside idle servers.
MAX_WAIT_SECONDS = 3.0


def make_used_racks() -> CrashWorld:
    """Return 22 servers in three racks, each with lasting work and much room."""
    world = CrashWorld()
    for number in range(22):
        world.add_server(f"s{number:02}", SERVER, f"r{number // 8}")
    world.take_over(remote_factor=3.0)
    world.run_for(1.0)
    spread = make_step(22, 1, long_running=True, server_limit=1)
    world.submit("00000000000000c1", [(spread, LASTING)])
    world.run_for(2.0)
    for number in range(2):
        step = make_step(
            2, 4, long_running=True, data_rack=f"r{number}", server_limit=1
        )
        world.submit(f"00000000000000c{number + 2}", [(step, LASTING)])
    world.run_for(4.0)
    return world


def crash_server_of(world: CrashWorld, job_id: str) -> None:
    """Crash one server that runs a task of a job."""
    name = next(
        name
        for name, server in world.cluster.servers.items()
        for run in server.runs.values()
        if run.task.job_id == job_id
    )
    world.crash_server(name)


@pytest.mark.parametrize("loses_all_vms", [False, True])
@pytest.mark.parametrize("priority", [0, 1])
def test_suspect_gang_does_not_wait_for_one_rack(
    priority: int, loses_all_vms: bool
) -> None:
    """Guards against a gang that never starts again after a crash of its server."""
    world = make_used_racks()
    gang = make_step(7, 4, gang=True, rack_sensitive=True)
    world.submit(JOB, [(gang, StepPlan(6.0, 7, gang=True))], priority)
    while not world.starts.get(TaskId(JOB, 0, 0, 0)):
        world.run_for(0.1)
    world.run_for(0.3)
    crash_server_of(world, JOB)
    if loses_all_vms:
        world.run_for(1.0)
        world.planner.alive = False
        world.take_over(remote_factor=3.0)
    world.run_for(40.0)
    assert world.find_phase(JOB) is JobPhase.COMPLETED
    assert world.violations == []


def make_pool(servers: int, quota: int = 0) -> CrashWorld:
    world = CrashWorld()
    world.accounts = (Account("a", frozenset()), Account("owner", frozenset(), 0))
    if quota:
        world.set_quota("owner", quota)
    for number in range(servers):
        world.add_server(f"s{number}", SERVER, f"r{number // 2}")
    world.take_over()
    world.run_for(1.0)
    return world


def count_running(world: CrashWorld, job_id: str) -> int:
    return sum(
        run.task.job_id == job_id
        for server in world.cluster.servers.values()
        if server.up
        for run in server.runs.values()
    )


def lose_server(world: CrashWorld, name: str) -> None:
    """Let a server vanish for good, with its entry."""
    world.cluster.servers[name].crash(world.now)
    world.listed.pop(name)


def test_reservation_ends_when_a_lower_quota_forbids_the_start() -> None:
    """Guards against capacity that is kept for work which may not start."""
    world = make_pool(1)
    batch = make_step(8, 1)
    world.submit(OTHER, [(batch, StepPlan(60.0, 8))], priority=2)
    world.run_for(1.0)
    step = make_step(1, 8)
    world.submit(JOB, [(step, StepPlan(60.0))], priority=0, account="owner")
    while not world.planner.state.jobs.get(JOB):
        world.run_for(0.05)
    world.set_quota("owner", 4)
    world.run_for(10.0)
    assert count_running(world, JOB) == 0
    assert count_running(world, OTHER) == 8


def test_reserved_task_does_not_wait_behind_one_that_does_not_fit() -> None:
    """Guards against a task whose capacity is free, but which is never tried."""
    world = make_pool(3)
    step = make_step(2, 8, long_running=True)
    world.submit(JOB, [(step, StepPlan(1e6, 2))])
    world.run_for(1.0)
    world.submit(OTHER, [(make_step(8, 1), StepPlan(60.0, 8))], priority=2)
    world.run_for(2.0)
    for index in (1, 0):
        name = next(
            name
            for name, server in world.cluster.servers.items()
            if TaskId(JOB, 0, 0, index) in server.runs
        )
        server = world.cluster.servers[name]
        server.crash(world.now)
        server.restart(world.now)
        world.list_server(name, draining=True)
        world.run_for(0.25)
    world.run_for(5.0)
    assert count_running(world, JOB) == 1


def test_job_is_planned_again_after_an_unexpected_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a job that starts nothing until another VM plans."""
    choose = planning.choose_unit_servers
    calls = []

    def fail_at_first(
        draft: Draft, pool_capacity: PoolCapacity, job: Job, unit: Unit
    ) -> list[str] | None:
        calls.append(job.job_id)
        if len(calls) <= 2:
            raise ZeroDivisionError
        return choose(draft, pool_capacity, job, unit)

    monkeypatch.setattr(planning, "choose_unit_servers", fail_at_first)
    world = make_pool(1)
    world.submit(JOB, [(make_step(1, 1), StepPlan(1.0))])
    world.run_for(8.0)
    assert world.find_phase(JOB) is JobPhase.COMPLETED


def test_runs_without_an_attempt_on_a_lost_server_free_the_quota() -> None:
    """Guards against a quota that servers which are gone use for good."""
    world = make_pool(2, quota=2)
    world.submit(JOB, [(make_step(1, 1), StepPlan(60.0))], account="owner")
    world.run_for(1.0)
    (used,) = [s for s in world.cluster.servers.values() if s.runs]
    lost = "s1" if used.name == "s0" else "s0"
    state = world.planner.state
    report = RunReport(TaskId(JOB, 0, 0, 0), 9, "", 0.0)
    add_unknown_run(state, state.servers[lost], report)
    lose_server(world, lost)
    world.submit(OTHER, [(make_step(1, 1), StepPlan(60.0))], account="owner")
    world.run_for(MAX_LEASE_SECONDS + 5.0)
    assert count_running(world, OTHER) == 1


def test_gang_starts_beside_an_urgent_load_on_unevenly_used_servers() -> None:
    """Guards against a headroom without end where other resources are used up.

    Half of the servers are short of processor cores, half of accelerators, and each
    resource is used to less than half.
    """
    world = make_pool(8)
    shapes = [Shape(28_000, 100, 1)] * 2 + [Shape(1000, 100, 6)] * 2
    for number, shape in enumerate(shapes):
        rack = f"r{number}"
        step = StepOrder(
            2, shape, server_limit=1, long_running=True, required_label=rack
        )
        world.submit(f"00000000000000c{number}", [(step, StepPlan(1e6, 2))])
    world.run_for(4.0)
    gang = make_step(8, 1, gang=True)
    for number in range(80):
        if number == 20:
            world.submit(JOB, [(gang, StepPlan(60.0, 8, gang=True))], priority=1)
        urgent = [(make_step(2, 1), StepPlan(0.05, 2))]
        world.submit(f"{number:016x}", urgent, priority=0)
        world.run_for(0.1)
    assert count_running(world, JOB) == 8


def test_task_for_suspended_servers_does_not_wait_until_the_suspension_ends() -> None:
    """Guards against work that waits while all servers for it are suspended."""
    world = make_pool(8)
    for name in ("s0", "s1"):
        world.planner.state.servers[name].suspended_until = (
            world.now + MAX_SUSPENSION_SECONDS
        )
    step = make_step(1, 1, required_label="r0")
    world.submit(JOB, [(step, StepPlan(60.0))])
    world.run_for(MAX_WAIT_SECONDS)
    assert count_running(world, JOB) == 1


def test_suspect_task_starts_beside_a_stream_of_urgent_starts() -> None:
    """Guards against a suspect task for which no server is ever free of starts."""
    world = make_pool(4)
    world.submit(JOB, [(make_step(1, 1), StepPlan(60.0))], priority=2)
    world.run_for(0.3)
    crash_server_of(world, JOB)
    for number in range(30):
        urgent = [(make_step(4, 1, server_limit=1), StepPlan(0.4, 4))]
        world.submit(f"{number:016x}", urgent, priority=0)
        world.run_for(0.4)
        if count_running(world, JOB):
            break
    assert count_running(world, JOB) == 1


def test_gang_of_a_lost_server_does_not_wait_for_a_rack_after_the_lease() -> None:
    """Guards against two waits in turn, of which each is within its limit."""
    world = make_used_racks()
    gang = make_step(7, 4, gang=True, rack_sensitive=True)
    world.submit(JOB, [(gang, StepPlan(60.0, 7, gang=True))])
    world.run_for(5.0)
    name = next(
        name
        for name, server in world.cluster.servers.items()
        if TaskId(JOB, 0, 0, 0) in server.runs
    )
    lost_at = world.now
    lose_server(world, name)
    world.run_for(MAX_LEASE_SECONDS + 6.0)
    first, second = world.starts[TaskId(JOB, 0, 0, 0)]
    lease = MAX_LEASE_SECONDS / MIN_CLOCK_RATE + EXPIRY_MARGIN_SECONDS
    assert first < lost_at + lease < second < lost_at + lease + 1.0


def test_history_check_finds_a_gang_that_waits_without_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a check of the random histories that finds nothing."""
    monkeypatch.setattr(isolation, "find_spread_step", lambda *_: None)
    world = make_used_racks()
    gang = make_step(7, 4, gang=True, rack_sensitive=True)
    world.submit(JOB, [(gang, StepPlan(6.0, 7, gang=True))])
    while not world.starts.get(TaskId(JOB, 0, 0, 0)):
        world.run_for(0.1)
    world.run_for(0.3)
    crash_server_of(world, JOB)
    world.run_for(20.0)
    check_waits(world, 5.0)
    assert [item.split(":")[0] for item in world.violations] == ["LOST"]
