"""Simulation of VMs, backend servers, claim homes and callers of the pure code.

The backend servers use the stand-in's state. A message is created when an attempt
requests it, with the ticket that the VM holds at that time. It may then be
delivered, lost, delivered twice, or delivered after the VM stopped waiting for it.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum

from cardamomdyke.configuration.fold import FoldState, fold_edit
from cardamomdyke.configuration.records import Edit
from cardamomdyke.dispatch.attempts import step_attempt
from cardamomdyke.dispatch.claims import (
    ClaimAnswer,
    choose_ticket,
    list_homes,
    make_claim_key,
    permit_claimed_start,
)
from cardamomdyke.dispatch.events import (
    AnswerLost,
    AnswerReceived,
    AttemptAction,
    AttemptEvent,
    AttemptStarted,
    CallClaimHome,
    ChooseServer,
    ClaimAnswered,
    ClaimFailed,
    ClaimHomesChanged,
    ClaimTicketRefused,
    Finish,
    LookUp,
    NoServerFree,
    RequestNotSeen,
    SendStart,
    ServerBlocked,
    ServerChosen,
    ServerRestarted,
    StartExpired,
    StartRefused,
    StillRunning,
    TicketRefused,
    Wait,
    WaitEnded,
)
from cardamomdyke.dispatch.states import Attempt, make_attempt
from cardamomdyke.model.errors import ProblemKind, make_problem
from cardamomdyke.model.outcomes import Finished, NotRun, Outcome
from cardamomdyke.model.requests import KeyClaim
from cardamomdyke.model.tables import (
    BackendServer,
    Configuration,
    FailureDomain,
    Pool,
    Tables,
)
from cardamomdyke_standins.backend_state import BackendState, RefusalError

DOMAINS = ("gent", "kortrijk")
SERVERS = ("gent-w1", "kortrijk-w1", "gent-w2", "kortrijk-w2")
START_AT = 10_000.0
EVIDENCE_SECONDS = 3.0


class Fault(StrEnum):
    """What happens to a message."""

    NONE = "none"
    REQUEST_LOST = "request lost"
    REPLY_LOST = "reply lost"
    LATE = "late"
    TWICE = "twice"


@dataclass
class Vm:
    """One VM with its configuration and its start tickets by backend server."""

    name: str
    domain: str
    configuration: Configuration
    tickets: dict[str, str] = field(default_factory=dict)


@dataclass
class TrackedAttempt:
    """One attempt on a VM, and the one that it was forwarded from."""

    uid: int
    vm: Vm
    state: Attempt
    shared_id: str
    digest: str
    first_attempt: bool = False
    parent: "TrackedAttempt | None" = None
    action: AttemptAction = Wait(0.0)
    ticket: str = ""
    sent_at: float = 0.0
    forwarded_to: "TrackedAttempt | None" = None
    outcome: Outcome | None = None


@dataclass
class Message:
    """A call to a backend server, as the VM sent it."""

    uid: int
    action: AttemptAction
    shared_id: str
    digest: str
    ticket: str


class World:
    """Simulated clock, VMs, backend servers, messages and runs."""

    def __init__(self) -> None:
        self.now = START_AT
        self.boots = 0
        self.servers = {name: self.boot(name, age=3600.0) for name in SERVERS}
        self.fold = FoldState()
        self.superseded: dict[int, float] = {}
        self.change_tables(SERVERS[:3])
        assert self.fold.configuration is not None
        self.vms = [
            Vm(f"{domain}-e{number}", domain, self.fold.configuration)
            for domain in DOMAINS
            for number in (1, 2)
        ]
        self.attempts: list[TrackedAttempt] = []
        self.late_messages: list[Message] = []
        self.runs: Counter[str] = Counter()
        self.runs_by_attempt: Counter[int] = Counter()
        self.run_digests: set[tuple[str, str]] = set()
        self.repeatable_ids: set[str] = set()

    def boot(self, name: str, age: float = 0.0) -> BackendState:
        self.boots += 1
        return BackendState(name, f"boot{self.boots}", 8, 1, self.now - age)

    def change_tables(self, names: tuple[str, ...]) -> None:
        """Apply an edit of the pools table."""
        pools = tuple(
            Pool(
                domain,
                domain,
                "order-desk",
                tuple(
                    BackendServer(n, "r", f"{n}:1", 8)
                    for n in names
                    if n.startswith(domain)
                ),
            )
            for domain in DOMAINS
        )
        domains = tuple(FailureDomain(domain, "vlaanderen") for domain in DOMAINS)
        before = self.fold.configuration
        version = before.version if before else 0
        edit = Edit(f"e{version}", version, Tables((), pools, domains), self.now)
        self.fold, _, _ = fold_edit(self.fold, version, edit)
        self.superseded[version] = self.now

    def measure_lag(self, vm: Vm) -> float:
        """Return the seconds that a VM's configuration has been outdated."""
        return self.now - self.superseded.get(vm.configuration.version, self.now)

    def submit(
        self, vm: Vm, key: str, digest: str, deadline: float, first: bool, repeat: bool
    ) -> TrackedAttempt:
        """Begin an attempt for a caller's request."""
        uid = len(self.attempts)
        joined = make_claim_key("koffie-invoer", key) if key else ""
        homes = list_homes(vm.configuration, joined, self.now) if key else ()
        state = make_attempt(
            f"attempt{uid}",
            deadline=self.now + deadline,
            received_at=self.now,
            repeatable=repeat,
            first_attempt=first,
            key=joined,
            digest=digest,
            homes=homes,
        )
        shared_id = f"key-{key}" if key else f"attempt{uid}"
        if repeat:
            self.repeatable_ids.add(shared_id)
        tracked = TrackedAttempt(uid, vm, state, shared_id, digest, first)
        self.attempts.append(tracked)
        self.enter(tracked, AttemptStarted())
        return tracked

    def enter(self, tracked: TrackedAttempt, event: AttemptEvent) -> None:
        """Apply an event to an attempt and prepare its message."""
        tracked.state, tracked.action = step_attempt(tracked.state, event, self.now)
        tracked.sent_at = self.now
        if isinstance(tracked.action, Finish):
            self.finish(tracked, tracked.action.outcome)
        elif isinstance(tracked.action, CallClaimHome):
            tracked.ticket = tracked.vm.tickets.get(tracked.action.home, "")
        elif isinstance(tracked.action, SendStart):
            self.prepare_start(tracked, tracked.action)

    def prepare_start(self, tracked: TrackedAttempt, action: SendStart) -> None:
        """Make the coordinator's checks before it sends a start."""
        vm, state = tracked.vm, tracked.state
        if state.key:
            homes = list_homes(vm.configuration, state.key, self.now)
            if homes != state.claim_progress.homes:
                self.enter(tracked, ClaimHomesChanged(homes))
                return
            lag = self.measure_lag(vm)
            if not permit_claimed_start(lag, lag <= EVIDENCE_SECONDS):
                problem = make_problem(ProblemKind.ISOLATED, "no evidence")
                self.enter(tracked, ServerBlocked(problem))
                return
        held = vm.tickets.get(action.server, "")
        tracked.ticket = choose_ticket(held, action.boot_id)

    def finish(self, tracked: TrackedAttempt, outcome: Outcome) -> None:
        """Return the outcome to the caller, or to the VM that forwarded."""
        tracked.outcome = outcome
        parent = tracked.parent
        if parent is None or parent.forwarded_to is not tracked:
            return
        parent.forwarded_to = None
        if isinstance(outcome, Finished):
            self.enter(parent, AnswerReceived(outcome.body, outcome.content_type))
        elif isinstance(outcome, NotRun):
            self.enter(parent, StartRefused(outcome.problem))
        elif outcome.problem.kind is ProblemKind.SERVER_RESTARTED:
            self.enter(parent, ServerRestarted())
        else:
            self.enter(parent, AnswerLost("not known there", may_retry=True))

    def advance(
        self, tracked: TrackedAttempt, fault: Fault, pick: Callable[[list[str]], str]
    ) -> None:
        """Execute the action of an attempt, with a fault in transit."""
        action = tracked.action
        if isinstance(action, ChooseServer):
            self.choose(tracked, action, pick)
        elif isinstance(action, Wait):
            self.now = max(self.now, tracked.sent_at + action.seconds)
            self.enter(tracked, WaitEnded())
        elif isinstance(action, SendStart) and not tracked.parent:
            domain = action.server.split("-")[0]
            if domain == tracked.vm.domain:
                self.exchange(tracked, fault)
            else:
                self.forward(tracked, action, domain, fault, pick)
        else:
            self.exchange(tracked, fault)

    def choose(
        self,
        tracked: TrackedAttempt,
        action: ChooseServer,
        pick: Callable[[list[str]], str],
    ) -> None:
        pools = tracked.vm.configuration.tables.pools
        names = [s.name for pool in pools for s in pool.servers]
        names = [name for name in names if name not in action.excluded]
        if not names:
            problem = make_problem(ProblemKind.NO_CAPACITY, "none is free")
            self.enter(tracked, NoServerFree(problem, may_wait=True))
            return
        name = pick(names)
        if action.with_boot and name not in tracked.vm.tickets:
            tracked.vm.tickets[name] = self.servers[name].make_ticket(self.now)
        boot = tracked.vm.tickets.get(name, "").rpartition(":")[0]
        self.enter(tracked, ServerChosen(name, boot if action.with_boot else ""))

    def forward(
        self,
        tracked: TrackedAttempt,
        action: SendStart,
        domain: str,
        fault: Fault,
        pick: Callable[[list[str]], str],
    ) -> None:
        """Forward a start to a VM of the backend server's failure domain."""
        peers = {vm.name: vm for vm in self.vms if vm.domain == domain}
        if not peers:
            problem = make_problem(ProblemKind.PEER_UNREACHABLE, "no VM there")
            self.enter(tracked, StartRefused(problem))
            return
        if fault is Fault.REQUEST_LOST:
            self.enter(tracked, AnswerLost("no reply", may_retry=True))
            return
        uid = len(self.attempts)
        state = replace(
            make_attempt(
                tracked.shared_id,
                deadline=tracked.state.deadline,
                received_at=self.now,
                repeatable=tracked.state.repeatable,
            ),
            fixed_server=action.server,
            fixed_boot_id=action.boot_id,
        )
        peer = peers[pick(sorted(peers))]
        child = TrackedAttempt(uid, peer, state, tracked.shared_id, tracked.digest)
        child.parent = tracked
        self.attempts.append(child)
        if fault is not Fault.NONE:
            # The peer runs the request, but its reply is lost.
            self.enter(tracked, AnswerLost("no reply", may_retry=True))
        else:
            tracked.forwarded_to = child
        self.enter(child, AttemptStarted())

    def exchange(self, tracked: TrackedAttempt, fault: Fault) -> None:
        """Deliver a message to its backend server and the reply to the attempt."""
        message = Message(
            tracked.uid,
            tracked.action,
            tracked.shared_id,
            tracked.digest,
            tracked.ticket,
        )
        if fault is Fault.REQUEST_LOST:
            self.time_out_reply(tracked)
            return
        if fault is Fault.LATE:
            self.late_messages.append(message)
            self.time_out_reply(tracked)
            return
        event = self.deliver(message, tracked.vm, tracked.sent_at)
        if fault is Fault.TWICE:
            self.late_messages.append(message)
        if fault is Fault.REPLY_LOST:
            self.time_out_reply(tracked)
        else:
            self.enter(tracked, event)

    def time_out_reply(self, tracked: TrackedAttempt) -> None:
        """Time out the awaited reply."""
        if isinstance(tracked.action, CallClaimHome):
            problem = make_problem(ProblemKind.CLAIM_HOME_UNREACHABLE, "no reply")
            self.enter(tracked, ClaimFailed(problem))
        elif isinstance(tracked.action, SendStart):
            self.enter(tracked, AnswerLost("no reply", tracked.ticket, may_retry=True))
        else:
            self.enter(tracked, RequestNotSeen())

    def deliver(self, message: Message, vm: Vm | None, sent_at: float) -> AttemptEvent:
        """Deliver a message and return the reply as an event."""
        action = message.action
        if isinstance(action, CallClaimHome):
            server = self.servers[action.home]
            event = self.deliver_claim(server, message, action, sent_at)
        elif isinstance(action, SendStart):
            server = self.servers[action.server]
            event = self.deliver_start(server, message)
        else:
            assert isinstance(action, LookUp)
            server = self.servers[action.server]
            event = self.deliver_lookup(server, message, action)
        if vm is not None:
            vm.tickets[server.name] = server.make_ticket(self.now)
        return event

    def deliver_claim(
        self,
        server: BackendState,
        message: Message,
        action: CallClaimHome,
        sent_at: float,
    ) -> AttemptEvent:
        claim = {name: getattr(action.claim, name) for name in KeyClaim.__slots__}
        try:
            found, created, remaining = server.claim_request(
                claim, action.first, message.ticket, self.now
            )
        except RefusalError as refusal:
            if refusal.reason == "stale_ticket":
                return ClaimTicketRefused()
            return ClaimFailed(make_problem(ProblemKind.CLAIM_LOST, refusal.detail))
        answer = ClaimAnswer(KeyClaim(**found), created, remaining)
        return ClaimAnswered(answer, sent_at)

    def deliver_start(self, server: BackendState, message: Message) -> AttemptEvent:
        try:
            answer = server.start_request(message.shared_id, message.ticket, self.now)
        except RefusalError as refusal:
            if refusal.reason == "stale_ticket":
                return TicketRefused(server.boot_id)
            if refusal.reason == "in_progress":
                return StillRunning()
            return StartRefused(make_problem(ProblemKind.BUSY, refusal.reason))
        if answer is not None:
            return AnswerReceived(answer, "text/plain")
        self.runs[message.shared_id] += 1
        self.runs_by_attempt[message.uid] += 1
        self.run_digests.add((message.shared_id, message.digest))
        self.active_runs.append((server, message.shared_id, message.digest))
        # The real reply comes when the run ends; until then a lookup finds it running.
        return StillRunning()

    @property
    def active_runs(self) -> list[tuple[BackendState, str, str]]:
        """Runs in progress: backend server, shared id and digest."""
        return self.__dict__.setdefault("_active_runs", [])

    def end_run(self, index: int) -> None:
        """Finish a run in progress."""
        server, shared_id, digest = self.active_runs.pop(index)
        server.end_request(shared_id, f"{shared_id}:{digest}".encode())

    def deliver_lookup(
        self, server: BackendState, message: Message, action: LookUp
    ) -> AttemptEvent:
        try:
            answer = server.find_answer(message.shared_id, action.ticket, self.now)
        except RefusalError as refusal:
            return {
                "in_progress": StillRunning(),
                "pending": RequestNotSeen(),
                "forgotten": ServerRestarted(),
                "unknown": StartExpired(),
            }[refusal.reason]
        return AnswerReceived(answer, "text/plain")
