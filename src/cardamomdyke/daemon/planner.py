"""Queues, places and monitors the jobs of this VM's failure domain."""

import asyncio
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field, replace

from expression import Error, Ok, Result

from cardamomdyke.adapters.backend import TaskState
from cardamomdyke.daemon.coordinator import Coordinator
from cardamomdyke.daemon.gang_calls import GangCaller
from cardamomdyke.daemon.inventories import Inventories
from cardamomdyke.daemon.job_log import EntryKind, JobEntry, JobLog
from cardamomdyke.daemon.node import Node
from cardamomdyke.daemon.pools import (
    LastPlan,
    PlannedJob,
    check_uncertain,
    list_closed_servers,
    make_foreign_gang,
    make_plan_key,
    make_policy,
    make_pool_state,
    split_suspects,
)
from cardamomdyke.gangs.machine import check_end_proven, is_placeable, step
from cardamomdyke.gangs.state import (
    AnswerKind,
    CallKind,
    CallMember,
    CancelRequested,
    EndRecorded,
    Event,
    Gang,
    MemberAnswered,
    Phase,
    Placed,
    PreemptionRequested,
    RequestClaim,
    Superseded,
    Ticked,
)
from cardamomdyke.gangs.timing import RENEWAL_PERIOD_SECONDS
from cardamomdyke.model.errors import Problem, ProblemKind, make_problem
from cardamomdyke.model.jobs import (
    FINAL_STATES,
    JobSpecification,
    JobState,
    JobStatus,
)
from cardamomdyke.model.tables import Pool, find_pool, find_route
from cardamomdyke.placement.plan import PlacedGang, PoolState, plan_pool

STEP_PERIOD_SECONDS = 0.1
# A plan for 106 backend servers takes about 58 ms, so an unchanged pool is not
# planned at each step; time alone changes a plan only by the policy's timeouts.
REPLAN_PERIOD_SECONDS = 1.0
RUNNING_STEP_PERIOD_SECONDS = 0.5
MIN_RENEWAL_SECONDS = 0.2
RENEWALS_PER_RUN = 4
RETAINED_ENDED_JOBS = 2000

STATE_BY_PHASE = {
    Phase.QUEUED: JobState.QUEUED,
    Phase.CLAIMING: JobState.QUEUED,
    Phase.RESERVING: JobState.RESERVING,
    Phase.STARTING: JobState.STARTING,
    Phase.MARKING: JobState.STARTING,
    Phase.EXTENDING: JobState.STARTING,
    Phase.RUNNING: JobState.RUNNING,
    Phase.CHECKPOINTING: JobState.RUNNING,
}


@dataclass
class Planner:
    """Queues jobs, steps their gangs and records their ends.

    Attributes
    ----------
    node : Node
        The daemon's shared state.
    coordinator : Coordinator
        Decides whether tasks may start.
    log : JobLog
        Accepted and ended jobs.
    inventories : Inventories
        Newest inventories.
    caller : GangCaller
        Sends gangs' calls.
    jobs : dict of str to PlannedJob
        Jobs by id; the newest ended ones included.
    superseded_at : dict of str to float
        Steady-clock time, in seconds, at which each superseded job was dropped.
    background_tasks : set of asyncio.Task
        Calls in progress.
    renewal_batches : dict or None
        Renewals of the current step, by backend server; None between steps.
    last_plans : dict of (str, int) to LastPlan
        Last plan of each pool and group of its queued jobs.
    """

    node: Node
    coordinator: Coordinator
    log: JobLog
    inventories: Inventories
    caller: GangCaller
    jobs: dict[str, PlannedJob] = field(default_factory=dict)
    superseded_at: dict[str, float] = field(default_factory=dict)
    background_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    renewal_batches: dict[str, list[tuple[PlannedJob, list[CallMember]]]] | None = None
    last_plans: dict[tuple[str, int], LastPlan] = field(default_factory=dict)

    async def submit_job(
        self, job_id: str, pool: str, specification: JobSpecification
    ) -> Result[JobStatus, Problem]:
        """Queue a job; return the state of a known one."""
        known = self.show_job(job_id)
        if known is not None:
            return Ok(known)
        problem = self.check_queue(specification)
        if problem is not None:
            return Error(problem)
        job = self.add_job(job_id, pool, specification, time.time(), is_new=True)
        await self.log.record_and_wait(self.make_entry(job))
        return Ok(self.make_status(job))

    def check_queue(self, specification: JobSpecification) -> Problem | None:
        """Check the route's limit of queued jobs; None if the job may be queued."""
        configuration = self.node.configuration
        if configuration is None:
            return make_problem(ProblemKind.NO_CONFIGURATION, "no configuration yet")
        account, service = specification.client_account, specification.service
        route = find_route(configuration.tables, account, service)
        queued = sum(
            job.status.state is JobState.QUEUED
            and job.specification.client_account == account
            and job.specification.service == service
            for job in self.jobs.values()
        )
        if route is None or queued < route.queued_jobs:
            return None
        return make_problem(
            ProblemKind.QUEUE_FULL,
            f"client account {account!r} has {queued} jobs of {service!r} queued",
        )

    def add_job(
        self,
        job_id: str,
        pool: str,
        specification: JobSpecification,
        accepted_at: float,
        *,
        is_new: bool,
    ) -> PlannedJob:
        """Queue a job; not ``is_new`` if a previous planner may have started it."""
        now = self.node.clock()
        deadline = float("inf")
        if specification.deadline_seconds > 0:
            age = time.time() - accepted_at
            deadline = now - age + specification.deadline_seconds
        preferred_seconds = specification.run_seconds / RENEWALS_PER_RUN
        gang = Gang(
            job_id,
            specification.gang_size,
            specification.repeatable,
            self.node.holder,
            deadline_at=deadline,
            unknown_history=not is_new,
            renewal_seconds=min(
                RENEWAL_PERIOD_SECONDS, max(MIN_RENEWAL_SECONDS, preferred_seconds)
            ),
        )
        status = JobStatus(job_id, JobState.QUEUED, False, pool)
        job = PlannedJob(specification, status, gang, now, accepted_at)
        self.jobs[job_id] = job
        self.node.timeline.record_change("job.queued", job_id, pool)
        self.feed(job, Ticked())
        return job

    def make_entry(self, job: PlannedJob) -> JobEntry:
        """Return the log entry of an accepted job."""
        return JobEntry(
            EntryKind.ACCEPTED, job.status, job.specification, job.accepted_at
        )

    def show_job(self, job_id: str) -> JobStatus | None:
        """Return the state of a job, or None if it is unknown here.

        An end in the log is final, also while an adopted gang still runs here.
        """
        job = self.jobs.get(job_id)
        ended = self.log.ended.get(job_id)
        if job is None or (ended is not None and job.status.state not in FINAL_STATES):
            return ended
        return self.make_status(job)

    def make_status(self, job: PlannedJob) -> JobStatus:
        """Add to a job's status whether the log has it."""
        job_id = job.status.job_id
        recorded = job_id in self.log.accepted or job_id in self.log.ended
        return replace(job.status, recorded=recorded)

    def cancel_job(self, job_id: str) -> JobStatus | None:
        """Cancel a job; its members are stopped in the background."""
        job = self.jobs.get(job_id)
        if job is None:
            return self.log.ended.get(job_id)
        self.feed(job, CancelRequested())
        return self.make_status(job)

    def feed(self, job: PlannedJob, event: Event) -> None:
        """Step a job's gang and send the calls that it requests."""
        if self.jobs.get(job.status.job_id) is not job:
            return
        now = self.node.clock()
        job.stepped_at = now
        before = job.gang
        job.gang, actions = step(before, event, now)
        calls: dict[tuple[CallKind, str], list[CallMember]] = {}
        for action in actions:
            match action:
                case Superseded():
                    self.drop_superseded(job)
                    return
                case RequestClaim():
                    self.spawn(self.send_claim(job, action))
                case CallMember():
                    server = job.gang.placements[action.member].server
                    calls.setdefault((action.kind, server), []).append(action)
        for (kind, server), group in calls.items():
            if self.renewal_batches is not None and kind is CallKind.RENEW:
                self.renewal_batches.setdefault(server, []).append((job, group))
            else:
                self.spawn(self.send_calls(job, server, group))
        self.update_status(job)

    def spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        """Run calls in the background, so that slow gangs delay no others."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def send_claim(self, job: PlannedJob, request: RequestClaim) -> None:
        """Call the claim homes and step the gang with the answer."""
        answer = await self.caller.request_claim(job.gang, job.specification, request)
        self.feed(job, answer)

    async def send_calls(
        self, job: PlannedJob, name: str, calls: list[CallMember]
    ) -> None:
        """Call one backend server and step the gang with the answers."""
        server = self.inventories.find_servers().get(name)
        pool = self.find_pool(job)
        is_placement = calls[0].kind in (CallKind.RESERVE, CallKind.START)
        now = self.node.clock()
        if server is None:
            answers = [MemberAnswered(c, AnswerKind.NOT_SENT, now) for c in calls]
        elif is_placement and (pool is None or self.coordinator.check_start(pool)):
            answers = [MemberAnswered(c, AnswerKind.REFUSED, now) for c in calls]
        else:
            answers = await self.caller.call_server(
                job.gang, job.specification, server, calls
            )
        if any(answer.kind is AnswerKind.NOT_SENT for answer in answers):
            self.inventories.record_unreachable(name)
        for answer in answers:
            self.feed(job, answer)

    def find_pool(self, job: PlannedJob) -> Pool | None:
        """Return the pool of a job, if still in the tables."""
        configuration = self.node.configuration
        if configuration is None:
            return None
        return find_pool(configuration.tables, job.status.pool)

    def update_status(self, job: PlannedJob) -> None:
        """Update a job's status from its gang; record a proven end."""
        gang, before = job.gang, job.status.state
        if before in FINAL_STATES:
            return
        state = gang.ending.state if gang.ending else STATE_BY_PHASE[gang.phase]
        if state in FINAL_STATES and not check_end_proven(gang, self.node.clock()):
            return
        if state is before and gang.placements == job.status.placements:
            return
        answers: tuple[str, ...] = ()
        if state is JobState.FINISHED:
            answers = tuple(member.answer for member in gang.members)
        job.status = replace(
            job.status,
            state=state,
            placements=gang.placements,
            problem=gang.ending.problem if gang.ending else None,
            answers=answers,
        )
        if state is not before:
            self.node.timeline.record_change(f"job.{state.value}", gang.job_id)
            self.node.counters.count(f"job.{state.value}")
        if state in FINAL_STATES:
            self.spawn(self.record_end(job))

    async def record_end(self, job: PlannedJob) -> None:
        """Record the end of a job, then let the gang release its members."""
        recorded = self.log.record(JobEntry(EntryKind.ENDED, job.status))
        await recorded.wait()
        self.feed(job, EndRecorded())

    def drop_superseded(self, job: PlannedJob) -> None:
        """Drop a job that another planner took over."""
        job_id = job.status.job_id
        self.superseded_at[job_id] = self.node.clock()
        del self.jobs[job_id]
        self.node.timeline.record_change("job.superseded", job_id)

    async def step_forever(self) -> None:
        """Step the gangs and plan the pools, until cancelled."""
        while True:
            self.step_jobs()
            self.plan_pools()
            await asyncio.sleep(STEP_PERIOD_SECONDS)

    def step_jobs(self) -> None:
        """Apply timeouts to the gangs that are due and batch their renewals."""
        now = self.node.clock()
        self.renewal_batches = {}
        for job in list(self.jobs.values()):
            if job.gang.phase is not Phase.ENDED and check_step_due(job, now):
                self.feed(job, Ticked())
        batches, self.renewal_batches = self.renewal_batches, None
        for server, batch in batches.items():
            self.spawn(self.send_renewals(server, batch))
        self.drop_oldest_ended()

    async def send_renewals(
        self, name: str, batch: list[tuple[PlannedJob, list[CallMember]]]
    ) -> None:
        """Renew several gangs on one server in one call; singly if fenced."""
        server = self.inventories.find_servers().get(name)
        answers = None
        if server is not None and len(batch) > 1:
            gangs = [(job.gang, calls) for job, calls in batch]
            answers = await self.caller.renew_gangs(server, gangs)
        if answers is None:
            for job, calls in batch:
                self.spawn(self.send_calls(job, name, calls))
            return
        for (job, _), group in zip(batch, answers, strict=True):
            for answer in group:
                self.feed(job, answer)

    def drop_oldest_ended(self) -> None:
        """Drop the oldest ended jobs above `RETAINED_ENDED_JOBS`."""
        ended = [i for i, job in self.jobs.items() if job.gang.phase is Phase.ENDED]
        for job_id in ended[: max(0, len(ended) - RETAINED_ENDED_JOBS)]:
            del self.jobs[job_id]

    def plan_pools(self) -> None:
        """Run the policy once per pool and apply its plan."""
        now = self.node.clock()
        for pool in self.inventories.list_pools():
            jobs = [j for j in self.jobs.values() if j.status.pool == pool.name]
            queued = [j for j in jobs if is_placeable(j.gang, now)]
            if not queued or self.coordinator.check_start(pool) is not None:
                continue
            for number, group in enumerate(split_suspects(queued)):
                self.plan_group(pool, jobs, group, number, now)

    def plan_group(
        self,
        pool: Pool,
        jobs: list[PlannedJob],
        queued: list[PlannedJob],
        number: int,
        now: float,
    ) -> None:
        """Run the policy for one group of queued jobs and apply its plan."""
        unusable = self.inventories.list_unusable(pool)
        closed = list_closed_servers(jobs, queued)
        foreign = self.list_foreign(pool)
        state = make_pool_state(pool, jobs, queued, foreign, unusable | closed)
        if not self.check_plan_due(state, number, now):
            return
        plan = plan_pool(make_policy(), state, now)
        for start in plan.starts:
            self.feed(self.jobs[start.job_id], Placed(start.placements, start.borrowed))
        for preemption in plan.preemptions:
            victim = self.jobs.get(preemption.job_id)
            if victim is not None:
                self.feed(victim, PreemptionRequested())

    def check_plan_due(self, state: PoolState, number: int, now: float) -> bool:
        """Return True and store the key if the pool changed or its plan is too old."""
        key = make_plan_key(state)
        last = self.last_plans.get((state.pool.name, number))
        if last is not None and last.key == key:
            if now - last.planned_at < REPLAN_PERIOD_SECONDS:
                return False
        self.last_plans[state.pool.name, number] = LastPlan(key, now)
        return True

    def list_foreign(self, pool: Pool) -> list[PlacedGang]:
        """Return active members that were not placed from here."""
        names = {server.name for server in pool.servers}
        foreign: list[PlacedGang] = []
        for name, report in self.inventories.list_reports():
            active = report.state in (TaskState.RESERVED, TaskState.RUNNING)
            if name not in names or not active:
                continue
            job = self.jobs.get(report.job_id)
            if job is None or check_uncertain(job.gang):
                foreign.append(make_foreign_gang(name, report, pool.service))
        return foreign


def check_step_due(job: PlannedJob, now: float) -> bool:
    """Return True if due; gangs that renew rarely are due together, to share calls."""
    renews_rarely = job.gang.renewal_seconds >= 2 * RUNNING_STEP_PERIOD_SECONDS
    if job.gang.phase is not Phase.RUNNING or not renews_rarely:
        return True
    return (
        now // RUNNING_STEP_PERIOD_SECONDS
        > job.stepped_at // RUNNING_STEP_PERIOD_SECONDS
    )
