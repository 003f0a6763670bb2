"""State machine of one short request, from its arrival to its outcome.

The start that is uncertain is kept in the state until the backend server proves
that it never runs; while one is kept, no outcome is "not run" and a request
that may not be repeated is not started anywhere.
"""

from dataclasses import replace
from functools import singledispatch

from cardamomdyke.dispatch.claims import (
    FIRST_ATTEMPT_SECONDS,
    ClaimWalk,
    apply_answer,
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
    DeadlinePassed,
    Failed,
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
from cardamomdyke.dispatch.states import Attempt, Phase, UncertainStart
from cardamomdyke.model.errors import Problem, ProblemKind, make_problem
from cardamomdyke.model.outcomes import Finished, NotKnown, NotRun
from cardamomdyke.model.requests import KeyClaim

# Refusals of tickets in a row; a second one means that the ticket aged on the way.
TICKET_REFUSALS = 5
# Backend servers asked in a row before the request waits.
SERVERS_PER_ROUND = 4
# Looks without news before the answer is given up; they last longer than the
# life of a start ticket, after which a look brings proof.
MAX_EMPTY_LOOKUPS = 12
MIN_WAIT_SECONDS = 0.05
MAX_WAIT_SECONDS = 1.0
LOOKUP_SECONDS = 0.3


Step = tuple[Attempt, AttemptAction]


def step_attempt(attempt: Attempt, event: AttemptEvent, now: float) -> Step:
    """Take in one event and say what to do next.

    Parameters
    ----------
    attempt : Attempt
        State before the event; not ended.
    event : AttemptEvent
        Result of the action before.
    now : float
        Monotonic time, in seconds.

    Returns
    -------
    Attempt
        State after the event.
    AttemptAction
        What to do; its result is the next event.
    """
    after, action = apply_event(event, attempt, now)
    if not isinstance(action, Finish) and now >= after.deadline:
        after, action = apply_event(DeadlinePassed(), after, now)
    if isinstance(action, Finish):
        after = replace(after, phase=Phase.ENDED)
    return after, action


@singledispatch
def apply_event(event: object, attempt: Attempt, now: float) -> Step:
    """Apply one event; see `step_attempt`, which also watches the deadline."""
    raise TypeError(f"an attempt takes no {type(event).__name__}")


@apply_event.register
def _(event: AttemptStarted, attempt: Attempt, now: float) -> Step:
    if attempt.fixed_server:
        attempt = replace(attempt, server=attempt.fixed_server)
        return send(attempt, attempt.fixed_boot)
    return choose(attempt)


@apply_event.register
def _(event: ServerChosen, attempt: Attempt, now: float) -> Step:
    attempt = replace(attempt, server=event.server, boot_id=event.boot_id)
    if attempt.key:
        return call_claim_home(attempt, now)
    return send(attempt)


@apply_event.register
def _(event: NoServerFree, attempt: Attempt, now: float) -> Step:
    attempt = replace(attempt, problem=event.problem, excluded=frozenset())
    if not event.may_wait:
        return refuse(attempt, event.problem)
    return wait(attempt)


@apply_event.register
def _(event: ClaimAnswered, attempt: Attempt, now: float) -> Step:
    taken = apply_answer(attempt.walk, event.answer, make_claim(attempt), event.sent_at)
    if taken.is_error():
        problem = taken.error
        if problem.kind is ProblemKind.KEY_REUSED:
            return attempt, Finish(NotRun(problem))
        return attempt, Finish(NotKnown(problem))
    walk = taken.ok
    attempt = replace(attempt, walk=walk, first=attempt.first and not walk.found)
    if not walk.complete:
        return call_claim_home(attempt, now)
    return send_claimed(attempt, now)


@apply_event.register
def _(event: ClaimRefused, attempt: Attempt, now: float) -> Step:
    attempt = replace(attempt, ticket_refusals=attempt.ticket_refusals + 1)
    if attempt.ticket_refusals >= TICKET_REFUSALS:
        home = attempt.walk.homes[attempt.walk.asked].server
        problem = make_problem(
            ProblemKind.CLAIM_HOME_UNREACHABLE,
            f"claim home {home} refused {TICKET_REFUSALS} tickets",
        )
        return attempt, Finish(NotKnown(problem))
    return call_claim_home(attempt, now)


@apply_event.register
def _(event: ClaimFailed, attempt: Attempt, now: float) -> Step:
    return attempt, Finish(NotKnown(event.problem))


@apply_event.register
def _(event: ClaimHomesChanged, attempt: Attempt, now: float) -> Step:
    known = attempt.walk
    walk = ClaimWalk(
        event.homes,
        claim=known.claim,
        found=known.found,
        usable_until=known.usable_until,
    )
    return call_claim_home(replace(attempt, walk=walk), now)


@apply_event.register
def _(event: AnswerReceived, attempt: Attempt, now: float) -> Step:
    return attempt, Finish(Finished(event.body, event.content_type))


@apply_event.register
def _(event: TicketRefused, attempt: Attempt, now: float) -> Step:
    boot_id = find_boot(attempt)
    if boot_id and event.boot_id not in ("", boot_id):
        return apply_event(ServerRestarted(), attempt, now)
    attempt = replace(attempt, ticket_refusals=attempt.ticket_refusals + 1)
    if attempt.ticket_refusals < TICKET_REFUSALS:
        return resend(attempt, now)
    message = f"backend server {attempt.server} refused all tickets"
    problem = make_problem(ProblemKind.STALE_TICKET, message)
    return apply_event(Refused(problem), attempt, now)


@apply_event.register
def _(event: Refused, attempt: Attempt, now: float) -> Step:
    attempt = replace(
        attempt,
        problem=event.problem,
        ticket_refusals=0,
        excluded=attempt.excluded | {attempt.server},
    )
    if attempt.fixed_server:
        return refuse(attempt, event.problem)
    if attempt.key or len(attempt.excluded) >= SERVERS_PER_ROUND:
        return wait(replace(attempt, excluded=frozenset()))
    return choose(attempt)


@apply_event.register
def _(event: ServerBlocked, attempt: Attempt, now: float) -> Step:
    # An earlier attempt may have run there; its answer can still be read.
    if attempt.walk.found and not attempt.uncertain:
        attempt = replace(attempt, problem=event.problem)
        return look(note_uncertain(attempt, ""))
    return refuse(attempt, event.problem)


@apply_event.register
def _(event: StillRunning, attempt: Attempt, now: float) -> Step:
    if find_uncertain(attempt) is None:
        attempt = note_uncertain(attempt, "")
    attempt = replace(attempt, phase=Phase.LOOKING, empty_lookups=0)
    return wait(attempt)


@apply_event.register
def _(event: AnswerLost, attempt: Attempt, now: float) -> Step:
    attempt = note_uncertain(attempt, event.ticket)
    message = f"backend server {attempt.server}: {event.detail}"
    attempt = replace(
        attempt, problem=make_problem(ProblemKind.START_UNCONFIRMED, message)
    )
    if attempt.repeatable and event.may_retry and not attempt.fixed_server:
        return choose(replace(attempt, excluded=attempt.excluded | {attempt.server}))
    return look(attempt)


@apply_event.register
def _(event: Failed, attempt: Attempt, now: float) -> Step:
    attempt = note_uncertain(attempt, "")
    message = f"backend server {attempt.server}: {event.detail}"
    problem = make_problem(ProblemKind.START_UNCONFIRMED, message)
    if attempt.repeatable and event.may_retry and not attempt.fixed_server:
        return choose(replace(attempt, excluded=attempt.excluded | {attempt.server}))
    return refuse(attempt, problem)


@apply_event.register
def _(event: StartExpired, attempt: Attempt, now: float) -> Step:
    attempt = replace(attempt, uncertain=list_others(attempt), phase=Phase.SENDING)
    message = f"backend server {attempt.server} never received the start"
    problem = make_problem(ProblemKind.BUSY, message)
    return apply_event(Refused(problem), attempt, now)


@apply_event.register
def _(event: RequestNotSeen, attempt: Attempt, now: float) -> Step:
    attempt = replace(attempt, empty_lookups=attempt.empty_lookups + 1)
    if attempt.empty_lookups >= MAX_EMPTY_LOOKUPS:
        return refuse(attempt, attempt.problem)
    return attempt, Wait(LOOKUP_SECONDS)


@apply_event.register
def _(event: ServerRestarted, attempt: Attempt, now: float) -> Step:
    message = f"backend server {attempt.server} restarted"
    problem = make_problem(ProblemKind.SERVER_RESTARTED, message)
    return attempt, Finish(NotKnown(problem))


@apply_event.register
def _(event: WaitEnded, attempt: Attempt, now: float) -> Step:
    if attempt.phase is Phase.LOOKING:
        return look(attempt)
    if attempt.walk.complete and attempt.key:
        return send_claimed(attempt, now)
    return choose(attempt)


@apply_event.register
def _(event: DeadlinePassed, attempt: Attempt, now: float) -> Step:
    problem = attempt.problem or make_problem(
        ProblemKind.DEADLINE_PASSED, "the deadline passed before a start"
    )
    return refuse(attempt, problem)


def choose(attempt: Attempt) -> Step:
    """Ask for a backend server."""
    attempt = replace(attempt, phase=Phase.CHOOSING, server="")
    return attempt, ChooseServer(attempt.excluded, with_boot=bool(attempt.key))


def make_claim(attempt: Attempt) -> KeyClaim:
    """Return the claim to ask the next home for."""
    known = attempt.walk.claim
    return KeyClaim(
        key=attempt.key,
        digest=attempt.digest,
        server=known.server if known else attempt.server,
        boot_id=known.boot_id if known else attempt.boot_id,
        attempt=attempt.request_id,
    )


def call_claim_home(attempt: Attempt, now: float) -> Step:
    """Ask the next claim home."""
    walk = attempt.walk
    marked = attempt.first and now - attempt.received_at <= FIRST_ATTEMPT_SECONDS
    home = walk.homes[walk.asked].server
    action = CallClaimHome(home, make_claim(attempt), marked or walk.vouched)
    return replace(attempt, phase=Phase.CLAIMING), action


def send_claimed(attempt: Attempt, now: float) -> Step:
    """Start on the claimed backend server while the claim lasts."""
    claim = attempt.walk.claim
    assert claim is not None
    attempt = replace(attempt, server=claim.server)
    if now < attempt.walk.usable_until:
        return send(attempt, claim.boot_id)
    problem = make_problem(
        ProblemKind.CLAIM_LOST, "the claim of the idempotency key is about to end"
    )
    return refuse(attempt, problem)


def send(attempt: Attempt, boot_id: str = "") -> Step:
    """Start on the chosen backend server."""
    attempt = replace(attempt, phase=Phase.SENDING, empty_lookups=0)
    return attempt, SendStart(attempt.server, boot_id)


def resend(attempt: Attempt, now: float) -> Step:
    """Start on the same backend server once more, with its new ticket."""
    if attempt.key:
        return send_claimed(attempt, now)
    return send(attempt, attempt.fixed_boot)


def look(attempt: Attempt) -> Step:
    """Ask the backend server what became of the uncertain start."""
    start = find_uncertain(attempt)
    ticket = start.ticket if start else ""
    return replace(attempt, phase=Phase.LOOKING), LookUp(attempt.server, ticket)


def wait(attempt: Attempt) -> Step:
    """Wait, longer each time."""
    seconds = min(MIN_WAIT_SECONDS * 2.0**attempt.waits, MAX_WAIT_SECONDS)
    return replace(attempt, waits=attempt.waits + 1), Wait(seconds)


def note_uncertain(attempt: Attempt, ticket: str) -> Attempt:
    """Remember that the chosen backend server may run the request."""
    start = UncertainStart(attempt.server, ticket)
    return replace(attempt, uncertain=(*list_others(attempt), start))


def find_uncertain(attempt: Attempt) -> UncertainStart | None:
    """Return the uncertain start on the chosen backend server, or None."""
    return next((s for s in attempt.uncertain if s.server == attempt.server), None)


def list_others(attempt: Attempt) -> tuple[UncertainStart, ...]:
    """Return the uncertain starts on backend servers other than the chosen one."""
    return tuple(s for s in attempt.uncertain if s.server != attempt.server)


def find_boot(attempt: Attempt) -> str:
    """Return the only boot that may run the request, or an empty one."""
    claim = attempt.walk.claim
    return claim.boot_id if claim else attempt.fixed_boot


def refuse(attempt: Attempt, problem: Problem | None) -> Step:
    """End without an answer: not run where that is certain, else not known."""
    if problem is None or attempt.uncertain:
        message = problem.message if problem else "a start was not confirmed"
        unknown = make_problem(ProblemKind.START_UNCONFIRMED, message)
        return attempt, Finish(NotKnown(unknown))
    if attempt.key and not attempt.first:
        return attempt, Finish(NotKnown(mark_key(problem)))
    return attempt, Finish(NotRun(problem))


def mark_key(problem: Problem) -> Problem:
    """Return a problem whose remedy is the same idempotency key."""
    return replace(
        problem,
        message=f"{problem.message}; an earlier attempt of the key may have run",
        remedy="send the same idempotency key again",
        retry_after_seconds=problem.retry_after_seconds or 1,
    )
