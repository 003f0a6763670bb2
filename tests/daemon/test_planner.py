"""Tests of the planner with a stub that answers its calls."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from cardamomdyke.daemon import planner as planner_module
from cardamomdyke.daemon.gang_calls import GangCaller
from cardamomdyke.daemon.job_log import EntryKind, JobEntry
from cardamomdyke.daemon.planner import Planner
from cardamomdyke.daemon.pools import PlannedJob
from cardamomdyke.gangs.state import AnswerKind, CallKind, CallMember, MemberAnswered
from cardamomdyke.model.errors import ProblemKind
from cardamomdyke.model.jobs import (
    JobSpecification,
    JobState,
    JobStatus,
    MemberPlacement,
)
from cardamomdyke.placement.plan import (
    PlannedStart,
    PoolPlan,
    PoolState,
    Preemption,
    plan_pool,
)
from tests.daemon.stubs import POOL, make_planner

WAIT_SECONDS = 20.0


@dataclass(frozen=True, slots=True)
class UrgentFirst:
    """Policy that gives each job all of w1; urgent jobs preempt the job there."""


SEEN: list[PoolState] = []


@plan_pool.register
def plan_urgent_first(policy: UrgentFirst, state: PoolState, now: float) -> PoolPlan:
    SEEN.append(state)
    job = max(state.queued, key=lambda queued: queued.specification.urgent)
    if not state.placed:
        placement = MemberPlacement("w1", (0, 1))
        return PoolPlan((PlannedStart(job.job_id, (placement,), True),))
    if not job.specification.urgent:
        return PoolPlan()
    return PoolPlan((), (Preemption(state.placed[0].job_id, job.job_id),))


def add_job(planner: Planner, job_id: str, **changes: object) -> PlannedJob:
    shape = {"accelerators_per_task": 2, **changes}
    specification = JobSpecification("koffie", "order-desk", **shape)  # type: ignore[arg-type]
    return planner.add_job(job_id, POOL.name, specification, time.time(), is_new=True)


async def step_until(planner: Planner, condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        planner.step_jobs()
        planner.plan_pools()
        await asyncio.sleep(0.01)


def test_a_slow_gang_does_not_delay_the_others() -> None:
    """Guards against a gang whose calls block those of other gangs."""

    async def run() -> None:
        planner, caller = make_planner()
        caller.silent.add("w1")
        add_job(planner, "gent.slow")
        fast = add_job(planner, "gent.fast")
        await step_until(planner, lambda: fast.status.state is JobState.RUNNING)
        assert ("gent.slow", CallKind.RESERVE) in caller.sent
        assert ("gent.slow", CallKind.START) not in caller.sent

    asyncio.run(run())


@pytest.mark.parametrize("kind", list(CallKind))
def test_a_call_decided_before_a_pause_is_not_sent(kind: CallKind) -> None:
    """Guards against a resumed process that sends calls decided before the pause."""

    async def run() -> None:
        planner, _ = make_planner()
        job = add_job(planner, "gent.1")
        call = CallMember(kind, 0, 1, not_after=planner.node.clock() - 0.1)
        # The node has no backend client, so sending a call raises.
        caller = GangCaller(planner.node)
        server = POOL.servers[0]
        answers = await caller.call_server(job.gang, job.specification, server, [call])
        assert [answer.kind for answer in answers] == [AnswerKind.STALE]

    asyncio.run(run())


def test_gangs_on_one_server_share_their_renewals() -> None:
    """Guards against renewal calls that grow with the gangs, not the servers."""

    async def run() -> None:
        planner, caller = make_planner()
        for number in range(4):
            add_job(planner, f"gent.{number}", accelerators_per_task=1)
        await step_until(planner, lambda: len(caller.batches) >= 2)
        assert caller.batches == [2, 2]

    asyncio.run(run())


def test_preempted_job_checkpoints_stops_and_waits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against preemption without a checkpoint or without a release."""
    monkeypatch.setattr(planner_module, "make_policy", UrgentFirst)

    async def run() -> None:
        planner, caller = make_planner()
        victim = add_job(planner, "gent.victim")
        await step_until(planner, lambda: victim.status.state is JobState.RUNNING)
        urgent = add_job(planner, "gent.urgent", urgent=True)
        await step_until(planner, lambda: urgent.status.state is JobState.RUNNING)
        assert victim.status.state is JobState.QUEUED
        kinds = [kind for job_id, kind in caller.sent if job_id == "gent.victim"]
        assert kinds[-2:] == [CallKind.CHECKPOINT, CallKind.RELEASE]
        planner.cancel_job("gent.urgent")
        assert urgent.status.state is JobState.CANCELLED
        await step_until(planner, lambda: victim.status.state is JobState.RUNNING)

    asyncio.run(run())


def test_policy_sees_the_whole_pool_once_per_step(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one plan per job, which would start jobs out of order."""
    monkeypatch.setattr(planner_module, "make_policy", UrgentFirst)

    async def run() -> None:
        planner, _ = make_planner()
        for number in range(3):
            add_job(planner, f"gent.{number}")
        await asyncio.sleep(0.01)
        del planner.inventories.newest["w2"]
        SEEN.clear()
        planner.plan_pools()
        assert [len(state.queued) for state in SEEN] == [3]
        assert SEEN[0].unusable == frozenset({"w2"})

    asyncio.run(run())


def test_queue_limit_and_repeated_submission() -> None:
    """Guards against one client account filling the queue, and duplicate jobs."""

    async def run() -> None:
        planner, _ = make_planner()
        specification = JobSpecification("koffie", "order-desk", 2)
        for job_id in ("gent.1", "gent.2", "gent.1"):
            result = await planner.submit_job(job_id, POOL.name, specification)
            assert result.is_ok() and not result.ok.recorded
        refused = await planner.submit_job("gent.3", POOL.name, specification)
        assert refused.error.kind is ProblemKind.QUEUE_FULL
        assert set(planner.jobs) == {"gent.1", "gent.2"}

    asyncio.run(run())


def test_superseded_job_is_dropped_without_an_end() -> None:
    """Guards against a fenced planner that records an end of a job it lost."""

    async def run() -> None:
        planner, caller = make_planner()
        job = add_job(planner, "gent.1")
        await step_until(planner, lambda: job.status.state is JobState.RUNNING)
        caller.silent.add("w1")
        await step_until(planner, lambda: any(m.pending for m in job.gang.members))
        call = CallMember(CallKind.RENEW, 0, job.gang.epoch, 0.0)
        planner.feed(job, MemberAnswered(call, AnswerKind.FENCED, 0.0))
        assert planner.show_job("gent.1") is None
        assert not planner.log.pending

    asyncio.run(run())


def test_recorded_end_is_shown_for_a_gang_that_still_runs_here() -> None:
    """Guards against "running" for an adopted job whose end another VM recorded."""

    async def run() -> None:
        planner, _ = make_planner()
        job = add_job(planner, "gent.1")
        await step_until(planner, lambda: job.status.state is JobState.RUNNING)
        ended = JobStatus("gent.1", JobState.FINISHED, answers=("42",))
        planner.log.fold_entry(JobEntry(EntryKind.ENDED, ended), 1)
        assert planner.show_job("gent.1") == ended

    asyncio.run(run())
