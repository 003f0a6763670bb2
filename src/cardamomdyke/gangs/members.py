"""State of a gang member, as answers prove it."""

from dataclasses import replace

from cardamomdyke.gangs.state import AnswerKind, CallKind, Member, MemberAnswered
from cardamomdyke.gangs.timing import RETRY_WAIT_SECONDS

RUNNING_STATES = frozenset({AnswerKind.RUNNING, AnswerKind.FINISHED})
# Answers of a server that has the member.
REPORTED_STATES = frozenset(
    {
        AnswerKind.RESERVED,
        AnswerKind.RUNNING,
        AnswerKind.FINISHED,
        AnswerKind.FAILED,
        AnswerKind.STOPPED,
    }
)
LOST_STATES = frozenset(
    {
        AnswerKind.GONE,
        AnswerKind.STOPPED,
        AnswerKind.REFUSED,
        AnswerKind.NOT_SENT,
    }
)
# A refusal or refused connection of these calls ends the attempt: other backend servers
# may take the gang.
PLACING_CALLS = frozenset({CallKind.RESERVE, CallKind.START})


def apply_answer(member: Member, event: MemberAnswered, now: float) -> Member:
    """Apply the answer to the call in flight.

    Parameters
    ----------
    member : Member
        State before the answer.
    event : MemberAnswered
        The answer; not ``FENCED``.
    now : float
        Steady-clock time, in seconds.

    Returns
    -------
    Member
        State after the answer.
    """
    member = replace(member, pending=False)
    call = event.call.kind
    match event.kind:
        case AnswerKind.STALE:
            return replace(member, retry_at=now)
        case AnswerKind.LOST:
            return replace(member, retry_at=now + RETRY_WAIT_SECONDS)
        case AnswerKind.NOT_SENT | AnswerKind.REFUSED if call not in PLACING_CALLS:
            return replace(member, retry_at=now + RETRY_WAIT_SECONDS)
    member = note_boot(member, event)
    member = replace(
        member,
        state=event.kind,
        checkpoint_age_seconds=event.checkpoint_age_seconds,
        answer=event.answer or member.answer,
    )
    if call is CallKind.RENEW and event.kind in RUNNING_STATES:
        lease_from = min(event.sent_at, event.call.lease_from)
        return replace(member, renewed_at=event.sent_at, lease_from=lease_from)
    if call is CallKind.CHECKPOINT and event.kind is AnswerKind.RUNNING:
        return replace(member, checkpointed=True)
    return member


def note_boot(member: Member, event: MemberAnswered) -> Member:
    """Return the member with its server's boot, or with the proof of a crash.

    A server that does not know a member and has another boot than when it had it
    crashed in between. Silence is no proof.
    """
    if event.boot_id and event.kind in REPORTED_STATES:
        return replace(member, boot_id=event.boot_id)
    if event.boot_id and event.kind is AnswerKind.GONE:
        restarted = member.boot_id not in ("", event.boot_id)
        return replace(member, crashed=member.crashed or restarted)
    return member


def check_gone(member: Member, now: float) -> bool:
    """Return whether a member certainly neither runs nor holds accelerators."""
    if not member.may_hold:
        return True
    if member.pending:
        return False
    return member.state is AnswerKind.GONE or now > member.may_hold_until


def find_member(members: tuple[Member, ...], states: frozenset[AnswerKind]) -> int:
    """Return the index of the first member in one of the states, or -1."""
    for index, member in enumerate(members):
        if member.state in states:
            return index
    return -1


def find_first_start(members: tuple[Member, ...]) -> float:
    """Return the time of the first start that may have been sent, else infinity."""
    return min((member.first_start_at for member in members), default=float("inf"))
