"""State machine of one gang: ``step(gang, event, now) -> (gang, actions)``.

A gang runs in part while at least one member is ``running`` on its backend server
and another is neither ``running`` nor ``finished``. This happens only in two cases, for
a bounded time:

- Before the extension, each member for at most one start lease (2.0 s), when an
  answer, a start or the planner is lost between two starts. Reservations last
  2.0 s, so the starts of one attempt take effect at most 2.0 s apart; all members
  together take at most 4.0 s, and only with a late start and a lost planner. A
  reservation and start that the network duplicates within the ticket's 2.0 s can run a
  member again after its release, for one start lease.
- After the extension, for at most one run lease (10 s) after a member ends early:
  the planner releases the others as soon as it learns of it, at the latest 10 s after
  the last renewal that the lost member answered. If the planner or its releases are
  lost too, the others end with their own leases, which count from at most one renewal
  period (3 s) after the member's last answer: 13 s at most in this double failure.
  A renewal that is repeated or carried out late adds nothing to that.

Work counts once its member was extended. A gang whose extension may have been sent
(``was_extended``) never starts again unless its job is repeatable or all members
confirmed a checkpoint before their preemption. For a job that is not repeatable the
claim records this before the first extension is sent (``Stage.EXTENDING``), for a later
planner. A gang that was never extended starts again once all members were released or
their leases expired.

Each attempt takes a new epoch at the claim home, which refuses it, whatever the clocks
say, when another planner took the claim. This stops a planner that resumes after a
takeover. Calls carry ``not_after``: the process checks its clock right before it sends.
"""

from dataclasses import replace
from functools import singledispatch

from cardamomdyke.gangs.calls import make_calls
from cardamomdyke.gangs.members import apply_answer
from cardamomdyke.gangs.phases import (
    abandon_attempt,
    advance,
    enter,
    list_servers,
    stop_members,
)
from cardamomdyke.gangs.state import (
    Action,
    Adopted,
    AnswerKind,
    CancelRequested,
    ClaimAnswered,
    ClaimAnswerKind,
    Ending,
    EndRecorded,
    Event,
    Gang,
    Member,
    MemberAnswered,
    PartialGangFound,
    Phase,
    Placed,
    PreemptionRequested,
    ReleaseFenced,
    RequestClaim,
    Stage,
    Superseded,
    SuspectServersCleared,
    Ticked,
)
from cardamomdyke.gangs.timing import (
    RETRY_WAIT_SECONDS,
    RUN_LEASE_SECONDS,
    TAKEOVER_WAIT_SECONDS,
)
from cardamomdyke.model.errors import ProblemKind, make_problem
from cardamomdyke.model.jobs import JobState

Step = tuple[Gang, tuple[Action, ...]]


def step(gang: Gang, event: Event, now: float) -> Step:
    """Apply one event.

    Parameters
    ----------
    gang : Gang
        State before the event.
    event : Event
        What happened.
    now : float
        Steady-clock time, in seconds.

    Returns
    -------
    gang : Gang
        State after the event.
    actions : tuple of Action
        Calls to make now; each ends in one answer event.
    """
    if gang.phase is Phase.ENDED:
        return gang, ()
    in_flight = None if isinstance(event, ClaimAnswered) else gang.pending_claim
    gang = apply_event(event, gang, now)
    for _ in Phase:
        gang = advance(gang, now)
    if gang.phase is Phase.ENDED:
        return gang, ((Superseded(),) if gang.ending is None else ())
    gang, calls = make_calls(gang, now)
    if gang.pending_claim is None or gang.pending_claim == in_flight:
        return gang, calls
    return gang, (gang.pending_claim, *calls)


def is_placeable(gang: Gang, now: float) -> bool:
    """Return whether the placement policy may place the gang now."""
    return (
        gang.phase is Phase.QUEUED
        and gang.epoch > 0
        and gang.pending_claim is None
        and not gang.suspect_servers
        and not gang.unknown_history
        and now >= gang.not_before
    )


def check_end_proven(gang: Gang, now: float) -> bool:
    """Return whether callers may be told how the job ended.

    A planner that was frozen may find its members gone because a later planner
    holds the gang. So any end but a complete answer or a cancellation must be in the
    claim, which only its holder can change. Without a claim, or when its home is silent
    for one run lease, the end is reported anyway.
    """
    if gang.ending is None or gang.ending.state is JobState.QUEUED:
        return False
    if check_end_shown(gang):
        return True
    timed_out = now > gang.phase_entered_at + RUN_LEASE_SECONDS
    return gang.end_marked or gang.epoch == 0 or timed_out


def check_end_shown(gang: Gang) -> bool:
    """Return whether callers may know of the end whatever the claim says."""
    shown = (JobState.FINISHED, JobState.CANCELLED)
    return gang.ending is not None and gang.ending.state in shown


@singledispatch
def apply_event(event: object, gang: Gang, now: float) -> Gang:
    """Return the state after an event, before phase changes and calls."""
    raise TypeError(f"apply_event has no handler for {type(event).__name__}")


@apply_event.register
def _(event: Ticked, gang: Gang, now: float) -> Gang:
    return gang


@apply_event.register
def _(event: Placed, gang: Gang, now: float) -> Gang:
    if not is_placeable(gang, now):
        return gang
    gang = replace(
        gang,
        placements=event.placements,
        borrowed=event.borrowed,
        members=(Member(),) * gang.size,
    )
    gang = enter(gang, Phase.CLAIMING, now)
    servers = list_servers(gang)
    return replace(
        gang, pending_claim=RequestClaim(gang.epoch + 1, Stage.STARTING, servers, True)
    )


@apply_event.register
def _(event: Adopted, gang: Gang, now: float) -> Gang:
    if gang.phase is not Phase.QUEUED:
        return gang
    gang = replace(
        gang,
        placements=event.placements,
        borrowed=event.borrowed,
        members=(Member(AnswerKind.RUNNING, may_hold=True),) * gang.size,
        # Without an answer of the claim home, only the fence at the backend servers
        # decides between two adopting planners.
        epoch=max(gang.epoch, event.epoch + 1),
        pending_claim=None,
        suspect_servers=(),
        unknown_history=False,
        fenced=False,
        was_extended=True,
        started_at=min(gang.started_at, now),
    )
    return enter(gang, Phase.EXTENDING, now)


@apply_event.register
def _(event: SuspectServersCleared, gang: Gang, now: float) -> Gang:
    if gang.phase is not Phase.QUEUED or gang.fenced or now < gang.not_before:
        return gang
    if gang.was_extended and not gang.repeatable:
        return abandon_attempt(gang, f"the gang of {gang.job_id} lost its planner", now)
    return replace(gang, suspect_servers=(), unknown_history=False, was_extended=False)


@apply_event.register
def _(event: ReleaseFenced, gang: Gang, now: float) -> Gang:
    if gang.phase is not Phase.QUEUED or event.epoch < gang.epoch:
        return gang
    return replace(gang, fenced=True)


@apply_event.register
def _(event: PartialGangFound, gang: Gang, now: float) -> Gang:
    if gang.phase is not Phase.QUEUED:
        return gang
    return replace(gang, was_extended=True)


@apply_event.register
def _(event: EndRecorded, gang: Gang, now: float) -> Gang:
    return replace(gang, end_marked=gang.end_marked or gang.ending is not None)


@apply_event.register
def _(event: CancelRequested, gang: Gang, now: float) -> Gang:
    if gang.ending is not None and gang.ending.state is not JobState.QUEUED:
        return gang
    problem = make_problem(ProblemKind.CANCELLED, f"job {gang.job_id} was cancelled")
    return stop_members(gang, Ending(JobState.CANCELLED, problem), now)


@apply_event.register
def _(event: PreemptionRequested, gang: Gang, now: float) -> Gang:
    if gang.phase is Phase.RUNNING:
        return enter(gang, Phase.CHECKPOINTING, now)
    if gang.phase in (Phase.CLAIMING, Phase.RESERVING, Phase.STARTING):
        return abandon_attempt(gang, f"job {gang.job_id} was preempted", now)
    return gang


@apply_event.register
def _(event: ClaimAnswered, gang: Gang, now: float) -> Gang:
    pending_claim = gang.pending_claim
    if pending_claim is None:
        return gang
    if event.kind is ClaimAnswerKind.UNREACHABLE:
        return replace(
            gang, claim_retry_at=now + RETRY_WAIT_SECONDS, pending_claim=None
        )
    if event.kind is ClaimAnswerKind.OTHER:
        return handle_other_claim(gang, event, now)
    gang = replace(
        gang, pending_claim=None, epoch=pending_claim.epoch, claimed_at=event.sent_at
    )
    if pending_claim.stage is Stage.ENDED:
        return replace(gang, end_marked=True)
    if gang.phase is Phase.CLAIMING and pending_claim.stage is Stage.STARTING:
        return enter(gang, Phase.RESERVING, now)
    if gang.phase is Phase.MARKING and pending_claim.stage is Stage.EXTENDING:
        return enter(gang, Phase.EXTENDING, now)
    if gang.phase is Phase.QUEUED and gang.fenced:
        return suspect_all_servers(gang, now)
    return gang


@apply_event.register
def _(event: MemberAnswered, gang: Gang, now: float) -> Gang:
    index = event.call.member
    if index >= len(gang.members) or not gang.members[index].pending:
        return gang
    if event.kind is AnswerKind.FENCED:
        return replace(gang, phase=Phase.ENDED, ending=None)
    member = apply_answer(gang.members[index], event, now)
    members = (*gang.members[:index], member, *gang.members[index + 1 :])
    return replace(gang, members=members)


def handle_other_claim(gang: Gang, event: ClaimAnswered, now: float) -> Gang:
    """Take the claim of a previous planner, or end when a later one holds it.

    An end that callers may know of needs no mark of its own in a claim that says ended.
    """
    assert gang.pending_claim is not None
    if gang.epoch > 0 and event.holder == gang.holder:
        # The answer to an earlier take of this planner was lost.
        again = replace(gang.pending_claim, epoch=event.epoch + 1, take=True)
        return replace(gang, pending_claim=again)
    if event.stage is Stage.ENDED and check_end_shown(gang):
        return replace(gang, end_marked=True, pending_claim=None)
    if gang.epoch > 0:
        return replace(gang, phase=Phase.ENDED, ending=None, pending_claim=None)
    if event.stage is Stage.ENDED:
        problem = make_problem(
            ProblemKind.START_UNCONFIRMED,
            f"job {gang.job_id} ended under a previous planner; "
            "its answer was not kept",
        )
        ending = Ending(JobState.NOT_KNOWN, problem)
        return replace(gang, phase=Phase.ENDED, ending=ending, pending_claim=None)
    return replace(
        gang,
        pending_claim=RequestClaim(event.epoch + 1, event.stage, event.servers, True),
        not_before=now + TAKEOVER_WAIT_SECONDS,
        suspect_servers=event.servers,
        was_extended=event.stage is Stage.EXTENDING,
        # A planner that may have started members names their servers if it knows them.
        unknown_history=event.stage is not Stage.QUEUED and not event.servers,
    )


def suspect_all_servers(gang: Gang, now: float) -> Gang:
    """Return a fenced gang that took the next epoch, with an unknown history.

    The claim home does not know the planner whose epoch a backend server knows, so no
    claim names that planner's servers. Its calls have no effect `TAKEOVER_WAIT_SECONDS`
    after the first such take; later ones need no second wait.
    """
    not_before = gang.not_before
    if not gang.unknown_history or not_before == float("-inf"):
        not_before = max(not_before, now + TAKEOVER_WAIT_SECONDS)
    return replace(gang, fenced=False, unknown_history=True, not_before=not_before)
