"""Jobs that crash each backend server that starts them, beside sound ones."""

import asyncio
import time
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import cast

import pytest

from cardamomdyke.daemon.gang_calls import GangCaller
from cardamomdyke.daemon.planner import Planner
from cardamomdyke.daemon.pools import PlannedJob
from cardamomdyke.gangs.phases import outlived_start
from cardamomdyke.gangs.state import (
    AnswerKind,
    CallKind,
    CallMember,
    Gang,
    MemberAnswered,
)
from cardamomdyke.gangs.timing import MAX_START_CRASHES
from cardamomdyke.model.errors import ProblemKind
from cardamomdyke.model.jobs import FINAL_STATES, JobSpecification, JobState
from cardamomdyke.model.tables import BackendServer
from tests.daemon.stubs import POOL, StubCaller, make_planner

WAIT_SECONDS = 60.0
DEADLY = "gent.deadly"


@dataclass
class CrashingCaller(StubCaller):
    """Answers calls as servers that crash right after each start of one job."""

    boots: Counter[str] = field(default_factory=Counter)
    known: dict[str, set[tuple[str, int]]] = field(
        default_factory=lambda: defaultdict(set)
    )
    starts: Counter[str] = field(default_factory=Counter)

    async def call_server(
        self,
        gang: Gang,
        _: JobSpecification,
        server: BackendServer,
        calls: Sequence[CallMember],
    ) -> list[MemberAnswered]:
        return [self.answer(gang, server.name, call) for call in calls]

    def answer(self, gang: Gang, server: str, call: CallMember) -> MemberAnswered:
        known, boot_id = self.known[server], f"boot-{self.boots[server]}"
        member = (gang.job_id, call.member)
        kind = AnswerKind.RUNNING
        if call.kind is CallKind.RESERVE:
            known.add(member)
            kind = AnswerKind.RESERVED
        elif call.kind is CallKind.RELEASE or member not in known:
            known.discard(member)
            kind = AnswerKind.GONE
        elif call.kind is CallKind.START:
            self.starts[gang.job_id] += 1
            if gang.job_id == DEADLY:
                known.clear()
                self.boots[server] += 1
        return MemberAnswered(call, kind, self.node.clock(), boot_id=boot_id)


def add_job(planner: Planner, job_id: str) -> PlannedJob:
    specification = JobSpecification(
        "koffie", "order-desk", accelerators_per_task=1, repeatable=True
    )
    return planner.add_job(job_id, POOL.name, specification, time.time(), is_new=True)


@pytest.mark.parametrize("unreachable", [(), ("w2",)])
def test_deadly_job_is_given_up_and_sound_ones_beside_it_are_not(
    unreachable: tuple[str, ...],
) -> None:
    """Guards against starts without a limit, and crashes blamed on the wrong job.

    With one server all jobs start on the one that crashes.
    """

    async def run() -> None:
        planner, stub = make_planner()
        caller = CrashingCaller(stub.node)
        planner.caller = cast(GangCaller, caller)
        for name in unreachable:
            planner.inventories.record_unreachable(name)
        sound = [add_job(planner, "gent.sound")]
        deadly = add_job(planner, DEADLY)
        deadline = time.monotonic() + WAIT_SECONDS
        while deadly.status.state not in FINAL_STATES or not all(
            outlived_start(job.gang) or job.status.state in FINAL_STATES
            for job in sound
        ):
            assert time.monotonic() < deadline
            planner.step_jobs()
            planner.plan_pools()
            await asyncio.sleep(0.01)
        assert caller.starts[DEADLY] == MAX_START_CRASHES
        assert deadly.status.problem is not None
        assert deadly.status.problem.kind is ProblemKind.JOB_FAILED
        assert [job.status.state for job in sound] == [JobState.RUNNING]

    asyncio.run(run())
