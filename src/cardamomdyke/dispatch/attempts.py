"""State machine of one short request, from its arrival to its outcome.

An uncertain start stays in the state until its backend server proves that it
never runs. Until then the outcome is never "not run", and a request that is not
repeatable is not started again.
"""

from dataclasses import replace
from functools import singledispatch

from cardamomdyke.dispatch.claims import (
    FIRST_ATTEMPT_SECONDS,
    ClaimProgress,
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
    ClaimTicketRefused,
    DeadlinePassed,
    Finish,
    LookUp,
    NoServerFree,
    RequestFailed,
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
from cardamomdyke.dispatch.states import Attempt, Phase, UncertainStart
from cardamomdyke.model.errors import Problem, ProblemKind, make_problem
from cardamomdyke.model.outcomes import Finished, NotKnown, NotRun
from cardamomdyke.model.requests import KeyClaim

# Consecutive refusals of start tickets; a second one means that the ticket expired in
# transit.
MAX_TICKET_REFUSALS = 5
# Backend servers tried in a row before the request waits.
MAX_SERVERS_PER_ROUND = 4
# Consecutive lookups without a result before the attempt ends. They last longer than a
# start ticket is valid, after which a lookup is conclusive.
MAX_EMPTY_LOOKUPS = 12
MIN_WAIT_SECONDS = 0.05
MAX_WAIT_SECONDS = 1.0
LOOKUP_SECONDS = 0.3


Step = tuple[Attempt, AttemptAction]


def step_attempt(attempt: Attempt, event: AttemptEvent, now: float) -> Step:
    """Apply one event and return the next action.

    Parameters
    ----------
    attempt : Attempt
        State before the event; not ended.
    event : AttemptEvent
        Result of the previous action.
    now : float
        Steady-clock time, in seconds.

    Returns
    -------
    Attempt
        State after the event.
    AttemptAction
        Action to execute; its result is the next event.
    """
    after, action = apply_event(event, attempt, now)
    if not isinstance(action, Finish) and now >= after.deadline:
        after, action = apply_event(DeadlinePassed(), after, now)
    if isinstance(action, Finish):
        after = replace(after, phase=Phase.ENDED)
    return after, action


@singledispatch
def apply_event(event: object, attempt: Attempt, now: float) -> Step:
    """Apply one event; the deadline is checked in `step_attempt`."""
    raise TypeError(f"apply_event has no handler for {type(event).__name__}")


@apply_event.register
def _(event: AttemptStarted, attempt: Attempt, now: float) -> Step:
    if attempt.fixed_server:
        attempt = replace(attempt, server=attempt.fixed_server)
        return send_start(attempt, attempt.fixed_boot_id)
    return choose_server(attempt)


@apply_event.register
def _(event: ServerChosen, attempt: Attempt, now: float) -> Step:
    attempt = replace(attempt, server=event.server, boot_id=event.boot_id)
    if attempt.key:
        return call_claim_home(attempt, now)
    return send_start(attempt)


@apply_event.register
def _(event: NoServerFree, attempt: Attempt, now: float) -> Step:
    attempt = replace(attempt, problem=event.problem, excluded=frozenset())
    if not event.may_wait:
        return finish_unanswered(attempt, event.problem)
    return wait(attempt)


@apply_event.register
def _(event: ClaimAnswered, attempt: Attempt, now: float) -> Step:
    applied = apply_answer(
        attempt.claim_progress, event.answer, make_claim(attempt), event.sent_at
    )
    if applied.is_error():
        problem = applied.error
        if problem.kind is ProblemKind.KEY_REUSED:
            return attempt, Finish(NotRun(problem))
        return attempt, Finish(NotKnown(problem))
    progress = applied.ok
    attempt = replace(
        attempt,
        claim_progress=progress,
        first_attempt=attempt.first_attempt and not progress.found,
    )
    if not progress.complete:
        return call_claim_home(attempt, now)
    return send_claimed_start(attempt, now)


@apply_event.register
def _(event: ClaimTicketRefused, attempt: Attempt, now: float) -> Step:
    attempt = replace(attempt, ticket_refusals=attempt.ticket_refusals + 1)
    if attempt.ticket_refusals >= MAX_TICKET_REFUSALS:
        home = attempt.claim_progress.homes[attempt.claim_progress.asked].server
        problem = make_problem(
            ProblemKind.CLAIM_HOME_UNREACHABLE,
            f"claim home {home} refused {MAX_TICKET_REFUSALS} start tickets in a row",
        )
        return attempt, Finish(NotKnown(problem))
    return call_claim_home(attempt, now)


@apply_event.register
def _(event: ClaimFailed, attempt: Attempt, now: float) -> Step:
    return attempt, Finish(NotKnown(event.problem))


@apply_event.register
def _(event: ClaimHomesChanged, attempt: Attempt, now: float) -> Step:
    known = attempt.claim_progress
    progress = ClaimProgress(
        event.homes,
        claim=known.claim,
        found=known.found,
        usable_until=known.usable_until,
    )
    return call_claim_home(replace(attempt, claim_progress=progress), now)


@apply_event.register
def _(event: AnswerReceived, attempt: Attempt, now: float) -> Step:
    return attempt, Finish(Finished(event.body, event.content_type))


@apply_event.register
def _(event: TicketRefused, attempt: Attempt, now: float) -> Step:
    boot_id = find_required_boot(attempt)
    if boot_id and event.boot_id not in ("", boot_id):
        return apply_event(ServerRestarted(), attempt, now)
    attempt = replace(attempt, ticket_refusals=attempt.ticket_refusals + 1)
    if attempt.ticket_refusals < MAX_TICKET_REFUSALS:
        return resend_start(attempt, now)
    message = f"backend server {attempt.server} refused every start ticket"
    problem = make_problem(ProblemKind.STALE_TICKET, message)
    return apply_event(StartRefused(problem), attempt, now)


@apply_event.register
def _(event: StartRefused, attempt: Attempt, now: float) -> Step:
    attempt = replace(
        attempt,
        problem=event.problem,
        ticket_refusals=0,
        excluded=attempt.excluded | {attempt.server},
    )
    if attempt.fixed_server:
        return finish_unanswered(attempt, event.problem)
    if attempt.key or len(attempt.excluded) >= MAX_SERVERS_PER_ROUND:
        return wait(replace(attempt, excluded=frozenset()))
    return choose_server(attempt)


@apply_event.register
def _(event: ServerBlocked, attempt: Attempt, now: float) -> Step:
    # An earlier attempt may have run there; its answer can still be read.
    if attempt.claim_progress.found and not attempt.uncertain:
        attempt = replace(attempt, problem=event.problem)
        return look_up(record_uncertain_start(attempt, ""))
    return finish_unanswered(attempt, event.problem)


@apply_event.register
def _(event: StillRunning, attempt: Attempt, now: float) -> Step:
    if find_uncertain_start(attempt) is None:
        attempt = record_uncertain_start(attempt, "")
    attempt = replace(attempt, phase=Phase.LOOKING, empty_lookups=0)
    return wait(attempt)


@apply_event.register
def _(event: AnswerLost, attempt: Attempt, now: float) -> Step:
    attempt = record_uncertain_start(attempt, event.ticket)
    message = f"backend server {attempt.server}: {event.detail}"
    attempt = replace(
        attempt, problem=make_problem(ProblemKind.START_UNCONFIRMED, message)
    )
    if attempt.repeatable and event.may_retry and not attempt.fixed_server:
        return choose_server(
            replace(attempt, excluded=attempt.excluded | {attempt.server})
        )
    return look_up(attempt)


@apply_event.register
def _(event: RequestFailed, attempt: Attempt, now: float) -> Step:
    attempt = record_uncertain_start(attempt, "")
    message = f"backend server {attempt.server}: {event.detail}"
    problem = make_problem(ProblemKind.START_UNCONFIRMED, message)
    if attempt.repeatable and event.may_retry and not attempt.fixed_server:
        return choose_server(
            replace(attempt, excluded=attempt.excluded | {attempt.server})
        )
    return finish_unanswered(attempt, problem)


@apply_event.register
def _(event: StartExpired, attempt: Attempt, now: float) -> Step:
    attempt = replace(
        attempt, uncertain=list_other_starts(attempt), phase=Phase.SENDING
    )
    message = f"backend server {attempt.server} never received the start"
    problem = make_problem(ProblemKind.BUSY, message)
    return apply_event(StartRefused(problem), attempt, now)


@apply_event.register
def _(event: RequestNotSeen, attempt: Attempt, now: float) -> Step:
    attempt = replace(attempt, empty_lookups=attempt.empty_lookups + 1)
    if attempt.empty_lookups >= MAX_EMPTY_LOOKUPS:
        return finish_unanswered(attempt, attempt.problem)
    return attempt, Wait(LOOKUP_SECONDS)


@apply_event.register
def _(event: ServerRestarted, attempt: Attempt, now: float) -> Step:
    message = f"backend server {attempt.server} restarted"
    problem = make_problem(ProblemKind.SERVER_RESTARTED, message)
    return attempt, Finish(NotKnown(problem))


@apply_event.register
def _(event: WaitEnded, attempt: Attempt, now: float) -> Step:
    if attempt.phase is Phase.LOOKING:
        return look_up(attempt)
    if attempt.claim_progress.complete and attempt.key:
        return send_claimed_start(attempt, now)
    return choose_server(attempt)


@apply_event.register
def _(event: DeadlinePassed, attempt: Attempt, now: float) -> Step:
    problem = attempt.problem or make_problem(
        ProblemKind.DEADLINE_PASSED, "the deadline passed before the request started"
    )
    return finish_unanswered(attempt, problem)


def choose_server(attempt: Attempt) -> Step:
    """Choose a backend server."""
    attempt = replace(attempt, phase=Phase.CHOOSING, server="")
    return attempt, ChooseServer(attempt.excluded, with_boot=bool(attempt.key))


def make_claim(attempt: Attempt) -> KeyClaim:
    """Return the claim to place at the next home."""
    known = attempt.claim_progress.claim
    return KeyClaim(
        key=attempt.key,
        digest=attempt.digest,
        server=known.server if known else attempt.server,
        boot_id=known.boot_id if known else attempt.boot_id,
        attempt=attempt.request_id,
    )


def call_claim_home(attempt: Attempt, now: float) -> Step:
    """Place the claim at the next home."""
    progress = attempt.claim_progress
    is_first = (
        attempt.first_attempt and now - attempt.received_at <= FIRST_ATTEMPT_SECONDS
    )
    home = progress.homes[progress.asked].server
    action = CallClaimHome(home, make_claim(attempt), is_first or progress.vouched)
    return replace(attempt, phase=Phase.CLAIMING), action


def send_claimed_start(attempt: Attempt, now: float) -> Step:
    """Start on the claimed backend server while the claim is usable."""
    claim = attempt.claim_progress.claim
    assert claim is not None
    attempt = replace(attempt, server=claim.server)
    if now < attempt.claim_progress.usable_until:
        return send_start(attempt, claim.boot_id)
    problem = make_problem(
        ProblemKind.CLAIM_LOST, "the claim of the idempotency key is about to expire"
    )
    return finish_unanswered(attempt, problem)


def send_start(attempt: Attempt, boot_id: str = "") -> Step:
    """Start on the chosen backend server."""
    attempt = replace(attempt, phase=Phase.SENDING, empty_lookups=0)
    return attempt, SendStart(attempt.server, boot_id)


def resend_start(attempt: Attempt, now: float) -> Step:
    """Retry on the same backend server, with its new ticket."""
    if attempt.key:
        return send_claimed_start(attempt, now)
    return send_start(attempt, attempt.fixed_boot_id)


def look_up(attempt: Attempt) -> Step:
    """Query the state of the uncertain start on its backend server."""
    start = find_uncertain_start(attempt)
    ticket = start.ticket if start else ""
    return replace(attempt, phase=Phase.LOOKING), LookUp(attempt.server, ticket)


def wait(attempt: Attempt) -> Step:
    """Wait with exponential backoff."""
    seconds = min(MIN_WAIT_SECONDS * 2.0**attempt.waits, MAX_WAIT_SECONDS)
    return replace(attempt, waits=attempt.waits + 1), Wait(seconds)


def record_uncertain_start(attempt: Attempt, ticket: str) -> Attempt:
    """Record that the chosen backend server may run the request."""
    start = UncertainStart(attempt.server, ticket)
    return replace(attempt, uncertain=(*list_other_starts(attempt), start))


def find_uncertain_start(attempt: Attempt) -> UncertainStart | None:
    """Return the uncertain start on the chosen backend server, or None."""
    return next((s for s in attempt.uncertain if s.server == attempt.server), None)


def list_other_starts(attempt: Attempt) -> tuple[UncertainStart, ...]:
    """Return the uncertain starts on backend servers other than the chosen one."""
    return tuple(s for s in attempt.uncertain if s.server != attempt.server)


def find_required_boot(attempt: Attempt) -> str:
    """Return the only boot that may run the request; empty for any."""
    claim = attempt.claim_progress.claim
    return claim.boot_id if claim else attempt.fixed_boot_id


def finish_unanswered(attempt: Attempt, problem: Problem | None) -> Step:
    """Finish without an answer: not run if that is proven, else not known."""
    if problem is None or attempt.uncertain:
        message = problem.message if problem else "a start was not confirmed"
        unknown = make_problem(ProblemKind.START_UNCONFIRMED, message)
        return attempt, Finish(NotKnown(unknown))
    if attempt.key and not attempt.first_attempt:
        return attempt, Finish(NotKnown(add_key_remedy(problem)))
    return attempt, Finish(NotRun(problem))


def add_key_remedy(problem: Problem) -> Problem:
    """Return the problem with the same idempotency key as its remedy."""
    return replace(
        problem,
        message=f"{problem.message}; an earlier attempt with the key may have run",
        remedy="send the same idempotency key again",
        retry_after_seconds=problem.retry_after_seconds or 1,
    )
