"""Runs short requests of callers, and those that other VMs forward."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field, replace

from xxhash import xxh3_128_hexdigest

from cardamomdyke.adapters.runs import RunClient
from cardamomdyke.daemon.node import Node
from cardamomdyke.daemon.starts import Starter
from cardamomdyke.dispatch.attempts import step_attempt
from cardamomdyke.dispatch.claims import list_homes, make_claim_key
from cardamomdyke.dispatch.ejection import HEALTHY, permit_use
from cardamomdyke.dispatch.events import (
    AttemptAction,
    AttemptEvent,
    AttemptStarted,
    CallClaimHome,
    ChooseServer,
    Finish,
    LookUp,
    NoServerFree,
    SendStart,
    ServerChosen,
    StartRefused,
    Wait,
    WaitEnded,
)
from cardamomdyke.dispatch.limits import (
    TokenBucket,
    earn_retry,
    permit_queueing,
    take_token,
)
from cardamomdyke.dispatch.routing import Candidate, choose_candidate
from cardamomdyke.dispatch.states import Attempt, make_attempt
from cardamomdyke.model.errors import Problem, ProblemKind, make_problem
from cardamomdyke.model.outcomes import Finished, NotKnown, NotRun, Outcome
from cardamomdyke.model.requests import ShortRequest
from cardamomdyke.model.tables import (
    BackendServer,
    Pool,
    Route,
    find_failure_domain,
    find_pool,
    find_route,
)
from cardamomdyke.protocol.gen.ttypes import DispatchCall, DispatchReply, OutcomeKind

# Problems that waiting in the queue does not solve.
NO_WAIT_PROBLEM_KINDS = frozenset({ProblemKind.FAILURE_DOMAIN_OUT})
# A request waits this long for an isolated failure domain; then another VM is the
# better choice.
ISOLATED_TIMEOUT_SECONDS = 5.0


@dataclass
class Coordinator:
    """Runs the state machines of short requests.

    Attributes
    ----------
    node : Node
        The daemon's shared state.
    starter : Starter
        Sends their calls.
    buckets : dict of str to TokenBucket
        Rate limits, by client account and service.
    queued : Counter of str to int
        Waiting requests, by client account.
    slot_freed : asyncio.Event
        Set and replaced whenever a request ends.
    """

    node: Node
    starter: Starter
    buckets: dict[str, TokenBucket] = field(default_factory=dict)
    queued: Counter[str] = field(default_factory=Counter)
    slot_freed: asyncio.Event = field(default_factory=asyncio.Event)

    async def run_request(self, request: ShortRequest) -> Outcome:
        """Run a short request and return its outcome.

        Parameters
        ----------
        request : ShortRequest
            Request of a caller.

        Returns
        -------
        Outcome
            Finished with the complete answer, not run, or not known.
        """
        now = self.node.clock()
        attempt = self.make_attempt(request, now)
        problem = self.admit_request(request, now)
        if problem is not None:
            event: AttemptEvent = NoServerFree(problem, may_wait=False)
            attempt, action = step_attempt(attempt, event, now)
            assert isinstance(action, Finish)
            return action.outcome
        self.starter.budget = earn_retry(self.starter.budget)
        if attempt.key:
            # All attempts of a key share one id, so the backend server returns
            # its stored answer to later ones.
            shared_id = f"key-{xxh3_128_hexdigest(attempt.key.encode())}"
            self.node.timeline.record("request.linked", request.request_id, shared_id)
            request = replace(request, request_id=shared_id)
        return await self.run_attempt(attempt, request)

    def make_attempt(self, request: ShortRequest, now: float) -> Attempt:
        """Create the state machine; a repeatable request claims no key."""
        configuration = self.node.configuration
        key = ""
        if request.idempotency_key and not request.repeatable:
            key = make_claim_key(request.client_account, request.idempotency_key)
        return make_attempt(
            request.request_id,
            deadline=now + request.deadline_seconds,
            received_at=now,
            repeatable=request.repeatable,
            first_attempt=request.first_attempt,
            key=key,
            digest=digest_request(request) if key else "",
            homes=(
                list_homes(configuration, key, time.time())
                if configuration and key
                else ()
            ),
        )

    def admit_request(self, request: ShortRequest, now: float) -> Problem | None:
        """Take a token of the rate limit, or return the refusal."""
        found = self.find_route(request)
        if isinstance(found, Problem):
            return found
        name = f"{request.client_account}/{request.service}"
        self.buckets[name], delay = take_token(
            self.buckets.get(name), found.requests_per_second, found.burst, now
        )
        if not delay:
            return None
        return make_problem(
            ProblemKind.RATE_LIMITED,
            f"client account {request.client_account!r} sends more than "
            f"{found.requests_per_second:g} requests per second",
            retry_after_seconds=delay,
        )

    def find_route(self, request: ShortRequest) -> Route | Problem:
        """Return the route of a request, or why there is none."""
        configuration = self.node.configuration
        if configuration is None:
            message = "no configuration is known"
            return make_problem(ProblemKind.NO_CONFIGURATION, message)
        tables = configuration.tables
        route = find_route(tables, request.client_account, request.service)
        if route is not None:
            return route
        if any(r.client_account == request.client_account for r in tables.routes):
            return make_problem(
                ProblemKind.UNKNOWN_SERVICE,
                f"client account {request.client_account!r} has no route for service "
                f"{request.service!r}",
            )
        return make_problem(
            ProblemKind.UNKNOWN_CLIENT_ACCOUNT,
            f"no route for client account {request.client_account!r}",
        )

    async def run_attempt(self, attempt: Attempt, request: ShortRequest) -> Outcome:
        """Step a state machine until its outcome."""
        event: AttemptEvent = AttemptStarted()
        while True:
            attempt, action = step_attempt(attempt, event, self.node.clock())
            if isinstance(action, Finish):
                self.wake_waiting_requests()
                kind = type(action.outcome).__name__.lower()
                self.node.timeline.record(f"request.{kind}", request.request_id)
                return action.outcome
            event = await self.execute_action(attempt, request, action)

    async def execute_action(
        self, attempt: Attempt, request: ShortRequest, action: AttemptAction
    ) -> AttemptEvent:
        """Execute an action and return the resulting event."""
        remaining_seconds = max(attempt.deadline - self.node.clock(), 0.001)
        match action:
            case ChooseServer():
                return await self.choose_server(attempt, request, action)
            case CallClaimHome():
                return await self.starter.call_claim_home(request.request_id, action)
            case SendStart():
                timed = replace(request, deadline_seconds=remaining_seconds)
                return await self.starter.send_start(attempt, timed, action)
            case LookUp():
                return await self.starter.look_up(request, action)
            case Wait():
                return await self.wait_for_slot(
                    request, min(action.seconds, remaining_seconds)
                )
        raise TypeError(f"unknown action {type(action).__name__}")

    async def wait_for_slot(self, request: ShortRequest, seconds: float) -> WaitEnded:
        """Wait up to ``seconds`` until a request on this VM ends."""
        self.queued[request.client_account] += 1
        try:
            await asyncio.wait_for(self.slot_freed.wait(), seconds)
        except TimeoutError:
            pass
        finally:
            self.queued[request.client_account] -= 1
        return WaitEnded()

    def wake_waiting_requests(self) -> None:
        """Wake the requests in `wait_for_slot`."""
        self.slot_freed.set()
        self.slot_freed = asyncio.Event()

    async def choose_server(
        self, attempt: Attempt, request: ShortRequest, action: ChooseServer
    ) -> AttemptEvent:
        """Choose a free backend server of the route."""
        route = self.find_route(request)
        if isinstance(route, Problem):
            return NoServerFree(route, may_wait=False)
        candidates, problem = self.list_candidates(route, action.excluded)
        chosen = choose_candidate(candidates, self.starter.random)
        if chosen is None:
            return self.queue_request(attempt, request, problem)
        if not action.with_boot:
            return ServerChosen(chosen.server)
        boot = await self.starter.find_boot_id(chosen.server)
        if boot.is_error():
            return StartRefused(boot.error)
        return ServerChosen(chosen.server, boot.ok)

    def queue_request(
        self, attempt: Attempt, request: ShortRequest, problem: Problem
    ) -> NoServerFree:
        """Queue a request unless waiting cannot help or the queue is full."""
        waited = self.node.clock() - attempt.received_at
        isolated = problem.kind is ProblemKind.ISOLATED
        if problem.kind in NO_WAIT_PROBLEM_KINDS or (
            isolated and waited >= ISOLATED_TIMEOUT_SECONDS
        ):
            return NoServerFree(problem, may_wait=False)
        queued = self.queued[request.client_account]
        if permit_queueing(queued, self.queued.total()):
            return NoServerFree(problem, may_wait=True)
        message = (
            f"{queued} requests of {request.client_account!r} already wait in the queue"
        )
        return NoServerFree(
            make_problem(ProblemKind.QUEUE_FULL, message), may_wait=False
        )

    def list_candidates(
        self, route: Route, excluded: frozenset[str]
    ) -> tuple[list[Candidate], Problem]:
        """Return the usable backend servers, and the problem if none is free."""
        configuration = self.node.configuration
        assert configuration is not None
        candidates: list[Candidate] = []
        message = "no backend server of the route is free"
        problem = make_problem(ProblemKind.NO_CAPACITY, message)
        blocked: list[Problem] = []
        for name in route.pools:
            pool = find_pool(configuration.tables, name)
            if pool is None:
                continue
            reason = self.check_destination(pool)
            if reason is not None:
                blocked.append(reason)
                continue
            candidates.extend(
                self.make_candidate(pool, server)
                for server in pool.servers
                if server.name not in excluded and self.check_usable(server.name)
            )
        if len(blocked) == len(route.pools):
            isolated = [p for p in blocked if p.kind is ProblemKind.ISOLATED]
            problem = (isolated or blocked)[0]
        return candidates, problem

    def check_destination(self, pool: Pool) -> Problem | None:
        """Return why no request may go to a pool, or None.

        For a pool of another failure domain only the tables count here; the VM that
        the request is forwarded to checks the rest.
        """
        if pool.failure_domain == self.node.settings.failure_domain:
            return self.check_start(pool)
        assert self.node.configuration is not None
        tables = self.node.configuration.tables
        domain = find_failure_domain(tables, pool.failure_domain)
        if domain is not None and domain.in_service:
            return None
        message = f"no task may start in failure domain {pool.failure_domain} now"
        return make_problem(ProblemKind.FAILURE_DOMAIN_OUT, message)

    def check_usable(self, server: str) -> bool:
        """Return whether a backend server is neither leaving nor ejected."""
        health = self.starter.health.get(server, HEALTHY)
        usable = permit_use(health, self.node.clock())
        return usable and not self.starter.check_leaving(server)

    def make_candidate(self, pool: Pool, server: BackendServer) -> Candidate:
        """Create the candidate for a backend server."""
        running = self.starter.running[server.name]
        return Candidate(
            server.name,
            server.slots,
            server.connections,
            running,
            running,
            pool.failure_domain == self.node.settings.failure_domain,
        )

    def check_start(self, pool: Pool) -> Problem | None:
        """Return why no task may start in the pool now, or None."""
        return self.starter.check_pool(pool)

    async def answer_dispatch(self, call: DispatchCall) -> DispatchReply:
        """Run a request that another VM forwarded, on the server that it names."""
        request = ShortRequest(
            request_id=call.request_id,
            client_account=call.client_account,
            service=call.service_name,
            body=call.body or b"",
            content_type=call.content_type,
            repeatable=bool(call.repeatable),
            deadline_seconds=call.deadline_ms / 1000,
        )
        self.node.timeline.record("request.received", request.request_id, call.server)
        if self.node.draining:
            problem = make_problem(ProblemKind.DRAINING, "this VM is shutting down")
            return make_dispatch_reply(request.request_id, NotRun(problem))
        outcome = await self.run_forwarded(request, call)
        return make_dispatch_reply(request.request_id, outcome)

    async def run_forwarded(self, request: ShortRequest, call: DispatchCall) -> Outcome:
        """Run a request on a backend server of the own failure domain only."""
        found = self.starter.find_server(call.server)
        own_domain = self.node.settings.failure_domain
        if found is None or found[0].failure_domain != own_domain:
            message = (
                f"backend server {call.server} is not in failure domain {own_domain}"
            )
            return NotRun(make_problem(ProblemKind.NO_CAPACITY, message))
        attempt = replace(
            self.make_attempt(request, self.node.clock()),
            fixed_server=call.server,
            fixed_boot_id=call.boot_id or "",
        )
        return await self.run_attempt(attempt, request)


def digest_request(request: ShortRequest) -> str:
    """Return a digest of service, content type and body."""
    prefix = f"{request.service}\n{request.content_type}\n".encode()
    return xxh3_128_hexdigest(prefix + request.body)


def make_dispatch_reply(request_id: str, outcome: Outcome) -> DispatchReply:
    """Create the reply to a forwarded request."""
    if isinstance(outcome, Finished):
        return DispatchReply(
            request_id=request_id,
            outcome=OutcomeKind.FINISHED,
            body=outcome.body,
            content_type=outcome.content_type,
        )
    unknown = isinstance(outcome, NotKnown)
    problem = outcome.problem
    return DispatchReply(
        request_id=request_id,
        outcome=OutcomeKind.NOT_KNOWN if unknown else OutcomeKind.NOT_RUN,
        problem_kind=problem.kind.value,
        message=problem.message,
        remedy=problem.remedy,
        retry_after_seconds=problem.retry_after_seconds or 0,
    )


def make_coordinator(node: Node) -> Coordinator:
    """Create the coordinator of a daemon."""
    return Coordinator(node, Starter(node, RunClient(node.http)))
