"""Guaranteed jobs on backend servers that are lost or closed to starts for a while."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace

from cardamomdyke.adapters.backend import Inventory
from cardamomdyke.configuration.fold import FoldState
from cardamomdyke.daemon.inventories import InventoryReading
from cardamomdyke.daemon.planner import Planner
from cardamomdyke.daemon.pools import PlannedJob
from cardamomdyke.model.jobs import JobSpecification, JobState
from cardamomdyke.model.tables import (
    BackendServer,
    CellLevel,
    Configuration,
    Guarantee,
)
from tests.daemon.stubs import POOL, TABLES, make_planner

WAIT_SECONDS = 20.0
SERVERS = tuple(
    BackendServer(name, "r1", f"{name}:1", 2) for name in ("w1", "w2", "w3")
)
GUARANTEED_POOL = replace(
    POOL,
    servers=SERVERS,
    guarantees=(
        Guarantee("a", CellLevel.SERVER, 1),
        Guarantee("b", CellLevel.SERVER, 2),
    ),
)


def make_guaranteed_planner() -> Planner:
    """Create a planner of 3 servers: `a` is guaranteed one and `b` two."""
    planner, _ = make_planner()
    tables = replace(TABLES, pools=(GUARANTEED_POOL,))
    planner.node.fold = FoldState(Configuration(1, tables))
    for server in SERVERS:
        return_server(planner, server.name)
    return planner


def return_server(planner: Planner, name: str) -> None:
    """Store an inventory of a backend server, which makes it usable."""
    inventory = Inventory(name, "boot", 2, (0, 1), 0, False, (), "")
    reading = InventoryReading(inventory, planner.node.clock())
    planner.inventories.newest[name] = reading


def add_job(
    planner: Planner, job_id: str, account: str, accelerators: int = 2
) -> PlannedJob:
    specification = JobSpecification(
        account, "order-desk", accelerators, repeatable=True, urgent=account == "b"
    )
    return planner.add_job(job_id, POOL.name, specification, time.time(), is_new=True)


def is_running(job: PlannedJob) -> bool:
    return job.status.state is JobState.RUNNING


async def step_until(planner: Planner, condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        planner.step_jobs()
        planner.plan_pools()
        await asyncio.sleep(0.01)


def test_account_reclaims_its_servers_after_a_lost_one_returned() -> None:
    """Guards against guaranteed work beyond a guarantee, which is never preempted.

    The first job ran on on a lost server, so the second one started within the same
    guarantee. Once the server was back, both held what `b` is guaranteed.
    """

    async def run() -> None:
        planner = make_guaranteed_planner()
        first = add_job(planner, "gent.1", "a")
        await step_until(planner, lambda: is_running(first))
        lost = first.gang.placements[0].server
        planner.inventories.record_unreachable(lost)
        second = add_job(planner, "gent.2", "a")
        await step_until(planner, lambda: is_running(second))
        assert not first.gang.borrowed and not second.gang.borrowed
        return_server(planner, lost)
        urgent = [add_job(planner, f"gent.b{number}", "b") for number in range(2)]
        await step_until(planner, lambda: all(is_running(job) for job in urgent))
        assert sorted(map(is_running, (first, second))) == [False, True]

    asyncio.run(run())


def test_account_reclaims_its_servers_while_another_one_is_avoided() -> None:
    """Guards against a second guarantee beside work on a server closed to starts.

    A job that had failed on the server waited, so the server was avoided and the work
    there took no cell. The second job of `a` then took one that `b` is guaranteed.
    """

    async def run() -> None:
        planner = make_guaranteed_planner()
        first = add_job(planner, "gent.1", "a")
        await step_until(planner, lambda: is_running(first))
        avoided = first.gang.placements[0].server
        failed = add_job(planner, "gent.c", "c", accelerators=3)
        failed.gang = replace(failed.gang, failed_servers=(avoided,))
        second = add_job(planner, "gent.2", "a")
        await step_until(planner, lambda: is_running(second))
        assert second.gang.placements[0].server != avoided
        urgent = [add_job(planner, f"gent.b{number}", "b") for number in range(2)]
        await step_until(planner, lambda: all(is_running(job) for job in urgent))

    asyncio.run(run())
