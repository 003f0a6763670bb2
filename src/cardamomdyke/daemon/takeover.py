"""Takes over jobs from previous planners and hands jobs to later ones."""

import asyncio
import time
from collections.abc import Iterable
from dataclasses import dataclass

from msgspec.json import Decoder, encode

from cardamomdyke.adapters.backend import BackendFaultKind, LeaseCall, TaskReport
from cardamomdyke.configuration.fold import list_server_names
from cardamomdyke.daemon.gossip import Gossiper
from cardamomdyke.daemon.inventories import (
    SWEEP_PERIOD_SECONDS,
    TAKEOVER_SWEEP_PERIOD_SECONDS,
    URGENT_READ_PERIOD_SECONDS,
    Inventories,
    make_observed_member,
)
from cardamomdyke.daemon.job_log import JobEntry, JobLog
from cardamomdyke.daemon.node import Node
from cardamomdyke.daemon.planner import Planner
from cardamomdyke.daemon.pools import PlannedJob, check_uncertain
from cardamomdyke.gangs.adoption import Verdict, adopt_members, classify_members
from cardamomdyke.gangs.calls import describe_history
from cardamomdyke.gangs.state import (
    CancelRequested,
    ObservedMember,
    PartialGangFound,
    Phase,
    ReleaseFenced,
    RequestClaim,
    SuspectServersCleared,
)
from cardamomdyke.membership.view import HEARTBEAT_TIMEOUT_SECONDS, Member
from cardamomdyke.model.errors import DECODE_ERRORS
from cardamomdyke.model.jobs import JobSpecification, JobState
from cardamomdyke.protocol.gen.ttypes import JobAction, JobCall

TAKEOVER_PERIOD_SECONDS = 0.25
# How long a new planner reads inventories every `TAKEOVER_SWEEP_PERIOD_SECONDS`.
NEW_PLANNER_SECONDS = 15.0
# Two VMs that both act as planner take a job from each other at most this often;
# by then their views agree.
RETAKE_WAIT_SECONDS = 2 * HEARTBEAT_TIMEOUT_SECONDS

_SPECIFICATION_DECODER = Decoder(JobSpecification)


@dataclass
class Takeover:
    """Keeps the planner's jobs consistent with log, inventories and membership.

    Attributes
    ----------
    node : Node
        The daemon's shared state.
    planner : Planner
        This VM's planner.
    gossiper : Gossiper
        Finds the planner of a failure domain.
    planner_since : float
        Steady-clock time, in seconds, of becoming planner; infinite while not.
    claimed_servers : tuple of str
        Backend servers when claims were last placed.
    """

    node: Node
    planner: Planner
    gossiper: Gossiper
    planner_since: float = float("inf")
    claimed_servers: tuple[str, ...] = ()

    @property
    def log(self) -> JobLog:
        """Accepted and ended jobs."""
        return self.planner.log

    @property
    def inventories(self) -> Inventories:
        """Newest inventories."""
        return self.planner.inventories

    async def run_forever(self) -> None:
        """Take over or hand over jobs, until cancelled."""
        while True:
            if self.node.configuration is not None:
                await self.run_once()
            await asyncio.sleep(TAKEOVER_PERIOD_SECONDS)

    async def run_once(self) -> None:
        """Take over jobs as the planner, else hand over queued ones."""
        own = self.node.settings.failure_domain
        self.apply_recorded_ends()
        planner = self.gossiper.find_planner(own)
        if planner is None or planner.name != self.node.settings.vm:
            self.planner_since = float("inf")
            if planner is not None:
                await self.hand_over(planner)
            return
        if self.planner_since == float("inf"):
            self.planner_since = self.node.clock()
            self.node.timeline.record_change("planner.began", own)
        await self.add_recorded_jobs()
        self.record_expiring_jobs()
        self.refresh_claims()
        if self.check_sweep_due():
            await self.inventories.sweep()
            await self.add_unrecorded_jobs()
            await self.release_leftovers()
        elif (
            self.node.clock()
            >= self.inventories.urgent_read_at + URGENT_READ_PERIOD_SECONDS
        ):
            uncertain = [
                j for j in self.planner.jobs.values() if check_uncertain(j.gang)
            ]
            wanted = {
                name for job in uncertain for name in self.list_possible_servers(job)
            }
            await self.inventories.read_servers(wanted)
        await asyncio.gather(
            *(self.settle(job) for job in list(self.planner.jobs.values()))
        )

    async def hand_over(self, planner: Member) -> None:
        """Submit queued jobs to the planner, which adopts running gangs itself."""
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
                self.planner.drop_superseded(job)

    def check_retake(self, job_id: str) -> bool:
        """Return True for an unknown job that was not superseded recently."""
        if job_id in self.planner.jobs or job_id in self.log.ended:
            return False
        superseded_at = self.planner.superseded_at.get(job_id, float("-inf"))
        return self.node.clock() >= superseded_at + RETAKE_WAIT_SECONDS

    async def read_log_before_taking(self, job_ids: Iterable[str]) -> None:
        """Read the log to its end if any of these jobs is about to be taken over.

        The periodic read is up to a second old, and the previous planner may have
        recorded ends since. Without an answer of the log, the last read has to do.
        """
        if any(self.check_retake(job_id) for job_id in job_ids):
            await self.log.read_new_records()

    def list_recorded_jobs(self) -> dict[str, JobEntry]:
        """Return the accepted jobs of the own pools from the log, by id."""
        pools = {pool.name for pool in self.inventories.list_pools()}
        return {
            job_id: entry
            for job_id, entry in self.log.accepted.items()
            if entry.specification is not None and entry.status.pool in pools
        }

    async def add_recorded_jobs(self) -> None:
        """Add accepted jobs from the log."""
        if not self.log.caught_up:
            return
        await self.read_log_before_taking(self.list_recorded_jobs())
        for job_id, entry in self.list_recorded_jobs().items():
            if entry.specification is not None and self.check_retake(job_id):
                self.planner.add_job(
                    job_id,
                    entry.status.pool,
                    entry.specification,
                    entry.accepted_at,
                    is_new=False,
                )

    def apply_recorded_ends(self) -> None:
        """Cancel or drop jobs whose end a previous planner recorded."""
        for job_id, job in list(self.planner.jobs.items()):
            ended = self.log.ended.get(job_id)
            if ended is None:
                continue
            if ended.state is JobState.CANCELLED:
                self.planner.feed(job, CancelRequested())
            elif job.gang.phase is Phase.QUEUED:
                del self.planner.jobs[job_id]

    def refresh_claims(self) -> None:
        """Place the jobs' claims at their new homes after a change of servers."""
        configuration = self.node.configuration
        assert configuration is not None
        servers = list_server_names(configuration.tables)
        if self.claimed_servers and servers != self.claimed_servers:
            for job in self.planner.jobs.values():
                if job.gang.epoch > 0 and job.gang.phase is not Phase.ENDED:
                    self.planner.spawn(self.refresh_claim(job))
        self.claimed_servers = servers

    async def refresh_claim(self, job: PlannedJob) -> None:
        """Place the claim of one job at all of its homes."""
        gang = job.gang
        request = RequestClaim(gang.epoch, *describe_history(gang), take=False)
        answer = await self.planner.caller.request_claim(
            gang, job.specification, request
        )
        self.node.counters.count(f"jobs.claim_refresh_{answer.kind.value}")

    def record_expiring_jobs(self) -> None:
        """Record jobs again before the log drops their records."""
        pending_ids = {p.entry.status.job_id for p in self.log.pending}
        for entry in self.log.list_expiring():
            job_id = entry.status.job_id
            if job_id in self.planner.jobs and job_id not in pending_ids:
                self.log.record(entry)

    def check_sweep_due(self) -> bool:
        """Check the sweep period, which is shorter for a new planner."""
        now = self.node.clock()
        is_new = now < self.planner_since + NEW_PLANNER_SECONDS
        period = TAKEOVER_SWEEP_PERIOD_SECONDS if is_new else SWEEP_PERIOD_SECONDS
        return now >= self.inventories.swept_at + period

    async def add_unrecorded_jobs(self) -> None:
        """Add jobs that only inventories contain."""
        if not self.log.caught_up and not self.log.unreadable:
            return
        reports = self.inventories.list_reports()
        await self.read_log_before_taking(report.job_id for _, report in reports)
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
            except DECODE_ERRORS:
                self.node.counters.count("jobs.inventory_malformed")
                continue
            self.planner.add_job(
                report.job_id,
                servers[name],
                specification,
                time.time() - report.ran_seconds,
                is_new=False,
            )

    async def release_leftovers(self) -> None:
        """Release members of ended jobs, which their planners no longer do."""
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
        """Return the epoch that releases a member; None if its job has not ended."""
        job = self.planner.jobs.get(report.job_id)
        if job is None:
            return report.epoch + 1 if report.job_id in self.log.ended else None
        if job.gang.phase is not Phase.ENDED:
            return None
        # A previous planner that is alive renews with its epoch until it is fenced.
        return max(job.gang.epoch, report.epoch + 1)

    async def settle(self, job: PlannedJob) -> None:
        """Adopt, release or wait for a previous planner's members."""
        gang = job.gang
        if not check_uncertain(gang):
            return
        wanted = self.list_possible_servers(job)
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
                observed_servers = {member.placement.server for member in observed}
                event = await self.clear_servers(job, wanted | observed_servers)
                if event is not None:
                    self.planner.feed(job, event)

    def list_possible_servers(self, job: PlannedJob) -> set[str]:
        """Return the backend servers that may hold a job's members."""
        suspects = set(job.gang.suspect_servers)
        if not job.gang.unknown_history:
            return suspects
        pool = self.planner.find_pool(job)
        return suspects | ({server.name for server in pool.servers} if pool else set())

    def list_observed_members(self, job: PlannedJob) -> list[ObservedMember]:
        """Return a job's members in inventories read since it was queued."""
        return [
            make_observed_member(name, report)
            for name, report in self.inventories.list_reports()
            if report.job_id == job.status.job_id
            and self.inventories.newest[name].requested_at >= job.queued_at
        ]

    async def clear_servers(
        self, job: PlannedJob, names: set[str]
    ) -> SuspectServersCleared | ReleaseFenced | None:
        """Release all members on some servers; this also sets the new epoch there.

        Returns
        -------
        SuspectServersCleared, ReleaseFenced or None
            None when a server did not answer and none knows a later epoch.
        """
        epoch = job.gang.epoch
        servers = self.inventories.find_servers()
        leases = tuple(
            LeaseCall(job.gang.job_id, member, epoch, job.gang.holder)
            for member in range(job.gang.size)
        )
        results = await asyncio.gather(
            *(
                self.node.backend.release_tasks(servers[name].address, leases)
                for name in sorted(names)
                if name in servers
            )
        )
        faults = [result.error.kind for result in results if result.is_error()]
        if BackendFaultKind.FENCED in faults:
            self.node.timeline.record_change("job.release_fenced", job.gang.job_id)
            return ReleaseFenced(epoch)
        return None if faults else SuspectServersCleared()
