"""Holds on starts that outlast the platform's limit, found in a review of issue 37."""

from dataclasses import replace

import pytest

from cardamomdyke.jobs.records import JobPhase
from cardamomdyke.model.orders import TaskId
from cardamomdyke.model.queues import Account
from cardamomdyke.planner import drafts, seeking
from cardamomdyke.planner.planning import plan_starts
from cardamomdyke.planner.state import PlannerState
from cardamomdyke.planner.suspicion import MAX_SUSPENSION_SECONDS
from cardamomdyke.scheduling.placement import PoolCapacity
from cardamomdyke_standins.platform_server import MAX_LEASE_SECONDS, StepPlan
from tests.planner.test_planner import JOB, OTHER, make_step
from tests.planner.test_waits import (
    LASTING,
    MAX_WAIT_SECONDS,
    count_running,
    crash_server_of,
    lose_server,
    make_pool,
)
from tests.planner.waiting import check_waits

# The platform counts a lasting task as lost that waits for longer, in a pool however
# full it is.
LASTING_WAIT_SECONDS = 6.0


def test_tasks_of_a_limited_step_do_not_reserve_the_same_server() -> None:
    """Guards against a lasting task that keeps a reservation which it may not use."""
    world = make_pool(3)
    world.submit(OTHER, [(make_step(24, 1), StepPlan(1000.0, 24))], priority=2)
    world.run_for(1.0)
    step = make_step(2, 1, long_running=True, server_limit=1)
    world.submit(JOB, [(step, LASTING)])
    world.run_for(20.0)
    assert count_running(world, JOB) == 2


@pytest.mark.parametrize("lasts", [False, True])
def test_suspect_task_does_not_wait_for_batch_work_of_its_own_account(
    lasts: bool,
) -> None:
    """Guards against a crash that lets an account's batch work hold up its urgent work.

    Before the crash such a task would have stopped the batch work to fit the quota.
    """
    world = make_pool(4, quota=4)
    step = make_step(1, 4, long_running=lasts)
    world.submit(JOB, [(step, StepPlan(1000.0))], priority=0, account="owner")
    world.run_for(0.4)
    batch = make_step(4, 1)
    world.submit(OTHER, [(batch, StepPlan(1000.0, 4))], priority=2, account="owner")
    world.run_for(0.3)
    crash_server_of(world, JOB)
    world.run_for(25.0)
    assert count_running(world, JOB) == 1


def test_lasting_suspect_task_starts_beside_urgent_starts_in_a_full_pool() -> None:
    """Guards against a lasting task that waits without an end in a full pool."""
    world = make_pool(4)
    fill = make_step(4, 5, server_limit=1, long_running=True)
    world.submit(OTHER, [(fill, LASTING)], priority=0)
    world.run_for(4.0)
    step = make_step(1, 1, long_running=True)
    world.submit(JOB, [(step, LASTING)], priority=2)
    for number in range(200):
        urgent = [(make_step(4, 1, server_limit=1), StepPlan(0.4, 4))]
        world.submit(f"{number:016x}", urgent, priority=0)
        world.run_for(0.2)
        if number == 3:
            crash_server_of(world, JOB)
        elif number > 10 and count_running(world, JOB):
            break
    assert count_running(world, JOB) == 1


def test_lasting_task_for_suspended_servers_starts_in_a_full_pool() -> None:
    """Guards against a lasting task that waits for a suspension in a busy pool."""
    world = make_pool(8)
    for rack in ("r1", "r2", "r3"):
        fill = make_step(2, 8, required_label=rack)
        world.submit(f"00000000000000{rack}", [(fill, StepPlan(1000.0, 2))])
    world.run_for(1.0)
    for name in ("s0", "s1"):
        world.planner.state.servers[name].suspended_until = (
            world.now + MAX_SUSPENSION_SECONDS
        )
    step = make_step(1, 1, required_label="r0", long_running=True)
    world.submit(JOB, [(step, LASTING)])
    world.run_for(LASTING_WAIT_SECONDS + MAX_WAIT_SECONDS)
    assert count_running(world, JOB) == 1


def test_lasting_gang_is_spread_in_a_full_pool() -> None:
    """Guards against a lasting gang that waits without an end for one rack."""
    world = make_pool(8)
    for number in range(4):
        step = make_step(1, 8, long_running=True, required_label=f"r{number}")
        world.submit(f"00000000000000c{number}", [(step, LASTING)])
    world.run_for(2.0)
    fill = make_step(2, 1, long_running=True)
    world.submit("00000000000000d0", [(fill, LASTING)])
    world.run_for(2.0)
    gang = make_step(2, 6, gang=True, rack_sensitive=True, long_running=True)
    world.submit(JOB, [(gang, StepPlan(1e6, 2, gang=True))])
    world.run_for(20.0)
    assert count_running(world, JOB) == 2


def test_suspect_task_for_suspended_servers_does_not_wait_for_their_end() -> None:
    """Guards against a suspect task to which suspended servers are never offered."""
    world = make_pool(8)
    step = make_step(1, 1, required_label="r0")
    world.submit(JOB, [(step, StepPlan(1000.0))])
    world.run_for(0.3)
    crash_server_of(world, JOB)
    while (
        not any(job_id == JOB for job_id, _ in world.planner.state.suspect_units)
        or world.planner.state.jobs[JOB].units[0, 0, 0].attempt is not None
    ):
        world.run_for(0.1)
    for name in ("s0", "s1"):
        world.planner.state.servers[name].suspended_until = (
            world.now + MAX_SUSPENSION_SECONDS
        )
    world.run_for(2 * MAX_WAIT_SECONDS)
    assert count_running(world, JOB) == 1


def test_suspect_tasks_of_a_small_pool_do_not_start_one_by_one() -> None:
    """Guards against sound tasks that wait for each other after a crash of a server."""
    world = make_pool(3)
    for number in range(8):
        step = make_step(1, 1)
        world.submit(f"{number:016x}", [(step, StepPlan(1000.0))])
    world.run_for(0.4)
    used = [name for name, item in world.cluster.servers.items() if item.runs]
    assert len(used) == 1
    world.cluster.servers[used[0]].crash(world.now)
    world.cluster.servers[used[0]].restart(world.now)
    world.list_server(used[0])
    check_waits(world, 12.0)
    assert world.violations == []


def test_task_that_has_not_waited_does_not_take_a_suspended_server() -> None:
    """Guards against attempts that are spent on a faulty server without any wait."""
    world = make_pool(8)
    for name in ("s0", "s1"):
        world.cluster.servers[name].faulty = True
        world.planner.state.servers[name].suspended_until = (
            world.now + MAX_SUSPENSION_SECONDS
        )
    step = make_step(1, 1, required_label="r0")
    world.submit(JOB, [(step, StepPlan(60.0))])
    world.run_for(1.5)
    other = make_step(1, 2, required_label="r0")
    world.submit(OTHER, [(other, StepPlan(60.0))])
    submitted_at = world.now
    world.run_for(1.5)
    starts = world.starts.get(TaskId(OTHER, 0, 0, 0), [])
    assert all(at - submitted_at >= seeking.SOUND_SERVERS.wait_seconds for at in starts)


def test_gangs_that_have_waited_are_not_spread_beyond_the_used_share() -> None:
    """Guards against gangs that leave their racks in one pass until the pool is full.

    One of them may be spread; after it, more than half of the pool is used.
    """
    world = make_pool(8)
    for number in range(4):
        step = make_step(1, 4, long_running=True, required_label=f"r{number}")
        world.submit(f"00000000000000c{number}", [(step, LASTING)])
    world.run_for(2.0)
    for number in range(4):
        step = make_step(1, 2, long_running=True, required_label=f"r{number}")
        world.submit(f"00000000000000d{number}", [(step, LASTING)])
    world.run_for(2.0)
    gang = make_step(2, 7, gang=True, rack_sensitive=True)
    for number in range(2):
        world.submit(f"{number:016x}", [(gang, StepPlan(60.0, 2, gang=True))])
    world.run_for(3.0)
    assert sum(count_running(world, f"{number:016x}") for number in range(2)) == 2


@pytest.mark.parametrize("evacuates", [False, True])
def test_used_share_leaves_out_servers_that_take_no_work(evacuates: bool) -> None:
    """Guards against a gang that waits for one rack while usable servers are idle.

    The other servers are draining or evacuated, and full.
    """
    world = make_pool(18)
    for rack in range(4, 9):
        step = make_step(2, 8, required_label=f"r{rack}")
        world.submit(f"00000000000000c{rack}", [(step, StepPlan(1000.0, 2))])
    for rack in range(4):
        step = make_step(1, 3, long_running=True, required_label=f"r{rack}")
        world.submit(f"00000000000000d{rack}", [(step, LASTING)])
    world.run_for(2.0)
    for number in range(8, 18):
        name = f"s{number}"
        if evacuates:
            world.listed[name] = replace(world.listed[name], failure_domain="z")
            world.evacuated["z"] = world.now
        else:
            world.list_server(name, draining=True)
    world.run_for(1.0)
    gang = make_step(2, 6, gang=True, rack_sensitive=True, server_limit=1)
    world.submit(JOB, [(gang, StepPlan(60.0, 2, gang=True))])
    world.run_for(2 * MAX_WAIT_SECONDS)
    assert count_running(world, JOB) == 2


def count_calls(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Count the measurements of a pool's suspended servers."""
    calls: list[str] = []
    measure = drafts.make_suspended_capacity

    def count(state: PlannerState, pool: str, now: float) -> PoolCapacity:
        calls.append(pool)
        return measure(state, pool, now)

    monkeypatch.setattr(drafts, "make_suspended_capacity", count)
    return calls


def test_plan_measures_suspended_servers_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a planning pass that takes seconds beside many waiting tasks.

    Servers with the label have room, but do not answer.
    """
    world = make_pool(8)
    calls = count_calls(monkeypatch)
    world.planner.state.servers["s7"].suspended_until = 1000.0
    world.planner.cut |= {"s0", "s1"}
    world.run_for(2.0)
    step = make_step(1, 1, required_label="r0")
    for number in range(50):
        world.submit(f"{number:016x}", [(step, StepPlan(1.0))])
    world.run_for(2.5)
    calls.clear()
    plan_starts(world.planner.state, world.now)
    assert len(calls) <= 1


def test_job_survives_the_fault_of_the_server_that_it_needs() -> None:
    """Guards against attempts that are spent on a server which still fails each run.

    The users' servers stay faulty for about 7 s.
    """
    world = make_pool(8)
    world.listed["s0"] = replace(world.listed["s0"], labels=("only",))
    world.run_for(0.5)
    world.cluster.servers["s0"].faulty = True
    step = make_step(1, 1, required_label="only")
    for job_id in (JOB, OTHER):
        world.submit(job_id, [(step, StepPlan(0.3))], attempt_limit=3)
    world.run_for(7.0)
    world.cluster.servers["s0"].faulty = False
    world.run_for(20.0)
    phases = [world.find_phase(job_id) for job_id in (JOB, OTHER)]
    assert phases == [JobPhase.COMPLETED] * 2


def test_guaranteed_gang_does_not_wait_for_one_rack_in_a_full_pool() -> None:
    """Guards against a guaranteed gang that waits without an end for one rack.

    Guaranteed lasting tasks hold a part of each rack; batch work holds the rest.
    """
    world = make_pool(8)
    world.accounts = (Account("a", frozenset(), 24), Account("owner", frozenset(), 14))
    for rack in range(4):
        step = make_step(1, 6, long_running=True, required_label=f"r{rack}")
        world.submit(f"00000000000000c{rack}", [(step, LASTING)], priority=0)
    world.run_for(2.0)
    world.submit(OTHER, [(make_step(40, 1), StepPlan(1000.0, 40))], priority=2)
    world.run_for(2.0)
    gang = make_step(2, 7, gang=True, rack_sensitive=True)
    plan = StepPlan(1000.0, 2, gang=True)
    world.submit(JOB, [(gang, plan)], priority=0, account="owner")
    world.run_for(20.0)
    assert count_running(world, JOB) == 2


def test_task_under_which_servers_crashed_does_not_wait_for_proof() -> None:
    """Guards against a long task that waits 30 s beside idle servers.

    Four of its servers crashed long after its start, and a fifth one is gone for good.
    """
    world = make_pool(8)
    world.submit(JOB, [(make_step(1, 1), StepPlan(1000.0))])
    world.run_for(2.0)
    for number in range(5):
        (name,) = [name for name, item in world.cluster.servers.items() if item.runs]
        if number == 4:
            lose_server(world, name)
            break
        world.cluster.servers[name].crash(world.now)
        world.cluster.servers[name].restart(world.now)
        world.list_server(name)
        world.run_for(3.0)
        assert count_running(world, JOB) == 1
    world.run_for(MAX_LEASE_SECONDS + 2.0)
    check_waits(world, 2 * MAX_WAIT_SECONDS)
    assert world.violations == []


def test_suspect_task_starts_beside_a_stream_of_guaranteed_starts() -> None:
    """Guards against a suspect task that waits without an end in an idle pool.

    Guaranteed jobs are placed before the servers are closed that the task waits for.
    """
    world = make_pool(4)
    world.accounts = (Account("a", frozenset()), Account("owner", frozenset(), 32))
    world.submit(JOB, [(make_step(1, 1), StepPlan(1000.0))], priority=2)
    world.run_for(0.3)
    crash_server_of(world, JOB)
    for number in range(60):
        urgent = [(make_step(4, 1, server_limit=1), StepPlan(0.8, 4))]
        world.submit(f"{number:016x}", urgent, priority=0, account="owner")
        world.run_for(0.5)
        if count_running(world, JOB):
            break
    assert count_running(world, JOB) == 1


@pytest.mark.parametrize("delay", [0.0, 0.2, 0.4, 0.6, 0.8])
def test_suspect_task_beside_urgent_starts_begins_within_the_limit(
    delay: float,
) -> None:
    """Guards against a wait for isolation that ends too late in an idle pool.

    A third of the pool is used. Servers are closed for it after a wait of 2 s, and
    have to be free of starts for another second.
    """
    world = make_pool(12)
    world.submit(JOB, [(make_step(1, 1), StepPlan(1000.0))], priority=2)
    world.run_for(0.3)
    crash_server_of(world, JOB)
    unit = world.planner.state.jobs[JOB].units[0, 0, 0]
    world.run_for(delay)
    ready_since = 0.0
    while not ready_since or unit.last_run < 2:
        number = round(world.now * 10)
        urgent = [(make_step(12, 1, server_limit=1), StepPlan(1.5, 12))]
        world.submit(f"{number:016x}", urgent, priority=0)
        for _ in range(9):
            world.run_for(0.1)
            ready_since = ready_since or unit.ready_since
            if ready_since and unit.last_run > 1:
                break
    assert world.now - ready_since <= MAX_WAIT_SECONDS


def test_full_pool_does_not_log_each_job_that_waits() -> None:
    """Guards against a planning pass that writes thousands of lines on a busy day."""
    world = make_pool(4)
    world.submit(OTHER, [(make_step(4, 8), StepPlan(1000.0, 4))], priority=0)
    world.run_for(1.0)
    for number in range(200):
        world.submit(f"{number:016x}", [(make_step(1, 1), StepPlan(1.0))])
    world.run_for(5.0)
    lines = [note for note in world.notes if note.kind == "unit.pending"]
    assert len(lines) <= 20


def test_takeovers_do_not_extend_the_leases_of_a_lost_server() -> None:
    """Guards against a task that waits for a server which no planner has reached.

    Each new planner takes the leases of a silent server as granted at its takeover.
    """
    world = make_pool(4)
    world.submit(JOB, [(make_step(1, 1), StepPlan(1000.0))])
    world.run_for(3.0)
    (name,) = [name for name, item in world.cluster.servers.items() if item.runs]
    lose_server(world, name)
    for _ in range(3):
        world.run_for(8.0)
        world.planner.alive = False
        world.take_over()
    world.run_for(MAX_WAIT_SECONDS)
    assert count_running(world, JOB) == 1
