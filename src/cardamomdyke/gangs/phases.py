"""Phase changes of a gang, from its members' states."""

from collections.abc import Callable
from dataclasses import replace

from cardamomdyke.gangs.members import (
    LOST_STATES,
    RUNNING_STATES,
    check_gone,
    find_first_start,
    find_member,
)
from cardamomdyke.gangs.state import AnswerKind, Ending, Gang, Phase
from cardamomdyke.gangs.timing import (
    CHECKPOINT_TIMEOUT_SECONDS,
    EXTENSION_MARGIN_SECONDS,
    EXTENSION_TIMEOUT_SECONDS,
    MAX_BACKOFF_SECONDS,
    MAX_MEMBER_FAILURES,
    MAX_START_CRASHES,
    RESERVING_TIMEOUT_SECONDS,
    RETRY_WAIT_SECONDS,
    RUN_LEASE_SECONDS,
    START_LEASE_SECONDS,
    START_RISK_SECONDS,
    STOP_MARGIN_SECONDS,
)
from cardamomdyke.model.errors import ProblemKind, make_problem
from cardamomdyke.model.jobs import JobState

FAILED_STATES = frozenset({AnswerKind.FAILED})
MAX_BACKOFF_DOUBLINGS = 8


def list_servers(gang: Gang) -> tuple[str, ...]:
    """Return the names of the gang's backend servers, sorted, each once."""
    return tuple(sorted({placement.server for placement in gang.placements}))


def enter(gang: Gang, phase: Phase, now: float) -> Gang:
    """Enter a phase and clear the previous one's retry times."""
    members = tuple(replace(m, retry_at=float("-inf")) for m in gang.members)
    return replace(
        gang,
        phase=phase,
        phase_entered_at=now,
        members=members,
        claim_retry_at=float("-inf"),
    )


def stop_members(gang: Gang, ending: Ending, now: float) -> Gang:
    """Stop all members; ``ending`` says what follows."""
    return enter(replace(gang, ending=ending), Phase.STOPPING, now)


def stop_with_problem(
    gang: Gang, state: JobState, kind: ProblemKind, reason: str, now: float
) -> Gang:
    """Stop all members and end the job with a problem."""
    problem = make_problem(kind, f"job {gang.job_id}: {reason}")
    return stop_members(gang, Ending(state, problem), now)


def abandon_attempt(gang: Gang, reason: str, now: float) -> Gang:
    """Stop an attempt; queue the job again unless that could repeat work."""
    if gang.was_extended and not gang.repeatable:
        kind = ProblemKind.START_UNCONFIRMED
        return stop_with_problem(gang, JobState.NOT_KNOWN, kind, reason, now)
    return stop_members(gang, Ending(JobState.QUEUED), now)


def handle_member_failure(gang: Gang, member: int, now: float) -> Gang:
    """Stop the gang of a member that failed by itself.

    Queue the job again unless its failures are used up or a new start could
    repeat work.
    """
    failed = (*gang.failed_servers, gang.placements[member].server)
    gang = replace(gang, failed_servers=failed)
    final = gang.was_extended and not gang.repeatable
    if len(failed) < MAX_MEMBER_FAILURES and not final:
        return stop_members(gang, Ending(JobState.QUEUED), now)
    reason = f"failed on {', '.join(failed)}: {gang.members[member].answer}"
    return stop_with_problem(
        gang, JobState.NOT_KNOWN, ProblemKind.JOB_FAILED, reason, now
    )


def outlived_start(gang: Gang) -> bool:
    """Return whether all members were seen for long enough after their start."""
    seen_until = gang.started_at + START_RISK_SECONDS
    return bool(gang.members) and all(
        member.state is AnswerKind.FINISHED or member.renewed_at >= seen_until
        for member in gang.members
    )


def count_start_crash(gang: Gang) -> Gang:
    """Count a proven crash of a server at the start of a stopped attempt.

    A job that crashes each server which starts it would take down one after the other.
    """
    if outlived_start(gang):
        return gang
    crashed = [
        placement.server
        for member, placement in zip(gang.members, gang.placements, strict=True)
        if member.crashed and member.first_start_at < float("inf")
    ]
    return replace(gang, crashed_servers=(*gang.crashed_servers, *crashed[:1]))


def find_extension_deadline(gang: Gang) -> float:
    """Return the latest time to extend all start leases."""
    first = find_first_start(gang.members)
    return first + START_LEASE_SECONDS - EXTENSION_MARGIN_SECONDS


def end_at_deadline(gang: Gang, now: float) -> Gang:
    """Stop all members and end the job at its deadline."""
    state = JobState.NOT_KNOWN if gang.was_extended else JobState.NOT_RUN
    kind = ProblemKind.DEADLINE_PASSED
    return stop_with_problem(gang, state, kind, "its deadline has passed", now)


def advance(gang: Gang, now: float) -> Gang:
    """Change the phase once if the state allows or requires it."""
    if gang.phase in (Phase.STOPPING, Phase.ENDED):
        return PHASE_CHANGES[gang.phase](gang, now)
    if now > gang.deadline_at:
        return end_at_deadline(gang, now)
    failed = find_member(gang.members, FAILED_STATES)
    if failed >= 0:
        return handle_member_failure(gang, failed, now)
    lost = find_member(gang.members, LOST_STATES)
    if lost >= 0:
        server = gang.placements[lost].server
        return abandon_attempt(gang, f"member {lost} on {server} ended early", now)
    return PHASE_CHANGES[gang.phase](gang, now)


def keep_phase(gang: Gang, now: float) -> Gang:
    """Keep the phase until an event changes it."""
    return gang


def leave_claiming(gang: Gang, now: float) -> Gang:
    """Abandon the attempt when the claim home does not answer."""
    if (
        gang.pending_claim is None
        and now > gang.phase_entered_at + RESERVING_TIMEOUT_SECONDS
    ):
        return abandon_attempt(gang, "the claim home does not answer", now)
    return gang


def leave_reserving(gang: Gang, now: float) -> Gang:
    """Start once all members are reserved; abandon after a timeout."""
    if all(member.state is AnswerKind.RESERVED for member in gang.members):
        return enter(gang, Phase.STARTING, now)
    if now > gang.phase_entered_at + RESERVING_TIMEOUT_SECONDS:
        return abandon_attempt(gang, "not all members could be reserved", now)
    return gang


def leave_starting(gang: Gang, now: float) -> Gang:
    """Extend, or mark the claim if not repeatable, once all starts are confirmed."""
    if now > find_extension_deadline(gang):
        return abandon_attempt(gang, "not all members confirmed their start", now)
    if now > gang.phase_entered_at + RESERVING_TIMEOUT_SECONDS:
        return abandon_attempt(gang, "the members' starts could not be sent", now)
    if not all(member.state in RUNNING_STATES for member in gang.members):
        return gang
    return enter(gang, Phase.EXTENDING if gang.repeatable else Phase.MARKING, now)


def leave_marking(gang: Gang, now: float) -> Gang:
    """Abandon the attempt once it is too late to extend."""
    if now > find_extension_deadline(gang):
        return abandon_attempt(gang, "the claim home does not answer", now)
    return gang


def leave_extending(gang: Gang, now: float) -> Gang:
    """Run once all members confirmed their extension; abandon after a timeout."""
    if all(member.renewed_at >= gang.phase_entered_at for member in gang.members):
        return replace(
            enter(gang, Phase.RUNNING, now),
            renewal_round_at=gang.phase_entered_at,
            attempts=0,
        )
    too_late = not gang.was_extended and now > find_extension_deadline(gang)
    if too_late or now > gang.phase_entered_at + EXTENSION_TIMEOUT_SECONDS:
        return abandon_attempt(gang, "not all members confirmed their extension", now)
    return gang


def leave_running(gang: Gang, now: float) -> Gang:
    """Finish, abandon after a lost member, or start a renewal round."""
    running = [m for m in gang.members if m.state is not AnswerKind.FINISHED]
    if not running:
        return stop_members(gang, Ending(JobState.FINISHED), now)
    if gang.crashed_servers and outlived_start(gang):
        gang = replace(gang, crashed_servers=())
    limit = RUN_LEASE_SECONDS - STOP_MARGIN_SECONDS
    if any(now >= member.lease_from + limit for member in running):
        return abandon_attempt(gang, "a member's lease ends without an answer", now)
    answered = all(member.renewed_at >= gang.renewal_round_at for member in running)
    # Rounds of all gangs begin together, so that their renewals on one backend server
    # can share a call.
    if (
        answered
        and now // gang.renewal_seconds > gang.renewal_round_at // gang.renewal_seconds
    ):
        return replace(gang, renewal_round_at=now)
    return gang


def leave_checkpointing(gang: Gang, now: float) -> Gang:
    """Stop after all members' checkpoints or a timeout."""
    running = [m for m in gang.members if m.state is not AnswerKind.FINISHED]
    if not running:
        return stop_members(gang, Ending(JobState.FINISHED), now)
    if len(running) == gang.size and all(m.checkpointed for m in running):
        gang = replace(gang, was_extended=False)
        return stop_members(gang, Ending(JobState.QUEUED), now)
    if now >= gang.phase_entered_at + CHECKPOINT_TIMEOUT_SECONDS:
        return abandon_attempt(gang, "it was preempted before a full checkpoint", now)
    return gang


def leave_stopping(gang: Gang, now: float) -> Gang:
    """End or queue the job once no member can still run."""
    assert gang.ending is not None
    if not all(check_gone(member, now) for member in gang.members):
        return gang
    if gang.ending.state is JobState.QUEUED:
        gang = count_start_crash(gang)
        if len(gang.crashed_servers) < MAX_START_CRASHES:
            return requeue(gang, now)
        reason = f"crashed its servers {', '.join(gang.crashed_servers)} at its starts"
        kind = ProblemKind.JOB_FAILED
        return stop_with_problem(gang, JobState.NOT_KNOWN, kind, reason, now)
    if gang.end_marked or gang.epoch == 0:
        return replace(gang, phase=Phase.ENDED)
    return gang


def requeue(gang: Gang, now: float) -> Gang:
    """Return a stopped gang to the queue with exponential backoff."""
    doublings = min(gang.attempts, MAX_BACKOFF_DOUBLINGS)
    delay = min(RETRY_WAIT_SECONDS * 2**doublings, MAX_BACKOFF_SECONDS)
    return replace(
        enter(gang, Phase.QUEUED, now),
        not_before=max(gang.not_before, now + delay),
        was_extended=False,
        placements=(),
        members=(),
        borrowed=False,
        started_at=float("inf"),
        attempts=gang.attempts + 1,
        ending=None,
    )


PHASE_CHANGES: dict[Phase, Callable[[Gang, float], Gang]] = {
    Phase.QUEUED: keep_phase,
    Phase.CLAIMING: leave_claiming,
    Phase.RESERVING: leave_reserving,
    Phase.STARTING: leave_starting,
    Phase.MARKING: leave_marking,
    Phase.EXTENDING: leave_extending,
    Phase.RUNNING: leave_running,
    Phase.CHECKPOINTING: leave_checkpointing,
    Phase.STOPPING: leave_stopping,
    Phase.ENDED: keep_phase,
}
