"""Headroom that batch work leaves to urgent jobs and waiting gangs."""

import pytest

from cardamomdyke.jobs.records import JobRecord
from cardamomdyke.model.orders import JobOrder, Shape, StepOrder, TaskId
from cardamomdyke.model.queues import Account
from cardamomdyke.planner.headroom import (
    MAX_URGENT_SHARE,
    Headroom,
    check_headroom,
    hold_for_gang,
    make_headroom,
)
from cardamomdyke.planner.inputs import Limits
from cardamomdyke.planner.progress import add_job
from cardamomdyke.planner.relaxation import HEADROOM
from cardamomdyke.planner.state import Job, PlannerState, Unit, make_units
from cardamomdyke.scheduling.placement import PoolCapacity
from cardamomdyke_standins.platform_server import StepPlan
from tests.planner.world import POOL, World

SERVER = Shape(32_000, 65_536, 8)
SERVERS = 32
BATCH = "00000000000000a1"
# Urgent jobs of 2.5 s have 1.5 times that, and 0.25 s, from their first send.
URGENT_SLACK_SECONDS = 1.5
# The platform counts a job as lost that waits for longer beside idle servers.
MAX_WAIT_SECONDS = 3.0


def make_world(servers: int = SERVERS) -> World:
    world = World()
    world.accounts = (Account("a", frozenset()),)
    for number in range(servers):
        world.add_server(f"s{number:02}", SERVER, f"r{number // 16}")
    world.take_over()
    world.run_for(1.0)
    return world


def make_job(step: StepOrder, priority: int) -> Job:
    order = JobOrder("", (step,))
    record = JobRecord(BATCH, "q", "a", POOL, priority, 2, 3.0, 1.0, 0.0, order)
    return Job(record, 0.0, make_units(record, 0))


def find_unit(job: Job) -> Unit:
    return next(iter(job.units.values()))


def make_headroom_of(free: float, urgent: float) -> Headroom:
    return Headroom(SERVERS, SERVER, free, urgent)


def test_urgent_gangs_start_without_stops_on_a_busy_pool() -> None:
    """Guards against urgent gangs that wait for stops on a pool full of batch work.

    The load: single tasks that would fill the pool three times over, and an urgent
    gang on two servers every 0.8 s, as on the busiest days of the large deployment.
    """
    world = make_world()
    tasks = SERVERS * SERVER.accelerators * 3
    batch = StepOrder(tasks, Shape(1000, 100, 1), 4.0)
    gang = StepOrder(4, Shape(1000, 100, 4), 2.0, gang=True, rack_sensitive=True)
    sent_at = {}
    for number in range(14):
        job_id = f"{number + 1:016x}"
        sent_at[job_id] = world.now
        plan = StepPlan(2.0, 4, gang=True)
        world.submit(job_id, [(gang, plan)], priority=0, account="a")
        if number == 2:
            plan = StepPlan(4.0, tasks)
            world.submit(BATCH, [(batch, plan)], priority=2, account="a")
        world.run_for(0.8)
    world.run_for(4.0)
    waits = [
        max(world.starts[TaskId(job_id, 0, 0, index)][0] for index in range(4)) - at
        for job_id, at in sent_at.items()
    ]
    assert max(waits) < URGENT_SLACK_SECONDS / 3
    # No batch task was stopped and started again.
    assert all(
        len(starts) == 1
        for task, starts in world.starts.items()
        if task.job_id == BATCH
    )
    assert world.violations == []


def test_batch_work_fills_a_pool_without_urgent_jobs() -> None:
    """Guards against servers left idle for urgent jobs that do not come."""
    world = make_world(4)
    tasks = 4 * SERVER.accelerators
    step = StepOrder(tasks, Shape(1000, 100, 1), 1.0)
    world.submit(BATCH, [(step, StepPlan(60.0, tasks))], priority=2, account="a")
    world.run_for(2.0)
    running = sum(len(server.runs) for server in world.cluster.servers.values())
    assert running == tasks


def test_gang_starts_beside_tasks_without_accelerators() -> None:
    """Guards against a gang that is held back by servers short of processor only.

    Free capacity counts by the scarcest resource, so whole servers of accelerators
    seemed to be taken where a task used half of the processor.
    """
    world = make_world(4)
    cores = StepOrder(4, Shape(20_000, 100), server_limit=1)
    world.submit(BATCH, [(cores, StepPlan(60.0, 4))], priority=2, account="a")
    world.run_for(1.0)
    gang = StepOrder(4, Shape(1000, 100, 8), 1.0, gang=True)
    plan = StepPlan(60.0, 4, gang=True)
    world.submit("00000000000000b2", [(gang, plan)], priority=1, account="a")
    world.run_for(2.0)
    running = sum(len(server.runs) for server in world.cluster.servers.values())
    assert running == 8


def test_headroom_follows_urgent_demand_up_to_its_limit() -> None:
    """Guards against a headroom that grows until batch work starves."""
    state = PlannerState(Limits(6.0, 3.0, 0.4), 1, 0.0)
    world = make_world()
    state.servers = world.planner.state.servers
    gang = StepOrder(4, Shape(1000, 100, 4), 2.0, gang=True)
    headrooms = []
    for number in range(9):
        order = JobOrder("", (gang,))
        job_id = f"{number:016x}"
        record = JobRecord(job_id, "q", "a", POOL, 0, 2, 1.5, 0.25, 0.0, order)
        add_job(state, record, number * 0.1)
        headroom = make_headroom(state, POOL, PoolCapacity(), number * 0.1)
        assert headroom is not None
        headrooms.append(headroom.urgent)
    assert 0 < headrooms[0] < headrooms[1]
    assert headrooms[-1] == MAX_URGENT_SHARE * SERVERS
    later = make_headroom(state, POOL, PoolCapacity(), 60.0)
    assert later is not None and later.urgent == 0


def test_small_tasks_leave_free_capacity_to_a_waiting_gang() -> None:
    """Guards against small tasks that take each server before a gang fits."""
    headroom = make_headroom_of(1.0, 0.0)
    gang = make_job(StepOrder(8, Shape(1000, 100, 8), gang=True), 1)
    task = make_job(StepOrder(1, Shape(1000, 100, 1)), 2)
    assert check_headroom(headroom, task, find_unit(task))
    hold_for_gang(headroom, gang, find_unit(gang))
    assert not check_headroom(headroom, task, find_unit(task))


def test_single_task_holds_nothing_back() -> None:
    """Guards against a large task that stops all other batch work while it waits."""
    headroom = make_headroom_of(1.0, 0.0)
    task = make_job(StepOrder(1, Shape(1000, 100, 8)), 1)
    hold_for_gang(headroom, task, find_unit(task))
    assert headroom.waiting == 0


@pytest.mark.parametrize("memory_mb", [100, 50_000])
def test_idle_job_of_an_underused_pool_starts_in_time(memory_mb: int) -> None:
    """Guards against a job without any running task on a pool that is half empty.

    The platform counts such a job as lost after 3 s. Half of the servers are short of
    processor cores and half of accelerators; with more memory the pool is busy.
    """
    world = make_world(8)
    shapes = [Shape(28_000, memory_mb, 1), Shape(1000, memory_mb, 6)]
    for number, shape in enumerate(shapes):
        for name in list(world.cluster.servers)[4 * number : 4 * number + 4]:
            world.cluster.servers[name].rack = f"r{number}"
            world.list_server(name)
        label = f"r{number}"
        step = StepOrder(
            4, shape, server_limit=1, long_running=True, required_label=label
        )
        world.submit(f"00000000000000c{number}", [(step, StepPlan(1e6, 4))])
    gang = StepOrder(8, Shape(1000, 100, 1), 1.0, gang=True)
    submitted_at = 0.0
    for number in range(100):
        if number == 50:
            submitted_at = world.now
            world.submit(BATCH, [(gang, StepPlan(60.0, 8, gang=True))], account="a")
        urgent = [(StepOrder(2, Shape(1000, 100, 1)), StepPlan(0.05, 2))]
        world.submit(f"{number:016x}", urgent, priority=0, account="a")
        world.run_for(0.1)
    starts = world.starts.get(TaskId(BATCH, 0, 0, 0), [])
    if memory_mb > SERVER.memory_mb // 2:
        assert starts == []
    else:
        wait = starts[0] - submitted_at
        assert HEADROOM.wait_seconds <= wait <= MAX_WAIT_SECONDS
