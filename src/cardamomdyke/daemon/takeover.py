"""Takes over jobs of former planners, and hands jobs to later ones."""

import asyncio
import time
from dataclasses import dataclass

from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder, encode

from cardamomdyke.adapters.backend import LeaseCall, TaskReport
from cardamomdyke.configuration.fold import list_server_names
from cardamomdyke.daemon.gossip import Gossiper
from cardamomdyke.daemon.inventories import (
    FIRST_SWEEP_SECONDS,
    SWEEP_SECONDS,
    URGENT_READ_SECONDS,
    Inventories,
    make_observed_member,
)
from cardamomdyke.daemon.job_log import JobLog
from cardamomdyke.daemon.node import Node
from cardamomdyke.daemon.planner import Planner
from cardamomdyke.daemon.pools import PlannedJob, check_uncertain
from cardamomdyke.gangs.adoption import Verdict, adopt_members, classify_members
from cardamomdyke.gangs.phases import list_servers
from cardamomdyke.gangs.state import (
    CancelRequested,
    ObservedMember,
    PartialGangFound,
    Phase,
    RequestClaim,
    Stage,
    SuspectServersCleared,
)
from cardamomdyke.membership.view import LIVE_SECONDS, Member
from cardamomdyke.model.jobs import JobSpecification, JobState
from cardamomdyke.protocol.gen.ttypes import JobAction, JobCall

PERIOD_SECONDS = 0.25
# Members of a former planner are looked for this often after a change of planner.
NEW_PLANNER_SECONDS = 15.0
# Two VMs that both believe to be the planner do not take a job from each other
# more often than this; by then their views agree.
RETAKE_SECONDS = 2 * LIVE_SECONDS

_SPECIFICATION_DECODER = Decoder(JobSpecification)


@dataclass
class Takeover:
    """Keeps the planner's jobs in step with log, inventories and membership.

    Attributes
    ----------
    node : Node
        The daemon's shared state.
    planner : Planner
        This VM's planner.
    gossiper : Gossiper
        Knows which VM plans for a failure domain.
    planner_since : float
        Monotonic time since which this VM is the planner; infinite while not.
    claimed_servers : tuple of str
        Backend servers at whose homes the jobs' claims were last put.
    """

    node: Node
    planner: Planner
    gossiper: Gossiper
    planner_since: float = float("inf")
    claimed_servers: tuple[str, ...] = ()

    @property
    def log(self) -> JobLog:
        """What the log keeps of jobs."""
        return self.planner.log

    @property
    def inventories(self) -> Inventories:
        """What the backend servers hold."""
        return self.planner.inventories

    async def run_forever(self) -> None:
        """Take over or hand over once a period, until cancelled."""
        while True:
            if self.node.configuration is not None:
                await self.run_once()
            await asyncio.sleep(PERIOD_SECONDS)

    async def run_once(self) -> None:
        """Take jobs over as the planner, else hand queued ones over."""
        own = self.node.settings.failure_domain
        self.end_recorded()
        planner = self.gossiper.find_planner(own)
        if planner is None or planner.name != self.node.settings.vm:
            self.planner_since = float("inf")
            if planner is not None:
                await self.hand_over(planner)
            return
        if self.planner_since == float("inf"):
            self.planner_since = self.node.clock()
            self.node.timeline.record_change("planner.began", own)
        self.take_recorded()
        self.record_expiring()
        self.refresh_claims()
        if self.check_sweep_due():
            await self.inventories.sweep()
            self.take_unknown()
            await self.release_leftovers()
        elif self.node.clock() >= self.inventories.urgent_at + URGENT_READ_SECONDS:
            uncertain = [
                j for j in self.planner.jobs.values() if check_uncertain(j.gang)
            ]
            wanted = {name for job in uncertain for name in self.list_wanted(job)}
            await self.inventories.read_servers(wanted)
        await asyncio.gather(
            *(self.settle(job) for job in list(self.planner.jobs.values()))
        )

    async def hand_over(self, planner: Member) -> None:
        """Give queued jobs to the planner; it adopts running gangs by itself."""
        for job in list(self.planner.jobs.values()):
            if job.gang.phase is not Phase.QUEUED:
                continue
            call = JobCall(
                action=JobAction.SUBMIT,
                job_id=job.status.job_id,
                pool=job.status.pool,
                specification=encode(job.specification),
                recorded=job.status.job_id in self.log.accepted,
            )
            result = await self.node.peers.handle_job(planner.peer_address, call)
            if result.is_ok() and result.ok.status:
                self.planner.give_up(job)

    def check_retake(self, job_id: str) -> bool:
        """Tell whether a job that is not known here may be taken over now."""
        if job_id in self.planner.jobs or job_id in self.log.ended:
            return False
        given_up = self.planner.given_up.get(job_id, float("-inf"))
        return self.node.clock() >= given_up + RETAKE_SECONDS

    def take_recorded(self) -> None:
        """Take over accepted jobs that the log names."""
        if not self.log.caught_up:
            return
        pools = {pool.name for pool in self.inventories.list_pools()}
        for job_id, entry in list(self.log.accepted.items()):
            if entry.specification is None or entry.status.pool not in pools:
                continue
            if self.check_retake(job_id):
                self.planner.add_job(
                    job_id,
                    entry.status.pool,
                    entry.specification,
                    entry.accepted_at,
                    fresh=False,
                )

    def end_recorded(self) -> None:
        """Go by the ends that a former planner recorded."""
        for job_id, job in list(self.planner.jobs.items()):
            ended = self.log.ended.get(job_id)
            if ended is None:
                continue
            if ended.state is JobState.CANCELLED:
                self.planner.feed(job, CancelRequested())
            elif job.gang.phase is Phase.QUEUED:
                del self.planner.jobs[job_id]

    def refresh_claims(self) -> None:
        """Put the claims of jobs at the homes of a changed set of servers."""
        configuration = self.node.configuration
        assert configuration is not None
        servers = list_server_names(configuration.tables)
        if self.claimed_servers and servers != self.claimed_servers:
            for job in self.planner.jobs.values():
                if job.gang.epoch > 0 and job.gang.phase is not Phase.ENDED:
                    self.planner.spawn(self.refresh_claim(job))
        self.claimed_servers = servers

    async def refresh_claim(self, job: PlannedJob) -> None:
        """Put the claim of one job at all of its homes."""
        gang = job.gang
        stage = Stage.STARTING if gang.placements else Stage.QUEUED
        if gang.was_extended:
            stage = Stage.EXTENDING
        ask = RequestClaim(gang.epoch, stage, list_servers(gang), take=False)
        answer = await self.planner.caller.request_claim(gang, job.specification, ask)
        self.node.counters.count(f"jobs.claim_refresh_{answer.kind.value}")

    def record_expiring(self) -> None:
        """Record jobs again before the log forgets them."""
        waiting = {p.entry.status.job_id for p in self.log.pending}
        for entry in self.log.list_expiring():
            job_id = entry.status.job_id
            if job_id in self.planner.jobs and job_id not in waiting:
                self.log.record(entry)

    def check_sweep_due(self) -> bool:
        """Tell whether all inventories are to be read now."""
        now = self.node.clock()
        new = now < self.planner_since + NEW_PLANNER_SECONDS
        period = FIRST_SWEEP_SECONDS if new else SWEEP_SECONDS
        return now >= self.inventories.swept_at + period

    def take_unknown(self) -> None:
        """Take over jobs that only inventories show."""
        if not self.log.caught_up and not self.log.unreadable:
            return
        servers = {
            server.name: pool.name
            for pool in self.inventories.list_pools()
            for server in pool.servers
        }
        for name, report in self.inventories.list_reports():
            if not self.check_retake(report.job_id):
                continue
            try:
                specification = _SPECIFICATION_DECODER.decode(report.specification)
            except (DecodeError, ValidationError):
                self.node.counters.count("jobs.inventory_malformed")
                continue
            self.planner.add_job(
                report.job_id,
                servers[name],
                specification,
                time.time() - report.ran_seconds,
                fresh=False,
            )

    async def release_leftovers(self) -> None:
        """Release members of ended jobs, which their planner no longer does."""
        servers = self.inventories.find_servers()
        calls: dict[str, list[LeaseCall]] = {}
        for name, report in self.inventories.list_reports():
            epoch = self.choose_release_epoch(report)
            if epoch is not None and name in servers:
                lease = LeaseCall(report.job_id, report.member, epoch, self.node.holder)
                calls.setdefault(name, []).append(lease)
        for leases in calls.values():
            self.node.counters.count("jobs.leftovers_released", len(leases))
        await asyncio.gather(
            *(
                self.node.backend.release_tasks(servers[name].address, tuple(leases))
                for name, leases in calls.items()
            )
        )

    def choose_release_epoch(self, report: TaskReport) -> int | None:
        """Return the epoch that releases a member of an ended job, else None."""
        job = self.planner.jobs.get(report.job_id)
        if job is None:
            return report.epoch + 1 if report.job_id in self.log.ended else None
        if job.gang.phase is not Phase.ENDED:
            return None
        # A former planner that is alive renews with its epoch until it is fenced.
        return max(job.gang.epoch, report.epoch + 1)

    async def settle(self, job: PlannedJob) -> None:
        """Adopt, clear or wait for what a former planner left of a job."""
        gang = job.gang
        if not check_uncertain(gang):
            return
        wanted = self.list_wanted(job)
        since = max(gang.not_before, job.queued_at)
        complete = self.inventories.check_read_since(wanted, since)
        observed = self.list_observed_members(job)
        match classify_members(gang, observed, complete, self.node.clock()):
            case Verdict.ADOPT:
                self.node.timeline.record_change("job.adopted", gang.job_id)
                self.planner.feed(job, adopt_members(observed))
            case Verdict.COUNTED:
                self.planner.feed(job, PartialGangFound())
            case Verdict.CLEAR:
                seen = {member.placement.server for member in observed}
                if await self.clear_servers(job, wanted | seen):
                    self.planner.feed(job, SuspectServersCleared())

    def list_wanted(self, job: PlannedJob) -> set[str]:
        """Return the backend servers that may hold members of a job."""
        if not job.gang.unknown_history:
            return set(job.gang.suspect_servers)
        pool = self.planner.find_pool(job)
        return {server.name for server in pool.servers} if pool else set()

    def list_observed_members(self, job: PlannedJob) -> list[ObservedMember]:
        """Return what inventories show of a job since it came here."""
        return [
            make_observed_member(name, report)
            for name, report in self.inventories.list_reports()
            if report.job_id == job.status.job_id
            and self.inventories.read[name].asked_at >= job.queued_at
        ]

    async def clear_servers(self, job: PlannedJob, names: set[str]) -> bool:
        """Release all members on some servers, which learn the new epoch by it."""
        servers = self.inventories.find_servers()
        leases = tuple(
            LeaseCall(job.gang.job_id, member, job.gang.epoch, job.gang.holder)
            for member in range(job.gang.size)
        )
        results = await asyncio.gather(
            *(
                self.node.backend.release_tasks(servers[name].address, leases)
                for name in sorted(names)
                if name in servers
            )
        )
        return all(result.is_ok() for result in results)
