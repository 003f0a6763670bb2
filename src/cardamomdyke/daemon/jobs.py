"""Routes callers' job calls to the responsible planners."""

import time
from dataclasses import dataclass, fields
from uuid import uuid4

from expression import Error, Ok, Result
from msgspec.json import Decoder, encode
from xxhash import xxh3_128_hexdigest

from cardamomdyke.adapters.backend import Claim
from cardamomdyke.adapters.http import TransportFault, TransportFaultKind
from cardamomdyke.daemon.gossip import Gossiper
from cardamomdyke.daemon.node import Node
from cardamomdyke.daemon.planner import Planner
from cardamomdyke.gangs.homes import list_claim_homes
from cardamomdyke.gangs.state import Phase
from cardamomdyke.membership.view import Member, list_live
from cardamomdyke.model.errors import Problem, ProblemKind, make_problem
from cardamomdyke.model.jobs import JobSpecification, JobState, JobStatus
from cardamomdyke.model.outcomes import NotKnown, NotRun
from cardamomdyke.model.tables import (
    Pool,
    find_failure_domain,
    find_pool,
    find_route,
)
from cardamomdyke.protocol.gen.ttypes import JobAction, JobCall, JobReply


@dataclass(frozen=True, slots=True)
class PeerStatus(JobStatus):
    """State of a job as VMs tell each other.

    VMs of an older build ignore and omit the additional field.

    Attributes
    ----------
    taken_over : bool
        True while the planner does not know how far a previous one has come.
    """

    taken_over: bool = False


_STATUS_DECODER = Decoder(JobStatus)
_PEER_STATUS_DECODER = Decoder(PeerStatus)
_SPECIFICATION_DECODER = Decoder(JobSpecification)


@dataclass
class JobManager:
    """Routes job calls to the planners of failure domains.

    Attributes
    ----------
    node : Node
        The daemon's shared state.
    planner : Planner
        This VM's planner.
    gossiper : Gossiper
        Finds the planner of a failure domain.
    """

    node: Node
    planner: Planner
    gossiper: Gossiper

    async def submit_job(
        self, specification: JobSpecification
    ) -> Result[JobStatus, NotRun | NotKnown]:
        """Choose a pool and submit the job to its planner.

        Parameters
        ----------
        specification : JobSpecification
            The caller's request.

        Returns
        -------
        Result of JobStatus or NotRun or NotKnown
            The queued job; ``NotKnown`` if it may have been accepted.
        """
        chosen = self.choose_pool(specification)
        if chosen.is_error():
            return Error(NotRun(chosen.error))
        if specification.idempotency_key:
            claimed = await self.claim_pool(specification, chosen.ok)
            if claimed.is_error():
                return Error(claimed.error)
            chosen = Ok(claimed.ok)
        pool = chosen.ok
        call = JobCall(
            action=JobAction.SUBMIT,
            job_id=make_job_id(pool.failure_domain, specification),
            pool=pool.name,
            specification=encode(specification),
            recorded=False,
        )
        return await self.send_submission(pool.failure_domain, call)

    async def claim_pool(
        self, specification: JobSpecification, pool: Pool
    ) -> Result[Pool, NotRun | NotKnown]:
        """Claim the idempotency key and return the pool of its first claim.

        All VMs call the same claim homes, so a key is one job in one pool.
        """
        configuration = self.node.configuration
        assert configuration is not None
        key = f"job\0{specification.client_account}\0{specification.idempotency_key}"
        digest = xxh3_128_hexdigest(encode(specification))
        claim = Claim(key, digest, pool.name, "")
        for home in list_claim_homes(configuration, key, time.time()):
            result = await self.node.backend.claim_key(home.address, claim)
            if result.is_error():
                return Error(NotKnown(make_claim_home_problem(home.name)))
            self.node.update_ticket(home.name, result.ok.ticket)
            claim = result.ok.claim
        if claim.digest != digest:
            message = "the idempotency key belongs to another job"
            return Error(NotRun(make_problem(ProblemKind.KEY_REUSED, message)))
        first = find_pool(configuration.tables, claim.server)
        if first is None:
            message = f"pool {claim.server} of this key is no longer in the pools table"
            problem = make_problem(ProblemKind.START_UNCONFIRMED, message)
            return Error(NotKnown(problem))
        return Ok(first)

    async def send_submission(
        self, failure_domain: str, call: JobCall
    ) -> Result[JobStatus, NotRun | NotKnown]:
        """Submit a new job to the planner of its failure domain."""
        planner = self.gossiper.find_planner(failure_domain)
        if planner is None:
            return Error(NotRun(make_no_vm_problem(failure_domain)))
        reply = await self.call_vm(planner, call)
        if reply.is_error():
            problem = make_no_answer_problem(planner.name, reply.error)
            if reply.error.kind is TransportFaultKind.NOT_SENT:
                return Error(NotRun(problem))
            return Error(NotKnown(problem))
        status = _STATUS_DECODER.decode(reply.ok.status)
        if status.state is JobState.NOT_RUN and status.problem is not None:
            return Error(NotRun(status.problem))
        return Ok(status)

    def choose_pool(self, specification: JobSpecification) -> Result[Pool, Problem]:
        """Choose the route's first pool in service whose total capacity fits."""
        configuration = self.node.configuration
        if configuration is None:
            return Error(
                make_problem(ProblemKind.NO_CONFIGURATION, "no configuration is known")
            )
        route = find_route(
            configuration.tables, specification.client_account, specification.service
        )
        if route is None:
            return Error(
                make_problem(
                    ProblemKind.UNKNOWN_CLIENT_ACCOUNT,
                    f"no route for client account {specification.client_account!r} "
                    f"and service {specification.service!r}",
                )
            )
        has_fitting_pool = False
        for name in route.pools:
            pool = find_pool(configuration.tables, name)
            if pool is None or not check_shape_fits(pool, specification):
                continue
            has_fitting_pool = True
            domain = find_failure_domain(configuration.tables, pool.failure_domain)
            if domain is not None and domain.in_service:
                return Ok(pool)
        kind = (
            ProblemKind.FAILURE_DOMAIN_OUT
            if has_fitting_pool
            else ProblemKind.IMPOSSIBLE_SHAPE
        )
        return Error(make_problem(kind, "no pool of the route can take the job"))

    async def show_job(self, job_id: str) -> Result[JobStatus, NotRun | NotKnown]:
        """Return the state of a job."""
        return await self.call_failure_domain(JobCall(JobAction.SHOW, job_id))

    async def cancel_job(self, job_id: str) -> Result[JobStatus, NotRun | NotKnown]:
        """Cancel a job; idempotent."""
        return await self.call_failure_domain(JobCall(JobAction.CANCEL, job_id))

    async def call_failure_domain(
        self, call: JobCall
    ) -> Result[JobStatus, NotRun | NotKnown]:
        """Call the planner of a job's failure domain, then its other VMs.

        The previous planner may still hold the job. It may have shown a later state
        than the planner that took it over, also an end that is not yet in the log.
        """
        domain = call.job_id.rpartition(".")[0]
        no_answer: Problem | None = None
        taken_over: JobStatus | None = None
        for member in self.list_possible_planners(domain):
            reply = await self.call_vm(member, call)
            if reply.is_ok() and reply.ok.status:
                if not _PEER_STATUS_DECODER.decode(reply.ok.status).taken_over:
                    return Ok(_STATUS_DECODER.decode(reply.ok.status))
                taken_over = taken_over or _STATUS_DECODER.decode(reply.ok.status)
            if reply.is_error():
                no_answer = make_no_answer_problem(member.name, reply.error)
        ended = self.planner.log.ended.get(call.job_id)
        if ended is not None:
            return Ok(ended)
        if taken_over is not None:
            return Ok(taken_over)
        if no_answer is not None:
            return Error(NotKnown(no_answer))
        return Error(self.make_unknown_job_outcome(call.job_id))

    def list_possible_planners(self, failure_domain: str) -> list[Member]:
        """Return the live VMs of a failure domain, its planner first."""
        planner = self.gossiper.find_planner(failure_domain)
        live = list_live(self.node.view, self.node.clock(), failure_domain)
        first = [planner] if planner else []
        return first + [member for member in live if member != planner]

    def make_unknown_job_outcome(self, job_id: str) -> NotRun | NotKnown:
        """Return ``NotRun`` if the log lacks it and each failure domain has a VM."""
        if job_id in self.planner.log.accepted:
            problem = make_problem(
                ProblemKind.PEER_UNREACHABLE,
                f"job {job_id} was accepted; its planner is being replaced",
            )
            return NotKnown(problem)
        configuration = self.node.configuration
        domains = configuration.tables.failure_domains if configuration else ()
        missing = [d.name for d in domains if not self.list_possible_planners(d.name)]
        if missing or not domains:
            return NotKnown(make_no_vm_problem(", ".join(missing)))
        message = f"no job {job_id!r} is known"
        return NotRun(make_problem(ProblemKind.UNKNOWN_JOB, message))

    async def call_vm(
        self, member: Member, call: JobCall
    ) -> Result[JobReply, TransportFault]:
        """Call a VM; without the network if it is this one."""
        if member.name == self.node.settings.vm:
            return Ok(await self.answer_call(call))
        return await self.node.peers.handle_job(member.peer_address, call)

    async def answer_call(self, call: JobCall) -> JobReply:
        """Answer a job call; without a status for an unknown job."""
        status: JobStatus | None
        if call.action == JobAction.SUBMIT:
            status = await self.queue_submission(call)
        elif call.action == JobAction.CANCEL:
            status = self.planner.cancel_job(call.job_id)
        else:
            status = self.show_own_job(call.job_id)
        return JobReply(status=encode(status) if status else b"")

    def show_own_job(self, job_id: str) -> JobStatus | None:
        """Return the state of a job here, marked while a previous one may be later."""
        status = self.planner.show_job(job_id)
        job = self.planner.jobs.get(job_id)
        if status is None or job is None:
            return status
        if job.gang.phase is not Phase.QUEUED or not job.gang.unknown_history:
            return status
        values = {item.name: getattr(status, item.name) for item in fields(status)}
        return PeerStatus(**values, taken_over=True)

    async def queue_submission(self, call: JobCall) -> JobStatus:
        """Queue a job; the state ``NOT_RUN`` means refused."""
        specification = _SPECIFICATION_DECODER.decode(call.specification)
        result = await self.planner.submit_job(call.job_id, call.pool, specification)
        if result.is_ok():
            return result.ok
        return JobStatus(
            call.job_id, JobState.NOT_RUN, pool=call.pool, problem=result.error
        )


def make_claim_home_problem(server: str) -> Problem:
    """Return the problem of a claim home that did not answer."""
    message = f"claim home {server} did not answer"
    return make_problem(ProblemKind.CLAIM_HOME_UNREACHABLE, message)


def make_no_vm_problem(failure_domains: str) -> Problem:
    """Return the problem of failure domains without a reachable VM."""
    message = f"no live VM is known in failure domain {failure_domains!r}"
    return make_problem(ProblemKind.PEER_UNREACHABLE, message)


def make_no_answer_problem(vm: str, fault: TransportFault) -> Problem:
    """Return the problem of a VM that did not answer a job call."""
    message = f"VM {vm} did not answer: {fault.detail}"
    return make_problem(ProblemKind.PEER_UNREACHABLE, message)


def make_job_id(failure_domain: str, specification: JobSpecification) -> str:
    """Return a job id, equal for equal client account and idempotency key."""
    if not specification.idempotency_key:
        return f"{failure_domain}.{uuid4().hex}"
    key = f"{specification.client_account}\0{specification.idempotency_key}"
    return f"{failure_domain}.{xxh3_128_hexdigest(key.encode())}"


def check_shape_fits(pool: Pool, specification: JobSpecification) -> bool:
    """Check gang size and adjacency against the pool's total capacity."""
    per_server = [
        server.accelerators // specification.accelerators_per_task
        for server in pool.servers
    ]
    match specification.adjacency.value:
        case "server":
            return max(per_server, default=0) >= specification.gang_size
        case "rack":
            racks: dict[str, int] = {}
            for server, fits in zip(pool.servers, per_server, strict=True):
                racks[server.rack] = racks.get(server.rack, 0) + fits
            return max(racks.values(), default=0) >= specification.gang_size
        case _:
            return sum(per_server) >= specification.gang_size
