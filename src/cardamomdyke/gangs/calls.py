"""Calls that a gang needs in its present phase."""

from collections.abc import Callable
from dataclasses import replace

from cardamomdyke.gangs.members import RUNNING_STATES
from cardamomdyke.gangs.phases import find_extension_deadline, list_servers
from cardamomdyke.gangs.state import (
    AnswerKind,
    CallKind,
    CallMember,
    Gang,
    Member,
    Phase,
    RequestClaim,
    Stage,
)
from cardamomdyke.gangs.timing import (
    CLAIM_VALID_SECONDS,
    CLOCK_MARGIN_SECONDS,
    LOG_RECORD_WAIT_SECONDS,
    MAX_SEND_DELAY_SECONDS,
    RENEWAL_PERIOD_SECONDS,
    RESERVATION_LEASE_SECONDS,
    RUN_LEASE_SECONDS,
    START_LEASE_SECONDS,
    TICKET_VALID_SECONDS,
)
from cardamomdyke.model.jobs import JobState

LEASE_SECONDS = {
    CallKind.RESERVE: RESERVATION_LEASE_SECONDS,
    CallKind.START: START_LEASE_SECONDS,
    CallKind.RENEW: RUN_LEASE_SECONDS,
}
CALL_BY_PHASE = {
    Phase.RESERVING: CallKind.RESERVE,
    Phase.STARTING: CallKind.START,
    Phase.EXTENDING: CallKind.RENEW,
    Phase.RUNNING: CallKind.RENEW,
    Phase.CHECKPOINTING: CallKind.CHECKPOINT,
    Phase.STOPPING: CallKind.RELEASE,
}
Calls = tuple[Gang, tuple[CallMember, ...]]


def make_calls(gang: Gang, now: float) -> Calls:
    """Return the calls that are due, and request the claim that they need.

    Parameters
    ----------
    gang : Gang
        State after all due phase changes.
    now : float
        Steady-clock time, in seconds.

    Returns
    -------
    gang : Gang
        State with these calls in flight, and the claim call in
        ``gang.pending_claim``.
    calls : tuple of CallMember
        Calls to make now.
    """
    claim = choose_claim(gang, now)
    if claim is not None and gang.pending_claim is None and now >= gang.claim_retry_at:
        gang = replace(gang, pending_claim=claim)
    kind = CALL_BY_PHASE.get(gang.phase)
    if kind is None or not permit_calls(gang, now):
        return gang, ()
    deadline = find_send_deadline(gang, kind, now)
    due = [i for i, m in enumerate(gang.members) if check_due(gang, m, now)]
    lease_from = find_lease_start(gang, now)
    calls = tuple(
        CallMember(kind, index, gang.epoch, deadline, lease_from) for index in due
    )
    members = list(gang.members)
    for index in due:
        members[index] = record_call(members[index], kind, deadline, now)
    gang = replace(gang, members=tuple(members))
    if kind is CallKind.START and due:
        gang = replace(gang, started_at=min(gang.started_at, now))
    if kind is CallKind.RENEW and due:
        gang = replace(gang, was_extended=True)
    return gang, calls


def choose_claim(gang: Gang, now: float) -> RequestClaim | None:
    """Return the claim call that the phase needs now, or None."""
    servers = list_servers(gang)
    match gang.phase:
        case Phase.QUEUED if gang.epoch == 0:
            return RequestClaim(1, *describe_history(gang), take=False)
        case Phase.QUEUED if gang.fenced:
            # The claim home refuses this if another planner took the later epoch there.
            # Else no claim tells what that planner did, so this one names no servers.
            history = describe_history(replace(gang, unknown_history=True))
            return RequestClaim(gang.epoch + 1, *history, take=True)
        case Phase.CLAIMING:
            return RequestClaim(gang.epoch + 1, Stage.STARTING, servers, take=True)
        case Phase.MARKING:
            return RequestClaim(gang.epoch + 1, Stage.EXTENDING, servers, take=True)
        case Phase.RESERVING | Phase.STARTING if not check_claim(gang, now):
            return RequestClaim(gang.epoch, Stage.STARTING, servers, take=False)
        case Phase.EXTENDING if not gang.was_extended and not check_claim(gang, now):
            return RequestClaim(gang.epoch, Stage.STARTING, servers, take=False)
        case Phase.STOPPING if needs_end_mark(gang) and check_end_mark_due(gang, now):
            return RequestClaim(gang.epoch + 1, Stage.ENDED, (), take=True)
    return None


def describe_history(gang: Gang) -> tuple[Stage, tuple[str, ...]]:
    """Return stage and servers that tell a later planner what may have started.

    A stage beyond ``QUEUED`` without servers says that they are not known.
    """
    servers = list_servers(gang) or gang.suspect_servers
    if gang.unknown_history:
        servers = ()
    if gang.was_extended:
        return Stage.EXTENDING, servers
    may_have_started = bool(servers) or gang.unknown_history
    return (Stage.STARTING if may_have_started else Stage.QUEUED), servers


def needs_end_mark(gang: Gang) -> bool:
    """Return whether the job's end must still be recorded in its claim."""
    if gang.end_marked or gang.epoch == 0 or gang.ending is None:
        return False
    return gang.ending.state is not JobState.QUEUED


def check_end_mark_due(gang: Gang, now: float) -> bool:
    """Return whether to record the end in the claim now.

    A finished job's end goes to the log first, as only the log keeps the answers. Once
    log or claim has the end, the backend servers drop them.
    """
    assert gang.ending is not None
    finished = gang.ending.state is JobState.FINISHED
    return not finished or now > gang.phase_entered_at + LOG_RECORD_WAIT_SECONDS


def check_claim(gang: Gang, now: float) -> bool:
    """Return whether the claim was proved within its validity."""
    return now - gang.claimed_at <= CLAIM_VALID_SECONDS


def permit_calls(gang: Gang, now: float) -> bool:
    """Return whether the phase's calls may be made now."""
    assert gang.phase in CALL_BY_PHASE
    if gang.phase in (Phase.RESERVING, Phase.STARTING):
        return check_claim(gang, now)
    if gang.phase is Phase.EXTENDING:
        return gang.was_extended or check_claim(gang, now)
    if gang.phase is Phase.STOPPING and gang.ending is not None:
        # Backend servers keep the answers until a later planner can know that the
        # job has ended.
        return gang.ending.state is not JobState.FINISHED or not needs_end_mark(gang)
    return True


def find_send_deadline(gang: Gang, kind: CallKind, now: float) -> float:
    """Return the latest time at which the phase's calls may be sent."""
    deadline = now + MAX_SEND_DELAY_SECONDS
    if kind in (CallKind.RESERVE, CallKind.START):
        return min(deadline, gang.claimed_at + CLAIM_VALID_SECONDS)
    if gang.phase is Phase.EXTENDING and not gang.was_extended:
        return min(deadline, find_extension_deadline(gang))
    return deadline


def find_lease_start(gang: Gang, now: float) -> float:
    """Return the time from which the leases of renewals sent now count.

    They count from at most one renewal period after the last sign of each running
    member, however often a renewal is repeated: if a member has ended and the planner
    is lost, the others end one run lease and renewal period later.
    """
    answered = (
        member.renewed_at
        for member in gang.members
        if member.state is not AnswerKind.FINISHED and member.renewed_at > float("-inf")
    )
    return min(now, min(answered, default=now) + RENEWAL_PERIOD_SECONDS)


def check_due(gang: Gang, member: Member, now: float) -> bool:
    """Return whether a member needs the call of the gang's phase now."""
    if member.pending or now < member.retry_at:
        return False
    return DUE_BY_PHASE[gang.phase](gang, member)


DUE_BY_PHASE: dict[Phase, Callable[[Gang, Member], bool]] = {
    Phase.RESERVING: lambda gang, m: m.state is not AnswerKind.RESERVED,
    Phase.STARTING: lambda gang, m: m.state not in RUNNING_STATES,
    Phase.EXTENDING: lambda gang, m: m.renewed_at < gang.phase_entered_at,
    Phase.RUNNING: lambda gang, m: (
        m.state is not AnswerKind.FINISHED and m.renewed_at < gang.renewal_round_at
    ),
    Phase.CHECKPOINTING: lambda gang, m: (
        m.state is AnswerKind.RUNNING and not m.checkpointed
    ),
    Phase.STOPPING: lambda gang, m: m.may_hold and m.state is not AnswerKind.GONE,
}


def record_call(member: Member, kind: CallKind, deadline: float, now: float) -> Member:
    """Return the member with a call in flight."""
    member = replace(member, pending=True)
    if kind not in LEASE_SECONDS:
        return member
    # A reservation or start can take effect until its ticket expires. The lease of a
    # renewal counts from the sending, however late the server carries it out.
    latest = (
        deadline + TICKET_VALID_SECONDS + LEASE_SECONDS[kind] + CLOCK_MARGIN_SECONDS
    )
    first = member.first_start_at
    return replace(
        member,
        may_hold=True,
        may_hold_until=max(member.may_hold_until, latest),
        first_start_at=min(first, now) if kind is CallKind.START else first,
    )
