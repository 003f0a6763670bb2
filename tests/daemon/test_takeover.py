"""Tests of a planner that takes over jobs, with a log that another planner writes."""

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import cast

from expression import Error, Ok, Result
from msgspec.json import encode

from cardamomdyke.adapters.backend import (
    BackendClient,
    BackendFault,
    BackendFaultKind,
    Inventory,
    LeaseCall,
    TaskReply,
    TaskReport,
    TaskState,
)
from cardamomdyke.adapters.log import LogFault, LogPage
from cardamomdyke.daemon.gossip import Gossiper
from cardamomdyke.daemon.job_log import EntryKind, JobBatch, JobEntry, JobLog
from cardamomdyke.daemon.planner import Planner
from cardamomdyke.daemon.takeover import Takeover
from cardamomdyke.model.jobs import JobSpecification, JobState, JobStatus
from tests.daemon.stubs import POOL, StubLog, make_node, make_planner

JOB_ID = "gent.1"
SPECIFICATION = JobSpecification("koffie", "order-desk")
ACCEPTED = JobEntry(
    EntryKind.ACCEPTED,
    JobStatus(JOB_ID, JobState.QUEUED, pool=POOL.name),
    SPECIFICATION,
    1.0,
)
ENDED = JobEntry(
    EntryKind.ENDED,
    JobStatus(JOB_ID, JobState.FINISHED, pool=POOL.name, answers=("42",)),
)


def append(planner: Planner, *entries: JobEntry) -> None:
    """Append entries as another VM does."""
    log = cast(StubLog, planner.node.log)
    log.records.append(encode(JobBatch(entries)))


def make_takeover() -> tuple[Takeover, Planner]:
    """Create the takeover of the VM that is planner, with fresh inventories."""
    planner, _ = make_planner()
    own = SimpleNamespace(name=planner.node.settings.vm)
    gossiper = SimpleNamespace(find_planner=lambda domain: own)
    planner.inventories.swept_at = planner.node.clock()
    planner.inventories.urgent_read_at = float("inf")
    return Takeover(planner.node, planner, cast(Gossiper, gossiper)), planner


def make_report() -> TaskReport:
    """Return the report of the job's member, whose answer is ready."""
    return TaskReport(
        job_id=JOB_ID,
        member=0,
        gang_size=1,
        epoch=1,
        holder="vm2",
        client_account="koffie",
        accelerators=(0,),
        state=TaskState.FINISHED,
        confirmed=True,
        borrowed=False,
        ran_seconds=1.0,
        checkpoint_age_seconds=0.0,
        answer="42",
        specification=encode(SPECIFICATION).decode(),
    )


@dataclass
class HoldingBackend:
    """Backend servers of which w1 holds the answer of the job's member."""

    async def read_inventory(self, address: str) -> Result[Inventory, BackendFault]:
        name = address.partition(":")[0]
        tasks = (make_report(),) if name == "w1" else ()
        return Ok(Inventory(name, "boot", 2, (0, 1), 0, False, tasks, ""))

    async def release_tasks(
        self, address: str, leases: tuple[LeaseCall, ...]
    ) -> Result[TaskReply, BackendFault]:
        return Error(BackendFault(BackendFaultKind.NOT_SENT, "refused"))


@dataclass
class SlowLog(StubLog):
    """A log whose first read is answered late, with what it held at the time."""

    reading: asyncio.Event = field(default_factory=asyncio.Event)
    answer: asyncio.Event = field(default_factory=asyncio.Event)

    async def read_records(
        self, stream: str, offset: int, limit: int = 500
    ) -> Result[LogPage, LogFault]:
        page = await super().read_records(stream, offset, limit)
        if not self.reading.is_set():
            self.reading.set()
            await self.answer.wait()
        return page


def test_job_whose_end_was_just_recorded_is_not_queued_again() -> None:
    """Guards against a planner that takes a finished job for a queued one.

    On a gang scenario, the VM that became planner again answered "queued" for a job
    whose end another VM had recorded since its last read of the log.
    """

    async def run() -> None:
        takeover, planner = make_takeover()
        append(planner, ACCEPTED)
        assert await planner.log.read_new_records()
        append(planner, ENDED)
        await takeover.run_once()
        assert planner.show_job(JOB_ID) == ENDED.status
        assert not planner.jobs

    asyncio.run(run())


def test_ended_job_in_an_inventory_is_not_queued_again() -> None:
    """Guards against the same through a server that still holds the job's answer."""

    async def run() -> None:
        takeover, planner = make_takeover()
        assert await planner.log.read_new_records()
        append(planner, ACCEPTED, ENDED)
        planner.node.backend = cast(BackendClient, HoldingBackend())
        planner.inventories.swept_at = float("-inf")
        await takeover.run_once()
        assert planner.show_job(JOB_ID) == ENDED.status
        assert not planner.jobs

    asyncio.run(run())


def test_recorded_job_is_taken_over_while_the_log_is_down() -> None:
    """Guards against queued jobs that nobody plans during an outage of the log."""

    async def run() -> None:
        takeover, planner = make_takeover()
        append(planner, ACCEPTED)
        assert await planner.log.read_new_records()
        cast(StubLog, planner.node.log).down = True
        await takeover.run_once()
        assert list(planner.jobs) == [JOB_ID]

    asyncio.run(run())


def test_slower_read_does_not_move_the_offset_back() -> None:
    """Guards against a read that ends before the records that another one has read."""

    async def run() -> None:
        log = SlowLog()
        log.records = [encode(JobBatch((ACCEPTED,)))]
        reader = JobLog(make_node(log))
        first = asyncio.create_task(reader.read_new_records())
        await log.reading.wait()
        log.records.append(encode(JobBatch((ENDED,))))
        second = asyncio.create_task(reader.read_new_records())
        # Without a lock, the second read ends here.
        await asyncio.sleep(0)
        log.answer.set()
        assert await asyncio.gather(first, second) == [True, True]
        assert reader.next_offset == 2
        assert list(reader.ended) == [JOB_ID]

    asyncio.run(run())
