"""Model of VMs, backend servers, claim homes and callers around the pure code.

The backend servers are the stand-in's state machine. A message is made when an
attempt asks for it, with the ticket that the VM holds at that time; it may then
be delivered, lost, delivered twice, or delivered after the VM gave it up.
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
    join_key,
    list_homes,
    permit_claimed_start,
    pick_ticket,
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
    ClaimRefused,
    Finish,
    LookUp,
    NoServerFree,
    Refused,
    RequestNotSeen,
    SendStart,
    ServerBlocked,
    ServerChosen,
    ServerRestarted,
    StartExpired,
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
START = 10_000.0
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
    """One VM: what it knows and whether it lives."""

    name: str
    domain: str
    configuration: Configuration
    tickets: dict[str, str] = field(default_factory=dict)


@dataclass
class Tracked:
    """One attempt on a VM, and the one that it was forwarded from."""

    uid: int
    vm: Vm
    state: Attempt
    shared_id: str
    digest: str
    marked_first: bool = False
    parent: "Tracked | None" = None
    action: AttemptAction = Wait(0.0)
    ticket: str = ""
    sent_at: float = 0.0
    waits_for: "Tracked | None" = None
    outcome: Outcome | None = None


@dataclass
class Message:
    """A call to a backend server as it left the VM."""

    uid: int
    action: AttemptAction
    shared_id: str
    digest: str
    ticket: str


class World:
    """Everything in the model, with its clock."""

    def __init__(self) -> None:
        self.now = START
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
        self.attempts: list[Tracked] = []
        self.late: list[Message] = []
        self.runs: Counter[str] = Counter()
        self.runs_by_attempt: Counter[int] = Counter()
        self.run_digests: set[tuple[str, str]] = set()
        self.repeatable_ids: set[str] = set()

    def boot(self, name: str, age: float = 0.0) -> BackendState:
        self.boots += 1
        return BackendState(name, f"boot{self.boots}", 8, 1, self.now - age)

    def change_tables(self, names: tuple[str, ...]) -> None:
        """Accept an edit of the pools table."""
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
        """Return for how long a VM's configuration has not been current."""
        return self.now - self.superseded.get(vm.configuration.version, self.now)

    def submit(
        self, vm: Vm, key: str, digest: str, deadline: float, first: bool, repeat: bool
    ) -> Tracked:
        """Take a caller's request in."""
        uid = len(self.attempts)
        joined = join_key("koffie-invoer", key) if key else ""
        homes = list_homes(vm.configuration, joined, self.now) if key else ()
        state = make_attempt(
            f"attempt{uid}",
            deadline=self.now + deadline,
            received_at=self.now,
            repeatable=repeat,
            first=first,
            key=joined,
            digest=digest,
            homes=homes,
        )
        shared_id = f"key-{key}" if key else f"attempt{uid}"
        if repeat:
            self.repeatable_ids.add(shared_id)
        tracked = Tracked(uid, vm, state, shared_id, digest, first)
        self.attempts.append(tracked)
        self.enter(tracked, AttemptStarted())
        return tracked

    def enter(self, tracked: Tracked, event: AttemptEvent) -> None:
        """Step an attempt and make the message that it asks for."""
        tracked.state, tracked.action = step_attempt(tracked.state, event, self.now)
        tracked.sent_at = self.now
        if isinstance(tracked.action, Finish):
            self.finish(tracked, tracked.action.outcome)
        elif isinstance(tracked.action, CallClaimHome):
            tracked.ticket = tracked.vm.tickets.get(tracked.action.home, "")
        elif isinstance(tracked.action, SendStart):
            self.prepare_start(tracked, tracked.action)

    def prepare_start(self, tracked: Tracked, action: SendStart) -> None:
        """Check what the coordinator checks before a start leaves."""
        vm, state = tracked.vm, tracked.state
        if state.key:
            homes = list_homes(vm.configuration, state.key, self.now)
            if homes != state.walk.homes:
                self.enter(tracked, ClaimHomesChanged(homes))
                return
            lag = self.measure_lag(vm)
            if not permit_claimed_start(lag, lag <= EVIDENCE_SECONDS):
                problem = make_problem(ProblemKind.ISOLATED, "no evidence")
                self.enter(tracked, ServerBlocked(problem))
                return
        held = vm.tickets.get(action.server, "")
        tracked.ticket = pick_ticket(held, action.boot_id)

    def finish(self, tracked: Tracked, outcome: Outcome) -> None:
        """Give the outcome to the caller, or to the VM that forwarded."""
        tracked.outcome = outcome
        parent = tracked.parent
        if parent is None or parent.waits_for is not tracked:
            return
        parent.waits_for = None
        if isinstance(outcome, Finished):
            self.enter(parent, AnswerReceived(outcome.body, outcome.content_type))
        elif isinstance(outcome, NotRun):
            self.enter(parent, Refused(outcome.problem))
        elif outcome.problem.kind is ProblemKind.SERVER_RESTARTED:
            self.enter(parent, ServerRestarted())
        else:
            self.enter(parent, AnswerLost("not known there", may_retry=True))

    def advance(
        self, tracked: Tracked, fault: Fault, pick: Callable[[list[str]], str]
    ) -> None:
        """Carry out what an attempt asks for, with a fault on the way."""
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
        tracked: Tracked,
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
        tracked: Tracked,
        action: SendStart,
        domain: str,
        fault: Fault,
        pick: Callable[[list[str]], str],
    ) -> None:
        """Forward a start to a VM of the backend server's failure domain."""
        peers = {vm.name: vm for vm in self.vms if vm.domain == domain}
        if not peers:
            problem = make_problem(ProblemKind.PEER_UNREACHABLE, "no VM there")
            self.enter(tracked, Refused(problem))
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
            fixed_boot=action.boot_id,
        )
        peer = peers[pick(sorted(peers))]
        child = Tracked(uid, peer, state, tracked.shared_id, tracked.digest)
        child.parent = tracked
        self.attempts.append(child)
        if fault is not Fault.NONE:
            # The peer goes on with the request, its reply is lost.
            self.enter(tracked, AnswerLost("no reply", may_retry=True))
        else:
            tracked.waits_for = child
        self.enter(child, AttemptStarted())

    def exchange(self, tracked: Tracked, fault: Fault) -> None:
        """Carry one message to its backend server and the reply back."""
        message = Message(
            tracked.uid,
            tracked.action,
            tracked.shared_id,
            tracked.digest,
            tracked.ticket,
        )
        if fault is Fault.REQUEST_LOST:
            self.give_up(tracked)
            return
        if fault is Fault.LATE:
            self.late.append(message)
            self.give_up(tracked)
            return
        event = self.deliver(message, tracked.vm, tracked.sent_at)
        if fault is Fault.TWICE:
            self.late.append(message)
        if fault is Fault.REPLY_LOST:
            self.give_up(tracked)
        else:
            self.enter(tracked, event)

    def give_up(self, tracked: Tracked) -> None:
        """Stop waiting for a reply."""
        if isinstance(tracked.action, CallClaimHome):
            problem = make_problem(ProblemKind.CLAIM_HOME_UNREACHABLE, "no reply")
            self.enter(tracked, ClaimFailed(problem))
        elif isinstance(tracked.action, SendStart):
            self.enter(tracked, AnswerLost("no reply", tracked.ticket, may_retry=True))
        else:
            self.enter(tracked, RequestNotSeen())

    def deliver(self, message: Message, vm: Vm | None, sent_at: float) -> AttemptEvent:
        """Let the backend server act on a message and return its reply."""
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
            event = self.deliver_look(server, message, action)
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
                return ClaimRefused()
            return ClaimFailed(make_problem(ProblemKind.CLAIM_LOST, refusal.detail))
        answer = ClaimAnswer(KeyClaim(**found), created, remaining)
        return ClaimAnswered(answer, sent_at)

    def deliver_start(self, server: BackendState, message: Message) -> AttemptEvent:
        try:
            answer = server.begin_request(message.shared_id, message.ticket, self.now)
        except RefusalError as refusal:
            if refusal.reason == "stale_ticket":
                return TicketRefused(server.boot_id)
            if refusal.reason == "in_progress":
                return StillRunning()
            return Refused(make_problem(ProblemKind.BUSY, refusal.reason))
        if answer is not None:
            return AnswerReceived(answer, "text/plain")
        self.runs[message.shared_id] += 1
        self.runs_by_attempt[message.uid] += 1
        self.run_digests.add((message.shared_id, message.digest))
        self.answers_due.append((server, message.shared_id, message.digest))
        # The reply comes when the run ends; until then the VM sees a silence.
        return StillRunning()

    @property
    def answers_due(self) -> list[tuple[BackendState, str, str]]:
        """Runs that go on."""
        return self.__dict__.setdefault("_answers_due", [])

    def end_run(self, index: int) -> None:
        """Let a running request finish."""
        server, shared_id, digest = self.answers_due.pop(index)
        server.end_request(shared_id, f"{shared_id}:{digest}".encode())

    def deliver_look(
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
