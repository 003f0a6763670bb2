"""Sends the calls of attempts and converts results into events."""

import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from expression import Error, Ok, Result
from xxhash import xxh3_64_hexdigest

from cardamomdyke.adapters.backend import BackendFault, BackendFaultKind
from cardamomdyke.adapters.http import PROGRESS_TIMEOUT_SECONDS, TransportFaultKind
from cardamomdyke.adapters.runs import KeyCall, RunClient, RunReply
from cardamomdyke.configuration.evidence import Standing
from cardamomdyke.daemon.node import Node
from cardamomdyke.daemon.permits import check_start, find_standing
from cardamomdyke.dispatch.claims import (
    ClaimAnswer,
    choose_ticket,
    list_homes,
    parse_boot_id,
    permit_claimed_start,
)
from cardamomdyke.dispatch.ejection import (
    HEALTHY,
    ServerHealth,
    count_ejected,
    end_probe,
    record_failure,
    start_probe,
)
from cardamomdyke.dispatch.events import (
    AnswerLost,
    AnswerReceived,
    AttemptEvent,
    CallClaimHome,
    ClaimAnswered,
    ClaimFailed,
    ClaimHomesChanged,
    ClaimTicketRefused,
    LookUp,
    RequestFailed,
    RequestNotSeen,
    SendStart,
    ServerBlocked,
    ServerRestarted,
    StartExpired,
    StartRefused,
    StillRunning,
    TicketRefused,
)
from cardamomdyke.dispatch.limits import RetryBudget, spend_retry
from cardamomdyke.dispatch.states import Attempt
from cardamomdyke.membership.view import list_live
from cardamomdyke.model.errors import Problem, ProblemKind, make_problem
from cardamomdyke.model.requests import ShortRequest
from cardamomdyke.model.tables import (
    BackendServer,
    Pool,
    iterate_servers,
)
from cardamomdyke.protocol.gen.ttypes import DispatchCall, DispatchReply, OutcomeKind

# A server that reported draining gets no new work for this long; by then the VM
# list names it as leaving.
DRAINING_EXCLUSION_SECONDS = 30.0
LEAVING = "leaving"


@dataclass
class Starter:
    """Sends starts, claims and lookups, and tracks the health of servers.

    Times are steady-clock seconds.

    Attributes
    ----------
    node : Node
        The daemon's shared state.
    runs : RunClient
        Client of the backend servers.
    random : Random
        Source of choices.
    running : Counter of str to int
        Requests of this VM, by backend server.
    health : dict of str to ServerHealth
        Failures and ejections, by backend server.
    answered_at : dict of str to float
        Last reply of each backend server.
    draining_until : dict of str to float
        End of the exclusion of each draining backend server.
    budget : RetryBudget
        Retries that may still be made.
    """

    node: Node
    runs: RunClient
    random: Random = field(default_factory=Random)
    running: Counter[str] = field(default_factory=Counter)
    health: dict[str, ServerHealth] = field(default_factory=dict)
    answered_at: dict[str, float] = field(default_factory=dict)
    draining_until: dict[str, float] = field(default_factory=dict)
    budget: RetryBudget = RetryBudget()

    def find_server(self, name: str) -> tuple[Pool, BackendServer] | None:
        """Return a backend server of the tables in force and its pool, or None."""
        configuration = self.node.configuration
        if configuration is None:
            return None
        for pool, server in iterate_servers(configuration.tables):
            if server.name == name:
                return pool, server
        return None

    def find_address(self, name: str) -> str:
        """Return a server's address, also after it left the tables; may be empty."""
        found = self.find_server(name)
        if found is not None:
            return found[1].address
        machine = self.node.machines.get(name)
        return machine.caller_address if machine else ""

    def check_leaving(self, name: str) -> bool:
        """Return whether a backend server is draining or leaving."""
        if self.draining_until.get(name, 0.0) > self.node.clock():
            return True
        machine = self.node.machines.get(name)
        return machine is not None and machine.state.value == LEAVING

    def check_pool(self, pool: Pool) -> Problem | None:
        """Return why no task may start in the pool now, or None."""
        return check_start(self.node, pool.failure_domain)

    async def call_claim_home(
        self, request_id: str, action: CallClaimHome
    ) -> AttemptEvent:
        """Send a claim to a claim home."""
        address = self.find_address(action.home)
        if not address:
            return ClaimFailed(
                make_claim_home_problem(action.home, "its address is not known")
            )
        sent_at = self.node.clock()
        call = KeyCall(action.claim, action.first, self.node.find_ticket(action.home))
        result = await self.runs.claim_key(address, call)
        if result.is_ok():
            reply = result.ok
            self.node.update_ticket(action.home, reply.ticket)
            detail = f"{action.home} {reply.claim.server}"
            self.node.timeline.record("request.claimed", request_id, detail)
            answer = ClaimAnswer(reply.claim, reply.created, reply.remaining_seconds)
            return ClaimAnswered(answer, sent_at)
        fault = result.error
        self.node.update_ticket(action.home, fault.ticket)
        if fault.kind is BackendFaultKind.STALE_TICKET:
            return ClaimTicketRefused()
        if fault.kind is BackendFaultKind.FORGOTTEN:
            message = f"claim home {action.home} restarted and lost its claims"
            return ClaimFailed(make_problem(ProblemKind.CLAIM_LOST, message))
        return ClaimFailed(make_claim_home_problem(action.home, fault.detail))

    async def send_start(
        self, attempt: Attempt, request: ShortRequest, action: SendStart
    ) -> AttemptEvent:
        """Send the request to a backend server, or forward it to a VM there."""
        refusal = self.check_start(attempt, action)
        if refusal is not None:
            return refusal
        found = self.find_server(action.server)
        assert found is not None
        pool, server = found
        self.running[server.name] += 1
        self.health[server.name] = start_probe(self.health.get(server.name, HEALTHY))
        try:
            if pool.failure_domain != self.node.settings.failure_domain:
                return await self.forward_start(request, pool, server, action.boot_id)
            return await self.send_locally(request, pool, server, action.boot_id)
        finally:
            self.running[server.name] -= 1
            self.health[server.name] = end_probe(self.health[server.name])

    def check_start(self, attempt: Attempt, action: SendStart) -> AttemptEvent | None:
        """Return why the start must not be sent, or None."""
        configuration = self.node.configuration
        found = self.find_server(action.server)
        if configuration is None or found is None:
            message = f"backend server {action.server} is not in the pools table"
            return ServerBlocked(make_problem(ProblemKind.NO_CAPACITY, message))
        problem = self.check_pool(found[0])
        if problem is None and self.check_leaving(action.server):
            message = f"backend server {action.server} is leaving"
            problem = make_problem(ProblemKind.NO_CAPACITY, message)
        if attempt.key:
            homes = list_homes(configuration, attempt.key, time.time())
            if homes != attempt.claim_progress.homes:
                return ClaimHomesChanged(homes)
            problem = problem or self.check_claimed_start()
        if problem is None:
            return None
        return ServerBlocked(problem) if attempt.key else StartRefused(problem)

    def check_claimed_start(self) -> Problem | None:
        """Return why no request with a claim may start now, or None."""
        standing = find_standing(self.node)
        has_evidence = standing in (Standing.CURRENT, Standing.MUTUAL_CONTACT)
        age_seconds = self.node.clock() - self.node.evidence.observed_at
        if permit_claimed_start(age_seconds, has_evidence):
            return None
        message = "the tables are not known to be current; claim homes may have changed"
        return make_problem(ProblemKind.ISOLATED, message)

    async def send_locally(
        self, request: ShortRequest, pool: Pool, server: BackendServer, boot_id: str
    ) -> AttemptEvent:
        """Send the request to a backend server of the own failure domain."""
        ticket = choose_ticket(self.node.find_ticket(server.name), boot_id)
        self.node.timeline.record("request.started", request.request_id, server.name)
        self.node.counters.count("request.starts")
        result = await self.runs.run_request(server.address, request, ticket)
        self.record_result(request, pool, server.name, result)
        if result.is_ok():
            return AnswerReceived(result.ok.body, result.ok.content_type)
        refusal = f"{server.name} {result.error.kind.value}"
        self.node.timeline.record("request.refused", request.request_id, refusal)
        return self.handle_start_fault(result.error, server.name, ticket)

    def handle_start_fault(
        self, fault: BackendFault, server: str, ticket: str
    ) -> AttemptEvent:
        """Return the event of a failed start; record a draining server."""
        self.node.counters.count(f"start.{fault.kind.value}")
        detail = fault.detail or fault.kind.value
        match fault.kind:
            case BackendFaultKind.STALE_TICKET:
                return TicketRefused(parse_boot_id(fault.ticket))
            case BackendFaultKind.IN_PROGRESS:
                return StillRunning()
            case BackendFaultKind.DRAINING:
                self.draining_until[server] = (
                    self.node.clock() + DRAINING_EXCLUSION_SECONDS
                )
            case BackendFaultKind.BUSY | BackendFaultKind.NOT_SENT:
                pass
            case BackendFaultKind.FAILED:
                return RequestFailed(detail, self.spend_retry())
            case _:
                return AnswerLost(detail, ticket, self.spend_retry())
        message = f"backend server {server}: {detail}"
        return StartRefused(make_problem(ProblemKind.BUSY, message))

    def spend_retry(self) -> bool:
        """Take one retry from the budget; return False if there is none."""
        self.budget, allowed = spend_retry(self.budget)
        return allowed

    def record_result(
        self,
        request: ShortRequest,
        pool: Pool,
        server: str,
        result: Result[RunReply, BackendFault],
    ) -> None:
        """Store the ticket and update the server's health."""
        now = self.node.clock()
        ticket = result.ok.ticket if result.is_ok() else result.error.ticket
        self.node.update_ticket(server, ticket)
        before = self.health.get(server, HEALTHY)
        if result.is_ok():
            self.answered_at[server] = now
            self.health[server] = HEALTHY
        elif check_server_failure(
            result.error, now - self.answered_at.get(server, -1e9)
        ):
            names = [s.name for s in pool.servers if s.name != server]
            kind = f"{request.client_account}/{xxh3_64_hexdigest(request.body)}"
            ejected = count_ejected(self.health, names)
            self.health[server] = record_failure(
                before, kind, ejected, len(pool.servers), now
            )
        elif result.error.ticket:
            self.answered_at[server] = now
        if before.ejected != self.health.get(server, HEALTHY).ejected:
            state = "ejected" if not before.ejected else "returned"
            self.node.timeline.record_change(f"server.{state}", server)

    async def forward_start(
        self, request: ShortRequest, pool: Pool, server: BackendServer, boot_id: str
    ) -> AttemptEvent:
        """Forward the request to a VM of the backend server's failure domain."""
        domain = pool.failure_domain
        peers = list_live(self.node.view, self.node.clock(), domain)
        peers = [peer for peer in peers if not peer.draining]
        if not peers:
            message = f"no live VM is known in failure domain {domain}"
            return StartRefused(make_problem(ProblemKind.PEER_UNREACHABLE, message))
        peer = self.random.choice(peers)
        call = make_dispatch_call(request, server.name, boot_id)
        self.node.counters.count("request.forwarded")
        detail = f"{peer.name} {server.name}"
        self.node.timeline.record("request.forwarded", request.request_id, detail)
        result = await self.node.peers.dispatch_request(
            peer.peer_address, call, request.deadline_seconds
        )
        if result.is_ok():
            return self.handle_dispatch_reply(result.ok, request.request_id, peer.name)
        if result.error.kind is TransportFaultKind.NOT_SENT:
            message = f"VM {peer.name} could not be reached"
            return StartRefused(make_problem(ProblemKind.PEER_UNREACHABLE, message))
        return AnswerLost(
            f"VM {peer.name} did not answer", may_retry=self.spend_retry()
        )

    def handle_dispatch_reply(
        self, reply: DispatchReply, request_id: str, peer: str
    ) -> AttemptEvent:
        """Return the event of a VM's reply; one to another request proves nothing."""
        if reply.request_id != request_id:
            detail = f"VM {peer} sent the answer to another request"
            return AnswerLost(detail, may_retry=self.spend_retry())
        if reply.outcome == OutcomeKind.FINISHED:
            return AnswerReceived(reply.body or b"", reply.content_type)
        problem = parse_problem(reply)
        if reply.outcome == OutcomeKind.NOT_RUN:
            return StartRefused(problem)
        if problem.kind is ProblemKind.SERVER_RESTARTED:
            return ServerRestarted()
        return AnswerLost(problem.message, may_retry=self.spend_retry())

    async def look_up(self, request: ShortRequest, action: LookUp) -> AttemptEvent:
        """Query the result of a start at its backend server."""
        address = self.find_address(action.server)
        if not address:
            return RequestNotSeen()
        result = await self.runs.look_up(address, request.request_id, action.ticket)
        if result.is_ok():
            return AnswerReceived(result.ok.body, result.ok.content_type)
        match result.error.kind:
            case BackendFaultKind.IN_PROGRESS:
                return StillRunning()
            case BackendFaultKind.UNKNOWN:
                return StartExpired()
            case BackendFaultKind.FORGOTTEN:
                return ServerRestarted()
            case BackendFaultKind.FAILED:
                return RequestFailed("the request failed", self.spend_retry())
            case _:
                return RequestNotSeen()

    async def find_boot_id(self, server: str) -> Result[str, Problem]:
        """Return a server's current boot id, from its start ticket or a call."""
        if not self.node.find_ticket(server):
            ticket = await self.runs.read_ticket(self.find_address(server))
            self.node.update_ticket(server, ticket)
        boot_id = parse_boot_id(self.node.find_ticket(server))
        if boot_id:
            return Ok(boot_id)
        message = f"backend server {server} does not answer"
        return Error(make_problem(ProblemKind.NO_CAPACITY, message))


def check_server_failure(fault: BackendFault, seconds_since_reply: float) -> bool:
    """Return whether a failed start counts against the server's health.

    A silent connection does not while the server's other connections work.
    """
    if fault.kind in (BackendFaultKind.NOT_SENT, BackendFaultKind.FAILED):
        return True
    if fault.kind is not BackendFaultKind.UNCERTAIN:
        return False
    return not fault.silent or seconds_since_reply > PROGRESS_TIMEOUT_SECONDS


def make_claim_home_problem(home: str, detail: str) -> Problem:
    """Create the problem of a claim home that did not answer."""
    message = f"claim home {home}: {detail}"
    return make_problem(ProblemKind.CLAIM_HOME_UNREACHABLE, message)


def make_dispatch_call(
    request: ShortRequest, server: str, boot_id: str
) -> DispatchCall:
    """Create the message that forwards a request to another VM."""
    return DispatchCall(
        request_id=request.request_id,
        client_account=request.client_account,
        service_name=request.service,
        body=request.body,
        content_type=request.content_type,
        repeatable=request.repeatable,
        idempotency_key=request.idempotency_key,
        deadline_ms=int(request.deadline_seconds * 1000),
        server=server,
        boot_id=boot_id,
    )


def parse_problem(reply: DispatchReply) -> Problem:
    """Create the problem of a reply; an unknown kind becomes ``internal``."""
    try:
        kind = ProblemKind(reply.problem_kind)
    except ValueError:
        kind = ProblemKind.INTERNAL
    return Problem(kind, reply.message, reply.remedy, reply.retry_after_seconds or None)
