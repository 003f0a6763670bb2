"""Tests of a takeover whose releases a backend server refuses for a later epoch."""

import asyncio
from dataclasses import dataclass, field, replace
from typing import cast

import pytest
from expression import Error, Ok, Result

from cardamomdyke.adapters.backend import (
    BackendClient,
    BackendFault,
    BackendFaultKind,
    Inventory,
    LeaseCall,
    TaskReply,
)
from cardamomdyke.daemon.gang_calls import GangCaller
from cardamomdyke.daemon.planner import Planner
from cardamomdyke.daemon.takeover import Takeover
from cardamomdyke.gangs.state import (
    ClaimAnswered,
    ClaimAnswerKind,
    Gang,
    RequestClaim,
    Stage,
)
from cardamomdyke.model.jobs import JobSpecification
from tests.daemon.stubs import POOL, StubCaller
from tests.daemon.test_takeover import JOB_ID, SPECIFICATION, make_takeover

FENCE = 6


@dataclass
class FencingBackend:
    """Backend servers, of which w2 knows an epoch; the others know none."""

    silent: bool = False
    released: list[tuple[str, int]] = field(default_factory=list)

    async def read_inventory(self, address: str) -> Result[Inventory, BackendFault]:
        name = address.partition(":")[0]
        return Ok(Inventory(name, "boot", 2, (0, 1), 0, False, (), ""))

    async def release_tasks(
        self, address: str, leases: tuple[LeaseCall, ...]
    ) -> Result[TaskReply, BackendFault]:
        if self.silent:
            return Error(BackendFault(BackendFaultKind.UNCERTAIN, "no answer"))
        if address.startswith("w2") and leases[0].epoch < FENCE:
            return Error(BackendFault(BackendFaultKind.FENCED, "refused"))
        self.released.append((address.partition(":")[0], leases[0].epoch))
        return Ok(TaskReply((), ""))


@dataclass
class HomeCaller(StubCaller):
    """Answers claims with the claim of another planner, if there is one."""

    other: ClaimAnswered | None = None
    claims: list[RequestClaim] = field(default_factory=list)

    async def request_claim(
        self, gang: Gang, job: JobSpecification, action: RequestClaim
    ) -> ClaimAnswered:
        self.claims.append(action)
        return self.other or await super().request_claim(gang, job, action)


def make_uncertain_takeover() -> tuple[Takeover, Planner, HomeCaller, FencingBackend]:
    """Create a takeover of one job that w1 and w2 may hold, in epoch 3."""
    takeover, planner = make_takeover()
    caller, backend = HomeCaller(planner.node), FencingBackend()
    planner.caller = cast(GangCaller, caller)
    planner.node.backend = cast(BackendClient, backend)
    job = planner.add_job(JOB_ID, POOL.name, SPECIFICATION, 1.0, is_new=False)
    job.gang = replace(
        job.gang,
        epoch=3,
        pending_claim=None,
        unknown_history=False,
        suspect_servers=("w1", "w2"),
    )
    job.queued_at = float("-inf")
    return takeover, planner, caller, backend


async def settle_jobs(takeover: Takeover, planner: Planner) -> None:
    """Settle each job once, with inventories read before, and await the claims."""
    await takeover.inventories.sweep()
    for job in list(planner.jobs.values()):
        await takeover.settle(job)
    await asyncio.gather(*planner.background_tasks)


def test_planner_of_an_overtaken_claim_drops_the_job() -> None:
    """Guards against a job that waits without end for servers that refuse releases."""

    async def run() -> None:
        takeover, planner, caller, _ = make_uncertain_takeover()
        caller.other = ClaimAnswered(
            ClaimAnswerKind.OTHER, 5, "vm2:1", Stage.STARTING, ("w2",)
        )
        await settle_jobs(takeover, planner)
        assert [(claim.epoch, claim.take) for claim in caller.claims][-1:] == [
            (4, True)
        ]
        assert not planner.jobs
        # It is taken over again once the views of the VMs agree.
        assert list(planner.superseded_at) == [JOB_ID]

    asyncio.run(run())


@pytest.mark.parametrize("suspects", [("w1", "w2"), ("w2",)])
def test_planner_whose_claim_home_forgot_an_epoch_starts_the_job(
    suspects: tuple[str, ...],
) -> None:
    """Guards against the same wait, and against a start before all servers are read."""

    async def run() -> None:
        takeover, planner, _, backend = make_uncertain_takeover()
        job = planner.jobs[JOB_ID]
        job.gang = replace(job.gang, suspect_servers=suspects)
        now = planner.node.clock()
        planner.node.clock = lambda: now
        await settle_jobs(takeover, planner)
        assert job.gang.epoch == 4 and job.gang.unknown_history
        before = list(backend.released)
        await settle_jobs(takeover, planner)
        assert backend.released == before
        now += 4.0
        for _ in range(FENCE - job.gang.epoch + 1):
            await settle_jobs(takeover, planner)
        assert job.gang.epoch == FENCE and not job.gang.unknown_history
        assert ("w1", FENCE) in backend.released and ("w2", FENCE) in backend.released

    asyncio.run(run())


def test_silent_servers_are_neither_cleared_nor_taken_for_fenced_ones() -> None:
    """Guards against a start, or a new epoch, for a release whose answer is lost."""

    async def run() -> None:
        takeover, planner, _, backend = make_uncertain_takeover()
        backend.silent = True
        before = planner.jobs[JOB_ID].gang
        await settle_jobs(takeover, planner)
        assert planner.jobs[JOB_ID].gang == before

    asyncio.run(run())


@pytest.mark.parametrize(
    ("suspects", "unknown", "stage", "servers"),
    [
        (("w1", "w2"), False, Stage.STARTING, ("w1", "w2")),
        ((), True, Stage.STARTING, ()),
        ((), False, Stage.QUEUED, ()),
    ],
)
def test_refreshed_claim_keeps_the_suspect_servers(
    suspects: tuple[str, ...], unknown: bool, stage: Stage, servers: tuple[str, ...]
) -> None:
    """Guards against a new claim home that says that nobody started a queued job."""

    async def run() -> None:
        takeover, planner, caller, _ = make_uncertain_takeover()
        job = planner.jobs[JOB_ID]
        job.gang = replace(job.gang, suspect_servers=suspects, unknown_history=unknown)
        await takeover.refresh_claim(job)
        assert caller.claims[-1] == RequestClaim(3, stage, servers, take=False)

    asyncio.run(run())
